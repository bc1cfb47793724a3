//! Tests of the gateway process over its ports, signals and command line.

mod bad_input;
mod freeze;
mod metrics;
mod peer_input;
mod responses;
mod settings;
mod support;
