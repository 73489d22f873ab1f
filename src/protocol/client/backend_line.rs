//! The lines of a stream server.

use crate::api::Outcome;

/// Checks a stream server's first line: `Ok` if it takes the connection, otherwise how the attempt ended.
///
/// # Errors
/// The outcome of the attempt; one that the protocol does not have is [`Outcome::Reset`], as the stream server is at
/// fault and not the request.
pub fn check_first_answer(line: &str) -> Result<(), Outcome> {
    match line.split(' ').next().unwrap_or("") {
        "UP" => Ok(()),
        "BUSY" => Err(Outcome::Rejected),
        "MOVE" => Err(Outcome::Cancelled),
        "ERR" => Err(Outcome::Error),
        _ => Err(Outcome::Reset),
    }
}

/// A line of a stream server on an established connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BackendLine {
    /// `LOAD`: the connection's load from now on, finite and not negative.
    Load(f64),
    /// `BYE`: the connection is complete.
    Bye,
    /// `MOVE`: the client should reconnect elsewhere.
    Move,
    /// Anything else: the reply to a line of the client.
    Reply,
}

impl BackendLine {
    /// Reads a line, its end included.
    pub fn parse(line: &[u8]) -> Self {
        match line.trim_ascii_end() {
            b"BYE" => Self::Bye,
            b"MOVE" => Self::Move,
            line => parse_load(line).map_or(Self::Reply, Self::Load),
        }
    }
}

fn parse_load(line: &[u8]) -> Option<f64> {
    let figure = line.strip_prefix(b"LOAD ")?;
    let load = str::from_utf8(figure).ok()?.parse::<f64>().ok()?;
    Some(load).filter(|load| load.is_finite() && *load >= 0.0)
}
