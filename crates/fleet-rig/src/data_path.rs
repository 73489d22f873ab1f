//! Measures what the data path costs: the memory and processor time of a real balancer process between clients and
//! stream servers of this process, and the time of the decision module and of the endpoint list, called here directly.

use crate::series::{MeasuredSeries, Series};
use spanspur::Balancer;
use spanspur::api::*;
use spanspur::discovery::endpoint_list::EndpointList;
use std::collections::HashSet;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The command that all series of this module name.
const COMMAND: &str = "cargo run --release -p spanspur-fleet-rig -- data-path";
/// The longest wait for one step. A run that would hang fails instead.
const STEP_TIMEOUT: Duration = Duration::from_secs(15);
/// Numbers of idle connections. Each needs two descriptors of the 20,000 that a process may hold.
const IDLE_CONNECTIONS: [usize; 6] = [1_000, 2_000, 3_000, 4_000, 6_000, 8_000];
/// Numbers of delivered lines over all connections. Each connection delivers one line per tick.
const LINES: [usize; 5] = [20_000, 40_000, 60_000, 80_000, 100_000];
/// The number of connections that deliver lines.
const DELIVERING: usize = 200;
/// The length of a line in bytes.
const LINE_BYTES: usize = 100;
/// The time between two lines of a connection.
const TICK: Duration = Duration::from_millis(10);
/// Numbers of connections that are opened and closed.
const OPENINGS: [usize; 5] = [500, 1_000, 1_500, 2_000, 2_500];
/// Numbers of servers that the decision module knows.
const SERVERS: [usize; 5] = [90, 300, 1_000, 5_000, 20_000];
/// Numbers of connections of one group.
const GROUP_SIZES: [usize; 6] = [100, 500, 1_000, 5_000, 10_000, 20_000];
/// The number of runs; each point is their median.
const RUNS: u32 = 3;
/// The decision module's clock at the start of a run, in seconds.
const START_TIME: Time = 1000.0;

/// A balancer process and its server. Dropping it ends the process and removes its files.
struct Process {
    child: Child,
    /// The address at which the balancer listens.
    address: SocketAddr,
    servers: TcpListener,
    folder: PathBuf,
    /// Never answers: the balancer's configuration holds the endpoint list.
    _discovery: TcpListener,
    /// The number of requested connections, from which the request ids come.
    requests: u64,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// An entry of the endpoint list, as JSON.
fn entry(id: &str, address: &str, phase: &str, up_since_ms: u64) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"a","flavor":"m","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":{up_since_ms}}}"#
    )
}

/// An endpoint list, as JSON.
fn list(revision: u64, complete: bool, entries: &[String]) -> String {
    let members = entries.join(",");
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{members}]}}"#)
}

