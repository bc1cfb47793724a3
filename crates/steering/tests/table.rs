//! Guards against requests that go to the wrong route or pool.

use toucanledge_core::PoolId;
use toucanledge_steering::{CallerLimits, PoolRow, RouteRow, RoutingTable, WeightedPool};
use toucanledge_table::RepeatRule;

fn route(name: &str, host: &str, prefix: &str) -> RouteRow {
    RouteRow {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        repeat_rule: RepeatRule::Keyed,
        timeout_ms: 1_000,
        latency_target_ms: 400,
        priority: 0,
        pools: vec![WeightedPool {
            pool: PoolId::of("reading"),
            weight: 1.0,
        }],
        max_attempts: 2,
    }
}

fn table() -> RoutingTable {
    let limits = CallerLimits {
        max_header_bytes: 16_384,
        max_body_bytes: 1_024,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
    };
    let pool = PoolRow {
        name: "reading".to_owned(),
        max_connections: 330,
    };
    let routes = [
        route("short", "one.example", "/a/"),
        route("long", "one.example", "/a/b/"),
        route("other", "two.example", "/a/"),
    ];
    RoutingTable::new(7, limits, [pool], routes)
}

#[test]
fn the_longest_prefix_of_the_host_decides() {
    let table = table();
    let name = |host, path| table.route(host, path).map(|route| route.name.clone());
    assert_eq!(name("one.example", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("one.example", "/a/bc").as_deref(), Some("short"));
    assert_eq!(name("ONE.example:8080", "/a/b/").as_deref(), Some("long"));
    assert_eq!(name("two.example", "/a/b/c").as_deref(), Some("other"));
    assert_eq!(name("one.example", "/a"), None);
    assert_eq!(name("three.example", "/a/"), None);
}

#[test]
fn pools_get_their_share() {
    let mut split = route("split", "one.example", "/");
    split.pools = vec![
        WeightedPool {
            pool: PoolId::of("reading"),
            weight: 90.0,
        },
        WeightedPool {
            pool: PoolId::of("never"),
            weight: 0.0,
        },
        WeightedPool {
            pool: PoolId::of("writing"),
            weight: 10.0,
        },
    ];
    let draws = (0..1_000).map(|draw| split.select_pool(f64::from(draw) / 1_000.0));
    let writing = draws
        .clone()
        .filter(|pool| *pool == Some(PoolId::of("writing")))
        .count();
    assert!(
        (95..=105).contains(&writing),
        "{writing} of 1000 requests went to a pool with a tenth of the weight"
    );
    assert!(draws.clone().all(|pool| pool != Some(PoolId::of("never"))));
    assert_eq!(split.select_pool(1.0), Some(PoolId::of("writing")));
    split.pools.clear();
    assert_eq!(split.select_pool(0.5), None);
}
