//! The distribution over real loopback sockets in real time: nine control instances and many hollow followers in one
//! process, each with the driver that the program has, on sockets of its own. A check of what virtual time says.
//!
//! The control instances share one thread, the followers another. One control instance's board is published on without
//! a claim or a duty; it confirms the list as often as the duty's holder would.

use super::measure::{Spread, spread};
use super::world::{CONTROLS, PACE, VALUE, key, name, place};
use crate::meter::thread_cpu_ns;
use crate::ranking;
use serde::{Deserialize, Serialize};
use spanspur_cluster::distribution::{
    ChangesAnswer, FollowerDriver, ReplicationStatus, SourceDriver,
};
use spanspur_cluster::driver::{Cluster, ClusterHandle};
use spanspur_cluster::node::NodeConfig;
use spanspur_distribution::{
    Entry, FollowerConfig, Limits, PollSchedule, SourceConfig, SourceEndpoint,
};
use spanspur_leases::LeaseId;
use spanspur_membership::{Identity, Key, Keys};
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// Between two looks at whether all are full, or have a change.
const LOOK: Duration = Duration::from_millis(50);
/// The list is confirmed so often, as by the holder of the duty.
const BEAT: Duration = Duration::from_millis(250);
/// Between two changes.
const BETWEEN: Duration = Duration::from_secs(1);
/// The longest wait until all are full, and after the last change.
const FULL_WITHIN: Duration = Duration::from_secs(15);
/// See [`FULL_WITHIN`].
const CHANGED_WITHIN: Duration = Duration::from_secs(5);
/// The longest wait for an answer of the other thread.
const ANSWER_WITHIN: Duration = Duration::from_secs(10);
/// From the last change in force at all until the rest is measured.
const SETTLE: Duration = Duration::from_secs(1);
/// Entries have version 1; the n-th change has this and n.
const FIRST_CHANGE: u64 = 1000;
/// Ticks of a second in `/proc/thread-self/stat`.
const TICKS: f64 = 100.0;

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Play {
    /// Balancers.
    pub followers: usize,
    /// Entries of the list.
    pub entries: usize,
    /// Changes, a second apart.
    pub changes: usize,
    /// For so long the rest is measured.
    pub rest: Duration,
}

/// What one instance spends in a second at rest, by the drivers' counters and the thread's clock.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Rest {
    /// Bytes of datagrams sent and received.
    pub bytes: f64,
    /// Datagrams sent and received.
    pub datagrams: f64,
    /// Microseconds of a processor: the thread's, divided by its instances.
    pub cpu: f64,
    /// The kernel's part of that, from 0 to 1; `None` where the thread spent under 10 ticks of 10 ms.
    pub kernel: Option<f64>,
}

/// One run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Sockets {
    /// Balancers and entries.
    pub followers: usize,
    /// See `followers`.
    pub entries: usize,
    /// From the start of everybody until a balancer holds all entries, in ms.
    pub until_all: Spread,
    /// From the start of everybody until all hold all entries and have completed a comparison, in ms.
    pub until_full: Option<u64>,
    /// Balancers that were full in the end.
    pub full: usize,
    /// Changes, and for each that came to all: from its publishing until the last balancer had it, in ms.
    pub changes: usize,
    /// See `changes`.
    pub everywhere: Spread,
    /// For each change and balancer that has it, in ms.
    pub each: Spread,
    /// Of a change and a balancer, not in force in the end.
    pub missing: usize,
    /// A balancer's mean.
    pub follow: Rest,
    /// The control instance that had most bytes; processor time is the mean of the nine.
    pub control: Rest,
    /// Datagrams of all that were sent and not received, until full and later: those under way among them.
    pub lost: (u64, u64),
    /// Datagrams that a socket did not take.
    pub unsent: u64,
    /// Seconds of ours.
    pub wall: f64,
}

/// What went over sockets: datagrams and bytes, both ways.
#[derive(Clone, Copy, Debug, Default)]
struct Went {
    sent: u64,
    received: u64,
    bytes: u64,
    unsent: u64,
}

impl Went {
    fn of(answer: &ChangesAnswer) -> Self {
        let count = |name: &str| answer.counters.get(name).copied().unwrap_or(0);
        Self {
            sent: count("sent"),
            received: count("received"),
            bytes: count("sent-bytes") + count("received-bytes"),
            unsent: count("unsent"),
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            sent: self.sent + other.sent,
            received: self.received + other.received,
            bytes: self.bytes + other.bytes,
            unsent: self.unsent + other.unsent,
        }
    }
}

