//! The data path: a client's connection from its first line to its end.
//!
//! [`client`] serves one connection: [`client_reader`] reads its request, [`request`] brings that to a connection at a
//! backend (by [`attempt`]s, or by [`reopen`]) or to a [`local_response`], and [`relay`] passes lines between the two
//! until the connection ends, which the [`session`] tells the balancer.
//!
//! The future of [`client::serve`] is the memory that a silent connection costs: whatever lives across an await is in
//! it, and an `async fn` holds its arguments too. Large buffers and rare steps stay out of it.

pub mod attempt;
pub mod client;
pub mod client_reader;
pub mod closing;
pub mod direction;
pub mod listener;
pub mod local_response;
pub mod relay;
pub mod reopen;
pub mod reply_tracker;
pub mod request;
pub mod session;
