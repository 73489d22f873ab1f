//! Stand-ins for the cases 6 to 10: the platform, discovery, stream servers and clients, as the users' pages describe
//! them. Standard library only; each stand-in runs in threads of the one process that plays a case. Each case uses a part of this.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsRawFd, RawFd};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

extern "C" {
    fn dup2(from: i32, to: i32) -> i32;
    fn fcntl(fd: i32, command: i32, argument: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}
const F_DUPFD: i32 = 0;
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// Seconds of the rule on drains: 0.3 s of grace and 0.05 s of slack on sockets.
pub const DRAIN_GRACE: f64 = 0.35;

pub fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s.max(0.0))
}

pub fn pause(s: f64) {
    thread::sleep(seconds(s));
}

/// The record of a case, and its clock.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(folder: &Path) -> Arc<Self> {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Arc::new(Self { start: Instant::now(), file: Mutex::new(file) })
    }

    /// Seconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {text}", self.start.elapsed().as_secs_f64());
    }
}

// ---------------------------------------------------------------- stream servers

/// What a stream server received first on a connection.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: f64,
    pub id: String,
    pub line: String,
}

/// A stream server: answers OPEN with UP, each later line with a line, and sends its clients away when it drains.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub sent: Mutex<Vec<Sent>>,
    pub draining: AtomicBool,
    /// Takes connections and lines and answers nothing.
    pub hangs: AtomicBool,
    /// Lines that were answered.
    pub replies: AtomicUsize,
    record: Arc<Record>,
}

impl Server {
    pub fn start(record: &Arc<Record>, id: &str) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            sent: Mutex::default(),
            draining: AtomicBool::new(false),
            hangs: AtomicBool::new(false),
            replies: AtomicUsize::new(0),
            record: record.clone(),
        });
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        let mut first = String::new();
        if reader.read_line(&mut first).ok()? == 0 {
            return None;
        }
        let first = first.trim_end().to_owned();
        let words: Vec<&str> = first.split(' ').collect();
        if words.first() != Some(&"OPEN") || words.len() != 4 {
            let _ = writer.write_all(b"SYNTAX\r\n");
            self.record.line(&format!("server {} SYNTAX {first}", self.id));
            return None;
        }
        let id = words[1].to_owned();
        let sent = Sent { at: self.record.now(), id: id.clone(), line: first.clone() };
        self.sent.lock().unwrap().push(sent);
        self.record.line(&format!("server {} received {first}", self.id));
        if self.draining.load(SeqCst) {
            let _ = writer.write_all(b"BUSY\r\n");
            return None;
        }
        while self.hangs.load(SeqCst) {
            pause(0.05);
        }
        writer.write_all(format!("UP {}-{id}\r\n", self.id).as_bytes()).ok()?;
        reader.get_ref().set_read_timeout(Some(Duration::from_millis(100))).ok()?;
        let mut line = Vec::new();
        loop {
            match reader.read_until(b'\n', &mut line) {
                Ok(0) => return None,
                Ok(_) if line.ends_with(b"\n") => {
                    while self.hangs.load(SeqCst) {
                        pause(0.05);
                    }
                    let text = String::from_utf8_lossy(&line).trim_end().to_owned();
                    line.clear();
                    writer.write_all(format!("R {text}\r\n").as_bytes()).ok()?;
                    self.replies.fetch_add(1, SeqCst);
                }
                Ok(_) => {}
                Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
                    if self.draining.load(SeqCst) {
                        writer.write_all(b"MOVE\r\n").ok()?;
                        let _ = writer.shutdown(Shutdown::Write);
                        let mut rest = [0; 4096];
                        while reader.read(&mut rest).is_ok_and(|read| read > 0) {}
                        return None;
                    }
                }
                Err(_) => return None,
            }
        }
    }
}

// ---------------------------------------------------------------- discovery

/// How discovery treats the calls of one balancer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reach {
    /// Answers.
    Up,
    /// Out of reach: open calls end in a reset, new ones as well.
    Down,
    /// Each call waits this long in the queue and is answered 503.
    Crowded(f64),
}

