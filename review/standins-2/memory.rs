//! Case: a front that asks PING on one connection, and bad clients that come again as soon as they are turned away.

use crate::kit::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;

/// `limits.memory_mb` of the configuration; the pages give a balancer 32 to 192.
const MEMORY_MB: u64 = 64;
/// Seconds of the case.
const LENGTH: f64 = 100.0;
const BAD_CLIENTS: usize = 4;

pub fn run(folder: &Path) -> i32 {
    let record = Record::create(folder);
    let temporary = Folder::new();
    let servers: Vec<Arc<Server>> = (1..=4).map(|n| Server::start(&record, &format!("s-{n}"))).collect();
    let discovery = Discovery::new(&record, &servers);
    let view = discovery.view("n1");
    let config = temporary.0.join("config.json");
    std::fs::write(&config, settings(5, MEMORY_MB, &discovery.full_list())).unwrap();
    let listen = free_address();
    let mut balancer = Start {
        name: "n1",
        config: &config,
        listen,
        discovery: view.address,
        admin: None,
        operator_file: None,
        socket: None,
        tmpdir: &temporary.0,
        log: temporary.0.join("log"),
    }
    .start();
    if !wait_for(10.0, || answers_ping(listen)) {
        record.line("the balancer is not ready");
        return 2;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let asked = front(listen, &stop);
    let traffic = Traffic::start(&record, 5.0, move |_| Call { hold: 6.0, ..Call::to(listen) });
    pause(1.0);
    let turned_away = Arc::new(AtomicUsize::new(0));
    if has_trouble() {
        record.line(&format!("trouble: {BAD_CLIENTS} bad clients, each comes again as soon as it is turned away"));
        (0..BAD_CLIENTS).for_each(|_| bad_client(listen, &stop, &turned_away));
    }
    let mut next_line = 0.0;
    let mut over = false;
    while record.now() < LENGTH && !over {
        pause(0.2);
        let used = resident_mb(balancer.child.id());
        over = used > MEMORY_MB;
        if record.now() >= next_line || over {
            next_line = record.now() + 5.0;
            record.line(&format!(
                "memory of the balancer {used} MB, {} bad requests turned away, {} PINGs answered",
                turned_away.load(SeqCst),
                asked.load(SeqCst)
            ));
        }
        if balancer.has_exited() {
            record.line("the balancer has exited");
            over = true;
        }
    }
    if over {
        record.line(&format!("the platform kills the balancer: over {MEMORY_MB} MB"));
        let _ = balancer.child.kill();
    }
    stop.store(true, SeqCst);
    let outcomes = traffic.finish(10.0);
    let served = outcomes.iter().filter(|outcome| outcome.end == "client").count();
    let cut = outcomes.iter().filter(|outcome| matches!(outcome.end, "end" | "reset")).count();
    record.line(&format!("usual clients: {} came, {served} served to their end, {cut} established connections cut off", outcomes.len()));
    record.line(if over { "BROKEN: crash (killed for memory)" } else { "held: no crash" });
    i32::from(over)
}

/// A front that asks ten times a second on one connection. Returns the number of its PINGs that were answered PONG.
fn front(balancer: SocketAddr, stop: &Arc<AtomicBool>) -> Arc<AtomicUsize> {
    let answered = Arc::new(AtomicUsize::new(0));
    let (count, stop) = (answered.clone(), stop.clone());
    std::thread::spawn(move || -> Option<()> {
        let mut stream = TcpStream::connect(balancer).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        while !stop.load(SeqCst) {
            stream.write_all(b"PING\r\n").ok()?;
            let mut answer = String::new();
            reader.read_line(&mut answer).ok()?;
            count.fetch_add(usize::from(answer.trim_end() == "PONG"), SeqCst);
            pause(0.1);
        }
        Some(())
    });
    answered
}

/// A client that sends unreadable data, reads what it is sent, and comes again at once.
fn bad_client(balancer: SocketAddr, stop: &Arc<AtomicBool>, turned_away: &Arc<AtomicUsize>) {
    let (stop, turned_away) = (stop.clone(), turned_away.clone());
    std::thread::spawn(move || {
        while !stop.load(SeqCst) {
            let Ok(mut stream) = TcpStream::connect(balancer) else {
                pause(0.1);
                continue;
            };
            let _ = stream.write_all(b"unreadable\r\n");
            let _ = stream.read_to_end(&mut Vec::new());
            turned_away.fetch_add(1, SeqCst);
        }
    });
}

/// The resident memory of a process, in MB.
fn resident_mb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) / 1024
}
