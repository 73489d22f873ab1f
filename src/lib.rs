//! spanspur decides where long-lived connections go: one weighted rendezvous ranking per key, with
//! small, named departures for cold, full and failing servers.
//!
//! The library is sans-I/O. A node feeds [`Event`](api::Event)s into a [`Balancer`] and carries out the
//! [`Action`](api::Action)s that come back; the clock is whatever the node passes in.
//!
//! ```
//! use spanspur::Balancer;
//! use spanspur::api::*;
//! use std::sync::Arc;
//!
//! let config = BalancerConfig { classes: vec![RequestClass { latency_objective: 0.3, ..RequestClass::default() }], ..BalancerConfig::default() };
//! let mut balancer = Balancer::new(config, 7);
//! let mut actions = Vec::new();
//!
//! let servers: Arc<[Endpoint]> = ["10.0.0.1:80", "10.0.0.2:80"]
//!     .map(|name| Endpoint { id: ServerId::of(name), zone: 0, state: EndpointState::Ready, weight: 1.0, started_at: 0.0, cell: 0 })
//!     .into();
//! balancer.handle(0.0, &Event::EndpointsUpdated { kind: UpdateKind::Full, endpoints: servers }, &mut actions);
//!
//! let request = Request { key: Some(Key::of("till 4")), ..Request::new(RequestId(1), 0, 2.0) };
//! balancer.handle(0.1, &Event::Request(request), &mut actions);
//! for action in actions.drain(..) {
//!     match action {
//!         Action::StartAttempt { id, server, timeout_at } => println!("connect {id:?} to {server:?}, time out at {timeout_at}"),
//!         other => println!("carry out {other:?}"),
//!     }
//! }
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admin;
pub mod balancer;
pub mod cli;
pub mod cluster;
pub mod config;
pub mod discovery;
pub mod invariants;
pub mod lifecycle;
pub mod protocol;
pub mod proxy;
pub mod runtime;
pub mod transfer;

pub use balancer::api;
pub use balancer::{Balancer, score};
pub use lifecycle::startup::run;
