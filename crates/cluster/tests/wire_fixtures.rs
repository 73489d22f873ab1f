//! What the datagrams of a cluster's instances hold, compared with fixture files, and the forms of the control
//! socket's answers. Written by the tree at 71566bd; rewriting them (`WRITE_FIXTURES=1`) hides a change of the bytes
//! between versions.

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
/// The last one votes on nothing.
const VOTERS: usize = 3;
const SECONDS: u64 = 60;
/// One of so many datagrams is lost.
const LOST_ONE_IN: u64 = 12;
const WALL: Millis = 1_700_000_000_000;
/// Of the first datagrams of each kind the bytes themselves are kept.
const WHOLE_OF_EACH_KIND: usize = 12;
/// Where a sealed datagram says what it is, and what it says there unless it is a greeting or an answer to one.
const SEAL_KIND: usize = 1;
const SEAL_KIND_DATA: u8 = 2;
/// What sealing puts before and after a body.
const SEAL_HEAD: usize = 34;
const SEAL_TAG: usize = 16;

/// What a datagram carries, as it was when the fixtures were written.
#[derive(Serialize, Deserialize)]
enum Body {
    Gossip(Vec<u8>),
    Duties(u64, Vec<Message>),
    Board(GossipMessage),
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect("encodes")
}

fn check(file: &str, records: Vec<Record>) -> Vec<Record> {
    wire_fixtures::check(env!("CARGO_MANIFEST_DIR"), file, records)
}

fn score(duty: u64, instance: u64) -> f64 {
    let bytes = [duty.to_le_bytes(), instance.to_le_bytes()].concat();
    xxh3_64(&bytes) as f64
}

fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, at as u8 + 1], 7000))
}

fn name(at: usize) -> String {
    format!("balancer-{at}")
}

fn body_of(datagram: &[u8]) -> &[u8] {
    &datagram[SEAL_HEAD..datagram.len() - SEAL_TAG]
}

