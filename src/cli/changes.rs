//! `changes`: the distribution of the endpoint list as seen by a source or a follower.

use super::CommandError;
use super::query::Query;
use super::table::{age, counter_table, property_table, table};
use comfy_table::Table;
use spanspur_cluster::distribution::{ChangesAnswer, ReplicationStatus};
use spanspur_distribution::follower::FollowerStatus;
use spanspur_distribution::source::{FollowerDelay, SourceStatus};

/// The maximum number of changes in the table; `--json` has all that the source keeps.
const MAX_SHOWN_CHANGES: usize = 20;

/// Prints the status of the source or follower as tables, or the unchanged answer as JSON.
pub(super) fn run(query: &Query) -> Result<(), CommandError> {
    let text = query.send("changes")?;
    // Parsed even with `--json`: a process that takes no part in the distribution answers with an error object, which
    // must not be printed as a status.
    let answer: ChangesAnswer =
        serde_json::from_str(&text).map_err(|source| CommandError::NoDistribution {
            answer: text.trim_end().to_owned(),
            source,
        })?;
    if query.json {
        print!("{text}");
        return Ok(());
    }
    match &answer.status {
        ReplicationStatus::Source {
            status,
            datagrams_per_second,
        } => print_source(status, *datagrams_per_second),
        ReplicationStatus::Follower { status } => print_follower(status),
    }
    println!("{}", counter_table(&answer.counters));
    Ok(())
}

fn print_source(status: &SourceStatus, datagrams_per_second: u32) {
    let properties = [
        ("name", status.name.clone()),
        ("entries", status.entries.to_string()),
        ("newest version", status.newest_version.to_string()),
        ("age", age(status.data_age)),
        ("followers", status.followers.to_string()),
        ("follow it first", status.primary_followers.to_string()),
        ("lag", status.lagging.to_string()),
        ("in the dark", status.disconnected.to_string()),
        ("budget", format!("{datagrams_per_second} pieces a second")),
        ("spoken for", format!("{} ms ahead", status.backlog)),
    ];
    println!("{}", property_table("source", properties));
    println!("{}", change_table(status));
    print_delayed_followers("lags", "by", status.lagging, &status.lagging_followers);
    print_delayed_followers(
        "in the dark",
        "for",
        status.disconnected,
        &status.disconnected_followers,
    );
}

fn change_table(status: &SourceStatus) -> Table {
    let mut table = table(["change", "version", "came", "in force", "at"]);
    for change in status.changes.iter().take(MAX_SHOWN_CHANGES) {
        table.add_row([
            format!("{:016x}", change.key),
            change.version.to_string(),
            format!("{} ms ago", change.age),
            match change.propagated_after {
                Some(after) => format!("after {after} ms"),
                None => "not yet".into(),
            },
            format!("{} followers", change.followers),
        ]);
    }
    table
}

/// Prints a table of delayed followers with these headers. `listed` has the most delayed ones, up to a limit; `total`
/// counts all. Prints nothing if there are none.
fn print_delayed_followers(
    name_header: &str,
    delay_header: &str,
    total: usize,
    listed: &[FollowerDelay],
) {
    if total == 0 {
        return;
    }
    let mut table = table([name_header, delay_header]);
    for follower in listed {
        let name = match follower.name.is_empty() {
            true => "?",
            false => &follower.name,
        };
        table.add_row([name.to_owned(), format!("{} ms", follower.delay)]);
    }
    if total > listed.len() {
        table.add_row([format!("and {} more", total - listed.len()), String::new()]);
    }
    println!("{table}");
}

fn print_follower(status: &FollowerStatus) {
    let properties = [
        ("name", status.name.clone()),
        ("state", follower_state(status).to_owned()),
        ("age", age(status.data_age)),
        ("entries", status.entries.to_string()),
        ("newest version", status.newest_version.to_string()),
    ];
    println!("{}", property_table("follower", properties));
    println!("{}", followed_source_table(status));
}

fn follower_state(status: &FollowerStatus) -> &'static str {
    match (status.disconnected, status.synchronized, status.resyncing) {
        (true, ..) => "in the dark: no source answers",
        (_, false, _) => "not full yet",
        (_, _, true) => "catching up",
        _ => "up to date as far as its age says",
    }
}

fn followed_source_table(status: &FollowerStatus) -> Table {
    let mut table = table(["source", "followed", "state", "age"]);
    for source in &status.sources {
        let role = match source.role {
            1 => "first",
            2 => "second",
            _ => "-",
        };
        let state = if source.disconnected { "silent" } else { "" };
        table.add_row([
            source.name.clone(),
            role.to_owned(),
            state.to_owned(),
            age(source.data_age),
        ]);
    }
    table
}
