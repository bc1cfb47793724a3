//! Request outcomes, refusal reasons and retry reasons, as callers and metrics show them.

use serde::{Deserialize, Serialize};

/// Outcome of a request, as the caller is told.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RequestOutcome {
    /// The request did not run: no byte reached a backend server, or it was overloaded and rejected
    /// the request.
    NotRun,
    /// The backend server sent a response.
    Ran,
    /// The request may have run, completely or in part.
    Unknown,
}

/// Why a request was refused or failed.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// No row of the active table matches the request.
    NoRoute,
    /// No table was accepted yet.
    NoTable,
    /// The request is malformed.
    BadRequest,
    /// The header or body exceeds a limit.
    TooLarge,
    /// Peers do not receive the heartbeats of this gateway.
    NotHeard,
    /// The gateway has reached its limit of concurrent requests.
    GatewayFull,
    /// The wait for a slot would exceed the limit of the row.
    QueueFull,
    /// The deadline passed before a slot was free.
    QueueDeadline,
    /// The class is over its rate limit.
    RateLimit,
    /// No backend server of the pool is in service.
    NoBackend,
    /// No dispatcher of the pool replied and all fallback slots are in use.
    NoDispatcher,
    /// Every attempted backend server rejected the request as overloaded.
    Shed,
    /// Too many voters of the idempotency key are unreachable or may not vote.
    NoQuorum,
    /// An earlier request with the same idempotency key is still running.
    KeyInProgress,
    /// An earlier request with the same idempotency key ended without a known outcome.
    KeyUnknown,
    /// The dispatch permit expired before the first byte was sent.
    ClaimExpired,
    /// The request is suspected of crashing backend servers.
    CrashSuspect,
    /// The connection to the backend server failed before the first byte.
    ConnectFailed,
    /// The connection to the backend server failed after the first byte.
    ConnectionLost,
    /// The backend server did not respond within the deadline.
    DeadlineExceeded,
    /// The response was truncated, malformed or belonged to another request.
    BadAnswer,
    /// The retry budget was used up.
    RetryBudget,
    /// Every backend server of the pool in service asked this gateway for a pause.
    Paused,
}

/// Why the gateway retried a request.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RetryReason {
    /// The backend server rejected the request as overloaded.
    Shed,
    /// The connection failed before the first byte.
    ConnectFailed,
    /// The connection failed after the first byte, and the request may be repeated.
    ConnectionLost,
    /// The response was malformed or belonged to another request.
    BadAnswer,
    /// The backend server stalled and was ejected, and the request may be repeated.
    Stalled,
    /// The dispatcher did not reply in time.
    DispatcherSilent,
    /// The grant of the slot was too old to be used.
    GrantExpired,
}
