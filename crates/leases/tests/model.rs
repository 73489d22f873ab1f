//! Every order of events of a small world, by stateright: three instances, one duty, two periods, a process that
//! dies and starts again, and one that may stand still at any point, also between looking at its permit and acting.
//! Voters and claimants are the real ones; questions may be lost, late and out of order, and answers may be lost. An
//! answer that comes late is left out: until it comes the claimant does nothing that it could not do later as well,
//! and what it asks meanwhile of the other voters may itself be late.

use spanspur_leases::claim::{Claim, Stage, Step};
use spanspur_leases::vote::Voter;
use spanspur_leases::{DutyId, Item, Now, Why};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

const DUTY: DutyId = DutyId(1);
const EVERY: u64 = 1000;
/// One step of time is enough for the next period, and for a restarted voter to vote again.
const STEP: u64 = 1300;
const INSTANCES: usize = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    step: u64,
    voters: Vec<Voter>,
    claims: Vec<Claim>,
    boots: Vec<u64>,
    /// Questions: from, to, what, in an order of no meaning; each is delivered once or never.
    net: Vec<(usize, usize, Item)>,
    /// How often each period was acted in. A period that is won is acted in at once: when does not matter to the
    /// count, and no permit is looked at, as if each had been looked at long before.
    acts: BTreeMap<u64, u32>,
    prepares: u32,
    proposals: u32,
    died: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Deliver(usize),
    /// The answer gets lost.
    Unheard(usize),
    Prepare(usize),
    Propose(usize),
    Restart(usize),
    Pass,
}

struct World {
    prepares: u32,
    proposals: u32,
    steps: u64,
    /// A process may die and start again.
    restarts: bool,
    /// A restarted voter votes at once, and time numbers nothing: what must be caught.
    forgetful: bool,
}

impl World {
    fn now(&self, state: &State) -> Now {
        // The voters of the start are old: they abstain from nothing.
        let mono = 100_000 + state.step * STEP;
        let wall = if self.forgetful { 7 } else { mono };
        Now { mono, wall }
    }

    fn ask(&self, state: &mut State, from: usize, to: usize, item: Item) {
        if from == to {
            return self.take(state, from, to, &item, true);
        }
        let message = (from, to, item);
        if !state.net.contains(&message) {
            state.net.push(message);
            state.net.sort_unstable();
        }
    }

    /// A voter takes a question, and the claimant its answer, unless it gets lost.
    fn take(&self, state: &mut State, from: usize, to: usize, item: &Item, heard: bool) {
        let now = self.now(state);
        // Nobody is believed to be there: the fewest reasons to refuse.
        let answer = state.voters[to].handle(now, item, &BTreeSet::new());
        let Some(answer) = answer.filter(|_| heard) else {
            return;
        };
        let claim = &mut state.claims[from];
        if let Item::Refused { why, ballot, .. } = &answer
            && *why == Why::Unknown
            && *ballot == claim.ballot
        {
            let ask = prepare(claim);
            return self.ask(state, from, to, ask);
        }
        if claim.answer(to as u64, &answer, INSTANCES) == Step::Won {
            *state.acts.entry(claim.period).or_default() += 1;
        }
    }

    fn ask_all(&self, state: &mut State, from: usize, item: &Item) {
        for voter in 0..INSTANCES {
            self.ask(state, from, voter, item.clone());
        }
    }
}

fn prepare(claim: &Claim) -> Item {
    Item::Prepare {
        duty: DUTY,
        ballot: claim.ballot,
        every: EVERY,
        trial: false,
    }
}

impl Model for World {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let long_ago = Now { mono: 0, wall: 0 };
        vec![State {
            step: 0,
            voters: vec![Voter::new(long_ago, 0); INSTANCES],
            claims: vec![Claim::new(); INSTANCES],
            boots: vec![1; INSTANCES],
            net: Vec::new(),
            acts: BTreeMap::new(),
            prepares: 0,
            proposals: 0,
            died: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        actions.extend((0..state.net.len()).map(Action::Deliver));
        actions.extend((0..state.net.len()).map(Action::Unheard));
        for i in 0..INSTANCES {
            // Two of them claim, all three vote: a third claimant adds only names.
            let may = i < 2 && state.prepares < self.prepares;
            // Also after a proposal that met a no: the same period may be proposed again then.
            if may && state.claims[i].stage != Stage::Holding {
                actions.push(Action::Prepare(i));
            }
            if state.claims[i].stage == Stage::Holding && state.proposals < self.proposals {
                actions.push(Action::Propose(i));
            }
            // The two claimants are alike: it is one of them, or the voter.
            if self.restarts && !state.died && i != 1 {
                actions.push(Action::Restart(i));
            }
        }
        if state.step < self.steps {
            actions.push(Action::Pass);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let now = self.now(&state);
        match action {
            Action::Deliver(n) => {
                let (from, to, item) = state.net.remove(n);
                self.take(&mut state, from, to, &item, true);
            }
            Action::Unheard(n) => {
                let (from, to, item) = state.net.remove(n);
                self.take(&mut state, from, to, &item, false);
            }
            Action::Prepare(i) => {
                state.prepares += 1;
                let boot = state.boots[i];
                state.claims[i].prepare(now.mono, i as u64, boot);
                let ask = prepare(&state.claims[i]);
                self.ask_all(&mut state, i, &ask);
            }
            Action::Propose(i) => {
                state.proposals += 1;
                state.claims[i].propose(now.mono);
                let ask = Item::Accept {
                    duty: DUTY,
                    ballot: state.claims[i].ballot,
                    period: state.claims[i].period,
                    every: EVERY,
                };
                self.ask_all(&mut state, i, &ask);
            }
            Action::Restart(i) => {
                state.died = true;
                let mut born = now;
                if self.forgetful {
                    born.mono = 0;
                }
                state.voters[i] = Voter::new(born, 0);
                state.claims[i] = Claim::new();
                state.boots[i] += 1;
            }
            Action::Pass => state.step += 1,
        }
        // The time of asking plays no part here.
        state.claims.iter_mut().for_each(|claim| claim.sent = 0);
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most one act a period", |_, state: &State| {
                state.acts.values().all(|acts| *acts <= 1)
            }),
            Property::sometimes("an act", |_, state: &State| !state.acts.is_empty()),
            Property::sometimes("two periods", |world: &World, state: &State| {
                state.acts.len() > 1 || world.steps == 0
            }),
        ]
    }
}

fn check(world: World) {
    let checker = world.checker().threads(4).spawn_bfs().join();
    println!("{} different states", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn at_most_one_act_a_period_with_a_restart() {
    check(World {
        prepares: 2,
        proposals: 2,
        steps: 1,
        restarts: true,
        forgetful: false,
    });
}

#[test]
fn at_most_one_act_a_period_with_a_period_proposed_again() {
    check(World {
        prepares: 3,
        proposals: 3,
        steps: 0,
        restarts: false,
        forgetful: false,
    });
}

#[test]
fn a_voter_that_forgets_and_votes_at_once_is_caught() {
    let world = World {
        prepares: 2,
        proposals: 2,
        steps: 1,
        restarts: true,
        forgetful: true,
    };
    let checker = world.checker().threads(4).spawn_bfs().join();
    let found = checker.discovery("at most one act a period");
    println!(
        "{:?}",
        found.as_ref().map(|path| path.clone().into_actions())
    );
    assert!(found.is_some(), "{} states", checker.unique_state_count());
}
