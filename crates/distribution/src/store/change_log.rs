//! The order in which entries arrived at a source.

use std::collections::BTreeMap;

/// A change in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The sequence number, counted from 1 in each incarnation of the source.
    pub sequence: u64,
    /// The key that changed.
    pub key: u64,
}

/// The order in which entries arrived at a source in its current incarnation. The log retains the last change of each
/// key, and of those changes the last `capacity`.
#[derive(Clone, Debug)]
pub struct ChangeLog {
    capacity: usize,
    head: u64,
    floor: u64,
    key_by_sequence: BTreeMap<u64, u64>,
    sequence_by_key: BTreeMap<u64, u64>,
}

impl ChangeLog {
    /// An empty log that retains `capacity` changes, at least one.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            head: 0,
            floor: 0,
            key_by_sequence: BTreeMap::new(),
            sequence_by_key: BTreeMap::new(),
        }
    }

    /// The sequence number of the last change, 0 before the first.
    pub fn head(&self) -> u64 {
        self.head
    }

    /// The highest sequence number that was dropped for lack of capacity, 0 if none was. A cursor below this number is
    /// too old.
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// Appends a change of a key; returns its sequence number.
    pub fn push(&mut self, key: u64) -> u64 {
        self.head += 1;
        if let Some(previous) = self.sequence_by_key.insert(key, self.head) {
            self.key_by_sequence.remove(&previous);
        }
        self.key_by_sequence.insert(self.head, key);
        self.drop_oldest();
        self.head
    }

    fn drop_oldest(&mut self) {
        if self.key_by_sequence.len() > self.capacity
            && let Some((sequence, key)) = self.key_by_sequence.pop_first()
        {
            self.sequence_by_key.remove(&key);
            self.floor = sequence;
        }
    }

    /// The changes after a sequence number, oldest first.
    pub fn since(&self, sequence: u64) -> impl Iterator<Item = Change> + '_ {
        let later = self.key_by_sequence.range(sequence.saturating_add(1)..);
        later.map(|(sequence, key)| Change {
            sequence: *sequence,
            key: *key,
        })
    }
}
