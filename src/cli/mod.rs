//! The command line: `serve`, sub-commands that need no running process, and sub-commands that query one.

mod changes;
mod check;
mod duties;
mod error;
mod members;
mod query;
mod table;

pub use error::CommandError;

use check::Check;
use clap::{Args, Parser, Subcommand};
use query::Query;
use std::path::PathBuf;
use std::process::ExitCode;

/// The environment variable with the path of the operator's file, used if `--operator` is not given.
const OPERATOR_VARIABLE: &str = "SPANSPUR_OPERATOR";

/// A load balancer for long-lived connections, with weighted rendezvous hashing.
///
/// Without a sub-command it runs `serve`. BALANCER_CONFIG is the path of its configuration; RUST_LOG filters the log.
#[derive(Parser)]
#[command(
    version,
    after_help = "Start here: `spanspur check deploy/operator.json`, then \
    `BALANCER_CONFIG=examples/config.json spanspur serve`. See README for more."
)]
pub struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

/// The sub-commands.
#[derive(Subcommand)]
enum Command {
    /// Balance connections (also the default without a sub-command).
    Serve(Serve),
    /// Check an operator's file or a balancer's configuration; print the errors and exit with code 1 if there are any.
    Check(Check),
    /// Print the JSON schema of the operator's file.
    Schema,
    /// Show the shared duties: the holder of each, when it was last done, and the periods done and missed.
    Duties(Query),
    /// Show the instances of the cluster and the counters of messages sent, received and dropped.
    Members(Query),
    /// Show the distribution of the endpoint list: at a control instance, its followers and when each change took
    /// effect; at a balancer that follows, its sources and the age of its list.
    Changes(Query),
}

/// The options of `serve`.
#[derive(Args, Clone, Default)]
pub struct Serve {
    /// The operator's file, which enables optional features; without it, all are off. Reloaded at SIGHUP.
    #[arg(long, value_name = "FILE", env = OPERATOR_VARIABLE)]
    pub operator: Option<PathBuf>,
}

/// The result of [`Cli::run`].
pub enum Invocation {
    /// A sub-command has run; the process exits with this code.
    Finished(ExitCode),
    /// The process balances connections.
    Serve(Serve),
}

impl Cli {
    /// Parses the command line and runs its sub-command, except `serve`. Exits the process if the command line is
    /// invalid.
    pub fn run() -> Invocation {
        let result = match Self::parse().command {
            None => return Invocation::Serve(Serve::from_env()),
            Some(Command::Serve(serve)) => return Invocation::Serve(serve),
            Some(Command::Check(check)) => check.run(),
            Some(Command::Schema) => print_schema(),
            Some(Command::Duties(query)) => duties::run(&query),
            Some(Command::Members(query)) => members::run(&query),
            Some(Command::Changes(query)) => changes::run(&query),
        };
        Invocation::Finished(match result {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{error}");
                ExitCode::FAILURE
            }
        })
    }
}

impl Serve {
    /// The options if the sub-command `serve` is omitted; its environment variable applies then too.
    fn from_env() -> Self {
        let operator = std::env::var_os(OPERATOR_VARIABLE).filter(|path| !path.is_empty());
        Self {
            operator: operator.map(PathBuf::from),
        }
    }
}

fn print_schema() -> Result<(), CommandError> {
    let schema = spanspur_operator_config::schema();
    let text = serde_json::to_string_pretty(&schema).map_err(CommandError::UnprintableSchema)?;
    println!("{text}");
    Ok(())
}
