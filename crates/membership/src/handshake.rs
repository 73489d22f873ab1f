//! The handshake by which two instances learn each other's incarnations before they exchange data: a greeting, and an
//! answer bound to the incarnation that sent the greeting.
//!
//! This module builds both datagrams within rate limits and verifies the sender's identity. The caller decides how to
//! act on a completed handshake.

use crate::Identity;
use crate::authentication::{OpenedDatagram, Sessions};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// A time on this process's monotonic clock, or a duration, in milliseconds.
type Millis = u64;

/// Minimum time between two greetings to one address, in milliseconds.
pub const GREETING_INTERVAL_MS: Millis = 100;
/// Maximum number of addresses greeted within [`GREETING_INTERVAL_MS`]. No greeting is built or queued for a further
/// address; the caller has to try again later.
pub const MAX_GREETED_ADDRESSES: usize = 1024;
/// Length of the window over which answers are counted, in milliseconds.
const ANSWER_WINDOW_MS: Millis = 1000;

/// Why a greeting or an answer is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HandshakeError {
    /// The identity cannot be decoded, or it belongs to another instance or incarnation than the datagram.
    #[error("the identity cannot be decoded or does not match the datagram's sender")]
    InvalidIdentity,
    /// The sender uses this instance's name.
    #[error("the sender uses this instance's own name")]
    OwnName,
}

impl HandshakeError {
    /// The name of the counter for this error.
    pub fn counter_name(self) -> &'static str {
        match self {
            Self::InvalidIdentity => "garbled",
            Self::OwnName => "own-name",
        }
    }
}

/// Counts the answers of the current window.
#[derive(Clone, Copy, Debug, Default)]
struct AnswerWindow {
    started_at: Millis,
    answers: u32,
}

/// Builds greetings and answers within their rate limits.
#[derive(Clone, Debug)]
pub struct Handshakes {
    max_answers: u32,
    greeted_at: BTreeMap<SocketAddr, Millis>,
    answer_window: AnswerWindow,
}

impl Handshakes {
    /// Allows `max_answers` answers in each window of one second, which bounds the cost of a flood of greetings.
    pub fn new(max_answers: u32) -> Self {
        Self {
            max_answers,
            greeted_at: BTreeMap::new(),
            answer_window: AnswerWindow::default(),
        }
    }

    /// Builds a greeting for an address. Returns `None` if the address was greeted within [`GREETING_INTERVAL_MS`], if
    /// [`MAX_GREETED_ADDRESSES`] other addresses were, if the identity is too large for a datagram, or if there is no
    /// key.
    pub fn build_greeting(
        &mut self,
        now: Millis,
        sessions: &Sessions,
        own_identity: &Identity,
        to: SocketAddr,
    ) -> Option<Vec<u8>> {
        let last_greeted_at = self.greeted_at.get(&to).copied();
        if last_greeted_at.is_some_and(|at| now < at + GREETING_INTERVAL_MS) {
            return None;
        }
        self.greeted_at
            .retain(|_, greeted_at| now < *greeted_at + GREETING_INTERVAL_MS);
        if self.greeted_at.len() >= MAX_GREETED_ADDRESSES {
            return None;
        }
        self.greeted_at.insert(to, now);
        sessions.seal_greeting(&postcard::to_stdvec(own_identity).ok()?)
    }

    /// Builds an answer to a greeting sent by `incarnation`. Returns `None` if the limit for the current window is
    /// reached, if the identity is too large for a datagram, or if there is no key.
    pub fn build_answer(
        &mut self,
        now: Millis,
        sessions: &Sessions,
        own_identity: &Identity,
        incarnation: u64,
    ) -> Option<Vec<u8>> {
        if now >= self.answer_window.started_at + ANSWER_WINDOW_MS {
            self.answer_window = AnswerWindow {
                started_at: now,
                answers: 0,
            };
        }
        self.answer_window.answers += 1;
        if self.answer_window.answers > self.max_answers {
            return None;
        }
        sessions.seal_answer(incarnation, &postcard::to_stdvec(own_identity).ok()?)
    }
}

/// The id of the instance with this name: the XXH3 hash of the name. Datagrams carry the id as their sender.
pub fn id_of(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Decodes the identity in a greeting or an answer and checks that it belongs to the datagram's sender.
///
/// # Errors
///
/// If the identity cannot be decoded, does not match the sender's id and incarnation, or has this instance's own name.
pub fn verify_identity(
    datagram: &OpenedDatagram<'_>,
    own_name: &str,
) -> Result<Identity, HandshakeError> {
    let identity: Identity =
        postcard::from_bytes(datagram.body).map_err(|_| HandshakeError::InvalidIdentity)?;
    let is_sender = id_of(&identity.name) == datagram.sender;
    if !is_sender || identity.incarnation != datagram.incarnation {
        return Err(HandshakeError::InvalidIdentity);
    }
    match identity.name == own_name {
        true => Err(HandshakeError::OwnName),
        false => Ok(identity),
    }
}
