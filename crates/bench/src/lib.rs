//! Tools for tests and measurements of a fleet.
//!
//! Stand-ins simulate the platform and backend servers, a fault proxy disturbs the connections
//! between them and the gateways, the launcher starts all of them on loopback addresses, the load
//! generator sends requests, and checks compare their results with the records of the servers.

mod backend;
mod checker;
mod client;
mod daemon;
mod http;
mod invariants;
mod launcher;
mod load;
mod platform;
mod proxy;
mod timer;

pub use backend::{
    BackendFaults, BackendRequestRecord, BackendServer, BackendSettings, FlapCycle, ResponseCheck,
    ResponseOwner, ServerControl, ServerLimits, ServerStatus, ServiceShape, ServiceTime,
    check_response, serve_backends,
};
pub use checker::{CheckReport, check_outcomes};
pub use client::{CallerClient, CallerFailure, CallerRequest, CallerResponse};
pub use daemon::{BenchError, BenchResult, run_daemon};
pub use invariants::{
    FaultInterval, FloorShard, FloorViolation, LEAVING_LIMIT_MS, TABLE_PROPAGATION_LIMIT_MS,
    TABLE_RECOVERY_LIMIT_MS, TableObservation, TablePublication, TableViolation, check_floor,
    check_leaving, check_table, count_interrupted,
};
pub use launcher::{
    Fleet, FleetConfig, FleetLayout, FleetSignal, GatewayLayout, PoolConfig, ServerLayout,
};
pub use load::{LoadConfig, LoadRecord, latency_histogram, run_load};
pub use platform::{PlatformFaults, PlatformStatus, serve_platform};
pub use proxy::{
    LinkDirection, LinkSelection, LossMode, ProxyLink, ProxyRule, ProxySettings, serve_proxy,
};
pub use timer::unix_millis;
