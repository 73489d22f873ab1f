//! The operator's file: its schema and its example stand in the repository, and every fault is named at once.

use spanspur_operator_config::{Operator, parse, schema, sentence};

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

const FOLLOWER: &str = r#"{"follow": {"listen": "127.0.0.4:0", "zone": "a1", "region": "a",
    "keys": ["a secret of the followers"], "max_age_ms": 5000, "sources": [
    {"name": "n1", "address": "127.0.0.1:7100", "zone": "a1", "region": "a"},
    {"name": "n2", "address": "127.0.0.2:7100", "zone": "a2", "region": "a"}]}}"#;

/// The example with this section besides.
fn distributing(section: &str) -> String {
    EXAMPLE.replacen('{', &format!("{{\"distribute\": {section},"), 1)
}

#[test]
fn the_sections_of_the_distribution_hold_and_are_off_without_them() {
    let off = parse(EXAMPLE).unwrap_or_default();
    assert!(off.distribute.is_none() && off.follow.is_none());
    let follow = parse(FOLLOWER).map(|operator| operator.follow);
    let follow = follow.unwrap_or_else(|faults| panic!("{}", sentence(&faults)));
    assert_eq!(follow.map_or(0, |follow| follow.sources.len()), 2);
    let control = r#"{"listen": "127.0.0.1:7100", "zone": "a1", "region": "a"}"#;
    let control = parse(&distributing(control)).map(|operator| operator.distribute);
    let control = control.unwrap_or_else(|faults| panic!("{}", sentence(&faults)));
    assert!(control.is_some_and(|control| control.rate > 0 && control.keys.is_empty()));
}

#[test]
fn faults_of_the_distribution_are_named_with_their_places() {
    let faults = |text: &str| parse(text).err().map(|f| sentence(&f)).unwrap_or_default();
    let told = faults(
        &FOLLOWER
            .replace("a secret of the followers", "short")
            .replace("127.0.0.2:7100", "127.0.0.1:7100")
            .replace("\"n2\"", "\"n1\"")
            .replace("\"zone\": \"a2\"", "\"zone\": \"\"")
            .replace("5000", "500"),
    );
    for part in [
        "follow.keys[0]: shorter than 16 characters",
        "follow.sources[1].name: 'n1' is named twice",
        "follow.sources[1].address: 127.0.0.1:7100 is named twice",
        "follow.sources[1].zone: '' is no name",
        "follow.max_age_ms: sources are asked once a second: 2500 or more",
    ] {
        assert!(told.contains(part), "{part}: {told}");
    }
    // A secret at the wrong place is not shown.
    let told = faults(&FOLLOWER.replace("[\"a secret of the followers\"]", "\"my secret\""));
    assert!(
        told.contains("follow.keys: ") && !told.contains("my secret"),
        "{told}"
    );
    let one = FOLLOWER
        .split_once("},")
        .map(|(first, _)| first.to_owned() + "}]}}");
    let told = faults(&one.unwrap_or_default());
    assert!(told.contains("follow.sources: 1 sources"), "{told}");
    let both = EXAMPLE.replacen('{', &(FOLLOWER[..FOLLOWER.len() - 1].to_owned() + ","), 1);
    let told = faults(&both);
    assert!(
        told.contains("follow: excludes the section 'cluster'"),
        "{told}"
    );

    let told = faults(&distributing(
        r#"{"listen": "127.0.0.1:7000", "zone": "a 1", "region": "a", "rate": 0, "keys": ["short"]}"#,
    ));
    for part in [
        "distribute.listen: is taken by 'cluster.listen'",
        "distribute.zone: 'a 1' is no name",
        "distribute.rate: 0 pieces a second",
        "distribute.keys[0]: shorter",
    ] {
        assert!(told.contains(part), "{part}: {told}");
    }
    let alone = r#"{"distribute": {"listen": "127.0.0.1:0", "zone": "a", "region": "a"}}"#;
    let told = faults(alone);
    for part in [
        "distribute: needs the section 'cluster'",
        "distribute: needs 'duties.list'",
        "distribute.listen: port 0",
    ] {
        assert!(told.contains(part), "{part}: {told}");
    }
}

#[test]
fn a_follower_takes_keys_and_age_over_while_it_runs_and_nothing_else() {
    let read = |text: &str| parse(text).unwrap_or_default();
    let running = read(FOLLOWER);
    let may = FOLLOWER
        .replace("a secret of the followers", "another secret of theirs")
        .replace("5000", "6000");
    assert!(running.fixed(&read(&may)).is_empty());
    let not = FOLLOWER
        .replace("127.0.0.2:7100", "127.0.0.3:7100")
        .replace("127.0.0.4:0", "127.0.0.5:0");
    assert_eq!(
        sentence(&running.fixed(&read(&not))),
        "follow.listen: changes with a restart only; follow.sources: changes with a restart only"
    );
    assert_eq!(
        sentence(&running.fixed(&Operator::default())),
        "follow: changes with a restart only"
    );
}
