//! Scripted peers around one balancer process: clients, backends and discovery, each on an ephemeral port.

use command_fds::{CommandFdExt, FdMapping};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// No step takes longer; a story that would hang fails instead.
const STEP_TIMEOUT: Duration = Duration::from_secs(15);

/// One end of a connection that speaks lines.
pub struct Peer(BufReader<TcpStream>);

impl Peer {
    pub fn new(stream: TcpStream) -> Self {
        stream
            .set_read_timeout(Some(STEP_TIMEOUT))
            .expect("a timeout");
        Self(BufReader::new(stream))
    }

    pub fn send(&mut self, text: &str) {
        self.0
            .get_mut()
            .write_all(text.as_bytes())
            .expect("written");
    }

    /// The next line with its end, or "" at the end of the stream; "reset" where it broke.
    pub fn read_line(&mut self) -> String {
        let mut line = String::new();
        match self.0.read_line(&mut line) {
            Ok(_) => line,
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => "reset".into(),
            Err(e) => panic!("no line: {e}"),
        }
    }

    pub fn stream(&self) -> &TcpStream {
        self.0.get_ref()
    }
}

/// A backend whose part the story plays.
pub struct Backend {
    listener: TcpListener,
    pub id: &'static str,
}

impl Backend {
    pub fn new(id: &'static str) -> Self {
        Self {
            listener: TcpListener::bind("127.0.0.1:0").expect("a port"),
            id,
        }
    }

    pub fn endpoint(&self, phase: &str) -> String {
        self.endpoint_at(phase, self.address())
    }

    /// Its entry with another address.
    pub fn endpoint_at(&self, phase: &str, at: SocketAddr) -> String {
        let id = self.id;
        format!(
            r#"{{"id":"{id}","host_port":"{at}","locality":"a","flavor":"m","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":0}}"#
        )
    }

    /// Another hold of where clients come, for a thread of the story's own.
    pub fn clone_listener(&self) -> TcpListener {
        self.listener.try_clone().expect("a socket")
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("bound")
    }

    /// The next connection, and the first line on it.
    #[track_caller]
    pub fn accept(&self) -> (Peer, String) {
        accept_any(&[self])
    }

    /// The next call, where this stands for discovery: its first line, all of its head read.
    pub fn accept_request(&self) -> (Peer, String) {
        let (mut peer, call) = self.accept();
        while peer.read_line().trim() != "" {}
        (peer, call)
    }

    /// The next call on a connection that is kept.
    pub fn read_request(&self, peer: &mut Peer) -> String {
        let call = peer.read_line();
        while peer.read_line().trim() != "" {}
        call
    }

    /// The next call, on this connection or another one.
    pub fn next_request(&self, mut peer: Peer) -> (Peer, String) {
        let call = peer.read_line();
        if call.is_empty() || call == "reset" {
            return self.accept_request();
        }
        while peer.read_line().trim() != "" {}
        (peer, call)
    }

