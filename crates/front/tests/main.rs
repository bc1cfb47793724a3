//! Tests of the gossip encoding, the settings and the state of a gateway.

mod gossip;
mod settings;
mod state;
