//! The distribution over loopback sockets in real time, to verify the results of the simulation in virtual time: nine
//! control instances and many followers without a balancer in one process, each with the production driver and its own
//! sockets.
//!
//! The control instances share one thread, the followers another. Entries are published through the gossip store of one
//! control instance without holding a lease; it confirms the list as often as the lease holder would.

use super::measure::{Spread, summarize};
use super::world::{CONTROLS, PROBE_TIMING, VALUE_BYTES, key, location, name};
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

/// Interval between checks whether all followers are synchronized or hold a change.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between confirmations of the list, as often as those of the lease holder.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between changes.
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait until all followers are synchronized.
const SYNC_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest wait after the last change until all followers hold all changes.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for an answer from the followers' thread.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause before the measurement at rest, after the last change is in effect at all followers.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Version of the first change; the n-th change has this version plus n. Initial entries have version 1.
const FIRST_CHANGE: u64 = 1000;
/// Clock ticks per second in `/proc/thread-self/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct SocketRunConfig {
    /// Number of balancers.
    pub followers: usize,
    /// Number of entries in the list.
    pub entries: usize,
    /// Number of changes, a second apart.
    pub changes: usize,
    /// Duration of the measurement at rest.
    pub idle_time: Duration,
}

/// Resource usage of one instance at rest, from the counters of its driver and the CPU clock of its thread. Rates are
/// per second.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Rest {
    /// Bytes of datagrams sent and received.
    pub bytes: f64,
    /// Datagrams sent and received.
    pub datagrams: f64,
    /// CPU time in microseconds: the thread's, divided by the number of its instances.
    pub cpu: f64,
    /// The kernel's share of the CPU time, from 0 to 1; `None` if the thread used less than 10 ticks of 10 ms.
    pub kernel: Option<f64>,
}

/// Result of one run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Sockets {
    /// Number of balancers.
    pub followers: usize,
    /// Number of entries.
    pub entries: usize,
    /// Time from the start of all instances until a balancer holds all entries, over the balancers.
    pub until_all: Spread,
    /// Time from the start of all instances until all balancers hold all entries and have completed a comparison, in
    /// ms.
    pub until_full: Option<u64>,
    /// Number of balancers that were synchronized at the end of the run.
    pub full: usize,
    /// Number of changes.
    pub changes: usize,
    /// For each change that reached all balancers: time from its publication until the last balancer held it.
    pub everywhere: Spread,
    /// For each change and balancer that holds it: time from its publication.
    pub each: Spread,
    /// Pairs of a change and a balancer at which it was not in effect at the end.
    pub missing: usize,
    /// Mean of the balancers.
    pub follow: Rest,
    /// The control instance with the most bytes; its CPU time is the mean of all control instances.
    pub control: Rest,
    /// Datagrams of all instances that were sent and not received, until all balancers were synchronized and later.
    /// Datagrams in flight are included.
    pub lost: (u64, u64),
    /// Datagrams that a socket did not accept.
    pub unsent: u64,
    /// Wall-clock time of the run, in seconds.
    pub wall: f64,
}

/// Datagrams and bytes sent and received over sockets.
#[derive(Clone, Copy, Debug, Default)]
struct Traffic {
    sent: u64,
    received: u64,
    bytes: u64,
    unsent: u64,
}

impl Traffic {
    fn from_answer(answer: &ChangesAnswer) -> Self {
        let count = |name: &str| answer.counters.get(name).copied().unwrap_or(0);
        Self {
            sent: count("sent"),
            received: count("received"),
            bytes: count("sent-bytes") + count("received-bytes"),
            unsent: count("unsent"),
        }
    }

    fn add(self, other: Self) -> Self {
        Self {
            sent: self.sent + other.sent,
            received: self.received + other.received,
            bytes: self.bytes + other.bytes,
            unsent: self.unsent + other.unsent,
        }
    }
}

/// CPU time of a thread: in nanoseconds, and in clock ticks of user mode and of the kernel.
#[derive(Clone, Copy, Debug, Default)]
struct CpuTime {
    ns: u64,
    user: u64,
    kernel: u64,
}

impl CpuTime {
    fn now() -> Self {
        let text = std::fs::read_to_string("/proc/thread-self/stat").unwrap_or_default();
        // The fields after the name in parentheses: the state is the third, user and kernel time the 14th and 15th.
        let rest = text.rsplit_once(')').map_or("", |(_, rest)| rest);
        let mut fields = rest.split_whitespace().skip(11);
        let mut ticks = || fields.next().and_then(|n| n.parse().ok()).unwrap_or(0);
        Self {
            user: ticks(),
            kernel: ticks(),
            ns: thread_cpu_ns(),
        }
    }

