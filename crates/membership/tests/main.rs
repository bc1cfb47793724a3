//! Tests of the membership view and of shards.

mod fleet;
mod freeze;
mod leaving;
mod names;
mod order;
mod partitions;
mod shards;
mod start;
mod suspicions;
