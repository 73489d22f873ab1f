//! Emptying: which of the connections that stand move now, so that all have moved by a time and they do not fall
//! on the others in one wave.

use crate::Time;

/// A plan to move what stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// From then on connections move.
    pub from: Time,
    /// By then all that stand have been told; who comes later is told at the next look.
    pub until: Time,
}

impl Pace {
    /// How many of so many that were not told yet are told now, where the next look comes after `tick`.
    pub fn count(&self, now: Time, tick: Time, left: usize) -> usize {
        if now < self.from {
            return 0;
        }
        // An even pace: the share of what is left that this look has of the time left.
        let share = tick / (self.until - now).max(tick);
        (left as f64 * share).ceil() as usize
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_have_moved_in_time_and_never_many_at_once() {
        let pace = Pace {
            from: 0.5,
            until: 2.0,
        };
        let (mut left, mut now, mut most) = (300, 0.0, 0);
        while now < 2.0 {
            let count = pace.count(now, 0.02, left);
            assert!(now >= 0.5 || count == 0);
            (left, most, now) = (left - count, most.max(count), now + 0.02);
        }
        assert_eq!(left, 0);
        assert!(most <= 5, "{most} of 300 in one look of 75");
        assert_eq!(pace.count(3.0, 0.02, 7), 7);
    }
}