#[derive(Clone)]
struct Member {
    entry: String,
    revision: u64,
}

struct Book {
    revision: u64,
    members: BTreeMap<String, Member>,
}

/// One discovery service for all balancers; each reaches it at an address of its own.
pub struct Discovery {
    book: Mutex<Book>,
    changed: Condvar,
    record: Arc<Record>,
}

/// The address of discovery for one balancer.
pub struct View {
    pub name: String,
    pub address: SocketAddr,
    reach: Mutex<Reach>,
    pub calls: AtomicUsize,
    /// When an answer was written, and the revision that it brought.
    pub told: Mutex<Vec<(f64, u64)>>,
    /// Calls answered with 503 or a reset.
    pub refused: Mutex<Vec<f64>>,
    epoch: AtomicU64,
}

impl View {
    pub fn set(&self, reach: Reach) {
        *self.reach.lock().unwrap() = reach;
        self.epoch.fetch_add(1, SeqCst);
    }

    pub fn reach(&self) -> Reach {
        *self.reach.lock().unwrap()
    }

    /// When this balancer was first written a list of at least this revision.
    pub fn told_at(&self, revision: u64) -> Option<f64> {
        let told = self.told.lock().unwrap();
        told.iter().find(|(_, r)| *r >= revision).map(|(at, _)| *at)
    }
}

impl Discovery {
    pub fn new(record: &Arc<Record>, servers: &[Arc<Server>]) -> Arc<Self> {
        let discovery = Arc::new(Self {
            book: Mutex::new(Book { revision: 40, members: BTreeMap::new() }),
            changed: Condvar::new(),
            record: record.clone(),
        });
        for server in servers {
            discovery.list(server, "SERVING", 0);
        }
        discovery
    }

    /// Lists a stream server in this phase. Returns the revision of the change.
    pub fn list(&self, server: &Server, phase: &str, up_since_ms: u64) -> u64 {
        self.list_at(&server.id, server.address, phase, up_since_ms)
    }

    /// Lists the stream server with this id and address.
    pub fn list_at(&self, id: &str, address: SocketAddr, phase: &str, up_since_ms: u64) -> u64 {
        let entry = format!(
            r#"{{"id":"{id}","host_port":"{address}","locality":"deventer","flavor":"model-a","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":{up_since_ms}}}"#,
        );
        let mut book = self.book.lock().unwrap();
        book.revision += 1;
        let revision = book.revision;
        book.members.insert(id.to_owned(), Member { entry, revision });
        self.record.line(&format!("discovery revision {revision}: {id} {phase}"));
        self.changed.notify_all();
        revision
    }

    pub fn full_list(&self) -> String {
        let book = self.book.lock().unwrap();
        body(&book, None)
    }

