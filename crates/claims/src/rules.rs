//! Timing and limits of the claim protocol, and switches for its rules.

/// Validity in milliseconds of a peer's confirmation of the list version, counted from the echoed
/// send time.
pub const LEASE_MS: u64 = 6_000;

/// Validity in milliseconds of a dispatch permit, counted from the first vote request.
pub const DISPATCH_PERMIT_MS: u64 = 2_000;

/// Largest number of list versions that a heartbeat carries.
pub const MAX_HISTORY_VERSIONS: usize = 16;

/// Largest number of voters of a key; a list with fewer gateways has fewer voters.
pub const MAX_VOTERS: usize = 5;

/// Switches for the numbered rules under "At most once" in the design page.
///
/// Tests turn one rule off to show that a request could then run twice. The type is hidden from
/// the documentation because no deployment may run with a rule off; the documented constructors
/// always use [`ClaimRules::default`], which has every rule on.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the rules are independent of each other"
)]
pub struct ClaimRules {
    /// Rule 2: a voter refuses a vote request with another list version than its own.
    pub matching_list_version: bool,
    /// Rule 3: a voter grants votes only while it holds the lease on the newest list version.
    pub lease: bool,
    /// Rule 3: the lease counts from the echoed send time, not from the arrival of the echo.
    pub lease_from_echo: bool,
    /// Rule 4: a voter must be a voter of the key in every version of its history.
    pub voter_in_all_versions: bool,
    /// Rule 4: the quorum must not be smaller than that of any version in the history.
    pub quorum_size: bool,
    /// Rule 5: a gateway is established only after the longest retention window.
    pub established: bool,
    /// Rule 5: a gateway is established only with a recovered list history.
    pub recovered_history: bool,
    /// Rule 6: a voter gives its vote for a key to one claim attempt only.
    pub one_vote_per_key: bool,
    /// Rule 7: the dispatch permit expires.
    pub permit_expiry: bool,
}

impl Default for ClaimRules {
    fn default() -> Self {
        Self {
            matching_list_version: true,
            lease: true,
            lease_from_echo: true,
            voter_in_all_versions: true,
            quorum_size: true,
            established: true,
            recovered_history: true,
            one_vote_per_key: true,
            permit_expiry: true,
        }
    }
}
