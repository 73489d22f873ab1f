//! A cluster in virtual time. The nodes are the real ones, down to the bytes of their datagrams. The network, the
//! clocks, and the crashes and pauses of processes are simulated from a seed: the same seed gives the same run.

use crate::checker::{Act, Checker};
use crate::meter::{Meter, metered};
use crate::ranking;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spanspur_cluster::node::{Effect, Node, NodeConfig, Notice};
use spanspur_leases::GossipEntry;
use spanspur_leases::{Clocks, LeaseGrant, Millis};
use spanspur_membership::{Identity, Key, Keys, ProbeTiming};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Datagrams that are kept for a frozen process, as its socket's receive buffer would keep them.
const SOCKET_BUFFER_DATAGRAMS: usize = 256;

/// The parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The number of instances.
    pub instances: usize,
    /// The number of voters, which are the first instances.
    pub voters: usize,
    /// The number of leases, all with the same interval.
    pub leases: usize,
    /// The interval of the leases.
    pub interval: Millis,
    /// The largest difference between two wall clocks at the start.
    pub max_skew: Millis,
    /// The share of datagrams that are lost.
    pub loss: f64,
    /// The share of datagrams that are delivered twice.
    pub duplication: f64,
    /// The largest delay of a datagram; the smallest is 1 ms.
    pub max_delay: Millis,
    /// The largest delay between checking a grant and acting under it.
    pub max_act_delay: Millis,
    /// Whether each instance is its own only voter. Such a run must fail the check, which proves that the checker
    /// detects duplicates.
    pub without_votes: bool,
    /// Whether an instance votes at once after its start, as if it had run for a day. Meant as a second proof that the
    /// checker detects duplicates; no test sets it.
    pub without_abstention: bool,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            instances: 5,
            voters: 5,
            leases: 40,
            interval: 4000,
            max_skew: 1000,
            loss: 0.01,
            duplication: 0.01,
            max_delay: 20,
            max_act_delay: 5,
            without_votes: false,
            without_abstention: false,
        }
    }
}

/// A fault or another change that is applied to the cluster.
#[derive(Clone, Debug)]
pub enum Fault {
    /// The process crashes.
    Kill(usize),
    /// The process starts again under its name, without any state.
    Start(usize),
    /// The process is paused; its clocks go on.
    Freeze(usize),
    /// The process resumes.
    Thaw(usize),
    /// The instance leaves the cluster gracefully, and its process ends.
    Leave(usize),
    /// Datagrams from any of the first instances to any of the second are dropped.
    Cut(Vec<usize>, Vec<usize>),
    /// All cuts end.
    Heal,
    /// The instance's wall clock jumps by this many milliseconds.
    Jump(usize, i64),
    /// The instance (the first number) is configured with the first leases, as many as the second number says.
    Duties(usize, usize),
    /// The instance receives a forged datagram: random bytes, or a recorded datagram, which may be truncated or have
    /// one bit flipped.
    Forge(usize),
}

enum Event {
    /// Receiver, sender's address, and bytes.
    Datagram(usize, SocketAddr, Vec<u8>),
    Wake(usize),
    /// Instance, its incarnation, the grant, and the true times at which it was won and at which it expires.
    Act(usize, u64, LeaseGrant, Millis, Millis),
    Fault(Fault),
}

struct Process {
    node: Option<Node>,
    incarnation: u64,
    frozen: bool,
    /// Events that are delivered when the process resumes.
    deferred: Vec<Event>,
    /// The monotonic clock's reading at true time 0.
    monotonic_offset: u64,
    /// The wall clock's offset from true time.
    wall_offset: i64,
    /// The true time of the next wake-up; `Millis::MAX` if none is scheduled.
    wake_at: Millis,
    /// The number of leases that the instance is configured with.
    leases: usize,
}

/// A simulated cluster with its network, clocks and processes.
pub struct World {
    /// The parameters of the run.
    pub plan: Plan,
    /// The current true time.
    pub now: Millis,
    /// The record of all executions.
    pub checker: Checker,
    /// The id of a lease whose notices and executions are printed, together with all faults but `Forge`.
    pub traced_lease: Option<u64>,
    /// Datagrams and bytes sent, by instance.
    pub sent: Vec<(u64, u64)>,
    /// Measures the nodes, if set.
    pub meter: Option<Meter>,
    /// Instances by address.
    index: HashMap<SocketAddr, usize>,
    processes: Vec<Process>,
    /// Due times and event numbers, the earliest first.
    queue: BinaryHeap<Reverse<(Millis, u64)>>,
    events: BTreeMap<u64, Event>,
    event_count: u64,
    random: ChaCha8Rng,
    /// Pairs of sender and receiver between which datagrams are dropped.
    cut_links: BTreeSet<(usize, usize)>,
    /// A sample of the sent datagrams, for forgeries.
    recorded: Vec<Vec<u8>>,
    /// Names and ids of the leases.
    leases: Vec<(String, u64)>,
    secrets: Vec<Vec<u8>>,
}

