//! Maps the outcome of an exchange to the server's health, the log and the caller's response.

use http_body_util::Full;
use toucanledge_steering::AttemptOutcome;

use crate::attempt::RequestTrace;
use crate::exchange::{ExchangeOutcome, ServerResponse};
use crate::response;
use crate::response::{CallerResponse, RequestRefusal};

/// Last failure of a request, which decides its final response.
#[derive(Debug)]
pub struct LastFailure {
    /// How the request is refused.
    pub refusal: RequestRefusal,
    /// The backend server's own response, if there is one.
    pub response: Option<ServerResponse>,
}

/// Returns what an exchange showed about its backend server.
#[must_use]
pub fn attempt_outcome(outcome: &ExchangeOutcome) -> AttemptOutcome {
    match outcome {
        ExchangeOutcome::Response(response) if response.status.is_server_error() => {
            AttemptOutcome::OwnError
        }
        ExchangeOutcome::Response(_) => AttemptOutcome::Success,
        ExchangeOutcome::Overloaded | ExchangeOutcome::WrongServer => AttemptOutcome::Full,
        ExchangeOutcome::ConnectionLost => AttemptOutcome::Broken,
        ExchangeOutcome::InvalidResponse => AttemptOutcome::BadAnswer,
        ExchangeOutcome::Timeout => AttemptOutcome::Silent,
    }
}

/// Returns the name of an outcome for the log: the status of a response, or what happened instead.
#[must_use]
pub fn outcome_name(outcome: &ExchangeOutcome) -> String {
    match outcome {
        ExchangeOutcome::Response(response) => response.status.as_u16().to_string(),
        ExchangeOutcome::Overloaded => "full".to_owned(),
        ExchangeOutcome::WrongServer => "wrong-server".to_owned(),
        ExchangeOutcome::ConnectionLost => "broken".to_owned(),
        ExchangeOutcome::InvalidResponse => "bad-answer".to_owned(),
        ExchangeOutcome::Timeout => "silent".to_owned(),
    }
}

/// Returns the response after the last failed attempt: the backend server's own response if there
/// is one, else a refusal.
pub fn final_response(failure: LastFailure, trace: &mut RequestTrace) -> CallerResponse {
    trace.refusal = Some(failure.refusal.reason);
    match failure.response {
        Some(server_response) => forward_response(server_response),
        None => response::refusal_response(failure.refusal),
    }
}

/// Copies a backend server's response for the caller.
#[must_use]
pub fn forward_response(server_response: ServerResponse) -> CallerResponse {
    let mut response = hyper::Response::new(Full::new(server_response.body.bytes().clone()));
    *response.status_mut() = server_response.status;
    *response.headers_mut() = server_response.headers;
    response
}
