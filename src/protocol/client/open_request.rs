//! The first line of a client: `OPEN ID KEY FIELDS`. The fields have the form `NAME=VALUE` and are separated by commas:
//!
//! | name | value |
//! | --- | --- |
//! | `c` | the name of the request's class; required |
//! | `d` | how long the client waits for a response, in milliseconds; required |
//! | `g` | the client's group |
//! | `at` | the server to which the connection is already established |
//! | `again` | `1` if the client reconnects |
//! | `h` | the expected load of the connection, in microseconds of work per second |
//!
//! Other fields are not interpreted here. The stream server receives all fields.

use crate::api::{Key, Request, RequestId, ServerId, Time};
use crate::protocol::request_id::parse_request_id;
use std::ops::Range;
use thiserror::Error;

/// The maximum wait of a client, in milliseconds; a longer one is reduced to this. The limit also keeps the deadlines
/// that are calculated from client input within a sensible range.
const MAX_WAIT_MS: u64 = 600_000;
const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// A first line that cannot be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{}", self.as_str())]
pub enum OpenRequestError {
    /// The first word is not `OPEN`, or the number of words is wrong.
    NotOpen,
    /// The id is not 16 lower-case hexadecimal digits.
    InvalidId,
    /// The key is empty, or the line is not ASCII.
    InvalidKey,
    /// A field has no `=`.
    FieldWithoutValue,
    /// A field has no value after its `=`.
    EmptyField,
    /// `c`, `d`, `at` or, if connections belong to groups, `g` occurs more than once.
    DuplicateField,
    /// The class is not configured.
    UnknownClass,
    /// The wait is not a whole number of milliseconds, or does not fit into 64 bits.
    InvalidWait,
    /// The class is absent.
    MissingClass,
    /// The wait is absent.
    MissingWait,
}

impl OpenRequestError {
    /// The text of the error.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotOpen => "expected 'OPEN ID KEY FIELDS'",
            Self::InvalidId => "the id is not 16 hex digits",
            Self::InvalidKey => "the key is missing, or the line is not ASCII",
            Self::FieldWithoutValue => "a field has no '='",
            Self::EmptyField => "a field has no value",
            Self::DuplicateField => "a field occurs twice",
            Self::UnknownClass => "the class is unknown",
            Self::InvalidWait => "'d' is not a whole number",
            Self::MissingClass => "the class is missing",
            Self::MissingWait => "'d' is missing",
        }
    }
}

/// The first line of a client that opens a connection.
#[derive(Debug)]
pub struct OpenRequest {
    /// The request; the caller, which has the clock, sets its `deadline`.
    pub request: Request,
    /// How long the client waits for a response, in seconds; at most 600.
    pub wait: Time,
    /// The server to which the connection is already established.
    pub established_server: Option<ServerId>,
    /// The part of the line before the digits of the wait.
    before_wait: String,
    /// The part of the line after the digits of the wait.
    after_wait: String,
}

impl OpenRequest {
    /// Parses a line without its line ending. `groups_enabled` tells whether connections belong to groups; if not, the
    /// group of the line is ignored.
    ///
    /// # Errors
    /// The first error in the line.
    pub fn parse(
        line: &str,
        class_names: &[String],
        groups_enabled: bool,
    ) -> Result<Self, OpenRequestError> {
        let words: Vec<&str> = line.split(' ').collect();
        let ["OPEN", id, key, fields] = words[..] else {
            return Err(OpenRequestError::NotOpen);
        };
        let id = parse_request_id(id).ok_or(OpenRequestError::InvalidId)?;
        if key.is_empty() || !line.is_ascii() {
            return Err(OpenRequestError::InvalidKey);
        }
        let mut parser = FieldParser::new(id, class_names, groups_enabled);
        let mut offset = line.len() - fields.len();
        for field in fields.split(',') {
            parser.parse_field(field, offset)?;
            offset += field.len() + ",".len();
        }
        let mut request = parser.request;
        request.key = Some(Key::of(key));
        request.class = parser.class.ok_or(OpenRequestError::MissingClass)?;
        let wait = parser.wait.ok_or(OpenRequestError::MissingWait)?;
        Ok(Self {
            request,
            wait: wait.milliseconds as f64 / MILLISECONDS_PER_SECOND,
            established_server: parser.established_server,
            before_wait: line[..wait.digits.start].to_owned(),
            after_wait: line[wait.digits.end..].to_owned(),
        })
    }

