//! The runtime of the balancer: passes events to the balancer and dispatches the resulting actions to the command
//! queues of the requests, to timers and to the discovery watcher.
//!
//! All tasks of the process share one [`Runtime`] on one thread. Its state is never borrowed across an await.

pub mod clock;
pub mod connection_limit;
pub mod departed_requests;
pub mod endpoint_directory;
mod endpoints;
pub mod eviction_queue;
pub mod latency_tracker;
pub mod lifecycle_state;
pub mod memory_budget;
pub mod peer_processes;
pub mod report_classifier;
pub mod request_registry;
mod snapshot;

pub use clock::duration;
pub use request_registry::{Command, RequestRegistration};

use crate::Balancer;
use crate::api::*;
use crate::config::ProcessConfig;
use clock::Clock;
use connection_limit::ConnectionLimit;
use endpoint_directory::EndpointDirectory;
use latency_tracker::LatencyTracker;
use lifecycle_state::LifecycleState;
use memory_budget::descriptors_within;
use peer_processes::PeerProcesses;
use report_classifier::{Report, ReportClassifier};
use request_registry::RequestRegistry;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc, watch};

/// Time from the start within which an agent that pushes endpoint lists has to answer for the first time. After that,
/// the process is ready with the cached endpoint list.
const PUSHED_LIST_WAIT: Duration = Duration::from_secs(1);

/// The balancer and a reusable buffer for its actions.
struct BalancerState {
    balancer: Balancer,
    actions: Vec<Action>,
}

/// Measurements of the backends.
struct Measurements {
    latency: LatencyTracker,
    reports: ReportClassifier,
}

impl Measurements {
    fn new(config: &BalancerConfig) -> Self {
        Self {
            latency: LatencyTracker::new(config),
            reports: ReportClassifier::new(config),
        }
    }
}

/// The state shared by all tasks of the process.
pub struct Runtime {
    clock: Clock,
    balancer: RefCell<BalancerState>,
    measurements: RefCell<Measurements>,
    endpoints: RefCell<EndpointDirectory>,
    requests: Rc<RequestRegistry>,
    process_config: RefCell<Rc<ProcessConfig>>,
    /// The lifecycle state of the process.
    pub lifecycle: LifecycleState,
    /// The other processes of this balancer.
    pub peer_processes: PeerProcesses,
    /// Limits the descriptors held by clients of this process.
    pub connection_limit: Rc<ConnectionLimit>,
    /// Notified when the balancer requests a poll of discovery.
    pub poll_requested: Notify,
    endpoints_changed: watch::Sender<()>,
}

impl Runtime {
    /// Creates the runtime of a process with an empty endpoint list.
    pub fn new(process_config: ProcessConfig) -> Self {
        let config = &process_config.config;
        let balancer = BalancerState {
            balancer: Balancer::new(config.clone(), process_config.seed),
            actions: Vec::new(),
        };
        Self {
            clock: Clock::start(),
            balancer: RefCell::new(balancer),
            measurements: RefCell::new(Measurements::new(config)),
            endpoints: RefCell::default(),
            requests: Rc::default(),
            process_config: RefCell::new(Rc::new(process_config)),
            lifecycle: LifecycleState::default(),
            peer_processes: PeerProcesses::default(),
            connection_limit: Rc::default(),
            poll_requested: Notify::new(),
            endpoints_changed: watch::Sender::new(()),
        }
    }

    /// The current configuration.
    pub fn process_config(&self) -> Rc<ProcessConfig> {
        self.process_config.borrow().clone()
    }

    /// Applies a new configuration. The measurements of the backends start anew.
    pub fn apply_config(self: &Rc<Self>, process_config: ProcessConfig) {
        let config = process_config.config.clone();
        self.measurements.replace(Measurements::new(&config));
        self.process_config.replace(Rc::new(process_config));
        self.handle_event(Event::ConfigChanged(config));
        self.connection_limit.evict_excess(self.descriptor_limit());
    }

    /// The current time, on a clock that never goes back.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// The instant at which the clock shows `time`.
    pub fn instant(&self, time: Time) -> tokio::time::Instant {
        self.clock.instant(time)
    }

    /// Passes an event to the balancer and dispatches the resulting actions in order.
    pub fn handle_event(self: &Rc<Self>, event: Event) {
        let mut state = self.balancer.borrow_mut();
        let BalancerState { balancer, actions } = &mut *state;
        balancer.handle(self.now(), &event, actions);
        for action in actions.drain(..) {
            tracing::trace!(?action, "dispatching action");
            self.dispatch(action);
        }
    }

    fn dispatch(self: &Rc<Self>, action: Action) {
        match action {
            Action::StartAttempt {
                id,
                server,
                timeout_at,
            } => {
                self.send_command(id, Command::StartAttempt(server, timeout_at));
            }
            Action::Reject { id, retry_after } => {
                self.send_command(id, Command::Reject((retry_after * 1000.0) as u64));
            }
            Action::Fail(id) => self.send_command(id, Command::Fail),
            Action::CancelAttempt { id, attempt } => {
                self.send_command(id, Command::CancelAttempt(attempt));
            }
            Action::Migrate(id) => self.send_command(id, Command::Migrate),
            Action::PollDiscovery => self.poll_requested.notify_one(),
            Action::SetTimer { after, token } => self.schedule_timer(after, token),
        }
    }

