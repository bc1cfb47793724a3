//! Outcome of sending a message.

use super::fault::LinkFault;

/// Outcome of sending a message over a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum SendOutcome {
    /// The message waits to be written to an open link.
    Queued,
    /// The message waits for a link that is being opened.
    Opening,
    /// The queue of the link is full; the message was dropped.
    QueueFull,
    /// The last connection to the peer failed and the back-off has not passed; the message was
    /// dropped.
    Backoff,
    /// The message exceeds a limit; it was dropped.
    Unencodable,
}

impl SendOutcome {
    /// Returns the fault to count if the message was dropped.
    pub(crate) fn fault(self) -> Option<LinkFault> {
        match self {
            Self::Queued | Self::Opening => None,
            Self::QueueFull => Some(LinkFault::QueueFull),
            Self::Backoff => Some(LinkFault::Backoff),
            Self::Unencodable => Some(LinkFault::Unencodable),
        }
    }
}
