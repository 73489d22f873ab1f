//! Reads the operator's file that the command line names.

use super::error::OperatorFileError;
use crate::cli::Serve;
use spanspur_operator_config::OperatorConfig;

/// The operator's file, or its defaults if none is named.
///
/// # Errors
/// If the file cannot be read, or has faults.
pub fn read(options: &Serve) -> Result<OperatorConfig, OperatorFileError> {
    let Some(path) = &options.operator else {
        return Ok(OperatorConfig::default());
    };
    let text = std::fs::read_to_string(path).map_err(|source| OperatorFileError::Unreadable {
        path: path.clone(),
        source,
    })?;
    spanspur_operator_config::parse(&text).map_err(|faults| OperatorFileError::Invalid {
        path: path.clone(),
        faults,
    })
}
