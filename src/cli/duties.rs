//! `duties`: the leases as seen by one instance. The user interface calls a lease a duty and its term a period.

use super::CommandError;
use super::query::Query;
use super::table::table;
use comfy_table::Table;
use spanspur_cluster::control::{LeaseRow, LeasesAnswer};

/// Prints the leases as a table, or the unchanged answer as JSON.
pub(super) fn run(query: &Query) -> Result<(), CommandError> {
    let text = query.send("duties")?;
    if query.json {
        print!("{text}");
        return Ok(());
    }
    let answer: LeasesAnswer =
        serde_json::from_str(&text).map_err(CommandError::MalformedAnswer)?;
    println!("{}", duty_table(&answer.leases));
    if answer.remaining_abstention_ms > 0 {
        println!(
            "this instance abstains from votes for up to {} ms more",
            answer.remaining_abstention_ms
        );
    }
    Ok(())
}

fn duty_table(leases: &[LeaseRow]) -> Table {
    let mut table = table([
        "duty",
        "every",
        "holder",
        "period",
        "last",
        "done here",
        "missed",
        "",
    ]);
    for row in leases {
        table.add_row([
            row.name.clone(),
            format!("{} ms", row.interval_ms),
            row.holder.clone().unwrap_or_else(|| "-".into()),
            row.term.to_string(),
            row.term_age_ms
                .map_or("-".into(), |ms| format!("{ms} ms ago")),
            row.completed.to_string(),
            row.missed.to_string(),
            if row.is_quorum_lost {
                "no majority"
            } else {
                ""
            }
            .to_owned(),
        ]);
    }
    table
}
