//! Judges by what the acted-upon side saw, and by what is true of the cluster: nothing that a node says counts.

use spanspur_leases::Millis;
use std::collections::BTreeMap;

/// One act, as the side that was acted upon recorded it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Act {
    /// When it arrived.
    pub at: Millis,
    /// When its period was won.
    pub won: Millis,
    /// When the permit for it ended.
    pub until: Millis,
    /// Its fencing number.
    pub period: u64,
    /// By whom.
    pub by: usize,
}

/// All acts of a run.
#[derive(Default)]
pub struct Judge {
    acts: BTreeMap<u64, Vec<Act>>,
    /// Times in which a missed period is excused: no majority was to be had.
    pub excused: Vec<(Millis, Millis)>,
}

/// What came of it.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Verdict {
    /// Acts in all.
    pub acts: u64,
    /// (duty, period) done more than once, or two periods whose permits fell together: each as a sentence.
    pub twice: Vec<String>,
    /// Acts that the side acted upon would refuse, since it has seen a higher number.
    pub fenced: u64,
    /// Gaps in which more than one period passed undone, without an excuse.
    pub gaps: Vec<String>,
    /// Single periods missed.
    pub missed_one: u64,
    /// The longest gap that is not excused, in periods.
    pub longest: f64,
    /// The shortest time from winning one period to winning the next, in periods.
    pub closest: f64,
}

impl Judge {
    /// Records an act.
    pub fn act(&mut self, duty: u64, act: Act) {
        self.acts.entry(duty).or_default().push(act);
    }

    /// For each duty whose last act before `at` was by that instance: how long after `at` the next one came, and how
    /// much later than one period after the last.
    pub fn after(&self, by: usize, at: Millis, every: Millis) -> Vec<(Millis, Millis)> {
        let of = |acts: &Vec<Act>| {
            let last = acts
                .iter()
                .rfind(|act| act.at <= at)
                .filter(|act| act.by == by)?;
            let next = acts.iter().find(|act| act.at > at)?;
            Some((next.at - at, (next.at - last.at).saturating_sub(every)))
        };
        self.acts.values().filter_map(of).collect()
    }

    /// Judges duties of one period, watched from `from` until `until`.
    pub fn verdict(&self, duties: &[u64], every: Millis, from: Millis, until: Millis) -> Verdict {
        let mut verdict = Verdict {
            closest: f64::INFINITY,
            ..Verdict::default()
        };
        let none = Vec::new();
        for duty in duties {
            let acts = self.acts.get(duty).unwrap_or(&none);
            verdict.acts += acts.len() as u64;
            let mut by_period: BTreeMap<u64, &Act> = BTreeMap::new();
            for act in acts {
                if let Some(first) = by_period.insert(act.period, act) {
                    verdict.twice.push(format!(
                        "duty {duty:016x} period {}: instance {} at {} ms and instance {} at {} ms",
                        act.period, first.by, first.at, act.by, act.at
                    ));
                }
            }
            let in_order: Vec<&Act> = by_period.values().copied().collect();
            for pair in in_order.windows(2) {
                let apart = pair[1].won.saturating_sub(pair[0].won);
                verdict.closest = verdict.closest.min(apart as f64 / every as f64);
                if pair[1].won < pair[0].until {
                    verdict.twice.push(format!(
                        "duty {duty:016x}: period {} was won {} ms before the permit for {} ended, by {} and {}",
                        pair[1].period,
                        pair[0].until - pair[1].won,
                        pair[0].period,
                        pair[1].by,
                        pair[0].by
                    ));
                }
            }
            let mut highest = 0;
            let mut times = vec![from];
            for act in acts {
                if act.period < highest {
                    verdict.fenced += 1;
                    continue;
                }
                highest = act.period;
                if act.at >= from && act.at <= until {
                    times.push(act.at);
                }
            }
            times.push(until);
            times.sort_unstable();
            for pair in times.windows(2) {
                let gap = pair[1] - pair[0];
                let share = gap as f64 / every as f64;
                let excused = self
                    .excused
                    .iter()
                    .any(|(a, b)| *a < pair[1] && pair[0] < *b);
                if excused {
                    continue;
                }
                verdict.longest = verdict.longest.max(share);
                // One period may pass undone, and the next may come as late as a take-over takes.
                if share > 2.75 {
                    verdict.gaps.push(format!(
                        "duty {duty:016x}: nothing from {} to {} ms, {share:.2} periods",
                        pair[0], pair[1]
                    ));
                } else if share >= 1.8 {
                    verdict.missed_one += 1;
                }
            }
        }
        verdict
    }
}

impl Verdict {
    /// Whether nothing was done twice and nothing missed for more than a period.
    pub fn sound(&self) -> bool {
        self.twice.is_empty() && self.gaps.is_empty()
    }
}
