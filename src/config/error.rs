//! Errors of the configuration. Their texts name the invalid key or field. Operators and scripts rely on the texts.

use crate::discovery::endpoint_list::EndpointListError;
use std::io;
use std::net::AddrParseError;
use std::num::ParseIntError;
use thiserror::Error;

/// A configuration that cannot be loaded or applied.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("BALANCER_CONFIG: {path}: {source}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// Why it cannot be read.
        source: io::Error,
    },
    /// The file is not JSON, or a key has the wrong type.
    #[error("BALANCER_CONFIG: {0}")]
    Malformed(#[source] serde_json::Error),
    /// A required key or environment variable is missing.
    #[error("key '{key}' is missing")]
    MissingKey {
        /// The name of the key or of the variable.
        key: &'static str,
    },
    /// The value of a key is not a socket address.
    #[error("key '{key}' is '{value}', not an address with a port")]
    InvalidAddress {
        /// The name of the key.
        key: &'static str,
        /// The value of the key, or of the environment variable that overrides it.
        value: String,
        /// Why it is not an address.
        source: AddrParseError,
    },
    /// `BALANCER_ACCEPT_FD` is not a file descriptor, or is that of a standard stream.
    #[error("BALANCER_ACCEPT_FD is '{value}', not the number of a descriptor over 2")]
    InvalidDescriptor {
        /// The value of the variable.
        value: String,
    },
    /// The seed is not a 64-bit hexadecimal number.
    #[error("key 'seed' is '{value}', not a hexadecimal number")]
    InvalidSeed {
        /// The value of the key.
        value: String,
        /// Why it is not a number.
        source: ParseIntError,
    },
    /// A key of the settings has the wrong type.
    #[error("key 'settings': {0}")]
    MalformedSettings(#[source] serde_json::Error),
    /// A value of the settings is invalid.
    #[error("key 'settings': {0}")]
    InvalidSettings(#[source] SettingsError),
    /// The cached endpoint list cannot be read.
    #[error("key 'known': {0}")]
    InvalidEndpointList(#[source] EndpointListError),
    /// The memory limit is not a positive number.
    #[error("key 'limits.memory_mb' is {value}, not a number above 0")]
    InvalidMemoryLimit {
        /// The value in the file.
        value: serde_json::Value,
    },
    /// A reload removes or reorders classes. Open connections refer to their class by its index.
    #[error("key 'settings': classes can only be added, after the others")]
    ClassesChanged,
}

/// Invalid settings of the balancer.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// There is no request class.
    #[error("the settings have no classes")]
    NoClasses,
    /// The idempotency of a class is unknown.
    #[error("class '{class}': semantics '{value}' are unknown")]
    UnknownSemantics {
        /// The name of the class.
        class: String,
        /// The value of `semantics`.
        value: String,
    },
    /// The deduplication scope of a class is unknown.
    #[error("class '{class}': group '{value}' is unknown")]
    UnknownDeduplicationScope {
        /// The name of the class.
        class: String,
        /// The value of `group`.
        value: String,
    },
    /// The discovery mode is unknown.
    #[error("membershipMode '{value}' is unknown")]
    UnknownDiscoveryMode {
        /// The value of `membershipMode`.
        value: String,
    },
    /// A number is out of range.
    #[error(transparent)]
    Field(#[from] FieldError),
}

/// A field that is missing or out of range.
#[derive(Debug, Error)]
pub enum FieldError {
    /// A required field is missing.
    #[error("field '{field}' is missing")]
    Missing {
        /// The name of the field.
        field: &'static str,
    },
    /// A number is negative or not finite.
    #[error("field '{field}' is {value}, not a number from 0 up")]
    OutOfRange {
        /// The name of the field.
        field: &'static str,
        /// The value of the field.
        value: f64,
    },
}
