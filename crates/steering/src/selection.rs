//! Selects the backend server for one attempt.

use rand::Rng;
use toucanledge_core::{Millis, PoolId};
use toucanledge_table::RepeatRule;

use crate::floor;
use crate::registry::{ServerEntry, ServerKey, ServerRegistry};

/// Penalty in the score of a server in another failure domain. It keeps requests inside the failure
/// domain until the load of the servers there outweighs it.
const DOMAIN_PENALTY: f64 = 0.6;
/// Penalty in the score of a server in its slow start.
const SLOW_START_PENALTY: f64 = 0.5;
/// Penalty in the score of a server that recently rejected work as overloaded.
const OVERLOADED_PENALTY: f64 = 1.5;
/// Upper bound of the random part of the score, so that gateways with the same state do not all
/// select the same server.
const JITTER: f64 = 0.1;
/// Bonuses in the score of a server to which this gateway has an idle connection that the request
/// may use. That of non-repeatable requests is smaller, since the risk that the server began to fail
/// grows with the age of its last success.
const NON_REPEATABLE_CONNECTION_BONUS: f64 = 0.1;
const REPEATABLE_CONNECTION_BONUS: f64 = 0.3;
/// Share of a server's slots below which its load does not matter.
const FREE_SLOT_SHARE: f64 = 0.7;
/// Weight in the score of the load per slot above that share.
const LOAD_WEIGHT: f64 = 4.0;
/// Bounds of a server's average latency as a multiple of its pool's median.
const MIN_RELATIVE_LATENCY: f64 = 0.8;
const MAX_RELATIVE_LATENCY: f64 = 8.0;
/// Age in seconds of a server's last success from which its measured latency is ignored; a third of
/// the shortest disturbances.
const MAX_LATENCY_AGE_S: f64 = 1.5;
/// Seconds since a server's last success that weigh 1 in the score, which is close to a full load
/// of all slots. A server begins to fail about every 30 s, so the risk grows with the age of its
/// last success.
const SUCCESS_AGE_SCALE_S: f64 = 4.0;
/// Age in seconds from which a last success counts as unknown.
const MAX_SUCCESS_AGE_S: f64 = 2.0;
/// Time since its last failure after which gateways of other failure domains probe a suspected
/// server as well. Those of its own get reports of every further failure and know when a probe is
/// due.
const REMOTE_PROBE_MS: u64 = 4_000;
/// Share of the trusted servers' slots in use from which a pool needs its suspected servers back.
/// Repeatable requests then probe them even without a retry left.
const NEAR_CAPACITY_SHARE: f64 = 0.8;
/// Share of repeatable requests that become a probe when one is due.
const REPEATABLE_PROBE_SHARE: f64 = 0.5;
/// Share of non-repeatable requests that become a probe when one is due.
const NON_REPEATABLE_PROBE_SHARE: f64 = 0.1;

/// Inputs of one server selection.
#[derive(Clone, Copy, Debug)]
pub struct SelectionContext<'a> {
    /// Pool that runs the request.
    pub pool: PoolId,
    /// Whether the request is repeatable.
    pub repeat_rule: RepeatRule,
    /// Whether a retry is left, in the route's limit and in the budget, if this attempt fails.
    pub retry_available: bool,
    /// Whether the pool gets enough repeatable requests to probe its suspected servers.
    pub probed_by_repeatable: bool,
    /// Backend servers that were already attempted for this request.
    pub attempted: &'a [ServerKey],
    /// Failure domain of the gateway.
    pub failure_domain: &'a str,
    /// Milliseconds until the request's latency target.
    pub latency_target_ms: u64,
    /// Share of a pool's healthy backend servers that must stay in use.
    pub floor_share: f64,
    /// Rest in milliseconds from which this request does not use an idle connection.
    pub max_rest_ms: u64,
}

/// Why no backend server was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionError {
    /// No backend server of the pool takes work.
    NoServer,
    /// Every backend server of the pool asked this gateway for a pause.
    AllPaused {
        /// Milliseconds until the first pause is over.
        wait_ms: u64,
    },
    /// Every backend server of the pool was already attempted.
    AllAttempted,
    /// Every backend server of the pool would respond after the latency target.
    WouldExceedTarget,
}

