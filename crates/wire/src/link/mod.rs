//! WebSocket links between gateways.
//!
//! [`PeerLinks`] owns all links of a gateway and opens them on demand. Each link has a reader task
//! and a writer task, which end when the link closes or every clone of [`PeerLinks`] is dropped.

mod connector;
mod counters;
mod fault;
mod hello;
mod links;
mod listener;
mod outcome;
mod peers;
mod rate_limit;
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
