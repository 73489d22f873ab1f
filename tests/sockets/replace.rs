//! Stories of a replacement: two processes of one balancer, the platform's socket, and what becomes of clients.

use crate::peers::*;
use spanspur_hot_restart::frame::{Frame, VERSION, encode};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// One balancer's place on the platform: its address, the socket that is held there, its folder.
struct Place {
    address: SocketAddr,
    held: TcpListener,
    folder: Arc<Folder>,
    discovery: Discovery,
    known: Vec<String>,
}

impl Place {
    fn new(backends: &[&Backend]) -> Self {
        let [address, _] = free_ports();
        let mut folder = Folder::new(address);
        folder.settings = folder
            .settings
            .replace(LENIENT_MESSAGE_AIM.0, LENIENT_MESSAGE_AIM.1);
        Self {
            address,
            held: TcpListener::bind(address).expect("free"),
            folder: Arc::new(folder),
            discovery: Discovery::new(),
            known: backends.iter().map(|one| one.endpoint("SERVING")).collect(),
        }
    }

    /// Starts a process beside whatever runs, and waits for its yes.
    #[track_caller]
    fn start(&self) -> Balancer {
        let [_, operator] = free_ports();
        let folder = self.folder.clone();
        let held = Some(&self.held);
        let process = Balancer::spawn(
            folder,
            self.address,
            operator,
            held,
            self.discovery.address,
            &self.known,
        );
        wait_until(|| TcpStream::connect(operator).is_ok());
        wait_until(|| process.admin_request("/_ready", "").0 == 200);
        process
    }

    /// The older process leaves, as the platform has it, when the newer one has said yes.
    fn replace(&self, old: Balancer) -> Balancer {
        let new = self.start();
        old.signal("-TERM");
        assert_eq!(old.wait_for_exit(), Some(0));
        new
    }

    /// Comes to the process that serves as one that would replace it.
    fn come(&self, frames: &[Frame]) -> UnixStream {
        let mut stream =
            UnixStream::connect(self.folder.path.join("spanspur-n0.sock")).expect("held");
        for frame in frames {
            stream
                .write_all(&encode(frame, 0).expect("small"))
                .expect("taken");
        }
        stream
    }
}

fn echo(client: &mut Peer, text: &str) {
    client.send(text);
    assert_eq!(client.read_line(), text);
}

#[test]
fn what_stands_and_what_is_half_said_goes_on_through_two_replacements() {
    let backend = Backend::new("s-1");
    let place = Place::new(&[&backend]);
    let old = place.start();
    let (mut client, mut server) = old.establish(0x11, &backend);
    // Half a line each way, half a first line, and a front that asks again on its connection.
    client.send("M 1\r\nM");
    assert_eq!(server.read_line(), "M 1\r\n");
    server.send("R");
    let mut half = old.connect();
    half.send("OPEN 00000000000000");
    let mut front = old.connect();
    front.send("PING\r\n");
    assert_eq!(front.read_line(), "PONG\r\n");
    let new = place.replace(old);
    server.send(" 1\r\n");
    assert_eq!(client.read_line(), "R 1\r\n");
    client.send(" 2\r\n");
    assert_eq!(server.read_line(), "M 2\r\n");
    half.send("12 7f3a c=live,d=2000,g=5c0f\r\n");
    let (mut other, line) = backend.accept();
    assert!(line.starts_with("OPEN 0000000000000012 "), "{line}");
    other.send("UP r2\r\n");
    assert_eq!(half.read_line(), "UP r2\r\n");
    front.send("PING\r\n");
    assert_eq!(front.read_line(), "PONG\r\n");
    let third = place.replace(new);
    client.send("M 3\r\n");
    assert_eq!(server.read_line(), "M 3\r\n");
    // A process that leaves with nobody to follow moves them, as ever.
    third.signal("-TERM");
    for mut one in [client, half] {
        assert_eq!(
            (one.read_line(), one.read_line()),
            ("MOVE\r\n".into(), String::new())
        );
    }
    drop(front);
    assert_eq!(third.wait_for_exit(), Some(0));
}

