//! SWIM membership on top of the foca library. This module keeps the library's timers in one queue and passes its
//! messages on as bytes.

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

/// Maximum number of pending timers; far more than a cluster of 1,000 instances needs.
const MAX_TIMERS: usize = 16_384;
/// Maximum size of a gossip message, in bytes, so that it fits into a sealed datagram.
const MAX_MESSAGE_BYTES: usize = 1200;
/// How long a member that is down is remembered.
const DOWN_MEMBER_RETENTION: Duration = Duration::from_secs(60);

/// The timing of failure detection.
#[derive(Clone, Copy, Debug)]
pub struct ProbeTiming {
    /// Each instance probes one other instance per interval.
    pub probe_interval: Duration,
    /// If a probe is not acknowledged within this time, other instances are asked to probe the same member.
    pub ack_timeout: Duration,
    /// A suspected instance that does not refute the suspicion within this time counts as down.
    pub suspicion_timeout: Duration,
}

impl ProbeTiming {
    /// How long it usually takes until all members know that an instance has failed.
    pub fn detection_time(&self) -> Duration {
        self.probe_interval * 3 + self.suspicion_timeout
    }
}

/// A change of the membership, as seen by one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// A member is alive, or has a new identity.
    Up(Identity),
    /// A member is down: it failed, was partitioned off or left the cluster.
    Down(Identity),
    /// This instance was declared down and refuted that; holds the new identity.
    Refuted(Identity),
}

/// Orders timers by their time, in milliseconds; timers of the same millisecond keep the order in which they were
/// scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    at: u64,
    sequence: u64,
}

/// The cluster's membership as one instance sees it. All times are milliseconds on the instance's monotonic clock.
pub struct Membership {
    foca: Foca<Identity, PostcardCodec, ChaCha8Rng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Identity>,
    timers: BTreeMap<TimerKey, Timer<Identity>>,
    timer_sequence: u64,
    alive: BTreeMap<String, Identity>,
    changes: Vec<MembershipChange>,
    outbox: Vec<(Identity, Vec<u8>)>,
    /// Number of calls that the library rejected, and of timers dropped because too many were pending.
    pub rejected: u64,
}

impl Membership {
    /// Creates the membership of an instance that knows no other member. The seed determines the random choices,
    /// such as the order of probes.
    pub fn new(own_identity: Identity, timing: ProbeTiming, seed: u64) -> Self {
        let non_zero = |n| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
        let periodic = |frequency, num_members| {
            Some(PeriodicParams {
                frequency,
                num_members: non_zero(num_members),
            })
        };
        let config = foca::Config {
            probe_period: timing.probe_interval,
            probe_rtt: timing.ack_timeout,
            num_indirect_probes: non_zero(3),
            max_transmissions: NonZeroU8::new(10).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: timing.suspicion_timeout,
            remove_down_after: Some(DOWN_MEMBER_RETENTION),
            max_packet_size: non_zero(MAX_MESSAGE_BYTES),
            notify_down_members: true,
            periodic_announce: periodic(timing.probe_interval * 20, 1),
            periodic_announce_to_down_members: periodic(timing.probe_interval * 4, 2),
            periodic_gossip: periodic(timing.probe_interval / 3, 3),
        };
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self {
            foca: Foca::new(own_identity, config, rng, PostcardCodec),
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            timer_sequence: 0,
            alive: BTreeMap::new(),
            changes: Vec::new(),
            outbox: Vec::new(),
            rejected: 0,
        }
    }

    /// The identity of this instance.
    pub fn own_identity(&self) -> &Identity {
        self.foca.identity()
    }

    /// The other members that are alive, by name.
    pub fn alive(&self) -> &BTreeMap<String, Identity> {
        &self.alive
    }

    /// Joins the cluster through an instance whose identity is known.
    pub fn join(&mut self, now: u64, through: Identity) {
        let result = self.foca.announce(through, &mut self.runtime);
        self.process_result(now, result);
    }

    /// Handles a gossip message from another member.
    pub fn receive(&mut self, now: u64, bytes: &[u8]) {
        let result = self.foca.handle_data(bytes, &mut self.runtime);
        self.process_result(now, result);
    }

    /// Leaves the cluster and tells the other members, so that they need not detect a failure.
    pub fn leave(&mut self, now: u64) {
        let result = self.foca.leave_cluster(&mut self.runtime);
        self.process_result(now, result);
    }

    /// The time at which [`Membership::wake`] is due; `None` without a pending timer.
    pub fn next_wake(&self) -> Option<u64> {
        self.timers.first_key_value().map(|(key, _)| key.at)
    }

    /// Handles the timers that have expired.
    pub fn wake(&mut self, now: u64) {
        while let Some(entry) = self.timers.first_entry()
            && entry.key().at <= now
        {
            let timer = entry.remove();
            let result = self.foca.handle_timer(timer, &mut self.runtime);
            self.process_result(now, result);
        }
    }

    /// Takes the messages to be sent, each with its recipient.
    pub fn take_messages(&mut self) -> Vec<(Identity, Vec<u8>)> {
        std::mem::take(&mut self.outbox)
    }

    /// Takes the membership changes since the last call.
    pub fn take_changes(&mut self) -> Vec<MembershipChange> {
        std::mem::take(&mut self.changes)
    }

    /// Collects the messages, timers and notifications that a call of the library has produced.
    fn process_result(&mut self, now: u64, result: Result<(), foca::Error>) {
        if result.is_err() {
            self.rejected += 1;
        }
        while let Some((to, bytes)) = self.runtime.to_send() {
            self.outbox.push((to, bytes.to_vec()));
        }
        while let Some((delay, timer)) = self.runtime.to_schedule() {
            self.schedule_timer(now + delay.as_millis() as u64, timer);
        }
        while let Some(notification) = self.runtime.to_notify() {
            self.apply_notification(notification);
        }
    }

    fn schedule_timer(&mut self, at: u64, timer: Timer<Identity>) {
        if self.timers.len() >= MAX_TIMERS {
            self.rejected += 1;
            return;
        }
        self.timer_sequence += 1;
        let sequence = self.timer_sequence;
        self.timers.insert(TimerKey { at, sequence }, timer);
    }

    fn apply_notification(&mut self, notification: OwnedNotification<Identity>) {
        match notification {
            OwnedNotification::MemberUp(member) => self.record_up(member),
            OwnedNotification::MemberDown(member) => self.record_down(member),
            OwnedNotification::Rename(old, new) if self.alive.contains_key(&old.name) => {
                self.record_up(new);
            }
            OwnedNotification::Rejoin(own_identity) => {
                self.changes.push(MembershipChange::Refuted(own_identity));
            }
            _ => {}
        }
    }

    fn record_up(&mut self, member: Identity) {
        let previous = self.alive.insert(member.name.clone(), member.clone());
        if previous.as_ref() != Some(&member) {
            self.changes.push(MembershipChange::Up(member));
        }
    }

    /// Records that a member is down. A late report about an earlier identity is ignored if the member is alive under a
    /// newer one.
    fn record_down(&mut self, member: Identity) {
        if self.alive.get(&member.name) == Some(&member) {
            self.alive.remove(&member.name);
            self.changes.push(MembershipChange::Down(member));
        }
    }

    /// The names of all members that are alive, including this instance.
    pub fn names(&self) -> BTreeSet<&str> {
        let others = self.alive.keys().map(String::as_str);
        others.chain([self.own_identity().name.as_str()]).collect()
    }
}
