//! How a part of the program registers a task that one instance of the cluster carries out per interval.
//!
//! ```
//! use spanspur_cluster::lease_task::{GrantClock, LeaseTask, TaskResult};
//! use spanspur_leases::LeaseGrant;
//!
//! /// Writes a line about the cluster once a minute, at the lease's holder.
//! struct Heartbeat;
//!
//! impl LeaseTask for Heartbeat {
//!     fn name(&self) -> String {
//!         "heartbeat".into()
//!     }
//!     fn interval_ms(&self) -> u64 {
//!         60_000
//!     }
//!     fn run(&self, grant: LeaseGrant, clock: GrantClock) -> TaskResult {
//!         Box::pin(async move {
//!             // Whatever is slow comes first; then check the grant again, and act at once.
//!             if !clock.is_valid(&grant) {
//!                 return Vec::new();
//!             }
//!             println!("term {} is ours", grant.fencing_token);
//!             Vec::new()
//!         })
//!     }
//! }
//! ```

use spanspur_leases::{GossipEntry, LeaseGrant, Millis};
use std::future::Future;
use std::pin::Pin;
use std::time::Instant;

/// A running task. It ends with the entries to be published to all instances' gossip stores, perhaps none; their
/// versions grow with the fencing token.
pub type TaskResult = Pin<Box<dyn Future<Output = Vec<GossipEntry>>>>;

/// The clock on which grants expire.
#[derive(Clone, Copy, Debug)]
pub struct GrantClock {
    /// Its origin.
    pub origin: Instant,
}

impl GrantClock {
    /// Milliseconds on the instance's monotonic clock, which advances while the process is frozen.
    pub fn now(&self) -> Millis {
        self.origin.elapsed().as_millis() as Millis
    }

    /// Whether a task may still act under this grant: check immediately before acting.
    pub fn is_valid(&self, grant: &LeaseGrant) -> bool {
        grant.is_valid(self.now())
    }
}

/// A task that one instance carries out per interval. It is dropped when its grant expires, so that nothing goes on
/// into the next term; two terms of one lease never run at once at an instance.
pub trait LeaseTask {
    /// The name of its lease, the same at every instance.
    fn name(&self) -> String;
    /// Its interval in milliseconds, the same at every instance.
    fn interval_ms(&self) -> Millis;
    /// Starts the task. What it acts upon should get [`LeaseGrant::fencing_token`] and reject a lower one than it has
    /// seen.
    fn run(&self, grant: LeaseGrant, clock: GrantClock) -> TaskResult;
}
