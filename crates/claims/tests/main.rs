//! Tests of claims: each part alone, and a model of a fleet under generated faults.

mod attempt;
mod fleet;
mod history;
mod liveness;
mod names;
mod rules;
mod schedules;
mod voter;
mod voters;
