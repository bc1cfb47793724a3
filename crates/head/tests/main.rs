//! Guards against request smuggling by ambiguous heads, and against forwarded hop-by-hop headers.

use hyper::header::HeaderValue;
use hyper::{HeaderMap, Request};

fn head(headers: &[(&'static str, &'static str)]) -> hyper::http::request::Parts {
    let (mut parts, ()) = Request::new(()).into_parts();
    for (name, value) in headers {
        parts.headers.append(*name, HeaderValue::from_static(value));
    }
    parts
}

#[test]
fn repeated_lengths_and_hosts_are_ambiguous() {
    assert!(!toucanledge_head::is_ambiguous(&head(&[
        ("host", "a"),
        ("content-length", "4")
    ])));
    for headers in [
        [("content-length", "4"), ("content-length", "4")],
        [("host", "a"), ("host", "b")],
        [("connection", "upgrade"), ("upgrade", "x")],
    ] {
        assert!(
            toucanledge_head::is_ambiguous(&head(&headers)),
            "{headers:?} is not ambiguous"
        );
    }
    let mut connect = head(&[]);
    connect.method = hyper::Method::CONNECT;
    assert!(toucanledge_head::is_ambiguous(&connect));
}

#[test]
fn hop_by_hop_headers_are_dropped_and_repeated_ones_kept() {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("connection", "close, x-first"),
        ("connection", "x-second"),
        ("x-first", "1"),
        ("x-second", "2"),
        ("keep-alive", "timeout=5"),
        ("transfer-encoding", "chunked"),
        ("set-cookie", "a"),
        ("set-cookie", "b"),
    ] {
        headers.append(name, HeaderValue::from_static(value));
    }
    let kept = toucanledge_head::strip_hop_by_hop(&headers);
    assert_eq!(kept.len(), 2);
    assert_eq!(kept.get_all("set-cookie").iter().count(), 2);
}
