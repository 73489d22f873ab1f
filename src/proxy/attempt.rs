//! A fetch: one attempt at one backend, from connecting to its first line.

use crate::api::{Outcome, ServerId, Time};
use crate::protocol::client::{LineReader, check_first_answer};
use crate::runtime::{Runtime, duration};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout_at;

/// A backend that has taken the connection.
pub struct Backend {
    /// The connection.
    pub stream: TcpStream,
    /// Its first line, as it came.
    pub answer: String,
    /// What came after that line.
    pub rest: Vec<u8>,
}

/// What may be sent where.
#[derive(Clone, Copy, PartialEq)]
pub enum Kind {
    /// New work, only for a backend that takes some.
    New,
    /// A connection that is open there already.
    Again,
}

/// Tries a backend until `until`. `first` writes the first line, given the milliseconds that are left, unless there is
/// nobody left to send it for. The connection is closed by the time an error comes back, so that the next attempt is the
/// only one out.
pub async fn fetch(
    runtime: &Runtime,
    server: ServerId,
    kind: Kind,
    until: Time,
    first: impl Fn(u64) -> Option<String>,
) -> Result<Backend, Outcome> {
    let Some(address) = runtime.endpoint_address(server) else {
        return Err(Outcome::NotSent);
    };
    let end = runtime.instant(until);
    let up_by = end.min(
        tokio::time::Instant::now() + duration(runtime.process_config().config.connect_timeout),
    );
    let connecting = timeout_at(up_by, TcpStream::connect(address)).await;
    let Ok(Ok(mut stream)) = connecting else {
        return Err(Outcome::ConnectFailed);
    };
    // Connecting takes time, in which the director may have learnt that the backend drains or is gone, or
    // the attempt's time may have run out: nothing may be sent then.
    let left = duration(until - runtime.now());
    if left < Duration::from_millis(1)
        || (kind == Kind::New && !runtime.accepts_new_requests(server))
    {
        return Err(Outcome::NotSent);
    }
    let Some(line) = first(left.as_millis() as u64) else {
        return Err(Outcome::NotSent);
    };
    if stream.set_nodelay(true).is_err() || stream.write_all(line.as_bytes()).await.is_err() {
        return Err(Outcome::ConnectFailed);
    }
    let mut lines = LineReader::default();
    match timeout_at(end, lines.next_line(&stream)).await {
        Err(_) => Err(Outcome::Timeout),
        Ok(Ok(Some(answer))) => {
            check_first_answer(&answer)?;
            Ok(Backend {
                stream,
                answer,
                rest: lines.into_buffered(),
            })
        }
        Ok(_) => Err(Outcome::Reset),
    }
}
