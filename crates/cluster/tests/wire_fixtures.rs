//! Compares the datagrams and effects of a seeded cluster in virtual time with fixture files, so that instances of
//! different versions understand each other. The fixtures were written at commit 71566bd. `WRITE_FIXTURES=1` rewrites
//! them, which hides a change of the bytes.
//!
//! The names of effects and datagram kinds in this file are part of the fixtures and must not change.

#[path = "../../../tests/common/wire_fixtures.rs"]
mod wire_fixtures;

use serde::{Deserialize, Serialize};
use spanspur_cluster::node::{Member, Notice};
use spanspur_cluster::{Effect, Node, NodeConfig};
use spanspur_leases::ranking::Ranking;
use spanspur_leases::{Clocks, GossipEntry, GossipMessage, Message, Millis};
use spanspur_membership::{Identity, Key, Keys, ProbeTiming};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use wire_fixtures::Record;
use xxhash_rust::xxh3::xxh3_64;

const SEED: u64 = 75;
const NODES: usize = 4;
/// The last node is not a voter.
const VOTERS: usize = 3;
/// Simulated seconds.
const SECONDS: u64 = 60;
/// One in this many datagrams is lost.
const LOST_ONE_IN: u64 = 12;
/// Wall-clock time at the start, in milliseconds since the Unix epoch.
const WALL_CLOCK_START: Millis = 1_700_000_000_000;
/// Number of datagrams of each kind that the fixtures hold in full; later ones only enter the hash of their second.
const RECORDED_PER_KIND: usize = 12;
/// Offset of the kind in a sealed datagram.
const KIND_OFFSET: usize = 1;
/// The kind of a datagram with data.
const KIND_DATA: u8 = 2;
/// Sizes of the header and of the authentication tag around a sealed body.
const HEADER_BYTES: usize = 34;
const TAG_BYTES: usize = 16;

/// The payload of a datagram as of the commit that wrote the fixtures.
#[derive(Serialize, Deserialize)]
enum Payload {
    Membership(Vec<u8>),
    Leases(u64, Vec<Message>),
    Gossip(GossipMessage),
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect("the value encodes")
}

fn check(file: &str, records: Vec<Record>) -> Vec<Record> {
    wire_fixtures::check(env!("CARGO_MANIFEST_DIR"), file, records)
}

fn score(lease: u64, instance: u64) -> f64 {
    let bytes = [lease.to_le_bytes(), instance.to_le_bytes()].concat();
    xxh3_64(&bytes) as f64
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, index as u8 + 1], 7000))
}

fn name(index: usize) -> String {
    format!("balancer-{index}")
}

fn body_of(datagram: &[u8]) -> &[u8] {
    &datagram[HEADER_BYTES..datagram.len() - TAG_BYTES]
}

