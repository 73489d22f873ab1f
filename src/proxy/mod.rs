//! The data path: a client's connection from its first line to its end.
//!
//! [`client`] serves one connection: [`client_reader`] reads the request, [`request`] turns the request into a
//! connection to a backend (through [`attempt`]s or [`reopen`]) or into a [`local_response`], and [`relay`] forwards
//! lines in both directions until the connection ends. The [`session`] reports the end to the balancer.
//!
//! The future of [`client::serve`] is the memory cost of an idle connection: it stores every value that lives across an
//! await, and an `async fn` stores its arguments as well. Large buffers stay out of it; large and rarely taken branches
//! are boxed.

pub mod attempt;
pub mod client;
mod client_end;
pub mod client_reader;
pub mod closing;
mod departure;
pub mod direction;
pub mod listener;
pub mod local_response;
pub mod relay;
pub mod reopen;
pub mod reply_tracker;
pub mod request;
pub mod session;
pub mod socket_options;
