//! Responses on the admin address.

use std::fmt::Write;

/// A response: a status and a line of text for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// HTTP status: 200 if the request was executed or the process is ready, 4xx or 5xx otherwise.
    pub status: u16,
    /// Result or reason of the failure, as text.
    pub text: String,
}

impl Response {
    /// Creates a response with this text.
    pub fn new(status: u16, text: impl Into<String>) -> Self {
        let text = text.into();
        Self { status, text }
    }

    /// Encodes the response as HTTP/1.1 with `Connection: close`. A line end is added to the text.
    pub fn encode(&self) -> Vec<u8> {
        let (status, reason) = (self.status, self.reason());
        let length = self.text.len() + 1;
        let mut head = format!("HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain\r\n");
        if status == 405 {
            head.push_str("Allow: GET, POST\r\n");
        }
        let _ = write!(
            head,
            "Content-Length: {length}\r\nConnection: close\r\n\r\n"
        );
        head.push_str(&self.text);
        head.push('\n');
        head.into_bytes()
    }

    fn reason(&self) -> &'static str {
        match self.status {
            200 => "OK",
            400 => "Bad Request",
            404 => "Not Found",
            405 => "Method Not Allowed",
            408 => "Request Timeout",
            411 => "Length Required",
            413 => "Content Too Large",
            431 => "Request Header Fields Too Large",
            507 => "Insufficient Storage",
            _ => "Service Unavailable",
        }
    }
}
