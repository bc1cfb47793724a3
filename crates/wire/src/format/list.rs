//! Wire format of VM lists.

use std::net;

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use toucanledge_core::{FailureDomainId, ListVersion, VmEntry, VmId, VmList, VmRole, VmState};

use crate::error::ValidationError;

/// Version, VMs.
#[derive(Serialize, Deserialize)]
pub struct WireVmList(u64, Vec<WireVmEntry>);

/// VM, name, flags of role and state, failure domain, peer address, address.
#[derive(Serialize, Deserialize)]
pub struct WireVmEntry(u32, String, u8, u16, Option<ByteBuf>, Option<ByteBuf>);

const BACKEND_FLAG: u8 = 1;
const LEAVING_FLAG: u8 = 2;
const LEAVING_BACKEND_FLAGS: u8 = BACKEND_FLAG | LEAVING_FLAG;

impl From<&VmList> for WireVmList {
    fn from(list: &VmList) -> Self {
        Self(list.version.0, list.vms.iter().map(Into::into).collect())
    }
}

impl TryFrom<WireVmList> for VmList {
    type Error = ValidationError;

    fn try_from(WireVmList(version, vms): WireVmList) -> Result<Self, ValidationError> {
        Ok(Self {
            version: ListVersion(version),
            vms: vms
                .into_iter()
                .map(TryInto::try_into)
                .collect::<Result<_, _>>()?,
        })
    }
}

impl From<&VmEntry> for WireVmEntry {
    fn from(entry: &VmEntry) -> Self {
        Self(
            entry.vm.0,
            entry.name.clone(),
            role_flag(entry.role) | state_flag(entry.state),
            entry.failure_domain.0,
            entry.peer.map(wire_address),
            entry.address.map(wire_address),
        )
    }
}

impl TryFrom<WireVmEntry> for VmEntry {
    type Error = ValidationError;

    fn try_from(entry: WireVmEntry) -> Result<Self, ValidationError> {
        let WireVmEntry(vm, name, flags, domain, peer, address) = entry;
        let (role, state) = role_and_state(flags)?;
        Ok(Self {
            vm: VmId(vm),
            name,
            role,
            failure_domain: FailureDomainId(domain),
            peer: peer.map(|bytes| socket_address(&bytes)).transpose()?,
            address: address.map(|bytes| socket_address(&bytes)).transpose()?,
            state,
        })
    }
}

fn role_flag(role: VmRole) -> u8 {
    match role {
        VmRole::Gateway => 0,
        VmRole::Backend => BACKEND_FLAG,
    }
}

fn state_flag(state: VmState) -> u8 {
    match state {
        VmState::Live => 0,
        VmState::Leaving => LEAVING_FLAG,
    }
}

fn role_and_state(flags: u8) -> Result<(VmRole, VmState), ValidationError> {
    match flags {
        0 => Ok((VmRole::Gateway, VmState::Live)),
        BACKEND_FLAG => Ok((VmRole::Backend, VmState::Live)),
        LEAVING_FLAG => Ok((VmRole::Gateway, VmState::Leaving)),
        LEAVING_BACKEND_FLAGS => Ok((VmRole::Backend, VmState::Leaving)),
        _ => Err(ValidationError::UnknownCode {
            what: "VM flags",
            code: flags.to_string(),
        }),
    }
}

/// Returns the IP address followed by the port, in network byte order.
fn wire_address(address: net::SocketAddr) -> ByteBuf {
    let mut bytes = match address.ip() {
        net::IpAddr::V4(ip) => ip.octets().to_vec(),
        net::IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend_from_slice(&address.port().to_be_bytes());
    ByteBuf::from(bytes)
}

fn socket_address(bytes: &[u8]) -> Result<net::SocketAddr, ValidationError> {
    let unknown = || ValidationError::UnknownCode {
        what: "socket address",
        code: format!("{} bytes", bytes.len()),
    };
    let (ip, port) = bytes.split_last_chunk::<2>().ok_or_else(unknown)?;
    let ip = match ip.len() {
        4 => <[u8; 4]>::try_from(ip).map(net::IpAddr::from),
        16 => <[u8; 16]>::try_from(ip).map(net::IpAddr::from),
        _ => return Err(unknown()),
    };
    let ip = ip.map_err(|_| unknown())?;
    Ok(net::SocketAddr::new(ip, u16::from_be_bytes(*port)))
}
