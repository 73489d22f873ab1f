//! Control instances and followers in virtual time, with regions, zones and the network between them. A run is
//! reproducible from its seed.
//!
//! The list at discovery is a map from keys to values. The control instance that holds the lease `list` is the writer:
//! it watches that map and publishes differences through its node's gossip store, with the version `term << 20 |
//! sequence`, and a heartbeat several times per second. Every control instance passes its own entries and those
//! received by gossip to its source.

use super::checker::{Checker, is_removed};
use crate::ranking;
use crate::world::corrupt;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spanspur_cluster::node::{self, Node};
use spanspur_distribution as dist;
use spanspur_distribution::Source;
use spanspur_distribution::{
    Follower, FollowerConfig, Limits, Location, PollSchedule, SourceConfig, SourceEndpoint,
};
use spanspur_leases::GossipEntry;
use spanspur_leases::{Clocks, InstanceId, LeaseGrant, LeaseId, Millis};
use spanspur_membership::{Identity, Key, Keys, ProbeTiming, Sessions};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Number of control instances; all are voters.
pub const CONTROLS: usize = 9;
/// Number of regions.
pub const REGIONS: usize = 6;
/// Number of zones in each region.
pub const ZONES: [u32; REGIONS] = [3, 2, 2, 2, 2, 2];
/// Largest number of datagrams queued for a frozen process, as in a kernel socket buffer; further ones are dropped.
const KERNEL_BUFFER: usize = 256;
/// Interval between heartbeats, in ms.
const HEARTBEAT_INTERVAL: Millis = 250;
/// Number of low bits of a version that count the writes within one term of the writer.
const SEQUENCE_BITS: u32 = 20;
/// Delay from a change at discovery until the control instances see it, in ms.
const WATCH_DELAY: Millis = 5;
/// Largest delay between receiving a grant and acting on it, in ms.
const MAX_GRANT_DELAY: Millis = 5;
/// Size of a value in bytes, the same as of a row of the endpoint list.
pub const VALUE_BYTES: usize = 44;
/// Number of recorded datagrams kept for replay.
const MAX_RECORDED: usize = 512;
/// Wall-clock time at the start of a run, in ms since the Unix epoch.
const START_WALL_CLOCK: Millis = 1_700_000_000_000;
/// Probe timing between control instances: the one-way delay between regions is up to 120 ms.
pub(super) const PROBE_TIMING: ProbeTiming = ProbeTiming {
    probe_interval: Duration::from_millis(1000),
    ack_timeout: Duration::from_millis(400),
    suspicion_timeout: Duration::from_millis(2000),
};
/// Name of the writer's lease, and prefix of the keys.
const LIST_LEASE: &str = "list";
const SECRET: &[u8] = b"a secret of the rig";
/// Ports for the datagrams of the cluster and of the distribution.
const CLUSTER_PORT: u16 = 7000;
const DISTRIBUTION_PORT: u16 = 7001;
const FIRST_ADDRESS: u32 = 0x7f01_0001;

/// A deliberate bug, to prove that the checker detects it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedBug {
    /// No bug.
    #[default]
    None,
    /// Followers apply each entry a second time, seconds later, regardless of its version.
    AcceptsOlderVersions,
    /// Every source drops the entries whose version is a multiple of this number.
    DropsChanges(u64),
    /// Followers corrupt a byte of the entries whose version is a multiple of this number.
    CorruptsEntries(u64),
}

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of followers (balancers).
    pub followers: usize,
    /// Number of keys at the start.
    pub entries: usize,
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Share of datagrams that are delivered twice.
    pub duplicated: f64,
    /// Share of datagrams that are delayed by a further 0.5 to 8 s.
    pub delayed: f64,
    /// Interval of the lease `list`, in ms.
    pub lease_interval: Millis,
    /// A new writer publishes all rows again, changed or not, as the endpoint list task in production does.
    pub republish_all: bool,
    /// The deliberate bug.
    pub injected_bug: InjectedBug,
    /// Measure CPU time and memory of the instances.
    pub metering: bool,
    /// After each change of a follower check all of its entries, not only those it reports as changed.
    pub check_all_entries: bool,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            followers: 60,
            entries: 150,
            loss: 0.01,
            duplicated: 0.01,
            delayed: 0.0,
            lease_interval: 4000,
            republish_all: false,
            injected_bug: InjectedBug::None,
            metering: false,
            check_all_entries: false,
        }
    }
}

/// A fault or event to apply. Instances are numbered with the control instances first, then the followers.
#[derive(Clone, Debug)]
pub enum Fault {
    /// The process crashes.
    Kill(usize),
    /// The process starts without any state.
    Start(usize),
    /// The process is paused; its clocks go on.
    Freeze(usize),
    /// The process is resumed.
    Thaw(usize),
    /// Datagrams from any of the first instances to any of the second are dropped.
    Cut(Vec<usize>, Vec<usize>),
    /// All cuts end.
    Heal,
    /// Sets the shares of datagrams that are lost, duplicated and delayed.
    Network(f64, f64, f64),
    /// Delivers a forged datagram: random, truncated, corrupted, replayed, or encrypted with another key.
    Forge(usize),
    /// Sets a key of the list at discovery to a new value.
    Set(u64),
    /// Removes a key from the list at discovery.
    Remove(u64),
}

