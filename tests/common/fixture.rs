//! Golden fixtures: files in the repository that hold what the tree at 71566bd wrote.
//!
//! `WRITE_FIXTURES=1` writes them anew in place of comparing. Written by the tree at 71566bd; rewriting them hides a
//! change of the wire.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::path::{Path, PathBuf};

/// Where the fixture with this name is kept.
pub fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

/// The kept bytes of a fixture; under `WRITE_FIXTURES=1` they are `written` from now on.
pub fn load_or_write(name: &str, written: &[u8]) -> Vec<u8> {
    let path = path(name);
    if std::env::var("WRITE_FIXTURES").is_ok_and(|value| value == "1") {
        std::fs::write(&path, written).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    }
    std::fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// Holds a text to its fixture, line by line, so that a failure names the first line that differs.
pub fn assert_text(name: &str, written: &str) {
    let kept =
        String::from_utf8(load_or_write(name, written.as_bytes())).expect("a fixture of text");
    for (at, (kept, written)) in kept.lines().zip(written.lines()).enumerate() {
        assert_eq!(written, kept, "{name}, line {}", at + 1);
    }
    assert_eq!(written, kept, "{name}: more or fewer lines");
}

/// Holds bytes to their fixture; a failure names the first byte that differs.
pub fn assert_bytes(name: &str, written: &[u8]) {
    let kept = load_or_write(name, written);
    let first = kept.iter().zip(written).position(|(a, b)| a != b);
    assert_eq!(first, None, "{name}: first byte that differs");
    assert_eq!(written.len(), kept.len(), "{name}: length");
}
