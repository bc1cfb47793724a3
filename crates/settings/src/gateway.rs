//! Settings of a gateway process.

use std::collections;
use std::net;
use std::ops;
use std::path;

use error_stack::Report;
use serde::Deserialize;
use serde_json::value;
use toucanledge_core::{FailureDomainId, VmId};

use crate::error::{SettingsError, SettingsIssue};
use crate::load;
use crate::text;

const DEFAULT_CALLER_HEADER: &str = "x-caller";
const DEFAULT_MAX_HEADER_BYTES: usize = 64 * 1024;
const DEFAULT_MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
const DEFAULT_MAX_REQUESTS: usize = 4096;
const DEFAULT_LOG_LEVEL: &str = "info";

const MAX_NAME_BYTES: usize = 100;
const HEADER_BYTES_RANGE: ops::RangeInclusive<usize> = 8192..=1_048_576;
const BODY_BYTES_RANGE: ops::RangeInclusive<usize> = 1..=1_073_741_824;
const REQUESTS_RANGE: ops::RangeInclusive<usize> = 1..=1_000_000;

/// Policy by which a gateway chooses backend servers.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    Deserialize,
    strum::Display,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum DispatchPolicy {
    /// Gateways share dispatchers, claims and failure detection.
    #[default]
    Toucanledge,
    /// Independent gateways with round robin and ejection after consecutive errors.
    Baseline,
}

/// Settings of a gateway process.
///
/// Settings of backend servers and classes of requests are in the published table instead.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Identifier of the VM in the platform's list.
    pub vm: VmId,
    /// Name of the VM in the platform's list: 1 to 100 ASCII letters, digits, `.`, `_` or `-`.
    pub name: String,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomainId,
    /// Socket address for callers' HTTP requests.
    pub listen: net::SocketAddr,
    /// Socket address for peers, used for TCP links and UDP datagrams.
    pub peer_listen: net::SocketAddr,
    /// Socket address that peers use to reach this gateway; `peer_listen` by default.
    #[serde(default)]
    pub peer_advertised: Option<net::SocketAddr>,
    /// Local address of connections to peers and backend servers; chosen by the operating system by
    /// default.
    #[serde(default)]
    pub peer_source: Option<net::IpAddr>,
    /// Socket address of the status page, the metrics and the readiness check.
    pub status_listen: net::SocketAddr,
    /// Socket addresses of the platform; at least one.
    pub platform: Vec<net::SocketAddr>,
    /// Peer socket addresses of gateways that the table and the VM list are requested from at the
    /// start.
    #[serde(default)]
    pub seeds: Vec<net::SocketAddr>,
    /// Request header that identifies the caller; `x-caller` by default.
    #[serde(default = "default_caller_header")]
    pub caller_header: String,
    /// Policy by which the gateway chooses backend servers; `toucanledge` by default.
    #[serde(default)]
    pub policy: DispatchPolicy,
    /// Maximum size of a request head in bytes: 8,192 to 1,048,576; 65,536 by default.
    #[serde(default = "default_header_bytes")]
    pub max_header_bytes: usize,
    /// Maximum size of a request body in bytes: 1 to 1,073,741,824; 8 MiB by default.
    #[serde(default = "default_body_bytes")]
    pub max_body_bytes: usize,
    /// Maximum number of requests in flight: 1 to 1,000,000; 4096 by default.
    #[serde(default = "default_requests")]
    pub max_requests: usize,
    /// Log levels, for example `info` or `info, toucanledge_gateway=debug`; `info` by default.
    #[serde(default = "default_log")]
    pub log: String,
}

/// Reads and checks the settings of a gateway.
///
/// # Errors
///
/// Returns the first error when the text does not match the type, or else every value that is out
/// of range with its line and column.
pub fn load_gateway(
    file: impl AsRef<path::Path>,
) -> Result<GatewaySettings, Report<SettingsError>> {
    let name = file.as_ref().display().to_string();
    let text = load::read_file(file.as_ref())?;
    let settings: GatewaySettings = load::parse(&name, &text)?;
    let mut issues = settings.check();
    if issues.is_empty() {
        return Ok(settings);
    }
    set_positions(&text, &mut issues);
    Err(load::invalid_error(&name, issues))
}

impl GatewaySettings {
    /// Returns the socket address that peers use to reach this gateway.
    #[must_use]
    pub fn peer_address(&self) -> net::SocketAddr {
        self.peer_advertised.unwrap_or(self.peer_listen)
    }

    /// Returns every value that is out of range, with line 1 and column 1.
    ///
    /// [`load_gateway`] sets the line and column in the file.
    #[must_use]
    pub fn check(&self) -> Vec<SettingsIssue> {
        let mut issues = Vec::new();
        self.check_identity(&mut issues);
        self.check_addresses(&mut issues);
        self.check_limits(&mut issues);
        issues
    }

