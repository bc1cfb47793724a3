//! Stand-in of a worker, by PROTOCOL.md.

use std::collections::HashMap;
use std::io;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http;
use crate::record::Record;

/// Slots of a worker.
pub const SLOTS: u32 = 4;

/// How a worker answers.
#[derive(Clone)]
pub struct WorkerPlan {
    pub id: String,
    pub service: String,
    pub zone: String,
    /// Time that the work of a request takes.
    pub work_ms: u64,
    /// Size of the body of its answers.
    pub body_bytes: usize,
    /// Of its answers on connections that are kept, one in this many is followed by an extra
    /// response that names the same request and arrives where the next response is expected.
    pub extra_one_in: Option<u64>,
}

struct Shared {
    plan: WorkerPlan,
    body: Vec<u8>,
    record: Arc<Record>,
    runs: Mutex<HashMap<String, u32>>,
    answers: AtomicU64,
    extra_on: AtomicBool,
}

/// A worker that records what it runs.
#[derive(Clone)]
pub struct Worker {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Worker {
    /// Starts a worker.
    pub fn start(address: SocketAddr, plan: WorkerPlan, record: &Arc<Record>) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let worker = Self {
            address: listener.local_addr()?,
            shared: Arc::new(Shared {
                body: vec![b'w'; plan.body_bytes],
                plan,
                record: Arc::clone(record),
                runs: Mutex::default(),
                answers: AtomicU64::new(0),
                extra_on: AtomicBool::new(false),
            }),
        };
        let serving = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = serving.clone();
                thread::spawn(move || drop(worker.serve(stream)));
            }
        });
        Ok(worker)
    }

    /// Returns the key of its entry in the store.
    pub fn key(&self) -> String {
        format!("servers/{}", self.shared.plan.id)
    }

    /// Returns its entry in the store.
    pub fn entry(&self, state: &str, seq: u64) -> String {
        let plan = &self.shared.plan;
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{SLOTS},"state":"{state}","cold_left":"0ms","seq":{seq},"born":1769247340000}}"#,
            plan.service, self.address, plan.zone
        )
    }

    /// Switches the extra responses on or off.
    pub fn set_extra(&self, on: bool) {
        self.shared.extra_on.store(on, Ordering::Relaxed);
    }

    /// Returns how often it ran each request.
    pub fn runs(&self) -> HashMap<String, u32> {
        self.shared.runs.lock().unwrap().clone()
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let Shared {
            plan, body, record, ..
        } = &*self.shared;
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        let mut extra_for: Option<String> = None;
        while let Some(request) = http::read_message(&mut reader)? {
            let id = request.header("x-toucanledge-attempt-id").unwrap_or("");
            let target = request.header("x-toucanledge-target-instance");
            if target.is_some_and(|target| target != plan.id) {
                let headers = [("X-Toucanledge-Instance-Id", plan.id.as_str())];
                http::write_response(&mut writer, "421 Misdirected Request", &headers, b"")?;
                continue;
            }
            *self
                .shared
                .runs
                .lock()
                .unwrap()
                .entry(id.to_owned())
                .or_default() += 1;
            record.line(format!(
                "run worker={} service={} id={id} request={:?}",
                plan.id, plan.service, request.start
            ));
            if let Some(earlier) = extra_for.take() {
                record.line(format!(
                    "extra worker={} id={earlier} where the response to id={id} is expected",
                    plan.id
                ));
                let headers = [
                    ("X-Toucanledge-Attempt-Id", earlier.as_str()),
                    ("X-Toucanledge-Not-Executed", "1"),
                ];
                http::write_response(&mut writer, "503 Service Unavailable", &headers, b"")?;
            }
            thread::sleep(Duration::from_millis(plan.work_ms));
            let headers = [
                ("X-Toucanledge-Attempt-Id", id),
                ("X-Toucanledge-Response-Signature", "3e1b.07.5a2.0.c9f2a4d1"),
                ("Keep-Alive", "timeout=10"),
            ];
            http::write_response(&mut writer, "200 OK", &headers, body)?;
            let answer = self.shared.answers.fetch_add(1, Ordering::Relaxed);
            if let Some(every) = plan.extra_one_in
                && self.shared.extra_on.load(Ordering::Relaxed)
                && answer % every == every - 1
            {
                extra_for = Some(id.to_owned());
            }
        }
        writer.flush()
    }
}
