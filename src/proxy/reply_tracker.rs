//! Which lines a backend has not answered yet: how long its replies take, and whether it has fallen silent.

use crate::runtime::duration;
use crate::transfer::EstablishedConnection;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// A backend that has left a line unanswered for so long is gone. Clients send a line every 2 s, and the connection has to
/// end within 7 s: this leaves a second for the balancer's own delays.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(4);
/// How many lines without a reply are remembered.
const MAX_UNANSWERED: usize = 64;

/// The lines sent to a backend and its replies.
pub struct ReplyTracker {
    /// When each line was sent that has no reply yet.
    sent: VecDeque<Instant>,
    /// Lines read from the client and not written completely.
    unsent_lines: usize,
    /// When the silence began: the backend was heard, or was sent the first line without a reply.
    last_heard: Instant,
}

impl ReplyTracker {
    /// Continues from what is known of the connection.
    pub fn new(connection: &EstablishedConnection) -> Self {
        let now = Instant::now();
        let ago = |age: &f64| now.checked_sub(duration(*age)).unwrap_or(now);
        let ages = connection.unanswered_ages.iter().take(MAX_UNANSWERED);
        Self {
            sent: ages.map(ago).collect(),
            unsent_lines: connection.unsent_lines,
            last_heard: ago(&connection.backend_silent_for),
        }
    }

    /// Writes what is tracked into the connection, for a transfer.
    pub fn save(&self, connection: &mut EstablishedConnection) {
        let age = |at: &Instant| at.elapsed().as_secs_f64();
        connection.unanswered_ages = self.sent.iter().map(age).collect();
        connection.backend_silent_for = age(&self.last_heard);
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
            self.last_heard = now;
        }
        let lines = std::mem::take(&mut self.unsent_lines);
        let room = MAX_UNANSWERED.saturating_sub(self.sent.len());
        self.sent.extend(std::iter::repeat_n(now, lines.min(room)));
    }

    /// Records that the backend was heard.
    pub fn record_heard(&mut self) {
        self.last_heard = Instant::now();
    }

    /// Takes a reply, heard last, to the oldest line without one: the time between them. `None` if all lines have their
    /// reply.
    pub fn take_reply(&mut self) -> Option<Duration> {
        let sent = self.sent.pop_front()?;
        Some(self.last_heard - sent)
    }

    /// Time since the oldest line without a reply was sent.
    pub fn oldest_unanswered_age(&self) -> Option<Duration> {
        self.sent.front().map(Instant::elapsed)
    }

    /// When the backend counts as silent if it is not heard before; `None` if it owes no reply.
    pub fn silent_at(&self) -> Option<Instant> {
        (!self.sent.is_empty()).then(|| self.last_heard + SILENCE_TIMEOUT)
    }

    /// Whether the backend has fallen silent.
    pub fn is_silent(&self) -> bool {
        !self.sent.is_empty() && self.last_heard.elapsed() >= SILENCE_TIMEOUT
    }
}