    fn schedule_timer(self: &Rc<Self>, after: Time, token: u64) {
        let runtime = self.clone();
        let after = duration(after);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(after).await;
            runtime.handle_event(Event::Timer(token));
        });
    }

    /// The number of descriptors that this process may hold: the limit of the balancer, which its memory limit may lower,
    /// less the descriptors that its other processes hold.
    pub fn descriptor_limit(&self) -> usize {
        let config = self.process_config();
        let held_by_peers = self.peer_processes.descriptors();
        let processes = if held_by_peers > 0 { 2 } else { 1 };
        let within_memory = config.memory_limit.map_or(usize::MAX, |memory_limit| {
            descriptors_within(memory_limit, processes)
        });
        let limit = config.max_descriptors.min(within_memory);
        limit.saturating_sub(held_by_peers)
    }

    /// Whether endpoint lists are pushed by an agent, and not polled from discovery when the balancer requests it.
    pub fn has_pushed_discovery(&self) -> bool {
        self.process_config().config.discovery_mode == DiscoveryMode::Pushed
    }

    /// Whether requests can be decided: an endpoint is listed and, where lists are pushed, the agent has answered or
    /// `PUSHED_LIST_WAIT` has passed.
    pub fn is_ready(&self) -> bool {
        let list_settled = self.lifecycle.has_discovery_answered()
            || !self.has_pushed_discovery()
            || self.clock.uptime() >= PUSHED_LIST_WAIT;
        list_settled && !self.endpoints.borrow().is_empty()
    }

    /// Registers a request transferred from another process of this balancer. Returns `None` if its id is in use here.
    pub fn register_request(
        &self,
        id: RequestId,
    ) -> Option<(RequestRegistration, mpsc::UnboundedReceiver<Command>)> {
        self.requests.register(id)
    }

    /// Registers a request of a client of this process. Returns `None` if its id is in use in this process or another one
    /// of this balancer. Waits for the other process until the request's deadline at the latest.
    pub async fn claim_and_register_request(
        &self,
        id: RequestId,
        deadline: Time,
    ) -> Option<(RequestRegistration, mpsc::UnboundedReceiver<Command>)> {
        if !self.peer_processes.shares_request_ids() || self.requests.contains(id) {
            return self.requests.register(id);
        }
        // Boxed: the branch is rarely taken.
        let _claimed = Box::pin(
            self.peer_processes
                .claim_request_id(id, self.instant(deadline)),
        )
        .await?;
        self.requests.register(id)
    }

    /// Whether this process serves a request with this id, or may have executed it for a client that has left.
    pub fn serves_request(&self, id: RequestId) -> bool {
        self.requests.contains(id)
    }

    /// Remembers that a request may have executed and that its client has left, so that it is not served again.
    pub fn remember_departed(&self, id: RequestId) {
        self.requests.remember_departed(id);
    }

    /// Whether a second execution of a request of this class does no harm, on any server and at any time.
    pub fn may_execute_twice(&self, class: usize) -> bool {
        let config = self.process_config();
        let class = config.config.classes.get(class);
        class.is_some_and(|class| class.idempotency == Idempotency::Idempotent)
    }

    /// Marks a request's connection as established.
    pub fn mark_established(&self, id: RequestId) {
        self.requests.mark_established(id);
    }

    /// The requests whose connection is established.
    pub fn established_requests(&self) -> Vec<RequestId> {
        self.requests.established()
    }

    /// The requests that wait for their response.
    pub fn pending_requests(&self) -> Vec<RequestId> {
        self.requests.pending()
    }

    /// Queues a command for a request.
    pub fn send_command(&self, id: RequestId, command: Command) {
        self.requests.send_command(id, command);
    }

    /// Handles the value of a `LOAD` report of a backend on a connection: a load in microseconds of work per second, or
    /// a message time in milliseconds. `is_first` tells whether the report is the connection's first.
    pub fn report_value(
        self: &Rc<Self>,
        id: RequestId,
        server: ServerId,
        value: f64,
        is_first: bool,
    ) {
        let now = self.now();
        let report = self
            .measurements
            .borrow_mut()
            .reports
            .classify(now, server, value, is_first);
        match report {
            Report::Load(load) => self.handle_event(Event::LoadReport { id, load }),
            Report::MessageTime(seconds) => {
                tracing::debug!(%server, seconds, "message time reported by backend");
                self.handle_event(Event::LatencyReport {
                    server,
                    message_latency: seconds,
                });
            }
            Report::Ambiguous => {}
        }
    }

    /// Handles the measured time of a message at a backend, in seconds.
    pub fn report_message_time(self: &Rc<Self>, server: ServerId, seconds: Time) {
        let now = self.now();
        let event = self
            .measurements
            .borrow_mut()
            .latency
            .measure(now, server, seconds);
        if let Some(event) = event {
            tracing::debug!(?event, "backend latency changed");
            self.handle_event(event);
        }
    }
}
