//! How a part of the program registers a duty: something done once a period by one instance of the cluster.
//!
//! ```
//! use spanspur_cluster::hook::{Duty, Outcome, Work};
//! use spanspur_leases::Permit;
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
//!     fn perform(&self, permit: Permit, work: Work) -> Outcome {
//!         Box::pin(async move {
//!             // Whatever takes long comes first; then look at the permit again, and act at once.
//!             if !work.holds(&permit) {
//!                 return Vec::new();
//!             }
//!             println!("period {} is ours", permit.period);
//!             Vec::new()
//!         })
//!     }
//! }
//! ```

use spanspur_leases::board::Entry;
use spanspur_leases::{Millis, Permit};
use std::future::Future;
use std::pin::Pin;
use std::time::Instant;

/// What a duty leaves on the board of all instances: nothing, or entries whose versions grow with the period.
pub type Outcome = Pin<Box<dyn Future<Output = Vec<Entry>>>>;

/// The clock by which permits are judged.
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
    pub fn holds(&self, permit: &Permit) -> bool {
        permit.holds(self.now())
    }
}

/// Something done once a period by one instance. The performer is dropped when the permit runs out, so that
/// nothing goes on into the next period; two periods of one duty never run at once at an instance.
pub trait Duty {
    /// Its name, alike at every instance.
    fn name(&self) -> String;
    /// Its period in milliseconds, alike at every instance.
    fn every_ms(&self) -> Millis;
    /// Does it. What it acts upon should be told [`Permit::period`] and refuse a lower one than it has seen.
    fn perform(&self, permit: Permit, work: Work) -> Outcome;
}
