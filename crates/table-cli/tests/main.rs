//! Integration tests of the program `toucanledge-table`.

mod commands;
mod help;
mod support;
