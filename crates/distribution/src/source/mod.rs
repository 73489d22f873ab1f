//! A control instance's side: responds to polls within a rate limit, and tracks which changes have reached all
//! followers.
//!
//! A source keeps one small record of each follower, and sends nothing unrequested but handshakes. A follower that
//! never returns therefore costs no more than its record, for at most a day. A poll without new data is answered with
//! one small datagram. Other responses consist of datagrams of at most
//! [`MAX_DATAGRAM`](spanspur_membership::authentication::MAX_DATAGRAM) bytes, within the limit of the [`RateLimiter`].
//!
//! | module | contents |
//! | --- | --- |
//! | `config` | the source's configuration and limits |
//! | `followers` | the record of each follower |
//! | `requests` | handling of requests |
//! | `packing` | packing of changes, hashes and entries into datagrams |
//! | `rate_limits` | the limits on requests and responses, reservations |
//! | `propagation` | tracking of changes until they have reached all followers |
//! | `status` | the status for operators |

mod config;
mod followers;
mod packing;
mod propagation;
mod rate_limits;
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
use followers::Followers;
use propagation::ChangeTracker;
use rate_limits::RequestLimit;
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
    /// When a writer was last heard from.
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

    /// Applies entries from the cluster's gossip store. Entries that are not newer change nothing; invalid ones are
    /// counted.
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

    /// Records that a writer was heard from, whose heartbeat confirmed that this source holds all entries as of `now`.
    pub fn confirm_complete(&mut self, now: Millis) {
        self.confirmed_at = Some(now);
    }

    /// Handles a datagram. An invalid one is counted and dropped.
    pub fn receive(&mut self, now: Millis, from: SocketAddr, bytes: &[u8]) {
        let opened = match self.channel.open(bytes) {
            Ok(opened) => opened,
            Err(error) => {
                // A member sealed the datagram for an earlier incarnation of this source. The handshake tells that
                // member the current incarnation.
                if error == DatagramError::OtherIncarnation {
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
        // A greeting may be a replay, so no state is kept for it.
        if opened.kind == DatagramKind::Answer
            && let Some(follower) = self.register_follower(now, opened)
        {
            follower.name = identity.name;
        }
        if opened.kind == DatagramKind::Greeting || opened.is_new_incarnation {
            self.channel.answer_handshake(now, from, opened.incarnation);
        }
    }

    /// The time at which [`Source::wake`] has to be called at the latest.
    pub fn next_wake(&self) -> Millis {
        self.next_tracking
    }

    /// Updates which changes have reached all followers, and removes followers that have expired.
    pub fn wake(&mut self, now: Millis) {
        if now < self.next_tracking {
            return;
        }
        self.next_tracking = now + TRACKING_INTERVAL;
        let is_settled = self.is_settled(now);
        let confirmed = self.followers.confirmed_by_all(now);
        self.tracker.update(now, confirmed, is_settled);
        for follower in self.followers.remove_expired(now) {
            self.channel.drop_session(follower);
        }
    }

    /// Takes the queued outputs for the driver, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        self.channel.take_outputs()
    }

    /// The replicated entries.
    pub fn store(&self) -> &EntryStore {
        &self.store
    }

    /// The counters of dropped and rejected messages, requests and sent data, by name.
    pub fn counters(&self) -> BTreeMap<&'static str, u64> {
        self.channel.counters()
    }

    /// Replaces the cluster's keys.
    pub fn rekey(&mut self, keys: Keys) {
        self.channel.rekey(keys);
    }

    /// Whether followers that considered this source disconnected have had the time to reconnect.
    fn is_settled(&self, now: Millis) -> bool {
        now >= self.started_at + SETTLE_TIME
    }

    fn data_age(&self, now: Millis) -> Option<Millis> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }
}
