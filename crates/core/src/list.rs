//! The platform's list of live and leaving VMs.

use std::collections;
use std::net;

use serde::{Deserialize, Serialize};

use crate::{FailureDomainId, ListVersion, VmId};

/// What a VM does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum VmRole {
    /// An entry VM that runs a gateway.
    Gateway,
    /// A backend server.
    Backend,
}

/// State that the platform reports for a VM; it lags.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum VmState {
    /// The VM takes new work.
    Live,
    /// The VM finishes its work and will go.
    Leaving,
}

/// One VM of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmEntry {
    /// Identifier; never given to another VM.
    pub vm: VmId,
    /// Name that table rows use.
    pub name: String,
    /// What the VM does.
    pub role: VmRole,
    /// Failure domain that the VM is in.
    pub failure_domain: FailureDomainId,
    /// Address for TCP links and UDP datagrams between gateways; gateways only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<net::SocketAddr>,
    /// Address for HTTP requests; backend servers only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<net::SocketAddr>,
    /// State that the platform reports.
    pub state: VmState,
}

/// The platform's list of VMs at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmList {
    /// Version; rises with every change.
    pub version: ListVersion,
    /// VMs in no particular order.
    pub vms: Vec<VmEntry>,
}

/// Reason why a VM list is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VmListError {
    /// Two entries have the same identifier.
    DuplicateVm(VmId),
    /// An entry lacks the address that its role needs.
    MissingAddress(VmId),
}

impl std::fmt::Display for VmListError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::DuplicateVm(vm) => write!(formatter, "VM list names {vm} twice"),
            Self::MissingAddress(vm) => {
                write!(
                    formatter,
                    "VM list gives no address of the kind that {vm} needs"
                )
            }
        }
    }
}

impl std::error::Error for VmListError {}

impl VmList {
    /// Checks that identifiers are unique and every VM has the address its role needs.
    ///
    /// # Errors
    ///
    /// Returns the first entry that breaks the rule.
    pub fn validate(&self) -> Result<(), VmListError> {
        let mut seen = collections::HashSet::new();
        for entry in &self.vms {
            if !seen.insert(entry.vm) {
                return Err(VmListError::DuplicateVm(entry.vm));
            }
            let address = match entry.role {
                VmRole::Gateway => entry.peer,
                VmRole::Backend => entry.address,
            };
            if address.is_none() {
                return Err(VmListError::MissingAddress(entry.vm));
            }
        }
        Ok(())
    }

    /// Returns the gateways of the list, leaving ones included.
    pub fn gateways(&self) -> impl Iterator<Item = &VmEntry> {
        self.vms
            .iter()
            .filter(|entry| entry.role == VmRole::Gateway)
    }

    /// Returns the backend servers of the list, leaving ones included.
    pub fn backends(&self) -> impl Iterator<Item = &VmEntry> {
        self.vms
            .iter()
            .filter(|entry| entry.role == VmRole::Backend)
    }
}
