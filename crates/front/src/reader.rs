//! Reads published facts from the platform, or from the peer that reads it.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt;
use serde::{Deserialize, Serialize};
use toucanledge_steering::{Fact, PeerId, ReaderDuty};

use crate::engine::FrontEngine;
use crate::error::{FrontError, FrontStep};
use crate::peers;
use crate::source::{FactBatch, FactSource, SourceFailure};

/// Greatest random pause before the first read, in which a peer may be heard that has the facts.
const START_PAUSE_MS: u64 = 60;
/// Pause after a change, in which further changes gather for one call.
const GATHER: time::Duration = time::Duration::from_millis(200);
/// Pause after a failed read, or after a peer's answer that failed.
const FAILED_PAUSE: time::Duration = time::Duration::from_millis(400);
/// Time between the tries of two gateways of a failure domain to take a lost reader's place.
const RANK_PAUSE: time::Duration = time::Duration::from_millis(40);
/// Greatest rank that waits longer; a fleet of hundreds must not wait for seconds.
const MAX_RANK: u32 = 10;
/// Time on top after a failed read for each rank, so that an outage of the platform is not met by
/// every gateway's calls.
const FAILED_RANK_PAUSE: time::Duration = time::Duration::from_millis(400);
/// Time between two looks at who reads.
const LOOK: time::Duration = time::Duration::from_millis(300);
/// Time after which a peer's answer is given up.
const PEER_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Greatest size in bytes of a peer's facts.
const MAX_FACT_BYTES: usize = 32 * 1024 * 1024;

/// Facts as they are written for a peer.
#[derive(Serialize, Deserialize)]
pub struct FactFrame(u64, Vec<(String, u64, Option<serde_bytes::ByteBuf>)>);

impl FactFrame {
    /// Returns the facts that changed after a revision.
    #[must_use]
    pub fn since(engine: &FrontEngine, after: u64) -> Self {
        let state = engine.state();
        let facts = state.facts.since(after).map(|fact| {
            let value = fact.value.as_ref().map(|value| value.to_vec().into());
            (fact.key.clone(), fact.revision, value)
        });
        Self(state.facts.revision(), facts.collect())
    }
}

impl From<FactFrame> for FactBatch {
    fn from(FactFrame(revision, facts): FactFrame) -> Self {
        let facts = facts.into_iter().map(|(key, revision, value)| Fact {
            key,
            revision,
            value: value.map(|value| Bytes::from(value.into_vec())),
        });
        Self {
            facts: facts.collect(),
            revision,
        }
    }
}

/// Keeps the facts up to date until the process stops.
pub async fn read_facts(engine: sync::Arc<FrontEngine>, source: FactSource) {
    let pause = rand::random_range(0..START_PAUSE_MS);
    tokio::time::sleep(time::Duration::from_millis(pause)).await;
    let own = engine.settings.peer_listen();
    let domain = peers::domain_hash(&engine.settings.failure_domain);
    let mut listing = true;
    let mut failed = false;
    loop {
        match next_duty(&engine, own, domain, failed).await {
            ReaderDuty::Follow(peer) => {
                failed = false;
                if follow(&engine, &source, peer).await {
                    listing = false;
                }
            }
            ReaderDuty::Read => match read(&engine, &source, &mut listing).await {
                Ok(changed) => {
                    failed = false;
                    if changed {
                        tokio::time::sleep(GATHER).await;
                    }
                }
                Err(failure) => {
                    failed = true;
                    note_failure(&engine, failure);
                }
            },
        }
    }
}

/// Returns what to do next; waits for its turn before it takes a lost reader's place.
async fn next_duty(
    engine: &sync::Arc<FrontEngine>,
    own: PeerId,
    domain: u64,
    failed: bool,
) -> ReaderDuty {
    let look = || {
        let state = engine.state();
        let now = engine.clock.now();
        let reading = state.reading;
        let duty = toucanledge_steering::reader_duty(own, reading, domain, &state.peers, now);
        let rank = toucanledge_steering::reader_rank(own, domain, &state.peers, now);
        (
            duty,
            reading,
            u32::try_from(rank).unwrap_or(u32::MAX).min(MAX_RANK),
        )
    };
    let (duty, reading, rank) = look();
    if duty != ReaderDuty::Read || reading {
        return duty;
    }
    let pause = if failed {
        FAILED_PAUSE + FAILED_RANK_PAUSE * rank
    } else {
        RANK_PAUSE * rank
    };
    // News of a peer that reads ends the wait; a timeout means that it is this gateway's turn.
    let _ = tokio::time::timeout(pause, engine.facts_wanted.notified()).await;
    look().0
}