#[test]
fn under_load_no_client_is_refused_reset_or_left_unread() {
    let (one, two) = (echo_backend("s-1"), echo_backend("s-2"));
    let place = Place::new(&[&one, &two]);
    let mut process = place.start();
    let address = place.address;
    let clients: Vec<_> = (0..4)
        .map(|thread| {
            std::thread::spawn(move || {
                let mut standing = Vec::new();
                for n in 0..24 {
                    let mut client = Peer::new(TcpStream::connect(address).expect("accepted"));
                    let id = 0x1000 * (thread + 1) + n;
                    client.send(&format!("OPEN {id:016x} {id:x} c=live,d=2000,g={id:x}\r\n"));
                    assert_eq!(client.read_line(), "UP r1\r\n", "client {id:x}");
                    standing.push(client);
                    std::thread::sleep(Duration::from_millis(30));
                    // Those that stand are as they were.
                    let at = n as usize / 2;
                    echo(&mut standing[at], "M\r\n");
                }
                standing
            })
        })
        .collect();
    for _ in 0..3 {
        std::thread::sleep(Duration::from_millis(150));
        process = place.replace(process);
    }
    for thread in clients {
        for mut client in thread.join().expect("no client is lost") {
            echo(&mut client, "M 9\r\n");
        }
    }
    assert!(
        !place.folder.log().contains("counter="),
        "{}",
        place.folder.log()
    );
}

#[test]
fn what_is_out_or_emptied_stays_so_through_a_replacement() {
    let (one, two) = (Backend::new("s-1"), echo_backend("s-2"));
    let place = Place::new(&[&one, &two]);
    let old = place.start();
    assert_eq!(old.admin_request("/_stream-servers/detach", "s-1").0, 200);
    assert_eq!(old.admin_request("/_lameduck/on", "").0, 200);
    // It takes over all the same: its yes is for the replacement, its answer to the front is no.
    let new = place.replace(old);
    let ping = |process: &Balancer| {
        let mut front = process.connect();
        front.send("PING\r\n");
        front.read_line()
    };
    assert_ne!(ping(&new), "PONG\r\n");
    assert_eq!(new.admin_request("/_lameduck/off", "").0, 200);
    assert_eq!(ping(&new), "PONG\r\n");
    for id in 0x21..0x29 {
        assert_eq!(new.open(id, 2000).read_line(), "UP r1\r\n");
    }
    assert!(one.receives_no_connection(Duration::from_millis(50)));
    assert_eq!(new.admin_request("/_stream-servers/attach", "s-1").0, 200);
}

#[test]
fn one_that_dies_on_the_way_leaves_the_other_serving() {
    let backend = echo_backend("s-1");
    let place = Place::new(&[&backend]);
    let process = place.start();
    let mut client = process.open(0x31, 2000);
    assert_eq!(client.read_line(), "UP r1\r\n");
    let serves = |id| assert_eq!(process.open(id, 2000).read_line(), "UP r1\r\n");
    // Nonsense, another version, one that dies before its yes.
    place
        .come(&[])
        .write_all(b"GET / HTTP/1.1\r\n")
        .expect("taken");
    drop(place.come(&[Frame::Hello {
        version: VERSION + 1,
    }]));
    drop(place.come(&[Frame::Hello { version: VERSION }]));
    serves(0x32);
    // One that says yes, and takes nothing: clients come to nobody until it has gone.
    let mut dead = place.come(&[Frame::Hello { version: VERSION }, Frame::Ready]);
    wait_until(|| process.admin_request("/_ready", "").0 == 503);
    drop(dead);
    serves(0x33);
    // One that says yes and dies while it is given what stands: it is moved then.
    dead = place.come(&[Frame::Hello { version: VERSION }, Frame::Ready]);
    wait_until(|| process.admin_request("/_ready", "").0 == 503);
    process.signal("-TERM");
    wait_until(|| place.folder.log().contains("command=TransferTo("));
    let mut some = [0; 64];
    dead.read_exact(&mut some).expect("it is told something");
    drop(dead);
    echo_or_move(&mut client);
    drop(client);
    assert_eq!(process.wait_for_exit(), Some(0));
}

/// The connection goes on where it was, until it is moved.
fn echo_or_move(client: &mut Peer) {
    client.send("M 1\r\n");
    let mut line = client.read_line();
    if line == "M 1\r\n" {
        line = client.read_line();
    }
    assert_eq!(line, "MOVE\r\n");
}

#[test]
fn one_that_dies_before_it_is_replaced_costs_the_next_one_nothing() {
    let backend = echo_backend("s-1");
    let place = Place::new(&[&backend]);
    let old = place.start();
    assert_eq!(old.admin_request("/_stream-servers/detach", "s-1").0, 200);
    old.kill();
    // Its socket's name is left, and nobody is there.
    let new = place.start();
    assert!(new.open(0x41, 300).read_line().starts_with("BUSY"));
    assert_eq!(new.admin_request("/_stream-servers/attach", "s-1").0, 200);
    assert_eq!(new.open(0x42, 2000).read_line(), "UP r1\r\n");
}

