//! Compares the encoded bytes of sealed datagrams, greetings and gossip with fixture files. Commit 71566bd wrote the
//! files; writing them again (`WRITE_FIXTURES=1`) would hide a change of the bytes between versions.

#[path = "../../../tests/common/wire_fixtures.rs"]
mod wire_fixtures;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spanspur_membership::authentication::{DatagramKind, MAX_DATAGRAM, OVERHEAD};
use spanspur_membership::{
    DatagramError, HandshakeError, Handshakes, Identity, Key, Keys, Membership, MembershipChange,
    OpenedDatagram, ProbeTiming, Sessions, handshake,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use wire_fixtures::Record;
use xxhash_rust::xxh3::xxh3_64;

const SECRET: &[u8] = b"the secret of this test";
const OTHER_SECRET: &[u8] = b"another secret of this test";

fn keys() -> Keys {
    Keys(vec![Key::new(SECRET), Key::new(OTHER_SECRET)])
}

fn check(file: &str, records: Vec<Record>) -> Vec<Record> {
    wire_fixtures::check(env!("CARGO_MANIFEST_DIR"), file, records)
}

fn encode(value: &impl serde::Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect("encodes")
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, index as u8 + 1], 7000 + index as u16))
}

fn identity(name: &str, address: &str, incarnation: u64, refutations: u32) -> Identity {
    Identity {
        name: name.into(),
        address: address.parse().expect("an address"),
        incarnation,
        refutations,
    }
}

fn identities() -> Vec<Identity> {
    vec![
        identity("", "0.0.0.0:0", 0, 0),
        identity("balancer-1", "127.0.0.1:7000", 1, 2),
        identity("balancer-é", "[::1]:65535", 1_700_000_000_000, 300),
        identity(&"n".repeat(128), "[fd00::1:2]:80", u64::MAX, u32::MAX),
    ]
}

#[test]
fn identities_keep_their_bytes_and_names_their_hashes() {
    let identities = identities();
    let mut records = Vec::new();
    for (index, identity) in identities.iter().enumerate() {
        records.push(Record::new(format!("identity-{index}"), encode(identity)));
    }
    for (index, identity) in identities.iter().enumerate() {
        let hash = handshake::id_of(&identity.name).to_le_bytes();
        records.push(Record::new(format!("hash-{index}"), hash.into()));
    }
    let golden = check("identities.txt", records);
    for (identity, golden) in identities.iter().zip(&golden) {
        let decoded: Identity = postcard::from_bytes(&golden.bytes).expect("decodes");
        assert_eq!(&decoded, identity);
        assert_eq!(encode(&decoded), golden.bytes);
    }
}

const SENDER: u64 = 0x0123_4567_89ab_cdef;
const SENDER_INCARNATION: u64 = 1_700_000_000_123;
const RECEIVER: u64 = u64::MAX;
const RECEIVER_INCARNATION: u64 = 77;

fn sender() -> Sessions {
    Sessions::new(SENDER, SENDER_INCARNATION, keys())
}

fn receiver() -> Sessions {
    Sessions::new(RECEIVER, RECEIVER_INCARNATION, keys())
}

/// A sender and a receiver that know each other's incarnations.
fn pair() -> (Sessions, Sessions) {
    let (mut sender, mut receiver) = (sender(), receiver());
    let to_receiver = sender.seal_answer(RECEIVER_INCARNATION, b"").expect("fits");
    receiver.open(&to_receiver).expect("opens");
    let to_sender = receiver.seal_answer(SENDER_INCARNATION, b"").expect("fits");
    sender.open(&to_sender).expect("opens");
    (sender, receiver)
}

fn bodies() -> Vec<Vec<u8>> {
    let long = (0..MAX_DATAGRAM - OVERHEAD)
        .map(|index| index as u8)
        .collect();
    vec![Vec::new(), b"body".to_vec(), long]
}

