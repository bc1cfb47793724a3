//! At-most-once execution of requests that carry an idempotency key.
//!
//! Before a gateway dispatches such a request, a claim attempt collects votes from a quorum of the
//! key's voters, which are gateways too. [`ListHistory`] tells whether this gateway may vote,
//! [`ClaimVoter`] stores votes and outcomes, and [`ClaimAttempt`] collects the votes for one
//! request.
//!
//! All three are state machines without I/O: they take events with the current time and return
//! what the driver must do next. `docs/at-most-once.md` gives the safety argument.

mod action;
mod attempt;
mod history;
mod invariants;
mod message;
mod peer;
mod retention;
mod rules;
mod version_gateways;
mod voter;
mod voters;

pub use action::{AttemptAction, RecordDelivery};
pub use attempt::{AttemptRequest, ClaimAttempt};
pub use history::{AddListOutcome, HistoryReport, ListHistory};
pub use message::{
    AttemptId, ClaimKey, ClaimOutcome, ClaimRecord, StoredResponse, VoteDecision, VoteRefusal,
    VoteReply, VoteRequest,
};
pub use peer::PeerHistoryReport;
#[doc(hidden)]
pub use rules::ClaimRules;
pub use rules::{DISPATCH_PERMIT_MS, LEASE_MS, MAX_HISTORY_VERSIONS, MAX_VOTERS};
pub use voter::{ClaimLimits, ClaimVoter};
pub use voters::{quorum, voters};
