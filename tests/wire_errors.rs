//! The exact error texts of the simulator's protocol for invalid messages.
//!
//! `tests/fixtures/wire_errors.txt` was written at commit 71566bd; rewriting it (`WRITE_FIXTURES=1`) hides a change of
//! a text.

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

/// A valid event of each kind.
fn valid_events() -> Vec<Value> {
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

/// Fields with an invalid value each. A value is tried in each valid event that has the field.
fn invalid_values() -> Vec<(&'static str, Value)> {
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

/// The error text for this line after a valid first one; empty if the line is accepted.
fn error_text(line: &str) -> String {
    let valid = batch(&[spawn(), list()]);
    let input = format!("{valid}\n{line}\n");
    serve(input.as_bytes(), Vec::new())
        .err()
        .map(|error| error.to_string())
        .unwrap_or_default()
}

#[test]
fn each_invalid_message_is_rejected_with_the_error_text_of_the_fixture() {
    let mut text = String::new();
    let mut rejected = 0;
    let mut add_line = |name: &str, message: &str| {
        let error = error_text(message);
        rejected += usize::from(!error.is_empty());
        let error = if error.is_empty() { "accepted" } else { &error };
        let _ = writeln!(text, "{name} => {error}");
    };
    for event in valid_events() {
        let kind = event["kind"].as_str().expect("a kind").to_owned();
        add_line(&kind, &batch(std::slice::from_ref(&event)));
        for field in event.as_object().expect("an object").keys() {
            let mut without = event.clone();
            without.as_object_mut().expect("an object").remove(field);
            add_line(&format!("{kind} without {field}"), &batch(&[without]));
        }
        for (field, value) in invalid_values() {
            if event.get(field).is_none() {
                continue;
            }
            let mut with = event.clone();
            with[field] = value.clone();
            add_line(&format!("{kind} {field} {value}"), &batch(&[with]));
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
        add_line(message, message);
    }
    let second = batch(&[list(), json!({"kind": "exit", "who": 9})]);
    add_line("the second event of a message", &second);
    assert!(
        rejected > 100,
        "{rejected} rejected messages: too few for a meaningful test"
    );
    fixture::assert_text("wire_errors.txt", &text);
}
