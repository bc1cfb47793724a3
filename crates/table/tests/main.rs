//! Integration tests of the table crate, one module for each feature.

mod comparison;
mod examples;
mod properties;
mod publication;
mod routing;
mod rows;
mod support;
