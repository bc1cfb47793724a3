//! Tests of the decisions, one module a part.

mod budget;
mod crash;
mod floor;
mod health;
mod peers;
mod reader;
mod selection;
mod store_cache;
mod support;
mod table;
