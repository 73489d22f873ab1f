//! One instance of a cluster without I/O: combines membership, leases and the gossip store, and encodes their messages
//! into datagrams. Everything of an instance except its sockets can be replayed in virtual time.
//!
//! | module | holds |
//! | --- | --- |
//! | `interface` | a node's configuration, and the effects that its driver carries out |
//! | `handshake` | greetings and answers |
//! | `sending` | the payloads of datagrams, and how lists are split between datagrams |
//! | `status` | the status of members and leases, for operators |

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

/// The interval between greetings to the seeds that are not members, in milliseconds.
const SEED_GREETING_INTERVAL_MS: Millis = 1000;
/// The interval between digests of the gossip store, each sent to one other instance, in milliseconds.
const DIGEST_INTERVAL_MS: Millis = 1000;
/// Maximum number of greetings answered per second, which bounds the cost of a flood of greetings.
const MAX_ANSWERS_PER_SECOND: u32 = 256;

/// One instance of a cluster, without I/O. The driver passes in the time and datagrams, and carries out the effects.
pub struct Node {
    config: NodeConfig,
    /// The hash of the voters, sent with messages about leases. See [`hash_voters`].
    voters_hash: u64,
    sessions: Sessions,
    membership: Membership,
    leases: LeaseManager,
    gossip_store: GossipStore,
    /// Every instance that was ever a member or answered a greeting, with its last known identity.
    known_instances: BTreeMap<InstanceId, Identity>,
    /// The other members that are alive, sorted.
    alive: Vec<InstanceId>,
    lease_names: BTreeMap<LeaseId, String>,
    handshakes: Handshakes,
    next_seed_greeting: Millis,
    next_digest: Millis,
    /// The position in `alive` of the recipient of the last digest.
    last_digest_position: usize,
    effects: Vec<Effect>,
    counters: BTreeMap<&'static str, u64>,
}

impl Node {
    /// Creates an instance that knows no other instance yet.
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
            last_digest_position: 0,
            effects: Vec::new(),
            counters: BTreeMap::new(),
            config,
        }
    }

    /// Replaces the leases: each name with its interval in milliseconds.
    pub fn configure(&mut self, now: Clocks, intervals: &BTreeMap<String, Millis>) {
        let names = intervals.keys();
        self.lease_names = names.map(|n| (LeaseId::of(n), n.clone())).collect();
        let by_id = intervals.iter().map(|(n, ms)| (LeaseId::of(n), *ms));
        self.leases.configure(now, &by_id.collect());
        self.process_outputs(now);
    }

    /// Replaces the cluster's keys and the seeds.
    pub fn rekey(&mut self, keys: Keys, seeds: Vec<SocketAddr>) {
        self.sessions.rekey(keys);
        self.config.seeds = seeds;
    }

    /// Handles a received datagram. A datagram that is not authentic is counted and dropped.
    pub fn receive(&mut self, now: Clocks, from: SocketAddr, bytes: &[u8]) {
        let datagram = match self.sessions.open(bytes) {
            Ok(datagram) => datagram,
            Err(error) => {
                self.count(error.counter_name());
                // A member sealed the datagram for an earlier incarnation of this instance. The greeting carries the
                // current one.
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
        self.process_outputs(now);
    }

    fn handle_data(&mut self, now: Clocks, from: SocketAddr, datagram: &OpenedDatagram<'_>) {
        // The identity of a new incarnation is not known yet; its answer to the greeting has it.
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

    /// The time on the monotonic clock, in milliseconds, by which [`Node::wake`] has to be called.
    pub fn next_wake(&self) -> Millis {
        let own_timers = self.next_seed_greeting.min(self.next_digest);
        let timers = [self.membership.next_wake(), self.leases.next_wake()];
        timers.into_iter().flatten().fold(own_timers, Millis::min)
    }

    /// Handles expired timers.
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
        self.process_outputs(now);
    }

    fn send_digest(&mut self, now: Clocks) {
        if self.alive.is_empty() {
            return;
        }
        self.last_digest_position = (self.last_digest_position + 1) % self.alive.len();
        let recipient = self.alive[self.last_digest_position];
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

    /// The gossip store, for the removal of entries that are no longer needed.
    pub fn gossip_store_mut(&mut self) -> &mut GossipStore {
        &mut self.gossip_store
    }

    /// Records that a grant's task was run (`in_time`), or that the grant expired before the task was started.
    pub fn record_completion(&mut self, grant: &LeaseGrant, in_time: bool) {
        self.leases.record_completion(grant, in_time);
    }

    /// Releases all leases and leaves the cluster.
    pub fn leave(&mut self, now: Clocks) {
        self.leases.release_all(now);
        self.process_outputs(now);
        self.membership.leave(now.monotonic);
        self.process_outputs(now);
    }

    /// Takes the effects to be carried out, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Processes the outputs of membership and leases until there are none left: a change of the membership may cause
    /// outputs of the leases.
    fn process_outputs(&mut self, now: Clocks) {
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

/// A hash over the set of voters, by which instances detect that their lists of voters differ.
fn hash_voters(voters: &[InstanceId]) -> u64 {
    let mut sorted = voters.to_vec();
    sorted.sort();
    let bytes: Vec<u8> = sorted.iter().flat_map(|v| v.0.to_le_bytes()).collect();
    xxh3_64(&bytes)
}