#[test]
fn each_kind_of_sealed_datagram_keeps_its_bytes() {
    let (mut sealing, _) = pair();
    let mut records = Vec::new();
    for (index, body) in bodies().iter().enumerate() {
        let greeting = sealing.seal_greeting(body).expect("fits");
        records.push(Record::new(format!("greeting-{index}"), greeting));
        let answer = sealing
            .seal_answer(RECEIVER_INCARNATION, body)
            .expect("fits");
        records.push(Record::new(format!("answer-{index}"), answer));
        for kind in [
            DatagramKind::Data,
            DatagramKind::Answer,
            DatagramKind::Greeting,
        ] {
            let sealed = sealing.seal(RECEIVER, kind, body).expect("fits");
            let name = format!("sealed-{}-{index}", kind as u8);
            records.push(Record::new(name, sealed));
        }
    }
    let golden = check("sealed.txt", records);
    let (_, mut opening) = pair();
    for record in &golden {
        let opened = opening.open(&record.bytes).expect("opens");
        let (kind, index) = record.name.rsplit_once('-').expect("a number");
        let index: usize = index.parse().expect("a number");
        let expected = OpenedDatagram {
            kind: match kind {
                "greeting" | "sealed-0" => DatagramKind::Greeting,
                "answer" | "sealed-1" => DatagramKind::Answer,
                _ => DatagramKind::Data,
            },
            sender: SENDER,
            incarnation: SENDER_INCARNATION,
            is_new_incarnation: false,
            body: &bodies()[index],
        };
        assert_eq!(opened, expected, "{}", record.name);
    }
    // Datagrams are sealed with the first key: a receiver that has only the second key rejects them.
    let only_second = Keys(vec![Key::new(OTHER_SECRET)]);
    let mut other = Sessions::new(RECEIVER, RECEIVER_INCARNATION, only_second);
    let rejected = other.open(&golden[0].bytes).map(|_| ());
    assert_eq!(rejected, Err(DatagramError::InvalidTag));
}

#[test]
fn the_keys_of_secrets_keep_their_authentication_codes() {
    let secrets: [&[u8]; 4] = [b"", b"sixteen bytes it", SECRET, &[0xff; 64]];
    let records = secrets.iter().enumerate().map(|(index, secret)| {
        let sessions = Sessions::new(1, 2, Keys(vec![Key::new(secret)]));
        let sealed = sessions.seal_greeting(b"key").expect("fits");
        Record::new(format!("key-{index}"), sealed)
    });
    check("keys.txt", records.collect());
}

#[test]
fn counter_names_of_datagram_errors_do_not_change() {
    let names = [
        (DatagramError::InvalidSize, "size"),
        (DatagramError::UnsupportedVersion, "version"),
        (DatagramError::InvalidTag, "forged"),
        (DatagramError::Replayed, "replay"),
        (DatagramError::OtherIncarnation, "other-run"),
        (DatagramError::TooManySenders, "full"),
    ];
    for (error, name) in names {
        assert_eq!(error.counter_name(), name);
    }
}

/// A record of a datagram, without bytes if none is sent.
fn optional_record(name: &str, bytes: Option<Vec<u8>>) -> Record {
    Record::new(name, bytes.unwrap_or_default())
}

