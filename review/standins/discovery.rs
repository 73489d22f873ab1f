//! Discovery: the whole list, and watches, over HTTP/1.1 as the protocol page describes them.

use crate::record;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::spawn;
use std::time::Duration;

struct Member {
    id: String,
    address: SocketAddr,
    phase: &'static str,
    changed_in: u64,
}

struct List {
    revision: u64,
    members: Vec<Member>,
}

#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<(Mutex<List>, Condvar)>,
}

impl Discovery {
    /// Starts the service with these servers, all SERVING for long.
    pub fn start(servers: &[(String, SocketAddr)]) -> Self {
        let members = servers.iter().map(|(id, address)| Member {
            id: id.clone(),
            address: *address,
            phase: "SERVING",
            changed_in: 1,
        });
        let list = List {
            revision: 1,
            members: members.collect(),
        };
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let discovery = Self {
            address: listener.local_addr().expect("bound"),
            list: Arc::new((Mutex::new(list), Condvar::new())),
        };
        let service = discovery.clone();
        spawn(move || {
            for connection in listener.incoming().flatten() {
                let service = service.clone();
                spawn(move || service.serve(connection));
            }
        });
        discovery
    }

    /// The list as JSON, for the key `known` of a balancer's configuration.
    pub fn known(&self) -> String {
        json(&self.list.0.lock().expect("not poisoned"), None)
    }

    #[allow(dead_code)]
    pub fn set_phase(&self, id: &str, phase: &'static str) {
        let mut list = self.list.0.lock().expect("not poisoned");
        list.revision += 1;
        let revision = list.revision;
        for member in list.members.iter_mut().filter(|member| member.id == id) {
            member.phase = phase;
            member.changed_in = revision;
        }
        record::line(format!("discovery: revision {revision}, {id} is {phase}"));
        self.list.1.notify_all();
    }

    fn serve(&self, connection: TcpStream) -> Option<()> {
        let mut lines = BufReader::new(connection.try_clone().ok()?).lines();
        let mut out = connection;
        loop {
            let request = lines.next()?.ok()?;
            while !lines.next()?.ok()?.is_empty() {}
            let body = self.answer(&request);
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            out.write_all((head + &body).as_bytes()).ok()?;
        }
    }

    fn answer(&self, request: &str) -> String {
        let parameter = |name: &str| -> Option<u64> {
            let rest = request.split_once(name)?.1;
            rest.split(|c: char| !c.is_ascii_digit())
                .next()?
                .parse()
                .ok()
        };
        let (since, wait) = (parameter("since="), parameter("timeout_ms="));
        let list = self.list.0.lock().expect("not poisoned");
        let Some(since) = since else {
            return json(&list, None);
        };
        let wait = Duration::from_millis(wait.unwrap_or(0).min(60_000));
        let waited = self
            .list
            .1
            .wait_timeout_while(list, wait, |list| list.revision <= since);
        let (list, _) = waited.expect("not poisoned");
        json(&list, Some(since))
    }
}

fn json(list: &List, since: Option<u64>) -> String {
    let wanted = list.members.iter().filter(|member| match since {
        Some(since) => member.changed_in > since,
        None => member.phase != "DELETED",
    });
    let members: Vec<String> = wanted
        .map(|Member { id, address, phase, .. }| {
            format!(
                r#"{{"id":"{id}","host_port":"{address}","locality":"zwolle","flavor":"model-a","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":0}}"#
            )
        })
        .collect();
    let (revision, complete) = (list.revision, since.is_none());
    format!(
        r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#,
        members.join(",")
    )
}
