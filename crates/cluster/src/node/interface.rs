//! A node's configuration, and the effects that its driver carries out.

use serde::{Deserialize, Serialize};
use spanspur_leases::ranking::Ranking;
use spanspur_leases::{GossipEntry, LeaseGrant, LeaseId, Millis};
use spanspur_membership::{Identity, Keys, ProbeTiming};
use std::net::SocketAddr;

/// The configuration of a node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The instance's name, the address at which it receives datagrams, and its incarnation.
    pub identity: Identity,
    /// The cluster's keys.
    pub keys: Keys,
    /// Addresses of other instances through which this one joins the cluster.
    pub seeds: Vec<SocketAddr>,
    /// The names of the voters, which must be the same at all instances.
    pub voters: Vec<String>,
    /// The maximum difference between the wall clocks of two instances, in milliseconds.
    pub max_clock_skew: Millis,
    /// The timing of failure detection.
    pub probe_timing: ProbeTiming,
    /// The scores by which leases are assigned to instances; the same function at all instances.
    pub ranking: Ranking,
    /// The seed of the membership's random number generator.
    pub random_seed: u64,
}

/// An effect that the driver carries out.
#[derive(Debug)]
pub enum Effect {
    /// Send a datagram.
    Datagram(SocketAddr, Vec<u8>),
    /// Run a lease's task while the grant is valid.
    Granted(LeaseGrant),
    /// Pass on an entry from another instance that is new in the gossip store.
    EntryUpdated(GossipEntry),
    /// Log an event.
    Notice(Notice),
}

/// An event for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A member is alive, or has a new identity.
    MemberUp(Identity),
    /// A member is down: it failed, was partitioned off or left the cluster.
    MemberDown(Identity),
    /// Other instances declared this instance down, which it has refuted.
    DownRefuted,
    /// Terms of a lease passed without a run of its task.
    TermsMissed {
        /// The lease.
        lease: LeaseId,
        /// The number of terms.
        terms: u64,
    },
    /// The quorum for a lease that this instance should hold was lost or restored.
    QuorumChanged {
        /// The lease.
        lease: LeaseId,
        /// Whether the quorum was lost.
        is_lost: bool,
    },
    /// This instance acquired a lease, or no longer holds it.
    HoldingChanged {
        /// The lease.
        lease: LeaseId,
        /// Whether the lease is held now.
        is_held: bool,
    },
}

/// A member as the control socket lists it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Member {
    /// The member's name.
    pub name: String,
    /// The address at which the member receives datagrams.
    pub address: SocketAddr,
    /// Whether the member is alive.
    pub alive: bool,
    /// Whether the member is a voter.
    pub voter: bool,
    /// Whether this is the instance that answers the query.
    #[serde(rename = "me")]
    pub is_self: bool,
}