    /// The next connection within a while, its first line read.
    pub fn accept_within(&self, span: Duration) -> Option<Peer> {
        self.listener.set_nonblocking(true).expect("settable");
        let end = Instant::now() + span;
        while Instant::now() < end {
            if let Ok((stream, _)) = self.listener.accept() {
                stream.set_nonblocking(false).expect("settable");
                let mut peer = Peer::new(stream);
                return (!peer.read_line().is_empty()).then_some(peer);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        None
    }

    /// Whether nobody says anything here for a while, whoever connects.
    pub fn receives_no_line(&self, span: Duration) -> bool {
        self.accept_within(span).is_none()
    }

    /// Whether nobody connects for a while.
    pub fn receives_no_connection(&self, span: Duration) -> bool {
        self.listener.set_nonblocking(true).expect("settable");
        let end = Instant::now() + span;
        while Instant::now() < end {
            if self.listener.accept().is_ok() {
                return false;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        self.listener.set_nonblocking(false).is_ok()
    }
}

/// The next connection at any of them, and the first line on it.
#[track_caller]
pub fn accept_any(backends: &[&Backend]) -> (Peer, String) {
    let mut next = None;
    wait_until(|| {
        next = backends.iter().find_map(|backend| {
            backend.listener.set_nonblocking(true).expect("settable");
            backend.listener.accept().ok()
        });
        next.is_some()
    });
    let stream = next.expect("a connection").0;
    stream.set_nonblocking(false).expect("settable");
    let mut peer = Peer::new(stream);
    let line = peer.read_line();
    (peer, line)
}

/// Takes the answers that the story prepares, one for each call, and says what was called.
pub struct Discovery {
    pub address: SocketAddr,
    pub requests: Arc<Mutex<Vec<String>>>,
    responses: std::sync::mpsc::Sender<String>,
}

impl Discovery {
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let requests = Arc::new(Mutex::new(Vec::new()));
        let (responses, prepared) = std::sync::mpsc::channel::<String>();
        let received = requests.clone();
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let mut peer = Peer(BufReader::new(stream));
                loop {
                    let call = peer.read_line();
                    if call.is_empty() || call == "reset" {
                        break;
                    }
                    while peer.read_line().trim() != "" {}
                    received.lock().expect("whole").push(call);
                    let Ok(answer) = prepared.recv() else { return };
                    if peer.0.get_mut().write_all(answer.as_bytes()).is_err() {
                        break;
                    }
                    if !answer.starts_with("HTTP/1.1 200") {
                        break;
                    }
                }
            }
        });
        Self {
            address,
            requests,
            responses,
        }
    }

    /// Prepares an answer with this list.
    pub fn respond_with_list(&self, revision: u64, complete: bool, entries: &[String]) {
        self.respond(&http_response(&endpoint_list(revision, complete, entries)));
    }

    pub fn respond(&self, text: &str) {
        self.responses.send(text.into()).expect("discovery runs");
    }

    pub fn wait_for_requests(&self, count: usize) {
        wait_until(|| self.requests.lock().expect("whole").len() >= count);
    }
}

/// An answer with this body.
pub fn http_response(body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Where nobody answers.
pub fn unresponsive_discovery() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("bound");
    // Held to the end: nobody else may come to answer there.
    std::mem::forget(listener);
    at
}

#[track_caller]
pub fn wait_until(mut fact: impl FnMut() -> bool) {
    let end = Instant::now() + STEP_TIMEOUT;
    while !fact() {
        assert!(Instant::now() < end, "waited in vain");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// A list in discovery's form.
pub fn endpoint_list(revision: u64, complete: bool, entries: &[String]) -> String {
    let members = entries.join(",");
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{members}]}}"#)
}

/// The program under test, ended when dropped.
pub struct Balancer {
    child: Child,
    address: SocketAddr,
    /// Where it answers the staff.
    operator: SocketAddr,
    folder: Arc<Folder>,
}

/// The settings of a story that needs no others.
const SETTINGS: &str = r#"{"balancers":1,"zone":"a","membershipMode":"on_request",
        "classes":[{"name":"live","onTime":0.5,"hardLimit":2.0,"semantics":"free","stream":true}],
        "domain":{"groups":true,"messageAim":[0.25],"tellsDelay":true},
        "limits":{"maxAttempts":3,"connectTimeout":0.25,"cancel":true},"rules":{"askWithin":1.0}}"#;

/// A backend that a busy machine makes slow for a moment is not left alone for it: for stories of something else.
pub const LENIENT_MESSAGE_AIM: (&str, &str) = (r#""messageAim":[0.25]"#, r#""messageAim":[25.0]"#);

/// What a story and its processes share: the temporary folder, the log, and what is configured.
pub struct Folder {
    pub path: std::path::PathBuf,
    pub sockets: usize,
    pub settings: String,
    pub log_level: &'static str,
}

impl Folder {
    /// What the processes of this folder have logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.path.join("log")).unwrap_or_default()
    }

    pub fn new(address: SocketAddr) -> Self {
        let name = format!("spanspur-{}-{address}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a folder");
        Self {
            path: folder,
            sockets: 256,
            settings: SETTINGS.into(),
            log_level: "debug",
        }
    }
}

