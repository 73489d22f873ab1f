//! Reopens a connection at the backend that it is established at. The balancer makes no decision here, and no outcome
//! is reported to it.

use crate::api::{Outcome, ServerId, Time};
use crate::protocol::client::OpenRequest;
use crate::proxy::attempt::{self, AttemptKind, Backend};
use crate::runtime::Runtime;
use std::time::Duration;
use tokio::time::sleep;

/// Delay between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Seconds within which discovery has to list the server.
const LISTING_TIMEOUT: Time = 1.0;

/// Attempts the request at the server until the request's deadline. Returns `None` if the connection cannot be
/// reopened.
pub async fn reopen(
    runtime: &Runtime,
    open_request: &OpenRequest,
    server: ServerId,
) -> Option<Backend> {
    let deadline = open_request.request.deadline;
    let listed_by = runtime.now() + LISTING_TIMEOUT;
    loop {
        let request_line = |milliseconds| Some(open_request.line_for_backend(milliseconds));
        // Boxed, so that its state does not take space in the future of an established connection.
        let attempt = Box::pin(attempt::run(
            runtime,
            server,
            AttemptKind::Reopen,
            deadline,
            request_line,
        ));
        let attempted = attempt.await;
        let error = match attempted {
            Ok(backend) => return Some(backend),
            Err(error) => error,
        };
        let outcome = error.outcome();
        tracing::warn!(
            request = %open_request.request.id,
            %server,
            ?outcome,
            %error,
            "attempt to reopen connection failed"
        );
        let listing_timed_out = outcome == Outcome::NotSent && runtime.now() >= listed_by;
        if is_final(outcome) || listing_timed_out || runtime.now() >= deadline {
            return None;
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Whether the outcome comes from a response of the backend. A retry would only get the same response.
fn is_final(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Error | Outcome::Rejected | Outcome::Cancelled
    )
}
