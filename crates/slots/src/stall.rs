//! Detection of backend servers that stall: requests there do not complete, while those at their
//! peers do.

use std::{collections, hash, ops};

use toucanledge_core::{ClassId, Millis};

use crate::EjectionReason;
use crate::dispatcher::ShardDispatcher;
use crate::long_work;
use crate::server;
use crate::timing;

/// Least age at which a request counts as stalled.
const STALL_MS: u64 = 150;
/// Multiple of the peer median at which a request counts as stalled.
const STALL_MEDIANS: u64 = 8;
/// Least number of completed requests at the peers for a comparison.
const MIN_PEER_SAMPLES: usize = 3;
/// Time before the first and after the last start of the stalled requests; requests that ran at
/// the peers in this window are compared.
const PEER_WINDOW_MS: u64 = 60;
/// Additional callers needed at a backend server that recently was slow for some callers only.
const OVERTAKE_EXTRA_CALLERS: u32 = 3;
/// Time after an overtaken request for which a backend server counts as slow for some callers only.
const OVERTAKE_TTL_MS: u64 = 10_000;
/// Callers with stalled requests that suffice at a blocked backend server, where every slot is in
/// use and nothing completes: the number of slots within this range.
const BLOCKED_CALLERS: ops::RangeInclusive<u32> = 2..=3;
/// Least number of callers with stalled requests at a backend server that is not blocked.
///
/// With two, callers that are slow at one backend server only were mistaken for a stall when no
/// other caller used it meanwhile.
const MIN_STALL_CALLERS: u32 = 3;
/// Accepted probability that unpredicted long requests of as many callers meet by chance and are
/// mistaken for a stall.
const FALSE_POSITIVE_PROBABILITY: f64 = 1e-6;

/// Request in flight or abandoned that may be stalled.
#[derive(Clone, Copy, Debug)]
struct StalledRequest {
    start: Millis,
    age_ms: u64,
    attributes: long_work::RequestAttributes,
}

/// Stalled requests of one class at one backend server.
#[derive(Debug, Default)]
struct StallEvidence {
    requests: Vec<StalledRequest>,
}

impl ShardDispatcher {
    /// Returns the stall of the backend server, if one is detected.
    pub(crate) fn detect_stall(
        &self,
        key: server::ServerKey,
        now: Millis,
    ) -> Option<server::ServerFault> {
        let server = self.servers.arena.get(key)?;
        if server.in_slow_start(now) || server.is_leaving() {
            return None;
        }
        self.stall_evidence(server, now)
            .into_iter()
            .filter_map(|(class, evidence)| self.assess_stall(key, class, &evidence, now))
            .max()
    }

    fn stall_evidence(
        &self,
        server: &server::Server,
        now: Millis,
    ) -> collections::BTreeMap<ClassId, StallEvidence> {
        let mut found: collections::BTreeMap<ClassId, StallEvidence> = collections::BTreeMap::new();
        let in_flight = server.leases.iter().filter_map(|key| {
            let lease = &self.leases.arena[*key];
            (!lease.expected_long()).then_some(StalledRequest {
                start: lease.start,
                age_ms: lease.age_ms(now),
                attributes: lease.attributes,
            })
        });
        let abandoned = server.abandoned.iter().map(|request| StalledRequest {
            start: request.start,
            age_ms: request.end.since(request.start),
            attributes: request.attributes,
        });
        let blocked = self.is_blocked(server, now);
        for request in in_flight.chain(abandoned) {
            let class = request.attributes.class;
            let counts = request.age_ms >= STALL_MS
                && (blocked || !server.completed_after(class, request.start))
                && !server.is_slow_for(request.attributes.caller, now);
            if counts {
                found.entry(class).or_default().requests.push(request);
            }
        }
        found
    }

    /// Returns whether every slot is in use and nothing has completed for the age of a stall.
    ///
    /// Only in this case, requests count that a later one overtook just before the stall began.
    fn is_blocked(&self, server: &server::Server, now: Millis) -> bool {
        server.free_slots(now) == 0
            && !had_recent_overtake(server, now)
            && now.since(server.last_response) >= STALL_MS
            && server.leases.iter().all(|key| {
                let lease = &self.leases.arena[*key];
                let class = self.classes.get(lease.attributes.class);
                let seen_long = class.is_none_or(|class| class.unpredicted_long.has_long());
                !lease.expected_long()
                    && !lease.overtaken
                    && !seen_long
                    && lease.age_ms(now) >= STALL_MS
            })
    }

