//! Identifiers, time, rendezvous hashing, request outcomes and the VM list, shared by all crates.

mod id;
mod list;
mod outcome;
mod rendezvous;
mod time;

pub use id::{
    CallerHash, ClassId, FailureDomainId, Fingerprint, Incarnation, ListVersion, PoolId, ShardId,
    TableRevision, VmId,
};
pub use list::{VmEntry, VmList, VmListError, VmRole, VmState};
pub use outcome::{RefusalReason, RequestOutcome, RetryReason};
pub use rendezvous::{rendezvous_order, rendezvous_weight};
pub use time::Millis;