enum Event {
    /// Receiving instance and port, sender, and content.
    Datagram(u32, u16, SocketAddr, Vec<u8>),
    /// Instance and port of the component to wake.
    Wake(u32, u16),
    /// Instance, incarnation and grant.
    Granted(u32, u64, LeaseGrant),
    /// Instance, incarnation and term of the writer.
    PublishHeartbeat(u32, u64, u64),
    /// The changed key.
    DiscoveryChanged(u64),
    /// Bug [`InjectedBug::AcceptsOlderVersions`]: the instance of this incarnation applies an entry again.
    Reapply(u32, u64, GossipEntry),
    Fault(Fault),
}

/// An event with its time and sequence number. The order is reversed, so that the heap returns the earliest event
/// first.
struct Scheduled(Millis, u64, Event);

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.1 == other.1
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

/// Traffic, CPU time and memory of one component of an instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter {
    /// Datagrams sent, and their bytes.
    pub sent: (u64, u64),
    /// Datagrams received, and their bytes.
    pub received: (u64, u64),
    /// CPU time of calls into the component, in nanoseconds.
    pub cpu_ns: i64,
    /// Bytes allocated by the component and not yet freed.
    pub memory: i64,
    /// The most bytes, and the most datagrams, sent in any whole second.
    pub peak_second: (u64, u64),
    /// The current second, and the bytes and datagrams sent in it.
    current_second: (u64, u64, u64),
}

impl Meter {
    fn record_sent(&mut self, now: Millis, bytes: usize) {
        self.sent = (self.sent.0 + 1, self.sent.1 + bytes as u64);
        if self.current_second.0 != now / 1000 {
            self.current_second = (now / 1000, 0, 0);
        }
        self.current_second.1 += bytes as u64;
        self.current_second.2 += 1;
        self.peak_second = (
            self.peak_second.0.max(self.current_second.1),
            self.peak_second.1.max(self.current_second.2),
        );
    }
}

struct WriterTerm {
    /// Fencing token of the grant.
    term: u64,
    /// Number of entries written in this term.
    sequence: u64,
    /// On the monotonic clock of the instance.
    ends_at: Millis,
}

struct ControlInstance {
    node: Node,
    source: Source,
    writer_term: Option<WriterTerm>,
    /// Keys to compare with the list at discovery; `None` for all.
    dirty: Option<BTreeSet<u64>>,
}

enum Role {
    Down,
    Control(Box<ControlInstance>),
    Follower(Box<Follower>),
}

struct Process {
    role: Role,
    incarnation: u64,
    frozen: bool,
    /// Events for the process while it is frozen.
    queued_events: Vec<Event>,
    queued_datagrams: usize,
    monotonic_offset: u64,
    wall_offset: i64,
    /// Next scheduled wake-up of the distribution component and of the cluster node.
    wake_at: [Millis; 2],
    /// Entries as a follower with an injected bug would hold them.
    buggy_entries: BTreeMap<u64, GossipEntry>,
}

/// A simulation of control instances, followers and their network; see the module documentation.
pub struct World {
    /// Parameters; [`Fault::Network`] changes the shares of the network.
    pub plan: Plan,
    /// Current virtual time, in ms.
    pub now: Millis,
    /// Records writes and verifies followers.
    pub checker: Checker,
    /// The list at discovery: the current value of each key.
    pub discovery_list: BTreeMap<u64, Vec<u8>>,
    /// For each instance, the meters of its distribution component and of its cluster node.
    pub meters: Vec<[Meter; 2]>,
    /// Number of processed events.
    pub processed_events: u64,
    /// For each instance, when the follower was first synchronized since its start, in ms.
    pub synchronized_at: Vec<Option<Millis>>,
    /// For each instance, the time of its last start, in ms.
    pub started_at: Vec<Millis>,
    /// Number of events reported by sources and followers, by kind.
    pub event_counts: BTreeMap<String, u64>,
    processes: Vec<Process>,
    queue: BinaryHeap<Scheduled>,
    scheduled_events: u64,
    random: ChaCha8Rng,
    cuts: Vec<(Vec<bool>, Vec<bool>)>,
    recorded: Vec<(u16, Vec<u8>)>,
    value_counter: u64,
    /// CPU time of one clock reading, in nanoseconds.
    clock_cost: i64,
}

fn address(i: usize, port: u16) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::from(FIRST_ADDRESS + i as u32).into(), port)
}

/// The region and zone of an instance.
pub fn location(i: usize) -> Location {
    let (region, nth) = match i < CONTROLS {
        true => (i % REGIONS, i / REGIONS),
        false => ((i - CONTROLS) % REGIONS, (i - CONTROLS) / REGIONS),
    };
    let first: u32 = ZONES[..region].iter().sum();
    Location {
        zone: first + nth as u32 % ZONES[region],
        region: region as u32,
    }
}

/// The one-way delay between two locations without jitter, in ms.
pub fn delay(a: &Location, b: &Location) -> Millis {
    match (a.region.abs_diff(b.region), a.zone == b.zone) {
        (0, true) => 1,
        (0, false) => 2,
        (apart, _) => 20 + 20 * u64::from(apart),
    }
}

/// The name of an instance: `control-` or `balancer-` and its number.
pub fn name(i: usize) -> String {
    match i < CONTROLS {
        true => format!("control-{i}"),
        false => format!("balancer-{}", i - CONTROLS),
    }
}

/// The key of the `n`-th server.
pub fn key(n: usize) -> u64 {
    LeaseId::of(&format!("{LIST_LEASE}/{n:016x}")).0
}

fn keys() -> Keys {
    Keys(vec![Key::new(SECRET)])
}

