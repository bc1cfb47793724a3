//! Tables of the example deployments.

use toucanledge_core::{PoolId, TableRevision};
use toucanledge_table::{ApplyOutcome, PublishedTable, RepeatRule, TableParts, TableStore};

const MANUALIA: &str = include_str!("../../../examples/manualia/table.jsonc");
const KESTRELMOOR: &str = include_str!("../../../examples/kestrelmoor/table.jsonc");
const OVERNIGHT_DEADLINE_MS: u32 = 8 * 3_600_000;

fn apply_first(head: &str) -> TableStore {
    let mut store = TableStore::new();
    let outcome = store.apply(TableRevision(1), head, &TableParts::new());
    assert_eq!(outcome, ApplyOutcome::Accepted);
    store
}

fn pool_size(table: &PublishedTable, pool: &str) -> usize {
    table.pool(PoolId::of(pool)).map_or(0, |pool| pool.backends)
}

/// Guards against an example table that is refused, or whose pools, limits or windows differ from
/// those of the organisation.
#[test]
fn examples_have_the_size_of_their_organisations() {
    let cases = [
        (MANUALIA, ("reading", 24), ("publishing", 6), 330),
        (KESTRELMOOR, ("records", 28), ("payments", 6), 390),
    ];
    for (head, large, small, connections) in cases {
        let store = apply_first(head);
        let table = store.table().expect("a table is active");
        for (pool, size) in [large, small] {
            assert_eq!(pool_size(table, pool), size);
            assert!(
                table.pool_floor(PoolId::of(pool)) >= 0.7,
                "floor of pool {pool} is below 0.7"
            );
        }
        assert_eq!(table.backends().count(), large.1 + small.1);
        let has_expected_limits =
            |row: &toucanledge_table::BackendRow| row.slots == 4 && row.connections == connections;
        assert!(table.backends().all(has_expected_limits));
        assert_eq!(table.max_window_ms(), 120_000);
    }
}

/// Guards against requests without a class, and against work in a repeatable class that must not be
/// repeated.
#[test]
fn examples_route_every_kind_of_work() {
    let cases = [
        (
            MANUALIA,
            "GET",
            "/policies/7",
            "read-policy",
            RepeatRule::Repeatable,
        ),
        (
            MANUALIA,
            "GET",
            "/policies/reports/7",
            "policy-report",
            RepeatRule::Repeatable,
        ),
        (
            MANUALIA,
            "POST",
            "/acknowledgements/7",
            "acknowledge",
            RepeatRule::Keyed,
        ),
        (
            MANUALIA,
            "POST",
            "/revisions/7",
            "publish-revision",
            RepeatRule::Keyed,
        ),
        (
            MANUALIA,
            "POST",
            "/submissions/overnight/7",
            "overnight-submission",
            RepeatRule::Keyed,
        ),
        (
            KESTRELMOOR,
            "GET",
            "/licences/7",
            "licence-status",
            RepeatRule::Repeatable,
        ),
        (
            KESTRELMOOR,
            "GET",
            "/licences/reports/7",
            "licence-report",
            RepeatRule::Repeatable,
        ),
        (
            KESTRELMOOR,
            "POST",
            "/medical-certificates/7",
            "upload-medical-certificate",
            RepeatRule::Keyed,
        ),
        (
            KESTRELMOOR,
            "POST",
            "/renewal-fees/7",
            "renewal-fee",
            RepeatRule::Keyed,
        ),
        (
            KESTRELMOOR,
            "POST",
            "/submissions/overnight/7",
            "overnight-submission",
            RepeatRule::Keyed,
        ),
    ];
    for (head, method, path, class, repeat) in cases {
        let store = apply_first(head);
        let row = store.table().and_then(|table| table.route(method, path));
        let row = row.expect("a row matches");
        assert_eq!((row.class.as_str(), row.repeat), (class, repeat), "{path}");
        if class == "overnight-submission" {
            assert_eq!(row.deadline_ms, OVERNIGHT_DEADLINE_MS);
        }
        if class.ends_with("-report") {
            assert!(
                row.slot_share <= 0.1,
                "slot share of class {class} exceeds 0.1"
            );
        }
    }
}
