//! Cluster membership by SWIM gossip, and the authenticated datagrams that carry all traffic between instances.
//!
//! The crate has no sockets, clocks or sources of randomness. The caller passes in bytes, timestamps and a seed, and
//! takes out datagrams and membership changes.
//!
//! | module | holds |
//! | --- | --- |
//! | [`gossip`] | SWIM (Das, Gupta, Motivala, 2002) on top of the foca library: join, suspicion, refutation, leave |
//! | [`handshake`] | the exchange by which two instances learn each other's incarnations, and its rate limits |
//! | [`authentication`] | datagrams with a message authentication code (MAC), bound to a receiver's incarnation |
//! | `replay` | the sliding window that detects replayed datagrams |
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod authentication;
pub mod gossip;
pub mod handshake;
mod replay;

pub use authentication::{DatagramError, Key, Keys, OpenedDatagram, Sessions};
pub use gossip::{Membership, MembershipChange, ProbeTiming};
pub use handshake::{HandshakeError, Handshakes};

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Identifies an instance in messages. It is encoded with postcard, so the order of its fields is part of the format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// The name, which stays the same across restarts.
    pub name: String,
    /// The address at which the instance receives datagrams.
    pub address: SocketAddr,
    /// Identifies one run of the process: the Unix time of its start, in milliseconds. A later incarnation supersedes
    /// an earlier one.
    pub incarnation: u64,
    /// How often this incarnation has refuted a report that it was down.
    pub refutations: u32,
}

/// The library calls the key of a member its address, and keeps one identity per key. Here the key is the name, so that
/// a later incarnation supersedes an earlier one even if its socket address differs.
impl foca::Identity for Identity {
    type Addr = String;

    fn renew(&self) -> Option<Self> {
        Some(Self {
            refutations: self.refutations.wrapping_add(1),
            ..self.clone()
        })
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.incarnation, self.refutations) > (other.incarnation, other.refutations)
    }
}
