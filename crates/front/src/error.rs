//! Errors of the gateway.

use std::fmt;
use std::net;

/// Step at which an error arose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum FrontStep {
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
    pub step: FrontStep,
    /// Address, where one is involved.
    pub peer: Option<net::SocketAddr>,
}

impl FrontError {
    /// Returns an error without a peer.
    #[must_use]
    pub fn local(step: FrontStep) -> Self {
        Self { step, peer: None }
    }

    /// Returns an error at a peer.
    #[must_use]
    pub fn at(step: FrontStep, peer: net::SocketAddr) -> Self {
        let peer = Some(peer);
        Self { step, peer }
    }
}

impl fmt::Display for FrontError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.peer {
            Some(peer) => write!(formatter, "{} failed at {peer}", self.step),
            None => write!(formatter, "{} failed", self.step),
        }
    }
}

impl std::error::Error for FrontError {}
