//! A gateway goes on with an old configuration and with workers that have left.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::{Caller, Ending};
use crate::gateway::Gateway;
use crate::proxy::Proxies;
use crate::site::{CONFIG_APPLY_MS, DRAIN_MS, Route, Site};
use crate::worker::WorkerPlan;

const CLIENTS_PER_GATEWAY: usize = 8;
const PAUSE: Duration = Duration::from_millis(200);
const BUDGET_MS: u64 = 2_500;
/// Time from the start of the traffic to the trouble.
const TROUBLE_AT_MS: u64 = 4_000;
/// Time from the trouble to the changes.
const CHANGE_AFTER_MS: u64 = 4_000;
/// Time for which requests are sent after the changes.
const WATCHED_MS: u64 = 8_000;
/// Entries of another writer, and their size: `value_bytes` of the store.
const FOREIGN_ENTRIES: usize = 5;
const VALUE_BYTES: usize = 1_048_576;
/// Time between two writes of the other writer; the store takes 400 a second.
const WRITE_PAUSE: Duration = Duration::from_millis(5);
/// Longest cut of machines in the site file.
const CUT_MS: u64 = 12_000;

/// The disruption of a case.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// Another writer enters values that cannot be read.
    ForeignEntries,
    /// One machine of three hears nothing of the others, which hear it.
    OneWayCut,
}

/// A request as its client saw it.
struct Sent {
    id: String,
    gateway: usize,
    path: &'static str,
    at_ms: u64,
}

fn routes(reading_service: &'static str) -> [Route; 2] {
    let route = |prefix, service| Route {
        prefix,
        kind: "safe",
        service,
        timeout_ms: 2_500,
        max_attempts: 2,
    };
    [
        route("/status/", reading_service),
        route("/fees/", "payments"),
    ]
}

pub fn run(case: &Path, kind: Trouble, trouble: bool) -> io::Result<bool> {
    let mut site = Site::start(case)?;
    for service in ["records", "archive", "payments"] {
        for index in 0..4 {
            site.add_worker(WorkerPlan {
                id: format!("i-{service}-{index}"),
                service: service.to_owned(),
                zone: crate::site::ZONE.to_owned(),
                work_ms: 30,
                body_bytes: 600,
                extra_one_in: None,
            })?;
        }
    }
    let services = ["records", "archive", "payments"];
    site.put_config(1, &routes("records"), &services);
    let (gateways, proxies) = match kind {
        Trouble::ForeignEntries => (site.start_gateways(&[11, 12, 13])?, None),
        Trouble::OneWayCut => {
            let proxies = Proxies::start(site.network, 3)?;
            (proxies.start_gateways(&site)?, Some(proxies))
        }
    };
    let stop = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let clients = start_clients(&site, &gateways, &stop, &sent);
    site.wait_until(site.record.now_ms() + TROUBLE_AT_MS);
    let cut_until = site.record.now_ms() + CUT_MS;
    if trouble {
        match kind {
            Trouble::ForeignEntries => write_foreign_entries(&site),
            Trouble::OneWayCut => {
                site.record
                    .line("cut: nothing from gateways 2 and 3 reaches gateway 1");
                proxies.iter().for_each(|proxies| proxies.cut_to(1, true));
            }
        }
    }
    site.wait_until(site.record.now_ms() + CHANGE_AFTER_MS);
    let leaving = &site.workers["i-payments-0"];
    site.store
        .put(&leaving.key(), &leaving.entry("draining", 9));
    site.record
        .line("worker i-payments-0 draining, acknowledged");
    let drained_at = site.record.now_ms();
    let applied_at = site.put_config(2, &routes("archive"), &services);
    site.wait_until(applied_at + WATCHED_MS);
    if kind == Trouble::OneWayCut {
        site.wait_until(cut_until);
        proxies.iter().for_each(|proxies| proxies.cut_to(1, false));
        site.record.line("the cut ends");
        thread::sleep(Duration::from_secs(2));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        drop(client.join());
    }
    let mut sent = sent.lock().unwrap();
    if kind == Trouble::OneWayCut {
        // Only machines without a disturbance of their own are judged.
        sent.retain(|request| request.gateway != 0);
    }
    judge(&site, &sent, applied_at, drained_at)
}

fn start_clients(
    site: &Site,
    gateways: &[Gateway],
    stop: &Arc<AtomicBool>,
    sent: &Arc<Mutex<Vec<Sent>>>,
) -> Vec<thread::JoinHandle<()>> {
    let mut clients = Vec::new();
    for number in 0..CLIENTS_PER_GATEWAY * gateways.len() {
        let gateway = number % gateways.len();
        let front: SocketAddr = gateways[gateway].front();
        let (stop, sent) = (Arc::clone(stop), Arc::clone(sent));
        let record = Arc::clone(&site.record);
        clients.push(thread::spawn(move || {
            for count in 0.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let path = if count % 2 == 0 {
                    "/status/x"
                } else {
                    "/fees/x"
                };
                let id = format!("c{number}-{count}");
                let at_ms = record.now_ms();
                record.line(format!("sent id={id} gateway={} GET {path}", gateway + 1));
                let ending = Caller::connect(front)
                    .map(|mut caller| caller.request("GET", path, &id, BUDGET_MS, None));
                match ending {
                    Ok(Ending::Answer(answer)) => {
                        record.line(format!("answered id={id} status={}", answer.status()));
                    }
                    ending => record.line(format!("ended id={id} {ending:?}")),
                }
                sent.lock().unwrap().push(Sent {
                    id,
                    gateway,
                    path,
                    at_ms,
                });
                thread::sleep(PAUSE);
            }
        }));
    }
    clients
}

fn write_foreign_entries(site: &Site) {
    for index in 0..FOREIGN_ENTRIES {
        let value = vec![0xff; VALUE_BYTES];
        let key = format!("servers/x-{index}");
        site.record
            .line(format!("another writer enters {key}, {VALUE_BYTES} bytes"));
        site.store.put_all(vec![(key, Some(value))]);
        thread::sleep(WRITE_PAUSE);
    }
}

fn judge(site: &Site, sent: &[Sent], applied_at: u64, drained_at: u64) -> io::Result<bool> {
    let mut runs_by_worker: HashMap<&str, HashMap<String, u32>> = HashMap::new();
    for (id, worker) in &site.workers {
        runs_by_worker.insert(id, worker.runs());
    }
    let ran_at = |request: &str, worker: &str| runs_by_worker[worker].contains_key(request);
    let mut old = HashMap::new();
    let mut left: HashMap<usize, u32> = HashMap::new();
    let mut new = 0;
    for request in sent {
        let by = |service: &str| {
            (0..4).any(|index| ran_at(&request.id, &format!("i-{service}-{index}")))
        };
        if request.path == "/status/x" && request.at_ms > applied_at + CONFIG_APPLY_MS {
            if by("records") {
                *old.entry(request.gateway + 1).or_insert(0) += 1;
            } else if by("archive") {
                new += 1;
            }
        }
        if request.path == "/fees/x"
            && request.at_ms > drained_at + DRAIN_MS
            && ran_at(&request.id, "i-payments-0")
        {
            *left.entry(request.gateway + 1).or_default() += 1;
        }
    }
    site.record.say(format!(
        "requests={} sent later than config_apply: run by the new service={new}, by the old one, by \
         gateway={old:?}; sent later than drain and run by the leaving worker, by gateway={left:?}",
        sent.len()
    ));
    if new == 0 && old.is_empty() {
        return Err(io::Error::other("nothing was served"));
    }
    Ok(!old.is_empty() || !left.is_empty())
}
