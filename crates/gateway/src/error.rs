//! Errors that name the step that failed and its target.

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

/// Failure of one step, with its target if it has one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayError {
    /// Step that failed.
    pub step: GatewayStep,
    /// Address, VM or file that the step used; `None` for a step inside the process.
    pub target: Option<String>,
}

impl GatewayError {
    /// Returns the error of a step that uses an address, VM or file.
    #[must_use]
    pub fn at(step: GatewayStep, target: impl fmt::Display) -> Self {
        Self {
            step,
            target: Some(target.to_string()),
        }
    }

    /// Returns the error of a step inside the process.
    #[must_use]
    pub const fn local(step: GatewayStep) -> Self {
        Self { step, target: None }
    }
}

impl fmt::Display for GatewayError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.target {
            Some(target) => write!(formatter, "step {} failed with {target}", self.step),
            None => write!(formatter, "step {} failed", self.step),
        }
    }
}

impl std::error::Error for GatewayError {}