impl Process {
    fn start(program: &str) -> Result<Self, String> {
        let to_text = |e: std::io::Error| e.to_string();
        let bind = || TcpListener::bind("127.0.0.1:0").map_err(to_text);
        let (servers, discovery) = (bind()?, bind()?);
        let address = bind()?.local_addr().map_err(to_text)?;
        let backend = servers.local_addr().map_err(to_text)?;
        let discovery_address = discovery.local_addr().map_err(to_text)?;
        let name = format!(
            "spanspur-data-path-{}-{}",
            std::process::id(),
            address.port()
        );
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).map_err(to_text)?;
        let known = list(1, true, &[entry("s-1", &backend.to_string(), "SERVING", 0)]);
        let text = format!(
            r#"{{"name":"n0","listen":"{address}","discovery":"{discovery_address}","seed":"7","limits":{{"sockets":20000}},"known":{known},
            "settings":{{"balancers":1,"zone":"a","membershipMode":"on_request",
            "classes":[{{"name":"live","onTime":0.5,"hardLimit":2.0,"semantics":"free","stream":true}}],
            "domain":{{"groups":true,"messageAim":[0.25],"tellsDelay":true}},
            "limits":{{"maxAttempts":3,"connectTimeout":0.25,"cancel":true}},"rules":{{"askWithin":1.0}}}}}}"#
        );
        std::fs::write(folder.join("config.json"), text).map_err(to_text)?;
        let child = Command::new(program)
            .env("BALANCER_CONFIG", folder.join("config.json"))
            .env("BALANCER_DISCOVERY", discovery_address.to_string())
            .env("TMPDIR", &folder)
            .env("RUST_LOG", "error")
            .spawn()
            .map_err(to_text)?;
        let deadline = Instant::now() + STEP_TIMEOUT;
        while TcpStream::connect(address).is_err() {
            if Instant::now() > deadline {
                return Err(format!("the balancer does not listen at {address}"));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(Self {
            child,
            address,
            servers,
            folder,
            _discovery: discovery,
            requests: 0,
        })
    }

    /// Opens a connection through the balancer, and returns the client's and the server's end.
    fn open(&mut self) -> std::io::Result<(TcpStream, TcpStream)> {
        self.requests += 1;
        let mut client = TcpStream::connect(self.address)?;
        client.set_read_timeout(Some(STEP_TIMEOUT))?;
        write!(
            client,
            "OPEN {0:016x} k{0} c=live,d=5000\r\n",
            self.requests
        )?;
        let (mut server, _) = self.servers.accept()?;
        server.set_read_timeout(Some(STEP_TIMEOUT))?;
        let mut buffer = [0; 256];
        let _ = server.read(&mut buffer)?;
        server.write_all(b"UP r1\r\n")?;
        let n = client.read(&mut buffer)?;
        match buffer[..n].starts_with(b"UP") {
            true => Ok((client, server)),
            false => Err(std::io::Error::other(
                "the balancer did not open the connection",
            )),
        }
    }

    fn open_many(&mut self, count: usize) -> Result<Vec<(TcpStream, TcpStream)>, String> {
        let opened: std::io::Result<_> = (0..count).map(|_| self.open()).collect();
        opened.map_err(|e| format!("cannot open a connection: {e}"))
    }

    /// A value of the process's memory statistics, in bytes.
    fn memory(&self, key: &str) -> Result<f64, String> {
        let path = format!("/proc/{}/smaps_rollup", self.child.id());
        let text = std::fs::read_to_string(path).map_err(|e| e.to_string())?;
        let line = text.lines().find_map(|line| line.strip_prefix(key));
        let kib = line.and_then(|rest| rest.trim().split(' ').next()?.parse::<f64>().ok());
        Ok(kib.ok_or_else(|| format!("no memory statistic {key:?}"))? * 1024.0)
    }

    /// The process's processor time so far, in microseconds. The process has one thread.
    fn cpu_us(&self) -> Result<f64, String> {
        let path = format!("/proc/{}/schedstat", self.child.id());
        let text = std::fs::read_to_string(path).map_err(|e| e.to_string())?;
        let ns = text.split(' ').next().and_then(|ns| ns.parse::<f64>().ok());
        Ok(ns.ok_or("no processor time in schedstat")? / 1000.0)
    }
}

/// The median; of an even number of values, the higher of the two in the middle. Panics if there are no values.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Repeats a run that measures all sizes, and returns the median value of each size.
fn median_of_runs(
    sizes: &[usize],
    mut run: impl FnMut() -> Result<Vec<f64>, String>,
) -> Result<Vec<(f64, f64)>, String> {
    let runs = (0..RUNS).map(|_| run()).collect::<Result<Vec<_>, _>>()?;
    let median_at = |i: usize| median(runs.iter().map(|run| run[i]).collect());
    Ok(sizes
        .iter()
        .enumerate()
        .map(|(i, size)| (*size as f64, median_at(i)))
        .collect())
}

fn series(what: &str, size: &str, unit: &str, runs: u32, points: Vec<(f64, f64)>) -> Series {
    Series {
        what: what.into(),
        command: COMMAND.into(),
        size: size.into(),
        unit: unit.into(),
        runs,
        points,
    }
}

