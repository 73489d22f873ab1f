//! Fixture files of encoded bytes: one record per line, a name and its bytes in hexadecimal. They were written at
//! commit 71566bd; rewriting them (`WRITE_FIXTURES=1`) hides a change of the encoding between versions.

use std::fmt::Write;
use std::path::Path;

/// The environment variable that, set to 1, rewrites the fixture files.
const WRITE_VARIABLE: &str = "WRITE_FIXTURES";
/// The first line of each file.
const HEADER: &str =
    "# Written by the tree at 71566bd. Rewriting hides a change of the bytes between versions.";
/// The text for a record without bytes.
const NO_BYTES: &str = "-";

/// Encoded bytes and their name in the file. The name has no spaces.
pub struct Record {
    pub name: String,
    pub bytes: Vec<u8>,
}

impl Record {
    pub fn new(name: impl Into<String>, bytes: Vec<u8>) -> Self {
        let name = name.into();
        Self { name, bytes }
    }
}

/// Asserts that records equal those of a package's fixture file, in the same order; returns the records of the file.
pub fn check(package_directory: &str, file: &str, records: Vec<Record>) -> Vec<Record> {
    let path = Path::new(package_directory)
        .join("tests/fixtures")
        .join(file);
    if std::env::var(WRITE_VARIABLE).as_deref() == Ok("1") {
        std::fs::write(&path, format(&records)).expect("the fixture file can be written");
    }
    let text = std::fs::read_to_string(&path).expect("the fixture file can be read");
    let expected = parse(&text);
    for (record, expected) in records.iter().zip(&expected) {
        assert_eq!(record.name, expected.name, "{file}");
        assert_eq!(
            hexadecimal(&record.bytes),
            hexadecimal(&expected.bytes),
            "{file}: {}",
            record.name
        );
    }
    assert_eq!(records.len(), expected.len(), "{file}: number of records");
    assert!(!expected.is_empty(), "{file}: no records");
    expected
}

fn format(records: &[Record]) -> String {
    let mut text = format!("{HEADER}\n");
    for record in records {
        let bytes = match record.bytes.as_slice() {
            [] => NO_BYTES.to_owned(),
            bytes => hexadecimal(bytes),
        };
        writeln!(text, "{} {bytes}", record.name).expect("writes to memory");
    }
    text
}

fn parse(text: &str) -> Vec<Record> {
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    lines
        .map(|line| {
            let (name, digits) = line.split_once(' ').expect("a name and bytes");
            match digits {
                NO_BYTES => Record::new(name, Vec::new()),
                digits => Record::new(name, parse_hexadecimal(digits)),
            }
        })
        .collect()
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn parse_hexadecimal(digits: &str) -> Vec<u8> {
    assert!(digits.len().is_multiple_of(2), "whole bytes");
    (0..digits.len())
        .step_by(2)
        .map(|start| u8::from_str_radix(&digits[start..start + 2], 16).expect("hexadecimal"))
        .collect()
}
