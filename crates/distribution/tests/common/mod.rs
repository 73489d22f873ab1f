//! A simulation of a few sources and followers in virtual time. Datagrams are delayed, and lost or duplicated at
//! random with a seed. Instances can be isolated, paused and restarted.
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

pub fn source_address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 1, i as u8], 7000))
}

pub fn follower_address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (i / 250) as u8, (i % 250) as u8], 7000))
}

pub fn identity(name: &str, address: SocketAddr, incarnation: u64) -> Identity {
    Identity {
        name: name.into(),
        address,
        incarnation,
        refutations: 0,
    }
}

/// A score that spreads followers evenly. The balancer passes a score of its own.
pub fn score(a: u64, b: u64) -> f64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&a.to_le_bytes());
    bytes[8..].copy_from_slice(&b.to_le_bytes());
    xxhash_rust::xxh3::xxh3_64(&bytes) as f64
}

/// An entry of about the size that a stream server's entry has.
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

/// The outputs of a follower, as the simulation has observed them.
#[derive(Default)]
pub struct Observations {
    /// The version of the last update of each key.
    pub versions: BTreeMap<u64, u64>,
    /// The number of updates whose version was not higher than the previous one.
    pub version_regressions: u64,
    pub events: Vec<(Millis, Event)>,
}

impl Observations {
    pub fn record_update(&mut self, entry: &Entry) {
        let before = self.versions.insert(entry.key, entry.version);
        self.version_regressions += u64::from(before >= Some(entry.version));
    }
}

/// A sent datagram: the time, the sender, the recipient and the bytes.
pub type SentDatagram = (Millis, SocketAddr, SocketAddr, Vec<u8>);

pub struct Simulation {
    pub now: Millis,
    pub rng: ChaCha8Rng,
    pub sources: Vec<Source>,
    pub followers: Vec<Follower>,
    pub observations: Vec<Observations>,
    pub limits: Limits,
    pub source_locations: Vec<Location>,
    /// The one-way latency.
    pub delay: Millis,
    /// The most that is added to the latency at random.
    pub jitter: Millis,
    /// The probability that a datagram is lost.
    pub loss: f64,
    /// The probability that a datagram is delivered twice.
    pub duplication: f64,
    /// Addresses to and from which all datagrams are lost.
    pub isolated: BTreeSet<SocketAddr>,
    /// Addresses of instances that do not run: datagrams to them wait.
    pub paused: BTreeSet<SocketAddr>,
    /// Datagrams in transit, by their time of arrival and a number that makes the key unique.
    in_transit: BTreeMap<(Millis, u64), (SocketAddr, SocketAddr, Vec<u8>)>,
    transmissions: u64,
    /// The bytes and datagrams sent, by sender.
    pub sent: BTreeMap<SocketAddr, (u64, u64)>,
    /// The time and sender of each datagram of more than 300 bytes from a source.
    pub large_datagrams: Vec<(Millis, SocketAddr)>,
    /// All sent datagrams, if they are captured.
    pub capture: Option<Vec<SentDatagram>>,
    /// Sources that hear from a writer all the time.
    pub sources_with_writer: BTreeSet<usize>,
}

impl Simulation {
    pub fn new(seed: u64, source_locations: &[Location]) -> Self {
        println!("seed {seed}");
        let mut sim = Self {
            now: 1000,
            rng: ChaCha8Rng::seed_from_u64(seed),
            sources: Vec::new(),
            followers: Vec::new(),
            observations: Vec::new(),
            limits: Limits::default(),
            source_locations: source_locations.to_vec(),
            delay: 5,
            jitter: 2,
            loss: 0.0,
            duplication: 0.0,
            isolated: BTreeSet::new(),
            paused: BTreeSet::new(),
            in_transit: BTreeMap::new(),
            transmissions: 0,
            sent: BTreeMap::new(),
            large_datagrams: Vec::new(),
            capture: None,
            sources_with_writer: (0..source_locations.len()).collect(),
        };
        for i in 0..source_locations.len() {
            let source = sim.new_source(i, 100);
            sim.sources.push(source);
        }
        sim
    }

    /// A newly started source of this incarnation.
    pub fn new_source(&self, i: usize, incarnation: u64) -> Source {
        let config = SourceConfig {
            identity: identity(&format!("control-{i}"), source_address(i), incarnation),
            keys: keys(),
            limits: self.limits,
            seed: incarnation,
        };
        Source::new(self.now, config)
    }

    pub fn restart_source(&mut self, i: usize, incarnation: u64) {
        self.sources[i] = self.new_source(i, incarnation);
    }

    pub fn new_follower(&mut self, i: usize, location: Location, incarnation: u64) -> Follower {
        let endpoint = |(i, location): (usize, &Location)| SourceEndpoint {
            name: format!("control-{i}"),
            address: source_address(i),
            location: *location,
        };
        let config = FollowerConfig {
            identity: identity(&format!("balancer-{i}"), follower_address(i), incarnation),
            location,
            sources: self
                .source_locations
                .iter()
                .enumerate()
                .map(endpoint)
                .collect(),
            keys: keys(),
            score,
            schedule: PollSchedule::default(),
            seed: self.rng.random(),
        };
        Follower::new(self.now, config)
    }

    /// Adds a follower, and returns its index.
    pub fn add_follower(&mut self, location: Location) -> usize {
        let i = self.followers.len();
        let follower = self.new_follower(i, location, 100);
        self.followers.push(follower);
        self.observations.push(Observations::default());
        i
    }

