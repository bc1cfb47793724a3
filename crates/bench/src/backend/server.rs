//! One backend server: slots, queue and the path of a request.

use std::future;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use rand::SeedableRng;
use rand::rngs;
use tokio::sync::watch;

use super::control::{BackendServer, ServerStatus};
use super::faults::{BackendFaults, ServiceTime};
use super::record;
use super::request_options::RequestOptions;
use super::response;
use crate::http;
use crate::timer;

/// Longest request body that is read.
const BODY_LIMIT_BYTES: usize = 16 << 20;

/// Interval at which a stalled request looks whether the stall has ended.
const STALL_CHECK: time::Duration = time::Duration::from_millis(5);

/// Shortest restart after a crash; the accepting task could miss a shorter one.
const SHORTEST_RESTART: time::Duration = time::Duration::from_millis(50);

/// State of one backend server.
pub struct ServerState {
    pub settings: BackendServer,
    pub open: watch::Sender<bool>,
    slots: sync::Arc<tokio::sync::Semaphore>,
    log: sync::Arc<record::RecordLog>,
    controlled: sync::Mutex<ControlledState>,
    counts: ServerCounts,
}

#[derive(Default)]
struct ServerCounts {
    connections: atomic::AtomicUsize,
    queued: atomic::AtomicUsize,
    arrived: atomic::AtomicUsize,
    started: atomic::AtomicUsize,
    completed: atomic::AtomicUsize,
    shed: atomic::AtomicUsize,
}

struct ControlledState {
    faults: BackendFaults,
    faults_since: time::Instant,
    service: ServiceTime,
    cold_until: Option<time::Instant>,
    random: rngs::StdRng,
    answers: u64,
    last_owner: Option<response::ResponseOwner>,
}

/// Adds one to a counter until it is dropped.
pub struct CountGuard<'a>(&'a atomic::AtomicUsize);

