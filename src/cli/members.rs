//! `members`: the instances of the cluster as seen by one of them.

use super::CommandError;
use super::query::Query;
use super::table::{counter_table, table};
use comfy_table::Table;
use spanspur_cluster::control::MembersAnswer;
use spanspur_cluster::node::Member;

/// Prints the instances and the counters as tables, or the unchanged answer as JSON.
pub(super) fn run(query: &Query) -> Result<(), CommandError> {
    let text = query.send("members")?;
    if query.json {
        print!("{text}");
        return Ok(());
    }
    let answer: MembersAnswer =
        serde_json::from_str(&text).map_err(CommandError::MalformedAnswer)?;
    println!("{}", member_table(&answer.members));
    println!("{}", counter_table(&answer.counters));
    Ok(())
}

fn member_table(members: &[Member]) -> Table {
    let mut table = table(["instance", "address", "state", "votes"]);
    for row in members {
        let state = match (row.is_self, row.alive) {
            // The instance that answers the query.
            (true, _) => "asked",
            (_, true) => "there",
            (_, false) => "gone",
        };
        let votes = if row.voter { "yes" } else { "no" };
        table.add_row([
            row.name.clone(),
            row.address.to_string(),
            state.into(),
            votes.into(),
        ]);
    }
    table
}
