//! The records that a source keeps of its followers.

use super::{MAX_FOLLOWERS, Source};
use crate::Millis;
use spanspur_membership::authentication::OpenedDatagram;
use std::collections::BTreeMap;

/// A follower is reachable for this long after it was last heard from. The time covers five polls, so that lost
/// datagrams alone do not make a follower unreachable.
pub const REACHABLE_FOR: Millis = 5000;
/// A follower is removed this long after it was last heard from.
pub const FORGET_AFTER: Millis = 24 * 3600 * 1000;
/// As [`FORGET_AFTER`], while more than seven eighths of the table of followers are in use.
pub const FORGET_AFTER_WHEN_FULL: Millis = 60_000;

/// A slot in the schedule of the rate limiter.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reservation {
    pub(super) at: Millis,
    pub(super) datagrams: u32,
}

/// The record of a follower at a source.
#[derive(Clone, Debug)]
pub(super) struct FollowerState {
    /// The follower's name; empty until a handshake has provided it.
    pub(super) name: String,
    pub(super) last_heard: Millis,
    /// Whether this source is the follower's primary source.
    pub(super) is_primary: bool,
    /// The sequence number of the last change of this source's incarnation that the follower has confirmed.
    pub(super) confirmed: u64,
    pub(super) reservation: Option<Reservation>,
}

impl FollowerState {
    pub(super) fn is_reachable(&self, now: Millis) -> bool {
        now < self.last_heard + REACHABLE_FOR
    }
}

/// The changes confirmed by all reachable followers whose primary source this is.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConfirmedByAll {
    /// The sequence number of the last change, `u64::MAX` if there are no such followers.
    pub(super) sequence: u64,
    /// The number of these followers.
    pub(super) followers: usize,
}

/// The followers of a source, by id.
#[derive(Clone, Debug)]
pub(super) struct Followers {
    max: usize,
    by_id: BTreeMap<u64, FollowerState>,
}

impl Followers {
    pub(super) fn new(max: usize) -> Self {
        Self {
            max: max.min(MAX_FOLLOWERS),
            by_id: BTreeMap::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(super) fn get(&self, id: u64) -> Option<&FollowerState> {
        self.by_id.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: u64) -> Option<&mut FollowerState> {
        self.by_id.get_mut(&id)
    }

    /// The followers whose primary source this is.
    pub(super) fn primary(&self) -> impl Iterator<Item = &FollowerState> {
        self.by_id.values().filter(|follower| follower.is_primary)
    }

    /// The reachable followers whose primary source this is.
    pub(super) fn reachable_primary(&self, now: Millis) -> impl Iterator<Item = &FollowerState> {
        self.primary()
            .filter(move |follower| follower.is_reachable(now))
    }

    /// The changes that all reachable followers whose primary source this is have confirmed.
    pub(super) fn confirmed_by_all(&self, now: Millis) -> ConfirmedByAll {
        let none = ConfirmedByAll {
            sequence: u64::MAX,
            followers: 0,
        };
        self.reachable_primary(now)
            .fold(none, |all, follower| ConfirmedByAll {
                sequence: all.sequence.min(follower.confirmed),
                followers: all.followers + 1,
            })
    }

    /// The record of a follower that was just heard from, created if necessary; `None` if there is no space for it.
    fn register(&mut self, now: Millis, id: u64) -> Option<&mut FollowerState> {
        if !self.by_id.contains_key(&id) && self.by_id.len() >= self.max {
            return None;
        }
        let follower = self.by_id.entry(id).or_insert_with(|| FollowerState {
            name: String::new(),
            last_heard: now,
            is_primary: false,
            confirmed: 0,
            reservation: None,
        });
        follower.last_heard = now;
        Some(follower)
    }

    /// Removes followers that were not heard from for too long, and returns their ids.
    pub(super) fn remove_expired(&mut self, now: Millis) -> Vec<u64> {
        let is_nearly_full = self.by_id.len() > self.max / 8 * 7;
        let forget_after = match is_nearly_full {
            true => FORGET_AFTER_WHEN_FULL,
            false => FORGET_AFTER,
        };
        let is_expired = |follower: &FollowerState| now >= follower.last_heard + forget_after;
        let expired = self
            .by_id
            .extract_if(.., |_, follower| is_expired(follower));
        expired.map(|(id, _)| id).collect()
    }
}

impl Source {
    /// The record of the sender of an authenticated datagram. If the table is full, the sender's session is dropped
    /// and `None` is returned.
    pub(super) fn register_follower(
        &mut self,
        now: Millis,
        opened: &OpenedDatagram<'_>,
    ) -> Option<&mut FollowerState> {
        let Some(follower) = self.followers.register(now, opened.sender) else {
            self.channel.drop_session(opened.sender);
            self.channel.count("followers-full");
            return None;
        };
        // A new incarnation of the follower may hold nothing.
        if opened.is_new_incarnation {
            follower.confirmed = 0;
        }
        Some(follower)
    }
}
