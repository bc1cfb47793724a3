//! Tests of what gateways tell each other and how settings are read.

mod notes;
mod settings;
mod state;