/// Measures a replacement at growing numbers of standing connections, and the same end without a successor.
/// `cargo test --release --test sockets measure_replacement -- --ignored` writes `docs/measured/service.*`.
#[test]
#[ignore = "a measurement of a minute, not a check"]
fn measure_replacement() {
    let mut rows = Vec::new();
    for count in [50, 200, 800, 2000] {
        for followed in [true, false] {
            rows.push(measure(count, followed));
        }
    }
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/measured");
    let mut text = String::from(
        "# Replacement, measured\n\n\
        Made by `cargo test --release --test sockets measure_replacement -- --ignored`, one run, the program and its peers on\n\
        one machine. 50 of the standing clients send a line every 2 ms from SIGTERM until the old process has exited; the pause\n\
        is the longest time from a line to its answer. Without a successor there is no pause to tell: every client is moved.\n\
        Memory is resident, of both processes together, when the new one has just said yes, and of the old one alone before.\n\n\
        | standing | successor | start to yes, ms | SIGTERM to exit, ms | longest pause, ms | moved or lost | MiB before | MiB both |\n\
        | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    let mut lines = [
        ("exit".to_owned(), vec![]),
        ("longest pause".to_owned(), vec![]),
    ];
    for row in &rows {
        let pause = row.pause.map_or("-".into(), |ms| format!("{ms:.1}"));
        let yes = row.yes.map_or("-".into(), |ms| format!("{ms:.0}"));
        let followed = if row.yes.is_some() { "yes" } else { "no" };
        text += &format!(
            "| {} | {followed} | {yes} | {:.0} | {pause} | {} | {:.1} | {:.1} |\n",
            row.count, row.exit, row.moved, row.before, row.both
        );
        if let Some(pause) = row.pause {
            lines[0].1.push((row.count as f64, row.exit));
            lines[1].1.push((row.count as f64, pause));
        }
    }
    text += "\n![Exit and pause](service-replacement.svg)\n";
    std::fs::write(folder.join("service.md"), text).expect("written");
    let chart = folder.join("service-replacement.svg");
    let axes = ("standing connections", "ms");
    spanspur_fleet_rig::charts::line_chart(&chart, "A process is replaced", axes, false, &lines)
        .expect("drawn");
}

struct Row {
    count: usize,
    yes: Option<f64>,
    exit: f64,
    pause: Option<f64>,
    moved: usize,
    before: f64,
    both: f64,
}

fn measure(count: usize, followed: bool) -> Row {
    let backends = ["s-1", "s-2"].map(echo_backend);
    let mut place = Place::new(&[&backends[0], &backends[1]]);
    let folder = Arc::get_mut(&mut place.folder).expect("alone");
    (folder.sockets, folder.log_level) = (16_000, "info");
    let old = place.start();
    // One after the other: the stand-ins' listeners hold few that wait, and who waits too long is refused.
    let open = |id| {
        let mut client = old.open(id, 2000);
        assert_eq!(client.read_line(), "UP r1\r\n");
        client
    };
    let mut clients: Vec<Peer> = (0..count as u64).map(open).collect();
    let mib = |pid: u32| {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS"));
        let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
        kib.unwrap_or(0.0) / 1024.0
    };
    let ms = |from: Instant| from.elapsed().as_secs_f64() * 1000.0;
    let before = mib(old.pid());
    let start = Instant::now();
    let new = followed.then(|| place.start());
    let yes = followed.then(|| ms(start));
    let both = mib(old.pid()) + new.as_ref().map_or(0.0, |new| mib(new.pid()));
    let told = Instant::now();
    old.signal("-TERM");
    let exit = std::thread::spawn(move || {
        assert_eq!(old.wait_for_exit(), Some(0));
        ms(told)
    });
    let (mut pause, mut moved) = (0.0, 0);
    if followed {
        while !exit.is_finished() {
            for client in &mut clients[..50] {
                let asked = Instant::now();
                echo(client, "M\r\n");
                pause = f64::max(pause, ms(asked));
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        clients
            .iter_mut()
            .for_each(|client| echo(client, "M 2\r\n"));
    } else {
        for client in &mut clients {
            moved += usize::from(client.read_line() == "MOVE\r\n");
        }
        clients.clear();
    }
    let exit = exit.join().expect("it exits");
    let pause = followed.then_some(pause);
    Row {
        count,
        yes,
        exit,
        pause,
        moved,
        before,
        both,
    }
}
