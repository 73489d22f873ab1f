//! Records what was written and what each follower holds, and reports violations.

use spanspur_leases::GossipEntry;
use spanspur_leases::Millis;
use std::collections::{BTreeMap, HashMap};
use xxhash_rust::xxh3::xxh3_64;

/// Number of violations whose description is kept; all are counted.
const MAX_DESCRIPTIONS: usize = 50;

/// A violated guarantee. The variant names appear in results.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// A follower holds a lower version of an entry than before, or has lost an entry.
    Back,
    /// A follower that held a removal of an entry holds the entry again, at a lower version.
    Returned,
    /// A follower holds an entry that was never written.
    Invented,
    /// Two different values were written under the same key and version.
    Twofold,
    /// After recovery a follower or the writer lacks an entry, or holds a different one.
    Lost,
}

/// One change of the list at discovery.
#[derive(Clone, Debug)]
pub struct Change {
    /// The changed key.
    pub key: u64,
    /// Time of the change, in ms.
    pub at: Millis,
    /// Followers that hold the change or a later change of the key, each with the time when it first did, in ms.
    pub effective_at: Vec<(u32, Millis)>,
}

/// Checks what followers hold against what was written.
#[derive(Debug, Default)]
pub struct Checker {
    /// By key and version: the hash of the value, and the end of the range of `changes` that the write includes: the
    /// index of the key's last change before the write plus one, or 0.
    written: HashMap<(u64, u64), (u64, usize)>,
    /// By follower and key: the version held, whether it is a removal, and the end of the range of `changes` that it
    /// includes, as in `written`.
    held: Vec<HashMap<u64, (u64, bool, usize)>>,
    /// All changes, in order.
    pub changes: Vec<Change>,
    /// The indices in `changes` of each key's changes.
    changes_by_key: HashMap<u64, Vec<usize>>,
    /// Number of violations of each kind.
    pub violations: BTreeMap<Violation, u64>,
    /// Descriptions of the first violations.
    pub descriptions: Vec<String>,
    /// Number of checked entries.
    pub checks: u64,
}

/// Whether an entry of the simulation marks its key as removed.
pub fn is_removed(entry: &GossipEntry) -> bool {
    entry.value.get(1) == Some(&2)
}

impl Checker {
    /// Creates a checker for a number of followers.
    pub fn new(followers: usize) -> Self {
        Self {
            held: vec![HashMap::new(); followers],
            ..Self::default()
        }
    }

    /// Whether there was no violation.
    pub fn sound(&self) -> bool {
        self.violations.is_empty()
    }

    /// Records a violation.
    pub fn report(&mut self, kind: Violation, text: String) {
        *self.violations.entry(kind).or_default() += 1;
        if self.descriptions.len() < MAX_DESCRIPTIONS {
            self.descriptions.push(format!("{kind:?}: {text}"));
        }
    }

    /// Records a change of the list at discovery.
    pub fn record_change(&mut self, now: Millis, key: u64) {
        self.changes_by_key
            .entry(key)
            .or_default()
            .push(self.changes.len());
        self.changes.push(Change {
            key,
            at: now,
            effective_at: Vec::new(),
        });
    }

    /// Records an entry written by a control instance; reports a second value for the same key and version.
    pub fn record_write(&mut self, now: Millis, writer: usize, entry: &GossipEntry) {
        let value = xxh3_64(&entry.value);
        let last = self
            .changes_by_key
            .get(&entry.key)
            .and_then(|indices| indices.last());
        let change = last.map_or(0, |last| last + 1);
        let place = (entry.key, entry.version);
        let (before, _) = *self.written.entry(place).or_insert((value, change));
        if before != value {
            let text = format!("{now} c{writer} writes {place:x?} anew");
            self.report(Violation::Twofold, text);
        }
    }

    /// All keys that were ever written.
    pub fn keys(&self) -> impl Iterator<Item = u64> + use<> {
        let keys: std::collections::BTreeSet<u64> = self.written.keys().map(|at| at.0).collect();
        keys.into_iter()
    }

    /// Forgets what a follower held; it restarts without state.
    pub fn reset_follower(&mut self, follower: usize) {
        self.held[follower].clear();
    }

    /// Checks an entry that a follower holds, and records the changes that have taken effect with it.
    pub fn check_entry(&mut self, now: Millis, follower: usize, entry: &GossipEntry) {
        self.checks += 1;
        let before = self.held[follower].get(&entry.key).copied();
        let removed = is_removed(entry);
        if before.is_some_and(|before| before.0 == entry.version && before.1 == removed) {
            return;
        }
        let text = || {
            let GossipEntry { key, version, .. } = entry;
            format!("{now} follower {follower}: {key:x} at {version:x}, before {before:x?}")
        };
        let value = xxh3_64(&entry.value);
        let change = match self.written.get(&(entry.key, entry.version)) {
            Some((written, change)) if *written == value => *change,
            _ => {
                self.report(Violation::Invented, text());
                0
            }
        };
        if let Some((version, was_removed, _)) = before
            && entry.version < version
        {
            let kind = match was_removed && !removed {
                true => Violation::Returned,
                false => Violation::Back,
            };
            self.report(kind, text());
        }
        let seen = before.map_or(0, |before| before.2);
        if let Some(indices) = self.changes_by_key.get(&entry.key) {
            for n in indices.iter().filter(|n| (seen..change).contains(*n)) {
                self.changes[*n].effective_at.push((follower as u32, now));
            }
        }
        let now_held = (entry.version, removed, change.max(seen));
        self.held[follower].insert(entry.key, now_held);
    }

    /// Checks all entries of a follower; reports if there are fewer than it held before.
    pub fn check_all<'a>(
        &mut self,
        now: Millis,
        follower: usize,
        entries: impl Iterator<Item = &'a GossipEntry>,
    ) {
        let mut count = 0;
        for entry in entries {
            count += 1;
            self.check_entry(now, follower, entry);
        }
        let known = self.held[follower].len();
        if count < known {
            let text = format!("{now} follower {follower}: {count} of {known} entries left");
            self.report(Violation::Back, text);
        }
    }

    /// Checks after recovery that a follower holds exactly the expected entries.
    pub fn final_check<'a>(
        &mut self,
        now: Millis,
        follower: usize,
        entries: impl Iterator<Item = &'a GossipEntry>,
        expected: &BTreeMap<u64, GossipEntry>,
    ) {
        let (mut count, mut differ) = (0, Vec::new());
        for entry in entries {
            count += 1;
            if expected.get(&entry.key) != Some(entry) {
                differ.push((entry.key, entry.version));
            }
        }
        if count != expected.len() || !differ.is_empty() {
            let first = differ.first();
            let text = format!(
                "{now} follower {follower}: {count} entries for {}, {} differ, first {first:x?} for {:x?}",
                expected.len(),
                differ.len(),
                first.map(|(key, _)| expected.get(key).map(|e| e.version))
            );
            self.report(Violation::Lost, text);
        }
    }
}
