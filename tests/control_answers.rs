//! The sub-commands that ask a running process: `--json` passes its answer on unchanged, and the tables are for people.
//!
//! The answers are `tests/fixtures/control/*.json`, which `crates/cluster/tests/control_answers.rs` holds to the types.
//! The tables in `tests/fixtures/control/*.txt` were written by the tree at 71566bd; rewriting them
//! (`WRITE_FIXTURES=1`) hides a change of a text.

#[path = "common/fixture.rs"]
mod fixture;

use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::process::{Command, Output};

/// Runs a sub-command against a process that gives this answer; returns the question too.
fn asked(name: &str, command: &str, arguments: &[&str], answer: &str) -> (String, Output) {
    let socket = std::env::temp_dir().join(format!(
        "spanspur-answers-{}-{name}-{}.sock",
        std::process::id(),
        arguments.len()
    ));
    let _ = std::fs::remove_file(&socket);
    let listener = UnixListener::bind(&socket).expect("a socket");
    let (question, output) = std::thread::scope(|scope| {
        let answers = scope.spawn(|| {
            let (mut asking, _) = listener.accept().expect("asked");
            let mut question = String::new();
            let mut reader = BufReader::new(asking.try_clone().expect("a stream"));
            reader.read_line(&mut question).expect("a line");
            asking.write_all(answer.as_bytes()).expect("answered");
            question
        });
        let output = Command::new(env!("CARGO_BIN_EXE_spanspur"))
            .env_clear()
            .arg(command)
            .arg("--socket")
            .arg(&socket)
            .args(arguments)
            .output()
            .expect("it starts");
        // One that did not ask must not leave the listener waiting.
        drop(UnixStream::connect(&socket));
        (answers.join().expect("answered"), output)
    });
    let _ = std::fs::remove_file(&socket);
    (question, output)
}

#[test]
fn each_answer_is_passed_on_as_it_is_and_shown_as_the_table_of_the_fixture() {
    for (name, command) in [
        ("duties", "duties"),
        ("members", "members"),
        ("changes_source", "changes"),
        ("changes_follower", "changes"),
    ] {
        let kept = fixture::path(&format!("control/{name}.json"));
        let answer = std::fs::read_to_string(kept).expect("the fixture");
        let (question, json) = asked(name, command, &["--json"], &answer);
        assert_eq!(question, format!("{command}\n"));
        assert!(json.status.success(), "{name}: {json:?}");
        assert_eq!(String::from_utf8_lossy(&json.stdout), answer, "{name}");

        let (_, table) = asked(name, command, &[], &answer);
        assert!(table.status.success(), "{name}: {table:?}");
        let shown = String::from_utf8(table.stdout).expect("text");
        fixture::assert_text(&format!("control/{name}.txt"), &shown);
    }
}

#[test]
fn a_process_without_a_distribution_is_named_in_these_words() {
    let answer = "{\"error\":\"'changes' is no question here\"}\n";
    for arguments in [&["--json"][..], &[]] {
        let (_, output) = asked("none", "changes", arguments, answer);
        assert!(!output.status.success(), "{output:?}");
        assert_eq!(
            String::from_utf8_lossy(&output.stderr),
            "it neither distributes nor follows: its operator's file has no section 'distribute' or 'follow' \
             ({\"error\":\"'changes' is no question here\"})\n"
        );
    }
}
