//! Claims that make keyed work run at most once.
//!
//! The crate holds decision logic only: events come in with the time, and a step comes out.
//! [`ListHistory`] answers whether this gateway may vote, [`ClaimVoter`] remembers votes and
//! results, and [`ClaimAttempt`] gathers the votes for one request. `docs/at-most-once.md` gives
//! the safety argument.

mod attempt;
mod check;
mod group;
mod history;
mod message;
mod peer;
mod rules;
mod step;
mod voter;
mod voters;
mod window;

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
pub use step::{AttemptAction, RecordDelivery};
pub use voter::{ClaimLimits, ClaimVoter};
pub use voters::{quorum, voters};
