//! The process configuration: defaults, precedence of the environment, and errors that name the invalid key.

use spanspur::config::{ConfigError, LoadReason, ProcessConfig};

const EXAMPLE: &str = include_str!("../examples/config.json");

fn parse(text: &str) -> Result<ProcessConfig, ConfigError> {
    ProcessConfig::parse(text.as_bytes(), LoadReason::Start, |_| None)
}

#[test]
fn the_example_loads_and_the_environment_overrides_it() {
    let config = parse(EXAMPLE).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!((config.name.as_str(), config.listen.port()), ("n1", 8000));
    assert_eq!(
        (
            config.groups_enabled,
            config.max_client_wait,
            config.max_descriptors
        ),
        (true, 2.0, 1024)
    );
    assert_eq!(config.class_names, ["live"]);
    let without_limits = EXAMPLE.replace(r#""limits": {"sockets": 1024},"#, "");
    let variable = |key: &str| (key == "BALANCER_LISTEN").then(|| "127.0.0.2:9".to_owned());
    let config = ProcessConfig::parse(without_limits.as_bytes(), LoadReason::Start, variable)
        .unwrap_or_else(|e| panic!("{e}"));
    assert_eq!((config.listen.port(), config.max_descriptors), (9, 1024));
}

#[test]
fn each_error_names_the_invalid_key() {
    let invalid = [
        ("127.0.0.1:8000", "nowhere", "'listen' is 'nowhere'"),
        (r#""discovery""#, r#""discover""#, "'discovery' is missing"),
        ("8c1f30d27a5be964", "seven", "'seed' is 'seven'"),
        (
            r#""members": []"#,
            r#""member": []"#,
            "'known': missing field `members`",
        ),
        ("0.5", "-0.5", "'settings': field 'onTime' is -0.5"),
        (
            "free",
            "maybe",
            "'settings': class 'live': semantics 'maybe'",
        ),
        (
            r#""hardLimit": 2.0"#,
            r#""hardLimit": -2.0"#,
            "'hardLimit' is -2",
        ),
        ("10.0", r#""soon""#, "'settings': invalid type"),
        ("{\n", "", "BALANCER_CONFIG"),
    ];
    for (original, replacement, expected) in invalid {
        assert!(EXAMPLE.contains(original), "{original}");
        let error = parse(&EXAMPLE.replacen(original, replacement, 1))
            .err()
            .map(|e| e.to_string());
        assert!(
            error.as_ref().is_some_and(|e| e.contains(expected)),
            "{replacement}: {error:?}"
        );
    }
}
