//! WebSocket links between gateways.
//!
//! [`PeerLinks`] owns every link of a gateway and opens them on demand. Each link has one reader
//! and one writer task; both end when the link closes or every clone of [`PeerLinks`] is dropped.

mod connector;
mod counters;
mod fault;
mod hello;
mod inflow;
mod links;
mod listener;
mod outcome;
mod peers;
mod reader;
mod settings;
mod shared;
mod writer;

pub use connector::LinkConnector;
pub use fault::LinkFault;
pub use hello::{OpenLink, PeerIdentity};
pub use links::PeerLinks;
pub use listener::LinkListener;
pub use outcome::SendOutcome;
pub use settings::LinkSettings;
