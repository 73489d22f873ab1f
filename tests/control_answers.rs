//! Tests of the sub-commands that query a running process over its control socket: `--json` prints the answer
//! unchanged, and without it the answer is printed as a table.
//!
//! The answers are `tests/fixtures/control/*.json`, which `crates/cluster/tests/control_answers.rs` checks against
//! their Rust types. The tables in `tests/fixtures/control/*.txt` were generated at commit 71566bd; regenerating them
//! (`WRITE_FIXTURES=1`) hides a changed text.

#[path = "common/fixture.rs"]
mod fixture;

use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::process::{Command, Output};

/// Runs a sub-command against a control socket that replies with `answer`. Returns the query line that the socket
/// received and the output of the sub-command.
fn run_against_answer(
    name: &str,
    command: &str,
    arguments: &[&str],
    answer: &str,
) -> (String, Output) {
    let socket = std::env::temp_dir().join(format!(
        "spanspur-answers-{}-{name}-{}.sock",
        std::process::id(),
        arguments.len()
    ));
    let _ = std::fs::remove_file(&socket);
    let listener = UnixListener::bind(&socket).expect("a socket");
    let (query, output) = std::thread::scope(|scope| {
        let server = scope.spawn(|| {
            let (mut stream, _) = listener.accept().expect("a connection");
            let mut query = String::new();
            let mut reader = BufReader::new(stream.try_clone().expect("a stream"));
            reader.read_line(&mut query).expect("a line");
            stream
                .write_all(answer.as_bytes())
                .expect("the answer is written");
            query
        });
        let output = Command::new(env!("CARGO_BIN_EXE_spanspur"))
            .env_clear()
            .arg(command)
            .arg("--socket")
            .arg(&socket)
            .args(arguments)
            .output()
            .expect("it starts");
        // If the sub-command never connected, this connection unblocks `accept`.
        drop(UnixStream::connect(&socket));
        (server.join().expect("the server thread ends"), output)
    });
    let _ = std::fs::remove_file(&socket);
    (query, output)
}

#[test]
fn json_output_is_the_unchanged_answer_and_table_output_matches_the_fixture() {
    for (name, command) in [
        ("duties", "duties"),
        ("members", "members"),
        ("changes_source", "changes"),
        ("changes_follower", "changes"),
    ] {
        let path = fixture::path(&format!("control/{name}.json"));
        let answer = std::fs::read_to_string(path).expect("the fixture");
        let (query, json) = run_against_answer(name, command, &["--json"], &answer);
        assert_eq!(query, format!("{command}\n"));
        assert!(json.status.success(), "{name}: {json:?}");
        assert_eq!(String::from_utf8_lossy(&json.stdout), answer, "{name}");

        let (_, table) = run_against_answer(name, command, &[], &answer);
        assert!(table.status.success(), "{name}: {table:?}");
        let text = String::from_utf8(table.stdout).expect("text");
        fixture::assert_text(&format!("control/{name}.txt"), &text);
    }
}

#[test]
fn changes_fails_with_an_explanation_if_the_process_neither_distributes_nor_follows() {
    let answer = "{\"error\":\"'changes' is no question here\"}\n";
    for arguments in [&["--json"][..], &[]] {
        let (_, output) = run_against_answer("none", "changes", arguments, answer);
        assert!(!output.status.success(), "{output:?}");
        assert_eq!(
            String::from_utf8_lossy(&output.stderr),
            "it neither distributes nor follows: its operator's file has no section 'distribute' or 'follow' \
             ({\"error\":\"'changes' is no question here\"})\n"
        );
    }
}
