//! The command line: `serve`, and sub-commands that need no running process or ask one.

use crate::config::{LoadReason, ProcessConfig};
use clap::{Args, Parser, Subcommand};
use comfy_table::{Table, presets};
use spanspur_cluster::control::{DutiesAnswer, MembersAnswer, ask};
use spanspur_cluster::distribution::{ChangesAnswer, ReplicationStatus};
use spanspur_distribution::follower::FollowerStatus;
use spanspur_distribution::source::{FollowerDelay, SourceStatus};
use spanspur_operator_config as operator;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;

/// A load balancer for long-lived connections, by weighted rendezvous hashing.
///
/// Without a sub-command it serves. BALANCER_CONFIG names its configuration; RUST_LOG chooses what is logged.
#[derive(Parser)]
#[command(
    version,
    after_help = "Start here: `spanspur check deploy/operator.json`, then \
    `BALANCER_CONFIG=examples/config.json spanspur serve`. README tells the rest."
)]
pub struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

/// What to do.
#[derive(Subcommand)]
pub enum Command {
    /// Balance connections (also the default without a sub-command).
    Serve(Serve),
    /// Check an operator's file, or a balancer's configuration: every fault with its place; exit code 1 if any.
    Check(Check),
    /// Print the JSON schema of the operator's file.
    Schema,
    /// Who does which shared duty, when it was last done, and what was missed.
    Duties(Asked),
    /// Which instances are there, and what was dropped of what they sent.
    Members(Asked),
    /// How the list of servers is distributed: at a control instance its followers, and since when each change is in
    /// force; at a balancer that follows, its sources and how old what it has is.
    Changes(Asked),
}

/// How to serve.
#[derive(Args, Clone, Default)]
pub struct Serve {
    /// The operator's file, which switches parts on; all are off without it. Read again at SIGHUP.
    #[arg(long, value_name = "FILE", env = "SPANSPUR_OPERATOR")]
    pub operator: Option<PathBuf>,
}

/// What to check.
#[derive(Args)]
pub struct Check {
    /// The operator's file.
    file: PathBuf,
    /// It is a balancer's configuration (as BALANCER_CONFIG names one) instead.
    #[arg(long)]
    config: bool,
}

/// Whom to ask.
#[derive(Args)]
pub struct Asked {
    /// The control socket of the running process.
    #[arg(long, value_name = "PATH", required_unless_present = "operator")]
    socket: Option<PathBuf>,
    /// The operator's file of the running process, which names that socket.
    #[arg(long, value_name = "FILE", env = "SPANSPUR_OPERATOR")]
    operator: Option<PathBuf>,
    /// Print JSON, for programs.
    #[arg(long)]
    json: bool,
}

impl Cli {
    /// Carries a sub-command out; `Err` is how to serve.
    pub fn run() -> Result<ExitCode, Serve> {
        let done = match Self::parse().command {
            None => {
                // Without `serve` its variable counts all the same.
                let operator =
                    std::env::var_os("SPANSPUR_OPERATOR").filter(|path| !path.is_empty());
                return Err(Serve {
                    operator: operator.map(PathBuf::from),
                });
            }
            Some(Command::Serve(serve)) => return Err(serve),
            Some(Command::Check(check)) => check.run(),
            Some(Command::Schema) => {
                let schema = serde_json::to_string_pretty(&operator::schema());
                schema
                    .map(|text| println!("{text}"))
                    .map_err(|e| e.to_string())
            }
            Some(Command::Duties(asked)) => asked.duties(),
            Some(Command::Members(asked)) => asked.members(),
            Some(Command::Changes(asked)) => asked.changes(),
        };
        Ok(match done {
            Ok(()) => ExitCode::SUCCESS,
            Err(what) => {
                eprintln!("{what}");
                ExitCode::FAILURE
            }
        })
    }
}

impl Check {
    fn run(&self) -> Result<(), String> {
        let file = self.file.display();
        let text = std::fs::read_to_string(&self.file).map_err(|e| format!("{file}: {e}"))?;
        if self.config {
            let node = ProcessConfig::parse(text.as_bytes(), LoadReason::Start, |_| None);
            node.map_err(|e| format!("{file}: {e}"))?;
        } else {
            operator::parse(&text).map_err(|faults| {
                let lines: Vec<String> = faults.iter().map(|f| format!("{file}: {f}")).collect();
                lines.join("\n")
            })?;
        }
        println!("{file}: no fault");
        Ok(())
    }
}

impl Asked {
    fn ask(&self, question: &str) -> Result<String, String> {
        let socket = match (&self.socket, &self.operator) {
            (Some(socket), _) => socket.clone(),
            (None, Some(file)) => {
                let text = std::fs::read_to_string(file)
                    .map_err(|e| format!("{}: {e}", file.display()))?;
                let read = operator::parse(&text).map_err(|f| operator::sentence(&f))?;
                let control = read
                    .control
                    .ok_or("the operator's file has no key 'control.socket'")?;
                control.socket
            }
            (None, None) => return Err("neither --socket nor --operator is given".into()),
        };
        ask(&socket, question).map_err(|e| {
            format!(
                "{}: {e}: is the process running, with this socket?",
                socket.display()
            )
        })
    }

