//! Requests on the admin address, complete, partial and invalid.

use spanspur_admin::request::{AdminRequest, MAX_HEAD, parse_request};

fn post(path: &str, rest: &str) -> Vec<u8> {
    format!("POST {path} HTTP/1.1\r\nHost: x\r\n{rest}").into_bytes()
}

#[test]
fn complete_requests_are_parsed_and_partial_ones_are_not() {
    let requests = [
        (
            b"GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n".to_vec(),
            AdminRequest::Ready,
        ),
        (
            post("/_stream-servers/detach", "Content-Length: 4\r\n\r\ns-1\n"),
            AdminRequest::Detach("s-1".into()),
        ),
        (
            post("/_stream-servers/attach", "content-length: 3\r\n\r\ns-2"),
            AdminRequest::Attach("s-2".into()),
        ),
        (post("/_lameduck/on", "\r\n"), AdminRequest::Drain(true)),
        (
            post("/_lameduck/off", "Content-Length: 0\r\n\r\n"),
            AdminRequest::Drain(false),
        ),
    ];
    for (bytes, request) in requests {
        for end in 0..bytes.len() {
            assert_eq!(
                parse_request(&bytes[..end]),
                Ok(None),
                "{end} bytes of {request:?}"
            );
        }
        assert_eq!(parse_request(&bytes), Ok(Some(request)));
    }
}

#[test]
fn invalid_requests_are_answered_with_the_reason() {
    let invalid = [
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
    for (bytes, status) in invalid {
        let error = parse_request(&bytes).expect_err("no request");
        assert_eq!(error.status(), status, "{error}");
        let response = error.response();
        assert_eq!(response.status, status, "{}", response.text);
        let text = String::from_utf8(response.encode()).expect("text");
        assert!(
            text.starts_with(&format!("HTTP/1.1 {status} "))
                && text.ends_with(&format!("\r\n\r\n{}\n", response.text))
        );
    }
}