/// Measures a memory statistic of the balancer at each number of idle connections.
fn idle_memory(program: &str, key: &str) -> Result<Vec<(f64, f64)>, String> {
    median_of_runs(&IDLE_CONNECTIONS, || {
        let mut process = Process::start(program)?;
        let mut pairs = Vec::new();
        let mut values = Vec::new();
        for count in IDLE_CONNECTIONS {
            pairs.extend(process.open_many(count - pairs.len())?);
            std::thread::sleep(Duration::from_millis(300));
            values.push(process.memory(key)?);
        }
        Ok(values)
    })
}

/// Sends lines from the servers' ends, one per connection and tick, whether or not earlier ones have arrived, and reads
/// them at the clients' ends.
fn deliver(pairs: &mut [(TcpStream, TcpStream)], lines: usize) -> Result<(), String> {
    let mut line = vec![b'x'; LINE_BYTES - 2];
    line.extend_from_slice(b"\r\n");
    let expected = lines * LINE_BYTES;
    let (mut clients, mut servers): (Vec<_>, Vec<_>) =
        pairs.iter_mut().map(|(a, b)| (a, b)).unzip();
    for client in &clients {
        client.set_nonblocking(true).map_err(|e| e.to_string())?;
    }
    std::thread::scope(|scope| {
        let reader = scope.spawn(|| {
            let (mut received, mut buffer, mut last) = (0, vec![0; 65_536], Instant::now());
            while received < expected && last.elapsed() < STEP_TIMEOUT {
                for client in &mut clients {
                    match client.read(&mut buffer) {
                        Ok(n) if n > 0 => (received, last) = (received + n, Instant::now()),
                        Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                        _ => return received,
                    }
                }
                std::thread::sleep(Duration::from_millis(2));
            }
            received
        });
        let start = Instant::now();
        for tick in 0..lines / servers.len() {
            let due = start + TICK * tick as u32;
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            for server in &mut servers {
                server.write_all(&line).map_err(|e| e.to_string())?;
            }
        }
        match reader.join() {
            Ok(received) if received == expected => Ok(()),
            other => Err(format!("received {other:?} of {expected} bytes")),
        }
    })
}

/// Measures the balancer's processor time in us for each number of delivered lines.
fn deliveries(program: &str) -> Result<Vec<(f64, f64)>, String> {
    median_of_runs(&LINES, || {
        let mut process = Process::start(program)?;
        let mut pairs = process.open_many(DELIVERING)?;
        let mut values = Vec::new();
        for lines in LINES {
            let before = process.cpu_us()?;
            deliver(&mut pairs, lines)?;
            values.push(process.cpu_us()? - before);
        }
        Ok(values)
    })
}

/// Measures the balancer's processor time in us for each number of openings.
fn openings(program: &str) -> Result<Vec<(f64, f64)>, String> {
    median_of_runs(&OPENINGS, || {
        let mut process = Process::start(program)?;
        let mut values = Vec::new();
        for count in OPENINGS {
            let before = process.cpu_us()?;
            for _ in 0..count {
                let (client, mut server) = process
                    .open()
                    .map_err(|e| format!("cannot open a connection: {e}"))?;
                // The client closes first: the balancer would avoid a server that closes its connections, as a failing
                // one.
                drop(client);
                while server.read(&mut [0; 256]).is_ok_and(|n| n > 0) {}
            }
            std::thread::sleep(Duration::from_millis(100));
            values.push(process.cpu_us()? - before);
        }
        Ok(values)
    })
}

fn config() -> BalancerConfig {
    BalancerConfig {
        classes: vec![RequestClass::default()],
        max_attempts: 4,
        cold_capacity_share: 0.3,
        slow_start_window: 600.0,
        overload_multiple: 2.5,
        overload_window: 2.0,
        ..BalancerConfig::default()
    }
}

