//! Keeps a minimum share of the healthy backend servers of a pool in use (the floor).
//!
//! Failure detection and load balancing both leave some servers without requests. While many
//! requests of a pool fail, at least the floor's share of its healthy servers must get requests. A
//! failure of many VMs is noticed too late to react to it, so trusted servers are kept in use at
//! all times, and suspected servers are probed earlier while the failure rate is high.

use rand::Rng;
use toucanledge_core::Millis;
use toucanledge_table::RepeatRule;

use crate::registry::{ServerEntry, ServerKey};
use crate::selection::SelectionContext;

/// Time without a request after which a server counts as idle; the floor is measured over windows
/// of 2 s.
const IDLE_MS: u64 = 1_200;
/// Time after its last failure from which the floor may count a server as healthy again.
const HEALTHY_AFTER_MS: u64 = 2_000;
/// Part of the share above the floor that may be idle before non-repeatable requests go to idle
/// servers. It is below 1 because peers may see other servers as idle.
const IDLE_MARGIN: f64 = 0.5;
/// Share of requests that check for idle servers in other failure domains while the failure rate is
/// high. How much the gateways there use them is not known here.
const REMOTE_CHECK_SHARE: f64 = 0.1;

/// Returns an idle server that must get this request to hold the floor, and whether the request is
/// a probe of a suspected server.
///
/// A repeatable request goes to any idle server: which servers count as healthy is not known here,
/// and the idle ones may all be among them. A non-repeatable request goes to an idle server only if
/// too many are idle, in a pool that has a high failure rate or too few repeatable requests. A
/// suspected server is probed only at a high failure rate, and by a non-repeatable request only where
/// there are too few repeatable ones.
pub(crate) fn select_idle_server(
    context: &SelectionContext<'_>,
    candidates: &[(ServerKey, &ServerEntry)],
    high_failure_rate: bool,
    now: Millis,
    rng: &mut impl Rng,
) -> Option<(ServerKey, bool)> {
    let repeatable = context.repeat_rule == RepeatRule::Repeatable;
    if !high_failure_rate && !repeatable && context.probed_by_repeatable {
        return None;
    }
    let local = !(high_failure_rate && rng.random_bool(REMOTE_CHECK_SHARE));
    let considered = || {
        candidates
            .iter()
            .filter(|(_, entry)| (*entry.row.failure_domain == *context.failure_domain) == local)
    };
    let idle = || considered().filter(|(_, entry)| is_idle(entry, now));
    let allowed_idle_share = if repeatable {
        0.0
    } else {
        (1.0 - context.floor_share) * IDLE_MARGIN
    };
    if share(idle().count(), considered().count()) <= allowed_idle_share {
        return None;
    }
    idle()
        .filter(|(key, entry)| {
            let is_probe = entry.health.is_suspected();
            !context.attempted.contains(key)
                && entry.health.is_reachable(now)
                && entry.probes_in_flight == 0
                && entry.load() < entry.row.slots
                && (!is_probe
                    || (high_failure_rate
                        && context.attempted.is_empty()
                        && (repeatable || !context.probed_by_repeatable)))
        })
        .map(|(key, entry)| (*key, entry.health.is_suspected(), entry.last_used))
        // After a common start every gateway sees the same unused servers, so the order among them
        // is random.
        .min_by_key(|(_, is_probe, last_used)| (*is_probe, *last_used, rng.random::<u32>()))
        .map(|(key, is_probe, _)| (key, is_probe))
}

/// Returns whether so many suspected servers of a pool may be healthy again that the floor could be
/// missed.
pub(crate) fn is_floor_at_risk(
    context: &SelectionContext<'_>,
    candidates: &[(ServerKey, &ServerEntry)],
    now: Millis,
) -> bool {
    let possibly_healthy = candidates
        .iter()
        .filter(|(_, entry)| entry.health.is_suspected() && may_be_healthy(entry, now))
        .count();
    share(possibly_healthy, candidates.len()) > 1.0 - context.floor_share
}

/// Returns whether the floor may count a server as healthy.
pub(crate) fn may_be_healthy(entry: &ServerEntry, now: Millis) -> bool {
    !entry.health.is_suspected() || now.since(entry.health.last_failure()) >= HEALTHY_AFTER_MS
}

fn is_idle(entry: &ServerEntry, now: Millis) -> bool {
    let unused = entry
        .last_used
        .is_none_or(|last_used| now.since(last_used) >= IDLE_MS);
    may_be_healthy(entry, now) && entry.load() == 0 && unused
}

fn share(part: usize, all: usize) -> f64 {
    let count = |count: usize| u32::try_from(count).map_or(f64::MAX, f64::from);
    count(part) / count(all.max(1))
}
