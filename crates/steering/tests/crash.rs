//! Guards against a request that crashes one server after another.

use toucanledge_core::{CallerHash, Fingerprint, Millis};
use toucanledge_steering::CrashLedger;

use crate::support;

fn request(path: &str) -> Fingerprint {
    Fingerprint::of(CallerHash::of(b"caller"), "POST", path, b"")
}

#[test]
fn a_request_is_refused_after_two_servers_were_lost_to_it() {
    let mut ledger = CrashLedger::default();
    ledger.note(request("/a/"), support::id(0), Millis(10));
    ledger.note(request("/a/"), support::id(0), Millis(20));
    assert!(!ledger.suspected(request("/a/"), Millis(20)));
    ledger.note(request("/a/"), support::id(1), Millis(30));
    assert!(ledger.suspected(request("/a/"), Millis(30)));
    assert!(!ledger.suspected(request("/b/"), Millis(30)));
    assert!(!ledger.suspected(request("/a/"), Millis(70_000)));
}

#[test]
fn memory_is_bounded() {
    let mut ledger = CrashLedger::default();
    for index in 0..5_000_u64 {
        let request = request(&format!("/{index}/"));
        ledger.note(request, support::id(0), Millis(index));
        ledger.note(request, support::id(1), Millis(index));
    }
    let refused = (0..5_000_u64)
        .filter(|index| ledger.suspected(request(&format!("/{index}/")), Millis(5_000)))
        .count();
    assert!(refused <= 512, "{refused} requests remembered");
}
