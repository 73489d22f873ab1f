//! What the data path costs: memory and processor time of a real balancer process between stand-in clients and
//! stream servers of this process, and of the decision module and the list, called here.

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

/// The named command of every series here.
const COMMAND: &str = "cargo run --release -p spanspur-fleet-rig -- data-path";
/// No step takes longer; a rig that would hang fails instead.
const PATIENCE: Duration = Duration::from_secs(15);
/// Standing pairs: two descriptors each, of the 20,000 that a process may hold.
const PAIRS: [usize; 6] = [1_000, 2_000, 3_000, 4_000, 6_000, 8_000];
/// Lines in all, a tick of the clock for each connection's one.
const LINES: [usize; 5] = [20_000, 40_000, 60_000, 80_000, 100_000];
const STANDING: usize = 200;
const LINE: usize = 100;
const TICK: Duration = Duration::from_millis(10);
const OPENINGS: [usize; 5] = [500, 1_000, 1_500, 2_000, 2_500];
const SERVERS: [usize; 5] = [90, 300, 1_000, 5_000, 20_000];
const GROUP: [usize; 6] = [100, 500, 1_000, 5_000, 10_000, 20_000];
const RUNS: u32 = 3;
/// The module's clock in these runs.
const NOW: Time = 1000.0;

/// A balancer process, ended when dropped.
struct Process {
    child: Child,
    at: SocketAddr,
    servers: TcpListener,
    folder: PathBuf,
    _discovery: TcpListener,
    opened: u64,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn entry(id: &str, at: &str, phase: &str, up_since_ms: u64) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{at}","locality":"a","flavor":"m","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":{up_since_ms}}}"#
    )
}

fn list(revision: u64, complete: bool, entries: &[String]) -> String {
    let members = entries.join(",");
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{members}]}}"#)
}

impl Process {
    fn start(program: &str) -> Result<Self, String> {
        let fail = |e: std::io::Error| e.to_string();
        let bind = || TcpListener::bind("127.0.0.1:0").map_err(fail);
        let (servers, discovery) = (bind()?, bind()?);
        let at = bind()?.local_addr().map_err(fail)?;
        let backend = servers.local_addr().map_err(fail)?;
        let heard = discovery.local_addr().map_err(fail)?;
        let name = format!("spanspur-data-path-{}-{}", std::process::id(), at.port());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).map_err(fail)?;
        let known = list(1, true, &[entry("s-1", &backend.to_string(), "SERVING", 0)]);
        let text = format!(
            r#"{{"name":"n0","listen":"{at}","discovery":"{heard}","seed":"7","limits":{{"sockets":20000}},"known":{known},
            "settings":{{"balancers":1,"zone":"a","membershipMode":"on_request",
            "classes":[{{"name":"live","onTime":0.5,"hardLimit":2.0,"semantics":"free","stream":true}}],
            "domain":{{"groups":true,"messageAim":[0.25],"tellsDelay":true}},
            "limits":{{"maxAttempts":3,"connectTimeout":0.25,"cancel":true}},"rules":{{"askWithin":1.0}}}}}}"#
        );
        std::fs::write(folder.join("config.json"), text).map_err(fail)?;
        let child = Command::new(program)
            .env("BALANCER_CONFIG", folder.join("config.json"))
            .env("BALANCER_DISCOVERY", heard.to_string())
            .env("TMPDIR", &folder)
            .env("RUST_LOG", "error")
            .spawn()
            .map_err(fail)?;
        let end = Instant::now() + PATIENCE;
        while TcpStream::connect(at).is_err() {
            if Instant::now() > end {
                return Err("the balancer does not listen".into());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(Self {
            child,
            at,
            servers,
            folder,
            _discovery: discovery,
            opened: 0,
        })
    }

    /// One standing connection: its client's end and its server's.
    fn open(&mut self) -> std::io::Result<(TcpStream, TcpStream)> {
        self.opened += 1;
        let mut client = TcpStream::connect(self.at)?;
        client.set_read_timeout(Some(PATIENCE))?;
        write!(client, "OPEN {0:016x} k{0} c=live,d=5000\r\n", self.opened)?;
        let (mut server, _) = self.servers.accept()?;
        server.set_read_timeout(Some(PATIENCE))?;
        let mut said = [0; 256];
        let _ = server.read(&mut said)?;
        server.write_all(b"UP r1\r\n")?;
        let n = client.read(&mut said)?;
        match said[..n].starts_with(b"UP") {
            true => Ok((client, server)),
            false => Err(std::io::Error::other("not opened")),
        }
    }

    fn open_many(&mut self, count: usize) -> Result<Vec<(TcpStream, TcpStream)>, String> {
        let opened: std::io::Result<_> = (0..count).map(|_| self.open()).collect();
        opened.map_err(|e| format!("opening: {e}"))
    }

    /// A figure of its memory, in bytes.
    fn memory(&self, key: &str) -> Result<f64, String> {
        let path = format!("/proc/{}/smaps_rollup", self.child.id());
        let text = std::fs::read_to_string(path).map_err(|e| e.to_string())?;
        let line = text.lines().find_map(|line| line.strip_prefix(key));
        let kib = line.and_then(|rest| rest.trim().split(' ').next()?.parse::<f64>().ok());
        Ok(kib.ok_or("no such figure")? * 1024.0)
    }

    /// Its processor time so far, in microseconds: it has one thread.
    fn cpu(&self) -> Result<f64, String> {
        let path = format!("/proc/{}/schedstat", self.child.id());
        let text = std::fs::read_to_string(path).map_err(|e| e.to_string())?;
        let ns = text.split(' ').next().and_then(|ns| ns.parse::<f64>().ok());
        Ok(ns.ok_or("no schedstat")? / 1000.0)
    }
}

