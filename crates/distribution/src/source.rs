//! A control instance's end: it answers what followers ask, within a budget, and knows what is in force where.
//!
//! It keeps of each follower one small entry and sends nothing unasked but greetings, so one that never comes back
//! costs that entry, and for a day only. What it sends is: one small datagram for an ask that brings nothing new,
//! and pieces of [`MAX_DATAGRAM`](spanspur_membership::authentication::MAX_DATAGRAM) bytes at most, paced by [`Pace`].

use crate::pace::{Pace, SLOT_KEPT};
use crate::store::{Log, Store, leaf_of, leaf_range};
use crate::wire::{self, Answer, Ask, Held, MAX_WINDOW, Part, Want};
use crate::{Effect, Entry, MAX_NAME, Millis};
use serde::{Deserialize, Serialize};
use spanspur_membership::authentication::{DatagramError, DatagramKind, MAX_SENDERS};
use spanspur_membership::{Handshakes, Identity, Keys, Sessions, handshake};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// The most followers of one source: as many as sessions are kept for.
pub const MAX_FOLLOWERS: usize = MAX_SENDERS;
/// A follower heard so lately can be reached: five asks of its, so that loss alone does not make it dark.
pub const REACHABLE: Millis = 5000;
/// One that has not been heard for so long is forgotten.
pub const FORGET_AFTER: Millis = 24 * 3600 * 1000;
/// Where the table is nearly full, one that has not been heard for so long is forgotten already.
pub const FORGET_EARLY: Millis = 60_000;
/// So long after its start a source has all the followers back that had found it silent: the longest time between
/// two tries of theirs, and a second.
pub const SETTLED_AFTER: Millis = 8500;
/// It is looked so often what is in force.
pub const TRACK_EVERY: Millis = 250;
/// A reachable follower that has not confirmed a change after this lags.
pub const LAG_AFTER: Millis = 3000;
/// Changes of which it is known since when they are in force.
pub const TRACKED: usize = 256;
/// Followers that a list of a status names.
pub const LISTED: usize = 64;

/// What a source bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Pieces sent in a second, of 1,400 bytes at most each.
    pub pieces_per_second: u32,
    /// Pieces that may go at once after a pause.
    pub burst: u32,
    /// Asks answered in a second; more are dropped, and repeated by who asked.
    pub asks_per_second: u32,
    /// Greetings answered in a second.
    pub greetings_per_second: u32,
    /// Followers known at once, up to [`MAX_FOLLOWERS`].
    pub max_followers: usize,
    /// Arrivals that are kept for followers' cursors.
    pub kept_changes: usize,
}

impl Default for Limits {
    /// 4,000 pieces a second are 45 Mbit/s. 2,100 followers of two sources, all of them of this one when the others
    /// are gone, ask 2,100 times a second, and twice as often while they catch up; 6,000 leave room. 8,192
    /// arrivals are more than a day at 5,700 changes a day.
    fn default() -> Self {
        Self {
            pieces_per_second: 4000,
            burst: 400,
            asks_per_second: 6000,
            greetings_per_second: 1024,
            max_followers: MAX_FOLLOWERS,
            kept_changes: 8192,
        }
    }
}

/// What a source is told at its start.
#[derive(Clone, Debug)]
pub struct SourceSetup {
    /// Its name, where it takes asks, and this run of it.
    pub me: Identity,
    /// The cluster's keys.
    pub keys: Keys,
    /// What it bears.
    pub limits: Limits,
    /// For random numbers; none are drawn today.
    pub seed: u64,
}

/// What a source keeps of a follower.
#[derive(Clone, Debug)]
struct Peer {
    name: String,
    heard: Millis,
    first: bool,
    /// The last arrival of this run that it has confirmed.
    acked: u64,
    /// Its place in the schedule, and for how many pieces.
    slot: Option<(Millis, u32)>,
}

