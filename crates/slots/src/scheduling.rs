//! Selection of the next queued request and of its backend server.

use std::cmp;

use toucanledge_core::{ClassId, Fingerprint, Millis};

use crate::crash_suspects;
use crate::dispatcher::ShardDispatcher;
use crate::queue;
use crate::server;
use crate::timing;

/// Slots reserved for short work beyond its mean load, in standard deviations.
///
/// The number of requests in flight varies by about the square root of its mean; three deviations
/// cover 99.9% of the time.
const SHORT_LOAD_DEVIATIONS: f64 = 3.0;

/// Preference of a backend server with a free slot, in rising order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ServerRank {
    /// Suspected or slow, or unreachable from the gateway.
    Avoided,
    Usual,
    /// On trial; it needs good requests to be reinstated.
    Trial,
}

/// Criteria for the choice between backend servers with a free slot, in order of precedence.
#[derive(Clone, Copy, Debug)]
struct ServerPreference {
    rank: ServerRank,
    free: f64,
    last_grant: u64,
}

impl ServerPreference {
    fn compare(&self, other: &Self) -> cmp::Ordering {
        self.rank
            .cmp(&other.rank)
            .then(self.free.total_cmp(&other.free))
            .then(other.last_grant.cmp(&self.last_grant))
    }
}

impl ShardDispatcher {
    /// Returns the queued request to serve next and its backend server.
    pub(crate) fn next_grant(&self, now: Millis) -> Option<(queue::QueueKey, server::ServerKey)> {
        let mut free = self.servers.arena.values();
        if self.queue.len() == 0 || !free.any(|server| server.free_slots(now) > 0) {
            return None;
        }
        let mut classes = self.queue.classes();
        classes.sort_by(|left, right| {
            let (left, right) = (
                self.classes.start_tag(*left),
                self.classes.start_tag(*right),
            );
            left.total_cmp(&right)
        });
        classes
            .into_iter()
            .find_map(|class| self.next_grant_of_class(class, now))
    }

    fn next_grant_of_class(
        &self,
        class: ClassId,
        now: Millis,
    ) -> Option<(queue::QueueKey, server::ServerKey)> {
        let state = self.classes.get(class)?;
        if state.leases_held >= state.slot_limit(self.servers.slots_in_service(now)) {
            return None;
        }
        let lanes = self.open_lanes(now);
        self.queue
            .earliest_deadlines(class, lanes)
            .into_iter()
            .filter(|key| self.allowed_by_suspicion(*key))
            .find_map(|key| Some((key, self.choose_server(key, now)?)))
    }

    fn open_lanes(&self, now: Millis) -> impl Iterator<Item = queue::QueueLane> {
        let long = self.long_slot_free(now).then_some(queue::QueueLane::Long);
        [
            Some(queue::QueueLane::Short),
            long,
            Some(queue::QueueLane::Suspect),
        ]
        .into_iter()
        .flatten()
    }

    /// Returns whether crash suspicions allow the request to run now; one may have been reported
    /// while it was queued.
    fn allowed_by_suspicion(&self, key: queue::QueueKey) -> bool {
        if self.crash_suspects.is_empty() {
            return true;
        }
        let fingerprint = self.queue.arena[key].attributes.fingerprint;
        match self.crash_suspects.level(fingerprint) {
            crash_suspects::SuspicionLevel::Clear => true,
            crash_suspects::SuspicionLevel::Suspect => !self.suspect_in_flight(),
            crash_suspects::SuspicionLevel::Unconfirmed
            | crash_suspects::SuspicionLevel::Refused => false,
        }
    }

    fn suspect_in_flight(&self) -> bool {
        let mut leases = self.leases.arena.values();
        leases.any(|lease| self.suspect_lane(lease.attributes.fingerprint).is_some())
    }

    /// Returns the lane for crash suspects if the request is one.
    pub(crate) fn suspect_lane(&self, fingerprint: Fingerprint) -> Option<queue::QueueLane> {
        let clear = self.crash_suspects.is_empty()
            || self.crash_suspects.level(fingerprint) == crash_suspects::SuspicionLevel::Clear;
        (!clear).then_some(queue::QueueLane::Suspect)
    }

    /// Returns whether long work may take another slot of the shard.
    fn long_slot_free(&self, now: Millis) -> bool {
        self.leases.long_count() < self.long_limit(now)
    }

    /// Returns how many slots long work may hold: half, or less when short work needs more.
    ///
    /// Long work is not interrupted, so slots for bursts of short work have to be reserved.
    pub(crate) fn long_limit(&self, now: Millis) -> usize {
        let slots = self.servers.slots_in_service(now);
        let short = self.short_load.average();
        let needed = timing::saturating_u32((short + SHORT_LOAD_DEVIATIONS * short.sqrt()).ceil());
        (slots / 2).min(slots.saturating_sub(needed)).max(1) as usize
    }

