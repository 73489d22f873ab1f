//! Requests on the admin address: HTTP/1.1, one per connection. `httparse` parses the head; this module defines the
//! limits, the valid requests, and the errors of invalid ones.

use crate::response::Response;
use std::str::Utf8Error;
use thiserror::Error;

/// Limit on the request head, in bytes.
pub const MAX_HEAD: usize = 4096;
/// Limit on the number of headers.
const MAX_HEADERS: usize = 32;
/// Limit on the body, in bytes. Several times the length of a server's id.
pub const MAX_BODY: usize = 512;

/// An admin request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// Ask whether this process accepts clients.
    Ready,
    /// Take the stream server with this id out for maintenance.
    Detach(String),
    /// Put the stream server with this id back into service.
    Attach(String),
    /// Drain the balancer (`true`) or end draining (`false`).
    Drain(bool),
}

/// Why a request is invalid. The text is sent to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The head has more than [`MAX_HEAD`] bytes.
    #[error("a head has at most {MAX_HEAD} bytes")]
    HeadTooLong,
    /// The head has more than 32 headers.
    #[error("a head has at most {MAX_HEADERS} headers")]
    TooManyHeaders,
    /// The head is not valid HTTP/1.1.
    #[error("not HTTP/1.1: {0}")]
    NotHttp(#[source] httparse::Error),
    /// The path is unknown.
    #[error("no such call")]
    UnknownPath,
    /// The path requires another method.
    #[error("{path} is called with {expected}")]
    WrongMethod {
        /// The path of the request.
        path: &'static str,
        /// The method that the path requires.
        expected: &'static str,
    },
    /// A body is required, but there is no Content-Length.
    #[error("the body has no Content-Length")]
    LengthMissing,
    /// There is a Transfer-Encoding header.
    #[error("a body comes whole, with a Content-Length")]
    TransferEncoding,
    /// The Content-Length is not a number.
    #[error("the Content-Length is not a number")]
    LengthNotANumber,
    /// There is more than one Content-Length header.
    #[error("there is more than one Content-Length")]
    LengthRepeated,
    /// The body has more than [`MAX_BODY`] bytes.
    #[error("a body has at most {MAX_BODY} bytes")]
    BodyTooLong,
    /// The id is not UTF-8.
    #[error("the id is not UTF-8")]
    IdNotText(#[source] Utf8Error),
    /// The id is empty or has control characters.
    #[error("the body is not the id of a stream server")]
    InvalidId,
    /// The request was not complete in time.
    #[error("the call was not whole in time")]
    TimedOut,
}

impl RequestError {
    /// Returns the status of the response.
    pub fn status(&self) -> u16 {
        match self {
            Self::NotHttp(_)
            | Self::LengthNotANumber
            | Self::LengthRepeated
            | Self::IdNotText(_)
            | Self::InvalidId => 400,
            Self::UnknownPath => 404,
            Self::WrongMethod { .. } => 405,
            Self::TimedOut => 408,
            Self::LengthMissing | Self::TransferEncoding => 411,
            Self::BodyTooLong => 413,
            Self::HeadTooLong | Self::TooManyHeaders => 431,
        }
    }

    /// Returns the response to the caller.
    pub fn response(&self) -> Response {
        Response::new(self.status(), self.to_string())
    }
}

/// A path of the admin address. `lameduck` is the protocol's term for draining.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Route {
    Ready,
    Detach,
    Attach,
    LameduckOn,
    LameduckOff,
}

impl Route {
    fn of(path: &str) -> Option<Self> {
        let all = [
            Self::Ready,
            Self::Detach,
            Self::Attach,
            Self::LameduckOn,
            Self::LameduckOff,
        ];
        all.into_iter().find(|route| route.path() == path)
    }

    fn path(self) -> &'static str {
        match self {
            Self::Ready => "/_ready",
            Self::Detach => "/_stream-servers/detach",
            Self::Attach => "/_stream-servers/attach",
            Self::LameduckOn => "/_lameduck/on",
            Self::LameduckOff => "/_lameduck/off",
        }
    }

    fn method(self) -> &'static str {
        match self {
            Self::Ready => "GET",
            _ => "POST",
        }
    }

    fn needs_body(self) -> bool {
        matches!(self, Self::Detach | Self::Attach)
    }

    fn request(self, body: &[u8]) -> Result<AdminRequest, RequestError> {
        Ok(match self {
            Self::Ready => AdminRequest::Ready,
            Self::Detach => AdminRequest::Detach(parse_id(body)?),
            Self::Attach => AdminRequest::Attach(parse_id(body)?),
            Self::LameduckOn => AdminRequest::Drain(true),
            Self::LameduckOff => AdminRequest::Drain(false),
        })
    }
}

/// Parses the bytes received so far. Returns `Ok(None)` while the request is incomplete.
///
/// # Errors
/// If the bytes cannot become a valid request.
pub fn parse_request(received: &[u8]) -> Result<Option<AdminRequest>, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let Some(head_length) = parse_head(&mut head, received)? else {
        return Ok(None);
    };
    let route = Route::of(head.path.unwrap_or("")).ok_or(RequestError::UnknownPath)?;
    if head.method != Some(route.method()) {
        return Err(RequestError::WrongMethod {
            path: route.path(),
            expected: route.method(),
        });
    }
    let body_length = match content_length(head.headers)? {
        Some(length) => length,
        None if route.needs_body() => return Err(RequestError::LengthMissing),
        None => 0,
    };
    match received[head_length..].get(..body_length) {
        Some(body) => route.request(body).map(Some),
        None => Ok(None),
    }
}

/// Parses the head and returns its length, or `Ok(None)` while the head is incomplete.
fn parse_head<'a>(
    head: &mut httparse::Request<'_, 'a>,
    received: &'a [u8],
) -> Result<Option<usize>, RequestError> {
    match head.parse(received) {
        Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD => Ok(Some(length)),
        Ok(httparse::Status::Partial) if received.len() < MAX_HEAD => Ok(None),
        Ok(_) => Err(RequestError::HeadTooLong),
        Err(httparse::Error::TooManyHeaders) => Err(RequestError::TooManyHeaders),
        Err(e) => Err(RequestError::NotHttp(e)),
    }
}

fn content_length(headers: &[httparse::Header]) -> Result<Option<usize>, RequestError> {
    let mut found = None;
    for header in headers {
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(RequestError::TransferEncoding);
        }
        if !header.name.eq_ignore_ascii_case("content-length") {
            continue;
        }
        let length = parse_length(header.value).ok_or(RequestError::LengthNotANumber)?;
        if found.replace(length).is_some() {
            return Err(RequestError::LengthRepeated);
        }
    }
    match found {
        Some(length) if length > MAX_BODY => Err(RequestError::BodyTooLong),
        found => Ok(found),
    }
}

fn parse_length(value: &[u8]) -> Option<usize> {
    let is_number = value.iter().all(u8::is_ascii_digit) && !value.is_empty();
    let text = str::from_utf8(value).ok().filter(|_| is_number)?;
    // A number that overflows is over the limit on the body as well.
    Some(text.parse().unwrap_or(usize::MAX))
}

/// Parses the id in a body. Surrounding white space is removed, such as the line end that shells add.
fn parse_id(body: &[u8]) -> Result<String, RequestError> {
    let text = str::from_utf8(body).map_err(RequestError::IdNotText)?;
    let text = text.trim();
    if text.is_empty() || text.contains(char::is_control) {
        return Err(RequestError::InvalidId);
    }
    Ok(text.to_owned())
}
