//! Bodies in memory, with one limit for all of them.

use std::sync;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body;

/// Bytes per permit of the limit, since a semaphore hands out at most `u32::MAX` permits at once.
const UNIT_BYTES: usize = 1024;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum BodyError {
    /// The connection was lost or the body is malformed.
    Broken,
    /// The body exceeds its limit.
    TooLarge,
    /// The bodies in memory leave no room.
    NoMemory,
}

/// A whole body; its memory counts until the last clone is dropped.
#[derive(Clone, Debug, Default)]
pub struct BufferedBody {
    bytes: Bytes,
    _permits: sync::Arc<Vec<tokio::sync::OwnedSemaphorePermit>>,
}

impl BufferedBody {
    /// Returns the bytes of the body.
    #[must_use]
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }
}

/// Limit of the memory that all bodies of one kind take.
#[derive(Clone, Debug)]
pub struct BufferBudget(sync::Arc<tokio::sync::Semaphore>);

impl BufferBudget {
    /// Returns a budget of this many KiB.
    #[must_use]
    pub fn new(kib: usize) -> Self {
        Self(sync::Arc::new(tokio::sync::Semaphore::new(kib)))
    }

    /// Reads a whole body of at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// Returns why the body was not read; its memory is free again.
    pub async fn read_body(
        &self,
        mut body: body::Incoming,
        max_bytes: usize,
    ) -> Result<BufferedBody, BodyError> {
        let mut permits = Vec::new();
        let mut collected = BytesMut::new();
        let mut reserved_bytes = 0;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BodyError::Broken)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let length = collected.len() + data.len();
            if length > max_bytes {
                return Err(BodyError::TooLarge);
            }
            if length > reserved_bytes {
                let units = (length - reserved_bytes).div_ceil(UNIT_BYTES);
                let permit = sync::Arc::clone(&self.0)
                    .try_acquire_many_owned(u32::try_from(units).unwrap_or(u32::MAX))
                    .map_err(|_| BodyError::NoMemory)?;
                permits.push(permit);
                reserved_bytes += units * UNIT_BYTES;
            }
            collected.extend_from_slice(&data);
        }
        Ok(BufferedBody {
            bytes: collected.freeze(),
            _permits: sync::Arc::new(permits),
        })
    }
}
