//! How a process of a balancer and the one that replaces it meet: over a Unix socket that the older one holds.
//! [`frame`] is what goes over, [`stage`] what each side may do when, both without I/O; [`link`] carries frames and
//! open connections. What a frame's content means is the balancer's own.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod frame;
pub mod link;
pub mod stage;