/// The middle one.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// For each size the median of the runs.
fn stepped(
    sizes: &[usize],
    mut run: impl FnMut() -> Result<Vec<f64>, String>,
) -> Result<Vec<(f64, f64)>, String> {
    let runs = (0..RUNS).map(|_| run()).collect::<Result<Vec<_>, _>>()?;
    let at = |i: usize| median(runs.iter().map(|run| run[i]).collect());
    Ok(sizes
        .iter()
        .enumerate()
        .map(|(i, size)| (*size as f64, at(i)))
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

fn standing(program: &str, key: &str) -> Result<Vec<(f64, f64)>, String> {
    stepped(&PAIRS, || {
        let mut process = Process::start(program)?;
        let mut pairs = Vec::new();
        let mut figures = Vec::new();
        for count in PAIRS {
            pairs.extend(process.open_many(count - pairs.len())?);
            std::thread::sleep(Duration::from_millis(300));
            figures.push(process.memory(key)?);
        }
        Ok(figures)
    })
}

/// Sends lines from the servers' ends in ticks, open loop, and takes them at the clients' ends.
fn deliver(pairs: &mut [(TcpStream, TcpStream)], lines: usize) -> Result<(), String> {
    let mut line = vec![b'x'; LINE - 2];
    line.extend_from_slice(b"\r\n");
    let wanted = lines * LINE;
    let (mut clients, mut servers): (Vec<_>, Vec<_>) =
        pairs.iter_mut().map(|(a, b)| (a, b)).unzip();
    for client in &clients {
        client.set_nonblocking(true).map_err(|e| e.to_string())?;
    }
    std::thread::scope(|scope| {
        let taken = scope.spawn(|| {
            let (mut taken, mut buffer, mut last) = (0, vec![0; 65_536], Instant::now());
            while taken < wanted && last.elapsed() < PATIENCE {
                for client in &mut clients {
                    match client.read(&mut buffer) {
                        Ok(n) if n > 0 => (taken, last) = (taken + n, Instant::now()),
                        Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                        _ => return taken,
                    }
                }
                std::thread::sleep(Duration::from_millis(2));
            }
            taken
        });
        let start = Instant::now();
        for tick in 0..lines / servers.len() {
            let due = start + TICK * tick as u32;
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            for server in &mut servers {
                server.write_all(&line).map_err(|e| e.to_string())?;
            }
        }
        match taken.join() {
            Ok(taken) if taken == wanted => Ok(()),
            odd => Err(format!("{odd:?} of {wanted} bytes came")),
        }
    })
}

fn deliveries(program: &str) -> Result<Vec<(f64, f64)>, String> {
    stepped(&LINES, || {
        let mut process = Process::start(program)?;
        let mut pairs = process.open_many(STANDING)?;
        let mut figures = Vec::new();
        for lines in LINES {
            let before = process.cpu()?;
            deliver(&mut pairs, lines)?;
            figures.push(process.cpu()? - before);
        }
        Ok(figures)
    })
}

fn openings(program: &str) -> Result<Vec<(f64, f64)>, String> {
    stepped(&OPENINGS, || {
        let mut process = Process::start(program)?;
        let mut figures = Vec::new();
        for count in OPENINGS {
            let before = process.cpu()?;
            for _ in 0..count {
                let (client, mut server) = process.open().map_err(|e| format!("opening: {e}"))?;
                // The client leaves first: a server that ended its connections would be left alone as a failing one.
                drop(client);
                while server.read(&mut [0; 256]).is_ok_and(|n| n > 0) {}
            }
            std::thread::sleep(Duration::from_millis(100));
            figures.push(process.cpu()? - before);
        }
        Ok(figures)
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

/// A module that knows so many servers, every second of them cold if `cold`.
fn module(servers: usize, cold: bool) -> Balancer {
    let members: Arc<[Endpoint]> = (0..servers)
        .map(|n| Endpoint {
            id: ServerId::of(&format!("s-{n}")),
            state: EndpointState::Ready,
            weight: 1.0,
            started_at: if cold && n % 2 == 0 { NOW - 10.0 } else { 0.0 },
            ..Endpoint::default()
        })
        .collect();
    let mut balancer = Balancer::new(config(), 7);
    balancer.handle(
        NOW,
        &Event::EndpointsUpdated {
            kind: UpdateKind::Full,
            endpoints: members,
        },
        &mut Vec::new(),
    );
    balancer
}

fn micros(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1e6
}

/// The median time of a request's decision, each from a client of its own that leaves at once.
fn placement(servers: usize, cold: bool) -> f64 {
    let mut balancer = module(servers, cold);
    let mut actions = Vec::new();
    let times = (0..400).map(|n| {
        let now = NOW + n as f64 * 0.01;
        let mut request = Request::new(RequestId(n), 0, now + 2.0);
        request.key = Some(Key::of(&format!("k{n}")));
        let start = Instant::now();
        balancer.handle(now, &Event::Request(request), &mut actions);
        let took = micros(start);
        balancer.handle(now, &Event::ClientDisconnected(RequestId(n)), &mut actions);
        actions.clear();
        took
    });
    median(times.collect())
}

/// Bytes of a list, and the time to read it and hand it to the module: whole, or one changed entry.
fn take_over(servers: usize, whole: bool) -> Result<(f64, f64), String> {
    let named = |n: usize, phase| entry(&format!("s-{n}"), "10.1.2.3:4567", phase, 0);
    let all: Vec<String> = (0..servers).map(|n| named(n, "SERVING")).collect();
    let mut balancer = module(servers, false);
    let mut times = Vec::new();
    let mut bytes = 0;
    for round in 0..9_u64 {
        let phase = ["SERVING", "DRAINING"][(round % 2) as usize];
        let text = match whole {
            true => list(round, true, &all),
            false => list(round, false, &[named(0, phase)]),
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
        let now = NOW + round as f64;
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

/// How many servers hold a group's connections, at each step of their number.
fn group(servers: usize) -> Vec<(f64, f64)> {
    let mut balancer = module(servers, false);
    let (mut actions, mut held, mut points) = (Vec::new(), HashSet::new(), Vec::new());
    let most = GROUP[GROUP.len() - 1];
    for n in 1..=most {
        let now = NOW + n as f64 * 0.01;
        let id = RequestId(n as u64);
        let mut request = Request::new(id, 0, now + 2.0);
        request.key = Some(Key::of(&format!("k{n}")));
        request.group = Some(Key::of("topic"));
        balancer.handle(now, &Event::Request(request), &mut actions);
        let sent = actions.drain(..).find_map(|action| match action {
            Action::StartAttempt { server, .. } => Some(server),
            _ => None,
        });
        if let Some(server) = sent {
            held.insert(server);
            balancer.handle(now, &Event::Established { id, server }, &mut actions);
            actions.clear();
        }
        if GROUP.contains(&n) {
            points.push((n as f64, held.len() as f64));
        }
    }
    points
}

/// Measures the named parts (all, if none is named) and puts them into the file.
pub fn run(program: &str, file: &Path, parts: &[String]) -> Result<(), String> {
    let wanted = |part: &str| parts.is_empty() || parts.iter().any(|p| p == part);
    let put = |name: String, series: Series| {
        if let Some(fit) = series.fit() {
            let (slope, spread, off) = (fit.slope, fit.slope_error, fit.max_residual * 100.0);
            println!(
                "{name}: {slope:.4} +- {spread:.4} {} a step, from {:.1}, off {off:.1}%",
                series.unit, fit.intercept
            );
        }
        println!("  {:?}", series.points);
        MeasuredSeries::update(file, [(name, series)])
    };
    if wanted("placement") {
        for (name, cold) in [("none", false), ("half", true)] {
            let run = || Ok(SERVERS.map(|n| placement(n, cold)).to_vec());
            let points = stepped(&SERVERS, run)?;
            let what = format!(
                "A placement by the decision module, {name} of the servers cold, median of 400 requests with a key each"
            );
            let series = series(&what, "servers", "us", RUNS, points);
            put(format!("placement, {name} cold"), series)?;
        }
    }
    if wanted("list") {
        for (name, whole) in [("whole", true), ("one entry", false)] {
            let mut bytes = Vec::new();
            let points = stepped(&SERVERS, || {
                let run = SERVERS.map(|n| take_over(n, whole));
                let run = run.into_iter().collect::<Result<Vec<_>, _>>()?;
                bytes = run.iter().map(|(bytes, _)| *bytes).collect();
                Ok(run.iter().map(|(_, us)| *us).collect())
            })?;
            let sizes = SERVERS.iter().map(|n| *n as f64).zip(bytes).collect();
            let what = format!("A list from discovery, {name}: read and taken over by the module");
            put(
                format!("list, {name}, time"),
                series(&what, "servers", "us", RUNS, points),
            )?;
            let what = format!("A list from discovery, {name}: its text, without the HTTP head");
            put(
                format!("list, {name}, bytes"),
                series(&what, "servers", "bytes", 1, sizes),
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
                group(servers),
            );
            put(format!("group, {servers} servers"), series)?;
        }
    }
    if wanted("delivery") {
        let what = format!(
            "Processor time of the balancer process for lines of {LINE} bytes from the servers through the relay, {STANDING} connections, a line each every {} ms, open loop, no loads among them, log at error; the rig is another process",
            TICK.as_millis()
        );
        let points = deliveries(program)?;
        put(
            "delivery, processor".into(),
            series(&what, "lines", "us", RUNS, points),
        )?;
    }
    if wanted("opening") {
        let what = "Processor time of the balancer process for openings one after the other, each ended at once by its client, one server known, log at error; the rig is another process";
        let points = openings(program)?;
        put(
            "opening, processor".into(),
            series(what, "openings", "us", RUNS, points),
        )?;
    }
    if wanted("standing") {
        let what = "Pss of the balancer process, silent standing connections; the kernel's part is not in it and is not told apart";
        let points = standing(program, "Pss:")?;
        put(
            "standing, memory".into(),
            series(what, "standing connections", "bytes", RUNS, points),
        )?;
    }
    Ok(())
}
