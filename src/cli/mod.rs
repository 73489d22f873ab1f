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

/// The variable that names the operator's file where `--operator` does not.
const OPERATOR_VARIABLE: &str = "SPANSPUR_OPERATOR";

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
enum Command {
    /// Balance connections (also the default without a sub-command).
    Serve(Serve),
    /// Check an operator's file, or a balancer's configuration: every fault with its place; exit code 1 if any.
    Check(Check),
    /// Print the JSON schema of the operator's file.
    Schema,
    /// Who does which shared duty, when it was last done, and what was missed.
    Duties(Query),
    /// Which instances are there, and what was dropped of what they sent.
    Members(Query),
    /// How the list of servers is distributed: at a control instance its followers, and since when each change is in
    /// force; at a balancer that follows, its sources and how old what it has is.
    Changes(Query),
}

/// How to serve.
#[derive(Args, Clone, Default)]
pub struct Serve {
    /// The operator's file, which switches parts on; all are off without it. Read again at SIGHUP.
    #[arg(long, value_name = "FILE", env = OPERATOR_VARIABLE)]
    pub operator: Option<PathBuf>,
}

/// What the command line asks for.
pub enum Invocation {
    /// A sub-command that has been carried out; the process ends with this code.
    Finished(ExitCode),
    /// To balance connections.
    Serve(Serve),
}

impl Cli {
    /// Parses the command line and carries out its sub-command, unless that is to serve. Ends the process where the
    /// command line cannot be parsed.
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
    /// The options without the sub-command `serve`, whose variable counts all the same.
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