impl ServerRegistry {
    /// Selects a backend server; the flag tells whether the request is a probe of a suspected
    /// server.
    ///
    /// # Errors
    ///
    /// Returns why no server was selected.
    pub fn select(
        &self,
        context: &SelectionContext<'_>,
        now: Millis,
        rng: &mut impl Rng,
    ) -> Result<(ServerKey, bool), SelectionError> {
        let candidates: Vec<(ServerKey, &ServerEntry)> = self
            .servers_in_pool(context.pool)
            .filter(|(_, entry)| entry.accepts_work(now))
            .collect();
        if candidates.is_empty() {
            return Err(self.pause_or_no_server(context.pool, now));
        }
        let high_failure_rate = self.has_high_failure_rate(context.pool, now);
        if let Some(idle) =
            floor::select_idle_server(context, &candidates, high_failure_rate, now, rng)
        {
            return Ok(idle);
        }
        let remaining: Vec<(ServerKey, &ServerEntry)> = candidates
            .into_iter()
            .filter(|(key, _)| !context.attempted.contains(key))
            .collect();
        if remaining.is_empty() {
            return Err(SelectionError::AllAttempted);
        }
        let near_capacity = is_near_capacity(context, &remaining, now);
        if let Some(key) = due_probe(context, &remaining, near_capacity, now, rng) {
            return Ok((key, true));
        }
        let median = self.median_latency_ms(context.pool);
        let trusted = remaining
            .iter()
            .filter(|(_, entry)| is_trusted(entry, now))
            .map(|(key, entry)| (*key, score(context, entry, median, now, rng)))
            .min_by(|left, right| left.1.total_cmp(&right.1));
        if let Some((key, _)) = trusted {
            let target_ms = u32::try_from(context.latency_target_ms).map_or(f64::MAX, f64::from);
            let exceeds_target = self.get(key).is_some_and(|entry| {
                entry.load() > entry.row.slots && entry.expected_latency_ms(median) > target_ms
            });
            return if exceeds_target {
                Err(SelectionError::WouldExceedTarget)
            } else {
                Ok((key, false))
            };
        }
        // No server is trusted: the one whose failure is longest ago has most likely recovered.
        let oldest = remaining.iter().min_by_key(|(_, entry)| {
            (
                !entry.health.is_reachable(now),
                entry.health.last_failure(),
                entry.load(),
            )
        });
        oldest
            .map(|(key, _)| (*key, true))
            .ok_or(SelectionError::AllAttempted)
    }
}

impl ServerRegistry {
    /// Returns why no backend server of a pool may get a request.
    fn pause_or_no_server(&self, pool: PoolId, now: Millis) -> SelectionError {
        let first_end = self
            .servers_in_pool(pool)
            .filter(|(_, entry)| entry.is_in_service())
            .filter_map(|(_, entry)| entry.notices.paused_until)
            .min();
        match first_end {
            Some(until) => SelectionError::AllPaused {
                wait_ms: until.since(now),
            },
            None => SelectionError::NoServer,
        }
    }
}

fn is_trusted(entry: &ServerEntry, now: Millis) -> bool {
    let health = &entry.health;
    health.is_reachable(now) && !health.is_suspected()
}

/// Returns a suspected server that this request should probe.
///
/// Repeatable requests with a retry left probe first. After the back-off, so do repeatable requests
/// without a retry, and non-repeatable requests in a pool that gets too few repeatable ones. A
/// retry is never a probe.
fn due_probe(
    context: &SelectionContext<'_>,
    remaining: &[(ServerKey, &ServerEntry)],
    near_capacity: bool,
    now: Millis,
    rng: &mut impl Rng,
) -> Option<ServerKey> {
    if !context.attempted.is_empty() {
        return None;
    }
    let repeatable = context.repeat_rule == RepeatRule::Repeatable;
    let can_retry = repeatable && (context.retry_available || near_capacity);
    let floor_at_risk =
        !context.probed_by_repeatable && floor::is_floor_at_risk(context, remaining, now);
    let due = remaining.iter().filter(|(_, entry)| {
        let health = &entry.health;
        let is_due = if can_retry {
            health.probe_due(now)
        } else {
            let backoff_over =
                health.backoff_over(now) || (floor_at_risk && floor::may_be_healthy(entry, now));
            (repeatable || !context.probed_by_repeatable) && backoff_over
        };
        let may_probe_from_here = *entry.row.failure_domain == *context.failure_domain
            || now.since(health.last_failure()) >= REMOTE_PROBE_MS;
        health.is_suspected()
            && health.is_reachable(now)
            && may_probe_from_here
            && is_due
            && entry.probes_in_flight == 0
            && entry.load() < entry.row.slots
    });
    // Other gateways see the same suspected servers, and a probe of a slow one takes seconds.
    let (key, _) = due.min_by_key(|(_, entry)| (entry.load(), entry.health.last_failure()))?;
    let share = if repeatable {
        REPEATABLE_PROBE_SHARE
    } else {
        NON_REPEATABLE_PROBE_SHARE
    };
    rng.random_bool(share).then_some(*key)
}

