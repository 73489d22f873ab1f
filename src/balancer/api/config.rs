//! Configuration of one balancer.

use super::Time;

/// Which servers share a store of idempotency keys, and so discard each other's duplicates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// What a second execution of a request does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// No harm.
    Idempotent,
    /// Requests carry an idempotency key, by which the servers discard duplicates.
    Keyed {
        /// The servers that discard them.
        scope: DeduplicationScope,
        /// How long they do, in seconds from the first attempt that may have executed.
        window: Time,
    },
    /// Harm: a request that may have executed must not be sent again.
    NonIdempotent,
}

/// A class of requests with common objectives.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Latency objective for the set-up of a connection, in seconds.
    pub latency_objective: Time,
    /// What a second execution does.
    pub idempotency: Idempotency,
    /// Latency objective for a message on an established connection, in seconds, if there is one.
    pub message_latency_objective: Option<Time>,
}

impl Default for RequestClass {
    fn default() -> Self {
        Self {
            latency_objective: 0.5,
            idempotency: Idempotency::Idempotent,
            message_latency_objective: None,
        }
    }
}

/// How the endpoint list reaches a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Discovery sends updates unasked.
    Pushed,
    /// Discovery answers polls ([`Action::PollDiscovery`](super::Action::PollDiscovery)).
    Polled,
}

/// The configuration of one balancer.
#[derive(Clone, Debug)]
pub struct BalancerConfig {
    /// How many balancers share the traffic.
    pub balancer_count: u32,
    /// This balancer's index among them, from 0.
    pub balancer_index: u32,
    /// This balancer's zone.
    pub zone: u32,
    /// The classes; [`Request::class`](super::Request::class) is an index into them.
    pub classes: Vec<RequestClass>,
    /// How the endpoint list arrives.
    pub discovery_mode: DiscoveryMode,
    /// Maximum attempts for each request, the first included.
    pub max_attempts: u32,
    /// A connection that is not set up within this many seconds has failed.
    pub connect_timeout: Time,
    /// Attempts in flight may be cancelled.
    pub can_cancel_attempts: bool,
    /// Longest Retry-After that clients honour, in seconds; `None` if a rejection carries none.
    pub max_retry_after: Option<Time>,
    /// Servers report message latency besides load.
    pub reports_latency: bool,
    /// With [`DiscoveryMode::Polled`]: the longest time between polls that discovery allows, in seconds.
    /// The backoff after a failed poll is a share of it.
    pub discovery_backoff_base: Time,
    /// Share of its full capacity, 0 to 1, that a server has when it starts.
    pub cold_capacity_share: f64,
    /// Seconds from its start until a server has its full capacity.
    pub slow_start_window: Time,
    /// A server that is warming up fails when it receives more than this multiple of its present capacity
    /// for `overload_window`.
    pub overload_multiple: f64,
    /// Seconds that a server that is warming up withstands an overload.
    pub overload_window: Time,
}

impl Default for BalancerConfig {
    fn default() -> Self {
        Self {
            balancer_count: 1,
            balancer_index: 0,
            zone: 0,
            classes: Vec::new(),
            discovery_mode: DiscoveryMode::Pushed,
            max_attempts: 3,
            connect_timeout: 0.25,
            can_cancel_attempts: false,
            max_retry_after: None,
            reports_latency: false,
            discovery_backoff_base: 10.0,
            cold_capacity_share: 1.0,
            slow_start_window: 0.0,
            overload_multiple: 1.0,
            overload_window: 1.0,
        }
    }
}
