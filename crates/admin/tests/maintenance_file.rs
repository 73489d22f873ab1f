//! The maintenance file, which outlives the process that wrote it and is sent to the successor in a hot restart.
//!
//! The fixture `tests/fixtures/servers_taken_out.txt` was written at commit 71566bd. `WRITE_FIXTURES=1` rewrites it,
//! which hides a change of the file format.

use spanspur_admin::maintenance::MaintenanceSet;
use std::path::Path;

/// Time of the first change, Unix time.
const BEGIN: f64 = 1_764_750_000.125;

/// Servers that are under maintenance, were put back or are only listed, and names that JSON has to escape.
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

/// Returns the text of the fixture. With `WRITE_FIXTURES=1`, writes `text` to the fixture first.
fn load_or_write(text: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/servers_taken_out.txt");
    if std::env::var("WRITE_FIXTURES").is_ok_and(|value| value == "1") {
        std::fs::write(&path, text).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    }
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

#[test]
fn the_file_matches_its_fixture_and_round_trips_byte_for_byte() {
    let text = sample().to_text();
    let fixture = load_or_write(&text);
    assert_eq!(text, fixture);
    let parsed = MaintenanceSet::parse(fixture.as_bytes()).expect("a whole file");
    assert_eq!(parsed.to_text(), fixture);
    let under_maintenance: Vec<&str> = parsed.names().collect();
    assert_eq!(
        under_maintenance,
        ["a \"quoted\" näme\\", "stream-a", "stream-c"]
    );
    let attached = parsed.override_for(7, BEGIN - 100.0, BEGIN + 61.0, 24.0);
    assert_eq!((attached.draining, attached.started), (false, BEGIN + 60.0));
}

#[test]
fn rejected_files_have_exact_error_texts() {
    let text = sample().to_text();
    let (header, body) = text.split_once('\n').expect("two lines");
    let error_text = |text: &[u8]| {
        MaintenanceSet::parse(text)
            .expect_err("refused")
            .to_string()
    };
    assert_eq!(error_text(&[0xff, b'\n']), "not valid UTF-8");
    assert_eq!(
        error_text(header.as_bytes()),
        "the header line is truncated"
    );
    assert_eq!(error_text(b"other 1 2\n{}"), "not a maintenance file");
    assert_eq!(
        error_text(b"spanspur outs 1\n{}"),
        "the header line must have a version and a checksum"
    );
    assert_eq!(
        error_text(format!("spanspur outs 2 00\n{body}").as_bytes()),
        "unsupported version 2, expected 1"
    );
    assert_eq!(
        error_text(format!("{header}\n{body} ").as_bytes()),
        "wrong checksum: the file is truncated or corrupted"
    );
}
