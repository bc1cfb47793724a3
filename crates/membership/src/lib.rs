//! Heartbeat view of the gateways and ownership of shards.
//!
//! Everything here is decision logic: the current time is passed in and nothing does I/O.
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
mod deal;
mod departure;
mod hearing;
mod invariant;
mod limits;
mod live;
mod message;
mod peer;
mod shard;
mod suspicion;
mod view;

pub use cohort::cohort_of;
pub use limits::{
    HEARTBEAT_INTERVAL_MS, HEARTBEAT_TIMEOUT_MS, MAX_COHORT_SIZE, MAX_HISTORY_VERSIONS,
    MAX_LEAVING_REPORTED, MAX_PLATFORM_WATCHERS, MAX_SHARD_SIZE, MAX_SUSPICIONS_REPORTED,
    MAX_UNREACHABLE_REPORTED, SUSPICION_TTL_MS,
};
pub use live::NewestVersion;
pub use message::{CrashSuspicion, GatewayState, Heartbeat};
pub use shard::ShardMap;
pub use view::{LocalStatus, MembershipView, ReceiveOutcome, TickOutcome};
