//! The module's host: it owns the balancer, the clock, the timers and the map from ids to addresses, has one
//! inbox for each req, and carries out the module's actions in their order.

use super::delay::{Delays, Report, Reports};
use super::room::Room;
use super::service::handover::{self, Giving, Known};
use spanspur::Balancer;
use spanspur::api::*;
use spanspur::config::Node;
use spanspur::list::List;
use spanspur_handover::frame::Frame;
use spanspur_service::outs::Outs;
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
pub enum Order {
    /// Try this backend, until then.
    Send(ServerId, Time),
    /// Synthetic answer: come again after so many milliseconds (0: no advice).
    Refuse(u64),
    /// Synthetic answer: failed.
    Fail,
    /// Stop waiting for the attempt with this number.
    Cancel(u32),
    /// End the standing connection politely.
    Move,
    /// Give it to the process that takes this one's place.
    Give,
}

struct Inbox {
    orders: mpsc::UnboundedSender<Order>,
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
    delays: Delays,
    reports: Reports,
}

/// Shared by all tasks; never borrowed across an await.
pub struct Host {
    state: RefCell<State>,
    /// The monotonic clock and the Unix time at its anchor: discovery's times are Unix times.
    anchor: (Instant, Time),
    /// Wakes the director.
    pub watch: Notify,
    /// The list of servers has changed.
    pub listed: Notify,
    /// Discovery has answered this process.
    pub heard: Cell<bool>,
    /// The process is told to stop.
    pub leaving: Cell<bool>,
    /// The staff empties this balancer: the front is told no.
    pub lameduck: watch::Sender<bool>,
    /// It was this process that was told so: one that takes over an emptied balancer is ready all the same.
    pub told_lameduck: Cell<bool>,
    /// Clients are accepted.
    pub accepting: watch::Sender<bool>,
    /// Clients that have not said yet what they want.
    pub reading: Cell<usize>,
    /// Clients that are being told their answer, and have not ended their side yet.
    pub answering: Cell<usize>,
    /// The process is about to exit: who has not said yet what it wants is answered now.
    pub ending: watch::Sender<bool>,
    /// The descriptors that clients hold here.
    pub room: Rc<Room>,
    /// Those of another process of this balancer.
    pub others: Cell<usize>,
    /// Another process takes the clients: what cold servers may be sent is its part alone.
    handed: Cell<bool>,
    /// Who takes over what stands here, once this process leaves.
    pub giving: watch::Sender<Option<Rc<Giving>>>,
    /// Other processes of this balancer that hear this one's news.
    links: RefCell<Vec<mpsc::Sender<Frame>>>,
    /// The version of the list.
    revision: Cell<u64>,
    node: RefCell<Rc<Node>>,
}

/// A req's place at the host; dropped, it is gone there.
pub struct Ticket {
    host: Rc<Host>,
    id: RequestId,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.host.state.borrow_mut().inboxes.remove(&self.id);
    }
}

impl Host {
    /// The host of a node, not yet told of any server.
    pub fn new(node: Node) -> Self {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let state = State {
            balancer: Balancer::new(node.config.clone(), node.seed),
            actions: Vec::new(),
            listed: HashMap::new(),
            outs: Outs::default(),
            inboxes: HashMap::new(),
            delays: Delays::new(&node.config),
            reports: Reports::new(&node.config),
        };
        Self {
            state: RefCell::new(state),
            anchor: (Instant::now(), unix.unwrap_or_default().as_secs_f64()),
            watch: Notify::new(),
            listed: Notify::new(),
            heard: Cell::new(false),
            leaving: Cell::new(false),
            lameduck: watch::Sender::new(false),
            told_lameduck: Cell::new(false),
            accepting: watch::Sender::new(true),
            reading: Cell::new(0),
            answering: Cell::new(0),
            ending: watch::Sender::new(false),
            room: Rc::default(),
            others: Cell::new(0),
            handed: Cell::new(false),
            giving: watch::Sender::new(None),
            links: RefCell::default(),
            revision: Cell::new(0),
            node: RefCell::new(Rc::new(node)),
        }
    }

    /// What is configured now.
    pub fn node(&self) -> Rc<Node> {
        self.node.borrow().clone()
    }

    /// Takes over what is configured anew.
    pub fn configure(self: &Rc<Self>, node: Node) {
        let config = node.config.clone();
        let mut state = self.state.borrow_mut();
        (state.delays, state.reports) = (Delays::new(&config), Reports::new(&config));
        drop(state);
        self.node.replace(Rc::new(node));
        self.event(Event::ConfigChanged(config));
    }

