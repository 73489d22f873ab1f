//! Balancers of one cluster as real processes, with stand-in stream servers and a stand-in discovery in this
//! process. Every port is one that was free a moment ago, on a loopback address of this rig's own.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// No step takes longer; a rig that would hang fails instead.
const PATIENCE: Duration = Duration::from_secs(30);
/// Probes by which the stand-ins tell who acts in which period; `MS` is replaced by the period.
const PROBE: &str = r#"{"probe":{"every_ms":MS,"connect_ms":200,"answer_ms":300,"line":"PROBE {period} {instance}","expect":"PONG"}}"#;

/// The duties of an operator's file: to probe every server once in this time.
pub fn probe_duties(every: Duration) -> String {
    PROBE.replace("MS", &every.as_millis().to_string())
}

/// So many stand-in servers.
pub fn start_servers(count: usize) -> Vec<StubServer> {
    (0..count)
        .map(|n| StubServer::new(&format!("s-{n}")))
        .collect()
}

/// Their entries of the list.
pub fn serving_entries(servers: &[StubServer]) -> Vec<String> {
    servers
        .iter()
        .map(|server| server.entry("SERVING"))
        .collect()
}

/// Whether each has been probed more than once.
pub fn all_probed(servers: &[StubServer]) -> bool {
    servers
        .iter()
        .all(|s| s.probes.lock().expect("whole").len() > 1)
}

/// What was done twice or missed for more than a period, by the servers' own record: a sentence for each.
pub fn find_violations(
    servers: &[StubServer],
    every: Duration,
    from: Instant,
    until: Instant,
) -> Vec<String> {
    let mut faults = Vec::new();
    for server in servers {
        let probes = server.probes.lock().expect("whole").clone();
        let mut seen: BTreeMap<u64, &str> = BTreeMap::new();
        for (_, period, by) in &probes {
            if let Some(first) = seen.insert(*period, by) {
                faults.push(format!(
                    "{}: period {period} by {first} and {by}",
                    server.id
                ));
            }
        }
        let (mut highest, mut last) = (0, from);
        let in_time = probes.iter().filter(|(at, ..)| *at >= from && *at <= until);
        let kept = in_time.filter(|(_, period, _)| {
            let newer = *period > highest;
            highest = highest.max(*period);
            newer
        });
        for at in kept.map(|(at, ..)| *at).chain([until]) {
            // One may be missed, and the next comes as late as a take-over takes.
            if at - last > every * 3 {
                let (a, b) = ((last - from).as_millis(), (at - from).as_millis());
                faults.push(format!("{}: nothing from {a} to {b} ms", server.id));
            }
            last = at;
        }
    }
    faults
}

/// An act, as a stand-in server recorded it: when, in which period, by whom.
pub type ProbeRecord = (Instant, u64, String);

/// A stream server that answers probes and records them.
pub struct StubServer {
    pub id: String,
    pub address: SocketAddr,
    pub probes: Arc<Mutex<Vec<ProbeRecord>>>,
    /// Takes connections and says nothing, as one that hangs.
    pub unresponsive: Arc<AtomicBool>,
    /// Lines that begin with OPEN, from clients.
    pub requests: Arc<AtomicUsize>,
}

