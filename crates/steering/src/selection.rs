//! The choice of a backend server for one request.

use rand::Rng;
use toucanledge_core::{Millis, PoolId};
use toucanledge_table::RepeatRule;

use crate::floor;
use crate::registry::{ServerEntry, ServerKey, ServerRegistry};

/// Load, in requests a slot, that a server in another failure domain seems to have on top; it keeps
/// work inside the domain until the domain's servers have about this much more to do.
const DOMAIN_PENALTY: f64 = 0.6;
/// Load, in requests a slot, that a server in its slow start seems to have on top.
const SLOW_START_PENALTY: f64 = 0.5;
/// Load, in requests a slot, that a server that refused work of late seems to have on top.
const OVERLOADED_PENALTY: f64 = 1.5;
/// Random load, in requests a slot, that keeps gateways with the same facts from one choice.
const JITTER: f64 = 0.1;
/// Share of a server's slots up to which more load makes it no worse a choice.
const FREE_SLOT_SHARE: f64 = 0.7;
/// Weight of the load above that share, against the other parts of a choice.
const LOAD_WEIGHT: f64 = 4.0;
/// Bounds of the time of a server's answers as a multiple of its pool's usual time.
const MIN_RELATIVE_LATENCY: f64 = 0.8;
const MAX_RELATIVE_LATENCY: f64 = 8.0;
/// Age in seconds of a server's last success from which the time of its answers says nothing; a third
/// of the shortest disturbances.
const MAX_LATENCY_AGE_S: f64 = 1.5;
/// Seconds since a server's last success that weigh as much as a full load of all slots. Episodes of
/// failing begin at a server about every 30 s, so the risk grows with the age of its last success.
const SUCCESS_AGE_SCALE_S: f64 = 4.0;
/// Age of a last success in seconds from which it counts as unknown.
const MAX_SUCCESS_AGE_S: f64 = 2.0;
/// Time in milliseconds after which gateways of other failure domains try a suspect as well; those of
/// its own hear of each further failure and know when a trial is due.
const REMOTE_PROBE_MS: u64 = 4_000;
/// Share of the trusted servers' slots in use from which a pool needs its suspects back, so that
/// repeatable work tries them although it may be lost without a retry.
const NEAR_CAPACITY_SHARE: f64 = 0.8;
/// Share of repeatable requests that try a suspect when one is due.
const PROBE_SHARE: f64 = 0.5;
/// Share of other requests that try a suspect whose absence is over.
const LATE_PROBE_SHARE: f64 = 0.1;

/// What a request needs of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct SelectionContext<'a> {
    /// Pool that runs the request.
    pub pool: PoolId,
    /// Whether the work may be repeated.
    pub repeat_rule: RepeatRule,
    /// Whether another try is left if this one fails.
    pub retry_available: bool,
    /// Whether repeatable work of other requests finds out which suspects are well again.
    pub probed_by_repeatable: bool,
    /// Backend servers that were tried.
    pub attempted: &'a [ServerKey],
    /// Failure domain of the gateway.
    pub failure_domain: &'a str,
    /// Milliseconds within which an answer is due.
    pub latency_target_ms: u64,
    /// Share of a pool's sound backend servers that must stay in use.
    pub floor_share: f64,
}

/// Why no backend server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionError {
    /// No backend server of the pool takes work.
    NoServer,
    /// Every backend server of the pool was tried.
    AllAttempted,
    /// No backend server of the pool would answer in time.
    WouldExceedTarget,
}

