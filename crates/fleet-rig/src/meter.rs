//! What the nodes of a world spend and see: their processor time, who sees whom, who has which news.

use rustix::time::{ClockId, clock_gettime};
use spanspur_cluster::node::Notice;
use spanspur_leases::GossipEntry;
use spanspur_leases::Millis;
use std::collections::BTreeMap;

/// Readings behind the cost of one.
const READINGS: u32 = 10_000;

/// Processor time of this thread so far, in nanoseconds, whatever else runs beside it.
pub fn thread_cpu_ns() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
}

/// Resident memory of this process, in bytes; 0 where it cannot be told.
pub fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/smaps_rollup").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("Rss:"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kb.unwrap_or(0) * 1024
}

/// Calls a node, and counts the processor time for it if there is a meter.
pub fn metered<T>(meter: &mut Option<Meter>, i: usize, call: impl FnOnce() -> T) -> T {
    let Some(meter) = meter else {
        return call();
    };
    let start = thread_cpu_ns();
    let result = call();
    meter.spent[i] += thread_cpu_ns() - start;
    meter.calls[i] += 1;
    result
}

/// See the module's page.
#[derive(Clone, Debug)]
pub struct Meter {
    /// By instance: nanoseconds on a processor within its node, readings of the clock among them.
    spent: Vec<u64>,
    calls: Vec<u64>,
    /// What one reading adds to a call, in nanoseconds.
    reading: f64,
    /// By instance, one bit for each other that it sees; and all of these bits together.
    seen: Vec<Vec<u64>>,
    pairs: usize,
    /// When all saw all for the first time, in true time.
    pub all_at: Option<Millis>,
    /// Times that an instance held another for gone, and that one learned so of itself.
    pub downs: u64,
    /// See `downs`.
    pub renewed: u64,
    /// By key of the board: how many were told of it, and when the last was.
    told: BTreeMap<u64, (usize, Millis)>,
}

impl Meter {
    /// For so many instances that see nobody yet.
    pub fn new(instances: usize) -> Self {
        let mut between = 0;
        for _ in 0..READINGS {
            let reading = thread_cpu_ns();
            between += thread_cpu_ns() - reading;
        }
        Self {
            spent: vec![0; instances],
            calls: vec![0; instances],
            reading: between as f64 / f64::from(READINGS),
            seen: vec![vec![0; instances.div_ceil(64)]; instances],
            pairs: 0,
            all_at: None,
            downs: 0,
            renewed: 0,
            told: BTreeMap::new(),
        }
    }

    /// Processor time within all nodes so far, in microseconds, the readings' own cost taken off.
    pub fn cpu_us(&self) -> f64 {
        let (spent, calls) = (
            self.spent.iter().sum::<u64>(),
            self.calls.iter().sum::<u64>(),
        );
        (spent as f64 - calls as f64 * self.reading).max(0.0) / 1000.0
    }

    /// The share of all ordered pairs of which the one sees the other.
    pub fn seen(&self) -> f64 {
        let all = self.seen.len() * self.seen.len().saturating_sub(1);
        self.pairs as f64 / all.max(1) as f64
    }

    /// Whether all see all.
    pub fn all_see_all(&self) -> bool {
        self.pairs == self.seen.len() * self.seen.len().saturating_sub(1)
    }

    /// How many were told of a key of the board by others, and when the last of them was.
    pub fn told(&self, key: u64) -> (usize, Millis) {
        self.told.get(&key).copied().unwrap_or_default()
    }

    pub(crate) fn notice(&mut self, now: Millis, i: usize, notice: &Notice) {
        let (who, there) = match notice {
            Notice::MemberUp(who) => (who, true),
            Notice::MemberDown(who) => (who, false),
            Notice::DownRefuted => {
                self.renewed += 1;
                return;
            }
            _ => return,
        };
        let other = who.name.strip_prefix('n').and_then(|n| n.parse().ok());
        let Some(other) = other.filter(|other: &usize| *other < self.seen.len()) else {
            return;
        };
        let (word, bit) = (&mut self.seen[i][other / 64], 1 << (other % 64));
        let known = *word & bit != 0;
        *word = if there { *word | bit } else { *word & !bit };
        match (there, known) {
            (true, false) => {
                self.pairs += 1;
                if self.all_see_all() {
                    self.all_at.get_or_insert(now);
                }
            }
            (false, true) => self.pairs -= 1,
            _ => {}
        }
        self.downs += u64::from(!there);
    }

    pub(crate) fn news(&mut self, now: Millis, entry: &GossipEntry) {
        let told = self.told.entry(entry.key).or_default();
        *told = (told.0 + 1, now);
    }

    /// An instance starts anew and sees nobody.
    pub(crate) fn forgets(&mut self, i: usize) {
        for word in &mut self.seen[i] {
            self.pairs -= word.count_ones() as usize;
            *word = 0;
        }
    }
}