#[test]
fn greetings_and_answers_keep_their_bytes_and_their_rate_limits() {
    let own_identity = identity("balancer-1", "127.0.0.1:7000", SENDER_INCARNATION, 0);
    let sessions = Sessions::new(
        handshake::id_of(&own_identity.name),
        own_identity.incarnation,
        keys(),
    );
    let mut handshakes = Handshakes::new(2);
    let mut records = Vec::new();
    for now in [0, 99, 100, 150, 200, 10_000] {
        let one = handshakes.build_greeting(now, &sessions, &own_identity, address(1));
        records.push(optional_record(&format!("greet-{now}"), one));
        let other = handshakes.build_greeting(now + 1, &sessions, &own_identity, address(2));
        records.push(optional_record(&format!("greet-other-{now}"), other));
    }
    for (index, now) in [0, 1, 2, 999, 1000, 1001, 1002].into_iter().enumerate() {
        let answer = handshakes.build_answer(now, &sessions, &own_identity, RECEIVER_INCARNATION);
        records.push(optional_record(&format!("answer-{index}"), answer));
    }
    let golden = check("greetings.txt", records);
    let mut opening = receiver();
    for record in golden.iter().filter(|record| !record.bytes.is_empty()) {
        let opened = opening.open(&record.bytes).expect("opens");
        let identity = handshake::verify_identity(&opened, "balancer-2");
        assert_eq!(identity.as_ref(), Ok(&own_identity), "{}", record.name);
        assert_eq!(
            handshake::verify_identity(&opened, "balancer-1").map_err(HandshakeError::counter_name),
            Err("own-name")
        );
    }
    let mut invalid = OpenedDatagram {
        kind: DatagramKind::Greeting,
        sender: 1,
        incarnation: 1,
        is_new_incarnation: true,
        body: b"\xff",
    };
    assert_eq!(
        handshake::verify_identity(&invalid, "balancer-2").map_err(HandshakeError::counter_name),
        Err("garbled")
    );
    let encoded = encode(&own_identity);
    invalid.body = &encoded;
    assert_eq!(
        handshake::verify_identity(&invalid, "balancer-2").map_err(HandshakeError::counter_name),
        Err("garbled")
    );
}

const GOSSIP_SEED: u64 = 72;
const MEMBERS: usize = 5;
const GOSSIP_SECONDS: u64 = 60;
const GOSSIP_LOSS: f64 = 0.1;
/// The first messages are recorded in full; the later ones only as part of the hash of each second.
const FULL_MESSAGES: usize = 60;

/// A simulation of members whose messages are delayed and lost at random, from a fixed seed.
struct GossipSimulation {
    now: u64,
    random: ChaCha8Rng,
    members: Vec<Option<Membership>>,
    queue: BTreeMap<(u64, u64), (usize, Vec<u8>)>,
    sent: u64,
    full_messages: Vec<Record>,
    /// Members that can neither send nor receive.
    isolated: BTreeSet<usize>,
    /// Number of membership changes by kind: up, down, refuted.
    changes: [u64; 3],
    /// All outputs of the current second, encoded.
    recorded: Vec<u8>,
}

impl GossipSimulation {
    fn new() -> Self {
        let mut simulation = Self {
            now: 0,
            random: ChaCha8Rng::seed_from_u64(GOSSIP_SEED),
            members: (0..MEMBERS).map(|_| None).collect(),
            queue: BTreeMap::new(),
            sent: 0,
            full_messages: Vec::new(),
            isolated: BTreeSet::new(),
            changes: [0; 3],
            recorded: Vec::new(),
        };
        (0..MEMBERS).for_each(|index| simulation.start(index, 100));
        simulation
    }

    fn identity(index: usize, incarnation: u64) -> Identity {
        Identity {
            name: format!("member-{index}"),
            address: address(index),
            incarnation,
            refutations: 0,
        }
    }

    fn start(&mut self, index: usize, incarnation: u64) {
        let timing = ProbeTiming {
            probe_interval: Duration::from_millis(500),
            ack_timeout: Duration::from_millis(150),
            suspicion_timeout: Duration::from_millis(1000),
        };
        let own_identity = Self::identity(index, incarnation);
        let seed = GOSSIP_SEED + index as u64 + incarnation;
        self.members[index] = Some(Membership::new(own_identity, timing, seed));
    }

    fn join(&mut self, index: usize, through: usize, incarnation: u64) {
        let now = self.now;
        let through = Self::identity(through, incarnation);
        let member = self.members[index].as_mut().expect("runs");
        member.join(now, through);
    }

    fn record(&mut self, value: &impl serde::Serialize) {
        self.recorded.extend(encode(value));
    }

