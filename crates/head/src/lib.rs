//! Heads of HTTP/1.1 messages: which headers to forward and which requests to refuse.

use hyper::header;
use hyper::http::request;

/// Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
const HOP_BY_HOP_HEADERS: [&str; 9] = [
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

/// Returns the headers without the hop-by-hop ones, which include those listed in `Connection`.
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
    let listed: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = hyper::HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let lower = name.as_str();
        if HOP_BY_HOP_HEADERS.contains(&lower) || listed.iter().any(|other| other == lower) {
            continue;
        }
        kept.append(name.clone(), value.clone());
    }
    kept
}

/// Returns whether a request has to be refused because the next hop could parse it differently, or
/// because it is a `CONNECT` or asks for an upgrade, which the fleet does not forward.
///
/// `Transfer-Encoding` together with `Content-Length` is not refused: the HTTP library reads such a
/// body as chunked, drops the length and closes the connection after the response, so nothing
/// behind the body is read.
#[must_use]
pub fn is_ambiguous(head: &request::Parts) -> bool {
    let headers = &head.headers;
    let repeated_lengths = headers.get_all(header::CONTENT_LENGTH).iter().count() > 1;
    let repeated_hosts = headers.get_all(header::HOST).iter().count() > 1;
    repeated_lengths
        || repeated_hosts
        || head.method == hyper::Method::CONNECT
        || headers.contains_key(header::UPGRADE)
}

/// Parses the seconds of a `Retry-After` header, with or without a fraction, into milliseconds. Too
/// large a number becomes the largest one; a date, or anything else, is `None`.
///
/// ```
/// use hyper::header::HeaderValue;
/// let parse = |text| toucanledge_head::parse_retry_after(&HeaderValue::from_static(text));
/// assert_eq!(parse("3"), Some(3_000));
/// assert_eq!(parse("0.25"), Some(250));
/// assert_eq!(parse("99999999999999999999999"), Some(u64::MAX));
/// assert_eq!(parse("-1"), None);
/// assert_eq!(parse("Sat, 05 Dec 2026 12:00:00 GMT"), None);
/// ```
#[must_use]
pub fn parse_retry_after(value: &header::HeaderValue) -> Option<u64> {
    let text = value.to_str().ok()?.trim();
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let is_number = |text: &str| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    if !is_number(whole) || !is_number(fraction) {
        return None;
    }
    // Only digits are left, so the one possible error is an overflow.
    let whole_ms = whole.parse().unwrap_or(u64::MAX).saturating_mul(1_000);
    let thousandths: String = fraction.chars().chain("000".chars()).take(3).collect();
    Some(whole_ms.saturating_add(thousandths.parse().unwrap_or_default()))
}
