//! A voter: for each duty the ballot that it has promised and the last period that it voted for.
//!
//! It is an acceptor of Paxos (Lamport, 'Paxos Made Simple', 2001, section 2.2) with two rules more. A period is
//! voted for only if the one before it is old enough, so that two periods never fall together whoever claims
//! them. And a duty that is held by someone who is in time is not promised to another.
//!
//! A voter keeps nothing over a restart. Until the votes that it may have forgotten have run out it abstains; after
//! that the Unix time in milliseconds stands for the periods that it has forgotten. Periods count up by one, far
//! slower than milliseconds pass, so that it lies above them all while clocks differ by less than `skew`.

use crate::{Ballot, DutyId, InstanceId, Item, Millis, Now, Why};
use std::collections::{BTreeMap, BTreeSet};

/// Duties that a voter keeps.
pub const MAX_DUTIES: usize = 65_536;
/// A duty that nobody has asked about for so many of its periods, and for an hour, is forgotten.
const FORGET_PERIODS: u64 = 8;
const FORGET_AFTER: Millis = 3_600_000;
/// A period may be claimed this share of it early: messages take different times.
pub const EARLY_SHARE: u64 = 8;
/// A holder is in time until this share of a period past its due time.
pub const LATE_SHARE: u64 = 4;
/// And for this share of one after it was given the duty.
const GRACE_SHARE: u64 = 8;

/// What a voter keeps for a duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Slot {
    /// Nothing lower is taken any more.
    pub promised: Ballot,
    /// The highest period voted for.
    pub last: u64,
    /// With which ballot; none for a number that only stands for what was forgotten.
    pub last_by: Ballot,
    /// When it was voted for; `None` where only a promise was given.
    pub at: Option<Millis>,
    /// The duty's period.
    pub every: Millis,
    /// The holder has let go.
    pub free: bool,
    touched: Millis,
}

impl Slot {
    /// From then on the holder is late. One that has just been given the duty has time to claim a period: two that
    /// take it from each other at once would both get nowhere.
    pub fn late_from(&self) -> Millis {
        let late = self.at.unwrap_or(self.touched) + self.every + self.every / LATE_SHARE;
        late.max(self.touched + self.every / GRACE_SHARE)
    }
}

/// All votes of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    born: Millis,
    skew: Millis,
    slots: BTreeMap<DutyId, Slot>,
}

impl Voter {
    /// A voter that has forgotten all it may ever have voted for. `skew`: how far wall clocks may lie apart.
    pub fn new(now: Now, skew: Millis) -> Self {
        Self {
            born: now.mono,
            skew,
            slots: BTreeMap::new(),
        }
    }

    /// What it keeps of a duty.
    pub fn slot(&self, duty: DutyId) -> Option<&Slot> {
        self.slots.get(&duty)
    }

    /// How many duties it keeps.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether it keeps none.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// How long it still abstains from votes on duties of this period.
    pub fn abstains(&self, now: Now, every: Millis) -> Millis {
        (self.born + every + every / LATE_SHARE + self.skew).saturating_sub(now.mono)
    }

    /// Answers a claimant. `alive` are the instances that this one believes to be there.
    pub fn handle(&mut self, now: Now, item: &Item, alive: &BTreeSet<InstanceId>) -> Option<Item> {
        match *item {
            Item::Prepare {
                duty,
                ballot,
                every,
                trial,
            } => Some(self.prepare(now, duty, ballot, every, trial, alive)),
            Item::Accept {
                duty,
                ballot,
                period,
                every,
            } => Some(self.accept(now, duty, ballot, period, every)),
            Item::Yield { duty, ballot } => {
                let slot = self.slots.get_mut(&duty);
                slot.filter(|slot| slot.promised == ballot)
                    .into_iter()
                    .for_each(|slot| slot.free = true);
                None
            }
            _ => None,
        }
    }

