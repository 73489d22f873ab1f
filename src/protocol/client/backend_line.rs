//! Lines that a stream server sends.

use crate::api::Outcome;

/// Checks a stream server's first line: `Ok` if it accepts the connection.
///
/// # Errors
/// The outcome of the failed attempt. A line that the protocol does not define is [`Outcome::Reset`]: the stream server
/// is at fault, not the request.
pub fn check_first_answer(line: &str) -> Result<(), Outcome> {
    match line.split(' ').next().unwrap_or("") {
        "UP" => Ok(()),
        "BUSY" => Err(Outcome::Rejected),
        "MOVE" => Err(Outcome::Cancelled),
        "ERR" => Err(Outcome::Error),
        _ => Err(Outcome::Reset),
    }
}

/// A line that a stream server sends on an established connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BackendLine {
    /// `LOAD`: a number that the server reports on the connection, finite and not negative. It is either the
    /// connection's load, in microseconds of work per second, or the latency of a message at the server, in
    /// milliseconds; the line does not tell which.
    Load(f64),
    /// `BYE`: the connection has ended successfully.
    Bye,
    /// `MOVE`: the client should reconnect elsewhere.
    Move,
    /// Anything else: the reply to a client's line.
    Reply,
}

impl BackendLine {
    /// Parses a line, including its line ending.
    pub fn parse(line: &[u8]) -> Self {
        match line.trim_ascii_end() {
            b"BYE" => Self::Bye,
            b"MOVE" => Self::Move,
            line => parse_load(line).map_or(Self::Reply, Self::Load),
        }
    }
}

fn parse_load(line: &[u8]) -> Option<f64> {
    let number = line.strip_prefix(b"LOAD ")?;
    let load = str::from_utf8(number).ok()?.parse::<f64>().ok()?;
    Some(load).filter(|load| load.is_finite() && *load >= 0.0)
}
