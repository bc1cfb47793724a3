//! Rows of the published table: routes, pools and backend servers.

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

/// A pool of a route, with its share of the route's requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedPool {
    /// Pool of backend servers.
    pub pool: PoolId,
    /// Weight relative to the other pools of the route.
    pub weight: f64,
}

/// A route: which requests match, which pools run them, and their limits.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRow {
    /// Name of the route.
    pub name: String,
    /// Host name that callers use, in lower case and without a port.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may be sent to several backend servers.
    pub repeat_rule: RepeatRule,
    /// Longest time in milliseconds before the caller gets a response.
    pub timeout_ms: u64,
    /// Latency target in milliseconds: a later response is worth less to the caller.
    pub latency_target_ms: u64,
    /// Priority among the routes; 0 is the highest.
    pub priority: u32,
    /// Pools that share the requests.
    pub pools: Vec<WeightedPool>,
    /// Limit of attempts per request.
    pub max_attempts: u32,
}

/// A pool of backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolRow {
    /// Name of the pool.
    pub name: String,
    /// Limit of connections that one backend server accepts from the whole fleet.
    pub max_connections: u32,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Limit of a request's header size in bytes.
    pub max_header_bytes: usize,
    /// Limit of a request's body size in bytes.
    pub max_body_bytes: usize,
    /// Time-out for reading a request's header, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time-out of an idle connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// Whether a backend server takes new work.
///
/// The names are part of log lines and of the status page.
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
    /// Failure domain of its VM.
    pub failure_domain: sync::Arc<str>,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ServerState,
    /// Remaining slow start in milliseconds, counted from the publication.
    pub slow_start_ms: u64,
    /// Start time of its process in milliseconds since 1970; `None` where it is not published.
    pub incarnation: Option<u64>,
}

/// Identifies one process of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerProcess {
    /// Identifier of the server.
    pub id: ServerId,
    /// Start time of the process in milliseconds since 1970; `None` where it is not published.
    pub incarnation: Option<u64>,
    /// Address for requests.
    pub address: net::SocketAddr,
}

impl ServerProcess {
    /// Returns whether this process of a server was started after another one.
    ///
    /// The start times tell. Where one is not published, another address tells a new process.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        match (self.incarnation, other.incarnation) {
            (Some(own), Some(other)) => own > other,
            _ => self.address != other.address,
        }
    }
}

impl ServerRow {
    /// Returns the process that the row is about.
    #[must_use]
    pub fn process(&self) -> ServerProcess {
        ServerProcess {
            id: ServerId::of(&self.name),
            incarnation: self.incarnation,
            address: self.address,
        }
    }
}