/// A cluster of nodes in virtual time, with a lossy network.
struct Simulation {
    now: Millis,
    nodes: Vec<Option<Node>>,
    /// Datagrams on their way: arrival time and number, then sender, recipient and bytes.
    in_flight: BTreeMap<(Millis, u64), (usize, usize, Vec<u8>)>,
    /// The number of datagrams sent.
    sent: u64,
    /// All effects and states of the current second, encoded.
    trace: Vec<u8>,
    /// The datagrams recorded in full, by kind.
    recorded: BTreeMap<&'static str, Vec<Record>>,
    /// The number of effects by name.
    effects: BTreeMap<&'static str, u64>,
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self {
            now: 0,
            nodes: (0..NODES).map(|_| None).collect(),
            in_flight: BTreeMap::new(),
            sent: 0,
            trace: Vec::new(),
            recorded: BTreeMap::new(),
            effects: BTreeMap::new(),
        };
        (0..NODES).for_each(|index| simulation.start(index, 100));
        simulation
    }

    fn clocks(&self) -> Clocks {
        Clocks {
            monotonic: self.now,
            wall: WALL_CLOCK_START + self.now,
        }
    }

    fn start(&mut self, index: usize, incarnation: u64) {
        let config = NodeConfig {
            identity: Identity {
                name: name(index),
                address: address(index),
                incarnation,
                refutations: 0,
            },
            keys: Keys(vec![Key::new(b"the secret of this test")]),
            seeds: (0..NODES).map(address).collect(),
            voters: (0..VOTERS).map(name).collect(),
            max_clock_skew: 500,
            probe_timing: ProbeTiming {
                probe_interval: Duration::from_millis(500),
                ack_timeout: Duration::from_millis(150),
                suspicion_timeout: Duration::from_millis(1000),
            },
            ranking: Ranking(score),
            random_seed: SEED + index as u64 + incarnation,
        };
        let mut node = Node::new(self.clocks(), config);
        let leases = [("list", 500), ("probe/1", 1000), ("probe/2", 2000)];
        let intervals = leases.map(|(name, interval)| (name.to_owned(), interval));
        node.configure(self.clocks(), &BTreeMap::from(intervals));
        self.nodes[index] = Some(node);
    }

    fn publish(&mut self, index: usize, keys: std::ops::Range<u64>, version: u64) {
        // Values of various lengths, so that the test covers how entries are split between datagrams.
        let value = |key: u64| {
            let mut value = format!("value {key} in version {version}").into_bytes();
            value.truncate((key * 7 % 19) as usize);
            value
        };
        let entries = keys.map(|key| GossipEntry {
            key,
            version,
            value: value(key),
        });
        let now = self.clocks();
        let node = self.nodes[index].as_mut().expect("the node runs");
        node.publish(now, entries.collect());
        self.apply_effects(index);
    }

    fn trace_effect(&mut self, effect: &'static str, value: &impl Serialize) {
        *self.effects.entry(effect).or_default() += 1;
        self.trace.extend(encode(&(self.now, effect)));
        self.trace.extend(encode(value));
    }

    /// Records the first datagrams of each kind, and checks that each payload decodes and encodes to the same bytes.
    fn record(&mut self, from: usize, datagram: &[u8]) {
        let kind = match datagram[KIND_OFFSET] {
            KIND_DATA => {
                let bytes = body_of(datagram);
                let payload: Payload = postcard::from_bytes(bytes).expect("the payload decodes");
                assert_eq!(encode(&payload), bytes);
                match payload {
                    Payload::Membership(_) => "gossip",
                    Payload::Leases(..) => "duties",
                    Payload::Gossip(GossipMessage::Entries { .. }) => "board-entries",
                    Payload::Gossip(GossipMessage::Digest(_)) => "board-compare",
                }
            }
            0 => "greeting",
            _ => "answer",
        };
        let recorded = self.recorded.entry(kind).or_default();
        if recorded.len() < RECORDED_PER_KIND {
            let name = format!("{kind}-{}-{from}-{}", self.now, recorded.len());
            recorded.push(Record::new(name, datagram.to_vec()));
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, datagram: Vec<u8>) {
        self.record(from, &datagram);
        self.trace_effect("datagram", &(from, to, &datagram));
        self.sent += 1;
        let random = xxh3_64(&[SEED.to_le_bytes(), self.sent.to_le_bytes()].concat());
        let arrival = self.now + 1 + random / LOST_ONE_IN % 20;
        let to = (0..NODES)
            .find(|index| address(*index) == to)
            .expect("a node's address");
        if !random.is_multiple_of(LOST_ONE_IN) {
            self.in_flight
                .insert((arrival, self.sent), (from, to, datagram));
        }
    }

    fn apply_effect(&mut self, index: usize, effect: Effect) {
        match effect {
            Effect::Datagram(to, datagram) => self.send(index, to, datagram),
            Effect::Granted(grant) => {
                let values = (index, grant.lease, grant.fencing_token, grant.valid_until);
                self.trace_effect("perform", &values);
                let in_time = grant.is_valid(self.now);
                let node = self.nodes[index].as_mut().expect("the node runs");
                node.record_completion(&grant, in_time);
            }
            Effect::EntryUpdated(entry) => self.trace_effect("news", &(index, entry)),
            Effect::Notice(notice) => match notice {
                Notice::MemberUp(member) => self.trace_effect("up", &(index, member)),
                Notice::MemberDown(member) => self.trace_effect("down", &(index, member)),
                Notice::DownRefuted => self.trace_effect("renewed", &index),
                Notice::TermsMissed { lease, terms } => {
                    self.trace_effect("missed", &(index, lease, terms))
                }
                Notice::QuorumChanged { lease, is_lost } => {
                    self.trace_effect("minority", &(index, lease, is_lost))
                }
                Notice::HoldingChanged { lease, is_held } => {
                    self.trace_effect("holds", &(index, lease, is_held))
                }
            },
        }
    }

    fn apply_effects(&mut self, index: usize) {
        let effects = self.nodes[index].as_mut().map(Node::take_effects);
        for effect in effects.unwrap_or_default() {
            self.apply_effect(index, effect);
        }
    }

    /// Simulates one millisecond: delivers the datagrams that are due and wakes the nodes whose timers have expired.
    fn tick(&mut self) {
        let now = self.clocks();
        while let Some(entry) = self.in_flight.first_entry()
            && entry.key().0 <= self.now
        {
            let (from, to, datagram) = entry.remove();
            if let Some(node) = &mut self.nodes[to] {
                node.receive(now, address(from), &datagram);
            }
            self.apply_effects(to);
        }
        for index in 0..NODES {
            if let Some(node) = &mut self.nodes[index]
                && node.next_wake() <= self.now
            {
                node.wake(now);
            }
            self.apply_effects(index);
        }
    }

    /// Applies the scheduled events at the start of a second.
    fn apply_schedule(&mut self, second: u64) {
        match second {
            5 => self.publish(0, 0..3, 10),
            // More entries than fit into one datagram.
            8..=13 => self.publish(1, 10 * second..11 * second + 300, 3 + second),
            // A node crashes and restarts with empty memory.
            15 => self.nodes[0] = None,
            17 => self.publish(1, 50..55, 12),
            22 => self.start(0, 200),
            // A node leaves the cluster and restarts.
            35 => {
                let now = self.clocks();
                self.nodes[2].as_mut().expect("the node runs").leave(now);
                self.apply_effects(2);
                self.nodes[2] = None;
            }
            40 => self.start(2, 300),
            // The quorum is lost for five seconds.
            45 => (self.nodes[1], self.nodes[2]) = (None, None),
            50 => {
                self.start(1, 400);
                self.start(2, 400);
            }
            _ => {}
        }
    }

    /// Adds the state of each node to the trace.
    fn trace_status(&mut self) {
        let now = self.clocks();
        for node in self.nodes.iter().flatten() {
            let entries: Vec<&GossipEntry> = node.gossip_store().iter().collect();
            let state = (
                node.status(now),
                node.members(),
                node.counters(),
                entries,
                node.next_wake(),
            );
            self.trace.extend(encode(&state));
        }
    }

    /// Simulates one second and returns its trace.
    fn run_second(&mut self, second: u64) -> Vec<u8> {
        self.apply_schedule(second);
        for _ in 0..1000 {
            self.tick();
            self.now += 1;
        }
        self.trace_status();
        std::mem::take(&mut self.trace)
    }
}

