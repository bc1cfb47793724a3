//! Reads callers' requests.

use std::sync;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body;
use hyper::header;
use toucanledge_core::{CallerHash, Fingerprint};

use crate::response::RefusalReason;

/// Bytes per permit of the buffer limit, since a semaphore hands out at most `u32::MAX` permits at
/// once.
const BUFFER_UNIT_BYTES: usize = 1024;

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
    pub body: Bytes,
    /// Fingerprint of the request, equal for all attempts of the caller.
    pub fingerprint: Fingerprint,
    _permits: Vec<tokio::sync::OwnedSemaphorePermit>,
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
    buffer_budget: &sync::Arc<tokio::sync::Semaphore>,
) -> Result<CallerRequest, RefusalReason> {
    let mut permits = Vec::new();
    let body = read_body(body, max_body_bytes, buffer_budget, &mut permits).await?;
    let target = head
        .uri
        .path_and_query()
        .map_or_else(|| "/".to_owned(), |target| target.as_str().to_owned());
    let host = head
        .headers
        .get(header::HOST)
        .map_or(&b""[..], header::HeaderValue::as_bytes);
    let fingerprint = Fingerprint::of(CallerHash::of(host), head.method.as_str(), &target, &body);
    Ok(CallerRequest {
        headers: toucanledge_head::strip_hop_by_hop(&head.headers),
        method: head.method,
        target,
        body,
        fingerprint,
        _permits: permits,
    })
}

async fn read_body(
    mut body: body::Incoming,
    max_body_bytes: usize,
    buffer_budget: &sync::Arc<tokio::sync::Semaphore>,
    permits: &mut Vec<tokio::sync::OwnedSemaphorePermit>,
) -> Result<Bytes, RefusalReason> {
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| RefusalReason::BadRequest)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if collected.len() + data.len() > max_body_bytes {
            return Err(RefusalReason::TooLarge);
        }
        let units = u32::try_from(data.len().div_ceil(BUFFER_UNIT_BYTES)).unwrap_or(u32::MAX);
        let permit = sync::Arc::clone(buffer_budget)
            .try_acquire_many_owned(units)
            .map_err(|_| RefusalReason::GatewayFull)?;
        permits.push(permit);
        collected.extend_from_slice(&data);
    }
    Ok(collected.freeze())
}
