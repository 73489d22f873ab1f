//! `duties`: the leases as seen by one instance.

use super::CommandError;
use super::query::Query;
use super::table::table;
use comfy_table::Table;
use spanspur_cluster::control::{DutiesAnswer, DutyRow};

/// Prints the duties as a table, or the unchanged answer as JSON.
pub(super) fn run(query: &Query) -> Result<(), CommandError> {
    let text = query.send("duties")?;
    if query.json {
        print!("{text}");
        return Ok(());
    }
    let answer: DutiesAnswer =
        serde_json::from_str(&text).map_err(CommandError::MalformedAnswer)?;
    println!("{}", duty_table(&answer.duties));
    if answer.abstains_ms > 0 {
        println!(
            "this instance abstains from votes for up to {} ms more",
            answer.abstains_ms
        );
    }
    Ok(())
}

fn duty_table(duties: &[DutyRow]) -> Table {
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
    for row in duties {
        table.add_row([
            row.duty.clone(),
            format!("{} ms", row.every_ms),
            row.holder.clone().unwrap_or_else(|| "-".into()),
            row.period.to_string(),
            row.since_ms.map_or("-".into(), |ms| format!("{ms} ms ago")),
            row.done.to_string(),
            row.missed.to_string(),
            if row.minority { "no majority" } else { "" }.to_owned(),
        ]);
    }
    table
}
