//! How a part of the program registers a duty: something done once a period by one instance of the cluster.
//!
//! ```
//! use spanspur_cluster::hook::{Duty, Outcome, Work};
//! use spanspur_leases::LeaseGrant;
//!
//! /// Writes a line about the cluster once a minute, wherever the duty is.
//! struct Heartbeat;
//!
//! impl Duty for Heartbeat {
//!     fn name(&self) -> String {
//!         "heartbeat".into()
//!     }
//!     fn every_ms(&self) -> u64 {
//!         60_000
//!     }
//!     fn perform(&self, grant: LeaseGrant, work: Work) -> Outcome {
//!         Box::pin(async move {
//!             // Whatever takes long comes first; then look at the grant again, and act at once.
//!             if !work.holds(&grant) {
//!                 return Vec::new();
//!             }
//!             println!("period {} is ours", grant.fencing_token);
//!             Vec::new()
//!         })
//!     }
//! }
//! ```

use spanspur_leases::GossipEntry;
use spanspur_leases::{LeaseGrant, Millis};
use std::future::Future;
use std::pin::Pin;
use std::time::Instant;

/// What a duty leaves on the board of all instances: nothing, or entries whose versions grow with the period.
pub type Outcome = Pin<Box<dyn Future<Output = Vec<GossipEntry>>>>;

/// The clock by which grants are judged.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Its origin.
    pub origin: Instant,
}

impl Work {
    /// Milliseconds on the instance's monotonic clock, which goes on while the process is frozen.
    pub fn now(&self) -> Millis {
        self.origin.elapsed().as_millis() as Millis
    }

    /// Whether the duty may still be done: look immediately before acting.
    pub fn holds(&self, grant: &LeaseGrant) -> bool {
        grant.is_valid(self.now())
    }
}

/// Something done once a period by one instance. The performer is dropped when the grant runs out, so that
/// nothing goes on into the next period; two periods of one duty never run at once at an instance.
pub trait Duty {
    /// Its name, alike at every instance.
    fn name(&self) -> String;
    /// Its period in milliseconds, alike at every instance.
    fn every_ms(&self) -> Millis;
    /// Does it. What it acts upon should be told [`LeaseGrant::period`] and refuse a lower one than it has seen.
    fn perform(&self, grant: LeaseGrant, work: Work) -> Outcome;
}
