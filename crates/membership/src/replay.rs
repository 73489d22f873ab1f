//! Detection of replayed datagrams. For each sender its recent incarnations are kept, and for each incarnation a
//! sliding window over the sequence numbers that were received.

use crate::authentication::{DatagramError, DatagramKind};
use std::collections::VecDeque;

/// Size of the window, in sequence numbers. A datagram whose number is lower than the highest one by this much or more
/// is rejected.
const WINDOW: u64 = 1024;
/// Number of bits in one word of the window.
const WORD_BITS: u64 = 64;
/// Maximum number of remembered incarnations of one sender.
const MAX_INCARNATIONS: usize = 16;

/// The state kept for another instance, as a sender and as a receiver.
#[derive(Debug, Default)]
pub(crate) struct Peer {
    windows: VecDeque<ReplayWindow>,
    /// The highest incarnation whose window was evicted; 0 for none. Any incarnation up to this one that has no window
    /// may be an evicted one, so its datagrams are rejected.
    evicted_incarnation: u64,
    /// The incarnation recorded last. Datagrams for the peer are addressed to it.
    pub current_incarnation: Option<u64>,
    /// The last sequence number used for datagrams to the current incarnation.
    pub last_sequence_number: u64,
}

/// The sequence numbers received from one incarnation.
#[derive(Debug)]
struct ReplayWindow {
    incarnation: u64,
    highest: u64,
    /// One bit for each of the last [`WINDOW`] sequence numbers.
    seen: [u64; (WINDOW / WORD_BITS) as usize],
}

impl Peer {
    /// Records a datagram from the peer and returns whether the peer's incarnation is new. Sequence numbers for
    /// datagrams to a new incarnation start above `first_sequence_number`. A replayed datagram is an error.
    pub fn record_datagram(
        &mut self,
        kind: DatagramKind,
        incarnation: u64,
        sequence_number: u64,
        first_sequence_number: u64,
    ) -> Result<bool, DatagramError> {
        let mut windows = self.windows.iter_mut();
        let known = windows.find(|window| window.incarnation == incarnation);
        if let Some(window) = known {
            // An answer has no sequence number. A replayed answer is harmless, since it repeats a known incarnation.
            let is_accepted =
                kind == DatagramKind::Answer || window.record_sequence_number(sequence_number);
            return is_accepted.then_some(false).ok_or(DatagramError::Replayed);
        }
        if incarnation <= self.evicted_incarnation {
            return Err(DatagramError::Replayed);
        }
        self.add_window(kind, incarnation, sequence_number);
        if self.current_incarnation != Some(incarnation) {
            self.current_incarnation = Some(incarnation);
            self.last_sequence_number = first_sequence_number;
        }
        Ok(true)
    }

    fn add_window(&mut self, kind: DatagramKind, incarnation: u64, sequence_number: u64) {
        if self.windows.len() >= MAX_INCARNATIONS {
            let oldest = self.windows.pop_front();
            let oldest = oldest.map_or(0, |window| window.incarnation);
            self.evicted_incarnation = self.evicted_incarnation.max(oldest);
        }
        let mut window = ReplayWindow {
            incarnation,
            highest: 0,
            seen: [0; (WINDOW / WORD_BITS) as usize],
        };
        if kind == DatagramKind::Data {
            window.record_sequence_number(sequence_number);
        }
        self.windows.push_back(window);
    }
}

impl ReplayWindow {
    /// Records a sequence number and returns whether it is new. 0, and a number that is older than the window, count as
    /// not new.
    fn record_sequence_number(&mut self, sequence_number: u64) -> bool {
        if sequence_number == 0 || sequence_number + WINDOW <= self.highest {
            return false;
        }
        if sequence_number > self.highest {
            let first_new = self.highest.max(sequence_number.saturating_sub(WINDOW)) + 1;
            for number in first_new..=sequence_number {
                self.seen[word_index(number)] &= !bit_mask(number);
            }
            self.highest = sequence_number;
        }
        let word = &mut self.seen[word_index(sequence_number)];
        let is_seen = *word & bit_mask(sequence_number) != 0;
        *word |= bit_mask(sequence_number);
        !is_seen
    }
}

fn word_index(sequence_number: u64) -> usize {
    (sequence_number % WINDOW / WORD_BITS) as usize
}

fn bit_mask(sequence_number: u64) -> u64 {
    1 << (sequence_number % WORD_BITS)
}
