//! One claimant of one duty: first the right to propose periods, from a majority's promises; then period after
//! period, each from a majority's votes. While it holds the right a period costs one round of messages.
//!
//! Why no period is won twice: let A win period `p` with ballot `a`, and B hold ballot `b > a`. The two majorities
//! share a voter. It voted for `p` before it promised `b`, for after that it refuses `a`; so its promise told B a
//! floor of `p` or more, and B proposes only what lies above.
//!
//! A claimant whose proposal met voters that had promised more takes a higher ballot and proposes the same period
//! again, so that a sound period is not lost to a voter that lags. It may if none of a majority has voted for that
//! period, or if the highest ballot that any of them voted for it with was this claimant's own: the rule of Paxos
//! for an instance with one value, here who acts.

use crate::{Ballot, Item, Millis, Why};
use std::collections::BTreeMap;

/// Where a claimant is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// It claims nothing.
    Idle,
    /// It has asked whether it would be given the right. One that cannot win it, since a majority knows the holder to
    /// be in time, must not make voters refuse that holder (as with Raft's pre-vote; Ongaro, 2014, section 9.6).
    Trying,
    /// It has asked for the right.
    Preparing,
    /// It has the right and waits for the next period.
    Holding,
    /// It has proposed a period.
    Claiming,
}

/// What an answer has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing yet.
    None,
    /// It would be given the right.
    MayPrepare,
    /// It has the right: the floor, and how long ago the youngest vote was that anyone told of.
    Holds {
        /// The youngest vote's age.
        since: Option<Millis>,
    },
    /// The proposed period is won.
    Won,
    /// No majority can come of this any more; another try may be worth it after this.
    Lost {
        /// How long.
        wait: Millis,
    },
}

/// A claimant of one duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    /// Where it is.
    pub stage: Stage,
    /// Its right, or the one that it asks for.
    pub ballot: Ballot,
    /// The period proposed, or the last one.
    pub period: u64,
    /// When it asked or proposed.
    pub sent: Millis,
    /// Someone who holds a higher ballot, and so may hold the duty.
    pub holder: Option<u64>,
    /// A voter has promised more than our ballot: it is won back with a new one.
    pub outvoted: bool,
    /// Each voter's answer: `Ok` is yes, `Err` how long to wait.
    answers: BTreeMap<u64, Result<Option<Millis>, Millis>>,
    /// The highest count that anyone was seen to use.
    seen: u64,
    /// Periods up to here are taken; it may rise while one is proposed.
    floor: u64,
    /// The highest period that the promises told of, and the highest ballot it was voted for with.
    top: (u64, Ballot),
    /// A period that was proposed and not won, and when it was proposed first.
    open: Option<(u64, Millis)>,
}

impl Claim {
    /// A claimant with nothing.
    pub fn new() -> Self {
        Self {
            stage: Stage::Idle,
            ballot: Ballot::default(),
            period: 0,
            sent: 0,
            holder: None,
            outvoted: false,
            answers: BTreeMap::new(),
            seen: 0,
            floor: 0,
            top: (0, Ballot::default()),
            open: None,
        }
    }

    /// Asks for the right with a ballot higher than any seen.
    pub fn prepare(&mut self, now: Millis, by: u64, boot: u64) {
        self.ballot = Ballot {
            count: self.ballot.count.max(self.seen) + 1,
            by,
            boot,
        };
        (self.stage, self.sent, self.outvoted) = (Stage::Preparing, now, false);
        self.top = (0, Ballot::default());
        self.answers.clear();
    }

    /// Asks whether it would be given the right; the ballot is used for nothing else.
    pub fn attempt(&mut self, now: Millis, by: u64, boot: u64) {
        self.prepare(now, by, boot);
        self.stage = Stage::Trying;
    }

    /// The period that was proposed, not won, and may be proposed again; and when it was proposed first.
    pub fn resumes(&self) -> Option<(u64, Millis)> {
        let (period, by) = self.top;
        let ours = (by.by, by.boot) == (self.ballot.by, self.ballot.boot);
        self.open
            .filter(|(open, _)| period < *open || (period == *open && ours))
    }