/// CPU time of this thread, in nanoseconds.
pub fn thread_cpu_ns() -> i64 {
    let t = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    t.tv_sec * 1_000_000_000 + t.tv_nsec
}

/// Currently allocated bytes; 0 if the program does not use the counting allocator.
pub fn allocated() -> i64 {
    let stats = stats_alloc::INSTRUMENTED_SYSTEM.stats();
    stats.bytes_allocated as i64 - stats.bytes_deallocated as i64
}

/// Runs a call into an instance and adds its CPU time and memory to the meter. `cost` is the cost of reading the clock;
/// `None` disables metering.
fn metered<T>(meter: &mut Meter, cost: Option<i64>, call: impl FnOnce() -> T) -> T {
    let Some(cost) = cost else {
        return call();
    };
    let (held, start) = (allocated(), thread_cpu_ns());
    let out = call();
    meter.cpu_ns += thread_cpu_ns() - start - cost;
    meter.memory += allocated() - held;
    out
}

impl World {
    /// Creates a simulation in which the control instances have just started and no follower runs.
    pub fn new(plan: Plan, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let all = CONTROLS + plan.followers;
        let processes = (0..all)
            .map(|_| Process {
                role: Role::Down,
                incarnation: 0,
                frozen: false,
                queued_events: Vec::new(),
                queued_datagrams: 0,
                // Monotonic clocks of different machines have different origins.
                monotonic_offset: random.random_range(1_000..10_000_000),
                wall_offset: random.random_range(-500..=500),
                wake_at: [Millis::MAX; 2],
                buggy_entries: BTreeMap::new(),
            })
            .collect();
        // The cost of one clock reading: of the two readings around a call, half of the cost falls into the measured
        // time.
        let start = thread_cpu_ns();
        (0..1000).for_each(|_| {
            std::hint::black_box(thread_cpu_ns());
        });
        let clock_cost = (thread_cpu_ns() - start) / 1000;
        let mut world = Self {
            now: 0,
            checker: Checker::new(plan.followers),
            discovery_list: BTreeMap::new(),
            meters: vec![[Meter::default(); 2]; all],
            processed_events: 0,
            synchronized_at: vec![None; all],
            started_at: vec![0; all],
            event_counts: BTreeMap::new(),
            processes,
            queue: BinaryHeap::new(),
            scheduled_events: 0,
            random,
            cuts: Vec::new(),
            recorded: Vec::new(),
            value_counter: 0,
            clock_cost,
            plan,
        };
        for n in 0..world.plan.entries {
            let value = world.next_value();
            world.discovery_list.insert(key(n), value);
        }
        (0..CONTROLS).for_each(|i| world.start(i));
        world
    }

    /// The random number generator of the simulation, for generating faults.
    pub fn random(&mut self) -> &mut ChaCha8Rng {
        &mut self.random
    }

    /// Schedules a fault for a time in ms, or for now if that time has passed.
    pub fn at(&mut self, at: Millis, fault: Fault) {
        self.push(at, Event::Fault(fault));
    }

    /// Schedules the start of all followers at random times within a span, in ms.
    pub fn start_followers(&mut self, from: Millis, span: Millis) {
        for i in self.followers() {
            let at = from + self.random.random_range(0..=span);
            self.at(at, Fault::Start(i));
        }
    }

    /// Indices of the followers.
    pub fn followers(&self) -> std::ops::Range<usize> {
        CONTROLS..CONTROLS + self.plan.followers
    }

    /// The instances of a region, and all others.
    pub fn split_region(&self, region: u32) -> (Vec<usize>, Vec<usize>) {
        (0..self.processes.len()).partition(|i| location(*i).region == region)
    }

    /// Whether a process is running or frozen.
    pub fn is_up(&self, i: usize) -> bool {
        !matches!(self.processes[i].role, Role::Down)
    }

    /// Whether a process is frozen.
    pub fn is_frozen(&self, i: usize) -> bool {
        self.processes[i].frozen
    }

    /// The follower of an instance, if it is up.
    pub fn follower(&self, i: usize) -> Option<&Follower> {
        match &self.processes[i].role {
            Role::Follower(follower) => Some(follower),
            _ => None,
        }
    }

    /// The source of a control instance, if it is up.
    pub fn source(&self, i: usize) -> Option<&Source> {
        match &self.processes[i].role {
            Role::Control(control) => Some(&control.source),
            _ => None,
        }
    }

    /// The monotonic time of an instance, in ms.
    pub fn monotonic(&self, i: usize) -> Millis {
        self.now + self.processes[i].monotonic_offset
    }

    /// The control instance that is the current writer.
    pub fn writer(&self) -> Option<usize> {
        (0..CONTROLS).find(|i| self.is_writer(*i))
    }

    /// Counters of the sources and followers in a range of instances, added up.
    pub fn counters(&self, of: std::ops::Range<usize>) -> BTreeMap<String, u64> {
        let mut all = BTreeMap::new();
        for i in of {
            let counted = match &self.processes[i].role {
                Role::Down => continue,
                Role::Control(control) => control.source.counters(),
                Role::Follower(follower) => follower.counters(),
            };
            for (what, n) in counted {
                *all.entry(what.to_owned()).or_default() += n;
            }
        }
        all
    }

    /// Resets all meters except for the allocated memory.
    pub fn reset_meters(&mut self) {
        for meter in self.meters.iter_mut().flatten() {
            *meter = Meter {
                memory: meter.memory,
                ..Meter::default()
            };
        }
    }

