//! Tracks the lines that a backend has not answered yet, to measure its reply times and to detect a backend that has
//! stopped responding.

use crate::runtime::duration;
use crate::transfer::EstablishedConnection;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// A backend that owes a reply and has sent nothing for this long is considered failed. The connection to a backend
/// that stops responding has to end within 7 s. Clients send a line every 2 s, so up to 2 s pass before a reply is
/// owed; this timeout leaves a second for the balancer's own delays.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum number of lines without a reply whose send time is kept. Lines beyond it are forwarded but not tracked.
const MAX_UNANSWERED: usize = 64;

/// Matches a backend's replies to the lines sent to it.
pub struct ReplyTracker {
    /// When each line without a reply was sent, oldest first.
    sent: VecDeque<Instant>,
    /// Number of lines read from the client and not yet written completely.
    unsent_lines: usize,
    /// When the backend last sent anything, or when it was sent a line while it owed no reply, whichever is later.
    last_activity: Instant,
}

impl ReplyTracker {
    /// Restores the state saved in the connection.
    pub fn new(connection: &EstablishedConnection) -> Self {
        let now = Instant::now();
        let instant = |age: &f64| now.checked_sub(duration(*age)).unwrap_or(now);
        let ages = connection.unanswered_ages.iter().take(MAX_UNANSWERED);
        Self {
            sent: ages.map(instant).collect(),
            unsent_lines: connection.unsent_lines,
            last_activity: instant(&connection.backend_silent_for),
        }
    }

    /// Saves the state into the connection for a transfer.
    pub fn save(&self, connection: &mut EstablishedConnection) {
        let age = |at: &Instant| at.elapsed().as_secs_f64();
        connection.unanswered_ages = self.sent.iter().map(age).collect();
        connection.backend_silent_for = age(&self.last_activity);
        connection.unsent_lines = self.unsent_lines;
    }

    /// Records lines read from the client.
    pub fn record_client_lines(&mut self, lines: usize) {
        self.unsent_lines += lines;
    }

    /// Records that all lines read from the client have been written.
    pub fn record_sent(&mut self) {
        let now = Instant::now();
        if self.sent.is_empty() {
            self.last_activity = now;
        }
        let lines = std::mem::take(&mut self.unsent_lines);
        let remaining = MAX_UNANSWERED.saturating_sub(self.sent.len());
        self.sent
            .extend(std::iter::repeat_n(now, lines.min(remaining)));
    }

    /// Records that bytes were received from the backend.
    pub fn record_received(&mut self) {
        self.last_activity = Instant::now();
    }

    /// Matches a reply, received at the time last recorded, to the oldest line without one. Returns the time between
    /// the two, or `None` if no line lacks a reply.
    pub fn take_reply(&mut self) -> Option<Duration> {
        let sent = self.sent.pop_front()?;
        Some(self.last_activity - sent)
    }

    /// Time since the oldest line without a reply was sent.
    pub fn oldest_unanswered_age(&self) -> Option<Duration> {
        self.sent.front().map(Instant::elapsed)
    }

    /// When the backend counts as silent if it sends nothing until then; `None` if it owes no reply.
    pub fn silence_deadline(&self) -> Option<Instant> {
        (!self.sent.is_empty()).then(|| self.last_activity + SILENCE_TIMEOUT)
    }

    /// Whether the backend owes a reply and has sent nothing for `SILENCE_TIMEOUT`.
    pub fn is_silent(&self) -> bool {
        !self.sent.is_empty() && self.last_activity.elapsed() >= SILENCE_TIMEOUT
    }
}
