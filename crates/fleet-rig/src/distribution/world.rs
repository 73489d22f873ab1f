//! Control instances and followers in virtual time, in regions and zones, with their network. The same seed plays the
//! same again.
//!
//! The truth is a stand-in for discovery: keys with values. The control instance that holds the grant for the duty
//! `list` watches it and puts on its node's board what differs, with the version period << 20 | step, and a head
//! several times a second; every control instance hands its own entries and the board's news to its source.

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

/// Control instances; all vote.
pub const CONTROLS: usize = 9;
/// Regions, and the zones of each.
pub const REGIONS: usize = 6;
/// See [`REGIONS`].
pub const ZONES: [u32; REGIONS] = [3, 2, 2, 2, 2, 2];
/// Datagrams that wait for a frozen process, as the kernel's buffer would hold them.
const KERNEL_BUFFER: usize = 256;
/// A head is told so often.
const HEAD_EVERY: Millis = 250;
/// Versions within one period of the duty.
const STEPS: u32 = 20;
/// From a change to the writer's knowledge of it.
const WATCH: Millis = 5;
/// From looking at the grant to acting, at most.
const ACT: Millis = 5;
/// Bytes of a value: a row of the list.
pub const VALUE: usize = 44;
/// Recorded datagrams to be sent again.
const RECORDED: usize = 512;
const START: Millis = 1_700_000_000_000;
/// How fast the control instances look after each other: answers come from 120 ms away and back.
pub(super) const PACE: ProbeTiming = ProbeTiming {
    probe_interval: Duration::from_millis(1000),
    ack_timeout: Duration::from_millis(400),
    suspicion_timeout: Duration::from_millis(2000),
};
const DUTY: &str = "list";
const SECRET: &[u8] = b"a secret of the rig";
/// Ports of the cluster's datagrams and of the distribution's.
const CLUSTER: u16 = 7000;
const DISTRIBUTION: u16 = 7001;
const FIRST_ADDRESS: u32 = 0x7f01_0001;

/// A fault built in, as proof that the checker sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Planted {
    /// None.
    #[default]
    None,
    /// Followers take each entry a second time, seconds later, whatever its version.
    TakesLower,
    /// Every source forgets one change in so many.
    Forgets(u64),
    /// Followers change a byte of one entry in so many.
    Invents(u64),
}

/// What the world is like.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Balancers.
    pub followers: usize,
    /// Keys that there are at the start.
    pub entries: usize,
    /// Shares of datagrams that are lost, that come twice, and that come seconds late.
    pub loss: f64,
    /// See `loss`.
    pub twice: f64,
    /// See `loss`.
    pub late: f64,
    /// The period of the duty `list`.
    pub every: Millis,
    /// A new writer tells all rows anew, changed or not, as the list duty does today.
    pub retell: bool,
    /// What is built in.
    pub planted: Planted,
    /// Processor time and memory of the instances are counted.
    pub meter: bool,
    /// All that a follower holds is looked at after each of its changes, and not only what it says has changed.
    pub scan: bool,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            followers: 60,
            entries: 150,
            loss: 0.01,
            twice: 0.01,
            late: 0.0,
            every: 4000,
            retell: false,
            planted: Planted::None,
            meter: false,
            scan: false,
        }
    }
}

/// What is done to the world. Instances: the control instances first, then the followers.
#[derive(Clone, Debug)]
pub enum Fault {
    /// The process dies without a sign.
    Kill(usize),
    /// It starts, with nothing.
    Start(usize),
    /// It stops running for now; its clocks go on.
    Freeze(usize),
    /// It goes on.
    Thaw(usize),
    /// Nothing passes from any of the first to any of the second.
    Cut(Vec<usize>, Vec<usize>),
    /// Everything passes again.
    Heal,
    /// Shares of datagrams that are lost, come twice, and come late from now on.
    Network(f64, f64, f64),
    /// Bytes that nobody sent: random, cut off, damaged, recorded and sent again, or sealed with another key.
    Forge(usize),
    /// The truth: a key is set anew, or there no more.
    Set(u64),
    /// See `Set`.
    Remove(u64),
}

enum Event {
    Datagram(u32, u16, SocketAddr, Vec<u8>),
    Wake(u32, u16),
    Act(u32, u64, LeaseGrant),
    Head(u32, u64, u64),
    Watched(u64),
    /// The planted fault: an entry is taken again.
    Again(u32, u64, GossipEntry),
    Fault(Fault),
}

