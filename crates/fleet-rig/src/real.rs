//! Runs balancers as real processes, with stub stream servers and a stub discovery in this process. Each listener has a
//! loopback address of its own, so that a port that was free when it was chosen stays free.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// The longest wait for one step. A run that would hang fails instead.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);
/// A probe whose line tells the server the term and the probing instance. `MS` is replaced by the interval.
const PROBE_DUTY: &str = r#"{"probe":{"every_ms":MS,"connect_ms":200,"answer_ms":300,"line":"PROBE {period} {instance}","expect":"PONG"}}"#;

/// The `duties` section of an operator's file in which every server is probed at this interval.
pub fn probe_duties(interval: Duration) -> String {
    PROBE_DUTY.replace("MS", &interval.as_millis().to_string())
}

/// Starts this many stub servers.
pub fn start_servers(count: usize) -> Vec<StubServer> {
    (0..count)
        .map(|n| StubServer::new(&format!("s-{n}")))
        .collect()
}

/// The servers' entries of the endpoint list, all in the phase SERVING.
pub fn serving_entries(servers: &[StubServer]) -> Vec<String> {
    servers
        .iter()
        .map(|server| server.entry("SERVING"))
        .collect()
}

/// Whether each server has been probed more than once.
pub fn all_probed(servers: &[StubServer]) -> bool {
    servers
        .iter()
        .all(|s| s.probes.lock().expect("lock not poisoned").len() > 1)
}

/// Describes each term that was probed twice and each gap of more than one missed term, by the servers' own records.
/// Gaps are looked for from `from` to `until`, duplicates in all records.
pub fn find_violations(
    servers: &[StubServer],
    interval: Duration,
    from: Instant,
    until: Instant,
) -> Vec<String> {
    let mut violations = Vec::new();
    for server in servers {
        let probes = server.probes.lock().expect("lock not poisoned").clone();
        let mut instances: BTreeMap<u64, &str> = BTreeMap::new();
        for (_, term, instance) in &probes {
            if let Some(first) = instances.insert(*term, instance) {
                violations.push(format!(
                    "{}: period {term} by {first} and {instance}",
                    server.id
                ));
            }
        }
        let (mut highest_term, mut last) = (0, from);
        let in_time = probes.iter().filter(|(at, ..)| *at >= from && *at <= until);
        let accepted = in_time.filter(|(_, term, _)| {
            let is_new = *term > highest_term;
            highest_term = highest_term.max(*term);
            is_new
        });
        for at in accepted.map(|(at, ..)| *at).chain([until]) {
            // One term may be missed, and the next may be late by the time that a takeover takes.
            if at - last > interval * 3 {
                let (start, end) = ((last - from).as_millis(), (at - from).as_millis());
                violations.push(format!("{}: nothing from {start} to {end} ms", server.id));
            }
            last = at;
        }
    }
    violations
}

/// A probe that a stub server received: the time, the term, and the name of the probing instance.
pub type ProbeRecord = (Instant, u64, String);

/// A stream server that accepts all connections, answers probes and records them.
pub struct StubServer {
    /// The server's id in the endpoint list.
    pub id: String,
    /// The address at which the server listens.
    pub address: SocketAddr,
    /// The received probes, in the order of arrival.
    pub probes: Arc<Mutex<Vec<ProbeRecord>>>,
    /// Whether the server accepts connections without answering, as if it hung.
    pub unresponsive: Arc<AtomicBool>,
    /// The number of received lines other than probes, which come from clients.
    pub requests: Arc<AtomicUsize>,
}

