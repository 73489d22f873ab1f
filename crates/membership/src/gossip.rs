//! Membership by foca, with its timers in one place and its messages as bytes.

use crate::Identity;
use foca::{
    AccumulatingRuntime, Foca, NoCustomBroadcast, OwnedNotification, PeriodicParams, PostcardCodec,
    Timer,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Timers that are kept; far more than a cluster of 1,000 needs.
const MAX_TIMERS: usize = 16_384;
/// The most that one message of the gossip holds, so that it fits into a sealed datagram.
const MAX_PACKET: usize = 1200;
/// One that went down is remembered for so long.
const REMEMBER_DOWN: Duration = Duration::from_secs(60);

/// How fast the membership looks.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Each instance looks at another one so often.
    pub probe: Duration,
    /// An answer takes no longer than this.
    pub answer: Duration,
    /// One that did not answer, neither directly nor over others, is held for down after this.
    pub suspicion: Duration,
}

impl Pace {
    /// How long it takes, in the usual case, until all know that an instance has died.
    pub fn notice(&self) -> Duration {
        self.probe * 3 + self.suspicion
    }
}

/// Someone came or went.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Is there.
    Up(Identity),
    /// Is not there any more: died, was cut off, or has left.
    Down(Identity),
    /// The others held this instance for down; it has come back under this identity.
    Renewed(Identity),
}

/// The membership as one instance sees it.
pub struct Membership {
    foca: Foca<Identity, PostcardCodec, ChaCha8Rng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Identity>,
    timers: BTreeMap<(u64, u64), Timer<Identity>>,
    count: u64,
    alive: BTreeMap<String, Identity>,
    changes: Vec<Change>,
    sends: Vec<(Identity, Vec<u8>)>,
    /// Messages that the library refused, and timers that found no room.
    pub refused: u64,
}

impl Membership {
    /// An instance that knows of nobody yet.
    pub fn new(me: Identity, pace: Pace, seed: u64) -> Self {
        let some = |n| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
        let every = |frequency, num_members| {
            Some(PeriodicParams {
                frequency,
                num_members: some(num_members),
            })
        };
        let config = foca::Config {
            probe_period: pace.probe,
            probe_rtt: pace.answer,
            num_indirect_probes: some(3),
            max_transmissions: NonZeroU8::new(10).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: pace.suspicion,
            remove_down_after: Some(REMEMBER_DOWN),
            max_packet_size: some(MAX_PACKET),
            notify_down_members: true,
            periodic_announce: every(pace.probe * 20, 1),
            periodic_announce_to_down_members: every(pace.probe * 4, 2),
            periodic_gossip: every(pace.probe / 3, 3),
        };
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self {
            foca: Foca::new(me, config, rng, PostcardCodec),
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            count: 0,
            alive: BTreeMap::new(),
            changes: Vec::new(),
            sends: Vec::new(),
            refused: 0,
        }
    }

    /// This instance.
    pub fn me(&self) -> &Identity {
        self.foca.identity()
    }

    /// All others that are there, by name.
    pub fn alive(&self) -> &BTreeMap<String, Identity> {
        &self.alive
    }

    /// Joins over an instance whose identity is known.
    pub fn join(&mut self, now: u64, over: Identity) {
        let done = self.foca.announce(over, &mut self.runtime);
        self.after(now, done);
    }

    /// Takes a message.
    pub fn receive(&mut self, now: u64, bytes: &[u8]) {
        let done = self.foca.handle_data(bytes, &mut self.runtime);
        self.after(now, done);
    }

    /// Says farewell, so that the others need not find out.
    pub fn leave(&mut self, now: u64) {
        let done = self.foca.leave_cluster(&mut self.runtime);
        self.after(now, done);
    }

    /// When [`Membership::wake`] is due.
    pub fn next_wake(&self) -> Option<u64> {
        self.timers.first_key_value().map(|((at, _), _)| *at)
    }

    /// Carries out what has fallen due.
    pub fn wake(&mut self, now: u64) {
        while let Some(entry) = self.timers.first_entry()
            && entry.key().0 <= now
        {
            let timer = entry.remove();
            let done = self.foca.handle_timer(timer, &mut self.runtime);
            self.after(now, done);
        }
    }

    /// Messages to be sent.
    pub fn sends(&mut self) -> Vec<(Identity, Vec<u8>)> {
        std::mem::take(&mut self.sends)
    }

    /// What has changed.
    pub fn changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    fn after(&mut self, now: u64, done: Result<(), foca::Error>) {
        if done.is_err() {
            self.refused += 1;
        }
        while let Some((to, bytes)) = self.runtime.to_send() {
            self.sends.push((to, bytes.to_vec()));
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            if self.timers.len() >= MAX_TIMERS {
                self.refused += 1;
                continue;
            }
            self.count += 1;
            let at = now + after.as_millis() as u64;
            self.timers.insert((at, self.count), timer);
        }
        while let Some(told) = self.runtime.to_notify() {
            match told {
                OwnedNotification::MemberUp(who) => self.up(who),
                OwnedNotification::MemberDown(who)
                    // An older run of someone who has come back already is no news.
                    if self.alive.get(&who.name) == Some(&who) => {
                        self.alive.remove(&who.name);
                        self.changes.push(Change::Down(who));
                    }
                OwnedNotification::Rename(old, new)
                    if self.alive.contains_key(&old.name) => {
                        self.up(new);
                    }
                OwnedNotification::Rejoin(me) => self.changes.push(Change::Renewed(me)),
                _ => {}
            }
        }
    }

    fn up(&mut self, who: Identity) {
        if self.alive.insert(who.name.clone(), who.clone()).as_ref() != Some(&who) {
            self.changes.push(Change::Up(who));
        }
    }

    /// The names of all that are there, this instance among them.
    pub fn names(&self) -> BTreeSet<&str> {
        let others = self.alive.keys().map(String::as_str);
        others.chain([self.me().name.as_str()]).collect()
    }
}
