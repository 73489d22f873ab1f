//! What a node is given at its start, and what its driver has to do.

use serde::{Deserialize, Serialize};
use spanspur_leases::ranking::Ranking;
use spanspur_leases::{GossipEntry, LeaseGrant, LeaseId, Millis};
use spanspur_membership::{Identity, Keys, ProbeTiming};
use std::net::SocketAddr;

/// What an instance is given at its start.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Its name, where it receives datagrams, and its incarnation.
    pub identity: Identity,
    /// The cluster's keys.
    pub keys: Keys,
    /// Addresses at which other instances may be found.
    pub seeds: Vec<SocketAddr>,
    /// The names of the voters, the same at all instances.
    pub voters: Vec<String>,
    /// How far wall clocks may differ.
    pub max_clock_skew: Millis,
    /// The timing of failure detection.
    pub probe_timing: ProbeTiming,
    /// Ranks instances for a lease.
    pub ranking: Ranking,
    /// The seed of the membership's random numbers.
    pub random_seed: u64,
}

/// What the driver has to do.
#[derive(Debug)]
pub enum Effect {
    /// Send a datagram.
    Datagram(SocketAddr, Vec<u8>),
    /// Carry out a lease's task while the grant is valid.
    Granted(LeaseGrant),
    /// An entry of another instance that is new in the gossip store.
    EntryUpdated(GossipEntry),
    /// An event for the log.
    Notice(Notice),
}

/// An event that an operator may want to know of.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A member is alive.
    MemberUp(Identity),
    /// A member is down.
    MemberDown(Identity),
    /// This instance was declared down and has refuted it.
    DownRefuted,
    /// Terms of a lease passed without its task being carried out.
    TermsMissed {
        /// The lease.
        lease: LeaseId,
        /// How many terms.
        terms: u64,
    },
    /// The quorum for a lease that this instance should hold was lost, or is reachable again.
    QuorumChanged {
        /// The lease.
        lease: LeaseId,
        /// Whether it was lost.
        is_lost: bool,
    },
    /// This instance acquired a lease or ceased to hold it.
    HoldingChanged {
        /// The lease.
        lease: LeaseId,
        /// Whether it is held now.
        is_held: bool,
    },
}

/// A member as the control socket lists it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// Whether it is alive.
    pub alive: bool,
    /// Whether it votes.
    pub voter: bool,
    /// Whether it is the instance that was asked.
    #[serde(rename = "me")]
    pub is_self: bool,
}
