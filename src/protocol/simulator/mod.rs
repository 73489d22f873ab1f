//! The simulator's protocol: each input line is a JSON batch of events, each output line the steps in reply.
//!
//! `raw` has the types for the JSON on the wire, `event` and `step` translate them to and from those of [`crate::api`],
//! and [`SimulatorAdapter`] holds the balancers. An invalid message ends the run with a [`SimulatorError`].

mod adapter;
mod error;
mod event;
mod raw;
mod step;

pub use adapter::SimulatorAdapter;
pub use error::{BatchError, EventError, ServeError, SimulatorError};

use std::io::{BufRead, Write};

/// Serves batches until the end of the input: writes and flushes one reply for each line that it reads.
///
/// # Errors
/// For the first message that cannot be read, handled or answered.
pub fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), SimulatorError> {
    let mut adapter = SimulatorAdapter::default();
    for (index, line) in input.lines().enumerate() {
        let served = line
            .map_err(ServeError::Unreadable)
            .and_then(|line| Ok(adapter.handle_batch(&line)?))
            .and_then(|reply| write_reply(&mut output, &reply).map_err(ServeError::CannotReply));
        served.map_err(|source| SimulatorError {
            message: index + 1,
            source,
        })?;
    }
    Ok(())
}

fn write_reply(output: &mut impl Write, reply: &[u8]) -> std::io::Result<()> {
    output.write_all(reply)?;
    output.flush()
}
