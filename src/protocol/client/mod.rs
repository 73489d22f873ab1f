//! The client protocol, which clients and stream servers share: lines of plain text that end in CRLF.
//!
//! A client opens a connection with an [`OpenRequest`]. The stream server's first line accepts the connection or tells
//! why not ([`check_first_answer`]); its later lines are [`BackendLine`]s.

mod backend_line;
mod line_reader;
mod open_request;

pub use backend_line::{BackendLine, check_first_answer};
pub use line_reader::{LineError, LineReader, MAX_LINE, append_received};
pub use open_request::{OpenRequest, OpenRequestError};
