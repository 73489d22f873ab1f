//! The simulator's protocol, over the standard input and output of the adapter process.
//!
//! The messages have some fields that the protocol does not define (`stream`, `unheard`, `type`, `new`, `extra`): they
//! must be ignored.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SPAWN: &str = r#"{"kind":"spawn","who":3,"randomSeed":7,"config":{"balancers":2,"classes":[{"name":"c","onTime":0.3,"hardLimit":1.8,"semantics":"free","stream":true}],"limits":{"maxAttempts":3},"unheard":{"of":1}}}"#;
const LIST: &str = r#"{"kind":"defineList","slot":0,"membersList":[{"hall":"a","readiness":1,"host":"10.0.0.1:80","size":1,"type":"t","cameUp":null,"pod":0,"new":1}]}"#;
const CACHED: &str = r#"{"kind":"registry","who":3,"mode":2,"gen":1,"slot":0}"#;
const ASK: &str = r#"{"kind":"ask","who":3,"ref":"00000000000000aa","class":"c","owner":null,"partitionKey":"k","due":9.5,"cost":0.1,"teamId":"g","opts":1,"extra":[1]}"#;

fn run_adapter(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_spanspur-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("piped");
    // The adapter may end before it has read everything.
    let _ = input.write_all((lines.join("\n") + "\n").as_bytes());
    drop(input);
    child.wait_with_output().expect("the adapter ends")
}

fn batch(number: usize, events: &[&str]) -> String {
    format!(
        r#"{{"wall":8.5,"n":{number},"happened":[{}]}}"#,
        events.join(",")
    )
}

/// Asserts that the adapter fails and prints one line, which names message `number` and contains `expected`.
fn assert_rejected(lines: &[String], number: usize, expected: &str) {
    let output = run_adapter(lines);
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success(), "accepted: {lines:?}");
    assert_eq!(error.lines().count(), 1, "{error}");
    assert!(
        error.contains(&format!("message {number}:")) && error.contains(expected),
        "{error} lacks '{expected}'"
    );
}

