//! Actions that the balancer asks the process to carry out, in the order returned.

use super::{RequestId, ServerId, Time};

/// An action for the process to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the request's next attempt, at this server. The process numbers the attempts of a request from
    /// 0, in the order of these actions.
    StartAttempt {
        /// The request.
        id: RequestId,
        /// The server.
        server: ServerId,
        /// When the attempt times out.
        timeout_at: Time,
    },
    /// Final answer: rejected. The client may safely retry.
    Reject {
        /// The request.
        id: RequestId,
        /// Retry-After in seconds; 0 for none.
        retry_after: Time,
    },
    /// Final answer: failed. The request may have executed.
    Fail(RequestId),
    /// Cancel an attempt in flight.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The attempt's number, from 0.
        attempt: u32,
    },
    /// Close an established connection gracefully; its client reconnects and is placed again.
    Migrate(RequestId),
    /// Poll discovery and subscribe to its changes.
    PollDiscovery,
    /// Report [`Event::Timer`](super::Event::Timer) with `token` in `after` seconds.
    SetTimer {
        /// Seconds from now.
        after: Time,
        /// The timer's token.
        token: u64,
    },
}
