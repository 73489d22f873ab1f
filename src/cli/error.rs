//! Errors of the sub-commands, as they are printed on standard error.

use crate::config::ConfigError;
use spanspur_operator_config::Faults;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// A sub-command that failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// A file cannot be read.
    #[error("{path}: {source}", path = path.display())]
    UnreadableFile {
        /// The path of the file.
        path: PathBuf,
        /// Why it cannot be read.
        source: io::Error,
    },
    /// A balancer's configuration is invalid.
    #[error("{path}: {source}", path = path.display())]
    InvalidConfig {
        /// The path of the file.
        path: PathBuf,
        /// Why the configuration is invalid.
        source: ConfigError,
    },
    /// The operator's file that was checked is invalid. The text has a line for each fault.
    #[error("{}", fault_lines(path, faults))]
    InvalidOperatorFile {
        /// The path of the file.
        path: PathBuf,
        /// All its faults.
        faults: Faults,
    },
    /// The operator's file from which the control socket is read is invalid.
    #[error(transparent)]
    UnusableOperatorFile(Faults),
    /// The operator's file names no control socket.
    #[error("the operator's file has no key 'control.socket'")]
    NoControlSocket,
    /// The command line has neither a control socket nor an operator's file.
    #[error("neither --socket nor --operator is given")]
    NoSocketOption,
    /// The running process cannot be reached over its control socket, or does not answer.
    #[error("{socket}: {source}: is the process running, with this socket?", socket = socket.display())]
    NoAnswer {
        /// The control socket of the process.
        socket: PathBuf,
        /// Why the process does not answer.
        source: io::Error,
    },
    /// The answer of the running process cannot be parsed.
    #[error("cannot parse the answer of the running process: {0}")]
    MalformedAnswer(#[source] serde_json::Error),
    /// The running process takes no part in the distribution of the endpoint list.
    #[error(
        "it neither distributes nor follows: its operator's file has no section 'distribute' or 'follow' ({answer})"
    )]
    NoDistribution {
        /// The answer of the process.
        answer: String,
        /// Why the answer is not a status of the distribution.
        source: serde_json::Error,
    },
    /// The schema of the operator's file cannot be serialized as JSON.
    #[error("cannot serialize the schema: {0}")]
    UnprintableSchema(#[source] serde_json::Error),
}

fn fault_lines(path: &Path, faults: &Faults) -> String {
    let lines: Vec<String> = faults
        .iter()
        .map(|fault| format!("{}: {fault}", path.display()))
        .collect();
    lines.join("\n")
}
