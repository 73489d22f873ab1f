//! The part of the protocol that is the same in both processes of a hot restart: sending updates and reporting how many
//! descriptors the clients of each process hold.

use crate::api::RequestId;
use crate::discovery::endpoint_list::EndpointList;
use crate::invariants;
use crate::runtime::Runtime;
use crate::transfer::RequestIdClaims;
use spanspur_admin::maintenance::MaintenanceSet;
use spanspur_hot_restart::frame::Frame;
use spanspur_hot_restart::link::{LinkError, Sender};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Timeout for the first frame of the other process.
pub const HELLO_TIMEOUT: Duration = Duration::from_secs(1);
/// Capacity of the queue of updates to the other process, in frames.
pub const MAX_QUEUED_UPDATES: usize = 256;
/// Capacity of the queue of claims of request ids and their decisions, in frames.
pub const MAX_QUEUED_REQUEST_IDS: usize = 256;
/// Interval at which the number of descriptors held by clients is reported, if it has changed.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Descriptors that a process holds apart from its clients': standard streams, event loop, listeners, discovery, admin.
pub const OWN_DESCRIPTORS: usize = 20;

/// Sends claims of request ids, updates and the number of descriptors that clients hold in this process, until the link
/// fails or the sender of `updates` is dropped.
pub async fn send_updates(
    sender: &Sender,
    mut request_ids: mpsc::Receiver<Frame>,
    mut updates: mpsc::Receiver<Frame>,
    held_descriptors: impl Fn() -> usize,
) -> Result<(), LinkError> {
    let mut reported = None;
    loop {
        let pause = match reported {
            None => Duration::ZERO,
            Some(_) => REPORT_INTERVAL,
        };
        tokio::select! {
            biased;
            Some(request_id) = request_ids.recv() => sender.send(&request_id, &[]).await?,
            update = updates.recv() => match update {
                Some(update) => sender.send(&update, &[]).await?,
                None => return Ok(()),
            },
            () = sleep(pause) => {
                // Counted in turn: connections sent before the report are in transit, those after it are not.
                let turn = sender.turn().await;
                let held = held_descriptors() as u32;
                if reported.replace(held) != Some(held) {
                    turn.send(&Frame::HeldDescriptors(held), &[]).await?;
                }
            }
        }
    }
}

/// Applies an update or answers a claim from the other process.
pub fn apply_update(runtime: &Rc<Runtime>, request_ids: &RequestIdClaims, update: Frame) {
    match update {
        Frame::ClaimRequestId { number, id } => {
            let id = RequestId(id);
            request_ids.answer(number, id, runtime.serves_request(id));
        }
        Frame::RequestIdDecision { number, granted } => {
            request_ids.handle_decision(number, granted);
        }
        Frame::HeldDescriptors(held) => {
            let descriptors = held as usize + OWN_DESCRIPTORS;
            runtime.peer_processes.set_descriptors(descriptors);
            let limit = runtime.descriptor_limit();
            runtime.connection_limit.evict_excess(limit);
        }
        Frame::EndpointList(payload) => apply_endpoint_list(runtime, &payload),
        Frame::Maintenance(text) => match MaintenanceSet::parse(text.as_bytes()) {
            Ok(maintenance) => runtime.merge_maintenance(&maintenance),
            Err(error) => {
                tracing::warn!(%error, "invalid maintenance update from the other process");
            }
        },
        Frame::Draining(draining) => {
            runtime.lifecycle.set_draining(draining);
        }
        _ => invariants::count("unexpected frame from other process"),
    }
}

fn apply_endpoint_list(runtime: &Rc<Runtime>, payload: &[u8]) {
    let list: EndpointList = match postcard::from_bytes(payload) {
        Ok(list) => list,
        Err(error) => {
            return tracing::warn!(%error, "invalid endpoint list from the other process");
        }
    };
    // Each process watches discovery itself and may already have a newer list than the one it is sent.
    if list.revision <= runtime.list_revision() {
        return;
    }
    let kind = list.update_kind();
    runtime.update_endpoints(kind, list);
}
