//! VM list of the platform.

use std::collections;
use std::net;

use serde::{Deserialize, Serialize};

use crate::{FailureDomainId, ListVersion, VmId};

/// Role of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum VmRole {
    /// Runs a gateway.
    Gateway,
    /// Runs a backend server.
    Backend,
}

/// State of a VM as the platform reports it, with some delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum VmState {
    /// The VM takes new work.
    Live,
    /// The VM finishes its work and takes no new work.
    Leaving,
}

/// Entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmEntry {
    /// Identifier; never reused for another VM.
    pub vm: VmId,
    /// Name that table rows use.
    pub name: String,
    /// Role of the VM.
    pub role: VmRole,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomainId,
    /// Address for TCP connections and UDP datagrams between gateways; set for gateways only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<net::SocketAddr>,
    /// Address for HTTP requests; set for backend servers only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<net::SocketAddr>,
    /// State that the platform reports.
    pub state: VmState,
}

/// The platform's list of VMs at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmList {
    /// Version; increases with every change.
    pub version: ListVersion,
    /// VMs in no particular order.
    pub vms: Vec<VmEntry>,
}

/// Error that makes a VM list invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VmListError {
    /// Two entries have the same identifier.
    DuplicateVm(VmId),
    /// An entry has no address of the kind that its role needs.
    MissingAddress(VmId),
}

impl std::fmt::Display for VmListError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::DuplicateVm(vm) => write!(formatter, "VM list has more than one entry for {vm}"),
            Self::MissingAddress(vm) => {
                write!(
                    formatter,
                    "VM list has no address for {vm} of the kind that its role needs"
                )
            }
        }
    }
}

impl std::error::Error for VmListError {}

impl VmList {
    /// Checks that identifiers are unique and that every VM has the address that its role needs.
    ///
    /// # Errors
    ///
    /// Returns the error of the first invalid entry.
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
