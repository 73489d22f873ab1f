//! Pull replication of a versioned key-value map from a few control instances (sources) to all balancers (followers).
//! Sans-I/O: bytes, the time and a seed come in, [`Output`]s come out, so that thousands of followers run in virtual
//! time. Start reading at [`Follower`].
//!
//! A follower polls each of its two sources once a second for what has changed since its cursor there. A cursor is
//! valid only at that source and in that incarnation of it, so sources share no numbering, and a response is complete
//! by construction. An invalid cursor is replaced by anti-entropy: hash trees are compared, and only entries that
//! differ are transferred. An entry replaces only a lower version of its key, whichever source sends it: sources need
//! not be up to date, only be members of the cluster.
//!
//! | module | contents |
//! | --- | --- |
//! | [`store`] | the versioned entries, the hash tree over them, a source's change log |
//! | [`messages`] | poll requests and responses, their encoding and validation |
//! | [`source`] | a control instance's side: responses, their rate limit, propagation of changes |
//! | [`follower`] | a balancer's side: cursors, resynchronization, failover, staleness |
//! | [`rate_limiter`] | the generic cell rate algorithm with reservations |
//! | `source_selection` | which sources a follower polls |
//! | `channel` | handshakes, sessions, counters and outputs, the same on both sides |
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod channel;
pub mod follower;
pub mod messages;
pub mod rate_limiter;
pub mod source;
mod source_selection;
pub mod store;

pub use follower::{Follower, FollowerConfig, FollowerStatus, PollSchedule};
pub use source::{Limits, Source, SourceConfig, SourceStatus};
pub use spanspur_leases::GossipEntry as Entry;
pub use store::EntryStore;

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Milliseconds on this process's monotonic clock, which also advances while the process is suspended; or a duration
/// in milliseconds.
pub type Millis = u64;

/// The longest accepted instance name, in bytes.
pub const MAX_NAME: usize = 128;

/// The topology location of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Location {
    /// The zone, unique within the region.
    pub zone: u32,
    /// The region.
    pub region: u32,
}

/// A source as configured at a follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceEndpoint {
    /// The instance's name.
    pub name: String,
    /// The address at which it accepts poll requests.
    pub address: SocketAddr,
    /// Its location.
    pub location: Location,
}

/// What the driver has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send this datagram to this address.
    Datagram(SocketAddr, Vec<u8>),
    /// An entry was added or replaced by a newer version; only at followers.
    EntryUpdated(Entry),
    /// A state change worth a log line.
    Event(Event),
}

/// A change of a follower's state, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The named source stopped responding; it is retried periodically.
    SourceDisconnected(String),
    /// The named source responds again.
    SourceReconnected(String),
    /// `true`: no source responds any more; `false`: at least one responds again.
    Disconnected(bool),
    /// The follower holds everything that a source had, for the first time.
    Synchronized,
}
