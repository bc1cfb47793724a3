//! Debug assertions on the state of the dispatcher.

use crate::dispatcher::ShardDispatcher;

/// Asserts, in debug builds, that the lease counts agree and that the floor is respected.
pub(crate) fn debug_assert_consistent(dispatcher: &ShardDispatcher) {
    if cfg!(debug_assertions) {
        assert_consistent(dispatcher);
    }
}

fn assert_consistent(dispatcher: &ShardDispatcher) {
    let by_server: usize = dispatcher
        .servers
        .arena
        .values()
        .map(|server| server.leases.len())
        .sum();
    let classes = dispatcher.classes.classes.values();
    let by_class: u32 = classes.map(|state| state.leases_held).sum();
    debug_assert_eq!(
        by_server,
        dispatcher.leases.arena.len(),
        "leases by backend server differ from the lease store"
    );
    debug_assert_eq!(
        by_server, by_class as usize,
        "leases by class differ from the lease store"
    );
    debug_assert!(
        dispatcher.out_of_service() <= dispatcher.max_out_of_service(),
        "more backend servers are out of service than the floor allows"
    );
}
