//! Service discovery: the endpoint list, the watcher that keeps it current, and its HTTP client.

pub mod endpoint_list;
pub mod http;
pub mod watcher;
pub mod zone;
