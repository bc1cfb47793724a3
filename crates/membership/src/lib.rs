//! Heartbeat view of the gateways and ownership of shards.
//!
//! Everything here is decision logic: the current time is passed in and nothing does I/O.
//!
//! ```
//! use toucanledge_core::{FailureDomainId, Incarnation, Millis, VmId};
//! use toucanledge_membership::{OwnStatus, PeerView};
//!
//! let mut first = PeerView::new(VmId(1), Incarnation(10), Millis(0));
//! let mut second = PeerView::new(VmId(2), Incarnation(20), Millis(0));
//! let heartbeat = first.heartbeat_for(VmId(2), Millis(5), &OwnStatus::default());
//! second.receive(&heartbeat, Millis(6));
//! assert!(second.heard(VmId(1)));
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
    COHORT_LIMIT, HEARD_MS, HEARTBEAT_MS, HISTORY_LIMIT, LEAVING_SENT, NOT_HEARD_LIMIT,
    SHARD_LIMIT, SUSPICION_MS, SUSPICIONS_SENT, WATCHER_LIMIT,
};
pub use live::NewestVersion;
pub use message::{CrashSuspicion, GatewayState, Heartbeat};
pub use shard::ShardMap;
pub use view::{OwnStatus, PeerView, ReceiveOutcome, TickOutcome};