/// Processor time of a thread: nanoseconds, and ticks in user mode and in the kernel.
#[derive(Clone, Copy, Debug, Default)]
struct Processor {
    ns: u64,
    user: u64,
    kernel: u64,
}

impl Processor {
    fn now() -> Self {
        let text = std::fs::read_to_string("/proc/thread-self/stat").unwrap_or_default();
        // After the name in brackets: the state is the third field, user and kernel time are the 14th and 15th.
        let rest = text.rsplit_once(')').map_or("", |(_, rest)| rest);
        let mut fields = rest.split_whitespace().skip(11);
        let mut ticks = || fields.next().and_then(|n| n.parse().ok()).unwrap_or(0);
        Self {
            user: ticks(),
            kernel: ticks(),
            ns: thread_cpu_ns(),
        }
    }

    /// Microseconds a second for one of so many, and the kernel's part.
    fn since(self, start: Self, instances: usize, seconds: f64) -> (f64, Option<f64>) {
        let us = (self.ns - start.ns) as f64 / 1000.0 / seconds / instances as f64;
        let (user, kernel) = (self.user - start.user, self.kernel - start.kernel);
        let enough = (user + kernel) as f64 >= TICKS / 10.0;
        let part = kernel as f64 / (user + kernel) as f64;
        (us, enough.then_some(part))
    }
}

/// What the followers' thread is asked.
enum Ask {
    /// How many hold all entries and are full; 0 without a closer look while some lack entries, if that is wanted.
    Full(bool, oneshot::Sender<usize>),
    /// How many hold each change.
    Changed(oneshot::Sender<Vec<usize>>),
    /// What they spent; the processor is read before and after the look.
    Spent(oneshot::Sender<(Went, Processor, Processor)>),
    /// When each had all entries, and when each had which change.
    Times(oneshot::Sender<Times>),
}

#[derive(Clone, Debug, Default)]
struct Times {
    all: Vec<Instant>,
    changes: Vec<Vec<Instant>>,
}

/// Plays once. Fails where a socket cannot be had or a thread does not answer.
pub fn play(play: Play) -> Result<Sockets, String> {
    let (cluster, sources) = (addresses(65)?, addresses(66)?);
    let (ask, asked) = mpsc::unbounded_channel();
    let at = sources.clone();
    let began = Instant::now();
    let follow = std::thread::spawn(move || local(followers(play, at, asked)));
    let result = local(controls(play, cluster, sources, began, ask));
    // All that asked is gone, so that thread ends.
    let followed = follow.join().map_err(|_| "the followers' thread failed")?;
    followed.and(result)
}

fn local<T>(run: impl Future<Output = Result<T, String>>) -> Result<T, String> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build().map_err(|e| e.to_string())?;
    LocalSet::new().block_on(&runtime, run)
}

/// An address for each control instance, with a port that was free a moment ago.
fn addresses(net: u8) -> Result<Vec<SocketAddr>, String> {
    let bound = (0..CONTROLS).map(|i| {
        let socket = UdpSocket::bind((Ipv4Addr::new(127, net, 0, 1 + i as u8), 0))?;
        socket.local_addr()
    });
    bound
        .collect::<Result<_, _>>()
        .map_err(|e| format!("a socket: {e}"))
}

fn identity(i: usize, address: SocketAddr) -> Identity {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH);
    Identity {
        name: name(i),
        address,
        incarnation: unix.unwrap_or_default().as_millis() as u64,
        refutations: 0,
    }
}

fn keys() -> Keys {
    Keys(vec![Key::new(b"a secret of the rig")])
}

