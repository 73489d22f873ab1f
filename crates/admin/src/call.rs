//! A call on the second address: HTTP/1.1, one to a connection. The head is read by `httparse`; here are its
//! bounds, the calls that there are, and what is said to those that are none.

use std::fmt::Write;

/// The longest head, in bytes, and the most headers.
pub const MAX_HEAD: usize = 4096;
const MAX_HEADERS: usize = 32;
/// The longest body: an id fits many times.
pub const MAX_BODY: usize = 512;

/// What is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Does this process take clients?
    Ready,
    /// Leave this stream server out.
    Detach(String),
    /// This stream server may serve again.
    Attach(String),
    /// Empty the balancer (`true`), or take clients again.
    Lameduck(bool),
}

/// An answer: its status and a line for whoever called.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// 2xx is a yes, 4xx and 5xx are a no.
    pub status: u16,
    /// Why, in words.
    pub text: String,
}

impl Answer {
    /// An answer with these words.
    pub fn new(status: u16, text: impl Into<String>) -> Self {
        let text = text.into();
        Self { status, text }
    }

    /// Its bytes. The connection is closed after it.
    pub fn bytes(&self) -> Vec<u8> {
        let reason = match self.status {
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
        };
        let (status, length) = (self.status, self.text.len() + 1);
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
}

/// Reads what a caller has sent so far: `Ok(None)` while the call is not whole. The error is the answer to a call
/// that is none, which changes nothing.
pub fn read(sent: &[u8]) -> Result<Option<Call>, Answer> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let length = match head.parse(sent) {
        Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD => length,
        Ok(httparse::Status::Partial) if sent.len() < MAX_HEAD => return Ok(None),
        Ok(_) => {
            return Err(Answer::new(
                431,
                format!("a head has at most {MAX_HEAD} bytes"),
            ));
        }
        Err(httparse::Error::TooManyHeaders) => {
            let what = format!("a head has at most {MAX_HEADERS} headers");
            return Err(Answer::new(431, what));
        }
        Err(e) => return Err(Answer::new(400, format!("not HTTP/1.1: {e}"))),
    };
    let (method, path) = (head.method.unwrap_or(""), head.path.unwrap_or(""));
    let wanted = match path {
        "/_ready" => "GET",
        "/_stream-servers/detach"
        | "/_stream-servers/attach"
        | "/_lameduck/on"
        | "/_lameduck/off" => "POST",
        _ => return Err(Answer::new(404, "no such call")),
    };
    if method != wanted {
        return Err(Answer::new(405, format!("{path} is called with {wanted}")));
    }
    let body = match body_length(head.headers)? {
        Some(body) => body,
        None if path.starts_with("/_stream") => {
            return Err(Answer::new(411, "the body has no Content-Length"));
        }
        None => 0,
    };
    let Some(body) = sent[length..].get(..body) else {
        return Ok(None);
    };
    Ok(Some(match path {
        "/_ready" => Call::Ready,
        "/_lameduck/on" => Call::Lameduck(true),
        "/_lameduck/off" => Call::Lameduck(false),
        "/_stream-servers/detach" => Call::Detach(id(body)?),
        _ => Call::Attach(id(body)?),
    }))
}

fn body_length(headers: &[httparse::Header]) -> Result<Option<usize>, Answer> {
    let mut found = None;
    for header in headers {
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(Answer::new(
                411,
                "a body comes whole, with a Content-Length",
            ));
        }
        if !header.name.eq_ignore_ascii_case("content-length") {
            continue;
        }
        let digits = header.value.iter().all(u8::is_ascii_digit) && !header.value.is_empty();
        let length = str::from_utf8(header.value).ok().filter(|_| digits);
        let Some(length) = length else {
            return Err(Answer::new(400, "the Content-Length is not a number"));
        };
        if found.is_some() {
            return Err(Answer::new(400, "there is more than one Content-Length"));
        }
        // More digits than a number holds are too many bytes as well.
        found = Some(length.parse::<usize>().unwrap_or(usize::MAX));
    }
    match found {
        Some(length) if length > MAX_BODY => Err(Answer::new(
            413,
            format!("a body has at most {MAX_BODY} bytes"),
        )),
        found => Ok(found),
    }
}

