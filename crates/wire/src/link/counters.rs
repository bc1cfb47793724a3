//! Counters of messages by kind.

use metrics::Counter;
use strum::IntoEnumIterator;

use crate::message::MessageKind;

/// One counter for each kind of message, registered once instead of looked up for every message.
#[derive(Debug)]
pub struct MessageCounters {
    counters: Vec<Counter>,
}

impl MessageCounters {
    /// Registers counters of the metric `name`, labelled with the kind.
    pub fn new(name: &'static str) -> Self {
        let counters = MessageKind::iter()
            .map(|kind| {
                let kind: &'static str = kind.into();
                metrics::counter!(name, "kind" => kind)
            })
            .collect();
        Self { counters }
    }

    /// Counts a message of this kind.
    pub fn count(&self, kind: MessageKind) {
        self.counters[kind as usize].increment(1);
    }
}
