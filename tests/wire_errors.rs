//! What the simulator's wire says of messages that it cannot read, to the letter.
//!
//! `tests/fixtures/wire_errors.txt` was written by the tree at 71566bd; rewriting it (`WRITE_FIXTURES=1`) hides a
//! change of a text.

#[path = "common/fixture.rs"]
mod fixture;

use serde_json::{Value, json};
use spanspur::protocol::simulator::serve;
use std::fmt::Write as _;

fn spawn() -> Value {
    json!({"kind": "spawn", "who": 3, "randomSeed": 7,
        "config": {"classes": [{"name": "c", "onTime": 0.3, "semantics": "free"}]}})
}

fn list() -> Value {
    json!({"kind": "defineList", "slot": 0, "membersList": [
        {"hall": "a", "readiness": 1, "host": "10.0.0.1:80", "size": 1, "cameUp": null, "pod": 0}]})
}

/// One good event of each kind that an instance takes.
fn good() -> Vec<Value> {
    let id = "00000000000000aa";
    vec![
        spawn(),
        list(),
        json!({"kind": "registry", "who": 3, "mode": 1, "gen": 1, "slot": 0}),
        json!({"kind": "ask", "who": 3, "ref": id, "class": "c", "due": 9.5, "opts": 0}),
        json!({"kind": "takenOver", "who": 3, "ref": id, "class": "c", "due": 9.5, "host": "h"}),
        json!({"kind": "underWay", "who": 3, "ref": id, "host": "h", "shot": 0, "timeTaken": 0.1}),
        json!({"kind": "done", "who": 3, "ref": id, "status": "ok", "settled": true, "timeTaken": 0.1, "shot": 0,
            "host": "h"}),
        json!({"kind": "signal", "who": 3, "ref": id, "topic": 1, "host": "h", "shot": 0, "level": 1}),
        json!({"kind": "cancelledByClient", "who": 3, "ref": id}),
        json!({"kind": "fired", "who": 3, "tag": 2}),
        json!({"kind": "probed", "who": 3, "host": "h", "status": "ok", "timeTaken": 0.1}),
        json!({"kind": "memo", "who": 3, "sender": 2, "payload": "AAAA"}),
        json!({"kind": "exit", "who": 3}),
    ]
}

/// Values that a field of the good events does not take.
fn bad_values() -> Vec<(&'static str, Value)> {
    vec![
        ("who", json!(4)),
        ("who", json!("three")),
        ("ref", json!("aa")),
        ("ref", json!("00000000000000AA")),
        ("ref", json!(170)),
        ("class", json!("d")),
        ("due", json!(-9.5)),
        ("due", json!("soon")),
        ("opts", json!(-1)),
        ("timeTaken", json!(-1)),
        ("shot", json!(4_294_967_296u64)),
        ("status", json!("odd")),
        ("settled", json!(1)),
        ("topic", json!(9)),
        ("level", json!(-1)),
        ("tag", json!((1u64 << 63) + 1)),
        ("mode", json!(8)),
        ("slot", json!(5)),
        ("slot", json!(16)),
        ("sender", json!(-1)),
        ("payload", json!("***")),
        ("payload", json!("AAA")),
        ("randomSeed", json!(-7)),
        ("config", json!({})),
        ("config", json!([])),
        ("config", json!({"classes": [{"name": "c"}]})),
        ("config", json!({"classes": [{"name": "c", "onTime": -1}]})),
        (
            "config",
            json!({"classes": [{"name": "c", "onTime": 1, "semantics": "maybe"}]}),
        ),
        (
            "config",
            json!({"classes": [{"name": "c", "onTime": 1}], "membershipMode": "odd"}),
        ),
        ("membersList", json!([{"readiness": 7, "host": "h"}])),
        ("membersList", json!([{"readiness": 1}])),
        ("membersList", json!([{"host": "h"}])),
        (
            "membersList",
            json!([{"readiness": 1, "host": "h", "cameUp": -1}]),
        ),
        (
            "membersList",
            json!([{"readiness": 1, "host": "h", "pod": -1}]),
        ),
        ("owner", json!(-1)),
        ("load", json!({"cpu": "much"})),
    ]
}

fn batch(events: &[Value]) -> String {
    json!({"wall": 8.5, "n": 1, "happened": events}).to_string()
}

/// What is said of this line after a first one that is in order; empty if it is accepted.
fn error(line: &str) -> String {
    let ready = batch(&[spawn(), list()]);
    let input = format!("{ready}\n{line}\n");
    serve(input.as_bytes(), Vec::new())
        .err()
        .unwrap_or_default()
}

#[test]
fn each_bad_message_is_refused_with_the_text_of_the_fixture() {
    let mut text = String::new();
    let mut refused = 0;
    let mut line = |what: &str, message: &str| {
        let error = error(message);
        refused += usize::from(!error.is_empty());
        let error = if error.is_empty() { "accepted" } else { &error };
        let _ = writeln!(text, "{what} => {error}");
    };
    for event in good() {
        let kind = event["kind"].as_str().expect("a kind").to_owned();
        line(&kind, &batch(std::slice::from_ref(&event)));
        for field in event.as_object().expect("an object").keys() {
            let mut without = event.clone();
            without.as_object_mut().expect("an object").remove(field);
            line(&format!("{kind} without {field}"), &batch(&[without]));
        }
        for (field, value) in bad_values() {
            if event.get(field).is_none() {
                continue;
            }
            let mut with = event.clone();
            with[field] = value.clone();
            line(&format!("{kind} {field} {value}"), &batch(&[with]));
        }
    }
    for message in [
        "",
        "nonsense",
        "{}",
        "[]",
        r#"{"wall":-1,"n":2,"happened":[]}"#,
        r#"{"wall":"now","n":2,"happened":[]}"#,
        r#"{"wall":1,"happened":[]}"#,
        r#"{"wall":1,"n":2}"#,
        r#"{"wall":1e999,"n":2,"happened":[]}"#,
        r#"{"wall":1,"n":2,"happened":[{}]}"#,
        r#"{"wall":1,"n":2,"happened":[{"kind":"dance","who":3}]}"#,
        r#"{"wall":1,"n":2,"happened":[{"kind":7}]}"#,
    ] {
        line(message, message);
    }
    let second = batch(&[list(), json!({"kind": "exit", "who": 9})]);
    line("the second event of a message", &second);
    assert!(refused > 100, "{refused} refusals: too few to say anything");
    fixture::assert_text("wire_errors.txt", &text);
}
