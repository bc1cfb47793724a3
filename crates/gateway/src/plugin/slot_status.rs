//! Shards as shown on the status page and in the log.

use serde_json::json;
use toucanledge_core::{Millis, PoolId, ShardId};
use toucanledge_slots::{ServerStatus, ShardStatus};

/// Returns a shard as the status page shows it.
pub fn shard_json(status: &ShardStatus, now: Millis) -> serde_json::Value {
    let counters = &status.counters;
    json!({
        "shard": shard_name(status.shard),
        "table": status.table_revision.0,
        "live": status.live_servers,
        "floor": status.min_in_service,
        "servers": status.servers.iter().map(|server| server_json(server, now)).collect::<Vec<_>>(),
        "queues": status.queues.iter().map(|queue| json!({
            "row": &*queue.row,
            "waiting": queue.waiting,
            "held": queue.leases_held,
            "median_ms": queue.median_service_ms,
        })).collect::<Vec<_>>(),
        "asks": counters.lease_requests,
        "grants": counters.grants,
        "ejections": counters.ejections,
        "returns": counters.reinstatements,
        "kept": counters.ejections_suppressed,
        "probes": counters.probes,
    })
}

fn server_json(server: &ServerStatus, now: Millis) -> serde_json::Value {
    json!({
        "vm": server.backend.0,
        "row": &*server.row,
        "state": server.state.to_string(),
        "reason": server.reason.map(|reason| reason.to_string()),
        "since_ms_ago": server.since.map(|since| now.since(since)),
        "for_ms": server.until.map(|until| until.since(now)),
        "table": server.table_revision.0,
        "held": server.leases_held,
        "limit": server.lease_limit,
        "slow_callers": server.slow_callers,
    })
}

/// Returns the name of a shard: hash of its pool, failure domain and index.
pub fn shard_name(shard: ShardId) -> String {
    let PoolId(pool) = shard.pool;
    format!("{pool:016x}/{}/{}", shard.domain.0, shard.index)
}
