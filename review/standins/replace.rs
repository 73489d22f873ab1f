//! Case: the process is replaced under load while bad clients send the ids of other clients' open requests.

use crate::client::{self, Ending, Lines, Next, Opened};
use crate::discovery::Discovery;
use crate::platform::{self, Class};
use crate::record;
use crate::server::{Seen, StreamServer};
use crate::util;
use crate::Verdict;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The classes of the site.
const CLASSES: [Class; 2] = [("opwek-live", 0.5, 2.0), ("saldo-live", 0.3, 1.8)];
/// SIGKILL comes no earlier than the longest deadline and 0.7 s after SIGTERM.
const KILL_AFTER: f64 = 2.0 + 0.7 + 0.1;
const STANDING: usize = 24;
const BAD_CLIENTS: usize = 4;
/// Pause of a bad client that was turned away, before it sends the same thing again.
const BAD_PAUSE: f64 = 0.005;

/// What all bad clients met.
#[derive(Default)]
struct BadAnswers {
    turned_away: AtomicUsize,
    served: AtomicUsize,
}

/// `TROUBLE`: `1` both the replacement and the bad clients, `0` neither, `replace` or `bad` only that one.
pub fn play(trouble: &str) -> Verdict {
    let (replaced, has_bad_clients) = match trouble {
        "0" => (false, false),
        "replace" => (true, false),
        "bad" => (false, true),
        _ => (true, true),
    };
    let seen = Arc::new(Mutex::new(Seen::default()));
    let servers: Vec<StreamServer> = (1..=4)
        .map(|n| StreamServer::start(&format!("s-{n}"), &seen))
        .collect();
    let listed: Vec<(String, SocketAddr)> =
        servers.iter().map(|s| (s.id.clone(), s.address)).collect();
    let discovery = Discovery::start(&listed);

    // The platform holds the clients' listening socket.
    let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let clients = socket.local_addr().expect("bound");
    let config = platform::write_config(
        "n1",
        clients,
        discovery.address,
        &discovery.known(),
        &CLASSES,
        (0, 1),
    );
    let start = |name: &str, second_address: SocketAddr| {
        let mut variables = platform::variables("n1", clients, discovery.address, &config);
        variables.push(("BALANCER_OPERATOR", second_address.to_string()));
        platform::start(name, &variables, Some(&socket))
    };
    let ready = |second_address| platform::call(second_address, "GET", "/_ready", "");
    let old_address = util::free_address();
    let old = start("n1-old", old_address);
    if !util::wait_until(30.0, || ready(old_address)) || !platform::wait_for_pong(clients) {
        return Verdict::NotRun("the balancer was not ready within 30 s".into());
    }

    let stop = Arc::new(AtomicBool::new(false));
    let outcomes: Arc<Mutex<Vec<(String, String, Ending, f64)>>> = Arc::default();
    let open_ids: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut threads = Vec::new();
    for n in 0..STANDING {
        let (stop, outcomes, open_ids) = (stop.clone(), outcomes.clone(), open_ids.clone());
        threads.push(thread::spawn(move || {
            let name = format!("{n:02}");
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
            if let Opened::Up(mut connection) =
                client::open(&name, clients, &id, &line, deadline_ms)
            {
                open_ids.lock().expect("not poisoned").push(id.clone());
                let ending = connection.stay(|| stop.load(Ordering::Relaxed));
                open_ids
                    .lock()
                    .expect("not poisoned")
                    .retain(|open| *open != id);
                outcomes
                    .lock()
                    .expect("not poisoned")
                    .push((name, id, ending, record::now()));
            }
        }));
        util::sleep(0.03);
    }
    if !util::wait_until(5.0, || {
        open_ids.lock().expect("not poisoned").len() == STANDING
    }) {
        return Verdict::NotRun("not all standing connections were up".into());
    }
    util::sleep(2.0);

    let bad = Arc::new(BadAnswers::default());
    for n in 0..BAD_CLIENTS {
        if has_bad_clients {
            let (stop, open_ids, bad) = (stop.clone(), open_ids.clone(), bad.clone());
            threads.push(thread::spawn(move || {
                send_stolen_ids(n, clients, &open_ids, &stop, &bad)
            }));
        }
    }
    util::sleep(1.0);
    if replaced {
        let new_address = util::free_address();
        start("n1-new", new_address);
        if !util::wait_until(30.0, || ready(new_address)) {
            return Verdict::NotRun("the new process was not ready within 30 s".into());
        }
        record::line("platform: the new process says yes");
        let kill_at = Instant::now() + Duration::from_secs_f64(KILL_AFTER);
        old.signal("TERM");
        while old.ended().is_none() && Instant::now() < kill_at {
            util::sleep(0.005);
        }
        if old.ended().is_none() {
            old.signal("KILL");
        }
    }
    util::sleep(4.0);
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }

    let outcomes = outcomes.lock().expect("not poisoned");
    let mut lost = 0;
    for (name, id, ending, at) in outcomes.iter() {
        if matches!(ending, Ending::Cut | Ending::Silent) {
            lost += 1;
            record::line(format!(
                "lost: client {name}, id {id}, {ending:?} at {at:.3}"
            ));
        }
    }
    let moved = outcomes
        .iter()
        .filter(|(_, _, ending, _)| *ending == Ending::Moved)
        .count();
    let (served, turned_away) = (
        bad.served.load(Ordering::Relaxed),
        bad.turned_away.load(Ordering::Relaxed),
    );
    let copies = seen.lock().expect("not poisoned").copies.len();
    let text = format!(
        "{STANDING} standing connections: {lost} cut off without MOVE, {moved} moved; bad clients: {turned_away} turned away, \
         {served} served; ids sent to a server while another attempt was out: {copies}"
    );
    record::line(&text);
    println!("{text}");
    match lost + served {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// A bad client: sends the id of another client's open request, with a key and a group of its own, and the same again as
/// soon as it is turned away. Once served it keeps the connection and reads whatever comes.
fn send_stolen_ids(
    n: usize,
    balancer: SocketAddr,
    open_ids: &Mutex<Vec<String>>,
    stop: &AtomicBool,
    bad: &BadAnswers,
) {
    let (key, group) = (util::hex(), format!("c:{}", util::hex()));
    // Each bad client keeps to one id.
    let id = open_ids.lock().expect("not poisoned")[n].clone();
    record::line(format!(
        "bad client {n}: sends the id {id} of another client"
    ));
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect_timeout(&balancer, Duration::from_secs(1)) else {
            util::sleep(0.02);
            continue;
        };
        let _ = stream
            .write_all(format!("OPEN {id} {key} c=opwek-live,d=2000,g={group}\r\n").as_bytes());
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut lines = Lines::new(reading);
        match lines.next(Instant::now() + Duration::from_secs(3)) {
            Next::Line(line) if line.starts_with("UP ") => {
                bad.served.fetch_add(1, Ordering::Relaxed);
                record::line(format!("bad client {n}: {id} -> {line}"));
                while !stop.load(Ordering::Relaxed)
                    && matches!(
                        lines.next(Instant::now() + Duration::from_millis(100)),
                        Next::Line(_) | Next::Nothing
                    )
                {}
            }
            _ => {
                bad.turned_away.fetch_add(1, Ordering::Relaxed);
            }
        }
        drop(stream);
        util::sleep(BAD_PAUSE);
    }
}