async fn read(
    engine: &sync::Arc<FrontEngine>,
    source: &FactSource,
    listing: &mut bool,
) -> Result<bool, SourceFailure> {
    metrics::counter!("toucanledge_platform_calls_total").increment(1);
    let result = if *listing {
        (source.list)().await
    } else {
        let after = engine.state().facts.revision();
        (source.watch)(after).await
    };
    let batch = match result {
        Err(SourceFailure::HistoryGone) => {
            log::info!("[facts] history gone, listing anew");
            *listing = true;
            return Ok(false);
        }
        other => other?,
    };
    let now = engine.clock.now();
    let changed = {
        let mut state = engine.state();
        state.confirm_facts(now);
        if !state.reading {
            log::info!("[facts] reading the platform revision={}", batch.revision);
            state.news_due = true;
        }
        state.reading = true;
        let news = if *listing {
            state.facts.replace(batch.facts, batch.revision)
        } else {
            state.facts.merge(batch.facts, batch.revision)
        };
        state.apply(&news, source.decode, now);
        !news.is_empty()
    };
    *listing = false;
    if changed {
        engine.outbound.notify_one();
        engine.facts_came.notify_waiters();
    }
    Ok(changed)
}

fn note_failure(engine: &sync::Arc<FrontEngine>, failure: SourceFailure) {
    let reason: &'static str = failure.into();
    metrics::counter!("toucanledge_platform_failures_total", "reason" => reason).increment(1);
    let mut state = engine.state();
    if state.reading {
        log::warn!("[facts] lost the platform reason={reason}");
        state.news_due = true;
    }
    state.reading = false;
    drop(state);
    engine.outbound.notify_one();
}

/// Takes facts from a peer when it has more; returns whether the own facts are as new as its.
async fn follow(engine: &sync::Arc<FrontEngine>, source: &FactSource, peer: PeerId) -> bool {
    let now = engine.clock.now();
    let (own, theirs) = {
        let mut state = engine.state();
        state.news_due |= state.reading;
        state.reading = false;
        state.confirm_facts(now);
        let theirs = state.peers.known().find(|(known, _)| *known == peer);
        let theirs = theirs.map_or(0, |(_, known)| known.revision);
        (state.facts.revision(), theirs)
    };
    if theirs <= own {
        let wanted = engine.facts_wanted.notified();
        // A timeout only means that there is no news; the duty is then looked at again.
        let _ = tokio::time::timeout(LOOK, wanted).await;
        return own > 0;
    }
    let address = net::SocketAddr::new(peer.ip(), engine.settings.status_listen.port());
    let fetch = fetch_facts(address, own);
    match tokio::time::timeout(PEER_TIMEOUT, fetch).await {
        Ok(Ok(batch)) => {
            let now = engine.clock.now();
            let mut state = engine.state();
            let news = state.facts.merge(batch.facts, batch.revision);
            state.apply(&news, source.decode, now);
            engine.facts_came.notify_waiters();
            true
        }
        Ok(Err(report)) => {
            log::info!("[facts] {report}");
            tokio::time::sleep(FAILED_PAUSE).await;
            false
        }
        Err(_) => {
            log::info!("[facts] peer={address} silent");
            false
        }
    }
}

async fn fetch_facts(
    address: net::SocketAddr,
    after: u64,
) -> Result<FactBatch, Report<FrontError>> {
    let failure = || FrontError::at(FrontStep::ReadPeer, address);
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
    let body = Limited::new(response.into_body(), MAX_FACT_BYTES)
        .collect()
        .await
        .map_err(|error| Report::new(failure()).attach(error.to_string()))?
        .to_bytes();
    let frame: FactFrame = ciborium::from_reader(&body[..])
        .map_err(|error| Report::new(failure()).attach(error.to_string()))?;
    Ok(frame.into())
}
