//! A cluster in virtual time. The nodes are the real ones, down to the bytes of their datagrams; the network, the
//! clocks, the processes' deaths and pauses come from a seed. The same seed plays the same again.

use crate::judge::{Act, Judge};
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

/// Datagrams that wait for a frozen process, as the kernel's buffer would hold them.
const KERNEL_BUFFER: usize = 256;

/// What the world is like.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Instances; the first `voters` of them vote.
    pub instances: usize,
    /// See `instances`.
    pub voters: usize,
    /// Duties, all of one period.
    pub duties: usize,
    /// That period.
    pub every: Millis,
    /// How far wall clocks lie apart at most.
    pub skew: Millis,
    /// Shares of datagrams that are lost and that come twice.
    pub loss: f64,
    /// See `loss`.
    pub twice: f64,
    /// Datagrams take from 1 ms to this.
    pub delay: Millis,
    /// From looking at the grant to acting, at most.
    pub act: Millis,
    /// Each instance claims alone: the rig's proof that the judge sees what must not be.
    pub without_votes: bool,
    /// Restarted instances do not abstain, and wall clocks stand still: another such proof.
    pub without_memory: bool,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            instances: 5,
            voters: 5,
            duties: 40,
            every: 4000,
            skew: 1000,
            loss: 0.01,
            twice: 0.01,
            delay: 20,
            act: 5,
            without_votes: false,
            without_memory: false,
        }
    }
}

/// What is done to the cluster.
#[derive(Clone, Debug)]
pub enum Fault {
    /// The process dies without a sign.
    Kill(usize),
    /// It starts again under its name, having forgotten everything.
    Start(usize),
    /// It stops running for now; its clocks go on.
    Freeze(usize),
    /// It goes on.
    Thaw(usize),
    /// It leaves in order, then ends.
    Leave(usize),
    /// Nothing passes from any of the first to any of the second.
    Cut(Vec<usize>, Vec<usize>),
    /// Everything passes again.
    Heal,
    /// Its wall clock jumps by so much.
    Jump(usize, i64),
    /// It knows these many duties from now on.
    Duties(usize, usize),
    /// Bytes that nobody of the cluster sent: random, cut off, recorded and sent again, or signed with another key.
    Forge(usize),
}

enum Event {
    Datagram(usize, SocketAddr, Vec<u8>),
    Wake(usize),
    Act(usize, u64, LeaseGrant, Millis, Millis),
    Fault(Fault),
}

struct Process {
    node: Option<Node>,
    boot: u64,
    frozen: bool,
    /// What waits for it to go on.
    waiting: Vec<Event>,
    mono: u64,
    wall: i64,
    wake_at: Millis,
    duties: usize,
}

/// See the module's page.
pub struct World {
    /// What it is like.
    pub plan: Plan,
    /// Now, in true time.
    pub now: Millis,
    /// What was done to whom.
    pub judge: Judge,
    /// A duty whose course is told, with all faults.
    pub watch: Option<u64>,
    /// Datagrams and bytes sent by each instance.
    pub sent: Vec<(u64, u64)>,
    /// What the nodes spend and see, where that is asked for.
    pub meter: Option<Meter>,
    /// Instances by address.
    index: HashMap<SocketAddr, usize>,
    processes: Vec<Process>,
    heap: BinaryHeap<Reverse<(Millis, u64)>>,
    events: BTreeMap<u64, Event>,
    count: u64,
    random: ChaCha8Rng,
    cuts: BTreeSet<(usize, usize)>,
    recorded: Vec<Vec<u8>>,
    names: Vec<(String, u64)>,
    /// A second, lawful key is in use.
    keys: Vec<Vec<u8>>,
}

/// Where an instance takes datagrams.
pub fn address(i: usize) -> SocketAddr {
    (
        Ipv4Addr::new(127, 0, 1 + (i / 250) as u8, 1 + (i % 250) as u8),
        7000,
    )
        .into()
}

/// Cuts a datagram off, damages one bit of it, or leaves it as it is, to be sent again.
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

const START: Millis = 1_700_000_000_000;

impl World {
    /// A world whose instances have all just started.
    pub fn new(plan: Plan, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let processes = (0..plan.instances)
            .map(|_| Process {
                node: None,
                boot: 0,
                frozen: false,
                waiting: Vec::new(),
                // Every machine's monotonic clock has another origin.
                mono: random.random_range(1_000..10_000_000),
                wall: random.random_range(0..=plan.skew as i64) - plan.skew as i64 / 2,
                wake_at: Millis::MAX,
                duties: plan.duties,
            })
            .collect();
        let names = (0..plan.duties).map(|n| {
            let name = format!("duty-{n}");
            let id = spanspur_leases::LeaseId::of(&name).0;
            (name, id)
        });
        let mut world = Self {
            names: names.collect(),
            sent: vec![(0, 0); plan.instances],
            meter: None,
            index: (0..plan.instances).map(|i| (address(i), i)).collect(),
            plan,
            now: 0,
            judge: Judge::default(),
            watch: None,
            processes,
            heap: BinaryHeap::new(),
            events: BTreeMap::new(),
            count: 0,
            random,
            cuts: BTreeSet::new(),
            recorded: Vec::new(),
            keys: vec![b"a secret of the rig".to_vec()],
        };
        for i in 0..world.plan.instances {
            world.start(i);
        }
        world
    }