    /// The line for a stream server: the client's line with the wait replaced by `wait_ms`, the wait of this balancer.
    pub fn line_for_backend(&self, wait_ms: u64) -> String {
        format!("{}{wait_ms}{}\r\n", self.before_wait, self.after_wait)
    }
}

/// The wait of a client, at most [`MAX_WAIT_MS`], and the byte range of its digits in the line.
struct WaitField {
    milliseconds: u64,
    digits: Range<usize>,
}

/// Collects the fields of a line.
struct FieldParser<'a> {
    class_names: &'a [String],
    groups_enabled: bool,
    request: Request,
    class: Option<usize>,
    wait: Option<WaitField>,
    established_server: Option<ServerId>,
}

impl<'a> FieldParser<'a> {
    fn new(id: RequestId, class_names: &'a [String], groups_enabled: bool) -> Self {
        Self {
            class_names,
            groups_enabled,
            request: Request::new(id, 0, 0.0),
            class: None,
            wait: None,
            established_server: None,
        }
    }

    /// Parses the field that begins at byte `offset` of the line. Unknown fields are ignored: they are meant for the
    /// stream server.
    fn parse_field(&mut self, field: &str, offset: usize) -> Result<(), OpenRequestError> {
        let (name, value) = field
            .split_once('=')
            .ok_or(OpenRequestError::FieldWithoutValue)?;
        if value.is_empty() {
            return Err(OpenRequestError::EmptyField);
        }
        match name {
            "c" => {
                let class = self.class_index(value)?;
                set_once(&mut self.class, class)
            }
            "d" => {
                let wait = parse_wait(value, offset + "d=".len())?;
                set_once(&mut self.wait, wait)
            }
            "g" if self.groups_enabled => set_once(&mut self.request.group, Key::of(value)),
            "at" => set_once(&mut self.established_server, ServerId::of(value)),
            "again" => {
                self.request.is_reconnect = value == "1";
                Ok(())
            }
            "h" => {
                self.request.load_hint = parse_load_hint(value);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn class_index(&self, name: &str) -> Result<usize, OpenRequestError> {
        self.class_names
            .iter()
            .position(|class| class == name)
            .ok_or(OpenRequestError::UnknownClass)
    }
}

fn set_once<T>(field: &mut Option<T>, value: T) -> Result<(), OpenRequestError> {
    match field.replace(value) {
        None => Ok(()),
        Some(_) => Err(OpenRequestError::DuplicateField),
    }
}

/// Parses the wait whose digits begin at byte `start` of the line.
fn parse_wait(value: &str, start: usize) -> Result<WaitField, OpenRequestError> {
    // `u64::from_str` alone would accept a leading `+`.
    let only_digits = value.bytes().all(|byte| byte.is_ascii_digit());
    let milliseconds = value.parse::<u64>().ok().filter(|_| only_digits);
    Ok(WaitField {
        milliseconds: milliseconds
            .ok_or(OpenRequestError::InvalidWait)?
            .min(MAX_WAIT_MS),
        digits: start..start + value.len(),
    })
}

/// Parses a load hint. An invalid one is ignored: the hint is only the client's estimate.
fn parse_load_hint(value: &str) -> Option<f64> {
    let hint = value.parse::<f64>().ok();
    hint.filter(|hint| hint.is_finite() && *hint >= 0.0)
}
