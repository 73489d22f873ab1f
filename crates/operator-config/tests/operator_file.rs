//! The operator's file: the schema and example in the repository, and the locations of reported faults.

use spanspur_operator_config::{OperatorConfig, parse, schema};

const EXAMPLE: &str = include_str!("../../../deploy/operator.json");
const SCHEMA: &str = include_str!("../../../deploy/operator.schema.json");

/// Returns the faults of a reload from `running` to `new` on one line; empty if the reload is accepted.
fn reload_faults(running: &OperatorConfig, new: &OperatorConfig) -> String {
    match running.check_reload(new) {
        Ok(()) => String::new(),
        Err(faults) => faults.to_string(),
    }
}

#[test]
fn the_schema_file_matches_the_types() {
    let schema_file: serde_json::Value = serde_json::from_str(SCHEMA).unwrap_or_default();
    assert!(
        schema_file == schema(),
        "deploy/operator.schema.json is out of date: write the output of 'spanspur schema' there"
    );
}

#[test]
fn the_example_is_valid_and_every_section_is_off_by_default() {
    let example = parse(EXAMPLE).unwrap_or_else(|faults| panic!("{faults}"));
    assert!(example.cluster.is_some() && example.duties.probe.is_some());
    let default = parse("{}").unwrap_or_else(|faults| panic!("{faults}"));
    assert_eq!(default, OperatorConfig::default());
    assert!(
        default.cluster.is_none() && default.control.is_none() && default.duties.list.is_none()
    );
}

#[test]
fn parse_reports_every_fault_with_its_location() {
    let faults = |text: &str| parse(text).err().map(|f| f.to_string()).unwrap_or_default();
    let unknown = EXAMPLE
        .replace("\"seeds\"", "\"seed\"")
        .replace("\"every_ms\": 5000", "\"every_ms\": \"soon\"");
    let message = faults(&unknown);
    assert!(
        message.contains("cluster: ") && message.contains("'seed'"),
        "{message}"
    );
    assert!(message.contains("duties.probe.every_ms: "), "{message}");

    let invalid = EXAMPLE
        .replace("\"n2\"", "\"n1\"")
        .replace("\"every_ms\": 5000", "\"every_ms\": 1500")
        .replace("a secret that all five share", "short");
    let message = faults(&invalid);
    for part in [
        "cluster.voters[1]: 'n1' is named twice",
        "cluster.keys[0]: shorter than 16 characters",
        "duties.probe.every_ms: 1500 ms is less than the 2000 ms that a take-over takes",
    ] {
        assert!(message.contains(part), "{part}: {message}");
    }
    assert!(faults("{\"log\":").contains("not JSON: EOF"));
    assert!(
        faults(r#"{"duties":{"list":{"every_ms":5000,"max_age_ms":5000}}}"#)
            .contains("need the section 'cluster'")
    );
}

#[test]
fn a_reload_names_each_setting_that_requires_a_restart() {
    let read = |text: &str| parse(text).unwrap_or_default();
    let running = read(EXAMPLE);
    let changed = EXAMPLE
        .replace("127.0.0.1:7000\"", "127.0.0.1:7009\"")
        .replace("\"every_ms\": 5000", "\"every_ms\": 6000")
        .replace(
            "a secret that all five share",
            "another secret that all share",
        );
    let message = reload_faults(&running, &read(&changed));
    assert_eq!(message, "cluster.listen: changes with a restart only");
    assert!(running.check_reload(&running.clone()).is_ok());
}

const FOLLOWER: &str = r#"{"follow": {"listen": "127.0.0.4:0", "zone": "a1", "region": "a",
    "keys": ["a secret of the followers"], "max_age_ms": 5000, "sources": [
    {"name": "n1", "address": "127.0.0.1:7100", "zone": "a1", "region": "a"},
    {"name": "n2", "address": "127.0.0.2:7100", "zone": "a2", "region": "a"}]}}"#;

/// Returns the example with this `distribute` section added.
fn example_with_distribute(section: &str) -> String {
    EXAMPLE.replacen('{', &format!("{{\"distribute\": {section},"), 1)
}

#[test]
fn the_distribution_sections_are_valid_and_off_by_default() {
    let example = parse(EXAMPLE).unwrap_or_default();
    assert!(example.distribute.is_none() && example.follow.is_none());
    let follow = parse(FOLLOWER).map(|operator| operator.follow);
    let follow = follow.unwrap_or_else(|faults| panic!("{faults}"));
    assert_eq!(follow.map_or(0, |follow| follow.sources.len()), 2);
    let control = r#"{"listen": "127.0.0.1:7100", "zone": "a1", "region": "a"}"#;
    let control = parse(&example_with_distribute(control)).map(|operator| operator.distribute);
    let control = control.unwrap_or_else(|faults| panic!("{faults}"));
    assert!(control.is_some_and(|control| control.rate > 0 && control.keys.is_empty()));
}

#[test]
fn parse_reports_distribution_faults_with_their_locations() {
    let faults = |text: &str| parse(text).err().map(|f| f.to_string()).unwrap_or_default();
    let message = faults(
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
        assert!(message.contains(part), "{part}: {message}");
    }
    // A value of the wrong type in the place of a secret is not shown.
    let message = faults(&FOLLOWER.replace("[\"a secret of the followers\"]", "\"my secret\""));
    assert!(
        message.contains("follow.keys: ") && !message.contains("my secret"),
        "{message}"
    );
    let single_source = FOLLOWER
        .split_once("},")
        .map(|(first, _)| first.to_owned() + "}]}}");
    let message = faults(&single_source.unwrap_or_default());
    assert!(message.contains("follow.sources: 1 sources"), "{message}");
    let both = EXAMPLE.replacen('{', &(FOLLOWER[..FOLLOWER.len() - 1].to_owned() + ","), 1);
    let message = faults(&both);
    assert!(
        message.contains("follow: excludes the section 'cluster'"),
        "{message}"
    );

    let message = faults(&example_with_distribute(
        r#"{"listen": "127.0.0.1:7000", "zone": "a 1", "region": "a", "rate": 0, "keys": ["short"]}"#,
    ));
    for part in [
        "distribute.listen: is taken by 'cluster.listen'",
        "distribute.zone: 'a 1' is no name",
        "distribute.rate: 0 pieces a second",
        "distribute.keys[0]: shorter",
    ] {
        assert!(message.contains(part), "{part}: {message}");
    }
    let alone = r#"{"distribute": {"listen": "127.0.0.1:0", "zone": "a", "region": "a"}}"#;
    let message = faults(alone);
    for part in [
        "distribute: needs the section 'cluster'",
        "distribute: needs 'duties.list'",
        "distribute.listen: port 0",
    ] {
        assert!(message.contains(part), "{part}: {message}");
    }
}

#[test]
fn a_follower_reload_can_change_keys_and_age_only() {
    let read = |text: &str| parse(text).unwrap_or_default();
    let running = read(FOLLOWER);
    let allowed = FOLLOWER
        .replace("a secret of the followers", "another secret of theirs")
        .replace("5000", "6000");
    assert!(running.check_reload(&read(&allowed)).is_ok());
    let rejected = FOLLOWER
        .replace("127.0.0.2:7100", "127.0.0.3:7100")
        .replace("127.0.0.4:0", "127.0.0.5:0");
    assert_eq!(
        reload_faults(&running, &read(&rejected)),
        "follow.listen: changes with a restart only; follow.sources: changes with a restart only"
    );
    assert_eq!(
        reload_faults(&running, &OperatorConfig::default()),
        "follow: changes with a restart only"
    );
}
