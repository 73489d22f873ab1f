//! Pull replication of a versioned key-value map from a few control instances (sources) to all balancers (followers).
//! The crate does no I/O: callers pass in datagrams, the time and a seed, and carry out the returned [`Output`]s.
//! Tests can thus run thousands of followers in virtual time. [`Follower`] is the place to start reading.
//!
//! Writers put entries into the gossip store of the control instances, from which each source publishes them. A source
//! has heard from a writer when the writer's heartbeat has confirmed that the source's entries are complete. The time
//! since then is the age of the source's data. From it, followers derive the age of their own data.
//!
//! A follower polls each of its two sources once a second for the changes since its cursor at that source. A cursor is
//! valid only for one incarnation of one source, so each source numbers its changes on its own. Responses continue at
//! the cursor without gaps; changes that do not fit into one response are requested by another poll. If a cursor is
//! invalid, the follower resynchronizes by anti-entropy: hash trees are compared, and only entries that differ are
//! transferred. An entry replaces only a lower version of the same key, whichever source sends the entry. A source
//! therefore need not be up to date; it only has to be configured at the follower and hold a key of the cluster.
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

/// A time in milliseconds on this process's monotonic clock, which also advances while the process is stopped; or a
/// duration in milliseconds.
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
    /// The address at which the source accepts poll requests.
    pub address: SocketAddr,
    /// The source's location.
    pub location: Location,
}

/// An action that the driver has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send this datagram to this address.
    Datagram(SocketAddr, Vec<u8>),
    /// An entry was added or replaced by a newer version; emitted only by followers.
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
    /// Whether all sources are disconnected: `true` if no source responds any more, `false` if one responds again.
    Disconnected(bool),
    /// The follower holds all entries of a source that has heard from a writer. Emitted once, the first time.
    Synchronized,
}
