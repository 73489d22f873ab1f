//! One direction of an established connection. Only complete lines are forwarded, so that the balancer can insert a
//! line of its own between any two of them.

use crate::invariants;
use crate::protocol::client::{MAX_LINE, append_received};
use socket2::SockRef;
use std::io::ErrorKind;
use std::net::Shutdown;
use tokio::net::TcpStream;

/// What one step of a direction did.
#[derive(Debug, PartialEq)]
pub enum Step {
    /// Bytes were read from the source.
    Read,
    /// Bytes were written to the destination.
    Wrote,
    /// The end of the source was forwarded to the destination.
    Ended,
}

/// The side of a direction that failed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FailedSide {
    /// Reading from the source failed, or the source sent a line that is too long.
    Source,
    /// Writing to the destination failed.
    Destination,
}

/// One direction of a connection: the bytes read from its source and not yet written, and how far its end has come.
pub struct Direction {
    buffer: Vec<u8>,
    /// Number of bytes at the start of the buffer that may be written: the complete lines, or the whole buffer once the
    /// source has ended.
    writable: usize,
    /// End offsets in the buffer of the lines read since the last call of [`Self::take_line_ends`].
    line_ends: Vec<usize>,
    /// Whether the last byte written was not the last one of its line.
    is_within_line: bool,
    source_ended: bool,
    end_forwarded: bool,
}

impl Direction {
    /// Creates a direction whose buffer holds these bytes, read and not written yet.
    pub fn new(buffer: Vec<u8>) -> Self {
        let mut direction = Self {
            buffer,
            writable: 0,
            line_ends: Vec::new(),
            is_within_line: false,
            source_ended: false,
            end_forwarded: false,
        };
        direction.find_line_ends(0);
        direction
    }

    fn find_line_ends(&mut self, start: usize) {
        let unsearched = self.buffer[start..].iter().enumerate();
        let newlines = unsearched.filter(|(_, byte)| **byte == b'\n');
        self.line_ends
            .extend(newlines.map(|(at, _)| start + at + 1));
        self.writable = self.line_ends.last().copied().unwrap_or(self.writable);
    }

    /// Writes complete lines if there are any, else reads more. Once the source has ended and all is written, forwards
    /// the end; after that, the future never completes. Reading never grows the buffer past [`MAX_LINE`]. Cancel safe.
    ///
    /// # Errors
    /// Returns the side that failed.
    pub async fn step(
        &mut self,
        source: &TcpStream,
        destination: &TcpStream,
    ) -> Result<Step, FailedSide> {
        loop {
            if self.writable > 0 {
                let writable = destination.writable().await;
                writable.map_err(|_| FailedSide::Destination)?;
                if self.try_write(destination)? {
                    return Ok(Step::Wrote);
                }
            } else if self.source_ended {
                if self.end_forwarded {
                    return std::future::pending().await;
                }
                self.end_forwarded = true;
                let _ = SockRef::from(destination).shutdown(Shutdown::Write);
                return Ok(Step::Ended);
            } else {
                self.check_line_length()?;
                source.readable().await.map_err(|_| FailedSide::Source)?;
                if self.try_read(source)? {
                    return Ok(Step::Read);
                }
            }
        }
    }

    /// Writes without waiting. Returns `false` if the destination is not writable.
    fn try_write(&mut self, destination: &TcpStream) -> Result<bool, FailedSide> {
        match destination.try_write(&self.buffer[..self.writable]) {
            Ok(written) => {
                let last = self.buffer[..written].last();
                self.is_within_line = last.is_some_and(|byte| *byte != b'\n');
                self.buffer.drain(..written);
                self.writable -= written;
                Ok(true)
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(false),
            Err(_) => Err(FailedSide::Destination),
        }
    }

    /// Fails if the buffer is full with an incomplete line: an endless line ends its own connection instead of
    /// exhausting the memory of the process.
    fn check_line_length(&self) -> Result<(), FailedSide> {
        if self.buffer.len() < MAX_LINE {
            return Ok(());
        }
        invariants::count("line of an established connection is too long");
        Err(FailedSide::Source)
    }

    /// Reads without waiting. Returns `false` if there was nothing to read or the source has ended.
    fn try_read(&mut self, source: &TcpStream) -> Result<bool, FailedSide> {
        let mut chunk = [0; MAX_LINE];
        let capacity = MAX_LINE - self.buffer.len();
        match source.try_read(&mut chunk[..capacity]) {
            Ok(0) => {
                self.end_source();
                Ok(false)
            }
            Ok(read) => {
                let start = self.buffer.len();
                append_received(&mut self.buffer, &chunk[..read]);
                self.find_line_ends(start);
                Ok(true)
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(false),
            Err(_) => Err(FailedSide::Source),
        }
    }

    /// Takes the end offsets in the buffer of the lines read since the last call.
    pub fn take_line_ends(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.line_ends)
    }

    /// Stops reading from the source. An incomplete line at the end is forwarded as it is.
    pub fn end_source(&mut self) {
        self.source_ended = true;
        self.writable = self.buffer.len();
    }

    /// Ends the direction with a line of the balancer's own, after the complete lines in the buffer. Drops an
    /// incomplete line.
    pub fn end_with(&mut self, line: &[u8]) {
        self.buffer.truncate(self.writable);
        self.buffer.extend_from_slice(line);
        self.end_source();
    }

    /// Ends the direction after the line that is written in part, if there is one. Drops all other lines.
    pub fn end_after_current_line(&mut self) {
        let line_end = self.buffer.iter().position(|byte| *byte == b'\n');
        let kept = match (self.is_within_line, line_end) {
            (false, _) => 0,
            (true, Some(end)) => end + 1,
            (true, None) => self.buffer.len(),
        };
        self.buffer.truncate(kept);
        self.end_source();
    }

    /// The bytes that are read and not written yet.
    pub fn buffer(&self) -> &[u8] {
        &self.buffer
    }

    /// Whether complete lines, or the incomplete last line of a source that has ended, wait to be written.
    pub fn has_unwritten_lines(&self) -> bool {
        self.writable > 0
    }

    /// Whether nothing more is read from the source.
    pub fn has_source_ended(&self) -> bool {
        self.source_ended
    }

    /// Whether the end of the source has been forwarded to the destination.
    pub fn is_end_forwarded(&self) -> bool {
        self.end_forwarded
    }
}