    fn choose_server(&self, key: queue::QueueKey, now: Millis) -> Option<server::ServerKey> {
        let queued = self.queue.arena.get(key)?;
        self.servers
            .arena
            .iter()
            .filter(|(_, server)| self.can_run_on(server, queued, now))
            .map(|(key, server)| (self.preference(server, queued, now), key))
            .max_by(|(left, _), (right, _)| left.compare(right))
            .map(|(_, key)| key)
    }

    fn can_run_on(
        &self,
        server: &server::Server,
        queued: &queue::QueuedRequest,
        now: Millis,
    ) -> bool {
        if server.free_slots(now) == 0 || queued.exclude.contains(&server.vm) {
            return false;
        }
        let short = queued.lane == queue::QueueLane::Short;
        let on_trial = matches!(server.phase, server::ServerPhase::Trial(_));
        if on_trial && !(short && self.may_run_on_trial(queued.attributes.class)) {
            return false;
        }
        queued.lane != queue::QueueLane::Long || self.has_slot_for_long(server)
    }

    /// Returns whether requests of the class may run on a backend server on trial.
    ///
    /// Keyed work is not retried after a failure, so it only runs there if all classes are keyed.
    fn may_run_on_trial(&self, class: ClassId) -> bool {
        let keyed = self.classes.policy(class).is_some_and(|row| row.keyed);
        !keyed
            || self
                .policy
                .as_ref()
                .is_some_and(crate::ShardPolicy::all_keyed)
    }

    /// Returns whether the backend server may run another long request.
    ///
    /// One slot of each backend server with several slots is reserved for short work.
    fn has_slot_for_long(&self, server: &server::Server) -> bool {
        let leases = &self.leases.arena;
        let long = server
            .leases
            .iter()
            .filter(|key| leases[**key].long)
            .count();
        long < (server.slots.saturating_sub(1).max(1) as usize)
    }

    fn preference(
        &self,
        server: &server::Server,
        queued: &queue::QueuedRequest,
        now: Millis,
    ) -> ServerPreference {
        // Overdue requests may be stalled and are no measure of the load. Counting their slots as
        // free lets other requests come, which confirm a stall or dismiss it.
        let overdue = u32::try_from(self.overdue_count(server, now)).unwrap_or(u32::MAX);
        let free = server.free_slots(now).saturating_add(overdue);
        ServerPreference {
            rank: self.rank(server, queued, now),
            free: f64::from(free) * server.weight,
            last_grant: server.last_grant,
        }
    }

    fn rank(
        &self,
        server: &server::Server,
        queued: &queue::QueuedRequest,
        now: Millis,
    ) -> ServerRank {
        if matches!(server.phase, server::ServerPhase::Trial(_)) {
            ServerRank::Trial
        } else if server.unreachable_from(queued.gateway, now)
            || self.should_avoid(server, queued, now)
        {
            ServerRank::Avoided
        } else {
            ServerRank::Usual
        }
    }

    /// Returns the expected wait in milliseconds of one more request behind the queued ones.
    pub(crate) fn expected_wait_ms(
        &self,
        class: ClassId,
        lane: queue::QueueLane,
        now: Millis,
    ) -> u32 {
        let ahead = self.queue.lane_len(class, lane);
        let Some(state) = self.classes.get(class) else {
            return 0;
        };
        let mean = state.mean_ms(lane);
        let slots = self.usable_slots(class, lane, now);
        timing::saturating_u32(timing::to_f64(ahead as u64) * mean / slots)
    }

    /// Returns the slots that the lane can expect while other classes have queued requests too.
    fn usable_slots(&self, class: ClassId, lane: queue::QueueLane, now: Millis) -> f64 {
        let total = self.servers.slots_in_service(now);
        let Some(state) = self.classes.get(class) else {
            return 1.0;
        };
        let long = u32::try_from(self.leases.long_count()).unwrap_or(u32::MAX);
        let usable = match lane {
            queue::QueueLane::Short => total.saturating_sub(long),
            queue::QueueLane::Long => u32::try_from(self.long_limit(now)).unwrap_or(u32::MAX),
            queue::QueueLane::Suspect => 1,
        };
        let others: f64 = self
            .queue
            .classes()
            .into_iter()
            .filter(|other| *other != class)
            .filter_map(|other| self.classes.get(other))
            .map(crate::fairness::ClassState::weight)
            .sum();
        let part = state.weight() / (state.weight() + others);
        let share = f64::from(usable) * part;
        share.min(f64::from(state.slot_limit(total))).max(1.0)
    }
}
