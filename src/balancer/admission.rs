//! Admission: a request that no server has capacity for is queued, and attempted again at intervals,
//! until an attempt is started or none would be in time.

use super::Balancer;
use super::api::{Action, BalancerConfig, Request, RequestId, Time};
use super::request_state::{Phase, RequestState};

/// The timer that attempts the queued requests again.
pub(super) const QUEUE_TIMER: u64 = 2;
/// The interval between two passes over the queue, in the shortest latency objective.
const QUEUE_INTERVAL_OBJECTIVES: f64 = 0.25;
/// Its least value, in seconds.
const MIN_QUEUE_INTERVAL: Time = 0.01;
/// Its greatest value, in seconds.
const MAX_QUEUE_INTERVAL: Time = 1.0;

/// Seconds between two passes over the queue.
pub(super) fn queue_interval(config: &BalancerConfig) -> Time {
    let shortest_objective = config
        .classes
        .iter()
        .map(|class| class.latency_objective)
        .fold(f64::INFINITY, f64::min);
    (shortest_objective * QUEUE_INTERVAL_OBJECTIVES).clamp(MIN_QUEUE_INTERVAL, MAX_QUEUE_INTERVAL)
}

impl Balancer {
    /// Takes a client's request. One with a known id is a duplicate of the event.
    pub(super) fn admit_request(
        &mut self,
        now: Time,
        request: &Request,
        actions: &mut Vec<Action>,
    ) {
        if self.requests.contains_key(&request.id) {
            return;
        }
        self.arrival_rate.record(now, request.is_reconnect);
        let state = RequestState::new(now, request, Phase::Pending, self.mean_load());
        self.requests.insert(request.id, state);
        self.dispatch_request(now, request.id, actions);
    }

    /// Keeps a request until the next pass over the queue.
    pub(super) fn enqueue_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.queue.is_empty() {
            actions.push(Action::SetTimer {
                after: self.queue_interval * self.random.next_jitter(),
                token: QUEUE_TIMER,
            });
        }
        self.queue.push(id);
    }

    /// Attempts all queued requests again, in order of arrival. Those that ended meanwhile are dropped.
    pub(super) fn retry_queued(&mut self, now: Time, actions: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.queue) {
            self.dispatch_request(now, id, actions);
        }
    }
}
