//! Tests of what gateways tell each other and how settings are read.

mod gossip;
mod settings;
mod state;
