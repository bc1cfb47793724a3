//! Backend server stand-in: simulated backend servers with controllable faults.

mod control;
mod faults;
mod record;
mod request_options;
mod response;
mod server;

pub use control::{
    BackendServer, BackendSettings, ServerControl, ServerLimits, ServerStatus, serve_backends,
};
pub use faults::{BackendFaults, FlapCycle, ServiceShape, ServiceTime};
pub use record::BackendRequestRecord;
pub(crate) use response::key_from_nonce;
pub use response::{ResponseCheck, ResponseOwner, check_response};
