//! Responses that the gateway makes itself.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators};
use hyper::StatusCode;
use hyper::header;
use toucanledge_claims::StoredResponse;
use toucanledge_core::{RefusalReason, RequestOutcome, TableRevision};

use crate::exchange::BodyError;

/// Response header with the request outcome: `ran`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "toucanledge-outcome";
/// Response header with the reason of a refusal.
pub const REASON_HEADER: &str = "toucanledge-reason";
/// Response header with the table row that the refusal is based on.
pub const ROW_HEADER: &str = "toucanledge-row";
/// Response header with the table revision that the refusal is based on.
pub const TABLE_HEADER: &str = "toucanledge-table";
/// Response header that marks a response stored for an earlier request with the same key.
pub const REPLAYED_HEADER: &str = "toucanledge-replayed";

/// Body of a response to a caller.
pub type ResponseBody = combinators::UnsyncBoxBody<Bytes, BodyError>;
/// Response to a caller.
pub type CallerResponse = hyper::Response<ResponseBody>;

/// A refusal with the table row and revision that it is based on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestRefusal {
    /// Why the request was refused or failed.
    pub reason: RefusalReason,
    /// Whether the request ran, as far as is known.
    pub outcome: RequestOutcome,
    /// Table row that the refusal is based on; `None` when no row matched.
    pub row: Option<String>,
    /// Table revision that the refusal is based on.
    pub table_revision: TableRevision,
    /// Milliseconds after which the caller may send the request again.
    pub retry_after_ms: u32,
}

/// Returns the status code of a refusal reason.
#[must_use]
pub const fn refusal_status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::NoRoute => StatusCode::NOT_FOUND,
        RefusalReason::BadRequest => StatusCode::BAD_REQUEST,
        RefusalReason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalReason::RateLimit => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::KeyInProgress | RefusalReason::KeyUnknown => StatusCode::CONFLICT,
        RefusalReason::ConnectionLost | RefusalReason::ConnectFailed | RefusalReason::BadAnswer => {
            StatusCode::BAD_GATEWAY
        }
        RefusalReason::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Returns the response that reports a refusal to the caller and counts it.
#[must_use]
pub fn refusal_response(refusal: &RequestRefusal) -> CallerResponse {
    let reason: &'static str = refusal.reason.into();
    let outcome: &'static str = refusal.outcome.into();
    metrics::counter!("toucanledge_refusals_total", "reason" => reason, "outcome" => outcome)
        .increment(1);
    let text = format!("{{\"reason\":\"{reason}\",\"outcome\":\"{outcome}\"}}\n");
    let mut response = hyper::Response::new(full_body(Bytes::from(text)));
    *response.status_mut() = refusal_status(refusal.reason);
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    headers.insert(OUTCOME_HEADER, header::HeaderValue::from_static(outcome));
    headers.insert(REASON_HEADER, header::HeaderValue::from_static(reason));
    headers.insert(
        TABLE_HEADER,
        header::HeaderValue::from(refusal.table_revision.0),
    );
    if let Some(row) = refusal.row.as_deref().and_then(|row| row.try_into().ok()) {
        headers.insert(ROW_HEADER, row);
    }
    if refusal.outcome == RequestOutcome::NotRun && response.status().is_server_error()
        || refusal.reason == RefusalReason::RateLimit
    {
        let seconds = u64::from(refusal.retry_after_ms.div_ceil(1000).max(1));
        response
            .headers_mut()
            .insert(header::RETRY_AFTER, header::HeaderValue::from(seconds));
    }
    response
}

/// Returns the response of an at-most-once request, first sent or replayed.
#[must_use]
pub fn stored_response(stored: &StoredResponse, replayed: bool) -> CallerResponse {
    let mut response = hyper::Response::new(full_body(stored.body.clone()));
    *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in &stored.headers {
        let name = header::HeaderName::from_bytes(name.as_bytes());
        let value = header::HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    set_outcome_ran(response.headers_mut());
    if replayed {
        metrics::counter!("toucanledge_replayed_answers_total").increment(1);
        let value = header::HeaderValue::from_static("1");
        response.headers_mut().insert(REPLAYED_HEADER, value);
    }
    response
}

/// Sets the outcome header to `ran`.
pub fn set_outcome_ran(headers: &mut hyper::HeaderMap) {
    let outcome: &'static str = RequestOutcome::Ran.into();
    headers.insert(OUTCOME_HEADER, header::HeaderValue::from_static(outcome));
}

/// Returns a body of bytes that are already in memory.
#[must_use]
pub fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}
