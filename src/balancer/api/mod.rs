//! The balancer's sans-I/O interface: configuration, events in, actions out. It contains data types only, no
//! decisions.

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

/// Seconds since the Unix epoch, on a clock that never runs backwards. Durations are in seconds too.
pub type Time = f64;
