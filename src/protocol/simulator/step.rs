//! Translates [`Action`]s to the steps of the wire.

use super::error::EventError;
use super::raw::Step;
use crate::api::{Action, ServerId};
use std::collections::HashMap;
use std::sync::Arc;

/// The step that tells the simulator to carry out an action of instance `who`; `names` has the servers' names.
pub(super) fn step_for_action(
    who: u64,
    action: Action,
    names: &HashMap<ServerId, Arc<str>>,
) -> Result<Step, EventError> {
    Ok(match action {
        Action::StartAttempt {
            id,
            server,
            timeout_at,
        } => Step::Relay {
            who,
            id: id.to_string(),
            host: names
                .get(&server)
                .cloned()
                .ok_or(EventError::UnnamedServer)?,
            until: timeout_at,
        },
        Action::Reject { id, retry_after } => Step::Shed {
            who,
            id: id.to_string(),
            hold_off: retry_after,
        },
        Action::Fail(id) => Step::FinishError {
            who,
            id: id.to_string(),
        },
        Action::CancelAttempt { id, attempt } => Step::Withdraw {
            who,
            id: id.to_string(),
            shot: attempt,
        },
        Action::Migrate(id) => Step::GoAway {
            who,
            id: id.to_string(),
        },
        Action::PollDiscovery => Step::Track { who, want: true },
        Action::SetTimer { after, token } => Step::SetAlarm {
            who,
            after,
            tag: token,
        },
    })
}
