//! One instance of a cluster without I/O: the membership, the duties and the board, and the datagrams in which all
//! three travel. What can be replayed in virtual time is all of an instance but its sockets.

use serde::{Deserialize, Serialize};
use spanspur_leases::ranking::Ranking;
use spanspur_leases::{
    Clocks, GossipEntry, GossipMessage, GossipStore, InstanceId, LeaseConfig, LeaseGrant, LeaseId,
    LeaseManager, LeaseStatus, Message, Millis, Output,
};
use spanspur_membership::authentication::{DatagramError, DatagramKind, MAX_DATAGRAM, OVERHEAD};
use spanspur_membership::{
    Handshakes, Identity, Keys, Membership, MembershipChange, ProbeTiming, Sessions, handshake,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// What a datagram may carry.
const ROOM: usize = MAX_DATAGRAM - OVERHEAD - 16;
/// Seeds that are not there are greeted so often.
const GREET_EVERY: Millis = 1000;
/// Boards are compared with one other instance so often.
const COMPARE_EVERY: Millis = 1000;
/// Greetings answered in a second: a flood of them costs no more.
const MAX_ANSWERS: u32 = 256;

/// What an instance is told at its start.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Its name, where it takes datagrams, and this run of it.
    pub me: Identity,
    /// The cluster's keys.
    pub keys: Keys,
    /// Where others may be found.
    pub seeds: Vec<SocketAddr>,
    /// The names of those who vote, the same at all instances.
    pub voters: Vec<String>,
    /// How far wall clocks may lie apart.
    pub skew: Millis,
    /// How fast the membership looks.
    pub pace: ProbeTiming,
    /// Ranks instances for a duty.
    pub ranking: Ranking,
    /// For random numbers.
    pub seed: u64,
}

/// What the driver is to do.
#[derive(Debug)]
pub enum Effect {
    /// Send a datagram.
    Datagram(SocketAddr, Vec<u8>),
    /// Do a duty, as long as the grant holds.
    Perform(LeaseGrant),
    /// Something new on the board, by another instance.
    News(GossipEntry),
    /// Something for the log.
    Notice(Notice),
}

/// What an operator may want to know of.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// An instance is there.
    Up(Identity),
    /// It is not there any more.
    Down(Identity),
    /// This instance was held for down, wrongly.
    Renewed,
    /// Periods of a duty passed undone.
    Missed(LeaseId, u64),
    /// No majority for a duty of ours, or one again.
    Minority(LeaseId, bool),
    /// A duty came to this instance, or left it.
    Holds(LeaseId, bool),
}

/// What a datagram carries.
#[derive(Serialize, Deserialize)]
enum Body {
    Gossip(Vec<u8>),
    /// The hash of the voters, which have to be the same at both ends, and the items.
    Duties(u64, Vec<Message>),
    Board(GossipMessage),
}

/// A member as others are told of it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// It is there.
    pub alive: bool,
    /// It votes.
    pub voter: bool,
    /// It is the one that was asked.
    pub me: bool,
}

/// One instance of a cluster. See the module's page.
pub struct Node {
    setup: Setup,
    voters_hash: u64,
    sessions: Sessions,
    members: Membership,
    duties: LeaseManager,
    board: GossipStore,
    /// Everyone ever heard of, by id: the alive ones, and those that answered a greeting.
    known: BTreeMap<InstanceId, Identity>,
    alive: Vec<InstanceId>,
    names: BTreeMap<LeaseId, String>,
    greetings: Handshakes,
    next_greet: Millis,
    next_compare: Millis,
    compared: usize,
    effects: Vec<Effect>,
    counters: BTreeMap<&'static str, u64>,
}