    /// Processes all events up to and including the given time, in ms.
    pub fn run_until(&mut self, end: Millis) {
        while self.queue.peek().is_some_and(|next| next.0 <= end) {
            let Some(Scheduled(at, _, event)) = self.queue.pop() else {
                break;
            };
            self.now = at;
            self.processed_events += 1;
            self.dispatch(event);
        }
        self.now = end;
    }

    /// Checks after recovery that the writer holds the list at discovery, and every running follower what the writer
    /// holds.
    pub fn final_check(&mut self) {
        let now = self.now;
        let Some(writer) = self.writer() else {
            let text = format!("{now} nobody writes");
            return self.checker.report(super::Violation::Lost, text);
        };
        let Role::Control(control) = &self.processes[writer].role else {
            return;
        };
        // The gossip store cannot list its keys, so all keys ever written are looked up.
        let mut expected = BTreeMap::new();
        for key in self.checker.keys() {
            if let Some(entry) = control.node.gossip_store().get(key) {
                expected.insert(key, entry.clone());
            }
        }
        for (key, value) in &self.discovery_list {
            if expected.get(key).is_none_or(|entry| entry.value != *value) {
                let text = format!("{now} the writer lacks {key:x}");
                self.checker.report(super::Violation::Lost, text);
            }
        }
        for entry in expected.values() {
            if !self.discovery_list.contains_key(&entry.key) && !is_removed(entry) {
                let text = format!("{now} the writer keeps {:x}", entry.key);
                self.checker.report(super::Violation::Lost, text);
            }
        }
        for i in CONTROLS..self.processes.len() {
            let process = &self.processes[i];
            let Role::Follower(follower) = &process.role else {
                continue;
            };
            let follower_index = i - CONTROLS;
            match self.plan.injected_bug {
                InjectedBug::None | InjectedBug::DropsChanges(_) => {
                    self.checker
                        .check_all(now, follower_index, follower.store().iter());
                    let held = follower.store().iter();
                    self.checker
                        .final_check(now, follower_index, held, &expected);
                }
                InjectedBug::AcceptsOlderVersions | InjectedBug::CorruptsEntries(_) => {
                    self.checker
                        .check_all(now, follower_index, process.buggy_entries.values());
                    self.checker.final_check(
                        now,
                        follower_index,
                        process.buggy_entries.values(),
                        &expected,
                    );
                }
            }
        }
    }

    fn next_value(&mut self) -> Vec<u8> {
        self.value_counter += 1;
        let mut value = vec![1, 0];
        value.extend(self.value_counter.to_le_bytes());
        value.resize(VALUE_BYTES, self.value_counter as u8);
        value
    }

    fn clocks(&self, i: usize) -> Clocks {
        let process = &self.processes[i];
        Clocks {
            monotonic: self.now + process.monotonic_offset,
            wall: (START_WALL_CLOCK as i64 + self.now as i64 + process.wall_offset) as Millis,
        }
    }

    /// The cost of one clock reading if metering is enabled, for [`metered`].
    fn meter_cost(&self) -> Option<i64> {
        self.plan.metering.then_some(self.clock_cost)
    }

    fn push(&mut self, at: Millis, event: Event) {
        self.scheduled_events += 1;
        self.queue
            .push(Scheduled(at.max(self.now), self.scheduled_events, event));
    }

    fn dispatch(&mut self, event: Event) {
        let process = match &event {
            Event::Fault(_) | Event::DiscoveryChanged(_) => None,
            Event::Datagram(i, ..)
            | Event::Wake(i, _)
            | Event::Granted(i, ..)
            | Event::PublishHeartbeat(i, ..)
            | Event::Reapply(i, ..) => Some(*i as usize),
        };
        if let Some(i) = process
            && self.processes[i].frozen
        {
            let process = &mut self.processes[i];
            if matches!(event, Event::Datagram(..)) {
                process.queued_datagrams += 1;
                if process.queued_datagrams > KERNEL_BUFFER {
                    return;
                }
            }
            process.queued_events.push(event);
            return;
        }
        match event {
            Event::Datagram(i, port, from, bytes) => self.receive(i as usize, port, from, &bytes),
            Event::Wake(i, port) => self.wake(i as usize, port),
            Event::Granted(i, incarnation, grant) => {
                self.begin_term(i as usize, incarnation, grant)
            }
            Event::PublishHeartbeat(i, incarnation, term) => {
                let i = i as usize;
                if self.processes[i].incarnation == incarnation && self.is_writer(i) {
                    let Role::Control(control) = &mut self.processes[i].role else {
                        return;
                    };
                    if control
                        .writer_term
                        .as_ref()
                        .is_some_and(|current| current.term == term)
                    {
                        self.publish_changes(i, true);
                        self.push(
                            self.now + HEARTBEAT_INTERVAL,
                            Event::PublishHeartbeat(i as u32, incarnation, term),
                        );
                    }
                }
            }
            Event::DiscoveryChanged(key) => {
                for i in 0..CONTROLS {
                    if let Role::Control(control) = &mut self.processes[i].role
                        && let Some(dirty) = &mut control.dirty
                    {
                        dirty.insert(key);
                    }
                    if !self.processes[i].frozen && self.is_writer(i) {
                        self.publish_changes(i, false);
                    }
                }
            }
            Event::Reapply(i, incarnation, entry) => {
                let process = &mut self.processes[i as usize];
                if process.incarnation == incarnation && !matches!(process.role, Role::Down) {
                    let follower_index = i as usize - CONTROLS;
                    self.checker.check_entry(self.now, follower_index, &entry);
                    process.buggy_entries.insert(entry.key, entry);
                }
            }
            Event::Fault(fault) => self.apply_fault(fault),
        }
    }

