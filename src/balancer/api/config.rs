//! Configuration of one balancer.

use super::Time;

/// The servers that share a store of idempotency keys and thus discard each other's duplicates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell: a group of servers with a common store of idempotency keys.
    Cell,
}

/// Whether a request may be executed twice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// A second execution does no harm.
    Idempotent,
    /// Requests carry an idempotency key, by which servers discard duplicates.
    Keyed {
        /// The servers that discard duplicates.
        scope: DeduplicationScope,
        /// How long duplicates are discarded, in seconds from the first attempt that may have executed.
        window: Time,
    },
    /// A second execution does harm: a request that may have executed must not be sent again.
    NonIdempotent,
}

/// A class of requests with common objectives.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Latency objective for setting up a connection, in seconds.
    pub latency_objective: Time,
    /// Whether requests of the class may be executed twice.
    pub idempotency: Idempotency,
    /// Latency objective for a message on an established connection, in seconds, if any.
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
    /// Discovery pushes updates.
    Pushed,
    /// Discovery answers polls ([`Action::PollDiscovery`](super::Action::PollDiscovery)).
    Polled,
}

/// The configuration of one balancer.
#[derive(Clone, Debug)]
pub struct BalancerConfig {
    /// Number of balancers that share the traffic.
    pub balancer_count: u32,
    /// This balancer's index among them, from 0.
    pub balancer_index: u32,
    /// This balancer's zone. Not used for decisions.
    pub zone: u32,
    /// The request classes, indexed by [`Request::class`](super::Request::class).
    pub classes: Vec<RequestClass>,
    /// How the endpoint list reaches this balancer.
    pub discovery_mode: DiscoveryMode,
    /// Maximum number of attempts per request, including the first.
    pub max_attempts: u32,
    /// Seconds after which an attempt to connect to a server has failed.
    pub connect_timeout: Time,
    /// Whether attempts in flight may be cancelled.
    pub can_cancel_attempts: bool,
    /// Longest Retry-After that clients honour, in seconds; `None` if rejections carry no Retry-After.
    pub max_retry_after: Option<Time>,
    /// Whether servers report message latency in addition to load. Used by the process to classify reports,
    /// not for decisions.
    pub reports_latency: bool,
    /// Longest time between polls that discovery allows, in seconds. The backoff after a failed poll is a
    /// fraction of this time. Used with [`DiscoveryMode::Polled`].
    pub discovery_backoff_base: Time,
    /// Capacity of a server that has just started, as a share of its full capacity (0 to 1).
    pub cold_capacity_share: f64,
    /// Seconds after its start at which a server reaches its full capacity.
    pub slow_start_window: Time,
    /// A server that is warming up fails if it receives more than this multiple of its current capacity for
    /// `overload_window`.
    pub overload_multiple: f64,
    /// Seconds for which a server that is warming up withstands an overload.
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
