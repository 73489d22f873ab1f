//! The module's runtime: it owns the balancer, the clock, the timers and the map from ids to addresses, has one
//! inbox for each req, and carries out the module's actions in their command.

use crate::Balancer;
use crate::api::*;
use crate::config::ProcessConfig;
use crate::discovery::endpoint_list::{EndpointList, ListedEndpoint};
use crate::lifecycle::hot_restart::{self, ConnectionSender, Snapshot};
use crate::proxy::connection_limit::ConnectionLimit;
use crate::proxy::latency_tracker::{LatencyTracker, Report, ReportClassifier};
use spanspur_admin::outs::Outs;
use spanspur_hot_restart::frame::Frame;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};
use tokio::sync::{Notify, mpsc, watch};

/// An agent that has said nothing for so long is not waited for: the list as last known is all there is.
const AGENT: Duration = Duration::from_secs(1);

/// What a req is to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Command {
    /// Try this backend, until then.
    StartAttempt(ServerId, Time),
    /// Synthetic answer: come again after so many milliseconds (0: no advice).
    Reject(u64),
    /// Synthetic answer: failed.
    Fail,
    /// Stop waiting for the attempt with this number.
    CancelAttempt(u32),
    /// End the standing connection politely.
    Migrate,
    /// Give it to the process that takes this one's place.
    Transfer,
}

struct Inbox {
    commands: mpsc::UnboundedSender<Command>,
    standing: bool,
}

/// A listed backend.
struct Listed {
    /// As discovery names it.
    raw: Endpoint,
    /// As the module knows it.
    seen: Endpoint,
    address: SocketAddr,
}

struct State {
    balancer: Balancer,
    actions: Vec<Action>,
    listed: HashMap<ServerId, Listed>,
    outs: Outs,
    inboxes: HashMap<RequestId, Inbox>,
    delays: LatencyTracker,
    reports: ReportClassifier,
}

/// Shared by all tasks; never borrowed across an await.
pub struct Runtime {
    state: RefCell<State>,
    /// The monotonic clock and the Unix time at its anchor: discovery's times are Unix times.
    anchor: (Instant, Time),
    /// Wakes the director.
    pub poll_requested: Notify,
    /// The list of servers has changed.
    pub endpoints_changed: Notify,
    /// Discovery has answered this process.
    pub discovery_answered: Cell<bool>,
    /// The process is told to stop.
    pub shutting_down: Cell<bool>,
    /// The staff empties this balancer: the front is told no.
    pub lameduck: watch::Sender<bool>,
    /// It was this process that was told so: one that takes over an emptied balancer is ready all the same.
    pub lameduck_requested_here: Cell<bool>,
    /// Clients are accepted.
    pub accepting: watch::Sender<bool>,
    /// Clients that have not said yet what they want.
    pub clients_without_request: Cell<usize>,
    /// Clients that are being told their answer, and have not ended their side yet.
    pub clients_with_pending_close: Cell<usize>,
    /// The process is about to exit: who has not said yet what it wants is answered now.
    pub exiting: watch::Sender<bool>,
    /// The descriptors that clients hold here.
    pub connection_limit: Rc<ConnectionLimit>,
    /// Those of another process of this balancer.
    pub peer_process_descriptors: Cell<usize>,
    /// Another process takes the clients: what cold servers may be sent is its part alone.
    clients_handed_over: Cell<bool>,
    /// Who takes over what stands here, once this process leaves.
    pub successor: watch::Sender<Option<Rc<ConnectionSender>>>,
    /// Other processes of this balancer that hear this one's news.
    peer_processes: RefCell<Vec<mpsc::Sender<Frame>>>,
    /// The version of the list.
    list_revision: Cell<u64>,
    process_config: RefCell<Rc<ProcessConfig>>,
}

/// A req's place at the runtime; dropped, it is gone there.
pub struct RequestRegistration {
    runtime: Rc<Runtime>,
    id: RequestId,
}

impl Drop for RequestRegistration {
    fn drop(&mut self) {
        self.runtime.state.borrow_mut().inboxes.remove(&self.id);
    }
}

