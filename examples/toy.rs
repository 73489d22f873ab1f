//! A toy fleet to try spanspur with: discovery and two stream servers, in one program on loopback.
//!
//! Press Enter to drain the first stream server: its clients are told to move, and new ones go to the other.

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::spawn;
use std::time::Duration;

const DISCOVERY: &str = "127.0.0.1:8500";
const SERVERS: [&str; 2] = ["127.0.0.1:9001", "127.0.0.1:9002"];

/// Whether the first server drains, and those who wait for that.
type Drains = Arc<(Mutex<bool>, Condvar)>;

fn main() -> std::io::Result<()> {
    let drains = Drains::default();
    for (number, at) in SERVERS.iter().enumerate() {
        let (listener, drains) = (TcpListener::bind(at)?, drains.clone());
        spawn(move || {
            for client in listener.incoming().flatten() {
                let drains = (number == 0).then(|| drains.clone());
                spawn(move || stream(number, client, drains));
            }
        });
    }
    let listener = TcpListener::bind(DISCOVERY)?;
    println!("discovery on {DISCOVERY}, stream servers on {SERVERS:?}; Enter drains the first");
    let list = drains.clone();
    spawn(move || {
        for caller in listener.incoming().flatten() {
            let drains = list.clone();
            spawn(move || discovery(caller, &drains));
        }
    });
    std::io::stdin().read_line(&mut String::new())?;
    *drains.0.lock().expect("no thread has failed") = true;
    drains.1.notify_all();
    println!("the first stream server drains; Enter ends the toy");
    std::io::stdin().read_line(&mut String::new()).map(drop)
}

/// Greets a client, then answers each of its lines, until it leaves or is sent away.
fn stream(number: usize, client: TcpStream, drains: Option<Drains>) -> std::io::Result<()> {
    let mut lines = BufReader::new(client.try_clone()?).lines();
    let first = lines.next().transpose()?.unwrap_or_default();
    let mut out = client;
    if !first.starts_with("OPEN ") {
        return out.write_all(b"SYNTAX\r\n");
    }
    if drains
        .as_ref()
        .is_some_and(|d| *d.0.lock().expect("no thread has failed"))
    {
        return out.write_all(b"BUSY\r\n");
    }
    println!("server {}: {first}", number + 1);
    out.write_all(format!("UP server-{}\r\n", number + 1).as_bytes())?;
    if let Some(drains) = drains {
        let mut away = out.try_clone()?;
        spawn(move || {
            let draining = drains.0.lock().expect("no thread has failed");
            drop(drains.1.wait_while(draining, |yes| !*yes));
            let _ = away.write_all(b"MOVE\r\n");
            let _ = away.shutdown(std::net::Shutdown::Both);
        });
    }
    for line in lines {
        out.write_all(format!("server {} heard: {}\r\n", number + 1, line?).as_bytes())?;
    }
    out.write_all(b"BYE\r\n")
}

/// Answers calls for the list; a watch waits for a change for as long as it asks to.
fn discovery(caller: TcpStream, drains: &Drains) -> std::io::Result<()> {
    let mut lines = BufReader::new(caller.try_clone()?).lines();
    let mut out = caller;
    while let Some(call) = lines.next().transpose()? {
        while lines
            .next()
            .transpose()?
            .is_some_and(|header| !header.is_empty())
        {}
        let figure = |name: &str| {
            let value = call.split_once(name)?.1;
            value
                .split(|c: char| !c.is_ascii_digit())
                .next()?
                .parse::<u64>()
                .ok()
        };
        let (since, wait) = (figure("since="), figure("timeout_ms="));
        let draining = drains.0.lock().expect("no thread has failed");
        let wait = Duration::from_millis(wait.unwrap_or(0).min(60_000));
        let waited = drains
            .1
            .wait_timeout_while(draining, wait, |yes| since == Some(1 + u64::from(*yes)));
        let draining = *waited.expect("no thread has failed").0;
        let revision = 1 + u64::from(draining);
        let members: Vec<String> = SERVERS
            .iter()
            .enumerate()
            .filter(|_| since != Some(revision))
            .map(|(number, at)| {
                let phase = if draining && number == 0 { "DRAINING" } else { "SERVING" };
                format!(
                    r#"{{"id":"toy-{number}","host_port":"{at}","locality":"here","flavor":"toy","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":0}}"#
                )
            })
            .collect();
        let complete = since.is_none();
        let list = format!(
            r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#,
            members.join(",")
        );
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            list.len()
        );
        out.write_all((head + &list).as_bytes())?;
    }
    Ok(())
}