/// The address at which an instance receives datagrams.
pub fn address(i: usize) -> SocketAddr {
    (
        Ipv4Addr::new(127, 0, 1 + (i / 250) as u8, 1 + (i % 250) as u8),
        7000,
    )
        .into()
}

/// Truncates a datagram, flips one of its bits, or leaves it as it is, which makes it a replay.
pub(crate) fn corrupt(random: &mut ChaCha8Rng, bytes: &mut Vec<u8>) {
    match random.random_range(0..3) {
        0 => bytes.truncate(random.random_range(0..=bytes.len())),
        1 if !bytes.is_empty() => {
            let at = random.random_range(0..bytes.len());
            bytes[at] ^= 1 << random.random_range(0..8);
        }
        _ => {}
    }
}

/// The name of an instance.
pub fn name(i: usize) -> String {
    format!("n{i}")
}

/// The wall clocks' mean reading at true time 0, in milliseconds since the Unix epoch.
const START_WALL_TIME: Millis = 1_700_000_000_000;

impl World {
    /// Creates a cluster whose instances have all just started.
    pub fn new(plan: Plan, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let processes = (0..plan.instances)
            .map(|_| Process {
                node: None,
                incarnation: 0,
                frozen: false,
                deferred: Vec::new(),
                // The monotonic clocks of different machines have different origins.
                monotonic_offset: random.random_range(1_000..10_000_000),
                wall_offset: random.random_range(0..=plan.max_skew as i64)
                    - plan.max_skew as i64 / 2,
                wake_at: Millis::MAX,
                leases: plan.leases,
            })
            .collect();
        let leases = (0..plan.leases).map(|n| {
            let name = format!("duty-{n}");
            let id = spanspur_leases::LeaseId::of(&name).0;
            (name, id)
        });
        let mut world = Self {
            leases: leases.collect(),
            sent: vec![(0, 0); plan.instances],
            meter: None,
            index: (0..plan.instances).map(|i| (address(i), i)).collect(),
            plan,
            now: 0,
            checker: Checker::default(),
            traced_lease: None,
            processes,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            event_count: 0,
            random,
            cut_links: BTreeSet::new(),
            recorded: Vec::new(),
            secrets: vec![b"a secret of the rig".to_vec()],
        };
        for i in 0..world.plan.instances {
            world.start(i);
        }
        world
    }

    /// The ids of all leases.
    pub fn lease_ids(&self) -> Vec<u64> {
        self.leases.iter().map(|(_, id)| *id).collect()
    }

    /// The node of an instance; `None` while its process does not run.
    pub fn node(&self, i: usize) -> Option<&Node> {
        self.processes[i].node.as_ref()
    }

    /// The instance that receives datagrams at an address.
    pub fn instance_at(&self, to: SocketAddr) -> Option<usize> {
        self.index.get(&to).copied()
    }

    /// Publishes gossip entries at an instance, if it runs.
    pub fn publish(&mut self, i: usize, entries: Vec<GossipEntry>) {
        let now = self.clocks(i);
        if let Some(node) = &mut self.processes[i].node {
            metered(&mut self.meter, i, || node.publish(now, entries));
            self.apply_effects(i);
        }
    }

    /// The random numbers of this run, from which a test draws its faults.
    pub fn random(&mut self) -> &mut ChaCha8Rng {
        &mut self.random
    }

    /// Schedules a fault at a true time; one in the past takes effect now.
    pub fn inject(&mut self, at: Millis, fault: Fault) {
        self.schedule(at, Event::Fault(fault));
    }

    /// The current readings of an instance's clocks.
    pub fn clocks(&self, i: usize) -> Clocks {
        let process = &self.processes[i];
        Clocks {
            monotonic: self.now + process.monotonic_offset,
            wall: (START_WALL_TIME as i64 + self.now as i64 + process.wall_offset) as Millis,
        }
    }

    /// Processes all events that are due up to `end`, in true time.
    pub fn run_until(&mut self, end: Millis) {
        while let Some(Reverse((at, number))) = self.queue.peek().copied()
            && at <= end
        {
            self.queue.pop();
            self.now = at;
            let Some(event) = self.events.remove(&number) else {
                continue;
            };
            self.dispatch(event);
        }
        self.now = end;
    }

