//! Forwards requests that must run at most once, each under a claim.

use std::time;

use bytes::Bytes;
use http_body_util::BodyExt;
use toucanledge_claims::{ClaimKey, ClaimOutcome, StoredResponse};
use toucanledge_core::{CallerHash, RefusalReason, RequestOutcome, RetryReason, TableRevision};
use toucanledge_slots::LeaseOutcome;
use xxhash_rust::xxh3;

use crate::attempts;
use crate::attempts::AttemptHistory;
use crate::exchange::BackendResponse;
use crate::forward;
use crate::forward::{AttemptOutcome, RequestForwarder, RoutedRequest};
use crate::plugin::{ClaimDecision, ClaimPermit, SlotPermit};
use crate::response;
use crate::response::{CallerResponse, RequestRefusal};

/// Maximum size in bytes of a response body that voters store for replay.
const MAX_STORED_BODY_BYTES: usize = 64 * 1024;
/// Maximum size in bytes of a response body of an at-most-once request, which the gateway reads to
/// its end before it responds.
const MAX_KEYED_BODY_BYTES: usize = 8 * 1024 * 1024;

impl RequestForwarder {
    /// Forwards an at-most-once request if its claim is granted.
    pub(super) async fn forward_keyed(&self, routed: RoutedRequest) -> CallerResponse {
        let key = claim_key(&routed);
        match ClaimPermit::acquire(&self.kernel, key, routed.deadline).await {
            ClaimDecision::Granted(claim_permit) => self.run_keyed(&routed, claim_permit).await,
            ClaimDecision::Replay(stored) => response::stored_response(&stored, true),
            ClaimDecision::Refused { reason, outcome } => {
                response::refusal_response(&routed.refusal(reason, outcome))
            }
        }
    }

    /// Runs an at-most-once request under a claim permit; retries only attempts that did not run.
    async fn run_keyed(&self, routed: &RoutedRequest, claim_permit: ClaimPermit) -> CallerResponse {
        self.retry_budgets.deposit(&routed.class);
        let mut history = AttemptHistory::default();
        loop {
            let refusal = match self
                .attempt(routed, &mut history, Some(&claim_permit))
                .await
            {
                AttemptOutcome::Response(backend_response, slot_permit, started) => {
                    return self
                        .collect_response(
                            routed,
                            backend_response,
                            slot_permit,
                            started,
                            claim_permit,
                        )
                        .await;
                }
                AttemptOutcome::Refuse(refusal) => refusal,
                AttemptOutcome::Retry(
                    reason @ (RetryReason::Shed
                    | RetryReason::ConnectFailed
                    | RetryReason::GrantExpired),
                ) => match self.allow_retry(routed, reason, &mut history) {
                    Ok(()) => continue,
                    Err(refusal) => refusal,
                },
                AttemptOutcome::Retry(reason) => {
                    history.record_failure(reason);
                    routed.refusal(attempts::refusal_reason_of(reason), RequestOutcome::Unknown)
                }
            };
            claim_permit.finish(match refusal.outcome {
                RequestOutcome::NotRun => ClaimOutcome::NotRun,
                _ => ClaimOutcome::Unknown,
            });
            history.wait_for_loss_propagation().await;
            return response::refusal_response(&refusal);
        }
    }

    async fn collect_response(
        &self,
        routed: &RoutedRequest,
        backend_response: Box<BackendResponse>,
        slot_permit: SlotPermit,
        started: time::Instant,
        claim_permit: ClaimPermit,
    ) -> CallerResponse {
        let BackendResponse {
            parts,
            body,
            connection,
            leaving,
        } = *backend_response;
        let limited = http_body_util::Limited::new(body, MAX_KEYED_BODY_BYTES);
        let deadline = routed.deadline.into();
        let (outcome, reason) = match tokio::time::timeout_at(deadline, limited.collect()).await {
            Ok(Ok(collected)) => {
                slot_permit.release(LeaseOutcome::Completed, started, leaving);
                self.connection_pool.check_in(connection);
                let stored = to_stored_response(&parts, collected.to_bytes());
                claim_permit.finish(to_claim_outcome(&stored));
                return response::stored_response(&stored, false);
            }
            Ok(Err(_)) => (LeaseOutcome::BadAnswer, RefusalReason::BadAnswer),
            Err(_) => (
                LeaseOutcome::DeadlineExceeded,
                RefusalReason::DeadlineExceeded,
            ),
        };
        slot_permit.release(outcome, started, leaving);
        claim_permit.finish(ClaimOutcome::Unknown);
        response::refusal_response(&routed.refusal(reason, RequestOutcome::Unknown))
    }
}

/// Returns the refusal of an at-most-once request whose task panicked.
pub(super) fn internal_error_refusal() -> RequestRefusal {
    RequestRefusal {
        reason: RefusalReason::ConnectionLost,
        outcome: RequestOutcome::Unknown,
        row: None,
        table_revision: TableRevision::default(),
        retry_after_ms: 1000,
    }
}

/// Returns the claim key of an at-most-once request: hash of class, caller, and idempotency key or
/// else fingerprint.
fn claim_key(routed: &RoutedRequest) -> ClaimKey {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(routed.class.class.as_bytes());
    let CallerHash(caller) = routed.request.caller;
    hasher.update(&caller.to_le_bytes());
    if let Some(key) = &routed.request.idempotency_key {
        hasher.update(b"key");
        hasher.update(key);
    } else {
        hasher.update(b"fingerprint");
        hasher.update(&routed.request.fingerprint.0.to_le_bytes());
    }
    ClaimKey(hasher.digest128())
}

fn to_stored_response(parts: &hyper::http::response::Parts, body: Bytes) -> StoredResponse {
    let headers = forward::strip_backend_headers(&parts.headers)
        .iter()
        .filter(|(name, _)| *name != hyper::header::CONTENT_LENGTH)
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect();
    StoredResponse {
        status: parts.status.as_u16(),
        headers,
        body,
    }
}

fn to_claim_outcome(stored: &StoredResponse) -> ClaimOutcome {
    if stored.body.len() <= MAX_STORED_BODY_BYTES {
        ClaimOutcome::Ran(stored.clone())
    } else {
        ClaimOutcome::RanUnstored
    }
}
