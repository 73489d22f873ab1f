//! What the older process of a hot restart does when.

use Command::{ResumeAccepting, StopAccepting, TransferTo};
use Input::{Shutdown, SuccessorGone, SuccessorReady};
use spanspur_hot_restart::predecessor::{Command, Input, PredecessorState, SuccessorId};

const FIRST: SuccessorId = SuccessorId(1);
const SECOND: SuccessorId = SuccessorId(2);
const THIRD: SuccessorId = SuccessorId(3);

fn commands(inputs: &[Input]) -> Vec<Option<Command>> {
    let mut state = PredecessorState::default();
    inputs.iter().map(|input| state.handle(*input)).collect()
}

#[test]
fn clients_are_never_left_to_a_successor_that_has_gone() {
    assert_eq!(
        commands(&[SuccessorReady(FIRST), Shutdown]),
        [Some(StopAccepting), Some(TransferTo(FIRST))]
    );
    assert_eq!(
        commands(&[SuccessorReady(FIRST), SuccessorGone(FIRST), Shutdown]),
        [Some(StopAccepting), Some(ResumeAccepting), None]
    );
    assert_eq!(
        commands(&[SuccessorReady(FIRST), Shutdown, SuccessorGone(FIRST)]),
        [
            Some(StopAccepting),
            Some(TransferTo(FIRST)),
            Some(ResumeAccepting)
        ]
    );
    // One that disconnects before it was ready changes nothing; a second one counts after the first.
    assert_eq!(
        commands(&[
            SuccessorGone(FIRST),
            SuccessorReady(SECOND),
            SuccessorReady(THIRD),
            SuccessorGone(THIRD)
        ]),
        [None, Some(StopAccepting), None, None]
    );
    assert_eq!(
        commands(&[
            SuccessorReady(SECOND),
            SuccessorGone(SECOND),
            SuccessorReady(THIRD),
            Shutdown
        ]),
        [
            Some(StopAccepting),
            Some(ResumeAccepting),
            Some(StopAccepting),
            Some(TransferTo(THIRD))
        ]
    );
    // Ready after this process was told to shut down: the transfer begins at once.
    assert_eq!(
        commands(&[Shutdown, SuccessorReady(FIRST)]),
        [None, Some(TransferTo(FIRST))]
    );
}
