//! The balancer program: runs a sub-command, or balances connections until SIGTERM.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    spanspur::run()
}