impl Runtime {
    /// The runtime of a node, not yet told of any server.
    pub fn new(node: ProcessConfig) -> Self {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let state = State {
            balancer: Balancer::new(node.config.clone(), node.seed),
            actions: Vec::new(),
            listed: HashMap::new(),
            outs: Outs::default(),
            inboxes: HashMap::new(),
            delays: LatencyTracker::new(&node.config),
            reports: ReportClassifier::new(&node.config),
        };
        Self {
            state: RefCell::new(state),
            anchor: (Instant::now(), unix.unwrap_or_default().as_secs_f64()),
            poll_requested: Notify::new(),
            endpoints_changed: Notify::new(),
            discovery_answered: Cell::new(false),
            shutting_down: Cell::new(false),
            lameduck: watch::Sender::new(false),
            lameduck_requested_here: Cell::new(false),
            accepting: watch::Sender::new(true),
            clients_without_request: Cell::new(0),
            clients_with_pending_close: Cell::new(0),
            exiting: watch::Sender::new(false),
            connection_limit: Rc::default(),
            peer_process_descriptors: Cell::new(0),
            clients_handed_over: Cell::new(false),
            successor: watch::Sender::new(None),
            peer_processes: RefCell::default(),
            list_revision: Cell::new(0),
            process_config: RefCell::new(Rc::new(node)),
        }
    }

    /// What is configured now.
    pub fn process_config(&self) -> Rc<ProcessConfig> {
        self.process_config.borrow().clone()
    }

    /// Takes over what is configured anew.
    pub fn apply_config(self: &Rc<Self>, node: ProcessConfig) {
        let config = node.config.clone();
        let mut state = self.state.borrow_mut();
        (state.delays, state.reports) =
            (LatencyTracker::new(&config), ReportClassifier::new(&config));
        drop(state);
        self.process_config.replace(Rc::new(node));
        self.handle_event(Event::ConfigChanged(config));
    }

    /// The time now, on a clock that never goes back.
    pub fn now(&self) -> Time {
        self.anchor.1 + self.anchor.0.elapsed().as_secs_f64()
    }

    /// The instant of a time.
    pub fn instant(&self, time: Time) -> tokio::time::Instant {
        (self.anchor.0 + duration(time - self.anchor.1)).into()
    }

