//! The configuration as written in the file and in the simulator's protocol, not validated.
//!
//! Do not rename these structs: serde puts their names into its error texts ("expected struct Rules"), which operators
//! and scripts rely on.

use serde::Deserialize;

/// The file that `BALANCER_CONFIG` names.
#[derive(Deserialize)]
pub(crate) struct RawNode {
    pub name: Option<String>,
    pub listen: Option<String>,
    pub discovery: Option<String>,
    pub operator: Option<String>,
    pub seed: Option<String>,
    pub limits: Option<RawLimits>,
    pub known: Option<serde_json::Value>,
    pub settings: Option<serde_json::Value>,
}

/// `limits` of the file: resource limits of the process.
#[derive(Deserialize)]
pub(crate) struct RawLimits {
    pub sockets: Option<usize>,
}

/// `settings` of the file, and `config` of an instance in the simulator's protocol.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct Settings {
    pub balancers: Option<u32>,
    pub my_number: Option<u32>,
    pub zone: Option<String>,
    pub classes: Option<Vec<RawClass>>,
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
    pub on_time: f64,
    pub hard_limit: Option<f64>,
    pub semantics: Option<String>,
    pub group: Option<String>,
    pub repeat_window: Option<f64>,
}

/// `settings.domain`: features of the balanced service.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct Domain {
    pub groups: Option<bool>,
    /// By the index of the class.
    pub message_aim: Option<Vec<Option<f64>>>,
    pub tells_delay: Option<bool>,
}

/// `settings.limits`: what clients and endpoints allow.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct Limits {
    pub cancel: Option<bool>,
    pub connect_timeout: Option<f64>,
    pub max_attempts: Option<u32>,
    pub max_retry_after: Option<f64>,
    pub retry_after: Option<bool>,
    /// Not used; only its type is checked.
    pub may_tell: Option<bool>,
}

/// `settings.rules`: times, shares and multiples that the balancer applies.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct Rules {
    pub ask_within: Option<f64>,
    pub cold_from: Option<f64>,
    /// Not used; only its type is checked.
    pub drain_grace: Option<f64>,
    pub fall: Option<f64>,
    pub fall_multiple: Option<f64>,
    pub warm_up: Option<f64>,
}
