//! Golden fixtures: files in the repository with the output of the code at commit 71566bd.
//!
//! `WRITE_FIXTURES=1` writes them again instead of comparing, which hides a change of the output.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::path::{Path, PathBuf};

/// The path of the fixture with this name.
pub fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

/// The bytes of a fixture. With `WRITE_FIXTURES=1`, writes `actual` to the fixture first.
pub fn load_or_write(name: &str, actual: &[u8]) -> Vec<u8> {
    let path = path(name);
    if std::env::var("WRITE_FIXTURES").is_ok_and(|value| value == "1") {
        std::fs::write(&path, actual).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    }
    std::fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// Asserts that a text equals its fixture; a failure names the first line that differs.
pub fn assert_text(name: &str, actual: &str) {
    let expected =
        String::from_utf8(load_or_write(name, actual.as_bytes())).expect("a fixture of text");
    for (index, (expected, actual)) in expected.lines().zip(actual.lines()).enumerate() {
        assert_eq!(actual, expected, "{name}, line {}", index + 1);
    }
    assert_eq!(actual, expected, "{name}: different number of lines");
}

/// Asserts that bytes equal their fixture; a failure names the first byte that differs.
pub fn assert_bytes(name: &str, actual: &[u8]) {
    let expected = load_or_write(name, actual);
    let first_difference = expected.iter().zip(actual).position(|(a, b)| a != b);
    assert_eq!(first_difference, None, "{name}: first byte that differs");
    assert_eq!(actual.len(), expected.len(), "{name}: length");
}
