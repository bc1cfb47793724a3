//! Errors of the gateway.

use std::fmt;
use std::net;

/// Operation that failed.
///
/// The names are part of error messages and log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum FrontOperation {
    /// Starting the log.
    StartLog,
    /// Starting the metrics.
    StartMetrics,
    /// Starting the runtime or its signals.
    StartRuntime,
    /// Opening a listener.
    Listen,
    /// Fetching records from a peer.
    ReadPeer,
}

/// A failed operation, with the peer where one is involved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrontError {
    /// Operation that failed.
    pub operation: FrontOperation,
    /// Address of the peer or listener, where one is involved.
    pub peer: Option<net::SocketAddr>,
}

impl FrontError {
    /// Returns an error without a peer.
    #[must_use]
    pub fn local(operation: FrontOperation) -> Self {
        Self {
            operation,
            peer: None,
        }
    }

    /// Returns an error with the address of a peer or listener.
    #[must_use]
    pub fn with_peer(operation: FrontOperation, peer: net::SocketAddr) -> Self {
        let peer = Some(peer);
        Self { operation, peer }
    }
}

impl fmt::Display for FrontError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.peer {
            Some(peer) => write!(formatter, "{} failed at {peer}", self.operation),
            None => write!(formatter, "{} failed", self.operation),
        }
    }
}

impl std::error::Error for FrontError {}
