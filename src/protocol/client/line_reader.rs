//! Splits a TCP stream into lines.

use std::io;
use thiserror::Error;
use tokio::net::TcpStream;

/// The maximum length of a line, including its line ending, and the capacity of the buffer, in bytes.
pub const MAX_LINE: usize = 4096;

/// A line that cannot be read.
#[derive(Debug, Error)]
pub enum LineError {
    /// The buffer is full: it has [`MAX_LINE`] bytes that were not returned as lines yet.
    #[error("the line is too long")]
    TooLong,
    /// The line is not UTF-8, has control characters, or ends in LF alone.
    #[error("the line is not plain text ending in CRLF")]
    NotPlainText,
    /// The stream failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Appends received bytes to a buffer that they do not grow past [`MAX_LINE`]. The capacity of the buffer does not exceed
/// that either, which it could if it were doubled.
pub fn append_received(buffer: &mut Vec<u8>, received: &[u8]) {
    let length = buffer.len() + received.len();
    if length > buffer.capacity() {
        let capacity = length.next_power_of_two().min(MAX_LINE).max(length);
        buffer.reserve_exact(capacity - buffer.len());
    }
    buffer.extend_from_slice(received);
}

/// Reads lines from a stream and buffers the bytes that follow them. Its methods are cancel safe: no bytes are lost
/// when a future is dropped at an await point.
#[derive(Default)]
pub struct LineReader {
    buffer: Vec<u8>,
}

impl From<Vec<u8>> for LineReader {
    /// A reader whose buffer begins with bytes that were already read from the stream.
    fn from(buffer: Vec<u8>) -> Self {
        Self { buffer }
    }
}

impl LineReader {
    /// Reads more bytes into the buffer; `Ok(false)` at the end of the stream.
    ///
    /// # Errors
    /// If the buffer is full or the stream failed.
    pub async fn read_more(&mut self, stream: &TcpStream) -> Result<bool, LineError> {
        loop {
            // Bounds the memory per connection: callers disconnect a peer that sends more without waiting for a
            // response.
            if self.buffer.len() >= MAX_LINE {
                return Err(LineError::TooLong);
            }
            stream.readable().await?;
            let mut chunk = [0; MAX_LINE];
            let capacity = MAX_LINE - self.buffer.len();
            match stream.try_read(&mut chunk[..capacity]) {
                Ok(count) => {
                    append_received(&mut self.buffer, &chunk[..count]);
                    return Ok(count > 0);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error.into()),
            }
        }
    }

    /// The next line without its line ending; `None` at the end of the stream, even if it ends within a line.
    ///
    /// # Errors
    /// If the line is too long or not plain text, or the stream failed.
    pub async fn next_line(&mut self, stream: &TcpStream) -> Result<Option<String>, LineError> {
        loop {
            if let Some(line) = self.take_line()? {
                return Ok(Some(line));
            }
            if !self.read_more(stream).await? {
                return Ok(None);
            }
        }
    }

    /// A copy of the bytes that follow the lines returned so far.
    pub fn buffered(&self) -> Vec<u8> {
        self.buffer.clone()
    }

    /// Whether no bytes follow the lines returned so far.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// The bytes that follow the lines returned so far.
    pub fn into_buffered(self) -> Vec<u8> {
        self.buffer
    }

    fn take_line(&mut self) -> Result<Option<String>, LineError> {
        let Some(end) = self.buffer.iter().position(|&byte| byte == b'\n') else {
            return Ok(None);
        };
        let line: Vec<u8> = self.buffer.drain(..=end).collect();
        let text = line
            .strip_suffix(b"\r\n")
            .and_then(|line| str::from_utf8(line).ok())
            .filter(|text| !text.contains(|c: char| c.is_control()))
            .ok_or(LineError::NotPlainText)?;
        Ok(Some(text.to_owned()))
    }
}
