//! All leases of one instance: which to hold, when to propose a term, hand over and take over. Messages of one moment
//! to one recipient leave together, so that the cost follows the rate of terms and not the number of leases.
//!
//! The preferred instance, the one that ranks first among those alive, holds a lease. Where another holds it, the
//! preferred one asks for it and gets it between two terms. Where the preferred one does nothing (it does not know the
//! lease, or cannot reach a majority), the voters of that lease take over one after the other once its holder is late.
//!
//! | module | holds |
//! | --- | --- |
//! | `lease` | the local state of one lease |
//! | `proposals` | proposing, releasing and what an attempt has led to |
//! | `votes` | messages from other instances: this instance's votes, and the others' responses |
//! | `schedule` | timers, and when a late holder is replaced |
//! | `status` | what is known of each lease, for the staff |

mod lease;
mod proposals;
mod schedule;
mod status;
mod votes;

pub use status::LeaseStatus;

use crate::acceptor::Acceptor;
use crate::ranking::Ranking;
use crate::{Clocks, InstanceId, LeaseGrant, LeaseId, Message, Millis};
use lease::Lease;
use schedule::{MAX_BATCH_WINDOW_MS, Timer};
use std::collections::{BTreeMap, BTreeSet};

/// Voters of one lease at most.
pub const MAX_VOTERS: usize = 5;

/// What an instance is given at its start.
#[derive(Clone, Debug)]
pub struct LeaseConfig {
    /// This instance.
    pub instance: InstanceId,
    /// This run of the process: never the same twice.
    pub incarnation: u64,
    /// The instances that may vote, the same at all of them.
    pub voters: Vec<InstanceId>,
    /// How far wall clocks may differ.
    pub max_clock_skew: Millis,
    /// Ranks instances for a lease.
    pub ranking: Ranking,
}

/// What the driver has to do, or to report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send these messages to an instance, in as many datagrams as it takes.
    Send(InstanceId, Vec<Message>),
    /// A term was won: carry out the lease's task while the grant is valid.
    Granted(LeaseGrant),
    /// Terms passed without the task being carried out.
    TermsMissed {
        /// The lease.
        lease: LeaseId,
        /// How many terms.
        terms: u64,
    },
    /// The quorum for a lease that this instance should hold was lost, or is reachable again.
    QuorumChanged {
        /// The lease.
        lease: LeaseId,
        /// Whether it was lost.
        is_lost: bool,
    },
    /// This instance acquired a lease or ceased to hold it.
    HoldingChanged {
        /// The lease.
        lease: LeaseId,
        /// Whether it is held now.
        is_held: bool,
    },
}

/// The leases of one instance, without I/O: the driver passes time and messages in, and takes the outputs.
#[derive(Clone, Debug)]
pub struct LeaseManager {
    config: LeaseConfig,
    acceptor: Acceptor,
    /// The instances believed to be alive; this one always is.
    alive: BTreeSet<InstanceId>,
    leases: BTreeMap<LeaseId, Lease>,
    timers: BTreeSet<Timer>,
    outbox: BTreeMap<InstanceId, Vec<Message>>,
    outputs: Vec<Output>,
    batch_window: Millis,
}

impl LeaseManager {
    /// An instance that knows no lease and nobody but itself.
    pub fn new(now: Clocks, config: LeaseConfig) -> Self {
        let acceptor = Acceptor::new(now, config.max_clock_skew);
        Self {
            alive: BTreeSet::from([config.instance]),
            config,
            acceptor,
            leases: BTreeMap::new(),
            timers: BTreeSet::new(),
            outbox: BTreeMap::new(),
            outputs: Vec::new(),
            batch_window: MAX_BATCH_WINDOW_MS,
        }
    }

