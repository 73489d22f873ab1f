//! Several instances in virtual time, with losses, doubled messages, restarts and grants that expire: all that they
//! put out is hashed, second by second, and compared with a fixture file. Written by the tree at 71566bd; rewriting
//! it (`WRITE_FIXTURES=1`) hides a change of behaviour between versions.

#[path = "../../../tests/common/wire_fixtures.rs"]
mod wire_fixtures;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spanspur_leases::ranking::Ranking;
use spanspur_leases::{
    Clocks, InstanceId, LeaseConfig, LeaseId, LeaseManager, Message, Millis, Output, RejectReason,
};
use std::collections::{BTreeMap, BTreeSet};
use wire_fixtures::Record;
use xxhash_rust::xxh3::xxh3_64;

const SEED: u64 = 71;
const INSTANCES: usize = 6;
/// The last one votes on nothing.
const VOTERS: usize = 5;
const SECONDS: u64 = 60;
/// The hash over all seconds' hashes.
const GOLDEN_HASH: u64 = 0xb5d8_3798_e2e4_4d06;
const LOSS: f64 = 0.08;
const DOUBLING: f64 = 0.03;
const LATE_PERFORMER: f64 = 0.05;
/// How far the instances' monotonic clocks lie apart, in milliseconds, and their wall clocks.
const CLOCK_STEP: Millis = 12_345;
const WALL_STEP: Millis = 77;
/// The Unix time at which the run starts.
const WALL: Millis = 1_700_000_000_000;

fn score(lease: u64, instance: u64) -> f64 {
    let bytes = [lease.to_le_bytes(), instance.to_le_bytes()].concat();
    xxh3_64(&bytes) as f64
}

fn name(at: usize) -> String {
    format!("instance-{at}")
}

fn id(at: usize) -> InstanceId {
    InstanceId::of(&name(at))
}

fn lease_intervals(names: &[(&str, Millis)]) -> BTreeMap<LeaseId, Millis> {
    names
        .iter()
        .map(|(name, interval)| (LeaseId::of(name), *interval))
        .collect()
}

/// A message under way.
struct Envelope {
    from: usize,
    to: usize,
    messages: Vec<Message>,
}

