//! The `demo` command: a small fleet that is used, edited and broken on loopback.

use std::process;
use std::time;

use serde_json::json;
use toucanledge_bench::{
    BenchResult, CallerClient, CallerRequest, CallerResponse, Fleet, FleetConfig, FleetSignal,
    PoolConfig, ResponseCheck, check_response,
};

/// Longest wait for one answer.
const ANSWER_LIMIT: time::Duration = time::Duration::from_secs(5);
/// Longest wait for an edit to be in force on every gateway.
const EDIT_LIMIT: time::Duration = time::Duration::from_secs(8);
/// Longest wait for the first keyed work of a fleet that just started.
///
/// Twice the lease, the window and the lease pass before gateways that all started vote.
const ESTABLISH_LIMIT: time::Duration = time::Duration::from_secs(30);
/// Window of the demo's keyed class; short, since a new fleet waits for one window.
const WINDOW_SECONDS: u32 = 2;

/// Rate limit in requests a second that the demo's edit sets.
const RATE_LIMIT: u32 = 20;
/// Time for which the demo sends more than the rate limit allows.
const RATE_LIMIT_TIME: time::Duration = time::Duration::from_secs(2);
/// Time whose rate a dispatcher may grant at once after a pause.
const BURST_SECONDS: f64 = 0.25;

struct Demo {
    fleet: Fleet,
    client: CallerClient,
    failures: usize,
    number: u64,
}

/// Runs the demo; with `check` it ends by itself and fails when a step did not hold.
pub async fn run(check: bool) -> process::ExitCode {
    match run_steps(check).await {
        Ok(0) => process::ExitCode::SUCCESS,
        Ok(failures) => {
            eprintln!("[demo] {failures} steps did not hold");
            process::ExitCode::FAILURE
        }
        Err(report) => {
            eprintln!("[demo] {report:?}");
            process::ExitCode::FAILURE
        }
    }
}

async fn run_steps(check: bool) -> BenchResult<usize> {
    println!("[demo] starts a platform, 6 backend servers in 3 failure domains and 6 gateways");
    let fleet = Fleet::start(plan()).await?;
    let mut demo = Demo {
        fleet,
        client: CallerClient::default(),
        failures: 0,
        number: 0,
    };
    demo.print_addresses();
    demo.read_everywhere().await;
    demo.write_once().await?;
    demo.press_twice().await?;
    demo.edit_table().await?;
    demo.refuse_bad_edit().await?;
    demo.kill_gateway().await?;
    demo.stop_gateway().await?;
    if !check {
        println!("[demo] the fleet stays up; press Ctrl-C to end it");
        let _ = tokio::signal::ctrl_c().await;
    }
    Ok(demo.failures)
}

fn plan() -> FleetConfig {
    FleetConfig {
        gateways: 6,
        domains: 3,
        pools: vec![PoolConfig::new("reading", 6)],
        class_rows: classes(0),
        ..FleetConfig::default()
    }
}

fn classes(rate_limit: u32) -> Vec<serde_json::Value> {
    vec![
        json!({
            "class": "read-policy", "method": "GET", "path": "/policies/", "pool": "reading",
            "repeat": "repeatable", "deadline_ms": 2000, "queue_ms": 500, "floor": 0.5,
            "rate_limit": rate_limit,
        }),
        json!({
            "class": "acknowledge", "method": "POST", "path": "/acknowledgements/",
            "pool": "reading", "repeat": "keyed", "deadline_ms": 5000, "queue_ms": 500,
            "window_s": WINDOW_SECONDS,
        }),
    ]
}

impl Demo {
    fn print_addresses(&self) {
        for place in &self.fleet.layout.gateways {
            println!(
                "[demo] {} in {}: callers http://{} status http://{}/status",
                place.name, place.domain, place.listen, place.status_address
            );
        }
        println!(
            "[demo] logs and settings: {}",
            self.fleet.folder().display()
        );
    }

    fn judge(&mut self, step: &str, held: bool, detail: &str) {
        let verdict = if held { "held" } else { "NOT HELD" };
        println!("[demo] {step}: {verdict}; {detail}");
        self.failures += usize::from(!held);
    }

    async fn send(&self, gateway: usize, request: &CallerRequest) -> Option<CallerResponse> {
        let address = self.fleet.layout.gateways[gateway].listen;
        self.client.send(address, request, ANSWER_LIMIT).await.ok()
    }

    fn read(&mut self) -> (CallerRequest, String) {
        self.number += 1;
        let nonce = format!("read-{}", self.number);
        let request = CallerRequest::new(hyper::Method::GET, "/policies/leave")
            .header("x-caller", "nurse")
            .header("request-nonce", nonce.clone())
            .header("answer-bytes", "20000");
        (request, nonce)
    }

