//! The balancer on sockets, one module for each thing it holds.

pub mod check;
pub mod delay;
pub mod director;
pub mod drain;
pub mod duties;
pub mod fetch;
pub mod host;
pub mod http;
pub mod line;
pub mod relay;
pub mod req;
pub mod room;
pub mod service;
pub mod signals;
