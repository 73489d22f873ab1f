//! Logging to standard error.

use spanspur_operator_config::LogFormat;
use std::io::IsTerminal;
use tracing_subscriber::EnvFilter;

/// Filter used if `RUST_LOG` is unset or empty.
const DEFAULT_FILTER: &str = "info";

/// Initializes logging. `RUST_LOG` selects the targets and levels; invalid directives in it are ignored.
///
/// # Panics
/// If logging is already initialized.
pub fn start(format: LogFormat) {
    let rust_log = std::env::var("RUST_LOG").ok();
    let rust_log = rust_log.filter(|filter| !filter.is_empty());
    let filter = EnvFilter::builder().parse_lossy(rust_log.as_deref().unwrap_or(DEFAULT_FILTER));
    let subscriber = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(std::io::stderr().is_terminal());
    match format {
        LogFormat::Text => subscriber.init(),
        LogFormat::Json => subscriber.json().flatten_event(true).init(),
    }
}
