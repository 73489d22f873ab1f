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
        /// The file.
        path: PathBuf,
        /// Why it cannot be read.
        source: io::Error,
    },
    /// A balancer's configuration is not valid.
    #[error("{path}: {source}", path = path.display())]
    InvalidConfig {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: ConfigError,
    },
    /// The checked operator's file is not valid: a line for each fault.
    #[error("{}", fault_lines(path, faults))]
    FaultyOperatorFile {
        /// The file.
        path: PathBuf,
        /// All its faults.
        faults: Faults,
    },
    /// The operator's file that should name the control socket is not valid.
    #[error(transparent)]
    UnusableOperatorFile(Faults),
    /// The operator's file names no control socket.
    #[error("the operator's file has no key 'control.socket'")]
    NoControlSocket,
    /// The command line names no running process.
    #[error("neither --socket nor --operator is given")]
    NoProcessNamed,
    /// The running process does not answer.
    #[error("{socket}: {source}: is the process running, with this socket?", socket = socket.display())]
    NoAnswer {
        /// Its control socket.
        socket: PathBuf,
        /// Why there is no answer.
        source: io::Error,
    },
    /// The answer of the running process has another form.
    #[error(transparent)]
    MalformedAnswer(serde_json::Error),
    /// The running process takes no part in the distribution of the endpoint list.
    #[error(
        "it neither distributes nor follows: its operator's file has no section 'distribute' or 'follow' ({answer})"
    )]
    NoDistribution {
        /// What it answered.
        answer: String,
        /// Why that is no status of the distribution.
        source: serde_json::Error,
    },
    /// The schema of the operator's file cannot be written as JSON.
    #[error(transparent)]
    UnprintableSchema(serde_json::Error),
}

fn fault_lines(path: &Path, faults: &Faults) -> String {
    let lines: Vec<String> = faults
        .iter()
        .map(|fault| format!("{}: {fault}", path.display()))
        .collect();
    lines.join("\n")
}
