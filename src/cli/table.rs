//! Text tables for the terminal.

use comfy_table::{Table, presets};
use std::collections::BTreeMap;

/// An empty table with this header.
pub(super) fn table<const COLUMNS: usize>(header: [&str; COLUMNS]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::NOTHING).set_header(header);
    table
}

/// A table of names and values, with the title in the header.
pub(super) fn property_table<const ROWS: usize>(
    title: &str,
    properties: [(&str, String); ROWS],
) -> Table {
    let mut table = table([title, ""]);
    for (name, value) in properties {
        table.add_row([name.to_owned(), value]);
    }
    table
}

/// A table of the counters that are not 0.
pub(super) fn counter_table(counters: &BTreeMap<String, u64>) -> Table {
    let mut table = table(["counter", "so far"]);
    for (name, count) in counters.iter().filter(|(_, count)| **count > 0) {
        table.add_row([name.clone(), count.to_string()]);
    }
    table
}

/// The text for an age in milliseconds, which may be unknown.
pub(super) fn age(milliseconds: Option<u64>) -> String {
    milliseconds.map_or("nothing known yet".into(), |ms| format!("{ms} ms"))
}
