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
/// Maximum number of lines without a reply whose send time is kept. Lines beyond it are forwarded and only counted.
const MAX_TRACKED: usize = 64;
/// A line that is sent while this many others lack a reply is not measured: its reply waits behind theirs, so the time
/// shows how fast the client sends, not how slow the backend is.
const MAX_UNANSWERED_BEFORE: usize = 4;
/// A client that takes longer than this to receive what was read from the backend delays the replies that follow.
const CLIENT_DELAY_TOLERANCE: Duration = Duration::from_millis(10);

/// A line without a reply.
struct SentLine {
    sent_at: Instant,
    /// Whether the time until its reply is that of the backend alone.
    is_measured: bool,
}

/// Matches a backend's replies to the lines sent to it.
pub struct ReplyTracker {
    /// The oldest lines without a reply, oldest first.
    tracked: VecDeque<SentLine>,
    /// Number of lines without a reply that were sent after all tracked ones.
    untracked: usize,
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
        let ages = connection.unanswered_ages.iter().take(MAX_TRACKED);
        let restore = |(index, age): (usize, &f64)| SentLine {
            sent_at: instant(age),
            is_measured: index < MAX_UNANSWERED_BEFORE,
        };
        Self {
            tracked: ages.enumerate().map(restore).collect(),
            untracked: 0,
            unsent_lines: connection.unsent_lines,
            last_activity: instant(&connection.backend_silent_for),
        }
    }

    /// Saves the state into the connection for a transfer.
    pub fn save(&self, connection: &mut EstablishedConnection) {
        let age = |at: &Instant| at.elapsed().as_secs_f64();
        let ages = self.tracked.iter().map(|line| age(&line.sent_at));
        connection.unanswered_ages = ages.collect();
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
        if !self.owes_reply() {
            self.last_activity = now;
        }
        let lines = std::mem::take(&mut self.unsent_lines);
        let free = match self.untracked {
            0 => MAX_TRACKED - self.tracked.len(),
            _ => 0,
        };
        for _ in 0..lines.min(free) {
            let line = SentLine {
                sent_at: now,
                is_measured: self.tracked.len() < MAX_UNANSWERED_BEFORE,
            };
            self.tracked.push_back(line);
        }
        self.untracked += lines.saturating_sub(free);
    }

    /// Records that everything read from the backend so far has been written to the client. If the client took long, no
    /// reply could be read meanwhile, and the lines without one are not measured.
    pub fn record_delivered(&mut self) {
        if self.last_activity.elapsed() > CLIENT_DELAY_TOLERANCE {
            let lines = self.tracked.iter_mut();
            lines.for_each(|line| line.is_measured = false);
        }
    }

    /// Records that bytes were received from the backend.
    pub fn record_received(&mut self) {
        self.last_activity = Instant::now();
    }

    /// Matches a reply, received at the time last recorded, to the oldest line without one. Returns the time between
    /// the two, or `None` if no line lacks a reply or the time says nothing about the backend.
    pub fn take_reply(&mut self) -> Option<Duration> {
        let Some(line) = self.tracked.pop_front() else {
            self.take_untracked_reply();
            return None;
        };
        line.is_measured.then(|| self.last_activity - line.sent_at)
    }

    /// Matches a reply to a line that is only counted. A line may be answered before all those read with it are written.
    fn take_untracked_reply(&mut self) {
        let count = match self.untracked {
            0 => &mut self.unsent_lines,
            _ => &mut self.untracked,
        };
        *count = count.saturating_sub(1);
    }

    /// Time since the oldest line without a reply was sent.
    pub fn oldest_unanswered_age(&self) -> Option<Duration> {
        let oldest = self.tracked.front();
        oldest.map(|line| line.sent_at.elapsed())
    }

    /// When the backend counts as silent if it sends nothing until then; `None` if it owes no reply.
    pub fn silence_deadline(&self) -> Option<Instant> {
        self.owes_reply()
            .then(|| self.last_activity + SILENCE_TIMEOUT)
    }

    /// Whether the backend owes a reply and has sent nothing for `SILENCE_TIMEOUT`.
    pub fn is_silent(&self) -> bool {
        self.owes_reply() && self.last_activity.elapsed() >= SILENCE_TIMEOUT
    }

    fn owes_reply(&self) -> bool {
        !self.tracked.is_empty() || self.untracked > 0
    }
}
