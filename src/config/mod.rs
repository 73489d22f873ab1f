//! Everything that is configured: the settings, which the simulator's wire and a node's file hold alike, and
//! what a node reads at its start. It is read, checked and given defaults here; errors name the key at fault.

use crate::api::*;
use crate::discovery::endpoint_list::EndpointList;
use serde::Deserialize;
use std::net::SocketAddr;

/// The settings as they come, at the simulator's wire and in a node's file alike.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Settings {
    balancers: Option<u32>,
    my_number: Option<u32>,
    zone: Option<String>,
    classes: Option<Vec<RawClass>>,
    membership_mode: Option<String>,
    domain: Option<Domain>,
    limits: Option<Limits>,
    rules: Option<Rules>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawClass {
    name: String,
    on_time: f64,
    hard_limit: Option<f64>,
    semantics: Option<String>,
    group: Option<String>,
    repeat_window: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Domain {
    groups: Option<bool>,
    message_aim: Option<Vec<Option<f64>>>,
    tells_delay: Option<bool>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Limits {
    cancel: Option<bool>,
    connect_timeout: Option<f64>,
    max_attempts: Option<u32>,
    max_retry_after: Option<f64>,
    retry_after: Option<bool>,
    may_tell: Option<bool>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Rules {
    ask_within: Option<f64>,
    cold_from: Option<f64>,
    drain_grace: Option<f64>,
    fall: Option<f64>,
    fall_multiple: Option<f64>,
    warm_up: Option<f64>,
}

/// When the file is read.
#[derive(Clone, Copy, PartialEq)]
pub enum LoadReason {
    /// At the start: the environment goes before the file.
    Start,
    /// While running: the environment cannot have changed since, so the file's discovery goes before it.
    Reload,
}

/// What a node is told at its start, and again at each reload.
pub struct ProcessConfig {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Where the staff's calls are answered; nowhere if `None`.
    pub operator: Option<SocketAddr>,
    /// A listening socket for clients that the platform holds and this process has inherited, by its descriptor.
    pub accept_fd: Option<i32>,
    /// For random numbers.
    pub seed: u64,
    /// The most file descriptors that it may hold.
    pub sockets: usize,
    /// The list of servers as last known.
    pub known: EndpointList,
    /// The module's settings.
    pub config: BalancerConfig,
    /// The classes' names, in the command of the settings.
    pub classes: Vec<String>,
    /// The longest time that a client waits for its answer.
    pub longest_wait: Time,
    /// Connections belong to groups, which are placed together.
    pub groups: bool,
}

#[derive(Deserialize)]
struct RawNode {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    operator: Option<String>,
    seed: Option<String>,
    limits: Option<RawLimits>,
    known: Option<serde_json::Value>,
    settings: Option<serde_json::Value>,
}

#[derive(Deserialize)]
struct RawLimits {
    sockets: Option<usize>,
}

/// File descriptors where no limit is given.
const SOCKETS: usize = 1024;
/// The wait of a class that names none.
const HARD_LIMIT: Time = 2.0;

impl ProcessConfig {
    /// Reads the file that `BALANCER_CONFIG` names, and the other variables where set.
    pub fn from_env(when: LoadReason) -> Result<Self, String> {
        let var = |key: &str| std::env::var(key).ok().filter(|text| !text.is_empty());
        let path = need_key(var("BALANCER_CONFIG"), "BALANCER_CONFIG")?;
        let text = std::fs::read(&path).map_err(|e| format!("BALANCER_CONFIG: {path}: {e}"))?;
        Self::parse(&text, when, var)
    }

    /// Reads the file's text; `var` looks up a variable of the environment.
    pub fn parse(
        text: &[u8],
        when: LoadReason,
        var: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, String> {
        let raw: RawNode =
            serde_json::from_slice(text).map_err(|e| format!("BALANCER_CONFIG: {e}"))?;
        let address = |key: &str, value: Option<String>| {
            let text = need_key(value, key)?;
            text.parse::<SocketAddr>()
                .map_err(|_| format!("key '{key}' is '{text}', not an address with a port"))
        };
        let listen = var("BALANCER_LISTEN").or(raw.listen);
        let discovery = match when {
            LoadReason::Start => var("BALANCER_DISCOVERY").or(raw.discovery),
            LoadReason::Reload => raw.discovery.or_else(|| var("BALANCER_DISCOVERY")),
        };
        let operator = var("BALANCER_OPERATOR").or(raw.operator);
        let accept_fd = var("BALANCER_ACCEPT_FD").map(|text| {
            let fd = text.parse::<i32>().ok().filter(|fd| *fd > 2);
            fd.ok_or(format!(
                "BALANCER_ACCEPT_FD is '{text}', not the number of a descriptor over 2"
            ))
        });
        let seed = need_key(raw.seed, "seed")?;
        let settings = need_key(raw.settings, "settings")?;
        let settings: Settings =
            serde_json::from_value(settings).map_err(|e| format!("key 'settings': {e}"))?;
        let mut longest_wait = 0.0;
        for class in settings.classes.iter().flatten() {
            let wait = sane(class.hard_limit.unwrap_or(HARD_LIMIT), "hardLimit")
                .map_err(|e| format!("key 'settings': {e}"))?;
            longest_wait = f64::max(longest_wait, wait);
        }
        let groups = settings.domain.as_ref().and_then(|domain| domain.groups);
        let (config, classes) = settings
            .read()
            .map_err(|e| format!("key 'settings': {e}"))?;
        Ok(Self {
            name: var("BALANCER_NAME").or(raw.name).unwrap_or_default(),
            listen: address("listen", listen)?,
            discovery: address("discovery", discovery)?,
            operator: operator
                .map(|text| address("operator", Some(text)))
                .transpose()?,
            accept_fd: accept_fd.transpose()?,
            seed: u64::from_str_radix(&seed, 16)
                .map_err(|_| format!("key 'seed' is '{seed}', not a hexadecimal number"))?,
            sockets: raw.limits.and_then(|l| l.sockets).unwrap_or(SOCKETS),
            known: match raw.known {
                Some(known) => {
                    EndpointList::read(known).map_err(|e| format!("key 'known': {e}"))?
                }
                None => EndpointList::default(),
            },
            config,
            classes,
            longest_wait,
            groups: groups.unwrap_or(false),
        })
    }
}

impl ProcessConfig {
    /// Takes the place of `running` at a reload: the error names what cannot change while running. A new place
    /// to listen waits for a restart; the seed and the list as last known matter at a start only.
    pub fn replace(mut self, running: &Self) -> Result<Self, String> {
        // Connections that are open keep the place of their class.
        if !self.classes.starts_with(&running.classes) {
            return Err("key 'settings': classes can only be added, after the others".into());
        }
        if self.listen != running.listen {
            tracing::warn!(key = "listen", "changes only with a restart");
            self.listen = running.listen;
        }
        if self.operator != running.operator {
            tracing::warn!(key = "operator", "changes only with a restart");
            self.operator = running.operator;
        }
        Ok(self)
    }
}

fn need_key<T>(value: Option<T>, key: &str) -> Result<T, String> {
    value.ok_or_else(|| format!("key '{key}' is missing"))
}

pub(crate) fn need<T>(value: Option<T>, field: &str) -> Result<T, String> {
    value.ok_or_else(|| format!("field '{field}' is missing"))
}

pub(crate) fn sane(value: f64, field: &str) -> Result<f64, String> {
    if value.is_finite() && value >= 0.0 {
        return Ok(value);
    }
    Err(format!(
        "field '{field}' is {value}, not a number from 0 up"
    ))
}

/// A figure of the settings that may be absent.
fn figure(value: Option<f64>, otherwise: f64, field: &str) -> Result<f64, String> {
    value.map_or(Ok(otherwise), |v| sane(v, field))
}

/// Zones are told apart by the hash of their names; no name is a zone of its own.
pub(crate) fn zone_of(name: Option<&str>) -> u32 {
    Key::of(name.unwrap_or("")).0 as u32
}

fn class_of(
    raw: &RawClass,
    message_latency_objective: Option<f64>,
) -> Result<RequestClass, String> {
    let effect = match raw.semantics.as_deref() {
        None | Some("free") => Idempotency::Idempotent,
        Some("single_shot") => Idempotency::NonIdempotent,
        Some("guarded") => Idempotency::Keyed {
            scope: match raw.group.as_deref() {
                None | Some("all") => DeduplicationScope::All,
                Some("zone") => DeduplicationScope::Zone,
                Some("cell") => DeduplicationScope::Cell,
                Some(other) => {
                    return Err(format!("class '{}': group '{other}' is unknown", raw.name));
                }
            },
            window: figure(raw.repeat_window, 0.0, "repeatWindow")?,
        },
        Some(other) => {
            return Err(format!(
                "class '{}': semantics '{other}' are unknown",
                raw.name
            ));
        }
    };
    Ok(RequestClass {
        latency_objective: sane(raw.on_time, "onTime")?,
        idempotency: effect,
        message_latency_objective: message_latency_objective
            .map(|aim| sane(aim, "messageAim"))
            .transpose()?,
    })
}

impl Settings {
    /// The module's settings and the names of the classes.
    pub fn read(self) -> Result<(BalancerConfig, Vec<String>), String> {
        let settings = self;
        let classes = settings.classes.unwrap_or_default();
        if classes.is_empty() {
            return Err("the settings have no classes".into());
        }
        let limits = settings.limits.unwrap_or_default();
        let rules = settings.rules.unwrap_or_default();
        let domain = settings.domain.unwrap_or_default();
        let aims = domain.message_aim.unwrap_or_default();
        let aim = |i: usize| aims.get(i).copied().flatten();
        let read = classes
            .iter()
            .enumerate()
            .map(|(i, class)| class_of(class, aim(i)));
        let config = BalancerConfig {
            balancer_count: settings.balancers.unwrap_or(1),
            balancer_index: settings.my_number.unwrap_or(0),
            zone: zone_of(settings.zone.as_deref()),
            classes: read.collect::<Result<_, _>>()?,
            discovery_mode: match settings.membership_mode.as_deref() {
                None | Some("pushed") => DiscoveryMode::Pushed,
                Some("on_request") => DiscoveryMode::Polled,
                Some(other) => return Err(format!("membershipMode '{other}' is unknown")),
            },
            max_attempts: limits.max_attempts.unwrap_or(1),
            connect_timeout: figure(limits.connect_timeout, 0.25, "connectTimeout")?,
            can_cancel_attempts: limits.cancel.unwrap_or(false),
            max_retry_after: match limits.retry_after {
                Some(true) => Some(figure(limits.max_retry_after, 0.0, "maxRetryAfter")?),
                _ => None,
            },
            reports_latency: domain.tells_delay.unwrap_or(false),
            poll_interval: figure(rules.ask_within, 10.0, "askWithin")?,
            cold_capacity_share: figure(rules.cold_from, 1.0, "coldFrom")?,
            slow_start_window: figure(rules.warm_up, 0.0, "warmUp")?,
            overload_multiple: figure(rules.fall_multiple, 1.0, "fallMultiple")?,
            overload_window: figure(rules.fall, 1.0, "fall")?,
        };
        Ok((
            config,
            classes.into_iter().map(|class| class.name).collect(),
        ))
    }
}