struct World {
    now: Millis,
    random: ChaCha8Rng,
    instances: Vec<Option<LeaseManager>>,
    /// Instances that the others cannot reach.
    cut: BTreeSet<usize>,
    queue: BTreeMap<(Millis, u64), Envelope>,
    sent: u64,
    leases: BTreeMap<LeaseId, Millis>,
    /// All that was put out in this second.
    tape: Vec<u8>,
    /// Which kinds of messages and outputs were seen, so that a run that covers less shows.
    kinds: BTreeMap<&'static str, u64>,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now: 0,
            random: ChaCha8Rng::seed_from_u64(SEED),
            instances: (0..INSTANCES).map(|_| None).collect(),
            cut: BTreeSet::new(),
            queue: BTreeMap::new(),
            sent: 0,
            leases: lease_intervals(&[("a", 1000), ("b", 700), ("c", 2500), ("list", 250)]),
            tape: Vec::new(),
            kinds: BTreeMap::new(),
        };
        (0..INSTANCES).for_each(|at| world.start(at, 100));
        world
    }

    fn clocks(&self, at: usize) -> Clocks {
        Clocks {
            monotonic: self.now + CLOCK_STEP * at as u64,
            wall: WALL + self.now + WALL_STEP * at as u64,
        }
    }

    fn start(&mut self, at: usize, incarnation: u64) {
        let config = LeaseConfig {
            instance: id(at),
            incarnation: incarnation + at as u64,
            voters: (0..VOTERS).map(id).collect(),
            max_clock_skew: 500,
            ranking: Ranking(score),
        };
        let now = self.clocks(at);
        let mut instance = LeaseManager::new(now, config);
        instance.configure(now, &self.leases);
        self.instances[at] = Some(instance);
    }

    /// Tells all who is there, as a membership would.
    fn tell_alive(&mut self) {
        let running: Vec<usize> = (0..INSTANCES)
            .filter(|at| self.instances[*at].is_some() && !self.cut.contains(at))
            .collect();
        let alive: BTreeSet<InstanceId> = running.iter().map(|at| id(*at)).collect();
        for at in running {
            let now = self.clocks(at);
            self.instance(at).update_alive(now, &alive);
        }
    }

    fn configure(&mut self, names: &[(&str, Millis)]) {
        self.leases = lease_intervals(names);
        for at in 0..INSTANCES {
            let now = self.clocks(at);
            let leases = self.leases.clone();
            if let Some(instance) = &mut self.instances[at] {
                instance.configure(now, &leases);
            }
        }
    }

    fn instance(&mut self, at: usize) -> &mut LeaseManager {
        self.instances[at].as_mut().expect("runs")
    }

    fn count(&mut self, kind: &'static str) {
        *self.kinds.entry(kind).or_default() += 1;
    }

    fn note(&mut self, value: &impl serde::Serialize) {
        let bytes = postcard::to_stdvec(value).expect("encodes");
        self.tape.extend(bytes);
    }

    fn send(&mut self, from: usize, to: InstanceId, messages: Vec<Message>) {
        messages
            .iter()
            .for_each(|message| self.count(kind_of(message)));
        let to = (0..INSTANCES).find(|at| id(*at) == to).expect("known");
        self.note(&(self.now, from, 0u8, to, &messages));
        let cut = self.cut.contains(&from) || self.cut.contains(&to);
        let lost = self.random.random_bool(LOSS);
        let copies = 1 + u64::from(self.random.random_bool(DOUBLING));
        if lost || cut {
            return;
        }
        for _ in 0..copies {
            let arrival = self.now + self.random.random_range(1..=40);
            let messages = messages.clone();
            self.sent += 1;
            let key = (arrival, self.sent);
            self.queue.insert(key, Envelope { from, to, messages });
        }
    }

    fn carry_out(&mut self, at: usize, output: Output) {
        let now = self.now;
        match output {
            Output::Send(to, messages) => self.send(at, to, messages),
            Output::Granted(grant) => {
                self.count("perform");
                self.note(&(
                    now,
                    at,
                    1u8,
                    grant.lease,
                    grant.fencing_token,
                    grant.valid_until,
                ));
                let late = self.random.random_bool(LATE_PERFORMER);
                let in_time = !late && grant.is_valid(self.clocks(at).monotonic);
                self.instance(at).record_completion(&grant, in_time);
            }
            Output::TermsMissed { lease, terms } => {
                self.count("missed");
                self.note(&(now, at, 2u8, lease, terms));
            }
            Output::QuorumChanged { lease, is_lost } => {
                self.count("minority");
                self.note(&(now, at, 3u8, lease, is_lost));
            }
            Output::HoldingChanged { lease, is_held } => {
                self.count("holds");
                self.note(&(now, at, 4u8, lease, is_held));
            }
        }
    }

    fn settle(&mut self) {
        for at in 0..INSTANCES {
            let outputs = self.instances[at].as_mut().map(LeaseManager::take_outputs);
            for output in outputs.unwrap_or_default() {
                self.carry_out(at, output);
            }
        }
    }

    /// Delivers what has arrived and wakes who is due, at one millisecond.
    fn turn(&mut self) {
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= self.now
        {
            let envelope = entry.remove();
            let now = self.clocks(envelope.to);
            if let Some(instance) = &mut self.instances[envelope.to] {
                instance.receive(now, id(envelope.from), &envelope.messages);
            }
            self.settle();
        }
        for at in 0..INSTANCES {
            let now = self.clocks(at);
            if let Some(instance) = &mut self.instances[at]
                && instance
                    .next_wake()
                    .is_some_and(|wake| wake <= now.monotonic)
            {
                instance.wake(now);
                self.settle();
            }
        }
    }

    /// Every instance's view of every lease.
    fn note_status(&mut self) {
        for at in 0..INSTANCES {
            let now = self.clocks(at);
            let Some(instance) = &self.instances[at] else {
                continue;
            };
            let status: Vec<_> = instance.status(now).collect();
            let abstention = instance.remaining_abstention(now, 1000);
            let wake = instance.next_wake();
            self.note(&(at, status, abstention, wake));
        }
    }

    /// What happens at the start of a second.
    fn events(&mut self, second: u64) {
        match second {
            0 => self.tell_alive(),
            // One dies, and comes back with nothing in memory.
            10 => self.instances[0] = None,
            13 => self.tell_alive(),
            16 => self.start(0, 200),
            17 => self.tell_alive(),
            // One is cut off from the rest and believed to be dead only later.
            20 => self.cut.extend([1]),
            23 => self.tell_alive(),
            26 => self.cut.clear(),
            27 => self.tell_alive(),
            // A lease is removed, one is added, one gets another interval.
            30 => self.configure(&[("a", 1000), ("b", 900), ("d", 600), ("list", 250)]),
            // One leaves in order.
            35 => {
                let now = self.clocks(2);
                self.instance(2).release_all(now);
                self.settle();
                self.instances[2] = None;
                self.tell_alive();
            }
            // No majority is left.
            40 => self.cut.extend([0, 1, 3]),
            46 => self.cut.clear(),
            // A restart that nobody notices.
            50 => self.start(3, 300),
            53 => {
                self.start(2, 300);
                self.tell_alive();
            }
            _ => {}
        }
        self.settle();
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

fn kind_of(message: &Message) -> &'static str {
    match message {
        Message::Prepare { pre_vote: true, .. } => "prepare-trial",
        Message::Prepare {
            pre_vote: false, ..
        } => "prepare",
        Message::Promise { .. } => "promise",
        Message::Accept { .. } => "accept",
        Message::Accepted { .. } => "accepted",
        Message::Release { .. } => "yield",
        Message::RequestHandover { .. } => "want",
        Message::Rejected { reason, .. } => match reason {
            RejectReason::Abstaining => "refused-abstains",
            RejectReason::LeaseHeld => "refused-held",
            RejectReason::BallotTooLow => "refused-outvoted",
            RejectReason::TermTooEarly => "refused-early",
            RejectReason::AtCapacity => "refused-full",
            RejectReason::NoPromise => "refused-unknown",
        },
    }
}

