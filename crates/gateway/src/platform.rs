//! Reads the platform's value store and VM list.

use std::net;
use std::sync::atomic;
use std::time;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http_body_util::{BodyExt, Full, Limited};
use hyper::StatusCode;
use toucanledge_core::{ListVersion, TableRevision, VmList};

use crate::backend::BackendPool;
use crate::error::{GatewayError, GatewayStep};

/// Greatest size of a value in bytes, as the platform documents it.
const MAX_VALUE_BYTES: usize = 1_000_000;
/// Greatest size of a VM list in bytes.
const MAX_LIST_BYTES: usize = 8_000_000;
/// Time after which a plain read is given up; the platform answers in milliseconds.
const READ_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Time after which a watch is given up; the platform ends one after 30 s.
const WATCH_TIMEOUT: time::Duration = time::Duration::from_secs(35);

/// A value and its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformValue {
    /// Number of writes of the key.
    pub revision: TableRevision,
    /// Text of the value.
    pub text: String,
}

/// Client of the platform.
#[derive(Debug)]
pub struct PlatformClient {
    addresses: Vec<net::SocketAddr>,
    next: atomic::AtomicUsize,
    pool: BackendPool,
}

struct PlatformReply {
    status: StatusCode,
    revision: Option<u64>,
    body: Bytes,
}

impl PlatformClient {
    /// Returns a client that uses the addresses in turn when one fails.
    #[must_use]
    pub fn new(addresses: Vec<net::SocketAddr>) -> Self {
        Self {
            addresses,
            next: atomic::AtomicUsize::new(0),
            pool: BackendPool::new(None),
        }
    }

    /// Reads a value; `None` when the key does not exist.
    ///
    /// # Errors
    ///
    /// Returns the step and the address when the platform does not answer properly.
    pub async fn read_value(
        &self,
        key: &str,
    ) -> Result<Option<PlatformValue>, Report<GatewayError>> {
        let reply = self
            .get(&format!("/v1/value/{key}"), READ_TIMEOUT, MAX_VALUE_BYTES)
            .await?;
        self.to_value(reply)
    }

    /// Waits until the revision of a value exceeds `after`; `None` when it did not in time.
    ///
    /// # Errors
    ///
    /// Returns the step and the address when the platform does not answer properly.
    pub async fn watch_value(
        &self,
        key: &str,
        after: TableRevision,
    ) -> Result<Option<PlatformValue>, Report<GatewayError>> {
        let path = format!("/v1/watch/{key}?after={}", after.0);
        let reply = self.get(&path, WATCH_TIMEOUT, MAX_VALUE_BYTES).await?;
        self.to_value(reply)
    }

    /// Reads the VM list.
    ///
    /// # Errors
    ///
    /// Returns the step and the address when the platform does not answer properly.
    pub async fn read_list(&self) -> Result<Option<VmList>, Report<GatewayError>> {
        let reply = self.get("/v1/vms", READ_TIMEOUT, MAX_LIST_BYTES).await?;
        self.to_list(&reply)
    }

    /// Waits until the version of the VM list exceeds `after`; `None` when it did not in time.
    ///
    /// # Errors
    ///
    /// Returns the step and the address when the platform does not answer properly.
    pub async fn watch_list(
        &self,
        after: ListVersion,
    ) -> Result<Option<VmList>, Report<GatewayError>> {
        let path = format!("/v1/vms/watch?after={}", after.0);
        let reply = self.get(&path, WATCH_TIMEOUT, MAX_LIST_BYTES).await?;
        self.to_list(&reply)
    }

    fn address(&self) -> Result<net::SocketAddr, Report<GatewayError>> {
        let next = self.next.load(atomic::Ordering::Relaxed);
        self.addresses
            .get(next % self.addresses.len().max(1))
            .copied()
            .ok_or_else(|| Report::new(GatewayError::local(GatewayStep::ReadPlatform)))
    }

    async fn get(
        &self,
        path: &str,
        timeout: time::Duration,
        limit: usize,
    ) -> Result<PlatformReply, Report<GatewayError>> {
        let address = self.address()?;
        let result = match tokio::time::timeout(timeout, self.get_from(address, path, limit)).await
        {
            Ok(result) => result,
            Err(elapsed) => Err(Report::new(elapsed)
                .change_context(GatewayError::at(GatewayStep::ReadPlatform, address))),
        };
        if result.is_err() {
            self.next.fetch_add(1, atomic::Ordering::Relaxed);
            metrics::counter!("toucanledge_platform_failures_total").increment(1);
        }
        result
    }

    async fn get_from(
        &self,
        address: net::SocketAddr,
        path: &str,
        limit: usize,
    ) -> Result<PlatformReply, Report<GatewayError>> {
        let failure = || GatewayError::at(GatewayStep::ReadPlatform, address);
        metrics::counter!("toucanledge_platform_calls_total").increment(1);
        let mut connection = self.pool.checkout(address).await?;
        let request = hyper::Request::get(path)
            .header("host", address.to_string())
            .body(Full::new(Bytes::new()))
            .change_context_lazy(failure)?;
        let response = connection
            .sender()
            .send_request(request)
            .await
            .change_context_lazy(failure)?;
        let status = response.status();
        let revision = response
            .headers()
            .get("platform-revision")
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.parse().ok());
        let body = Limited::new(response.into_body(), limit)
            .collect()
            .await
            .map_err(|error| Report::new(failure()).attach(error.to_string()))?
            .to_bytes();
        self.pool.give_back(connection);
        Ok(PlatformReply {
            status,
            revision,
            body,
        })
    }

    fn to_value(
        &self,
        reply: PlatformReply,
    ) -> Result<Option<PlatformValue>, Report<GatewayError>> {
        match reply.status {
            StatusCode::OK => {
                let revision = reply.revision.ok_or_else(|| self.refuse("no revision"))?;
                let text = String::from_utf8(reply.body.into())
                    .map_err(|_| self.refuse("value is not UTF-8"))?;
                Ok(Some(PlatformValue {
                    revision: TableRevision(revision),
                    text,
                }))
            }
            StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => Ok(None),
            status => Err(self.refuse(&format!("status {status}"))),
        }
    }

    fn to_list(&self, reply: &PlatformReply) -> Result<Option<VmList>, Report<GatewayError>> {
        match reply.status {
            StatusCode::OK => {
                let list: VmList = serde_json::from_slice(&reply.body)
                    .map_err(|error| self.refuse(&format!("VM list: {error}")))?;
                list.validate()
                    .map_err(|error| self.refuse(&error.to_string()))?;
                Ok(Some(list))
            }
            StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => Ok(None),
            status => Err(self.refuse(&format!("status {status}"))),
        }
    }

    fn refuse(&self, detail: &str) -> Report<GatewayError> {
        let error = match self.address() {
            Ok(address) => GatewayError::at(GatewayStep::ReadPlatform, address),
            Err(report) => return report,
        };
        Report::new(error).attach(detail.to_owned())
    }
}