    /// Opens the address of one balancer.
    pub fn view(self: &Arc<Self>, name: &str) -> Arc<View> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let view = Arc::new(View {
            name: name.to_owned(),
            address: listener.local_addr().unwrap(),
            reach: Mutex::new(Reach::Up),
            calls: AtomicUsize::new(0),
            told: Mutex::default(),
            refused: Mutex::default(),
            epoch: AtomicU64::new(0),
        });
        let (discovery, accepting) = (self.clone(), view.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (discovery, view) = (discovery.clone(), accepting.clone());
                thread::spawn(move || discovery.serve(&view, stream));
            }
        });
        view
    }

    fn serve(&self, view: &View, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            if view.reach() == Reach::Down {
                view.refused.lock().unwrap().push(self.record.now());
                return None;
            }
            let mut request = String::new();
            if reader.read_line(&mut request).ok()? == 0 {
                return None;
            }
            let mut header = String::new();
            while reader.read_line(&mut header).ok()? > 0 && !header.trim_end().is_empty() {
                header.clear();
            }
            view.calls.fetch_add(1, SeqCst);
            let path = request.split(' ').nth(1)?.to_owned();
            match view.reach() {
                Reach::Down => {
                    view.refused.lock().unwrap().push(self.record.now());
                    return None;
                }
                Reach::Crowded(wait) => {
                    pause(wait);
                    view.refused.lock().unwrap().push(self.record.now());
                    self.record.line(&format!("discovery to {}: 503 to {path}", view.name));
                    writer.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").ok()?;
                    continue;
                }
                Reach::Up => {}
            }
            let since = parameter(&path, "since=");
            let wait_ms = parameter(&path, "timeout_ms=").unwrap_or(0);
            let (text, revision) = self.wait_for_change(view, since, wait_ms)?;
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            writer.write_all(head.as_bytes()).ok()?;
            let mut told = view.told.lock().unwrap();
            let news = told.last().is_none_or(|(_, last)| *last < revision);
            told.push((self.record.now(), revision));
            drop(told);
            if news {
                self.record.line(&format!("discovery to {}: revision {revision} in answer to {path}", view.name));
            }
        }
    }

    /// Waits until there is something newer, or the wait is over; `None` if discovery goes out of reach meanwhile.
    fn wait_for_change(&self, view: &View, since: Option<u64>, wait_ms: u64) -> Option<(String, u64)> {
        let epoch = view.epoch.load(SeqCst);
        let end = Instant::now() + Duration::from_millis(wait_ms.min(60_000));
        let mut book = self.book.lock().unwrap();
        while since.is_some_and(|since| book.revision <= since) && Instant::now() < end {
            book = self.changed.wait_timeout(book, Duration::from_millis(20)).unwrap().0;
            if view.epoch.load(SeqCst) != epoch && view.reach() != Reach::Up {
                view.refused.lock().unwrap().push(self.record.now());
                return None;
            }
        }
        Some((body(&book, since), book.revision))
    }
}

fn parameter(path: &str, name: &str) -> Option<u64> {
    let (_, rest) = path.split_once(name)?;
    rest.split('&').next()?.parse().ok()
}

fn body(book: &Book, since: Option<u64>) -> String {
    let members = book.members.values();
    let listed: Vec<&str> = members
        .filter(|member| since.is_none_or(|since| member.revision > since))
        .map(|member| member.entry.as_str())
        .collect();
    format!(
        r#"{{"revision":{},"complete":{},"members":[{}]}}"#,
        book.revision,
        since.is_none(),
        listed.join(",")
    )
}

// ---------------------------------------------------------------- clients

/// How a client's connection went.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    /// When the last byte of the request was written; `None` if the balancer could not be reached.
    pub asked_at: Option<f64>,
    /// The answer, and when it came.
    pub answer: Option<(f64, String)>,
    /// How an established connection ended: `client`, `MOVE`, `BYE`, `end`, `reset`, `silent`.
    pub end: &'static str,
    /// The longest time that a line waited for its reply, in seconds.
    pub slowest: f64,
}

