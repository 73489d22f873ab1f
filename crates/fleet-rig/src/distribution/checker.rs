//! What was written, what each follower holds, and what of it is wrong.

use spanspur_leases::GossipEntry;
use spanspur_leases::Millis;
use std::collections::{BTreeMap, HashMap};
use xxhash_rust::xxh3::xxh3_64;

/// Descriptions that are kept; all are counted.
const MAX_TOLD: usize = 50;

/// What must not be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Wrong {
    /// A follower holds a lower version than it held before, or none any more.
    Back,
    /// A follower holds an entry that it held as removed, at a lower version.
    Returned,
    /// A follower holds what nobody wrote.
    Invented,
    /// Two values were written under one version.
    Twofold,
    /// All is healed and quiet, and a follower lacks what was written, or holds something else.
    Lost,
}

/// One change of the truth that the writer watches.
#[derive(Clone, Debug)]
pub struct Change {
    /// Its key.
    pub key: u64,
    /// When it was made.
    pub at: Millis,
    /// Which follower had it, or a later one of the key, in force when.
    pub in_force: Vec<(u32, Millis)>,
}

/// See the module's page.
#[derive(Debug, Default)]
pub struct Checker {
    /// What each version of a key was written with, and the last change of the key when it was.
    written: HashMap<(u64, u64), (u64, usize)>,
    /// By follower and key: the version held, whether as removed, and the last change that it contains.
    held: Vec<HashMap<u64, (u64, bool, usize)>>,
    /// All changes, and those of each key.
    pub changes: Vec<Change>,
    by_key: HashMap<u64, Vec<usize>>,
    /// How often what was wrong.
    pub wrong: BTreeMap<Wrong, u64>,
    /// The first of it, told.
    pub told: Vec<String>,
    /// Entries that were looked at.
    pub looks: u64,
}

/// Whether an entry of the rig says that the key is removed.
pub fn is_removed(entry: &GossipEntry) -> bool {
    entry.value.get(1) == Some(&2)
}

impl Checker {
    /// For so many followers.
    pub fn new(followers: usize) -> Self {
        Self {
            held: vec![HashMap::new(); followers],
            ..Self::default()
        }
    }

    /// Whether nothing was wrong.
    pub fn sound(&self) -> bool {
        self.wrong.is_empty()
    }

    /// Puts down something wrong.
    pub fn wrong(&mut self, what: Wrong, text: String) {
        *self.wrong.entry(what).or_default() += 1;
        if self.told.len() < MAX_TOLD {
            self.told.push(format!("{what:?}: {text}"));
        }
    }

    /// The truth has changed.
    pub fn changed(&mut self, now: Millis, key: u64) {
        self.by_key.entry(key).or_default().push(self.changes.len());
        self.changes.push(Change {
            key,
            at: now,
            in_force: Vec::new(),
        });
    }

    /// A writer has written an entry.
    pub fn wrote(&mut self, now: Millis, by: usize, entry: &GossipEntry) {
        let value = xxh3_64(&entry.value);
        let last = self.by_key.get(&entry.key).and_then(|of| of.last());
        let change = last.map_or(0, |last| last + 1);
        let place = (entry.key, entry.version);
        let (before, _) = *self.written.entry(place).or_insert((value, change));
        if before != value {
            let text = format!("{now} c{by} writes {place:x?} anew");
            self.wrong(Wrong::Twofold, text);
        }
    }

    /// All keys that were ever written.
    pub fn keys(&self) -> impl Iterator<Item = u64> + use<> {
        let keys: std::collections::BTreeSet<u64> = self.written.keys().map(|at| at.0).collect();
        keys.into_iter()
    }

    /// A follower starts with nothing.
    pub fn restarted(&mut self, follower: usize) {
        self.held[follower].clear();
    }

    /// What a follower holds for a key.
    pub fn holds(&mut self, now: Millis, follower: usize, entry: &GossipEntry) {
        self.looks += 1;
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
                self.wrong(Wrong::Invented, text());
                0
            }
        };
        if let Some((version, was_removed, _)) = before
            && entry.version < version
        {
            let what = match was_removed && !removed {
                true => Wrong::Returned,
                false => Wrong::Back,
            };
            self.wrong(what, text());
        }
        let seen = before.map_or(0, |before| before.2);
        if let Some(of) = self.by_key.get(&entry.key) {
            for n in of.iter().filter(|n| (seen..change).contains(*n)) {
                self.changes[*n].in_force.push((follower as u32, now));
            }
        }
        let now_held = (entry.version, removed, change.max(seen));
        self.held[follower].insert(entry.key, now_held);
    }

    /// All that a follower holds: what it held before must be among it.
    pub fn scan<'a>(
        &mut self,
        now: Millis,
        follower: usize,
        entries: impl Iterator<Item = &'a GossipEntry>,
    ) {
        let mut count = 0;
        for entry in entries {
            count += 1;
            self.holds(now, follower, entry);
        }
        let known = self.held[follower].len();
        if count < known {
            let text = format!("{now} follower {follower}: {count} of {known} entries left");
            self.wrong(Wrong::Back, text);
        }
    }

    /// All is quiet: a follower must hold exactly this.
    pub fn last_look<'a>(
        &mut self,
        now: Millis,
        follower: usize,
        entries: impl Iterator<Item = &'a GossipEntry>,
        right: &BTreeMap<u64, GossipEntry>,
    ) {
        let (mut count, mut differ) = (0, Vec::new());
        for entry in entries {
            count += 1;
            if right.get(&entry.key) != Some(entry) {
                differ.push((entry.key, entry.version));
            }
        }
        if count != right.len() || !differ.is_empty() {
            let first = differ.first();
            let text = format!(
                "{now} follower {follower}: {count} entries for {}, {} differ, first {first:x?} for {:x?}",
                right.len(),
                differ.len(),
                first.map(|(key, _)| right.get(key).map(|e| e.version))
            );
            self.wrong(Wrong::Lost, text);
        }
    }
}
