//! A minimal HTTP/1.1 client for discovery: one GET at a time on a kept-alive connection.

use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// The maximum length of a status line, of all headers together, and of a line in a chunked body, in bytes.
const MAX_HEAD: u64 = 16 * 1024;
/// The maximum length of a response body, in bytes.
const MAX_BODY: u64 = 4 * 1024 * 1024;

/// Why a request failed.
#[derive(Debug, Error)]
pub enum HttpError {
    /// The connection failed or was closed.
    #[error(transparent)]
    Connection(#[from] io::Error),
    /// The first line is not an HTTP/1 status line.
    #[error("invalid status line")]
    InvalidStatusLine,
    /// A header is not a name and a value.
    #[error("header without a colon")]
    InvalidHeader,
    /// `Content-Length` is not a number or is over the maximum length of a body.
    #[error("invalid or too large Content-Length")]
    InvalidLength,
    /// A line is not UTF-8.
    #[error("line is not UTF-8")]
    LineNotText,
    /// A line, or the headers together, exceed their maximum length, or the connection was closed within a line.
    #[error("line is truncated or too long")]
    LineTooLong,
    /// A chunk does not begin with its size.
    #[error("chunk without a valid size")]
    InvalidChunkSize,
    /// A chunk does not end after its size.
    #[error("chunk is longer than its size")]
    ChunkTooLong,
    /// The chunks add up to more than the maximum length of a body.
    #[error("chunked body is too large")]
    BodyTooLarge,
}

/// A connection that is kept open between requests.
pub struct Connection {
    stream: BufReader<TcpStream>,
    host: SocketAddr,
    /// Whether the last response allows another request; false while a request is in progress.
    reusable: bool,
}

/// A response, without its headers.
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The decoded body.
    pub body: Vec<u8>,
}

/// The status line of a response.
struct StatusLine {
    status: u16,
    /// Whether this version of HTTP keeps connections alive by default.
    keeps_alive: bool,
}

/// The headers that describe the body and the connection.
struct Headers {
    content_length: Option<u64>,
    chunked: bool,
    /// Whether the connection stays open after the response.
    keeps_alive: bool,
}

