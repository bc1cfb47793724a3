//! Decides when an idle connection to a backend server may carry another request.
//!
//! A connection that rested may have been closed, forgotten or cut without notice. A repeatable
//! request that is lost on it is sent again, so it may use a connection that rested for seconds. A
//! non-repeatable request uses only one that was answered a moment ago.

use std::collections;

use toucanledge_core::{Millis, PoolId};
use toucanledge_table::RepeatRule;

use crate::row::ServerId;

/// Longest rest of a connection before a repeatable request.
const MAX_REST_MS: u64 = 8_000;
/// Longest rest of a connection before a non-repeatable request.
const MAX_NON_REPEATABLE_REST_MS: u64 = 1_000;
/// Longest rest of a connection whose backend server does not state its idle timeout.
const UNSTATED_REST_MS: u64 = 1_000;
/// Time before the end of a stated idle timeout from which the connection is not used.
const IDLE_TIMEOUT_MARGIN_MS: u64 = 1_000;
/// Time for which a pool's connections rest no longer than half as long as one that was lost.
const SHORT_REST_MS: u64 = 20_000;
/// Time for which no connection to a backend server is kept after it sent bytes that belong to no
/// request.
const DISTRUST_MS: u64 = 20_000;

/// Rest of an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionRest {
    /// Time at which its last response was read.
    pub since: Millis,
    /// Time from which it is not used any more.
    pub close_at: Millis,
}

impl ConnectionRest {
    /// Returns whether a request may use the connection that accepts a rest shorter than
    /// `max_rest_ms`.
    #[must_use]
    pub fn is_usable(&self, max_rest_ms: u64, now: Millis) -> bool {
        now < self.close_at && now.since(self.since) < max_rest_ms
    }
}

/// What one gateway knows of connections that were lost or spoiled while they were idle.
#[derive(Clone, Debug, Default)]
pub struct ReusePolicy {
    short_rests: collections::HashMap<PoolId, ShortRest>,
    distrusted: collections::HashMap<ServerId, Millis>,
}

#[derive(Clone, Copy, Debug)]
struct ShortRest {
    max_rest_ms: u64,
    until: Millis,
}

impl ReusePolicy {
    /// Returns how long a connection may have rested before a request of a pool, in milliseconds.
    #[must_use]
    pub fn max_rest_ms(&self, pool: PoolId, repeat_rule: RepeatRule, now: Millis) -> u64 {
        let limit_ms = if repeat_rule == RepeatRule::Repeatable {
            MAX_REST_MS
        } else {
            MAX_NON_REPEATABLE_REST_MS
        };
        match self.short_rests.get(&pool) {
            Some(short) if now < short.until => short.max_rest_ms.min(limit_ms),
            _ => limit_ms,
        }
    }

    /// Returns how long a connection may rest, in milliseconds; `None` if it is not kept. The idle
    /// timeout is the one that the backend server states.
    #[must_use]
    pub fn keep_ms(
        &self,
        server: ServerId,
        stated_idle_timeout_ms: Option<u64>,
        now: Millis,
    ) -> Option<u64> {
        if self
            .distrusted
            .get(&server)
            .is_some_and(|until| now < *until)
        {
            return None;
        }
        let keep_ms = stated_idle_timeout_ms.map_or(UNSTATED_REST_MS, |timeout_ms| {
            timeout_ms.saturating_sub(IDLE_TIMEOUT_MARGIN_MS)
        });
        (keep_ms > 0).then_some(keep_ms.min(MAX_REST_MS))
    }

    /// Records that a connection which had rested was lost when it was used again.
    pub fn record_lost(&mut self, pool: PoolId, rest_ms: u64, now: Millis) {
        let max_rest_ms = self
            .max_rest_ms(pool, RepeatRule::Repeatable, now)
            .min(rest_ms / 2);
        let until = now + SHORT_REST_MS;
        self.short_rests
            .insert(pool, ShortRest { max_rest_ms, until });
    }

    /// Records that a backend server sent bytes that belong to no request.
    pub fn record_foreign_bytes(&mut self, server: ServerId, now: Millis) {
        self.distrusted.retain(|_, until| now < *until);
        self.distrusted.insert(server, now + DISTRUST_MS);
    }
}
