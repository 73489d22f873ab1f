//! Sealed datagrams. Each carries a version, who sent it in which run, for which run of the receiver it is meant, a
//! number, and a keyed hash (BLAKE3, 16 bytes of it) under a key of the cluster.
//!
//! | bytes | holds |
//! | --- | --- |
//! | 0 | the version, 1 |
//! | 1 | what it is: 0 a greeting, 1 an answer to one, 2 all else |
//! | 2..10 | the sender: the hash of its name |
//! | 10..18 | the sender's run |
//! | 18..26 | the receiver's run that it is meant for; 0 in a greeting |
//! | 26..34 | its number, counted up by the sender for each receiver |
//! | .. | what it carries |
//! | last 16 | the keyed hash over all before it |
//!
//! Numbers are little-endian. A datagram that was recorded and is sent again shows: by its number, if the receiver
//! still runs, and by the receiver's run otherwise. Only greetings are not bound to a run; all that they do is to
//! be answered, with no more bytes than they have. What is carried is not secret.

use std::collections::{BTreeMap, VecDeque};

/// The version of the format.
pub const VERSION: u8 = 1;
/// The most bytes of a datagram, and what sealing adds to what it carries.
pub const MAX_DATAGRAM: usize = 1400;
/// See [`MAX_DATAGRAM`].
pub const OVERHEAD: usize = HEAD + TAG;
const HEAD: usize = 34;
const TAG: usize = 16;
/// Numbers that may come out of order.
const WINDOW: u64 = 1024;
/// Runs of one sender that are remembered.
const RUNS: usize = 16;
/// Senders that are remembered. A control instance has to know 2,100 balancers when all the others are gone, each of
/// them perhaps under the name of the one that it replaced too; a power of two with room for that.
pub const MAX_SENDERS: usize = 4096;
/// The shortest secret, in bytes.
pub const MIN_SECRET: usize = 16;

/// What a datagram is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Says who is here; bound to no run of the receiver.
    Greeting,
    /// Answers a greeting, bound to the run that greeted.
    Answer,
    /// All else.
    Data,
}

/// A key of the cluster.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(secret)")
    }
}

impl Key {
    /// The key of a secret, which all instances hold alike.
    pub fn new(secret: &[u8]) -> Self {
        Self(blake3::derive_key("spanspur cluster datagrams v1", secret))
    }

    fn tag(&self, bytes: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, bytes)
    }
}

/// The keys that hold now: the first seals, all open. With two of them a key is replaced without a stop.
#[derive(Clone, Debug)]
pub struct Keys(pub Vec<Key>);

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Refusal {
    /// Longer than any of ours, or too short to be one.
    Size,
    /// Another version.
    Version,
    /// No key of ours has sealed it: forged, cut off or damaged.
    Forged,
    /// It has come before, or is too old to tell.
    Replay,
    /// It is meant for another run of this process.
    OtherRun,
    /// More senders than can be kept.
    Full,
}

impl Refusal {
    /// Its name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::Size => "size",
            Self::Version => "version",
            Self::Forged => "forged",
            Self::Replay => "replay",
            Self::OtherRun => "other-run",
            Self::Full => "full",
        }
    }
}

/// A datagram that holds.
#[derive(Debug, PartialEq, Eq)]
pub struct Opened<'a> {
    /// What it is.
    pub kind: Kind,
    /// Who sent it.
    pub from: u64,
    /// In which run.
    pub boot: u64,
    /// This run of the sender is new here.
    pub fresh: bool,
    /// What it carries.
    pub body: &'a [u8],
}

#[derive(Debug)]
struct Run {
    boot: u64,
    /// The highest number seen, and which of those below it were.
    top: u64,
    seen: [u64; (WINDOW / 64) as usize],
}

#[derive(Debug, Default)]
struct Sender {
    runs: VecDeque<Run>,
    /// Runs that were forgotten lie at or below this.
    forgotten: u64,
    /// The run that was last proved to be there, and the next number for it.
    current: Option<u64>,
    next: u64,
}

/// All that is known of the others' runs and numbers.
#[derive(Debug)]
pub struct Sessions {
    me: u64,
    boot: u64,
    keys: Keys,
    senders: BTreeMap<u64, Sender>,
    /// Numbers for one who was forgotten go on above all that were used then.
    base: u64,
}

impl Sessions {
    /// The sessions of an instance in this run; `boot` is not 0.
    pub fn new(me: u64, boot: u64, keys: Keys) -> Self {
        Self {
            me,
            boot,
            keys,
            senders: BTreeMap::new(),
            base: 0,
        }
    }

    /// Forgets a sender, so that its place is free. What it sent to this run before would open once more if it was
    /// recorded, and show as a new run of it: only for users to whom an old message said again does no harm.
    pub fn forget(&mut self, other: u64) {
        if let Some(sender) = self.senders.remove(&other) {
            self.base = self.base.max(sender.next);
        }
    }

