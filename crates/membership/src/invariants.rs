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
        "cohort of {} gateways",
        cohort.len()
    );
}

/// Asserts the lengths in a heartbeat; peers refuse a heartbeat that exceeds them.
pub fn check_heartbeat(heartbeat: &Heartbeat) {
    debug_assert!(heartbeat.history.len() <= MAX_HISTORY_VERSIONS);
    debug_assert!(heartbeat.unreachable.len() <= MAX_UNREACHABLE_REPORTED);
    debug_assert!(heartbeat.suspicions.len() <= MAX_SUSPICIONS_REPORTED);
    debug_assert!(heartbeat.leaving.len() <= MAX_LEAVING_REPORTED);
    debug_assert!(!heartbeat.unreachable.contains(&heartbeat.from));
}

/// Asserts the size of a shard.
pub fn check_shard(backends: &[VmId]) {
    debug_assert!(
        backends.len() <= MAX_SHARD_SIZE,
        "shard of {} backend servers",
        backends.len()
    );
}