    fn schedule(&mut self, at: Millis, event: Event) {
        self.event_count += 1;
        self.queue
            .push(Reverse((at.max(self.now), self.event_count)));
        self.events.insert(self.event_count, event);
    }

    fn dispatch(&mut self, event: Event) {
        let process = match &event {
            Event::Fault(_) => None,
            Event::Datagram(i, ..) | Event::Wake(i) | Event::Act(i, ..) => Some(*i),
        };
        if let Some(i) = process
            && self.processes[i].frozen
        {
            let deferred = &mut self.processes[i].deferred;
            if !matches!(event, Event::Datagram(..)) || deferred.len() < SOCKET_BUFFER_DATAGRAMS {
                deferred.push(event);
            }
            return;
        }
        match event {
            Event::Datagram(i, from, bytes) => {
                let now = self.clocks(i);
                if let Some(node) = &mut self.processes[i].node {
                    metered(&mut self.meter, i, || node.receive(now, from, &bytes));
                    self.apply_effects(i);
                }
            }
            Event::Wake(i) => {
                let now = self.clocks(i);
                let process = &mut self.processes[i];
                if process.wake_at > self.now {
                    return;
                }
                process.wake_at = Millis::MAX;
                if let Some(node) = &mut process.node {
                    metered(&mut self.meter, i, || {
                        if node.next_wake() <= now.monotonic {
                            node.wake(now);
                        }
                    });
                    self.apply_effects(i);
                }
            }
            Event::Act(i, incarnation, grant, won, until) => {
                let process = &mut self.processes[i];
                // The process that was about to act has ended.
                if process.incarnation != incarnation || process.node.is_none() {
                    return;
                }
                if let Some(node) = &mut process.node {
                    node.record_completion(&grant, true);
                }
                let act = Act {
                    at: self.now,
                    won,
                    until,
                    period: grant.fencing_token,
                    by: i,
                };
                if self.traced_lease == Some(grant.lease.0) {
                    println!("{act:?}");
                }
                self.checker.record(grant.lease.0, act);
            }
            Event::Fault(fault) => self.apply_fault(fault),
        }
    }

    fn start(&mut self, i: usize) {
        let process = &mut self.processes[i];
        if process.node.is_some() {
            return;
        }
        let now = self.clocks(i);
        let voters = match self.plan.without_votes {
            true => vec![name(i)],
            false => (0..self.plan.voters).map(name).collect(),
        };
        let incarnation = now.wall.max(self.processes[i].incarnation + 1);
        let keys = self.secrets.iter().map(|secret| Key::new(secret)).collect();
        let setup = NodeConfig {
            identity: Identity {
                name: name(i),
                address: address(i),
                incarnation,
                refutations: 0,
            },
            keys: Keys(keys),
            seeds: (0..self.plan.instances.min(3)).map(address).collect(),
            voters,
            max_clock_skew: self.plan.max_skew,
            probe_timing: probe_timing(self.plan.interval),
            ranking: ranking(),
            random_seed: self.random.next_u64(),
        };
        let mut start = now;
        if self.plan.without_abstention {
            // A node that has run for a day no longer abstains.
            start.monotonic = start.monotonic.saturating_sub(86_400_000);
        }
        let mut node = Node::new(start, setup);
        let count = self.processes[i].leases;
        node.configure(now, &self.intervals(count));
        if let Some(meter) = &mut self.meter {
            meter.reset_view(i);
        }
        let process = &mut self.processes[i];
        (process.node, process.incarnation, process.frozen) = (Some(node), incarnation, false);
        process.wake_at = Millis::MAX;
        self.apply_effects(i);
    }

    /// The names of the first `count` leases, with their interval.
    fn intervals(&self, count: usize) -> BTreeMap<String, Millis> {
        let leases = self.leases.iter().take(count);
        leases
            .map(|(name, _)| (name.clone(), self.plan.interval))
            .collect()
    }

