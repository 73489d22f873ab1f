//! A source's configuration and limits.

use spanspur_membership::authentication::MAX_SENDERS;
use spanspur_membership::{Identity, Keys};

/// The maximum number of followers of a source, which is the number of sessions that are kept.
pub const MAX_FOLLOWERS: usize = MAX_SENDERS;

/// The limits of a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum number of datagrams with rows sent per second, of at most 1,400 bytes each.
    pub datagrams_per_second: u32,
    /// The maximum number of datagrams with rows sent at once after a pause.
    pub burst: u32,
    /// The maximum number of requests handled per second. Further requests are dropped, and repeated by their
    /// followers.
    pub requests_per_second: u32,
    /// The maximum number of handshakes answered per second.
    pub handshakes_per_second: u32,
    /// The maximum number of followers, up to [`MAX_FOLLOWERS`].
    pub max_followers: usize,
    /// The number of changes retained for followers' cursors.
    pub change_log_capacity: usize,
}

impl Default for Limits {
    /// 4,000 datagrams per second are 45 Mbit/s. If all other sources have failed, 2,100 followers poll this one 2,100
    /// times per second, and twice as often during a resynchronization. 8,192 changes cover more than a day at 5,700
    /// changes per day.
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
    /// The source's name, address and incarnation.
    pub identity: Identity,
    /// The cluster's keys.
    pub keys: Keys,
    /// The source's limits.
    pub limits: Limits,
    /// The seed of random numbers, which is not used at present.
    pub seed: u64,
}
