//! Case: a planned restart (SIGTERM) of one balancer of two, with settings whose longest deadline is under a second.

use crate::client::{self, Ending, Opened};
use crate::discovery::Discovery;
use crate::platform::{self, Class};
use crate::record;
use crate::server::{Seen, StreamServer};
use crate::util;
use crate::Verdict;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The classes of the site, with shorter deadlines.
const CLASSES: [Class; 2] = [("opwek-live", 0.5, 0.9), ("saldo-live", 0.3, 0.7)];
/// The longest deadline of the settings.
const LONGEST_DEADLINE: f64 = 0.9;
/// SIGKILL comes no earlier than the longest deadline and this long after SIGTERM.
const KILL_AFTER_DEADLINE: f64 = 0.7;
/// Slack of the platform, so that SIGKILL comes later rather than earlier.
const KILL_SLACK: f64 = 0.1;
const STANDING: usize = 140;
const ARRIVALS_AFTER_SIGTERM: usize = 4;

/// What became of one connection.
struct Outcome {
    client: String,
    ending: Ending,
    at: f64,
}

pub fn play(trouble: &str) -> Verdict {
    let trouble = trouble != "0";
    let seen = Arc::new(Mutex::new(Seen::default()));
    let servers: Vec<StreamServer> = (1..=4)
        .map(|n| StreamServer::start(&format!("s-{n}"), &seen))
        .collect();
    let listed: Vec<(String, SocketAddr)> =
        servers.iter().map(|s| (s.id.clone(), s.address)).collect();
    let discovery = Discovery::start(&listed);

    let addresses = [util::free_address(), util::free_address()];
    let start = |index: usize| {
        let name = format!("n{}", index + 1);
        let (listen, known) = (addresses[index], discovery.known());
        let config = platform::write_config(
            &name,
            listen,
            discovery.address,
            &known,
            &CLASSES,
            (index, 2),
        );
        platform::start(
            &name,
            &platform::variables(&name, listen, discovery.address, &config),
            None,
        )
    };
    let first = start(0);
    let _second = start(1);
    if !addresses
        .iter()
        .all(|address| platform::wait_for_pong(*address))
    {
        return Verdict::NotRun("a balancer was not ready within 30 s".into());
    }

    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let refused = Arc::new(Mutex::new(Vec::new()));
    let unanswered = Arc::new(Mutex::new(Vec::new()));
    let stop = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    let mut arrive = |name: String| {
        let (outcomes, refused, unanswered, stop) = (
            outcomes.clone(),
            refused.clone(),
            unanswered.clone(),
            stop.clone(),
        );
        threads.push(thread::spawn(move || {
            let (class, _, deadline) = CLASSES[usize::from(util::random() % 10 < 3)];
            let deadline_ms = (deadline * 1000.0) as u64;
            let group = format!("c:{}", util::hex());
            let key = util::hex();
            let id = util::hex();
            let line = client::first_line(&id, &key, &group, class, deadline_ms, false);
            let mut connection = match client::open(&name, addresses[0], &id, &line, deadline_ms) {
                Opened::Up(connection) => connection,
                Opened::Answer(answer) => {
                    record::line(format!("client {name}: {id} -> {answer}"));
                    return refused.lock().expect("not poisoned").push(name);
                }
                Opened::None(reason) => {
                    record::line(format!("client {name}: {id} {reason}"));
                    return unanswered.lock().expect("not poisoned").push(name);
                }
            };
            let ending = connection.stay(|| stop.load(Ordering::Relaxed));
            drop(connection);
            let at = record::now();
            outcomes.lock().expect("not poisoned").push(Outcome {
                client: name.clone(),
                ending,
                at,
            });
            if ending == Ending::Open {
                return;
            }
            // The client comes again, through the front, which knows the other balancer.
            util::sleep(0.077 + (util::random() % 1424) as f64 / 1000.0);
            let id = util::hex();
            let line = client::first_line(&id, &key, &group, class, deadline_ms, true);
            if let Opened::Up(mut connection) =
                client::open(&name, addresses[1], &id, &line, deadline_ms)
            {
                connection.stay(|| stop.load(Ordering::Relaxed));
            }
        }));
    };
    for n in 0..STANDING {
        arrive(format!("{n:02}"));
        util::sleep(0.03);
    }
    util::sleep(3.0);
    let up = seen
        .lock()
        .expect("not poisoned")
        .arrivals
        .iter()
        .filter(|arrival| arrival.answer == "UP")
        .count();
    if up < STANDING || !refused.lock().expect("not poisoned").is_empty() {
        return Verdict::NotRun(format!("{up} of {STANDING} standing connections were up"));
    }

    let told_at = record::now();
    if trouble {
        let kill_at = Instant::now()
            + Duration::from_secs_f64(LONGEST_DEADLINE + KILL_AFTER_DEADLINE + KILL_SLACK);
        first.signal("TERM");
        for n in 0..ARRIVALS_AFTER_SIGTERM {
            util::sleep(0.05);
            arrive(format!("late-{n}"));
        }
        while first.ended().is_none() && Instant::now() < kill_at {
            util::sleep(0.005);
        }
        let ended_after = record::now() - told_at;
        if first.ended().is_none() {
            first.signal("KILL");
        }
        record::line(format!(
            "platform: the process was gone or killed {ended_after:.3} s after SIGTERM"
        ));
        util::sleep(0.2);
        start(0);
        if !platform::wait_for_pong(addresses[0]) {
            return Verdict::NotRun("the balancer was not ready again within 30 s".into());
        }
    }
    util::sleep(4.0);
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }

    let outcomes = outcomes.lock().expect("not poisoned");
    let count = |ending: Ending| {
        outcomes
            .iter()
            .filter(|outcome| outcome.ending == ending)
            .count()
    };
    for outcome in outcomes
        .iter()
        .filter(|outcome| matches!(outcome.ending, Ending::Cut | Ending::Silent))
    {
        let after = outcome.at - told_at;
        record::line(format!(
            "lost: client {}, {:?} {after:.3} s after SIGTERM",
            outcome.client, outcome.ending
        ));
    }
    let unanswered = unanswered.lock().expect("not poisoned").len();
    let (moved, cut, silent, open) = (
        count(Ending::Moved),
        count(Ending::Cut),
        count(Ending::Silent),
        count(Ending::Open),
    );
    let text = format!(
        "connections through the balancer: {} moved, {cut} cut off without MOVE, {silent} silent, {open} still open; \
         {unanswered} requests without an answer",
        moved
    );
    record::line(&text);
    println!("{text}");
    match cut + silent + unanswered {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
