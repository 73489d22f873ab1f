//! Queries to the control socket of a running process.

use super::{CommandError, OPERATOR_VARIABLE};
use clap::Args;
use spanspur_cluster::control;
use std::path::{Path, PathBuf};

/// The options of the sub-commands that query a running process.
#[derive(Args)]
pub(super) struct Query {
    /// The control socket of the running process.
    #[arg(long, value_name = "PATH", required_unless_present = "operator")]
    socket: Option<PathBuf>,
    /// The operator's file of the running process, which names the control socket.
    #[arg(long, value_name = "FILE", env = OPERATOR_VARIABLE)]
    operator: Option<PathBuf>,
    /// Print the answer as JSON instead of tables.
    #[arg(long)]
    pub json: bool,
}

impl Query {
    /// Sends the query and returns the answer: a line of JSON, including its line ending.
    pub fn send(&self, query: &str) -> Result<String, CommandError> {
        let socket = self.control_socket()?;
        control::query(&socket, query).map_err(|source| CommandError::NoAnswer { socket, source })
    }

    fn control_socket(&self) -> Result<PathBuf, CommandError> {
        match (&self.socket, &self.operator) {
            (Some(socket), _) => Ok(socket.clone()),
            (None, Some(file)) => configured_socket(file),
            (None, None) => Err(CommandError::NoSocketOption),
        }
    }
}

/// The control socket that an operator's file names.
fn configured_socket(file: &Path) -> Result<PathBuf, CommandError> {
    let text = std::fs::read_to_string(file).map_err(|source| CommandError::UnreadableFile {
        path: file.to_owned(),
        source,
    })?;
    let operator =
        spanspur_operator_config::parse(&text).map_err(CommandError::UnusableOperatorFile)?;
    let control = operator.control.ok_or(CommandError::NoControlSocket)?;
    Ok(control.socket)
}
