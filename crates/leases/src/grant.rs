//! Clocks, and the grant that a lease holder acts under.

use crate::LeaseId;

/// Milliseconds: a moment on an instance's monotonic clock, whose origin is its own, or a span of time.
pub type Millis = u64;

/// The two clocks of an instance at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Clocks {
    /// Monotonic, from any origin; it also advances while the process is frozen. All waits are measured with it.
    pub monotonic: Millis,
    /// Unix time. It only numbers the first term that an acceptor without memory hears of.
    pub wall: Millis,
}

/// The right to carry out a lease's task once, in one term. It expires before anyone may win the next term.
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
    /// The number of the term. It only grows, so that what the task acts upon can reject an older holder.
    pub fencing_token: u64,
    /// When the grant expires, on the instance's own monotonic clock.
    pub valid_until: Millis,
}

impl LeaseGrant {
    /// Whether the holder may still act. Check immediately before acting, and again after anything slow.
    pub fn is_valid(&self, now: Millis) -> bool {
        now < self.valid_until
    }
}
