//! Gateway membership by heartbeats, and assignment of shards to dispatchers.
//!
//! [`MembershipView`] is what one gateway knows of the others from their heartbeats. [`ShardMap`]
//! divides the backend servers into shards and assigns a live gateway to each as its dispatcher.
//! Both are state machines without I/O: the caller passes in events and the current time.
//!
//! ```
//! use toucanledge_core::{FailureDomainId, Incarnation, Millis, VmId};
//! use toucanledge_membership::{LocalStatus, MembershipView};
//!
//! let mut first = MembershipView::new(VmId(1), Incarnation(10), Millis(0));
//! let mut second = MembershipView::new(VmId(2), Incarnation(20), Millis(0));
//! let heartbeat = first.heartbeat_for(VmId(2), Millis(5), &LocalStatus::default());
//! second.handle_heartbeat(&heartbeat, Millis(6));
//! assert!(second.is_reachable(VmId(1)));
//! ```

mod cohort;
mod group_assignment;
mod invariants;
mod leaving;
mod limits;
mod message;
mod peer;
mod queries;
mod reachability;
mod shard;
mod suspicion;
mod view;

pub use cohort::cohort_of;
pub use limits::{
    HEARTBEAT_INTERVAL_MS, HEARTBEAT_TIMEOUT_MS, MAX_COHORT_SIZE, MAX_HISTORY_VERSIONS,
    MAX_LEAVING_REPORTED, MAX_PLATFORM_WATCHERS, MAX_SHARD_SIZE, MAX_SUSPICIONS_REPORTED,
    MAX_UNREACHABLE_REPORTED, SUSPICION_TTL_MS,
};
pub use message::{CrashSuspicion, GatewayState, Heartbeat};
pub use queries::NewestVersion;
pub use shard::ShardMap;
pub use view::{LocalStatus, MembershipView, ReceiveOutcome, TickOutcome};