impl StubServer {
    /// Starts a server on a loopback address of its own.
    pub fn new(id: &str) -> Self {
        let listener = listener();
        let server = Self {
            id: id.into(),
            address: listener.local_addr().expect("the listener is bound"),
            probes: Arc::default(),
            unresponsive: Arc::default(),
            requests: Arc::default(),
        };
        let (probes, unresponsive, requests) = (
            server.probes.clone(),
            server.unresponsive.clone(),
            server.requests.clone(),
        );
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (probes, unresponsive, requests) =
                    (probes.clone(), unresponsive.clone(), requests.clone());
                std::thread::spawn(move || {
                    let mut lines =
                        BufReader::new(stream.try_clone().expect("the stream can be cloned"))
                            .lines();
                    let mut out = stream;
                    while let Some(Ok(line)) = lines.next() {
                        if unresponsive.load(Ordering::Relaxed) {
                            std::thread::sleep(Duration::from_secs(20));
                            return;
                        }
                        let answer = match line.split(' ').collect::<Vec<_>>()[..] {
                            ["PROBE", term, instance] => {
                                let probe =
                                    (Instant::now(), term.parse().unwrap_or(0), instance.into());
                                probes.lock().expect("lock not poisoned").push(probe);
                                "PONG\r\n"
                            }
                            _ => {
                                requests.fetch_add(1, Ordering::Relaxed);
                                "UP r1\r\n"
                            }
                        };
                        if out.write_all(answer.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        server
    }

    /// The server's entry of the endpoint list, in this phase.
    pub fn entry(&self, phase: &str) -> String {
        entry(&self.id, self.address, phase)
    }
}

/// An entry of the endpoint list, as JSON.
pub fn entry(id: &str, address: SocketAddr, phase: &str) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"a","flavor":"m","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":0}}"#
    )
}

/// A revision and its entries.
type RevisedList = (u64, Vec<String>);

/// A discovery service that serves one list and counts its requests.
#[derive(Clone)]
pub struct StubDiscovery {
    /// The address at which the service listens.
    pub address: SocketAddr,
    list: Arc<(Mutex<RevisedList>, Condvar)>,
    /// The number of requests at this address.
    pub polls: Arc<AtomicUsize>,
}

impl StubDiscovery {
    /// Starts a service with these entries as revision 1.
    pub fn new(entries: Vec<String>) -> Self {
        Self::listen(Arc::new((Mutex::new((1, entries)), Condvar::new())))
    }

    /// Starts another service for the same list, with an address and a count of its own.
    pub fn share_list(&self) -> Self {
        Self::listen(self.list.clone())
    }

    fn listen(list: Arc<(Mutex<RevisedList>, Condvar)>) -> Self {
        let listener = listener();
        let new = Self {
            address: listener.local_addr().expect("the listener is bound"),
            list,
            polls: Arc::default(),
        };
        let discovery = new.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = discovery.clone();
                std::thread::spawn(move || discovery.serve(stream));
            }
        });
        new
    }

    /// Replaces the whole list under the next revision, and answers all waiting requests.
    pub fn publish(&self, entries: Vec<String>) {
        let mut list = self.list.0.lock().expect("lock not poisoned");
        *list = (list.0 + 1, entries);
        self.list.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut lines = BufReader::new(stream.try_clone().ok()?).lines();
        let mut out = stream;
        loop {
            let request = lines.next()?.ok()?;
            while !lines.next()?.ok()?.is_empty() {}
            self.polls.fetch_add(1, Ordering::Relaxed);
            let since = request.split_once("since=").and_then(|(_, rest)| {
                rest.split(|c: char| !c.is_ascii_digit())
                    .next()?
                    .parse::<u64>()
                    .ok()
            });
            // A long poll: a request that names the current revision waits for the next one.
            let list = self.list.0.lock().expect("lock not poisoned");
            let wait = Duration::from_millis(if since.is_some() { 3500 } else { 0 });
            let (list, _) = self
                .list
                .1
                .wait_timeout_while(list, wait, |list| since == Some(list.0))
                .expect("lock not poisoned");
            let unchanged = since == Some(list.0);
            let members = if unchanged {
                String::new()
            } else {
                list.1.join(",")
            };
            let body = format!(
                r#"{{"revision":{},"complete":{},"members":[{members}]}}"#,
                list.0, !unchanged
            );
            drop(list);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            out.write_all((head + &body).as_bytes()).ok()?;
        }
    }
}

/// A loopback address that this run uses nowhere else, so that its ports stay free.
fn unique_address() -> Ipv4Addr {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    let next = NEXT.fetch_add(1, Ordering::Relaxed);
    let (high, low) = (next / 250 % 250, 1 + next % 250);
    let process = 100 + std::process::id() % 150;
    Ipv4Addr::new(127, process as u8, high as u8, low as u8)
}

