//! Administration of a running balancer, without I/O: [`request`] and [`response`] define the protocol of the admin
//! address, [`maintenance`] tracks which stream servers are under maintenance, [`maintenance_file`] is the format in
//! which they are stored, and [`drain_schedule`] decides how many connections migrate at a time.
//!
//! The I/O is in the balancer's `src/admin`; `docs/design/service.md` discusses the alternatives.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod drain_schedule;
pub mod maintenance;
pub mod maintenance_file;
pub mod request;
pub mod response;

/// Time in seconds, on the clock of the program that uses this crate. Times stored in a file are Unix time.
pub type Time = f64;
