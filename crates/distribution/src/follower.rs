//! A balancer's end: it asks two sources what is new, and keeps only what is newer than it has.
//!
//! All that it believes of a source is tied to that source's run: the cursor, and a comparison under way. One source
//! at a time is compared with, whatever the others say meanwhile, so that nothing travels twice. A source that does
//! not answer is left for the next of the ranking and tried again from time to time; in the dark the follower goes
//! on with what it has, and its age grows.

use crate::ranking;
use crate::store::{Store, leaf_of, leaf_range};
use crate::wire::{self, Answer, Ask, Held, MAX_WINDOW, Part, Rows, Want};
use crate::{Effect, Entry, MAX_NAME, Millis, Notice, Place, SourceAt};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use spanspur_membership::authentication::{DatagramError, DatagramKind};
use spanspur_membership::{Handshakes, Identity, Keys, Sessions, handshake};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Sources that a follower is told of; more are not used.
pub const MAX_SOURCES: usize = 64;
/// Asks of one source in a row that stay unanswered before it is held for silent.
pub const TRIES: u32 = 3;
/// Where both should hold the same and do not, they are compared after this.
pub const COMPARE_AFTER: Millis = 600_000;
/// Greetings answered in a second.
const MAX_ANSWERS: u32 = 256;
/// The longest wait for a place in a source's schedule that is believed.
const MAX_LATER: Millis = 60_000;
/// Pieces of one answer that came out of order are remembered, no more than an answer has.
const MAX_PENDING: usize = MAX_WINDOW as usize;
/// Where answers come too late, the next are waited for twice as long, up to so many times as long as at first.
const MAX_PATIENCE: Millis = 8;

/// How fast a follower asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AskPace {
    /// Each source is asked so often.
    pub ask_every: Millis,
    /// An ask unanswered after this is repeated.
    pub answer_within: Millis,
    /// A silent source is tried again after this, up to half as much more by chance.
    pub retry_every: Millis,
}

impl Default for AskPace {
    /// Twice 1,000 ms apart, so a change comes within half a second of its reaching both sources; 500 ms hold any
    /// round trip between regions; 5,000 ms bring a source back within 7,500 ms, under the 12 s of a healing.
    fn default() -> Self {
        Self {
            ask_every: 1000,
            answer_within: 500,
            retry_every: 5000,
        }
    }
}

/// What a follower is told at its start.
#[derive(Clone, Debug)]
pub struct FollowerSetup {
    /// Its name, where it takes datagrams, and this run of it.
    pub me: Identity,
    /// Where it stands.
    pub place: Place,
    /// The sources, up to [`MAX_SOURCES`] of them.
    pub sources: Vec<SourceAt>,
    /// The cluster's keys.
    pub keys: Keys,
    /// The score of a source for a follower; the highest ranks first.
    pub score: fn(u64, u64) -> f64,
    /// How fast it asks.
    pub pace: AskPace,
    /// For random numbers.
    pub seed: u64,
}

/// An ask under way.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    /// 0 for a greeting.
    nonce: u32,
    sent: Millis,
    until: Millis,
    /// The last piece has come; the answer is whole once the cursor is there.
    last: Option<u64>,
}

/// A source, as this follower stands with it.
#[derive(Clone, Debug)]
struct Link {
    /// The source's run and the last arrival of it that is held here.
    cursor: (u64, u64),
    next_ask: Millis,
    waiting: Option<Waiting>,
    /// The last ask whose answer came too late, and how many times as long as at first the next is waited for.
    late: u32,
    patience: Millis,
    misses: u32,
    /// It is silent, and tried again then.
    rests_until: Option<Millis>,
    /// What was held at this moment of our clock, at least, is all that there was: negative before our start.
    as_of: Option<i64>,
    /// Pieces that came before their turn: after and up to which arrival.
    pending: Vec<(u64, u64)>,
    /// Since when it is known that they do not hold the same though the cursor is at the head.
    differs_since: Option<Millis>,
}

