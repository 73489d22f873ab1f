//! The configuration of the process: its file and the environment variables, with their order of precedence.

use super::raw::{RawNode, Settings};
use super::settings::max_client_wait;
use super::{BalancerSettings, ConfigError};
use crate::api::{BalancerConfig, Time};
use crate::discovery::endpoint_list::EndpointList;
use std::net::SocketAddr;

/// The environment variable with the path of the file.
const CONFIG_VARIABLE: &str = "BALANCER_CONFIG";
/// The environment variable with the file descriptor of an inherited listening socket.
const ACCEPT_FD_VARIABLE: &str = "BALANCER_ACCEPT_FD";
/// The default limit on file descriptors.
const DEFAULT_MAX_DESCRIPTORS: usize = 1024;
/// The descriptors from 0 to this one are the standard streams.
const LAST_STANDARD_STREAM: i32 = 2;
const HEX_RADIX: u32 = 16;
const BYTES_PER_MEGABYTE: f64 = 1e6;

/// Why the file is read.
#[derive(Clone, Copy, PartialEq)]
pub enum LoadReason {
    /// The process starts: the environment overrides the file.
    Start,
    /// The process received SIGHUP. Its environment cannot have changed since the start, so the file's `discovery`
    /// overrides `BALANCER_DISCOVERY`; the other variables override the file as at the start.
    Reload,
}

/// The validated configuration of a balancer process.
pub struct ProcessConfig {
    /// The name of the process, which stays the same across restarts.
    pub name: String,
    /// The address on which clients connect.
    pub listen: SocketAddr,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The address of the admin server; `None` if there is no admin server.
    pub admin_address: Option<SocketAddr>,
    /// The file descriptor of a listening socket inherited from the service manager (socket activation).
    pub accept_fd: Option<i32>,
    /// The seed of the random number generator.
    pub seed: u64,
    /// The maximum number of file descriptors that the process may hold.
    pub max_descriptors: usize,
    /// The maximum memory of all processes of the balancer together, in bytes; `None` if it is not limited.
    pub memory_limit: Option<usize>,
    /// The cached endpoint list, used until discovery answers.
    pub cached_endpoints: EndpointList,
    /// The settings of the balancer.
    pub config: BalancerConfig,
    /// The names of the request classes, by index.
    pub class_names: Vec<String>,
    /// The longest time that a client of any class waits for a response, in seconds. A longer wait that a client
    /// asks for is reduced to it, except for a connection that is reopened.
    pub max_client_wait: Time,
    /// Whether connections belong to groups. Those of a group are placed together.
    pub groups_enabled: bool,
}

impl ProcessConfig {
    /// Loads the file that `BALANCER_CONFIG` names, and applies the other environment variables that are set.
    ///
    /// # Errors
    /// If `BALANCER_CONFIG` is not set or the file cannot be read; also see [`ProcessConfig::parse`].
    pub fn from_env(reason: LoadReason) -> Result<Self, ConfigError> {
        let variable = |name: &str| std::env::var(name).ok().filter(|text| !text.is_empty());
        let path = required_key(variable(CONFIG_VARIABLE), CONFIG_VARIABLE)?;
        match std::fs::read(&path) {
            Ok(text) => Self::parse(&text, reason, variable),
            Err(source) => Err(ConfigError::Unreadable { path, source }),
        }
    }

    /// Parses the text of the file; `variable` looks up an environment variable.
    ///
    /// # Errors
    /// For the first key that is missing, malformed or invalid.
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
        let limits = raw.limits.unwrap_or_default();
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
            max_descriptors: limits.sockets.unwrap_or(DEFAULT_MAX_DESCRIPTORS),
            memory_limit: limits.memory_mb.map(parse_memory_limit).transpose()?,
            cached_endpoints: parse_endpoints(raw.known)?,
            config: settings.balancer,
            class_names: settings.class_names,
            max_client_wait,
            groups_enabled: groups_enabled.unwrap_or(false),
        })
    }

    /// The configuration that replaces `running` at a reload. The listening addresses keep their running values until a
    /// restart; the seed and the cached endpoints are used only at the start.
    ///
    /// # Errors
    /// If a class was removed or reordered: open connections refer to their class by its index.
    pub fn into_replacement_of(mut self, running: &Self) -> Result<Self, ConfigError> {
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

/// Converts a memory limit from MB to bytes.
fn parse_memory_limit(value: serde_json::Value) -> Result<usize, ConfigError> {
    match value.as_f64() {
        Some(megabytes) if megabytes > 0.0 => Ok((megabytes * BYTES_PER_MEGABYTE) as usize),
        _ => Err(ConfigError::InvalidMemoryLimit { value }),
    }
}

fn parse_seed(value: String) -> Result<u64, ConfigError> {
    match u64::from_str_radix(&value, HEX_RADIX) {
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