    fn prepare(
        &mut self,
        now: Now,
        duty: DutyId,
        ballot: Ballot,
        every: Millis,
        trial: bool,
        alive: &BTreeSet<InstanceId>,
    ) -> Item {
        let abstains = self.abstains(now, every);
        let refused = refuser(duty, ballot);
        if abstains > 0 {
            return refused(Why::Abstains, Ballot::default(), 0, abstains);
        }
        let known = self.slots.contains_key(&duty);
        if !known && !self.room(now) {
            return refused(Why::Full, Ballot::default(), 0, every);
        }
        // Nothing remembered: the time stands for what was forgotten.
        let blank = Slot {
            promised: Ballot::default(),
            last: now.wall,
            last_by: Ballot::default(),
            at: None,
            every,
            free: true,
            touched: now.mono,
        };
        let slot = self.slots.get(&duty).unwrap_or(&blank);
        // One that only tries does not know the ballots yet.
        if ballot < slot.promised && !trial {
            return refused(Why::Outvoted, slot.promised, slot.last, every / 8);
        }
        let holder = slot.promised.by;
        let late = slot.late_from().saturating_sub(now.mono);
        let absent = !alive.contains(&InstanceId(holder));
        // Who asks and falls silent, or cannot hear our answer, must not take a duty from a sound holder.
        if holder != ballot.by && !slot.free && !absent && late > 0 {
            return refused(Why::Held, slot.promised, slot.last, late);
        }
        let promise = Item::Promise {
            duty,
            ballot,
            floor: slot.last,
            last_by: slot.last_by,
            since: slot.at.map(|at| now.mono.saturating_sub(at)),
            held: slot.promised,
        };
        if !trial {
            let slot = self.slots.entry(duty).or_insert(blank);
            (slot.promised, slot.free, slot.every) = (ballot, false, every);
            slot.touched = now.mono;
        }
        promise
    }

    fn accept(
        &mut self,
        now: Now,
        duty: DutyId,
        ballot: Ballot,
        period: u64,
        every: Millis,
    ) -> Item {
        let abstains = self.abstains(now, every);
        let refused = refuser(duty, ballot);
        if abstains > 0 {
            return refused(Why::Abstains, Ballot::default(), 0, abstains);
        }
        // It may have known the duty before a restart, with a higher ballot: who wants its vote asks for a promise
        // first, and learns the floor that stands for what was forgotten.
        let Some(slot) = self.slots.get_mut(&duty) else {
            return refused(Why::Unknown, Ballot::default(), 0, 0);
        };
        if ballot < slot.promised {
            return refused(Why::Outvoted, slot.promised, slot.last, every / 8);
        }
        // The same claimant's again, maybe with a higher ballot: the first vote's time stands.
        let (by, of) = (slot.last_by, ballot);
        let again = slot.last == period && (by.by, by.boot) == (of.by, of.boot);
        if !again {
            let from = slot.at.map_or(0, |at| at + every - every / EARLY_SHARE);
            let early = from.saturating_sub(now.mono);
            if period <= slot.last || early > 0 {
                return refused(Why::Early, slot.promised, slot.last, early);
            }
            (slot.last, slot.at) = (period, Some(now.mono));
        }
        slot.last_by = ballot;
        (slot.promised, slot.free, slot.every) = (ballot, false, every);
        slot.touched = now.mono;
        Item::Accepted {
            duty,
            ballot,
            period,
        }
    }

    /// Whether another duty can be kept; forgets those that nobody has asked about for long.
    fn room(&mut self, now: Now) -> bool {
        if self.slots.len() >= MAX_DUTIES {
            self.slots.retain(|_, slot| {
                let idle = now.mono.saturating_sub(slot.touched);
                idle < FORGET_AFTER.max(slot.every * FORGET_PERIODS)
            });
        }
        self.slots.len() < MAX_DUTIES
    }
}

/// Makes the refusals of one question.
fn refuser(duty: DutyId, ballot: Ballot) -> impl Fn(Why, Ballot, u64, Millis) -> Item {
    move |why, held, floor, wait| Item::Refused {
        duty,
        ballot,
        why,
        held,
        floor,
        wait,
    }
}