/// A decision module that knows this many servers. With `cold`, every second one has just started.
fn balancer(servers: usize, cold: bool) -> Balancer {
    let members: Arc<[Endpoint]> = (0..servers)
        .map(|n| Endpoint {
            id: ServerId::of(&format!("s-{n}")),
            state: EndpointState::Ready,
            weight: 1.0,
            started_at: if cold && n % 2 == 0 {
                START_TIME - 10.0
            } else {
                0.0
            },
            ..Endpoint::default()
        })
        .collect();
    let mut balancer = Balancer::new(config(), 7);
    balancer.handle(
        START_TIME,
        &Event::EndpointsUpdated {
            kind: UpdateKind::Full,
            endpoints: members,
        },
        &mut Vec::new(),
    );
    balancer
}

/// The time since an instant, in microseconds.
fn micros(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1e6
}

/// The median time in us of choosing a server for a request. Each request has its own client, which disconnects at
/// once.
fn placement(servers: usize, cold: bool) -> f64 {
    let mut balancer = balancer(servers, cold);
    let mut actions = Vec::new();
    let times = (0..400).map(|n| {
        let now = START_TIME + n as f64 * 0.01;
        let mut request = Request::new(RequestId(n), 0, now + 2.0);
        request.key = Some(Key::of(&format!("k{n}")));
        let start = Instant::now();
        balancer.handle(now, &Event::Request(request), &mut actions);
        let time = micros(start);
        balancer.handle(now, &Event::ClientDisconnected(RequestId(n)), &mut actions);
        actions.clear();
        time
    });
    median(times.collect())
}

/// The size of a list in bytes, and the median time in us to parse it and to update the decision module. The list is
/// complete if `whole` is set, and otherwise a delta with one changed entry.
fn apply_list(servers: usize, whole: bool) -> Result<(f64, f64), String> {
    let entry_of = |n: usize, phase| entry(&format!("s-{n}"), "10.1.2.3:4567", phase, 0);
    let all: Vec<String> = (0..servers).map(|n| entry_of(n, "SERVING")).collect();
    let mut balancer = balancer(servers, false);
    let mut times = Vec::new();
    let mut bytes = 0;
    for round in 0..9_u64 {
        let phase = ["SERVING", "DRAINING"][(round % 2) as usize];
        let text = match whole {
            true => list(round, true, &all),
            false => list(round, false, &[entry_of(0, phase)]),
        };
        bytes = text.len();
        let start = Instant::now();
        let list = EndpointList::parse(text.as_bytes()).map_err(|e| e.to_string())?;
        let kind = [UpdateKind::Delta, UpdateKind::Full][usize::from(list.complete)];
        let members = list
            .endpoints
            .iter()
            .map(|listed| listed.endpoint)
            .collect();
        let now = START_TIME + round as f64;
        balancer.handle(
            now,
            &Event::EndpointsUpdated {
                kind,
                endpoints: members,
            },
            &mut Vec::new(),
        );
        times.push(micros(start));
    }
    Ok((bytes as f64, median(times)))
}

/// The number of servers that hold a group's connections, at each size of the group.
fn group_spread(servers: usize) -> Vec<(f64, f64)> {
    let mut balancer = balancer(servers, false);
    let (mut actions, mut holders, mut points) = (Vec::new(), HashSet::new(), Vec::new());
    let max_size = GROUP_SIZES[GROUP_SIZES.len() - 1];
    for n in 1..=max_size {
        let now = START_TIME + n as f64 * 0.01;
        let id = RequestId(n as u64);
        let mut request = Request::new(id, 0, now + 2.0);
        request.key = Some(Key::of(&format!("k{n}")));
        request.group = Some(Key::of("topic"));
        balancer.handle(now, &Event::Request(request), &mut actions);
        let chosen = actions.drain(..).find_map(|action| match action {
            Action::StartAttempt { server, .. } => Some(server),
            _ => None,
        });
        if let Some(server) = chosen {
            holders.insert(server);
            balancer.handle(now, &Event::Established { id, server }, &mut actions);
            actions.clear();
        }
        if GROUP_SIZES.contains(&n) {
            points.push((n as f64, holders.len() as f64));
        }
    }
    points
}

