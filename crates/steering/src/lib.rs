//! Decisions of a gateway that chooses backend servers by facts shared with its peers.
//!
//! Every gateway holds the published rows ([`RoutingTable`], [`ServerRow`]), the health of each
//! backend server as the whole fleet saw it ([`ServerHealth`]) and the requests that its peers have
//! in flight ([`PeerTable`]). It chooses alone ([`ServerRegistry::choose`]); no grant and no vote is
//! needed. All parts are state machines without I/O, driven by events with the time passed in.

mod budget;
mod crash;
mod failure_window;
mod floor;
mod health;
mod peers;
mod reader;
mod registry;
mod row;
mod selection;
mod store_cache;
mod table;

pub use budget::RetryBudget;
pub use crash::CrashTracker;
pub use failure_window::FailureWindow;
pub use health::{AttemptOutcome, HealthChange, ServerHealth};
pub use peers::{GossipKind, GossipMessage, OutcomeReport, PeerId, PeerState, PeerTable};
pub use reader::{ReaderRole, reader_role, takeover_rank};
pub use registry::{ServerEntry, ServerKey, ServerRegistry};
pub use row::{CallerLimits, PoolRow, RouteRow, ServerId, ServerRow, ServerState, WeightedPool};
pub use selection::{SelectionContext, SelectionError};
pub use store_cache::{StoreCache, StoreRecord};
pub use table::RoutingTable;
