//! Errors of the gateway.

use std::fmt;
use std::net;

/// Step at which an error arose.
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
    /// Reading facts from a peer.
    ReadPeer,
}

/// An error with its step and peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrontError {
    /// Step.
    pub operation: FrontOperation,
    /// Address, where one is involved.
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

    /// Returns an error at a peer.
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
