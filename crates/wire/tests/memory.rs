//! Peak memory of the codec.
//!
//! This test runs in a separate process, because tests in the same process would raise the peak.

use toucanledge_wire::{WireError, decode};

fn peak_memory_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status")
        .expect("cannot read the status of this process");
    let line = status
        .lines()
        .find(|line| line.starts_with("VmHWM:"))
        .expect("no line with the peak memory");
    let number = line
        .split_whitespace()
        .nth(1)
        .expect("no number in the line");
    number.parse().expect("not a number of KiB")
}

/// Guards against memory that is reserved for the length that a frame states, whatever its size.
#[test]
fn stated_lengths_reserve_little_memory() {
    let with_huge_length = |head: &[u8]| {
        [
            head,
            &[0x1b, 0x00, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff],
        ]
        .concat()
    };
    let with_major_type = |head: &[u8], major: u8| {
        let mut bytes = with_huge_length(head);
        bytes[head.len()] |= major << 5;
        bytes
    };
    let list_request = with_major_type(&[0xa1, 0x62, b'l', b'a'], 4);
    let list_reply = with_major_type(&[0xa1, 0x62, b'l', b'y', 0x81, 0x82, 0x01], 4);
    let table_head = with_major_type(&[0xa1, 0x62, b't', b'y', 0x83, 0x01], 3);
    let vote_key = with_major_type(&[0xa1, 0x62, b'c', b'a', 0x83], 2);
    let before_kib = peak_memory_kib();
    for frame in [list_request, list_reply, table_head, vote_key] {
        let report = decode(&frame).unwrap_err();
        assert_eq!(*report.current_context(), WireError::BadFrame);
    }
    let growth_kib = peak_memory_kib() - before_kib;
    assert!(
        growth_kib < 16 * 1_024,
        "expected less than 16 MiB, peak memory grew by {growth_kib} KiB"
    );
}
