//! The bench's adapter: batches on standard input, replies on standard output.

use std::io::{self, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    match crowflow::wire::serve(io::stdin().lock(), BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("crowflow-drill: {what}");
            ExitCode::FAILURE
        }
    }
}
