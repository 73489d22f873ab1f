//! Admission: a request for which no server has capacity is queued. The queue is retried at intervals, until
//! an attempt starts or could no longer be in time.

use super::Balancer;
use super::api::{Action, BalancerConfig, Request, RequestId, Time};
use super::request_state::{Phase, RequestState};

/// Token of the timer that retries the queue.
pub(super) const QUEUE_TIMER: u64 = 2;
/// The interval between two passes over the queue, as a fraction of the shortest latency objective.
const QUEUE_INTERVAL_OBJECTIVES: f64 = 0.25;
/// Minimum of the interval, in seconds.
const MIN_QUEUE_INTERVAL: Time = 0.01;
/// Maximum of the interval, in seconds.
const MAX_QUEUE_INTERVAL: Time = 1.0;

/// Seconds between two passes over the queue, before jitter.
pub(super) fn queue_interval(config: &BalancerConfig) -> Time {
    let shortest_objective = config
        .classes
        .iter()
        .map(|class| class.latency_objective)
        .fold(f64::INFINITY, f64::min);
    (shortest_objective * QUEUE_INTERVAL_OBJECTIVES).clamp(MIN_QUEUE_INTERVAL, MAX_QUEUE_INTERVAL)
}

impl Balancer {
    /// Admits a client's request. A request with a known id is a duplicate event and ignored.
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

    /// Queues a request until the next pass over the queue.
    pub(super) fn enqueue_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.queue.schedule_pass() {
            actions.push(Action::SetTimer {
                after: self.queue_interval * self.random.next_jitter(),
                token: QUEUE_TIMER,
            });
        }
        if let Some(state) = self.requests.get_mut(&id) {
            state.queue_position = Some(self.queue.push(id));
        }
    }

    /// Dispatches all queued requests again, in order of arrival.
    pub(super) fn retry_queued(&mut self, now: Time, actions: &mut Vec<Action>) {
        for id in self.queue.begin_pass() {
            if let Some(state) = self.requests.get_mut(&id) {
                state.queue_position = None;
            }
            self.dispatch_request(now, id, actions);
        }
    }
}
