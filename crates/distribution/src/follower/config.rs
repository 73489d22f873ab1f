//! A follower's configuration.

use crate::{Location, Millis, SourceEndpoint};
use spanspur_membership::{Identity, Keys};

/// The maximum number of sources; further ones are ignored.
pub const MAX_SOURCES: usize = 64;

/// The schedule by which a follower polls, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollSchedule {
    /// The interval at which each of the two assigned sources is polled.
    pub poll_interval: Millis,
    /// A request is repeated after this time without a response. Late responses raise the time to up to
    /// [`MAX_TIMEOUT_FACTOR`](super::MAX_TIMEOUT_FACTOR) times this.
    pub response_timeout: Millis,
    /// A disconnected source is retried after this time, plus a random delay of up to half of it.
    pub retry_interval: Millis,
}

impl Default for PollSchedule {
    /// With two polls every 1,000 ms, a change arrives about half a second after both sources have it, at the latest.
    /// 500 ms exceed the round trip between any two regions. With 5,000 ms, a source is reconnected within 7,500 ms.
    fn default() -> Self {
        Self {
            poll_interval: 1000,
            response_timeout: 500,
            retry_interval: 5000,
        }
    }
}

/// The configuration of a follower.
#[derive(Clone, Debug)]
pub struct FollowerConfig {
    /// The follower's name, address and incarnation.
    pub identity: Identity,
    /// The follower's location.
    pub location: Location,
    /// The sources, up to [`MAX_SOURCES`].
    pub sources: Vec<SourceEndpoint>,
    /// The cluster's keys.
    pub keys: Keys,
    /// The rendezvous score of a follower's id and a source's id. The source with the highest score is preferred.
    pub score: fn(u64, u64) -> f64,
    /// The polling schedule.
    pub schedule: PollSchedule,
    /// The seed of the follower's random numbers.
    pub seed: u64,
}
