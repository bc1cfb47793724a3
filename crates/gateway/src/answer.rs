//! Answers that the gateway makes itself.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators};
use hyper::StatusCode;
use hyper::header;
use toucanledge_claims::StoredResponse;
use toucanledge_core::{RefusalReason, RequestOutcome, TableRevision};

use crate::exchange::BodyError;

/// Header that tells what is known about the request.
pub const OUTCOME_HEADER: &str = "toucanledge-outcome";
/// Header that names the reason of a refusal.
pub const REASON_HEADER: &str = "toucanledge-reason";
/// Header that names the row that decided.
pub const ROW_HEADER: &str = "toucanledge-row";
/// Header that names the table revision that decided.
pub const TABLE_HEADER: &str = "toucanledge-table";
/// Header that marks an answer that was given to an earlier request with the same key.
pub const REPLAYED_HEADER: &str = "toucanledge-replayed";

/// Body of an answer to a caller.
pub type AnswerBody = combinators::UnsyncBoxBody<Bytes, BodyError>;
/// Answer to a caller.
pub type CallerAnswer = hyper::Response<AnswerBody>;

/// A refusal with the row and table revision that decided it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestRefusal {
    /// Why the request was refused or failed.
    pub reason: RefusalReason,
    /// What is known about the request.
    pub outcome: RequestOutcome,
    /// Row that decided, where there is one.
    pub row: Option<String>,
    /// Table revision that decided.
    pub table: TableRevision,
    /// Milliseconds after which another try may succeed.
    pub retry_after: u32,
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

/// Returns the answer that tells a caller of a refusal.
#[must_use]
pub fn refusal_answer(refusal: &RequestRefusal) -> CallerAnswer {
    let reason: &'static str = refusal.reason.into();
    let outcome: &'static str = refusal.outcome.into();
    metrics::counter!("toucanledge_refusals_total", "reason" => reason, "outcome" => outcome)
        .increment(1);
    let text = format!("{{\"reason\":\"{reason}\",\"outcome\":\"{outcome}\"}}\n");
    let mut answer = hyper::Response::new(whole_body(Bytes::from(text)));
    *answer.status_mut() = refusal_status(refusal.reason);
    let headers = answer.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    headers.insert(OUTCOME_HEADER, header::HeaderValue::from_static(outcome));
    headers.insert(REASON_HEADER, header::HeaderValue::from_static(reason));
    headers.insert(TABLE_HEADER, header::HeaderValue::from(refusal.table.0));
    if let Some(row) = refusal.row.as_deref().and_then(|row| row.try_into().ok()) {
        headers.insert(ROW_HEADER, row);
    }
    if refusal.outcome == RequestOutcome::NotRun && answer.status().is_server_error()
        || refusal.reason == RefusalReason::RateLimit
    {
        let seconds = u64::from(refusal.retry_after.div_ceil(1000).max(1));
        answer
            .headers_mut()
            .insert(header::RETRY_AFTER, header::HeaderValue::from(seconds));
    }
    answer
}

/// Returns the answer of keyed work to its caller.
#[must_use]
pub fn stored_answer(stored: &StoredResponse, replayed: bool) -> CallerAnswer {
    let mut answer = hyper::Response::new(whole_body(stored.body.clone()));
    *answer.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in &stored.headers {
        let name = header::HeaderName::from_bytes(name.as_bytes());
        let value = header::HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            answer.headers_mut().append(name, value);
        }
    }
    mark_ran(answer.headers_mut());
    if replayed {
        metrics::counter!("toucanledge_replayed_answers_total").increment(1);
        let value = header::HeaderValue::from_static("1");
        answer.headers_mut().insert(REPLAYED_HEADER, value);
    }
    answer
}

/// Adds the header that says that the backend server answered.
pub fn mark_ran(headers: &mut hyper::HeaderMap) {
    let outcome: &'static str = RequestOutcome::Ran.into();
    headers.insert(OUTCOME_HEADER, header::HeaderValue::from_static(outcome));
}

/// Returns a body that is known whole.
#[must_use]
pub fn whole_body(bytes: Bytes) -> AnswerBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}
