//! The newer process of a hot restart, scripted by the test.

use crate::peers::wait_until;
use spanspur_hot_restart::frame::{DecodedFrame, Frame, decode, encode};
use std::io::{ErrorKind, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

/// How long one read waits for data.
const READ_TIMEOUT: Duration = Duration::from_millis(10);

/// A link to a process in the role of its successor. The descriptors of transferred connections are discarded.
pub struct ScriptedSuccessor {
    stream: UnixStream,
    received: Vec<u8>,
    /// Whether the process has closed the link.
    is_closed: bool,
}

impl ScriptedSuccessor {
    /// Connects to the hot restart socket of the process.
    pub fn connect(socket: &Path) -> Self {
        Self::new(UnixStream::connect(socket).expect("the process listens"))
    }

    /// Uses this link to the process.
    pub fn new(stream: UnixStream) -> Self {
        stream
            .set_read_timeout(Some(READ_TIMEOUT))
            .expect("a timeout");
        Self {
            stream,
            received: Vec::new(),
            is_closed: false,
        }
    }

    pub fn send(&mut self, frame: &Frame) {
        let encoded = encode(frame, 0).expect("small");
        self.stream.write_all(&encoded).expect("sent");
    }

    /// Receives the next frame of this kind and skips others. `select` returns what the test needs of it.
    #[track_caller]
    pub fn receive<T>(&mut self, select: impl Fn(Frame) -> Option<T>) -> T {
        let mut selected = None;
        wait_until(|| {
            while let Some(frame) = self.next_frame() {
                selected = select(frame);
                if selected.is_some() {
                    return true;
                }
            }
            false
        });
        selected.expect("a frame")
    }

    /// Refuses every connection until the process closes the link, and returns how many were refused.
    pub fn refuse_connections(mut self) -> usize {
        let mut refused = 0;
        while !self.is_closed {
            let Some(number) = self.next_frame().and_then(connection_number) else {
                continue;
            };
            let taken_over = false;
            self.send(&Frame::Acknowledge { number, taken_over });
            refused += 1;
        }
        refused
    }

    /// Returns the next frame, or `None` if no complete frame has arrived.
    pub fn next_frame(&mut self) -> Option<Frame> {
        let mut chunk = [0; 4096];
        match self.stream.read(&mut chunk) {
            Ok(0) => self.is_closed = true,
            Ok(read) => self.received.extend_from_slice(&chunk[..read]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => panic!("cannot read from the process: {error}"),
        }
        let decoded = decode(&self.received).expect("a valid frame");
        let DecodedFrame { frame, length, .. } = decoded?;
        self.received.drain(..length);
        Some(frame)
    }
}

/// Selects the number of a transferred connection.
pub fn connection_number(frame: Frame) -> Option<u64> {
    match frame {
        Frame::Connection { number, .. } => Some(number),
        _ => None,
    }
}
