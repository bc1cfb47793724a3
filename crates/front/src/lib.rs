//! Gateway that proxies requests and shares its state with its peers by gossip messages.
//!
//! [`run`] starts the listeners, the gossip tasks and the store reader around one shared
//! [`FleetState`]. What is specific to a platform is passed in: the header names ([`HeaderNames`])
//! and how the store's records are read and decoded ([`StoreSource`]).

mod attempt;
mod buffer;
mod caller;
mod clock;
mod connection;
mod error;
mod exchange;
mod header_names;
mod log_queue;
mod note;
mod notice;
mod outcome;
mod peers;
mod proxy;
mod reader;
mod request;
mod response;
mod reuse;
mod run;
mod settings;
mod state;
mod status;
mod store_source;
mod tries;

pub use clock::BootClock;
pub use error::{FrontError, FrontOperation};
pub use header_names::HeaderNames;
pub use note::{decode_message, encode_message};
pub use proxy::ProxyService;
pub use run::run;
pub use settings::{FrontSettings, load_front};
pub use state::FleetState;
pub use store_source::{DecodedRecord, RecordBatch, StoreError, StoreFuture, StoreSource};
