//! Response bodies from which a caller can verify owner, content and completeness.

use std::io;
use std::time;

use futures_util::{StreamExt, stream};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::http;

/// Request that a response body belongs to; written as JSON in the first line of the body.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct AnswerOwner")]
pub struct ResponseOwner {
    /// Value of `backend-request-id`.
    pub request: String,
    /// Value of `x-caller`.
    pub caller: String,
    /// Value of `Idempotency-Key`, or the work key in `request-nonce` if there is none.
    pub key: String,
    /// Value of `request-nonce`.
    pub nonce: String,
    /// Length of the complete body in bytes.
    pub length: usize,
}

/// Result of checking a response body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[serde(expecting = "enum AnswerCheck", rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ResponseCheck {
    /// Owner, content and length are correct.
    Good,
    /// The first line cannot be parsed.
    Malformed,
    /// The body belongs to another request.
    WrongOwner,
    /// The length differs from the one in the first line.
    WrongLength,
    /// The bytes after the first line differ from those derived from the owner.
    WrongContent,
}

/// Returns the work key in a nonce: the part before the first slash, or the whole nonce.
///
/// Duplicate submissions without an idempotency key share this part and differ in the rest.
pub(crate) fn key_from_nonce(nonce: &str) -> String {
    nonce.split('/').next().unwrap_or_default().to_owned()
}

/// Returns a verifiable body for an owner; it exceeds `length` if the first line is longer.
pub(crate) fn response_body(mut owner: ResponseOwner, length: usize) -> bytes::Bytes {
    owner.length = length;
    let mut head = owner_line(&owner);
    if head.len() > length {
        // The line contains its own length, so a longer number can make the line longer again.
        while owner.length != head.len() {
            owner.length = head.len();
            head = owner_line(&owner);
        }
    }
    let rest_length = owner.length - head.len();
    head.extend(expected_content(&owner, rest_length));
    head.into()
}

/// Checks that a body belongs to a request and is complete.
///
/// A repeated submission with the same idempotency key may get the response to an earlier one, so
/// the key is compared and not the nonce.
#[must_use]
pub fn check_response(body: &[u8], caller: &str, key: &str) -> ResponseCheck {
    let Some(end) = body.iter().position(|byte| *byte == b'\n') else {
        return ResponseCheck::Malformed;
    };
    let Ok(owner) = serde_json::from_slice::<ResponseOwner>(&body[..end]) else {
        return ResponseCheck::Malformed;
    };
    let rest = &body[end + 1..];
    if owner.caller != caller || owner.key != key {
        ResponseCheck::WrongOwner
    } else if owner.length != body.len() {
        ResponseCheck::WrongLength
    } else if !expected_content(&owner, rest.len()).eq(rest.iter().copied()) {
        ResponseCheck::WrongContent
    } else {
        ResponseCheck::Good
    }
}

/// Returns a body stream that fails after half of the bytes.
pub(crate) fn truncated_body(body: &bytes::Bytes) -> http::ResponseBody {
    let half = hyper::body::Frame::data(body.slice(..body.len() / 2));
    // Without the delay the error discards the headers and the first half before they are sent.
    let failure = async {
        tokio::time::sleep(time::Duration::from_millis(5)).await;
        Err(io::Error::other("response truncated by an injected fault"))
    };
    let stream = stream::iter([Ok(half)]).chain(stream::once(failure));
    http_body_util::combinators::UnsyncBoxBody::new(http_body_util::StreamBody::new(stream))
}

fn owner_line(owner: &ResponseOwner) -> Vec<u8> {
    let mut line = serde_json::to_vec(owner).unwrap_or_default();
    line.push(b'\n');
    line
}

/// Returns the bytes after the first line: printable, and derived from owner and position.
fn expected_content(owner: &ResponseOwner, length: usize) -> impl Iterator<Item = u8> + use<> {
    let seed = xxh3::xxh3_64(owner.request.as_bytes()) ^ xxh3::xxh3_64(owner.nonce.as_bytes());
    (0..length.div_ceil(8) as u64)
        .flat_map(move |block| xxh3::xxh3_64_with_seed(&block.to_le_bytes(), seed).to_le_bytes())
        .map(|byte| b'a' + byte % 26)
        .take(length)
}
