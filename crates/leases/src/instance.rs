//! All duties of one instance: whose turn it is, when to claim, hand over and take over. Messages of one moment to
//! one instance leave together, so that the cost follows the duties' rate and not their number.
//!
//! The instance that ranks first among those alive has a duty. Where someone else holds it, it asks for it and is
//! given it between two periods. Where the first does nothing (it does not know the duty, or cannot reach a
//! majority), the voters of that duty take over one after the other once its holder is late.

use crate::claim::{Claim, Stage, Step};
use crate::division::Ranking;
use crate::vote::{LATE_SHARE, Voter};
use crate::{DutyId, InstanceId, Item, Millis, Now, Permit, Why};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Voters of one duty.
pub const PANEL: usize = 5;
/// A permit ends this share of a period before the period does.
const REST_SHARE: u64 = 4;
/// What is asked and not answered is asked again after this, at most so often.
const ASK_AGAIN: Millis = 100;
const ASKS: u32 = 6;
/// Claims that fall due within this share of the shortest period travel together, within these bounds.
const QUANTUM_SHARE: u64 = 50;
const QUANTUM: (Millis, Millis) = (5, 200);
/// Voters take over one after the other, this share of a period apart.
const STAGGER_SHARE: u64 = 8;

/// What an instance is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Itself.
    pub me: InstanceId,
    /// This run of the process: never the same twice.
    pub boot: u64,
    /// The instances that may vote, the same at all of them.
    pub voters: Vec<InstanceId>,
    /// How far wall clocks may lie apart.
    pub skew: Millis,
    /// Ranks instances for a duty.
    pub ranking: Ranking,
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send these to an instance, in as many datagrams as it takes.
    Send(InstanceId, Vec<Item>),
    /// Do a duty, as long as the permit holds.
    Perform(Permit),
    /// So many periods of a duty have passed undone.
    Missed(DutyId, u64),
    /// No majority could be had for a duty of ours (`true`), or one can again.
    Minority(DutyId, bool),
    /// The duty is ours now (`true`) or no longer.
    Holds(DutyId, bool),
}

/// What is known of one duty here.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The duty.
    pub duty: DutyId,
    /// Its period.
    pub every: Millis,
    /// Who holds it, as far as this instance knows.
    pub holder: Option<InstanceId>,
    /// The last period that this instance won or voted for.
    pub period: u64,
    /// How long ago.
    pub since: Option<Millis>,
    /// Periods done here, and periods that passed undone before a take-over here or that came too late.
    pub done: u64,
    /// See `done`.
    pub missed: u64,
    /// This instance should do it and finds no majority.
    pub minority: bool,
}

#[derive(Clone, Debug)]
struct Duty {
    every: Millis,
    panel: Vec<InstanceId>,
    claim: Claim,
    /// Who ranks first among those alive.
    first: Option<InstanceId>,
    /// When the next period may be claimed; for an idle one, when to look again.
    due: Millis,
    /// Its entry in the timers.
    wake: Option<Millis>,
    asks: u32,
    /// Someone who ranks higher would have it.
    wanted: bool,
    /// The last period won here, and when it was proposed.
    won: Option<(u64, Millis)>,
    done: u64,
    missed: u64,
    /// The duty is held, as far as was told.
    held: bool,
    minority: bool,
    added: Millis,
}

impl Duty {
    /// Claimants that failed together must not try again together: another span for each of them, each time.
    fn jitter(&self, id: DutyId, me: InstanceId) -> Millis {
        let drawn = Ranking::mix(id.0 ^ me.0 ^ self.claim.ballot.count);
        drawn % (self.every / STAGGER_SHARE + 1)
    }
}

/// The duties of one instance. See the module's page.
#[derive(Clone, Debug)]
pub struct Instance {
    settings: Settings,
    voter: Voter,
    alive: BTreeSet<InstanceId>,
    duties: BTreeMap<DutyId, Duty>,
    timers: BTreeSet<(Millis, DutyId)>,
    outbox: BTreeMap<InstanceId, Vec<Item>>,
    outputs: Vec<Output>,
    quantum: Millis,
}

impl Instance {
    /// An instance that knows no duty and nobody but itself.
    pub fn new(now: Now, settings: Settings) -> Self {
        let voter = Voter::new(now, settings.skew);
        Self {
            alive: BTreeSet::from([settings.me]),
            settings,
            voter,
            duties: BTreeMap::new(),
            timers: BTreeSet::new(),
            outbox: BTreeMap::new(),
            outputs: Vec::new(),
            quantum: QUANTUM.1,
        }
    }

