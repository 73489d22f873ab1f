//! Measures a flat cluster over real loopback sockets in real time, to confirm the results of virtual time. One process
//! holds all instances, each with the balancer's own driver ([`spanspur_cluster::Cluster`]) on its own socket. As in
//! virtual time, instances have no clients, relay or leases.

use crate::meter::{resident_bytes, thread_cpu_ns};
use crate::ranking;
use crate::scale::{Args, CHANGE_KEY, Point, VALUE_BYTES, initial_entries};
use crate::world::{name, probe_timing};
use spanspur_cluster::driver::{Cluster, ClusterHandle, Traffic};
use spanspur_cluster::node::NodeConfig;
use spanspur_leases::GossipEntry;
use spanspur_membership::{Identity, Key, Keys};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

/// The time between two reads of the membership.
const MEMBERSHIP_POLL: Duration = Duration::from_secs(1);
/// The time between two reads of who has received a change.
const CHANGE_POLL: Duration = Duration::from_millis(5);

/// By key of an entry: the number of receipts from other instances, summed over all instances, and the time of the last
/// one.
type Receipts = Rc<RefCell<BTreeMap<u64, (usize, Instant)>>>;

/// Runs one cluster. Fails if the runtime cannot be built, a socket cannot be bound, or an instance cannot be started.
pub fn run_once(args: &Args, instances: usize, seed: u64) -> Result<Point, String> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build().map_err(|e| e.to_string())?;
    LocalSet::new().block_on(&runtime, run(args, instances, seed))
}

/// A loopback address for each instance, with a port that was free when it was chosen.
fn addresses(instances: usize) -> Result<Vec<SocketAddr>, String> {
    let address = |i: usize| Ipv4Addr::new(127, 64, (i / 250) as u8, 1 + (i % 250) as u8);
    let addresses = (0..instances).map(|i| UdpSocket::bind((address(i), 0))?.local_addr());
    addresses
        .collect::<Result<_, _>>()
        .map_err(|e| format!("cannot bind a UDP socket: {e}"))
}

async fn start(
    args: &Args,
    addresses: &[SocketAddr],
    seed: u64,
    receipts: &Receipts,
) -> Result<Vec<ClusterHandle>, String> {
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let incarnation = unix.unwrap_or_default().as_millis() as u64;
    let mut handles = Vec::new();
    for (i, address) in addresses.iter().enumerate() {
        let config = NodeConfig {
            identity: Identity {
                name: name(i),
                address: *address,
                incarnation,
                refutations: 0,
            },
            keys: Keys(vec![Key::new(b"a secret of the rig")]),
            seeds: addresses.iter().take(3).copied().collect(),
            voters: (0..addresses.len().min(9)).map(name).collect(),
            max_clock_skew: 1000,
            probe_timing: probe_timing(args.probe * 10),
            ranking: ranking(),
            random_seed: seed.wrapping_mul(1_000_003) + i as u64,
        };
        let (handle, mut updates) = Cluster::start(config)
            .await
            .map_err(|e| format!("{address}: {e}"))?;
        handle.publish(initial_entries(args.board));
        let receipts = receipts.clone();
        spawn_local(async move {
            while let Some(entry) = updates.recv().await {
                let mut receipts = receipts.borrow_mut();
                let count = receipts.get(&entry.key).map_or(0, |(count, _)| *count);
                receipts.insert(entry.key, (count + 1, Instant::now()));
            }
        });
        handles.push(handle);
    }
    Ok(handles)
}

/// The number of ordered pairs of instances in which the first sees the second as alive.
fn visible_pairs(handles: &[ClusterHandle]) -> usize {
    let alive_others = |handle: &ClusterHandle| {
        let members = handle.with_node(|node, _| node.members());
        members.iter().filter(|m| m.alive && !m.is_self).count()
    };
    handles.iter().map(alive_others).sum()
}

/// The sums of the nodes' counters.
fn counters(handles: &[ClusterHandle]) -> BTreeMap<String, u64> {
    let mut sums = BTreeMap::new();
    for handle in handles {
        for (name, n) in handle.with_node(|node, _| node.counters()) {
            *sums.entry(name.to_owned()).or_default() += n;
        }
    }
    sums
}

