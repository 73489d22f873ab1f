//! Tables for people.

use comfy_table::{Table, presets};
use std::collections::BTreeMap;

/// An empty table with this header.
pub(super) fn table<const COLUMNS: usize>(header: [&str; COLUMNS]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::NOTHING).set_header(header);
    table
}

/// A table of named facts; the header has its title.
pub(super) fn fact_table<const FACTS: usize>(title: &str, facts: [(&str, String); FACTS]) -> Table {
    let mut table = table([title, ""]);
    for (name, fact) in facts {
        table.add_row([name.to_owned(), fact]);
    }
    table
}

/// The counters that have counted anything.
pub(super) fn counter_table(counters: &BTreeMap<String, u64>) -> Table {
    let mut table = table(["counter", "so far"]);
    for (name, count) in counters.iter().filter(|(_, count)| **count > 0) {
        table.add_row([name.clone(), count.to_string()]);
    }
    table
}

/// An age in milliseconds, if it is known.
pub(super) fn age(milliseconds: Option<u64>) -> String {
    milliseconds.map_or("nothing known yet".into(), |ms| format!("{ms} ms"))
}
