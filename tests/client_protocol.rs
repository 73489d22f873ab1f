//! The lines of the client protocol: parsing, forwarding, and the exact error texts, which are logged.

use spanspur::api::Outcome;
use spanspur::protocol::client::{BackendLine, OpenRequest, check_first_answer};

const VALID_LINE: &str = "OPEN 00000000000000a1 7f3a c=live,d=2000,g=5c0f,x=1";

fn parse_error(line: &str, groups_enabled: bool) -> Option<String> {
    let classes = ["live".to_owned(), "other".to_owned()];
    OpenRequest::parse(line, &classes, groups_enabled)
        .err()
        .map(|error| error.to_string())
}

#[test]
fn an_invalid_first_line_is_rejected_with_the_exact_error_text() {
    assert_eq!(parse_error(VALID_LINE, true), None);
    let invalid_lines = [
        ("", "expected 'OPEN ID KEY FIELDS'"),
        ("GET / HTTP/1.1 x", "expected 'OPEN ID KEY FIELDS'"),
        (
            "OPEN 00000000000000a1 7f3a",
            "expected 'OPEN ID KEY FIELDS'",
        ),
        (
            "OPEN 00000000000000a1 7f3a c=live,d=1 more",
            "expected 'OPEN ID KEY FIELDS'",
        ),
        ("OPEN a1 7f3a c=live,d=1", "the id is not 16 hex digits"),
        (
            "OPEN 00000000000000A1 7f3a c=live,d=1",
            "the id is not 16 hex digits",
        ),
        (
            "OPEN 00000000000000a1  c=live,d=1",
            "the key is missing, or the line is not ASCII",
        ),
        (
            "OPEN 00000000000000a1 7f3ä c=live,d=1",
            "the key is missing, or the line is not ASCII",
        ),
        ("OPEN 00000000000000a1 7f3a c", "a field has no '='"),
        ("OPEN 00000000000000a1 7f3a c=,d=1", "a field has no value"),
        (
            "OPEN 00000000000000a1 7f3a c=dead,d=1",
            "the class is unknown",
        ),
        (
            "OPEN 00000000000000a1 7f3a c=live,d=-1",
            "'d' is not a whole number",
        ),
        (
            "OPEN 00000000000000a1 7f3a c=live,d=99999999999999999999",
            "'d' is not a whole number",
        ),
        (
            "OPEN 00000000000000a1 7f3a c=live,d=1,d=2",
            "a field occurs twice",
        ),
        (
            "OPEN 00000000000000a1 7f3a c=live,c=other,d=1",
            "a field occurs twice",
        ),
        (
            "OPEN 00000000000000a1 7f3a c=live,d=1,g=1,g=1",
            "a field occurs twice",
        ),
        (
            "OPEN 00000000000000a1 7f3a c=live,d=1,at=s-1,at=s-1",
            "a field occurs twice",
        ),
        ("OPEN 00000000000000a1 7f3a d=1", "the class is missing"),
        ("OPEN 00000000000000a1 7f3a c=live", "'d' is missing"),
    ];
    for (line, expected) in invalid_lines {
        assert_eq!(parse_error(line, true).as_deref(), Some(expected), "{line}");
    }
    let duplicate_group = "OPEN 00000000000000a1 7f3a c=live,d=1,g=1,g=1";
    assert_eq!(
        parse_error(duplicate_group, false),
        None,
        "without groups, the field is ignored"
    );
}

#[test]
fn the_line_for_a_backend_differs_only_in_its_wait() {
    let open_request =
        OpenRequest::parse(VALID_LINE, &["live".to_owned()], true).expect("a valid line");
    let line = open_request.line_for_backend(17);
    assert_eq!(
        line,
        "OPEN 00000000000000a1 7f3a c=live,d=17,g=5c0f,x=1\r\n"
    );
}

#[test]
fn lines_of_a_backend_are_parsed() {
    for (line, expected) in [
        ("UP r7", Ok(())),
        ("BUSY 200", Err(Outcome::Rejected)),
        ("MOVE", Err(Outcome::Cancelled)),
        ("ERR", Err(Outcome::Error)),
        ("up", Err(Outcome::Reset)),
        ("", Err(Outcome::Reset)),
    ] {
        assert_eq!(check_first_answer(line), expected, "{line}");
    }
    for (line, expected) in [
        ("BYE\r\n", BackendLine::Bye),
        ("MOVE\r\n", BackendLine::Move),
        ("LOAD 12.5\r\n", BackendLine::Load(12.5)),
        ("LOAD -1\r\n", BackendLine::Reply),
        ("LOAD\r\n", BackendLine::Reply),
        ("bye\r\n", BackendLine::Reply),
    ] {
        assert_eq!(BackendLine::parse(line.as_bytes()), expected, "{line}");
    }
}
