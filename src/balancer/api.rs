//! The interface of the decision module: settings, events in, actions out. Nothing here decides anything.

use serde::{Deserialize, Serialize};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Seconds on the node's own monotonic clock; spans of time are seconds too.
pub type Time = f64;

/// A server, named alike at every node: the XXH3 hash of its address.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct ServerId(pub u64);

impl std::fmt::Display for ServerId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl ServerId {
    /// The id of the server with this address.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// A key to place by (a group's or a client's): the XXH3 hash of its text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u64);

impl Key {
    /// The key with this text.
    pub fn of(text: &str) -> Self {
        Self(xxh3_64(text.as_bytes()))
    }
}

/// One try of a client; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64);

impl std::fmt::Display for RequestId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Which servers remember the idempotency keys of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every server discards repeats.
    All,
    /// The servers of one zone do.
    Zone,
    /// The servers of one cell do.
    Cell,
}

/// What a second run of a request would do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Repeats are harmless.
    Idempotent,
    /// Repeats are discarded within `scope` for `window` seconds after the first attempt that may have run.
    Keyed {
        /// Who discards them.
        scope: DeduplicationScope,
        /// For how long.
        window: Time,
    },
    /// Repeats are never harmless.
    NonIdempotent,
}

/// A class of request.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Set-up within this time earns the full worth.
    pub latency_objective: Time,
    /// What a repeat does.
    pub idempotency: Idempotency,
    /// The wanted time of a message on an open connection, where the kind of service has one.
    pub message_latency_objective: Option<Time>,
}

impl Default for RequestClass {
    fn default() -> Self {
        Self {
            latency_objective: 0.5,

            idempotency: Idempotency::Idempotent,
            message_latency_objective: None,
        }
    }
}

/// How the list of servers reaches a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// By itself.
    Pushed,
    /// Only when asked.
    Polled,
}

/// The settings of one node.
#[derive(Clone, Debug)]
pub struct BalancerConfig {
    /// How many nodes share the traffic.
    pub balancer_count: u32,
    /// This node's number among them, from 0 on.
    pub balancer_index: u32,
    /// This node's zone.
    pub zone: u32,
    /// The classes; requests name them by place.
    pub classes: Vec<RequestClass>,
    /// How the list of servers comes.
    pub discovery_mode: DiscoveryMode,
    /// Most attempts for a request.
    pub max_attempts: u32,
    /// A connection that is not made within this time has failed.
    pub connect_timeout: Time,
    /// Attempts may be called off.
    pub can_cancel_attempts: bool,
    /// A refusal may say when to come again, and clients honour up to this.
    pub max_retry_after: Option<Time>,
    /// Servers report, beside loads, how long messages take.
    pub reports_latency: bool,
    /// With `DiscoveryMode::Polled`: ask at least this often while not subscribed.
    pub poll_interval: Time,
    /// A started server can do at least this share of its work.
    pub cold_capacity_share: f64,
    /// And all of it after this time.
    pub slow_start_window: Time,
    /// Sent more than this multiple of its present capacity,
    pub overload_multiple: f64,
    /// for this time, a cold server falls over.
    pub overload_window: Time,
}

impl Default for BalancerConfig {
    fn default() -> Self {
        Self {
            balancer_count: 1,
            balancer_index: 0,
            zone: 0,
            classes: Vec::new(),
            discovery_mode: DiscoveryMode::Pushed,
            max_attempts: 3,
            connect_timeout: 0.25,
            can_cancel_attempts: false,
            max_retry_after: None,
            reports_latency: false,
            poll_interval: 10.0,
            cold_capacity_share: 1.0,
            slow_start_window: 0.0,
            overload_multiple: 1.0,
            overload_window: 1.0,
        }
    }
}

/// What the list says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// Takes new work.
    Ready,
    /// Finishes its work and takes none.
    Draining,
    /// Removed.
    #[default]
    Removed,
}

