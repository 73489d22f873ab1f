//! Administration of a running balancer, without I/O: [`request`] and [`response`] are the protocol of the admin address,
//! [`maintenance`] knows which stream servers are under maintenance, [`maintenance_file`] is their file, and
//! [`drain_schedule`] says which connections migrate when.
//!
//! The drivers are in the balancer's `src/admin`; the options weighed are in `docs/design/service.md`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod drain_schedule;
pub mod maintenance;
pub mod maintenance_file;
pub mod request;
pub mod response;

/// Seconds, on the caller's clock; what is kept in a file is Unix time.
pub type Time = f64;
