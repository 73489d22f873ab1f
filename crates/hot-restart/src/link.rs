//! Transmits frames and open descriptors over a Unix socket.

use crate::frame::{Frame, FrameError, HEADER, MAX_DESCRIPTORS, MAX_FRAME, decode, encode};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, ReturnFlags, SendAncillaryBuffer,
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
use tokio::sync::{Mutex, MutexGuard};

/// Size of the read buffer, in bytes.
const READ_CHUNK: usize = 16 * 1024;
/// Limit on the descriptors received by one read: the kernel's limit for a message (SCM_MAX_FD).
const MAX_DESCRIPTORS_PER_READ: usize = 253;

/// Why a frame could not be sent or received. The link is unusable after an error.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The frame itself is invalid.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The socket failed.
    #[error(transparent)]
    Socket(#[from] io::Error),
    /// A frame says that descriptors were sent with it, but none were.
    #[error("a frame was sent without its descriptors")]
    NoDescriptors,
    /// The buffer has more bytes than the longest frame, but no complete frame.
    #[error("received data exceeds the length of a frame")]
    TooMuchData,
}

impl LinkError {
    /// Whether the other process has closed the link, as it does when it exits.
    pub fn is_disconnect(&self) -> bool {
        use io::ErrorKind::{BrokenPipe, ConnectionReset};
        match self {
            Self::Socket(error) => matches!(error.kind(), BrokenPipe | ConnectionReset),
            _ => false,
        }
    }
}

/// A frame with the descriptors that were sent with it.
#[derive(Debug)]
pub struct ReceivedFrame {
    /// The frame.
    pub frame: Frame,
    /// The descriptors, now owned by this process. None if the kernel has dropped any of them because this process holds
    /// as many as it may; the link remains usable.
    pub descriptors: Vec<OwnedFd>,
}

/// The descriptors received by one read. The kernel ends a read after the bytes that descriptors were sent with, so they
/// all belong to one frame.
#[derive(Debug)]
struct DescriptorBatch {
    descriptors: Vec<OwnedFd>,
    /// Whether the kernel has dropped descriptors because this process holds as many as it may.
    is_truncated: bool,
}

/// Splits a stream into a sender and a receiver of frames.
pub fn link(stream: UnixStream) -> (Sender, Receiver) {
    let stream = Rc::new(stream);
    let sender = Sender {
        stream: stream.clone(),
        write_lock: Mutex::new(()),
    };
    let receiver = Receiver {
        stream,
        buffer: Vec::new(),
        batches: VecDeque::new(),
    };
    (sender, receiver)
}

/// Sends frames. Concurrent calls of [`Self::send`] are executed one after the other.
pub struct Sender {
    stream: Rc<UnixStream>,
    /// Held while a frame is written.
    write_lock: Mutex<()>,
}

impl Sender {
    /// Sends a complete frame together with descriptors, which stay open in this process. Not cancel safe: the link is
    /// unusable if the future is dropped before it completes.
    ///
    /// # Errors
    /// If the frame exceeds its limits or the socket fails.
    pub async fn send(
        &self,
        frame: &Frame,
        descriptors: &[BorrowedFd<'_>],
    ) -> Result<(), LinkError> {
        self.turn().await.send(frame, descriptors).await
    }

    /// Waits for the turn to send. A frame that states what has been sent before it is made only then.
    pub async fn turn(&self) -> SendTurn<'_> {
        SendTurn {
            stream: &self.stream,
            _guard: self.write_lock.lock().await,
        }
    }
}

/// The turn to send one frame. No other frame is sent while it is held.
pub struct SendTurn<'a> {
    stream: &'a UnixStream,
    _guard: MutexGuard<'a, ()>,
}

impl SendTurn<'_> {
    /// Sends a complete frame, as [`Sender::send`] does.
    ///
    /// # Errors
    /// If the frame exceeds its limits or the socket fails.
    pub async fn send(
        self,
        frame: &Frame,
        descriptors: &[BorrowedFd<'_>],
    ) -> Result<(), LinkError> {
        let bytes = encode(frame, descriptors.len())?;
        let mut sent = 0;
        while sent < bytes.len() {
            // The descriptors are sent with the first bytes.
            let attached = if sent == 0 { descriptors } else { &[] };
            self.stream.writable().await?;
            let write = || write(self.stream, &bytes[sent..], attached);
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
    /// The descriptors of the frames in the buffer that were sent with any, in order.
    batches: VecDeque<DescriptorBatch>,
}

impl Receiver {
    /// Receives the next frame. Returns `None` once the other process has closed the link; an incomplete frame is
    /// not reported. Cancel safe.
    ///
    /// # Errors
    /// If the received data is not a valid frame, a frame was sent without its descriptors, or the socket fails.
    pub async fn next(&mut self) -> Result<Option<ReceivedFrame>, LinkError> {
        loop {
            if let Some(received) = self.take_buffered()? {
                return Ok(Some(received));
            }
            if self.buffer.len() > HEADER + MAX_FRAME {
                return Err(LinkError::TooMuchData);
            }
            self.stream.readable().await?;
            let mut chunk = [0; READ_CHUNK];
            let batches = &mut self.batches;
            let read = || read(&self.stream, &mut chunk, batches);
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
        let descriptors = match decoded.descriptors {
            0 => Vec::new(),
            count => self.take_descriptors(count)?,
        };
        self.buffer.drain(..decoded.length);
        Ok(Some(ReceivedFrame {
            frame: decoded.frame,
            descriptors,
        }))
    }

    /// Takes the descriptors of the next frame that was sent with any; none if some are missing.
    fn take_descriptors(&mut self, count: usize) -> Result<Vec<OwnedFd>, LinkError> {
        let batch = self.batches.pop_front().ok_or(LinkError::NoDescriptors)?;
        let is_complete = !batch.is_truncated && batch.descriptors.len() == count;
        Ok(if is_complete {
            batch.descriptors
        } else {
            Vec::new()
        })
    }
}

fn read(
    stream: &UnixStream,
    chunk: &mut [u8],
    batches: &mut VecDeque<DescriptorBatch>,
) -> io::Result<usize> {
    let mut space =
        [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS_PER_READ))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut buffers = [IoSliceMut::new(chunk)];
    let message = recvmsg(stream, &mut buffers, &mut control, RecvFlags::CMSG_CLOEXEC)?;
    let mut descriptors = Vec::new();
    for ancillary in control.drain() {
        if let RecvAncillaryMessage::ScmRights(rights) = ancillary {
            descriptors.extend(rights);
        }
    }
    let is_truncated = message.flags.contains(ReturnFlags::CTRUNC);
    if is_truncated || !descriptors.is_empty() {
        batches.push_back(DescriptorBatch {
            descriptors,
            is_truncated,
        });
    }
    Ok(message.bytes)
}
