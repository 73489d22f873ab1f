//! What the first line of a client is refused for, to the letter: the texts go into the log and its counters.

use super::*;

const GOOD: &str = "OPEN 00000000000000a1 7f3a c=live,d=2000,g=5c0f,x=1";

fn refused(line: &str, groups: bool) -> Option<&'static str> {
    let classes = ["live".to_owned(), "other".to_owned()];
    OpenRequest::parse(line, &classes, groups).err()
}

#[test]
fn a_first_line_is_refused_in_these_words() {
    assert_eq!(refused(GOOD, true), None);
    let table = [
        ("", "not OPEN with an id, a key and fields"),
        ("GET / HTTP/1.1 x", "not OPEN with an id, a key and fields"),
        (
            "OPEN 00000000000000a1 7f3a",
            "not OPEN with an id, a key and fields",
        ),
        (
            "OPEN 00000000000000a1 7f3a c=live,d=1 more",
            "not OPEN with an id, a key and fields",
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
        ("OPEN 00000000000000a1 7f3a c=,d=1", "a field is empty"),
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
            "a field is there twice",
        ),
        (
            "OPEN 00000000000000a1 7f3a c=live,c=other,d=1",
            "a field is there twice",
        ),
        (
            "OPEN 00000000000000a1 7f3a c=live,d=1,g=1,g=1",
            "a field is there twice",
        ),
        (
            "OPEN 00000000000000a1 7f3a c=live,d=1,at=s-1,at=s-1",
            "a field is there twice",
        ),
        ("OPEN 00000000000000a1 7f3a d=1", "the class is missing"),
        ("OPEN 00000000000000a1 7f3a c=live", "'d' is missing"),
    ];
    for (line, what) in table {
        assert_eq!(refused(line, true), Some(what), "{line}");
    }
    let twice = "OPEN 00000000000000a1 7f3a c=live,d=1,g=1,g=1";
    assert_eq!(refused(twice, false), None, "there are no groups");
}

#[test]
fn the_line_for_a_backend_differs_in_its_wait_alone() {
    let opening = OpenRequest::parse(GOOD, &["live".to_owned()], true).expect("a good line");
    let line = opening.for_backend(17);
    assert_eq!(
        line,
        "OPEN 00000000000000a1 7f3a c=live,d=17,g=5c0f,x=1\r\n"
    );
}

#[test]
fn a_first_answer_of_a_backend_has_these_words() {
    for (line, meaning) in [
        ("UP r7", Ok(())),
        ("BUSY 200", Err(Outcome::Rejected)),
        ("MOVE", Err(Outcome::Cancelled)),
        ("ERR", Err(Outcome::Error)),
        ("up", Err(Outcome::Reset)),
        ("", Err(Outcome::Reset)),
    ] {
        assert_eq!(first_answer(line), meaning, "{line}");
    }
    for (line, said) in [
        ("BYE\r\n", Said::Bye),
        ("MOVE\r\n", Said::Move),
        ("LOAD 12.5\r\n", Said::Load(12.5)),
        ("LOAD -1\r\n", Said::Reply),
        ("LOAD\r\n", Said::Reply),
        ("bye\r\n", Said::Reply),
    ] {
        assert_eq!(Said::parse(line.as_bytes()), said, "{line}");
    }
}
