//! Connections in transit to the successor of a process, and their descriptors.

use spanspur::transfer::{ConnectionSender, TransferredConnection};
use spanspur_hot_restart::link::{Receiver, link};
use std::fs::File;
use std::os::fd::AsFd;
use std::rc::Rc;
use tokio::net::UnixStream;
use tokio::task::{JoinHandle, LocalSet, spawn_local, yield_now};

/// A sender, and the receiver of its successor.
fn connected() -> (Rc<ConnectionSender>, Receiver) {
    let (one, two) = UnixStream::pair().expect("a pair");
    let ((sender, _), (_, receiver)) = (link(one), link(two));
    (ConnectionSender::new(sender), receiver)
}

/// Starts the transfer of a client without a request, which has one descriptor.
fn transfer_idle(sender: &Rc<ConnectionSender>) -> JoinHandle<bool> {
    let sender = sender.clone();
    spawn_local(async move {
        let client = File::open("/dev/null").expect("a descriptor is free");
        let connection = TransferredConnection::AwaitingRequest(Vec::new(), 1.0);
        sender.transfer(connection, &[client.as_fd()]).await
    })
}

async fn run_tasks() {
    for _ in 0..10 {
        yield_now().await;
    }
}

/// Guards against a successor that takes more clients than there are descriptors, because its predecessor reports fewer
/// than it holds.
#[tokio::test(flavor = "current_thread")]
async fn a_connection_is_in_transit_from_its_turn_on_the_link_with_the_descriptors_that_it_has() {
    let (sender, _receiver) = connected();
    let test = async {
        let turn = sender.link().turn().await;
        let transfers = [(); 3].map(|()| transfer_idle(&sender));
        run_tasks().await;
        assert_eq!(sender.descriptors_in_transit(), 0);
        drop(turn);
        run_tasks().await;
        assert_eq!(sender.descriptors_in_transit(), 3);
        sender.acknowledge(0, true);
        sender.acknowledge(1, false);
        // Until its own task continues, a connection still holds its permit.
        assert_eq!(sender.descriptors_in_transit(), 3);
        run_tasks().await;
        assert_eq!(sender.descriptors_in_transit(), 1);
        sender.close();
        let [taken_over, refused, unacknowledged] = transfers;
        assert!(taken_over.await.expect("it ends"));
        assert!(!refused.await.expect("it ends"));
        assert!(!unacknowledged.await.expect("it ends"));
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test(flavor = "current_thread")]
async fn slots_are_limited_released_and_not_given_out_once_transfers_have_stopped() {
    let (sender, _receiver) = connected();
    let slots = sender.established_slots.clone();
    let mut held: Vec<_> = std::iter::from_fn(|| slots.try_acquire()).collect();
    assert_eq!((held.len(), slots.free()), (4, 0));
    held.pop();
    slots.released().await;
    assert_eq!(slots.free(), 1);
    sender.stop_transfers();
    assert_eq!(slots.free(), 0);
    assert!(slots.try_acquire().is_none());
}
