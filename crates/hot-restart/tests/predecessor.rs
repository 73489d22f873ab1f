//! State machine of the older process in a hot restart.

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
fn a_disconnected_successor_never_keeps_the_clients() {
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
    // A successor that disconnects before it was ready changes nothing. While one is ready, a second one is ignored.
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
    // A successor that is ready only after the shutdown began gets the connections at once.
    assert_eq!(
        commands(&[Shutdown, SuccessorReady(FIRST)]),
        [None, Some(TransferTo(FIRST))]
    );
}