    /// CPU time per second and instance since `start`, in microseconds, and the kernel's share of it.
    fn since(self, start: Self, instances: usize, seconds: f64) -> (f64, Option<f64>) {
        let us = (self.ns - start.ns) as f64 / 1000.0 / seconds / instances as f64;
        let (user, kernel) = (self.user - start.user, self.kernel - start.kernel);
        let enough = (user + kernel) as f64 >= TICKS_PER_SECOND / 10.0;
        let share = kernel as f64 / (user + kernel) as f64;
        (us, enough.then_some(share))
    }
}

/// Queries to the followers' thread.
enum Query {
    /// Number of followers that hold all entries and are synchronized. If the flag is set, answers 0 without asking
    /// each follower while some lack entries.
    Synchronized(bool, oneshot::Sender<usize>),
    /// Number of followers that hold each change.
    Changed(oneshot::Sender<Vec<usize>>),
    /// Traffic of all followers, and CPU time of the thread before and after it was collected.
    Usage(oneshot::Sender<(Traffic, CpuTime, CpuTime)>),
    /// When followers held all entries, and when they held each change.
    Timeline(oneshot::Sender<Timeline>),
}

#[derive(Clone, Debug, Default)]
struct Timeline {
    /// For each follower that holds all entries, when it first did.
    all: Vec<Instant>,
    /// For each change, when each follower that holds it received it.
    changes: Vec<Vec<Instant>>,
}

/// Runs the control instances and followers and measures them. Fails if a socket cannot be bound or a thread does not
/// answer.
pub fn run(config: SocketRunConfig) -> Result<Sockets, String> {
    let (cluster, sources) = (addresses(65)?, addresses(66)?);
    let (queries, query_receiver) = mpsc::unbounded_channel();
    let source_addresses = sources.clone();
    let began = Instant::now();
    let follow = std::thread::spawn(move || {
        run_local(run_followers(config, source_addresses, query_receiver))
    });
    let result = run_local(run_controls(config, cluster, sources, began, queries));
    // The sender of queries is dropped, so the followers' thread ends.
    let followed = follow
        .join()
        .map_err(|_| "the followers' thread panicked")?;
    followed.and(result)
}

fn run_local<T>(run: impl Future<Output = Result<T, String>>) -> Result<T, String> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build().map_err(|e| e.to_string())?;
    LocalSet::new().block_on(&runtime, run)
}

