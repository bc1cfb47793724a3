//! An extra response that names an earlier request says that it was not run.

use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::{Caller, Ending};
use crate::site::{Route, Site};
use crate::worker::WorkerPlan;

const WORKERS: usize = 10;
/// Share of the workers that are faulty: 0.6, as in the site's list of troubles.
const FAULTY_WORKERS: usize = 6;
/// One answer in 33 is followed by an extra response: 0.03, as in the same list.
const EXTRA_ONE_IN: u64 = 33;
const CLIENTS: usize = 48;
const PAUSE: Duration = Duration::from_millis(250);
const BUDGET_MS: u64 = 3_000;
const FAULT_FROM_MS: u64 = 4_000;
/// Length of a spell of faults, and of the pause between two, in milliseconds.
const SPELL_MS: u64 = 5_000;
const SPELLS: usize = 3;

pub fn run(case: &Path, trouble: bool) -> io::Result<bool> {
    let mut site = Site::start(case)?;
    let mut faulty = Vec::new();
    for index in 0..WORKERS {
        let worker = site.add_worker(WorkerPlan {
            id: format!("i-{index:02}"),
            service: "records".to_owned(),
            zone: crate::site::ZONE.to_owned(),
            work_ms: 100,
            body_bytes: 600,
            extra_one_in: Some(EXTRA_ONE_IN),
        })?;
        if index < FAULTY_WORKERS {
            faulty.push(worker);
        }
    }
    let route = |prefix, max_attempts| Route {
        prefix,
        kind: "unsafe",
        service: "records",
        timeout_ms: 2_500,
        max_attempts,
    };
    let routes = [route("/medical/", 2), route("/fees/", 1)];
    site.put_config(1, &routes, &["records"]);
    let gateways = site.start_gateways(&[11, 12])?;
    let stop = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let front = gateways[number % gateways.len()].front();
            let (stop, answers) = (Arc::clone(&stop), Arc::clone(&answers));
            let record = Arc::clone(&site.record);
            thread::spawn(move || {
                let mut connection: Option<Caller> = None;
                for count in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("c{number}-{count}");
                    let Some(mut caller) =
                        connection.take().or_else(|| Caller::connect(front).ok())
                    else {
                        continue;
                    };
                    let path = if number % 3 == 0 {
                        "/fees/x"
                    } else {
                        "/medical/x"
                    };
                    record.line(format!("sent id={id} POST {path}"));
                    match caller.request("POST", path, &id, BUDGET_MS, None) {
                        Ending::Answer(answer) => {
                            record.line(format!("answered id={id} status={}", answer.status()));
                            answers.lock().unwrap().push((id, answer.status()));
                            if answer.header("connection") != Some("close") {
                                connection = Some(caller);
                            }
                        }
                        ending => record.line(format!("ended id={id} {ending:?}")),
                    }
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    site.wait_until(site.record.now_ms() + FAULT_FROM_MS);
    for _ in 0..SPELLS {
        for extra in [trouble, false] {
            faulty.iter().for_each(|worker| worker.set_extra(extra));
            site.wait_until(site.record.now_ms() + SPELL_MS);
        }
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        drop(client.join());
    }
    let runs = site.runs();
    let twice = runs.values().filter(|count| **count > 1).count();
    let answers = answers.lock().unwrap();
    let refused: Vec<&str> = answers
        .iter()
        .filter(|(id, status)| [408, 421, 429, 503].contains(status) && runs.contains_key(id))
        .map(|(id, _)| id.as_str())
        .collect();
    let served = answers.iter().filter(|(_, status)| *status == 200).count();
    site.record.say(format!(
        "requests={} served={served} run_twice={twice} refused_though_run={}",
        answers.len(),
        refused.len()
    ));
    if served == 0 {
        return Err(io::Error::other("nothing was served"));
    }
    Ok(twice > 0 || !refused.is_empty())
}
