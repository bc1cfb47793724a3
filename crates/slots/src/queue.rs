//! Queue of lease requests that wait for a slot.

use std::collections;

use toucanledge_core::{ClassId, Millis, VmId};

use crate::LeaseRequestId;
use crate::long_work;

slotmap::new_key_type! {
    pub(crate) struct QueueKey;
}

/// Requests of one lane that are considered when the first ones cannot use any free slot.
const MAX_LOOK_AHEAD_REQUESTS: usize = 8;

/// Lane of a queued request; long and suspected requests may have to wait although a slot is free.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum QueueLane {
    /// No restriction.
    Short,
    /// Long work is predicted; it may hold a part of the slots only.
    Long,
    /// Suspected of crashing backend servers; one such request runs at a time.
    Suspect,
}

/// A lease request without a grant or refusal yet.
#[derive(Clone, Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) gateway: VmId,
    pub(crate) request_id: LeaseRequestId,
    pub(crate) attributes: long_work::RequestAttributes,
    pub(crate) lane: QueueLane,
    pub(crate) exclude: Vec<VmId>,
    pub(crate) deadline: Millis,
    /// Time at which the request is refused: its deadline or the limit of its wait.
    pub(crate) expires: Millis,
}

/// Queued requests in order of a time: their deadline or their expiry.
type TimeOrder = collections::BTreeSet<(Millis, QueueKey)>;

/// Queued requests of a shard by class, lane and deadline.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestQueue {
    pub(crate) arena: slotmap::SlotMap<QueueKey, QueuedRequest>,
    by_request_id: collections::HashMap<(VmId, LeaseRequestId), QueueKey>,
    expiries: TimeOrder,
    lanes: collections::BTreeMap<(ClassId, QueueLane), TimeOrder>,
    /// Requests whose expected wait has not been checked yet.
    unassessed: Vec<QueueKey>,
}

impl RequestQueue {
    pub(crate) fn insert(&mut self, queued: QueuedRequest) -> QueueKey {
        let lane = (queued.attributes.class, queued.lane);
        let id = (queued.gateway, queued.request_id);
        let (deadline, expires) = (queued.deadline, queued.expires);
        let key = self.arena.insert(queued);
        self.unassessed.push(key);
        self.by_request_id.insert(id, key);
        self.expiries.insert((expires, key));
        self.lanes.entry(lane).or_default().insert((deadline, key));
        key
    }

    pub(crate) fn remove(&mut self, key: QueueKey) -> Option<QueuedRequest> {
        let queued = self.arena.remove(key)?;
        self.by_request_id
            .remove(&(queued.gateway, queued.request_id));
        self.expiries.remove(&(queued.expires, key));
        let lane = (queued.attributes.class, queued.lane);
        if let Some(order) = self.lanes.get_mut(&lane) {
            order.remove(&(queued.deadline, key));
            if order.is_empty() {
                self.lanes.remove(&lane);
            }
        }
        Some(queued)
    }

    pub(crate) fn find(&self, gateway: VmId, request_id: LeaseRequestId) -> Option<QueueKey> {
        self.by_request_id.get(&(gateway, request_id)).copied()
    }

    pub(crate) fn of_gateway(&self, gateway: VmId) -> Vec<QueueKey> {
        self.keys_where(|queued| queued.gateway == gateway)
    }

    pub(crate) fn keys_where(&self, matches: impl Fn(&QueuedRequest) -> bool) -> Vec<QueueKey> {
        self.arena
            .iter()
            .filter(|(_, queued)| matches(queued))
            .map(|(key, _)| key)
            .collect()
    }

    pub(crate) fn expired(&self, now: Millis) -> Vec<QueueKey> {
        self.expiries
            .iter()
            .take_while(|(expires, _)| *expires <= now)
            .map(|(_, key)| *key)
            .collect()
    }

    pub(crate) fn take_unassessed(&mut self) -> Vec<QueueKey> {
        std::mem::take(&mut self.unassessed)
    }

    pub(crate) fn next_expiry(&self) -> Option<Millis> {
        self.expiries.first().map(|(expires, _)| *expires)
    }

    pub(crate) fn len(&self) -> usize {
        self.arena.len()
    }

    pub(crate) fn lane_len(&self, class: ClassId, lane: QueueLane) -> usize {
        self.lanes
            .get(&(class, lane))
            .map_or(0, collections::BTreeSet::len)
    }

    /// Returns the number of queued requests for which no long work is predicted.
    pub(crate) fn short_len(&self) -> usize {
        let short = self
            .lanes
            .iter()
            .filter(|((_, lane), _)| *lane != QueueLane::Long);
        short.map(|(_, order)| order.len()).sum()
    }

    pub(crate) fn class_len(&self, class: ClassId) -> usize {
        [QueueLane::Short, QueueLane::Long, QueueLane::Suspect]
            .into_iter()
            .map(|lane| self.lane_len(class, lane))
            .sum()
    }

    /// Returns the classes with queued requests.
    pub(crate) fn classes(&self) -> Vec<ClassId> {
        let mut classes: Vec<ClassId> = self.lanes.keys().map(|(class, _)| *class).collect();
        classes.dedup();
        classes
    }

    /// Returns the first requests of a class from these lanes in order of deadline.
    pub(crate) fn earliest_deadlines(
        &self,
        class: ClassId,
        lanes: impl Iterator<Item = QueueLane>,
    ) -> Vec<QueueKey> {
        let mut first: Vec<(Millis, QueueKey)> = lanes
            .filter_map(|lane| self.lanes.get(&(class, lane)))
            .flat_map(|order| order.iter().take(MAX_LOOK_AHEAD_REQUESTS).copied())
            .collect();
        first.sort_unstable();
        first.into_iter().map(|(_, key)| key).collect()
    }
}
