//! Invariants that debug builds assert.

use toucanledge_core::ListVersion;

/// Asserts that the history contains no retired version.
pub(crate) fn check_history<'a>(
    oldest_active: ListVersion,
    versions: impl Iterator<Item = &'a ListVersion>,
) {
    let mut versions = versions;
    debug_assert!(
        versions.all(|version| *version >= oldest_active),
        "history contains a version older than {oldest_active:?}"
    );
}

/// Asserts that the byte counter equals the sum over the stored claims.
pub(crate) fn check_byte_count(counted: usize, claims: impl Iterator<Item = usize>) {
    if cfg!(debug_assertions) {
        let sum: usize = claims.sum();
        debug_assert_eq!(
            counted, sum,
            "byte counter differs from the sum over stored claims"
        );
    }
}
