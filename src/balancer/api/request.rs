//! A client's request for a connection.

use super::Time;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The placement key of a client or a group: the XXH3 hash of its text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u64);

impl Key {
    /// Hashes the text of a key.
    pub fn of(text: &str) -> Self {
        Self(xxh3_64(text.as_bytes()))
    }
}

/// Identifies a request; ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64);

impl std::fmt::Display for RequestId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A client's request for a connection.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Request {
    /// The request's id.
    pub id: RequestId,
    /// Index of its class in [`BalancerConfig::classes`](super::BalancerConfig::classes); a request of a
    /// class that does not exist is rejected.
    pub class: usize,
    /// The client's placement key.
    pub key: Option<Key>,
    /// The placement key of the client's group; takes precedence over `key`.
    pub group: Option<Key>,
    /// When the client gives up.
    pub deadline: Time,
    /// Expected load of the connection, in microseconds of work per second.
    pub load_hint: Option<f64>,
    /// The request is in the middle of a flow: it belongs to a connection that was established elsewhere,
    /// whose server may be draining.
    pub mid_flow: bool,
    /// The client had a connection before, which broke or migrated.
    pub is_reconnect: bool,
}

impl Request {
    /// Creates a request without keys, load hint or flags.
    pub fn new(id: RequestId, class: usize, deadline: Time) -> Self {
        Self {
            id,
            class,
            key: None,
            group: None,
            deadline,
            load_hint: None,
            mid_flow: false,
            is_reconnect: false,
        }
    }
}
