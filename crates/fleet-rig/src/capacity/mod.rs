//! Capacity estimates for each role at the planned fleet size, derived from measured slopes, the customer's
//! requirements and named assumptions, and written between markers in docs/CAPACITY.md. [`tables`] is the entry point.

pub mod control;
pub mod data_path;
pub mod dependencies;
pub mod figure;
pub mod inputs;
pub mod rank;
pub mod row;

pub use inputs::{Inputs, Parameter, Parameters};

use std::collections::BTreeMap;
use std::path::Path;

/// Path of the page with the generated tables, relative to the workspace root.
pub const PAGE: &str = "docs/CAPACITY.md";
/// Path of the page of open questions; each assumption names one of its headings.
pub const QUESTIONS: &str = "docs/QUESTIONS.md";

/// Generates all tables, as Markdown by the name in the page's markers. Fails with every error found in the input data.
pub fn tables(inputs: &Inputs) -> Result<BTreeMap<&'static str, String>, Vec<String>> {
    let groups = [
        ("balancer-flat", control::balancer_flat(inputs)),
        ("balancer-follow", control::balancer_follow(inputs)),
        ("control-flat", control::control_flat(inputs)),
        ("control-follow", control::control_follow(inputs)),
        ("discovery", dependencies::discovery(inputs)),
        ("server", dependencies::server(inputs)),
        ("operator", dependencies::operator(inputs)),
        ("data-path", data_path::rows(inputs)),
    ];
    let mut tables = BTreeMap::from([
        (
            "letter",
            data_path::parameter_table(&inputs.parameters.requirements, false),
        ),
        (
            "assumptions",
            data_path::parameter_table(&inputs.parameters.assumptions, true),
        ),
        ("shared", dependencies::shared_state(inputs)),
        ("troubles", dependencies::failure_scenarios(inputs)),
        ("series", data_path::series_table(inputs)),
        ("ranking", rank::table(inputs, &groups, false)),
        ("ranking-built", rank::table(inputs, &groups, true)),
        ("left", rank::missing_inputs(&groups)),
    ]);
    tables.extend(
        groups
            .iter()
            .map(|(name, rows)| (*name, row::table(inputs, rows))),
    );
    let errors = inputs.errors();
    match errors.is_empty() {
        true => Ok(tables),
        false => Err(errors),
    }
}

fn markers(name: &str) -> (String, String) {
    (
        format!("<!-- capacity:{name} -->"),
        format!("<!-- /capacity:{name} -->"),
    )
}

/// Replaces the text between each table's markers. Fails for a table without markers and for markers without a table.
pub fn fill_page(page: &str, tables: &BTreeMap<&'static str, String>) -> Result<String, String> {
    let mut page = page.to_owned();
    for (name, table) in tables {
        let (start_marker, end_marker) = markers(name);
        if page.matches(&start_marker).count() != 1 || page.matches(&end_marker).count() != 1 {
            return Err(format!(
                "{PAGE} must contain the markers {start_marker} and {end_marker} exactly once each"
            ));
        }
        let from = page.find(&start_marker).unwrap_or(0) + start_marker.len();
        let to = page.find(&end_marker).unwrap_or(0);
        if to < from {
            return Err(format!("{PAGE}: {end_marker} comes before {start_marker}"));
        }
        page.replace_range(from..to, &format!("\n\n{table}\n"));
    }
    let marker_count = page.matches("<!-- capacity:").count();
    match marker_count == tables.len() {
        true => Ok(page),
        false => Err(format!("{PAGE} has markers without a table")),
    }
}

/// Checks that each assumption names a heading of the questions page; returns an error text for each one that does not.
pub fn assumptions_without_question(parameters: &Parameters, questions: &str) -> Vec<String> {
    let headings: Vec<&str> = questions
        .lines()
        .filter_map(|line| line.strip_prefix("## "))
        .collect();
    let has_question = |parameter: &Parameter| {
        parameter
            .question
            .as_deref()
            .is_some_and(|question| headings.contains(&question))
    };
    let without_question = parameters
        .assumptions
        .iter()
        .filter(|(_, parameter)| !has_question(parameter));
    without_question
        .map(|(name, _)| format!("{QUESTIONS} has no question for the assumption '{name}'"))
        .collect()
}

/// Regenerates the page under a workspace root. With `check` it writes nothing and fails if the page is out of date.
/// Also fails if a file cannot be read or written, for invalid data, and for an assumption without a question.
pub fn run(root: &Path, check: bool) -> Result<(), String> {
    let read =
        |file: &str| std::fs::read_to_string(root.join(file)).map_err(|e| format!("{file}: {e}"));
    let inputs = Inputs::read(root)?;
    let tables = tables(&inputs).map_err(|errors| errors.join("\n"))?;
    let without_question = assumptions_without_question(&inputs.parameters, &read(QUESTIONS)?);
    if !without_question.is_empty() {
        return Err(without_question.join("\n"));
    }
    let page = read(PAGE)?;
    let filled = fill_page(&page, &tables)?;
    if filled == page {
        return Ok(());
    }
    if check {
        let difference = page
            .lines()
            .zip(filled.lines())
            .find(|(actual, expected)| actual != expected);
        let (actual, expected) = difference.unwrap_or(("its end", "another"));
        return Err(format!(
            "{PAGE} differs from the data (cargo run --release -p spanspur-fleet-rig -- capacity writes it):\n- {actual}\n+ {expected}"
        ));
    }
    std::fs::write(root.join(PAGE), filled).map_err(|e| format!("{PAGE}: {e}"))
}