    fn check_identity(&self, issues: &mut Vec<SettingsIssue>) {
        if !is_valid_name(&self.name) {
            let expected = "1 to 100 ASCII letters, digits, `.`, `_` or `-`";
            issues.push(new_issue("name", &format!("{:?}", self.name), expected));
        }
        if !is_valid_header_name(&self.caller_header) {
            let expected = "a header name of 1 to 100 small letters, digits, `_` or `-`";
            let found = format!("{:?}", self.caller_header);
            issues.push(new_issue("caller_header", &found, expected));
        }
        if self.log.trim().is_empty() {
            let expected =
                "a level such as `info`, or levels such as `info, toucanledge_gateway=debug`";
            issues.push(new_issue("log", "an empty text", expected));
        }
    }

    fn check_addresses(&self, issues: &mut Vec<SettingsIssue>) {
        let listeners = [
            ("listen", self.listen),
            ("peer_listen", self.peer_listen),
            ("status_listen", self.status_listen),
        ];
        for (index, (field, address)) in listeners.iter().enumerate() {
            let earlier = listeners[..index]
                .iter()
                .find(|(_, other)| other == address);
            if let Some((other, _)) = earlier.filter(|_| address.port() != 0) {
                let expected = format!("an address other than that of `{other}`");
                issues.push(new_issue(field, &address.to_string(), &expected));
            }
        }
        self.check_peer_address(issues);
        if self.platform.is_empty() {
            issues.push(new_issue("platform", "no address", "at least one address"));
        }
        check_remote_addresses("platform", &self.platform, issues);
        check_remote_addresses("seeds", &self.seeds, issues);
    }

    fn check_peer_address(&self, issues: &mut Vec<SettingsIssue>) {
        let address = self.peer_address();
        let field = match self.peer_advertised {
            Some(_) => "peer_advertised",
            None => "peer_listen",
        };
        let is_ephemeral = self.peer_advertised.is_none() && address.port() == 0;
        if address.ip().is_unspecified() {
            let expected = "an address that peers can reach; set `peer_advertised`";
            issues.push(new_issue(field, &address.to_string(), expected));
        } else if address.port() == 0 && !is_ephemeral {
            issues.push(new_issue(field, &address.to_string(), "a port above 0"));
        }
        let families_differ = |source: net::IpAddr| source.is_ipv4() != address.is_ipv4();
        if let Some(source) = self.peer_source.filter(|source| families_differ(*source)) {
            let expected = format!("an address of the same family as `{field}`");
            issues.push(new_issue("peer_source", &source.to_string(), &expected));
        }
    }

    fn check_limits(&self, issues: &mut Vec<SettingsIssue>) {
        let limits = [
            (
                "max_header_bytes",
                self.max_header_bytes,
                HEADER_BYTES_RANGE,
            ),
            ("max_body_bytes", self.max_body_bytes, BODY_BYTES_RANGE),
            ("max_requests", self.max_requests, REQUESTS_RANGE),
        ];
        for (field, value, range) in limits {
            if !range.contains(&value) {
                let expected = format!("a whole number from {} to {}", range.start(), range.end());
                issues.push(new_issue(field, &value.to_string(), &expected));
            }
        }
    }
}

fn check_remote_addresses(
    field: &str,
    addresses: &[net::SocketAddr],
    issues: &mut Vec<SettingsIssue>,
) {
    for (index, address) in addresses.iter().enumerate() {
        let field = format!("{field}[{index}]");
        if address.port() == 0 || address.ip().is_unspecified() {
            let expected = "an address with a port above 0";
            issues.push(new_issue(&field, &address.to_string(), expected));
        }
        if addresses[..index].contains(address) {
            issues.push(new_issue(&field, &address.to_string(), "each address once"));
        }
    }
}

/// Sets the line and column of each issue to those of its value in the file.
fn set_positions(original: &str, issues: &mut [SettingsIssue]) {
    let Ok(text) = text::replace_comments(original) else {
        return;
    };
    let fields: collections::HashMap<&str, &value::RawValue> =
        serde_json::from_str(&text).unwrap_or_default();
    for issue in &mut *issues {
        let field = issue.field.split('[').next().unwrap_or_default();
        let Some(raw) = fields.get(field) else {
            continue;
        };
        let offset = raw.get().as_ptr().addr() - text.as_ptr().addr();
        (issue.line, issue.column) = text::position_at(&text, offset);
    }
    issues.sort_by_key(|issue| (issue.line, issue.column));
}

fn new_issue(field: &str, found: &str, expected: &str) -> SettingsIssue {
    SettingsIssue {
        line: 1,
        column: 1,
        field: field.to_owned(),
        found: found.to_owned(),
        expected: expected.to_owned(),
    }
}

fn is_valid_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(allowed)
}

fn is_valid_header_name(text: &str) -> bool {
    let allowed =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"_-".contains(&byte);
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(allowed)
}

fn default_caller_header() -> String {
    DEFAULT_CALLER_HEADER.to_owned()
}

const fn default_header_bytes() -> usize {
    DEFAULT_MAX_HEADER_BYTES
}

const fn default_body_bytes() -> usize {
    DEFAULT_MAX_BODY_BYTES
}

const fn default_requests() -> usize {
    DEFAULT_MAX_REQUESTS
}

fn default_log() -> String {
    DEFAULT_LOG_LEVEL.to_owned()
}
