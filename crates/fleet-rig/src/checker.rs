//! Checks that each lease's task is carried out once per term and without gaps. The evidence is what the target of the
//! task recorded and the true state of the simulation; nothing that a node reports about itself counts.

use spanspur_leases::Millis;
use std::collections::BTreeMap;

/// One execution of a lease's task, as its target recorded it. All times are true time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Act {
    /// When the execution reached the target.
    pub at: Millis,
    /// When the term was won.
    pub won: Millis,
    /// When the grant for the term expired.
    pub until: Millis,
    /// The term, which is the fencing token.
    pub period: u64,
    /// The instance that acted.
    pub by: usize,
}

/// All recorded executions of a run.
#[derive(Default)]
pub struct Checker {
    /// By lease, in the order of arrival.
    acts: BTreeMap<u64, Vec<Act>>,
    /// Spans of true time in which no majority was reachable. A gap that overlaps one is allowed.
    pub excused: Vec<(Millis, Millis)>,
}

/// The result of a check.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct CheckReport {
    /// The number of executions.
    pub acts: u64,
    /// Descriptions of terms that were executed more than once, and of terms whose grants overlapped.
    #[serde(rename = "twice")]
    pub duplicates: Vec<String>,
    /// The number of executions that the target would refuse, because it has seen a higher fencing token.
    pub fenced: u64,
    /// Descriptions of the gaps in which more than one term was missed and that are not excused.
    pub gaps: Vec<String>,
    /// The number of gaps in which a single term was missed.
    #[serde(rename = "missed_one")]
    pub single_misses: u64,
    /// The longest gap that is not excused, in intervals.
    #[serde(rename = "longest")]
    pub longest_gap: f64,
    /// The shortest time from winning one term to winning the next, in intervals; infinite if no lease had two terms.
    #[serde(rename = "closest")]
    pub shortest_term: f64,
}

impl Checker {
    /// Records an execution.
    pub fn record(&mut self, lease: u64, act: Act) {
        self.acts.entry(lease).or_default().push(act);
    }

    /// For each lease whose last execution up to `at` was by the given instance: the time from `at` to the next
    /// execution, and by how much that one came later than one interval after the last (0 if it did not).
    pub fn takeover_times(&self, by: usize, at: Millis, interval: Millis) -> Vec<(Millis, Millis)> {
        let takeover_time = |acts: &Vec<Act>| {
            let last = acts
                .iter()
                .rfind(|act| act.at <= at)
                .filter(|act| act.by == by)?;
            let next = acts.iter().find(|act| act.at > at)?;
            Some((next.at - at, (next.at - last.at).saturating_sub(interval)))
        };
        self.acts.values().filter_map(takeover_time).collect()
    }

    /// Checks leases that all have the same interval. Gaps are looked for from `from` to `until`, duplicates in the
    /// whole run.
    pub fn check(
        &self,
        leases: &[u64],
        interval: Millis,
        from: Millis,
        until: Millis,
    ) -> CheckReport {
        let mut report = CheckReport {
            shortest_term: f64::INFINITY,
            ..CheckReport::default()
        };
        let no_acts = Vec::new();
        for lease in leases {
            let acts = self.acts.get(lease).unwrap_or(&no_acts);
            report.acts += acts.len() as u64;
            let mut by_term: BTreeMap<u64, &Act> = BTreeMap::new();
            for act in acts {
                if let Some(first) = by_term.insert(act.period, act) {
                    report.duplicates.push(format!(
                        "duty {lease:016x} period {}: instance {} at {} ms and instance {} at {} ms",
                        act.period, first.by, first.at, act.by, act.at
                    ));
                }
            }
            let in_order: Vec<&Act> = by_term.values().copied().collect();
            for pair in in_order.windows(2) {
                let term_length = pair[1].won.saturating_sub(pair[0].won);
                report.shortest_term = report
                    .shortest_term
                    .min(term_length as f64 / interval as f64);
                if pair[1].won < pair[0].until {
                    report.duplicates.push(format!(
                        "duty {lease:016x}: period {} was won {} ms before the permit for {} ended, by {} and {}",
                        pair[1].period,
                        pair[0].until - pair[1].won,
                        pair[0].period,
                        pair[1].by,
                        pair[0].by
                    ));
                }
            }
            let mut highest_term = 0;
            let mut times = vec![from];
            for act in acts {
                if act.period < highest_term {
                    report.fenced += 1;
                    continue;
                }
                highest_term = act.period;
                if act.at >= from && act.at <= until {
                    times.push(act.at);
                }
            }
            times.push(until);
            times.sort_unstable();
            for pair in times.windows(2) {
                let gap = pair[1] - pair[0];
                let intervals = gap as f64 / interval as f64;
                let excused = self
                    .excused
                    .iter()
                    .any(|(a, b)| *a < pair[1] && pair[0] < *b);
                if excused {
                    continue;
                }
                report.longest_gap = report.longest_gap.max(intervals);
                // One term may be missed, and the next may be late by the time that a takeover takes.
                if intervals > 2.75 {
                    report.gaps.push(format!(
                        "duty {lease:016x}: nothing from {} to {} ms, {intervals:.2} periods",
                        pair[0], pair[1]
                    ));
                } else if intervals >= 1.8 {
                    report.single_misses += 1;
                }
            }
        }
        report
    }
}

impl CheckReport {
    /// Whether no term was executed twice, no two grants of a lease overlapped, and no more than one term in a row was
    /// missed.
    pub fn passed(&self) -> bool {
        self.duplicates.is_empty() && self.gaps.is_empty()
    }
}
