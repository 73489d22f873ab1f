//! A few sources and followers in virtual time: datagrams take a while, are lost or doubled by a seeded chance, and
//! ends are cut off, frozen or started again.
#![allow(dead_code)]

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spanspur_distribution::{
    Entry, Event, Follower, FollowerConfig, Limits, Location, Millis, Output, PollSchedule, Source,
    SourceConfig, SourceEndpoint,
};
use spanspur_membership::{Identity, Key, Keys};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

pub const SECRET: &[u8] = b"the secret of this test";

pub fn keys() -> Keys {
    Keys(vec![Key::new(SECRET)])
}

pub fn source_at(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 1, i as u8], 7000))
}

pub fn follower_at(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (i / 250) as u8, (i % 250) as u8], 7000))
}

pub fn identity(name: &str, address: SocketAddr, boot: u64) -> Identity {
    Identity {
        name: name.into(),
        address,
        incarnation: boot,
        refutations: 0,
    }
}

/// Spreads evenly; the balancer passes its own in.
pub fn score(a: u64, b: u64) -> f64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&a.to_le_bytes());
    bytes[8..].copy_from_slice(&b.to_le_bytes());
    xxhash_rust::xxh3::xxh3_64(&bytes) as f64
}

/// An entry of about the size of a server's row.
pub fn entry(key: u64, version: u64) -> Entry {
    let mut value = format!("row {key} in version {version} ").into_bytes();
    value.resize(90, b'.');
    Entry {
        key,
        version,
        value,
    }
}

pub fn entries(keys: std::ops::Range<u64>, version: u64) -> Vec<Entry> {
    keys.map(|key| entry(key, version)).collect()
}

/// What was seen at a follower.
#[derive(Default)]
pub struct Seen {
    /// The version last changed to, by key: it only grows.
    pub versions: BTreeMap<u64, u64>,
    /// Versions that went back.
    pub backwards: u64,
    pub events: Vec<(Millis, Event)>,
}

impl Seen {
    pub fn changed(&mut self, entry: &Entry) {
        let before = self.versions.insert(entry.key, entry.version);
        self.backwards += u64::from(before >= Some(entry.version));
    }
}

/// A datagram: when it was sent, by whom, to whom.
pub type Sent = (Millis, SocketAddr, SocketAddr, Vec<u8>);

pub struct Net {
    pub now: Millis,
    pub rng: ChaCha8Rng,
    pub sources: Vec<Source>,
    pub followers: Vec<Follower>,
    pub seen: Vec<Seen>,
    pub limits: Limits,
    pub places: Vec<Location>,
    /// One way, and the chance that a datagram is lost, or comes twice.
    pub delay: Millis,
    pub jitter: Millis,
    pub loss: f64,
    pub doubling: f64,
    /// Ends whose datagrams are lost, and ends that stand still: what comes to them waits.
    pub cut: BTreeSet<SocketAddr>,
    pub frozen: BTreeSet<SocketAddr>,
    queue: BTreeMap<(Millis, u64), (SocketAddr, SocketAddr, Vec<u8>)>,
    count: u64,
    /// Bytes and datagrams sent, by sender.
    pub sent: BTreeMap<SocketAddr, (u64, u64)>,
    /// When each datagram of more than 300 bytes left a source.
    pub pieces: Vec<(Millis, SocketAddr)>,
    /// All datagrams, where they are kept.
    pub tape: Option<Vec<Sent>>,
    /// Sources that are heard of the writer all the time.
    pub fresh: BTreeSet<usize>,
}

impl Net {
    pub fn new(seed: u64, places: &[Location]) -> Self {
        println!("seed {seed}");
        let mut net = Self {
            now: 1000,
            rng: ChaCha8Rng::seed_from_u64(seed),
            sources: Vec::new(),
            followers: Vec::new(),
            seen: Vec::new(),
            limits: Limits::default(),
            places: places.to_vec(),
            delay: 5,
            jitter: 2,
            loss: 0.0,
            doubling: 0.0,
            cut: BTreeSet::new(),
            frozen: BTreeSet::new(),
            queue: BTreeMap::new(),
            count: 0,
            sent: BTreeMap::new(),
            pieces: Vec::new(),
            tape: None,
            fresh: (0..places.len()).collect(),
        };
        for i in 0..places.len() {
            let source = net.fresh_source(i, 100);
            net.sources.push(source);
        }
        net
    }

    /// A source that has just started, in this run.
    pub fn fresh_source(&self, i: usize, boot: u64) -> Source {
        let setup = SourceConfig {
            identity: identity(&format!("control-{i}"), source_at(i), boot),
            keys: keys(),
            limits: self.limits,
            seed: boot,
        };
        Source::new(self.now, setup)
    }

    pub fn restart_source(&mut self, i: usize, boot: u64) {
        self.sources[i] = self.fresh_source(i, boot);
    }

    pub fn fresh_follower(&mut self, i: usize, place: Location, boot: u64) -> Follower {
        let at = |(i, place): (usize, &Location)| SourceEndpoint {
            name: format!("control-{i}"),
            address: source_at(i),
            location: *place,
        };
        let setup = FollowerConfig {
            identity: identity(&format!("balancer-{i}"), follower_at(i), boot),
            location: place,
            sources: self.places.iter().enumerate().map(at).collect(),
            keys: keys(),
            score,
            schedule: PollSchedule::default(),
            seed: self.rng.random(),
        };
        Follower::new(self.now, setup)
    }

