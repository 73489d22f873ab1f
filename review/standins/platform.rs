//! The platform: starts the program with the deploy file's command, sends it signals, and ends it.

use crate::record;
use crate::util;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

static STARTED: Mutex<Vec<Arc<Mutex<Running>>>> = Mutex::new(Vec::new());

struct Running {
    name: String,
    child: Child,
    log: PathBuf,
    exited: Option<String>,
}

/// A process of the program.
#[derive(Clone)]
pub struct Process {
    pub pid: u32,
    running: Arc<Mutex<Running>>,
}

/// The temporary folder of the run, which `run.sh` makes and removes.
pub fn folder() -> PathBuf {
    PathBuf::from(std::env::var("CASE_TMP").expect("run.sh sets CASE_TMP"))
}

/// The value of a key of the deploy file.
fn deploy_command(key: &str) -> String {
    let text =
        fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml, from the root");
    let line = text
        .lines()
        .find(|line| line.split('=').next().map(str::trim) == Some(key));
    let value = line.and_then(|line| line.split('"').nth(1));
    value.expect("the deploy file has the key").to_owned()
}

/// Starts the deploy file's `run` as [`start`] does, with a limit on the descriptors of the process.
pub fn start_limited(
    name: &str,
    variables: &[(&str, String)],
    accept: &TcpListener,
    descriptors: usize,
) -> Process {
    launch(
        name,
        variables,
        Some(accept),
        &format!("ulimit -n {descriptors}; "),
    )
}

/// Starts the deploy file's `run`. With `accept`, the process inherits the clients' listening socket as descriptor 4.
pub fn start(name: &str, variables: &[(&str, String)], accept: Option<&TcpListener>) -> Process {
    launch(name, variables, accept, "")
}

fn launch(
    name: &str,
    variables: &[(&str, String)],
    accept: Option<&TcpListener>,
    before: &str,
) -> Process {
    let run = deploy_command("run");
    let log = folder().join(format!("log-{name}-{}", util::hex()));
    let mut command = Command::new("/bin/sh");
    let script = match accept {
        Some(_) => format!("{before}exec 4<&0 0</dev/null; {run}"),
        None => run,
    };
    command.arg("-c").arg(script);
    for inherited in [
        "BALANCER_NAME",
        "BALANCER_LISTEN",
        "BALANCER_DISCOVERY",
        "BALANCER_CONFIG",
        "BALANCER_OPERATOR",
        "BALANCER_ACCEPT_FD",
        "SPANSPUR_OPERATOR",
        "RUST_LOG",
    ] {
        command.env_remove(inherited);
    }
    command.envs(variables.iter().map(|(key, value)| (*key, value)));
    match accept {
        Some(listener) => {
            let listener = listener.try_clone().expect("a descriptor");
            command
                .env("BALANCER_ACCEPT_FD", "4")
                .stdin(Stdio::from(OwnedFd::from(listener)));
        }
        None => {
            command.stdin(Stdio::null());
        }
    }
    let file = File::create(&log).expect("a log file");
    command
        .stdout(file.try_clone().expect("a descriptor"))
        .stderr(file);
    let mut pids = fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(folder().join("pids"))
        .expect("pids");
    let child = command.spawn().expect("/bin/sh");
    let pid = child.id();
    let _ = writeln!(pids, "{pid}");
    record::line(format!("platform: started {name}, process {pid}"));
    let running = Arc::new(Mutex::new(Running {
        name: name.into(),
        child,
        log,
        exited: None,
    }));
    STARTED.lock().expect("not poisoned").push(running.clone());
    Process { pid, running }
}

impl Process {
    pub fn signal(&self, signal: &str) {
        record::line(format!("platform: SIG{signal} to process {}", self.pid));
        send_signal(signal, self.pid);
    }

    /// The number of descriptors that the process holds.
    pub fn descriptors(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.pid)).map_or(0, Iterator::count)
    }

    /// How the process ended, if it has.
    pub fn ended(&self) -> Option<String> {
        self.running.lock().expect("not poisoned").check()
    }
}

fn send_signal(signal: &str, pid: u32) {
    let kill = format!("kill -{signal} {pid}");
    let _ = Command::new("/bin/sh")
        .arg("-c")
        .arg(kill)
        .stderr(Stdio::null())
        .status();
}

impl Running {
    fn check(&mut self) -> Option<String> {
        if self.exited.is_none() {
            if let Ok(Some(status)) = self.child.try_wait() {
                record::line(format!(
                    "platform: {} (process {}) ended, {status}",
                    self.name,
                    self.child.id()
                ));
                self.exited = Some(status.to_string());
            }
        }
        self.exited.clone()
    }
}

