//! Measures the nodes of a simulation: their processor time, which members they see, and how entries spread.

use rustix::time::{ClockId, clock_gettime};
use spanspur_cluster::node::Notice;
use spanspur_leases::GossipEntry;
use spanspur_leases::Millis;
use std::collections::BTreeMap;

/// The number of clock readings over which the cost of one reading is averaged.
const READINGS: u32 = 10_000;

/// The processor time of the calling thread so far, in nanoseconds. Other threads do not count.
pub fn thread_cpu_ns() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
}

/// The resident memory of this process, in bytes; 0 if it cannot be read.
pub fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/smaps_rollup").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("Rss:"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kb.unwrap_or(0) * 1024
}

/// Calls a node and adds the processor time of the call to the meter, if there is one.
pub fn metered<T>(meter: &mut Option<Meter>, i: usize, call: impl FnOnce() -> T) -> T {
    let Some(meter) = meter else {
        return call();
    };
    let start = thread_cpu_ns();
    let result = call();
    meter.cpu_ns[i] += thread_cpu_ns() - start;
    meter.calls[i] += 1;
    result
}

/// The measurements of one run.
#[derive(Clone, Debug)]
pub struct Meter {
    /// Processor time within the node, in nanoseconds, by instance. Reading the clock is included.
    cpu_ns: Vec<u64>,
    /// The number of measured calls, by instance.
    calls: Vec<u64>,
    /// The processor time that reading the clock adds to a call, in nanoseconds.
    clock_overhead: f64,
    /// By instance, a bit set of the other instances that it sees as alive.
    visible: Vec<Vec<u64>>,
    /// The number of bits set in `visible`.
    visible_pairs: usize,
    /// The true time at which all instances saw all others for the first time.
    pub converged_at: Option<Millis>,
    /// How often an instance considered another one down.
    pub downs: u64,
    /// How often an instance learned that others considered it down, and refuted it.
    pub refutations: u64,
    /// By key of an entry: the number of receipts from other instances, summed over all instances, and the true time of
    /// the last one.
    received: BTreeMap<u64, (usize, Millis)>,
}

impl Meter {
    /// Creates a meter for this many instances, none of which sees another yet.
    pub fn new(instances: usize) -> Self {
        let mut elapsed = 0;
        for _ in 0..READINGS {
            let start = thread_cpu_ns();
            elapsed += thread_cpu_ns() - start;
        }
        Self {
            cpu_ns: vec![0; instances],
            calls: vec![0; instances],
            clock_overhead: elapsed as f64 / f64::from(READINGS),
            visible: vec![vec![0; instances.div_ceil(64)]; instances],
            visible_pairs: 0,
            converged_at: None,
            downs: 0,
            refutations: 0,
            received: BTreeMap::new(),
        }
    }

    /// The processor time within all nodes so far, in microseconds, without the cost of reading the clock.
    pub fn cpu_us(&self) -> f64 {
        let (cpu_ns, calls) = (
            self.cpu_ns.iter().sum::<u64>(),
            self.calls.iter().sum::<u64>(),
        );
        (cpu_ns as f64 - calls as f64 * self.clock_overhead).max(0.0) / 1000.0
    }

    /// The share of all ordered pairs of instances in which the first sees the second.
    pub fn visible_share(&self) -> f64 {
        let pairs = self.visible.len() * self.visible.len().saturating_sub(1);
        self.visible_pairs as f64 / pairs.max(1) as f64
    }

    /// Whether every instance sees all others.
    pub fn converged(&self) -> bool {
        self.visible_pairs == self.visible.len() * self.visible.len().saturating_sub(1)
    }

    /// The number of receipts of entries with this key from other instances, summed over all instances, and the true
    /// time of the last one; zeros if there was none.
    pub fn receipts(&self, key: u64) -> (usize, Millis) {
        self.received.get(&key).copied().unwrap_or_default()
    }

    pub(crate) fn record_notice(&mut self, now: Millis, i: usize, notice: &Notice) {
        let (member, is_up) = match notice {
            Notice::MemberUp(member) => (member, true),
            Notice::MemberDown(member) => (member, false),
            Notice::DownRefuted => {
                self.refutations += 1;
                return;
            }
            _ => return,
        };
        let other = member.name.strip_prefix('n').and_then(|n| n.parse().ok());
        let Some(other) = other.filter(|other: &usize| *other < self.visible.len()) else {
            return;
        };
        let (word, bit) = (&mut self.visible[i][other / 64], 1 << (other % 64));
        let was_up = *word & bit != 0;
        *word = if is_up { *word | bit } else { *word & !bit };
        match (is_up, was_up) {
            (true, false) => {
                self.visible_pairs += 1;
                if self.converged() {
                    self.converged_at.get_or_insert(now);
                }
            }
            (false, true) => self.visible_pairs -= 1,
            _ => {}
        }
        self.downs += u64::from(!is_up);
    }

    pub(crate) fn record_entry(&mut self, now: Millis, entry: &GossipEntry) {
        let receipts = self.received.entry(entry.key).or_default();
        *receipts = (receipts.0 + 1, now);
    }

    /// Records that an instance has restarted and sees no other.
    pub(crate) fn reset_view(&mut self, i: usize) {
        for word in &mut self.visible[i] {
            self.visible_pairs -= word.count_ones() as usize;
            *word = 0;
        }
    }
}
