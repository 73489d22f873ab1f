//! Case: connections from before the run are opened again while discovery is out of reach.

use crate::kit::*;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};

/// Seconds for which discovery is out of reach, from the start on.
const OUTAGE: f64 = 8.0;
/// Seconds within which a connection from before the run has to be up.
const UP_WITHIN: f64 = 40.0;
/// Clients retry by themselves up to this number of times.
const RETRIES: usize = 2;
const CLIENTS: usize = 6;

pub fn run(folder: &Path) -> i32 {
    let record = Record::create(folder);
    let temporary = Folder::new();
    let servers: Vec<Arc<Server>> = (1..=3).map(|n| Server::start(&record, &format!("s-{n}"))).collect();
    let discovery = Discovery::new(&record, &servers);
    // The list as the balancer last had it. The fourth stream server has joined since.
    let known = discovery.full_list();
    let joined = Server::start(&record, "s-4");
    discovery.list(&joined, "SERVING", 0);
    let view = discovery.view("n1");
    if has_trouble() {
        record.line("trouble: discovery is out of reach");
        view.set(Reach::Down);
    }
    let files = Files::write(&temporary, "n1", &settings(5, 192, &known), "{}");
    let listen = free_address();
    let _balancer = files.start("n1", listen, view.address, None, None, "");
    if !wait_for(10.0, || answers_ping(listen)) {
        record.line("the balancer is not ready");
        return 2;
    }
    let started_at = record.now();
    let up: Arc<Mutex<Vec<(String, f64)>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (record, up) = (record.clone(), up.clone());
            let server = if n % 2 == 0 { "s-4" } else { "s-1" };
            std::thread::spawn(move || {
                for _ in 0..=RETRIES {
                    if let Some(at) = open_again(&record, listen, server, started_at + UP_WITHIN) {
                        up.lock().unwrap().push((server.to_owned(), at - started_at));
                        return;
                    }
                    pause(0.1);
                }
            })
        })
        .collect();
    pause(started_at + OUTAGE - record.now());
    view.set(Reach::Up);
    record.line("discovery is in reach");
    clients.into_iter().for_each(|client| drop(client.join()));
    pause(2.0);
    let after = Call { hold: 0.1, ..Call::to(listen) }.play(&record);
    record.line(&format!("a new client is served: {}", after.end == "client"));
    record.line(&format!("discovery wrote a list at {:?}", view.told_at(0)));
    let up = up.lock().unwrap();
    for server in ["s-1", "s-4"] {
        let times: Vec<f64> = up.iter().filter(|(at, _)| at == server).map(|(_, at)| *at).collect();
        record.line(&format!("connections open at {server}: {} of {} up again, after {times:.2?} s", times.len(), CLIENTS / 2));
    }
    let broken = up.len() < CLIENTS;
    record.line(if broken { "BROKEN: lost (not up after 40 s)" } else { "held: lost" });
    i32::from(broken)
}

/// Asks for a connection that is open at a stream server, and waits for its UP. Returns when it came; `None` after any
/// other answer.
fn open_again(record: &Record, balancer: SocketAddr, server: &str, until: f64) -> Option<f64> {
    use std::io::{BufRead, BufReader, Write};
    let id = new_id();
    let asked_at = record.now();
    let wait_ms = ((until - asked_at) * 1000.0) as u64;
    let mut stream = std::net::TcpStream::connect_timeout(&balancer, seconds(1.0)).ok()?;
    stream.write_all(format!("OPEN {id} {id} c=opwek-live,d={wait_ms},g={id},at={server}\r\n").as_bytes()).ok()?;
    stream.set_read_timeout(Some(seconds(until - asked_at))).ok()?;
    let mut answer = String::new();
    let _ = BufReader::new(stream).read_line(&mut answer);
    record.line(&format!("client {id} at={server} asked at {asked_at:.3}, answered {answer:?}"));
    answer.starts_with("UP ").then(|| record.now())
}
