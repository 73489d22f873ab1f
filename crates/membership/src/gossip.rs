//! SWIM membership by the foca library, with its timers in one place and its messages as bytes.

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

/// Timers that are kept at most; far more than a cluster of 1,000 needs.
const MAX_TIMERS: usize = 16_384;
/// Bytes of one gossip message at most, so that it fits into a sealed datagram.
const MAX_MESSAGE_BYTES: usize = 1200;
/// How long a member that went down is remembered.
const DOWN_MEMBER_RETENTION: Duration = Duration::from_secs(60);

/// The timing of failure detection.
#[derive(Clone, Copy, Debug)]
pub struct ProbeTiming {
    /// Each instance probes another one once in this time.
    pub probe_interval: Duration,
    /// A probe is answered within this time, or other instances probe too.
    pub ack_timeout: Duration,
    /// A suspected instance that does not refute counts as down after this time.
    pub suspicion_timeout: Duration,
}

impl ProbeTiming {
    /// How long it usually takes until all know that an instance has died.
    pub fn detection_time(&self) -> Duration {
        self.probe_interval * 3 + self.suspicion_timeout
    }
}

/// A change of the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// A member is alive.
    Up(Identity),
    /// A member is down: it died, was cut off, or has left.
    Down(Identity),
    /// This instance was declared down and has refuted it; this is its new identity.
    Refuted(Identity),
}

/// When a timer expires, in milliseconds; those of one moment keep the order in which they were scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    at: u64,
    sequence: u64,
}

/// The membership as one instance sees it. All times are milliseconds on the instance's monotonic clock.
pub struct Membership {
    foca: Foca<Identity, PostcardCodec, ChaCha8Rng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Identity>,
    timers: BTreeMap<TimerKey, Timer<Identity>>,
    scheduled_timers: u64,
    alive: BTreeMap<String, Identity>,
    changes: Vec<MembershipChange>,
    outbox: Vec<(Identity, Vec<u8>)>,
    /// Messages that the library rejected, and timers over the limit.
    pub rejected: u64,
}

impl Membership {
    /// An instance that knows no other member. The seed determines whom it probes.
    pub fn new(own_identity: Identity, timing: ProbeTiming, seed: u64) -> Self {
        let non_zero = |n| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
        let every = |frequency, num_members| {
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
            periodic_announce: every(timing.probe_interval * 20, 1),
            periodic_announce_to_down_members: every(timing.probe_interval * 4, 2),
            periodic_gossip: every(timing.probe_interval / 3, 3),
        };
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self {
            foca: Foca::new(own_identity, config, rng, PostcardCodec),
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            scheduled_timers: 0,
            alive: BTreeMap::new(),
            changes: Vec::new(),
            outbox: Vec::new(),
            rejected: 0,
        }
    }

    /// This instance.
    pub fn own_identity(&self) -> &Identity {
        self.foca.identity()
    }

    /// All other members that are alive, by name.
    pub fn alive(&self) -> &BTreeMap<String, Identity> {
        &self.alive
    }

    /// Joins the cluster through an instance whose identity is known.
    pub fn join(&mut self, now: u64, through: Identity) {
        let result = self.foca.announce(through, &mut self.runtime);
        self.process_result(now, result);
    }

    /// Handles a message.
    pub fn receive(&mut self, now: u64, bytes: &[u8]) {
        let result = self.foca.handle_data(bytes, &mut self.runtime);
        self.process_result(now, result);
    }

    /// Leaves the cluster, so that the others need not detect it.
    pub fn leave(&mut self, now: u64) {
        let result = self.foca.leave_cluster(&mut self.runtime);
        self.process_result(now, result);
    }

    /// When [`Membership::wake`] is due.
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

    /// Takes the messages to be sent.
    pub fn take_messages(&mut self) -> Vec<(Identity, Vec<u8>)> {
        std::mem::take(&mut self.outbox)
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<MembershipChange> {
        std::mem::take(&mut self.changes)
    }

    /// Collects what a call of the library has led to.
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
        self.scheduled_timers += 1;
        let sequence = self.scheduled_timers;
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

    /// An earlier incarnation of a member that has come back already is ignored.
    fn record_down(&mut self, member: Identity) {
        if self.alive.get(&member.name) == Some(&member) {
            self.alive.remove(&member.name);
            self.changes.push(MembershipChange::Down(member));
        }
    }

    /// The names of all members that are alive, this instance included.
    pub fn names(&self) -> BTreeSet<&str> {
        let others = self.alive.keys().map(String::as_str);
        others.chain([self.own_identity().name.as_str()]).collect()
    }
}
