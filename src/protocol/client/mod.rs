//! The client protocol, which clients and stream servers speak alike: lines of plain text that end in CRLF.
//!
//! A client opens a connection with an [`OpenRequest`], the stream server's first line is the outcome of the attempt
//! ([`check_first_answer`]), and later lines of the stream server are [`BackendLine`]s.

mod backend_line;
mod line_reader;
mod open_request;

pub use backend_line::{BackendLine, check_first_answer};
pub use line_reader::{LineError, LineReader, MAX_LINE};
pub use open_request::{OpenRequest, OpenRequestError};
