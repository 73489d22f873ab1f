//! The file of servers under maintenance: it outlives the process that wrote it, and goes over in a hot restart.
//!
//! The fixture `tests/fixtures/servers_taken_out.txt` was written by the tree at 71566bd (`WRITE_FIXTURES=1` writes
//! it anew); rewriting it hides a change of the file.

use spanspur_admin::maintenance::MaintenanceSet;
use std::path::Path;

/// When the first call was, Unix time.
const BEGIN: f64 = 1_764_750_000.125;

/// Servers that are out, that came back, that were only listed, and names that JSON has to escape.
fn sample() -> MaintenanceSet {
    let mut set = MaintenanceSet::default();
    for id in [7, 3, u64::MAX, 11, 0, 12_345_678_901_234_567_890] {
        set.record_listed(id);
    }
    set.detach("stream-b", 7, BEGIN).expect("listed");
    set.detach("stream-a", 3, BEGIN + 1.5).expect("listed");
    set.detach("a \"quoted\" näme\\", u64::MAX, BEGIN + 2.25)
        .expect("listed");
    set.attach("stream-b", 7, BEGIN + 60.0).expect("known");
    set.detach("stream-c", 12_345_678_901_234_567_890, 5.0)
        .expect("listed");
    set.detach("stream-d", 0, 0.1 + 0.2).expect("listed");
    set.attach("stream-d", 0, 1e21).expect("known");
    set
}

/// The kept text; under `WRITE_FIXTURES=1` it is `written` from now on.
fn kept(written: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/servers_taken_out.txt");
    if std::env::var("WRITE_FIXTURES").is_ok_and(|value| value == "1") {
        std::fs::write(&path, written).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    }
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

#[test]
fn the_file_has_the_text_of_the_fixture_and_is_read_and_written_again_byte_for_byte() {
    let written = sample().to_text();
    let kept = kept(&written);
    assert_eq!(written, kept);
    let read = MaintenanceSet::parse(kept.as_bytes()).expect("a whole file");
    assert_eq!(read.to_text(), kept);
    let out: Vec<&str> = read.names().collect();
    assert_eq!(out, ["a \"quoted\" näme\\", "stream-a", "stream-c"]);
    let back = read.override_for(7, BEGIN - 100.0, BEGIN + 61.0, 24.0);
    assert_eq!((back.draining, back.started), (false, BEGIN + 60.0));
}

#[test]
fn why_a_file_is_refused_is_said_to_the_letter() {
    let text = sample().to_text();
    let (head, body) = text.split_once('\n').expect("two lines");
    let refused = |text: &[u8]| {
        MaintenanceSet::parse(text)
            .expect_err("refused")
            .to_string()
    };
    assert_eq!(refused(&[0xff, b'\n']), "it is not text");
    assert_eq!(refused(head.as_bytes()), "it is cut off in its first line");
    assert_eq!(refused(b"other 1 2\n{}"), "it is no file of this kind");
    assert_eq!(
        refused(b"spanspur outs 1\n{}"),
        "its first line is not whole"
    );
    assert_eq!(
        refused(format!("spanspur outs 2 00\n{body}").as_bytes()),
        "it has version 2, not 1"
    );
    assert_eq!(
        refused(format!("{head}\n{body} ").as_bytes()),
        "its checksum is wrong: it is cut off or damaged"
    );
}
