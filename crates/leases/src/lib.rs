//! Duties that a cluster does once a period: which instance does one, how it proves that it alone may, and how
//! what came of it reaches the others. No socket, clock, thread or random source in here: time and messages come
//! in, messages and permits go out. `docs/design/duties.md` weighs the options; start reading at [`Instance`].
//!
//! | part | holds |
//! | --- | --- |
//! | [`vote`] | a voter: what it has promised and accepted, when it abstains |
//! | [`claim`] | one claimant of one duty: promises and acceptances counted up to a majority |
//! | [`division`] | who ranks first for a duty, and who votes on it |
//! | [`instance`] | all of an instance's duties: timers, hand-over, take-over, batches |
//! | [`board`] | results that all instances share, spread when they change |
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod board;
pub mod claim;
pub mod division;
pub mod instance;
pub mod vote;

pub use board::Board;
pub use instance::{Instance, Output, Settings, Status};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Milliseconds. On an instance's monotonic clock their origin is its own; a span has none.
pub type Millis = u64;

/// The two clocks of an instance at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Now {
    /// Monotonic, from any origin, also while the process is frozen. All waits are measured with it.
    pub mono: Millis,
    /// Unix time. It only numbers the first period that a voter without memory hears of.
    pub wall: Millis,
}

/// A duty, named alike at every instance: the XXH3 hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DutyId(pub u64);

/// An instance: the XXH3 hash of its name, the same after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceId(pub u64);

impl DutyId {
    /// The id of the duty with this name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

impl InstanceId {
    /// The id of the instance with this name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// A claimant's right to propose periods of a duty; a higher one goes before a lower one. `boot` keeps a restarted
/// claimant, which has forgotten its ballots, from using one twice.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ballot {
    /// Grows with each attempt to take a duty over.
    pub count: u64,
    /// Whose it is.
    pub by: u64,
    /// Which run of that process.
    pub boot: u64,
}

/// Why a voter refuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Why {
    /// It has restarted and may have forgotten votes that still run.
    Abstains,
    /// Someone holds the duty and is in time.
    Held,
    /// It has promised a higher ballot.
    Outvoted,
    /// The last period is too young, or the number has been voted for already.
    Early,
    /// It keeps no more duties.
    Full,
    /// It remembers no promise for the duty: it has to be asked for one first.
    Unknown,
}

/// What claimants and voters say to each other about one duty. Many travel in one datagram.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Item {
    /// May I have the duty?
    Prepare {
        /// Which.
        duty: DutyId,
        /// With this right.
        ballot: Ballot,
        /// Its period.
        every: Millis,
        /// Only asked whether it would be given: nothing is promised yet.
        trial: bool,
    },
    /// Yes, and nobody lower from now on.
    Promise {
        /// Which.
        duty: DutyId,
        /// To whom.
        ballot: Ballot,
        /// The highest period that the voter knows to be taken.
        floor: u64,
        /// How long ago it voted for that one; `None` where it remembers no vote.
        since: Option<Millis>,
        /// With which right that one was proposed.
        last_by: Ballot,
        /// What it had promised before.
        held: Ballot,
    },
    /// Is this period mine?
    Accept {
        /// Which.
        duty: DutyId,
        /// With this right.
        ballot: Ballot,
        /// The period: the fencing number.
        period: u64,
        /// The duty's period in time.
        every: Millis,
    },
    /// It is, as far as this voter goes.
    Accepted {
        /// Which.
        duty: DutyId,
        /// To whom.
        ballot: Ballot,
        /// The period.
        period: u64,
    },
    /// No.
    Refused {
        /// Which.
        duty: DutyId,
        /// To whom.
        ballot: Ballot,
        /// For what reason.
        why: Why,
        /// What it has promised.
        held: Ballot,
        /// The highest period that it knows to be taken.
        floor: u64,
        /// The reason may be gone after this.
        wait: Millis,
    },
    /// The holder lets the duty go.
    Yield {
        /// Which.
        duty: DutyId,
        /// Whose it was.
        ballot: Ballot,
    },
    /// To the holder: I rank before you and would have it.
    Want {
        /// Which.
        duty: DutyId,
    },
}

/// The right to do a duty once, in one period. `until` leaves room before anyone may have the next period.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Permit {
    /// Which duty.
    pub duty: DutyId,
    /// Which period; grows for ever, so that what the duty acts upon can refuse an older one.
    pub period: u64,
    /// The end of the permit on the instance's own monotonic clock.
    pub until: Millis,
}

impl Permit {
    /// Whether the duty may still be done. Look immediately before acting, and again after whatever may take long.
    pub fn holds(&self, now: Millis) -> bool {
        now < self.until
    }
}
