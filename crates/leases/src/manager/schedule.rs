//! Timers: when to propose the next term, retransmit a request or replace a late holder.

use super::LeaseManager;
use super::lease::STAGGER_DIVISOR;
use crate::acceptor::LATE_HOLDER_DIVISOR;
use crate::proposer::Phase;
use crate::{Clocks, LeaseId, Millis};

/// Timers that expire within `shortest interval / BATCH_DIVISOR` are handled together, so that their messages are sent
/// together. The next two constants bound this window.
const BATCH_DIVISOR: u64 = 50;
const MIN_BATCH_WINDOW_MS: Millis = 5;
pub(super) const MAX_BATCH_WINDOW_MS: Millis = 200;

/// The timer of a lease. Ordered by time, then by lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Timer {
    at: Millis,
    lease: LeaseId,
}

impl LeaseManager {
    /// The time on the monotonic clock at which [`LeaseManager::wake`] is due; `None` if no timer is armed.
    pub fn next_wake(&self) -> Option<Millis> {
        let at = self.timers.first()?.at;
        // Rounded up to the batch window, so that timers of one window are handled by one call.
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
            Phase::PreVote | Phase::Preparing | Phase::Proposing => {
                self.retransmit_request(now, id)
            }
        }
    }

    /// Starts a pre-vote if this instance is preferred, or if the holder is late and it is this instance's turn to take
    /// over. Otherwise schedules the next check.
    fn check_holder(&mut self, now: Clocks, id: LeaseId) {
        let takeover_at = self.takeover_at(id);
        let is_turn = takeover_at.is_some_and(|at| at <= now.monotonic);
        if self.is_preferred(id) || is_turn {
            self.start_pre_vote(now, id);
        } else {
            self.schedule_check(now, id);
        }
    }

    /// Arms the timer of an idle lease: for now if this instance is preferred, else for this voter's turn to take over.
    /// An instance without a vote needs no timer.
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

    /// When this instance takes the lease over from a late holder; `None` if this instance is not a voter of the lease.
    fn takeover_at(&self, id: LeaseId) -> Option<Millis> {
        let lease = self.leases.get(&id)?;
        let own_id = self.config.instance;
        let position = lease.voters.iter().position(|voter| *voter == own_id)?;
        let higher_ranked = lease.voters[..position].iter();
        let alive_ahead = higher_ranked
            .filter(|voter| self.alive.contains(voter))
            .count() as u64;
        let stagger = lease.interval / STAGGER_DIVISOR * alive_ahead;
        let late_from = match self.acceptor.state(id) {
            Some(state) => state.late_from(),
            None => lease.added_at + lease.interval + lease.interval / LATE_HOLDER_DIVISOR,
        };
        Some(late_from + stagger)
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
        let window = shortest.unwrap_or(u64::MAX) / BATCH_DIVISOR;
        self.batch_window = window.clamp(MIN_BATCH_WINDOW_MS, MAX_BATCH_WINDOW_MS);
    }
}
