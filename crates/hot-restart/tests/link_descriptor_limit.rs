//! A process at its descriptor limit on a link. Alone in this file: the test takes all descriptors of its process.

use spanspur_hot_restart::frame::Frame;
use spanspur_hot_restart::link::link;
use std::fs::File;
use std::os::fd::AsFd;
use tokio::net::UnixStream;

fn frame(number: u64) -> Frame {
    let payload = vec![number as u8; 100];
    Frame::Connection { number, payload }
}

/// Opens files until this process may not open any more.
fn take_all_descriptors() -> Vec<File> {
    let files = std::iter::from_fn(|| File::open("/dev/null").ok());
    files.collect()
}

/// Guards against a hand-over that breaks off because the newer process has no descriptor left for one connection.
#[tokio::test(flavor = "current_thread")]
async fn a_frame_whose_descriptors_are_missing_does_not_end_the_link() {
    let (one, two) = UnixStream::pair().expect("a pair");
    let ((sender, _), (_, mut receiver)) = (link(one), link(two));
    let sent = [(); 2].map(|()| File::open("/dev/null").expect("a descriptor is free"));
    let descriptors = [sent[0].as_fd(), sent[1].as_fd()];
    for number in 0..4 {
        let frame = frame(number);
        sender.send(&frame, &descriptors).await.expect("sent");
    }
    let mut files = take_all_descriptors();
    // No descriptor is free for the first frame, one for the second, and both for the third.
    for (number, free, expected) in [(0, 0, 0), (1, 1, 0), (2, 2, 2)] {
        files.truncate(files.len() - free);
        let received = receiver.next().await.expect("read").expect("a frame");
        assert_eq!(received.frame, frame(number));
        assert_eq!(received.descriptors.len(), expected, "frame {number}");
        files.extend(take_all_descriptors());
    }
    drop(files);
    let received = receiver.next().await.expect("read").expect("a frame");
    assert_eq!((received.frame, received.descriptors.len()), (frame(3), 2));
}
