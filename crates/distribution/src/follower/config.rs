//! A follower's configuration.

use crate::{Location, Millis, SourceEndpoint};
use spanspur_membership::{Identity, Keys};

/// The most sources that are used; further ones are ignored.
pub const MAX_SOURCES: usize = 64;

/// When a follower polls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollSchedule {
    /// The interval at which each source is polled.
    pub poll_interval: Millis,
    /// A request without a response after this time is repeated.
    pub response_timeout: Millis,
    /// A disconnected source is retried after this time, and up to half of it more at random.
    pub retry_interval: Millis,
}

impl Default for PollSchedule {
    /// Two polls every 1,000 ms bring a change within half a second of its arrival at both sources; 500 ms exceed
    /// the round trip between any two regions; 5,000 ms reconnect a source within 7,500 ms.
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
    /// Its name, address and incarnation.
    pub identity: Identity,
    /// Its location.
    pub location: Location,
    /// The sources, up to [`MAX_SOURCES`].
    pub sources: Vec<SourceEndpoint>,
    /// The cluster's keys.
    pub keys: Keys,
    /// The rendezvous score of a follower's id and a source's id; the highest is preferred.
    pub score: fn(u64, u64) -> f64,
    /// When it polls.
    pub schedule: PollSchedule,
    /// The seed of its random numbers.
    pub seed: u64,
}
