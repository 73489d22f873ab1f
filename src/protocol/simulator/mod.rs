//! The simulator's protocol: one JSON batch of events a line, one line of steps in reply.
//!
//! `raw` holds the names of the wire, `event` and `step` map them to and from the terms of [`crate::api`], and
//! [`SimulatorAdapter`] keeps the balancers. A message that cannot be read ends the run with a [`SimulatorError`].

mod adapter;
mod error;
mod event;
mod raw;
mod step;

pub use adapter::SimulatorAdapter;
pub use error::{BatchError, EventError, ServeError, SimulatorError};

use std::io::{BufRead, Write};

/// Serves batches until the end of the input.
///
/// # Errors
/// The first message that cannot be read, handled or answered, by its number from 1 on.
pub fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), SimulatorError> {
    let mut adapter = SimulatorAdapter::default();
    for (place, line) in input.lines().enumerate() {
        let served = line
            .map_err(ServeError::Unreadable)
            .and_then(|line| Ok(adapter.handle_batch(&line)?))
            .and_then(|reply| write_reply(&mut output, &reply).map_err(ServeError::CannotReply));
        served.map_err(|source| SimulatorError {
            message: place + 1,
            source,
        })?;
    }
    Ok(())
}

fn write_reply(output: &mut impl Write, reply: &[u8]) -> std::io::Result<()> {
    output.write_all(reply)?;
    output.flush()
}