    /// Hands an event to the module and carries out what it answers, in command.
    pub fn handle_event(self: &Rc<Self>, event: Event) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let State {
            balancer, actions, ..
        } = &mut *state;
        balancer.handle(now, &event, actions);
        let mut actions = std::mem::take(&mut state.actions);
        for action in actions.drain(..) {
            tracing::trace!(?action);
            match action {
                Action::StartAttempt { id, server, until } => {
                    state.send_command(id, Command::StartAttempt(server, until))
                }
                Action::Reject { id, retry_after } => {
                    state.send_command(id, Command::Reject((retry_after * 1000.0) as u64));
                }
                Action::Fail(id) => state.send_command(id, Command::Fail),
                Action::CancelAttempt { id, attempt } => {
                    state.send_command(id, Command::CancelAttempt(attempt))
                }
                Action::Migrate(id) => state.send_command(id, Command::Migrate),
                Action::PollDiscovery => self.poll_requested.notify_one(),
                Action::SetTimer { after, token } => self.schedule_timer(after, token),
            }
        }
        state.actions = actions;
    }

    fn schedule_timer(self: &Rc<Self>, after: Time, token: u64) {
        let runtime = self.clone();
        let after = duration(after);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(after).await;
            runtime.handle_event(Event::Timer(token));
        });
    }

    /// Takes a list from discovery: first the addresses, then the module.
    pub fn update_endpoints(self: &Rc<Self>, kind: UpdateKind, list: EndpointList) {
        if let Some(entry) = list.unusable {
            tracing::warn!(entry, "discovery names an address that cannot be used");
        }
        let now = self.now();
        let slow_start_window = self.process_config().config.slow_start_window;
        let mut state = self.state.borrow_mut();
        self.list_revision.set(list.revision);
        let State { listed, outs, .. } = &mut *state;
        if kind != UpdateKind::Delta {
            listed.clear();
        }
        let mut members = Vec::with_capacity(list.endpoints.len());
        for ListedEndpoint {
            endpoint: raw,
            address,
        } in list.endpoints
        {
            outs.listed(raw.id.0);
            let seen = masked(
                outs,
                raw,
                now,
                slow_start_window,
                self.clients_handed_over.get(),
            );
            tracing::debug!(member = ?raw, as_draining = seen.state != raw.state, %address, "listed");
            members.push(seen);
            match raw.state {
                EndpointState::Removed => drop(listed.remove(&raw.id)),
                _ => drop(listed.insert(raw.id, Listed { raw, seen, address })),
            }
        }
        let event = Event::EndpointsUpdated(kind, members.into());
        // The module's turn takes the state again.
        drop(state);
        self.handle_event(event);
        self.endpoints_changed.notify_one();
    }

    /// Takes a list that control instances gave in discovery's stead; other processes of this balancer hear of it as
    /// if it had come from there.
    pub fn update_from_distribution(self: &Rc<Self>, list: EndpointList) {
        let kind = match list.complete {
            true => UpdateKind::Full,
            false => UpdateKind::Delta,
        };
        tracing::debug!(
            revision = list.revision,
            complete = list.complete,
            entries = list.endpoints.len(),
            "a followed list"
        );
        self.discovery_answered.set(true);
        self.notify_peer_processes(|| hot_restart::news(&list));
        self.update_endpoints(kind, list);
    }

    /// Which backends the staff has taken out.
    pub fn maintenance(&self) -> Outs {
        self.state.borrow().outs.clone()
    }

    /// Takes over which are taken out now.
    pub fn merge_maintenance(self: &Rc<Self>, outs: &Outs) {
        self.state.borrow_mut().outs.merge(outs);
        self.refresh_endpoints();
    }

    /// Another process takes the clients, or does so no more.
    pub fn set_clients_handed_over(self: &Rc<Self>, handed: bool) {
        self.clients_handed_over.set(handed);
        self.refresh_endpoints();
        self.accepting.send_replace(!handed);
    }

    /// Looks at all listed backends anew: the module hears of those that count as something else now, as if
    /// discovery had told.
    fn refresh_endpoints(self: &Rc<Self>) {
        let (now, slow_start_window) = (self.now(), self.process_config().config.slow_start_window);
        let mut state = self.state.borrow_mut();
        let State { listed, outs, .. } = &mut *state;
        let mut changed = Vec::new();
        for at in listed.values_mut() {
            let seen = masked(
                outs,
                at.raw,
                now,
                slow_start_window,
                self.clients_handed_over.get(),
            );
            if (seen.state, seen.started) != (at.seen.state, at.seen.started) {
                at.seen = seen;
                changed.push(seen);
            }
        }
        drop(state);
        if !changed.is_empty() {
            self.handle_event(Event::EndpointsUpdated(UpdateKind::Delta, changed.into()));
            self.endpoints_changed.notify_one();
        }
    }

    /// Goes on from what another process of this balancer knows.
    pub fn restore(self: &Rc<Self>, known: Snapshot) {
        match postcard::from_bytes(&known.module) {
            Ok(balancer) => self.state.borrow_mut().balancer = balancer,
            Err(e) => {
                tracing::warn!(error = %e, "what the process before has learnt cannot be read")
            }
        }
        self.handle_event(Event::ConfigChanged(self.process_config().config.clone()));
        self.update_endpoints(UpdateKind::Full, known.list());
    }

    /// What another process of this balancer needs to go on from here.
    pub fn snapshot(&self) -> Snapshot {
        let state = self.state.borrow();
        let members = state.listed.values().map(|at| (at.raw, at.address));
        Snapshot {
            discovery: self.process_config().discovery,
            revision: self.list_revision.get(),
            members: members.collect(),
            module: postcard::to_stdvec(&state.balancer).unwrap_or_default(),
            outs: state.outs.write(),
            lameduck: *self.lameduck.borrow(),
        }
    }

    /// The version of the list as it is known here.
    pub fn list_revision(&self) -> u64 {
        self.list_revision.get()
    }

    /// The descriptors that this process may hold.
    pub fn descriptor_limit(&self) -> usize {
        self.process_config()
            .max_descriptors
            .saturating_sub(self.peer_process_descriptors.get())
    }

    /// From here on news go into this queue too.
    pub fn add_peer_process(&self, news: mpsc::Sender<Frame>) {
        self.peer_processes.borrow_mut().push(news);
    }

    /// Tells other processes of this balancer. One that does not keep up hears nothing any more.
    pub fn notify_peer_processes(&self, frame: impl Fn() -> Frame) {
        let mut links = self.peer_processes.borrow_mut();
        links.retain(|link| link.try_send(frame()).is_ok());
    }

    /// The address of a listed backend.
    pub fn endpoint_address(&self, server: ServerId) -> Option<SocketAddr> {
        self.state.borrow().listed.get(&server).map(|at| at.address)
    }

    /// All listed backends with their addresses.
    pub fn endpoint_addresses(&self) -> Vec<(ServerId, SocketAddr)> {
        let state = self.state.borrow();
        let listed = state.listed.iter();
        listed.map(|(id, at)| (*id, at.address)).collect()
    }

    /// Whether the director still says that this backend takes new work.
    pub fn accepts_new_requests(&self, server: ServerId) -> bool {
        let state = self.state.borrow();
        state
            .listed
            .get(&server)
            .is_some_and(|at| at.seen.state == EndpointState::Ready)
    }

    /// Lists are pushed: what the agent has counts as told, from the first moment of this process on.
    pub fn has_pushed_discovery(&self) -> bool {
        self.process_config().config.discovery_mode == DiscoveryMode::Pushed
    }

    /// Any backend is known: requests can be decided. Where lists are pushed, the agent is heard first, if it speaks.
    pub fn is_ready(&self) -> bool {
        let heard = self.discovery_answered.get()
            || !self.has_pushed_discovery()
            || self.anchor.0.elapsed() >= AGENT;
        heard && !self.state.borrow().listed.is_empty()
    }

    /// Opens an inbox; `None` if there is a live req with this id.
    pub fn register_request(
        self: &Rc<Self>,
        id: RequestId,
    ) -> Option<(RequestRegistration, mpsc::UnboundedReceiver<Command>)> {
        let (commands, inbox) = mpsc::unbounded_channel();
        let mut state = self.state.borrow_mut();
        if state.inboxes.contains_key(&id) {
            return None;
        }
        state.inboxes.insert(
            id,
            Inbox {
                commands,
                standing: false,
            },
        );
        drop(state);
        Some((
            RequestRegistration {
                runtime: self.clone(),
                id,
            },
            inbox,
        ))
    }

    /// Notes that a req's connection stands.
    pub fn mark_established(&self, id: RequestId) {
        if let Some(inbox) = self.state.borrow_mut().inboxes.get_mut(&id) {
            inbox.standing = true;
        }
    }

    /// The reqs here: those that stand, or those that still wait for an answer.
    pub fn request_ids(&self, standing: bool) -> Vec<RequestId> {
        let state = self.state.borrow();
        let of = state
            .inboxes
            .iter()
            .filter(|(_, inbox)| inbox.standing == standing);
        of.map(|(id, _)| *id).collect()
    }

    /// Puts an command into a req's inbox that the module did not give: the process is leaving.
    pub fn send_command(&self, id: RequestId, command: Command) {
        self.state.borrow_mut().send_command(id, command);
    }

    /// Takes a figure that a backend has reported on a connection; `first` if none was before.
    pub fn report_figure(
        self: &Rc<Self>,
        id: RequestId,
        server: ServerId,
        figure: f64,
        first: bool,
    ) {
        let now = self.now();
        let report = self
            .state
            .borrow_mut()
            .reports
            .read(now, server, figure, first);
        match report {
            Report::Load(load) => self.handle_event(Event::LoadReport(id, load)),
            Report::MessageTime(took) => {
                tracing::debug!(%server, took, "a backend reports how long messages take");
                self.handle_event(Event::LatencyReport(server, took));
            }
            Report::Ambiguous => {}
        }
    }

    /// Takes the time of a message at a backend.
    pub fn report_message_time(self: &Rc<Self>, server: ServerId, took: Time) {
        let now = self.now();
        let event = self.state.borrow_mut().delays.measured(now, server, took);
        if let Some(event) = event {
            tracing::debug!(?event, "a backend is slow, or clear again");
            self.handle_event(event);
        }
    }
}

impl State {
    fn send_command(&mut self, id: RequestId, command: Command) {
        // A req that has just ended has no inbox any more; what was meant for it is void.
        if let Some(inbox) = self.inboxes.get(&id) {
            let _ = inbox.commands.send(command);
        }
    }
}

/// What the module is told of a backend: one that is taken out drains, whatever its list says.
fn masked(
    outs: &Outs,
    raw: Endpoint,
    now: Time,
    slow_start_window: Time,
    handed: bool,
) -> Endpoint {
    let mask = outs.mask(raw.id.0, raw.started, now, slow_start_window);
    let state = match raw.state {
        EndpointState::Ready if mask.out => EndpointState::Draining,
        // Two processes that both use a cold server's budget use it twice.
        EndpointState::Ready if handed && mask.started > now - slow_start_window => {
            EndpointState::Draining
        }
        state => state,
    };
    let started = mask.started;
    Endpoint {
        state,
        started,
        ..raw
    }
}

/// A span of the module's as the runtime's; what is not a length of time is none.
pub fn duration(span: Time) -> Duration {
    Duration::try_from_secs_f64(span.max(0.0)).unwrap_or(Duration::from_secs(4260))
}