    /// Sets the leases, each with its interval: new ones begin, missing or changed ones are released.
    pub fn configure(&mut self, now: Clocks, intervals: &BTreeMap<LeaseId, Millis>) {
        let removed: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(id, lease)| intervals.get(id) != Some(&lease.interval))
            .map(|(id, _)| *id)
            .collect();
        for id in removed {
            self.release_lease(now, id);
            self.disarm_timer(id);
            self.leases.remove(&id);
        }
        for (id, interval) in intervals {
            if !self.leases.contains_key(id) {
                self.add_lease(now, *id, *interval);
            }
        }
        self.update_batch_window();
    }

    fn add_lease(&mut self, now: Clocks, id: LeaseId, interval: Millis) {
        let ranking = self.config.ranking;
        let voters = ranking.voter_set(id, &self.config.voters, MAX_VOTERS);
        let preferred = ranking.preferred_instance(id, &self.alive);
        let lease = Lease::new(now.monotonic, interval.max(1), voters, preferred);
        self.leases.insert(id, lease);
        self.schedule_check(now, id);
    }

    /// Sets the instances that are alive; this instance itself always is.
    pub fn update_alive(&mut self, now: Clocks, alive: &BTreeSet<InstanceId>) {
        let mut alive = alive.clone();
        alive.insert(self.config.instance);
        let joined: Vec<InstanceId> = alive.difference(&self.alive).copied().collect();
        let left: BTreeSet<InstanceId> = self.alive.difference(&alive).copied().collect();
        if joined.is_empty() && left.is_empty() {
            return;
        }
        self.alive = alive;
        for id in self.update_preferred(&joined, &left) {
            self.schedule_check(now, id);
        }
    }

    /// Ranks again what may have changed, and returns the leases whose preferred instance is another one now.
    fn update_preferred(
        &mut self,
        joined: &[InstanceId],
        left: &BTreeSet<InstanceId>,
    ) -> Vec<LeaseId> {
        let ranking = self.config.ranking;
        let mut moved = Vec::new();
        for (id, lease) in &mut self.leases {
            let preferred = match lease.preferred {
                // Only those that joined can outrank one that is still there.
                Some(preferred) if !left.contains(&preferred) => {
                    ranking.preferred_instance(*id, joined.iter().chain([&preferred]))
                }
                _ => ranking.preferred_instance(*id, &self.alive),
            };
            if std::mem::replace(&mut lease.preferred, preferred) != preferred {
                moved.push(*id);
            }
        }
        moved
    }

    /// Handles messages from another instance.
    pub fn receive(&mut self, now: Clocks, from: InstanceId, messages: &[Message]) {
        for message in messages {
            self.handle_message(now, from, message);
        }
    }

    /// Takes what is to be done, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        let mut outputs = std::mem::take(&mut self.outputs);
        let outbox = std::mem::take(&mut self.outbox);
        let sends = outbox.into_iter();
        outputs.extend(sends.map(|(to, messages)| Output::Send(to, messages)));
        outputs
    }

    /// Records that the driver carried out a task, or (`false`) found its grant expired before that.
    pub fn record_completion(&mut self, grant: &LeaseGrant, in_time: bool) {
        if let Some(lease) = self.leases.get_mut(&grant.lease) {
            match in_time {
                true => lease.completed += 1,
                false => lease.missed += 1,
            }
        }
    }

    /// Releases every lease, before an orderly shutdown.
    pub fn release_all(&mut self, now: Clocks) {
        self.configure(now, &BTreeMap::new());
    }

    /// Whether this instance is the preferred one for a lease.
    fn is_preferred(&self, id: LeaseId) -> bool {
        let lease = self.leases.get(&id);
        lease.is_some_and(|lease| lease.preferred == Some(self.config.instance))
    }

    /// Sends a message. One to this instance itself is handled at once.
    fn send_message(&mut self, now: Clocks, to: InstanceId, message: Message) {
        if to == self.config.instance {
            self.handle_message(now, to, &message);
        } else {
            self.outbox.entry(to).or_default().push(message);
        }
    }
}
