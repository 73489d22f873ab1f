//! What the older process does when: it serves until a successor is ready, then stops accepting, transfers its
//! connections once it is told to shut down, and accepts again if the successor disappears first.

/// Number of a process that connected to replace this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SuccessorId(pub u64);

/// What happens to the older process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// A successor is ready to accept the clients.
    SuccessorReady(SuccessorId),
    /// A successor has disconnected.
    SuccessorGone(SuccessorId),
    /// This process is told to shut down.
    Shutdown,
}

/// What the older process has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Accept no more clients.
    StopAccepting,
    /// Accept no more clients, and transfer the connections to this successor.
    TransferTo(SuccessorId),
    /// Accept clients again, and migrate what could not be transferred.
    ResumeAccepting,
}

/// State of the older process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PredecessorState {
    successor: Option<SuccessorId>,
    shutting_down: bool,
}

impl PredecessorState {
    /// Handles an input. Of two successors the one that was ready first counts, until it disconnects.
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
