//! A control instance's side: it responds to polls within a rate limit, and knows which changes have reached all its
//! followers.
//!
//! Of each follower it keeps one small record and sends nothing unrequested but handshakes, so a follower that never
//! comes back costs that record, for a day at most. It sends one small datagram in response to a poll that has
//! nothing new, and otherwise datagrams of at most [`MAX_DATAGRAM`](spanspur_membership::authentication::MAX_DATAGRAM) bytes
//! within the limit of its [`RateLimiter`].
//!
//! | module | contents |
//! | --- | --- |
//! | `config` | the source's configuration and limits |
//! | `followers` | the record of each follower |
//! | `requests` | what a poll is answered |
//! | `catch_up` | changes, hashes and entries, packed into datagrams |
//! | `budget` | the rate limit on responses, reservations |
//! | `propagation` | which changes have reached all followers |
//! | `status` | what an operator is shown |

mod budget;
mod catch_up;
mod config;
mod followers;
mod propagation;
mod requests;
mod status;

pub use config::{Limits, MAX_FOLLOWERS, SourceConfig};
pub use followers::{FORGET_AFTER, FORGET_AFTER_WHEN_FULL, REACHABLE_FOR};
pub use propagation::{LAG_THRESHOLD, MAX_TRACKED_CHANGES, SETTLE_TIME, TRACKING_INTERVAL};
pub use status::{ChangeStatus, FollowerDelay, MAX_LISTED_FOLLOWERS, SourceStatus};

use crate::channel::Channel;
use crate::rate_limiter::RateLimiter;
use crate::store::{ChangeLog, EntryStore};
use crate::{Entry, Millis, Output};
use budget::RequestLimit;
use followers::Followers;
use propagation::ChangeTracker;
use spanspur_membership::Keys;
use spanspur_membership::authentication::{DatagramError, DatagramKind, OpenedDatagram};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A control instance's side of the replication. See the module's documentation.
pub struct Source {
    channel: Channel,
    store: EntryStore,
    log: ChangeLog,
    followers: Followers,
    rate_limiter: RateLimiter,
    request_limit: RequestLimit,
    started_at: Millis,
    /// When the data was last confirmed to be complete.
    confirmed_at: Option<Millis>,
    tracker: ChangeTracker,
    next_tracking: Millis,
}

impl Source {
    /// A source that holds nothing.
    pub fn new(now: Millis, config: SourceConfig) -> Self {
        let limits = &config.limits;
        Self {
            channel: Channel::new(config.identity, config.keys, limits.handshakes_per_second),
            store: EntryStore::default(),
            log: ChangeLog::new(limits.change_log_capacity),
            followers: Followers::new(limits.max_followers),
            rate_limiter: RateLimiter::new(now, limits.datagrams_per_second, limits.burst),
            request_limit: RequestLimit::new(now, limits.requests_per_second),
            started_at: now,
            confirmed_at: None,
            tracker: ChangeTracker::default(),
            next_tracking: now + TRACKING_INTERVAL,
        }
    }

    /// Takes entries from the cluster's gossip store; those that are not newer change nothing.
    pub fn publish(&mut self, now: Millis, entries: &[Entry]) {
        for entry in entries {
            match self.store.insert_if_newer(entry) {
                Ok(true) => {
                    let sequence = self.log.push(entry.key);
                    self.tracker.record(now, sequence, entry);
                }
                Ok(false) => {}
                Err(error) => self.channel.count(error.counter()),
            }
        }
    }

    /// The writer was heard from: all that exists is held here, as of now.
    pub fn confirm_complete(&mut self, now: Millis) {
        self.confirmed_at = Some(now);
    }

    /// Handles a datagram; an invalid one is counted and dropped.
    pub fn receive(&mut self, now: Millis, from: SocketAddr, bytes: &[u8]) {
        let opened = match self.channel.open(bytes) {
            Ok(opened) => opened,
            Err(refusal) => {
                // Sealed by a member for an earlier incarnation of ours: it learns of the new one.
                if refusal == DatagramError::OtherIncarnation {
                    self.channel.start_handshake(now, from);
                }
                return;
            }
        };
        match opened.kind {
            DatagramKind::Greeting | DatagramKind::Answer => {
                self.receive_handshake(now, from, &opened)
            }
            DatagramKind::Data => self.receive_request(now, from, &opened),
        }
    }

    fn receive_handshake(&mut self, now: Millis, from: SocketAddr, opened: &OpenedDatagram<'_>) {
        let Some(identity) = self.channel.peer_identity(opened) else {
            return;
        };
        // A greeting can be a replay, so nothing is kept of it.
        if opened.kind == DatagramKind::Answer
            && let Some(follower) = self.register_follower(now, opened)
        {
            follower.name = identity.name;
        }
        if opened.kind == DatagramKind::Greeting || opened.is_new_incarnation {
            self.channel.answer_handshake(now, from, opened.incarnation);
        }
    }

    /// When [`Source::wake`] is due at the latest.
    pub fn next_wake(&self) -> Millis {
        self.next_tracking
    }

    /// Updates which changes have reached all followers, and forgets followers that are long gone.
    pub fn wake(&mut self, now: Millis) {
        if now < self.next_tracking {
            return;
        }
        self.next_tracking = now + TRACKING_INTERVAL;
        let is_settled = self.is_settled(now);
        let confirmed = self.followers.confirmed_by_all(now);
        self.tracker.update(now, confirmed, is_settled);
        for follower in self.followers.remove_expired(now) {
            self.channel.forget(follower);
        }
    }

    /// Takes what the driver has to carry out, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        self.channel.take_outputs()
    }

    /// The entries.
    pub fn store(&self) -> &EntryStore {
        &self.store
    }

    /// What was dropped, rejected and spent, by name.
    pub fn counters(&self) -> BTreeMap<&'static str, u64> {
        self.channel.counters()
    }

    /// Replaces the cluster's keys.
    pub fn rekey(&mut self, keys: Keys) {
        self.channel.rekey(keys);
    }

    /// Whether followers that found this source disconnected have had the time to come back.
    fn is_settled(&self, now: Millis) -> bool {
        now >= self.started_at + SETTLE_TIME
    }

    fn data_age(&self, now: Millis) -> Option<Millis> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }
}
