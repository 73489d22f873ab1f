//! Which rows are over, and which cannot be done at all.

use super::book::Book;
use super::figure::digits;
use super::row::{NOT, Row};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// From this share of its limit on a row is named as near it.
const NEAR: f64 = 0.5;

type Groups<'a> = &'a [(&'static str, Vec<Row>)];

/// Rows by how far they pass a limit: first what cannot be done, by a bound of the code or for want of anything that
/// does it, then what is over, then what is near. Of what is built this sitting (`built`), or of all else.
pub fn table(book: &Book, groups: Groups, built: bool) -> String {
    let mut ranked: Vec<(u8, f64, &str, &Row)> = Vec::new();
    for (name, rows) in groups {
        if name.ends_with("-follow") != built {
            continue;
        }
        for row in rows {
            let times = row.times().unwrap_or(0.0);
            let class = match () {
                () if row.cannot() || times.is_infinite() => 0,
                () if row.is_missing(book) => 1,
                () if times > 1.0 => 2,
                () if times > NEAR => 3,
                () => continue,
            };
            ranked.push((class, times, name, row));
        }
    }
    ranked.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)));
    // One line for all situations of a row: the worst.
    let mut situations: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for (_, _, name, row) in &ranked {
        *situations.entry((name, &row.what)).or_default() += 1;
    }
    let mut told = BTreeSet::new();
    ranked.retain(|(_, _, name, row)| told.insert((*name, row.what.as_str())));
    let mut text = String::from(
        "| | table | row | when | comes to | how far | what answers it |\n| --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for (place, (class, times, name, row)) in ranked.iter().enumerate() {
        let far = match (class, *times > 0.0) {
            (0, _) if times.is_infinite() => NOT.to_owned(),
            (0, _) => format!("cannot be done, x{}", digits(*times)),
            (1, true) => format!("nothing does it; x{}", digits(*times)),
            (1, false) => "nothing does it".to_owned(),
            (2, _) => format!("over x{}", digits(*times)),
            _ => format!("near, x{}", digits(*times)),
        };
        let when = match situations[&(*name, row.what.as_str())] {
            1 => row.when.to_owned(),
            n => format!("{}; {} more", row.when, n - 1),
        };
        let answer = match row.answer {
            "" => row.carried(book),
            answer => answer.to_owned(),
        };
        let _ = writeln!(
            text,
            "| {} | {name} | {} | {when} | {} | {far} | {answer} |",
            place + 1,
            row.what,
            row.comes_to()
        );
    }
    text
}

/// What is not measured, and in how many rows it is lacking.
pub fn lacking(groups: Groups) -> String {
    let mut lacking: BTreeMap<String, usize> = BTreeMap::new();
    for row in groups.iter().flat_map(|(_, rows)| rows) {
        for what in row.lacks() {
            *lacking.entry(what).or_default() += 1;
        }
    }
    if lacking.is_empty() {
        return "Every row has its figure.\n".to_owned();
    }
    let mut text = String::from("| lacking | rows |\n| --- | --- |\n");
    for (what, rows) in lacking {
        let _ = writeln!(text, "| `{what}` | {rows} |");
    }
    text
}
