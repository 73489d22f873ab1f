//! Ranking of the rows that are near or over their limit, or that no mechanism provides.

use super::figure::format_number;
use super::inputs::Inputs;
use super::row::{NEVER_REACHED, Row};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// A row is listed as near its limit above this ratio of estimate to limit.
const NEAR_LIMIT: f64 = 0.5;

type Groups<'a> = &'a [(&'static str, Vec<Row>)];

/// Ranks rows by severity, and rows of the same severity by the ratio of estimate to limit. In descending severity:
/// rows over a limit in the code or with an infinite estimate, rows without a mechanism, rows over another limit, and
/// rows near their limit. `follow_design` selects the tables of the follow design; otherwise all other tables are
/// ranked.
pub fn table(inputs: &Inputs, groups: Groups, follow_design: bool) -> String {
    let mut ranked: Vec<(u8, f64, &str, &Row)> = Vec::new();
    for (name, rows) in groups {
        if name.ends_with("-follow") != follow_design {
            continue;
        }
        for row in rows {
            let ratio = row.limit_ratio().unwrap_or(0.0);
            let severity = match () {
                () if row.exceeds_hard_limit() || ratio.is_infinite() => 0,
                () if row.lacks_mechanism(inputs) => 1,
                () if ratio > 1.0 => 2,
                () if ratio > NEAR_LIMIT => 3,
                () => continue,
            };
            ranked.push((severity, ratio, name, row));
        }
    }
    ranked.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)));
    // Of each quantity only the worst scenario is listed, with the number of its other ranked scenarios.
    let mut scenario_counts: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for (_, _, name, row) in &ranked {
        *scenario_counts.entry((name, &row.quantity)).or_default() += 1;
    }
    let mut listed = BTreeSet::new();
    ranked.retain(|(_, _, name, row)| listed.insert((*name, row.quantity.as_str())));
    let mut text = String::from(
        "| | table | row | when | comes to | how far | what answers it |\n| --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for (index, (severity, ratio, name, row)) in ranked.iter().enumerate() {
        let excess = match (severity, *ratio > 0.0) {
            (0, _) if ratio.is_infinite() => NEVER_REACHED.to_owned(),
            (0, _) => format!("cannot be done, x{}", format_number(*ratio)),
            (1, true) => format!("nothing does it; x{}", format_number(*ratio)),
            (1, false) => "nothing does it".to_owned(),
            (2, _) => format!("over x{}", format_number(*ratio)),
            _ => format!("near, x{}", format_number(*ratio)),
        };
        let scenario = match scenario_counts[&(*name, row.quantity.as_str())] {
            1 => row.scenario.to_owned(),
            n => format!("{}; {} more", row.scenario, n - 1),
        };
        let remedy = match row.remedy {
            "" => row.format_mechanism(inputs),
            remedy => remedy.to_owned(),
        };
        let _ = writeln!(
            text,
            "| {} | {name} | {} | {scenario} | {} | {excess} | {remedy} |",
            index + 1,
            row.quantity,
            row.format_estimate()
        );
    }
    text
}

/// Lists the missing measurements and constants, with the number of rows that need each.
pub fn missing_inputs(groups: Groups) -> String {
    let mut missing: BTreeMap<String, usize> = BTreeMap::new();
    for row in groups.iter().flat_map(|(_, rows)| rows) {
        for name in row.missing() {
            *missing.entry(name).or_default() += 1;
        }
    }
    if missing.is_empty() {
        return "Every row has its figure.\n".to_owned();
    }
    let mut text = String::from("| lacking | rows |\n| --- | --- |\n");
    for (name, rows) in missing {
        let _ = writeln!(text, "| `{name}` | {rows} |");
    }
    text
}
