//! From [`Action`]s to the wire's steps.

use super::error::EventError;
use super::raw::Step;
use crate::api::{Action, RequestId, ServerId};
use std::collections::HashMap;
use std::sync::Arc;

/// The step that tells instance `who` to carry out the action.
pub(super) fn step(
    who: u64,
    action: Action,
    names: &HashMap<ServerId, Arc<str>>,
) -> Result<Step, EventError> {
    Ok(match action {
        Action::StartAttempt { id, server, until } => Step::Relay {
            who,
            id: hexadecimal(id),
            host: names
                .get(&server)
                .cloned()
                .ok_or(EventError::UnnamedServer)?,
            until,
        },
        Action::Reject { id, retry_after } => Step::Shed {
            who,
            id: hexadecimal(id),
            hold_off: retry_after,
        },
        Action::Fail(id) => Step::FinishError {
            who,
            id: hexadecimal(id),
        },
        Action::CancelAttempt { id, attempt } => Step::Withdraw {
            who,
            id: hexadecimal(id),
            shot: attempt,
        },
        Action::Migrate(id) => Step::GoAway {
            who,
            id: hexadecimal(id),
        },
        Action::PollDiscovery => Step::Track { who, want: true },
        Action::SetTimer { after, token } => Step::SetAlarm {
            who,
            after,
            tag: token,
        },
    })
}

fn hexadecimal(id: RequestId) -> String {
    format!("{:016x}", id.0)
}