    fn receive(&mut self, i: usize, port: u16, from: SocketAddr, bytes: &[u8]) {
        let (now, cost) = (self.clocks(i), self.meter_cost());
        let meter = &mut self.meters[i][usize::from(port == CLUSTER_PORT)];
        meter.received = (meter.received.0 + 1, meter.received.1 + bytes.len() as u64);
        match &mut self.processes[i].role {
            Role::Down => return,
            Role::Control(control) if port == CLUSTER_PORT => {
                metered(meter, cost, || control.node.receive(now, from, bytes));
            }
            Role::Control(control) => {
                metered(meter, cost, || {
                    control.source.receive(now.monotonic, from, bytes)
                });
            }
            Role::Follower(follower) => {
                metered(meter, cost, || follower.receive(now.monotonic, from, bytes));
            }
        }
        self.apply_effects(i, port);
    }

    fn wake(&mut self, i: usize, port: u16) {
        let meter_index = usize::from(port == CLUSTER_PORT);
        let (now, cost) = (self.clocks(i), self.meter_cost());
        let process = &mut self.processes[i];
        if process.wake_at[meter_index] != self.now {
            return;
        }
        process.wake_at[meter_index] = Millis::MAX;
        let meter = &mut self.meters[i][meter_index];
        match &mut process.role {
            Role::Down => return,
            Role::Control(control) if port == CLUSTER_PORT => {
                metered(meter, cost, || control.node.wake(now));
            }
            Role::Control(control) => metered(meter, cost, || control.source.wake(now.monotonic)),
            Role::Follower(follower) => metered(meter, cost, || follower.wake(now.monotonic)),
        }
        self.apply_effects(i, port);
    }

    /// Applies the pending effects of one component of an instance and schedules its next wake-up.
    fn apply_effects(&mut self, i: usize, port: u16) {
        let (mono, cost) = (self.monotonic(i), self.meter_cost());
        let meter_index = usize::from(port == CLUSTER_PORT);
        let meter = &mut self.meters[i][meter_index];
        let (next, updates) = match &mut self.processes[i].role {
            Role::Down => return,
            Role::Control(control) if port == CLUSTER_PORT => {
                let effects = metered(meter, cost, || control.node.take_effects());
                meter.memory -= owned_bytes::<node::Effect>(cost, effects.capacity());
                let next = control.node.next_wake();
                let mut updates = Vec::new();
                for effect in effects {
                    match effect {
                        node::Effect::Datagram(to, bytes) => {
                            self.meters[i][meter_index].memory -=
                                owned_bytes::<u8>(cost, bytes.capacity());
                            self.send(i, port, to, bytes);
                        }
                        node::Effect::Granted(grant) => {
                            if grant.is_valid(mono) {
                                let after = self.random.random_range(0..=MAX_GRANT_DELAY);
                                let incarnation = self.processes[i].incarnation;
                                self.push(
                                    self.now + after,
                                    Event::Granted(i as u32, incarnation, grant),
                                );
                            }
                        }
                        node::Effect::EntryUpdated(entry) => {
                            let value = owned_bytes::<u8>(cost, entry.value.capacity());
                            self.meters[i][meter_index].memory -= value;
                            updates.push(entry);
                        }
                        node::Effect::Notice(_) => {}
                    }
                }
                (next, updates)
            }
            Role::Control(control) => {
                let effects = metered(meter, cost, || control.source.take_outputs());
                meter.memory -= owned_bytes::<dist::Output>(cost, effects.capacity());
                let next = control.source.next_wake();
                self.apply_outputs(i, effects);
                (next, Vec::new())
            }
            Role::Follower(follower) => {
                let effects = metered(meter, cost, || follower.take_outputs());
                meter.memory -= owned_bytes::<dist::Output>(cost, effects.capacity());
                let next = follower.next_wake();
                if self.synchronized_at[i].is_none() && follower.is_synchronized() {
                    self.synchronized_at[i] = Some(self.now);
                }
                self.apply_outputs(i, effects);
                (next, Vec::new())
            }
        };
        let at = next
            .saturating_sub(self.processes[i].monotonic_offset)
            .max(self.now + 1);
        if at < self.processes[i].wake_at[meter_index] {
            self.processes[i].wake_at[meter_index] = at;
            self.push(at, Event::Wake(i as u32, port));
        }
        if !updates.is_empty() {
            self.apply_updates(i, &updates);
        }
    }

    fn apply_outputs(&mut self, i: usize, effects: Vec<dist::Output>) {
        let cost = self.meter_cost();
        let mut changed = Vec::new();
        for effect in effects {
            match effect {
                dist::Output::Datagram(to, bytes) => {
                    self.meters[i][0].memory -= owned_bytes::<u8>(cost, bytes.capacity());
                    self.send(i, DISTRIBUTION_PORT, to, bytes);
                }
                dist::Output::EntryUpdated(entry) => {
                    self.meters[i][0].memory -= owned_bytes::<u8>(cost, entry.value.capacity());
                    changed.push(entry);
                }
                dist::Output::Event(notice) => {
                    let text = format!("{notice:?}");
                    let kind = text.split([' ', '(', '{']).next().unwrap_or_default();
                    *self.event_counts.entry(kind.to_owned()).or_default() += 1;
                }
            }
        }
        if !changed.is_empty() {
            self.check_follower(i, changed);
        }
    }

