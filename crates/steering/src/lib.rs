//! Backend server selection of a gateway, based on state that it shares with its peers.
//!
//! Every gateway knows the published table ([`RoutingTable`], [`ServerRow`]), the health of each
//! backend server as reported by the whole fleet ([`ServerHealth`]) and the in-flight requests of
//! its peers ([`PeerTable`]). It selects a server on its own ([`ServerRegistry::select`]), without
//! asking a dispatcher or a quorum. All parts are state machines without I/O; events come in with
//! the time at which they occurred.

mod budget;
mod crash;
mod failure_window;
mod floor;
mod health;
mod notice;
mod peers;
mod reader;
mod registry;
mod reuse;
mod row;
mod selection;
mod store_cache;
mod table;

pub use budget::RetryBudget;
pub use crash::CrashTracker;
pub use failure_window::FailureWindow;
pub use health::{AttemptOutcome, HealthChange, ServerHealth};
pub use notice::{NoticeChange, NoticeEnd, NoticeProblem, NoticeState, ServerNotice};
pub use peers::{GossipKind, GossipMessage, OutcomeReport, PeerId, PeerState, PeerTable};
pub use reader::{FetchFailures, ReaderRole, reader_role, takeover_rank};
pub use registry::{ServerEntry, ServerKey, ServerRegistry};
pub use reuse::{ConnectionRest, ReusePolicy};
pub use row::{
    CallerLimits, PoolRow, RouteRow, ServerId, ServerProcess, ServerRow, ServerState, WeightedPool,
};
pub use selection::{SelectionContext, SelectionError};
pub use store_cache::{StoreCache, StoreRecord};
pub use table::RoutingTable;