impl<'a> CountGuard<'a> {
    fn new(count: &'a atomic::AtomicUsize) -> Self {
        count.fetch_add(1, atomic::Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

impl ServerState {
    pub fn new(settings: BackendServer, seed: u64, log: sync::Arc<record::RecordLog>) -> Self {
        let controlled = ControlledState {
            faults: BackendFaults::default(),
            faults_since: time::Instant::now(),
            service: ServiceTime::default(),
            cold_until: None,
            random: rngs::StdRng::seed_from_u64(seed ^ u64::from(settings.vm.0)),
            answers: 0,
            last_owner: None,
        };
        Self {
            slots: sync::Arc::new(tokio::sync::Semaphore::new(settings.limits.slots)),
            settings,
            open: watch::Sender::new(true),
            log,
            controlled: sync::Mutex::new(controlled),
            counts: ServerCounts::default(),
        }
    }

    /// Serves one connection, or closes it at once over the limit.
    pub async fn serve(self: sync::Arc<Self>, stream: tokio::net::TcpStream, source: net::IpAddr) {
        let _connection = CountGuard::new(&self.counts.connections);
        if count(&self.counts.connections) > self.settings.limits.connections {
            return;
        }
        http::serve_connection(stream, |request| {
            let server = sync::Arc::clone(&self);
            async move { server.handle(source, request).await }
        })
        .await;
    }

    pub fn set_faults(&self, faults: BackendFaults) {
        let mut controlled = self.lock();
        controlled.faults = faults;
        controlled.faults_since = time::Instant::now();
    }

    pub fn set_service(&self, service: ServiceTime) {
        self.lock().service = service;
    }

    /// Opens the server, which is slow for its first seconds.
    pub fn start_cold(&self) {
        let cold = time::Duration::from_millis(self.settings.limits.cold_ms);
        self.lock().cold_until = Some(time::Instant::now() + cold);
        self.open.send_replace(true);
    }

    /// Drops all connections and refuses new ones for a time, or until a start when it is 0.
    pub fn crash(self: &sync::Arc<Self>, restart_ms: u64) {
        log::info!("{} crashed", self.settings.name);
        let was_open = self.open.send_replace(false);
        if restart_ms == 0 || !was_open {
            return;
        }
        let server = sync::Arc::clone(self);
        tokio::spawn(async move {
            let restart = time::Duration::from_millis(restart_ms).max(SHORTEST_RESTART);
            tokio::time::sleep(restart).await;
            server.start_cold();
        });
    }

    pub fn status(&self) -> ServerStatus {
        ServerStatus {
            name: self.settings.name.clone(),
            open: *self.open.borrow(),
            running: self.settings.limits.slots - self.slots.available_permits(),
            queued: count(&self.counts.queued),
            connections: count(&self.counts.connections),
            arrived: count(&self.counts.arrived),
            started: count(&self.counts.started),
            completed: count(&self.counts.completed),
            shed: count(&self.counts.shed),
            faults: self.lock().faults.clone(),
        }
    }

    async fn handle(
        self: &sync::Arc<Self>,
        source: net::IpAddr,
        request: http::Request,
    ) -> http::Answer {
        let mut answer = match request.uri().path() {
            "/health" => self.probe().await,
            "/load" => self.load(),
            _ => self.work(source, request).await,
        };
        let headers = answer.headers_mut();
        if let Ok(name) = self.settings.name.parse() {
            headers.insert("backend-name", name);
        }
        if self.faults().leaving {
            headers.insert(
                "backend-state",
                hyper::header::HeaderValue::from_static("leaving"),
            );
        }
        answer
    }

    /// Answers a probe at the cost of a slot; a stalled server answers it all the same.
    async fn probe(&self) -> http::Answer {
        let _permit = if self.faults().stall {
            None
        } else {
            self.slots.acquire().await.ok()
        };
        timer::sleep_for(timer::from_millis(self.settings.limits.probe_ms)).await;
        http::answer(200, "ok\n")
    }

    fn load(&self) -> http::Answer {
        let status = self.status();
        http::json_answer(&serde_json::json!({
            "running": status.running,
            "queued": status.queued,
            "slots": self.settings.limits.slots,
            "connections": status.connections,
        }))
    }

    async fn work(
        self: &sync::Arc<Self>,
        source: net::IpAddr,
        request: http::Request,
    ) -> http::Answer {
        increment(&self.counts.arrived);
        let order = RequestOptions::read(&request, source);
        let record = self.log.open(order.record(&self.settings.name, &request));
        if let Err((status, text)) = http::read_body(request, BODY_LIMIT_BYTES).await {
            return http::answer(status, text);
        }
        if self.faults().shed || count(&self.counts.queued) >= self.settings.limits.queue {
            return self.shed(&order);
        }
        let permit = self.take_slot().await;
        if order
            .start_by
            .is_some_and(|limit| timer::unix_millis() > limit)
        {
            return self.shed(&order);
        }
        record.start();
        increment(&self.counts.started);
        if order.crashes && self.faults().crash_restart_ms > 0 {
            self.crash(self.faults().crash_restart_ms);
            return future::pending().await;
        }
        let server = sync::Arc::clone(self);
        let is_repeatable = order.is_repeatable;
        let run = async move { server.run(order, record, permit).await };
        if is_repeatable {
            return run.await;
        }
        self.run_detached(run).await
    }

    /// Runs work to its end even when its connection closes; only a crash stops it.
    async fn run_detached(
        &self,
        run: impl Future<Output = http::Answer> + Send + 'static,
    ) -> http::Answer {
        let mut open = self.open.subscribe();
        let task = tokio::spawn(async move {
            tokio::select! {
                answer = run => Some(answer),
                _ = open.wait_for(|open| !open) => None,
            }
        });
        match task.await {
            Ok(Some(answer)) => answer,
            // The crash drops the connection, which must not carry an answer before that.
            _ => future::pending().await,
        }
    }

    async fn take_slot(&self) -> Option<tokio::sync::OwnedSemaphorePermit> {
        let _queued = CountGuard::new(&self.counts.queued);
        self.wait_out_stall().await;
        sync::Arc::clone(&self.slots).acquire_owned().await.ok()
    }

    async fn wait_out_stall(&self) {
        while self.faults().stall {
            tokio::time::sleep(STALL_CHECK).await;
        }
    }

    async fn run(
        &self,
        order: RequestOptions,
        record: record::OpenRecord,
        permit: Option<tokio::sync::OwnedSemaphorePermit>,
    ) -> http::Answer {
        let service = self.service_time(&order);
        timer::sleep_for(service).await;
        self.wait_out_stall().await;
        record.complete();
        increment(&self.counts.completed);
        drop(permit);
        self.answer(order).await
    }

    fn service_time(&self, order: &RequestOptions) -> time::Duration {
        let faults = self.faults();
        let mut controlled = self.lock();
        let service = controlled.service;
        let base = match order.work_ms {
            Some(work_ms) => work_ms,
            None => service.draw(&mut controlled.random),
        };
        let is_cold = controlled
            .cold_until
            .is_some_and(|until| time::Instant::now() < until);
        let cold = if is_cold {
            self.settings.limits.cold_factor
        } else {
            1.0
        };
        timer::from_millis(base * cold * faults.factor(&order.owner.caller, order.source))
    }

    async fn answer(&self, order: RequestOptions) -> http::Answer {
        let faults = self.faults();
        let (number, previous) = self.next_answer(&order.owner);
        let is_nth = |every: u64| every > 0 && number.is_multiple_of(every);
        if is_nth(faults.late_every) {
            tokio::time::sleep(time::Duration::from_millis(faults.late_ms)).await;
        }
        let owner = if is_nth(faults.cross_every) {
            previous
        } else {
            order.owner
        };
        let id = owner.request.parse();
        let body = response::response_body(owner, order.answer_bytes);
        let mut answer = http::answer(200, body.clone());
        if is_nth(faults.truncate_every) {
            *answer.body_mut() = response::truncated_body(&body);
            answer
                .headers_mut()
                .insert(hyper::header::CONTENT_LENGTH, body.len().into());
        }
        if let Ok(id) = id {
            answer.headers_mut().insert("backend-request-id", id);
        }
        answer
    }

    /// Counts an answer and returns its number and the owner of an earlier one.
    fn next_answer(&self, owner: &response::ResponseOwner) -> (u64, response::ResponseOwner) {
        let mut controlled = self.lock();
        controlled.answers += 1;
        let previous = controlled.last_owner.replace(owner.clone());
        let made_up = || response::ResponseOwner {
            request: "0".to_owned(),
            ..response::ResponseOwner::default()
        };
        (controlled.answers, previous.unwrap_or_else(made_up))
    }

    /// Refuses a request; without its id the gateway would take the answer for another's.
    fn shed(&self, order: &RequestOptions) -> http::Answer {
        increment(&self.counts.shed);
        let mut answer = http::answer(503, "shed\n");
        if let Ok(id) = order.owner.request.parse() {
            answer.headers_mut().insert("backend-request-id", id);
        }
        let value = hyper::header::HeaderValue::from_static("1");
        answer.headers_mut().insert("backend-shed", value);
        answer
    }

    fn faults(&self) -> BackendFaults {
        let controlled = self.lock();
        controlled
            .faults
            .in_force(controlled.faults_since.elapsed())
    }

    fn lock(&self) -> sync::MutexGuard<'_, ControlledState> {
        self.controlled.lock().expect("server lock is not poisoned")
    }
}

fn count(counter: &atomic::AtomicUsize) -> usize {
    counter.load(atomic::Ordering::Relaxed)
}

fn increment(counter: &atomic::AtomicUsize) {
    counter.fetch_add(1, atomic::Ordering::Relaxed);
}
