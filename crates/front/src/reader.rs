//! Keeps the store cache up to date: reads the store, or fetches records from the peer that reads
//! it.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt;
use serde::{Deserialize, Serialize};
use toucanledge_steering::{PeerId, ReaderRole, StoreRecord};

use crate::error::{FrontError, FrontOperation};
use crate::peers;
use crate::proxy::ProxyService;
use crate::state::FleetState;
use crate::store_source::{RecordBatch, StoreError, StoreSource};

/// Upper bound of the random delay before the first read. Meanwhile a peer that has the records may
/// send a message.
const MAX_START_DELAY_MS: u64 = 60;
/// Pause after a change, so that further changes arrive in one call.
const BATCH_PAUSE: time::Duration = time::Duration::from_millis(200);
/// Pause after a failed read or fetch.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(400);
/// Time between the attempts of two gateways of a failure domain to replace a lost reader.
const TAKEOVER_PAUSE: time::Duration = time::Duration::from_millis(40);
/// Limit of the rank in the pauses, so that a fleet of hundreds of gateways does not wait for
/// seconds.
const MAX_TAKEOVER_RANK: u32 = 10;
/// Additional pause per rank after a failed read, so that not every gateway calls the store during
/// an outage.
const RETRY_RANK_PAUSE: time::Duration = time::Duration::from_millis(400);
/// Interval at which a follower checks its role.
const ROLE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(300);
/// Time-out for fetching records from a peer.
const PEER_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Limit of the size of a peer's records.
const MAX_RECORDS_BYTES: usize = 32 * 1024 * 1024;

/// Wire format of the records that a peer fetches: store revision, and key, revision and value of
/// each record. Its serde name is part of decoding errors.
#[derive(Serialize, Deserialize)]
#[serde(rename = "FactFrame")]
pub struct RecordsFrame(u64, Vec<(String, u64, Option<serde_bytes::ByteBuf>)>);

impl RecordsFrame {
    /// Returns the records that changed after a revision.
    #[must_use]
    pub fn changed_since(proxy: &ProxyService, after: u64) -> Self {
        let state = proxy.state();
        let records = state.store_cache.changed_since(after).map(|record| {
            let value = record.value.as_ref().map(|value| value.to_vec().into());
            (record.key.clone(), record.revision, value)
        });
        Self(state.store_cache.revision(), records.collect())
    }
}

impl From<RecordsFrame> for RecordBatch {
    fn from(RecordsFrame(revision, records): RecordsFrame) -> Self {
        let records = records
            .into_iter()
            .map(|(key, revision, value)| StoreRecord {
                key,
                revision,
                value: value.map(|value| Bytes::from(value.into_vec())),
            });
        Self {
            records: records.collect(),
            revision,
        }
    }
}

/// Keeps the store cache up to date until the process stops.
pub async fn sync_store(proxy: sync::Arc<ProxyService>, source: StoreSource) {
    let delay_ms = rand::random_range(0..MAX_START_DELAY_MS);
    tokio::time::sleep(time::Duration::from_millis(delay_ms)).await;
    let own = proxy.settings.peer_listen();
    let failure_domain_hash = peers::failure_domain_hash(&proxy.settings.failure_domain);
    let mut needs_listing = true;
    let mut last_read_failed = false;
    loop {
        match next_role(&proxy, own, failure_domain_hash, last_read_failed).await {
            ReaderRole::Follower(peer) => {
                last_read_failed = false;
                if follow(&proxy, &source, peer).await {
                    needs_listing = false;
                }
            }
            ReaderRole::Reader => match read_store(&proxy, &source, &mut needs_listing).await {
                Ok(changed) => {
                    last_read_failed = false;
                    if changed {
                        tokio::time::sleep(BATCH_PAUSE).await;
                    }
                }
                Err(error) => {
                    last_read_failed = true;
                    record_read_error(&proxy, error);
                }
            },
        }
    }
}

/// Returns the role to take now; before this gateway replaces a lost reader, it waits according to
/// its rank.
async fn next_role(
    proxy: &sync::Arc<ProxyService>,
    own: PeerId,
    failure_domain_hash: u64,
    last_read_failed: bool,
) -> ReaderRole {
    let current_role = || {
        let state = proxy.state();
        let now = proxy.clock.now();
        let reads_store = state.reads_store;
        let role = toucanledge_steering::reader_role(
            own,
            reads_store,
            failure_domain_hash,
            &state.peers,
            &state.fetch_failures,
            now,
        );
        let rank = toucanledge_steering::takeover_rank(own, failure_domain_hash, &state.peers, now);
        (
            role,
            reads_store,
            u32::try_from(rank)
                .unwrap_or(u32::MAX)
                .min(MAX_TAKEOVER_RANK),
        )
    };
    let (role, reads_store, rank) = current_role();
    if role != ReaderRole::Reader || reads_store {
        return role;
    }
    let pause = if last_read_failed {
        RETRY_PAUSE + RETRY_RANK_PAUSE * rank
    } else {
        TAKEOVER_PAUSE * rank
    };
    // A message from a reader ends the wait; a time-out means that this gateway replaces the
    // reader.
    let _ = tokio::time::timeout(pause, proxy.store_sync_due.notified()).await;
    current_role().0
}

