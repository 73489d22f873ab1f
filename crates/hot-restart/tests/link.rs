//! Frames and descriptors over a Unix socket.

use spanspur_hot_restart::frame::Frame;
use spanspur_hot_restart::link::{ReceivedFrame, link};
use std::io::{Read, Write};
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream as BlockingStream;
use tokio::net::UnixStream;

/// A frame with a payload of 7000 bytes.
fn large_frame(index: usize) -> Frame {
    Frame::Connection {
        number: index as u64,
        payload: vec![index as u8; 7000],
    }
}

#[tokio::test(flavor = "current_thread")]
async fn open_descriptors_arrive_in_order_with_large_frames() {
    let (one, two) = UnixStream::pair().expect("a pair");
    let ((sender, _), (_, mut receiver)) = (link(one), link(two));
    let pairs: Vec<(BlockingStream, BlockingStream)> = (0..40)
        .map(|_| BlockingStream::pair().expect("a pair"))
        .collect();
    let send = async {
        for (index, (sent, _)) in pairs.iter().enumerate() {
            let frame = large_frame(index);
            sender.send(&frame, &[sent.as_fd()]).await.expect("sent");
            sender
                .send(&Frame::HeldDescriptors(index as u32), &[])
                .await
                .expect("sent");
        }
    };
    let receive = async {
        for (index, (_, other_end)) in pairs.iter().enumerate() {
            let ReceivedFrame { frame, descriptors } =
                receiver.next().await.expect("read").expect("a frame");
            assert_eq!(frame, large_frame(index));
            let [fd] = <[OwnedFd; 1]>::try_from(descriptors).expect("one");
            BlockingStream::from(fd)
                .write_all(&[index as u8])
                .expect("open");
            let mut byte = [0];
            (&*other_end)
                .read_exact(&mut byte)
                .expect("the same connection");
            assert_eq!(byte, [index as u8]);
            let ReceivedFrame { frame, descriptors } =
                receiver.next().await.expect("read").expect("a frame");
            assert_eq!(
                (frame, descriptors.len()),
                (Frame::HeldDescriptors(index as u32), 0)
            );
        }
    };
    tokio::join!(send, receive);
    drop(sender);
}