    fn apply_fault(&mut self, fault: Fault) {
        if self.traced_lease.is_some() && !matches!(fault, Fault::Forge(_)) {
            println!("{} {fault:?}", self.now);
        }
        match fault {
            Fault::Kill(i) => {
                self.processes[i].node = None;
                self.processes[i].deferred.clear();
                self.processes[i].frozen = false;
            }
            Fault::Start(i) => self.start(i),
            Fault::Freeze(i) => self.processes[i].frozen = self.processes[i].node.is_some(),
            Fault::Thaw(i) => {
                self.processes[i].frozen = false;
                let deferred = std::mem::take(&mut self.processes[i].deferred);
                // Events due at the same time are processed in the order in which they were scheduled.
                for event in deferred {
                    self.schedule(self.now, event);
                }
            }
            Fault::Leave(i) => {
                let now = self.clocks(i);
                if let Some(node) = &mut self.processes[i].node {
                    node.leave(now);
                }
                self.apply_effects(i);
                self.processes[i].node = None;
            }
            Fault::Cut(from, to) => {
                for sender in &from {
                    let links = to.iter().map(|receiver| (*sender, *receiver));
                    self.cut_links.extend(links);
                }
            }
            Fault::Heal => self.cut_links.clear(),
            Fault::Jump(i, by) => self.processes[i].wall_offset += by,
            Fault::Duties(i, count) => {
                self.processes[i].leases = count;
                let (now, intervals) = (self.clocks(i), self.intervals(count));
                if let Some(node) = &mut self.processes[i].node {
                    node.configure(now, &intervals);
                }
                self.apply_effects(i);
            }
            Fault::Forge(i) => self.inject_forged(i),
        }
    }

    fn inject_forged(&mut self, to: usize) {
        let mut bytes: Vec<u8> = match self.random.random_range(0..4) {
            0 => (0..self.random.random_range(0..1500))
                .map(|_| self.random.random())
                .collect(),
            _ if self.recorded.is_empty() => return,
            _ => {
                let at = self.random.random_range(0..self.recorded.len());
                self.recorded[at].clone()
            }
        };
        corrupt(&mut self.random, &mut bytes);
        let from = address(self.random.random_range(0..self.plan.instances));
        self.schedule(self.now, Event::Datagram(to, from, bytes));
    }

    /// Applies a node's effects and schedules its next wake-up.
    fn apply_effects(&mut self, i: usize) {
        let Some(node) = &mut self.processes[i].node else {
            return;
        };
        let (effects, next) = metered(&mut self.meter, i, || {
            (node.take_effects(), node.next_wake())
        });
        for effect in effects {
            match effect {
                Effect::Datagram(to, bytes) => self.send(i, to, bytes),
                Effect::Granted(grant) => {
                    let monotonic = self.clocks(i).monotonic;
                    if grant.is_valid(monotonic) {
                        // The process may be paused or crash between this check and the act.
                        let delay = self.random.random_range(0..=self.plan.max_act_delay);
                        let until = grant
                            .valid_until
                            .saturating_sub(self.processes[i].monotonic_offset);
                        let incarnation = self.processes[i].incarnation;
                        let act = Event::Act(i, incarnation, grant, self.now, until);
                        self.schedule(self.now + delay, act);
                    }
                }
                Effect::Notice(notice) => {
                    if let Some(meter) = &mut self.meter {
                        meter.record_notice(self.now, i, &notice);
                    }
                    let lease = match &notice {
                        Notice::TermsMissed { lease, .. }
                        | Notice::QuorumChanged { lease, .. }
                        | Notice::HoldingChanged { lease, .. } => Some(lease.0),
                        _ => None,
                    };
                    if lease.is_some() && lease == self.traced_lease {
                        println!("{} n{i} {notice:?}", self.now);
                    }
                }
                Effect::EntryUpdated(entry) => {
                    if let Some(meter) = &mut self.meter {
                        meter.record_entry(self.now, &entry);
                    }
                }
            }
        }
        let at = next
            .saturating_sub(self.processes[i].monotonic_offset)
            .max(self.now + 1);
        if at < self.processes[i].wake_at {
            self.processes[i].wake_at = at;
            self.schedule(at, Event::Wake(i));
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        self.sent[from].0 += 1;
        self.sent[from].1 += bytes.len() as u64;
        let Some(target) = self.instance_at(to) else {
            return;
        };
        if self.recorded.len() < 512 {
            self.recorded.push(bytes.clone());
        } else if self.random.random_range(0..64) == 0 {
            let at = self.random.random_range(0..512);
            self.recorded[at] = bytes.clone();
        }
        if self.cut_links.contains(&(from, target)) || self.random.random_bool(self.plan.loss) {
            return;
        }
        let copies = 1 + usize::from(self.random.random_bool(self.plan.duplication));
        for _ in 0..copies {
            let delay = self.random.random_range(1..=self.plan.max_delay);
            let event = Event::Datagram(target, address(from), bytes.clone());
            self.schedule(self.now + delay, event);
        }
    }
}

/// The probe timing of the membership for leases of this interval. Probes are sent every tenth of it, limited to 100 to
/// 1000 ms.
pub fn probe_timing(interval: Millis) -> ProbeTiming {
    let probe = (interval / 10).clamp(100, 1000);
    ProbeTiming {
        probe_interval: Duration::from_millis(probe),
        ack_timeout: Duration::from_millis(probe / 3),
        suspicion_timeout: Duration::from_millis(probe * 2),
    }
}
