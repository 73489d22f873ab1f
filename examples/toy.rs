//! A minimal setup for trying spanspur: a discovery service and two stream servers in one process, on loopback.
//!
//! Press Enter to drain the first stream server: its clients are told to move, and new clients go to the other server.

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::spawn;
use std::time::Duration;

const DISCOVERY: &str = "127.0.0.1:8500";
const SERVERS: [&str; 2] = ["127.0.0.1:9001", "127.0.0.1:9002"];

/// Whether the first server is draining. The condition variable wakes the threads that wait for the drain to start.
type DrainSignal = Arc<(Mutex<bool>, Condvar)>;

fn main() -> std::io::Result<()> {
    let drain = DrainSignal::default();
    for (index, address) in SERVERS.iter().enumerate() {
        let (listener, drain) = (TcpListener::bind(address)?, drain.clone());
        spawn(move || {
            for client in listener.incoming().flatten() {
                let drain = (index == 0).then(|| drain.clone());
                spawn(move || serve_client(index, client, drain));
            }
        });
    }
    let listener = TcpListener::bind(DISCOVERY)?;
    println!(
        "discovery on {DISCOVERY}, stream servers on {SERVERS:?}; press Enter to drain the first server"
    );
    let discovery_drain = drain.clone();
    spawn(move || {
        for connection in listener.incoming().flatten() {
            let drain = discovery_drain.clone();
            spawn(move || serve_discovery(connection, &drain));
        }
    });
    std::io::stdin().read_line(&mut String::new())?;
    *drain.0.lock().expect("lock not poisoned") = true;
    drain.1.notify_all();
    println!("the first stream server is draining; press Enter to exit");
    std::io::stdin().read_line(&mut String::new()).map(drop)
}

/// Accepts a client, then answers each line that it sends, until the client disconnects or is told to move.
///
/// `drain` is `None` for a server that never drains. A draining server rejects new clients with `BUSY`.
fn serve_client(
    index: usize,
    client: TcpStream,
    drain: Option<DrainSignal>,
) -> std::io::Result<()> {
    let mut lines = BufReader::new(client.try_clone()?).lines();
    let open_request = lines.next().transpose()?.unwrap_or_default();
    let mut out = client;
    if !open_request.starts_with("OPEN ") {
        return out.write_all(b"SYNTAX\r\n");
    }
    if drain
        .as_ref()
        .is_some_and(|d| *d.0.lock().expect("lock not poisoned"))
    {
        return out.write_all(b"BUSY\r\n");
    }
    println!("server {}: {open_request}", index + 1);
    out.write_all(format!("UP server-{}\r\n", index + 1).as_bytes())?;
    if let Some(drain) = drain {
        let mut connection = out.try_clone()?;
        spawn(move || {
            let draining = drain.0.lock().expect("lock not poisoned");
            drop(drain.1.wait_while(draining, |draining| !*draining));
            let _ = connection.write_all(b"MOVE\r\n");
            let _ = connection.shutdown(std::net::Shutdown::Both);
        });
    }
    for line in lines {
        out.write_all(format!("server {} heard: {}\r\n", index + 1, line?).as_bytes())?;
    }
    out.write_all(b"BYE\r\n")
}

/// Answers requests for the endpoint list.
///
/// A request with the current revision in `since` waits until the list changes, for `timeout_ms` milliseconds and at most
/// one minute. A request without `since` gets the full list at once.
fn serve_discovery(connection: TcpStream, drain: &DrainSignal) -> std::io::Result<()> {
    let mut lines = BufReader::new(connection.try_clone()?).lines();
    let mut out = connection;
    while let Some(request_line) = lines.next().transpose()? {
        while lines
            .next()
            .transpose()?
            .is_some_and(|header| !header.is_empty())
        {}
        let query_parameter = |name: &str| {
            let value = request_line.split_once(name)?.1;
            value
                .split(|c: char| !c.is_ascii_digit())
                .next()?
                .parse::<u64>()
                .ok()
        };
        let (since, timeout_ms) = (query_parameter("since="), query_parameter("timeout_ms="));
        let draining = drain.0.lock().expect("lock not poisoned");
        let timeout = Duration::from_millis(timeout_ms.unwrap_or(0).min(60_000));
        let result = drain.1.wait_timeout_while(draining, timeout, |draining| {
            since == Some(1 + u64::from(*draining))
        });
        let draining = *result.expect("lock not poisoned").0;
        let revision = 1 + u64::from(draining);
        let members: Vec<String> = SERVERS
            .iter()
            .enumerate()
            .filter(|_| since != Some(revision))
            .map(|(index, address)| {
                let phase = if draining && index == 0 { "DRAINING" } else { "SERVING" };
                format!(
                    r#"{{"id":"toy-{index}","host_port":"{address}","locality":"here","flavor":"toy","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":0}}"#
                )
            })
            .collect();
        let complete = since.is_none();
        let body = format!(
            r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#,
            members.join(",")
        );
        let header = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        out.write_all((header + &body).as_bytes())?;
    }
    Ok(())
}
