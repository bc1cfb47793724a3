//! Times of the claim protocol and the switches of its rules.

/// Time in milliseconds that a confirmation of the list version counts, from the echoed send time.
pub const LEASE_MS: u64 = 6_000;

/// Time in milliseconds after the first ask during which an attempt may dispatch.
pub const DISPATCH_PERMIT_MS: u64 = 2_000;

/// Greatest number of list versions in the history of a heartbeat.
pub const MAX_HISTORY_VERSIONS: usize = 16;

/// Voters of a key in a list that has enough gateways.
pub const MAX_VOTERS: usize = 5;

/// Switches of the rules under "At most once" in the design page.
///
/// A test turns one rule off to show that a double run becomes possible without it. The type is
/// hidden from the documentation because no deployment may run with a rule off; the documented
/// constructors always use [`ClaimRules::default`], which has every rule on.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switch is one independent rule"
)]
pub struct ClaimRules {
    /// Rule 2: a voter refuses an ask that names another list version.
    pub matching_list_version: bool,
    /// Rule 3: a voter needs the lease.
    pub lease: bool,
    /// Rule 3: the lease counts from the echoed send time instead of the arrival.
    pub lease_from_echo: bool,
    /// Rule 4: a voter was a voter of the key in every version of its history.
    pub voter_in_all_versions: bool,
    /// Rule 4: the quorum is not smaller than that of any version in the history.
    pub quorum_size: bool,
    /// Rule 5: a gateway is established only after the greatest window.
    pub established: bool,
    /// Rule 5: a gateway is established only with a history that continues earlier ones.
    pub recovered_history: bool,
    /// Rule 6: a vote is for one attempt.
    pub one_vote_per_key: bool,
    /// Rule 7: the right to dispatch expires.
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
