//! The balancer program: reads the command line and the configuration, and serves until SIGTERM.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    spanspur::run()
}