#[test]
fn a_request_starts_an_attempt_and_the_end_of_input_is_a_clean_exit() {
    let output = run_adapter(&[
        batch(1, &[]),
        batch(2, &[SPAWN, LIST, CACHED]),
        batch(3, &[ASK]),
    ]);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let text = String::from_utf8_lossy(&output.stdout);
    let replies: Vec<&str> = text.lines().collect();
    assert_eq!(
        replies[..2],
        [r#"{"n":1,"steps":[]}"#, r#"{"n":2,"steps":[]}"#]
    );
    let expected = r#"{"n":3,"steps":[{"kind":"relay","who":3,"ref":"00000000000000aa","host":"10.0.0.1:80","until":9.1}]}"#;
    assert_eq!(replies[2..], [expected]);
    let empty = run_adapter(&[batch(1, &[])]);
    assert_eq!(empty.status.code(), Some(0));
}

#[test]
fn unusual_but_valid_values_are_accepted() {
    let zero_limits = SPAWN.replace(
        r#""limits":{"maxAttempts":3}"#,
        r#""limits":{"maxAttempts":0},"rules":{"warmUp":0,"fall":0},"domain":null,"zones":[]"#,
    );
    let minimal_request =
        r#"{"kind":"ask","who":3,"ref":"00000000000000ab","class":"c","due":9.5,"opts":0}"#;
    let zero_weight = LIST.replace(r#""size":1"#, r#""size":0"#);
    let output = run_adapter(&[batch(
        1,
        &[&zero_limits, &zero_weight, CACHED, minimal_request],
    )]);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert!(
        String::from_utf8_lossy(&output.stdout).contains(r#""kind":"shed""#),
        "no attempt is allowed"
    );
}

#[test]
fn malformed_input_ends_the_run_with_one_line_that_names_the_message() {
    let setup = batch(1, &[SPAWN, LIST, CACHED]);
    let after = |event: String| vec![setup.clone(), batch(2, &[&event])];
    assert_rejected(&["nonsense".into()], 1, "not a batch");
    assert_rejected(&[setup.clone(), "{}".into()], 2, "wall");
    assert_rejected(
        &[setup.clone(), r#"{"wall":-1,"n":2,"happened":[]}"#.into()],
        2,
        "'wall'",
    );
    assert_rejected(&after(ASK.replace("ask", "dance")), 2, "'dance' is unknown");
    assert_rejected(
        &after(ASK.replace(r#""who":3"#, r#""who":4"#)),
        2,
        "instance 4 is unknown",
    );
    assert_rejected(
        &after(ASK.replace(r#""due":9.5,"#, "")),
        2,
        "'due' is missing",
    );
    assert_rejected(&after(ASK.replace("9.5", r#""soon""#)), 2, "expected f64");
    assert_rejected(&after(ASK.replace("9.5", "-9.5")), 2, "'due' is -9.5");
    assert_rejected(&after(ASK.replace("9.5", "1e999")), 2, "not a batch");
    assert_rejected(
        &after(ASK.replace(r#""class":"c""#, r#""class":"d""#)),
        2,
        "class 'd' does not exist",
    );
    assert_rejected(
        &after(ASK.replace("00000000000000aa", "aa")),
        2,
        "not 16 hex digits",
    );
    assert_rejected(
        &after(CACHED.replace(r#""slot":0"#, r#""slot":5"#)),
        2,
        "list 5 was never defined",
    );
    assert_rejected(
        &after(CACHED.replace(r#""mode":2"#, r#""mode":8"#)),
        2,
        "'mode' is 8",
    );
    assert_rejected(
        &after(LIST.replace(r#""readiness":1"#, r#""readiness":7"#)),
        2,
        "readiness 7 is unknown",
    );
    assert_rejected(
        &after(LIST.replace(r#""slot":0"#, r#""slot":16"#)),
        2,
        "'slot' is 16",
    );
    assert_rejected(
        &after(LIST.replace(r#""host":"10.0.0.1:80","#, "")),
        2,
        "host",
    );
    let done = r#"{"kind":"done","who":3,"ref":"00000000000000aa","status":"odd","settled":false,"timeTaken":0.1,"shot":0,"host":"10.0.0.1:80","load":null}"#;
    assert_rejected(&after(done.into()), 2, "'odd', which is no outcome");
    assert_rejected(
        &after(done.replace("odd", "ok").replace(r#""settled":false,"#, "")),
        2,
        "'settled' is missing",
    );
    assert_rejected(
        &after(r#"{"kind":"memo","who":3,"sender":2,"payload":"***"}"#.into()),
        2,
        "'payload'",
    );
    assert_rejected(&after(r#"{"kind":"signal","who":3,"ref":"00000000000000aa","topic":9,"host":"h","shot":0,"level":1}"#.into()), 2, "'topic' is 9");
    assert_rejected(
        &[batch(
            1,
            &[&SPAWN.replace(
                r#"[{"name":"c","onTime":0.3,"hardLimit":1.8,"semantics":"free","stream":true}]"#,
                "[]",
            )],
        )],
        1,
        "no classes",
    );
    assert_rejected(
        &[batch(1, &[&SPAWN.replace("free", "maybe")])],
        1,
        "semantics 'maybe' are unknown",
    );
    assert_rejected(
        &[batch(1, &[&SPAWN.replace("0.3", "-0.3")])],
        1,
        "'onTime' is -0.3",
    );
}

#[test]
fn an_instance_can_be_spawned_again_after_its_exit() {
    let exit = r#"{"kind":"exit","who":3}"#;
    let output = run_adapter(&[batch(
        1,
        &[SPAWN, LIST, CACHED, ASK, exit, SPAWN, CACHED, ASK],
    )]);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert_eq!(
        String::from_utf8_lossy(&output.stdout)
            .matches("relay")
            .count(),
        2
    );
    assert_rejected(
        &[batch(1, &[SPAWN, exit]), batch(2, &[exit])],
        2,
        "instance 3 is unknown",
    );
}