/// What the run has to bring about; all there is but an acceptor at capacity.
const EXPECTED_KINDS: [&str; 16] = [
    "accept",
    "accepted",
    "holds",
    "minority",
    "missed",
    "perform",
    "prepare",
    "prepare-trial",
    "promise",
    "refused-abstains",
    "refused-early",
    "refused-held",
    "refused-outvoted",
    "refused-unknown",
    "want",
    "yield",
];

#[test]
fn a_seeded_run_puts_out_the_same_bytes_as_before() {
    println!("seed {SEED}");
    let mut world = World::new();
    let mut records = Vec::new();
    for second in 0..SECONDS {
        let tape = world.second(second);
        let mut bytes = xxh3_64(&tape).to_le_bytes().to_vec();
        bytes.extend((tape.len() as u64).to_le_bytes());
        records.push(Record::new(format!("second-{second}"), bytes));
    }
    println!("{:?}", world.kinds);
    let all: Vec<u8> = records.iter().flat_map(|r| r.bytes.clone()).collect();
    wire_fixtures::check(env!("CARGO_MANIFEST_DIR"), "seeded_run.txt", records);
    let seen: Vec<&str> = world.kinds.keys().copied().collect();
    assert_eq!(seen, EXPECTED_KINDS);
    assert_eq!(xxh3_64(&all), GOLDEN_HASH, "{:#018x}", xxh3_64(&all));
}