struct World {
    now: Millis,
    nodes: Vec<Option<Node>>,
    queue: BTreeMap<(Millis, u64), (usize, usize, Vec<u8>)>,
    sent: u64,
    /// All that was put out in this second.
    tape: Vec<u8>,
    whole: BTreeMap<&'static str, Vec<Record>>,
    effects: BTreeMap<&'static str, u64>,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now: 0,
            nodes: (0..NODES).map(|_| None).collect(),
            queue: BTreeMap::new(),
            sent: 0,
            tape: Vec::new(),
            whole: BTreeMap::new(),
            effects: BTreeMap::new(),
        };
        (0..NODES).for_each(|at| world.start(at, 100));
        world
    }

    fn clocks(&self) -> Clocks {
        Clocks {
            monotonic: self.now,
            wall: WALL + self.now,
        }
    }

    fn start(&mut self, at: usize, boot: u64) {
        let setup = NodeConfig {
            identity: Identity {
                name: name(at),
                address: address(at),
                incarnation: boot,
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
            random_seed: SEED + at as u64 + boot,
        };
        let mut node = Node::new(self.clocks(), setup);
        let duties = [("list", 500), ("probe/1", 1000), ("probe/2", 2000)];
        let duties = duties.map(|(name, every)| (name.to_owned(), every));
        node.configure(self.clocks(), &BTreeMap::from(duties));
        self.nodes[at] = Some(node);
    }

    fn publish(&mut self, at: usize, keys: std::ops::Range<u64>, version: u64) {
        // Of many lengths, so that it shows how many fit into a datagram.
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
        let node = self.nodes[at].as_mut().expect("runs");
        node.publish(now, entries.collect());
        self.settle(at);
    }

    fn note(&mut self, effect: &'static str, value: &impl Serialize) {
        *self.effects.entry(effect).or_default() += 1;
        self.tape.extend(encode(&(self.now, effect)));
        self.tape.extend(encode(value));
    }

    /// Keeps the datagram, and shows that its body is read and written as when the fixtures were written.
    fn keep(&mut self, from: usize, datagram: &[u8]) {
        let kind = match datagram[SEAL_KIND] {
            SEAL_KIND_DATA => {
                let bytes = body_of(datagram);
                let body: Body = postcard::from_bytes(bytes).expect("decodes");
                assert_eq!(encode(&body), bytes);
                match body {
                    Body::Gossip(_) => "gossip",
                    Body::Duties(..) => "duties",
                    Body::Board(GossipMessage::Entries { .. }) => "board-entries",
                    Body::Board(GossipMessage::Digest(_)) => "board-compare",
                }
            }
            0 => "greeting",
            _ => "answer",
        };
        let whole = self.whole.entry(kind).or_default();
        if whole.len() < WHOLE_OF_EACH_KIND {
            let name = format!("{kind}-{}-{from}-{}", self.now, whole.len());
            whole.push(Record::new(name, datagram.to_vec()));
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, datagram: Vec<u8>) {
        self.keep(from, &datagram);
        self.note("datagram", &(from, to, &datagram));
        self.sent += 1;
        let drawn = xxh3_64(&[SEED.to_le_bytes(), self.sent.to_le_bytes()].concat());
        let arrival = self.now + 1 + drawn / LOST_ONE_IN % 20;
        let to = (0..NODES).find(|at| address(*at) == to).expect("known");
        if !drawn.is_multiple_of(LOST_ONE_IN) {
            self.queue
                .insert((arrival, self.sent), (from, to, datagram));
        }
    }

    fn carry_out(&mut self, at: usize, effect: Effect) {
        match effect {
            Effect::Datagram(to, datagram) => self.send(at, to, datagram),
            Effect::Granted(grant) => {
                let values = (at, grant.lease, grant.fencing_token, grant.valid_until);
                self.note("perform", &values);
                let in_time = grant.is_valid(self.now);
                let node = self.nodes[at].as_mut().expect("runs");
                node.record_completion(&grant, in_time);
            }
            Effect::EntryUpdated(entry) => self.note("news", &(at, entry)),
            Effect::Notice(notice) => match notice {
                Notice::MemberUp(who) => self.note("up", &(at, who)),
                Notice::MemberDown(who) => self.note("down", &(at, who)),
                Notice::DownRefuted => self.note("renewed", &at),
                Notice::TermsMissed { lease, terms } => self.note("missed", &(at, lease, terms)),
                Notice::QuorumChanged { lease, is_lost } => {
                    self.note("minority", &(at, lease, is_lost))
                }
                Notice::HoldingChanged { lease, is_held } => {
                    self.note("holds", &(at, lease, is_held))
                }
            },
        }
    }

    fn settle(&mut self, at: usize) {
        let effects = self.nodes[at].as_mut().map(Node::take_effects);
        for effect in effects.unwrap_or_default() {
            self.carry_out(at, effect);
        }
    }

    /// Delivers what has arrived and wakes who is due, at one millisecond.
    fn turn(&mut self) {
        let now = self.clocks();
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= self.now
        {
            let (from, to, datagram) = entry.remove();
            if let Some(node) = &mut self.nodes[to] {
                node.receive(now, address(from), &datagram);
            }
            self.settle(to);
        }
        for at in 0..NODES {
            if let Some(node) = &mut self.nodes[at]
                && node.next_wake() <= self.now
            {
                node.wake(now);
            }
            self.settle(at);
        }
    }

    /// What happens at the start of a second.
    fn events(&mut self, second: u64) {
        match second {
            5 => self.publish(0, 0..3, 10),
            // More than one datagram holds.
            8..=13 => self.publish(1, 10 * second..11 * second + 300, 3 + second),
            // One dies, and comes back with nothing in memory.
            15 => self.nodes[0] = None,
            17 => self.publish(1, 50..55, 12),
            22 => self.start(0, 200),
            // One leaves in order and comes back.
            35 => {
                let now = self.clocks();
                self.nodes[2].as_mut().expect("runs").leave(now);
                self.settle(2);
                self.nodes[2] = None;
            }
            40 => self.start(2, 300),
            // No majority is left for a while.
            45 => (self.nodes[1], self.nodes[2]) = (None, None),
            50 => {
                self.start(1, 400);
                self.start(2, 400);
            }
            _ => {}
        }
    }

    /// How each node stands.
    fn note_status(&mut self) {
        let now = self.clocks();
        for node in self.nodes.iter().flatten() {
            let board: Vec<&GossipEntry> = node.gossip_store().iter().collect();
            let stands = (
                node.status(now),
                node.members(),
                node.counters(),
                board,
                node.next_wake(),
            );
            self.tape.extend(encode(&stands));
        }
    }

    /// Plays one second and returns what was put out in it.
    fn second(&mut self, second: u64) -> Vec<u8> {
        self.events(second);
        for _ in 0..1000 {
            self.turn();
            self.now += 1;
        }
        self.note_status();
        std::mem::take(&mut self.tape)
    }
}

#[test]
fn a_seeded_run_of_nodes_puts_out_the_same_bytes_as_before() {
    println!("seed {SEED}");
    let mut world = World::new();
    let mut records = Vec::new();
    for second in 0..SECONDS {
        let tape = world.second(second);
        let mut bytes = xxh3_64(&tape).to_le_bytes().to_vec();
        bytes.extend((tape.len() as u64).to_le_bytes());
        records.push(Record::new(format!("second-{second}"), bytes));
    }
    println!("{:?}", world.effects);
    let kinds: Vec<&str> = world.whole.keys().copied().collect();
    let whole = std::mem::take(&mut world.whole).into_values().flatten();
    check("node_datagrams.txt", whole.collect());
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
    let effects: Vec<&str> = world.effects.keys().copied().collect();
    let expected_effects = [
        "datagram", "down", "holds", "minority", "missed", "news", "perform", "renewed", "up",
    ];
    for effect in expected_effects {
        assert!(effects.contains(&effect), "{effect}");
    }
}

#[test]
fn a_member_keeps_its_bytes() {
    let member = Member {
        name: name(1),
        address: address(1),
        alive: true,
        voter: false,
        is_self: true,
    };
    check("member.txt", vec![Record::new("member", encode(&member))]);
}
