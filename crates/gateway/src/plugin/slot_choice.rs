//! The choice of the dispatcher to ask.

use std::collections;

use toucanledge_core::{FailureDomainId, Millis, PoolId, ShardId, VmId};
use toucanledge_membership::ShardMap;

/// Time in milliseconds for which a silent dispatcher is asked only after all others.
const SILENT_PENALTY_MS: u64 = 1000;
/// Extra wait in milliseconds that makes a dispatcher in another failure domain worth asking.
const CROSS_DOMAIN_MS: u32 = 2;
/// Age in milliseconds at which a reported wait is no longer believed.
const WAIT_MAX_AGE_MS: u64 = 500;

/// A shard that this gateway may ask.
#[derive(Clone, Copy, Debug)]
pub struct ShardPeer {
    /// Shard of the pool.
    pub shard: ShardId,
    /// Gateway that this one believes to be the dispatcher.
    pub dispatcher: VmId,
    wait: u32,
    waited_at: Millis,
    silent_until: Millis,
}

/// The shards of each pool with their dispatchers and the waits that they reported.
#[derive(Debug)]
pub struct ShardChoice {
    own: FailureDomainId,
    pools: collections::HashMap<PoolId, Vec<ShardPeer>>,
}

impl ShardChoice {
    /// Returns a choice without shards for a gateway in this failure domain.
    #[must_use]
    pub fn new(own: FailureDomainId) -> Self {
        Self {
            own,
            pools: collections::HashMap::new(),
        }
    }

    /// Takes the present shards and returns those that have a new dispatcher.
    pub fn reconfigure(&mut self, shards: &ShardMap, live: &[VmId]) -> Vec<(ShardId, VmId)> {
        let mut pools: collections::HashMap<PoolId, Vec<ShardPeer>> = collections::HashMap::new();
        let mut moved = Vec::new();
        for shard in shards.shards() {
            let Some(dispatcher) = shards.dispatcher(shard, live) else {
                continue;
            };
            let known = self.peer(shard).copied();
            if known.is_some_and(|known| known.dispatcher != dispatcher) {
                moved.push((shard, dispatcher));
            }
            let peer = known
                .filter(|known| known.dispatcher == dispatcher)
                .unwrap_or_else(|| ShardPeer::new(shard, dispatcher));
            pools.entry(shard.pool).or_default().push(peer);
        }
        self.pools = pools;
        moved
    }

    /// Returns the dispatcher of a shard.
    #[must_use]
    pub fn dispatcher_of(&self, shard: ShardId) -> Option<VmId> {
        self.peer(shard).map(|peer| peer.dispatcher)
    }

    /// Notes the wait that a dispatcher reported.
    pub fn note_wait(&mut self, shard: ShardId, wait: u32, now: Millis) {
        if let Some(peer) = self.peer_mut(shard) {
            peer.wait = wait;
            peer.waited_at = now;
            peer.silent_until = Millis::default();
        }
    }

    /// Notes that a dispatcher did not reply.
    pub fn note_silence(&mut self, shard: ShardId, now: Millis) {
        if let Some(peer) = self.peer_mut(shard) {
            peer.silent_until = now + SILENT_PENALTY_MS;
        }
    }

    /// Returns the shard with the least expected wait among those that did not refuse.
    ///
    /// Ties are spread by `turn`.
    #[must_use]
    pub fn best(
        &self,
        pool: PoolId,
        refused: &[ShardId],
        now: Millis,
        turn: u64,
    ) -> Option<ShardPeer> {
        self.peers(pool)
            .iter()
            .filter(|peer| !refused.contains(&peer.shard))
            .min_by_key(|peer| peer.cost(self.own, now, turn))
            .copied()
    }

    /// Returns the shard to try after another refused because its queue is full.
    ///
    /// Shards that lately reported a wait near the limit are left out. At twice the capacity every
    /// request would otherwise be asked of every shard, and an ask that comes from another shard
    /// has the earlier deadline and takes the place of one that was admitted before.
    #[must_use]
    pub fn best_with_room(
        &self,
        pool: PoolId,
        refused: &[ShardId],
        now: Millis,
        limit: u32,
    ) -> Option<ShardPeer> {
        let has_room = |peer: &&ShardPeer| peer.believed_wait(now) < limit / 2;
        self.peers(pool)
            .iter()
            .filter(|peer| !refused.contains(&peer.shard))
            .filter(has_room)
            .min_by_key(|peer| peer.cost(self.own, now, 0))
            .copied()
    }

    /// Returns the shard to which every gateway sends the suspected requests of a pool.
    #[must_use]
    pub fn home_of_suspects(&self, pool: PoolId) -> Option<ShardPeer> {
        let peers = self.peers(pool).iter();
        peers
            .min_by_key(|peer| peer.shard.rendezvous_key())
            .copied()
    }

    fn peers(&self, pool: PoolId) -> &[ShardPeer] {
        self.pools.get(&pool).map_or(&[], Vec::as_slice)
    }

    fn peer(&self, shard: ShardId) -> Option<&ShardPeer> {
        self.peers(shard.pool)
            .iter()
            .find(|peer| peer.shard == shard)
    }

    fn peer_mut(&mut self, shard: ShardId) -> Option<&mut ShardPeer> {
        self.pools
            .get_mut(&shard.pool)?
            .iter_mut()
            .find(|peer| peer.shard == shard)
    }
}

impl ShardPeer {
    fn new(shard: ShardId, dispatcher: VmId) -> Self {
        Self {
            shard,
            dispatcher,
            wait: 0,
            waited_at: Millis::default(),
            silent_until: Millis::default(),
        }
    }

    /// Returns the wait that the dispatcher reported lately; 0 when it did not.
    fn believed_wait(&self, now: Millis) -> u32 {
        if now.since(self.waited_at) < WAIT_MAX_AGE_MS {
            self.wait
        } else {
            0
        }
    }

    /// Returns the sort key of the shard: silent ones last, then by wait, ties spread by `turn`.
    fn cost(&self, own: FailureDomainId, now: Millis, turn: u64) -> (bool, u32, u64) {
        let silent = now < self.silent_until;
        let wait = self.believed_wait(now);
        let distance = if self.shard.domain == own {
            0
        } else {
            CROSS_DOMAIN_MS
        };
        let spread = self.shard.rendezvous_key().rotate_left((turn % 64) as u32);
        (silent, wait + distance, spread)
    }
}