/// A change, and since when it is in force.
#[derive(Clone, Debug)]
struct Tracked {
    seq: u64,
    key: u64,
    version: u64,
    at: Millis,
    in_force: Option<(Millis, usize)>,
}

/// A part of an answer and its rows.
struct Piece {
    part: Part,
    rows: Vec<u8>,
}

/// A change at a source, in [`SourceStatus`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Its key.
    pub key: u64,
    /// Its version.
    pub version: u64,
    /// So many milliseconds ago it came to this source.
    pub ago: Millis,
    /// So many milliseconds after that every reachable follower whose first source this is had confirmed it.
    pub after: Option<Millis>,
    /// So many followers had to.
    pub of: usize,
}

/// A follower behind or in the dark, in [`SourceStatus`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Behind {
    /// Its name; empty as long as it is not known.
    pub name: String,
    /// Since so many milliseconds: the oldest change that it has not confirmed, or when it was last heard.
    pub since: Millis,
}

/// What a source knows, for an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceStatus {
    /// Its name.
    pub name: String,
    /// This run of it.
    pub run: u64,
    /// Its last arrival.
    pub head: u64,
    /// Cursors below this are too old.
    pub floor: u64,
    /// Entries that it holds, removed ones with them.
    pub entries: usize,
    /// The highest version.
    pub newest: u64,
    /// The hash over all keys and versions.
    pub root: u64,
    /// How old its own knowledge is, in milliseconds.
    pub age: Option<Millis>,
    /// Followers that it knows.
    pub followers: usize,
    /// Of these, the ones whose first source it is and that can be reached.
    pub first: usize,
    /// It has run for so long that its followers are back; before that what it holds for in force is for now.
    pub settled: bool,
    /// The last changes, the newest first.
    pub changes: Vec<InForce>,
    /// Reachable first-followers that lag, and the first of them by how long.
    pub lagging: usize,
    /// See `lagging`.
    pub laggards: Vec<Behind>,
    /// First-followers that can't be reached, and the first of them by how long. They may follow another source.
    pub dark: usize,
    /// See `dark`.
    pub darkened: Vec<Behind>,
    /// How far ahead its rate is spoken for, in milliseconds.
    pub ahead: Millis,
}

/// A control instance's end. See the module's page.
pub struct Source {
    setup: SourceSetup,
    sessions: Sessions,
    greetings: Handshakes,
    store: Store,
    log: Log,
    peers: BTreeMap<u64, Peer>,
    pace: Pace,
    asks: (Millis, u32),
    started: Millis,
    heard: Option<Millis>,
    tracked: VecDeque<Tracked>,
    next_track: Millis,
    effects: Vec<Effect>,
    counters: BTreeMap<&'static str, u64>,
}

impl Source {
    /// A source that holds nothing yet.
    pub fn new(now: Millis, setup: SourceSetup) -> Self {
        let limits = &setup.limits;
        let me = handshake::id_of(&setup.me.name);
        Self {
            sessions: Sessions::new(me, setup.me.incarnation, setup.keys.clone()),
            greetings: Handshakes::new(limits.greetings_per_second),
            store: Store::default(),
            log: Log::new(limits.kept_changes),
            peers: BTreeMap::new(),
            pace: Pace::new(now, limits.pieces_per_second, limits.burst),
            asks: (now, 0),
            started: now,
            heard: None,
            tracked: VecDeque::new(),
            next_track: now + TRACK_EVERY,
            effects: Vec::new(),
            counters: BTreeMap::new(),
            setup,
        }
    }

    /// Takes what the cluster's board has: own results and news. What is not newer changes nothing.
    pub fn publish(&mut self, now: Millis, entries: &[Entry]) {
        for entry in entries {
            match self.store.take(entry) {
                Ok(true) => {
                    let seq = self.log.push(entry.key);
                    if self.tracked.len() >= TRACKED {
                        self.tracked.pop_front();
                    }
                    self.tracked.push_back(Tracked {
                        seq,
                        key: entry.key,
                        version: entry.version,
                        at: now,
                        in_force: None,
                    });
                }
                Ok(false) => {}
                Err(why) => self.count(why.name()),
            }
        }
    }