/// A comparison or walk under way.
#[derive(Clone, Debug)]
struct Catch {
    link: usize,
    run: u64,
    /// The source's last arrival at its start: the cursor after it.
    start: u64,
    step: Step,
    pending: Vec<(u64, Option<u64>)>,
    /// Whole answers in a row that brought it no further.
    idle: u32,
}

/// Whole answers of a comparison in a row that bring it no further: then it is given up until the next regular ask.
const MAX_IDLE: u32 = 4;

#[derive(Clone, Debug)]
enum Step {
    Tree,
    Leaves {
        left: u64,
        salt: u32,
        differ: Vec<u16>,
    },
    Range {
        at: u64,
    },
    Differ {
        /// Leaves still to be asked for, in order.
        leaves: Vec<u16>,
        /// The last of them that the ask under way names.
        asked: u16,
        /// From this position on.
        at: u64,
    },
}

/// A source in [`FollowerStatus`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkStatus {
    /// Its name.
    pub name: String,
    /// 1 for the first source, 2 for the second, 0 for the others.
    pub role: u8,
    /// It does not answer.
    pub silent: bool,
    /// How old what it gave is at most, in milliseconds.
    pub age: Option<Millis>,
}

/// What a follower knows of itself, for an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowerStatus {
    /// Its name.
    pub name: String,
    /// Entries that it holds, removed ones with them.
    pub entries: usize,
    /// The highest version.
    pub newest: u64,
    /// The hash over all keys and versions.
    pub root: u64,
    /// How old what it holds is at most, in milliseconds.
    pub age: Option<Millis>,
    /// It has completed a whole comparison or walk.
    pub full: bool,
    /// No source answers.
    pub dark: bool,
    /// A comparison or walk is under way.
    pub catching_up: bool,
    /// The sources, in the order in which it would have them.
    pub sources: Vec<LinkStatus>,
}

/// A balancer's end. See the module's page.
pub struct Follower {
    setup: FollowerSetup,
    sources: Vec<(u64, SourceAt)>,
    order: Vec<usize>,
    links: Vec<Link>,
    roles: [Option<usize>; 2],
    /// Asks of the first source fall on this and its like, those of the second half a turn later.
    phase: Millis,
    sessions: Sessions,
    greetings: Handshakes,
    store: Store,
    catch: Option<Catch>,
    nonce: u32,
    full: bool,
    dark: bool,
    rng: ChaCha8Rng,
    effects: Vec<Effect>,
    counters: BTreeMap<&'static str, u64>,
}

