//! Heads of HTTP/1.1 messages: which headers to forward and which shapes to refuse.

use hyper::header;
use hyper::http::request;

/// Headers that concern one connection and are not forwarded (RFC 9110, section 7.6.1).
const HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns the headers without those that concern one connection only, the ones that `Connection`
/// names included.
///
/// ```
/// let mut headers = hyper::HeaderMap::new();
/// headers.insert("connection", hyper::header::HeaderValue::from_static("x-own"));
/// headers.insert("x-own", hyper::header::HeaderValue::from_static("1"));
/// headers.insert("x-other", hyper::header::HeaderValue::from_static("2"));
/// let kept = toucanledge_head::strip_hop_by_hop(&headers);
/// assert_eq!(kept.len(), 1);
/// assert!(kept.contains_key("x-other"));
/// ```
#[must_use]
pub fn strip_hop_by_hop(headers: &hyper::HeaderMap) -> hyper::HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = hyper::HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let lower = name.as_str();
        if HOP_HEADERS.contains(&lower) || named.iter().any(|own| own == lower) {
            continue;
        }
        kept.append(name.clone(), value.clone());
    }
    kept
}

/// Returns whether a head could be read differently by the next hop, or asks for what is not
/// forwarded.
///
/// A head with both kinds of length is read as chunked by the HTTP library, which drops the other
/// length and closes the connection after the answer, so nothing behind it is read.
#[must_use]
pub fn is_ambiguous(head: &request::Parts) -> bool {
    let headers = &head.headers;
    let many_lengths = headers.get_all(header::CONTENT_LENGTH).iter().count() > 1;
    let many_hosts = headers.get_all(header::HOST).iter().count() > 1;
    many_lengths
        || many_hosts
        || head.method == hyper::Method::CONNECT
        || headers.contains_key(header::UPGRADE)
}
