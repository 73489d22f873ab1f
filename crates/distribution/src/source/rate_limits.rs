//! The limits on requests and responses.

use super::Source;
use super::followers::Reservation;
use super::packing::Chunk;
use super::requests::Requester;
use crate::Millis;
use crate::messages::{self, PollResponse, ResponseBody};
use crate::rate_limiter::RESERVATION_TOLERANCE;

const MILLIS_PER_SECOND: Millis = 1000;

/// Limits requests per second, counted in fixed windows of one second.
#[derive(Clone, Debug)]
pub(super) struct RequestLimit {
    per_second: u32,
    window_start: Millis,
    requests: u32,
}

impl RequestLimit {
    pub(super) fn new(now: Millis, per_second: u32) -> Self {
        Self {
            per_second,
            window_start: now,
            requests: 0,
        }
    }

    /// Counts a request, and returns whether it is within the limit.
    pub(super) fn admit(&mut self, now: Millis) -> bool {
        if now >= self.window_start + MILLIS_PER_SECOND {
            self.window_start = now;
            self.requests = 0;
        }
        self.requests += 1;
        self.requests <= self.per_second
    }
}

/// The part of a response that the rate limit allows.
enum Grant {
    /// This many datagrams may be sent now.
    Datagrams(u32),
    /// The request has to be repeated after this many milliseconds.
    RetryAfter(u32),
}

impl Source {
    /// Sends as many datagrams of a response as the rate limit allows, or a Retry-After response if it allows none.
    pub(super) fn respond_within_rate_limit(
        &mut self,
        now: Millis,
        requester: Requester,
        chunks: Vec<Chunk>,
    ) {
        match self.acquire(now, requester.id, chunks.len() as u32) {
            Grant::Datagrams(granted) => self.send_chunks(now, requester, chunks, granted),
            Grant::RetryAfter(wait) => {
                self.send_response(now, requester, ResponseBody::RetryAfter { wait }, &[]);
            }
        }
    }

    /// If the follower has a reservation that is not due yet, returns the time left until then. Otherwise uses the
    /// reservation or, if there is none or it was missed, acquires datagrams from the rate limiter. If none are
    /// available, reserves a slot.
    fn acquire(&mut self, now: Millis, follower: u64, datagrams: u32) -> Grant {
        let reservation = self.reservation(follower);
        if let Some(reservation) = reservation
            && now + RESERVATION_TOLERANCE < reservation.at
        {
            return Grant::RetryAfter((reservation.at - now) as u32);
        }
        self.set_reservation(follower, None);
        let reserved = reservation.map_or(0, |slot| self.redeem(now, slot, datagrams));
        let granted = match reserved {
            0 => self.rate_limiter.acquire(now, datagrams),
            reserved => reserved,
        };
        if granted > 0 {
            return Grant::Datagrams(granted);
        }
        let at = self.rate_limiter.reserve(now, datagrams);
        self.set_reservation(follower, Some(Reservation { at, datagrams }));
        self.channel.count("later");
        Grant::RetryAfter((at - now).min(u64::from(u32::MAX)) as u32)
    }

    /// The number of datagrams that a due reservation grants, 0 if the reservation was missed.
    fn redeem(&mut self, now: Millis, reservation: Reservation, datagrams: u32) -> u32 {
        if now > reservation.at + RESERVATION_TOLERANCE {
            self.channel.count("slots-missed");
            return 0;
        }
        reservation.datagrams.min(datagrams)
    }

    fn reservation(&self, follower: u64) -> Option<Reservation> {
        self.followers.get(follower)?.reservation
    }

    fn set_reservation(&mut self, follower: u64, reservation: Option<Reservation>) {
        if let Some(follower) = self.followers.get_mut(follower) {
            follower.reservation = reservation;
        }
    }

    fn send_chunks(&mut self, now: Millis, to: Requester, chunks: Vec<Chunk>, granted: u32) {
        self.channel.add("pieces", u64::from(granted));
        let granted = granted as usize;
        for (index, chunk) in chunks.into_iter().take(granted).enumerate() {
            let mut body = chunk.body;
            if let ResponseBody::Changes { last, .. }
            | ResponseBody::Entries { last, .. }
            | ResponseBody::LeafHashes { last } = &mut body
            {
                *last = index + 1 == granted;
            }
            self.send_response(now, to, body, &chunk.rows);
        }
    }

    /// Sends one datagram.
    pub(super) fn send_response(
        &mut self,
        now: Millis,
        to: Requester,
        body: ResponseBody,
        rows: &[u8],
    ) {
        let response = PollResponse {
            nonce: to.nonce,
            data_age: self.data_age(now),
            head: self.log.head(),
            body,
        };
        let mut bytes = messages::encode_response(&response);
        bytes.extend(rows);
        if !self.channel.send(to.id, to.address, &bytes) {
            self.channel.count("not-sealed");
        }
    }
}
