//! Draining on an admin request: migrates all clients while the process keeps running.

use super::migration::{MIGRATION_INTERVAL, Migrator};
use crate::runtime::Runtime;
use spanspur_admin::drain_schedule::DrainSchedule;
use std::rc::Rc;
use tokio::time::sleep;

/// Seconds for which clients may still arrive. The front proxy polls readiness ten times a second and stops sending
/// clients 0.2 s after a negative response. A client migrated earlier than this could be sent back here.
const ARRIVAL_TIME: f64 = 0.4;
/// Seconds until all connections have been told to migrate. All connections must be closed after 4 s. The remaining
/// half second is for clients that arrive late.
const DRAIN_TIME: f64 = 3.5;

/// Drains the balancer each time draining is requested, until the request is withdrawn.
pub async fn run(runtime: Rc<Runtime>) {
    let mut draining = runtime.lifecycle.subscribe_draining();
    loop {
        if draining.wait_for(|draining| *draining).await.is_err() {
            return;
        }
        tracing::info!(
            established = runtime.established_requests().len(),
            "draining"
        );
        let mut migrator = Migrator::new(runtime.clone(), schedule(&runtime));
        while *draining.borrow_and_update() {
            migrator.migrate_due();
            sleep(MIGRATION_INTERVAL).await;
        }
        tracing::info!(
            established = runtime.established_requests().len(),
            "draining ended"
        );
    }
}

fn schedule(runtime: &Runtime) -> DrainSchedule {
    let now = runtime.now();
    DrainSchedule {
        start: now + ARRIVAL_TIME,
        deadline: now + DRAIN_TIME,
    }
}