impl Node {
    /// An instance that has met nobody yet.
    pub fn new(now: Clocks, setup: Setup) -> Self {
        let me = InstanceId::of(&setup.me.name);
        let voters: Vec<InstanceId> = setup.voters.iter().map(|v| InstanceId::of(v)).collect();
        let mut sorted = voters.clone();
        sorted.sort();
        let hashed: Vec<u8> = sorted.iter().flat_map(|v| v.0.to_le_bytes()).collect();
        let config = LeaseConfig {
            instance: me,
            incarnation: setup.me.incarnation,
            voters,
            max_clock_skew: setup.skew,
            ranking: setup.ranking,
        };
        Self {
            voters_hash: xxh3_64(&hashed),
            sessions: Sessions::new(me.0, setup.me.incarnation, setup.keys.clone()),
            members: Membership::new(setup.me.clone(), setup.pace, setup.seed),
            duties: LeaseManager::new(now, config),
            board: GossipStore::default(),
            known: BTreeMap::new(),
            alive: Vec::new(),
            names: BTreeMap::new(),
            greetings: Handshakes::new(MAX_ANSWERS),
            next_greet: now.monotonic,
            next_compare: now.monotonic + COMPARE_EVERY,
            compared: 0,
            effects: Vec::new(),
            counters: BTreeMap::new(),
            setup,
        }
    }

    /// Takes the duties over, by name, each with its period.
    pub fn configure(&mut self, now: Clocks, duties: &BTreeMap<String, Millis>) {
        self.names = duties.keys().map(|n| (LeaseId::of(n), n.clone())).collect();
        let by_id = duties.iter().map(|(n, every)| (LeaseId::of(n), *every));
        self.duties.configure(now, &by_id.collect());
        self.settle(now);
    }

    /// Takes other keys and seeds over.
    pub fn rekey(&mut self, keys: Keys, seeds: Vec<SocketAddr>) {
        self.sessions.rekey(keys);
        self.setup.seeds = seeds;
    }

    /// Takes a datagram; what does not hold is counted and dropped.
    pub fn receive(&mut self, now: Clocks, from: SocketAddr, bytes: &[u8]) {
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
        let (id, boot, fresh) = (
            InstanceId(opened.sender),
            opened.incarnation,
            opened.is_new_incarnation,
        );
        match opened.kind {
            DatagramKind::Greeting | DatagramKind::Answer => {
                let who = match handshake::verify_identity(&opened, &self.setup.me.name) {
                    Ok(who) => who,
                    Err(why) => return self.count(why.counter_name()),
                };
                if opened.kind == DatagramKind::Greeting {
                    self.answer(now, from, boot);
                } else {
                    self.met(now, who, fresh);
                }
            }
            DatagramKind::Data => {
                // Heard from in a new run before it answered: it is asked who it is.
                if fresh {
                    self.greet(now, from);
                }
                match postcard::from_bytes::<Body>(opened.body) {
                    Ok(Body::Gossip(bytes)) => self.members.receive(now.monotonic, &bytes),
                    Ok(Body::Duties(hash, items)) if hash == self.voters_hash => {
                        self.duties.receive(now, id, &items);
                    }
                    Ok(Body::Duties(..)) => self.count("other-voters"),
                    Ok(Body::Board(news)) => {
                        let received = self.board.receive(id, news);
                        self.effects
                            .extend(received.updated.into_iter().map(Effect::News));
                        self.send_news(now, received.outgoing);
                    }
                    Err(_) => self.count("garbled"),
                }
            }
        }
        self.settle(now);
    }

    /// When [`Node::wake`] is due at the latest.
    pub fn next_wake(&self) -> Millis {
        let own = self.next_greet.min(self.next_compare);
        let others = [self.members.next_wake(), self.duties.next_wake()];
        others.into_iter().flatten().fold(own, Millis::min)
    }

    /// Carries out what has fallen due.
    pub fn wake(&mut self, now: Clocks) {
        if now.monotonic >= self.next_greet {
            self.next_greet = now.monotonic + GREET_EVERY;
            let alive: BTreeSet<SocketAddr> =
                self.members.alive().values().map(|m| m.address).collect();
            let me = self.setup.me.address;
            let absent: Vec<SocketAddr> = self
                .setup
                .seeds
                .iter()
                .filter(|seed| **seed != me && !alive.contains(seed))
                .copied()
                .collect();
            absent.into_iter().for_each(|seed| self.greet(now, seed));
        }
        if now.monotonic >= self.next_compare {
            self.next_compare = now.monotonic + COMPARE_EVERY;
            if !self.alive.is_empty() {
                self.compared = (self.compared + 1) % self.alive.len();
                let sends = vec![(self.alive[self.compared], self.board.digest())];
                self.send_news(now, sends);
            }
        }
        self.members.wake(now.monotonic);
        self.duties.wake(now);
        self.settle(now);
    }

