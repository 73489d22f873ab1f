//! The bench's adapter: batches on standard input, replies on standard output.

use std::io::{self, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    match spanspur::protocol::simulator::serve(
        io::stdin().lock(),
        BufWriter::new(io::stdout().lock()),
    ) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("spanspur-benchlink: {what}");
            ExitCode::FAILURE
        }
    }
}
