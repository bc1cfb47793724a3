//! Reads callers' requests.

use hyper::body;
use hyper::header;
use toucanledge_core::{CallerHash, Fingerprint};

use crate::buffer::{BodyError, BufferBudget, BufferedBody};
use crate::response::RefusalReason;

/// A caller's request with its whole body.
#[derive(Debug)]
pub struct CallerRequest {
    /// HTTP method.
    pub method: hyper::Method,
    /// Path and query as sent by the caller.
    pub target: String,
    /// Headers to forward.
    pub headers: hyper::HeaderMap,
    /// Whole body.
    pub body: BufferedBody,
    /// Fingerprint of the request, equal for all attempts of the caller.
    pub fingerprint: Fingerprint,
}

/// Reads a whole request.
///
/// # Errors
///
/// Returns why the request is refused.
pub async fn read_request(
    head: hyper::http::request::Parts,
    body: body::Incoming,
    max_body_bytes: usize,
    buffers: &BufferBudget,
) -> Result<CallerRequest, RefusalReason> {
    let body = buffers
        .read_body(body, max_body_bytes)
        .await
        .map_err(|error| match error {
            BodyError::Broken => RefusalReason::BadRequest,
            BodyError::TooLarge => RefusalReason::TooLarge,
            BodyError::NoMemory => RefusalReason::GatewayFull,
        })?;
    let target = head
        .uri
        .path_and_query()
        .map_or_else(|| "/".to_owned(), |target| target.as_str().to_owned());
    let host = head
        .headers
        .get(header::HOST)
        .map_or(&b""[..], header::HeaderValue::as_bytes);
    let fingerprint = Fingerprint::of(
        CallerHash::of(host),
        head.method.as_str(),
        &target,
        body.bytes(),
    );
    Ok(CallerRequest {
        headers: toucanledge_head::strip_hop_by_hop(&head.headers),
        method: head.method,
        target,
        body,
        fingerprint,
    })
}
