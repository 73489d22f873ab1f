//! Case: the process is replaced under load while a crowd of bad clients opens connections and sends nothing.

use crate::client::{self, Ending, Lines, Next, Opened};
use crate::discovery::Discovery;
use crate::platform::{self, Class};
use crate::record;
use crate::server::{Seen, StreamServer};
use crate::util;
use crate::Verdict;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
}

/// The classes of the site.
const CLASSES: [Class; 2] = [("opwek-live", 0.5, 2.0), ("saldo-live", 0.3, 1.8)];
/// The balancer's descriptors, which the platform enforces for each process.
const DESCRIPTORS: usize = 256;
/// SIGKILL comes no earlier than the longest deadline and 0.7 s after SIGTERM.
const KILL_AFTER: f64 = 2.0 + 0.7 + 0.1;
/// Ordinary clients that stay, and that come and go: together they hold under a third of the descriptors.
const STANDING: usize = 40;
const SHORT_LIVED: usize = 30;
/// "By the hundreds."
const CROWD: usize = 500;
const REPLACEMENTS: usize = 6;

#[derive(Default)]
struct Counts {
    up: AtomicUsize,
    refused: AtomicUsize,
    moved: AtomicUsize,
    cut: AtomicUsize,
    unanswered: AtomicUsize,
    not_connected: AtomicUsize,
    crowd: AtomicUsize,
    most_descriptors: AtomicUsize,
}

/// `TROUBLE`: `1` both the replacements and the crowd, `0` neither, `replace` or `crowd` only that one.
pub fn play(trouble: &str) -> Verdict {
    let (replaced, has_crowd) = match trouble {
        "0" => (false, false),
        "replace" => (true, false),
        "crowd" => (false, true),
        _ => (true, true),
    };
    let seen = Arc::new(Mutex::new(Seen::default()));
    let servers: Vec<StreamServer> = (1..=4)
        .map(|n| StreamServer::start(&format!("s-{n}"), &seen))
        .collect();
    let listed: Vec<(String, SocketAddr)> =
        servers.iter().map(|s| (s.id.clone(), s.address)).collect();
    let discovery = Discovery::start(&listed);
    let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
    unsafe { listen(socket.as_raw_fd(), 1024) };
    let clients = socket.local_addr().expect("bound");
    let config = platform::write_config(
        "n1",
        clients,
        discovery.address,
        &discovery.known(),
        &CLASSES,
        (0, 1),
    );
    platform::set_descriptors(&config, DESCRIPTORS);
    let start = |name: &str, second_address: SocketAddr| {
        let mut variables = platform::variables("n1", clients, discovery.address, &config);
        variables.push(("BALANCER_OPERATOR", second_address.to_string()));
        platform::start_limited(name, &variables, &socket, DESCRIPTORS)
    };
    let ready = |second_address| platform::call(second_address, "GET", "/_ready", "");
    let first_address = util::free_address();
    let mut serving = start("p0", first_address);
    if !util::wait_until(30.0, || ready(first_address)) {
        return Verdict::NotRun("the balancer was not ready within 30 s".into());
    }

    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Counts::default());
    let mut threads = Vec::new();
    for n in 0..STANDING + SHORT_LIVED {
        let (stop, counts) = (stop.clone(), counts.clone());
        threads.push(thread::spawn(move || {
            ordinary_client(n, clients, &stop, &counts)
        }));
        util::sleep(0.01);
    }
    util::sleep(1.5);
    for n in 0..CROWD {
        if has_crowd {
            let (stop, counts) = (stop.clone(), counts.clone());
            let client = move || idle_client(n, clients, &stop, &counts);
            threads.push(
                thread::Builder::new()
                    .stack_size(64 * 1024)
                    .spawn(client)
                    .expect("a thread"),
            );
        }
    }
    for n in 1..=REPLACEMENTS {
        util::sleep(2.5);
        if !replaced {
            continue;
        }
        let second_address = util::free_address();
        let new = start(&format!("p{n}"), second_address);
        if !util::wait_until(6.0, || ready(second_address)) {
            return Verdict::NotRun("the new process was not ready within 6 s".into());
        }
        serving.signal("TERM");
        let kill_at = Instant::now() + Duration::from_secs_f64(KILL_AFTER);
        while serving.ended().is_none() && Instant::now() < kill_at {
            for process in [&serving, &new] {
                counts
                    .most_descriptors
                    .fetch_max(process.descriptors(), Ordering::Relaxed);
            }
            util::sleep(0.002);
        }
        if serving.ended().is_none() {
            serving.signal("KILL");
        }
        serving = new;
    }
    util::sleep(2.0);
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let count = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
    let text = format!(
        "ordinary clients: {} served, {} refused, {} moved, {} cut off without MOVE, {} without an answer, {} not connected; \
         crowd: {} connections; most descriptors of a process: {} of {DESCRIPTORS}",
        count(&counts.up),
        count(&counts.refused),
        count(&counts.moved),
        count(&counts.cut),
        count(&counts.unanswered),
        count(&counts.not_connected),
        count(&counts.crowd),
        count(&counts.most_descriptors),
    );
    record::line(&text);
    println!("{text}");
    match count(&counts.cut) + count(&counts.unanswered) {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

fn add(counter: &AtomicUsize) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// An ordinary client: the first ones stay, the others leave after a while and come again.
fn ordinary_client(n: usize, balancer: SocketAddr, stop: &AtomicBool, counts: &Counts) {
    let name = format!("{n:02}");
    while !stop.load(Ordering::Relaxed) {
        let (class, _, deadline) = CLASSES[usize::from(n % 10 < 3)];
        let deadline_ms = (deadline * 1000.0) as u64;
        let id = util::hex();
        let line = client::first_line(
            &id,
            &util::hex(),
            &format!("c:{}", util::hex()),
            class,
            deadline_ms,
            false,
        );
        match client::open(&name, balancer, &id, &line, deadline_ms) {
            Opened::Up(mut connection) => {
                add(&counts.up);
                let leaves_at = Instant::now() + Duration::from_millis(500 + util::random() % 1500);
                let leaves = || n >= STANDING && Instant::now() >= leaves_at;
                match connection.stay(|| stop.load(Ordering::Relaxed) || leaves()) {
                    Ending::Moved => add(&counts.moved),
                    Ending::Cut | Ending::Silent => add(&counts.cut),
                    Ending::Open => {}
                }
            }
            Opened::Answer(_) => add(&counts.refused),
            Opened::None(reason) if reason.starts_with("not ") => add(&counts.not_connected),
            Opened::None(reason) => {
                record::line(format!("client {name}: {id} {reason}"));
                add(&counts.unanswered);
            }
        }
        util::sleep(0.077 + (util::random() % 500) as f64 / 1000.0);
    }
}

/// A bad client of the crowd: connects, sends nothing or half a line, and does the same again as soon as it is turned away.
fn idle_client(n: usize, balancer: SocketAddr, stop: &AtomicBool, counts: &Counts) {
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect_timeout(&balancer, Duration::from_secs(3)) else {
            util::sleep(0.05);
            continue;
        };
        add(&counts.crowd);
        if n % 2 == 0 {
            let _ = stream.write_all(b"OPEN 9b1f03aa5c7e");
        }
        let mut lines = Lines::new(stream);
        let end = Instant::now() + Duration::from_secs(4);
        while !stop.load(Ordering::Relaxed) && Instant::now() < end {
            if lines.next(Instant::now() + Duration::from_millis(200)) != Next::Nothing {
                break;
            }
        }
        drop(lines);
    }
}
