//! Graceful shutdown: what every client gets before the process exits.

use crate::deployment::Deployment;
use crate::peers::*;
use crate::scripted_successor::ScriptedSuccessor;
use spanspur_hot_restart::frame::{Frame, VERSION};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Number of connections established before the shutdown.
const CONNECTIONS: u64 = 60;

/// Guards against a planned restart that exits before it has migrated all connections, because the longest client wait,
/// and with it the time until SIGKILL, is short.
#[test]
fn with_short_waits_every_connection_is_migrated_before_the_exit() {
    for longest_wait in [0.9, 0.3] {
        let backend = echo_backend("s-1");
        let hard_limit = format!(r#""hardLimit":{longest_wait:?}"#);
        let balancer = Balancer::start_with_settings(
            unresponsive_discovery(),
            &[backend.endpoint("SERVING")],
            &[
                (r#""hardLimit":2.0"#, &hard_limit),
                (r#""onTime":0.5"#, r#""onTime":0.2"#),
            ],
        );
        let open = |id| {
            let mut client = balancer.open(id, 300);
            assert_eq!(client.read_line(), "UP r1\r\n");
            client
        };
        let clients: Vec<Peer> = (0..CONNECTIONS).map(open).collect();
        let terminated = Instant::now();
        balancer.signal("-TERM");
        let last_lines = clients.into_iter().map(|mut client| client.read_line());
        let migrated = last_lines.filter(|line| line == "MOVE\r\n").count();
        assert_eq!(
            migrated as u64, CONNECTIONS,
            "longest wait {longest_wait} s"
        );
        assert_eq!(balancer.wait_for_exit(), Some(0));
        let kill = Duration::from_secs_f64(longest_wait + 0.7);
        let exited_after = terminated.elapsed();
        assert!(
            exited_after < kill,
            "longest wait {longest_wait} s: {exited_after:?}"
        );
    }
}

/// How a client's connection ended that arrived during a shutdown.
#[derive(Debug, PartialEq)]
enum Ending {
    /// With a final response, or with MOVE after UP.
    Complete,
    /// Not accepted: it waits in the queue of the listening socket for the next process.
    Queued,
    /// Cut off before its last line, with what it had received.
    CutOff(String),
}

/// Connects, sends a request and reads until the connection ends or has received nothing for a second.
fn request_and_read_to_end(address: SocketAddr, id: u64) -> Ending {
    let mut stream = TcpStream::connect(address).expect("the test holds the listening socket");
    let second = Some(Duration::from_secs(1));
    stream.set_read_timeout(second).expect("settable");
    let request = format!("OPEN {id:016x} {id:x} c=live,d=2000,g={id:x}\r\n");
    let _ = stream.write_all(request.as_bytes());
    let (mut received, mut chunk) = (Vec::new(), [0; 64]);
    loop {
        let text = String::from_utf8_lossy(&received).into_owned();
        let last_line = text.lines().last().unwrap_or_default();
        if ["BUSY", "ERR", "MOVE"].contains(&last_line.split(' ').next().unwrap_or_default()) {
            return Ending::Complete;
        }
        match stream.read(&mut chunk) {
            Ok(read) if read > 0 => received.extend_from_slice(&chunk[..read]),
            Err(error) if error.kind() == ErrorKind::WouldBlock && text.is_empty() => {
                return Ending::Queued;
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            _ => return Ending::CutOff(text),
        }
    }
}

/// Guards against clients that a process accepts shortly before its exit, on a listening socket that stays open, and cuts
/// off then: the successor has gone, so the process accepts again during its shutdown.
#[test]
fn clients_that_arrive_until_the_exit_are_served_completely_or_left_to_the_next_process() {
    const CLIENT_THREADS: u64 = 8;
    for round in 0..3 {
        let backend = echo_backend("s-1");
        let mut deployment = Deployment::new(&[&backend]);
        let folder = Arc::get_mut(&mut deployment.folder).expect("no process runs");
        for (from, to) in [
            (r#""hardLimit":2.0"#, r#""hardLimit":0.6"#),
            (r#""onTime":0.5"#, r#""onTime":0.2"#),
        ] {
            folder.settings = folder.settings.replace(from, to);
        }
        let process = deployment.start();
        let mut successor = ScriptedSuccessor::connect(&deployment.hot_restart_socket());
        successor.send(&Frame::Hello { version: VERSION });
        successor.send(&Frame::Ready);
        wait_until(|| process.admin_request("/_ready", "").0 == 503);
        process.signal("-TERM");
        drop(successor);
        let exited = Arc::new(AtomicBool::new(false));
        let clients = (0..CLIENT_THREADS).map(|thread| {
            let (exited, address) = (exited.clone(), deployment.address);
            std::thread::spawn(move || {
                let ids = (0..).map(|n| (round * CLIENT_THREADS + thread + 1) << 32 | n);
                let until_exit = ids.take_while(|_| !exited.load(Ordering::Relaxed));
                let endings = until_exit.map(|id| request_and_read_to_end(address, id));
                endings.collect::<Vec<_>>()
            })
        });
        let clients: Vec<_> = clients.collect();
        assert_eq!(process.wait_for_exit(), Some(0));
        exited.store(true, Ordering::Relaxed);
        let joined = clients
            .into_iter()
            .flat_map(|client| client.join().expect("no panic"));
        let endings: Vec<Ending> = joined.collect();
        let complete = endings
            .iter()
            .filter(|ending| **ending == Ending::Complete)
            .count();
        assert!(complete > 0, "round {round}: nobody was served");
        let cut_off = |ending: &&Ending| matches!(ending, Ending::CutOff(_));
        let cut_off: Vec<_> = endings.iter().filter(cut_off).collect();
        assert!(
            cut_off.is_empty(),
            "round {round}: {complete} complete, {cut_off:?}"
        );
    }
}