    /// One more follower; its number.
    pub fn follow(&mut self, place: Location) -> usize {
        let i = self.followers.len();
        let follower = self.fresh_follower(i, place, 100);
        self.followers.push(follower);
        self.seen.push(Seen::default());
        i
    }

    pub fn publish(&mut self, source: usize, entries: &[Entry]) {
        self.sources[source].publish(self.now, entries);
        self.sources[source].confirm_complete(self.now);
    }

    pub fn publish_all(&mut self, entries: &[Entry]) {
        (0..self.sources.len()).for_each(|i| self.publish(i, entries));
    }

    /// Gives a datagram to the net, as if an end had sent it.
    pub fn send(&mut self, from: SocketAddr, to: SocketAddr, bytes: Vec<u8>) {
        let sent = self.sent.entry(from).or_default();
        *sent = (sent.0 + bytes.len() as u64, sent.1 + 1);
        if bytes.len() > 300 && from.ip().to_string().starts_with("127.0.1.") {
            self.pieces.push((self.now, from));
        }
        if let Some(tape) = &mut self.tape {
            tape.push((self.now, from, to, bytes.clone()));
        }
        if self.cut.contains(&from) || self.cut.contains(&to) || self.rng.random_bool(self.loss) {
            return;
        }
        let copies = 1 + u64::from(self.rng.random_bool(self.doubling));
        for _ in 0..copies {
            self.count += 1;
            let at = self.now + self.delay + self.rng.random_range(0..=self.jitter);
            self.queue
                .insert((at, self.count), (from, to, bytes.clone()));
        }
    }

    fn settle(&mut self) {
        for i in 0..self.sources.len() {
            for effect in self.sources[i].take_outputs() {
                if let Output::Datagram(to, bytes) = effect {
                    self.send(source_at(i), to, bytes);
                }
            }
        }
        for i in 0..self.followers.len() {
            for effect in self.followers[i].take_outputs() {
                match effect {
                    Output::Datagram(to, bytes) => self.send(follower_at(i), to, bytes),
                    Output::EntryUpdated(entry) => {
                        self.seen[i].changed(&entry);
                    }
                    Output::Event(event) => self.seen[i].events.push((self.now, event)),
                }
            }
        }
    }

    /// Plays on for so long.
    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        loop {
            self.settle();
            let frozen = &self.frozen;
            let awake = |at: SocketAddr| !frozen.contains(&at);
            let sources = self.sources.iter().enumerate();
            let followers = self.followers.iter().enumerate();
            let wakes = sources
                .filter(|(i, _)| awake(source_at(*i)))
                .map(|(_, s)| s.next_wake());
            let others = followers
                .filter(|(i, _)| awake(follower_at(*i)))
                .map(|(_, f)| f.next_wake());
            let wake = wakes.chain(others).min().unwrap_or(Millis::MAX);
            let coming = self.queue.iter().find(|(_, (_, to, _))| awake(*to));
            let coming = coming.map(|(key, _)| *key);
            let next = wake.min(coming.map_or(Millis::MAX, |(at, _)| at));
            if next > end {
                break;
            }
            self.now = self.now.max(next);
            for i in &self.fresh {
                self.sources[*i].confirm_complete(self.now);
            }
            if let Some(key) = coming.filter(|(at, _)| *at <= self.now) {
                let (from, to, bytes) = self.queue.remove(&key).expect("queued");
                if self.cut.contains(&from) || self.cut.contains(&to) {
                    continue;
                }
                self.deliver(from, to, &bytes);
                continue;
            }
            for i in 0..self.sources.len() {
                if !self.frozen.contains(&source_at(i)) && self.sources[i].next_wake() <= self.now {
                    self.sources[i].wake(self.now);
                }
            }
            for i in 0..self.followers.len() {
                if !self.frozen.contains(&follower_at(i))
                    && self.followers[i].next_wake() <= self.now
                {
                    self.followers[i].wake(self.now);
                }
            }
        }
        self.now = end;
        for i in &self.fresh {
            self.sources[*i].confirm_complete(self.now);
        }
    }

    /// Gives a datagram to the end that it is for.
    pub fn deliver(&mut self, from: SocketAddr, to: SocketAddr, bytes: &[u8]) {
        let now = self.now;
        if let Some(i) = (0..self.sources.len()).find(|i| source_at(*i) == to) {
            self.sources[i].receive(now, from, bytes);
        } else if let Some(i) = (0..self.followers.len()).find(|i| follower_at(*i) == to) {
            self.followers[i].receive(now, from, bytes);
        }
    }

    /// Bytes that sources have sent so far.
    pub fn source_bytes(&self) -> u64 {
        (0..self.sources.len())
            .map(|i| self.sent.get(&source_at(i)).map_or(0, |sent| sent.0))
            .sum()
    }

    pub fn backwards(&self) -> u64 {
        self.seen.iter().map(|seen| seen.backwards).sum()
    }

    /// Whether a follower holds exactly what a source holds.
    pub fn same(&self, follower: usize, source: usize) -> bool {
        let (ours, theirs) = (
            self.followers[follower].store(),
            self.sources[source].store(),
        );
        ours.root_hash() == theirs.root_hash() && ours.iter().eq(theirs.iter())
    }
}

pub const HERE: Location = Location { zone: 1, region: 1 };
pub const NEAR: Location = Location { zone: 2, region: 1 };
pub const FAR: Location = Location { zone: 3, region: 2 };