    /// The ids of all duties.
    pub fn duty_ids(&self) -> Vec<u64> {
        self.names.iter().map(|(_, id)| *id).collect()
    }

    /// A node that runs.
    pub fn node(&self, i: usize) -> Option<&Node> {
        self.processes[i].node.as_ref()
    }

    /// The instance that takes datagrams at an address.
    pub fn target(&self, to: SocketAddr) -> Option<usize> {
        self.index.get(&to).copied()
    }

    /// An instance that runs puts entries on the board.
    pub fn publish(&mut self, i: usize, entries: Vec<GossipEntry>) {
        let now = self.clocks(i);
        if let Some(node) = &mut self.processes[i].node {
            metered(&mut self.meter, i, || node.publish(now, entries));
            self.settle(i);
        }
    }

    /// The random numbers of the world, for drawing a script.
    pub fn random(&mut self) -> &mut ChaCha8Rng {
        &mut self.random
    }

    /// Does something to the cluster at a time to come.
    pub fn at(&mut self, at: Millis, fault: Fault) {
        self.push(at, Event::Fault(fault));
    }

    /// The clocks of an instance.
    pub fn clocks(&self, i: usize) -> Clocks {
        let process = &self.processes[i];
        Clocks {
            monotonic: self.now + process.mono,
            wall: (START as i64 + self.now as i64 + process.wall) as Millis,
        }
    }

    /// Plays on until then.
    pub fn run_until(&mut self, end: Millis) {
        while let Some(Reverse((at, number))) = self.heap.peek().copied()
            && at <= end
        {
            self.heap.pop();
            self.now = at;
            let Some(event) = self.events.remove(&number) else {
                continue;
            };
            self.happen(event);
        }
        self.now = end;
    }

    fn push(&mut self, at: Millis, event: Event) {
        self.count += 1;
        self.heap.push(Reverse((at.max(self.now), self.count)));
        self.events.insert(self.count, event);
    }

