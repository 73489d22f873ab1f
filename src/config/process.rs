//! The configuration of the process: its file, with the environment's variables before or behind it.

use super::raw::{RawNode, Settings};
use super::settings::max_client_wait;
use super::{BalancerSettings, ConfigError};
use crate::api::{BalancerConfig, Time};
use crate::discovery::endpoint_list::EndpointList;
use std::net::SocketAddr;

/// The variable that names the file.
const CONFIG_VARIABLE: &str = "BALANCER_CONFIG";
/// The variable that holds the number of an inherited listening socket.
const ACCEPT_FD_VARIABLE: &str = "BALANCER_ACCEPT_FD";
/// The limit on file descriptors where none is configured.
const DEFAULT_MAX_DESCRIPTORS: usize = 1024;
/// Descriptors up to this one are the standard streams.
const LAST_STANDARD_STREAM: i32 = 2;
const HEXADECIMAL: u32 = 16;

/// Why the file is read.
#[derive(Clone, Copy, PartialEq)]
pub enum LoadReason {
    /// The process starts: the environment overrides the file.
    Start,
    /// SIGHUP: the environment cannot have changed since the start, so the file's discovery overrides it.
    Reload,
}

/// The validated configuration of a balancer process.
pub struct ProcessConfig {
    /// The process's name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Where the admin server listens; no admin server if `None`.
    pub admin_address: Option<SocketAddr>,
    /// The descriptor of a listening socket inherited from the platform (socket activation).
    pub accept_fd: Option<i32>,
    /// The seed of the random numbers.
    pub seed: u64,
    /// The most file descriptors that the process may hold.
    pub max_descriptors: usize,
    /// The endpoint list as last known, used until discovery answers.
    pub cached_endpoints: EndpointList,
    /// The settings of the balancer.
    pub config: BalancerConfig,
    /// The names of the request classes, by place.
    pub class_names: Vec<String>,
    /// The longest time that a client waits for its answer, in seconds.
    pub max_client_wait: Time,
    /// Connections belong to groups, each of which is placed together.
    pub groups_enabled: bool,
}

impl ProcessConfig {
    /// Reads the file that `BALANCER_CONFIG` names, and the other variables where set.
    ///
    /// # Errors
    /// See [`ProcessConfig::parse`]; also if the variable is not set or the file cannot be read.
    pub fn from_env(reason: LoadReason) -> Result<Self, ConfigError> {
        let variable = |name: &str| std::env::var(name).ok().filter(|text| !text.is_empty());
        let path = required_key(variable(CONFIG_VARIABLE), CONFIG_VARIABLE)?;
        match std::fs::read(&path) {
            Ok(text) => Self::parse(&text, reason, variable),
            Err(source) => Err(ConfigError::Unreadable { path, source }),
        }
    }

    /// Reads the file's text; `variable` looks up a variable of the environment.
    ///
    /// # Errors
    /// The first key that is missing, malformed or not allowed.
    pub fn parse(
        text: &[u8],
        reason: LoadReason,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let raw: RawNode = serde_json::from_slice(text).map_err(ConfigError::Malformed)?;
        let listen = variable("BALANCER_LISTEN").or(raw.listen);
        let discovery = match reason {
            LoadReason::Start => variable("BALANCER_DISCOVERY").or(raw.discovery),
            LoadReason::Reload => raw.discovery.or_else(|| variable("BALANCER_DISCOVERY")),
        };
        let admin_address = variable("BALANCER_OPERATOR").or(raw.operator);
        let seed = required_key(raw.seed, "seed")?;
        let settings = parse_settings(required_key(raw.settings, "settings")?)?;
        let max_client_wait = max_client_wait(&settings)
            .map_err(|error| ConfigError::InvalidSettings(error.into()))?;
        let groups_enabled = settings.domain.as_ref().and_then(|domain| domain.groups);
        let settings =
            BalancerSettings::try_from(settings).map_err(ConfigError::InvalidSettings)?;
        Ok(Self {
            name: variable("BALANCER_NAME").or(raw.name).unwrap_or_default(),
            listen: required_address(listen, "listen")?,
            discovery: required_address(discovery, "discovery")?,
            admin_address: admin_address
                .map(|text| parse_address(text, "operator"))
                .transpose()?,
            accept_fd: variable(ACCEPT_FD_VARIABLE)
                .map(parse_descriptor)
                .transpose()?,
            seed: parse_seed(seed)?,
            max_descriptors: raw
                .limits
                .and_then(|limits| limits.sockets)
                .unwrap_or(DEFAULT_MAX_DESCRIPTORS),
            cached_endpoints: parse_endpoints(raw.known)?,
            config: settings.balancer,
            class_names: settings.class_names,
            max_client_wait,
            groups_enabled: groups_enabled.unwrap_or(false),
        })
    }

    /// Takes the place of `running` at a reload. Listening addresses keep their running values until a restart; the
    /// seed and the cached endpoints matter at the start only.
    ///
    /// # Errors
    /// If a class was removed or moved: open connections keep the place of their class.
    pub fn replace(mut self, running: &Self) -> Result<Self, ConfigError> {
        if !self.class_names.starts_with(&running.class_names) {
            return Err(ConfigError::ClassesChanged);
        }
        if self.listen != running.listen {
            warn_restart_required("listen");
            self.listen = running.listen;
        }
        if self.admin_address != running.admin_address {
            warn_restart_required("operator");
            self.admin_address = running.admin_address;
        }
        Ok(self)
    }
}

fn warn_restart_required(key: &str) {
    tracing::warn!(key, "configuration change requires a restart");
}

fn required_key<T>(value: Option<T>, key: &'static str) -> Result<T, ConfigError> {
    value.ok_or(ConfigError::MissingKey { key })
}

fn required_address(value: Option<String>, key: &'static str) -> Result<SocketAddr, ConfigError> {
    parse_address(required_key(value, key)?, key)
}

fn parse_address(value: String, key: &'static str) -> Result<SocketAddr, ConfigError> {
    match value.parse() {
        Ok(address) => Ok(address),
        Err(source) => Err(ConfigError::InvalidAddress { key, value, source }),
    }
}

fn parse_descriptor(value: String) -> Result<i32, ConfigError> {
    match value.parse::<i32>() {
        Ok(descriptor) if descriptor > LAST_STANDARD_STREAM => Ok(descriptor),
        _ => Err(ConfigError::InvalidDescriptor { value }),
    }
}

fn parse_seed(value: String) -> Result<u64, ConfigError> {
    match u64::from_str_radix(&value, HEXADECIMAL) {
        Ok(seed) => Ok(seed),
        Err(source) => Err(ConfigError::InvalidSeed { value, source }),
    }
}

fn parse_settings(value: serde_json::Value) -> Result<Settings, ConfigError> {
    serde_json::from_value(value).map_err(ConfigError::MalformedSettings)
}

fn parse_endpoints(value: Option<serde_json::Value>) -> Result<EndpointList, ConfigError> {
    match value {
        Some(value) => EndpointList::from_json(value).map_err(ConfigError::InvalidEndpointList),
        None => Ok(EndpointList::default()),
    }
}