    /// Proposes a period: the one that is open still, as of when it was proposed first, or the next.
    pub fn propose(&mut self, now: Millis) {
        let (period, sent) = self
            .resumes()
            .unwrap_or((self.period.max(self.floor) + 1, now));
        (self.period, self.sent) = (period, sent);
        self.open = Some((period, sent));
        self.stage = Stage::Claiming;
        self.answers.clear();
    }

    /// Gives up the period that is open: it is too late to act in it.
    pub fn close(&mut self) {
        self.open = None;
    }

    /// Lets go.
    pub fn rest(&mut self) {
        self.stage = Stage::Idle;
        self.answers.clear();
    }

    /// Whether this voter has answered what is asked now.
    pub fn heard(&self, voter: u64) -> bool {
        self.answers.contains_key(&voter)
    }

    /// Takes a voter's answer; `voters` is how many there are.
    pub fn answer(&mut self, voter: u64, item: &Item, voters: usize) -> Step {
        let majority = voters / 2 + 1;
        // A no that comes after the majority's yes: this voter is to be won back with a higher ballot.
        if let (Item::Refused { ballot, held, .. }, Stage::Holding) = (item, &self.stage)
            && *ballot == self.ballot
            && *held > self.ballot
        {
            self.seen = self.seen.max(held.count);
            self.outvoted = true;
            return Step::None;
        }
        let answer = match (item, &self.stage) {
            (
                Item::Promise {
                    ballot,
                    floor,
                    since,
                    held,
                    last_by,
                    ..
                },
                stage,
            ) if *ballot == self.ballot => {
                self.floor = self.floor.max(*floor);
                self.seen = self.seen.max(held.count);
                // A voter without memory has promised late: its floor counts from the next period on.
                if !matches!(stage, Stage::Preparing | Stage::Trying) {
                    return Step::None;
                }
                self.top = self.top.max((*floor, *last_by));
                Ok(*since)
            }
            (Item::Accepted { ballot, period, .. }, Stage::Claiming)
                if *ballot == self.ballot && *period == self.period =>
            {
                Ok(None)
            }
            (
                Item::Refused {
                    ballot,
                    why,
                    held,
                    floor,
                    wait,
                    ..
                },
                Stage::Trying | Stage::Preparing | Stage::Claiming,
            ) if *ballot == self.ballot => {
                if *held > self.ballot {
                    self.seen = self.seen.max(held.count);
                    self.outvoted = true;
                }
                if held.by != self.ballot.by && matches!(why, Why::Held | Why::Outvoted) {
                    self.holder = Some(held.by);
                }
                self.floor = self.floor.max(*floor);
                // It is asked for its promise now, and may say yes still.
                if *why == Why::Unknown {
                    return Step::None;
                }
                Err(*wait)
            }
            _ => return Step::None,
        };
        self.answers.insert(voter, answer);
        let yes = self.answers.values().filter(|a| a.is_ok()).count();
        if yes >= majority {
            let ages = self.answers.values().filter_map(|a| a.ok().flatten());
            let since = ages.min();
            let step = match self.stage {
                Stage::Trying => Step::MayPrepare,
                Stage::Preparing => Step::Holds { since },
                _ => Step::Won,
            };
            if step == Step::Won {
                self.open = None;
            }
            self.stage = Stage::Holding;
            self.answers.clear();
            return step;
        }
        if self.answers.len() - yes + majority > voters {
            let mut waits: Vec<Millis> = self.answers.values().filter_map(|a| a.err()).collect();
            waits.sort_unstable();
            let wait = waits[(majority - 1).min(waits.len() - 1)];
            self.rest();
            return Step::Lost { wait };
        }
        Step::None
    }
}

impl Default for Claim {
    fn default() -> Self {
        Self::new()
    }
}