    /// Checks a follower after it has reported changes.
    fn check_follower(&mut self, i: usize, changed: Vec<GossipEntry>) {
        let (now, follower_index) = (self.now, i - CONTROLS);
        let Role::Follower(follower) = &self.processes[i].role else {
            return;
        };
        match self.plan.injected_bug {
            InjectedBug::None | InjectedBug::DropsChanges(_) if self.plan.check_all_entries => {
                self.checker
                    .check_all(now, follower_index, follower.store().iter());
            }
            InjectedBug::None | InjectedBug::DropsChanges(_) => {
                for entry in changed {
                    if let Some(held) = follower.store().get(entry.key) {
                        self.checker.check_entry(now, follower_index, held);
                    }
                }
            }
            InjectedBug::AcceptsOlderVersions => {
                let incarnation = self.processes[i].incarnation;
                for entry in changed {
                    self.checker.check_entry(now, follower_index, &entry);
                    self.processes[i]
                        .buggy_entries
                        .insert(entry.key, entry.clone());
                    let after = self.random.random_range(1000..5000);
                    self.push(now + after, Event::Reapply(i as u32, incarnation, entry));
                }
            }
            InjectedBug::CorruptsEntries(share) => {
                for mut entry in changed {
                    if entry.version.is_multiple_of(share) {
                        entry.value[VALUE_BYTES - 1] ^= 1;
                    }
                    self.checker.check_entry(now, follower_index, &entry);
                    self.processes[i].buggy_entries.insert(entry.key, entry);
                }
            }
        }
    }

    fn send(&mut self, from: usize, port: u16, to: SocketAddr, bytes: Vec<u8>) {
        self.meters[from][usize::from(port == CLUSTER_PORT)].record_sent(self.now, bytes.len());
        let IpAddr::V4(ip) = to.ip() else {
            return;
        };
        let target = u32::from(ip).wrapping_sub(FIRST_ADDRESS) as usize;
        if target >= self.processes.len() || to.port() != port {
            return;
        }
        if self.recorded.len() < MAX_RECORDED {
            self.recorded.push((port, bytes.clone()));
        } else if self.random.random_range(0..64) == 0 {
            let at = self.random.random_range(0..MAX_RECORDED);
            self.recorded[at] = (port, bytes.clone());
        }
        let cut = self.cuts.iter().any(|(a, b)| a[from] && b[target]);
        if cut || self.random.random_bool(self.plan.loss) {
            return;
        }
        let copies = 1 + usize::from(self.random.random_bool(self.plan.duplicated));
        let base = delay(&location(from), &location(target));
        for _ in 1..copies {
            let after = self.transit_time(base);
            let event = Event::Datagram(target as u32, port, address(from, port), bytes.clone());
            self.push(self.now + after, event);
        }
        let after = self.transit_time(base);
        let event = Event::Datagram(target as u32, port, address(from, port), bytes);
        self.push(self.now + after, event);
    }

    fn transit_time(&mut self, base: Millis) -> Millis {
        let mut after = base + self.random.random_range(0..=(base / 5).max(1));
        if self.random.random_bool(self.plan.delayed) {
            after += self.random.random_range(500..8000);
        }
        after
    }

    fn is_writer(&self, i: usize) -> bool {
        let mono = self.monotonic(i);
        match &self.processes[i].role {
            Role::Control(control) => control
                .writer_term
                .as_ref()
                .is_some_and(|term| mono < term.ends_at),
            _ => false,
        }
    }

    /// Starts or extends a term as the writer, after a grant for one interval of the lease.
    fn begin_term(&mut self, i: usize, incarnation: u64, grant: LeaseGrant) {
        let (was_writer, mono, lease_interval) = (
            self.is_writer(i),
            self.monotonic(i),
            self.plan.lease_interval,
        );
        let republish_all = self.plan.republish_all;
        let process = &mut self.processes[i];
        let Role::Control(control) = &mut process.role else {
            return;
        };
        if process.incarnation != incarnation || grant.lease != LeaseId::of(LIST_LEASE) {
            return;
        }
        let in_time = grant.is_valid(mono);
        control.node.record_completion(&grant, in_time);
        if !in_time {
            return;
        }
        control.writer_term = Some(WriterTerm {
            term: grant.fencing_token,
            sequence: 0,
            // As in production, the writer goes on until the next grant is due; nobody else can get a grant before.
            ends_at: mono + lease_interval + lease_interval / 8,
        });
        if !was_writer {
            control.dirty = None;
        }
        if !was_writer && republish_all {
            self.republish_all(i);
        }
        self.publish_changes(i, true);
        self.push(
            self.now + HEARTBEAT_INTERVAL,
            Event::PublishHeartbeat(i as u32, incarnation, grant.fencing_token),
        );
    }

    /// Publishes all rows of the list at discovery again.
    fn republish_all(&mut self, i: usize) {
        let rows = self.discovery_list.clone();
        self.write(i, rows.into_iter().collect(), false);
    }

