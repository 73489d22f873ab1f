//! Cluster membership by SWIM gossip, and the authenticated datagrams in which all traffic of a cluster travels. No
//! sockets, clocks or random sources of its own: bytes, time and a seed come in, datagrams and changes come out.
//!
//! | module | holds |
//! | --- | --- |
//! | [`gossip`] | SWIM (Das, Gupta, Motivala, 2002) by the foca library: join, suspicion, refutation, leaving |
//! | [`handshake`] | greetings by which instances learn each other's incarnations, and their rate limits |
//! | [`authentication`] | datagrams with a message authentication code (MAC), bound to an incarnation |
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

/// An instance as the others know it. It travels as postcard: fields keep their order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// The run of its process: Unix milliseconds at its start. A later one supersedes an earlier one.
    pub incarnation: u64,
    /// How often it has refuted that it was down.
    pub refutations: u32,
}

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