struct Timed(Millis, u64, Event);

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        self.1 == other.1
    }
}
impl Eq for Timed {}
impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Timed {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

/// What one part of an instance has sent, received, spent and keeps.
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter {
    /// Datagrams sent, and their bytes.
    pub sent: (u64, u64),
    /// Datagrams received, and their bytes.
    pub received: (u64, u64),
    /// Processor time in nanoseconds, of the instance's own calls.
    pub cpu: i64,
    /// Bytes that it holds of the allocator.
    pub memory: i64,
    /// The most bytes and datagrams sent in any whole second.
    pub most: (u64, u64),
    second: (u64, u64, u64),
}

impl Meter {
    fn sends(&mut self, now: Millis, bytes: usize) {
        self.sent = (self.sent.0 + 1, self.sent.1 + bytes as u64);
        if self.second.0 != now / 1000 {
            self.second = (now / 1000, 0, 0);
        }
        self.second.1 += bytes as u64;
        self.second.2 += 1;
        self.most = (
            self.most.0.max(self.second.1),
            self.most.1.max(self.second.2),
        );
    }
}

struct Lead {
    period: u64,
    step: u64,
    until: Millis,
}

struct Control {
    node: Node,
    source: Source,
    leads: Option<Lead>,
    /// Keys to compare with the truth; `None`: all.
    dirty: Option<BTreeSet<u64>>,
}

enum Part {
    Down,
    Control(Box<Control>),
    Follower(Box<Follower>),
}

struct Process {
    part: Part,
    boot: u64,
    frozen: bool,
    waiting: Vec<Event>,
    datagrams_waiting: usize,
    mono: u64,
    wall: i64,
    wake_at: [Millis; 2],
    /// What the planted follower makes of it.
    own: BTreeMap<u64, GossipEntry>,
}

/// See the module's page.
pub struct World {
    /// What it is like.
    pub plan: Plan,
    /// Now, in true time.
    pub now: Millis,
    /// Who knows the truth.
    pub checker: Checker,
    /// The truth: what there is for each key.
    pub truth: BTreeMap<u64, Vec<u8>>,
    /// By instance: of the distribution's part, and of the cluster's node.
    pub meters: Vec<[Meter; 2]>,
    /// Events played.
    pub played: u64,
    /// When a follower was full first in this run of it.
    pub full_at: Vec<Option<Millis>>,
    /// When each process started last.
    pub started_at: Vec<Millis>,
    /// Notices of sources and followers, counted by their kind.
    pub notices: BTreeMap<String, u64>,
    processes: Vec<Process>,
    heap: BinaryHeap<Timed>,
    count: u64,
    random: ChaCha8Rng,
    cuts: Vec<(Vec<bool>, Vec<bool>)>,
    recorded: Vec<(u16, Vec<u8>)>,
    number: u64,
    clock_cost: i64,
}

fn address(i: usize, port: u16) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::from(FIRST_ADDRESS + i as u32).into(), port)
}

