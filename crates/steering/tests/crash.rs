//! Guards against a request that crashes one server after another.

use toucanledge_core::{CallerHash, Fingerprint, Millis};
use toucanledge_steering::CrashTracker;

use crate::support;

fn request(path: &str) -> Fingerprint {
    Fingerprint::of(CallerHash::of(b"caller"), "POST", path, b"")
}

#[test]
fn a_request_is_a_crash_suspect_after_two_lost_servers() {
    let mut tracker = CrashTracker::default();
    tracker.record_crash(request("/a/"), support::id(0), Millis(10));
    tracker.record_crash(request("/a/"), support::id(0), Millis(20));
    assert!(!tracker.is_crash_suspect(request("/a/"), Millis(20)));
    tracker.record_crash(request("/a/"), support::id(1), Millis(30));
    assert!(tracker.is_crash_suspect(request("/a/"), Millis(30)));
    assert!(!tracker.is_crash_suspect(request("/b/"), Millis(30)));
    assert!(!tracker.is_crash_suspect(request("/a/"), Millis(70_000)));
}

#[test]
fn tracked_requests_are_bounded() {
    let mut tracker = CrashTracker::default();
    for index in 0..5_000_u64 {
        let request = request(&format!("/{index}/"));
        tracker.record_crash(request, support::id(0), Millis(index));
        tracker.record_crash(request, support::id(1), Millis(index));
    }
    let suspects = (0..5_000_u64)
        .filter(|index| tracker.is_crash_suspect(request(&format!("/{index}/")), Millis(5_000)))
        .count();
    assert!(
        suspects <= 512,
        "{suspects} requests are tracked, more than the limit of 512"
    );
}
