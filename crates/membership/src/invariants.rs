//! Invariants that debug builds assert.

use toucanledge_core::VmId;

use crate::limits::{
    MAX_COHORT_SIZE, MAX_HISTORY_VERSIONS, MAX_LEAVING_REPORTED, MAX_SHARD_SIZE,
    MAX_SUSPICIONS_REPORTED, MAX_UNREACHABLE_REPORTED,
};
use crate::message::Heartbeat;

/// Asserts the size of a cohort.
pub fn check_cohort(cohort: &[VmId]) {
    debug_assert!(
        cohort.len() <= MAX_COHORT_SIZE,
        "cohort of {} gateways exceeds {MAX_COHORT_SIZE}",
        cohort.len()
    );
}

/// Asserts the lengths in a heartbeat, and that it does not report its sender as unreachable.
///
/// Peers refuse a heartbeat whose lengths exceed the limits.
pub fn check_heartbeat(heartbeat: &Heartbeat) {
    debug_assert!(
        heartbeat.history.len() <= MAX_HISTORY_VERSIONS,
        "heartbeat with {} list versions exceeds {MAX_HISTORY_VERSIONS}",
        heartbeat.history.len()
    );
    debug_assert!(
        heartbeat.unreachable.len() <= MAX_UNREACHABLE_REPORTED,
        "heartbeat with {} unreachable gateways exceeds {MAX_UNREACHABLE_REPORTED}",
        heartbeat.unreachable.len()
    );
    debug_assert!(
        heartbeat.suspicions.len() <= MAX_SUSPICIONS_REPORTED,
        "heartbeat with {} crash suspicions exceeds {MAX_SUSPICIONS_REPORTED}",
        heartbeat.suspicions.len()
    );
    debug_assert!(
        heartbeat.leaving.len() <= MAX_LEAVING_REPORTED,
        "heartbeat with {} leaving backend servers exceeds {MAX_LEAVING_REPORTED}",
        heartbeat.leaving.len()
    );
    debug_assert!(
        !heartbeat.unreachable.contains(&heartbeat.from),
        "heartbeat reports its sender as unreachable"
    );
}

/// Asserts the size of a shard.
pub fn check_shard(backends: &[VmId]) {
    debug_assert!(
        backends.len() <= MAX_SHARD_SIZE,
        "shard of {} backend servers exceeds {MAX_SHARD_SIZE}",
        backends.len()
    );
}
