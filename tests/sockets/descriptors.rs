//! The descriptors of two processes of one balancer, which count together.

use crate::deployment::Deployment;
use crate::peers::*;
use spanspur_hot_restart::frame::Frame;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// The descriptors that the balancer may hold.
const LIMIT: usize = 256;

/// Guards against a successor that accepts clients before it knows how many descriptors its predecessor holds, and then
/// lacks those of the connections that are transferred to it.
#[test]
fn a_successor_accepts_no_crowd_before_it_knows_the_descriptors_of_its_predecessor() {
    const HELD_BY_PREDECESSOR: u32 = 200;
    let backend = echo_backend("s-1");
    let deployment = Deployment::new(&[&backend]);
    assert_eq!(deployment.folder.sockets, LIMIT);
    let link = deployment.listen_as_predecessor(&backend);
    let connect = |_| TcpStream::connect(deployment.address).expect("queued");
    let crowd: Vec<TcpStream> = (0..80).map(connect).collect();
    let predecessor = std::thread::spawn(move || {
        let mut predecessor = link.accept();
        std::thread::sleep(Duration::from_millis(100));
        predecessor.send(&Frame::HeldDescriptors(HELD_BY_PREDECESSOR));
        predecessor.receive(|frame| matches!(frame, Frame::Ready).then_some(()));
        // The link stays open while the process accepts.
        std::thread::sleep(Duration::from_millis(300));
    });
    let process = deployment.start();
    std::thread::sleep(Duration::from_millis(100));
    let held = open_descriptors(process.pid()) + HELD_BY_PREDECESSOR as usize;
    assert!(held <= LIMIT, "{held} descriptors");
    drop(crowd);
    predecessor.join().expect("the process was ready");
}

/// A client of a crowd: connects, sends nothing or half a request, and does the same again as soon as it is rejected.
fn run_idle_client(address: SocketAddr, request: &str, stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        // The test has ended where the listening socket is closed.
        let Ok(mut stream) = TcpStream::connect(address) else {
            return;
        };
        let timeout = Some(Duration::from_millis(200));
        stream.set_read_timeout(timeout).expect("settable");
        let _ = stream.write_all(request.as_bytes());
        // Ends at the rejection, or when the process has nothing to say for a while.
        let _ = stream.read(&mut [0; 64]);
    }
}

/// Guards against a hand-over that breaks off under a crowd of idle clients, because two processes together hold more
/// descriptors than the kernel allows one of them.
#[test]
fn replacements_under_a_crowd_of_idle_clients_keep_every_established_connection() {
    const CONNECTIONS: u64 = 40;
    const CROWD: usize = 250;
    const REPLACEMENTS: usize = 5;
    let backend = echo_backend("s-1");
    let mut deployment = Deployment::new(&[&backend]);
    let folder = Arc::get_mut(&mut deployment.folder).expect("no process runs");
    folder.enforced_descriptors = Some(LIMIT);
    folder.log_level = "info";
    let mut process = deployment.start();
    let open = |id| {
        let mut client = process.open(id, 2000);
        assert_eq!(client.read_line(), "UP r1\r\n");
        client
    };
    let mut clients: Vec<Peer> = (0x700..0x700 + CONNECTIONS).map(open).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let crowd = (0..CROWD).map(|n| {
        let (address, stop) = (deployment.address, stop.clone());
        let request = ["", "OPEN 0123456789ab"][n % 2];
        std::thread::spawn(move || run_idle_client(address, request, &stop))
    });
    let crowd: Vec<_> = crowd.collect();
    for _ in 0..REPLACEMENTS {
        std::thread::sleep(Duration::from_millis(500));
        process = deployment.replace(process);
        for client in &mut clients {
            assert_echo(client, "M 1\r\n");
        }
    }
    stop.store(true, Ordering::Relaxed);
    for client in crowd {
        client.join().expect("no panic");
    }
    assert!(!process.log().contains("link to predecessor failed"));
}