/// A client's request.
#[derive(Clone)]
pub struct Call {
    pub balancer: SocketAddr,
    pub class: String,
    pub wait_ms: u64,
    /// Seconds for which the client keeps its connection.
    pub hold: f64,
    /// Seconds between two lines.
    pub every: f64,
    /// Pieces in which the request is written, and the pause between them.
    pub pieces: usize,
    pub piece_pause: f64,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// An id that is new in this run.
pub fn new_id() -> String {
    let n = NEXT_ID.fetch_add(1, SeqCst);
    format!("{:016x}", n.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
}

impl Call {
    pub fn to(balancer: SocketAddr) -> Self {
        Self { balancer, class: "opwek-live".into(), wait_ms: 2000, hold: 1.0, every: 2.0, pieces: 1, piece_pause: 0.0 }
    }

    /// Plays one client from its connect to its end.
    pub fn play(&self, record: &Record) -> Outcome {
        let id = new_id();
        let mut outcome = Outcome { id: id.clone(), asked_at: None, answer: None, end: "refused", slowest: 0.0 };
        let _ = self.try_play(record, &id, &mut outcome);
        let answer = outcome.answer.as_ref().map(|(at, line)| format!("{line:?} at {at:.3}"));
        record.line(&format!(
            "client {id} to {}: asked {:?} answer {answer:?} end {} slowest {:.3}",
            self.balancer, outcome.asked_at, outcome.end, outcome.slowest
        ));
        outcome
    }

    fn try_play(&self, record: &Record, id: &str, outcome: &mut Outcome) -> std::io::Result<()> {
        let mut stream = TcpStream::connect_timeout(&self.balancer, seconds(1.0))?;
        stream.set_nodelay(true)?;
        let line = format!("OPEN {id} {id} c={},d={},g={id}\r\n", self.class, self.wait_ms);
        outcome.end = "write failed";
        let size = line.len().div_ceil(self.pieces.max(1));
        for (n, piece) in line.as_bytes().chunks(size).enumerate() {
            if n > 0 {
                pause(self.piece_pause);
            }
            stream.write_all(piece)?;
        }
        outcome.asked_at = Some(record.now());
        outcome.end = "no answer";
        stream.set_read_timeout(Some(seconds(self.wait_ms as f64 / 1000.0 + 3.0)))?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut answer = String::new();
        let read = reader.read_line(&mut answer);
        if !matches!(read, Ok(n) if n > 0) {
            outcome.end = match read {
                Ok(_) => "closed unanswered",
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => "no answer",
                Err(_) => "reset unanswered",
            };
            return Ok(());
        }
        let answer = answer.trim_end().to_owned();
        let is_up = answer.starts_with("UP ");
        outcome.answer = Some((record.now(), answer));
        if !is_up {
            outcome.end = "answered";
            return Ok(());
        }
        outcome.end = self.hold_connection(stream, reader, &mut outcome.slowest);
        Ok(())
    }

    fn hold_connection(&self, mut stream: TcpStream, mut reader: BufReader<TcpStream>, slowest: &mut f64) -> &'static str {
        let start = Instant::now();
        let end = start + seconds(self.hold);
        let mut next_line = start + seconds(self.every.min(0.2));
        let mut owed: Option<Instant> = None;
        let mut line = Vec::new();
        let _ = reader.get_ref().set_read_timeout(Some(Duration::from_millis(20)));
        loop {
            let now = Instant::now();
            if let Some(since) = owed {
                *slowest = slowest.max((now - since).as_secs_f64());
                if now - since > seconds(9.0) {
                    return "silent";
                }
            }
            if now >= end && owed.is_none() {
                return "client";
            }
            if now >= next_line && owed.is_none() {
                if stream.write_all(b"hello\r\n").is_err() {
                    return "reset";
                }
                owed = Some(now);
                next_line = now + seconds(self.every);
            }
            match reader.read_until(b'\n', &mut line) {
                Ok(0) => return "end",
                Ok(_) if line.ends_with(b"\n") => {
                    let text = String::from_utf8_lossy(&line).trim_end().to_owned();
                    line.clear();
                    match text.as_str() {
                        "MOVE" => return "MOVE",
                        "BYE" => return "BYE",
                        _ => owed = None,
                    }
                }
                Ok(_) => {}
                Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
                Err(_) => return "reset",
            }
        }
    }
}

/// Plays calls at a steady rate in threads of their own.
pub struct Traffic {
    stop: Arc<AtomicBool>,
    running: Arc<AtomicUsize>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
}

impl Traffic {
    pub fn start(record: &Arc<Record>, per_second: f64, call: impl Fn(usize) -> Call + Send + 'static) -> Self {
        let traffic = Self { stop: Arc::default(), running: Arc::default(), outcomes: Arc::default() };
        let (record, stop) = (record.clone(), traffic.stop.clone());
        let (running, outcomes) = (traffic.running.clone(), traffic.outcomes.clone());
        thread::spawn(move || {
            let start = Instant::now();
            for n in 0.. {
                thread::sleep((start + seconds(n as f64 / per_second)).saturating_duration_since(Instant::now()));
                if stop.load(SeqCst) {
                    return;
                }
                let (call, record) = (call(n), record.clone());
                let (running, outcomes) = (running.clone(), outcomes.clone());
                running.fetch_add(1, SeqCst);
                thread::spawn(move || {
                    let outcome = call.play(&record);
                    outcomes.lock().unwrap().push(outcome);
                    running.fetch_sub(1, SeqCst);
                });
            }
        });
        traffic
    }

