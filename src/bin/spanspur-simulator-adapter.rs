//! The simulator's adapter: reads batches from standard input and writes replies to standard output.

use spanspur::protocol::simulator;
use std::io::{self, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    let output = BufWriter::new(io::stdout().lock());
    match simulator::serve(io::stdin().lock(), output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // The prefix is part of the interface and stays, although it is not the name of the program.
            eprintln!("spanspur-benchlink: {error}");
            ExitCode::FAILURE
        }
    }
}
