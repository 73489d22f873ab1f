//! One instance of a cluster without I/O: membership, leases and the gossip store joined, and the datagrams in which
//! all three travel. Everything of an instance but its sockets can be replayed in virtual time.
//!
//! | module | holds |
//! | --- | --- |
//! | `interface` | what a node is given at its start, and what its driver has to do |
//! | `handshake` | greetings and their answers |
//! | `sending` | the content of datagrams, and how much of it fits into one |
//! | `status` | what is known of members and leases, for the staff |

mod handshake;
mod interface;
mod sending;
mod status;

pub use interface::{Effect, Member, NodeConfig, Notice};

use sending::Payload;
use spanspur_leases::{
    Clocks, GossipEntry, GossipStore, InstanceId, LeaseConfig, LeaseGrant, LeaseId, LeaseManager,
    Millis, Output,
};
use spanspur_membership::authentication::{DatagramKind, OpenedDatagram};
use spanspur_membership::{
    DatagramError, Handshakes, Identity, Keys, Membership, MembershipChange, Sessions,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Seeds that are not members are greeted once in this time.
const SEED_GREETING_INTERVAL_MS: Millis = 1000;
/// A digest of the gossip store goes to one other instance once in this time.
const DIGEST_INTERVAL_MS: Millis = 1000;
/// Greetings answered in a second at most, which bounds the cost of a flood of them.
const MAX_ANSWERS_PER_SECOND: u32 = 256;

/// One instance of a cluster, without I/O: the driver passes time and datagrams in, and takes the effects.
pub struct Node {
    config: NodeConfig,
    voters_hash: u64,
    sessions: Sessions,
    membership: Membership,
    leases: LeaseManager,
    gossip_store: GossipStore,
    /// Every instance that was ever a member or answered a greeting.
    known_instances: BTreeMap<InstanceId, Identity>,
    alive: Vec<InstanceId>,
    lease_names: BTreeMap<LeaseId, String>,
    handshakes: Handshakes,
    next_seed_greeting: Millis,
    next_digest: Millis,
    /// The position in `alive` of the instance that got the last digest.
    digest_position: usize,
    effects: Vec<Effect>,
    counters: BTreeMap<&'static str, u64>,
}

impl Node {
    /// An instance that has met no other yet.
    pub fn new(now: Clocks, config: NodeConfig) -> Self {
        let own_id = InstanceId::of(&config.identity.name);
        let incarnation = config.identity.incarnation;
        let voters: Vec<InstanceId> = config.voters.iter().map(|v| InstanceId::of(v)).collect();
        let voters_hash = hash_voters(&voters);
        let lease_config = LeaseConfig {
            instance: own_id,
            incarnation,
            voters,
            max_clock_skew: config.max_clock_skew,
            ranking: config.ranking,
        };
        let identity = config.identity.clone();
        Self {
            voters_hash,
            sessions: Sessions::new(own_id.0, incarnation, config.keys.clone()),
            membership: Membership::new(identity, config.probe_timing, config.random_seed),
            leases: LeaseManager::new(now, lease_config),
            gossip_store: GossipStore::default(),
            known_instances: BTreeMap::new(),
            alive: Vec::new(),
            lease_names: BTreeMap::new(),
            handshakes: Handshakes::new(MAX_ANSWERS_PER_SECOND),
            next_seed_greeting: now.monotonic,
            next_digest: now.monotonic + DIGEST_INTERVAL_MS,
            digest_position: 0,
            effects: Vec::new(),
            counters: BTreeMap::new(),
            config,
        }
    }

    /// Sets the leases by name, each with its interval.
    pub fn configure(&mut self, now: Clocks, intervals: &BTreeMap<String, Millis>) {
        let names = intervals.keys();
        self.lease_names = names.map(|n| (LeaseId::of(n), n.clone())).collect();
        let by_id = intervals.iter().map(|(n, ms)| (LeaseId::of(n), *ms));
        self.leases.configure(now, &by_id.collect());
        self.settle(now);
    }

    /// Replaces the keys and the seeds.
    pub fn rekey(&mut self, keys: Keys, seeds: Vec<SocketAddr>) {
        self.sessions.rekey(keys);
        self.config.seeds = seeds;
    }

    /// Handles a datagram. One that is not authentic is counted and dropped.
    pub fn receive(&mut self, now: Clocks, from: SocketAddr, bytes: &[u8]) {
        let datagram = match self.sessions.open(bytes) {
            Ok(datagram) => datagram,
            Err(error) => {
                self.count(error.counter_name());
                // Sealed by a member for an earlier incarnation of ours: the greeting tells it the new one.
                if error == DatagramError::OtherIncarnation {
                    self.greet(now, from);
                }
                return;
            }
        };
        match datagram.kind {
            DatagramKind::Greeting | DatagramKind::Answer => {
                if self.handle_handshake(now, from, &datagram).is_err() {
                    return;
                }
            }
            DatagramKind::Data => self.handle_data(now, from, &datagram),
        }
        self.settle(now);
    }

    fn handle_data(&mut self, now: Clocks, from: SocketAddr, datagram: &OpenedDatagram<'_>) {
        // A new incarnation whose identity is not known yet.
        if datagram.is_new_incarnation {
            self.greet(now, from);
        }
        let sender = InstanceId(datagram.sender);
        match postcard::from_bytes::<Payload>(datagram.body) {
            Ok(Payload::Membership(bytes)) => self.membership.receive(now.monotonic, &bytes),
            Ok(Payload::Leases(hash, messages)) if hash == self.voters_hash => {
                self.leases.receive(now, sender, &messages);
            }
            Ok(Payload::Leases(..)) => self.count("other-voters"),
            Ok(Payload::Gossip(message)) => {
                let received = self.gossip_store.receive(sender, message);
                let updated = received.updated.into_iter();
                self.effects.extend(updated.map(Effect::EntryUpdated));
                self.send_gossip(now, received.outgoing);
            }
            Err(_) => self.count("garbled"),
        }
    }

    /// When [`Node::wake`] is due at the latest, on the monotonic clock.
    pub fn next_wake(&self) -> Millis {
        let own = self.next_seed_greeting.min(self.next_digest);
        let others = [self.membership.next_wake(), self.leases.next_wake()];
        others.into_iter().flatten().fold(own, Millis::min)
    }

    /// Handles what has fallen due.
    pub fn wake(&mut self, now: Clocks) {
        if now.monotonic >= self.next_seed_greeting {
            self.next_seed_greeting = now.monotonic + SEED_GREETING_INTERVAL_MS;
            self.greet_absent_seeds(now);
        }
        if now.monotonic >= self.next_digest {
            self.next_digest = now.monotonic + DIGEST_INTERVAL_MS;
            self.send_digest(now);
        }
        self.membership.wake(now.monotonic);
        self.leases.wake(now);
        self.settle(now);
    }

    fn send_digest(&mut self, now: Clocks) {
        if self.alive.is_empty() {
            return;
        }
        self.digest_position = (self.digest_position + 1) % self.alive.len();
        let recipient = self.alive[self.digest_position];
        self.send_gossip(now, vec![(recipient, self.gossip_store.digest())]);
    }

    /// Publishes entries to the gossip stores of all instances.
    pub fn publish(&mut self, now: Clocks, entries: Vec<GossipEntry>) {
        let outgoing = self.gossip_store.publish(entries, &self.alive);
        self.send_gossip(now, outgoing);
    }

    /// The gossip store.
    pub fn gossip_store(&self) -> &GossipStore {
        &self.gossip_store
    }

    /// The gossip store, to drop entries that are not wanted any more.
    pub fn gossip_store_mut(&mut self) -> &mut GossipStore {
        &mut self.gossip_store
    }

    /// Records that a task was carried out, or (`false`) that its grant expired before that.
    pub fn record_completion(&mut self, grant: &LeaseGrant, in_time: bool) {
        self.leases.record_completion(grant, in_time);
    }

    /// Releases all leases and leaves the cluster.
    pub fn leave(&mut self, now: Clocks) {
        self.leases.release_all(now);
        self.settle(now);
        self.membership.leave(now.monotonic);
        self.settle(now);
    }

    /// Takes what is to be done, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Passes the parts' outputs on until there are no more.
    fn settle(&mut self, now: Clocks) {
        loop {
            let changes = self.membership.take_changes();
            let is_changed = !changes.is_empty();
            for change in changes {
                self.report_change(change);
            }
            if is_changed {
                self.update_alive(now);
            }
            let outputs = self.leases.take_outputs();
            if !is_changed && outputs.is_empty() {
                break;
            }
            for output in outputs {
                self.apply_output(now, output);
            }
        }
        for (to, bytes) in self.membership.take_messages() {
            let id = InstanceId::of(&to.name);
            self.send(now, id, to.address, &Payload::Membership(bytes));
        }
    }

    fn report_change(&mut self, change: MembershipChange) {
        let notice = match change {
            MembershipChange::Up(member) => {
                let id = InstanceId::of(&member.name);
                self.known_instances.insert(id, member.clone());
                Notice::MemberUp(member)
            }
            MembershipChange::Down(member) => Notice::MemberDown(member),
            MembershipChange::Refuted(_) => Notice::DownRefuted,
        };
        self.effects.push(Effect::Notice(notice));
    }

    fn update_alive(&mut self, now: Clocks) {
        let names = self.membership.alive().keys();
        let alive: BTreeSet<InstanceId> = names.map(|n| InstanceId::of(n)).collect();
        self.alive = alive.iter().copied().collect();
        self.leases.update_alive(now, &alive);
    }

    fn apply_output(&mut self, now: Clocks, output: Output) {
        let effect = match output {
            Output::Send(to, messages) => return self.send_lease_messages(now, to, messages),
            Output::Granted(grant) => Effect::Granted(grant),
            Output::TermsMissed { lease, terms } => {
                Effect::Notice(Notice::TermsMissed { lease, terms })
            }
            Output::QuorumChanged { lease, is_lost } => {
                Effect::Notice(Notice::QuorumChanged { lease, is_lost })
            }
            Output::HoldingChanged { lease, is_held } => {
                Effect::Notice(Notice::HoldingChanged { lease, is_held })
            }
        };
        self.effects.push(effect);
    }

    fn count(&mut self, counter: &'static str) {
        *self.counters.entry(counter).or_default() += 1;
    }
}

/// A hash by which instances notice that their lists of voters differ.
fn hash_voters(voters: &[InstanceId]) -> u64 {
    let mut sorted = voters.to_vec();
    sorted.sort();
    let bytes: Vec<u8> = sorted.iter().flat_map(|v| v.0.to_le_bytes()).collect();
    xxh3_64(&bytes)
}
