//! Wire format of heartbeats.

use serde::{Deserialize, Serialize};
use toucanledge_core::{Fingerprint, Incarnation, ListVersion, Millis, TableRevision, VmId};
use toucanledge_membership::{CrashSuspicion, GatewayState, Heartbeat};

use super::{WireHash, hash_value, wire_hash};
use crate::error::ValidationError;
use crate::limits::{self, PROTOCOL_VERSION};

/// Protocol version, sender, incarnation, flags, list version, history, table revision, send time,
/// echo, unreachable gateways, crash suspicions, leaving backend servers.
#[derive(Serialize, Deserialize)]
pub struct WireHeartbeat(
    u16,
    u32,
    u64,
    u8,
    u64,
    Vec<u64>,
    u64,
    u64,
    Option<u64>,
    Vec<u32>,
    Vec<WireSuspicion>,
    Vec<u32>,
);

/// Fingerprint, number of lost backend servers, age in milliseconds.
#[derive(Serialize, Deserialize)]
pub struct WireSuspicion(WireHash, u8, u32);

const LEAVING_FLAG: u8 = 1;
const ESTABLISHED_FLAG: u8 = 2;

impl From<&Heartbeat> for WireHeartbeat {
    fn from(heartbeat: &Heartbeat) -> Self {
        Self(
            PROTOCOL_VERSION,
            heartbeat.from.0,
            heartbeat.incarnation.0,
            flags(heartbeat),
            heartbeat.list_version.0,
            heartbeat.history.iter().map(|version| version.0).collect(),
            heartbeat.table_revision.0,
            heartbeat.sent_at.0,
            heartbeat.echo.map(|sent| sent.0),
            heartbeat.unreachable.iter().map(|vm| vm.0).collect(),
            heartbeat.suspicions.iter().map(Into::into).collect(),
            heartbeat.leaving.iter().map(|vm| vm.0).collect(),
        )
    }
}

impl TryFrom<WireHeartbeat> for Heartbeat {
    type Error = ValidationError;

    fn try_from(heartbeat: WireHeartbeat) -> Result<Self, ValidationError> {
        let WireHeartbeat(
            protocol_version,
            from,
            incarnation,
            flags,
            list_version,
            history,
            table_revision,
            sent_at,
            echo,
            unreachable,
            suspicions,
            leaving,
        ) = heartbeat;
        check_protocol_version(protocol_version)?;
        let heartbeat = Self {
            from: VmId(from),
            incarnation: Incarnation(incarnation),
            state: gateway_state(flags)?,
            established: flags & ESTABLISHED_FLAG != 0,
            list_version: ListVersion(list_version),
            history: history.into_iter().map(ListVersion).collect(),
            table_revision: TableRevision(table_revision),
            sent_at: Millis(sent_at),
            echo: echo.map(Millis),
            unreachable: unreachable.into_iter().map(VmId).collect(),
            suspicions: suspicions.into_iter().map(Into::into).collect(),
            leaving: leaving.into_iter().map(VmId).collect(),
        };
        limits::check_heartbeat(&heartbeat)?;
        Ok(heartbeat)
    }
}

impl From<&CrashSuspicion> for WireSuspicion {
    fn from(suspicion: &CrashSuspicion) -> Self {
        Self(
            wire_hash(suspicion.fingerprint.0),
            suspicion.lost_backends,
            suspicion.age_ms,
        )
    }
}

impl From<WireSuspicion> for CrashSuspicion {
    fn from(WireSuspicion(fingerprint, lost_backends, age_ms): WireSuspicion) -> Self {
        Self {
            fingerprint: Fingerprint(hash_value(fingerprint)),
            lost_backends,
            age_ms,
        }
    }
}

fn flags(heartbeat: &Heartbeat) -> u8 {
    let state = match heartbeat.state {
        GatewayState::Live => 0,
        GatewayState::Leaving => LEAVING_FLAG,
    };
    let established = if heartbeat.established {
        ESTABLISHED_FLAG
    } else {
        0
    };
    state | established
}

fn gateway_state(flags: u8) -> Result<GatewayState, ValidationError> {
    if flags & !(LEAVING_FLAG | ESTABLISHED_FLAG) != 0 {
        return Err(ValidationError::UnknownCode {
            what: "heartbeat flags",
            code: flags.to_string(),
        });
    }
    if flags & LEAVING_FLAG != 0 {
        return Ok(GatewayState::Leaving);
    }
    Ok(GatewayState::Live)
}

fn check_protocol_version(version: u16) -> Result<(), ValidationError> {
    if version == PROTOCOL_VERSION {
        return Ok(());
    }
    Err(ValidationError::ProtocolVersion(version))
}
