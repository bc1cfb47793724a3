//! A stopping gateway breaks off answers that clients still read.

use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Caller, Ending};
use crate::gateway::{Gateway, SIGTERM};
use crate::site::{Route, Site};
use crate::worker::WorkerPlan;

/// Size of an answer; the gateway accepts 16 MiB.
const ANSWER_BYTES: usize = 12 * 1024 * 1024;
/// Rate of a client's line; an answer takes 2 s.
const LINE_BYTES_PER_S: usize = 6 * 1024 * 1024;
const WINDOW_BYTES: i32 = 256 * 1024;
const BUDGET_MS: u64 = 2_500;
const GATEWAYS: [u8; 3] = [11, 12, 13];
const CLIENTS: usize = 36;
/// Times between two requests of a client, which keeps its connection: 2 s to 6 s.
const PAUSE_MIN_MS: u64 = 2_000;
const PAUSE_SPREAD_MS: u64 = 4_000;
/// Time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(6);
/// Time from SIGTERM after which the platform sends no new connections: two misses, a second apart.
const ROTATION_TIME: Duration = Duration::from_secs(2);
/// Time of a stop and a start, for the run without them.
const STOP_TIME: Duration = Duration::from_millis(4_500);
/// Every gateway is stopped so often.
const ROUNDS: usize = 2;

struct Machine {
    gateway: Mutex<Gateway>,
    in_rotation: AtomicBool,
    /// Time of SIGTERM, in milliseconds of the record; 0 while the process serves.
    stopping_since: Mutex<u64>,
}

/// An answer that ended early, at a gateway that was being stopped.
struct BrokenOff {
    id: String,
    after_signal_ms: u64,
    after_sent_ms: u64,
}

