//! The size of the future that serves a client, which is allocated for the whole lifetime of the connection.

use spanspur::proxy::client::{serve, serve_transferred};

/// Maximum size in bytes of the future that serves a client. The future stores every value held across an await,
/// whether or not that branch is ever taken. Buffers must therefore not live across an await, and large, rarely taken
/// branches have to be boxed.
const MAX_CLIENT_FUTURE: usize = 1700;

/// Returns the size of the future that a function of four arguments returns.
fn size_of_future<A, B, C, D, F: Future>(_: impl FnOnce(A, B, C, D) -> F) -> usize {
    size_of::<F>()
}

#[test]
fn the_future_of_a_client_holds_no_buffer() {
    let bytes = size_of_future(serve);
    assert!(bytes <= MAX_CLIENT_FUTURE, "{bytes} bytes per client");
}

#[test]
fn the_future_of_a_transferred_client_is_no_larger() {
    let bytes = size_of_future(
        |runtime, connection, (client, backend, permit), (registration, commands)| {
            serve_transferred(
                runtime,
                connection,
                client,
                backend,
                permit,
                registration,
                commands,
            )
        },
    );
    assert!(bytes <= MAX_CLIENT_FUTURE, "{bytes} bytes per client");
}
