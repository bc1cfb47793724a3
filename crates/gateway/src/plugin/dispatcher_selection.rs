//! Selection of the dispatcher that a lease request is sent to.

use std::collections;

use toucanledge_core::{FailureDomainId, Millis, PoolId, ShardId, VmId};
use toucanledge_membership::ShardMap;

/// Time in milliseconds for which a dispatcher that timed out is selected only after all others.
const TIMEOUT_PENALTY_MS: u64 = 1000;
/// Milliseconds that are added to the expected wait at a dispatcher in another failure domain.
const CROSS_DOMAIN_PENALTY_MS: u32 = 2;
/// Age in milliseconds at which a reported wait is no longer used.
const MAX_WAIT_AGE_MS: u64 = 500;

/// A shard with its dispatcher and the wait that the dispatcher reported last.
#[derive(Clone, Copy, Debug)]
pub struct DispatcherCandidate {
    /// Shard of a pool.
    pub shard: ShardId,
    /// Dispatcher of the shard by the VM list and the fleet view of this gateway.
    pub dispatcher: VmId,
    wait_ms: u32,
    reported_at: Millis,
    penalized_until: Millis,
}

/// Selects among the shards of a pool by the waits that their dispatchers reported.
#[derive(Debug)]
pub struct DispatcherSelector {
    own_domain: FailureDomainId,
    pools: collections::HashMap<PoolId, Vec<DispatcherCandidate>>,
}

impl DispatcherSelector {
    /// Returns a selector without shards for a gateway in this failure domain.
    #[must_use]
    pub fn new(own_domain: FailureDomainId) -> Self {
        Self {
            own_domain,
            pools: collections::HashMap::new(),
        }
    }

    /// Applies the current shards; returns those that have a new dispatcher.
    pub fn reconfigure(&mut self, shards: &ShardMap, live: &[VmId]) -> Vec<(ShardId, VmId)> {
        let mut pools: collections::HashMap<PoolId, Vec<DispatcherCandidate>> =
            collections::HashMap::new();
        let mut moved = Vec::new();
        for shard in shards.shards() {
            let Some(dispatcher) = shards.dispatcher(shard, live) else {
                continue;
            };
            let known = self.candidate(shard).copied();
            if known.is_some_and(|known| known.dispatcher != dispatcher) {
                moved.push((shard, dispatcher));
            }
            let candidate = known
                .filter(|known| known.dispatcher == dispatcher)
                .unwrap_or_else(|| DispatcherCandidate::new(shard, dispatcher));
            pools.entry(shard.pool).or_default().push(candidate);
        }
        self.pools = pools;
        moved
    }

    /// Returns the dispatcher of a shard.
    #[must_use]
    pub fn dispatcher_of(&self, shard: ShardId) -> Option<VmId> {
        self.candidate(shard).map(|candidate| candidate.dispatcher)
    }

    /// Records the wait that a dispatcher reported.
    pub fn record_wait(&mut self, shard: ShardId, wait_ms: u32, now: Millis) {
        if let Some(candidate) = self.candidate_mut(shard) {
            candidate.wait_ms = wait_ms;
            candidate.reported_at = now;
            candidate.penalized_until = Millis::default();
        }
    }

    /// Records that a dispatcher did not reply in time.
    pub fn record_timeout(&mut self, shard: ShardId, now: Millis) {
        if let Some(candidate) = self.candidate_mut(shard) {
            candidate.penalized_until = now + TIMEOUT_PENALTY_MS;
        }
    }

    /// Returns the shard with the shortest expected wait, without those in `excluded`.
    ///
    /// `tie_breaker` spreads ties over the shards.
    #[must_use]
    pub fn select(
        &self,
        pool: PoolId,
        excluded: &[ShardId],
        now: Millis,
        tie_breaker: u64,
    ) -> Option<DispatcherCandidate> {
        self.candidates(pool)
            .iter()
            .filter(|candidate| !excluded.contains(&candidate.shard))
            .min_by_key(|candidate| candidate.cost(self.own_domain, now, tie_breaker))
            .copied()
    }

    /// Returns the shard to try after another refused because its queue is full.
    ///
    /// Shards whose reported wait is at least half of `max_wait_ms` are left out. At twice the
    /// capacity, every request would otherwise be sent to every shard, and a request that comes
    /// from another shard has the earlier deadline and displaces one that is already queued.
    #[must_use]
    pub fn select_below_wait(
        &self,
        pool: PoolId,
        excluded: &[ShardId],
        now: Millis,
        max_wait_ms: u32,
    ) -> Option<DispatcherCandidate> {
        let is_below_limit =
            |candidate: &&DispatcherCandidate| candidate.current_wait_ms(now) < max_wait_ms / 2;
        self.candidates(pool)
            .iter()
            .filter(|candidate| !excluded.contains(&candidate.shard))
            .filter(is_below_limit)
            .min_by_key(|candidate| candidate.cost(self.own_domain, now, 0))
            .copied()
    }

    /// Returns the shard to which every gateway sends the crash suspects of a pool.
    #[must_use]
    pub fn shard_for_suspects(&self, pool: PoolId) -> Option<DispatcherCandidate> {
        let candidates = self.candidates(pool).iter();
        candidates
            .min_by_key(|candidate| candidate.shard.rendezvous_key())
            .copied()
    }

    fn candidates(&self, pool: PoolId) -> &[DispatcherCandidate] {
        self.pools.get(&pool).map_or(&[], Vec::as_slice)
    }

    fn candidate(&self, shard: ShardId) -> Option<&DispatcherCandidate> {
        self.candidates(shard.pool)
            .iter()
            .find(|candidate| candidate.shard == shard)
    }

    fn candidate_mut(&mut self, shard: ShardId) -> Option<&mut DispatcherCandidate> {
        self.pools
            .get_mut(&shard.pool)?
            .iter_mut()
            .find(|candidate| candidate.shard == shard)
    }
}

impl DispatcherCandidate {
    fn new(shard: ShardId, dispatcher: VmId) -> Self {
        Self {
            shard,
            dispatcher,
            wait_ms: 0,
            reported_at: Millis::default(),
            penalized_until: Millis::default(),
        }
    }

    /// Returns the reported wait; 0 when there is no recent report.
    fn current_wait_ms(&self, now: Millis) -> u32 {
        if now.since(self.reported_at) < MAX_WAIT_AGE_MS {
            self.wait_ms
        } else {
            0
        }
    }

    /// Returns the sort key of the candidate: those that timed out last, then by expected wait.
    fn cost(&self, own_domain: FailureDomainId, now: Millis, tie_breaker: u64) -> (bool, u32, u64) {
        let has_timed_out = now < self.penalized_until;
        let wait_ms = self.current_wait_ms(now);
        let penalty_ms = if self.shard.domain == own_domain {
            0
        } else {
            CROSS_DOMAIN_PENALTY_MS
        };
        let tie_order = self
            .shard
            .rendezvous_key()
            .rotate_left((tie_breaker % 64) as u32);
        (has_timed_out, wait_ms + penalty_ms, tie_order)
    }
}
