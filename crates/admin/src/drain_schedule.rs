//! The pace of a drain: which established connections migrate now, so that all have by a deadline and their clients do
//! not reach the other balancers in one wave.

use crate::Time;

/// When connections migrate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrainSchedule {
    /// The first migration.
    pub start: Time,
    /// All connections established until then have been told to migrate; later ones are told at the next tick.
    pub deadline: Time,
}

impl DrainSchedule {
    /// How many of the `remaining` connections are told to migrate now, where the next tick comes after `tick` seconds.
    pub fn due(&self, now: Time, tick: Time, remaining: usize) -> usize {
        if now < self.start {
            return 0;
        }
        // An even pace: this tick's share of the time left.
        let share = tick / (self.deadline - now).max(tick);
        (remaining as f64 * share).ceil() as usize
    }
}
