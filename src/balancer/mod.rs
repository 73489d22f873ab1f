//! All decisions of one balancer, sans-I/O: [`Balancer::handle`] takes an event and returns the actions to
//! carry out.
//!
//! Each decision has its module:
//!
//! | Decision | Module |
//! | --- | --- |
//! | Which server gets a request | `selection`, `rendezvous` |
//! | How many attempts a server gets after it has started or failed | `slow_start` |
//! | When a server is ejected for failures, and for how long | `outlier_ejection` |
//! | When a server counts as busy, and which connections migrate | `overload`, `setup_time` |
//! | What a request does next: start an attempt, wait in the queue or end | `attempt`, `admission` |
//! | In which order queued requests are dispatched | `request_queue` |
//! | Whether and when another attempt may start, and which final answer is given | `retry`, `backoff` |
//! | How loaded a server is | `load_estimate` |
//! | When discovery is polled again | `discovery_poll` |
//!
//! State is kept per server in `servers`, per request in `request_state`, and otherwise in [`Balancer`].

mod admission;
pub mod api;
mod attempt;
mod backoff;
mod discovery_poll;
mod load_estimate;
mod outlier_ejection;
mod overload;
mod random;
mod rendezvous;
mod request_queue;
mod request_state;
mod retry;
mod selection;
mod servers;
mod setup_time;
mod slow_start;

pub use rendezvous::score;

use admission::{QUEUE_TIMER, queue_interval};
use api::{Action, BalancerConfig, Event, RequestClass, RequestId, ServerId, Time};
use backoff::Backoff;
use discovery_poll::{DISCOVERY_POLL_TIMER, DiscoveryPoll};
use load_estimate::{ArrivalRate, RunningMean};
use overload::busy_latency_threshold;
use random::RandomSource;
use request_queue::RequestQueue;
use request_state::RequestState;
use serde::{Deserialize, Serialize};
use servers::Server;
use setup_time::MedianSetupTime;
use std::collections::BTreeMap;

/// The decision state of one balancer.
///
/// A hot restart serializes it as the snapshot for the successor. The snapshot format is the order and the
/// types of the fields. Requests and connections are not part of the snapshot.
#[derive(Default, Deserialize, Serialize)]
pub struct Balancer {
    #[serde(skip)]
    config: BalancerConfig,
    random: RandomSource,
    /// Sorted by id, so that decisions do not depend on the order of the endpoint list.
    servers: Vec<Server>,
    #[serde(skip)]
    requests: BTreeMap<RequestId, RequestState>,
    /// Seconds between two passes over the queue, before jitter. Also the maximum unit of the backoff gap.
    queue_interval: Time,
    /// Message latency, in seconds, at or above which a server is busy.
    busy_latency_threshold: Time,
    setup_time: MedianSetupTime,
    discovery_poll: DiscoveryPoll,
    /// Load of a connection, in microseconds of work per second.
    mean_load: RunningMean,
    arrival_rate: ArrivalRate,
    /// Sum of the weights of all ready servers.
    total_weight: f64,
    /// Established connections of this balancer.
    #[serde(skip)]
    established_count: u32,
    #[serde(skip)]
    queue: RequestQueue,
    backoff: Backoff,
}

impl Balancer {
    /// Creates a balancer without servers. All its random numbers derive from `seed`.
    pub fn new(config: BalancerConfig, seed: u64) -> Self {
        let mut balancer = Self {
            random: RandomSource::new(seed),
            ..Self::default()
        };
        balancer.apply_config(&config);
        balancer
    }

    /// Handles an event at time `now` and appends the actions to carry out, in order.
    pub fn handle(&mut self, now: Time, event: &Event, actions: &mut Vec<Action>) {
        if let Event::ConfigChanged(config) = event {
            self.apply_config(config);
        }
        self.request_first_poll(actions);
        match event {
            Event::EndpointsUpdated { kind, endpoints } => {
                self.update_endpoints(now, *kind, endpoints);
            }
            Event::DiscoveryFailed => self.schedule_discovery_poll(actions),
            Event::Request(request) => self.admit_request(now, request, actions),
            Event::AlreadyEstablished { request, server } => {
                self.adopt_established(now, request, *server);
            }
            Event::Established { id, server } => {
                self.attempt_established(now, *id, *server, actions)
            }
            Event::AttemptEnded(ended) => self.attempt_ended(now, ended, actions),
            Event::LoadReport { id, load } => self.record_load(*id, *load),
            Event::LatencyReport {
                server,
                message_latency,
            } => self.record_message_latency(now, *server, *message_latency, actions),
            Event::HealthChecked {
                server,
                ejected_until,
            } => self.record_health_check(now, *server, *ejected_until),
            Event::ClientDisconnected(id) => self.client_disconnected(*id, actions),
            Event::ShutdownDeadline(id) => self.give_final_answer(*id, actions),
            Event::Timer(DISCOVERY_POLL_TIMER) => actions.push(Action::PollDiscovery),
            Event::Timer(QUEUE_TIMER) => self.retry_queued(now, actions),
            Event::ConfigChanged(_) | Event::Timer(_) | Event::PeerMessage(_) => {}
        }
    }

    fn apply_config(&mut self, config: &BalancerConfig) {
        self.queue_interval = queue_interval(config);
        self.busy_latency_threshold = busy_latency_threshold(config);
        self.discovery_poll.reset();
        self.config = config.clone();
    }

    fn server_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        let index = self.server_index(id)?;
        Some(&mut self.servers[index])
    }

    fn server_index(&self, id: ServerId) -> Option<usize> {
        self.servers
            .binary_search_by_key(&id, |server| server.endpoint.id)
            .ok()
    }

    /// The class of a request; `None` if the configuration has no such class.
    fn class(&self, state: &RequestState) -> Option<&RequestClass> {
        self.config.classes.get(state.request.class)
    }

    /// Number of balancers that share the servers, at least 1.
    fn balancer_count(&self) -> f64 {
        f64::from(self.config.balancer_count.max(1))
    }
}