    /// Takes other keys over.
    pub fn rekey(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// The run of an instance that was proved to be there.
    pub fn run_of(&self, other: u64) -> Option<u64> {
        self.senders.get(&other)?.current
    }

    /// Seals what goes to an instance; `None` as long as its run is not known, or if it is too much.
    pub fn seal(&mut self, to: u64, kind: Kind, body: &[u8]) -> Option<Vec<u8>> {
        let sender = self.senders.get_mut(&to)?;
        let run = sender.current?;
        sender.next += 1;
        let number = sender.next;
        self.frame(kind, run, number, body)
    }

    /// Seals an answer to a greeting: to the run that greeted, which nothing has proved yet.
    pub fn answer(&self, run: u64, body: &[u8]) -> Option<Vec<u8>> {
        self.frame(Kind::Answer, run, 0, body)
    }

    /// Seals a greeting.
    pub fn greet(&self, body: &[u8]) -> Option<Vec<u8>> {
        self.frame(Kind::Greeting, 0, 0, body)
    }

    fn frame(&self, kind: Kind, run: u64, number: u64, body: &[u8]) -> Option<Vec<u8>> {
        if body.len() + OVERHEAD > MAX_DATAGRAM {
            return None;
        }
        let mut bytes = Vec::with_capacity(body.len() + OVERHEAD);
        bytes.extend([VERSION, kind as u8]);
        for part in [self.me, self.boot, run, number] {
            bytes.extend(part.to_le_bytes());
        }
        bytes.extend(body);
        let tag = self.keys.0.first()?.tag(&bytes);
        bytes.extend(&tag.as_bytes()[..TAG]);
        Some(bytes)
    }

    /// Opens a datagram, or says why not.
    pub fn open<'a>(&mut self, bytes: &'a [u8]) -> Result<Opened<'a>, Refusal> {
        if bytes.len() < OVERHEAD || bytes.len() > MAX_DATAGRAM {
            return Err(Refusal::Size);
        }
        if bytes[0] != VERSION {
            return Err(Refusal::Version);
        }
        let (signed, tag) = bytes.split_at(bytes.len() - TAG);
        let holds = |key: &Key| {
            let right = key.tag(signed);
            // In constant time, so that a forger learns nothing from how long it takes.
            let differ = right.as_bytes()[..TAG].iter().zip(tag);
            differ.fold(0, |all, (a, b)| all | (a ^ b)) == 0
        };
        if !self.keys.0.iter().any(holds) {
            return Err(Refusal::Forged);
        }
        let kind = match bytes[1] {
            0 => Kind::Greeting,
            1 => Kind::Answer,
            2 => Kind::Data,
            _ => return Err(Refusal::Version),
        };
        let number = |at: usize| {
            let part: [u8; 8] = bytes[at..at + 8].try_into().unwrap_or_default();
            u64::from_le_bytes(part)
        };
        let (from, boot, run, count) = (number(2), number(10), number(18), number(26));
        let mut opened = Opened {
            kind,
            from,
            boot,
            fresh: false,
            body: &signed[HEAD..],
        };
        if kind == Kind::Greeting {
            return Ok(opened);
        }
        if run != self.boot {
            return Err(Refusal::OtherRun);
        }
        if self.senders.len() >= MAX_SENDERS && !self.senders.contains_key(&from) {
            return Err(Refusal::Full);
        }
        // Bound to our run: whoever made it has heard from us in it.
        let base = self.base;
        let sender = self.senders.entry(from).or_default();
        opened.fresh = sender.take(kind, boot, count, base)?;
        Ok(opened)
    }
}

impl Sender {
    /// Takes a number of a run: says whether the run is new, or refuses what has come before.
    /// For a new run our own numbers start above `base`.
    fn take(&mut self, kind: Kind, boot: u64, count: u64, base: u64) -> Result<bool, Refusal> {
        let known = self.runs.iter_mut().find(|run| run.boot == boot);
        // An answer has no number: told twice it says the same.
        if let (Some(_), Kind::Answer) = (&known, kind) {
            return Ok(false);
        }
        if let Some(run) = known {
            return run.take(count).then_some(false).ok_or(Refusal::Replay);
        }
        if boot <= self.forgotten {
            return Err(Refusal::Replay);
        }
        if self.runs.len() >= RUNS {
            let oldest = self.runs.pop_front().map_or(0, |run| run.boot);
            self.forgotten = self.forgotten.max(oldest);
        }
        let mut run = Run {
            boot,
            top: 0,
            seen: [0; (WINDOW / 64) as usize],
        };
        if kind == Kind::Data {
            run.take(count);
        }
        self.runs.push_back(run);
        if self.current.is_none_or(|current| current != boot) {
            (self.current, self.next) = (Some(boot), base);
        }
        Ok(true)
    }
}

impl Run {
    fn take(&mut self, count: u64) -> bool {
        if count == 0 || count + WINDOW <= self.top {
            return false;
        }
        let place = |count: u64| ((count % WINDOW / 64) as usize, 1 << (count % 64));
        if count > self.top {
            for skipped in self.top.max(count.saturating_sub(WINDOW)) + 1..=count {
                let (word, bit) = place(skipped);
                self.seen[word] &= !bit;
            }
            self.top = count;
        }
        let (word, bit) = place(count);
        let seen = self.seen[word] & bit != 0;
        self.seen[word] |= bit;
        !seen
    }
}
