//! `check`: validates a configuration file without a running process.

use super::CommandError;
use crate::config::{LoadReason, ProcessConfig};
use clap::Args;
use std::path::PathBuf;

/// The options of `check`.
#[derive(Args)]
pub(super) struct Check {
    /// The file to check, an operator's file unless --config is given.
    file: PathBuf,
    /// The file is a balancer's configuration, as named by BALANCER_CONFIG.
    #[arg(long)]
    config: bool,
}

impl Check {
    /// Checks the file, and prints that it has no fault. Otherwise fails with all faults of an operator's file, or with
    /// the first error of a balancer's configuration.
    pub fn run(&self) -> Result<(), CommandError> {
        let path = || self.file.clone();
        let text =
            std::fs::read_to_string(&self.file).map_err(|source| CommandError::UnreadableFile {
                path: path(),
                source,
            })?;
        if self.config {
            // Only the file is checked, without environment variables.
            ProcessConfig::parse(text.as_bytes(), LoadReason::Start, |_| None).map_err(
                |source| CommandError::InvalidConfig {
                    path: path(),
                    source,
                },
            )?;
        } else {
            spanspur_operator_config::parse(&text).map_err(|faults| {
                CommandError::InvalidOperatorFile {
                    path: path(),
                    faults,
                }
            })?;
        }
        println!("{}: no fault", self.file.display());
        Ok(())
    }
}
