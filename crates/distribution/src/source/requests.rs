//! Handling of requests.

use super::Source;
use super::packing::{Chunk, branch_hashes, changes, entries_from, leaf_hashes, newer_entries};
use crate::Millis;
use crate::messages::{self, LeafVersions, MAX_WINDOW, PollRequest, Query, ResponseBody};
use spanspur_membership::authentication::OpenedDatagram;
use std::net::SocketAddr;

/// The follower to which a response is sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Requester {
    pub(super) id: u64,
    pub(super) address: SocketAddr,
    /// The nonce of the request, which the response repeats.
    pub(super) nonce: u32,
}

/// A response. Only responses with rows count against the rate limit.
enum Reply {
    Short(ResponseBody),
    Rows(Vec<Chunk>),
}

impl Source {
    /// Handles an authenticated request, unless the limit of requests per second is reached.
    pub(super) fn receive_request(
        &mut self,
        now: Millis,
        from: SocketAddr,
        opened: &OpenedDatagram<'_>,
    ) {
        let known = self.followers.get(opened.sender);
        let is_named = known.is_some_and(|follower| !follower.name.is_empty());
        if opened.is_new_incarnation || !is_named {
            self.channel.start_handshake(now, from);
        }
        if !self.request_limit.admit(now) {
            return self.channel.count("asks-dropped");
        }
        let (request, leaves) = match messages::decode_request(opened.body) {
            Ok(decoded) => decoded,
            Err(error) => return self.channel.count(error.counter()),
        };
        if self.register_follower(now, opened).is_none() {
            return;
        }
        let requester = Requester {
            id: opened.sender,
            address: from,
            nonce: request.nonce,
        };
        self.handle_request(now, requester, &request, &leaves);
    }

    fn handle_request(
        &mut self,
        now: Millis,
        requester: Requester,
        request: &PollRequest,
        leaves: &[LeafVersions],
    ) {
        if self.is_current_incarnation(request) && request.sequence > self.log.head() {
            return self.channel.count("absurd-cursor");
        }
        let same_content = request.root_hash == self.store.root_hash();
        self.record_confirmation(requester.id, request, same_content);
        self.channel.count("asks");
        match self.reply(request, leaves, same_content) {
            None => {}
            Some(Reply::Short(body)) => self.send_response(now, requester, body, &[]),
            Some(Reply::Rows(chunks)) => self.respond_within_rate_limit(now, requester, chunks),
        }
    }

    fn is_current_incarnation(&self, request: &PollRequest) -> bool {
        request.incarnation == self.channel.incarnation()
    }

    /// Records the changes that a poll confirms: all changes if the root hashes are equal, else those up to its cursor,
    /// or none if the cursor is for another incarnation.
    fn record_confirmation(&mut self, follower: u64, request: &PollRequest, same_content: bool) {
        let confirmed = match (same_content, self.is_current_incarnation(request)) {
            (true, _) => self.log.head(),
            (false, true) => request.sequence,
            (false, false) => 0,
        };
        if let Some(follower) = self.followers.get_mut(follower) {
            follower.is_primary = request.is_primary && request.query != Query::Unsubscribe;
            follower.confirmed = follower.confirmed.max(confirmed);
        }
    }

    fn reply(
        &self,
        request: &PollRequest,
        leaves: &[LeafVersions],
        same_content: bool,
    ) -> Option<Reply> {
        let window = request.window.min(MAX_WINDOW) as usize;
        let chunks = match &request.query {
            Query::Unsubscribe => return None,
            Query::Changes => return Some(self.reply_with_changes(request, same_content, window)),
            Query::BranchHashes => branch_hashes(&self.store),
            Query::LeafHashes { branches, salt } => {
                leaf_hashes(&self.store, *branches, *salt, window)
            }
            Query::Entries { from } => entries_from(&self.store, *from, window),
            Query::NewerEntries { from } => newer_entries(&self.store, *from, leaves, window),
        };
        Some(Reply::Rows(chunks))
    }

    fn reply_with_changes(
        &self,
        request: &PollRequest,
        same_content: bool,
        window: usize,
    ) -> Reply {
        let is_cursor_valid =
            self.is_current_incarnation(request) && request.sequence >= self.log.floor();
        let is_at_head = request.sequence == self.log.head();
        match (is_cursor_valid, same_content) {
            (true, _) if is_at_head => Reply::Short(ResponseBody::UpToDate { same_content }),
            (_, true) => Reply::Short(ResponseBody::AdoptHead),
            (false, false) => Reply::Short(ResponseBody::ContentDiffers),
            (true, false) => Reply::Rows(changes(&self.store, &self.log, request.sequence, window)),
        }
    }
}
