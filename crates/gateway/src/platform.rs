//! Client of the platform's value store and VM list.

use std::net;
use std::sync::atomic;
use std::time;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http_body_util::{BodyExt, Full, Limited};
use hyper::StatusCode;
use toucanledge_core::{ListVersion, TableRevision, VmList};

use crate::backend::ConnectionPool;
use crate::error::{GatewayError, GatewayStep};

/// Maximum size of a value in bytes, as the platform documents it.
const MAX_VALUE_BYTES: usize = 1_000_000;
/// Maximum size of a VM list in bytes.
const MAX_LIST_BYTES: usize = 8_000_000;
/// Timeout of a read; the platform responds within milliseconds.
const READ_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Timeout of a watch; the platform ends a watch without changes after 30 s.
const WATCH_TIMEOUT: time::Duration = time::Duration::from_secs(35);

/// A value and its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformValue {
    /// Revision, which is the number of writes of the key.
    pub revision: TableRevision,
    /// Text of the value.
    pub text: String,
}

/// Client of the platform.
#[derive(Debug)]
pub struct PlatformClient {
    addresses: Vec<net::SocketAddr>,
    address_index: atomic::AtomicUsize,
    connection_pool: ConnectionPool,
}

struct PlatformResponse {
    status: StatusCode,
    revision: Option<u64>,
    body: Bytes,
}

impl PlatformClient {
    /// Returns a client that switches to the next address when a request fails or times out.
    #[must_use]
    pub fn new(addresses: Vec<net::SocketAddr>) -> Self {
        Self {
            addresses,
            address_index: atomic::AtomicUsize::new(0),
            connection_pool: ConnectionPool::new(None),
        }
    }

    /// Reads a value; returns `None` when the key does not exist.
    ///
    /// # Errors
    ///
    /// Returns the step and the address when there is no valid response.
    pub async fn read_value(
        &self,
        key: &str,
    ) -> Result<Option<PlatformValue>, Report<GatewayError>> {
        let response = self
            .get(&format!("/v1/value/{key}"), READ_TIMEOUT, MAX_VALUE_BYTES)
            .await?;
        self.to_value(response)
    }

    /// Waits until the revision of a value exceeds `after`; returns `None` when the watch ended
    /// without a change.
    ///
    /// # Errors
    ///
    /// Returns the step and the address when there is no valid response.
    pub async fn watch_value(
        &self,
        key: &str,
        after: TableRevision,
    ) -> Result<Option<PlatformValue>, Report<GatewayError>> {
        let path = format!("/v1/watch/{key}?after={}", after.0);
        let response = self.get(&path, WATCH_TIMEOUT, MAX_VALUE_BYTES).await?;
        self.to_value(response)
    }

    /// Reads the VM list.
    ///
    /// # Errors
    ///
    /// Returns the step and the address when there is no valid response.
    pub async fn read_vm_list(&self) -> Result<Option<VmList>, Report<GatewayError>> {
        let response = self.get("/v1/vms", READ_TIMEOUT, MAX_LIST_BYTES).await?;
        self.to_vm_list(&response)
    }

    /// Waits until the version of the VM list exceeds `after`; returns `None` when the watch ended
    /// without a change.
    ///
    /// # Errors
    ///
    /// Returns the step and the address when there is no valid response.
    pub async fn watch_vm_list(
        &self,
        after: ListVersion,
    ) -> Result<Option<VmList>, Report<GatewayError>> {
        let path = format!("/v1/vms/watch?after={}", after.0);
        let response = self.get(&path, WATCH_TIMEOUT, MAX_LIST_BYTES).await?;
        self.to_vm_list(&response)
    }

    fn address(&self) -> Result<net::SocketAddr, Report<GatewayError>> {
        let index = self.address_index.load(atomic::Ordering::Relaxed);
        self.addresses
            .get(index % self.addresses.len().max(1))
            .copied()
            .ok_or_else(|| Report::new(GatewayError::local(GatewayStep::ReadPlatform)))
    }

    async fn get(
        &self,
        path: &str,
        timeout: time::Duration,
        max_bytes: usize,
    ) -> Result<PlatformResponse, Report<GatewayError>> {
        let address = self.address()?;
        let result =
            match tokio::time::timeout(timeout, self.get_from(address, path, max_bytes)).await {
                Ok(result) => result,
                Err(elapsed) => Err(Report::new(elapsed)
                    .change_context(GatewayError::at(GatewayStep::ReadPlatform, address))),
            };
        if result.is_err() {
            self.address_index.fetch_add(1, atomic::Ordering::Relaxed);
            metrics::counter!("toucanledge_platform_failures_total").increment(1);
        }
        result
    }

    async fn get_from(
        &self,
        address: net::SocketAddr,
        path: &str,
        max_bytes: usize,
    ) -> Result<PlatformResponse, Report<GatewayError>> {
        let failure = || GatewayError::at(GatewayStep::ReadPlatform, address);
        metrics::counter!("toucanledge_platform_calls_total").increment(1);
        let mut connection = self.connection_pool.check_out(address).await?;
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
        let body = Limited::new(response.into_body(), max_bytes)
            .collect()
            .await
            .map_err(|error| Report::new(failure()).attach(error.to_string()))?
            .to_bytes();
        self.connection_pool.check_in(connection);
        Ok(PlatformResponse {
            status,
            revision,
            body,
        })
    }

    fn to_value(
        &self,
        response: PlatformResponse,
    ) -> Result<Option<PlatformValue>, Report<GatewayError>> {
        match response.status {
            StatusCode::OK => {
                let revision = response.revision.ok_or_else(|| {
                    self.invalid_response("response without a valid platform-revision header")
                })?;
                let text = String::from_utf8(response.body.into())
                    .map_err(|_| self.invalid_response("value is not UTF-8"))?;
                Ok(Some(PlatformValue {
                    revision: TableRevision(revision),
                    text,
                }))
            }
            StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => Ok(None),
            status => Err(self.invalid_response(&format!("unexpected status {status}"))),
        }
    }

    fn to_vm_list(
        &self,
        response: &PlatformResponse,
    ) -> Result<Option<VmList>, Report<GatewayError>> {
        match response.status {
            StatusCode::OK => {
                let list: VmList = serde_json::from_slice(&response.body).map_err(|error| {
                    self.invalid_response(&format!("VM list cannot be parsed: {error}"))
                })?;
                list.validate()
                    .map_err(|error| self.invalid_response(&error.to_string()))?;
                Ok(Some(list))
            }
            StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => Ok(None),
            status => Err(self.invalid_response(&format!("unexpected status {status}"))),
        }
    }

    fn invalid_response(&self, detail: &str) -> Report<GatewayError> {
        let error = match self.address() {
            Ok(address) => GatewayError::at(GatewayStep::ReadPlatform, address),
            Err(report) => return report,
        };
        Report::new(error).attach(detail.to_owned())
    }
}