/// Lists or watches the store once and applies the records; returns whether any record changed.
async fn read_store(
    proxy: &sync::Arc<ProxyService>,
    source: &StoreSource,
    needs_listing: &mut bool,
) -> Result<bool, StoreError> {
    metrics::counter!("toucanledge_platform_calls_total").increment(1);
    let result = if *needs_listing {
        (source.list)().await
    } else {
        let after = proxy.state().store_cache.revision();
        (source.watch)(after).await
    };
    let batch = match result {
        Err(StoreError::HistoryGone) => {
            log::info!("[facts] store history compacted, reading a full listing");
            *needs_listing = true;
            return Ok(false);
        }
        other => other?,
    };
    let now = proxy.clock.now();
    let changed = {
        let mut state = proxy.state();
        state.record_store_contact(now);
        if !state.reads_store {
            log::info!("[facts] reading the platform revision={}", batch.revision);
            state.status_update_due = true;
        }
        state.reads_store = true;
        let changed_records = if *needs_listing {
            state
                .store_cache
                .apply_listing(batch.records, batch.revision)
        } else {
            state
                .store_cache
                .apply_changes(batch.records, batch.revision)
        };
        state.apply_records(&changed_records, source.decode, now);
        !changed_records.is_empty()
    };
    *needs_listing = false;
    if changed {
        proxy.gossip_pending.notify_one();
        proxy.records_updated.notify_waiters();
    }
    Ok(changed)
}

fn record_read_error(proxy: &sync::Arc<ProxyService>, error: StoreError) {
    let reason: &'static str = error.into();
    metrics::counter!("toucanledge_platform_failures_total", "reason" => reason).increment(1);
    let mut state = proxy.state();
    if state.reads_store {
        log::warn!("[facts] lost the platform reason={reason}");
        state.status_update_due = true;
    }
    state.reads_store = false;
    drop(state);
    proxy.gossip_pending.notify_one();
}

/// Follows a reader: fetches its records if they are newer. Returns whether the store cache is up to
/// date with it.
async fn follow(proxy: &sync::Arc<ProxyService>, source: &StoreSource, peer: PeerId) -> bool {
    let Some(after) = revision_to_fetch(proxy, peer) else {
        let notified = proxy.store_sync_due.notified();
        // A time-out means that there are no changes; the role is checked again.
        let _ = tokio::time::timeout(ROLE_CHECK_INTERVAL, notified).await;
        return proxy.state().store_cache.revision() > 0;
    };
    let address = net::SocketAddr::new(peer.ip(), proxy.settings.status_listen.port());
    let fetch = tokio::time::timeout(PEER_TIMEOUT, fetch_records(address, after)).await;
    let now = proxy.clock.now();
    let (reason, error) = match fetch {
        Ok(Ok(batch)) => {
            let mut state = proxy.state();
            state.fetch_failures.record_success(peer);
            stop_reading(&mut state);
            state.record_store_contact(now);
            let changed_records = state
                .store_cache
                .apply_changes(batch.records, batch.revision);
            state.apply_records(&changed_records, source.decode, now);
            proxy.records_updated.notify_waiters();
            return true;
        }
        Ok(Err(report)) => ("failed", report.to_string()),
        Err(_) => ("timeout", "no response in time".to_owned()),
    };
    metrics::counter!("toucanledge_fetch_failures_total", "reason" => reason).increment(1);
    let backoff_ms = proxy.state().fetch_failures.record_failure(peer, now);
    log::warn!(
        "[facts] reader={peer} sent no records: {error}; not followed for_ms={backoff_ms} \
         revision={after}"
    );
    false
}

/// Returns the revision from which to fetch records of a reader; `None` if it has no newer ones.
///
/// A reader from which the last fetch failed must first show that it serves records again. Until
/// then this gateway keeps its own role.
fn revision_to_fetch(proxy: &ProxyService, reader: PeerId) -> Option<u64> {
    let now = proxy.clock.now();
    let mut state = proxy.state();
    let own_revision = state.store_cache.revision();
    if state.fetch_failures.has_failed(reader) {
        return Some(own_revision);
    }
    stop_reading(&mut state);
    let known = state.peers.all().find(|(peer, _)| *peer == reader);
    if known.is_some_and(|(_, known)| known.store_revision > own_revision) {
        return Some(own_revision);
    }
    state.record_store_contact(now);
    None
}

fn stop_reading(state: &mut FleetState) {
    state.status_update_due |= state.reads_store;
    state.reads_store = false;
}

async fn fetch_records(
    address: net::SocketAddr,
    after: u64,
) -> Result<RecordBatch, Report<FrontError>> {
    let failure = || FrontError::with_peer(FrontOperation::ReadPeer, address);
    let stream = tokio::net::TcpStream::connect(address)
        .await
        .change_context_lazy(failure)?;
    let (mut sender, connection) = http1::handshake(rt::TokioIo::new(stream))
        .await
        .change_context_lazy(failure)?;
    tokio::spawn(connection);
    let request = hyper::Request::get(format!("/facts?after={after}"))
        .header(hyper::header::HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .change_context_lazy(failure)?;
    let response = sender
        .send_request(request)
        .await
        .change_context_lazy(failure)?;
    let body = Limited::new(response.into_body(), MAX_RECORDS_BYTES)
        .collect()
        .await
        .map_err(|error| Report::new(failure()).attach(error.to_string()))?
        .to_bytes();
    let frame: RecordsFrame = ciborium::from_reader(&body[..])
        .map_err(|error| Report::new(failure()).attach(error.to_string()))?;
    Ok(frame.into())
}