/// Where an instance is.
pub fn place(i: usize) -> Location {
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

/// The one-way delay between two places, without jitter, in ms.
pub fn delay(a: &Location, b: &Location) -> Millis {
    match (a.region.abs_diff(b.region), a.zone == b.zone) {
        (0, true) => 1,
        (0, false) => 2,
        (apart, _) => 20 + 20 * u64::from(apart),
    }
}

/// The name of an instance.
pub fn name(i: usize) -> String {
    match i < CONTROLS {
        true => format!("control-{i}"),
        false => format!("balancer-{}", i - CONTROLS),
    }
}

/// The key of the n-th server.
pub fn key(n: usize) -> u64 {
    LeaseId::of(&format!("{DUTY}/{n:016x}")).0
}

fn keys() -> Keys {
    Keys(vec![Key::new(SECRET)])
}

/// What this thread has spent on a processor, in nanoseconds.
pub fn thread_time() -> i64 {
    let t = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    t.tv_sec * 1_000_000_000 + t.tv_nsec
}

/// Bytes that the allocator has given out; 0 where the program does not count them.
pub fn allocated() -> i64 {
    let stats = stats_alloc::INSTRUMENTED_SYSTEM.stats();
    stats.bytes_allocated as i64 - stats.bytes_deallocated as i64
}

/// Calls an instance, counting what it spends.
fn metered<T>(meter: &mut Meter, cost: Option<i64>, call: impl FnOnce() -> T) -> T {
    let Some(cost) = cost else {
        return call();
    };
    let (held, start) = (allocated(), thread_time());
    let out = call();
    meter.cpu += thread_time() - start - cost;
    meter.memory += allocated() - held;
    out
}

impl World {
    /// A world whose control instances have just started; the followers are not there yet.
    pub fn new(plan: Plan, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let all = CONTROLS + plan.followers;
        let processes = (0..all)
            .map(|_| Process {
                part: Part::Down,
                boot: 0,
                frozen: false,
                waiting: Vec::new(),
                datagrams_waiting: 0,
                // Every machine's monotonic clock has another origin.
                mono: random.random_range(1_000..10_000_000),
                wall: random.random_range(-500..=500),
                wake_at: [Millis::MAX; 2],
                own: BTreeMap::new(),
            })
            .collect();
        // Reading the clock twice costs this, of which the half falls into what is measured.
        let start = thread_time();
        (0..1000).for_each(|_| {
            std::hint::black_box(thread_time());
        });
        let clock_cost = (thread_time() - start) / 1000;
        let mut world = Self {
            now: 0,
            checker: Checker::new(plan.followers),
            truth: BTreeMap::new(),
            meters: vec![[Meter::default(); 2]; all],
            played: 0,
            full_at: vec![None; all],
            started_at: vec![0; all],
            notices: BTreeMap::new(),
            processes,
            heap: BinaryHeap::new(),
            count: 0,
            random,
            cuts: Vec::new(),
            recorded: Vec::new(),
            number: 0,
            clock_cost,
            plan,
        };
        for n in 0..world.plan.entries {
            let value = world.value();
            world.truth.insert(key(n), value);
        }
        (0..CONTROLS).for_each(|i| world.start(i));
        world
    }

    /// The random numbers of the world, for drawing a script.
    pub fn random(&mut self) -> &mut ChaCha8Rng {
        &mut self.random
    }

    /// Does something to the world at a time to come.
    pub fn at(&mut self, at: Millis, fault: Fault) {
        self.push(at, Event::Fault(fault));
    }

    /// All followers start, spread over a span.
    pub fn start_followers(&mut self, from: Millis, span: Millis) {
        for i in self.followers() {
            let at = from + self.random.random_range(0..=span);
            self.at(at, Fault::Start(i));
        }
    }

    /// The instances that are followers.
    pub fn followers(&self) -> std::ops::Range<usize> {
        CONTROLS..CONTROLS + self.plan.followers
    }

    /// All instances of a region, and all others.
    pub fn split(&self, region: u32) -> (Vec<usize>, Vec<usize>) {
        (0..self.processes.len()).partition(|i| place(*i).region == region)
    }

    /// Whether a process runs.
    pub fn is_up(&self, i: usize) -> bool {
        !matches!(self.processes[i].part, Part::Down)
    }

    /// Whether it is frozen.
    pub fn is_frozen(&self, i: usize) -> bool {
        self.processes[i].frozen
    }

    /// A follower that runs.
    pub fn follower(&self, i: usize) -> Option<&Follower> {
        match &self.processes[i].part {
            Part::Follower(follower) => Some(follower),
            _ => None,
        }
    }

    /// The source of a control instance that runs.
    pub fn source(&self, i: usize) -> Option<&Source> {
        match &self.processes[i].part {
            Part::Control(control) => Some(&control.source),
            _ => None,
        }
    }

    /// The monotonic clock of an instance.
    pub fn mono(&self, i: usize) -> Millis {
        self.now + self.processes[i].mono
    }

    /// The control instance that writes now.
    pub fn writer(&self) -> Option<usize> {
        (0..CONTROLS).find(|i| self.leads(*i))
    }

    /// What the sources, or the followers, have counted.
    pub fn counters(&self, of: std::ops::Range<usize>) -> BTreeMap<String, u64> {
        let mut all = BTreeMap::new();
        for i in of {
            let counted = match &self.processes[i].part {
                Part::Down => continue,
                Part::Control(control) => control.source.counters(),
                Part::Follower(follower) => follower.counters(),
            };
            for (what, n) in counted {
                *all.entry(what.to_owned()).or_default() += n;
            }
        }
        all
    }

    /// Starts counting what is sent, received and spent anew; what is kept stays counted.
    pub fn reset_meters(&mut self) {
        for meter in self.meters.iter_mut().flatten() {
            *meter = Meter {
                memory: meter.memory,
                ..Meter::default()
            };
        }
    }

    /// Plays on until then.
    pub fn run_until(&mut self, end: Millis) {
        while self.heap.peek().is_some_and(|next| next.0 <= end) {
            let Some(Timed(at, _, event)) = self.heap.pop() else {
                break;
            };
            self.now = at;
            self.played += 1;
            self.happen(event);
        }
        self.now = end;
    }

    /// All is healed and quiet: looks whether every follower that runs holds what the writer made of the truth.
    pub fn last_look(&mut self) {
        let now = self.now;
        let Some(writer) = self.writer() else {
            let text = format!("{now} nobody writes");
            return self.checker.wrong(super::Wrong::Lost, text);
        };
        let Part::Control(control) = &self.processes[writer].part else {
            return;
        };
        // The board has no list of its keys: all keys ever written are asked for.
        let mut right = BTreeMap::new();
        for key in self.checker.keys() {
            if let Some(entry) = control.node.gossip_store().get(key) {
                right.insert(key, entry.clone());
            }
        }
        for (key, value) in &self.truth {
            if right.get(key).is_none_or(|entry| entry.value != *value) {
                let text = format!("{now} the writer lacks {key:x}");
                self.checker.wrong(super::Wrong::Lost, text);
            }
        }
        for entry in right.values() {
            if !self.truth.contains_key(&entry.key) && !is_removed(entry) {
                let text = format!("{now} the writer keeps {:x}", entry.key);
                self.checker.wrong(super::Wrong::Lost, text);
            }
        }
        for i in CONTROLS..self.processes.len() {
            let process = &self.processes[i];
            let Part::Follower(follower) = &process.part else {
                continue;
            };
            let who = i - CONTROLS;
            match self.plan.planted {
                Planted::None | Planted::Forgets(_) => {
                    self.checker.scan(now, who, follower.store().iter());
                    let held = follower.store().iter();
                    self.checker.last_look(now, who, held, &right);
                }
                Planted::TakesLower | Planted::Invents(_) => {
                    self.checker.scan(now, who, process.own.values());
                    self.checker
                        .last_look(now, who, process.own.values(), &right);
                }
            }
        }
    }

    fn value(&mut self) -> Vec<u8> {
        self.number += 1;
        let mut value = vec![1, 0];
        value.extend(self.number.to_le_bytes());
        value.resize(VALUE, self.number as u8);
        value
    }

    fn clocks(&self, i: usize) -> Clocks {
        let process = &self.processes[i];
        Clocks {
            monotonic: self.now + process.mono,
            wall: (START as i64 + self.now as i64 + process.wall) as Millis,
        }
    }

    fn cost(&self) -> Option<i64> {
        self.plan.meter.then_some(self.clock_cost)
    }

    fn push(&mut self, at: Millis, event: Event) {
        self.count += 1;
        self.heap.push(Timed(at.max(self.now), self.count, event));
    }

    fn happen(&mut self, event: Event) {
        let process = match &event {
            Event::Fault(_) | Event::Watched(_) => None,
            Event::Datagram(i, ..)
            | Event::Wake(i, _)
            | Event::Act(i, ..)
            | Event::Head(i, ..)
            | Event::Again(i, ..) => Some(*i as usize),
        };
        if let Some(i) = process
            && self.processes[i].frozen
        {
            let process = &mut self.processes[i];
            if matches!(event, Event::Datagram(..)) {
                process.datagrams_waiting += 1;
                if process.datagrams_waiting > KERNEL_BUFFER {
                    return;
                }
            }
            process.waiting.push(event);
            return;
        }
        match event {
            Event::Datagram(i, port, from, bytes) => self.receive(i as usize, port, from, &bytes),
            Event::Wake(i, port) => self.wake(i as usize, port),
            Event::Act(i, boot, grant) => self.act(i as usize, boot, grant),
            Event::Head(i, boot, period) => {
                let i = i as usize;
                if self.processes[i].boot == boot && self.leads(i) {
                    let Part::Control(control) = &mut self.processes[i].part else {
                        return;
                    };
                    if control.leads.as_ref().is_some_and(|l| l.period == period) {
                        self.tell(i, true);
                        self.push(self.now + HEAD_EVERY, Event::Head(i as u32, boot, period));
                    }
                }
            }
            Event::Watched(key) => {
                for i in 0..CONTROLS {
                    if let Part::Control(control) = &mut self.processes[i].part
                        && let Some(dirty) = &mut control.dirty
                    {
                        dirty.insert(key);
                    }
                    if !self.processes[i].frozen && self.leads(i) {
                        self.tell(i, false);
                    }
                }
            }
            Event::Again(i, boot, entry) => {
                let process = &mut self.processes[i as usize];
                if process.boot == boot && !matches!(process.part, Part::Down) {
                    let who = i as usize - CONTROLS;
                    self.checker.holds(self.now, who, &entry);
                    process.own.insert(entry.key, entry);
                }
            }
            Event::Fault(fault) => self.fault(fault),
        }
    }

    fn receive(&mut self, i: usize, port: u16, from: SocketAddr, bytes: &[u8]) {
        let (now, cost) = (self.clocks(i), self.cost());
        let meter = &mut self.meters[i][usize::from(port == CLUSTER)];
        meter.received = (meter.received.0 + 1, meter.received.1 + bytes.len() as u64);
        match &mut self.processes[i].part {
            Part::Down => return,
            Part::Control(control) if port == CLUSTER => {
                metered(meter, cost, || control.node.receive(now, from, bytes));
            }
            Part::Control(control) => {
                metered(meter, cost, || {
                    control.source.receive(now.monotonic, from, bytes)
                });
            }
            Part::Follower(follower) => {
                metered(meter, cost, || follower.receive(now.monotonic, from, bytes));
            }
        }
        self.settle(i, port);
    }

    fn wake(&mut self, i: usize, port: u16) {
        let part = usize::from(port == CLUSTER);
        let (now, cost) = (self.clocks(i), self.cost());
        let process = &mut self.processes[i];
        if process.wake_at[part] != self.now {
            return;
        }
        process.wake_at[part] = Millis::MAX;
        let meter = &mut self.meters[i][part];
        match &mut process.part {
            Part::Down => return,
            Part::Control(control) if port == CLUSTER => {
                metered(meter, cost, || control.node.wake(now));
            }
            Part::Control(control) => metered(meter, cost, || control.source.wake(now.monotonic)),
            Part::Follower(follower) => metered(meter, cost, || follower.wake(now.monotonic)),
        }
        self.settle(i, port);
    }

    /// Carries out what a part says, and what that brings about.
    fn settle(&mut self, i: usize, port: u16) {
        let (mono, cost) = (self.mono(i), self.cost());
        let part = usize::from(port == CLUSTER);
        let meter = &mut self.meters[i][part];
        let (next, news) = match &mut self.processes[i].part {
            Part::Down => return,
            Part::Control(control) if port == CLUSTER => {
                let effects = metered(meter, cost, || control.node.take_effects());
                meter.memory -= room::<node::Effect>(cost, effects.capacity());
                let next = control.node.next_wake();
                let mut news = Vec::new();
                for effect in effects {
                    match effect {
                        node::Effect::Datagram(to, bytes) => {
                            self.meters[i][part].memory -= room::<u8>(cost, bytes.capacity());
                            self.send(i, port, to, bytes);
                        }
                        node::Effect::Granted(grant) => {
                            if grant.is_valid(mono) {
                                let after = self.random.random_range(0..=ACT);
                                let boot = self.processes[i].boot;
                                self.push(self.now + after, Event::Act(i as u32, boot, grant));
                            }
                        }
                        node::Effect::EntryUpdated(entry) => {
                            let value = room::<u8>(cost, entry.value.capacity());
                            self.meters[i][part].memory -= value;
                            news.push(entry);
                        }
                        node::Effect::Notice(_) => {}
                    }
                }
                (next, news)
            }
            Part::Control(control) => {
                let effects = metered(meter, cost, || control.source.take_outputs());
                meter.memory -= room::<dist::Output>(cost, effects.capacity());
                let next = control.source.next_wake();
                self.carry_out(i, effects);
                (next, Vec::new())
            }
            Part::Follower(follower) => {
                let effects = metered(meter, cost, || follower.take_outputs());
                meter.memory -= room::<dist::Output>(cost, effects.capacity());
                let next = follower.next_wake();
                if self.full_at[i].is_none() && follower.is_synchronized() {
                    self.full_at[i] = Some(self.now);
                }
                self.carry_out(i, effects);
                (next, Vec::new())
            }
        };
        let at = next
            .saturating_sub(self.processes[i].mono)
            .max(self.now + 1);
        if at < self.processes[i].wake_at[part] {
            self.processes[i].wake_at[part] = at;
            self.push(at, Event::Wake(i as u32, port));
        }
        if !news.is_empty() {
            self.take_news(i, &news);
        }
    }

    fn carry_out(&mut self, i: usize, effects: Vec<dist::Output>) {
        let cost = self.cost();
        let mut changed = Vec::new();
        for effect in effects {
            match effect {
                dist::Output::Datagram(to, bytes) => {
                    self.meters[i][0].memory -= room::<u8>(cost, bytes.capacity());
                    self.send(i, DISTRIBUTION, to, bytes);
                }
                dist::Output::EntryUpdated(entry) => {
                    self.meters[i][0].memory -= room::<u8>(cost, entry.value.capacity());
                    changed.push(entry);
                }
                dist::Output::Event(notice) => {
                    let text = format!("{notice:?}");
                    let kind = text.split([' ', '(', '{']).next().unwrap_or_default();
                    *self.notices.entry(kind.to_owned()).or_default() += 1;
                }
            }
        }
        if !changed.is_empty() {
            self.look(i, changed);
        }
    }

    /// What a follower holds after a change.
    fn look(&mut self, i: usize, changed: Vec<GossipEntry>) {
        let (now, who) = (self.now, i - CONTROLS);
        let Part::Follower(follower) = &self.processes[i].part else {
            return;
        };
        match self.plan.planted {
            Planted::None | Planted::Forgets(_) if self.plan.scan => {
                self.checker.scan(now, who, follower.store().iter());
            }
            Planted::None | Planted::Forgets(_) => {
                for entry in changed {
                    if let Some(held) = follower.store().get(entry.key) {
                        self.checker.holds(now, who, held);
                    }
                }
            }
            Planted::TakesLower => {
                let boot = self.processes[i].boot;
                for entry in changed {
                    self.checker.holds(now, who, &entry);
                    self.processes[i].own.insert(entry.key, entry.clone());
                    let after = self.random.random_range(1000..5000);
                    self.push(now + after, Event::Again(i as u32, boot, entry));
                }
            }
            Planted::Invents(share) => {
                for mut entry in changed {
                    if entry.version.is_multiple_of(share) {
                        entry.value[VALUE - 1] ^= 1;
                    }
                    self.checker.holds(now, who, &entry);
                    self.processes[i].own.insert(entry.key, entry);
                }
            }
        }
    }

    fn send(&mut self, from: usize, port: u16, to: SocketAddr, bytes: Vec<u8>) {
        self.meters[from][usize::from(port == CLUSTER)].sends(self.now, bytes.len());
        let IpAddr::V4(ip) = to.ip() else {
            return;
        };
        let target = u32::from(ip).wrapping_sub(FIRST_ADDRESS) as usize;
        if target >= self.processes.len() || to.port() != port {
            return;
        }
        if self.recorded.len() < RECORDED {
            self.recorded.push((port, bytes.clone()));
        } else if self.random.random_range(0..64) == 0 {
            let at = self.random.random_range(0..RECORDED);
            self.recorded[at] = (port, bytes.clone());
        }
        let cut = self.cuts.iter().any(|(a, b)| a[from] && b[target]);
        if cut || self.random.random_bool(self.plan.loss) {
            return;
        }
        let copies = 1 + usize::from(self.random.random_bool(self.plan.twice));
        let base = delay(&place(from), &place(target));
        for _ in 1..copies {
            let after = self.travel(base);
            let event = Event::Datagram(target as u32, port, address(from, port), bytes.clone());
            self.push(self.now + after, event);
        }
        let after = self.travel(base);
        let event = Event::Datagram(target as u32, port, address(from, port), bytes);
        self.push(self.now + after, event);
    }

    fn travel(&mut self, base: Millis) -> Millis {
        let mut after = base + self.random.random_range(0..=(base / 5).max(1));
        if self.random.random_bool(self.plan.late) {
            after += self.random.random_range(500..8000);
        }
        after
    }

    fn leads(&self, i: usize) -> bool {
        let mono = self.mono(i);
        match &self.processes[i].part {
            Part::Control(control) => control.leads.as_ref().is_some_and(|l| mono < l.until),
            _ => false,
        }
    }

    /// The duty is this instance's for a period.
    fn act(&mut self, i: usize, boot: u64, grant: LeaseGrant) {
        let (was, mono, every) = (self.leads(i), self.mono(i), self.plan.every);
        let retell = self.plan.retell;
        let process = &mut self.processes[i];
        let Part::Control(control) = &mut process.part else {
            return;
        };
        if process.boot != boot || grant.lease != LeaseId::of(DUTY) {
            return;
        }
        let in_time = grant.is_valid(mono);
        control.node.record_completion(&grant, in_time);
        if !in_time {
            return;
        }
        control.leads = Some(Lead {
            period: grant.fencing_token,
            step: 0,
            // As the list duty does: until the next grant comes, and until then nobody else can have one either.
            until: mono + every + every / 8,
        });
        if !was {
            control.dirty = None;
        }
        if !was && retell {
            self.retell(i);
        }
        self.tell(i, true);
        self.push(
            self.now + HEAD_EVERY,
            Event::Head(i as u32, boot, grant.fencing_token),
        );
    }

    /// Writes all keys anew that the truth has.
    fn retell(&mut self, i: usize) {
        let rows = self.truth.clone();
        self.write(i, rows.into_iter().collect(), false);
    }

    /// Writes what differs from the truth, and a head.
    fn tell(&mut self, i: usize, head: bool) {
        let Part::Control(control) = &mut self.processes[i].part else {
            return;
        };
        let dirty = control.dirty.replace(BTreeSet::new());
        let keys: Vec<u64> = match dirty {
            Some(some) => some.into_iter().collect(),
            None => {
                let known = self.checker.keys();
                let all: BTreeSet<u64> = known.chain(self.truth.keys().copied()).collect();
                all.into_iter().collect()
            }
        };
        let mut rows = Vec::new();
        for key in keys {
            let on_board = control.node.gossip_store().get(key);
            match (self.truth.get(&key), on_board) {
                (Some(value), Some(entry)) if entry.value == *value => {}
                (Some(value), _) => rows.push((key, value.clone())),
                // What is not there any more is told as removed, by whoever knows that it was.
                (None, Some(entry)) if !is_removed(entry) => {
                    let mut value = entry.value.clone();
                    value[1] = 2;
                    rows.push((key, value));
                }
                (None, _) => {}
            }
        }
        self.write(i, rows, head);
    }

    fn write(&mut self, i: usize, rows: Vec<(u64, Vec<u8>)>, head: bool) {
        let (now, cost) = (self.clocks(i), self.cost());
        let Part::Control(control) = &mut self.processes[i].part else {
            return;
        };
        let Some(lead) = &mut control.leads else {
            return;
        };
        let mut entries: Vec<GossipEntry> = Vec::new();
        let head_key = LeaseId::of(DUTY).0;
        let head = head.then(|| (head_key, vec![0; 17]));
        for (key, value) in rows.into_iter().chain(head) {
            lead.step = (lead.step + 1).min((1 << STEPS) - 1);
            let version = lead.period << STEPS | lead.step;
            entries.push(GossipEntry {
                key,
                version,
                value,
            });
        }
        let rows: Vec<GossipEntry> = entries
            .iter()
            .filter(|e| e.key != head_key)
            .cloned()
            .collect();
        for entry in &rows {
            self.checker.wrote(self.now, i, entry);
        }
        let meter = &mut self.meters[i][1];
        // They are made out here, and kept or dropped in there.
        meter.memory += room::<GossipEntry>(cost, entries.capacity());
        let values = entries.iter().map(|e| room::<u8>(cost, e.value.capacity()));
        meter.memory += values.sum::<i64>();
        metered(meter, cost, || control.node.publish(now, entries));
        self.hand_over(i, &rows, true);
        self.settle(i, CLUSTER);
    }

    /// What the board has goes to the source.
    fn hand_over(&mut self, i: usize, rows: &[GossipEntry], heard: bool) {
        let (now, cost) = (self.mono(i), self.cost());
        let kept: Vec<GossipEntry> = match self.plan.planted {
            Planted::Forgets(share) => {
                let keeps = |e: &&GossipEntry| !e.version.is_multiple_of(share);
                rows.iter().filter(keeps).cloned().collect()
            }
            _ => rows.to_vec(),
        };
        let Part::Control(control) = &mut self.processes[i].part else {
            return;
        };
        metered(&mut self.meters[i][0], cost, || {
            if !kept.is_empty() {
                control.source.publish(now, &kept);
            }
            if heard {
                control.source.confirm_complete(now);
            }
        });
        self.settle(i, DISTRIBUTION);
    }

    fn take_news(&mut self, i: usize, news: &[GossipEntry]) {
        let head_key = LeaseId::of(DUTY).0;
        let rows: Vec<GossipEntry> = news.iter().filter(|e| e.key != head_key).cloned().collect();
        let heard = rows.len() < news.len();
        if let Part::Control(control) = &mut self.processes[i].part
            && let Some(dirty) = &mut control.dirty
        {
            dirty.extend(rows.iter().map(|e| e.key));
        }
        self.hand_over(i, &rows, heard);
    }

    fn start(&mut self, i: usize) {
        if self.is_up(i) {
            return;
        }
        let (now, cost) = (self.clocks(i), self.cost());
        let boot = now.wall.max(self.processes[i].boot + 1);
        let identity = |port: u16| Identity {
            name: name(i),
            address: address(i, port),
            incarnation: boot,
            refutations: 0,
        };
        let seed = self.random.next_u64();
        self.meters[i] = [Meter::default(); 2];
        let meters = &mut self.meters[i];
        let part = if i < CONTROLS {
            let node = metered(&mut meters[1], cost, || {
                let mut node = Node::new(
                    now,
                    node::NodeConfig {
                        identity: identity(CLUSTER),
                        keys: keys(),
                        seeds: (0..3).map(|i| address(i, CLUSTER)).collect(),
                        voters: (0..CONTROLS).map(name).collect(),
                        max_clock_skew: 1000,
                        probe_timing: PACE,
                        ranking: ranking(),
                        random_seed: seed,
                    },
                );
                node.configure(now, &BTreeMap::from([(DUTY.to_owned(), self.plan.every)]));
                node
            });
            let source = metered(&mut meters[0], cost, || {
                let setup = SourceConfig {
                    identity: identity(DISTRIBUTION),
                    keys: keys(),
                    limits: Limits::default(),
                    seed,
                };
                Source::new(now.monotonic, setup)
            });
            Part::Control(Box::new(Control {
                node,
                source,
                leads: None,
                dirty: None,
            }))
        } else {
            let follower = metered(&mut meters[0], cost, || {
                let sources = (0..CONTROLS).map(|c| SourceEndpoint {
                    name: name(c),
                    address: address(c, DISTRIBUTION),
                    location: place(c),
                });
                let setup = FollowerConfig {
                    identity: identity(DISTRIBUTION),
                    location: place(i),
                    sources: sources.collect(),
                    keys: keys(),
                    score: ranking().0,
                    schedule: PollSchedule::default(),
                    seed,
                };
                Follower::new(now.monotonic, setup)
            });
            self.checker.restarted(i - CONTROLS);
            Part::Follower(Box::new(follower))
        };
        self.full_at[i] = None;
        self.started_at[i] = self.now;
        let process = &mut self.processes[i];
        process.part = part;
        (process.boot, process.frozen) = (boot, false);
        process.wake_at = [Millis::MAX; 2];
        process.own.clear();
        self.settle(i, DISTRIBUTION);
        if i < CONTROLS {
            self.settle(i, CLUSTER);
        }
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(i) => {
                let process = &mut self.processes[i];
                process.part = Part::Down;
                process.waiting.clear();
                (process.datagrams_waiting, process.frozen) = (0, false);
            }
            Fault::Start(i) => self.start(i),
            Fault::Freeze(i) => self.processes[i].frozen = self.is_up(i),
            Fault::Thaw(i) => {
                let process = &mut self.processes[i];
                (process.datagrams_waiting, process.frozen) = (0, false);
                process.wake_at = [self.now; 2];
                for event in std::mem::take(&mut process.waiting) {
                    if !matches!(event, Event::Wake(..)) {
                        self.push(self.now, event);
                    }
                }
                self.push(self.now, Event::Wake(i as u32, DISTRIBUTION));
                if i < CONTROLS {
                    self.push(self.now, Event::Wake(i as u32, CLUSTER));
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
            Fault::Network(loss, twice, late) => {
                (self.plan.loss, self.plan.twice, self.plan.late) = (loss, twice, late);
            }
            Fault::Forge(i) => self.forge(i),
            Fault::Set(key) => {
                let value = self.value();
                self.truth.insert(key, value);
                self.checker.changed(self.now, key);
                self.push(self.now + WATCH, Event::Watched(key));
            }
            Fault::Remove(key) => {
                if self.truth.remove(&key).is_some() {
                    self.checker.changed(self.now, key);
                    self.push(self.now + WATCH, Event::Watched(key));
                }
            }
        }
    }

    fn forge(&mut self, to: usize) {
        let (mut port, mut bytes): (u16, Vec<u8>) = match self.random.random_range(0..5) {
            0 => {
                let length = self.random.random_range(0..1500);
                let bytes = (0..length).map(|_| self.random.random()).collect();
                (DISTRIBUTION, bytes)
            }
            1 => {
                // Another cluster's key, and the name of one of ours.
                let who = self.random.random_range(0..CONTROLS);
                let id = InstanceId::of(&name(who)).0;
                let key = Keys(vec![Key::new(b"the secret of another")]);
                let sessions = Sessions::new(id, START * 2, key);
                let run = self.processes[to].boot;
                let greets = self.random.random_bool(0.5);
                let sealed = match greets {
                    true => sessions.seal_greeting(&[7; 40]),
                    false => sessions.seal_answer(run, &[7; 40]),
                };
                (DISTRIBUTION, sealed.unwrap_or_default())
            }
            _ if self.recorded.is_empty() => return,
            _ => {
                let at = self.random.random_range(0..self.recorded.len());
                self.recorded[at].clone()
            }
        };
        corrupt(&mut self.random, &mut bytes);
        if to >= CONTROLS {
            port = DISTRIBUTION;
        }
        let from = address(self.random.random_range(0..self.processes.len()), port);
        self.push(self.now, Event::Datagram(to as u32, port, from, bytes));
    }
}

/// Bytes that an effect takes with it out of the instance, where they are counted.
fn room<T>(cost: Option<i64>, capacity: usize) -> i64 {
    match cost.is_some() && allocated() != 0 {
        true => (capacity * size_of::<T>()) as i64,
        false => 0,
    }
}
