//! Errors that name the step that failed and the remote end.

use std::fmt;

/// Operation of the gateway that can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum GatewayStep {
    /// Reading the settings file.
    ReadSettings,
    /// Starting the log.
    StartLog,
    /// Starting the metrics recorder.
    StartMetrics,
    /// Opening a listening socket.
    Listen,
    /// Reading the platform's value store or VM list.
    ReadPlatform,
    /// Opening a connection to a backend server.
    ConnectBackend,
    /// Sending a request to a backend server.
    SendRequest,
    /// Reading a response from a backend server.
    ReadAnswer,
    /// Reading a request from a caller.
    ReadRequest,
}

/// Failure of one step, with the remote end if there is one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayError {
    /// Step that failed.
    pub step: GatewayStep,
    /// Address, VM or file that the step concerned.
    pub peer: Option<String>,
}

impl GatewayError {
    /// Returns the error of a step that concerns an address, VM or file.
    #[must_use]
    pub fn at(step: GatewayStep, peer: impl fmt::Display) -> Self {
        Self {
            step,
            peer: Some(peer.to_string()),
        }
    }

    /// Returns the error of a step that concerns nothing outside the process.
    #[must_use]
    pub const fn local(step: GatewayStep) -> Self {
        Self { step, peer: None }
    }
}

impl fmt::Display for GatewayError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.peer {
            Some(peer) => write!(formatter, "step {} failed with {peer}", self.step),
            None => write!(formatter, "step {} failed", self.step),
        }
    }
}

impl std::error::Error for GatewayError {}
