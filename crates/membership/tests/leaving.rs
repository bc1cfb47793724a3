//! Backend servers that are leaving while the VM list still has them as live.

use toucanledge_core::{Incarnation, Millis, VmId, VmList, VmState};
use toucanledge_membership::{LocalStatus, MAX_LEAVING_REPORTED, MembershipView};

use crate::fleet;

const BACKEND: VmId = VmId(1_000);

fn list(version: u64, state: VmState) -> VmList {
    let mut list = fleet::gateway_list(version, 2);
    list.vms
        .extend((1_000..1_020).map(|vm| fleet::backend_entry(vm, 1)));
    for entry in list.vms.iter_mut().filter(|entry| entry.vm == BACKEND) {
        entry.state = state;
    }
    list
}

fn view(vm: u32) -> MembershipView {
    let mut view = MembershipView::new(VmId(vm), Incarnation(1), Millis(0));
    view.set_list(&list(1, VmState::Live), Millis(0));
    view
}

/// Guards against a gateway that sends requests to a leaving backend server because only another
/// gateway knows that it is leaving.
#[test]
fn heartbeats_carry_leaving_backend_servers() {
    let (mut first, mut second) = (view(1), view(2));
    assert!(first.record_leaving_backend(BACKEND));
    assert!(
        !first.record_leaving_backend(BACKEND),
        "the backend server is already known as leaving"
    );
    let heartbeat = first.heartbeat_for(VmId(2), Millis(10), &LocalStatus::default());
    second.handle_heartbeat(&heartbeat, Millis(11));
    assert!(second.leaving_backends().contains(&BACKEND));
}

/// Guards against a backend server that still counts as leaving after the VM list has changed.
#[test]
fn a_newer_list_replaces_reported_leaving() {
    let mut view = view(1);
    view.record_leaving_backend(BACKEND);
    view.set_list(&list(2, VmState::Leaving), Millis(10));
    assert!(view.leaving_backends().is_empty());
    view.set_list(&list(3, VmState::Live), Millis(20));
    assert!(view.leaving_backends().is_empty());
}

/// Guards against backend servers that are not in the VM list, and against heartbeats without a
/// size limit.
#[test]
fn unlisted_servers_are_ignored_and_heartbeats_carry_the_most_recent() {
    let mut view = view(1);
    assert!(!view.record_leaving_backend(VmId(9)));
    for vm in 1_000..1_020 {
        view.record_leaving_backend(VmId(vm));
    }
    let heartbeat = view.heartbeat_for(VmId(2), Millis(10), &LocalStatus::default());
    assert_eq!(heartbeat.leaving.len(), MAX_LEAVING_REPORTED);
    assert!(heartbeat.leaving.contains(&VmId(1_019)));
}
