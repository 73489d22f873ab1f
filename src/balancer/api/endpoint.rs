//! Servers and their endpoints, as listed by discovery.

use super::Time;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Identifies a server: the XXH3 hash of its id in discovery. All balancers compute the same value, even if
/// they reach the server at different addresses.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct ServerId(pub u64);

impl std::fmt::Display for ServerId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl ServerId {
    /// Hashes the server's id in discovery.
    pub fn of(discovery_id: &str) -> Self {
        Self(xxh3_64(discovery_id.as_bytes()))
    }
}

/// Whether an endpoint takes new connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// Takes new connections.
    Ready,
    /// Keeps its connections but takes no new ones.
    Draining,
    /// No longer in the endpoint list.
    #[default]
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Endpoint {
    /// The server.
    pub id: ServerId,
    /// Its zone.
    pub zone: u32,
    /// Whether it takes new connections.
    pub state: EndpointState,
    /// Capacity relative to a server of weight 1. A value that is not finite and positive counts as 1.
    pub weight: f64,
    /// When it last started; 0 if it started long ago.
    pub started_at: Time,
    /// Its cell, see [`DeduplicationScope::Cell`](super::DeduplicationScope::Cell).
    pub cell: u32,
}

/// Which endpoints an update from discovery contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// Only the endpoints that changed.
    Delta,
    /// All endpoints; an absent one has been removed.
    Full,
    /// All endpoints as cached before a restart, possibly stale. Applied like [`UpdateKind::Full`].
    Cached,
}