    /// The writer was heard: what is held is all that there is, as of now.
    pub fn heard(&mut self, now: Millis) {
        self.heard = Some(now);
    }

    /// Takes a datagram; what does not hold is counted and dropped.
    pub fn receive(&mut self, now: Millis, from: SocketAddr, bytes: &[u8]) {
        let opened = match self.sessions.open(bytes) {
            Ok(opened) => opened,
            Err(why) => {
                self.count(why.counter_name());
                // Sealed by one of us for a run of ours that is over: it learns of the new one.
                if why == DatagramError::OtherIncarnation {
                    self.greet(now, from);
                }
                return;
            }
        };
        let (id, boot, fresh) = (opened.sender, opened.incarnation, opened.is_new_incarnation);
        match opened.kind {
            DatagramKind::Greeting | DatagramKind::Answer => {
                let kind = opened.kind;
                let who = match handshake::verify_identity(&opened, &self.setup.me.name) {
                    Ok(who) if who.name.len() <= MAX_NAME => who,
                    Ok(_) => return self.count("name-too-long"),
                    Err(why) => return self.count(why.counter_name()),
                };
                // A greeting proves nothing yet: nothing is kept of it.
                if kind == DatagramKind::Answer
                    && let Some(peer) = self.peer(now, id, fresh)
                {
                    peer.name = who.name;
                }
                if kind == DatagramKind::Greeting || fresh {
                    self.answer_greeting(now, from, boot);
                }
            }
            DatagramKind::Data => {
                let read = wire::read_ask(opened.body);
                let named = self
                    .peers
                    .get(&id)
                    .is_some_and(|peer| !peer.name.is_empty());
                if fresh || !named {
                    self.greet(now, from);
                }
                if now >= self.asks.0 + 1000 {
                    self.asks = (now, 0);
                }
                self.asks.1 += 1;
                if self.asks.1 > self.setup.limits.asks_per_second {
                    return self.count("asks-dropped");
                }
                match read {
                    Ok((ask, held)) => {
                        if self.peer(now, id, fresh).is_some() {
                            self.asked(now, from, id, &ask, &held);
                        }
                    }
                    Err(why) => self.count(why),
                }
            }
        }
    }

    /// When [`Source::wake`] is due at the latest.
    pub fn next_wake(&self) -> Millis {
        self.next_track
    }

    /// Carries out what has fallen due.
    pub fn wake(&mut self, now: Millis) {
        if now >= self.next_track {
            self.next_track = now + TRACK_EVERY;
            self.track(now);
            self.tidy(now);
        }
    }

