//! Timers: when the next term is proposed, a request repeated, or a late holder replaced.

use super::LeaseManager;
use super::lease::STAGGER_SHARE;
use crate::acceptor::LATE_HOLDER_DIVISOR;
use crate::proposer::Phase;
use crate::{Clocks, LeaseId, Millis};

/// Terms that fall due within this share of the shortest interval travel together, within the two bounds below.
const BATCH_SHARE: u64 = 50;
const MIN_BATCH_WINDOW_MS: Millis = 5;
pub(super) const MAX_BATCH_WINDOW_MS: Millis = 200;

/// A lease's timer; ordered by time, then by lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Timer {
    at: Millis,
    lease: LeaseId,
}

impl LeaseManager {
    /// When [`LeaseManager::wake`] has to be called at the latest, on the monotonic clock; `None` without a timer.
    pub fn next_wake(&self) -> Option<Millis> {
        let at = self.timers.first()?.at;
        // Rounded up, so that what falls due together is sent together.
        Some(at.div_ceil(self.batch_window) * self.batch_window)
    }

    /// Handles the timers that have expired.
    pub fn wake(&mut self, now: Clocks) {
        while let Some(timer) = self.timers.first().copied()
            && timer.at <= now.monotonic
        {
            self.timers.pop_first();
            if let Some(lease) = self.leases.get_mut(&timer.lease) {
                lease.timer_at = None;
            }
            self.handle_timer(now, timer.lease);
        }
    }

    fn handle_timer(&mut self, now: Clocks, id: LeaseId) {
        let Some(lease) = self.leases.get(&id) else {
            return;
        };
        match lease.proposer.phase {
            Phase::Idle => self.check_holder(now, id),
            Phase::Holding => self.propose_term(now, id),
            Phase::PreVote | Phase::Preparing | Phase::Proposing => self.repeat_request(now, id),
        }
    }

    /// Tries to acquire the lease if this instance is preferred, or the holder is late and it is this voter's turn.
    fn check_holder(&mut self, now: Clocks, id: LeaseId) {
        let takeover_at = self.takeover_at(id);
        let is_turn = takeover_at.is_some_and(|at| at <= now.monotonic);
        if self.is_preferred(id) || is_turn {
            self.start_pre_vote(now, id);
        } else {
            self.schedule_check(now, id);
        }
    }

    /// Sets the timer of an idle lease: at once if this instance is preferred, else when the holder is late.
    pub(super) fn schedule_check(&mut self, now: Clocks, id: LeaseId) {
        let Some(lease) = self.leases.get(&id) else {
            return;
        };
        if lease.proposer.phase != Phase::Idle {
            return;
        }
        match self.takeover_at(id) {
            _ if self.is_preferred(id) => self.arm_timer(now, id, now.monotonic),
            Some(at) => self.arm_timer(now, id, at.max(now.monotonic + 1)),
            None => self.disarm_timer(id),
        }
    }

    /// When this instance, as a voter of the lease, takes it over from a late holder; `None` if it has no vote.
    fn takeover_at(&self, id: LeaseId) -> Option<Millis> {
        let lease = self.leases.get(&id)?;
        let own_id = self.config.instance;
        let position = lease.voters.iter().position(|voter| *voter == own_id)?;
        let ahead = lease.voters[..position].iter();
        let alive_ahead = ahead.filter(|voter| self.alive.contains(voter)).count() as u64;
        let turn = lease.interval / STAGGER_SHARE * alive_ahead;
        let late_from = match self.acceptor.state(id) {
            Some(state) => state.late_from(),
            None => lease.added_at + lease.interval + lease.interval / LATE_HOLDER_DIVISOR,
        };
        Some(late_from + turn)
    }

    pub(super) fn arm_next_term(&mut self, now: Clocks, id: LeaseId) {
        if let Some(next_term_at) = self.leases.get(&id).map(|lease| lease.next_term_at) {
            self.arm_timer(now, id, next_term_at);
        }
    }

    pub(super) fn arm_timer(&mut self, now: Clocks, id: LeaseId, at: Millis) {
        self.disarm_timer(id);
        if let Some(lease) = self.leases.get_mut(&id) {
            let at = at.max(now.monotonic);
            lease.timer_at = Some(at);
            self.timers.insert(Timer { at, lease: id });
        }
    }

    pub(super) fn disarm_timer(&mut self, id: LeaseId) {
        let lease = self.leases.get_mut(&id);
        if let Some(at) = lease.and_then(|lease| lease.timer_at.take()) {
            self.timers.remove(&Timer { at, lease: id });
        }
    }

    pub(super) fn update_batch_window(&mut self) {
        let shortest = self.leases.values().map(|lease| lease.interval).min();
        let window = shortest.unwrap_or(u64::MAX) / BATCH_SHARE;
        self.batch_window = window.clamp(MIN_BATCH_WINDOW_MS, MAX_BATCH_WINDOW_MS);
    }
}