    fn happen(&mut self, event: Event) {
        let process = match &event {
            Event::Fault(_) => None,
            Event::Datagram(i, ..) | Event::Wake(i) | Event::Act(i, ..) => Some(*i),
        };
        if let Some(i) = process
            && self.processes[i].frozen
        {
            let waiting = &mut self.processes[i].waiting;
            if !matches!(event, Event::Datagram(..)) || waiting.len() < KERNEL_BUFFER {
                waiting.push(event);
            }
            return;
        }
        match event {
            Event::Datagram(i, from, bytes) => {
                let now = self.clocks(i);
                if let Some(node) = &mut self.processes[i].node {
                    metered(&mut self.meter, i, || node.receive(now, from, &bytes));
                    self.settle(i);
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
                    self.settle(i);
                }
            }
            Event::Act(i, boot, grant, won, until) => {
                let process = &mut self.processes[i];
                // The process that was about to act has died.
                if process.boot != boot || process.node.is_none() {
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
                if self.watch == Some(grant.lease.0) {
                    println!("{act:?}");
                }
                self.judge.act(grant.lease.0, act);
            }
            Event::Fault(fault) => self.fault(fault),
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
        let boot = now.wall.max(self.processes[i].boot + 1);
        let keys = self.keys.iter().map(|secret| Key::new(secret)).collect();
        let setup = NodeConfig {
            identity: Identity {
                name: name(i),
                address: address(i),
                incarnation: boot,
                refutations: 0,
            },
            keys: Keys(keys),
            seeds: (0..self.plan.instances.min(3)).map(address).collect(),
            voters,
            max_clock_skew: self.plan.skew,
            probe_timing: pace(self.plan.every),
            ranking: ranking(),
            random_seed: self.random.next_u64(),
        };
        let mut born = now;
        if self.plan.without_memory {
            // As if it had run for a day: nothing to abstain for.
            born.monotonic = born.monotonic.saturating_sub(86_400_000);
        }
        let mut node = Node::new(born, setup);
        let known = self.processes[i].duties;
        node.configure(now, &self.duties(known));
        if let Some(meter) = &mut self.meter {
            meter.forgets(i);
        }
        let process = &mut self.processes[i];
        (process.node, process.boot, process.frozen) = (Some(node), boot, false);
        process.wake_at = Millis::MAX;
        self.settle(i);
    }

    fn duties(&self, known: usize) -> BTreeMap<String, Millis> {
        let names = self.names.iter().take(known);
        names
            .map(|(name, _)| (name.clone(), self.plan.every))
            .collect()
    }

    fn fault(&mut self, fault: Fault) {
        if self.watch.is_some() && !matches!(fault, Fault::Forge(_)) {
            println!("{} {fault:?}", self.now);
        }
        match fault {
            Fault::Kill(i) => {
                self.processes[i].node = None;
                self.processes[i].waiting.clear();
                self.processes[i].frozen = false;
            }
            Fault::Start(i) => self.start(i),
            Fault::Freeze(i) => self.processes[i].frozen = self.processes[i].node.is_some(),
            Fault::Thaw(i) => {
                self.processes[i].frozen = false;
                let waiting = std::mem::take(&mut self.processes[i].waiting);
                // The order in which a process that goes on finds its work is its own.
                for event in waiting {
                    self.push(self.now, event);
                }
            }
            Fault::Leave(i) => {
                let now = self.clocks(i);
                if let Some(node) = &mut self.processes[i].node {
                    node.leave(now);
                }
                self.settle(i);
                self.processes[i].node = None;
            }
            Fault::Cut(from, to) => {
                for a in &from {
                    self.cuts.extend(to.iter().map(|b| (*a, *b)));
                }
            }
            Fault::Heal => self.cuts.clear(),
            Fault::Jump(i, by) => self.processes[i].wall += by,
            Fault::Duties(i, known) => {
                self.processes[i].duties = known;
                let (now, duties) = (self.clocks(i), self.duties(known));
                if let Some(node) = &mut self.processes[i].node {
                    node.configure(now, &duties);
                }
                self.settle(i);
            }
            Fault::Forge(i) => self.forge(i),
        }
    }

    fn forge(&mut self, to: usize) {
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
        self.push(self.now, Event::Datagram(to, from, bytes));
    }

    /// Carries out what a node says.
    fn settle(&mut self, i: usize) {
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
                    let mono = self.clocks(i).monotonic;
                    if grant.is_valid(mono) {
                        // From here to the act the process may be frozen, or die.
                        let after = self.random.random_range(0..=self.plan.act);
                        let until = grant.valid_until.saturating_sub(self.processes[i].mono);
                        let boot = self.processes[i].boot;
                        let act = Event::Act(i, boot, grant, self.now, until);
                        self.push(self.now + after, act);
                    }
                }
                Effect::Notice(notice) => {
                    if let Some(meter) = &mut self.meter {
                        meter.notice(self.now, i, &notice);
                    }
                    let about = match &notice {
                        Notice::TermsMissed { lease, .. }
                        | Notice::QuorumChanged { lease, .. }
                        | Notice::HoldingChanged { lease, .. } => Some(lease.0),
                        _ => None,
                    };
                    if about.is_some() && about == self.watch {
                        println!("{} n{i} {notice:?}", self.now);
                    }
                }
                Effect::EntryUpdated(entry) => {
                    if let Some(meter) = &mut self.meter {
                        meter.news(self.now, &entry);
                    }
                }
            }
        }
        let at = next
            .saturating_sub(self.processes[i].mono)
            .max(self.now + 1);
        if at < self.processes[i].wake_at {
            self.processes[i].wake_at = at;
            self.push(at, Event::Wake(i));
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        self.sent[from].0 += 1;
        self.sent[from].1 += bytes.len() as u64;
        let Some(target) = self.target(to) else {
            return;
        };
        if self.recorded.len() < 512 {
            self.recorded.push(bytes.clone());
        } else if self.random.random_range(0..64) == 0 {
            let at = self.random.random_range(0..512);
            self.recorded[at] = bytes.clone();
        }
        if self.cuts.contains(&(from, target)) || self.random.random_bool(self.plan.loss) {
            return;
        }
        let copies = 1 + usize::from(self.random.random_bool(self.plan.twice));
        for _ in 0..copies {
            let after = self.random.random_range(1..=self.plan.delay);
            let event = Event::Datagram(target, address(from), bytes.clone());
            self.push(self.now + after, event);
        }
    }
}

/// A pace of the membership that fits duties of this period.
pub fn pace(every: Millis) -> ProbeTiming {
    let probe = (every / 10).clamp(100, 1000);
    ProbeTiming {
        probe_interval: Duration::from_millis(probe),
        ack_timeout: Duration::from_millis(probe / 3),
        suspicion_timeout: Duration::from_millis(probe * 2),
    }
}