async fn followers(
    play: Play,
    sources: Vec<SocketAddr>,
    mut asked: mpsc::UnboundedReceiver<Ask>,
) -> Result<(), String> {
    let times = Rc::new(RefCell::new(Times {
        changes: vec![Vec::new(); play.changes],
        ..Times::default()
    }));
    let mut all = Vec::new();
    for n in 0..play.followers {
        let i = CONTROLS + n;
        let host = Ipv4Addr::new(127, 67, (n / 250) as u8, 1 + (n % 250) as u8);
        let at = sources
            .iter()
            .enumerate()
            .map(|(c, address)| SourceEndpoint {
                name: name(c),
                address: *address,
                location: place(c),
            });
        let setup = FollowerConfig {
            identity: identity(i, SocketAddr::new(IpAddr::V4(host), 0)),
            location: place(i),
            sources: at.collect(),
            keys: keys(),
            score: ranking().0,
            schedule: PollSchedule::default(),
            seed: i as u64,
        };
        let (held, times) = (Cell::new(0), times.clone());
        let told = move |entries: &[Entry], _| {
            for entry in entries {
                let mut times = times.borrow_mut();
                match entry.version.checked_sub(FIRST_CHANGE) {
                    Some(change) => times.changes[change as usize].push(Instant::now()),
                    None => {
                        held.set(held.get() + 1);
                        if held.get() == play.entries {
                            times.all.push(Instant::now());
                        }
                    }
                }
            }
        };
        let following = FollowerDriver::start(setup, Box::new(told)).await;
        all.push(following.map_err(|e| format!("{host}: {e}"))?);
    }
    let full = |following: &&FollowerDriver| match following.answer().status {
        ReplicationStatus::Follower { status } => {
            status.synchronized && status.entries == play.entries
        }
        ReplicationStatus::Source { .. } => false,
    };
    while let Some(ask) = asked.recv().await {
        // Who asks may have given up; that is no concern of ours.
        match ask {
            Ask::Full(cheaply, to) => {
                let lacks = cheaply && times.borrow().all.len() < all.len();
                let count = || all.iter().filter(full).count();
                let _ = to.send(if lacks { 0 } else { count() });
            }
            Ask::Changed(to) => {
                let _ = to.send(times.borrow().changes.iter().map(Vec::len).collect());
            }
            Ask::Spent(to) => {
                let before = Processor::now();
                let went = all.iter().map(|one| Went::of(&one.answer()));
                let went = went.fold(Went::default(), Went::plus);
                let _ = to.send((went, before, Processor::now()));
            }
            Ask::Times(to) => {
                let _ = to.send(times.borrow().clone());
            }
        }
    }
    Ok(())
}

/// A control instance: its node and its source.
type Control = (ClusterHandle, SourceDriver);

async fn start(cluster: &[SocketAddr], sources: &[SocketAddr]) -> Result<Vec<Control>, String> {
    let mut controls = Vec::new();
    for (i, (at, source)) in cluster.iter().zip(sources).enumerate() {
        let setup = NodeConfig {
            identity: identity(i, *at),
            keys: keys(),
            seeds: cluster.iter().take(3).copied().collect(),
            voters: (0..CONTROLS).map(name).collect(),
            max_clock_skew: 1000,
            probe_timing: PACE,
            ranking: ranking(),
            random_seed: i as u64,
        };
        let (node, mut fresh) = Cluster::start(setup)
            .await
            .map_err(|e| format!("{at}: {e}"))?;
        let distributor = SourceDriver::start(SourceConfig {
            identity: identity(i, *source),
            keys: keys(),
            limits: Limits::default(),
            seed: i as u64,
        });
        let distributor = distributor.await.map_err(|e| format!("{source}: {e}"))?;
        let to = distributor.clone();
        spawn_local(async move {
            while let Some(entry) = fresh.recv().await {
                match entry.key == beat_key() {
                    true => to.confirm_complete(),
                    false => to.publish(&[entry]),
                }
            }
        });
        controls.push((node, distributor));
    }
    Ok(controls)
}

/// Where the list is confirmed on the board; not passed on to followers.
fn beat_key() -> u64 {
    LeaseId::of("list/beat").0
}

fn publish((node, distributor): &Control, entries: Vec<Entry>) {
    distributor.publish(&entries);
    node.publish(entries);
}

/// Confirms the list for as long as the runtime lives.
async fn confirm((node, distributor): Control) {
    for version in 1.. {
        let value = vec![7; 17];
        node.publish(vec![Entry {
            key: beat_key(),
            version,
            value,
        }]);
        distributor.confirm_complete();
        sleep(BEAT).await;
    }
}

fn went((node, distributor): &Control) -> Went {
    let traffic = node.traffic();
    Went::of(&distributor.answer()).plus(Went {
        sent: traffic.sent,
        received: traffic.received,
        bytes: traffic.sent_bytes + traffic.received_bytes,
        unsent: traffic.unsent,
    })
}

