//! The faults of an operator's file, to the letter: `spanspur check` prints them, one a line.
//!
//! The fixture `tests/fixtures/fault_texts.txt` was written by the tree at 71566bd (`WRITE_FIXTURES=1` writes it
//! anew); rewriting it hides a change of a text.

use serde_json::{Value, json};
use spanspur_operator_config::{OperatorConfig, parse};
use std::fmt::Write as _;
use std::path::Path;

/// The faults of taking `new` over while `running` is in force, in one line; empty where it can be taken over.
fn reload_faults(running: &OperatorConfig, new: &OperatorConfig) -> String {
    match running.check_reload(new) {
        Ok(()) => String::new(),
        Err(faults) => faults.to_string(),
    }
}

const EXAMPLE: &str = include_str!("../../../deploy/operator.json");

/// The kept text; under `WRITE_FIXTURES=1` it is `written` from now on.
fn kept(written: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/fault_texts.txt");
    if std::env::var("WRITE_FIXTURES").is_ok_and(|value| value == "1") {
        std::fs::write(&path, written).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    }
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn example() -> Value {
    serde_json::from_str(EXAMPLE).expect("the example")
}

fn follower() -> Value {
    json!({"follow": {"listen": "127.0.0.4:0", "zone": "a1", "region": "a",
        "keys": ["a secret of the followers"], "max_age_ms": 5000, "sources": [
        {"name": "n1", "address": "127.0.0.1:7100", "zone": "a1", "region": "a"},
        {"name": "n2", "address": "127.0.0.2:7100", "zone": "a2", "region": "a"}]}})
}

fn distributor() -> Value {
    let mut file = example();
    file["distribute"] = json!({"listen": "127.0.0.1:7100", "zone": "a1", "region": "a"});
    file
}

/// A file with another value in one place; the place is added where it is missing.
fn with(mut file: Value, pointer: &str, value: Value) -> Value {
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
    let parent = file.pointer_mut(parent).expect("a place");
    match parent {
        Value::Array(list) => list[key.parse::<usize>().expect("a number")] = value,
        parent => parent[key] = value,
    }
    file
}

fn without(mut file: Value, pointer: &str) -> Value {
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
    let parent = file.pointer_mut(parent).expect("a place");
    parent.as_object_mut().expect("an object").remove(key);
    file
}

/// One change to a file that is in order, each.
fn changes() -> Vec<(Value, &'static str, Value)> {
    let of_example = [
        ("/log/format", json!("xml")),
        ("/log/level", json!("info")),
        ("/control/socket", json!(7)),
        ("/cluster/name", json!("n 1")),
        ("/cluster/name", json!("")),
        ("/cluster/listen", json!("nowhere")),
        ("/cluster/listen", json!("127.0.0.1:0")),
        ("/cluster/listen", json!("0.0.0.0:7000")),
        (
            "/cluster/seeds",
            json!(["127.0.0.2:7000", "127.0.0.2:7000"]),
        ),
        ("/cluster/seeds/0", json!("n2")),
        ("/cluster/voters", json!(["n1", "n2"])),
        ("/cluster/voters/1", json!("n1")),
        ("/cluster/voters/1", json!("n 2")),
        ("/cluster/keys", json!([])),
        ("/cluster/keys", json!("a secret at the wrong place")),
        ("/cluster/keys/0", json!("short")),
        ("/cluster/pace", json!({"probe_ms": 100, "answer_ms": 50})),
        ("/cluster/pace", json!({"answer_ms": 0})),
        ("/cluster/pace", json!({"suspicion_ms": 0})),
        ("/cluster/pace", json!({"beat_ms": 1})),
        ("/duties/probe/every_ms", json!(1500)),
        ("/duties/probe/every_ms", json!("soon")),
        ("/duties/probe/every_ms", json!(-1)),
        ("/duties/probe/connect_ms", json!(0)),
        ("/duties/probe/connect_ms", json!(4000)),
        ("/duties/probe/line", json!("two\r\nlines")),
        ("/duties/probe/expect", json!("PONG")),
        ("/duties/list/every_ms", json!(100)),
        ("/duties/list/max_age_ms", json!(999)),
        ("/duties/sweep", json!({})),
        ("/cluster", Value::Null),
        ("/cluster", json!([])),
    ];
    let of_follower = [
        ("/follow/keys/0", json!("short")),
        ("/follow/keys", json!("my secret is out")),
        ("/follow/sources", json!([])),
        ("/follow/sources/1/name", json!("n1")),
        ("/follow/sources/1/address", json!("127.0.0.1:7100")),
        ("/follow/sources/1/address", json!("n2:7100")),
        ("/follow/sources/1/zone", json!("")),
        ("/follow/sources/1/port", json!(1)),
        ("/follow/max_age_ms", json!(500)),
        ("/follow/listen", json!("0.0.0.0:1")),
        ("/follow/region", json!("a b")),
        ("/cluster", example()["cluster"].clone()),
    ];
    let of_distributor = [
        ("/distribute/listen", json!("127.0.0.1:7000")),
        ("/distribute/listen", json!("127.0.0.1:0")),
        ("/distribute/zone", json!("a 1")),
        ("/distribute/rate", json!(0)),
        ("/distribute/rate", json!(1.5)),
        ("/distribute/keys", json!(["short"])),
        ("/cluster", Value::Null),
        ("/duties/list", Value::Null),
    ];
    let of_example = of_example.map(|(place, value)| (example(), place, value));
    let of_follower = of_follower.map(|(place, value)| (follower(), place, value));
    let of_distributor = of_distributor.map(|(place, value)| (distributor(), place, value));
    of_example
        .into_iter()
        .chain(of_follower)
        .chain(of_distributor)
        .collect()
}

#[test]
fn each_fault_of_a_file_has_the_text_of_the_fixture() {
    for file in [example(), follower(), distributor()] {
        assert!(parse(&file.to_string()).is_ok(), "{file}");
    }
    let mut text = String::new();
    let mut line = |what: &str, file: &str| {
        let told = parse(file).err().map(|faults| faults.to_string());
        let told = told.unwrap_or_else(|| "accepted".into());
        let _ = writeln!(text, "{what} => {told}");
    };
    for (file, place, value) in changes() {
        let section = ["follow", "distribute"]
            .into_iter()
            .find(|name| file.get(name).is_some());
        let what = format!("{} {place} {value}", section.unwrap_or("example"));
        line(&what, &with(file, place, value).to_string());
    }
    for place in [
        "/cluster/listen",
        "/cluster/voters",
        "/cluster/keys",
        "/cluster/seeds",
        "/cluster/name",
        "/control/socket",
        "/duties/probe/every_ms",
        "/duties/list/max_age_ms",
    ] {
        let file = without(example(), place).to_string();
        line(&format!("example without {place}"), &file);
    }
    for place in ["/follow/sources", "/follow/listen", "/follow/zone"] {
        let file = without(follower(), place).to_string();
        line(&format!("follow without {place}"), &file);
    }
    for file in ["", "{\"log\":", "[]", "7", "{\"logs\": {}}"] {
        line(&format!("file {file}"), file);
    }
    assert!(!kept(&text).is_empty());
    for (written, kept) in text.lines().zip(kept(&text).lines()) {
        assert_eq!(written, kept);
    }
    assert_eq!(text, kept(&text));
}

#[test]
fn what_changes_with_a_restart_only_has_these_words() {
    let running = parse(EXAMPLE).expect("the example");
    let new = with(example(), "/cluster/listen", json!("127.0.0.1:7009"));
    let new = with(new, "/control/socket", json!("/tmp/another.sock"));
    let new = parse(&new.to_string()).expect("in order");
    assert_eq!(
        reload_faults(&running, &new),
        "control: changes with a restart only; cluster.listen: changes with a restart only"
    );
}
