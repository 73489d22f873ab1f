//! A load balancer for long-lived connections that places them by weighted rendezvous hashing.
//!
//! | Module | Contents |
//! | --- | --- |
//! | [`balancer`] | all decisions, sans-I/O; [`api`] is its interface |
//! | [`protocol`], [`config`], [`discovery`] | protocols, settings and discovery, translated to the types of [`api`] |
//! | [`runtime`] | owns the balancer and its clock, and dispatches its actions |
//! | [`proxy`] | the data path: a client's first line, its request, the attempts and the relay |
//! | [`transfer`] | the state that a process hands to its successor in a hot restart |
//! | [`lifecycle`], [`admin`], [`cluster`], [`cli`] | startup to shutdown, admin interface, cluster membership, command line |
//! | [`invariants`] | run-time checks, asserted in debug builds, counted and logged in release builds |
//!
//! The balancer does no I/O: the caller passes [`Event`](api::Event)s and the time to a [`Balancer`], and carries out the
//! [`Action`](api::Action)s that it returns.
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
//! let endpoints: Arc<[Endpoint]> = ["server-1", "server-2"]
//!     .map(|name| Endpoint { id: ServerId::of(name), zone: 0, state: EndpointState::Ready, weight: 1.0, started_at: 0.0, cell: 0 })
//!     .into();
//! balancer.handle(0.0, &Event::EndpointsUpdated { kind: UpdateKind::Full, endpoints }, &mut actions);
//!
//! let request = Request { key: Some(Key::of("group 4")), ..Request::new(RequestId(1), 0, 2.0) };
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
