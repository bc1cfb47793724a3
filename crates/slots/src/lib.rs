//! Shard dispatcher: queue, slot leases, detection, ejection, floor and limits.
//!
//! [`ShardDispatcher`] holds the decision logic of one shard. It takes events with the present
//! time and returns [`DispatchAction`]s.
//!
//! ```
//! use toucanledge_core::{FailureDomainId, Millis, PoolId, ShardId};
//! use toucanledge_slots::ShardDispatcher;
//! let shard = ShardId { pool: PoolId::of("reading"), domain: FailureDomainId(1), index: 0 };
//! let mut dispatcher = ShardDispatcher::new(shard, 7);
//! assert!(dispatcher.tick(Millis(5)).is_empty());
//! assert_eq!(dispatcher.next_deadline(), None);
//! ```

mod admission;
mod check;
mod choice;
mod dispatcher;
mod ejection;
mod health;
mod lease;
mod memory;
mod message;
mod policy;
mod queue;
mod server;
mod shares;
mod stall;
mod status;
mod step;
mod suspicion;
mod timing;
mod transport;

pub use dispatcher::ShardDispatcher;
pub use message::{
    HeldLease, HeldLeases, LeaseGrant, LeaseId, LeaseOutcome, LeaseQueued, LeaseRefusal,
    LeaseReply, LeaseReport, LeaseRequest, LeaseRequestId, RouteHash,
};
pub use policy::{BackendPolicy, ClassPolicy, ListedServer, ShardPolicy};
pub use shares::shard_rate_limit;
pub use status::{DispatchCounters, QueueStatus, ServerState, ServerStatus, ShardStatus};
pub use step::{
    DispatchAction, EjectionEvent, EjectionReason, ReinstatementEvent, ReinstatementReason,
};
