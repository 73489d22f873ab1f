//! Frames and descriptors over a real Unix socket.

use spanspur_hot_restart::frame::Frame;
use spanspur_hot_restart::link::{ReceivedFrame, link};
use std::io::{Read, Write};
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream as BlockingStream;
use tokio::net::UnixStream;

/// A large frame.
fn connection(at: usize) -> Frame {
    Frame::Connection {
        number: at as u64,
        payload: vec![at as u8; 7000],
    }
}

#[tokio::test(flavor = "current_thread")]
async fn open_descriptors_arrive_in_order_beside_large_frames() {
    let (one, two) = UnixStream::pair().expect("a pair");
    let ((sender, _), (_, mut receiver)) = (link(one), link(two));
    let pairs: Vec<(BlockingStream, BlockingStream)> = (0..40)
        .map(|_| BlockingStream::pair().expect("a pair"))
        .collect();
    let send = async {
        for (at, (here, _)) in pairs.iter().enumerate() {
            let frame = connection(at);
            sender.send(&frame, &[here.as_fd()]).await.expect("sent");
            sender
                .send(&Frame::HeldDescriptors(at as u32), &[])
                .await
                .expect("sent");
        }
    };
    let receive = async {
        for (at, (_, there)) in pairs.iter().enumerate() {
            let ReceivedFrame { frame, descriptors } =
                receiver.next().await.expect("read").expect("a frame");
            assert_eq!(frame, connection(at));
            let [fd] = <[OwnedFd; 1]>::try_from(descriptors).expect("one");
            BlockingStream::from(fd)
                .write_all(&[at as u8])
                .expect("open");
            let mut said = [0];
            (&*there)
                .read_exact(&mut said)
                .expect("the same connection");
            assert_eq!(said, [at as u8]);
            let ReceivedFrame { frame, descriptors } =
                receiver.next().await.expect("read").expect("a frame");
            assert_eq!(
                (frame, descriptors.len()),
                (Frame::HeldDescriptors(at as u32), 0)
            );
        }
    };
    tokio::join!(send, receive);
    drop(sender);
}