    /// Takes the duties over, each with its period: new ones begin, missing ones are let go, the rest go on.
    pub fn configure(&mut self, now: Now, duties: &BTreeMap<DutyId, Millis>) {
        let gone: Vec<DutyId> = self
            .duties
            .iter()
            .filter(|(id, duty)| duties.get(id) != Some(&duty.every))
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            self.let_go(now, id);
            if let Some(wake) = self.duties.remove(&id).and_then(|duty| duty.wake) {
                self.timers.remove(&(wake, id));
            }
        }
        for (id, every) in duties {
            if self.duties.contains_key(id) {
                continue;
            }
            let every = (*every).max(1);
            let ranking = self.settings.ranking;
            let duty = Duty {
                every,
                panel: ranking.panel(*id, &self.settings.voters, PANEL),
                claim: Claim::new(),
                first: ranking.first(*id, &self.alive),
                due: now.mono,
                wake: None,
                asks: 0,
                wanted: false,
                won: None,
                done: 0,
                missed: 0,
                held: false,
                minority: false,
                added: now.mono,
            };
            self.duties.insert(*id, duty);
            self.look(now, *id);
        }
        let shortest = self.duties.values().map(|duty| duty.every).min();
        let quantum = shortest.unwrap_or(u64::MAX) / QUANTUM_SHARE;
        self.quantum = quantum.clamp(QUANTUM.0, QUANTUM.1);
    }

    /// Takes over who is there; this instance itself always is.
    pub fn view(&mut self, now: Now, alive: &BTreeSet<InstanceId>) {
        let mut alive = alive.clone();
        alive.insert(self.settings.me);
        let came: Vec<InstanceId> = alive.difference(&self.alive).copied().collect();
        let left: BTreeSet<InstanceId> = self.alive.difference(&alive).copied().collect();
        if came.is_empty() && left.is_empty() {
            return;
        }
        self.alive = alive;
        let ranking = self.settings.ranking;
        let mut moved = Vec::new();
        for (id, duty) in &mut self.duties {
            // Only the duties of those that came or went can have moved.
            let first = match duty.first {
                Some(first) if !left.contains(&first) => {
                    ranking.first(*id, came.iter().chain([&first]))
                }
                _ => ranking.first(*id, &self.alive),
            };
            if std::mem::replace(&mut duty.first, first) != first {
                moved.push(*id);
            }
        }
        for id in moved {
            self.look(now, id);
        }
    }

    /// Takes what another instance sends.
    pub fn receive(&mut self, now: Now, from: InstanceId, items: &[Item]) {
        for item in items {
            self.take(now, from, item);
        }
    }

    /// When [`Instance::wake`] has to be called at the latest.
    pub fn next_wake(&self) -> Option<Millis> {
        let at = self.timers.first()?.0;
        // Rounded up, so that what falls due together is sent together.
        Some(at.div_ceil(self.quantum) * self.quantum)
    }

    /// Carries out what has fallen due.
    pub fn wake(&mut self, now: Now) {
        while let Some((at, id)) = self.timers.first().copied()
            && at <= now.mono
        {
            self.timers.pop_first();
            if let Some(duty) = self.duties.get_mut(&id) {
                duty.wake = None;
            }
            self.due(now, id);
        }
    }

    /// What is to be done, in order.
    pub fn outputs(&mut self) -> Vec<Output> {
        let mut outputs = std::mem::take(&mut self.outputs);
        let sends = std::mem::take(&mut self.outbox);
        outputs.extend(sends.into_iter().map(|(to, items)| Output::Send(to, items)));
        outputs
    }

    /// The driver did a duty, or (`false`) found its permit run out before that.
    pub fn performed(&mut self, permit: &Permit, in_time: bool) {
        if let Some(duty) = self.duties.get_mut(&permit.duty) {
            match in_time {
                true => duty.done += 1,
                false => duty.missed += 1,
            }
        }
    }

    /// What is known of each duty.
    pub fn status(&self, now: Now) -> impl Iterator<Item = Status> + '_ {
        self.duties.iter().map(move |(id, duty)| {
            let slot = self.voter.slot(*id);
            let ours = matches!(duty.claim.stage, Stage::Holding | Stage::Claiming);
            let voted = slot.and_then(|slot| slot.at.map(|at| (slot.last, at)));
            let last = voted.max(duty.won);
            Status {
                duty: *id,
                every: duty.every,
                holder: match (ours, slot) {
                    (true, _) => Some(self.settings.me),
                    (false, Some(slot)) if slot.at.is_some() && !slot.free => {
                        Some(InstanceId(slot.promised.by))
                    }
                    _ => duty.claim.holder.map(InstanceId),
                },
                period: last.map_or(0, |(period, _)| period),
                since: last.map(|(_, at)| now.mono.saturating_sub(at)),
                done: duty.done,
                missed: duty.missed,
                minority: duty.minority,
            }
        })
    }

    /// All that is kept of a duty here, for whoever looks for a fault.
    pub fn describe(&self, id: DutyId) -> String {
        format!("{:?} {:?}", self.duties.get(&id), self.voter.slot(id))
    }

    /// How long this instance still abstains from votes on a duty with this period.
    pub fn abstains(&self, now: Now, every: Millis) -> Millis {
        self.voter.abstains(now, every)
    }

    fn take(&mut self, now: Now, from: InstanceId, item: &Item) {
        match item {
            Item::Prepare { duty, .. } | Item::Accept { duty, .. } | Item::Yield { duty, .. } => {
                let id = *duty;
                // A voter answers for any duty, also one that it has not been told of yet.
                if let Some(answer) = self.voter.handle(now, item, &self.alive) {
                    self.say(now, from, answer);
                }
                if from != self.settings.me {
                    self.rest_until_late(now, id);
                }
            }
            Item::Want { duty } => {
                let id = *duty;
                let Some(duty) = self.duties.get_mut(&id) else {
                    return;
                };
                duty.wanted = duty.first == Some(from) && from != self.settings.me;
                if duty.wanted && duty.claim.stage == Stage::Holding {
                    self.let_go(now, id);
                }
            }
            Item::Promise { duty, ballot, .. }
            | Item::Accepted { duty, ballot, .. }
            | Item::Refused { duty, ballot, .. } => {
                let id = *duty;
                let Some(duty) = self.duties.get_mut(&id) else {
                    return;
                };
                if !duty.panel.contains(&from) {
                    return;
                }
                if matches!(
                    item,
                    Item::Refused {
                        why: Why::Unknown,
                        ..
                    }
                ) && *ballot == duty.claim.ballot
                {
                    let (every, ballot) = (duty.every, *ballot);
                    let ask = Item::Prepare {
                        duty: id,
                        ballot,
                        every,
                        trial: false,
                    };
                    return self.say(now, from, ask);
                }
                let voters = duty.panel.len();
                let step = duty.claim.answer(from.0, item, voters);
                if step != Step::None {
                    return self.step(now, id, step);
                }
                if duty.claim.stage == Stage::Holding && duty.claim.outvoted {
                    self.ask(now, id);
                }
            }
        }
    }

    /// What an answer has led to.
    fn step(&mut self, now: Now, id: DutyId, step: Step) {
        let me = self.settings.me;
        let Some(duty) = self.duties.get_mut(&id) else {
            return;
        };
        match step {
            Step::None => {}
            Step::MayPrepare => self.ask(now, id),
            Step::Holds { since } => {
                // What was proposed and met voters that had promised more is proposed again, while there is time.
                let open = duty.claim.resumes();
                let in_time = open.filter(|(_, sent)| now.mono < sent + duty.every / 2);
                if in_time.is_none() {
                    duty.claim.close();
                }
                duty.due = match since {
                    _ if in_time.is_some() => now.mono,
                    Some(age) => {
                        // What passed before this instance had the duty: whole periods that nobody voted for.
                        let passed = ((age + duty.every / 2) / duty.every).saturating_sub(1);
                        if passed > 0 {
                            duty.missed += passed;
                            self.outputs.push(Output::Missed(id, passed));
                        }
                        (now.mono + duty.every).saturating_sub(age)
                    }
                    // Nobody has done it yet: all at once would be a wave, so the ids spread them.
                    None => now.mono + id.0 % duty.every / 2,
                };
                (duty.asks, duty.wanted) = (0, false);
                duty.claim.holder = None;
                self.holds(id, true);
                self.minority(id, false);
                self.arm_due(now, id);
            }
            Step::Won => {
                let sent = duty.claim.sent;
                let until = sent + duty.every - duty.every / REST_SHARE;
                let period = duty.claim.period;
                duty.won = Some((period, sent));
                // The rhythm is kept, unless this one came late.
                let on_time = sent.saturating_sub(duty.due) < duty.every / LATE_SHARE;
                let next = if on_time { duty.due } else { sent } + duty.every;
                // After one that came late the next is not to follow on its heels.
                duty.due = next.max(now.mono + duty.every - duty.every / REST_SHARE);
                duty.asks = 0;
                let permit = Permit {
                    duty: id,
                    period,
                    until,
                };
                if permit.holds(now.mono) {
                    self.outputs.push(Output::Perform(permit));
                } else {
                    duty.missed += 1;
                    self.outputs.push(Output::Missed(id, 1));
                }
                let (outvoted, wanted) = (duty.claim.outvoted, duty.wanted);
                self.minority(id, false);
                if wanted {
                    return self.let_go(now, id);
                }
                if outvoted {
                    // A voter is lost to a higher ballot: win it back before the next period.
                    return self.ask(now, id);
                }
                self.arm_due(now, id);
            }
            Step::Lost { wait } => {
                let holder = duty.claim.holder.map(InstanceId);
                let first = duty.first == Some(me);
                // The first looks again soon: what a voter believes of the holder may change at any moment.
                let most = duty.every / if first { STAGGER_SHARE } else { 1 };
                let pause = wait.clamp(duty.every / 16 + 1, most) + duty.jitter(id, me);
                self.holds(id, false);
                match holder {
                    // Someone else has it: the first asks to be given it, the rest look again when it is late.
                    Some(holder) if first && holder != me && self.alive.contains(&holder) => {
                        self.say(now, holder, Item::Want { duty: id });
                        self.arm(now, id, now.mono + pause);
                    }
                    Some(_) if !first => self.look(now, id),
                    _ => self.arm(now, id, now.mono + pause),
                }
            }
        }
    }

    /// A timer of this duty has run out.
    fn due(&mut self, now: Now, id: DutyId) {
        let me = self.settings.me;
        let Some(duty) = self.duties.get_mut(&id) else {
            return;
        };
        match duty.claim.stage {
            Stage::Idle => {
                let late = self.late_from(id);
                let Some(duty) = self.duties.get_mut(&id) else {
                    return;
                };
                if duty.first == Some(me) || late.is_some_and(|late| late <= now.mono) {
                    self.attempt(now, id);
                } else {
                    self.look(now, id);
                }
            }
            Stage::Holding => {
                duty.claim.propose(now.mono);
                duty.asks = 0;
                self.send_claim(now, id);
            }
            Stage::Trying | Stage::Preparing | Stage::Claiming => {
                duty.asks += 1;
                let end = duty.claim.sent + duty.every - duty.every / REST_SHARE;
                // A voter that lags is asked with a higher ballot, for the same period.
                if duty.claim.stage == Stage::Claiming && duty.claim.outvoted && now.mono < end {
                    return self.ask(now, id);
                }
                if duty.asks < ASKS && now.mono < end {
                    return self.send_claim(now, id);
                }
                duty.claim.rest();
                let pause = duty.every / STAGGER_SHARE + duty.jitter(id, me);
                self.holds(id, false);
                self.minority(id, true);
                self.arm(now, id, now.mono + pause);
            }
        }
    }

    /// Asks whether a duty would be given to this instance.
    fn attempt(&mut self, now: Now, id: DutyId) {
        let (me, boot) = (self.settings.me.0, self.settings.boot);
        if let Some(duty) = self.duties.get_mut(&id) {
            duty.claim.attempt(now.mono, me, boot);
            duty.asks = 0;
            self.send_claim(now, id);
        }
    }

    /// Asks for the right to a duty.
    fn ask(&mut self, now: Now, id: DutyId) {
        let (me, boot) = (self.settings.me.0, self.settings.boot);
        if let Some(duty) = self.duties.get_mut(&id) {
            duty.claim.prepare(now.mono, me, boot);
            duty.asks = 0;
            self.send_claim(now, id);
        }
    }

    /// Sends what the claim asks to the voters that have not answered, and sets the timer to ask again.
    fn send_claim(&mut self, now: Now, id: DutyId) {
        let Some(duty) = self.duties.get(&id) else {
            return;
        };
        let (claim, every) = (&duty.claim, duty.every);
        let (ballot, period) = (claim.ballot, claim.period);
        let item = match claim.stage {
            Stage::Trying | Stage::Preparing => Item::Prepare {
                duty: id,
                ballot,
                every,
                trial: claim.stage == Stage::Trying,
            },
            _ => Item::Accept {
                duty: id,
                ballot,
                period,
                every,
            },
        };
        let unheard: Vec<InstanceId> = duty
            .panel
            .iter()
            .filter(|voter| !claim.heard(voter.0))
            .copied()
            .collect();
        // The timer first: our own vote may be the last that is missing and set another.
        let again = ASK_AGAIN.min(every / 8 + 1);
        self.arm(now, id, now.mono + again);
        for voter in unheard {
            self.say(now, voter, item.clone());
        }
    }

    /// Gives the duty back, so that another can have it at once.
    fn let_go(&mut self, now: Now, id: DutyId) {
        let Some(duty) = self.duties.get_mut(&id) else {
            return;
        };
        let held = !matches!(duty.claim.stage, Stage::Idle);
        let (ballot, panel) = (duty.claim.ballot, duty.panel.clone());
        duty.claim.rest();
        duty.wanted = false;
        if held {
            self.holds(id, false);
            for voter in panel {
                self.say(now, voter, Item::Yield { duty: id, ballot });
            }
        }
        self.look(now, id);
    }

    /// Leaves in order: every duty is given back.
    pub fn leave(&mut self, now: Now) {
        let none = BTreeMap::new();
        self.configure(now, &none);
    }

    /// Sets the timer of a duty that is not claimed: at once if it is ours by rank, else when its holder is late.
    fn look(&mut self, now: Now, id: DutyId) {
        let me = self.settings.me;
        let late = self.late_from(id);
        let Some(duty) = self.duties.get(&id) else {
            return;
        };
        if duty.claim.stage != Stage::Idle {
            return;
        }
        match late {
            _ if duty.first == Some(me) => self.arm(now, id, now.mono),
            Some(late) => self.arm(now, id, late.max(now.mono + 1)),
            None => self.disarm(id),
        }
    }

    /// After a vote for someone else: no need to look before that one is late.
    fn rest_until_late(&mut self, now: Now, id: DutyId) {
        let first = self.duties.get(&id).and_then(|duty| duty.first);
        if first != Some(self.settings.me) {
            self.look(now, id);
        }
    }

    /// From when on this instance, as a voter of the duty, takes it over from a holder that is late.
    fn late_from(&self, id: DutyId) -> Option<Millis> {
        let duty = self.duties.get(&id)?;
        let me = self.settings.me;
        let mine = duty.panel.iter().position(|voter| *voter == me)?;
        let ahead = duty.panel[..mine]
            .iter()
            .filter(|voter| self.alive.contains(voter))
            .count() as u64;
        let turn = duty.every / STAGGER_SHARE * ahead;
        let late = match self.voter.slot(id) {
            Some(slot) => slot.late_from(),
            None => duty.added + duty.every + duty.every / LATE_SHARE,
        };
        Some(late + turn)
    }

    fn holds(&mut self, id: DutyId, held: bool) {
        if let Some(duty) = self.duties.get_mut(&id)
            && std::mem::replace(&mut duty.held, held) != held
        {
            self.outputs.push(Output::Holds(id, held));
        }
    }

    fn minority(&mut self, id: DutyId, minority: bool) {
        if let Some(duty) = self.duties.get_mut(&id)
            && std::mem::replace(&mut duty.minority, minority) != minority
        {
            self.outputs.push(Output::Minority(id, minority));
        }
    }

    fn arm_due(&mut self, now: Now, id: DutyId) {
        if let Some(due) = self.duties.get(&id).map(|duty| duty.due) {
            self.arm(now, id, due);
        }
    }

    fn arm(&mut self, now: Now, id: DutyId, at: Millis) {
        self.disarm(id);
        if let Some(duty) = self.duties.get_mut(&id) {
            let at = at.max(now.mono);
            duty.wake = Some(at);
            self.timers.insert((at, id));
        }
    }

    fn disarm(&mut self, id: DutyId) {
        if let Some(wake) = self.duties.get_mut(&id).and_then(|duty| duty.wake.take()) {
            self.timers.remove(&(wake, id));
        }
    }

    /// Sends an item; what is for this instance itself is taken at once.
    fn say(&mut self, now: Now, to: InstanceId, item: Item) {
        if to == self.settings.me {
            self.take(now, to, &item);
        } else {
            self.outbox.entry(to).or_default().push(item);
        }
    }
}
