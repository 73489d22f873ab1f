//! Errors of the configuration. Their texts name the key or field at fault; operators and scripts rely on them.

use crate::discovery::endpoint_list::EndpointListError;
use std::io;
use std::net::AddrParseError;
use std::num::ParseIntError;
use thiserror::Error;

/// A configuration that cannot be loaded or taken over.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("BALANCER_CONFIG: {path}: {source}")]
    Unreadable {
        /// The file's path.
        path: String,
        /// Why it cannot be read.
        source: io::Error,
    },
    /// The file is not JSON, or a key has another type.
    #[error("BALANCER_CONFIG: {0}")]
    Malformed(#[source] serde_json::Error),
    /// A required key or variable is absent.
    #[error("key '{key}' is missing")]
    MissingKey {
        /// The key.
        key: &'static str,
    },
    /// A key is not a socket address.
    #[error("key '{key}' is '{value}', not an address with a port")]
    InvalidAddress {
        /// The key.
        key: &'static str,
        /// Its value.
        value: String,
        /// Why it is no address.
        source: AddrParseError,
    },
    /// The inherited socket is not the number of a descriptor, or is a standard stream.
    #[error("BALANCER_ACCEPT_FD is '{value}', not the number of a descriptor over 2")]
    InvalidDescriptor {
        /// The variable's value.
        value: String,
    },
    /// The seed is not a 64-bit hexadecimal number.
    #[error("key 'seed' is '{value}', not a hexadecimal number")]
    InvalidSeed {
        /// Its value.
        value: String,
        /// Why it is no number.
        source: ParseIntError,
    },
    /// A key of the settings has another type.
    #[error("key 'settings': {0}")]
    MalformedSettings(#[source] serde_json::Error),
    /// A value of the settings is not allowed.
    #[error("key 'settings': {0}")]
    InvalidSettings(#[source] SettingsError),
    /// The cached endpoint list cannot be read.
    #[error("key 'known': {0}")]
    InvalidEndpointList(#[source] EndpointListError),
    /// A reload removes or reorders classes. Open connections refer to their class by its place.
    #[error("key 'settings': classes can only be added, after the others")]
    ClassesChanged,
}

/// Settings of the balancer that are not allowed.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// There is no request class.
    #[error("the settings have no classes")]
    NoClasses,
    /// A class has an idempotency that is not known.
    #[error("class '{class}': semantics '{value}' are unknown")]
    UnknownSemantics {
        /// The class's name.
        class: String,
        /// The value of `semantics`.
        value: String,
    },
    /// A class has a deduplication scope that is not known.
    #[error("class '{class}': group '{value}' is unknown")]
    UnknownDeduplicationScope {
        /// The class's name.
        class: String,
        /// The value of `group`.
        value: String,
    },
    /// The way in which endpoint lists arrive is not known.
    #[error("membershipMode '{value}' is unknown")]
    UnknownDiscoveryMode {
        /// The value of `membershipMode`.
        value: String,
    },
    /// A number is not allowed.
    #[error(transparent)]
    Field(#[from] FieldError),
}

/// A field that is absent or out of range.
#[derive(Debug, Error)]
pub enum FieldError {
    /// A required field is absent.
    #[error("field '{field}' is missing")]
    Missing {
        /// The field's name.
        field: &'static str,
    },
    /// A number is negative or not finite.
    #[error("field '{field}' is {value}, not a number from 0 up")]
    OutOfRange {
        /// The field's name.
        field: &'static str,
        /// Its value.
        value: f64,
    },
}
