//! Asks that wait for a slot.

use std::collections;

use toucanledge_core::{ClassId, Millis, VmId};

use crate::LeaseRequestId;
use crate::memory;

slotmap::new_key_type! {
    pub(crate) struct AskKey;
}

/// Asks of one lane that are looked at when the first ones exclude every free backend server.
const LOOK_AHEAD: usize = 8;

/// Why an ask may have to wait although a slot is free.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum AskLane {
    /// Nothing holds the ask back.
    Short,
    /// The work is expected to be long.
    Long,
    /// The request is suspected of crashing backend servers.
    Suspect,
}

/// An ask without a reply yet.
#[derive(Clone, Debug)]
pub(crate) struct WaitingAsk {
    pub(crate) gateway: VmId,
    pub(crate) ask: LeaseRequestId,
    pub(crate) mark: memory::WorkMark,
    pub(crate) lane: AskLane,
    pub(crate) exclude: Vec<VmId>,
    pub(crate) deadline: Millis,
    pub(crate) expires: Millis,
}

type LaneOrder = collections::BTreeSet<(Millis, AskKey)>;

/// All waiting asks of a shard, by class, lane and deadline.
#[derive(Clone, Debug, Default)]
pub(crate) struct AskQueue {
    pub(crate) arena: slotmap::SlotMap<AskKey, WaitingAsk>,
    by_name: collections::HashMap<(VmId, LeaseRequestId), AskKey>,
    expiries: LaneOrder,
    lanes: collections::BTreeMap<(ClassId, AskLane), LaneOrder>,
    /// Asks whose expected wait was not judged yet.
    unjudged: Vec<AskKey>,
}

impl AskQueue {
    pub(crate) fn insert(&mut self, waiting: WaitingAsk) -> AskKey {
        let lane = (waiting.mark.class, waiting.lane);
        let name = (waiting.gateway, waiting.ask);
        let (deadline, expires) = (waiting.deadline, waiting.expires);
        let key = self.arena.insert(waiting);
        self.unjudged.push(key);
        self.by_name.insert(name, key);
        self.expiries.insert((expires, key));
        self.lanes.entry(lane).or_default().insert((deadline, key));
        key
    }

    pub(crate) fn remove(&mut self, key: AskKey) -> Option<WaitingAsk> {
        let waiting = self.arena.remove(key)?;
        self.by_name.remove(&(waiting.gateway, waiting.ask));
        self.expiries.remove(&(waiting.expires, key));
        let lane = (waiting.mark.class, waiting.lane);
        if let Some(order) = self.lanes.get_mut(&lane) {
            order.remove(&(waiting.deadline, key));
            if order.is_empty() {
                self.lanes.remove(&lane);
            }
        }
        Some(waiting)
    }

    pub(crate) fn find(&self, gateway: VmId, ask: LeaseRequestId) -> Option<AskKey> {
        self.by_name.get(&(gateway, ask)).copied()
    }

    pub(crate) fn of_gateway(&self, gateway: VmId) -> Vec<AskKey> {
        self.keys_where(|waiting| waiting.gateway == gateway)
    }

    pub(crate) fn keys_where(&self, matches: impl Fn(&WaitingAsk) -> bool) -> Vec<AskKey> {
        self.arena
            .iter()
            .filter(|(_, waiting)| matches(waiting))
            .map(|(key, _)| key)
            .collect()
    }

    pub(crate) fn expired(&self, now: Millis) -> Vec<AskKey> {
        self.expiries
            .iter()
            .take_while(|(expires, _)| *expires <= now)
            .map(|(_, key)| *key)
            .collect()
    }

    pub(crate) fn take_unjudged(&mut self) -> Vec<AskKey> {
        std::mem::take(&mut self.unjudged)
    }

    pub(crate) fn first_expiry(&self) -> Option<Millis> {
        self.expiries.first().map(|(expires, _)| *expires)
    }

    pub(crate) fn len(&self) -> usize {
        self.arena.len()
    }

    pub(crate) fn lane_len(&self, class: ClassId, lane: AskLane) -> usize {
        self.lanes
            .get(&(class, lane))
            .map_or(0, collections::BTreeSet::len)
    }

    /// Returns the number of waiting asks that are not expected to be long.
    pub(crate) fn short_len(&self) -> usize {
        let short = self
            .lanes
            .iter()
            .filter(|((_, lane), _)| *lane != AskLane::Long);
        short.map(|(_, order)| order.len()).sum()
    }

    pub(crate) fn class_len(&self, class: ClassId) -> usize {
        [AskLane::Short, AskLane::Long, AskLane::Suspect]
            .into_iter()
            .map(|lane| self.lane_len(class, lane))
            .sum()
    }

    /// Returns the classes with waiting asks.
    pub(crate) fn classes(&self) -> Vec<ClassId> {
        let mut classes: Vec<ClassId> = self.lanes.keys().map(|(class, _)| *class).collect();
        classes.dedup();
        classes
    }

    /// Returns the first asks of a class in order of deadline, from the lanes that are open.
    pub(crate) fn first_of(
        &self,
        class: ClassId,
        lanes: impl Iterator<Item = AskLane>,
    ) -> Vec<AskKey> {
        let mut first: Vec<(Millis, AskKey)> = lanes
            .filter_map(|lane| self.lanes.get(&(class, lane)))
            .flat_map(|order| order.iter().take(LOOK_AHEAD).copied())
            .collect();
        first.sort_unstable();
        first.into_iter().map(|(_, key)| key).collect()
    }
}
