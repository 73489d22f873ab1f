//! The log of the process, on standard error.

use spanspur_operator_config::LogFormat;
use std::io::IsTerminal;
use tracing_subscriber::EnvFilter;

/// What is logged where `RUST_LOG` does not say.
const DEFAULT_FILTER: &str = "info";

/// Starts the log; `RUST_LOG` selects what it holds.
pub fn start(format: LogFormat) {
    let selected = std::env::var("RUST_LOG").ok();
    let selected = selected.filter(|filter| !filter.is_empty());
    let filter = EnvFilter::builder().parse_lossy(selected.as_deref().unwrap_or(DEFAULT_FILTER));
    let log = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(std::io::stderr().is_terminal());
    match format {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().flatten_event(true).init(),
    }
}
