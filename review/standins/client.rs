//! Clients: an ordinary one, which sends a line every 2 s, and the reading of lines that all parties share.

use crate::record;
use crate::util;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// What a connection brought next.
#[derive(Debug, PartialEq)]
pub enum Next {
    Line(String),
    /// The end of the connection.
    End,
    /// The connection was reset.
    Reset,
    /// Nothing until the time given.
    Nothing,
}

/// Reads lines that end in CRLF.
pub struct Lines {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Lines {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn next(&mut self, until: Instant) -> Next {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Next::Line(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Next::Nothing;
            }
            let _ = self
                .stream
                .set_read_timeout(Some(left.max(Duration::from_millis(1))));
            let mut chunk = [0; 4096];
            match self.stream.read(&mut chunk) {
                Ok(0) => return Next::End,
                Ok(read) => self.buffer.extend_from_slice(&chunk[..read]),
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Next::Reset,
            }
        }
    }
}

/// An open connection of an ordinary client.
pub struct Client {
    pub id: String,
    pub name: String,
    stream: TcpStream,
    lines: Lines,
    next_line_at: Instant,
    sent: u64,
}

/// How an open connection ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    /// With `MOVE`.
    Moved,
    /// With the end of the connection or a reset, and no `MOVE`.
    Cut,
    /// A line was not answered within the time in which a connection has to be ended or moved.
    Silent,
    /// Not at all: the client was told to stop.
    Open,
}

/// How the opening of a connection ended.
pub enum Opened {
    Up(Box<Client>),
    /// The balancer's answer.
    Answer(String),
    /// The connection could not be made, or ended with no answer.
    None(String),
}

/// The first line of an ordinary client.
pub fn first_line(
    id: &str,
    key: &str,
    group: &str,
    class: &str,
    deadline_ms: u64,
    again: bool,
) -> String {
    let again = if again { ",again=1" } else { "" };
    format!("OPEN {id} {key} c={class},d={deadline_ms},g={group}{again}\r\n")
}

/// Opens a connection, and waits for its answer until half a second after the deadline.
pub fn open(name: &str, balancer: SocketAddr, id: &str, line: &str, deadline_ms: u64) -> Opened {
    let wait = Duration::from_millis(deadline_ms + 500);
    let mut stream = match TcpStream::connect_timeout(&balancer, Duration::from_secs(2)) {
        Ok(stream) => stream,
        Err(error) => return Opened::None(format!("not connected: {error}")),
    };
    let _ = stream.set_nodelay(true);
    if let Err(error) = stream.write_all(line.as_bytes()) {
        return Opened::None(format!("not sent: {error}"));
    }
    let Ok(reading) = stream.try_clone() else {
        return Opened::None("no descriptor".into());
    };
    let mut lines = Lines::new(reading);
    match lines.next(Instant::now() + wait) {
        Next::Line(answer) if answer.starts_with("UP ") => {
            record::line(format!("client {name}: {} -> {answer}", line.trim_end()));
            let next_line_at = Instant::now() + Duration::from_millis(util::random() % 2000);
            let (id, name) = (id.to_owned(), name.to_owned());
            Opened::Up(Box::new(Client {
                id,
                name,
                stream,
                lines,
                next_line_at,
                sent: 0,
            }))
        }
        Next::Line(answer) => Opened::Answer(answer),
        other => Opened::None(format!("{other:?} instead of an answer")),
    }
}

impl Client {
    /// Sends a line every 2 s and reads, until the connection ends or `stop` says so.
    pub fn stay(&mut self, stop: impl Fn() -> bool) -> Ending {
        let mut unanswered_since: Option<Instant> = None;
        loop {
            if stop() {
                return Ending::Open;
            }
            if Instant::now() >= self.next_line_at {
                self.next_line_at += Duration::from_secs(2);
                self.sent += 1;
                let line = format!("line {} of {}\r\n", self.sent, self.id);
                let _ = self.stream.write_all(line.as_bytes());
                unanswered_since.get_or_insert_with(Instant::now);
            }
            if unanswered_since.is_some_and(|since| since.elapsed() > Duration::from_secs(8)) {
                return self.end(Ending::Silent, "silent for 8 s");
            }
            let until = self
                .next_line_at
                .min(Instant::now() + Duration::from_millis(50));
            match self.lines.next(until) {
                Next::Line(line) if line == "MOVE" => return self.end(Ending::Moved, "MOVE"),
                Next::Line(line) if line.starts_with("LOAD ") => {}
                Next::Line(_) => unanswered_since = None,
                Next::End => return self.end(Ending::Cut, "ended with no MOVE"),
                Next::Reset => return self.end(Ending::Cut, "reset with no MOVE"),
                Next::Nothing => {}
            }
        }
    }

    fn end(&self, ending: Ending, text: &str) -> Ending {
        record::line(format!("client {}: {} {text}", self.name, self.id));
        ending
    }
}
