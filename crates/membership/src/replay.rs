//! Detection of replayed datagrams: of each sender its incarnations, and of each incarnation a sliding window over the
//! numbers that have come.

use crate::authentication::{DatagramError, DatagramKind};
use std::collections::VecDeque;

/// Numbers that may arrive out of order.
const WINDOW: u64 = 1024;
/// Numbers in one word of the window.
const WORD_BITS: u64 = 64;
/// Incarnations of one sender that are remembered.
const MAX_INCARNATIONS: usize = 16;

/// What is known of another instance, as a sender and as a receiver.
#[derive(Debug, Default)]
pub(crate) struct Peer {
    windows: VecDeque<ReplayWindow>,
    /// Incarnations up to this one may have been forgotten.
    forgotten_incarnation: u64,
    /// The incarnation that proved its presence last.
    pub current_incarnation: Option<u64>,
    /// The last number used for it.
    pub last_number: u64,
}

/// The numbers of one incarnation.
#[derive(Debug)]
struct ReplayWindow {
    incarnation: u64,
    highest: u64,
    /// One bit for each of the last [`WINDOW`] numbers.
    seen: [u64; (WINDOW / WORD_BITS) as usize],
}

impl Peer {
    /// Records a datagram of the peer and returns whether its incarnation is new. The numbers for a new incarnation
    /// start above `first_number`.
    pub fn record_datagram(
        &mut self,
        kind: DatagramKind,
        incarnation: u64,
        number: u64,
        first_number: u64,
    ) -> Result<bool, DatagramError> {
        let mut windows = self.windows.iter_mut();
        let known = windows.find(|window| window.incarnation == incarnation);
        if let Some(window) = known {
            // An answer has no number: repeated it says the same.
            let is_accepted = kind == DatagramKind::Answer || window.record_number(number);
            return is_accepted.then_some(false).ok_or(DatagramError::Replayed);
        }
        if incarnation <= self.forgotten_incarnation {
            return Err(DatagramError::Replayed);
        }
        self.add_window(kind, incarnation, number);
        if self.current_incarnation != Some(incarnation) {
            self.current_incarnation = Some(incarnation);
            self.last_number = first_number;
        }
        Ok(true)
    }

    fn add_window(&mut self, kind: DatagramKind, incarnation: u64, number: u64) {
        if self.windows.len() >= MAX_INCARNATIONS {
            let oldest = self.windows.pop_front();
            let oldest = oldest.map_or(0, |window| window.incarnation);
            self.forgotten_incarnation = self.forgotten_incarnation.max(oldest);
        }
        let mut window = ReplayWindow {
            incarnation,
            highest: 0,
            seen: [0; (WINDOW / WORD_BITS) as usize],
        };
        if kind == DatagramKind::Data {
            window.record_number(number);
        }
        self.windows.push_back(window);
    }
}

impl ReplayWindow {
    /// Records a number and returns whether it is new. One that is too old to tell is not.
    fn record_number(&mut self, number: u64) -> bool {
        if number == 0 || number + WINDOW <= self.highest {
            return false;
        }
        if number > self.highest {
            let first_skipped = self.highest.max(number.saturating_sub(WINDOW)) + 1;
            for skipped in first_skipped..=number {
                self.seen[word_of(skipped)] &= !bit_of(skipped);
            }
            self.highest = number;
        }
        let word = &mut self.seen[word_of(number)];
        let is_seen = *word & bit_of(number) != 0;
        *word |= bit_of(number);
        !is_seen
    }
}

fn word_of(number: u64) -> usize {
    (number % WINDOW / WORD_BITS) as usize
}

fn bit_of(number: u64) -> u64 {
    1 << (number % WORD_BITS)
}