impl Follower {
    /// A follower that holds nothing and has met nobody.
    pub fn new(now: Millis, setup: FollowerSetup) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(setup.seed);
        let me = handshake::id_of(&setup.me.name);
        let known = setup.sources.iter().take(MAX_SOURCES);
        let sources: Vec<(u64, SourceAt)> = known
            .map(|at| (handshake::id_of(&at.name), at.clone()))
            .collect();
        let phase = now + rng.random_range(0..setup.pace.ask_every.max(1));
        let link = Link {
            cursor: (0, 0),
            next_ask: phase,
            waiting: None,
            late: 0,
            patience: 1,
            misses: 0,
            rests_until: None,
            as_of: None,
            pending: Vec::new(),
            differs_since: None,
        };
        let mut follower = Self {
            order: ranking::rank(me, setup.place, &sources, setup.score),
            links: vec![link; sources.len()],
            sources,
            roles: [None, None],
            phase,
            sessions: Sessions::new(me, setup.me.incarnation, setup.keys.clone()),
            greetings: Handshakes::new(MAX_ANSWERS),
            store: Store::default(),
            catch: None,
            nonce: 0,
            full: false,
            dark: false,
            rng,
            effects: Vec::new(),
            counters: BTreeMap::new(),
            setup,
        };
        follower.choose(now);
        follower
    }

    /// Takes a datagram; what does not hold is counted and dropped.
    pub fn receive(&mut self, now: Millis, from: SocketAddr, bytes: &[u8]) {
        let opened = match self.sessions.open(bytes) {
            Ok(opened) => opened,
            Err(why) => {
                self.count(why.counter_name());
                if why == DatagramError::OtherIncarnation
                    && self.sources.iter().any(|(_, s)| s.address == from)
                {
                    self.greet(now, from);
                }
                return;
            }
        };
        let (id, boot, fresh) = (opened.sender, opened.incarnation, opened.is_new_incarnation);
        let Some(i) = self.sources.iter().position(|(source, _)| *source == id) else {
            self.sessions.forget(id);
            return self.count("stranger");
        };
        let address = self.sources[i].1.address;
        match opened.kind {
            DatagramKind::Greeting | DatagramKind::Answer => {
                let kind = opened.kind;
                match handshake::verify_identity(&opened, &self.setup.me.name) {
                    Ok(who) if who.name.len() <= MAX_NAME => {}
                    Ok(_) => return self.count("name-too-long"),
                    Err(why) => return self.count(why.counter_name()),
                }
                if kind == DatagramKind::Greeting || fresh {
                    self.answer_greeting(now, address, boot);
                }
                // A new run of the source, or the first that is met: what waited for it is asked at once.
                if fresh {
                    self.links[i].waiting = None;
                    self.heard_of(now, i);
                    self.links[i].next_ask = now;
                    self.wake(now);
                }
            }
            DatagramKind::Data => {
                let read = wire::read_answer(opened.body);
                if fresh {
                    self.greet(now, address);
                }
                match read {
                    Ok((answer, rows)) => self.answered(now, i, boot, &answer, rows),
                    Err(why) => self.count(why),
                }
            }
        }
    }

    /// When [`Follower::wake`] is due at the latest.
    pub fn next_wake(&self) -> Millis {
        let due = |(i, link): (usize, &Link)| match (link.waiting, link.rests_until) {
            (Some(waiting), _) => Some(waiting.until),
            (None, Some(rests)) => Some(rests),
            (None, None) => self.roles.contains(&Some(i)).then_some(link.next_ask),
        };
        let all = self.links.iter().enumerate().filter_map(due);
        all.min().unwrap_or(Millis::MAX)
    }

    /// Carries out what has fallen due.
    pub fn wake(&mut self, now: Millis) {
        for i in 0..self.links.len() {
            self.look(now, i);
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

    /// How old what it holds is at most: all that was written longer ago is here. `None` as long as no source that
    /// has heard a writer has given all that it had.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        let best = self.links.iter().filter_map(|link| link.as_of).max()?;
        Some((now as i64).saturating_sub(best).max(0) as Millis)
    }

    /// Whether it has once had all that a source had that had heard a writer.
    pub fn full(&self) -> bool {
        self.full
    }

    /// What it knows of itself, for an operator.
    pub fn status(&self, now: Millis) -> FollowerStatus {
        let source = |i: &usize| {
            let link = &self.links[*i];
            let role = self.roles.iter().position(|role| *role == Some(*i));
            LinkStatus {
                name: self.sources[*i].1.name.clone(),
                role: role.map_or(0, |role| role as u8 + 1),
                silent: link.rests_until.is_some(),
                age: link.as_of.map(|at| (now as i64 - at).max(0) as Millis),
            }
        };
        FollowerStatus {
            name: self.setup.me.name.clone(),
            entries: self.store.len(),
            newest: self.store.newest(),
            root: self.store.root(),
            age: self.age(now),
            full: self.full,
            dark: self.dark,
            catching_up: self.catch.is_some(),
            sources: self.order.iter().map(source).collect(),
        }
    }

    /// What was dropped or refused, and how often, and what was spent.
    pub fn counters(&self) -> BTreeMap<&'static str, u64> {
        self.counters.clone()
    }

    /// Takes other keys over.
    pub fn rekey(&mut self, keys: Keys) {
        self.sessions.rekey(keys);
    }

    fn count(&mut self, what: &'static str) {
        *self.counters.entry(what).or_default() += 1;
    }

    fn notice(&mut self, notice: Notice) {
        self.effects.push(Effect::Notice(notice));
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

    /// Gives the two roles to the best sources that are not silent.
    fn choose(&mut self, now: Millis) {
        let awake = |i: usize| self.links[i].rests_until.is_none();
        let roles = ranking::choose(&self.order, &self.sources, awake);
        let before = std::mem::replace(&mut self.roles, roles);
        for left in before.into_iter().flatten() {
            if !roles.contains(&Some(left)) && self.links[left].rests_until.is_none() {
                if self.sessions.incarnation_of(self.sources[left].0).is_some() {
                    self.say(now, left, Want::Leave, &[]);
                }
                self.links[left].waiting = None;
                self.drop_catch(left);
            }
        }
        for (role, come) in roles.iter().enumerate() {
            if let Some(i) = *come
                && !before.contains(come)
            {
                // At its start a follower waits for its turn, so that a fleet that starts at once is spread out.
                let start = before == [None, None] && !self.dark;
                self.links[i].next_ask = if start { self.turn(now, role) } else { now };
            }
        }
        let dark = roles == [None, None] && !self.links.is_empty();
        if dark != self.dark {
            self.dark = dark;
            self.notice(Notice::Dark(dark));
        }
    }

    /// The next regular time to ask the source of a role.
    fn turn(&self, now: Millis, role: usize) -> Millis {
        let every = self.setup.pace.ask_every.max(1);
        let start = self.phase + role as Millis * every / 2;
        match now < start {
            true => start,
            false => now + every - (now - start) % every,
        }
    }

    fn retry_at(&mut self, now: Millis) -> Millis {
        let every = self.setup.pace.retry_every.max(1);
        now + every + self.rng.random_range(0..=every / 2)
    }

    /// Looks whether an answer stays out, or an ask is due.
    fn look(&mut self, now: Millis, i: usize) {
        let tries = match self.links[i].rests_until {
            Some(_) => 1,
            None => TRIES,
        };
        if let Some(waiting) = self.links[i].waiting
            && now >= waiting.until
        {
            let link = &mut self.links[i];
            link.waiting = None;
            link.misses += 1;
            link.next_ask = now;
            if link.misses >= tries {
                let again = self.retry_at(now);
                let link = &mut self.links[i];
                let slept = link.rests_until.replace(again).is_some();
                (link.misses, link.patience) = (0, 1);
                if !slept {
                    self.count("sources-silent");
                    self.notice(Notice::Silent(self.sources[i].1.name.clone()));
                    self.drop_catch(i);
                    self.choose(now);
                }
            }
        }
        let link = &self.links[i];
        if link.waiting.is_some() {
            return;
        }
        let due = match link.rests_until {
            Some(again) => now >= again,
            None => self.roles.contains(&Some(i)) && now >= link.next_ask,
        };
        if due {
            self.ask(now, i);
        }
    }

    /// Asks a source for what is wanted of it now.
    fn ask(&mut self, now: Millis, i: usize) {
        let until = now + self.patience(i);
        let (id, address) = (self.sources[i].0, self.sources[i].1.address);
        let mut waiting = Waiting {
            nonce: 0,
            sent: now,
            until,
            last: None,
        };
        if self.sessions.incarnation_of(id).is_none() {
            self.greet(now, address);
        } else {
            // What came before its turn is in the new answer again.
            self.links[i].pending.clear();
            let (want, held) = self.want(i);
            waiting.nonce = self.say(now, i, want, &held);
        }
        self.links[i].waiting = Some(waiting);
    }

    /// How long an answer of a source is waited for.
    fn patience(&self, i: usize) -> Millis {
        self.setup.pace.answer_within.max(1) * self.links[i].patience
    }

    /// What is wanted of a source now.
    fn want(&mut self, i: usize) -> (Want, Vec<Held>) {
        let Some(catch) = self.catch.as_mut().filter(|catch| catch.link == i) else {
            return (Want::Changes, Vec::new());
        };
        catch.pending.clear();
        match &mut catch.step {
            Step::Tree => (Want::Tree, Vec::new()),
            Step::Leaves { left, salt, .. } => {
                let (branches, salt) = (*left, *salt);
                (Want::Leaves { branches, salt }, Vec::new())
            }
            Step::Range { at } => (Want::Range { from: *at }, Vec::new()),
            Step::Differ { leaves, asked, at } => {
                let (mut held, mut size) = (Vec::new(), wire::HEAD);
                for leaf in leaves.iter() {
                    let range = leaf_range(*leaf as usize);
                    let rows = self.store.range((*range.start()).max(*at)..=*range.end());
                    let mut rows: Vec<_> = rows.map(|(_, e)| (e.key, e.version)).collect();
                    // More in one leaf than an ask bears: what is not named comes though it is held.
                    let fits = (wire::ROOM - wire::HEAD - wire::held_size(0)) / 18;
                    rows.truncate(fits);
                    let more = wire::held_size(rows.len());
                    if size + more > wire::ROOM && !held.is_empty() {
                        break;
                    }
                    size += more;
                    held.push(Held { leaf: *leaf, rows });
                }
                *asked = held.last().map_or(0, |held| held.leaf);
                (Want::Differ { from: *at }, held)
            }
        }
    }

    /// Sends an ask; what it wants is named by its number from then on.
    fn say(&mut self, now: Millis, i: usize, want: Want, held: &[Held]) -> u32 {
        self.nonce = self.nonce.wrapping_add(1).max(1);
        let link = &self.links[i];
        let ask = Ask {
            nonce: self.nonce,
            first: self.roles[0] == Some(i),
            run: link.cursor.0,
            seq: link.cursor.1,
            root: self.store.root(),
            window: MAX_WINDOW,
            want,
        };
        let bytes = wire::ask(&ask, held);
        let (id, address) = (self.sources[i].0, self.sources[i].1.address);
        match self.sessions.seal(id, DatagramKind::Data, &bytes) {
            Some(bytes) => {
                *self.counters.entry("bytes").or_default() += bytes.len() as u64;
                self.effects.push(Effect::Datagram(address, bytes));
            }
            None => self.greet(now, address),
        }
        self.count("asks");
        self.nonce
    }

    /// A source has proved to be there.
    fn heard_of(&mut self, now: Millis, i: usize) {
        self.links[i].misses = 0;
        if self.links[i].rests_until.take().is_some() {
            self.notice(Notice::Back(self.sources[i].1.name.clone()));
            self.choose(now);
        }
    }

    fn answered(&mut self, now: Millis, i: usize, run: u64, answer: &Answer, rows: Rows) {
        // What an entry says holds whatever was asked.
        let mut rows = rows;
        if let Rows::Entries(entries) = &mut rows {
            for entry in std::mem::take(entries) {
                self.keep(entry);
            }
        }
        self.heard_of(now, i);
        let link = &mut self.links[i];
        let Some(waiting) = link.waiting.filter(|w| w.nonce == answer.nonce) else {
            if link.waiting.is_some() && answer.nonce != link.late {
                link.late = answer.nonce;
                link.patience = (link.patience * 2).min(MAX_PATIENCE);
            }
            return self.count("stale-answer");
        };
        let as_of = answer
            .age
            .and_then(|age| i64::try_from(age).ok())
            .map(|age| (waiting.sent as i64).saturating_sub(age));
        match &answer.part {
            Part::Nothing { same } => {
                if self.links[i].cursor != (run, answer.head) {
                    return self.count("stale-answer");
                }
                self.whole(now, i, as_of);
                self.should_be_same(now, i, run, answer.head, *same);
            }
            Part::Adopt => {
                self.adopt(i, run, answer.head);
                self.whole(now, i, as_of);
            }
            Part::Differs => {
                self.rest(now, i);
                self.catch_up(now, i, run, answer.head);
            }
            Part::Later { wait } => {
                self.count("later");
                self.links[i].waiting = None;
                // From when the ask was sent: so the next one comes when the place does, however long the way is.
                let wait = Millis::from(*wait).min(MAX_LATER);
                self.links[i].next_ask = (waiting.sent + wait).max(now + 1);
            }
            Part::Changes { from, to, last } => {
                let link = &mut self.links[i];
                if link.cursor.0 != run {
                    return self.count("stale-answer");
                }
                if link.pending.len() < MAX_PENDING {
                    link.pending.push((*from, *to));
                }
                link.pending.sort_unstable();
                for (from, to) in &link.pending {
                    if *from <= link.cursor.1 && *to > link.cursor.1 {
                        link.cursor.1 = *to;
                    }
                }
                let here = link.cursor.1;
                link.pending.retain(|(_, to)| *to > here);
                let last = waiting.last.or(last.then_some(*to));
                if last.is_some_and(|last| here >= last) {
                    match here >= answer.head {
                        true => self.whole(now, i, as_of),
                        false => self.go_on(now, i),
                    }
                } else {
                    self.more_comes(now, i, last);
                }
            }
            Part::Tree | Part::Leaves { .. } | Part::Walk { .. } => {
                self.caught(now, i, run, answer, rows);
            }
        }
    }

    fn keep(&mut self, entry: Entry) {
        match self.store.take(&entry) {
            Ok(true) => self.effects.push(Effect::Changed(entry)),
            Ok(false) => self.count("not-newer"),
            Err(why) => self.count(why.name()),
        }
    }

    fn adopt(&mut self, i: usize, run: u64, seq: u64) {
        self.links[i].cursor = (run, seq);
        self.links[i].pending.clear();
        self.drop_catch(i);
    }

    /// All that a source had when it answered is here.
    fn whole(&mut self, now: Millis, i: usize, as_of: Option<i64>) {
        self.rest(now, i);
        self.links[i].pending.clear();
        if let Some(as_of) = as_of {
            let link = &mut self.links[i];
            link.as_of = Some(link.as_of.map_or(as_of, |before| before.max(as_of)));
            if !std::mem::replace(&mut self.full, true) {
                self.notice(Notice::Full);
            }
        }
    }

    /// The answer is whole: the next ask has its regular time.
    fn rest(&mut self, now: Millis, i: usize) {
        let role = self.roles.iter().position(|role| *role == Some(i));
        self.links[i].waiting = None;
        self.links[i].next_ask = self.turn(now, role.unwrap_or(0));
    }

    /// There is more: it is asked for at once.
    fn go_on(&mut self, now: Millis, i: usize) {
        self.links[i].waiting = None;
        self.links[i].next_ask = now;
        self.look(now, i);
    }

    /// More of the same answer is on its way.
    fn more_comes(&mut self, now: Millis, i: usize, last: Option<u64>) {
        let until = now + self.patience(i);
        if let Some(waiting) = &mut self.links[i].waiting {
            waiting.until = until;
            waiting.last = last;
        }
    }

    /// A check on the cursors: where a source that is up to date here and holds something else goes on doing so.
    fn should_be_same(&mut self, now: Millis, i: usize, run: u64, head: u64, same: bool) {
        let link = &mut self.links[i];
        if same {
            link.differs_since = None;
            return;
        }
        let since = *link.differs_since.get_or_insert(now);
        if now >= since + COMPARE_AFTER {
            link.differs_since = None;
            self.catch_up(now, i, run, head);
        }
    }

    /// Starts a comparison, or a walk where nothing is held, unless there is one.
    fn catch_up(&mut self, now: Millis, i: usize, run: u64, head: u64) {
        if self.catch.is_some() || !self.roles.contains(&Some(i)) {
            return;
        }
        let step = match self.store.is_empty() {
            true => Step::Range { at: 0 },
            false => Step::Tree,
        };
        self.count(match step {
            Step::Tree => "comparisons",
            _ => "walks",
        });
        self.catch = Some(Catch {
            link: i,
            run,
            start: head,
            step,
            pending: Vec::new(),
            idle: 0,
        });
        self.go_on(now, i);
    }

    fn drop_catch(&mut self, i: usize) {
        if self.catch.as_ref().is_some_and(|catch| catch.link == i) {
            self.catch = None;
        }
    }

    /// An answer in a comparison or walk.
    fn caught(&mut self, now: Millis, i: usize, run: u64, answer: &Answer, rows: Rows) {
        let Some(mut catch) = self.catch.take_if(|catch| catch.link == i) else {
            return self.count("stale-answer");
        };
        // The source has restarted in between: what it was asked for means nothing any more.
        if catch.run != run {
            self.count("stale-answer");
            return self.go_on(now, i);
        }
        let seen_last = self.links[i].waiting.is_some_and(|w| w.last.is_some());
        let mut last_seen = seen_last;
        let (end, whole, moved);
        match (&mut catch.step, &answer.part, rows) {
            (Step::Tree, Part::Tree, Rows::Tree(theirs)) => {
                let ours = self.store.branches();
                let differ = (0..64).filter(|b| ours[*b] != theirs[*b]);
                let left = differ.fold(0_u64, |all, branch| all | 1 << branch);
                (end, whole, moved) = (left == 0, true, true);
                catch.step = Step::Leaves {
                    left,
                    salt: self.rng.random(),
                    differ: Vec::new(),
                };
            }
            (Step::Leaves { left, salt, differ }, Part::Leaves { last }, Rows::Leaves(theirs)) => {
                let before = *left;
                for (branch, theirs) in theirs {
                    if *left >> branch & 1 == 0 {
                        continue;
                    }
                    *left &= !(1 << branch);
                    let ours = self.store.leaves(branch as usize, *salt);
                    let leaves = (0..64).filter(|leaf| ours[*leaf] != theirs[*leaf]);
                    differ.extend(leaves.map(|leaf| u16::from(branch) * 64 + leaf as u16));
                }
                // Out of order the last may be first: what is missing then is asked for again.
                (whole, moved) = (*last || *left == 0, *left != before);
                let done = *left == 0;
                end = done && differ.is_empty();
                if done {
                    let mut leaves = std::mem::take(differ);
                    leaves.sort_unstable();
                    catch.step = Step::Differ {
                        leaves,
                        asked: 0,
                        at: 0,
                    };
                }
            }
            (
                step @ (Step::Range { .. } | Step::Differ { .. }),
                Part::Walk { from, next, last },
                _,
            ) => {
                last_seen |= *last;
                if catch.pending.len() < MAX_PENDING {
                    catch.pending.push((*from, *next));
                }
                catch.pending.sort_unstable();
                let (Step::Range { at } | Step::Differ { at, .. }) = step else {
                    return;
                };
                let (before, mut done) = (*at, false);
                for (from, next) in &catch.pending {
                    match next {
                        Some(next) if *from <= *at => *at = (*at).max(*next),
                        None if *from <= *at => done = true,
                        _ => {}
                    }
                }
                let here = *at;
                catch.pending.retain(|(from, _)| *from > here);
                whole = done || (last_seen && catch.pending.is_empty());
                moved = done || here != before;
                end = match step {
                    Step::Differ { leaves, asked, at } => {
                        let reached = leaf_of(here) as u16;
                        match done {
                            true => leaves.retain(|leaf| leaf > asked),
                            false => leaves.retain(|leaf| *leaf >= reached),
                        }
                        if done {
                            let next = leaves.first();
                            *at = next.map_or(0, |leaf| *leaf_range(*leaf as usize).start());
                        }
                        leaves.is_empty()
                    }
                    _ => done,
                };
            }
            _ => {
                self.catch = Some(catch);
                return self.count("stale-answer");
            }
        }
        if end {
            self.count("caught-up");
            self.links[i].cursor = (run, catch.start);
            self.links[i].pending.clear();
            return self.go_on(now, i);
        }
        if whole {
            catch.idle = if moved { 0 } else { catch.idle + 1 };
        }
        if catch.idle > MAX_IDLE {
            self.count("given-up");
            return self.rest(now, i);
        }
        self.catch = Some(catch);
        match whole {
            true => self.go_on(now, i),
            false => self.more_comes(now, i, last_seen.then_some(0)),
        }
    }
}
