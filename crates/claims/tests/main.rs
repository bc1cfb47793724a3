//! Tests of at-most-once claims: each type by itself, and a simulated fleet under faults.

mod attempt;
mod fleet;
mod history;
mod liveness;
mod names;
mod rules;
mod schedules;
mod voter;
mod voters;