    /// Puts results on the board of all instances.
    pub fn publish(&mut self, now: Clocks, entries: Vec<GossipEntry>) {
        let sends = self.board.publish(entries, &self.alive);
        self.send_news(now, sends);
    }

    /// What the board holds for a key.
    pub fn board(&self) -> &GossipStore {
        &self.board
    }

    /// The board, to drop what is not wanted any more.
    pub fn board_mut(&mut self) -> &mut GossipStore {
        &mut self.board
    }

    /// A duty was done, or its grant ran out before that.
    pub fn performed(&mut self, grant: &LeaseGrant, in_time: bool) {
        self.duties.record_completion(grant, in_time);
    }

    /// Gives all duties back and says farewell.
    pub fn leave(&mut self, now: Clocks) {
        self.duties.release_all(now);
        self.settle(now);
        self.members.leave(now.monotonic);
        self.settle(now);
    }

    /// What is to be done, in order.
    pub fn effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Every duty that this instance knows, with its name.
    pub fn status(&self, now: Clocks) -> Vec<(String, LeaseStatus)> {
        let named = |s: LeaseStatus| self.names.get(&s.lease).map(|name| (name.clone(), s));
        self.duties.status(now).filter_map(named).collect()
    }

    /// All that is kept of a duty here, for whoever looks for a fault.
    pub fn describe(&self, duty: LeaseId) -> String {
        self.duties.describe(duty)
    }

    /// The name of a duty.
    pub fn duty_name(&self, duty: LeaseId) -> &str {
        self.names.get(&duty).map_or("?", String::as_str)
    }

    /// The name of an instance, where it is known.
    pub fn instance_name(&self, id: InstanceId) -> Option<&str> {
        if id == InstanceId::of(&self.setup.me.name) {
            return Some(&self.setup.me.name);
        }
        let voter = self.setup.voters.iter().find(|v| InstanceId::of(v) == id);
        self.known
            .get(&id)
            .map(|who| who.name.as_str())
            .or(voter.map(String::as_str))
    }

    /// Everyone heard of.
    pub fn members(&self) -> Vec<Member> {
        let me = self.members.own_identity();
        let alive = self.members.alive();
        let votes = |name: &str| self.setup.voters.iter().any(|voter| voter == name);
        let mut all = vec![Member {
            name: me.name.clone(),
            address: me.address,
            alive: true,
            voter: votes(&me.name),
            me: true,
        }];
        all.extend(self.known.values().map(|who| Member {
            name: who.name.clone(),
            address: who.address,
            alive: alive.contains_key(&who.name),
            voter: votes(&who.name),
            me: false,
        }));
        all.sort_by(|a, b| a.name.cmp(&b.name));
        all
    }

    /// How long this instance still abstains from votes on duties with this period.
    pub fn abstains(&self, now: Clocks, every: Millis) -> Millis {
        self.duties.remaining_abstention(now, every)
    }

