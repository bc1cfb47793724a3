//! Records what backend servers say of themselves in the heads of their responses.
//!
//! Peers are not told: a pause is asked of one gateway, and a leaving server tells each gateway with
//! its next response, so that no gateway's word alone can take servers out of use elsewhere.

use std::fmt;

use hyper::StatusCode;
use hyper::http::response::Parts as ResponseHead;
use toucanledge_core::Millis;
use toucanledge_steering::{
    NoticeProblem, ServerEntry, ServerNotice, ServerProcess, ServerRegistry,
};

use crate::attempt::AttemptTarget;
use crate::proxy::ProxyService;

/// Request and backend server of a response, for the log.
struct NoticeSource<'a> {
    server: &'a str,
    request_id: &'a str,
    status: StatusCode,
}

impl fmt::Display for NoticeSource<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "server={} id={} status={}",
            self.server,
            self.request_id,
            self.status.as_u16()
        )
    }
}

impl ProxyService {
    /// Returns whether a request may still be sent to a backend server that was selected before.
    pub(crate) fn accepts_work(&self, target: &AttemptTarget, now: Millis) -> bool {
        let state = self.state();
        let entry = state.servers.get(target.key);
        entry.is_some_and(|entry| entry.accepts_work(now))
    }

    /// Records what the head of a response to a request says of its backend server.
    pub(crate) fn record_notice(
        &self,
        target: &AttemptTarget,
        request_id: &str,
        head: &ResponseHead,
    ) {
        let notice = (self.header_names.decode_notice)(head.status, &head.headers);
        if notice == ServerNotice::default() {
            return;
        }
        let source = NoticeSource {
            server: &target.name,
            request_id,
            status: head.status,
        };
        for problem in &notice.problems {
            log_problem(&source, *problem);
        }
        let now = self.clock.now();
        let mut state = self.state();
        let mut processes = vec![target.process];
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            // The response comes from the server that has the address now.
            processes.extend(state.servers.other_processes_at(&target.process));
        }
        for process in processes {
            let change = state.servers.apply_notice(&process, &notice, now);
            log_ended(&mut state.servers);
            if change.pause_bounded {
                log_problem(&source, NoticeProblem::PauseTooLong);
            }
            if change.became_leaving {
                log_leaving(&source, &process);
            }
            if let Some(until) = change.paused_until {
                log_pause(
                    &source,
                    &process,
                    self.clock.unix_ms(until),
                    until.since(now),
                );
            }
        }
    }
}

fn log_problem(source: &NoticeSource<'_>, problem: NoticeProblem) {
    let kind: &'static str = problem.into();
    metrics::counter!("toucanledge_invalid_notices_total", "kind" => kind).increment(1);
    log::warn!("[notice] {source} invalid={kind}");
}

fn log_leaving(source: &NoticeSource<'_>, process: &ServerProcess) {
    metrics::counter!("toucanledge_leaving_notices_total").increment(1);
    log::info!(
        "[notice] {source} leaving address={} incarnation={}",
        process.address,
        process.incarnation.unwrap_or_default()
    );
}

fn log_pause(source: &NoticeSource<'_>, process: &ServerProcess, until_ms: u64, for_ms: u64) {
    metrics::counter!("toucanledge_pause_notices_total").increment(1);
    log::info!(
        "[notice] {source} paused until_ms={until_ms} for_ms={for_ms} address={} incarnation={}",
        process.address,
        process.incarnation.unwrap_or_default()
    );
}

/// Logs the notices that are no longer in force.
pub fn log_ended(servers: &mut ServerRegistry) {
    for (process, end) in servers.take_ended_notices() {
        let entry = servers.find(process.id).and_then(|key| servers.get(key));
        let name = entry.map_or("-", server_name);
        log::info!(
            "[notice] server={name} ended={end} address={} incarnation={}",
            process.address,
            process.incarnation.unwrap_or_default()
        );
    }
}

fn server_name(entry: &ServerEntry) -> &str {
    &entry.row.name
}
