//! Every decision of the balancer. Its interface (types, events, actions) is `src/balancer/api.rs`.
//!
//! Read it from `Balancer::handle`, what can happen, and `Balancer::choose`, where connections go: the
//! highest weighted rendezvous score, skipping down the key's own ranking past busy and cold servers.

pub mod api;

use api::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// An attempt's time-out in aims: past its aim a connection earns nothing for set-up, so try elsewhere soon.
const PATIENCE: f64 = 2.0;
/// A server is busy from this share of the strictest message aim on, which is where notes of delay begin.
const BUSY_FROM: f64 = 1.0 / 3.0;
/// A server drowns from this level on: nothing is sent there even if all others are busy too.
const DROWNING: f64 = 1.5;
/// From this level on a server has drowned: messages there take longer than the strictest aim.
const DROWNED: f64 = 1.0 / BUSY_FROM;
/// A note tells when a server is clear again, but not a node that has left it: that one tries after this.
const NOTE_LASTS: Time = 8.0;
/// First pause for a server that failed, in connect time-outs; doubled with each failure in a row.
const FAIL_PAUSE: f64 = 2.0;
/// Where so many servers answer a request with an error, the request is at fault: no other one is tried.
const ERRORS: u32 = 2;
/// A server errs from this share of errors among its answers on; each answer weighs so much in it.
const ERRING: f64 = 0.4;
const ERROR_STEP: f64 = 0.25;
/// Share of a drowning server's connections that leaves each second; more where most nodes hold none there.
const MOVE_RATE: f64 = 0.12;
const MOVE_MORE: f64 = 2.5;
/// Share of the fall budget that is used; the rest is for what other nodes misjudge.
const COLD_SAFETY: f64 = 0.85;
/// A node begins with a part of an attempt, or small parts never add up. Times its number, this spaces
/// those of a fleet evenly: they fall due one after the other, not by chance together.
const GOLDEN: f64 = 0.618_033_988_749_895;
/// What a server that drowned is sent at first, in its share of first tries; its doublings in a warm-up too.
const RECOVERY: f64 = 2.0;
/// A fleet that holds less than this share of its size, as far as this node's part tells, has room.
const LIGHT: f64 = 0.5;
/// The level of a cold server whose budget allows an attempt: under any other. Only for keys that have it
/// among this share of their first servers once it is warm: each group is paid for at each server.
const DUE: f64 = -1.0;
const HOMES: f64 = 0.2;
/// Who sees few requests until a due part is lost has less choice: the share is this over their square.
const FEW: f64 = 0.27;
/// What a connection is held to bring before any load is known.
const UNKNOWN_LOAD: f64 = UNIT / 10.0;
/// Arrivals are counted over about this many seconds.
const RATE_SPAN: Time = 10.0;
/// The share of its size that a server is filled to in the order of ranking, and a unit of size, in loads.
const FULL_FROM: f64 = 0.8;
const UNIT: f64 = 1e6;
/// Who holds little of a server knows little of it: its part may be passed by so many (Poisson) deviations.
const SURE: f64 = 2.0;
/// A guess alone holds no server to be drowning: that would turn clients away from servers with room.
const GUESSED: f64 = 0.95;
/// The mean load is taken over about so many notes.
const LOADS: f64 = 100.0;
/// The usual set-up time is a median: each set-up moves it up or down by this factor.
const USUAL_STEP: f64 = 1.05;
/// Before so many set-ups none is called slow: the median is not known yet.
const SETUPS_KNOWN: u32 = 8;
/// First pause before asking discovery again, as a share of `poll_interval`, doubled with each failure; the
/// longest: what discovery has counts as told 6 s after it can be reached again, and calls take their time.
const ASK_PAUSE: f64 = 1.0 / 32.0;
const ASK_LONGEST: Time = 2.0;
/// The timer that asks discovery again.
const ASK: u64 = 1;
/// The timer that looks at waiting requests again, and its period as a share of the shortest set-up aim.
const WAKE: u64 = 2;
const WAKE_SHARE: f64 = 0.25;
/// Gap between sends under strain: this share of the time between first tries, doubled for each failure.
const GAP_SHARE: f64 = 1.0 / 12.0;
const MAX_GAP: u32 = 7;