    pub fn publish(&mut self, source: usize, entries: &[Entry]) {
        self.sources[source].publish(self.now, entries);
        self.sources[source].confirm_complete(self.now);
    }

    pub fn publish_all(&mut self, entries: &[Entry]) {
        (0..self.sources.len()).for_each(|i| self.publish(i, entries));
    }

    /// Sends a datagram as if it came from an instance.
    pub fn send(&mut self, from: SocketAddr, to: SocketAddr, bytes: Vec<u8>) {
        let sent = self.sent.entry(from).or_default();
        *sent = (sent.0 + bytes.len() as u64, sent.1 + 1);
        if bytes.len() > 300 && from.ip().to_string().starts_with("127.0.1.") {
            self.large_datagrams.push((self.now, from));
        }
        if let Some(capture) = &mut self.capture {
            capture.push((self.now, from, to, bytes.clone()));
        }
        if self.isolated.contains(&from)
            || self.isolated.contains(&to)
            || self.rng.random_bool(self.loss)
        {
            return;
        }
        let copies = 1 + u64::from(self.rng.random_bool(self.duplication));
        for _ in 0..copies {
            self.transmissions += 1;
            let at = self.now + self.delay + self.rng.random_range(0..=self.jitter);
            self.in_transit
                .insert((at, self.transmissions), (from, to, bytes.clone()));
        }
    }

    fn collect_outputs(&mut self) {
        for i in 0..self.sources.len() {
            for output in self.sources[i].take_outputs() {
                if let Output::Datagram(to, bytes) = output {
                    self.send(source_address(i), to, bytes);
                }
            }
        }
        for i in 0..self.followers.len() {
            for output in self.followers[i].take_outputs() {
                match output {
                    Output::Datagram(to, bytes) => self.send(follower_address(i), to, bytes),
                    Output::EntryUpdated(entry) => {
                        self.observations[i].record_update(&entry);
                    }
                    Output::Event(event) => self.observations[i].events.push((self.now, event)),
                }
            }
        }
    }

    /// Advances the simulation by `duration` milliseconds.
    pub fn run(&mut self, duration: Millis) {
        let end = self.now + duration;
        loop {
            self.collect_outputs();
            let paused = &self.paused;
            let is_running = |address: SocketAddr| !paused.contains(&address);
            let sources = self.sources.iter().enumerate();
            let followers = self.followers.iter().enumerate();
            let source_wakes = sources
                .filter(|(i, _)| is_running(source_address(*i)))
                .map(|(_, s)| s.next_wake());
            let follower_wakes = followers
                .filter(|(i, _)| is_running(follower_address(*i)))
                .map(|(_, f)| f.next_wake());
            let wake = source_wakes
                .chain(follower_wakes)
                .min()
                .unwrap_or(Millis::MAX);
            let arrival = self
                .in_transit
                .iter()
                .find(|(_, (_, to, _))| is_running(*to));
            let arrival = arrival.map(|(key, _)| *key);
            let next = wake.min(arrival.map_or(Millis::MAX, |(at, _)| at));
            if next > end {
                break;
            }
            self.now = self.now.max(next);
            for i in &self.sources_with_writer {
                self.sources[*i].confirm_complete(self.now);
            }
            if let Some(key) = arrival.filter(|(at, _)| *at <= self.now) {
                let (from, to, bytes) = self.in_transit.remove(&key).expect("in transit");
                if self.isolated.contains(&from) || self.isolated.contains(&to) {
                    continue;
                }
                self.deliver(from, to, &bytes);
                continue;
            }
            for i in 0..self.sources.len() {
                if !self.paused.contains(&source_address(i))
                    && self.sources[i].next_wake() <= self.now
                {
                    self.sources[i].wake(self.now);
                }
            }
            for i in 0..self.followers.len() {
                if !self.paused.contains(&follower_address(i))
                    && self.followers[i].next_wake() <= self.now
                {
                    self.followers[i].wake(self.now);
                }
            }
        }
        self.now = end;
        for i in &self.sources_with_writer {
            self.sources[*i].confirm_complete(self.now);
        }
    }

    /// Passes a datagram to the instance with the address `to`.
    pub fn deliver(&mut self, from: SocketAddr, to: SocketAddr, bytes: &[u8]) {
        let now = self.now;
        if let Some(i) = (0..self.sources.len()).find(|i| source_address(*i) == to) {
            self.sources[i].receive(now, from, bytes);
        } else if let Some(i) = (0..self.followers.len()).find(|i| follower_address(*i) == to) {
            self.followers[i].receive(now, from, bytes);
        }
    }

    /// The bytes that all sources have sent so far.
    pub fn source_bytes(&self) -> u64 {
        (0..self.sources.len())
            .map(|i| self.sent.get(&source_address(i)).map_or(0, |sent| sent.0))
            .sum()
    }

    pub fn version_regressions(&self) -> u64 {
        self.observations
            .iter()
            .map(|observations| observations.version_regressions)
            .sum()
    }

    /// Whether a follower holds exactly what a source holds.
    pub fn same_content(&self, follower: usize, source: usize) -> bool {
        let (ours, theirs) = (
            self.followers[follower].store(),
            self.sources[source].store(),
        );
        ours.root_hash() == theirs.root_hash() && ours.iter().eq(theirs.iter())
    }
}

pub const LOCAL_ZONE: Location = Location { zone: 1, region: 1 };
pub const OTHER_ZONE: Location = Location { zone: 2, region: 1 };
pub const OTHER_REGION: Location = Location { zone: 3, region: 2 };
