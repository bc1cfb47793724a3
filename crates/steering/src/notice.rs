//! What backend servers say of themselves in their responses: that they leave, or want a pause.
//!
//! A notice is about one process of a backend server. It outlives the server's record, so that an
//! older record that arrives later does not bring a leaving server back.

use toucanledge_core::Millis;

use crate::row::ServerProcess;

/// Limit of a pause. A longer one is a mistake, and would take the server out of use for good.
const MAX_PAUSE_MS: u64 = 3_600_000;
/// Time for which the notices of a process without a record are kept.
const RETENTION_MS: u64 = 3_600_000;
/// Limit of the processes without a record whose notices are kept.
const MAX_RETAINED: usize = 1_024;

/// What the head of one response says of its backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerNotice {
    /// The server is leaving and takes no more work.
    pub leaving: bool,
    /// Time in milliseconds for which the server wants no request from this gateway.
    pub pause_ms: Option<u64>,
    /// What is wrong with the notice.
    pub problems: Vec<NoticeProblem>,
}

/// What is wrong with a notice.
///
/// The names are part of log lines and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum NoticeProblem {
    /// The value that should say whether the server is leaving is none of the known ones.
    UnknownLeavingValue,
    /// The time of the pause is not a number of seconds.
    InvalidPause,
    /// The pause is over the limit and was shortened to it.
    PauseTooLong,
}

/// What a notice changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NoticeChange {
    /// The server was not known to be leaving before.
    pub became_leaving: bool,
    /// New end of the pause, if it is later than before.
    pub paused_until: Option<Millis>,
    /// The pause was shortened to the limit.
    pub pause_bounded: bool,
}

/// Notices of one process of a backend server that are in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NoticeState {
    /// The server is leaving.
    pub leaving: bool,
    /// End of the pause that the server asked this gateway for; `None` without one.
    pub paused_until: Option<Millis>,
}

impl NoticeState {
    /// Applies a notice. Each rejection asks for a pause of its own, so a later one may lengthen the
    /// pause but not shorten it.
    pub fn apply(&mut self, notice: &ServerNotice, now: Millis) -> NoticeChange {
        let became_leaving = notice.leaving && !self.leaving;
        self.leaving |= notice.leaving;
        let pause_bounded = notice.pause_ms.is_some_and(|pause| pause > MAX_PAUSE_MS);
        let until = notice
            .pause_ms
            .map(|pause_ms| now + pause_ms.min(MAX_PAUSE_MS));
        let paused_until = until.filter(|until| self.paused_until < Some(*until));
        if paused_until.is_some() {
            self.paused_until = paused_until;
        }
        NoticeChange {
            became_leaving,
            paused_until,
            pause_bounded,
        }
    }

    /// Adds the notices of another state.
    pub fn merge(&mut self, other: Self) {
        self.leaving |= other.leaving;
        self.paused_until = self.paused_until.max(other.paused_until);
    }

    /// Returns whether the server wants no request at this time.
    #[must_use]
    pub fn is_paused(&self, now: Millis) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Ends a pause whose time is over, and returns whether there was one.
    pub(crate) fn end_pause(&mut self, now: Millis) -> bool {
        let over = self.paused_until.is_some_and(|until| now >= until);
        if over {
            self.paused_until = None;
        }
        over
    }

    fn is_in_force(&self, now: Millis) -> bool {
        self.leaving || self.is_paused(now)
    }
}

/// Why a notice is no longer in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum NoticeEnd {
    /// The time of the pause is over.
    PauseOver,
    /// A newer process of the server was published.
    NewProcess,
}

/// Notices about processes that have no record, or an older one.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetainedNotices {
    notices: Vec<RetainedNotice>,
}

#[derive(Clone, Copy, Debug)]
struct RetainedNotice {
    process: ServerProcess,
    state: NoticeState,
    kept_at: Millis,
}

impl RetainedNotices {
    /// Keeps the notices of a process.
    pub fn keep(&mut self, process: ServerProcess, state: NoticeState, now: Millis) {
        if !state.is_in_force(now) {
            return;
        }
        let known = self.notices.iter().position(|kept| kept.process == process);
        let known = known.map(|index| self.notices.remove(index));
        let mut kept = RetainedNotice {
            process,
            state,
            kept_at: now,
        };
        if let Some(known) = known {
            kept.state.merge(known.state);
        }
        if self.notices.len() >= MAX_RETAINED {
            self.notices.remove(0);
        }
        self.notices.push(kept);
    }

    /// Returns the notices that hold for a process which was published now: those of the same process
    /// and of newer ones. Forgets those of older ones, and returns whether that ended all.
    pub fn take_for(&mut self, process: &ServerProcess, now: Millis) -> (NoticeState, bool) {
        let mut state = NoticeState::default();
        let mut had_older = false;
        self.notices.retain(|kept| {
            if kept.process.id != process.id {
                return true;
            }
            let is_older = process.is_newer_than(&kept.process);
            if is_older {
                had_older |= kept.state.is_in_force(now);
            } else {
                state.merge(kept.state);
            }
            !is_older
        });
        (state, had_older && !state.is_in_force(now))
    }

    /// Forgets notices that are no longer needed.
    pub fn remove_expired(&mut self, now: Millis) {
        self.notices
            .retain(|kept| kept.state.is_in_force(now) && now.since(kept.kept_at) < RETENTION_MS);
    }
}
