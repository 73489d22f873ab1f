//! Manages all leases of one instance: which leases to hold, when to propose a term, when to hand a lease over and when
//! to take one over. Messages that are ready at the same time for the same recipient are sent together, so that the
//! cost follows the rate of terms and not the number of leases.
//!
//! A lease is held by its preferred instance, which is the one that ranks first among those alive. If another instance
//! holds the lease, the preferred instance asks the holder for the lease and receives it between two terms. If the
//! preferred instance does not act, because it does not know the lease or cannot reach a majority, the voters of the
//! lease take over in turn once the holder is late.
//!
//! | module | holds |
//! | --- | --- |
//! | `lease` | the local state of one lease |
//! | `proposals` | proposing terms, releasing a lease, and acting on the result of an attempt |
//! | `votes` | messages from other instances: requests for this instance's votes, and responses to its own requests |
//! | `schedule` | timers, and when a late holder is replaced |
//! | `status` | the status of each lease, for operators |

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

/// Maximum number of voters of one lease.
pub const MAX_VOTERS: usize = 5;

/// The configuration of a [`LeaseManager`].
#[derive(Clone, Debug)]
pub struct LeaseConfig {
    /// The id of this instance.
    pub instance: InstanceId,
    /// Identifies this run of the process; every run needs another value.
    pub incarnation: u64,
    /// The instances that may vote. The list has to be the same at all instances.
    pub voters: Vec<InstanceId>,
    /// The maximum difference between the wall clocks of the instances.
    pub max_clock_skew: Millis,
    /// Ranks the instances for a lease.
    pub ranking: Ranking,
}

/// An action for the driver to carry out, or an event to report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send these messages to an instance, in as many datagrams as needed.
    Send(InstanceId, Vec<Message>),
    /// A term was won: carry out the lease's task while the grant is valid.
    Granted(LeaseGrant),
    /// Terms passed without the task being carried out.
    TermsMissed {
        /// The lease.
        lease: LeaseId,
        /// The number of missed terms.
        terms: u64,
    },
    /// The quorum for a lease that this instance should hold was lost or is reachable again.
    QuorumChanged {
        /// The lease.
        lease: LeaseId,
        /// Whether the quorum is lost.
        is_lost: bool,
    },
    /// This instance has acquired a lease or no longer holds it.
    HoldingChanged {
        /// The lease.
        lease: LeaseId,
        /// Whether this instance holds the lease now.
        is_held: bool,
    },
}

/// The leases of one instance, without I/O. The driver passes in time and messages and takes out the outputs.
#[derive(Clone, Debug)]
pub struct LeaseManager {
    config: LeaseConfig,
    acceptor: Acceptor,
    /// The instances believed to be alive; always contains this instance.
    alive: BTreeSet<InstanceId>,
    leases: BTreeMap<LeaseId, Lease>,
    timers: BTreeSet<Timer>,
    outbox: BTreeMap<InstanceId, Vec<Message>>,
    outputs: Vec<Output>,
    batch_window: Millis,
}

impl LeaseManager {
    /// Creates a manager without leases, which knows no other instance.
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

    /// Sets the leases and their intervals. Leases that are removed are released, new ones are added, and a lease whose
    /// interval has changed is released and added again.
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

    /// Sets the instances that are alive. This instance always counts as alive.
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

    /// Updates the preferred instance of each lease and returns the leases for which it has changed.
    fn update_preferred(
        &mut self,
        joined: &[InstanceId],
        left: &BTreeSet<InstanceId>,
    ) -> Vec<LeaseId> {
        let ranking = self.config.ranking;
        let mut changed = Vec::new();
        for (id, lease) in &mut self.leases {
            let preferred = match lease.preferred {
                // Only an instance that joined can outrank a preferred instance that is still alive.
                Some(preferred) if !left.contains(&preferred) => {
                    ranking.preferred_instance(*id, joined.iter().chain([&preferred]))
                }
                _ => ranking.preferred_instance(*id, &self.alive),
            };
            if std::mem::replace(&mut lease.preferred, preferred) != preferred {
                changed.push(*id);
            }
        }
        changed
    }

    /// Handles messages from another instance.
    pub fn receive(&mut self, now: Clocks, from: InstanceId, messages: &[Message]) {
        for message in messages {
            self.handle_message(now, from, message);
        }
    }

    /// Takes the outputs in order, with the messages last.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        let mut outputs = std::mem::take(&mut self.outputs);
        let outbox = std::mem::take(&mut self.outbox);
        let sends = outbox.into_iter();
        outputs.extend(sends.map(|(to, messages)| Output::Send(to, messages)));
        outputs
    }

    /// Records that the driver has carried out a lease's task, or, if `in_time` is false, that the grant expired first.
    pub fn record_completion(&mut self, grant: &LeaseGrant, in_time: bool) {
        if let Some(lease) = self.leases.get_mut(&grant.lease) {
            match in_time {
                true => lease.completed += 1,
                false => lease.missed += 1,
            }
        }
    }

    /// Releases all leases before an orderly shutdown.
    pub fn release_all(&mut self, now: Clocks) {
        self.configure(now, &BTreeMap::new());
    }

    /// Whether this instance is the preferred one for a lease.
    fn is_preferred(&self, id: LeaseId) -> bool {
        let lease = self.leases.get(&id);
        lease.is_some_and(|lease| lease.preferred == Some(self.config.instance))
    }

    /// Queues a message for another instance. A message to this instance is handled at once.
    fn send_message(&mut self, now: Clocks, to: InstanceId, message: Message) {
        if to == self.config.instance {
            self.handle_message(now, to, &message);
        } else {
            self.outbox.entry(to).or_default().push(message);
        }
    }
}