impl StubServer {
    pub fn new(id: &str) -> Self {
        let listener = listener();
        let server = Self {
            id: id.into(),
            address: listener.local_addr().expect("bound"),
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
                    let mut lines = BufReader::new(stream.try_clone().expect("cloned")).lines();
                    let mut out = stream;
                    while let Some(Ok(line)) = lines.next() {
                        if unresponsive.load(Ordering::Relaxed) {
                            std::thread::sleep(Duration::from_secs(20));
                            return;
                        }
                        let answer = match line.split(' ').collect::<Vec<_>>()[..] {
                            ["PROBE", period, by] => {
                                let act = (Instant::now(), period.parse().unwrap_or(0), by.into());
                                probes.lock().expect("whole").push(act);
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

    pub fn entry(&self, phase: &str) -> String {
        entry(&self.id, self.address, phase)
    }
}

pub fn entry(id: &str, at: SocketAddr, phase: &str) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{at}","locality":"a","flavor":"m","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":0}}"#
    )
}

/// A revision and its entries.
type Listed = (u64, Vec<String>);

/// A stand-in discovery that serves one list to all, and counts who watches.
#[derive(Clone)]
pub struct StubDiscovery {
    pub address: SocketAddr,
    list: Arc<(Mutex<Listed>, Condvar)>,
    pub polls: Arc<AtomicUsize>,
}

impl StubDiscovery {
    pub fn new(entries: Vec<String>) -> Self {
        Self::listen(Arc::new((Mutex::new((1, entries)), Condvar::new())))
    }

    /// The same list at another address: who asks there is counted apart.
    pub fn share_list(&self) -> Self {
        Self::listen(self.list.clone())
    }

    fn listen(list: Arc<(Mutex<Listed>, Condvar)>) -> Self {
        let listener = listener();
        let new = Self {
            address: listener.local_addr().expect("bound"),
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

    /// Puts another list in place: the whole of it, under the next revision.
    pub fn publish(&self, entries: Vec<String>) {
        let mut list = self.list.0.lock().expect("whole");
        *list = (list.0 + 1, entries);
        self.list.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut lines = BufReader::new(stream.try_clone().ok()?).lines();
        let mut out = stream;
        loop {
            let call = lines.next()?.ok()?;
            while !lines.next()?.ok()?.is_empty() {}
            self.polls.fetch_add(1, Ordering::Relaxed);
            let since = call.split_once("since=").and_then(|(_, rest)| {
                rest.split(|c: char| !c.is_ascii_digit())
                    .next()?
                    .parse::<u64>()
                    .ok()
            });
            let list = self.list.0.lock().expect("whole");
            let wait = Duration::from_millis(if since.is_some() { 3500 } else { 0 });
            let (list, _) = self
                .list
                .1
                .wait_timeout_while(list, wait, |list| since == Some(list.0))
                .expect("whole");
            let same = since == Some(list.0);
            let members = if same {
                String::new()
            } else {
                list.1.join(",")
            };
            let body = format!(
                r#"{{"revision":{},"complete":{},"members":[{members}]}}"#,
                list.0, !same
            );
            drop(list);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            out.write_all((head + &body).as_bytes()).ok()?;
        }
    }
}

/// A loopback address that nobody else uses: another one each time, so that no port on it is ever taken.
fn unique_address() -> Ipv4Addr {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    let next = NEXT.fetch_add(1, Ordering::Relaxed);
    let (high, low) = (next / 250 % 250, 1 + next % 250);
    let process = 100 + std::process::id() % 150;
    Ipv4Addr::new(127, process as u8, high as u8, low as u8)
}

/// A listener at a port and an address of its own.
fn listener() -> TcpListener {
    TcpListener::bind((unique_address(), 0)).expect("a port")
}

/// A port that is free, at such an address.
pub fn free_address() -> SocketAddr {
    listener().local_addr().expect("bound")
}

/// What the instances of a test have in common.
pub struct Cluster {
    program: PathBuf,
    pub dir: PathBuf,
    pub discovery: StubDiscovery,
    pub names: Vec<String>,
    pub gossip_addresses: Vec<SocketAddr>,
    pub listen_addresses: Vec<SocketAddr>,
    pub duties: String,
    pub keys: String,
    /// Sections of the operator's file that an instance has besides; the whole of it for one outside the cluster.
    pub sections: BTreeMap<usize, String>,
    /// Instances outside the cluster, with the discovery that they ask.
    pub non_members: BTreeMap<usize, StubDiscovery>,
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
    /// Starts instances of this program.
    pub fn new(program: &str, size: usize, discovery: StubDiscovery, duties: &str) -> Self {
        let mut cluster = Self::prepare(program, size, discovery, duties);
        (0..size).for_each(|i| cluster.start(i));
        cluster
    }

    /// Instances that are not started yet.
    pub fn prepare(program: &str, size: usize, discovery: StubDiscovery, duties: &str) -> Self {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let dir =
            std::env::temp_dir().join(format!("spanspur-cluster-{}-{count}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        let gossip_addresses = (0..size).map(|_| {
            let at = free_address();
            UdpSocket::bind(at).expect("free for datagrams too");
            at
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

    /// Writes the operator's file of an instance.
    pub fn write_operator_config(&self, i: usize) {
        let quoted = |all: Vec<String>| {
            let all: Vec<String> = all.iter().map(|one| format!("{one:?}")).collect();
            all.join(",")
        };
        let head = format!(
            r#"{{"log":{{"format":"json"}},"control":{{"socket":{:?}}}"#,
            self.control_socket(i)
        );
        let section = self.sections.get(&i).map_or("", String::as_str);
        let file = self.dir.join(format!("operator-{i}.json"));
        if self.non_members.contains_key(&i) {
            return std::fs::write(file, format!("{head},{section}}}")).expect("written");
        }
        // Those outside are the last ones.
        let inside = self.names.len() - self.non_members.len();
        let seeds = self.gossip_addresses[..inside].iter().take(3);
        let seeds = quoted(seeds.map(SocketAddr::to_string).collect());
        let more = if section.is_empty() { "" } else { "," };
        let text = format!(
            r#"{head}{more}{section},
            "cluster":{{"name":"{}","listen":"{}","seeds":[{seeds}],"voters":[{}],"keys":{},
            "clock_skew_ms":200}},"duties":{}}}"#,
            self.names[i],
            self.gossip_addresses[i],
            quoted(self.names[..inside].to_vec()),
            self.keys,
            self.duties,
        );
        std::fs::write(file, text).expect("written");
    }

    pub fn control_socket(&self, i: usize) -> PathBuf {
        self.dir.join(format!("{i}.sock"))
    }

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
        std::fs::write(&config, text).expect("written");
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("log-{i}")))
            .expect("a log");
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

    pub fn signal(&self, i: usize, name: &str) {
        let pid = self.running[&i].id().to_string();
        let sent = Command::new("kill").args([name, &pid]).status();
        assert!(sent.is_ok_and(|status| status.success()), "{name} to {i}");
    }

    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.running.remove(&i) {
            child.kill().expect("killed");
            child.wait().expect("ended");
        }
    }

    /// Waits for an instance to end by itself.
    pub fn wait_for_exit(&mut self, i: usize) -> Option<i32> {
        let mut child = self.running.remove(&i)?;
        let mut code = None;
        wait_until("the process ends", || {
            let ended = child.try_wait().expect("a child");
            ended.map(|status| code = status.code()).is_some()
        });
        code
    }

    /// Asks a running instance by the sub-command, in JSON.
    pub fn query(&self, i: usize, question: &str) -> Option<serde_json::Value> {
        let done = Command::new(&self.program)
            .args([question, "--json", "--socket"])
            .arg(self.control_socket(i))
            .output()
            .ok()?;
        serde_json::from_slice(&done.stdout).ok()
    }

    /// The same in the form for people.
    pub fn query_as_text(&self, i: usize, question: &str) -> String {
        let done = Command::new(&self.program)
            .args([question, "--operator"])
            .arg(self.dir.join(format!("operator-{i}.json")))
            .output()
            .expect("it runs");
        String::from_utf8_lossy(&done.stdout).into_owned()
    }

    pub fn log(&self, i: usize) -> String {
        std::fs::read_to_string(self.dir.join(format!("log-{i}"))).unwrap_or_default()
    }

    /// A client asks instance `i` for a connection: the answer's first line.
    pub fn open_connection(&self, i: usize, id: u64, key: &str) -> String {
        let mut stream = TcpStream::connect(self.listen_addresses[i]).expect("accepted");
        stream.set_read_timeout(Some(PATIENCE)).expect("settable");
        let line = format!("OPEN {id:016x} 7f3a c=live,d=1500,g={key}\r\n");
        stream.write_all(line.as_bytes()).expect("written");
        let mut answer = String::new();
        let _ = BufReader::new(stream).read_line(&mut answer);
        answer
    }
}

pub fn wait_until(what: &str, mut fact: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !fact() {
        assert!(Instant::now() < end, "in vain: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
