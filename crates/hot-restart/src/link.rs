//! Carries frames over a Unix socket, and open descriptors beside them.

use crate::frame::{Frame, HEAD, MAX_DESCRIPTORS, MAX_FRAME, decode, encode};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, recvmsg, sendmsg,
};
use std::collections::VecDeque;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::rc::Rc;
use tokio::io::Interest;
use tokio::net::UnixStream;
use tokio::sync::Mutex;

/// Bytes read at once.
const CHUNK: usize = 16 * 1024;
/// Descriptors that one read brings at most: what the kernel lets a message hold.
const DESCRIPTORS_AT_ONCE: usize = 253;

/// Both ends of a link.
pub fn link(stream: UnixStream) -> (Sender, Receiver) {
    let stream = Rc::new(stream);
    let sender = Sender {
        stream: stream.clone(),
        turn: Mutex::new(()),
    };
    let receiver = Receiver {
        stream,
        bytes: Vec::new(),
        descriptors: VecDeque::new(),
    };
    (sender, receiver)
}

/// Sends frames, one after the other.
pub struct Sender {
    stream: Rc<UnixStream>,
    turn: Mutex<()>,
}

impl Sender {
    /// Sends a frame whole, and descriptors beside it, which stay open here. Not to be dropped halfway: the link is
    /// of no use after that.
    pub async fn send(&self, frame: &Frame, descriptors: &[BorrowedFd<'_>]) -> io::Result<()> {
        let bytes = encode(frame, descriptors.len()).map_err(io::Error::other)?;
        let _turn = self.turn.lock().await;
        let mut sent = 0;
        while sent < bytes.len() {
            // They go with the first bytes.
            let beside = if sent == 0 { descriptors } else { &[] };
            let write = || {
                let mut space =
                    [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
                let mut control = SendAncillaryBuffer::new(&mut space);
                if !beside.is_empty() && !control.push(SendAncillaryMessage::ScmRights(beside)) {
                    return Err(io::Error::other("too many descriptors"));
                }
                let left = [IoSlice::new(&bytes[sent..])];
                Ok(sendmsg(
                    &*self.stream,
                    &left,
                    &mut control,
                    SendFlags::NOSIGNAL,
                )?)
            };
            self.stream.writable().await?;
            match self.stream.try_io(Interest::WRITABLE, write) {
                Ok(n) => sent += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}

/// Receives frames.
pub struct Receiver {
    stream: Rc<UnixStream>,
    bytes: Vec<u8>,
    descriptors: VecDeque<OwnedFd>,
}

impl Receiver {
    /// The next frame with its descriptors; `None` at the end of the link. Safe to drop halfway.
    pub async fn next(&mut self) -> io::Result<Option<(Frame, Vec<OwnedFd>)>> {
        loop {
            let whole = decode(&self.bytes).map_err(io::Error::other)?;
            if let Some((frame, descriptors, length)) = whole {
                if self.descriptors.len() < descriptors {
                    return Err(io::Error::other(
                        "descriptors are missing: too many are open here",
                    ));
                }
                self.bytes.drain(..length);
                return Ok(Some((
                    frame,
                    self.descriptors.drain(..descriptors).collect(),
                )));
            }
            if self.bytes.len() > HEAD + MAX_FRAME {
                return Err(io::Error::other("a frame has no end"));
            }
            self.stream.readable().await?;
            let mut chunk = [0; CHUNK];
            let descriptors = &mut self.descriptors;
            let receive = || read(&self.stream, &mut chunk, descriptors);
            match self.stream.try_io(Interest::READABLE, receive) {
                Ok(0) => return Ok(None),
                Ok(n) => self.bytes.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
    }
}

fn read(
    stream: &UnixStream,
    chunk: &mut [u8],
    descriptors: &mut VecDeque<OwnedFd>,
) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(DESCRIPTORS_AT_ONCE))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut into = [IoSliceMut::new(chunk)];
    let message = recvmsg(stream, &mut into, &mut control, RecvFlags::CMSG_CLOEXEC)?;
    for beside in control.drain() {
        if let RecvAncillaryMessage::ScmRights(rights) = beside {
            descriptors.extend(rights);
        }
    }
    Ok(message.bytes)
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::{Read, Write};
    use std::os::fd::AsFd;
    use std::os::unix::net::UnixStream as Plain;

    #[tokio::test(flavor = "current_thread")]
    async fn open_connections_go_over_in_order_beside_large_frames() {
        let (one, two) = UnixStream::pair().expect("a pair");
        let ((sender, _), (_, mut receiver)) = (link(one), link(two));
        let pairs: Vec<(Plain, Plain)> = (0..40).map(|_| Plain::pair().expect("a pair")).collect();
        let send = async {
            for (at, (here, _)) in pairs.iter().enumerate() {
                let frame = Frame::Connection(at as u64, vec![at as u8; 7000]);
                sender.send(&frame, &[here.as_fd()]).await.expect("sent");
                sender
                    .send(&Frame::Held(at as u32), &[])
                    .await
                    .expect("sent");
            }
        };
        let receive = async {
            for (at, (_, there)) in pairs.iter().enumerate() {
                let (frame, descriptors) = receiver.next().await.expect("read").expect("a frame");
                assert_eq!(frame, Frame::Connection(at as u64, vec![at as u8; 7000]));
                let [fd] = <[OwnedFd; 1]>::try_from(descriptors).expect("one");
                Plain::from(fd).write_all(&[at as u8]).expect("open");
                let mut said = [0];
                (&*there)
                    .read_exact(&mut said)
                    .expect("the same connection");
                assert_eq!(said, [at as u8]);
                let (frame, descriptors) = receiver.next().await.expect("read").expect("a frame");
                assert_eq!((frame, descriptors.len()), (Frame::Held(at as u32), 0));
            }
        };
        tokio::join!(send, receive);
        drop(sender);
    }
}
