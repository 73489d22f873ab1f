//! The newer process takes over single connections of its predecessor, or refuses them.

use crate::invariants;
use crate::proxy::client::{serve, serve_transferred};
use crate::proxy::client_reader::ClientReader;
use crate::runtime::{Runtime, duration};
use crate::transfer::{EstablishedConnection, TransferredConnection};
use std::os::fd::OwnedFd;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

/// Starts serving a connection of the predecessor. Returns `false` if the connection cannot be taken over.
pub(super) fn take_over(runtime: &Rc<Runtime>, payload: &[u8], descriptors: Vec<OwnedFd>) -> bool {
    // Until now these descriptors were counted as the predecessor's.
    let peer_descriptors = runtime.peer_processes.descriptors();
    let peer_descriptors = peer_descriptors.saturating_sub(descriptors.len());
    runtime.peer_processes.set_descriptors(peer_descriptors);
    let to_stream = |fd| TcpStream::from_std(std::net::TcpStream::from(fd)).ok();
    let mut streams = descriptors.into_iter().map_while(to_stream);
    let taken_over = match postcard::from_bytes(payload) {
        Ok(TransferredConnection::Established(connection)) => {
            let streams = streams.next().zip(streams.next());
            streams.and_then(|(client, backend)| {
                serve_established(runtime, connection, client, backend)
            })
        }
        Ok(TransferredConnection::AwaitingRequest(received, time_left)) => {
            let client = streams.next();
            client.and_then(|client| serve_awaiting_request(runtime, client, received, time_left))
        }
        Err(error) => {
            tracing::warn!(%error, "invalid connection state from the predecessor");
            None
        }
    };
    if taken_over.is_none() {
        invariants::count("connection of the predecessor not taken over");
    }
    taken_over.is_some()
}

/// Serves an established connection, unless its request id is in use here: the predecessor then keeps and migrates it.
fn serve_established(
    runtime: &Rc<Runtime>,
    connection: EstablishedConnection,
    client: TcpStream,
    backend: TcpStream,
) -> Option<()> {
    let (registration, commands) = runtime.register_request(connection.request.id)?;
    let limit = runtime.descriptor_limit();
    let permit = runtime.connection_limit.admit_in_service(limit);
    let serve = serve_transferred(
        runtime.clone(),
        connection,
        client,
        backend,
        permit,
        registration,
        commands,
    );
    drop(spawn_local(serve));
    Some(())
}

/// Serves a client that has not completed its request line, unless the descriptor limit is reached: the predecessor then
/// keeps it.
fn serve_awaiting_request(
    runtime: &Rc<Runtime>,
    client: TcpStream,
    received: Vec<u8>,
    time_left: f64,
) -> Option<()> {
    let limit = runtime.descriptor_limit();
    let permit = runtime.connection_limit.admit_idle(limit)?;
    let reader = ClientReader::resume(runtime, received, duration(time_left));
    drop(spawn_local(serve(runtime.clone(), client, permit, reader)));
    Some(())
}