    /// Publishes what differs from the list at discovery, and a heartbeat if `heartbeat` is set.
    fn publish_changes(&mut self, i: usize, heartbeat: bool) {
        let Role::Control(control) = &mut self.processes[i].role else {
            return;
        };
        let dirty = control.dirty.replace(BTreeSet::new());
        let keys: Vec<u64> = match dirty {
            Some(keys) => keys.into_iter().collect(),
            None => {
                let known = self.checker.keys();
                let all: BTreeSet<u64> = known.chain(self.discovery_list.keys().copied()).collect();
                all.into_iter().collect()
            }
        };
        let mut rows = Vec::new();
        for key in keys {
            let published = control.node.gossip_store().get(key);
            match (self.discovery_list.get(&key), published) {
                (Some(value), Some(entry)) if entry.value == *value => {}
                (Some(value), _) => rows.push((key, value.clone())),
                // A key that is gone from discovery is published as removed if the writer's store still holds it.
                (None, Some(entry)) if !is_removed(entry) => {
                    let mut value = entry.value.clone();
                    // The mark of a removal, see `is_removed`.
                    value[1] = 2;
                    rows.push((key, value));
                }
                (None, _) => {}
            }
        }
        self.write(i, rows, heartbeat);
    }

    /// Writes rows, and a heartbeat if `heartbeat` is set, with the next versions of the writer's term.
    fn write(&mut self, i: usize, rows: Vec<(u64, Vec<u8>)>, heartbeat: bool) {
        let (now, cost) = (self.clocks(i), self.meter_cost());
        let Role::Control(control) = &mut self.processes[i].role else {
            return;
        };
        let Some(writer_term) = &mut control.writer_term else {
            return;
        };
        let mut entries: Vec<GossipEntry> = Vec::new();
        let heartbeat_key = LeaseId::of(LIST_LEASE).0;
        let heartbeat = heartbeat.then(|| (heartbeat_key, vec![0; 17]));
        for (key, value) in rows.into_iter().chain(heartbeat) {
            writer_term.sequence = (writer_term.sequence + 1).min((1 << SEQUENCE_BITS) - 1);
            let version = writer_term.term << SEQUENCE_BITS | writer_term.sequence;
            entries.push(GossipEntry {
                key,
                version,
                value,
            });
        }
        let rows: Vec<GossipEntry> = entries
            .iter()
            .filter(|e| e.key != heartbeat_key)
            .cloned()
            .collect();
        for entry in &rows {
            self.checker.record_write(self.now, i, entry);
        }
        let meter = &mut self.meters[i][1];
        // The entries are allocated outside the metered call, and kept or freed inside it.
        meter.memory += owned_bytes::<GossipEntry>(cost, entries.capacity());
        let values = entries
            .iter()
            .map(|e| owned_bytes::<u8>(cost, e.value.capacity()));
        meter.memory += values.sum::<i64>();
        metered(meter, cost, || control.node.publish(now, entries));
        self.publish_to_source(i, &rows, true);
        self.apply_effects(i, CLUSTER_PORT);
    }

    /// Passes entries of the gossip store to the instance's source. `complete` confirms that the source then holds all
    /// entries.
    fn publish_to_source(&mut self, i: usize, rows: &[GossipEntry], complete: bool) {
        let (now, cost) = (self.monotonic(i), self.meter_cost());
        let kept: Vec<GossipEntry> = match self.plan.injected_bug {
            InjectedBug::DropsChanges(share) => {
                let keeps = |e: &&GossipEntry| !e.version.is_multiple_of(share);
                rows.iter().filter(keeps).cloned().collect()
            }
            _ => rows.to_vec(),
        };
        let Role::Control(control) = &mut self.processes[i].role else {
            return;
        };
        metered(&mut self.meters[i][0], cost, || {
            if !kept.is_empty() {
                control.source.publish(now, &kept);
            }
            if complete {
                control.source.confirm_complete(now);
            }
        });
        self.apply_effects(i, DISTRIBUTION_PORT);
    }

    /// Passes entries received by gossip to the source; a heartbeat among them confirms that they are complete.
    fn apply_updates(&mut self, i: usize, updates: &[GossipEntry]) {
        let heartbeat_key = LeaseId::of(LIST_LEASE).0;
        let rows: Vec<GossipEntry> = updates
            .iter()
            .filter(|e| e.key != heartbeat_key)
            .cloned()
            .collect();
        let complete = rows.len() < updates.len();
        if let Role::Control(control) = &mut self.processes[i].role
            && let Some(dirty) = &mut control.dirty
        {
            dirty.extend(rows.iter().map(|e| e.key));
        }
        self.publish_to_source(i, &rows, complete);
    }

