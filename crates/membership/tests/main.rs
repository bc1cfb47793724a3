//! Tests of the heartbeat view and of shard ownership.

mod cuts;
mod departures;
mod fleet;
mod freeze;
mod names;
mod order;
mod shards;
mod start;
mod suspicions;