    /// Records a member's outputs and sends its messages.
    fn process_outputs(&mut self, index: usize) {
        let Some(member) = &mut self.members[index] else {
            return;
        };
        let (changes, sends) = (member.take_changes(), member.take_messages());
        for change in changes {
            let (kind, identity) = match change {
                MembershipChange::Up(identity) => (0, identity),
                MembershipChange::Down(identity) => (1, identity),
                MembershipChange::Refuted(identity) => (2, identity),
            };
            self.changes[kind] += 1;
            self.record(&(self.now, index, kind as u8, identity));
        }
        for (recipient, bytes) in sends {
            self.record(&(self.now, index, 3u8, &recipient, &bytes));
            self.sent += 1;
            if self.full_messages.len() < FULL_MESSAGES {
                let name = format!("{}-{index}-{}", self.now, recipient.name);
                self.full_messages.push(Record::new(name, bytes.clone()));
            }
            let to = (0..MEMBERS).find(|to| address(*to) == recipient.address);
            self.send(index, to.expect("known"), bytes);
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let lost = self.random.random_bool(GOSSIP_LOSS);
        let arrival = self.now + self.random.random_range(1..=20);
        if !lost && !self.isolated.contains(&from) && !self.isolated.contains(&to) {
            self.queue.insert((arrival, self.sent), (to, bytes));
        }
    }

    /// Delivers the messages that have arrived and wakes the members that are due, for the current millisecond.
    fn run_millisecond(&mut self) {
        let now = self.now;
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= now
        {
            let (to, bytes) = entry.remove();
            if let Some(member) = &mut self.members[to] {
                member.receive(now, &bytes);
            }
            self.process_outputs(to);
        }
        for index in 0..MEMBERS {
            if let Some(member) = &mut self.members[index]
                && member.next_wake().is_some_and(|wake| wake <= now)
            {
                member.wake(now);
            }
            self.process_outputs(index);
        }
    }

    /// Applies the events that are scheduled for the start of a second.
    fn apply_events(&mut self, second: u64) {
        match second {
            0 => (1..MEMBERS).for_each(|index| self.join(index, index - 1, 100)),
            // A member crashes and restarts.
            10 => self.members[2] = None,
            18 => {
                self.start(2, 200);
                self.join(2, 0, 100);
            }
            // A member is isolated for so long that the others declare it down.
            25 => self.isolated.extend([3]),
            31 => self.isolated.clear(),
            // A member leaves and joins again.
            40 => {
                let now = self.now;
                self.members[4].as_mut().expect("runs").leave(now);
                self.process_outputs(4);
                self.members[4] = None;
            }
            45 => {
                self.start(4, 300);
                self.join(4, 1, 100);
            }
            _ => {}
        }
    }

    /// Runs one second and returns its recorded outputs.
    fn run_second(&mut self, second: u64) -> Vec<u8> {
        self.apply_events(second);
        for _ in 0..1000 {
            self.run_millisecond();
            self.now += 1;
        }
        for index in 0..MEMBERS {
            if let Some(member) = &self.members[index] {
                let alive: Vec<Identity> = member.alive().values().cloned().collect();
                let (own_identity, next_wake) = (member.own_identity().clone(), member.next_wake());
                let rejected = member.rejected;
                self.record(&(index, alive, own_identity, next_wake, rejected));
            }
        }
        std::mem::take(&mut self.recorded)
    }
}

#[test]
fn a_seeded_gossip_simulation_matches_the_fixtures() {
    println!("seed {GOSSIP_SEED}");
    let mut simulation = GossipSimulation::new();
    let mut records = Vec::new();
    for second in 0..GOSSIP_SECONDS {
        let recorded = simulation.run_second(second);
        let mut bytes = xxh3_64(&recorded).to_le_bytes().to_vec();
        bytes.extend((recorded.len() as u64).to_le_bytes());
        records.push(Record::new(format!("second-{second}"), bytes));
    }
    println!(
        "{} messages; changes up, down, refuted: {:?}",
        simulation.sent, simulation.changes
    );
    let full_messages = std::mem::take(&mut simulation.full_messages);
    check("gossip_messages.txt", full_messages);
    check("gossip_seconds.txt", records);
    assert!(
        simulation.changes.iter().all(|count| *count > 0),
        "the simulation has to cover each kind of membership change"
    );
}