/// The sum of the traffic of all instances.
fn traffic(handles: &[ClusterHandle]) -> Traffic {
    handles.iter().fold(Traffic::default(), |mut sum, handle| {
        let one = handle.traffic();
        sum.sent += one.sent;
        sum.sent_bytes += one.sent_bytes;
        sum.received += one.received;
        sum.unsent += one.unsent;
        sum
    })
}

async fn run(args: &Args, instances: usize, seed: u64) -> Result<Point, String> {
    let before = resident_bytes();
    let addresses = addresses(instances)?;
    let receipts = Receipts::default();
    let (began, cpu) = (Instant::now(), thread_cpu_ns());
    let handles = start(args, &addresses, seed, &receipts).await?;
    let (instances_f64, all_pairs) = (instances as f64, instances * (instances - 1));
    let put_off =
        |handles: &[ClusterHandle]| counters(handles).get("no-session").copied().unwrap_or(0);
    let mut point = Point {
        instances,
        seed,
        ..Point::default()
    };
    // The cost of reading the membership is subtracted, because it is not the instances' own.
    let mut poll_ns = 0;
    loop {
        sleep(MEMBERSHIP_POLL).await;
        let start = thread_cpu_ns();
        let seen = visible_pairs(&handles);
        poll_ns += thread_cpu_ns() - start;
        point.seen.0 = seen as f64 / all_pairs as f64;
        if seen == all_pairs {
            point.join_s = Some(began.elapsed().as_secs_f64());
            break;
        }
        if began.elapsed().as_secs() >= args.wait {
            break;
        }
    }
    point.join_bytes = traffic(&handles).sent_bytes as f64 / instances_f64;
    point.join_cpu_us = (thread_cpu_ns() - cpu - poll_ns) as f64 / 1000.0 / instances_f64;
    point.put_off = put_off(&handles);

    sleep(Duration::from_secs(args.settle)).await;
    let put_off_before = put_off(&handles);
    let (sent, cpu, start) = (traffic(&handles), thread_cpu_ns(), Instant::now());
    sleep(Duration::from_secs(args.rest)).await;
    let instance_seconds = instances_f64 * start.elapsed().as_secs_f64();
    point.cpu_us = (thread_cpu_ns() - cpu) as f64 / 1000.0 / instance_seconds;
    let now = traffic(&handles);
    point.datagrams = (now.sent - sent.sent) as f64 / instance_seconds;
    point.bytes = (now.sent_bytes - sent.sent_bytes) as f64 / instance_seconds;
    point.rest_put_off = put_off(&handles) - put_off_before;
    point.seen.1 = visible_pairs(&handles) as f64 / all_pairs as f64;
    point.memory = resident_bytes().saturating_sub(before) as f64 / instances_f64;

    for n in 0..args.news {
        let (start, key) = (Instant::now(), CHANGE_KEY + n);
        let entry = GossipEntry {
            key,
            version: 1,
            value: vec![9; VALUE_BYTES],
        };
        handles[(instances / 2 + n as usize) % instances].publish(vec![entry]);
        let received = |receipts: &Receipts| receipts.borrow().get(&key).copied();
        while received(&receipts).is_none_or(|(count, _)| count < instances - 1)
            && start.elapsed() < Duration::from_secs(args.news_wait)
        {
            sleep(CHANGE_POLL).await;
        }
        let (count, last) = received(&receipts).unwrap_or((0, start));
        let complete = count == instances - 1;
        point
            .news_ms
            .push(complete.then(|| (last - start).as_millis() as u64));
        point.news_share.push(count as f64 / (instances - 1) as f64);
    }
    point.counters = counters(&handles);
    let total = traffic(&handles);
    point.counters.insert("socket-unsent".into(), total.unsent);
    // Sent and not received: datagrams still in flight, and those that the kernel dropped for lack of buffer space.
    point.counters.insert(
        "socket-lost".into(),
        total.sent.saturating_sub(total.received),
    );
    Ok(point)
}
