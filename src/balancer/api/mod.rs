//! The balancer's sans-I/O interface: configuration, events in, actions out. Plain data; no decision is
//! made here.

mod action;
mod config;
mod endpoint;
mod event;
mod request;

pub use action::Action;
pub use config::{BalancerConfig, DeduplicationScope, DiscoveryMode, Idempotency, RequestClass};
pub use endpoint::{Endpoint, EndpointState, ServerId, UpdateKind};
pub use event::{AttemptEnded, Event, Outcome};
pub use request::{Key, Request, RequestId};

/// Seconds since the Unix epoch, on a clock that never goes back. Durations are seconds too.
pub type Time = f64;