    /// The time now, on a clock that never goes back.
    pub fn now(&self) -> Time {
        self.anchor.1 + self.anchor.0.elapsed().as_secs_f64()
    }

    /// The instant of a time.
    pub fn instant(&self, time: Time) -> tokio::time::Instant {
        (self.anchor.0 + duration(time - self.anchor.1)).into()
    }

    /// Hands an event to the module and carries out what it answers, in order.
    pub fn event(self: &Rc<Self>, event: Event) {
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
                    state.order(id, Order::Send(server, until))
                }
                Action::Reject { id, retry_after } => {
                    state.order(id, Order::Refuse((retry_after * 1000.0) as u64));
                }
                Action::Fail(id) => state.order(id, Order::Fail),
                Action::CancelAttempt { id, attempt } => state.order(id, Order::Cancel(attempt)),
                Action::Migrate(id) => state.order(id, Order::Move),
                Action::PollDiscovery => self.watch.notify_one(),
                Action::SetTimer { after, token } => self.wake(after, token),
            }
        }
        state.actions = actions;
    }

    fn wake(self: &Rc<Self>, after: Time, token: u64) {
        let host = self.clone();
        let after = duration(after);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(after).await;
            host.event(Event::Timer(token));
        });
    }

    /// Takes a list from discovery: first the addresses, then the module.
    pub fn list(self: &Rc<Self>, kind: UpdateKind, list: List) {
        if let Some(entry) = list.unusable {
            tracing::warn!(entry, "discovery names an address that cannot be used");
        }
        let now = self.now();
        let slow_start_window = self.node().config.slow_start_window;
        let mut state = self.state.borrow_mut();
        self.revision.set(list.revision);
        let State { listed, outs, .. } = &mut *state;
        if kind != UpdateKind::Delta {
            listed.clear();
        }
        let mut members = Vec::with_capacity(list.members.len());
        for (raw, address) in list.members {
            outs.listed(raw.id.0);
            let seen = masked(outs, raw, now, slow_start_window, self.handed.get());
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
        self.event(event);
        self.listed.notify_one();
    }

    /// Takes a list that control instances gave in discovery's stead; other processes of this balancer hear of it as
    /// if it had come from there.
    pub fn followed(self: &Rc<Self>, list: List) {
        let kind = match list.complete {
            true => UpdateKind::Full,
            false => UpdateKind::Delta,
        };
        tracing::debug!(
            revision = list.revision,
            complete = list.complete,
            entries = list.members.len(),
            "a followed list"
        );
        self.heard.set(true);
        self.tell(|| handover::news(&list));
        self.list(kind, list);
    }

    /// Which backends the staff has taken out.
    pub fn outs(&self) -> Outs {
        self.state.borrow().outs.clone()
    }

    /// Takes over which are taken out now.
    pub fn take_outs(self: &Rc<Self>, outs: &Outs) {
        self.state.borrow_mut().outs.merge(outs);
        self.mask();
    }

    /// Another process takes the clients, or does so no more.
    pub fn hand(self: &Rc<Self>, handed: bool) {
        self.handed.set(handed);
        self.mask();
        self.accepting.send_replace(!handed);
    }

    /// Looks at all listed backends anew: the module hears of those that count as something else now, as if
    /// discovery had told.
    fn mask(self: &Rc<Self>) {
        let (now, slow_start_window) = (self.now(), self.node().config.slow_start_window);
        let mut state = self.state.borrow_mut();
        let State { listed, outs, .. } = &mut *state;
        let mut changed = Vec::new();
        for at in listed.values_mut() {
            let seen = masked(outs, at.raw, now, slow_start_window, self.handed.get());
            if (seen.state, seen.started) != (at.seen.state, at.seen.started) {
                at.seen = seen;
                changed.push(seen);
            }
        }
        drop(state);
        if !changed.is_empty() {
            self.event(Event::EndpointsUpdated(UpdateKind::Delta, changed.into()));
            self.listed.notify_one();
        }
    }

    /// Goes on from what another process of this balancer knows.
    pub fn resume(self: &Rc<Self>, known: Known) {
        match postcard::from_bytes(&known.module) {
            Ok(balancer) => self.state.borrow_mut().balancer = balancer,
            Err(e) => {
                tracing::warn!(error = %e, "what the process before has learnt cannot be read")
            }
        }
        self.event(Event::ConfigChanged(self.node().config.clone()));
        self.list(UpdateKind::Full, known.list());
    }

    /// What another process of this balancer needs to go on from here.
    pub fn known(&self) -> Known {
        let state = self.state.borrow();
        let members = state.listed.values().map(|at| (at.raw, at.address));
        Known {
            discovery: self.node().discovery,
            revision: self.revision.get(),
            members: members.collect(),
            module: postcard::to_stdvec(&state.balancer).unwrap_or_default(),
            outs: state.outs.write(),
            lameduck: *self.lameduck.borrow(),
        }
    }

    /// The version of the list as it is known here.
    pub fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// The descriptors that this process may hold.
    pub fn sockets(&self) -> usize {
        self.node().sockets.saturating_sub(self.others.get())
    }

    /// From here on news go into this queue too.
    pub fn link(&self, news: mpsc::Sender<Frame>) {
        self.links.borrow_mut().push(news);
    }

    /// Tells other processes of this balancer. One that does not keep up hears nothing any more.
    pub fn tell(&self, frame: impl Fn() -> Frame) {
        let mut links = self.links.borrow_mut();
        links.retain(|link| link.try_send(frame()).is_ok());
    }

    /// The address of a listed backend.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.state.borrow().listed.get(&server).map(|at| at.address)
    }

    /// All listed backends with their addresses.
    pub fn addresses(&self) -> Vec<(ServerId, SocketAddr)> {
        let state = self.state.borrow();
        let listed = state.listed.iter();
        listed.map(|(id, at)| (*id, at.address)).collect()
    }

    /// Whether the director still says that this backend takes new work.
    pub fn takes_new(&self, server: ServerId) -> bool {
        let state = self.state.borrow();
        state
            .listed
            .get(&server)
            .is_some_and(|at| at.seen.state == EndpointState::Ready)
    }

    /// Lists are pushed: what the agent has counts as told, from the first moment of this process on.
    pub fn pushed(&self) -> bool {
        self.node().config.discovery_mode == DiscoveryMode::Pushed
    }

    /// Any backend is known: requests can be decided. Where lists are pushed, the agent is heard first, if it speaks.
    pub fn ready(&self) -> bool {
        let heard = self.heard.get() || !self.pushed() || self.anchor.0.elapsed() >= AGENT;
        heard && !self.state.borrow().listed.is_empty()
    }

    /// Opens an inbox; `None` if there is a live req with this id.
    pub fn enter(
        self: &Rc<Self>,
        id: RequestId,
    ) -> Option<(Ticket, mpsc::UnboundedReceiver<Order>)> {
        let (orders, inbox) = mpsc::unbounded_channel();
        let mut state = self.state.borrow_mut();
        if state.inboxes.contains_key(&id) {
            return None;
        }
        state.inboxes.insert(
            id,
            Inbox {
                orders,
                standing: false,
            },
        );
        drop(state);
        Some((
            Ticket {
                host: self.clone(),
                id,
            },
            inbox,
        ))
    }

    /// Notes that a req's connection stands.
    pub fn stands(&self, id: RequestId) {
        if let Some(inbox) = self.state.borrow_mut().inboxes.get_mut(&id) {
            inbox.standing = true;
        }
    }

    /// The reqs here: those that stand, or those that still wait for an answer.
    pub fn reqs(&self, standing: bool) -> Vec<RequestId> {
        let state = self.state.borrow();
        let of = state
            .inboxes
            .iter()
            .filter(|(_, inbox)| inbox.standing == standing);
        of.map(|(id, _)| *id).collect()
    }

    /// Puts an order into a req's inbox that the module did not give: the process is leaving.
    pub fn order(&self, id: RequestId, order: Order) {
        self.state.borrow_mut().order(id, order);
    }

    /// Takes a figure that a backend has reported on a connection; `first` if none was before.
    pub fn reported(self: &Rc<Self>, id: RequestId, server: ServerId, figure: f64, first: bool) {
        let now = self.now();
        let report = self
            .state
            .borrow_mut()
            .reports
            .read(now, server, figure, first);
        match report {
            Report::Load(load) => self.event(Event::LoadReport(id, load)),
            Report::Delay(took) => {
                tracing::debug!(%server, took, "a backend reports how long messages take");
                self.event(Event::LatencyReport(server, took));
            }
            Report::Unclear => {}
        }
    }

    /// Takes the time of a message at a backend.
    pub fn message_took(self: &Rc<Self>, server: ServerId, took: Time) {
        let now = self.now();
        let event = self.state.borrow_mut().delays.measured(now, server, took);
        if let Some(event) = event {
            tracing::debug!(?event, "a backend is slow, or clear again");
            self.event(event);
        }
    }
}

impl State {
    fn order(&mut self, id: RequestId, order: Order) {
        // A req that has just ended has no inbox any more; what was meant for it is void.
        if let Some(inbox) = self.inboxes.get(&id) {
            let _ = inbox.orders.send(order);
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