    fn start(&mut self, i: usize) {
        if self.is_up(i) {
            return;
        }
        let (now, cost) = (self.clocks(i), self.meter_cost());
        let incarnation = now.wall.max(self.processes[i].incarnation + 1);
        let identity = |port: u16| Identity {
            name: name(i),
            address: address(i, port),
            incarnation,
            refutations: 0,
        };
        let seed = self.random.next_u64();
        self.meters[i] = [Meter::default(); 2];
        let meters = &mut self.meters[i];
        let role = if i < CONTROLS {
            let node = metered(&mut meters[1], cost, || {
                let mut node = Node::new(
                    now,
                    node::NodeConfig {
                        identity: identity(CLUSTER_PORT),
                        keys: keys(),
                        seeds: (0..3).map(|i| address(i, CLUSTER_PORT)).collect(),
                        voters: (0..CONTROLS).map(name).collect(),
                        max_clock_skew: 1000,
                        probe_timing: PROBE_TIMING,
                        ranking: ranking(),
                        random_seed: seed,
                    },
                );
                node.configure(
                    now,
                    &BTreeMap::from([(LIST_LEASE.to_owned(), self.plan.lease_interval)]),
                );
                node
            });
            let source = metered(&mut meters[0], cost, || {
                let setup = SourceConfig {
                    identity: identity(DISTRIBUTION_PORT),
                    keys: keys(),
                    limits: Limits::default(),
                    seed,
                };
                Source::new(now.monotonic, setup)
            });
            Role::Control(Box::new(ControlInstance {
                node,
                source,
                writer_term: None,
                dirty: None,
            }))
        } else {
            let follower = metered(&mut meters[0], cost, || {
                let sources = (0..CONTROLS).map(|c| SourceEndpoint {
                    name: name(c),
                    address: address(c, DISTRIBUTION_PORT),
                    location: location(c),
                });
                let setup = FollowerConfig {
                    identity: identity(DISTRIBUTION_PORT),
                    location: location(i),
                    sources: sources.collect(),
                    keys: keys(),
                    score: ranking().0,
                    schedule: PollSchedule::default(),
                    seed,
                };
                Follower::new(now.monotonic, setup)
            });
            self.checker.reset_follower(i - CONTROLS);
            Role::Follower(Box::new(follower))
        };
        self.synchronized_at[i] = None;
        self.started_at[i] = self.now;
        let process = &mut self.processes[i];
        process.role = role;
        (process.incarnation, process.frozen) = (incarnation, false);
        process.wake_at = [Millis::MAX; 2];
        process.buggy_entries.clear();
        self.apply_effects(i, DISTRIBUTION_PORT);
        if i < CONTROLS {
            self.apply_effects(i, CLUSTER_PORT);
        }
    }

    fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(i) => {
                let process = &mut self.processes[i];
                process.role = Role::Down;
                process.queued_events.clear();
                (process.queued_datagrams, process.frozen) = (0, false);
            }
            Fault::Start(i) => self.start(i),
            Fault::Freeze(i) => self.processes[i].frozen = self.is_up(i),
            Fault::Thaw(i) => {
                let process = &mut self.processes[i];
                (process.queued_datagrams, process.frozen) = (0, false);
                process.wake_at = [self.now; 2];
                for event in std::mem::take(&mut process.queued_events) {
                    if !matches!(event, Event::Wake(..)) {
                        self.push(self.now, event);
                    }
                }
                self.push(self.now, Event::Wake(i as u32, DISTRIBUTION_PORT));
                if i < CONTROLS {
                    self.push(self.now, Event::Wake(i as u32, CLUSTER_PORT));
                }
            }
            Fault::Cut(from, to) => {
                let set = |of: Vec<usize>| {
                    let mut set = vec![false; self.processes.len()];
                    of.into_iter().for_each(|i| set[i] = true);
                    set
                };
                let cut = (set(from), set(to));
                self.cuts.push(cut);
            }
            Fault::Heal => self.cuts.clear(),
            Fault::Network(loss, duplicated, delayed) => {
                (self.plan.loss, self.plan.duplicated, self.plan.delayed) =
                    (loss, duplicated, delayed);
            }
            Fault::Forge(i) => self.forge(i),
            Fault::Set(key) => {
                let value = self.next_value();
                self.discovery_list.insert(key, value);
                self.checker.record_change(self.now, key);
                self.push(self.now + WATCH_DELAY, Event::DiscoveryChanged(key));
            }
            Fault::Remove(key) => {
                if self.discovery_list.remove(&key).is_some() {
                    self.checker.record_change(self.now, key);
                    self.push(self.now + WATCH_DELAY, Event::DiscoveryChanged(key));
                }
            }
        }
    }

    /// Delivers a forged datagram, see [`Fault::Forge`].
    fn forge(&mut self, to: usize) {
        let (mut port, mut bytes): (u16, Vec<u8>) = match self.random.random_range(0..5) {
            0 => {
                let length = self.random.random_range(0..1500);
                let bytes = (0..length).map(|_| self.random.random()).collect();
                (DISTRIBUTION_PORT, bytes)
            }
            1 => {
                // The name of one of the control instances, but the key of another cluster.
                let control = self.random.random_range(0..CONTROLS);
                let id = InstanceId::of(&name(control)).0;
                let key = Keys(vec![Key::new(b"the secret of another")]);
                let sessions = Sessions::new(id, START_WALL_CLOCK * 2, key);
                let incarnation = self.processes[to].incarnation;
                let is_greeting = self.random.random_bool(0.5);
                let sealed = match is_greeting {
                    true => sessions.seal_greeting(&[7; 40]),
                    false => sessions.seal_answer(incarnation, &[7; 40]),
                };
                (DISTRIBUTION_PORT, sealed.unwrap_or_default())
            }
            _ if self.recorded.is_empty() => return,
            _ => {
                let at = self.random.random_range(0..self.recorded.len());
                self.recorded[at].clone()
            }
        };
        corrupt(&mut self.random, &mut bytes);
        if to >= CONTROLS {
            port = DISTRIBUTION_PORT;
        }
        let from = address(self.random.random_range(0..self.processes.len()), port);
        self.push(self.now, Event::Datagram(to as u32, port, from, bytes));
    }
}

/// Bytes owned by an effect that leaves the instance, for a capacity in elements; 0 if memory is not counted.
fn owned_bytes<T>(cost: Option<i64>, capacity: usize) -> i64 {
    match cost.is_some() && allocated() != 0 {
        true => (capacity * size_of::<T>()) as i64,
        false => 0,
    }
}
