//! The configuration as written in the file and in the simulator's protocol, not validated.
//!
//! Do not rename these structs: serde puts their names into its error texts ("expected struct Rules"), which operators
//! and scripts rely on.

use serde::Deserialize;

/// The file that `BALANCER_CONFIG` names.
#[derive(Deserialize)]
pub(crate) struct RawNode {
    pub name: Option<String>,
    /// The address on which clients connect.
    pub listen: Option<String>,
    /// The address of the discovery service.
    pub discovery: Option<String>,
    /// The address of the admin server.
    pub operator: Option<String>,
    /// The seed of the random number generator, in hexadecimal.
    pub seed: Option<String>,
    pub limits: Option<RawLimits>,
    /// The cached endpoint list, in discovery's format.
    pub known: Option<serde_json::Value>,
    /// Parsed as [`Settings`] in a second step, so that an error names this key.
    pub settings: Option<serde_json::Value>,
}

/// `limits` of the file: resource limits of the process.
#[derive(Default, Deserialize)]
pub(crate) struct RawLimits {
    /// The maximum number of file descriptors of any kind.
    pub sockets: Option<usize>,
    /// The maximum memory of all processes of the balancer together, in MB. Checked in a second step, so that an error
    /// names this key.
    pub memory_mb: Option<serde_json::Value>,
}

/// `settings` of the file, and `config` of an instance in the simulator's protocol.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct Settings {
    /// The number of balancers that share the traffic.
    pub balancers: Option<u32>,
    /// This balancer's index among them, from 0.
    pub my_number: Option<u32>,
    pub zone: Option<String>,
    /// Required, and not empty.
    pub classes: Option<Vec<RawClass>>,
    /// How the endpoint list arrives: `pushed` (the default) or `on_request`.
    pub membership_mode: Option<String>,
    pub domain: Option<Domain>,
    pub limits: Option<Limits>,
    pub rules: Option<Rules>,
}

/// An entry of `settings.classes`.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct RawClass {
    pub name: String,
    /// The latency objective for setting up a connection, in seconds.
    pub on_time: f64,
    /// The longest time that a client waits for a response, in seconds.
    pub hard_limit: Option<f64>,
    /// Whether a request may be executed twice: `free` (the default), `single_shot` or `guarded`.
    pub semantics: Option<String>,
    /// With `guarded`, the servers that discard each other's duplicates: `all` (the default), `zone` or `cell`.
    pub group: Option<String>,
    /// With `guarded`, how long servers discard duplicates, in seconds.
    pub repeat_window: Option<f64>,
}

/// `settings.domain`: features of the balanced service.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct Domain {
    /// Whether connections belong to groups.
    pub groups: Option<bool>,
    /// The message latency objectives in seconds, by the index of the class.
    pub message_aim: Option<Vec<Option<f64>>>,
    /// Whether servers report message latency in addition to load.
    pub tells_delay: Option<bool>,
}

/// `settings.limits`: what clients and endpoints allow.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct Limits {
    /// Whether attempts in flight may be cancelled.
    pub cancel: Option<bool>,
    /// In seconds.
    pub connect_timeout: Option<f64>,
    /// Attempts per request, including the first.
    pub max_attempts: Option<u32>,
    /// The longest Retry-After that clients accept, in seconds.
    pub max_retry_after: Option<f64>,
    /// Whether clients support Retry-After.
    pub retry_after: Option<bool>,
    /// Not used; only its type is checked.
    pub may_tell: Option<bool>,
}

/// `settings.rules`: times, shares and multiples that the balancer applies.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct Rules {
    /// The longest time between polls of discovery, in seconds.
    pub ask_within: Option<f64>,
    /// The capacity of a server that has just started, as a share of its full capacity.
    pub cold_from: Option<f64>,
    /// Not used; only its type is checked.
    pub drain_grace: Option<f64>,
    /// How long a server that is warming up withstands an overload, in seconds.
    pub fall: Option<f64>,
    /// The multiple of its current capacity above which a server that is warming up is overloaded.
    pub fall_multiple: Option<f64>,
    /// How long after its start a server reaches its full capacity, in seconds.
    pub warm_up: Option<f64>,
}