    /// Stops new calls.
    pub fn stop(&self) {
        self.stop.store(true, SeqCst);
    }

    /// Stops new calls and waits for those under way.
    pub fn finish(&self, at_most: f64) -> Vec<Outcome> {
        self.stop();
        let end = Instant::now() + seconds(at_most);
        pause(0.1);
        while self.running.load(SeqCst) > 0 && Instant::now() < end {
            pause(0.02);
        }
        self.outcomes.lock().unwrap().clone()
    }
}

// ---------------------------------------------------------------- the platform

/// The configuration of a balancer of `buurtstroom-oost`, with the settings of the users' example.
pub fn settings(balancers: usize, memory_mb: u64, known: &str) -> String {
    format!(
        r#"{{"seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":1024}},"known":{known},
"settings":{{"balancers":{balancers},"myNumber":0,"zone":"deventer",
"zones":["zwolle","deventer","apeldoorn","kampen","hengelo"],"flavors":["model-a","model-b","model-c"],
"family":"conn","membershipMode":"on_request","weights":"nominal",
"classes":[{{"name":"opwek-live","onTime":0.5,"hardLimit":2.0,"semantics":"free","stream":true,"credit":2.0}},
{{"name":"saldo-live","onTime":0.3,"hardLimit":1.8,"semantics":"free","stream":true,"credit":3.0}}],
"domain":{{"groups":true,"messageAim":[0.25,0.25],"mode":"proxy","tellsDelay":true,"tellsLoad":true}},
"limits":{{"cancel":true,"connectTimeout":0.25,"maxAttempts":5,"mayDuplicate":false,"probes":false}},
"rules":{{"answerSlack":0.008,"askWithin":10.0,"coldFrom":0.13,"drainGrace":0.3,"fall":2.0,"fallMultiple":3.0,"warmUp":24.0}}}}}}"#
    )
}

/// The temporary folder of a case, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let nanos = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_nanos();
        let path = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), nanos % 1_000_000_000));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// A running balancer, killed when dropped.
pub struct Balancer {
    pub name: String,
    pub child: Child,
    pub log: PathBuf,
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The form of a balancer's start.
pub struct Start<'a> {
    pub name: &'a str,
    pub config: &'a Path,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub admin: Option<SocketAddr>,
    pub operator_file: Option<&'a Path>,
    /// The clients' listening socket, where the platform holds it.
    pub socket: Option<RawFd>,
    pub tmpdir: &'a Path,
    pub log: PathBuf,
}

/// The `run` command of the deploy file.
fn run_command() -> String {
    let text = fs::read_to_string("deploy/balancer.toml").expect("started from the root of the repository");
    let line = text.lines().find(|line| line.starts_with("run ")).expect("a run command");
    line.split('"').nth(1).expect("a command in quotes").to_owned()
}

impl Start<'_> {
    pub fn start(&self) -> Balancer {
        let log = File::create(&self.log).expect("a log");
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &run_command()])
            .env("BALANCER_NAME", self.name)
            .env("BALANCER_LISTEN", self.listen.to_string())
            .env("BALANCER_DISCOVERY", self.discovery.to_string())
            .env("BALANCER_CONFIG", self.config)
            .env("TMPDIR", self.tmpdir)
            .env("RUST_LOG", std::env::var("RUST_LOG").unwrap_or("info".into()))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log);
        if let Some(admin) = self.admin {
            command.env("BALANCER_OPERATOR", admin.to_string());
        }
        if let Some(file) = self.operator_file {
            command.env("SPANSPUR_OPERATOR", file);
        }
        if self.socket.is_some() {
            command.env("BALANCER_ACCEPT_FD", "4");
        }
        let socket = self.socket;
        // Only calls that are allowed between fork and exec. The balancer ends with this process, however that ends.
        unsafe {
            command.pre_exec(move || {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                match socket.map(|socket| dup2(socket, 4)) {
                    Some(-1) => Err(std::io::Error::last_os_error()),
                    _ => Ok(()),
                }
            })
        };
        let child = command.spawn().expect("the balancer starts");
        Balancer { name: self.name.to_owned(), child, log: self.log.clone() }
    }
}

