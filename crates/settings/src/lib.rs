//! Settings files in JSON with comments, with errors that name line and column.
//!
//! [`load`] and [`parse`] read any `serde` type. [`GatewaySettings`] holds the settings of a
//! gateway process; [`GatewaySettings::check`] returns every value that is out of range.
//!
//! ```
//! use toucanledge_settings::{GatewaySettings, parse};
//!
//! let text = r#"{
//!   "vm": 7, "name": "gw-07", "failure_domain": 1, // identity of the VM
//!   "listen": "127.2.0.7:8080",
//!   "peer_listen": "127.2.0.7:7000",
//!   "status_listen": "127.2.0.7:9000",
//!   "platform": ["127.2.9.1:8500"],
//!   "seeds": ["127.2.0.8:7000"]
//! }"#;
//! let settings: GatewaySettings = parse("gateway.jsonc", text)?;
//! assert!(settings.check().is_empty());
//! assert_eq!(settings.caller_header, "x-caller");
//! # Ok::<(), error_stack::Report<toucanledge_settings::SettingsError>>(())
//! ```

mod error;
mod gateway;
mod load;
mod text;

pub use error::{SettingsError, SettingsIssue};
pub use gateway::{DispatchPolicy, GatewaySettings, load_gateway};
pub use load::{load, parse};
