//! The interface of a task that one instance of the cluster runs per interval.
//!
//! ```
//! use spanspur_cluster::lease_task::{GrantClock, LeaseTask, TaskFuture};
//! use spanspur_leases::LeaseGrant;
//!
//! /// Prints a line once a minute, at the lease's holder.
//! struct Heartbeat;
//!
//! impl LeaseTask for Heartbeat {
//!     fn name(&self) -> String {
//!         "heartbeat".into()
//!     }
//!     fn interval_ms(&self) -> u64 {
//!         60_000
//!     }
//!     fn run(&self, grant: LeaseGrant, clock: GrantClock) -> TaskFuture {
//!         Box::pin(async move {
//!             // Do slow work first. Then check the grant again and act immediately.
//!             if !clock.is_valid(&grant) {
//!                 return Vec::new();
//!             }
//!             println!("holding term {}", grant.fencing_token);
//!             Vec::new()
//!         })
//!     }
//! }
//! ```

use spanspur_leases::{GossipEntry, LeaseGrant, Millis};
use std::future::Future;
use std::pin::Pin;
use std::time::Instant;

/// The future of a running task. Its output is the entries to be published to the gossip stores of all instances,
/// possibly none. Their versions must increase with the fencing token.
pub type TaskFuture = Pin<Box<dyn Future<Output = Vec<GossipEntry>>>>;

/// The clock on which grants expire.
#[derive(Clone, Copy, Debug)]
pub struct GrantClock {
    /// The origin of the clock.
    pub origin: Instant,
}

impl GrantClock {
    /// The time since the origin in milliseconds, on a monotonic clock that advances while the process is frozen.
    pub fn now(&self) -> Millis {
        self.origin.elapsed().as_millis() as Millis
    }

    /// Whether a task may still act under this grant. Tasks call this immediately before they act.
    pub fn is_valid(&self, grant: &LeaseGrant) -> bool {
        grant.is_valid(self.now())
    }
}

/// A task that one instance of the cluster runs per interval. Its future is dropped when the grant expires, so that it
/// does not continue into the next term: an instance never runs two terms of a lease at the same time.
pub trait LeaseTask {
    /// The name of the task's lease, the same at every instance.
    fn name(&self) -> String;
    /// The interval in milliseconds, the same at every instance.
    fn interval_ms(&self) -> Millis;
    /// Starts the task. The resource that the task acts on should be given the [`LeaseGrant::fencing_token`] and reject
    /// tokens lower than the highest that it has seen.
    fn run(&self, grant: LeaseGrant, clock: GrantClock) -> TaskFuture;
}