    /// What is to be done, in order.
    pub fn effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// What it holds.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// What was dropped or refused, and how often, and what was spent.
    pub fn counters(&self) -> BTreeMap<&'static str, u64> {
        self.counters.clone()
    }

    /// Takes other keys over.
    pub fn rekey(&mut self, keys: Keys) {
        self.sessions.rekey(keys);
    }

    /// What it knows, for an operator.
    pub fn status(&self, now: Millis) -> SourceStatus {
        let firsts = || self.peers.values().filter(|peer| peer.first);
        let listed = |mut all: Vec<Behind>| {
            all.sort_by(|a, b| b.since.cmp(&a.since).then(a.name.cmp(&b.name)));
            let count = all.len();
            all.truncate(LISTED);
            (count, all)
        };
        let behind = |peer: &Peer| {
            let missed = self.tracked.iter().find(|change| change.seq > peer.acked)?;
            let since = now.saturating_sub(missed.at);
            (since >= LAG_AFTER).then(|| Behind {
                name: peer.name.clone(),
                since,
            })
        };
        let reachable = || firsts().filter(|peer| reachable(now, peer));
        let (lagging, laggards) = listed(reachable().filter_map(behind).collect());
        let dark = firsts().filter(|peer| !self::reachable(now, peer));
        let (dark, darkened) = listed(
            dark.map(|peer| Behind {
                name: peer.name.clone(),
                since: now.saturating_sub(peer.heard),
            })
            .collect(),
        );
        let changes = self.tracked.iter().rev().map(|change| InForce {
            key: change.key,
            version: change.version,
            ago: now.saturating_sub(change.at),
            after: change.in_force.map(|(at, _)| at - change.at),
            of: change.in_force.map_or(reachable().count(), |(_, of)| of),
        });
        SourceStatus {
            name: self.setup.me.name.clone(),
            run: self.setup.me.incarnation,
            head: self.log.head(),
            floor: self.log.floor(),
            entries: self.store.len(),
            newest: self.store.newest(),
            root: self.store.root(),
            age: self.age(now),
            followers: self.peers.len(),
            first: reachable().count(),
            settled: self.settled(now),
            changes: changes.collect(),
            lagging,
            laggards,
            dark,
            darkened,
            ahead: self.pace.ahead(now),
        }
    }

    fn settled(&self, now: Millis) -> bool {
        now >= self.started + SETTLED_AFTER
    }

    fn age(&self, now: Millis) -> Option<Millis> {
        self.heard.map(|at| now.saturating_sub(at))
    }

    fn count(&mut self, what: &'static str) {
        self.add(what, 1);
    }

    fn add(&mut self, what: &'static str, more: u64) {
        *self.counters.entry(what).or_default() += more;
    }

    fn greet(&mut self, now: Millis, to: SocketAddr) {
        let greetings = &mut self.greetings;
        if let Some(bytes) = greetings.build_greeting(now, &self.sessions, &self.setup.me, to) {
            self.effects.push(Effect::Datagram(to, bytes));
        }
    }

    fn answer_greeting(&mut self, now: Millis, to: SocketAddr, run: u64) {
        let greetings = &mut self.greetings;
        match greetings.build_answer(now, &self.sessions, &self.setup.me, run) {
            Some(bytes) => self.effects.push(Effect::Datagram(to, bytes)),
            None => self.count("greetings-unanswered"),
        }
    }

    /// What is kept of a follower, now that it was heard, in a fresh run of it or not; `None` where there is no room
    /// for one more.
    fn peer(&mut self, now: Millis, id: u64, fresh: bool) -> Option<&mut Peer> {
        let most = self.setup.limits.max_followers.min(MAX_FOLLOWERS);
        if !self.peers.contains_key(&id) && self.peers.len() >= most {
            self.sessions.forget(id);
            self.count("followers-full");
            return None;
        }
        let peer = self.peers.entry(id).or_insert_with(|| Peer {
            name: String::new(),
            heard: now,
            first: false,
            acked: 0,
            slot: None,
        });
        peer.heard = now;
        // In another run it may hold nothing any more.
        if fresh {
            peer.acked = 0;
        }
        Some(peer)
    }

    fn asked(&mut self, now: Millis, to: SocketAddr, id: u64, ask: &Ask, held: &[Held]) {
        let (head, floor) = (self.log.head(), self.log.floor());
        let own = ask.run == self.setup.me.incarnation;
        if own && ask.seq > head {
            return self.count("absurd-cursor");
        }
        let same = ask.root == self.store.root();
        let Some(peer) = self.peers.get_mut(&id) else {
            return;
        };
        peer.first = ask.first && ask.want != Want::Leave;
        if own || same {
            peer.acked = peer.acked.max(if same { head } else { ask.seq });
        }
        let usable = own && ask.seq >= floor;
        self.count("asks");
        let window = ask.window.min(MAX_WINDOW) as usize;
        let pieces = match &ask.want {
            Want::Leave => return,
            Want::Changes => {
                let part = match (same, usable, ask.seq == head) {
                    (_, true, true) => Part::Nothing { same },
                    (true, _, _) => Part::Adopt,
                    (false, false, _) => Part::Differs,
                    (false, true, false) => {
                        let pieces = self.changes(ask.seq, window);
                        return self.spend(now, to, id, ask.nonce, pieces);
                    }
                };
                return self.send(now, to, id, ask.nonce, part, &[]);
            }
            Want::Tree => {
                let mut rows = Vec::new();
                wire::put_tree(&mut rows, &self.store.branches());
                vec![Piece {
                    part: Part::Tree,
                    rows,
                }]
            }
            Want::Leaves { branches, salt } => self.leaves(*branches, *salt, window),
            Want::Range { from } => walk(self.store.range(*from..), *from, window),
            Want::Differ { from } => self.differ(*from, held, window),
        };
        self.spend(now, to, id, ask.nonce, pieces);
    }

    /// What has come after an arrival, in pieces.
    fn changes(&self, after: u64, window: usize) -> Vec<Piece> {
        let mut pieces: Vec<Piece> = Vec::new();
        let (mut from, mut to, mut rows) = (after, after, Vec::new());
        let mut whole = true;
        for (seq, key) in self.log.since(after) {
            let Some(entry) = self.store.get(key) else {
                continue;
            };
            if !rows.is_empty() && rows.len() + wire::row_size(entry) > ROWS {
                let part = Part::Changes {
                    from,
                    to,
                    last: false,
                };
                let rows = std::mem::take(&mut rows);
                pieces.push(Piece { part, rows });
                from = to;
                if pieces.len() >= window {
                    whole = false;
                    break;
                }
            }
            wire::put_entry(&mut rows, entry);
            to = seq;
        }
        if whole {
            let part = Part::Changes {
                from,
                to: self.log.head(),
                last: false,
            };
            pieces.push(Piece { part, rows });
        }
        pieces
    }

    fn leaves(&self, branches: u64, salt: u32, window: usize) -> Vec<Piece> {
        let wanted: Vec<usize> = (0..64).filter(|b| branches >> b & 1 == 1).collect();
        let pieces = wanted.chunks(ROWS / wire::LEAVES_ROW).take(window);
        let piece = |branches: &[usize]| {
            let mut rows = Vec::new();
            for branch in branches {
                wire::put_leaves(&mut rows, *branch as u8, &self.store.leaves(*branch, salt));
            }
            let part = Part::Leaves { last: false };
            Piece { part, rows }
        };
        pieces.map(piece).collect()
    }

    /// What is newer here than what the follower holds of some leaves.
    fn differ(&self, from: u64, held: &[Held], window: usize) -> Vec<Piece> {
        let left = held.iter().filter(|h| h.leaf as usize >= leaf_of(from));
        let newer = left.flat_map(|held| {
            let known: BTreeMap<u64, u64> = held.rows.iter().copied().collect();
            let leaf = leaf_range(held.leaf as usize);
            let rows = self.store.range((*leaf.start()).max(from)..=*leaf.end());
            rows.filter(move |(_, entry)| {
                let held = known.get(&entry.key);
                held.is_none_or(|held| *held < entry.version)
            })
        });
        walk(newer, from, window)
    }

    /// Sends the pieces that the budget bears now, or says when it will.
    fn spend(&mut self, now: Millis, to: SocketAddr, id: u64, nonce: u32, pieces: Vec<Piece>) {
        let count = pieces.len() as u32;
        let Some(peer) = self.peers.get_mut(&id) else {
            return;
        };
        let mut granted = 0;
        if let Some((at, places)) = peer.slot {
            if now + SLOT_KEPT < at {
                let wait = (at - now) as u32;
                return self.send(now, to, id, nonce, Part::Later { wait }, &[]);
            }
            peer.slot = None;
            match now <= at + SLOT_KEPT {
                true => granted = places.min(count),
                false => *self.counters.entry("slots-missed").or_default() += 1,
            }
        }
        if granted == 0 {
            granted = self.pace.take(now, count);
        }
        if granted == 0 {
            let at = self.pace.reserve(now, count);
            if let Some(peer) = self.peers.get_mut(&id) {
                peer.slot = Some((at, count));
            }
            self.count("later");
            let wait = (at - now).min(u64::from(u32::MAX)) as u32;
            return self.send(now, to, id, nonce, Part::Later { wait }, &[]);
        }
        self.add("pieces", u64::from(granted));
        let granted = granted as usize;
        for (n, piece) in pieces.into_iter().take(granted).enumerate() {
            let mut part = piece.part;
            if let Part::Changes { last, .. } | Part::Walk { last, .. } | Part::Leaves { last } =
                &mut part
            {
                *last = n + 1 == granted;
            }
            self.send(now, to, id, nonce, part, &piece.rows);
        }
    }

    fn send(&mut self, now: Millis, to: SocketAddr, id: u64, nonce: u32, part: Part, rows: &[u8]) {
        let answer = Answer {
            nonce,
            age: self.age(now),
            head: self.log.head(),
            part,
        };
        let mut bytes = wire::answer(&answer);
        bytes.extend(rows);
        match self.sessions.seal(id, DatagramKind::Data, &bytes) {
            Some(bytes) => {
                self.add("bytes", bytes.len() as u64);
                self.effects.push(Effect::Datagram(to, bytes));
            }
            None => self.count("not-sealed"),
        }
    }

    /// What every reachable first-follower has confirmed is in force.
    fn track(&mut self, now: Millis) {
        let firsts = self.peers.values().filter(|p| p.first && reachable(now, p));
        let (mut least, mut of) = (u64::MAX, 0);
        for peer in firsts {
            (least, of) = (least.min(peer.acked), of + 1);
        }
        let settled = self.settled(now);
        for change in &mut self.tracked {
            if change.seq > least && !settled {
                change.in_force = None;
            } else if change.seq <= least && change.in_force.is_none() {
                change.in_force = Some((now, of));
            }
        }
    }

    /// Forgets who has not been heard for long, earlier where the table is nearly full.
    fn tidy(&mut self, now: Millis) {
        let most = self.setup.limits.max_followers.min(MAX_FOLLOWERS);
        let after = match self.peers.len() > most / 8 * 7 {
            true => FORGET_EARLY,
            false => FORGET_AFTER,
        };
        let Self {
            peers, sessions, ..
        } = self;
        peers.retain(|id, peer| {
            let keep = now < peer.heard + after;
            if !keep {
                sessions.forget(*id);
            }
            keep
        });
    }
}

/// What rows may take of a piece.
const ROWS: usize = wire::ROOM - wire::HEAD;

fn reachable(now: Millis, peer: &Peer) -> bool {
    now < peer.heard + REACHABLE
}

/// Entries in the order of their positions, in pieces.
fn walk<'a>(
    entries: impl Iterator<Item = (u64, &'a Entry)>,
    from: u64,
    window: usize,
) -> Vec<Piece> {
    let mut pieces: Vec<Piece> = Vec::new();
    let (mut from, mut rows) = (from, Vec::new());
    for (at, entry) in entries {
        if !rows.is_empty() && rows.len() + wire::row_size(entry) > ROWS {
            let part = Part::Walk {
                from,
                next: Some(at),
                last: false,
            };
            let rows = std::mem::take(&mut rows);
            pieces.push(Piece { part, rows });
            from = at;
            if pieces.len() >= window {
                return pieces;
            }
        }
        wire::put_entry(&mut rows, entry);
    }
    let part = Part::Walk {
        from,
        next: None,
        last: false,
    };
    pieces.push(Piece { part, rows });
    pieces
}