/// A server as this node knows it.
#[derive(Default, Deserialize, Serialize)]
struct Server {
    /// Its entry in the list.
    at: Endpoint,
    /// Requests of this node that are out or stand there; a gone server is kept while there are any.
    #[serde(skip)]
    held: BTreeSet<RequestId>,
    /// Time of a message there over the busy threshold: 1 is just at it.
    level: f64,
    /// Held to be busy or failing until then.
    shut_until: Time,
    failures: u32,
    /// The share of errors among its answers of late.
    errors: f64,
    /// The load of the requests of this node that it holds.
    #[serde(skip)]
    load: f64,
    /// When it last drowned or failed: what comes back from that is let in slowly too.
    sick: Time,
    /// Attempts that this node may still send while the server is cold or sick, and when that was counted.
    tokens: (f64, Time),
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Held,
    Out(ServerId),
    Standing(ServerId),
}

/// A request from its arrival to its end.
struct Live {
    request: Request,
    phase: Phase,
    attempts: u32,
    tried: Vec<ServerId>,
    /// When the last attempt was sent.
    sent: Time,
    /// The first attempt that may have run: when it was sent, and the zone and cell it went to.
    maybe_ran: Option<(Time, u32, u32)>,
    /// Load as last noted, else as hinted, else 0.
    load: f64,
    /// Servers that answered with an error.
    errors: u32,
}

/// The decisions of one node. Read back by the process that takes its place, it goes on with new settings.
#[derive(Default, Deserialize, Serialize)]
pub struct Balancer {
    #[serde(skip)]
    config: BalancerConfig,
    random: u64,
    /// Sorted by id, so that no decision depends on the order of a list.
    servers: Vec<Server>,
    #[serde(skip)]
    live: BTreeMap<RequestId, Live>,
    /// How often waiting requests are looked at; time of a message from which its server is busy.
    wake: Time,
    busy_at: Time,
    /// The median time of a set-up here, 0 before the first, and of how many set-ups.
    usual_setup: Time,
    setups: u32,
    asks_failed: i32,
    started: bool,
    /// The mean load of a connection, by so many notes.
    usual_load: (f64, f64),
    /// First tries a second and all arrivals, and when that was counted.
    rate: (f64, f64, Time),
    /// The size of all servers that take new work.
    size: f64,
    /// Connections of this node that stand.
    #[serde(skip)]
    standing: u32,
    /// Requests that wait for room, in order of arrival.
    #[serde(skip)]
    waiting: Vec<RequestId>,
    /// Failures of late, halved by each connection that stands.
    strain: u32,
    next_send: Time,
}

