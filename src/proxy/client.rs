//! Serves the connection of one client, from its first byte or from its transfer to its end.

use crate::api::Event;
use crate::invariants;
use crate::proxy::client_reader::{ClientReader, FirstLine};
use crate::proxy::closing::send_and_close;
use crate::proxy::local_response::{LocalResponse, reject_for_descriptors};
use crate::proxy::relay::{relay, resume};
use crate::proxy::request::{OpenedConnection, RequestEnd, open};
use crate::proxy::socket_options;
use crate::runtime::connection_limit::ConnectionPermit;
use crate::runtime::{Command, RequestRegistration, Runtime};
use crate::transfer::slots::TransferSlot;
use crate::transfer::{ConnectionSender, EstablishedConnection, TransferredConnection};
use std::os::fd::AsFd;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;

/// Result of waiting for a client's first line.
enum Received {
    /// The reader's result, or [`FirstLine::TimedOut`] if the process is about to exit.
    Line(FirstLine),
    /// The client was evicted so that its descriptor can be used for another client.
    Evicted,
    /// The successor of this process has taken over the client.
    Transferred,
}

/// Serves a client's connection until it ends.
pub async fn serve(
    runtime: Rc<Runtime>,
    client: TcpStream,
    mut permit: ConnectionPermit,
    mut reader: ClientReader,
) {
    let _ = socket_options::configure(&client);
    let first_line = match receive(&runtime, &client, &mut permit, &mut reader).await {
        Received::Line(first_line) => first_line,
        Received::Evicted => return evict(&runtime, &client, permit).await,
        Received::Transferred => return,
    };
    let is_front = reader.is_front();
    drop(reader);
    let opened = match first_line {
        FirstLine::Disconnected => return,
        FirstLine::TimedOut => Err(RequestEnd::Response(timeout_response(is_front))),
        FirstLine::Malformed(reason) => Err(RequestEnd::Response(reason.respond())),
        FirstLine::Request(request) => {
            if !permit.acquire_for_service(runtime.descriptor_limit()) {
                return evict(&runtime, &client, permit).await;
            }
            open(&runtime, &client, request, &mut permit).await
        }
    };
    let response = match opened {
        Ok(opened) => {
            let OpenedConnection {
                registration,
                connection,
                backend,
                commands,
            } = opened;
            relay(runtime, connection, client, backend, commands).await;
            return drop(registration);
        }
        Err(RequestEnd::Response(response)) => response,
        Err(RequestEnd::Disconnected) => return,
        Err(RequestEnd::Evicted) => return evict(&runtime, &client, permit).await,
    };
    // From here on the client may be evicted: the response is sent, and all that remains is to wait for its close.
    permit.become_idle();
    let _pending_close = runtime.lifecycle.clients_with_pending_close.count_client();
    let line = response.line();
    tokio::select! {
        () = send_and_close(&client, line.as_bytes()) => {}
        () = permit.evicted() => {}
    }
}

/// Rejects a client whose descriptor is needed. Its permit is released at once: the descriptor counts as a reserved one
/// while the connection lingers.
async fn evict(runtime: &Runtime, client: &TcpStream, permit: ConnectionPermit) {
    drop(permit);
    reject_for_descriptors(runtime, client).await;
}

/// Receives the client's first line, unless the client is evicted or transferred before.
async fn receive(
    runtime: &Runtime,
    client: &TcpStream,
    permit: &mut ConnectionPermit,
    reader: &mut ClientReader,
) -> Received {
    let mut transfer_failed = false;
    loop {
        tokio::select! {
            biased;
            first_line = reader.first_line(runtime, client) => return Received::Line(first_line),
            () = permit.evicted() => return Received::Evicted,
            // The request line may still be in transit: respond as on a timeout.
            () = runtime.lifecycle.wait_until_exiting() => return Received::Line(FirstLine::TimedOut),
            (successor, _slot) = wait_for_transfer(runtime), if !transfer_failed => {
                if transfer(reader, client, &successor).await {
                    return Received::Transferred;
                }
                transfer_failed = true;
            }
        }
    }
}

/// Waits until there is a successor and this client may be transferred to it.
async fn wait_for_transfer(runtime: &Runtime) -> (Rc<ConnectionSender>, TransferSlot) {
    let successor = runtime.peer_processes.wait_for_successor().await;
    let slot = successor.idle_slots.acquire().await;
    (successor, slot)
}

/// Transfers a client that has not completed its first line to the successor. Returns `false` if the client stays with
/// this process.
async fn transfer(reader: &ClientReader, client: &TcpStream, successor: &ConnectionSender) -> bool {
    let time_left = reader.time_left();
    let connection = TransferredConnection::AwaitingRequest(reader.received(), time_left);
    successor.transfer(connection, &[client.as_fd()]).await
}

/// Returns the response to a client that has not sent its request in time. A front proxy that receives BUSY would stop
/// sending clients here, so its connection is closed without a response and it probes again on a new one.
fn timeout_response(is_front: bool) -> LocalResponse {
    if is_front {
        return LocalResponse::Close;
    }
    invariants::count("no request in time");
    LocalResponse::Rejected { retry_after: 0 }
}

/// Serves an established connection transferred from another process of this balancer, whose request is registered.
pub async fn serve_transferred(
    runtime: Rc<Runtime>,
    connection: EstablishedConnection,
    client: TcpStream,
    backend: TcpStream,
    permit: ConnectionPermit,
    registration: RequestRegistration,
    commands: UnboundedReceiver<Command>,
) {
    let (request, server) = (connection.request, connection.server);
    runtime.handle_event(Event::AlreadyEstablished { request, server });
    runtime.mark_established(request.id);
    resume(runtime, connection, client, backend, commands).await;
    drop((registration, permit));
}