/// Ends all processes that were started, and copies their logs to the record.
pub fn end_all() {
    let Ok(mut started) = STARTED.lock() else {
        return;
    };
    for running in started.drain(..) {
        let Ok(mut running) = running.lock() else {
            continue;
        };
        if running.check().is_none() {
            let _ = running.child.kill();
            let _ = running.child.wait();
        }
        let log = fs::read_to_string(&running.log).unwrap_or_default();
        record::copy(&format!(
            "--- log of {} (process {})",
            running.name,
            running.child.id()
        ));
        record::copy(log.trim_end());
    }
}

/// A class of the settings: name, `onTime` and `hardLimit`.
pub type Class = (&'static str, f64, f64);

/// Writes a balancer's configuration as the deploy page shows it, and returns its path.
pub fn write_config(
    name: &str,
    listen: SocketAddr,
    discovery: SocketAddr,
    known: &str,
    classes: &[Class],
    (index, count): (usize, usize),
) -> PathBuf {
    let settings: Vec<String> = classes
        .iter()
        .map(|(name, on_time, hard_limit)| {
            format!(
                r#"{{"credit":2.0,"group":"all","hardLimit":{hard_limit:?},"lateWorth":0.0,"name":"{name}","onTime":{on_time:?},"repeatWindow":5.0,"semantics":"free","stream":true}}"#
            )
        })
        .collect();
    let aims: Vec<&str> = classes.iter().map(|_| "0.25").collect();
    let text = format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"{seed}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"known":{known},
"settings":{{"balancers":{count},"classes":[{classes}],"membershipMode":"on_request",
"domain":{{"groups":true,"messageAim":[{aims}],"mode":"proxy","park":0.0,"tellsDelay":true,"tellsLoad":true}},"family":"conn","flavors":["model-a"],
"limits":{{"cancel":true,"connectTimeout":0.25,"keepalive":15.0,"maxAttempts":5,"maxOpen":1000000,"maxRetryAfter":1.0,"mayDuplicate":false,"mayTell":false,"probes":false,"retryAfter":false}},
"myNumber":{index},"report":{{"fields":[],"how":"none"}},
"rules":{{"answerSlack":0.008,"askWithin":10.0,"coldFrom":0.13,"drainGrace":0.3,"fall":2.0,"fallMultiple":3.0,"warmUp":24.0}},
"tick":0.002,"weights":"nominal","zone":"zwolle","zones":["zwolle"]}}}}
"#,
        seed = util::hex(),
        classes = settings.join(","),
        aims = aims.join(","),
    );
    let path = folder().join(format!("{name}.json"));
    fs::write(&path, text).expect("a configuration file");
    path
}

/// Changes `limits.sockets` of a configuration file.
pub fn set_descriptors(config: &Path, descriptors: usize) {
    let text = fs::read_to_string(config).expect("a configuration file");
    let text = text.replace(r#""sockets":1024"#, &format!(r#""sockets":{descriptors}"#));
    fs::write(config, text).expect("a configuration file");
}

/// The variables of a balancer's environment, with a private `$TMPDIR`.
pub fn variables(
    name: &str,
    listen: SocketAddr,
    discovery: SocketAddr,
    config: &Path,
) -> Vec<(&'static str, String)> {
    let private = folder().join(format!("tmp-{name}"));
    fs::create_dir_all(&private).expect("a folder");
    vec![
        ("BALANCER_NAME", name.into()),
        ("BALANCER_LISTEN", listen.to_string()),
        ("BALANCER_DISCOVERY", discovery.to_string()),
        ("BALANCER_CONFIG", config.display().to_string()),
        ("TMPDIR", private.display().to_string()),
    ]
}

/// Waits until a balancer answers `PING` with `PONG`, as the front does; 30 s at most.
pub fn wait_for_pong(balancer: SocketAddr) -> bool {
    util::wait_until(30.0, || ping(balancer) == "PONG\r\n")
}

fn ping(balancer: SocketAddr) -> String {
    let Ok(mut stream) = TcpStream::connect_timeout(&balancer, Duration::from_millis(500)) else {
        return String::new();
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(1000)));
    let _ = stream.write_all(b"PING\r\n");
    let mut answer = [0; 16];
    let read = stream.read(&mut answer).unwrap_or(0);
    String::from_utf8_lossy(&answer[..read]).into_owned()
}

/// Makes a call on a second address; `true` for a 2xx. The caller waits 1 s.
pub fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> bool {
    let end = Instant::now() + Duration::from_secs(1);
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(
        end.saturating_duration_since(Instant::now())
            .max(Duration::from_millis(1)),
    ));
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    let _ = stream.write_all(request.as_bytes());
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer.starts_with("HTTP/1.1 2")
}
