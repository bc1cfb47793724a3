//! Tests of the codec, the links and the heartbeat socket.

mod codec;
mod faults;
mod links;
mod names;
mod socket;
mod strategies;
mod support;
