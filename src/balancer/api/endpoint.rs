//! Servers as discovery lists them.

use super::Time;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A server: the XXH3 hash of its id at discovery, the same at each balancer; its address may differ.
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
    /// The identity of the server that discovery names so.
    pub fn of(discovery_id: &str) -> Self {
        Self(xxh3_64(discovery_id.as_bytes()))
    }
}

/// Whether an endpoint takes new connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// Takes new connections.
    Ready,
    /// Keeps its connections and takes no new ones.
    Draining,
    /// Is not in the endpoint list any more.
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
    /// Its capacity in units of an ordinary server. A value that is not finite and above 0 counts as 1.
    pub weight: f64,
    /// When it last started; 0 if it has been up for long.
    pub started_at: Time,
    /// Its cell.
    pub cell: u32,
}

/// What an update from discovery covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// Only the endpoints that changed.
    Delta,
    /// All endpoints; one that is absent has been removed.
    Full,
    /// All endpoints as cached before a restart, possibly stale.
    Cached,
}
