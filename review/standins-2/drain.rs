//! Case: a balancer that is being emptied is replaced by a new process.

use crate::kit::*;
use std::path::Path;
use std::sync::{Arc, Mutex};

/// Connections that stand when the balancer is told to empty.
const CLIENTS: usize = 300;
/// Seconds from the call to the start of the new process.
const REPLACED_AFTER: f64 = 2.0;
/// Seconds after the call at which no connection may be held, with the slack on sockets.
const EMPTY_AT: f64 = 4.0 + 0.05;

pub fn run(folder: &Path) -> i32 {
    let record = Record::create(folder);
    let temporary = Folder::new();
    let servers: Vec<Arc<Server>> = (1..=4).map(|n| Server::start(&record, &format!("s-{n}"))).collect();
    let discovery = Discovery::new(&record, &servers);
    let (view, second_view) = (discovery.view("n1"), discovery.view("n1, new process"));
    let (listener, socket) = platform_socket();
    let listen = listener.local_addr().unwrap();
    let config = temporary.0.join("config.json");
    std::fs::write(&config, settings(5, 192, &discovery.full_list())).unwrap();
    let tmpdir = temporary.0.join("tmp");
    std::fs::create_dir_all(&tmpdir).unwrap();
    let admin = [free_address(), free_address()];
    let start = |n: usize, discovery| Start {
        name: "n1",
        config: &config,
        listen,
        discovery,
        admin: Some(admin[n]),
        operator_file: None,
        socket: Some(socket),
        tmpdir: &tmpdir,
        log: temporary.0.join(format!("log{n}")),
    };
    let mut old = start(0, view.address).start();
    if !wait_for(10.0, || admin_call(admin[0], "GET", "/_ready", "") == Some(200)) {
        record.line("the balancer is not ready");
        return 2;
    }
    let ends = Arc::new(Mutex::new(Vec::new()));
    let threads: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (record, ends) = (record.clone(), ends.clone());
            std::thread::spawn(move || {
                let mut call = Call::to(listen);
                call.hold = 20.0;
                let outcome = call.play(&record);
                ends.lock().unwrap().push((record.now(), outcome));
            })
        })
        .collect();
    let standing = || servers.iter().map(|server| server.sent.lock().unwrap().len()).sum::<usize>();
    if !wait_for(5.0, || standing() == CLIENTS) {
        record.line("the connections do not stand");
        return 2;
    }
    pause(1.0);

    record.line("call: /_lameduck/on");
    if admin_call(admin[0], "POST", "/_lameduck/on", "") != Some(200) {
        return 2;
    }
    let told_at = record.now();
    let mut new = None;
    if has_trouble() {
        pause(REPLACED_AFTER);
        record.line("trouble: a new process is started beside the old one");
        new = Some(start(1, second_view.address).start());
        if !wait_for(10.0, || admin_call(admin[1], "GET", "/_ready", "") == Some(200)) {
            record.line("the new process is not ready");
            return 2;
        }
        record.line("the new process says yes; SIGTERM to the old one");
        old.signal("TERM");
    }
    pause(told_at + EMPTY_AT - record.now());
    let moved = {
        let ends = ends.lock().unwrap();
        ends.iter().filter(|(_, outcome)| outcome.end == "MOVE").count()
    };
    let held = CLIENTS - ends.lock().unwrap().len();
    record.line(&format!("{EMPTY_AT} s after the call: {moved} clients moved, {held} connections held"));
    pause(4.0);
    record.line(&format!("old process exited: {}", old.has_exited()));
    let ends = ends.lock().unwrap();
    let last = ends.iter().map(|(at, _)| *at).fold(0.0, f64::max);
    record.line(&format!("8 s after the call: {} connections held, the last one ended {:.2} s after it", CLIENTS - ends.len(), last - told_at));
    let others: Vec<&str> = ends.iter().map(|(_, outcome)| outcome.end).filter(|end| *end != "MOVE").collect();
    record.line(&format!("connections that ended otherwise: {others:?}"));
    drop((threads, new));
    let broken = held > 0;
    record.line(if broken { "BROKEN: lost (held when it should be empty)" } else { "held: lost" });
    i32::from(broken)
}