impl Connection {
    /// Connects to `host`. Like the other methods, it has no timeout of its own.
    ///
    /// # Errors
    /// If the host cannot be reached.
    pub async fn open(host: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(host).await?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream: BufReader::new(stream),
            host,
            reusable: true,
        })
    }

    /// Whether the connection can be used for another request.
    pub fn is_reusable(&self) -> bool {
        self.reusable
    }

    /// Whether nothing was received since the last response: neither unexpected bytes nor the end of the connection.
    pub fn is_idle(&self) -> bool {
        let read = self.stream.get_ref().try_read(&mut [0]);
        let would_block = read.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock);
        self.stream.buffer().is_empty() && would_block
    }

    /// Sends a GET request and reads the response. After an error the connection cannot be used again.
    ///
    /// # Errors
    /// If the connection fails, or the response is not HTTP/1 within the limits.
    pub async fn get(&mut self, path: &str) -> Result<Response, HttpError> {
        self.reusable = false;
        self.send_get(path).await?;
        let StatusLine {
            status,
            keeps_alive,
        } = self.read_status_line().await?;
        let headers = self.read_headers(keeps_alive).await?;
        let has_length = headers.chunked || headers.content_length.is_some();
        let body = match headers.content_length {
            _ if headers.chunked => self.read_chunks().await?,
            Some(length) => self.read_exactly(length).await?,
            None if has_no_body(status) => Vec::new(),
            None => self.read_to_end().await?,
        };
        self.reusable = headers.keeps_alive && (has_length || has_no_body(status));
        Ok(Response { status, body })
    }

    async fn send_get(&mut self, path: &str) -> io::Result<()> {
        let host = self.host;
        let head =
            format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n");
        self.stream.write_all(head.as_bytes()).await
    }

    async fn read_status_line(&mut self) -> Result<StatusLine, HttpError> {
        let line = self.read_line(MAX_HEAD).await?;
        let mut words = line.split(' ');
        let version = words.next().unwrap_or("");
        let status = words.next().and_then(|code| code.parse().ok());
        let status = status.filter(|_| version.starts_with("HTTP/1."));
        Ok(StatusLine {
            status: status.ok_or(HttpError::InvalidStatusLine)?,
            keeps_alive: version == "HTTP/1.1",
        })
    }

    async fn read_headers(&mut self, keeps_alive: bool) -> Result<Headers, HttpError> {
        let mut headers = Headers {
            content_length: None,
            chunked: false,
            keeps_alive,
        };
        let mut limit = MAX_HEAD;
        loop {
            let line = self.read_line(limit).await?;
            limit = limit.saturating_sub(line.len() as u64 + 2);
            if line.is_empty() {
                return Ok(headers);
            }
            headers.apply(&line)?;
        }
    }

    /// Reads a line of at most `limit` bytes, and returns it without its line ending: CRLF or LF alone.
    async fn read_line(&mut self, limit: u64) -> Result<String, HttpError> {
        let mut line = Vec::new();
        let mut limited = (&mut self.stream).take(limit);
        limited.read_until(b'\n', &mut line).await?;
        match line.strip_suffix(b"\n") {
            Some(text) => {
                let text = text.strip_suffix(b"\r").unwrap_or(text);
                String::from_utf8(text.to_vec()).map_err(|_| HttpError::LineNotText)
            }
            None if line.is_empty() => Err(unexpected_end()),
            None => Err(HttpError::LineTooLong),
        }
    }

    async fn read_exactly(&mut self, length: u64) -> Result<Vec<u8>, HttpError> {
        let mut body = Vec::new();
        let mut limited = (&mut self.stream).take(length);
        let read = limited.read_to_end(&mut body).await?;
        if read as u64 == length {
            Ok(body)
        } else {
            Err(unexpected_end())
        }
    }

    /// Reads until the connection is closed, at most [`MAX_BODY`] bytes.
    async fn read_to_end(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        let mut limited = (&mut self.stream).take(MAX_BODY);
        limited.read_to_end(&mut body).await?;
        Ok(body)
    }

    async fn read_chunks(&mut self) -> Result<Vec<u8>, HttpError> {
        let mut body = Vec::new();
        loop {
            let size = parse_chunk_size(&self.read_line(MAX_HEAD).await?)?;
            if size > MAX_BODY - body.len() as u64 {
                return Err(HttpError::BodyTooLarge);
            }
            body.extend(self.read_exactly(size).await?);
            // The data of a chunk, and the trailers after the last chunk, end with an empty line.
            while !self.read_line(MAX_HEAD).await?.is_empty() {
                if size > 0 {
                    return Err(HttpError::ChunkTooLong);
                }
            }
            if size == 0 {
                return Ok(body);
            }
        }
    }
}

impl Headers {
    fn apply(&mut self, line: &str) -> Result<(), HttpError> {
        let (name, value) = line.split_once(':').ok_or(HttpError::InvalidHeader)?;
        let value = value.trim().to_ascii_lowercase();
        match name.to_ascii_lowercase().as_str() {
            "content-length" => {
                let length = value.parse().ok().filter(|length| *length <= MAX_BODY);
                self.content_length = Some(length.ok_or(HttpError::InvalidLength)?);
            }
            "transfer-encoding" => self.chunked = value.ends_with("chunked"),
            "connection" if value.contains("close") => self.keeps_alive = false,
            "connection" if value.contains("keep-alive") => self.keeps_alive = true,
            _ => {}
        }
        Ok(())
    }
}

/// Whether a response with this status never has a body, regardless of its headers.
fn has_no_body(status: u16) -> bool {
    matches!(status, 204 | 304)
}

fn parse_chunk_size(line: &str) -> Result<u64, HttpError> {
    let digits = line.split(';').next().unwrap_or("").trim();
    u64::from_str_radix(digits, 16).map_err(|_| HttpError::InvalidChunkSize)
}

/// The error for a connection that was closed within a response.
fn unexpected_end() -> HttpError {
    io::Error::from(io::ErrorKind::UnexpectedEof).into()
}
