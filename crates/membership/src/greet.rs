//! Greetings, by which two instances learn of each other's runs before anything else passes between them. Here is
//! how often one greets and answers, and whether a greeting holds; what follows from it is its user's.

use crate::Identity;
use crate::seal::{Opened, Sessions};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Milliseconds on the monotonic clock of this process.
type Millis = u64;

/// An address is greeted no more often, however much is waiting for a session with it.
pub const GREET_AGAIN: Millis = 100;
/// Addresses greeted within [`GREET_AGAIN`]: more wait for their next turn.
pub const MAX_GREETED: usize = 1024;
/// What [`Greetings::new`] is told is the most in this time.
const ANSWERS_IN: Millis = 1000;

/// How often one greets and answers.
#[derive(Clone, Debug)]
pub struct Greetings {
    most: u32,
    greeted: BTreeMap<SocketAddr, Millis>,
    answered: (Millis, u32),
}

impl Greetings {
    /// Answers no more greetings than these in a second: a flood of them costs no more.
    pub fn new(most: u32) -> Self {
        Self {
            most,
            greeted: BTreeMap::new(),
            answered: (0, 0),
        }
    }

    /// A greeting for an address, unless it was greeted a moment ago.
    pub fn greet(
        &mut self,
        now: Millis,
        sessions: &Sessions,
        me: &Identity,
        to: SocketAddr,
    ) -> Option<Vec<u8>> {
        let last = self.greeted.get(&to).copied();
        if last.is_some_and(|last| now < last + GREET_AGAIN) {
            return None;
        }
        // Only what was greeted a moment ago matters.
        self.greeted.retain(|_, at| now < *at + GREET_AGAIN);
        if self.greeted.len() >= MAX_GREETED {
            return None;
        }
        self.greeted.insert(to, now);
        sessions.greet(&postcard::to_stdvec(me).ok()?)
    }

    /// An answer to a greeting of this run, unless there were too many.
    pub fn answer(
        &mut self,
        now: Millis,
        sessions: &Sessions,
        me: &Identity,
        run: u64,
    ) -> Option<Vec<u8>> {
        if now >= self.answered.0 + ANSWERS_IN {
            self.answered = (now, 0);
        }
        self.answered.1 += 1;
        if self.answered.1 > self.most {
            return None;
        }
        sessions.answer(run, &postcard::to_stdvec(me).ok()?)
    }
}

/// The id of an instance with this name, under which its datagrams are sealed.
pub fn id_of(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Who greets or answers, or the reason, as a counter's name, for which it does not hold.
pub fn identity(opened: &Opened<'_>, me: &str) -> Result<Identity, &'static str> {
    let who: Identity = postcard::from_bytes(opened.body).map_err(|_| "garbled")?;
    if id_of(&who.name) != opened.from || who.boot != opened.boot {
        return Err("garbled");
    }
    match who.name == me {
        true => Err("own-name"),
        false => Ok(who),
    }
}