    /// A read through every gateway returns the whole answer to that very request.
    async fn read_everywhere(&mut self) {
        let gateways = self.fleet.layout.gateways.len();
        let mut whole = 0;
        for gateway in 0..gateways {
            whole += usize::from(self.read_through(gateway).await);
        }
        let detail = format!("{whole} of {gateways} gateways answered whole");
        self.judge("repeatable read", whole == gateways, &detail);
    }

    async fn read_through(&mut self, gateway: usize) -> bool {
        let (request, nonce) = self.read();
        let Some(answer) = self.send(gateway, &request).await else {
            println!("[demo] no answer within {} s", ANSWER_LIMIT.as_secs());
            return false;
        };
        let whole = answer.status == 200
            && !answer.truncated
            && check_response(&answer.body, "nurse", &nonce) == ResponseCheck::Good;
        if !whole {
            let reason = answer.header("toucanledge-reason");
            println!(
                "[demo] status {} {reason}, {} bytes",
                answer.status,
                answer.body.len()
            );
        }
        whole
    }

    async fn acknowledge(&self, gateway: usize, key: &str) -> Option<CallerResponse> {
        let request = CallerRequest::new(hyper::Method::POST, "/acknowledgements/leave")
            .header("x-caller", "nurse")
            .header("idempotency-key", key)
            .header("request-nonce", format!("{key}-{gateway}"));
        let answer = self.send(gateway, &request).await;
        let reason = answer
            .as_ref()
            .map_or("no answer", |answer| answer.header("toucanledge-reason"));
        if !reason.is_empty() {
            println!("[demo] keyed write {key} through gateway {gateway}: {reason}");
        }
        answer
    }

    async fn runs_of(&self, key: &str) -> BenchResult<usize> {
        let records = self.fleet.fetch_request_records().await?;
        Ok(records
            .iter()
            .filter(|run| run.key == key && run.started.is_some())
            .count())
    }

    /// A keyed write runs once, and its repeat through another gateway gets the same answer.
    async fn write_once(&mut self) -> BenchResult<()> {
        let started = time::Instant::now();
        let mut first = None;
        let mut refusals = 0;
        while first.is_none() && started.elapsed() < ESTABLISH_LIMIT {
            match self.acknowledge(0, "ack-1").await {
                Some(answer) if answer.status == 200 => first = Some(answer),
                _ => {
                    refusals += 1;
                    tokio::time::sleep(time::Duration::from_millis(500)).await;
                }
            }
        }
        println!(
            "[demo] the new fleet took keyed work after {:.1} s; {refusals} tries were refused",
            started.elapsed().as_secs_f64()
        );
        let again = self.acknowledge(4, "ack-1").await;
        let same = match (&first, &again) {
            (Some(first), Some(again)) => first.body == again.body && again.status == 200,
            _ => false,
        };
        let runs = self.runs_of("ack-1").await?;
        let detail = format!("runs: {runs}, same answer again: {same}");
        self.judge(
            "keyed write, repeated through another gateway",
            same && runs == 1,
            &detail,
        );
        Ok(())
    }

    /// Two presses at once, without a key, through two gateways.
    async fn press_twice(&mut self) -> BenchResult<()> {
        let request = CallerRequest::new(hyper::Method::POST, "/acknowledgements/safety")
            .header("x-caller", "nurse")
            .header("request-nonce", "press")
            .header("work-ms", "100")
            .body("same form");
        let (left, right) = tokio::join!(self.send(1, &request), self.send(2, &request));
        let answered = [left, right]
            .into_iter()
            .flatten()
            .filter(|answer| answer.status == 200);
        let answered = answered.count();
        let runs = self.runs_of("press").await?;
        let detail = format!("answers: {answered}, runs: {runs}");
        self.judge(
            "double press without a key",
            answered == 2 && runs == 1,
            &detail,
        );
        Ok(())
    }

    async fn table_revision(&self, gateway: usize) -> Option<u64> {
        let status = self.fleet.layout.gateways[gateway].status_address;
        let request = CallerRequest::new(hyper::Method::GET, "/status");
        let answer = self
            .client
            .send(status, &request, ANSWER_LIMIT)
            .await
            .ok()?;
        let page: serde_json::Value = answer.json().ok()?;
        page["table_revision"].as_u64()
    }