impl ServerRegistry {
    /// Chooses a backend server; the flag tells whether the request is a trial of a suspect.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub fn select(
        &self,
        context: &SelectionContext<'_>,
        now: Millis,
        rng: &mut impl Rng,
    ) -> Result<(ServerKey, bool), SelectionError> {
        let candidates: Vec<(ServerKey, &ServerEntry)> = self
            .servers_in_pool(context.pool)
            .filter(|(_, entry)| entry.accepts_work())
            .collect();
        if candidates.is_empty() {
            return Err(SelectionError::NoServer);
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
            .min_by(|remaining, right| remaining.1.total_cmp(&right.1));
        if let Some((key, _)) = trusted {
            let due = u32::try_from(context.latency_target_ms).map_or(f64::MAX, f64::from);
            let too_late = self.get(key).is_some_and(|entry| {
                entry.load() > entry.row.slots && entry.expected_latency_ms(median) > due
            });
            return if too_late {
                Err(SelectionError::WouldExceedTarget)
            } else {
                Ok((key, false))
            };
        }
        // Nothing is trusted: the failure that is longest ago is the likeliest to be over.
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

fn is_trusted(entry: &ServerEntry, now: Millis) -> bool {
    let health = &entry.health;
    health.is_reachable(now) && !health.is_suspected()
}

/// Returns a suspect that this request should try.
///
/// Repeatable work with a try left is first. Without one it goes where the absence is over, and so
/// does work that must not repeat in a pool that has no other work to find out with. A request that
/// failed elsewhere goes where it is safest.
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
        let time = if can_retry {
            health.probe_due(now)
        } else {
            let over =
                health.backoff_over(now) || (floor_at_risk && floor::may_be_healthy(entry, now));
            (repeatable || !context.probed_by_repeatable) && over
        };
        let local = *entry.row.failure_domain == *context.failure_domain
            || now.since(health.last_failure()) >= REMOTE_PROBE_MS;
        health.is_suspected()
            && health.is_reachable(now)
            && local
            && time
            && entry.probes_in_flight == 0
            && entry.load() < entry.row.slots
    });
    // Other gateways look at the same suspects, and a trial of a slow one takes seconds.
    let (key, _) = due.min_by_key(|(_, entry)| (entry.load(), entry.health.last_failure()))?;
    let share = if repeatable {
        PROBE_SHARE
    } else {
        LATE_PROBE_SHARE
    };
    rng.random_bool(share).then_some(*key)
}

/// Returns whether the trusted servers of the failure domain have hardly a free slot.
fn is_near_capacity(
    context: &SelectionContext<'_>,
    remaining: &[(ServerKey, &ServerEntry)],
    now: Millis,
) -> bool {
    let trusted = remaining.iter().filter(|(_, entry)| {
        *entry.row.failure_domain == *context.failure_domain && is_trusted(entry, now)
    });
    let (load, slots) = trusted.fold((0, 0), |(load, slots), (_, entry)| {
        (load + entry.load(), slots + entry.row.slots)
    });
    f64::from(load) >= f64::from(slots) * NEAR_CAPACITY_SHARE
}

/// Returns how bad a choice a trusted server is.
///
/// Work that must not repeat goes where a success is most recent, as long as a slot is free there;
/// repeatable work goes to the others, and so finds the servers that began to fail.
fn score(
    context: &SelectionContext<'_>,
    entry: &ServerEntry,
    median: Option<f64>,
    now: Millis,
    rng: &mut impl Rng,
) -> f64 {
    let slots = f64::from(entry.row.slots.max(1));
    let age = seconds_since(entry.health.last_success(), now);
    let load = f64::from(entry.load() + 1) / slots * relative_latency(entry, median, age);
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
    let age = seconds_since(entry.health.last_success_sent(), now).min(MAX_SUCCESS_AGE_S);
    let repeatable = context.repeat_rule == RepeatRule::Repeatable;
    let can_retry = repeatable && context.retry_available;
    if repeatable && !can_retry && context.attempted.is_empty() && !remote {
        // Nothing explores now, so this keeps every trusted server in use.
        score
    } else if can_retry && remote {
        // Gateways of that domain explore it, and tell nobody here of their successes.
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

/// Returns the time of a server's answers as a multiple of its pool's usual time.
///
/// What was measured loses its weight while the server answers nothing. Otherwise a server that was
/// slow once would get no work, and its time would never be measured again.
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