/// Measures the named parts, or all if none is named, and writes their series into the file. Fails if a measurement
/// fails or the file cannot be read or written.
pub fn run(program: &str, file: &Path, parts: &[String]) -> Result<(), String> {
    let wanted = |part: &str| parts.is_empty() || parts.iter().any(|p| p == part);
    let store = |name: String, series: Series| {
        if let Some(fit) = series.fit() {
            let (slope, error, residual) = (fit.slope, fit.slope_error, fit.max_residual * 100.0);
            println!(
                "{name}: {slope:.4} +- {error:.4} {} a step, from {:.1}, off {residual:.1}%",
                series.unit, fit.intercept
            );
        }
        println!("  {:?}", series.points);
        MeasuredSeries::update(file, [(name, series)])
    };
    if wanted("placement") {
        for (name, cold) in [("none", false), ("half", true)] {
            let run = || Ok(SERVERS.map(|n| placement(n, cold)).to_vec());
            let points = median_of_runs(&SERVERS, run)?;
            let what = format!(
                "A placement by the decision module, {name} of the servers cold, median of 400 requests with a key each"
            );
            let series = series(&what, "servers", "us", RUNS, points);
            store(format!("placement, {name} cold"), series)?;
        }
    }
    if wanted("list") {
        for (name, whole) in [("whole", true), ("one entry", false)] {
            let mut bytes = Vec::new();
            let points = median_of_runs(&SERVERS, || {
                let run = SERVERS.map(|n| apply_list(n, whole));
                let run = run.into_iter().collect::<Result<Vec<_>, _>>()?;
                bytes = run.iter().map(|(bytes, _)| *bytes).collect();
                Ok(run.iter().map(|(_, us)| *us).collect())
            })?;
            let byte_points = SERVERS.iter().map(|n| *n as f64).zip(bytes).collect();
            let what = format!("A list from discovery, {name}: read and taken over by the module");
            store(
                format!("list, {name}, time"),
                series(&what, "servers", "us", RUNS, points),
            )?;
            let what = format!("A list from discovery, {name}: its text, without the HTTP head");
            store(
                format!("list, {name}, bytes"),
                series(&what, "servers", "bytes", 1, byte_points),
            )?;
        }
    }
    if wanted("group") {
        for servers in [90, 1_000] {
            let what = format!(
                "Servers that hold one group's connections at one balancer of one, {servers} servers known, no loads or delays reported, 100 openings a second, none ends"
            );
            let series = series(
                &what,
                "connections of the group",
                "servers",
                1,
                group_spread(servers),
            );
            store(format!("group, {servers} servers"), series)?;
        }
    }
    if wanted("delivery") {
        let what = format!(
            "Processor time of the balancer process for lines of {LINE_BYTES} bytes from the servers through the relay, {DELIVERING} connections, a line each every {} ms, open loop, no loads among them, log at error; the rig is another process",
            TICK.as_millis()
        );
        let points = deliveries(program)?;
        store(
            "delivery, processor".into(),
            series(&what, "lines", "us", RUNS, points),
        )?;
    }
    if wanted("opening") {
        let what = "Processor time of the balancer process for openings one after the other, each ended at once by its client, one server known, log at error; the rig is another process";
        let points = openings(program)?;
        store(
            "opening, processor".into(),
            series(what, "openings", "us", RUNS, points),
        )?;
    }
    if wanted("standing") {
        let what = "Pss of the balancer process, silent standing connections; the kernel's part is not in it and is not told apart";
        let points = idle_memory(program, "Pss:")?;
        store(
            "standing, memory".into(),
            series(what, "standing connections", "bytes", RUNS, points),
        )?;
    }
    Ok(())
}
