//! Reopens a connection at the backend that it is established at. The balancer makes no decision here, and no outcome
//! is reported to it.
//!
//! The client waits for one server, so the only bound on the wait is the request's own deadline. The endpoint list may be
//! out of date until discovery is reachable again: a server that is not listed yet is waited for, and the client may be
//! evicted meanwhile.

use crate::api::{Outcome, ServerId, Time};
use crate::invariants;
use crate::protocol::client::OpenRequest;
use crate::proxy::attempt::{self, AttemptError, AttemptKind, Backend};
use crate::proxy::client_reader::MalformedRequest;
use crate::proxy::closing::has_disconnected;
use crate::proxy::local_response::LocalResponse;
use crate::proxy::request::RequestEnd;
use crate::runtime::Runtime;
use crate::runtime::connection_limit::ConnectionPermit;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until};

/// The longest that a client may wait for its connection to be reopened, in seconds.
pub const MAX_REOPEN_WAIT: Time = 40.0;
/// Delay between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Attempts the request at the server until the request's deadline. `permit` is that of a client in service.
///
/// # Errors
/// How the request ended if the connection could not be reopened. The client's end is not detected here.
pub async fn reopen(
    runtime: &Runtime,
    client: &TcpStream,
    open_request: &OpenRequest,
    server: ServerId,
    permit: &mut ConnectionPermit,
) -> Result<Backend, RequestEnd> {
    let deadline = open_request.request.deadline;
    loop {
        wait_until_listed(runtime, open_request, server, permit).await?;
        let error = tokio::select! {
            // Boxed, so that its state does not take space in the future of an established connection.
            attempted = Box::pin(run_attempt(runtime, client, open_request, server)) => match attempted {
                Ok(backend) => return Ok(backend),
                Err(error) => error,
            },
            // The attempt may have executed.
            () = runtime.lifecycle.wait_until_exiting() => return Err(failed()),
        };
        let outcome = error.outcome();
        invariants::count("attempt to reopen a connection failed");
        tracing::debug!(
            request = %open_request.request.id,
            %server,
            ?outcome,
            %error,
            "attempt to reopen connection failed"
        );
        if is_final(outcome) || runtime.now() >= deadline {
            return Err(failed());
        }
        sleep(RETRY_INTERVAL).await;
    }
}

async fn run_attempt(
    runtime: &Runtime,
    client: &TcpStream,
    open_request: &OpenRequest,
    server: ServerId,
) -> Result<Backend, AttemptError> {
    let request_line = |milliseconds| {
        let connected = !has_disconnected(client);
        connected.then(|| open_request.line_for_backend(milliseconds))
    };
    let deadline = open_request.request.deadline;
    attempt::run(runtime, server, AttemptKind::Reopen, deadline, request_line).await
}

/// Waits until the server is listed, at most until the request's deadline. Nothing is sent for the client meanwhile, so
/// it may be evicted.
async fn wait_until_listed(
    runtime: &Runtime,
    open_request: &OpenRequest,
    server: ServerId,
    permit: &mut ConnectionPermit,
) -> Result<(), RequestEnd> {
    if runtime.endpoint_address(server).is_some() {
        return Ok(());
    }
    if open_request.wait > MAX_REOPEN_WAIT {
        // Nothing shows that there is such a server, and no client that keeps to the protocol waits for so long.
        return Err(RequestEnd::Response(
            MalformedRequest::ReopenWaitTooLong.respond(),
        ));
    }
    let request = open_request.request;
    invariants::count("connection to be reopened at a server that is not listed");
    tracing::debug!(request = %request.id, %server, "waiting until the server is listed");
    permit.become_waiting();
    tokio::select! {
        biased;
        () = runtime.wait_until_listed(server) => {}
        () = permit.evicted() => return Err(RequestEnd::Evicted),
        () = sleep_until(runtime.instant(request.deadline)) => return Err(failed()),
        () = runtime.lifecycle.wait_until_exiting() => return Err(rejected()),
    }
    match permit.acquire_for_service(runtime.descriptor_limit()) {
        true => Ok(()),
        false => Err(RequestEnd::Evicted),
    }
}

fn failed() -> RequestEnd {
    RequestEnd::Response(LocalResponse::Failed)
}

fn rejected() -> RequestEnd {
    RequestEnd::Response(LocalResponse::Rejected { retry_after: 0 })
}

/// Whether the outcome comes from a response of the backend. A retry would only get the same response.
fn is_final(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Error | Outcome::Rejected | Outcome::Cancelled
    )
}