/// Spreads all bits of `x` over the result (the finalizer of SplitMix64).
fn mix64(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A hash as a fraction strictly inside (0, 1).
fn fraction(hash: u64) -> f64 {
    ((hash >> 12) as f64 + 0.5) / (1u64 << 52) as f64
}

/// The weighted rendezvous score of a server for a key: the highest wins.
pub fn score(key: Key, server: ServerId, weight: f64) -> f64 {
    -weight / libm::log(hash(key, server))
}

fn hash(key: Key, server: ServerId) -> f64 {
    fraction(mix64(key.0.wrapping_mul(3) ^ server.0))
}

impl Balancer {
    /// A node's balancer at its start. All randomness comes from `seed`.
    pub fn new(config: BalancerConfig, seed: u64) -> Self {
        let mut new = Self {
            random: seed,
            ..Self::default()
        };
        new.settle(&config);
        new
    }

    /// Takes settings, at the start or while running.
    fn settle(&mut self, config: &BalancerConfig) {
        let aims = config.classes.iter().map(|class| class.latency_objective);
        self.wake = (aims.fold(f64::INFINITY, f64::min) * WAKE_SHARE).clamp(0.01, 1.0);
        let aims = config
            .classes
            .iter()
            .filter_map(|class| class.message_latency_objective);
        self.busy_at = aims.fold(f64::INFINITY, f64::min) * BUSY_FROM;
        // What failed at the old discovery must not delay the first calls to a new one.
        (self.started, self.asks_failed) = (false, 0);
        self.config = config.clone();
    }

    /// Takes one event and appends what is to be done, in order.
    pub fn handle(&mut self, now: Time, event: &Event, out: &mut Vec<Action>) {
        if let Event::ConfigChanged(config) = event {
            self.settle(config);
        }
        // At the start, and again with new settings, which may name another discovery.
        if !std::mem::replace(&mut self.started, true)
            && self.config.discovery_mode == DiscoveryMode::Polled
        {
            out.push(Action::PollDiscovery);
        }
        match event {
            Event::Request(known) | Event::AlreadyEstablished(known, _)
                if self.live.contains_key(&known.id) => {}
            Event::EndpointsUpdated(kind, entries) => self.members(now, *kind, entries),
            Event::DiscoveryFailed => self.ask_again(out),
            Event::Request(request) => self.accept(now, request, out),
            Event::AlreadyEstablished(request, server) => self.open(now, request, *server),
            Event::Established(id, server) => self.stand(now, *id, *server, out),
            Event::AttemptEnded(ended) => self.ended(now, ended, out),
            Event::LoadReport(id, load) => self.loaded(*id, *load),
            Event::LatencyReport(server, delay) => {
                self.noted(now, *server, delay / self.busy_at, out)
            }
            Event::HealthChecked(id, shut) => self.probed(now, *id, *shut),
            Event::ClientDisconnected(id) => self.left(*id, out),
            Event::Timer(ASK) => out.push(Action::PollDiscovery),
            Event::ShutdownDeadline(id) => self.finish(*id, out),
            Event::Timer(WAKE) => {
                for id in std::mem::take(&mut self.waiting) {
                    self.attempt(now, id, out);
                }
            }
            Event::ConfigChanged(_) | Event::Timer(_) | Event::PeerMessage(_) => {}
        }
    }

    fn random(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        fraction(mix64(self.random))
    }

    fn find(&mut self, id: ServerId) -> Option<&mut Server> {
        let at = self.servers.binary_search_by_key(&id, |s| s.at.id).ok()?;
        Some(&mut self.servers[at])
    }

    /// Nodes whose calls failed together must not call together again: the pause grows and is jittered.
    fn ask_again(&mut self, out: &mut Vec<Action>) {
        let share = (ASK_PAUSE * f64::from(1 << self.asks_failed.min(4))).min(0.5);
        self.asks_failed += 1;
        let after = (self.config.poll_interval * share).min(ASK_LONGEST) * (0.5 + self.random());
        out.push(Action::SetTimer { after, token: ASK });
    }

    fn members(&mut self, now: Time, kind: UpdateKind, entries: &[Endpoint]) {
        self.asks_failed = 0;
        let all = self
            .servers
            .iter_mut()
            .filter(|_| kind != UpdateKind::Delta);
        all.for_each(|server| server.at.state = EndpointState::Removed);
        for entry in entries {
            let (mut at, usable) = (*entry, entry.weight.is_finite() && entry.weight > 0.0);
            at.started = at.started.min(now);
            at.weight = if usable { at.weight } else { 1.0 };
            let part = f64::from(self.config.balancer_index) * GOLDEN + fraction(mix64(at.id.0));
            let fresh = Server {
                at,
                sick: f64::NEG_INFINITY,
                tokens: (part.fract(), now),
                ..Server::default()
            };
            match self.servers.binary_search_by_key(&at.id, |s| s.at.id) {
                Err(place) => self.servers.insert(place, fresh),
                // A restart under the same id: what was held against the old process is void.
                Ok(place) if self.servers[place].at.started != at.started => {
                    let old = std::mem::replace(&mut self.servers[place], fresh);
                    (self.servers[place].held, self.servers[place].load) = (old.held, old.load);
                }
                Ok(place) => self.servers[place].at = at,
            }
        }
        let ready = |s: &&Server| s.at.state == EndpointState::Ready;
        let ready = self.servers.iter().filter(ready);
        self.size = ready.map(|s| s.at.weight).sum();
        // A list that drops a cold server and names it again must not bring it a fresh budget.
        let cold = now - self.config.slow_start_window;
        self.servers.retain(|server| {
            server.at.state != EndpointState::Removed
                || !server.held.is_empty()
                || server.at.started > cold
        });
    }

    fn accept(&mut self, now: Time, request: &Request, out: &mut Vec<Action>) {
        let (first, all, since) = self.rate;
        let (kept, one) = (libm::exp((since - now) / RATE_SPAN), 1.0 / RATE_SPAN);
        let first = first * kept + if request.is_reconnect { 0.0 } else { one };
        self.rate = (first, all * kept + one, now);
        let live = Live::new(now, request, Phase::Held, self.mean_load());
        self.live.insert(request.id, live);
        self.attempt(now, request.id, out);
    }

    fn open(&mut self, now: Time, request: &Request, server: ServerId) {
        let live = Live::new(now, request, Phase::Standing(server), self.mean_load());
        let Some(at) = self.find(server) else { return };
        at.held.insert(request.id);
        at.load += live.load;
        self.standing += 1;
        self.live.insert(request.id, live);
    }

    /// The share of its capacity that a server has at least by now: it grows evenly while it is cold.
    fn warmth(&self, now: Time, server: &Server) -> f64 {
        let age = (now - server.at.started) / self.config.slow_start_window;
        if server.at.started <= 0.0 || age.is_nan() || age >= 1.0 {
            return 1.0;
        }
        self.config.cold_capacity_share + (1.0 - self.config.cold_capacity_share) * age.max(0.0)
    }

    /// Attempts that a cold server may be sent by now: this node's part of the budget. What is not used in
    /// time is lost: saved up, it comes in one wave.
    fn budget(&self, now: Time, server: &Server, warmth: f64) -> f64 {
        let (tokens, since) = server.tokens;
        // This node's part of what fills the server over a warm-up.
        let nodes = f64::from(self.config.balancer_count.max(1));
        let part =
            UNIT * server.at.weight / self.mean_load() / self.config.slow_start_window / nodes;
        let fill = if warmth < 1.0 {
            let warmth = (warmth + self.warmth(since, server)) / 2.0;
            COLD_SAFETY * self.config.overload_multiple * warmth * part
        } else {
            let recovered = (now - server.sick) / self.config.slow_start_window;
            let rate = RECOVERY * (self.rate.0 * libm::exp2(RECOVERY * recovered));
            // One that drowned and is quick again is held back less where the fleet has room.
            let load = f64::from(self.standing) * self.mean_load() * nodes;
            let quick = server.level > 0.0 && server.level < 1.0 && load < LIGHT * UNIT * self.size;
            (rate / self.servers.len() as f64).max(if quick { part } else { 0.0 })
        };
        let most = (fill * self.config.overload_window).max(1.0);
        let tokens = tokens + fill * (now - since);
        if warmth < 1.0 && tokens >= 1.0 && tokens.fract() > fill * self.config.overload_window {
            return tokens.fract();
        }
        tokens.min(most)
    }

    /// Where this request goes next. `None`: nowhere.
    fn choose(&self, now: Time, live: &Live, but: Option<ServerId>) -> Option<ServerId> {
        let request = &live.request;
        let key = request.group.or(request.key).unwrap_or(Key(request.id.0));
        let scope = match (self.class(live)?.idempotency, live.maybe_ran) {
            (Idempotency::Keyed { scope, .. }, Some((_, zone, cell))) => Some((scope, zone, cell)),
            _ => None,
        };
        // The best clear server, else the least busy one.
        let mut best: Option<(f64, f64, ServerId, f64, f64)> = None;
        for server in &self.servers {
            let flows = request.mid_flow
                && live.attempts == 0
                && server.at.state == EndpointState::Draining;
            let listed = server.at.state == EndpointState::Ready || flows;
            let in_scope = match scope {
                Some((DeduplicationScope::Zone, zone, _)) => server.at.zone == zone,
                Some((DeduplicationScope::Cell, _, cell)) => server.at.cell == cell,
                _ => true,
            };
            let tried = live.tried.contains(&server.at.id) || but == Some(server.at.id);
            if !listed || !in_scope || tried {
                continue;
            }
            let warmth = self.warmth(now, server);
            let sick = now < server.sick + self.config.slow_start_window;
            if (warmth < 1.0 || sick) && self.budget(now, server, warmth) < 1.0 {
                continue;
            }
            let shut = server.shut_until > now;
            let level = match () {
                () if request.mid_flow => 0.0,
                () if shut && server.failures > 0 => f64::INFINITY,
                () if shut => server.level,
                // What a cold server may be sent is its budget's to say: a part that is due goes first.
                () if warmth < 1.0 && self.home(key, server) => DUE,
                () => self.over(server, warmth).min(GUESSED),
            };
            // Where every server drowns or fails, hunting for room drowns them all: wait instead.
            if level >= DROWNING || best.is_some_and(|(low, ..)| level > low) {
                continue;
            }
            let (weight, h) = (server.at.weight * warmth, hash(key, server.at.id));
            // The logarithm is dear: it is left out where neither weight nor hash is above the best's.
            if best.is_some_and(|(low, _, _, w, top)| level == low && weight <= w && h <= top) {
                continue;
            }
            let score = -weight / libm::log(h);
            if best.is_none_or(|(low, high, ..)| level < low || score > high) {
                best = Some((level, score, server.at.id, weight, h));
            }
        }
        best.filter(|b| but.is_none() || b.0 <= 0.0).map(|b| b.2)
    }

    /// Whether a server will be among a key's first ones once it is warm.
    fn home(&self, key: Key, server: &Server) -> bool {
        let full = |s: &Server| score(key, s.at.id, s.at.weight);
        let own = full(server);
        let before = |s: &&Server| s.at.state == EndpointState::Ready && full(s) > own;
        let arrivals = self.rate.1 * self.config.overload_window;
        let share = (FEW / (arrivals * arrivals)).clamp(HOMES, 1.0);
        (self.servers.iter().filter(before).count() as f64) < share * self.servers.len() as f64
    }

    /// Sends a request that is held to its next server, or gives its final answer.
    fn attempt(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(live) = self.live.get(&id) else {
            return;
        };
        let (due, load) = (live.request.deadline, live.load);
        let arrives = now + self.config.connect_timeout;
        // A second run of what may have run must be harmless, or discarded by the servers, in time.
        let barred = match (
            self.class(live).map(|class| class.idempotency),
            live.maybe_ran,
        ) {
            (Some(Idempotency::NonIdempotent), Some(_)) => true,
            (Some(Idempotency::Keyed { window, .. }), Some((sent, ..))) => arrives >= sent + window,
            _ => false,
        };
        let may = live.attempts < self.config.max_attempts && now < due && !barred;
        let aim = self
            .class(live)
            .map_or(due, |class| class.latency_objective);
        // Leave room for another try before the client gives up, unless this is the last.
        let last = live.attempts + 1 >= self.config.max_attempts;
        let patience = if last { f64::INFINITY } else { aim * PATIENCE };
        let until = due.min(now + patience);
        let open = may && now >= self.next_send;
        let Some(server) = open.then(|| self.choose(now, live, None)).flatten() else {
            // A client that is turned away comes again at once: its waiting here costs the servers nothing.
            return if may && now + aim < due {
                self.wait(id, out)
            } else {
                self.finish(id, out)
            };
        };
        if self.strain > 0 {
            // A node with much traffic sends more in the same gap: one node alone must not starve its fleet.
            let unit = self.wake.min(GAP_SHARE / self.rate.0);
            let gap = unit * f64::from(1 << self.strain);
            self.next_send = now + gap * (0.5 + self.random());
        }
        out.push(Action::StartAttempt { id, server, until });
        if let Ok(at) = self.servers.binary_search_by_key(&server, |s| s.at.id) {
            let warmth = self.warmth(now, &self.servers[at]);
            let tokens = self.budget(now, &self.servers[at], warmth) - 1.0;
            self.servers[at].tokens = (tokens.max(0.0), now);
            self.servers[at].held.insert(id);
            self.servers[at].load += load;
        }
        if let Some(live) = self.live.get_mut(&id) {
            (live.phase, live.sent) = (Phase::Out(server), now);
            live.attempts += 1;
            live.tried.push(server);
        }
    }

    fn class(&self, live: &Live) -> Option<&RequestClass> {
        self.config.classes.get(live.request.class)
    }

    fn wait(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if self.waiting.is_empty() {
            let after = self.wake * (0.5 + self.random());
            out.push(Action::SetTimer { after, token: WAKE });
        }
        self.waiting.push(id);
    }

    /// The final answer where no attempt may follow: a refusal only if a retry by the client is harmless.
    fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(live) = self.forget(id) else { return };
        let repeats = match self.class(&live).map(|class| class.idempotency) {
            Some(Idempotency::NonIdempotent) => false,
            Some(Idempotency::Keyed { scope, .. }) => scope == DeduplicationScope::All,
            _ => true,
        };
        let harmless = repeats || (live.maybe_ran.is_none() && live.phase == Phase::Held);
        let retry_after = self.config.max_retry_after.unwrap_or(0.0) * self.random();
        let refuse = Action::Reject { id, retry_after };
        out.push(if harmless { refuse } else { Action::Fail(id) });
    }

    /// Drops all that is kept for a request.
    fn forget(&mut self, id: RequestId) -> Option<Live> {
        let live = self.live.remove(&id)?;
        self.detach(id, live.phase, live.load);
        Some(live)
    }

    /// Takes a request off the server that it is out or stands at.
    fn detach(&mut self, id: RequestId, phase: Phase, load: f64) {
        self.standing -= u32::from(matches!(phase, Phase::Standing(_)));
        if let Phase::Out(server) | Phase::Standing(server) = phase
            && let Some(server) = self.find(server)
        {
            server.held.remove(&id);
            server.load -= load;
        }
    }

    fn stand(&mut self, now: Time, id: RequestId, server: ServerId, out: &mut Vec<Action>) {
        let Some(live) = self.live.get_mut(&id) else {
            return;
        };
        if live.phase != Phase::Out(server) {
            return;
        }
        live.phase = Phase::Standing(server);
        let took = now - live.sent;
        self.standing += 1;
        self.strain /= 2;
        if let Some(server) = self.find(server) {
            server.errors -= server.errors * ERROR_STEP;
            if server.errors < ERRING {
                server.failures = 0;
            }
        }
        let usual = self.usual_setup;
        let step = USUAL_STEP.powi(if took > usual { 1 } else { -1 });
        self.usual_setup = if usual <= 0.0 { took } else { usual * step };
        self.setups = self.setups.saturating_add(1);
        let level = (took - usual) / self.busy_at;
        if self.setups > SETUPS_KNOWN && level >= 1.0 {
            self.noted(now, server, level, out);
        }
    }

    fn ended(&mut self, now: Time, ended: &AttemptEnded, out: &mut Vec<Action>) {
        let (id, to, how) = (ended.id, ended.server, ended.outcome);
        let Some(live) = self.live.get(&id) else {
            return;
        };
        let (sent, phase, load) = (live.sent, live.phase, live.load);
        // News of an attempt that is not the one out: it was given up before.
        if !ended.settled && phase != Phase::Out(to) && phase != Phase::Standing(to) {
            return;
        }
        let first_pause = FAIL_PAUSE * self.config.connect_timeout;
        let (mut zone, mut cell) = (0, 0);
        if let Some(server) = self.find(to) {
            (zone, cell) = (server.at.zone, server.at.cell);
            let failing = match how {
                Outcome::Rejected | Outcome::ConnectFailed | Outcome::Timeout => true,
                // One error may be the request's own fault, and one reset the network's.
                Outcome::Error | Outcome::Reset => {
                    server.errors += (1.0 - server.errors) * ERROR_STEP;
                    server.errors >= ERRING
                }
                _ => false,
            };
            // A server that fails, refuses or drops connections is left alone for a while. What ends there
            // meanwhile began before: one that breaks all its connections at once has failed once.
            if failing && (server.failures == 0 || now >= server.shut_until) {
                let pause = first_pause * f64::from(1 << server.failures.min(5));
                server.shut_until = server.shut_until.max(now + pause);
                (server.failures, server.sick) = (server.failures + 1, now);
                // Retries that come at once keep a drowned fleet down: send slower the more fail.
                if how != Outcome::ConnectFailed {
                    self.strain = (self.strain + 1).min(MAX_GAP);
                }
            }
        }
        if ended.settled {
            self.forget(id);
            return;
        }
        self.detach(id, phase, load);
        if let Some(live) = self.live.get_mut(&id) {
            live.phase = Phase::Held;
            let never_ran = matches!(
                how,
                Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
            );
            if !never_ran && live.maybe_ran.is_none() {
                live.maybe_ran = Some((sent, zone, cell));
            }
            live.errors += u32::from(how == Outcome::Error);
            if live.errors >= ERRORS {
                self.forget(id);
                return out.push(Action::Fail(id));
            }
        }
        self.attempt(now, id, out);
    }

    /// Takes the load of a connection, and the mean with it.
    fn loaded(&mut self, id: RequestId, load: f64) {
        let Some(live) = self.live.get_mut(&id) else {
            return;
        };
        let (was, phase) = (std::mem::replace(&mut live.load, load), live.phase);
        if let Phase::Out(server) | Phase::Standing(server) = phase
            && let Some(server) = self.find(server)
        {
            server.load += load - was;
        }
        let (mean, notes) = (self.usual_load.0, (self.usual_load.1 + 1.0).min(LOADS));
        self.usual_load = (mean + (load - mean) / notes, notes);
    }

    fn mean_load(&self) -> f64 {
        let mean = Some(self.usual_load.0).filter(|mean| *mean > 0.0);
        mean.unwrap_or(UNKNOWN_LOAD)
    }

    /// How far this node's load at a server lies over its part of what the server is filled to, with one
    /// connection more. Nodes do not know each other's loads: each keeps its part, so that the sum is kept.
    fn over(&self, server: &Server, warmth: f64) -> f64 {
        if self.usual_load.1 == 0.0 {
            return 0.0;
        }
        let whole = FULL_FROM * UNIT * server.at.weight * warmth;
        let part = whole / f64::from(self.config.balancer_count.max(1));
        let mean = self.mean_load();
        // Whose part is less than a connection learns nothing from holding one or none: a guess would send
        // a group's clients to a server each, and every server that holds one pays for the group.
        if part < mean {
            return 0.0;
        }
        let most = part + SURE * libm::sqrt(part * mean);
        ((server.load.max(0.0) + mean) / most - 1.0).max(0.0)
    }

    /// A busy server gets nothing new, and some connections move down their ranking.
    fn noted(&mut self, now: Time, id: ServerId, level: f64, out: &mut Vec<Action>) {
        if let Some(server) = self.find(id) {
            server.level = level;
            server.sick = if level >= DROWNING { now } else { server.sick };
            server.shut_until = if level >= 1.0 { now + NOTE_LASTS } else { now };
        }
        let random = self.random();
        if level < 1.0 {
            return;
        }
        let held = self.find(id).map(|s| s.held.iter().copied().collect());
        let held: Vec<RequestId> = held.unwrap_or_default();
        let rate = MOVE_RATE * (1.0 + MOVE_MORE * libm::exp(1.0 - held.len() as f64));
        let count = held.len() as f64 * rate * ((level - 1.0) / (DROWNED - 1.0)).min(1.0);
        let here = held.iter().filter_map(|id| self.live.get(id));
        let mut heavy: Vec<&Live> = here.filter(|l| l.phase == Phase::Standing(id)).collect();
        heavy.sort_by(|a, b| b.load.total_cmp(&a.load));
        heavy.truncate((count + random) as usize);
        // What stands on a drowned server is served nothing: shed it even if it must wait for room.
        heavy.retain(|live| level >= DROWNED || self.choose(now, live, Some(id)).is_some());
        out.extend(heavy.iter().map(|live| Action::Migrate(live.request.id)));
    }

    /// A probe has reached a server, or not: then it is left alone until that time, or until one does.
    fn probed(&mut self, now: Time, id: ServerId, shut: Option<Time>) {
        let Some(server) = self.find(id) else { return };
        if let Some(until) = shut {
            server.shut_until = server.shut_until.max(until);
            (server.failures, server.sick) = (server.failures.max(1), now);
        } else if server.failures > 0 {
            (server.failures, server.shut_until) = (0, now);
        }
    }

    /// The client left: an attempt that is still out is called off to spare the server.
    fn left(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if let Some(live) = self.forget(id)
            && matches!(live.phase, Phase::Out(_))
            && self.config.can_cancel_attempts
        {
            let attempt = live.attempts - 1;
            out.push(Action::CancelAttempt { id, attempt });
        }
    }
}

impl Live {
    fn new(now: Time, request: &Request, phase: Phase, usual_load: f64) -> Self {
        Self {
            request: *request,
            phase,
            attempts: u32::from(phase != Phase::Held),
            tried: Vec::new(),
            sent: now,
            maybe_ran: None,
            load: request.load_hint.unwrap_or(usual_load),
            errors: 0,
        }
    }
}
