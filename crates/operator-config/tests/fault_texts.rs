//! Exact texts of the faults of an operator's file, which `spanspur check` prints one per line.
//!
//! The fixture `tests/fixtures/fault_texts.txt` was written at commit 71566bd. `WRITE_FIXTURES=1` rewrites it, which
//! hides a change of a text.

use serde_json::{Value, json};
use spanspur_operator_config::{OperatorConfig, parse};
use std::fmt::Write as _;
use std::path::Path;

/// Returns the faults of a reload from `running` to `new` on one line; empty if the reload is accepted.
fn reload_faults(running: &OperatorConfig, new: &OperatorConfig) -> String {
    match running.check_reload(new) {
        Ok(()) => String::new(),
        Err(faults) => faults.to_string(),
    }
}

const EXAMPLE: &str = include_str!("../../../deploy/operator.json");

/// Returns the text of the fixture. With `WRITE_FIXTURES=1`, writes `text` to the fixture first.
fn load_or_write(text: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/fault_texts.txt");
    if std::env::var("WRITE_FIXTURES").is_ok_and(|value| value == "1") {
        std::fs::write(&path, text).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
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

/// Returns the file with the value at `pointer` replaced or added.
fn with(mut file: Value, pointer: &str, value: Value) -> Value {
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
    let parent = file.pointer_mut(parent).expect("a parent");
    match parent {
        Value::Array(list) => list[key.parse::<usize>().expect("a number")] = value,
        parent => parent[key] = value,
    }
    file
}

/// Returns the file without the field at `pointer`.
fn without(mut file: Value, pointer: &str) -> Value {
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
    let parent = file.pointer_mut(parent).expect("a parent");
    parent.as_object_mut().expect("an object").remove(key);
    file
}

/// Changes to valid files, each of a single value: the file, the JSON pointer and the new value.
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
    let of_example = of_example.map(|(pointer, value)| (example(), pointer, value));
    let of_follower = of_follower.map(|(pointer, value)| (follower(), pointer, value));
    let of_distributor = of_distributor.map(|(pointer, value)| (distributor(), pointer, value));
    of_example
        .into_iter()
        .chain(of_follower)
        .chain(of_distributor)
        .collect()
}

#[test]
fn fault_texts_match_the_fixture() {
    for file in [example(), follower(), distributor()] {
        assert!(parse(&file.to_string()).is_ok(), "{file}");
    }
    let mut text = String::new();
    let mut add_line = |description: &str, file: &str| {
        let result = parse(file).err().map(|faults| faults.to_string());
        let result = result.unwrap_or_else(|| "accepted".into());
        let _ = writeln!(text, "{description} => {result}");
    };
    for (file, pointer, value) in changes() {
        let section = ["follow", "distribute"]
            .into_iter()
            .find(|name| file.get(name).is_some());
        let description = format!("{} {pointer} {value}", section.unwrap_or("example"));
        add_line(&description, &with(file, pointer, value).to_string());
    }
    for pointer in [
        "/cluster/listen",
        "/cluster/voters",
        "/cluster/keys",
        "/cluster/seeds",
        "/cluster/name",
        "/control/socket",
        "/duties/probe/every_ms",
        "/duties/list/max_age_ms",
    ] {
        let file = without(example(), pointer).to_string();
        add_line(&format!("example without {pointer}"), &file);
    }
    for pointer in ["/follow/sources", "/follow/listen", "/follow/zone"] {
        let file = without(follower(), pointer).to_string();
        add_line(&format!("follow without {pointer}"), &file);
    }
    for file in ["", "{\"log\":", "[]", "7", "{\"logs\": {}}"] {
        add_line(&format!("file {file}"), file);
    }
    assert!(!load_or_write(&text).is_empty());
    for (line, expected) in text.lines().zip(load_or_write(&text).lines()) {
        assert_eq!(line, expected);
    }
    assert_eq!(text, load_or_write(&text));
}

#[test]
fn reload_faults_have_exact_texts() {
    let running = parse(EXAMPLE).expect("the example");
    let new = with(example(), "/cluster/listen", json!("127.0.0.1:7009"));
    let new = with(new, "/control/socket", json!("/tmp/another.sock"));
    let new = parse(&new.to_string()).expect("in order");
    assert_eq!(
        reload_faults(&running, &new),
        "control: changes with a restart only; cluster.listen: changes with a restart only"
    );
}
