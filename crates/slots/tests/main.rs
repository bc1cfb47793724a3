//! Tests of the shard dispatcher.

#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "counts and times of the simulation are small"
)]

mod crash;
mod fault;
mod floor;
mod invariant;
mod lease_handover;
mod long_work;
mod names;
mod queue;
mod simulation;
mod support;
mod surge;