pub fn run(case: &Path, trouble: bool) -> io::Result<bool> {
    let mut site = Site::start(case)?;
    for index in 0..10 {
        site.add_worker(WorkerPlan {
            id: format!("i-{index:02}"),
            service: "records".to_owned(),
            zone: crate::site::ZONE.to_owned(),
            work_ms: 160,
            body_bytes: ANSWER_BYTES,
            extra_one_in: None,
        })?;
    }
    let route = Route {
        prefix: "/status/",
        kind: "safe",
        service: "records",
        timeout_ms: BUDGET_MS,
        max_attempts: 2,
    };
    site.put_config(1, &[route], &["records"]);
    let machines: Arc<Vec<Machine>> = Arc::new(
        site.start_gateways(&GATEWAYS)?
            .into_iter()
            .map(|gateway| Machine {
                gateway: Mutex::new(gateway),
                in_rotation: AtomicBool::new(true),
                stopping_since: Mutex::new(0),
            })
            .collect(),
    );
    let stop = Arc::new(AtomicBool::new(false));
    let broken: Arc<Mutex<Vec<BrokenOff>>> = Arc::default();
    let served = Arc::new(Mutex::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (machines, stop) = (Arc::clone(&machines), Arc::clone(&stop));
            let (broken, served) = (Arc::clone(&broken), Arc::clone(&served));
            let record = Arc::clone(&site.record);
            thread::spawn(move || {
                let mut connection: Option<(usize, Caller)> = None;
                for count in 0.. {
                    let pause = PAUSE_MIN_MS + draw(number, count) % PAUSE_SPREAD_MS;
                    thread::sleep(Duration::from_millis(pause));
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let Some((index, mut caller)) =
                        connection.take().or_else(|| open(&machines, number + count))
                    else {
                        continue;
                    };
                    let id = format!("c{number}-{count}");
                    let host = GATEWAYS[index];
                    record.line(format!("sent id={id} gateway={host} GET /status/x"));
                    let sent = Instant::now();
                    let rate = Some(LINE_BYTES_PER_S);
                    let ending = caller.request("GET", "/status/x", &id, BUDGET_MS, rate);
                    let after_sent_ms = u64::try_from(sent.elapsed().as_millis()).unwrap();
                    match ending {
                        Ending::Answer(answer) => {
                            record.line(format!("answered id={id} status={}", answer.status()));
                            *served.lock().unwrap() += u32::from(answer.status() == 200);
                            if answer.header("connection") != Some("close") {
                                connection = Some((index, caller));
                            }
                        }
                        Ending::CutOff(read, stated) => {
                            record.line(format!(
                                "broken off id={id} gateway={host} after {after_sent_ms} ms: {read} of \
                                 {stated} bytes"
                            ));
                            let since = *machines[index].stopping_since.lock().unwrap();
                            if since > 0 {
                                broken.lock().unwrap().push(BrokenOff {
                                    id,
                                    after_signal_ms: record.now_ms() - since,
                                    after_sent_ms,
                                });
                            }
                        }
                        Ending::NoAnswer(error) => {
                            record.line(format!("ended id={id} gateway={host} unanswered: {error}"));
                        }
                    }
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(8));
    for _ in 0..ROUNDS {
        for machine in machines.iter() {
            if trouble {
                stop_and_start(machine, &site)?;
            } else {
                thread::sleep(STOP_TIME);
            }
            thread::sleep(Duration::from_secs(2));
        }
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        drop(client.join());
    }
    let runs = site.runs();
    let broken = broken.lock().unwrap();
    // Counted: within the client's time budget, before the end of the grace time, and run by a worker.
    let counted: Vec<&BrokenOff> = broken
        .iter()
        .filter(|broken| runs.contains_key(&broken.id) && broken.after_sent_ms < BUDGET_MS)
        .filter(|broken| u128::from(broken.after_signal_ms) < GRACE.as_millis())
        .collect();
    for broken in &counted {
        site.record.line(format!(
            "counted id={} {} ms after SIGTERM",
            broken.id, broken.after_signal_ms
        ));
    }
    let served = *served.lock().unwrap();
    site.record.say(format!(
        "answers={served} broken_off_at_a_stop={} counted={}",
        broken.len(),
        counted.len()
    ));
    if served == 0 {
        return Err(io::Error::other("nothing was served"));
    }
    Ok(!counted.is_empty())
}

/// Returns a number that looks random.
fn draw(client: usize, count: usize) -> u64 {
    let seed = u64::try_from(client * 1_000 + count + 1).unwrap();
    (seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33) ^ (seed << 7)
}

/// Connects to a machine that is in rotation.
fn open(machines: &[Machine], first: usize) -> Option<(usize, Caller)> {
    (0..machines.len()).find_map(|step| {
        let index = (first + step) % machines.len();
        let machine = &machines[index];
        if !machine.in_rotation.load(Ordering::Relaxed) {
            return None;
        }
        let front = machine.gateway.lock().unwrap().front();
        let caller = Caller::connect_limited(front, WINDOW_BYTES).ok()?;
        Some((index, caller))
    })
}

/// Stops a gateway as the platform does, and starts it again.
fn stop_and_start(machine: &Machine, site: &Site) -> io::Result<()> {
    let (plan, signalled) = {
        let gateway = machine.gateway.lock().unwrap();
        gateway.signal(SIGTERM);
        (gateway.plan.clone(), Instant::now())
    };
    *machine.stopping_since.lock().unwrap() = site.record.now_ms().max(1);
    site.record
        .line(format!("SIGTERM to gateway {}", plan.host));
    let mut ended = false;
    while !ended && signalled.elapsed() < GRACE {
        if signalled.elapsed() >= ROTATION_TIME {
            machine.in_rotation.store(false, Ordering::Relaxed);
        }
        thread::sleep(Duration::from_millis(10));
        ended = machine.gateway.lock().unwrap().has_ended();
    }
    machine.gateway.lock().unwrap().kill();
    site.record.line(format!(
        "gateway {} ended={ended} after {} ms",
        plan.host,
        signalled.elapsed().as_millis()
    ));
    thread::sleep(Duration::from_millis(500));
    let started = Gateway::start(plan)?;
    started.wait_ready()?;
    *machine.gateway.lock().unwrap() = started;
    *machine.stopping_since.lock().unwrap() = 0;
    machine.in_rotation.store(true, Ordering::Relaxed);
    Ok(())
}
