//! The memory that a client costs for as long as its connection is established.

use spanspur::proxy::client::{serve, serve_transferred};

/// Bytes that the runtime allocates for each client at once and keeps to its end: the future that serves it. What is
/// held across an await is in it, whether that branch is ever taken or not: a buffer does not belong there, a rare and
/// large step goes into a box of its own.
const MAX_CLIENT_FUTURE: usize = 1700;

/// The size of the future that a function of four gives.
fn size_of_future<A, B, C, D, F: Future>(_: impl FnOnce(A, B, C, D) -> F) -> usize {
    size_of::<F>()
}

#[test]
fn a_waiting_client_costs_no_buffer() {
    let bytes = size_of_future(serve);
    assert!(bytes <= MAX_CLIENT_FUTURE, "{bytes} bytes for each client");
}

#[test]
fn a_transferred_client_costs_no_more() {
    let bytes = size_of_future(|runtime, connection, (client, backend), permit| {
        serve_transferred(runtime, connection, client, backend, permit)
    });
    assert!(bytes <= MAX_CLIENT_FUTURE, "{bytes} bytes for each client");
}