    fn duties(&self) -> Result<(), String> {
        let text = self.ask("duties")?;
        if self.json {
            print!("{text}");
            return Ok(());
        }
        let answer: DutiesAnswer = serde_json::from_str(&text).map_err(|e| e.to_string())?;
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
        for row in &answer.duties {
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
        println!("{table}");
        if answer.abstains_ms > 0 {
            println!(
                "this instance abstains from votes for up to {} ms more",
                answer.abstains_ms
            );
        }
        Ok(())
    }

    fn members(&self) -> Result<(), String> {
        let text = self.ask("members")?;
        if self.json {
            print!("{text}");
            return Ok(());
        }
        let answer: MembersAnswer = serde_json::from_str(&text).map_err(|e| e.to_string())?;
        let mut members = table(["instance", "address", "state", "votes"]);
        for row in &answer.members {
            let state = match (row.me, row.alive) {
                (true, _) => "asked",
                (_, true) => "there",
                (_, false) => "gone",
            };
            let votes = if row.voter { "yes" } else { "no" };
            members.add_row([
                row.name.clone(),
                row.address.to_string(),
                state.into(),
                votes.into(),
            ]);
        }
        println!("{members}");
        println!("{}", counted(&answer.counters));
        Ok(())
    }

    fn changes(&self) -> Result<(), String> {
        let text = self.ask("changes")?;
        let answer: ChangesAnswer = serde_json::from_str(&text).map_err(|_| {
            let neither = "it neither distributes nor follows: its operator's file has no section";
            format!("{neither} 'distribute' or 'follow' ({})", text.trim_end())
        })?;
        if self.json {
            print!("{text}");
            return Ok(());
        }
        match &answer.status {
            ReplicationStatus::Source {
                status,
                datagrams_per_second,
            } => show_source(status, *datagrams_per_second),
            ReplicationStatus::Follower { status } => show_follower(status),
        }
        println!("{}", counted(&answer.counters));
        Ok(())
    }
}

/// Changes that the table shows; `--json` has all that are kept.
const SHOWN: usize = 20;

fn show_source(status: &SourceStatus, rate: u32) {
    let mut source = table(["source", ""]);
    let facts = [
        ("name", status.name.clone()),
        ("entries", status.entries.to_string()),
        ("newest version", status.newest_version.to_string()),
        ("age", age(status.data_age)),
        ("followers", status.followers.to_string()),
        ("follow it first", status.primary_followers.to_string()),
        ("lag", status.lagging.to_string()),
        ("in the dark", status.disconnected.to_string()),
        ("budget", format!("{rate} pieces a second")),
        ("spoken for", format!("{} ms ahead", status.backlog)),
    ];
    for (name, fact) in facts {
        source.add_row([name.to_owned(), fact]);
    }
    println!("{source}");
    let mut changes = table(["change", "version", "came", "in force", "at"]);
    for change in status.changes.iter().take(SHOWN) {
        changes.add_row([
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
    println!("{changes}");
    show_behind("lags", "by", status.lagging, &status.lagging_followers);
    show_behind(
        "in the dark",
        "for",
        status.disconnected,
        &status.disconnected_followers,
    );
}

fn show_behind(what: &str, how: &str, all: usize, some: &[FollowerDelay]) {
    if all == 0 {
        return;
    }
    let mut behind = table([what, how]);
    for one in some {
        let name = match one.name.is_empty() {
            true => "?",
            false => &one.name,
        };
        behind.add_row([name.to_owned(), format!("{} ms", one.delay)]);
    }
    if all > some.len() {
        behind.add_row([format!("and {} more", all - some.len()), String::new()]);
    }
    println!("{behind}");
}

fn show_follower(status: &FollowerStatus) {
    let state = match (status.disconnected, status.synchronized, status.resyncing) {
        (true, ..) => "in the dark: no source answers",
        (_, false, _) => "not full yet",
        (_, _, true) => "catching up",
        _ => "up to date as far as its age says",
    };
    let mut follower = table(["follower", ""]);
    let facts = [
        ("name", status.name.clone()),
        ("state", state.to_owned()),
        ("age", age(status.data_age)),
        ("entries", status.entries.to_string()),
        ("newest version", status.newest_version.to_string()),
    ];
    for (name, fact) in facts {
        follower.add_row([name.to_owned(), fact]);
    }
    println!("{follower}");
    let mut sources = table(["source", "followed", "state", "age"]);
    for source in &status.sources {
        sources.add_row([
            source.name.clone(),
            match source.role {
                1 => "first",
                2 => "second",
                _ => "-",
            }
            .to_owned(),
            if source.disconnected { "silent" } else { "" }.to_owned(),
            age(source.data_age),
        ]);
    }
    println!("{sources}");
}

fn age(ms: Option<u64>) -> String {
    ms.map_or("nothing known yet".into(), |ms| format!("{ms} ms"))
}

/// The counters that have counted anything.
fn counted(counters: &BTreeMap<String, u64>) -> Table {
    let mut counted = table(["counter", "so far"]);
    for (name, count) in counters.iter().filter(|(_, count)| **count > 0) {
        counted.add_row([name.clone(), count.to_string()]);
    }
    counted
}

fn table<const N: usize>(head: [&str; N]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::NOTHING).set_header(head);
    table
}