    /// An edit takes effect on every gateway.
    async fn edit_table(&mut self) -> BenchResult<()> {
        let mut rows = self.fleet.layout.server_rows();
        rows.extend(classes(RATE_LIMIT));
        let published = time::Instant::now();
        let revision = self.fleet.publish_table(&rows).await?;
        println!("[demo] published revision {revision}: read-policy gets rate_limit {RATE_LIMIT}");
        let mut waiting: Vec<usize> = (0..self.fleet.layout.gateways.len()).collect();
        while !waiting.is_empty() && published.elapsed() < EDIT_LIMIT {
            let mut still = Vec::new();
            for gateway in waiting {
                if self.table_revision(gateway).await == Some(revision) {
                    let name = &self.fleet.layout.gateways[gateway].name;
                    let millis = published.elapsed().as_millis();
                    println!("[demo] revision {revision} is in force on {name} after {millis} ms");
                } else {
                    still.push(gateway);
                }
            }
            waiting = still;
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
        let detail = format!("gateways without it: {}", waiting.len());
        self.judge("edit of the table", waiting.is_empty(), &detail);
        self.meet_rate_limit().await;
        Ok(())
    }

    /// The new limit holds for the fleet: all gateways together answer no more than it allows.
    async fn meet_rate_limit(&mut self) {
        let gateways = self.fleet.layout.gateways.len();
        let started = time::Instant::now();
        let (mut answered, mut limited) = (0, 0);
        while started.elapsed() < RATE_LIMIT_TIME {
            let (request, _) = self.read();
            let gateway = usize::try_from(self.number).unwrap_or(0) % gateways;
            match self.send(gateway, &request).await {
                Some(answer) if answer.status == 200 => answered += 1,
                Some(answer) if answer.header("toucanledge-reason") == "rate-limit" => limited += 1,
                _ => {}
            }
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
        let allowed = f64::from(RATE_LIMIT) * (started.elapsed().as_secs_f64() + BURST_SECONDS);
        let held = limited > 0 && answered > 0 && f64::from(answered) <= allowed;
        let detail = format!("{answered} answered, {allowed:.0} allowed, {limited} refused");
        self.judge("rate limit over all gateways", held, &detail);
    }

    /// An edit with an error is refused whole and the former table stays.
    async fn refuse_bad_edit(&mut self) -> BenchResult<()> {
        let mut unlimited = self.fleet.layout.server_rows();
        unlimited.extend(classes(0));
        let revision = self.fleet.publish_table(&unlimited).await?;
        println!("[demo] published revision {revision}: read-policy has no rate limit again");
        tokio::time::sleep(time::Duration::from_secs(1)).await;
        let before = self.table_revision(0).await;
        let mut rows = self.fleet.layout.server_rows();
        rows.extend(classes(0));
        rows.push(json!({"class": "broken", "pool": "nowhere", "floor": 2.0, "repeat": "keyed"}));
        let revision = self.fleet.publish_table(&rows).await?;
        tokio::time::sleep(time::Duration::from_secs(1)).await;
        let after = self.table_revision(0).await;
        let held = before.is_some() && before == after;
        let detail = format!("published {revision}, in force {after:?}");
        self.judge("edit with errors is refused", held, &detail);
        Ok(())
    }

    /// Requests go on while a gateway is killed and replaced.
    async fn kill_gateway(&mut self) -> BenchResult<()> {
        let name = self.fleet.layout.gateways[3].name.clone();
        println!("[demo] kills {name}");
        self.fleet.signal_gateway(3, FleetSignal::Kill)?;
        let mut whole = 0;
        for turn in 0..30 {
            let gateway = [0, 1, 2, 4, 5][turn % 5];
            whole += usize::from(self.read_through(gateway).await);
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        let write = self
            .acknowledge(1, "ack-2")
            .await
            .is_some_and(|answer| answer.status == 200);
        let runs = self.runs_of("ack-2").await?;
        let held = whole == 30 && write && runs == 1;
        let detail = format!("reads: {whole} of 30, keyed write: {write}, runs: {runs}");
        self.judge("one gateway killed", held, &detail);
        self.fleet.replace_gateway(3).await?;
        let ready = self.fleet.wait_gateway_ready(3, EDIT_LIMIT).await.is_ok();
        let served = self.read_through(3).await;
        self.judge("its replacement serves", ready && served, &name);
        Ok(())
    }

    /// A planned stop waits for a request in flight.
    async fn stop_gateway(&mut self) -> BenchResult<()> {
        let name = self.fleet.layout.gateways[5].name.clone();
        let (request, nonce) = self.read();
        let request = request.header("work-ms", "1500");
        let address = self.fleet.layout.gateways[5].listen;
        let client = CallerClient::default();
        let task = tokio::spawn(async move { client.send(address, &request, ANSWER_LIMIT).await });
        tokio::time::sleep(time::Duration::from_millis(200)).await;
        println!("[demo] stops {name} with a request in flight");
        self.fleet.signal_gateway(5, FleetSignal::Term)?;
        let answer = task.await.ok().and_then(Result::ok);
        let whole = answer.is_some_and(|answer| {
            check_response(&answer.body, "nurse", &nonce) == ResponseCheck::Good
        });
        let status = self.fleet.wait_for_exit(&name, ANSWER_LIMIT).await;
        let ended = status.is_some_and(|status| status.success());
        let detail = format!("answer whole: {whole}, exit 0: {ended}");
        self.judge("graceful stop", whole && ended, &detail);
        Ok(())
    }
}
