//! The proxy between callers and backend servers.
//!
//! The binary `toucanledge-gateway` only parses options and calls [`run()`].

mod attempts;
mod backend;
mod clock;
mod error;
mod exchange;
mod forward;
mod kernel;
mod pauses;
mod platform;
mod plugin;
mod probe;
mod proxy;
mod request;
mod response;
mod retry_budget;
mod run;
mod shared_state;

pub use error::{GatewayError, GatewayStep};
pub use run::{GatewayOptions, run};
