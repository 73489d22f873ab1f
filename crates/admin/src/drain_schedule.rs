//! The schedule of a drain: how many established connections migrate at each tick, so that all have migrated by a
//! deadline and their clients do not reconnect to the other balancers all at once.

use crate::Time;

/// The period over which connections are migrated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrainSchedule {
    /// Time of the first migration.
    pub start: Time,
    /// Time by which all connections established until then have been told to migrate. Later ones are told at the next
    /// tick.
    pub deadline: Time,
}

impl DrainSchedule {
    /// Returns how many of the `remaining` connections are to be told to migrate now, if the next tick follows after
    /// `tick` seconds.
    pub fn due(&self, now: Time, tick: Time, remaining: usize) -> usize {
        if now < self.start {
            return 0;
        }
        // Constant rate: the fraction of the remaining time that this tick covers.
        let fraction = tick / (self.deadline - now).max(tick);
        (remaining as f64 * fraction).ceil() as usize
    }
}
