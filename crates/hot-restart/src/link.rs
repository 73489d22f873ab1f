//! Carries frames over a Unix socket, with open descriptors beside them.

use crate::frame::{Frame, FrameError, HEADER, MAX_DESCRIPTORS, MAX_FRAME, decode, encode};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, recvmsg, sendmsg,
};
use std::collections::VecDeque;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::rc::Rc;
use thiserror::Error;
use tokio::io::Interest;
use tokio::net::UnixStream;
use tokio::sync::Mutex;

/// Bytes read at once.
const READ_CHUNK: usize = 16 * 1024;
/// Descriptors that one read brings at most: the kernel's limit for a message.
const MAX_DESCRIPTORS_PER_READ: usize = 253;

/// Why a frame could not be sent or received. The link is of no use after it.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The frame itself is invalid.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The socket failed.
    #[error(transparent)]
    Socket(#[from] io::Error),
    /// The kernel dropped descriptors that were sent beside the frame.
    #[error("descriptors are missing: too many are open here")]
    DescriptorsMissing,
    /// More bytes were received than a frame may have.
    #[error("a frame has no end")]
    Unterminated,
}

/// A frame with the descriptors that were sent beside it.
#[derive(Debug)]
pub struct ReceivedFrame {
    /// The frame.
    pub frame: Frame,
    /// The descriptors, owned by this process from here on.
    pub descriptors: Vec<OwnedFd>,
}

/// Splits a stream into its sending and its receiving half.
pub fn link(stream: UnixStream) -> (Sender, Receiver) {
    let stream = Rc::new(stream);
    let sender = Sender {
        stream: stream.clone(),
        turn: Mutex::new(()),
    };
    let receiver = Receiver {
        stream,
        buffer: Vec::new(),
        descriptors: VecDeque::new(),
    };
    (sender, receiver)
}

/// Sends frames, one after the other.
pub struct Sender {
    stream: Rc<UnixStream>,
    /// Held while a frame is written.
    turn: Mutex<()>,
}

impl Sender {
    /// Sends a complete frame, and descriptors beside it, which stay open here. Must not be dropped before it completes:
    /// the link is of no use after that.
    pub async fn send(
        &self,
        frame: &Frame,
        descriptors: &[BorrowedFd<'_>],
    ) -> Result<(), LinkError> {
        let bytes = encode(frame, descriptors.len())?;
        let _turn = self.turn.lock().await;
        let mut sent = 0;
        while sent < bytes.len() {
            // The descriptors go with the first bytes.
            let beside = if sent == 0 { descriptors } else { &[] };
            self.stream.writable().await?;
            let write = || write(&self.stream, &bytes[sent..], beside);
            match self.stream.try_io(Interest::WRITABLE, write) {
                Ok(written) => sent += written,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e.into()),
            }
        }
        Ok(())
    }
}

fn write(stream: &UnixStream, bytes: &[u8], descriptors: &[BorrowedFd<'_>]) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    let rights = SendAncillaryMessage::ScmRights(descriptors);
    if !descriptors.is_empty() && !control.push(rights) {
        return Err(io::Error::other("too many descriptors"));
    }
    let bytes = [IoSlice::new(bytes)];
    Ok(sendmsg(stream, &bytes, &mut control, SendFlags::NOSIGNAL)?)
}

/// Receives frames.
pub struct Receiver {
    stream: Rc<UnixStream>,
    buffer: Vec<u8>,
    descriptors: VecDeque<OwnedFd>,
}

impl Receiver {
    /// Receives the next frame; `None` at the end of the link. May be dropped before it completes.
    pub async fn next(&mut self) -> Result<Option<ReceivedFrame>, LinkError> {
        loop {
            if let Some(received) = self.take_buffered()? {
                return Ok(Some(received));
            }
            if self.buffer.len() > HEADER + MAX_FRAME {
                return Err(LinkError::Unterminated);
            }
            self.stream.readable().await?;
            let mut chunk = [0; READ_CHUNK];
            let descriptors = &mut self.descriptors;
            let read = || read(&self.stream, &mut chunk, descriptors);
            match self.stream.try_io(Interest::READABLE, read) {
                Ok(0) => return Ok(None),
                Ok(n) => self.buffer.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e.into()),
            }
        }
    }

    fn take_buffered(&mut self) -> Result<Option<ReceivedFrame>, LinkError> {
        let Some(decoded) = decode(&self.buffer)? else {
            return Ok(None);
        };
        if self.descriptors.len() < decoded.descriptors {
            return Err(LinkError::DescriptorsMissing);
        }
        self.buffer.drain(..decoded.length);
        Ok(Some(ReceivedFrame {
            frame: decoded.frame,
            descriptors: self.descriptors.drain(..decoded.descriptors).collect(),
        }))
    }
}

fn read(
    stream: &UnixStream,
    chunk: &mut [u8],
    descriptors: &mut VecDeque<OwnedFd>,
) -> io::Result<usize> {
    let mut space =
        [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS_PER_READ))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut buffers = [IoSliceMut::new(chunk)];
    let message = recvmsg(stream, &mut buffers, &mut control, RecvFlags::CMSG_CLOEXEC)?;
    for ancillary in control.drain() {
        if let RecvAncillaryMessage::ScmRights(rights) = ancillary {
            descriptors.extend(rights);
        }
    }
    Ok(message.bytes)
}
