//! Sealed datagrams, greetings and gossip in their bytes, compared with fixture files. Written by the tree at 71566bd;
//! rewriting them (`WRITE_FIXTURES=1`) hides a change of the bytes between versions.

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

fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, at as u8 + 1], 7000 + at as u16))
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
    for (at, who) in identities.iter().enumerate() {
        records.push(Record::new(format!("identity-{at}"), encode(who)));
    }
    for (at, who) in identities.iter().enumerate() {
        let hash = handshake::id_of(&who.name).to_le_bytes();
        records.push(Record::new(format!("hash-{at}"), hash.into()));
    }
    let golden = check("identities.txt", records);
    for (who, golden) in identities.iter().zip(&golden) {
        let decoded: Identity = postcard::from_bytes(&golden.bytes).expect("decodes");
        assert_eq!(&decoded, who);
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

/// Two ends that have proved their incarnations to each other.
fn pair() -> (Sessions, Sessions) {
    let (mut sender, mut receiver) = (sender(), receiver());
    let there = sender.seal_answer(RECEIVER_INCARNATION, b"").expect("fits");
    receiver.open(&there).expect("holds");
    let back = receiver.seal_answer(SENDER_INCARNATION, b"").expect("fits");
    sender.open(&back).expect("holds");
    (sender, receiver)
}

fn bodies() -> Vec<Vec<u8>> {
    let long = (0..MAX_DATAGRAM - OVERHEAD).map(|at| at as u8).collect();
    vec![Vec::new(), b"body".to_vec(), long]
}

#[test]
fn each_kind_of_sealed_datagram_keeps_its_bytes() {
    let (mut sealing, _) = pair();
    let mut records = Vec::new();
    for (at, body) in bodies().iter().enumerate() {
        let greeting = sealing.seal_greeting(body).expect("fits");
        records.push(Record::new(format!("greeting-{at}"), greeting));
        let answer = sealing
            .seal_answer(RECEIVER_INCARNATION, body)
            .expect("fits");
        records.push(Record::new(format!("answer-{at}"), answer));
        for kind in [
            DatagramKind::Data,
            DatagramKind::Answer,
            DatagramKind::Greeting,
        ] {
            let sealed = sealing.seal(RECEIVER, kind, body).expect("fits");
            let name = format!("sealed-{}-{at}", kind as u8);
            records.push(Record::new(name, sealed));
        }
    }
    let golden = check("sealed.txt", records);
    let (_, mut opening) = pair();
    for record in &golden {
        let opened = opening.open(&record.bytes).expect("holds");
        let (kind, at) = record.name.rsplit_once('-').expect("a number");
        let at: usize = at.parse().expect("a number");
        let expected = OpenedDatagram {
            kind: match kind {
                "greeting" | "sealed-0" => DatagramKind::Greeting,
                "answer" | "sealed-1" => DatagramKind::Answer,
                _ => DatagramKind::Data,
            },
            sender: SENDER,
            incarnation: SENDER_INCARNATION,
            is_new_incarnation: false,
            body: &bodies()[at],
        };
        assert_eq!(opened, expected, "{}", record.name);
    }
    // The second key opens what the first does not.
    let only_second = Keys(vec![Key::new(OTHER_SECRET)]);
    let mut other = Sessions::new(RECEIVER, RECEIVER_INCARNATION, only_second);
    let refused = other.open(&golden[0].bytes).map(|_| ());
    assert_eq!(refused, Err(DatagramError::InvalidTag));
}

#[test]
fn the_keys_of_secrets_keep_their_authentication_codes() {
    let secrets: [&[u8]; 4] = [b"", b"sixteen bytes it", SECRET, &[0xff; 64]];
    let records = secrets.iter().enumerate().map(|(at, secret)| {
        let sessions = Sessions::new(1, 2, Keys(vec![Key::new(secret)]));
        let sealed = sessions.seal_greeting(b"key").expect("fits");
        Record::new(format!("key-{at}"), sealed)
    });
    check("keys.txt", records.collect());
}

#[test]
fn the_counter_names_of_datagram_errors_stay() {
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

/// What is sent, or that nothing is.
fn optional(name: &str, bytes: Option<Vec<u8>>) -> Record {
    Record::new(name, bytes.unwrap_or_default())
}

#[test]
fn greetings_and_answers_keep_their_bytes_and_their_rate_limits() {
    let me = identity("balancer-1", "127.0.0.1:7000", SENDER_INCARNATION, 0);
    let sessions = Sessions::new(handshake::id_of(&me.name), me.incarnation, keys());
    let mut handshakes = Handshakes::new(2);
    let mut records = Vec::new();
    for now in [0, 99, 100, 150, 200, 10_000] {
        let one = handshakes.build_greeting(now, &sessions, &me, address(1));
        records.push(optional(&format!("greet-{now}"), one));
        let other = handshakes.build_greeting(now + 1, &sessions, &me, address(2));
        records.push(optional(&format!("greet-other-{now}"), other));
    }
    for (at, now) in [0, 1, 2, 999, 1000, 1001, 1002].into_iter().enumerate() {
        let answer = handshakes.build_answer(now, &sessions, &me, RECEIVER_INCARNATION);
        records.push(optional(&format!("answer-{at}"), answer));
    }
    let golden = check("greetings.txt", records);
    let mut opening = receiver();
    for record in golden.iter().filter(|record| !record.bytes.is_empty()) {
        let opened = opening.open(&record.bytes).expect("holds");
        let who = handshake::verify_identity(&opened, "balancer-2");
        assert_eq!(who.as_ref(), Ok(&me), "{}", record.name);
        assert_eq!(
            handshake::verify_identity(&opened, "balancer-1").map_err(HandshakeError::counter_name),
            Err("own-name")
        );
    }
    let mut strange = OpenedDatagram {
        kind: DatagramKind::Greeting,
        sender: 1,
        incarnation: 1,
        is_new_incarnation: true,
        body: b"\xff",
    };
    assert_eq!(
        handshake::verify_identity(&strange, "balancer-2").map_err(HandshakeError::counter_name),
        Err("garbled")
    );
    let encoded = encode(&me);
    strange.body = &encoded;
    assert_eq!(
        handshake::verify_identity(&strange, "balancer-2").map_err(HandshakeError::counter_name),
        Err("garbled")
    );
}

const GOSSIP_SEED: u64 = 72;
const MEMBERS: usize = 5;
const GOSSIP_SECONDS: u64 = 60;
const GOSSIP_LOSS: f64 = 0.1;
/// Of the first messages the bytes themselves are kept, of the rest a hash for each second.
const WHOLE_MESSAGES: usize = 60;

/// Members whose gossip takes a while and is lost by a seeded chance.
struct Gossip {
    now: u64,
    random: ChaCha8Rng,
    members: Vec<Option<Membership>>,
    queue: BTreeMap<(u64, u64), (usize, Vec<u8>)>,
    sent: u64,
    whole: Vec<Record>,
    /// Members that nothing reaches and that reach nobody.
    cut: BTreeSet<usize>,
    /// Who came, who went, and who refuted.
    changes: [u64; 3],
    /// All that was put out in this second.
    tape: Vec<u8>,
}

impl Gossip {
    fn new() -> Self {
        let mut gossip = Self {
            now: 0,
            random: ChaCha8Rng::seed_from_u64(GOSSIP_SEED),
            members: (0..MEMBERS).map(|_| None).collect(),
            queue: BTreeMap::new(),
            sent: 0,
            whole: Vec::new(),
            cut: BTreeSet::new(),
            changes: [0; 3],
            tape: Vec::new(),
        };
        (0..MEMBERS).for_each(|at| gossip.start(at, 100));
        gossip
    }

    fn identity(at: usize, incarnation: u64) -> Identity {
        Identity {
            name: format!("member-{at}"),
            address: address(at),
            incarnation,
            refutations: 0,
        }
    }

    fn start(&mut self, at: usize, incarnation: u64) {
        let timing = ProbeTiming {
            probe_interval: Duration::from_millis(500),
            ack_timeout: Duration::from_millis(150),
            suspicion_timeout: Duration::from_millis(1000),
        };
        let me = Self::identity(at, incarnation);
        let seed = GOSSIP_SEED + at as u64 + incarnation;
        self.members[at] = Some(Membership::new(me, timing, seed));
    }

    fn join(&mut self, at: usize, over: usize, incarnation: u64) {
        let now = self.now;
        let over = Self::identity(over, incarnation);
        let member = self.members[at].as_mut().expect("runs");
        member.join(now, over);
    }

    fn note(&mut self, value: &impl serde::Serialize) {
        self.tape.extend(encode(value));
    }

    fn settle(&mut self, at: usize) {
        let Some(member) = &mut self.members[at] else {
            return;
        };
        let (changes, sends) = (member.take_changes(), member.take_messages());
        for change in changes {
            let (kind, who) = match change {
                MembershipChange::Up(who) => (0, who),
                MembershipChange::Down(who) => (1, who),
                MembershipChange::Refuted(who) => (2, who),
            };
            self.changes[kind] += 1;
            self.note(&(self.now, at, kind as u8, who));
        }
        for (who, bytes) in sends {
            self.note(&(self.now, at, 3u8, &who, &bytes));
            self.sent += 1;
            if self.whole.len() < WHOLE_MESSAGES {
                let name = format!("{}-{at}-{}", self.now, who.name);
                self.whole.push(Record::new(name, bytes.clone()));
            }
            let to = (0..MEMBERS).find(|to| address(*to) == who.address);
            self.send(at, to.expect("known"), bytes);
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let lost = self.random.random_bool(GOSSIP_LOSS);
        let arrival = self.now + self.random.random_range(1..=20);
        if !lost && !self.cut.contains(&from) && !self.cut.contains(&to) {
            self.queue.insert((arrival, self.sent), (to, bytes));
        }
    }

    fn turn(&mut self) {
        let now = self.now;
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= now
        {
            let (to, bytes) = entry.remove();
            if let Some(member) = &mut self.members[to] {
                member.receive(now, &bytes);
            }
            self.settle(to);
        }
        for at in 0..MEMBERS {
            if let Some(member) = &mut self.members[at]
                && member.next_wake().is_some_and(|wake| wake <= now)
            {
                member.wake(now);
            }
            self.settle(at);
        }
    }

    /// What happens at the start of a second.
    fn events(&mut self, second: u64) {
        match second {
            0 => (1..MEMBERS).for_each(|at| self.join(at, at - 1, 100)),
            // One dies and comes back.
            10 => self.members[2] = None,
            18 => {
                self.start(2, 200);
                self.join(2, 0, 100);
            }
            // One is cut off for so long that the others hold it for down.
            25 => self.cut.extend([3]),
            31 => self.cut.clear(),
            // One leaves and comes back.
            40 => {
                let now = self.now;
                self.members[4].as_mut().expect("runs").leave(now);
                self.settle(4);
                self.members[4] = None;
            }
            45 => {
                self.start(4, 300);
                self.join(4, 1, 100);
            }
            _ => {}
        }
    }

    /// Plays one second and returns what was put out in it.
    fn second(&mut self, second: u64) -> Vec<u8> {
        self.events(second);
        for _ in 0..1000 {
            self.turn();
            self.now += 1;
        }
        for at in 0..MEMBERS {
            if let Some(member) = &self.members[at] {
                let alive: Vec<Identity> = member.alive().values().cloned().collect();
                let (me, wake) = (member.own_identity().clone(), member.next_wake());
                let rejected = member.rejected;
                self.note(&(at, alive, me, wake, rejected));
            }
        }
        std::mem::take(&mut self.tape)
    }
}

#[test]
fn a_seeded_exchange_of_gossip_puts_out_the_same_bytes_as_before() {
    println!("seed {GOSSIP_SEED}");
    let mut gossip = Gossip::new();
    let mut records = Vec::new();
    for second in 0..GOSSIP_SECONDS {
        let tape = gossip.second(second);
        let mut bytes = xxh3_64(&tape).to_le_bytes().to_vec();
        bytes.extend((tape.len() as u64).to_le_bytes());
        records.push(Record::new(format!("second-{second}"), bytes));
    }
    println!("{} messages, changes {:?}", gossip.sent, gossip.changes);
    check("gossip_messages.txt", std::mem::take(&mut gossip.whole));
    check("gossip_seconds.txt", records);
    assert!(gossip.changes.iter().all(|count| *count > 0), "each kind");
}
