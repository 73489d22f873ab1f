//! State machine of the older process. It stops accepting when a successor is ready, transfers its connections when it
//! is told to shut down, and accepts again if the successor disconnects.

/// Identifies a connected successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SuccessorId(pub u64);

/// An input of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// A successor is ready to accept clients.
    SuccessorReady(SuccessorId),
    /// A successor has disconnected.
    SuccessorGone(SuccessorId),
    /// This process is told to shut down.
    Shutdown,
}

/// What the older process has to do after an input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Stop accepting clients.
    StopAccepting,
    /// Stop accepting clients and transfer the connections to this successor.
    TransferTo(SuccessorId),
    /// Accept clients again and migrate the connections that were not transferred.
    ResumeAccepting,
}

/// State of the older process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PredecessorState {
    successor: Option<SuccessorId>,
    shutting_down: bool,
}

impl PredecessorState {
    /// Handles an input and returns the command to execute, if any. If several successors are ready, the first one is
    /// used until it disconnects, and the others are ignored.
    pub fn handle(&mut self, input: Input) -> Option<Command> {
        match input {
            Input::SuccessorReady(id) => self.successor_ready(id),
            Input::SuccessorGone(id) => self.successor_gone(id),
            Input::Shutdown => {
                self.shutting_down = true;
                self.successor.map(Command::TransferTo)
            }
        }
    }

    fn successor_ready(&mut self, id: SuccessorId) -> Option<Command> {
        if self.successor.is_some() {
            return None;
        }
        self.successor = Some(id);
        match self.shutting_down {
            true => Some(Command::TransferTo(id)),
            false => Some(Command::StopAccepting),
        }
    }

    fn successor_gone(&mut self, id: SuccessorId) -> Option<Command> {
        if self.successor != Some(id) {
            return None;
        }
        self.successor = None;
        Some(Command::ResumeAccepting)
    }
}
