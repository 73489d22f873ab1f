//! Assignment of the two sources to poll, among those that are not disconnected.

use super::Follower;
use crate::messages::Query;
use crate::source_selection::{self, Assignment, Role, SourceIndex};
use crate::{Event, Millis};

impl Follower {
    /// Reassigns the two roles, unsubscribes from sources that lost theirs, and schedules polls of new ones.
    pub(super) fn assign_sources(&mut self, now: Millis) {
        let is_available = |source: SourceIndex| !self.states[source].is_disconnected();
        let assignment =
            source_selection::assign_roles(&self.preference, &self.sources, is_available);
        let previous = std::mem::replace(&mut self.assignment, assignment);
        self.release_sources(now, previous);
        self.schedule_new_sources(now, previous);
        self.update_disconnected();
    }

    fn release_sources(&mut self, now: Millis, previous: Assignment) {
        for (_, source) in previous.iter() {
            if self.assignment.contains(source) || self.states[source].is_disconnected() {
                continue;
            }
            if self.channel.has_session(self.sources[source].id) {
                self.send_request(now, source, Query::Unsubscribe, &[]);
            }
            self.states[source].pending_request = None;
            self.cancel_resync(source);
        }
    }

    fn schedule_new_sources(&mut self, now: Millis, previous: Assignment) {
        // At its start, a follower waits for its regular poll time. This spreads the polls of followers that all start
        // at once.
        let is_start = previous.is_empty() && !self.disconnected;
        for (role, source) in self.assignment.iter() {
            if previous.contains(source) {
                continue;
            }
            self.states[source].next_poll = match is_start {
                true => self.regular_poll_time(now, role),
                false => now,
            };
        }
    }

    fn update_disconnected(&mut self) {
        let disconnected = self.assignment.is_empty() && !self.sources.is_empty();
        if disconnected != self.disconnected {
            self.disconnected = disconnected;
            self.channel.emit(Event::Disconnected(disconnected));
        }
    }

    /// Records that a source responds.
    pub(super) fn mark_responsive(&mut self, now: Millis, source: SourceIndex) {
        let state = &mut self.states[source];
        state.missed_responses = 0;
        if state.retry_at.take().is_some() {
            let name = self.sources[source].endpoint.name.clone();
            self.channel.emit(Event::SourceReconnected(name));
            self.assign_sources(now);
        }
    }

    /// Records that a source does not respond. It is retried later, and another source takes its role.
    pub(super) fn mark_disconnected(&mut self, now: Millis, source: SourceIndex) {
        let retry_at = self.random_retry_time(now);
        let state = &mut self.states[source];
        let was_disconnected = state.retry_at.replace(retry_at).is_some();
        state.missed_responses = 0;
        state.timeout_factor = 1;
        if was_disconnected {
            return;
        }
        self.channel.count("sources-silent");
        let name = self.sources[source].endpoint.name.clone();
        self.channel.emit(Event::SourceDisconnected(name));
        self.cancel_resync(source);
        self.assign_sources(now);
    }

    /// The next regular time at which the source with this role is polled.
    pub(super) fn regular_poll_time(&self, now: Millis, role: Role) -> Millis {
        let interval = self.schedule.poll_interval.max(1);
        let offset = match role {
            Role::Primary => 0,
            Role::Secondary => interval / 2,
        };
        let first = self.first_poll + offset;
        match now < first {
            true => first,
            false => now + interval - (now - first) % interval,
        }
    }
}