/// An entry of the list of servers.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Endpoint {
    /// The server.
    pub id: ServerId,
    /// Its zone.
    pub zone: u32,
    /// What may be sent to it.
    pub state: EndpointState,
    /// Its size next to the others. What is not a finite number above 0 counts as 1.
    pub weight: f64,
    /// When it last started; 0 for long ago.
    pub started: Time,
    /// Its cell.
    pub cell: u32,
}

/// What a message from discovery is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// Only what changed.
    Delta,
    /// Everything; a server that is missing is gone.
    Full,
    /// Everything as last known before a restart, maybe old.
    Cached,
}

/// A client's request for a connection, or one that is open already.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class's place in [`BalancerConfig::classes`]; requests of a class that does not exist are refused.
    pub class: usize,
    /// The client.
    pub key: Option<Key>,
    /// The group of connections it belongs to.
    pub group: Option<Key>,
    /// When the client gives this try up.
    pub deadline: Time,
    /// Expected load of the connection, in a fixed unit.
    pub load_hint: Option<f64>,
    /// Packets of an established connection arrive here.
    pub mid_flow: bool,
    /// The client comes again after a break or a move.
    pub is_reconnect: bool,
}

impl Request {
    /// A request with nothing known but its class and its end.
    pub fn new(id: RequestId, class: usize, deadline: Time) -> Self {
        Self {
            id,
            class,

            key: None,
            group: None,
            deadline,
            load_hint: None,
            mid_flow: false,
            is_reconnect: false,
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Served.
    Success,
    /// The server returned an error; it may have run.
    Error,
    /// Turned away unseen: it never ran.
    Rejected,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection: it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Not sent at all.
    NotSent,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnded {
    /// The request.
    pub id: RequestId,
    /// The attempt's number.
    pub attempt: u32,
    /// Where it went.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// The request has its final answer.
    pub settled: bool,
}

/// What the node tells the balancer.
#[derive(Clone, Debug)]
pub enum Event {
    /// News from discovery.
    EndpointsUpdated(UpdateKind, Arc<[Endpoint]>),
    /// A call to discovery or the subscription failed; the old list stands.
    DiscoveryFailed,
    /// The settings have changed while running, and with them maybe the place of discovery.
    ConfigChanged(BalancerConfig),
    /// A client asks for a connection: exactly one final answer is owed.
    Request(Request),
    /// A connection is open at the start; its attempt 0 stands at this server.
    AlreadyEstablished(Request, ServerId),
    /// The attempt that is out stands: neither time-out nor deadline runs any more.
    Established(RequestId, ServerId),
    /// An attempt has ended.
    AttemptEnded(AttemptEnded),
    /// A standing connection's load now, in microseconds of work a second.
    LoadReport(RequestId, f64),
    /// The time that a message takes now at a server that holds a connection of this node.
    LatencyReport(ServerId, Time),
    /// A probe, here or at another node, has reached a server (`None`), or could not: until that time it is left
    /// alone, unless a later probe reaches it.
    HealthChecked(ServerId, Option<Time>),
    /// The client has left; nothing is owed.
    ClientDisconnected(RequestId),
    /// This node leaves: if the request has no answer yet, it gets its final one now.
    ShutdownDeadline(RequestId),
    /// A timer fell due.
    Timer(u64),
    /// Bytes from a peer.
    PeerMessage(Vec<u8>),
}

/// What the node is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Try the request at a server; attempts are numbered from 0.
    StartAttempt {
        /// The request.
        id: RequestId,
        /// Where.
        server: ServerId,
        /// When the attempt times out.
        until: Time,
    },
    /// Final answer: declined, a retry is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// Come again after this; 0 for no advice.
        retry_after: Time,
    },
    /// Final answer: failed, nothing is promised.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// End an open connection politely; its client comes again.
    Migrate(RequestId),
    /// Ask discovery for changes from now on.
    PollDiscovery,
    /// Wake the balancer.
    SetTimer {
        /// After this time.
        after: Time,
        /// With this token.
        token: u64,
    },
}
