//! The descriptors of two processes of one balancer, which count together.

use crate::deployment::Deployment;
use crate::peers::*;
use spanspur_hot_restart::frame::Frame;
use std::net::TcpStream;
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
    let held = process.open_descriptors() + HELD_BY_PREDECESSOR as usize;
    assert!(held <= LIMIT, "{held} descriptors");
    drop(crowd);
    predecessor.join().expect("the process was ready");
}