/// Ports that were free a moment ago, on a loopback address of this story's own: nobody else takes them.
pub fn free_ports() -> [SocketAddr; 2] {
    static STORIES: AtomicU8 = AtomicU8::new(1);
    let story = STORIES.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let own = format!("127.{}.{high}.{low}:0", 64 + story);
    let free = [(); 2].map(|()| TcpListener::bind(&own).expect("a port"));
    free.map(|listener| listener.local_addr().expect("bound"))
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::thread::panicking() {
            // What its processes did is the first thing to ask.
            eprintln!("the log of {}:\n{}", self.path.display(), self.log());
        }
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Balancer {
    /// Starts one that knows these servers, and waits until it is ready.
    pub fn start(discovery: &Discovery, known: &[String]) -> Self {
        Self::start_with_settings(discovery.address, known, &[])
    }

    /// The same with other settings: each text in place of the one before it.
    pub fn start_with_settings(
        discovery: SocketAddr,
        known: &[String],
        other: &[(&str, &str)],
    ) -> Self {
        let balancer = Self::spawn_with_settings(discovery, known, other);
        let mut front = balancer.connect();
        front.send("PING\r\n");
        assert_eq!(front.read_line(), "PONG\r\n");
        balancer
    }

    /// The same, once it listens.
    pub fn spawn_with_settings(
        discovery: SocketAddr,
        known: &[String],
        other: &[(&str, &str)],
    ) -> Self {
        let [address, operator] = free_ports();
        let mut folder = Folder::new(address);
        for (from, to) in other {
            assert!(folder.settings.contains(from), "no {from} in the settings");
            folder.settings = folder.settings.replace(from, to);
        }
        let balancer = Self::spawn(Arc::new(folder), address, operator, None, discovery, known);
        wait_until(|| TcpStream::connect(address).is_ok());
        balancer
    }

    /// Neither reads, writes nor hears the time while `meanwhile` runs: all that happens in it comes at once.
    pub fn while_stopped<T>(&self, meanwhile: impl FnOnce() -> T) -> T {
        self.signal("-STOP");
        let stopped = format!("/proc/{}/stat", self.pid());
        wait_until(|| std::fs::read_to_string(&stopped).is_ok_and(|stat| stat.contains(") T ")));
        let done = meanwhile();
        self.signal("-CONT");
        done
    }

    /// Starts one, and does not wait; with `held`, clients come to that socket, as descriptor 4.
    pub fn spawn(
        folder: Arc<Folder>,
        address: SocketAddr,
        operator: SocketAddr,
        held: Option<&TcpListener>,
        discovery: SocketAddr,
        known: &[String],
    ) -> Self {
        write_config(&folder, address, &discovery.to_string(), known);
        let log = folder.path.join("log");
        let log = std::fs::File::options().create(true).append(true).open(log);
        let mut command = Command::new(env!("CARGO_BIN_EXE_spanspur"));
        command
            .env("BALANCER_CONFIG", folder.path.join("config.json"))
            .env("BALANCER_DISCOVERY", discovery.to_string())
            .env("BALANCER_OPERATOR", operator.to_string())
            .env("TMPDIR", &folder.path)
            .env("RUST_LOG", folder.log_level)
            .stderr(log.expect("a log"));
        if let Some(held) = held {
            let parent_fd = held.try_clone().expect("a socket").into();
            let mapping = FdMapping {
                parent_fd,
                child_fd: 4,
            };
            command.fd_mappings(vec![mapping]).expect("one mapping");
            command.env("BALANCER_ACCEPT_FD", "4");
        }
        let child = command.spawn().expect("the program starts");
        Self {
            child,
            address,
            operator,
            folder,
        }
    }

    /// Calls the staff's address: the status, and what was said.
    pub fn admin_request(&self, call: &str, body: &str) -> (u16, String) {
        let method = if call == "/_ready" { "GET" } else { "POST" };
        let length = body.len();
        self.admin_request_raw(&format!(
            "{method} {call} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{body}"
        ))
    }

    pub fn admin_request_raw(&self, text: &str) -> (u16, String) {
        let mut peer = self.connect_admin();
        peer.send(text);
        let answer = read_to_end(peer);
        let status = answer.get(9..12).and_then(|code| code.parse().ok());
        (status.unwrap_or(0), answer)
    }

    /// A connection to the staff's address.
    pub fn connect_admin(&self) -> Peer {
        Peer::new(TcpStream::connect(self.operator).expect("accepted"))
    }

    /// What its log holds, with that of others of the same folder.
    pub fn log(&self) -> String {
        self.folder.log()
    }

    pub fn folder(&self) -> &Arc<Folder> {
        &self.folder
    }

    pub fn kill(mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Where clients come.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until so many clients have asked that have no answer, by its log.
    pub fn wait_for_requests(&self, count: usize) {
        wait_until(|| self.log().matches("request received").count() >= count);
    }

    pub fn connect(&self) -> Peer {
        Peer::new(TcpStream::connect(self.address).expect("accepted"))
    }

    /// A client that asks for a connection and will wait for `ms`.
    pub fn open(&self, id: u64, ms: u64) -> Peer {
        let mut client = self.connect();
        client.send(&format!("OPEN {id:016x} 7f3a c=live,d={ms},g=5c0f,x=1\r\n"));
        client
    }

    /// A client whose connection stands, with its backend.
    #[track_caller]
    pub fn establish(&self, id: u64, backend: &Backend) -> (Peer, Peer) {
        let mut client = self.open(id, 2000);
        let (mut server, _) = backend.accept();
        server.send("UP r1\r\n");
        assert_eq!(client.read_line(), "UP r1\r\n");
        (client, server)
    }

    /// Has it read its configuration again, with discovery there.
    pub fn reload(&self, discovery: &str) {
        write_config(&self.folder, self.address, discovery, &[]);
        self.signal("-HUP");
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(
            Command::new("kill")
                .args([name, &pid])
                .status()
                .is_ok_and(|s| s.success())
        );
    }

    /// How the process ended.
    pub fn wait_for_exit(mut self) -> Option<i32> {
        let mut code = None;
        wait_until(|| {
            let ended = self.child.try_wait().expect("a child");
            ended.map(|status| code = status.code()).is_some()
        });
        code
    }
}

pub fn write_config(folder: &Folder, listen: SocketAddr, discovery: &str, known: &[String]) {
    let (known, sockets, settings) = (
        endpoint_list(1, true, known),
        folder.sockets,
        &folder.settings,
    );
    let text = format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"7",
        "limits":{{"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
    );
    std::fs::write(folder.path.join("config.json"), text).expect("written");
}

/// Reads until the stream ends.
pub fn read_to_end(mut peer: Peer) -> String {
    let mut text = String::new();
    let _ = peer.0.read_to_string(&mut text);
    text
}

/// A backend that takes everyone and answers each line, on threads of its own.
pub fn echo_backend(id: &'static str) -> Backend {
    let backend = Backend::new(id);
    let listener = backend.clone_listener();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut peer = Peer::new(stream);
                peer.read_line();
                let mut answer = "UP r1\r\n".to_owned();
                while peer.0.get_mut().write_all(answer.as_bytes()).is_ok() {
                    let mut line = String::new();
                    match peer.0.read_line(&mut line) {
                        Ok(n) if n > 0 => answer = line,
                        _ => return,
                    }
                }
            });
        }
    });
    backend
}
