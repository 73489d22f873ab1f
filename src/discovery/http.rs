//! HTTP/1.1 as a client of discovery needs it: one GET at a time on a kept-alive connection.

use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// The most that a head and a body may hold.
const MAX_HEAD: u64 = 16 * 1024;
const MAX_BODY: u64 = 4 * 1024 * 1024;

/// A connection, kept open between calls.
pub struct Connection {
    stream: BufReader<TcpStream>,
    runtime: SocketAddr,
    /// The other side keeps it open after the last answer.
    pub alive: bool,
}

/// An answer.
pub struct Response {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: Vec<u8>,
}

fn odd(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

impl Connection {
    /// Connects.
    pub async fn open(runtime: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(runtime).await?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream: BufReader::new(stream),
            runtime,
            alive: true,
        })
    }

    /// Nothing is there that nobody asked for: neither an answer that came twice nor the end.
    pub fn quiet(&self) -> bool {
        let nothing = self.stream.get_ref().try_read(&mut [0]);
        self.stream.buffer().is_empty()
            && nothing.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a GET and reads the answer.
    pub async fn get(&mut self, path: &str) -> io::Result<Response> {
        let runtime = self.runtime;
        let head =
            format!("GET {path} HTTP/1.1\r\nHost: {runtime}\r\nAccept: application/json\r\n\r\n");
        self.alive = false;
        self.stream.write_all(head.as_bytes()).await?;
        let status = self.line(MAX_HEAD).await?;
        let mut words = status.split(' ');
        let version = words.next().unwrap_or("");
        let status = words.next().and_then(|code| code.parse().ok());
        let status = status
            .filter(|_| version.starts_with("HTTP/1."))
            .ok_or_else(|| odd("no status"))?;
        let (mut length, mut chunked, mut keep) = (None, false, version == "HTTP/1.1");
        let mut room = MAX_HEAD;
        loop {
            let header = self.line(room).await?;
            room = room.saturating_sub(header.len() as u64 + 2);
            if header.is_empty() {
                break;
            }
            let (name, value) = header
                .split_once(':')
                .ok_or_else(|| odd("a header has no colon"))?;
            let value = value.trim().to_ascii_lowercase();
            match name.to_ascii_lowercase().as_str() {
                "content-length" => {
                    let n = value.parse::<u64>().ok().filter(|n| *n <= MAX_BODY);
                    length = Some(n.ok_or_else(|| odd("the length is no number, or too large"))?);
                }
                "transfer-encoding" => chunked = value.ends_with("chunked"),
                "connection" if value.contains("close") => keep = false,
                "connection" if value.contains("keep-alive") => keep = true,
                _ => {}
            }
        }
        let body = match length {
            _ if chunked => self.chunks().await?,
            Some(length) => self.exactly(length).await?,
            None if matches!(status, 204 | 304) => Vec::new(),
            None => {
                keep = false;
                let mut body = Vec::new();
                (&mut self.stream)
                    .take(MAX_BODY)
                    .read_to_end(&mut body)
                    .await?;
                body
            }
        };
        self.alive = keep;
        Ok(Response { status, body })
    }

    async fn line(&mut self, room: u64) -> io::Result<String> {
        let mut line = Vec::new();
        (&mut self.stream)
            .take(room)
            .read_until(b'\n', &mut line)
            .await?;
        match line.strip_suffix(b"\n") {
            Some(text) => {
                let text = text.strip_suffix(b"\r").unwrap_or(text);
                String::from_utf8(text.to_vec()).map_err(|_| odd("a line is not text"))
            }
            None if line.is_empty() => Err(io::ErrorKind::UnexpectedEof.into()),
            None => Err(odd("a line is cut off or too long")),
        }
    }

    async fn exactly(&mut self, length: u64) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        let read = (&mut self.stream)
            .take(length)
            .read_to_end(&mut body)
            .await?;
        if read as u64 == length {
            Ok(body)
        } else {
            Err(io::ErrorKind::UnexpectedEof.into())
        }
    }

    async fn chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let size = self.line(MAX_HEAD).await?;
            let digits = size.split(';').next().unwrap_or("").trim();
            let size = u64::from_str_radix(digits, 16).map_err(|_| odd("a chunk has no size"))?;
            if size > MAX_BODY - body.len() as u64 {
                return Err(odd("the body is too large"));
            }
            body.extend(self.exactly(size).await?);
            // After the data, or after the last chunk and its trailers, there is an empty line.
            while !self.line(MAX_HEAD).await?.is_empty() {
                if size > 0 {
                    return Err(odd("a chunk is longer than its size"));
                }
            }
            if size == 0 {
                return Ok(body);
            }
        }
    }
}