/// An address in 127.`net`.0.0/16 for each control instance, with a port that was free when probed.
fn addresses(net: u8) -> Result<Vec<SocketAddr>, String> {
    let bound = (0..CONTROLS).map(|i| {
        let socket = UdpSocket::bind((Ipv4Addr::new(127, net, 0, 1 + i as u8), 0))?;
        socket.local_addr()
    });
    bound
        .collect::<Result<_, _>>()
        .map_err(|e| format!("cannot bind a UDP socket: {e}"))
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

async fn run_followers(
    config: SocketRunConfig,
    sources: Vec<SocketAddr>,
    mut query_receiver: mpsc::UnboundedReceiver<Query>,
) -> Result<(), String> {
    let times = Rc::new(RefCell::new(Timeline {
        changes: vec![Vec::new(); config.changes],
        ..Timeline::default()
    }));
    let mut all = Vec::new();
    for n in 0..config.followers {
        let i = CONTROLS + n;
        let host = Ipv4Addr::new(127, 67, (n / 250) as u8, 1 + (n % 250) as u8);
        let endpoints = sources
            .iter()
            .enumerate()
            .map(|(c, address)| SourceEndpoint {
                name: name(c),
                address: *address,
                location: location(c),
            });
        let setup = FollowerConfig {
            identity: identity(i, SocketAddr::new(IpAddr::V4(host), 0)),
            location: location(i),
            sources: endpoints.collect(),
            keys: keys(),
            score: ranking().0,
            schedule: PollSchedule::default(),
            seed: i as u64,
        };
        let (held, times) = (Cell::new(0), times.clone());
        let on_update = move |entries: &[Entry], _| {
            for entry in entries {
                let mut times = times.borrow_mut();
                match entry.version.checked_sub(FIRST_CHANGE) {
                    Some(change) => times.changes[change as usize].push(Instant::now()),
                    None => {
                        held.set(held.get() + 1);
                        if held.get() == config.entries {
                            times.all.push(Instant::now());
                        }
                    }
                }
            }
        };
        let driver = FollowerDriver::start(setup, Box::new(on_update)).await;
        all.push(driver.map_err(|e| format!("cannot start the follower at {host}: {e}"))?);
    }
    let synchronized = |driver: &&FollowerDriver| match driver.answer().status {
        ReplicationStatus::Follower { status } => {
            status.synchronized && status.entries == config.entries
        }
        ReplicationStatus::Source { .. } => false,
    };
    while let Some(query) = query_receiver.recv().await {
        // A failed send is ignored: the receiver may have timed out.
        match query {
            Query::Synchronized(skip_if_incomplete, to) => {
                let incomplete = skip_if_incomplete && times.borrow().all.len() < all.len();
                let count = || all.iter().filter(synchronized).count();
                let _ = to.send(if incomplete { 0 } else { count() });
            }
            Query::Changed(to) => {
                let _ = to.send(times.borrow().changes.iter().map(Vec::len).collect());
            }
            Query::Usage(to) => {
                let before = CpuTime::now();
                let traffic = all.iter().map(|one| Traffic::from_answer(&one.answer()));
                let traffic = traffic.fold(Traffic::default(), Traffic::add);
                let _ = to.send((traffic, before, CpuTime::now()));
            }
            Query::Timeline(to) => {
                let _ = to.send(times.borrow().clone());
            }
        }
    }
    Ok(())
}

/// A control instance: its cluster node and its source.
type Control = (ClusterHandle, SourceDriver);

async fn start_controls(
    cluster: &[SocketAddr],
    sources: &[SocketAddr],
) -> Result<Vec<Control>, String> {
    let mut controls = Vec::new();
    for (i, (at, source_address)) in cluster.iter().zip(sources).enumerate() {
        let setup = NodeConfig {
            identity: identity(i, *at),
            keys: keys(),
            seeds: cluster.iter().take(3).copied().collect(),
            voters: (0..CONTROLS).map(name).collect(),
            max_clock_skew: 1000,
            probe_timing: PROBE_TIMING,
            ranking: ranking(),
            random_seed: i as u64,
        };
        let (node, mut updates) = Cluster::start(setup)
            .await
            .map_err(|e| format!("cannot start the cluster node at {at}: {e}"))?;
        let source = SourceDriver::start(SourceConfig {
            identity: identity(i, *source_address),
            keys: keys(),
            limits: Limits::default(),
            seed: i as u64,
        });
        let source = source
            .await
            .map_err(|e| format!("cannot start the source at {source_address}: {e}"))?;
        let to = source.clone();
        spawn_local(async move {
            while let Some(entry) = updates.recv().await {
                match entry.key == confirmation_key() {
                    true => to.confirm_complete(),
                    false => to.publish(&[entry]),
                }
            }
        });
        controls.push((node, source));
    }
    Ok(controls)
}

/// Key of the entry that confirms the list by gossip; not passed on to followers.
fn confirmation_key() -> u64 {
    LeaseId::of("list/beat").0
}

fn publish((node, source): &Control, entries: Vec<Entry>) {
    source.publish(&entries);
    node.publish(entries);
}

/// Confirms the list until the runtime ends.
async fn confirm((node, source): Control) {
    for version in 1.. {
        let value = vec![7; 17];
        node.publish(vec![Entry {
            key: confirmation_key(),
            version,
            value,
        }]);
        source.confirm_complete();
        sleep(CONFIRM_INTERVAL).await;
    }
}

fn traffic((node, source): &Control) -> Traffic {
    let cluster = node.traffic();
    Traffic::from_answer(&source.answer()).add(Traffic {
        sent: cluster.sent,
        received: cluster.received,
        bytes: cluster.sent_bytes + cluster.received_bytes,
        unsent: cluster.unsent,
    })
}

async fn query<T>(
    queries: &mpsc::UnboundedSender<Query>,
    query: impl FnOnce(oneshot::Sender<T>) -> Query,
) -> Result<T, String> {
    let (to, answer) = oneshot::channel();
    let sent = queries.send(query(to));
    sent.map_err(|_| "the followers' thread has ended")?;
    match timeout(ANSWER_TIMEOUT, answer).await {
        Ok(Ok(answer)) => Ok(answer),
        _ => Err(format!(
            "the followers' thread did not answer within {} s",
            ANSWER_TIMEOUT.as_secs()
        )),
    }
}

async fn run_controls(
    config: SocketRunConfig,
    cluster: Vec<SocketAddr>,
    sources: Vec<SocketAddr>,
    began: Instant,
    queries: mpsc::UnboundedSender<Query>,
) -> Result<Sockets, String> {
    let all = start_controls(&cluster, &sources).await?;
    let rows = (0..config.entries).map(|n| Entry {
        key: key(n),
        version: 1,
        value: vec![1; VALUE_BYTES],
    });
    publish(&all[0], rows.collect());
    spawn_local(confirm(all[0].clone()));
    let mut result = Sockets {
        followers: config.followers,
        entries: config.entries,
        changes: config.changes,
        ..Sockets::default()
    };
    while result.until_full.is_none() && began.elapsed() < SYNC_TIMEOUT {
        sleep(POLL_INTERVAL).await;
        if query(&queries, |to| Query::Synchronized(true, to)).await? == config.followers {
            result.until_full = Some(began.elapsed().as_millis() as u64);
        }
    }

    let (follow, ..) = query(&queries, Query::Usage).await?;
    let sum = all.iter().map(traffic).fold(follow, Traffic::add);
    result.lost.0 = sum.sent.saturating_sub(sum.received);

    let mut published = Vec::new();
    for n in 0..config.changes {
        published.push(Instant::now());
        let entry = Entry {
            key: key(n),
            version: FIRST_CHANGE + n as u64,
            value: vec![2; VALUE_BYTES],
        };
        publish(&all[0], vec![entry]);
        sleep(CHANGE_INTERVAL).await;
    }
    let last = Instant::now();
    while last.elapsed() < CHANGE_TIMEOUT {
        let counts = query(&queries, Query::Changed).await?;
        if counts.iter().all(|count| *count == config.followers) {
            break;
        }
        sleep(POLL_INTERVAL).await;
    }
    let times = query(&queries, Query::Timeline).await?;
    let ms = |at: &Instant, from: Instant| at.duration_since(from).as_millis() as u64;
    result.until_all = summarize(times.all.iter().map(|at| ms(at, began)));
    let changes = || times.changes.iter().zip(&published);
    let whole = changes().filter(|(at, _)| at.len() == config.followers);
    let latest = whole.filter_map(|(at, from)| Some(ms(at.iter().max()?, *from)));
    result.everywhere = summarize(latest);
    result.each = summarize(changes().flat_map(|(at, from)| at.iter().map(|at| ms(at, *from))));
    result.missing = config.followers * config.changes - result.each.count as usize;

    sleep(SETTLE_TIME).await;
    let (follow, _, follow_cpu_start) = query(&queries, Query::Usage).await?;
    let before: Vec<Traffic> = all.iter().map(traffic).collect();
    let (control_cpu_start, start) = (CpuTime::now(), Instant::now());
    sleep(config.idle_time).await;
    let (seconds, control_cpu_end) = (start.elapsed().as_secs_f64(), CpuTime::now());
    let after: Vec<Traffic> = all.iter().map(traffic).collect();
    let (follow_now, follow_cpu_end, _) = query(&queries, Query::Usage).await?;
    let rest = |from: &Traffic, to: &Traffic, by: f64, (cpu, kernel)| Rest {
        bytes: (to.bytes - from.bytes) as f64 / by,
        datagrams: (to.sent + to.received - from.sent - from.received) as f64 / by,
        cpu,
        kernel,
    };
    let per = seconds * config.followers as f64;
    let spent = follow_cpu_end.since(follow_cpu_start, config.followers, seconds);
    result.follow = rest(&follow, &follow_now, per, spent);
    let spent = control_cpu_end.since(control_cpu_start, CONTROLS, seconds);
    let each = before.iter().zip(&after);
    let each = each.map(|(from, to)| rest(from, to, seconds, spent));
    let busiest = each.max_by(|a, b| a.bytes.total_cmp(&b.bytes));
    result.control = busiest.unwrap_or_default();

    result.full = query(&queries, |to| Query::Synchronized(false, to)).await?;
    let (follow, ..) = query(&queries, Query::Usage).await?;
    let sum = all.iter().map(traffic).fold(follow, Traffic::add);
    let lost = sum.sent.saturating_sub(sum.received);
    result.lost.1 = lost.saturating_sub(result.lost.0);
    result.unsent = sum.unsent;
    result.wall = began.elapsed().as_secs_f64();
    Ok(result)
}
