//! A source's configuration and limits.

use spanspur_membership::authentication::MAX_SENDERS;
use spanspur_membership::{Identity, Keys};

/// The most followers of a source, as many as sessions are kept for.
pub const MAX_FOLLOWERS: usize = MAX_SENDERS;

/// The limits of a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Datagrams with rows sent in a second, of at most 1,400 bytes each.
    pub datagrams_per_second: u32,
    /// Datagrams with rows that may be sent at once after a pause.
    pub burst: u32,
    /// Requests handled in a second; further ones are dropped, and repeated by their followers.
    pub requests_per_second: u32,
    /// Handshakes answered in a second.
    pub handshakes_per_second: u32,
    /// The most followers, up to [`MAX_FOLLOWERS`].
    pub max_followers: usize,
    /// Changes retained for followers' cursors.
    pub change_log_capacity: usize,
}

impl Default for Limits {
    /// 4,000 datagrams a second are 45 Mbit/s. If all other sources have failed, 2,100 followers poll this one 2,100
    /// times a second, and twice as often during a resynchronization. 8,192 changes cover more than a day at 5,700
    /// changes a day.
    fn default() -> Self {
        Self {
            datagrams_per_second: 4000,
            burst: 400,
            requests_per_second: 6000,
            handshakes_per_second: 1024,
            max_followers: MAX_FOLLOWERS,
            change_log_capacity: 8192,
        }
    }
}

/// The configuration of a source.
#[derive(Clone, Debug)]
pub struct SourceConfig {
    /// Its name, address and incarnation.
    pub identity: Identity,
    /// The cluster's keys.
    pub keys: Keys,
    /// Its limits.
    pub limits: Limits,
    /// The seed of random numbers; none are drawn at present.
    pub seed: u64,
}
