//! Per-request state, from the arrival of a request to its end or the end of its connection.

use super::Balancer;
use super::api::{Key, Request, RequestId, ServerId, Time};
use super::request_queue::QueuePosition;

/// The phase of a request that has not ended.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Phase {
    /// Between attempts, or queued for capacity.
    Pending,
    /// An attempt at this server is in flight.
    InFlight(ServerId),
    /// A connection to this server is established.
    Established(ServerId),
}

impl Phase {
    /// The server of the attempt or connection, if any.
    pub(super) fn server(self) -> Option<ServerId> {
        match self {
            Self::Pending => None,
            Self::InFlight(server) | Self::Established(server) => Some(server),
        }
    }
}

/// The first attempt that may have executed. Its deduplication scope and window limit later attempts.
#[derive(Clone, Copy)]
pub(super) struct PossibleExecution {
    pub(super) sent_at: Time,
    pub(super) zone: u32,
    pub(super) cell: u32,
}

/// The state of a request.
pub(super) struct RequestState {
    pub(super) request: Request,
    pub(super) phase: Phase,
    /// Its place in the queue, while it waits for capacity.
    pub(super) queue_position: Option<QueuePosition>,
    /// Number of attempts started; 1 for an adopted connection.
    pub(super) attempts: u32,
    /// The servers of these attempts, without that of an adopted connection.
    pub(super) attempted: Vec<ServerId>,
    /// When the last attempt started; before the first one, when the request arrived.
    pub(super) sent_at: Time,
    pub(super) first_possible_execution: Option<PossibleExecution>,
    /// Load in microseconds of work per second: the last reported one, else the hint, else the mean.
    pub(super) load: f64,
    /// Number of attempts that a server answered with an error.
    pub(super) error_responses: u32,
}

impl RequestState {
    pub(super) fn new(now: Time, request: &Request, phase: Phase, mean_load: f64) -> Self {
        Self {
            request: *request,
            phase,
            queue_position: None,
            attempts: u32::from(phase != Phase::Pending),
            attempted: Vec::new(),
            sent_at: now,
            first_possible_execution: None,
            load: request.load_hint.unwrap_or(mean_load),
            error_responses: 0,
        }
    }

    /// The key that ranks the servers: that of the group, else of the client, else of the request itself.
    pub(super) fn placement_key(&self) -> Key {
        let request = &self.request;
        request.group.or(request.key).unwrap_or(Key(request.id.0))
    }
}

impl Balancer {
    /// Removes a request that has ended.
    pub(super) fn release_request(&mut self, id: RequestId) -> Option<RequestState> {
        let state = self.requests.remove(&id)?;
        if let Some(position) = state.queue_position {
            self.queue.remove(position);
        }
        self.detach_request(id, state.phase, state.load);
        Some(state)
    }

    /// Removes a request and its load from its server.
    pub(super) fn detach_request(&mut self, id: RequestId, phase: Phase, load: f64) {
        if matches!(phase, Phase::Established(_)) {
            self.established_count -= 1;
        }
        if let Some(server) = phase.server()
            && let Some(server) = self.server_mut(server)
        {
            server.attached_requests.remove(&id);
            server.load -= load;
        }
    }
}