#[test]
fn seeded_cluster_run_keeps_its_bytes() {
    println!("seed {SEED}");
    let mut simulation = Simulation::new();
    let mut records = Vec::new();
    for second in 0..SECONDS {
        let trace = simulation.run_second(second);
        let mut bytes = xxh3_64(&trace).to_le_bytes().to_vec();
        bytes.extend((trace.len() as u64).to_le_bytes());
        records.push(Record::new(format!("second-{second}"), bytes));
    }
    println!("{:?}", simulation.effects);
    let kinds: Vec<&str> = simulation.recorded.keys().copied().collect();
    let recorded = std::mem::take(&mut simulation.recorded)
        .into_values()
        .flatten();
    check("node_datagrams.txt", recorded.collect());
    check("node_seconds.txt", records);
    let expected_kinds = [
        "answer",
        "board-compare",
        "board-entries",
        "duties",
        "gossip",
        "greeting",
    ];
    assert_eq!(kinds, expected_kinds);
    let effects: Vec<&str> = simulation.effects.keys().copied().collect();
    let expected_effects = [
        "datagram", "down", "holds", "minority", "missed", "news", "perform", "renewed", "up",
    ];
    for effect in expected_effects {
        assert!(effects.contains(&effect), "{effect}");
    }
}

#[test]
fn member_keeps_its_bytes() {
    let member = Member {
        name: name(1),
        address: address(1),
        alive: true,
        voter: false,
        is_self: true,
    };
    check("member.txt", vec![Record::new("member", encode(&member))]);
}
