//! The operator's file: its schema and its example stand in the repository, and every fault is named at once.

use spanspur_operator::{Operator, parse, schema, sentence};

const EXAMPLE: &str = include_str!("../../../deploy/operator.json");
const SCHEMA: &str = include_str!("../../../deploy/operator.schema.json");

#[test]
fn the_schema_in_the_repository_is_the_one_of_the_types() {
    let kept: serde_json::Value = serde_json::from_str(SCHEMA).unwrap_or_default();
    assert!(
        kept == schema(),
        "deploy/operator.schema.json is out of date: write the output of 'spanspur schema' there"
    );
}

#[test]
fn the_example_holds_and_all_is_off_without_a_file() {
    let example = parse(EXAMPLE).unwrap_or_else(|faults| panic!("{}", sentence(&faults)));
    assert!(example.cluster.is_some() && example.duties.probe.is_some());
    let off = parse("{}").unwrap_or_else(|faults| panic!("{}", sentence(&faults)));
    assert_eq!(off, Operator::default());
    assert!(off.cluster.is_none() && off.control.is_none() && off.duties.list.is_none());
}

#[test]
fn every_fault_is_named_with_its_place() {
    let faults = |text: &str| parse(text).err().map(|f| sentence(&f)).unwrap_or_default();
    let unknown = EXAMPLE
        .replace("\"seeds\"", "\"seed\"")
        .replace("\"every_ms\": 5000", "\"every_ms\": \"soon\"");
    let told = faults(&unknown);
    assert!(
        told.contains("cluster: ") && told.contains("'seed'"),
        "{told}"
    );
    assert!(told.contains("duties.probe.every_ms: "), "{told}");

    let wrong = EXAMPLE
        .replace("\"n2\"", "\"n1\"")
        .replace("\"every_ms\": 5000", "\"every_ms\": 1500")
        .replace("a secret that all five share", "short");
    let told = faults(&wrong);
    for part in [
        "cluster.voters[1]: 'n1' is named twice",
        "cluster.keys[0]: shorter than 16 characters",
        "duties.probe.every_ms: 1500 ms is less than the 2000 ms that a take-over takes",
    ] {
        assert!(told.contains(part), "{part}: {told}");
    }
    assert!(faults("{\"log\":").contains("not JSON: EOF"));
    assert!(
        faults(r#"{"duties":{"list":{"every_ms":5000,"max_age_ms":5000}}}"#)
            .contains("need the section 'cluster'")
    );
}

#[test]
fn what_cannot_change_while_running_is_named() {
    let read = |text: &str| parse(text).unwrap_or_default();
    let running = read(EXAMPLE);
    let changed = EXAMPLE
        .replace("127.0.0.1:7000\"", "127.0.0.1:7009\"")
        .replace("\"every_ms\": 5000", "\"every_ms\": 6000")
        .replace(
            "a secret that all five share",
            "another secret that all share",
        );
    let told = sentence(&running.fixed(&read(&changed)));
    assert_eq!(told, "cluster.listen: changes with a restart only");
    assert!(running.fixed(&running.clone()).is_empty());
}
