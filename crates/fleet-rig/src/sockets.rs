//! The flat cluster over real loopback sockets in real time: hollow instances in one process, each with the driver
//! that the balancer has ([`spanspur_cluster::Cluster`]) on a socket of its own. A check of what virtual time says.

use crate::meter::{resident, thread_cpu_ns};
use crate::ranking;
use crate::scale::{Args, NEWS_KEY, Point, VALUE, standing};
use crate::world::{name, pace};
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

/// Between two looks at who sees whom.
const LOOK: Duration = Duration::from_secs(1);
/// Between two looks at who has the news.
const LOOK_NEWS: Duration = Duration::from_millis(5);

/// By key of the board: how many were told of it by others, and when the last was.
type Told = Rc<RefCell<BTreeMap<u64, (usize, Instant)>>>;

/// One run.
pub fn play(args: &Args, instances: usize, seed: u64) -> Result<Point, String> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build().map_err(|e| e.to_string())?;
    LocalSet::new().block_on(&runtime, run(args, instances, seed))
}

/// An address for each, with a port that was free a moment ago.
fn addresses(instances: usize) -> Result<Vec<SocketAddr>, String> {
    let address = |i: usize| Ipv4Addr::new(127, 64, (i / 250) as u8, 1 + (i % 250) as u8);
    let bound = (0..instances).map(|i| UdpSocket::bind((address(i), 0))?.local_addr());
    bound
        .collect::<Result<_, _>>()
        .map_err(|e| format!("a socket: {e}"))
}

async fn start(
    args: &Args,
    addresses: &[SocketAddr],
    seed: u64,
    told: &Told,
) -> Result<Vec<ClusterHandle>, String> {
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let boot = unix.unwrap_or_default().as_millis() as u64;
    let mut handles = Vec::new();
    for (i, address) in addresses.iter().enumerate() {
        let setup = NodeConfig {
            identity: Identity {
                name: name(i),
                address: *address,
                incarnation: boot,
                refutations: 0,
            },
            keys: Keys(vec![Key::new(b"a secret of the rig")]),
            seeds: addresses.iter().take(3).copied().collect(),
            voters: (0..addresses.len().min(9)).map(name).collect(),
            max_clock_skew: 1000,
            probe_timing: pace(args.probe * 10),
            ranking: ranking(),
            random_seed: seed.wrapping_mul(1_000_003) + i as u64,
        };
        let (handle, mut fresh) = Cluster::start(setup)
            .await
            .map_err(|e| format!("{address}: {e}"))?;
        handle.publish(standing(args.board));
        let told = told.clone();
        spawn_local(async move {
            while let Some(entry) = fresh.recv().await {
                let mut told = told.borrow_mut();
                let count = told.get(&entry.key).map_or(0, |known| known.0);
                told.insert(entry.key, (count + 1, Instant::now()));
            }
        });
        handles.push(handle);
    }
    Ok(handles)
}

/// Of all ordered pairs, those of which the one sees the other.
fn pairs(handles: &[ClusterHandle]) -> usize {
    let alive = |handle: &ClusterHandle| {
        let members = handle.with_node(|node, _| node.members());
        members.iter().filter(|m| m.alive && !m.me).count()
    };
    handles.iter().map(alive).sum()
}

fn counters(handles: &[ClusterHandle]) -> BTreeMap<String, u64> {
    let mut all = BTreeMap::new();
    for handle in handles {
        for (name, n) in handle.with_node(|node, _| node.counters()) {
            *all.entry(name.to_owned()).or_default() += n;
        }
    }
    all
}

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
    let before = resident();
    let addresses = addresses(instances)?;
    let told = Told::default();
    let (began, cpu) = (Instant::now(), thread_cpu_ns());
    let handles = start(args, &addresses, seed, &told).await?;
    let (per, all) = (instances as f64, instances * (instances - 1));
    let off = |handles: &[ClusterHandle]| counters(handles).get("no-session").copied().unwrap_or(0);
    let mut point = Point {
        instances,
        seed,
        ..Point::default()
    };
    // What looking costs is no instance's.
    let mut looking = 0;
    loop {
        sleep(LOOK).await;
        let start = thread_cpu_ns();
        let seen = pairs(&handles);
        looking += thread_cpu_ns() - start;
        point.seen.0 = seen as f64 / all as f64;
        if seen == all {
            point.join_s = Some(began.elapsed().as_secs_f64());
            break;
        }
        if began.elapsed().as_secs() >= args.wait {
            break;
        }
    }
    point.join_bytes = traffic(&handles).sent_bytes as f64 / per;
    point.join_cpu_us = (thread_cpu_ns() - cpu - looking) as f64 / 1000.0 / per;
    point.put_off = off(&handles);

    sleep(Duration::from_secs(args.settle)).await;
    let put_off = off(&handles);
    let (sent, cpu, start) = (traffic(&handles), thread_cpu_ns(), Instant::now());
    sleep(Duration::from_secs(args.rest)).await;
    let rate = per * start.elapsed().as_secs_f64();
    point.cpu_us = (thread_cpu_ns() - cpu) as f64 / 1000.0 / rate;
    let now = traffic(&handles);
    point.datagrams = (now.sent - sent.sent) as f64 / rate;
    point.bytes = (now.sent_bytes - sent.sent_bytes) as f64 / rate;
    point.rest_put_off = off(&handles) - put_off;
    point.seen.1 = pairs(&handles) as f64 / all as f64;
    point.memory = resident().saturating_sub(before) as f64 / per;

    for n in 0..args.news {
        let (start, key) = (Instant::now(), NEWS_KEY + n);
        let entry = GossipEntry {
            key,
            version: 1,
            value: vec![9; VALUE],
        };
        handles[(instances / 2 + n as usize) % instances].publish(vec![entry]);
        let has = |told: &Told| told.borrow().get(&key).copied();
        while has(&told).is_none_or(|(count, _)| count < instances - 1)
            && start.elapsed() < Duration::from_secs(args.news_wait)
        {
            sleep(LOOK_NEWS).await;
        }
        let (count, last) = has(&told).unwrap_or((0, start));
        let whole = count == instances - 1;
        point
            .news_ms
            .push(whole.then(|| (last - start).as_millis() as u64));
        point.news_share.push(count as f64 / (instances - 1) as f64);
    }
    point.counters = counters(&handles);
    let sum = traffic(&handles);
    point.counters.insert("socket-unsent".into(), sum.unsent);
    // Those under way are among them, and those that the kernel had no room for.
    point
        .counters
        .insert("socket-lost".into(), sum.sent.saturating_sub(sum.received));
    Ok(point)
}