async fn told<T>(
    ask: &mpsc::UnboundedSender<Ask>,
    of: impl FnOnce(oneshot::Sender<T>) -> Ask,
) -> Result<T, String> {
    let (to, answer) = oneshot::channel();
    let sent = ask.send(of(to));
    sent.map_err(|_| "the followers' thread has ended")?;
    match timeout(ANSWER_WITHIN, answer).await {
        Ok(Ok(answer)) => Ok(answer),
        _ => Err("the followers' thread does not answer".to_owned()),
    }
}

async fn controls(
    play: Play,
    cluster: Vec<SocketAddr>,
    sources: Vec<SocketAddr>,
    began: Instant,
    ask: mpsc::UnboundedSender<Ask>,
) -> Result<Sockets, String> {
    let all = start(&cluster, &sources).await?;
    let rows = (0..play.entries).map(|n| Entry {
        key: key(n),
        version: 1,
        value: vec![1; VALUE],
    });
    publish(&all[0], rows.collect());
    spawn_local(confirm(all[0].clone()));
    let mut result = Sockets {
        followers: play.followers,
        entries: play.entries,
        changes: play.changes,
        ..Sockets::default()
    };
    while result.until_full.is_none() && began.elapsed() < FULL_WITHIN {
        sleep(LOOK).await;
        if told(&ask, |to| Ask::Full(true, to)).await? == play.followers {
            result.until_full = Some(began.elapsed().as_millis() as u64);
        }
    }

    let (follow, ..) = told(&ask, Ask::Spent).await?;
    let sum = all.iter().map(went).fold(follow, Went::plus);
    result.lost.0 = sum.sent.saturating_sub(sum.received);

    let mut published = Vec::new();
    for n in 0..play.changes {
        published.push(Instant::now());
        let entry = Entry {
            key: key(n),
            version: FIRST_CHANGE + n as u64,
            value: vec![2; VALUE],
        };
        publish(&all[0], vec![entry]);
        sleep(BETWEEN).await;
    }
    let last = Instant::now();
    while last.elapsed() < CHANGED_WITHIN {
        let counts = told(&ask, Ask::Changed).await?;
        if counts.iter().all(|count| *count == play.followers) {
            break;
        }
        sleep(LOOK).await;
    }
    let times = told(&ask, Ask::Times).await?;
    let ms = |at: &Instant, from: Instant| at.duration_since(from).as_millis() as u64;
    result.until_all = spread(times.all.iter().map(|at| ms(at, began)));
    let changes = || times.changes.iter().zip(&published);
    let whole = changes().filter(|(at, _)| at.len() == play.followers);
    let latest = whole.filter_map(|(at, from)| Some(ms(at.iter().max()?, *from)));
    result.everywhere = spread(latest);
    result.each = spread(changes().flat_map(|(at, from)| at.iter().map(|at| ms(at, *from))));
    result.missing = play.followers * play.changes - result.each.count as usize;

    sleep(SETTLE).await;
    let (follow, _, processor) = told(&ask, Ask::Spent).await?;
    let before: Vec<Went> = all.iter().map(went).collect();
    let (own, start) = (Processor::now(), Instant::now());
    sleep(play.rest).await;
    let (seconds, own_now) = (start.elapsed().as_secs_f64(), Processor::now());
    let after: Vec<Went> = all.iter().map(went).collect();
    let (follow_now, processor_now, _) = told(&ask, Ask::Spent).await?;
    let rest = |from: &Went, to: &Went, by: f64, (cpu, kernel)| Rest {
        bytes: (to.bytes - from.bytes) as f64 / by,
        datagrams: (to.sent + to.received - from.sent - from.received) as f64 / by,
        cpu,
        kernel,
    };
    let per = seconds * play.followers as f64;
    let spent = processor_now.since(processor, play.followers, seconds);
    result.follow = rest(&follow, &follow_now, per, spent);
    let spent = own_now.since(own, CONTROLS, seconds);
    let each = before.iter().zip(&after);
    let each = each.map(|(from, to)| rest(from, to, seconds, spent));
    let busiest = each.max_by(|a, b| a.bytes.total_cmp(&b.bytes));
    result.control = busiest.unwrap_or_default();

    result.full = told(&ask, |to| Ask::Full(false, to)).await?;
    let (follow, ..) = told(&ask, Ask::Spent).await?;
    let sum = all.iter().map(went).fold(follow, Went::plus);
    let lost = sum.sent.saturating_sub(sum.received);
    result.lost.1 = lost.saturating_sub(result.lost.0);
    result.unsent = sum.unsent;
    result.wall = began.elapsed().as_secs_f64();
    Ok(result)
}