/// Listens at an address of its own, on a free port.
fn listener() -> TcpListener {
    TcpListener::bind((unique_address(), 0)).expect("a port is free")
}

/// A free port at an address of its own.
pub fn free_address() -> SocketAddr {
    listener().local_addr().expect("the listener is bound")
}

/// The instances of a test, their files and their processes. Dropping it ends the processes, and removes the files
/// unless the test has failed.
pub struct Cluster {
    program: PathBuf,
    /// The folder of the configurations, logs and control sockets.
    pub dir: PathBuf,
    /// The discovery that members use.
    pub discovery: StubDiscovery,
    /// The instances' names, by index.
    pub names: Vec<String>,
    /// The UDP addresses for cluster traffic, by instance.
    pub gossip_addresses: Vec<SocketAddr>,
    /// The TCP addresses at which clients connect, by instance.
    pub listen_addresses: Vec<SocketAddr>,
    /// The `duties` section of the operator's file, as JSON.
    pub duties: String,
    /// The cluster's keys in the operator's file, as a JSON array.
    pub keys: String,
    /// Additional sections of an instance's operator file. For instances outside the cluster these replace the sections
    /// `cluster` and `duties`.
    pub sections: BTreeMap<usize, String>,
    /// The instances outside the cluster, which are the last ones, with the discovery that each uses.
    pub non_members: BTreeMap<usize, StubDiscovery>,
    /// The running processes, by instance.
    pub running: BTreeMap<usize, Child>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.running.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

impl Cluster {
    /// Starts this many instances of the program.
    pub fn new(program: &str, size: usize, discovery: StubDiscovery, duties: &str) -> Self {
        let mut cluster = Self::prepare(program, size, discovery, duties);
        (0..size).for_each(|i| cluster.start(i));
        cluster
    }

    /// Prepares instances without starting them.
    pub fn prepare(program: &str, size: usize, discovery: StubDiscovery, duties: &str) -> Self {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let dir =
            std::env::temp_dir().join(format!("spanspur-cluster-{}-{count}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("the folder is created");
        let gossip_addresses = (0..size).map(|_| {
            let address = free_address();
            UdpSocket::bind(address).expect("the port is free for UDP too");
            address
        });
        Self {
            program: program.into(),
            dir,
            discovery,
            names: (0..size).map(|i| format!("n{i}")).collect(),
            gossip_addresses: gossip_addresses.collect(),
            listen_addresses: (0..size).map(|_| free_address()).collect(),
            duties: duties.into(),
            keys: r#"["a secret of this test"]"#.into(),
            sections: BTreeMap::new(),
            non_members: BTreeMap::new(),
            running: BTreeMap::new(),
        }
    }

    /// Writes an instance's operator file.
    pub fn write_operator_config(&self, i: usize) {
        let quoted = |values: Vec<String>| {
            let values: Vec<String> = values.iter().map(|value| format!("{value:?}")).collect();
            values.join(",")
        };
        let head = format!(
            r#"{{"log":{{"format":"json"}},"control":{{"socket":{:?}}}"#,
            self.control_socket(i)
        );
        let section = self.sections.get(&i).map_or("", String::as_str);
        let file = self.dir.join(format!("operator-{i}.json"));
        if self.non_members.contains_key(&i) {
            return std::fs::write(file, format!("{head},{section}}}"))
                .expect("the file is written");
        }
        // The instances outside the cluster are the last ones.
        let members = self.names.len() - self.non_members.len();
        let seeds = self.gossip_addresses[..members].iter().take(3);
        let seeds = quoted(seeds.map(SocketAddr::to_string).collect());
        let separator = if section.is_empty() { "" } else { "," };
        let text = format!(
            r#"{head}{separator}{section},
            "cluster":{{"name":"{}","listen":"{}","seeds":[{seeds}],"voters":[{}],"keys":{},
            "clock_skew_ms":200}},"duties":{}}}"#,
            self.names[i],
            self.gossip_addresses[i],
            quoted(self.names[..members].to_vec()),
            self.keys,
            self.duties,
        );
        std::fs::write(file, text).expect("the file is written");
    }

    /// The path of an instance's control socket.
    pub fn control_socket(&self, i: usize) -> PathBuf {
        self.dir.join(format!("{i}.sock"))
    }

