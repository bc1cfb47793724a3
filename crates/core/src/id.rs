//! Identifiers, as small `Copy` types.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// Identifies a VM of the platform, either one that runs a gateway or a backend server.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct VmId(pub u32);

/// Identifies a failure domain.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FailureDomainId(pub u16);

/// Start time of a process in milliseconds since the Unix epoch; a restarted process has a greater
/// one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Version of the platform's VM list.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ListVersion(pub u64);

/// Revision of the published table in the platform's store; 0 before any table is accepted.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TableRevision(pub u64);

/// Identifies a pool of backend servers by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PoolId(pub u64);

/// Identifies a class of work by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClassId(pub u64);

/// Hash of the caller's identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallerHash(pub u64);

/// Hash of caller, method, path and body of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u128);

/// Identifies the backend servers of one pool that share a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardId {
    /// Pool that the shard is part of.
    pub pool: PoolId,
    /// Failure domain of the shard's backend servers.
    pub domain: FailureDomainId,
    /// Index among the shards of the pool in that failure domain, from 0.
    pub index: u16,
}

impl PoolId {
    /// Returns the identifier of the pool with this name.
    ///
    /// ```
    /// use toucanledge_core::PoolId;
    /// assert_eq!(PoolId::of("reading"), PoolId::of("reading"));
    /// ```
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(xxh3::xxh3_64(name.as_bytes()))
    }
}

impl ClassId {
    /// Returns the identifier of the class with this name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(xxh3::xxh3_64(name.as_bytes()))
    }
}

impl CallerHash {
    /// Returns the hash of a caller's identity.
    #[must_use]
    pub fn of(identity: &[u8]) -> Self {
        Self(xxh3::xxh3_64(identity))
    }
}

impl Fingerprint {
    /// Returns the fingerprint of a request.
    #[must_use]
    pub fn of(caller: CallerHash, method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = xxh3::Xxh3::new();
        hasher.update(&caller.0.to_le_bytes());
        hasher.update(&(method.len() as u64).to_le_bytes());
        hasher.update(method.as_bytes());
        hasher.update(&(path.len() as u64).to_le_bytes());
        hasher.update(path.as_bytes());
        hasher.update(body);
        Self(hasher.digest128())
    }
}

impl ShardId {
    /// Returns the key of the shard for rendezvous hashing.
    #[must_use]
    pub fn rendezvous_key(self) -> u64 {
        let seed = (u64::from(self.domain.0) << 16) | u64::from(self.index);
        xxh3::xxh3_64_with_seed(&self.pool.0.to_le_bytes(), seed)
    }
}

impl fmt::Display for VmId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "vm-{}", self.0)
    }
}

impl fmt::Display for FailureDomainId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "domain-{}", self.0)
    }
}
