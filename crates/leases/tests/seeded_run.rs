//! Simulates several instances in virtual time, with lost and duplicated messages, restarts and expired grants. All
//! outputs are hashed second by second and compared with a fixture file. Commit 71566bd wrote the file; writing it
//! again (`WRITE_FIXTURES=1`) would hide a change of behaviour between versions.

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
/// The last instance is not a voter.
const VOTERS: usize = 5;
const SECONDS: u64 = 60;
/// The hash over the records of all seconds.
const GOLDEN_HASH: u64 = 0xb5d8_3798_e2e4_4d06;
const LOSS_PROBABILITY: f64 = 0.08;
const DUPLICATION_PROBABILITY: f64 = 0.03;
const EXPIRED_GRANT_PROBABILITY: f64 = 0.05;
/// The offset between the monotonic clocks of one instance and the next, in milliseconds.
const CLOCK_OFFSET: Millis = 12_345;
/// The offset between the wall clocks of one instance and the next, in milliseconds.
const WALL_CLOCK_OFFSET: Millis = 77;
/// The Unix time at which the simulation starts, in milliseconds.
const START_TIME: Millis = 1_700_000_000_000;

fn score(lease: u64, instance: u64) -> f64 {
    let bytes = [lease.to_le_bytes(), instance.to_le_bytes()].concat();
    xxh3_64(&bytes) as f64
}

fn name(index: usize) -> String {
    format!("instance-{index}")
}

fn id(index: usize) -> InstanceId {
    InstanceId::of(&name(index))
}

fn lease_intervals(names: &[(&str, Millis)]) -> BTreeMap<LeaseId, Millis> {
    names
        .iter()
        .map(|(name, interval)| (LeaseId::of(name), *interval))
        .collect()
}

/// Messages in flight.
struct Envelope {
    from: usize,
    to: usize,
    messages: Vec<Message>,
}

