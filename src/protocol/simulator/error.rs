//! Errors of the simulator's protocol. An error ends the run; its text names the invalid message, event and field.

use crate::config::{FieldError, SettingsError};
use std::io;
use thiserror::Error;

/// A run that ended with an error.
#[derive(Debug, Error)]
#[error("message {message}: {source}")]
pub struct SimulatorError {
    /// The number of the message (the line), from 1 on.
    pub message: usize,
    /// Why the message cannot be served.
    pub source: ServeError,
}

/// A message that cannot be served.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The input cannot be read.
    #[error("cannot read the line: {0}")]
    Unreadable(#[source] io::Error),
    /// The batch cannot be handled.
    #[error(transparent)]
    Batch(#[from] BatchError),
    /// The output cannot be written.
    #[error("cannot write the reply: {0}")]
    CannotReply(#[source] io::Error),
}

/// A batch that cannot be handled.
#[derive(Debug, Error)]
pub enum BatchError {
    /// The line is not a JSON batch.
    #[error("not a batch: {0}")]
    Malformed(#[source] serde_json::Error),
    /// A field of the batch itself is out of range.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// An event cannot be handled.
    #[error("event {number} ({kind}): {source}")]
    Event {
        /// The number of the event in the batch, from 1 on.
        number: usize,
        /// The kind of the event, as named on the wire.
        kind: String,
        /// Why the event cannot be handled.
        source: EventError,
    },
    /// The reply cannot be serialized as JSON.
    #[error("cannot serialize the reply: {0}")]
    CannotSerialize(#[source] serde_json::Error),
}

/// An event that cannot be handled.
#[derive(Debug, Error)]
pub enum EventError {
    /// A field is missing or out of range.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// The settings of an instance are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The kind of the event is unknown.
    #[error("event kind '{kind}' is unknown")]
    UnknownKind {
        /// The kind, as named on the wire.
        kind: String,
    },
    /// No instance has this number.
    #[error("instance {instance} is unknown")]
    UnknownInstance {
        /// The number of the instance.
        instance: u64,
    },
    /// A request id is not 16 lower-case hexadecimal digits.
    #[error("field 'ref' is '{value}', not 16 hex digits")]
    InvalidRequestId {
        /// The value of the field.
        value: String,
    },
    /// The outcome of an attempt is unknown.
    #[error("field 'status' is '{value}', which is no outcome")]
    UnknownOutcome {
        /// The value of the field.
        value: String,
    },
    /// The instance has no such class.
    #[error("class '{class}' does not exist")]
    UnknownClass {
        /// The name of the class.
        class: String,
    },
    /// The `readiness` of an endpoint is none of the defined values.
    #[error("host '{host}': readiness {readiness} is unknown")]
    UnknownReadiness {
        /// The name of the server.
        host: String,
        /// The value of `readiness`.
        readiness: u64,
    },
    /// The number of an endpoint list is too large.
    #[error("field 'slot' is {slot}, over {max}")]
    SlotOutOfRange {
        /// The number of the list.
        slot: u64,
        /// The largest number that a list may have.
        max: u64,
    },
    /// An endpoint list is used that has not been defined.
    #[error("list {slot} was never defined")]
    UndefinedList {
        /// The number of the list.
        slot: u64,
    },
    /// The `mode` of an endpoint update is none of the defined values.
    #[error("field 'mode' is {mode}, which is no kind of list")]
    UnknownUpdateKind {
        /// The value of `mode`.
        mode: u64,
    },
    /// The `topic` of a report is none of the defined values.
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
    /// The payload of a peer message is not base64.
    #[error("field 'payload': {0}")]
    InvalidPayload(#[source] base64::DecodeError),
    /// The names of two servers have the same hash, so their ids are equal.
    #[error("hosts '{known}' and '{name}' have the same hash")]
    HashCollision {
        /// The name that occurred first.
        known: String,
        /// The other name.
        name: String,
    },
    /// An action refers to a server that no event has named.
    #[error("an action refers to a server whose host is unknown")]
    UnnamedServer,
}
