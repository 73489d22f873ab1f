//! Errors of the simulator's protocol. Their texts end a run and name the message, event and field at fault.

use crate::config::{FieldError, SettingsError};
use std::io;
use thiserror::Error;

/// A run that ended early.
#[derive(Debug, Error)]
#[error("message {message}: {source}")]
pub struct SimulatorError {
    /// The number of the message (the line) at fault, from 1 on.
    pub message: usize,
    /// What is wrong with it.
    pub source: ServeError,
}

/// A message that cannot be served.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The input fails.
    #[error("unreadable: {0}")]
    Unreadable(#[source] io::Error),
    /// The batch cannot be handled.
    #[error(transparent)]
    Batch(#[from] BatchError),
    /// The output fails.
    #[error("cannot reply: {0}")]
    CannotReply(#[source] io::Error),
}

/// A batch that cannot be handled.
#[derive(Debug, Error)]
pub enum BatchError {
    /// The line is not a batch in JSON.
    #[error("not a batch: {0}")]
    Malformed(#[source] serde_json::Error),
    /// A field of the batch itself is not allowed.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// An event cannot be handled.
    #[error("event {number} ({kind}): {source}")]
    Event {
        /// The event's number in the batch, from 1 on.
        number: usize,
        /// The event's kind, as the wire names it.
        kind: String,
        /// What is wrong with it.
        source: EventError,
    },
    /// The reply cannot be written as JSON.
    #[error("cannot write the reply: {0}")]
    CannotSerialize(#[source] serde_json::Error),
}

/// An event that cannot be handled.
#[derive(Debug, Error)]
pub enum EventError {
    /// A field is missing or out of range.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// The settings of an instance are not allowed.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The kind of event is not known.
    #[error("event kind '{kind}' is unknown")]
    UnknownKind {
        /// The kind, as the wire names it.
        kind: String,
    },
    /// No instance has this number.
    #[error("instance {instance} is unknown")]
    UnknownInstance {
        /// The instance's number.
        instance: u64,
    },
    /// An id of a request is not 16 lower-case hexadecimal digits.
    #[error("field 'ref' is '{value}', not 16 hex digits")]
    InvalidRequestId {
        /// The field's text.
        value: String,
    },
    /// The outcome of an attempt is not known.
    #[error("field 'status' is '{value}', which is no outcome")]
    UnknownOutcome {
        /// The field's text.
        value: String,
    },
    /// The class of a request is not among the instance's.
    #[error("class '{class}' does not exist")]
    UnknownClass {
        /// The class's name.
        class: String,
    },
    /// The state of an endpoint is not known.
    #[error("host '{host}': readiness {readiness} is unknown")]
    UnknownReadiness {
        /// The endpoint's name.
        host: String,
        /// The value of `readiness`.
        readiness: u64,
    },
    /// The number of an endpoint list is too large.
    #[error("field 'slot' is {slot}, over {max}")]
    SlotOutOfRange {
        /// The list's number.
        slot: u64,
        /// The largest number of a list.
        max: u64,
    },
    /// An endpoint list is used before it was defined.
    #[error("list {slot} was never defined")]
    UndefinedList {
        /// The list's number.
        slot: u64,
    },
    /// The kind of an update of the endpoints is not known.
    #[error("field 'mode' is {mode}, which is no kind of list")]
    UnknownUpdateKind {
        /// The value of `mode`.
        mode: u64,
    },
    /// The kind of a report is not known.
    #[error("field 'topic' is {topic}, which is no news")]
    UnknownTopic {
        /// The value of `topic`.
        topic: u64,
    },
    /// The token of a timer is too large.
    #[error("field 'tag' is {tag}, over 2^63")]
    TagOutOfRange {
        /// The value of `tag`.
        tag: u64,
    },
    /// The payload of a peer's message is not base64.
    #[error("field 'payload': {0}")]
    InvalidPayload(#[source] base64::DecodeError),
    /// Two endpoints have names with one hash, so that their ids are alike.
    #[error("hosts '{known}' and '{name}' have one hash")]
    HashCollision {
        /// The endpoint that was named first.
        known: String,
        /// The other one.
        name: String,
    },
    /// The balancer names an endpoint that no event has named.
    #[error("a server without an address")]
    UnnamedServer,
}
