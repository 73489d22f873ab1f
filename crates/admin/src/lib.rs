//! What the staff does to a running balancer day by day, without I/O: [`call`] reads the calls on the second
//! address, [`outs`] keeps which stream servers are taken out, [`pace`] says which connections move when.
//!
//! Bytes, times and what discovery lists come in; answers, masks and moves go out. The drivers are in the
//! balancer's `net/`; the options weighed are in `docs/design/service.md`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod call;
pub mod outs;
pub mod pace;

/// Seconds, on the caller's clock; what is kept in a file is Unix time.
pub type Time = f64;
