//! Backend servers that asked this gateway for a pause.

use std::collections;
use std::sync;
use std::time;

use toucanledge_core::{PoolId, VmId};

/// Limit of a pause. A longer one is a mistake, and would take the server out of use for good.
const MAX_PAUSE: time::Duration = time::Duration::from_hours(1);
/// Limit of the servers that a slot request excludes for a pause; messages between gateways hold no
/// longer list.
const MAX_EXCLUDED: usize = 60;

/// Pauses by backend server.
#[derive(Debug, Default)]
pub struct ServerPauses {
    pauses: sync::Mutex<collections::HashMap<VmId, ServerPause>>,
}

#[derive(Clone, Copy, Debug)]
struct ServerPause {
    pool: PoolId,
    until: time::Instant,
}

impl ServerPauses {
    /// Records that a server of a pool wants no request for a time. Each rejection asks for a time of
    /// its own, so a later one never shortens a pause.
    pub fn record(&self, server: VmId, pool: PoolId, pause_ms: u64, now: time::Instant) {
        let asked = time::Duration::from_millis(pause_ms);
        if asked > MAX_PAUSE {
            metrics::counter!("toucanledge_invalid_notices_total", "kind" => "pause-too-long")
                .increment(1);
            log::warn!(
                "[backend] server={} pause_ms={pause_ms} is too long",
                server.0
            );
        }
        let until = now + asked.min(MAX_PAUSE);
        let mut pauses = self.lock();
        let known = pauses.get(&server).map(|pause| pause.until);
        if known < Some(until) {
            pauses.insert(server, ServerPause { pool, until });
            metrics::counter!("toucanledge_pause_notices_total").increment(1);
            let for_ms = until.saturating_duration_since(now).as_millis();
            log::info!("[backend] server={} paused for_ms={for_ms}", server.0);
        }
    }

    /// Returns the servers of a pool that want no request now.
    #[must_use]
    pub fn paused_in(&self, pool: PoolId, now: time::Instant) -> Vec<VmId> {
        self.remove_expired(now);
        let pauses = self.lock();
        let in_pool = pauses.iter().filter(|(_, pause)| pause.pool == pool);
        in_pool
            .map(|(server, _)| *server)
            .take(MAX_EXCLUDED)
            .collect()
    }

    /// Returns whether a server wants no request now.
    #[must_use]
    pub fn is_paused(&self, server: VmId, now: time::Instant) -> bool {
        let pauses = self.lock();
        pauses.get(&server).is_some_and(|pause| now < pause.until)
    }

    /// Returns the time until the first pause of a pool's servers is over; `None` without one.
    #[must_use]
    pub fn first_end(&self, pool: PoolId, now: time::Instant) -> Option<time::Duration> {
        let pauses = self.lock();
        let in_pool = pauses.values().filter(|pause| pause.pool == pool);
        let first = in_pool.map(|pause| pause.until).min()?;
        Some(first.saturating_duration_since(now))
    }

    fn remove_expired(&self, now: time::Instant) {
        self.lock().retain(|server, pause| {
            let over = now >= pause.until;
            if over {
                log::info!("[backend] server={} pause over", server.0);
            }
            !over
        });
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<VmId, ServerPause>> {
        self.pauses
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
