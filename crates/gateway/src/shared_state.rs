//! State that plug-ins publish to the rest of the process over watch channels.

use std::collections;
use std::sync;

use tokio::sync::watch;
use toucanledge_claims::HistoryReport;
use toucanledge_core::{Fingerprint, VmId, VmList};
use toucanledge_table::PublishedTable;

/// Membership of the fleet as this gateway sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetView {
    /// Live gateways; includes this one unless it is leaving.
    pub live: Vec<VmId>,
    /// Gateways that are sent heartbeats and are not live.
    pub unreachable: Vec<VmId>,
    /// Most live gateways receive the heartbeats of this one.
    pub is_reachable_by_majority: bool,
    /// Gateways that watch the platform for updates; the others poll it and get updates
    /// from peers.
    pub platform_watchers: Vec<VmId>,
    /// Backend servers that announced that they are leaving, whatever the VM list says.
    pub leaving_backends: collections::BTreeSet<VmId>,
    /// Crash suspects, with the number of backend servers lost while running each.
    pub crash_suspicions: collections::HashMap<Fingerprint, u8>,
}

/// State that plug-ins publish to the rest of the process, one watch channel for each item.
#[derive(Debug)]
pub struct SharedState {
    /// Active table; published by the table plug-in.
    pub table: watch::Sender<Option<sync::Arc<PublishedTable>>>,
    /// Newest VM list; published by the table plug-in.
    pub vm_list: watch::Sender<sync::Arc<VmList>>,
    /// Membership of the fleet; published by the membership plug-in.
    pub fleet_view: watch::Sender<sync::Arc<FleetView>>,
    /// Number of pools that have slots; published by the slots plug-in.
    pub pool_count: watch::Sender<usize>,
    /// VM list versions that votes rely on; published by the claims plug-in.
    pub list_history: watch::Sender<Option<HistoryReport>>,
    /// The process is stopping; set by the signal handling in `run`.
    pub stopping: watch::Sender<bool>,
    /// Open connections of callers plus at-most-once requests that are being forwarded.
    pub in_flight: watch::Sender<usize>,
}

impl SharedState {
    /// Returns a state without a table and with an empty VM list.
    #[must_use]
    pub fn new() -> Self {
        Self {
            table: watch::Sender::new(None),
            vm_list: watch::Sender::new(sync::Arc::default()),
            fleet_view: watch::Sender::new(sync::Arc::default()),
            pool_count: watch::Sender::new(0),
            list_history: watch::Sender::new(None),
            stopping: watch::Sender::new(false),
            in_flight: watch::Sender::new(0),
        }
    }

    /// Returns the active table.
    #[must_use]
    pub fn current_table(&self) -> Option<sync::Arc<PublishedTable>> {
        self.table.borrow().clone()
    }

    /// Returns the newest VM list.
    #[must_use]
    pub fn current_vm_list(&self) -> sync::Arc<VmList> {
        sync::Arc::clone(&self.vm_list.borrow())
    }

    /// Returns the membership of the fleet.
    #[must_use]
    pub fn current_fleet_view(&self) -> sync::Arc<FleetView> {
        sync::Arc::clone(&self.fleet_view.borrow())
    }

    /// Returns whether the process is stopping.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Returns whether the load balancer may send requests to this gateway.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let has_pools = *self.pool_count.borrow() > 0;
        !self.is_stopping() && self.current_fleet_view().is_reachable_by_majority && has_pools
    }
}

impl Default for SharedState {
    fn default() -> Self {
        Self::new()
    }
}

/// Counts one connection or at-most-once request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    state: sync::Arc<SharedState>,
}

impl InFlightGuard {
    /// Increments the count.
    #[must_use]
    pub fn new(state: &sync::Arc<SharedState>) -> Self {
        state.in_flight.send_modify(|count| *count += 1);
        Self {
            state: sync::Arc::clone(state),
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.state.in_flight.send_modify(|count| *count -= 1);
    }
}
