//! Reads and checks requests of callers, with their whole body.

use std::net;
use std::sync;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body;
use toucanledge_core::{CallerHash, Fingerprint, RefusalReason};
use toucanledge_slots::RouteHash;
use xxhash_rust::xxh3;

/// Bytes per permit of the buffer limit; the semaphore grants at most `u32::MAX` permits at a time.
const BUFFER_UNIT_BYTES: usize = 1024;

/// Limit of the request bodies that the gateway holds in memory.
#[derive(Clone, Debug)]
pub struct BufferLimit {
    units: sync::Arc<tokio::sync::Semaphore>,
    max_body_bytes: usize,
}

/// Part of the buffer limit that a request holds until it is dropped.
#[derive(Debug)]
pub struct BufferReservation {
    _permits: Vec<tokio::sync::OwnedSemaphorePermit>,
}

/// A request of a caller with its whole body.
#[derive(Debug)]
pub struct CallerRequest {
    /// Method.
    pub method: hyper::Method,
    /// Path and query as sent.
    pub target: String,
    /// Headers to forward.
    pub headers: hyper::HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Hash of the caller's identity.
    pub caller: CallerHash,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Value of the `idempotency-key` header, if there is one.
    pub idempotency_key: Option<Bytes>,
    _reservation: BufferReservation,
}

impl BufferLimit {
    /// Returns a limit of `total_bytes` for all bodies and `max_body_bytes` for one.
    #[must_use]
    pub fn new(total_bytes: usize, max_body_bytes: usize) -> Self {
        let units = sync::Arc::new(tokio::sync::Semaphore::new(
            total_bytes.div_ceil(BUFFER_UNIT_BYTES),
        ));
        Self {
            units,
            max_body_bytes,
        }
    }

    fn reserve(&self, bytes: usize) -> Result<tokio::sync::OwnedSemaphorePermit, RefusalReason> {
        let units = u32::try_from(bytes.div_ceil(BUFFER_UNIT_BYTES)).unwrap_or(u32::MAX);
        sync::Arc::clone(&self.units)
            .try_acquire_many_owned(units)
            .map_err(|_| RefusalReason::GatewayFull)
    }
}

impl CallerRequest {
    /// Returns the path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the hash of method and path, by which service times are estimated.
    #[must_use]
    pub fn route(&self) -> RouteHash {
        let mut hasher = xxh3::Xxh3::new();
        hasher.update(self.method.as_str().as_bytes());
        hasher.update(b" ");
        hasher.update(self.path().as_bytes());
        RouteHash(hasher.digest())
    }
}

/// Reads a request with its whole body.
///
/// # Errors
///
/// Returns why the request is refused.
pub async fn read_request(
    request: hyper::Request<body::Incoming>,
    remote: net::SocketAddr,
    caller_header: &str,
    limit: &BufferLimit,
) -> Result<CallerRequest, RefusalReason> {
    let (parts, body) = request.into_parts();
    if toucanledge_head::is_ambiguous(&parts) {
        return Err(RefusalReason::BadRequest);
    }
    let caller = identify_caller(&parts.headers, caller_header, remote);
    let (body, reservation) = read_body(body, limit).await?;
    let target = parts
        .uri
        .path_and_query()
        .map_or_else(|| "/".to_owned(), |target| target.as_str().to_owned());
    let fingerprint = Fingerprint::of(caller, parts.method.as_str(), &target, &body);
    let idempotency_key = read_idempotency_key(&parts.headers)?;
    Ok(CallerRequest {
        method: parts.method,
        target,
        headers: toucanledge_head::strip_hop_by_hop(&parts.headers),
        body,
        caller,
        fingerprint,
        idempotency_key,
        _reservation: reservation,
    })
}

fn identify_caller(
    headers: &hyper::HeaderMap,
    caller_header: &str,
    remote: net::SocketAddr,
) -> CallerHash {
    match headers.get(caller_header) {
        Some(identity) => CallerHash::of(identity.as_bytes()),
        None => CallerHash::of(remote.ip().to_string().as_bytes()),
    }
}

fn read_idempotency_key(headers: &hyper::HeaderMap) -> Result<Option<Bytes>, RefusalReason> {
    let mut keys = headers.get_all("idempotency-key").iter();
    let key = keys
        .next()
        .map(|key| Bytes::copy_from_slice(key.as_bytes()));
    match (keys.next(), &key) {
        (Some(_), _) => Err(RefusalReason::BadRequest),
        (None, Some(key)) if key.is_empty() => Err(RefusalReason::BadRequest),
        (None, _) => Ok(key),
    }
}

async fn read_body(
    mut body: body::Incoming,
    limit: &BufferLimit,
) -> Result<(Bytes, BufferReservation), RefusalReason> {
    let mut permits = Vec::new();
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| RefusalReason::BadRequest)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if collected.len() + data.len() > limit.max_body_bytes {
            return Err(RefusalReason::TooLarge);
        }
        permits.push(limit.reserve(data.len())?);
        collected.extend_from_slice(&data);
    }
    Ok((collected.freeze(), BufferReservation { _permits: permits }))
}
