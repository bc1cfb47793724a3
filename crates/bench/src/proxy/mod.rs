//! Fault proxy: delays, drops, cuts and resets TCP connections and UDP datagrams by rules.

mod control;
mod rule;
mod tcp;
mod udp;

pub use control::{ProxyLink, ProxySettings, serve_proxy};
pub use rule::{LinkDirection, LinkSelection, LossMode, ProxyRule};
