//! Shard dispatcher: request queue, slot leases, fault detection, ejection, floor and rate limits.
//!
//! [`ShardDispatcher`] is the state machine of one shard. Its methods take an event and the current
//! time and return the [`DispatchAction`]s that the driver must perform.
//!
//! ```
//! use toucanledge_core::{FailureDomainId, Millis, PoolId, ShardId};
//! use toucanledge_slots::ShardDispatcher;
//! let shard = ShardId { pool: PoolId::of("reading"), domain: FailureDomainId(1), index: 0 };
//! let mut dispatcher = ShardDispatcher::new(shard, 7);
//! assert!(dispatcher.tick(Millis(5)).is_empty());
//! assert_eq!(dispatcher.next_deadline(), None);
//! ```

mod action;
mod admission;
mod crash_suspects;
mod dispatcher;
mod ejection;
mod fairness;
mod health;
mod invariants;
mod lease;
mod long_work;
mod message;
mod policy;
mod queue;
mod scheduling;
mod server;
mod stall;
mod status;
mod timing;
mod transport;

pub use action::{
    DispatchAction, EjectionEvent, EjectionReason, ReinstatementEvent, ReinstatementReason,
};
pub use dispatcher::ShardDispatcher;
pub use fairness::shard_rate_limit;
pub use message::{
    HeldLease, HeldLeases, LeaseGrant, LeaseId, LeaseOutcome, LeaseQueued, LeaseRefusal,
    LeaseReply, LeaseReport, LeaseRequest, LeaseRequestId, RouteHash,
};
pub use policy::{BackendPolicy, ClassPolicy, ListedServer, ShardPolicy};
pub use status::{DispatchCounters, QueueStatus, ServerState, ServerStatus, ShardStatus};
