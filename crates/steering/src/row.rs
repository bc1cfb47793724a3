//! Published rows: classes of work, pools and backend servers.

use std::net;
use std::sync;

use toucanledge_core::PoolId;
use toucanledge_table::RepeatRule;
use xxhash_rust::xxh3;

/// Identifies a backend server by the hash of its published name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);

impl ServerId {
    /// Returns the identifier of the backend server with this name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(xxh3::xxh3_64(name.as_bytes()))
    }
}

/// One pool that a class of work goes to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedPool {
    /// Pool of backend servers.
    pub pool: PoolId,
    /// Share relative to the other parts.
    pub weight: f64,
}

/// A class of work: which requests belong to it, where they go and what is promised.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRow {
    /// Name of the row.
    pub name: String,
    /// Host that callers name, in small letters and without a port.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether the work may be repeated.
    pub repeat_rule: RepeatRule,
    /// Longest time in milliseconds that a request is kept waiting.
    pub timeout_ms: u64,
    /// Time in milliseconds within which an answer is worth most.
    pub latency_target_ms: u64,
    /// Rank among the classes; 0 is the highest.
    pub priority: u32,
    /// Pools that share the work.
    pub pools: Vec<WeightedPool>,
    /// Backend servers that one request may be sent to.
    pub max_attempts: u32,
}

/// A pool of backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolRow {
    /// Name of the pool.
    pub name: String,
    /// Connections that one backend server accepts from the whole fleet.
    pub max_connections: u32,
}

/// Limits on what a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Greatest size of a request's head in bytes.
    pub max_header_bytes: usize,
    /// Greatest size of a request's body in bytes.
    pub max_body_bytes: usize,
    /// Longest time in milliseconds for the head of a request.
    pub header_timeout_ms: u64,
    /// Longest time in milliseconds that a connection may stay idle.
    pub idle_timeout_ms: u64,
}

/// What a backend server says about taking new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ServerState {
    /// It takes new work.
    Ready,
    /// It finishes its work and takes no more.
    Leaving,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRow {
    /// Published name.
    pub name: sync::Arc<str>,
    /// Pool that the backend server is part of.
    pub pool: PoolId,
    /// Address for requests.
    pub address: net::SocketAddr,
    /// Failure domain.
    pub failure_domain: sync::Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ServerState,
    /// Milliseconds for which it stays slow after its start, counted from the publication.
    pub slow_start_ms: u64,
    /// Start of the process in milliseconds since 1970, where it is published.
    pub incarnation: Option<u64>,
}
