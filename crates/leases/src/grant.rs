//! Clocks, and the grant under which a lease holder acts.

use crate::LeaseId;

/// A time on an instance's monotonic clock, or a duration, in milliseconds. Each instance's clock has its own origin.
pub type Millis = u64;

/// The readings of an instance's two clocks at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Clocks {
    /// Monotonic time from an arbitrary origin. The clock also advances while the process is suspended. All durations
    /// are measured with this clock.
    pub monotonic: Millis,
    /// Unix time. Used only by an acceptor that remembers nothing of a lease, in place of the terms that it may have
    /// forgotten.
    pub wall: Millis,
}

/// The right to carry out a lease's task once, in one term. The grant expires before any instance can win the next
/// term.
///
/// ```
/// use spanspur_leases::{LeaseGrant, LeaseId};
///
/// let grant = LeaseGrant {
///     lease: LeaseId::of("list"),
///     fencing_token: 7,
///     valid_until: 1_000,
/// };
/// assert!(grant.is_valid(999));
/// assert!(!grant.is_valid(1_000));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseGrant {
    /// The lease.
    pub lease: LeaseId,
    /// The number of the term. The numbers of a lease only increase, so a resource that the task writes to can reject
    /// an earlier holder.
    pub fencing_token: u64,
    /// When the grant expires, on the instance's own monotonic clock.
    pub valid_until: Millis,
}

impl LeaseGrant {
    /// Whether the holder may still act. Check this immediately before acting, and again after every slow step.
    pub fn is_valid(&self, now: Millis) -> bool {
        now < self.valid_until
    }
}