/// The files of a balancer with an operator's file.
pub struct Files {
    folder: PathBuf,
}

impl Files {
    pub fn write(temporary: &Folder, name: &str, config: &str, operator: &str) -> Self {
        let folder = temporary.0.join(name);
        fs::create_dir_all(folder.join("tmp")).expect("a folder");
        fs::write(folder.join("config.json"), config).expect("a file");
        fs::write(folder.join("operator.json"), operator).expect("a file");
        Self { folder }
    }

    pub fn start(
        &self,
        name: &str,
        listen: SocketAddr,
        discovery: SocketAddr,
        admin: Option<SocketAddr>,
        socket: Option<RawFd>,
        suffix: &str,
    ) -> Balancer {
        let start = Start {
            name,
            config: &self.folder.join("config.json"),
            listen,
            discovery,
            admin,
            operator_file: Some(&self.folder.join("operator.json")),
            socket,
            tmpdir: &self.folder.join("tmp"),
            log: self.folder.join(format!("log{suffix}")),
        };
        start.start()
    }
}

impl Balancer {
    pub fn last_line(&self) -> String {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().last().unwrap_or("").to_owned()
    }

    /// Sends a signal, such as TERM.
    pub fn signal(&self, signal: &str) {
        let kill = format!("kill -{signal} {}", self.child.id());
        let _ = Command::new("/bin/sh").args(["-c", &kill]).status();
    }

    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    pub fn logged(&self, text: &str) -> bool {
        fs::read_to_string(&self.log).is_ok_and(|log| log.contains(text))
    }
}

/// A listening socket of the platform, with a number above those that a case passes on.
pub fn platform_socket() -> (TcpListener, RawFd) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let fd = unsafe { fcntl(listener.as_raw_fd(), F_DUPFD, 50) };
    (listener, fd)
}

/// An address whose port is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").expect("a free port").local_addr().unwrap()
}

/// An address whose UDP port is free now.
pub fn free_udp_address() -> SocketAddr {
    std::net::UdpSocket::bind("127.0.0.1:0").expect("a free port").local_addr().unwrap()
}

/// A call to a balancer's second address. Returns the status.
pub fn admin_call(address: SocketAddr, method: &str, path: &str, text: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, seconds(1.0)).ok()?;
    stream.set_read_timeout(Some(seconds(1.0))).ok()?;
    let head = format!("{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{text}", text.len());
    stream.write_all(head.as_bytes()).ok()?;
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer.split(' ').nth(1)?.parse().ok()
}

/// Whether a balancer answers PING with PONG.
pub fn answers_ping(address: SocketAddr) -> bool {
    let ask = || -> Option<String> {
        let mut stream = TcpStream::connect_timeout(&address, seconds(0.5)).ok()?;
        stream.set_read_timeout(Some(seconds(0.5))).ok()?;
        stream.write_all(b"PING\r\n").ok()?;
        let mut answer = String::new();
        BufReader::new(stream).read_line(&mut answer).ok()?;
        Some(answer)
    };
    ask().is_some_and(|answer| answer.trim_end() == "PONG")
}

/// Waits until the condition holds; `false` if it does not in time.
pub fn wait_for(at_most: f64, condition: impl Fn() -> bool) -> bool {
    let end = Instant::now() + seconds(at_most);
    while !condition() {
        if Instant::now() >= end {
            return false;
        }
        pause(0.02);
    }
    true
}

/// Ends the case, and with it the balancers, if it takes longer than a case may.
pub fn end_in_time() {
    thread::spawn(|| {
        pause(116.0);
        eprintln!("the case takes too long");
        std::process::exit(2);
    });
}

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}
