//! Reopens a connection at the backend that has it. The balancer decides nothing here, and is told no outcome.

use crate::api::{Outcome, ServerId, Time};
use crate::protocol::client::OpenRequest;
use crate::proxy::attempt::{self, AttemptKind, Backend};
use crate::runtime::Runtime;
use std::time::Duration;
use tokio::time::sleep;

/// Pause between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Seconds in which the server has to be listed.
const LISTING_TIMEOUT: Time = 1.0;

/// Attempts the request at the server until its deadline; `None` if the connection cannot be reopened.
pub async fn reopen(
    runtime: &Runtime,
    open_request: &OpenRequest,
    server: ServerId,
) -> Option<Backend> {
    let deadline = open_request.request.deadline;
    let listed_by = runtime.now() + LISTING_TIMEOUT;
    loop {
        let line = |milliseconds| Some(open_request.line_for_backend(milliseconds));
        // Boxed, so that an established connection does not keep the room for it.
        let attempt = Box::pin(attempt::run(
            runtime,
            server,
            AttemptKind::Reopen,
            deadline,
            line,
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
            "connection not reopened"
        );
        let never_listed = outcome == Outcome::NotSent && runtime.now() >= listed_by;
        if is_final(outcome) || never_listed || runtime.now() >= deadline {
            return None;
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Whether the outcome is the backend's own response, which a retry would only repeat.
fn is_final(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Error | Outcome::Rejected | Outcome::Cancelled
    )
}