    fn assess_stall(
        &self,
        key: server::ServerKey,
        class: ClassId,
        evidence: &StallEvidence,
        now: Millis,
    ) -> Option<server::ServerFault> {
        let requests = evidence.requests.iter();
        let oldest = requests.clone().map(|request| request.start).min()?;
        let youngest = requests.clone().map(|request| request.start).max()?;
        let peer_median_ms = self.peer_median_ms(key, class, oldest, youngest, now)?;
        let limit_ms = STALL_MS.max(STALL_MEDIANS * peer_median_ms);
        let stalled = requests.filter(|request| request.age_ms > limit_ms);
        let oldest_stall_ms = stalled.clone().map(|request| request.age_ms).max()?;
        let callers = count_distinct(stalled.map(|request| request.attributes.caller));
        let needed = self.callers_needed(key, class, now);
        (callers >= needed).then_some(server::ServerFault {
            reason: EjectionReason::Stall,
            evidence_count: callers,
            oldest_stall_ms,
            peer_median_ms,
        })
    }

    /// Returns the median service time at the peers, or none when too few requests completed there.
    ///
    /// The greater of two medians counts, so that a surge of load is not mistaken for a stall. When
    /// a surge begins, requests that started after the stalled ones are slow at the peers too. When
    /// it ends, those are fast again, but requests that ran beside the stalled ones were slow.
    fn peer_median_ms(
        &self,
        key: server::ServerKey,
        class: ClassId,
        oldest: Millis,
        youngest: Millis,
        now: Millis,
    ) -> Option<u64> {
        let window = Millis(oldest.0.saturating_sub(PEER_WINDOW_MS))..=youngest + PEER_WINDOW_MS;
        let in_window = |request: timing::TimedRequest| {
            request.start <= *window.end() && request.start + request.service_ms >= *window.start()
        };
        let started_later = |request: timing::TimedRequest| request.start >= youngest;
        let beside_ms = self.median_where(key, class, now, in_window)?;
        let later_ms = self.median_where(key, class, now, started_later)?;
        Some(beside_ms.max(later_ms))
    }

    /// Returns the median over the matching requests at the peers; those in flight count with their
    /// age.
    fn median_where(
        &self,
        key: server::ServerKey,
        class: ClassId,
        now: Millis,
        counts: impl Fn(timing::TimedRequest) -> bool,
    ) -> Option<u64> {
        let peers = self.servers.arena.iter();
        let peers = peers.filter(|(peer, server)| {
            *peer != key && server.is_in_service() && !server.in_slow_start(now)
        });
        let (mut completed, mut in_flight) = (Vec::new(), Vec::new());
        for (_, peer) in peers {
            completed.extend(
                peer.recent_requests
                    .get(&class)
                    .into_iter()
                    .flat_map(timing::RecentRequests::all),
            );
            let leases = peer.leases.iter().map(|key| &self.leases.arena[*key]);
            let short =
                leases.filter(|lease| lease.attributes.class == class && !lease.expected_long());
            in_flight.extend(short.map(|lease| timing::TimedRequest {
                start: lease.start,
                service_ms: lease.age_ms(now),
            }));
        }
        completed.retain(|request| counts(*request));
        if completed.len() < MIN_PEER_SAMPLES {
            return None;
        }
        in_flight.retain(|request| counts(*request));
        let times = completed
            .iter()
            .chain(&in_flight)
            .map(|request| request.service_ms);
        timing::median_of(&mut times.collect::<Vec<u64>>())
    }

    /// Returns how many callers must have stalled requests.
    ///
    /// The greater the share of unpredicted long work, the more long requests meet by chance. A
    /// backend server that recently was slow for some callers only needs several callers more.
    fn callers_needed(&self, key: server::ServerKey, class: ClassId, now: Millis) -> u32 {
        let server = &self.servers.arena[key];
        if self.is_blocked(server, now) {
            return server
                .slots
                .clamp(*BLOCKED_CALLERS.start(), *BLOCKED_CALLERS.end());
        }
        let state = self.classes.get(class);
        let share = state.map_or(1.0, |state| state.unpredicted_long.share());
        let by_probability =
            timing::saturating_u32((FALSE_POSITIVE_PROBABILITY.ln() / share.ln()).ceil());
        let extra = if had_recent_overtake(server, now) {
            OVERTAKE_EXTRA_CALLERS
        } else {
            0
        };
        MIN_STALL_CALLERS.max(by_probability) + extra
    }
}

/// Returns whether a later request recently overtook an overdue one at this backend server.
fn had_recent_overtake(server: &server::Server, now: Millis) -> bool {
    server
        .last_overtake
        .is_some_and(|since| now.since(since) < OVERTAKE_TTL_MS)
}

fn count_distinct<T: Eq + hash::Hash>(items: impl Iterator<Item = T>) -> u32 {
    let distinct: collections::HashSet<T> = items.collect();
    u32::try_from(distinct.len()).unwrap_or(u32::MAX)
}
