//! The module's host: it owns the balancer, the clock, the timers and the map from ids to addresses, has one
//! inbox for each req, and carries out the module's actions in their order.

use super::check;
use super::delay::{Delays, Report, Reports};
use spanspur::Balancer;
use spanspur::api::*;
use spanspur::config::Node;
use spanspur::list::List;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};
use tokio::sync::{Notify, mpsc};

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
}

struct Inbox {
    orders: mpsc::UnboundedSender<Order>,
    standing: bool,
}

struct State {
    balancer: Balancer,
    actions: Vec<Action>,
    addresses: HashMap<ServerId, (MemberState, SocketAddr)>,
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
    /// The process is told to stop.
    pub leaving: Cell<bool>,
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
            addresses: HashMap::new(),
            inboxes: HashMap::new(),
            delays: Delays::new(&node.config),
            reports: Reports::new(&node.config),
        };
        Self {
            state: RefCell::new(state),
            anchor: (Instant::now(), unix.unwrap_or_default().as_secs_f64()),
            watch: Notify::new(),
            listed: Notify::new(),
            leaving: Cell::new(false),
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
        self.event(Event::Settings(config));
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
                Action::Send { id, server, until } => state.order(id, Order::Send(server, until)),
                Action::Refuse { id, retry_after } => {
                    state.order(id, Order::Refuse((retry_after * 1000.0) as u64));
                }
                Action::Fail(id) => state.order(id, Order::Fail),
                Action::Cancel { id, attempt } => state.order(id, Order::Cancel(attempt)),
                Action::Move(id) => state.order(id, Order::Move),
                Action::Watch => self.watch.notify_one(),
                Action::Tell { .. } => check::count("peers are not spoken to"),
                Action::Timer { after, token } => self.wake(after, token),
                Action::Log(text) => tracing::info!("{text}"),
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
    pub fn list(self: &Rc<Self>, kind: ListKind, list: List) {
        if let Some(entry) = list.unusable {
            tracing::warn!(entry, "discovery names an address that cannot be used");
        }
        let mut state = self.state.borrow_mut();
        let addresses = &mut state.addresses;
        if kind != ListKind::Delta {
            addresses.clear();
        }
        for (member, address) in &list.members {
            match member.state {
                MemberState::Gone => drop(addresses.remove(&member.id)),
                state => drop(addresses.insert(member.id, (state, *address))),
            }
            tracing::debug!(?member, %address, "listed");
        }
        let members = list.members.into_iter().map(|(member, _)| member);
        let event = Event::List(kind, members.collect());
        // The module's turn takes the state again.
        drop(state);
        self.event(event);
        self.listed.notify_one();
    }

    /// The address of a listed backend.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.state.borrow().addresses.get(&server).map(|at| at.1)
    }

    /// All listed backends with their addresses.
    pub fn addresses(&self) -> Vec<(ServerId, SocketAddr)> {
        let state = self.state.borrow();
        state.addresses.iter().map(|(id, at)| (*id, at.1)).collect()
    }

    /// Whether the director still says that this backend takes new work.
    pub fn takes_new(&self, server: ServerId) -> bool {
        let state = self.state.borrow();
        state
            .addresses
            .get(&server)
            .is_some_and(|at| at.0 == MemberState::Ready)
    }

    /// Any backend is known: requests can be decided.
    pub fn ready(&self) -> bool {
        !self.state.borrow().addresses.is_empty()
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
            Report::Load(load) => self.event(Event::Load(id, load)),
            Report::Delay(took) => {
                tracing::debug!(%server, took, "a backend reports how long messages take");
                self.event(Event::Delay(server, took));
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

/// A span of the module's as the runtime's; what is not a length of time is none.
pub fn duration(span: Time) -> Duration {
    Duration::try_from_secs_f64(span.max(0.0)).unwrap_or(Duration::from_secs(4260))
}