    /// Writes an instance's files and starts its process.
    pub fn start(&mut self, i: usize) {
        self.write_operator_config(i);
        let config = self.dir.join(format!("config-{i}.json"));
        let settings = r#"{"balancers":5,"zone":"a","membershipMode":"on_request",
            "classes":[{"name":"live","onTime":0.5,"hardLimit":2.0,"semantics":"free","stream":true}],
            "domain":{"groups":true,"messageAim":[0.25]},
            "limits":{"maxAttempts":3,"connectTimeout":0.25,"cancel":true},"rules":{"askWithin":1.0}}"#;
        let text = format!(
            r#"{{"name":"n{i}","listen":"{}","discovery":"{}","seed":"{}","limits":{{"sockets":256}},
            "settings":{settings}}}"#,
            self.listen_addresses[i],
            self.non_members.get(&i).unwrap_or(&self.discovery).address,
            i + 1
        );
        std::fs::write(&config, text).expect("the file is written");
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("log-{i}")))
            .expect("the log file opens");
        let child = Command::new(&self.program)
            .args(["serve", "--operator"])
            .arg(self.dir.join(format!("operator-{i}.json")))
            .env("BALANCER_CONFIG", &config)
            .env_remove("BALANCER_LISTEN")
            .env_remove("BALANCER_DISCOVERY")
            .env("RUST_LOG", "debug")
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        self.running.insert(i, child);
    }

    /// Sends a signal, named as an option of `kill`, to an instance's process.
    pub fn signal(&self, i: usize, name: &str) {
        let pid = self.running[&i].id().to_string();
        let sent = Command::new("kill").args([name, &pid]).status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "cannot send {name} to instance {i}"
        );
    }

    /// Kills an instance's process, if it runs.
    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.running.remove(&i) {
            child.kill().expect("the process is killed");
            child.wait().expect("the process has ended");
        }
    }

    /// Waits until an instance's process ends by itself, and returns its exit code.
    pub fn wait_for_exit(&mut self, i: usize) -> Option<i32> {
        let mut child = self.running.remove(&i)?;
        let mut code = None;
        wait_until("the process ends", || {
            let status = child.try_wait().expect("the process can be polled");
            status.map(|status| code = status.code()).is_some()
        });
        code
    }

    /// Queries a running instance with a sub-command. Returns the JSON answer; `None` if there is none.
    pub fn query(&self, i: usize, command: &str) -> Option<serde_json::Value> {
        let output = Command::new(&self.program)
            .args([command, "--json", "--socket"])
            .arg(self.control_socket(i))
            .output()
            .ok()?;
        serde_json::from_slice(&output.stdout).ok()
    }

    /// Queries a running instance with a sub-command, and returns the human-readable answer.
    pub fn query_as_text(&self, i: usize, command: &str) -> String {
        let output = Command::new(&self.program)
            .args([command, "--operator"])
            .arg(self.dir.join(format!("operator-{i}.json")))
            .output()
            .expect("the program runs");
        String::from_utf8_lossy(&output.stdout).into_owned()
    }

    /// The log of an instance, including that of its earlier processes; empty if there is none.
    pub fn log(&self, i: usize) -> String {
        std::fs::read_to_string(self.dir.join(format!("log-{i}"))).unwrap_or_default()
    }

    /// Requests a connection from an instance as a client, and returns the first line of the answer;
    /// empty if none comes within `STEP_TIMEOUT`.
    pub fn open_connection(&self, i: usize, id: u64, key: &str) -> String {
        let mut stream =
            TcpStream::connect(self.listen_addresses[i]).expect("the instance accepts");
        stream
            .set_read_timeout(Some(STEP_TIMEOUT))
            .expect("the timeout is set");
        let line = format!("OPEN {id:016x} 7f3a c=live,d=1500,g={key}\r\n");
        stream
            .write_all(line.as_bytes())
            .expect("the request is written");
        let mut answer = String::new();
        let _ = BufReader::new(stream).read_line(&mut answer);
        answer
    }
}

/// Waits until a condition holds. Panics after `STEP_TIMEOUT`.
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + STEP_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "timed out waiting until {description}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}