struct Simulation {
    now: Millis,
    random: ChaCha8Rng,
    instances: Vec<Option<LeaseManager>>,
    /// Instances that can neither send nor receive.
    isolated: BTreeSet<usize>,
    queue: BTreeMap<(Millis, u64), Envelope>,
    sent: u64,
    leases: BTreeMap<LeaseId, Millis>,
    /// All outputs of the current second, encoded.
    recorded: Vec<u8>,
    /// Number of messages and outputs by kind, so that the test fails if a run no longer covers a kind.
    kinds: BTreeMap<&'static str, u64>,
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self {
            now: 0,
            random: ChaCha8Rng::seed_from_u64(SEED),
            instances: (0..INSTANCES).map(|_| None).collect(),
            isolated: BTreeSet::new(),
            queue: BTreeMap::new(),
            sent: 0,
            leases: lease_intervals(&[("a", 1000), ("b", 700), ("c", 2500), ("list", 250)]),
            recorded: Vec::new(),
            kinds: BTreeMap::new(),
        };
        (0..INSTANCES).for_each(|index| simulation.start(index, 100));
        simulation
    }

    fn clocks(&self, index: usize) -> Clocks {
        Clocks {
            monotonic: self.now + CLOCK_OFFSET * index as u64,
            wall: START_TIME + self.now + WALL_CLOCK_OFFSET * index as u64,
        }
    }

    fn start(&mut self, index: usize, incarnation: u64) {
        let config = LeaseConfig {
            instance: id(index),
            incarnation: incarnation + index as u64,
            voters: (0..VOTERS).map(id).collect(),
            max_clock_skew: 500,
            ranking: Ranking(score),
        };
        let now = self.clocks(index);
        let mut instance = LeaseManager::new(now, config);
        instance.configure(now, &self.leases);
        self.instances[index] = Some(instance);
    }

    /// Reports the running and reachable instances to each of them, as the membership does in production.
    fn update_alive(&mut self) {
        let running: Vec<usize> = (0..INSTANCES)
            .filter(|index| self.instances[*index].is_some() && !self.isolated.contains(index))
            .collect();
        let alive: BTreeSet<InstanceId> = running.iter().map(|index| id(*index)).collect();
        for index in running {
            let now = self.clocks(index);
            self.instance(index).update_alive(now, &alive);
        }
    }

    fn configure(&mut self, names: &[(&str, Millis)]) {
        self.leases = lease_intervals(names);
        for index in 0..INSTANCES {
            let now = self.clocks(index);
            let leases = self.leases.clone();
            if let Some(instance) = &mut self.instances[index] {
                instance.configure(now, &leases);
            }
        }
    }

    fn instance(&mut self, index: usize) -> &mut LeaseManager {
        self.instances[index].as_mut().expect("runs")
    }

    fn count(&mut self, kind: &'static str) {
        *self.kinds.entry(kind).or_default() += 1;
    }

    fn record(&mut self, value: &impl serde::Serialize) {
        let bytes = postcard::to_stdvec(value).expect("encodes");
        self.recorded.extend(bytes);
    }

    fn send(&mut self, from: usize, to: InstanceId, messages: Vec<Message>) {
        messages
            .iter()
            .for_each(|message| self.count(kind_of(message)));
        let to = (0..INSTANCES)
            .find(|index| id(*index) == to)
            .expect("known");
        self.record(&(self.now, from, 0u8, to, &messages));
        let unreachable = self.isolated.contains(&from) || self.isolated.contains(&to);
        let lost = self.random.random_bool(LOSS_PROBABILITY);
        let copies = 1 + u64::from(self.random.random_bool(DUPLICATION_PROBABILITY));
        if lost || unreachable {
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

    fn handle_output(&mut self, index: usize, output: Output) {
        let now = self.now;
        match output {
            Output::Send(to, messages) => self.send(index, to, messages),
            Output::Granted(grant) => {
                self.count("granted");
                self.record(&(
                    now,
                    index,
                    1u8,
                    grant.lease,
                    grant.fencing_token,
                    grant.valid_until,
                ));
                let expired = self.random.random_bool(EXPIRED_GRANT_PROBABILITY);
                let in_time = !expired && grant.is_valid(self.clocks(index).monotonic);
                self.instance(index).record_completion(&grant, in_time);
            }
            Output::TermsMissed { lease, terms } => {
                self.count("terms-missed");
                self.record(&(now, index, 2u8, lease, terms));
            }
            Output::QuorumChanged { lease, is_lost } => {
                self.count("quorum-changed");
                self.record(&(now, index, 3u8, lease, is_lost));
            }
            Output::HoldingChanged { lease, is_held } => {
                self.count("holding-changed");
                self.record(&(now, index, 4u8, lease, is_held));
            }
        }
    }

    /// Handles the pending outputs of all instances.
    fn handle_outputs(&mut self) {
        for index in 0..INSTANCES {
            let outputs = self.instances[index]
                .as_mut()
                .map(LeaseManager::take_outputs);
            for output in outputs.unwrap_or_default() {
                self.handle_output(index, output);
            }
        }
    }

    /// Delivers the messages that have arrived and wakes the instances that are due, for the current millisecond.
    fn run_millisecond(&mut self) {
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= self.now
        {
            let envelope = entry.remove();
            let now = self.clocks(envelope.to);
            if let Some(instance) = &mut self.instances[envelope.to] {
                instance.receive(now, id(envelope.from), &envelope.messages);
            }
            self.handle_outputs();
        }
        for index in 0..INSTANCES {
            let now = self.clocks(index);
            if let Some(instance) = &mut self.instances[index]
                && instance
                    .next_wake()
                    .is_some_and(|wake| wake <= now.monotonic)
            {
                instance.wake(now);
                self.handle_outputs();
            }
        }
    }

    /// Records the status of every lease at every instance.
    fn record_status(&mut self) {
        for index in 0..INSTANCES {
            let now = self.clocks(index);
            let Some(instance) = &self.instances[index] else {
                continue;
            };
            let status: Vec<_> = instance.status(now).collect();
            let abstention = instance.remaining_abstention(now, 1000);
            let next_wake = instance.next_wake();
            self.record(&(index, status, abstention, next_wake));
        }
    }

    /// Applies the events that are scheduled for the start of a second.
    fn apply_events(&mut self, second: u64) {
        match second {
            0 => self.update_alive(),
            // An instance crashes and restarts without its state.
            10 => self.instances[0] = None,
            13 => self.update_alive(),
            16 => self.start(0, 200),
            17 => self.update_alive(),
            // An instance is isolated; the others detect the failure 3 s later.
            20 => self.isolated.extend([1]),
            23 => self.update_alive(),
            26 => self.isolated.clear(),
            27 => self.update_alive(),
            // One lease is removed, one is added, and one gets another interval.
            30 => self.configure(&[("a", 1000), ("b", 900), ("d", 600), ("list", 250)]),
            // An instance shuts down in order.
            35 => {
                let now = self.clocks(2);
                self.instance(2).release_all(now);
                self.handle_outputs();
                self.instances[2] = None;
                self.update_alive();
            }
            // No majority is left.
            40 => self.isolated.extend([0, 1, 3]),
            46 => self.isolated.clear(),
            // An instance restarts, and the others do not detect it.
            50 => self.start(3, 300),
            53 => {
                self.start(2, 300);
                self.update_alive();
            }
            _ => {}
        }
        self.handle_outputs();
    }

    /// Runs one second and returns its recorded outputs.
    fn run_second(&mut self, second: u64) -> Vec<u8> {
        self.apply_events(second);
        for _ in 0..1000 {
            self.run_millisecond();
            self.now += 1;
        }
        self.record_status();
        std::mem::take(&mut self.recorded)
    }
}

fn kind_of(message: &Message) -> &'static str {
    match message {
        Message::Prepare { pre_vote: true, .. } => "pre-vote",
        Message::Prepare {
            pre_vote: false, ..
        } => "prepare",
        Message::Promise { .. } => "promise",
        Message::Accept { .. } => "accept",
        Message::Accepted { .. } => "accepted",
        Message::Release { .. } => "release",
        Message::RequestHandover { .. } => "request-handover",
        Message::Rejected { reason, .. } => match reason {
            RejectReason::Abstaining => "rejected-abstaining",
            RejectReason::LeaseHeld => "rejected-lease-held",
            RejectReason::BallotTooLow => "rejected-ballot-too-low",
            RejectReason::TermTooEarly => "rejected-term-too-early",
            RejectReason::AtCapacity => "rejected-at-capacity",
            RejectReason::NoPromise => "rejected-no-promise",
        },
    }
}