/// The id that a body names; a line end behind it, as shells add one, is not part of it.
fn id(body: &[u8]) -> Result<String, Answer> {
    let text = str::from_utf8(body).map_err(|_| Answer::new(400, "the id is not UTF-8"))?;
    let text = text.trim();
    if text.is_empty() || text.contains(char::is_control) {
        return Err(Answer::new(
            400,
            "the body is not the id of a stream server",
        ));
    }
    Ok(text.to_owned())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn post(path: &str, rest: &str) -> Vec<u8> {
        format!("POST {path} HTTP/1.1\r\nHost: x\r\n{rest}").into_bytes()
    }

    #[test]
    fn whole_calls_are_read_and_no_part_of_one_is() {
        let calls = [
            (
                b"GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n".to_vec(),
                Call::Ready,
            ),
            (
                post("/_stream-servers/detach", "Content-Length: 4\r\n\r\ns-1\n"),
                Call::Detach("s-1".into()),
            ),
            (
                post("/_stream-servers/attach", "content-length: 3\r\n\r\ns-2"),
                Call::Attach("s-2".into()),
            ),
            (post("/_lameduck/on", "\r\n"), Call::Lameduck(true)),
            (
                post("/_lameduck/off", "Content-Length: 0\r\n\r\n"),
                Call::Lameduck(false),
            ),
        ];
        for (sent, call) in calls {
            for end in 0..sent.len() {
                assert_eq!(read(&sent[..end]), Ok(None), "{end} bytes of {call:?}");
            }
            assert_eq!(read(&sent), Ok(Some(call)));
        }
    }

    #[test]
    fn what_is_no_call_is_told_why() {
        let bad = [
            (post("/_stream-servers/detach", "\r\n"), 411),
            (
                post(
                    "/_stream-servers/detach",
                    "Transfer-Encoding: chunked\r\n\r\n",
                ),
                411,
            ),
            (
                post(
                    "/_stream-servers/detach",
                    "Content-Length: 3\r\nContent-Length: 3\r\n\r\ns-1",
                ),
                400,
            ),
            (
                post("/_stream-servers/detach", "Content-Length: -3\r\n\r\ns-1"),
                400,
            ),
            (
                post("/_stream-servers/detach", "Content-Length: \r\n\r\n"),
                400,
            ),
            (
                post(
                    "/_stream-servers/detach",
                    "Content-Length: 99999999999999999999\r\n\r\n",
                ),
                413,
            ),
            (
                post("/_stream-servers/detach", "Content-Length: 513\r\n\r\n"),
                413,
            ),
            (
                post("/_stream-servers/detach", "Content-Length: 2\r\n\r\n \n"),
                400,
            ),
            (
                b"POST /_stream-servers/attach HTTP/1.1\r\nContent-Length: 1\r\n\r\n\xff".to_vec(),
                400,
            ),
            (
                post("/_stream-servers/detach", "Content-Length: 3\r\n\r\na\0b"),
                400,
            ),
            (post("/_ready", "\r\n"), 405),
            (b"GET /_lameduck/on HTTP/1.1\r\n\r\n".to_vec(), 405),
            (b"GET /_ready/ HTTP/1.1\r\n\r\n".to_vec(), 404),
            (b"OPEN 00 11 c=live\r\n".to_vec(), 400),
            (b"\x16\x03\x01\x02\x00\x01".to_vec(), 400),
            (post("/_ready", &"a: b\r\n".repeat(40)), 431),
            (post("/_ready", &"x".repeat(MAX_HEAD)), 431),
        ];
        for (sent, status) in bad {
            let answer = read(&sent).expect_err("no call");
            assert_eq!(answer.status, status, "{}", answer.text);
            let text = String::from_utf8(answer.bytes()).expect("text");
            assert!(
                text.starts_with(&format!("HTTP/1.1 {status} "))
                    && text.ends_with(&format!("\r\n\r\n{}\n", answer.text))
            );
        }
    }
}
