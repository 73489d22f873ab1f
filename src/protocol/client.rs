//! Lines that end in CRLF, and what the first line of each side says. The text of the client protocol's OPEN
//! line is known here and to `req` alone.

use crate::api::{Key, Outcome, Request, RequestId, ServerId, Time};
use std::io;
use tokio::net::TcpStream;

/// The longest line, its end included.
pub const MAX_LINE: usize = 4096;
/// Clients do not wait longer than this; it also keeps hostile figures out of the clock's arithmetic.
const MAX_WAIT_MS: u64 = 600_000;

/// What has been read of a stream and not been taken yet.
#[derive(Default)]
pub struct Lines {
    buf: Vec<u8>,
}

impl From<Vec<u8>> for Lines {
    fn from(buf: Vec<u8>) -> Self {
        Self { buf }
    }
}

impl Lines {
    /// Reads more. `Ok(false)` is the end of the stream. Safe to drop halfway.
    pub async fn fill(&mut self, stream: &TcpStream) -> io::Result<bool> {
        loop {
            // A peer that sends on and on before its turn costs its own connection, not our memory.
            if self.buf.len() >= MAX_LINE {
                return Err(io::Error::other("the line is too long"));
            }
            stream.readable().await?;
            let mut chunk = [0; MAX_LINE];
            let room = MAX_LINE - self.buf.len();
            match stream.try_read(&mut chunk[..room]) {
                Ok(n) => {
                    self.buf.extend_from_slice(&chunk[..n]);
                    return Ok(n > 0);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// The next line without its end; `None` at the end of the stream. Safe to drop halfway.
    pub async fn next(&mut self, stream: &TcpStream) -> io::Result<Option<String>> {
        loop {
            if let Some(at) = self.buf.iter().position(|&b| b == b'\n') {
                let line: Vec<u8> = self.buf.drain(..=at).collect();
                let text = line
                    .strip_suffix(b"\r\n")
                    .and_then(|l| str::from_utf8(l).ok());
                let plain = text.filter(|t| !t.contains(|c: char| c.is_control()));
                let odd = || io::Error::other("the line is not plain text ending in CRLF");
                return plain.map(|t| Some(t.to_owned())).ok_or_else(odd);
            }
            if !self.fill(stream).await? {
                return Ok(None);
            }
        }
    }

    /// What has been read and not been taken yet.
    pub fn read(&self) -> Vec<u8> {
        self.buf.clone()
    }

    /// Nothing came after the lines taken.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// What came after the lines taken.
    pub fn rest(self) -> Vec<u8> {
        self.buf
    }
}

/// The first line of a client that wants a connection.
#[derive(Debug)]
pub struct OpenRequest {
    /// What it asks for; `due` is left to the reader, who has the clock.
    pub request: Request,
    /// How long the client will wait.
    pub wait: Time,
    /// Open at this server already.
    pub at: Option<ServerId>,
    /// The line around the figure of its wait.
    head: String,
    tail: String,
}

impl OpenRequest {
    /// Reads the line; the error says what is wrong with it.
    pub fn parse(line: &str, classes: &[String], groups: bool) -> Result<Self, &'static str> {
        let words: Vec<&str> = line.split(' ').collect();
        let ["OPEN", id, key, fields] = words[..] else {
            return Err("not OPEN with an id, a key and fields");
        };
        let hex = |b: u8| matches!(b, b'0'..=b'9' | b'a'..=b'f');
        let plain = id.len() == 16 && id.bytes().all(hex);
        let id = u64::from_str_radix(id, 16).ok().filter(|_| plain);
        let id = id.ok_or("the id is not 16 hex digits")?;
        if key.is_empty() || !line.is_ascii() {
            return Err("the key is missing, or the line is not ASCII");
        }
        let mut request = Request::new(RequestId(id), 0, 0.0);
        request.key = Some(Key::of(key));
        let (mut class, mut wait, mut at) = (None, None, None);
        let mut offset = line.len() - fields.len();
        for field in fields.split(',') {
            let (name, value) = field.split_once('=').ok_or("a field has no '='")?;
            if value.is_empty() {
                return Err("a field is empty");
            }
            let twice = match name {
                "c" => {
                    let place = classes.iter().position(|c| c == value);
                    class
                        .replace(place.ok_or("the class is unknown")?)
                        .is_some()
                }
                "d" => {
                    let digits = value.bytes().all(|b| b.is_ascii_digit());
                    let ms = value.parse::<u64>().ok().filter(|_| digits);
                    let ms = ms.ok_or("'d' is not a whole number")?.min(MAX_WAIT_MS);
                    let start = offset + "d=".len();
                    wait.replace((ms, start, start + value.len())).is_some()
                }
                "g" => groups && request.group.replace(Key::of(value)).is_some(),
                "at" => at.replace(ServerId::of(value)).is_some(),
                "again" => {
                    request.is_reconnect = value == "1";
                    false
                }
                "h" => {
                    let hint = value.parse::<f64>().ok();
                    request.load_hint = hint.filter(|h| h.is_finite() && *h >= 0.0);
                    false
                }
                _ => false,
            };
            if twice {
                return Err("a field is there twice");
            }
            offset += field.len() + 1;
        }
        request.class = class.ok_or("the class is missing")?;
        let (ms, start, end) = wait.ok_or("'d' is missing")?;
        Ok(Self {
            request,
            wait: ms as f64 / 1000.0,
            at,
            head: line[..start].to_owned(),
            tail: line[end..].to_owned(),
        })
    }

    /// The line for a stream server: unchanged, but for how long this balancer will wait.
    pub fn for_backend(&self, ms: u64) -> String {
        format!("{}{ms}{}\r\n", self.head, self.tail)
    }
}

/// What a stream server's first line means for the attempt.
pub fn first_answer(line: &str) -> Result<(), Outcome> {
    match line.split(' ').next().unwrap_or("") {
        "UP" => Ok(()),
        "BUSY" => Err(Outcome::Rejected),
        "MOVE" => Err(Outcome::Cancelled),
        "ERR" => Err(Outcome::Error),
        // It is the backend that is broken here, not the request.
        _ => Err(Outcome::Reset),
    }
}

/// What a line of a standing connection's stream server says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Said {
    /// The connection's load now.
    Load(f64),
    /// The connection is served to its end.
    Bye,
    /// The client is to go elsewhere.
    Move,
    /// Anything else: the answer to a line.
    Reply,
}

impl Said {
    /// Reads a line, its end included.
    pub fn parse(line: &[u8]) -> Self {
        match line.trim_ascii_end() {
            b"BYE" => Self::Bye,
            b"MOVE" => Self::Move,
            line => {
                let load = line.strip_prefix(b"LOAD ").map(str::from_utf8);
                let load = load.and_then(|text| text.ok()?.parse::<f64>().ok());
                load.filter(|x| x.is_finite() && *x >= 0.0)
                    .map_or(Self::Reply, Self::Load)
            }
        }
    }
}

#[cfg(test)]
mod tests;