/// The kinds that the simulation has to cover: all but a rejection by an acceptor at capacity.
const EXPECTED_KINDS: [&str; 16] = [
    "accept",
    "accepted",
    "granted",
    "holding-changed",
    "pre-vote",
    "prepare",
    "promise",
    "quorum-changed",
    "rejected-abstaining",
    "rejected-ballot-too-low",
    "rejected-lease-held",
    "rejected-no-promise",
    "rejected-term-too-early",
    "release",
    "request-handover",
    "terms-missed",
];

#[test]
fn a_seeded_simulation_matches_the_fixtures() {
    println!("seed {SEED}");
    let mut simulation = Simulation::new();
    let mut records = Vec::new();
    for second in 0..SECONDS {
        let recorded = simulation.run_second(second);
        let mut bytes = xxh3_64(&recorded).to_le_bytes().to_vec();
        bytes.extend((recorded.len() as u64).to_le_bytes());
        records.push(Record::new(format!("second-{second}"), bytes));
    }
    println!("{:?}", simulation.kinds);
    let all: Vec<u8> = records.iter().flat_map(|r| r.bytes.clone()).collect();
    wire_fixtures::check(env!("CARGO_MANIFEST_DIR"), "seeded_run.txt", records);
    let seen: Vec<&str> = simulation.kinds.keys().copied().collect();
    assert_eq!(seen, EXPECTED_KINDS);
    assert_eq!(xxh3_64(&all), GOLDEN_HASH, "{:#018x}", xxh3_64(&all));
}
