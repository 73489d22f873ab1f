//! The handshake by which two instances learn each other's incarnations before anything else passes between them: a
//! greeting, and an answer bound to the incarnation that greeted. Here are the rate limits and the check of who
//! greets; what follows from a handshake is its user's.

use crate::Identity;
use crate::authentication::{OpenedDatagram, Sessions};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Milliseconds on the monotonic clock of this process.
type Millis = u64;

/// An address is greeted at most once in this time, in milliseconds.
pub const GREETING_INTERVAL_MS: Millis = 100;
/// Addresses greeted within [`GREETING_INTERVAL_MS`] at most; further ones wait for their next turn.
pub const MAX_GREETED_ADDRESSES: usize = 1024;
/// The window over which answers are counted, in milliseconds.
const ANSWER_WINDOW_MS: Millis = 1000;

/// Why a greeting or an answer is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HandshakeError {
    /// It does not decode, or names another sender than the one that sealed it.
    #[error("the identity does not decode or is not the sender's")]
    Garbled,
    /// The sender has this instance's name.
    #[error("the sender has this instance's name")]
    OwnName,
}

impl HandshakeError {
    /// The name of its counter.
    pub fn counter_name(self) -> &'static str {
        match self {
            Self::Garbled => "garbled",
            Self::OwnName => "own-name",
        }
    }
}

/// The answers given in the current window.
#[derive(Clone, Copy, Debug, Default)]
struct AnswerWindow {
    started_at: Millis,
    answers: u32,
}

/// The rate limits of greetings and answers.
#[derive(Clone, Debug)]
pub struct Handshakes {
    max_answers: u32,
    greeted_at: BTreeMap<SocketAddr, Millis>,
    answer_window: AnswerWindow,
}

impl Handshakes {
    /// Limits that allow `max_answers` answers a second, which bounds the cost of a flood of greetings.
    pub fn new(max_answers: u32) -> Self {
        Self {
            max_answers,
            greeted_at: BTreeMap::new(),
            answer_window: AnswerWindow::default(),
        }
    }

    /// A greeting for an address; `None` if it was greeted a moment ago or too many others were.
    pub fn build_greeting(
        &mut self,
        now: Millis,
        sessions: &Sessions,
        own_identity: &Identity,
        to: SocketAddr,
    ) -> Option<Vec<u8>> {
        let last = self.greeted_at.get(&to).copied();
        if last.is_some_and(|last| now < last + GREETING_INTERVAL_MS) {
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

    /// An answer to a greeting of this incarnation; `None` if there were too many within the window.
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

/// The id of the instance with this name, under which its datagrams are sealed.
pub fn id_of(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// The sender of a greeting or an answer.
///
/// # Errors
///
/// If the identity does not decode, is not that of the sender, or has this instance's own name.
pub fn verify_identity(
    datagram: &OpenedDatagram<'_>,
    own_name: &str,
) -> Result<Identity, HandshakeError> {
    let identity: Identity =
        postcard::from_bytes(datagram.body).map_err(|_| HandshakeError::Garbled)?;
    let is_sender = id_of(&identity.name) == datagram.sender;
    if !is_sender || identity.incarnation != datagram.incarnation {
        return Err(HandshakeError::Garbled);
    }
    match identity.name == own_name {
        true => Err(HandshakeError::OwnName),
        false => Ok(identity),
    }
}
