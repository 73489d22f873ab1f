//! How what a few control instances know reaches all balancers: a map of versioned entries, pulled by each balancer
//! from two of them. No socket, clock or random source of its own: bytes, time and a seed come in, bytes and changes
//! come out, so that thousands of followers run in virtual time. Start reading at [`Follower`].
//!
//! A follower asks each of its two sources once a second what has come since its cursor there. The cursor is of use
//! at that source and in that run of it alone, so no numbering is shared; the answer is complete by construction.
//! A cursor that is of no use is replaced by a comparison of hashes, over which only what differs travels. An
//! entry is taken only over a lower version of its key, whoever brings it: sources need not be trusted to be up to
//! date, only to be of the cluster.
//!
//! | part | holds |
//! | --- | --- |
//! | [`store`] | the entries, the hash tree over them, a source's log of arrivals |
//! | [`wire`] | what is said, and what of it is refused |
//! | [`source`] | a control instance's end: answers, its budget, what is in force where |
//! | [`follower`] | a balancer's end: cursors, comparisons, silent sources, the age of what it has |
//! | [`ranking`] | which sources a follower follows |
//! | [`pace`] | a source's budget and its schedule |
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod follower;
pub mod pace;
pub mod ranking;
pub mod source;
pub mod store;
pub mod wire;

pub use follower::{AskPace, Follower, FollowerSetup, FollowerStatus};
pub use source::{Limits, Source, SourceSetup, SourceStatus};
pub use spanspur_leases::GossipEntry as Entry;
pub use store::Store;

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Milliseconds on the monotonic clock of this process, which goes on while the process is frozen; or a span.
pub type Millis = u64;

/// The longest name of an instance, in bytes.
pub const MAX_NAME: usize = 128;

/// Where an instance stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Its zone, among those of its region or of all.
    pub zone: u32,
    /// Its region.
    pub region: u32,
}

/// A source as followers are told of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceAt {
    /// Its name.
    pub name: String,
    /// Where it takes asks.
    pub address: SocketAddr,
    /// Where it stands.
    pub place: Place,
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a datagram.
    Datagram(SocketAddr, Vec<u8>),
    /// An entry is new here, or newer than the one before; only at followers.
    Changed(Entry),
    /// Something for the log.
    Notice(Notice),
}

/// What an operator may want to know of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// A source does not answer; it is tried again from time to time.
    Silent(String),
    /// It answers again.
    Back(String),
    /// No source answers any more, or one does again.
    Dark(bool),
    /// The first whole comparison or walk is complete.
    Full,
}
