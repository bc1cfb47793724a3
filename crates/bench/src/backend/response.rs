//! Answer bodies that show owner, content and completeness.

use std::io;
use std::time;

use futures_util::{StreamExt, stream};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::http;

/// Whom an answer body is for; it is the first line of the body, in JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct AnswerOwner")]
pub struct ResponseOwner {
    /// Value of `backend-request-id`.
    pub request: String,
    /// Value of `x-caller`.
    pub caller: String,
    /// Value of `Idempotency-Key`, or the work that `request-nonce` names when there is none.
    pub key: String,
    /// Value of `request-nonce`.
    pub nonce: String,
    /// Length of the whole body in bytes.
    pub length: usize,
}

/// What the check of an answer body found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[serde(expecting = "enum AnswerCheck", rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ResponseCheck {
    /// Owner, content and length are right.
    Good,
    /// The first line cannot be read.
    Malformed,
    /// The body belongs to another request.
    WrongOwner,
    /// The body is shorter or longer than its first line says.
    WrongLength,
    /// The bytes after the first line differ from what the owner determines.
    WrongContent,
}

/// Returns the work that a nonce names: its part before the first slash, or all of it.
///
/// Two submissions of the same form without a key share this part and differ in the rest.
pub(crate) fn key_from_nonce(nonce: &str) -> String {
    nonce.split('/').next().unwrap_or_default().to_owned()
}

/// Returns the body for an owner; it is longer than asked when the first line needs it.
pub(crate) fn response_body(mut owner: ResponseOwner, length: usize) -> bytes::Bytes {
    owner.length = length;
    let mut head = owner_line(&owner);
    if head.len() > length {
        // The length is part of the line: the line fits once its own digits are counted.
        while owner.length != head.len() {
            owner.length = head.len();
            head = owner_line(&owner);
        }
    }
    let missing = owner.length - head.len();
    head.extend(fill(&owner, missing));
    head.into()
}

/// Checks that a body belongs to a request and is whole.
///
/// A repeat of a keyed request may get the answer of an earlier attempt, hence the key is compared
/// and not the nonce.
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
    } else if !fill(&owner, rest.len()).eq(rest.iter().copied()) {
        ResponseCheck::WrongContent
    } else {
        ResponseCheck::Good
    }
}

/// Returns a body that announces its whole length and breaks off halfway.
pub(crate) fn truncated_body(body: &bytes::Bytes) -> http::AnswerBody {
    let half = hyper::body::Frame::data(body.slice(..body.len() / 2));
    // Without the pause the error discards the header and the first half unsent.
    let broken = async {
        tokio::time::sleep(time::Duration::from_millis(5)).await;
        Err(io::Error::other("answer truncated by control"))
    };
    let stream = stream::iter([Ok(half)]).chain(stream::once(broken));
    http_body_util::combinators::UnsyncBoxBody::new(http_body_util::StreamBody::new(stream))
}

fn owner_line(owner: &ResponseOwner) -> Vec<u8> {
    let mut line = serde_json::to_vec(owner).unwrap_or_default();
    line.push(b'\n');
    line
}

/// Returns the bytes after the first line: printable, and determined by owner and position.
fn fill(owner: &ResponseOwner, length: usize) -> impl Iterator<Item = u8> + use<> {
    let seed = xxh3::xxh3_64(owner.request.as_bytes()) ^ xxh3::xxh3_64(owner.nonce.as_bytes());
    (0..length.div_ceil(8) as u64)
        .flat_map(move |block| xxh3::xxh3_64_with_seed(&block.to_le_bytes(), seed).to_le_bytes())
        .map(|byte| b'a' + byte % 26)
        .take(length)
}
