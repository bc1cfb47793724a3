//! Launcher: starts a fleet of gateways and stand-ins on loopback addresses.

mod fleet;
mod gateway;
mod layout;
mod process;

pub use fleet::Fleet;
pub use layout::{FleetConfig, FleetLayout, GatewayLayout, PoolConfig, ServerLayout};
pub use process::FleetSignal;
