//! Tests of the settings crate.

mod examples;
mod gateway;
mod loading;