    /// What was dropped or refused, and how often.
    pub fn counters(&self) -> BTreeMap<&'static str, u64> {
        let mut counters = self.counters.clone();
        counters.insert("gossip-refused", self.members.rejected);
        counters.insert("board-refused", self.board.rejected_entries);
        counters
    }

    fn count(&mut self, what: &'static str) {
        *self.counters.entry(what).or_default() += 1;
    }

    fn greet(&mut self, now: Clocks, to: SocketAddr) {
        let me = self.members.own_identity();
        if let Some(bytes) = self
            .greetings
            .build_greeting(now.monotonic, &self.sessions, me, to)
        {
            self.effects.push(Effect::Datagram(to, bytes));
        }
    }

    fn answer(&mut self, now: Clocks, to: SocketAddr, run: u64) {
        let me = self.members.own_identity();
        match self
            .greetings
            .build_answer(now.monotonic, &self.sessions, me, run)
        {
            Some(bytes) => self.effects.push(Effect::Datagram(to, bytes)),
            None => self.count("greetings-unanswered"),
        }
    }

    /// Someone has proved to be there: greets back once, and joins over it unless it is a member already.
    fn met(&mut self, now: Clocks, who: Identity, fresh: bool) {
        let id = InstanceId::of(&who.name);
        self.known.insert(id, who.clone());
        if fresh {
            self.answer(now, who.address, who.incarnation);
        }
        if self.members.alive().get(&who.name) != Some(&who) {
            self.members.join(now.monotonic, who);
        }
    }

    /// Carries on what the parts have brought about.
    fn settle(&mut self, now: Clocks) {
        loop {
            let changes = self.members.take_changes();
            let seen = !changes.is_empty();
            for change in changes {
                let notice = match change {
                    MembershipChange::Up(who) => {
                        self.known.insert(InstanceId::of(&who.name), who.clone());
                        Notice::Up(who)
                    }
                    MembershipChange::Down(who) => Notice::Down(who),
                    MembershipChange::Refuted(_) => Notice::Renewed,
                };
                self.effects.push(Effect::Notice(notice));
            }
            if seen {
                let alive = self.members.alive().keys();
                let alive: BTreeSet<InstanceId> = alive.map(|n| InstanceId::of(n)).collect();
                self.alive = alive.iter().copied().collect();
                self.duties.update_alive(now, &alive);
            }
            let outputs = self.duties.take_outputs();
            if !seen && outputs.is_empty() {
                break;
            }
            for output in outputs {
                match output {
                    Output::Send(to, items) => self.send_items(now, to, items),
                    Output::Granted(grant) => self.effects.push(Effect::Perform(grant)),
                    Output::TermsMissed { lease, terms } => {
                        self.notice(Notice::Missed(lease, terms))
                    }
                    Output::QuorumChanged { lease, is_lost } => {
                        self.notice(Notice::Minority(lease, is_lost))
                    }
                    Output::HoldingChanged { lease, is_held } => {
                        self.notice(Notice::Holds(lease, is_held))
                    }
                }
            }
        }
        for (to, bytes) in self.members.take_messages() {
            let id = InstanceId::of(&to.name);
            self.send(now, id, to.address, &Body::Gossip(bytes));
        }
    }

    fn notice(&mut self, notice: Notice) {
        self.effects.push(Effect::Notice(notice));
    }

    fn send_items(&mut self, now: Clocks, to: InstanceId, items: Vec<Message>) {
        let hash = self.voters_hash;
        self.send_parts(now, to, items, |part| Body::Duties(hash, part));
    }

    fn send_news(&mut self, now: Clocks, sends: Vec<(InstanceId, GossipMessage)>) {
        for (to, news) in sends {
            match news {
                GossipMessage::Entries {
                    entries,
                    forward_to: on,
                } => {
                    self.send_parts(now, to, entries, |part| {
                        Body::Board(GossipMessage::Entries {
                            entries: part,
                            forward_to: on.clone(),
                        })
                    });
                }
                news => {
                    if let Some(address) = self.known.get(&to).map(|who| who.address) {
                        self.send(now, to, address, &Body::Board(news));
                    }
                }
            }
        }
    }

    /// Sends things in as few datagrams as hold them.
    fn send_parts<T: Serialize>(
        &mut self,
        now: Clocks,
        to: InstanceId,
        things: Vec<T>,
        body: impl Fn(Vec<T>) -> Body,
    ) {
        let Some(address) = self.known.get(&to).map(|who| who.address) else {
            return self.count("nobody-known");
        };
        let head = postcard::experimental::serialized_size(&body(Vec::new())).unwrap_or(ROOM);
        let (mut part, mut size) = (Vec::new(), head);
        for thing in things {
            let more = postcard::experimental::serialized_size(&thing).unwrap_or(ROOM);
            if size + more > ROOM && !part.is_empty() {
                let full = std::mem::take(&mut part);
                self.send(now, to, address, &body(full));
                size = head;
            }
            size += more;
            part.push(thing);
        }
        if !part.is_empty() {
            self.send(now, to, address, &body(part));
        }
    }

    fn send(&mut self, now: Clocks, to: InstanceId, address: SocketAddr, body: &Body) {
        let Ok(bytes) = postcard::to_stdvec(body) else {
            return self.count("not-encoded");
        };
        if self.sessions.incarnation_of(to.0).is_none() {
            // Who repeats itself is heard later; greeted, the other's run is known by then.
            self.count("no-session");
            return self.greet(now, address);
        }
        match self.sessions.seal(to.0, DatagramKind::Data, &bytes) {
            Some(bytes) => self.effects.push(Effect::Datagram(address, bytes)),
            None => self.count("too-large"),
        }
    }
}
