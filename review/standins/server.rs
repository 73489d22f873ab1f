//! A stream server: accepts what it can read, answers each line at once, and sends its clients away when it drains.

use crate::client::{Lines, Next};
use crate::record;
use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::spawn;
use std::time::{Duration, Instant};

/// A first line that reached a server.
#[derive(Clone)]
#[allow(dead_code)]
pub struct Arrival {
    pub at: f64,
    pub server: String,
    pub id: String,
    pub answer: &'static str,
}

/// What all stream servers of a case saw.
#[derive(Default)]
pub struct Seen {
    pub arrivals: Vec<Arrival>,
    /// For each id, the servers at which a connection is open now.
    pub open: HashMap<String, Vec<String>>,
    /// Ids that were sent to a server while another attempt was out, with the time and both servers.
    pub copies: Vec<(f64, String, String, String)>,
}

#[derive(Clone)]
pub struct StreamServer {
    pub id: String,
    pub address: SocketAddr,
    seen: Arc<Mutex<Seen>>,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    draining: bool,
    receipts: u64,
    connections: HashMap<u64, TcpStream>,
}

impl StreamServer {
    pub fn start(id: &str, seen: &Arc<Mutex<Seen>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Self {
            id: id.into(),
            address: listener.local_addr().expect("bound"),
            seen: seen.clone(),
            state: Arc::default(),
        };
        let service = server.clone();
        spawn(move || {
            for connection in listener.incoming().flatten() {
                let service = service.clone();
                spawn(move || service.serve(connection));
            }
        });
        server
    }

    /// Sends all clients away at once, and turns new ones away from now on.
    #[allow(dead_code)]
    pub fn drain(&self) {
        let mut state = self.state.lock().expect("not poisoned");
        state.draining = true;
        for connection in state.connections.values_mut() {
            let _ = connection.write_all(b"MOVE\r\n");
            let _ = connection.shutdown(Shutdown::Write);
        }
    }

    fn serve(&self, mut connection: TcpStream) -> Option<()> {
        let _ = connection.set_nodelay(true);
        let mut lines = Lines::new(connection.try_clone().ok()?);
        let first = match lines.next(Instant::now() + Duration::from_secs(30)) {
            Next::Line(line) => line,
            _ => return None,
        };
        let at = record::now();
        let words: Vec<&str> = first.split(' ').collect();
        let ["OPEN", id, _key, _values] = words[..] else {
            record::line(format!("{}: unreadable first line {first:?}", self.id));
            return connection.write_all(b"SYNTAX\r\n").ok();
        };
        let (answer, receipt) = self.decide(id);
        record::line(format!("{}: {first} -> {answer}", self.id));
        let mut seen = self.seen.lock().expect("not poisoned");
        seen.arrivals.push(Arrival {
            at,
            server: self.id.clone(),
            id: id.into(),
            answer,
        });
        if let Some(other) = seen
            .open
            .get(id)
            .and_then(|servers| servers.first())
            .cloned()
        {
            record::line(format!("{}: {id} is open at {other} already", self.id));
            seen.copies.push((at, id.into(), other, self.id.clone()));
        }
        if answer != "UP" {
            drop(seen);
            return connection
                .write_all(format!("{answer}\r\n").as_bytes())
                .ok();
        }
        seen.open
            .entry(id.into())
            .or_default()
            .push(self.id.clone());
        drop(seen);
        let kept = connection.try_clone().ok()?;
        self.state
            .lock()
            .expect("not poisoned")
            .connections
            .insert(receipt, kept);
        let result = self.relay(&mut connection, &mut lines, receipt);
        record::line(format!("{}: {id} ended by the balancer", self.id));
        self.state
            .lock()
            .expect("not poisoned")
            .connections
            .remove(&receipt);
        let mut seen = self.seen.lock().expect("not poisoned");
        if let Some(servers) = seen.open.get_mut(id) {
            if let Some(index) = servers.iter().position(|server| *server == self.id) {
                servers.remove(index);
            }
        }
        result
    }

    /// The answer to a first line, and the number of the receipt. An id that is open here already is an error.
    fn decide(&self, id: &str) -> (&'static str, u64) {
        let mut state = self.state.lock().expect("not poisoned");
        if state.draining {
            return ("BUSY", 0);
        }
        let seen = self.seen.lock().expect("not poisoned");
        if seen
            .open
            .get(id)
            .is_some_and(|servers| servers.contains(&self.id))
        {
            return ("ERR", 0);
        }
        state.receipts += 1;
        ("UP", state.receipts)
    }

    fn relay(&self, connection: &mut TcpStream, lines: &mut Lines, receipt: u64) -> Option<()> {
        let up = format!("UP {}-{receipt}\r\n", self.id);
        connection.write_all(up.as_bytes()).ok()?;
        loop {
            match lines.next(Instant::now() + Duration::from_secs(60)) {
                Next::Line(line) => {
                    let echo = format!("{} heard {line}\r\n", self.id);
                    connection.write_all(echo.as_bytes()).ok()?;
                }
                _ => return None,
            }
        }
    }
}