/// Returns whether the trusted servers of the failure domain have almost no free slot.
fn is_near_capacity(
    context: &SelectionContext<'_>,
    remaining: &[(ServerKey, &ServerEntry)],
    now: Millis,
) -> bool {
    let trusted = remaining.iter().filter(|(_, entry)| {
        *entry.row.failure_domain == *context.failure_domain && is_trusted(entry, now)
    });
    let (load, slots) = trusted.fold((0.0, 0.0), |(load, slots), (_, entry)| {
        let (entry_load, entry_slots) = (f64::from(entry.load()), f64::from(entry.row.slots));
        (load + entry_load, slots + entry_slots)
    });
    load >= slots * NEAR_CAPACITY_SHARE
}

/// Returns the score of a trusted server; the lowest score is selected.
///
/// Non-repeatable requests prefer the server with the most recent success, as long as it has a free
/// slot. Repeatable requests prefer the others, and so detect servers that began to fail.
fn score(
    context: &SelectionContext<'_>,
    entry: &ServerEntry,
    median: Option<f64>,
    now: Millis,
    rng: &mut impl Rng,
) -> f64 {
    let slots = f64::from(entry.row.slots.max(1));
    let age = seconds_since(entry.health.last_success(), now);
    let load = (f64::from(entry.load()) + 1.0) / slots * relative_latency(entry, median, age);
    let mut score = (load - FREE_SLOT_SHARE).max(0.0) * LOAD_WEIGHT + rng.random::<f64>() * JITTER;
    let remote = *entry.row.failure_domain != *context.failure_domain;
    if remote {
        score += DOMAIN_PENALTY;
    }
    if now < entry.slow_start_until {
        score += SLOW_START_PENALTY;
    }
    if entry.health.recently_overloaded(now) {
        score += OVERLOADED_PENALTY;
    }
    let has_connection = entry
        .idle_connection
        .is_some_and(|rest| rest.is_usable(context.max_rest_ms, now));
    if has_connection {
        score -= if context.repeat_rule == RepeatRule::Repeatable {
            REPEATABLE_CONNECTION_BONUS
        } else {
            NON_REPEATABLE_CONNECTION_BONUS
        };
    }
    let age = seconds_since(entry.health.last_success_sent(), now).min(MAX_SUCCESS_AGE_S);
    let repeatable = context.repeat_rule == RepeatRule::Repeatable;
    let can_retry = repeatable && context.retry_available;
    if repeatable && !can_retry && context.attempted.is_empty() && !remote {
        // No retry is left to detect failures with, so the load alone decides and every trusted
        // server stays in use.
        score
    } else if can_retry && remote {
        // Gateways of that failure domain detect failures there, and do not report their successes
        // here.
        score + MAX_SUCCESS_AGE_S / SUCCESS_AGE_SCALE_S
    } else if can_retry {
        score + (MAX_SUCCESS_AGE_S - age) / SUCCESS_AGE_SCALE_S
    } else {
        score + age / SUCCESS_AGE_SCALE_S
    }
}

fn seconds_since(at: Millis, now: Millis) -> f64 {
    f64::from(u32::try_from(now.since(at)).unwrap_or(u32::MAX)) / 1000.0
}

/// Returns a server's average latency as a multiple of its pool's median.
///
/// The measurement loses its weight while the server has no new successes. Otherwise a server that
/// was slow once would get no requests, and its latency would never be measured again.
fn relative_latency(entry: &ServerEntry, median: Option<f64>, age_s: f64) -> f64 {
    match (entry.mean_latency_ms, median) {
        (Some(mean), Some(median)) if median > 0.0 => {
            let measured = (mean / median).clamp(MIN_RELATIVE_LATENCY, MAX_RELATIVE_LATENCY);
            let weight = (1.0 - age_s / MAX_LATENCY_AGE_S).max(0.0);
            1.0 + (measured - 1.0) * weight
        }
        _ => 1.0,
    }
}
