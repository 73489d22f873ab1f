//! Every order of events of a small world, by stateright: three instances, one lease, two terms, a process that
//! dies and starts again, and one that may stand still at any point, also between checking its grant and acting.
//! Acceptors and proposers are the real ones; requests may be lost, late and out of order, and responses may be lost.
//! A response that comes late is left out: until it comes the proposer does nothing that it could not do later as
//! well, and what it asks meanwhile of the other acceptors may itself be late.

use spanspur_leases::acceptor::Acceptor;
use spanspur_leases::proposer::{Phase, Progress, Proposer};
use spanspur_leases::{Clocks, LeaseId, Message, RejectReason};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

const LEASE: LeaseId = LeaseId(1);
const INTERVAL: u64 = 1000;
/// One step of time is enough for the next term, and for a restarted acceptor to vote again.
const STEP: u64 = 1300;
const INSTANCES: usize = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    step: u64,
    acceptors: Vec<Acceptor>,
    proposers: Vec<Proposer>,
    incarnations: Vec<u64>,
    /// Requests: from, to, what, in an order of no meaning; each is delivered once or never.
    net: Vec<(usize, usize, Message)>,
    /// How often each term was acted in. A term that is won is acted in at once: when does not matter to the
    /// count, and no grant is checked, as if each had been checked long before.
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
    /// A restarted acceptor votes at once, and time numbers nothing: what must be caught.
    forgetful: bool,
}

impl World {
    fn now(&self, state: &State) -> Clocks {
        // The acceptors of the start are old: they abstain from nothing.
        let monotonic = 100_000 + state.step * STEP;
        let wall = if self.forgetful { 7 } else { monotonic };
        Clocks { monotonic, wall }
    }

    fn ask(&self, state: &mut State, from: usize, to: usize, message: Message) {
        if from == to {
            return self.take(state, from, to, &message, true);
        }
        let delivery = (from, to, message);
        if !state.net.contains(&delivery) {
            state.net.push(delivery);
            state.net.sort_unstable();
        }
    }

    /// An acceptor handles a request, and the proposer its response, unless it gets lost.
    fn take(&self, state: &mut State, from: usize, to: usize, message: &Message, heard: bool) {
        let now = self.now(state);
        // Nobody is believed to be there: the fewest reasons to reject.
        let answer = state.acceptors[to].handle_message(now, message, &BTreeSet::new());
        let Some(answer) = answer.filter(|_| heard) else {
            return;
        };
        let proposer = &mut state.proposers[from];
        if let Message::Rejected { reason, ballot, .. } = &answer
            && *reason == RejectReason::NoPromise
            && *ballot == proposer.ballot
        {
            let ask = prepare(proposer);
            return self.ask(state, from, to, ask);
        }
        if proposer.handle_response(to as u64, &answer, INSTANCES) == Progress::TermWon {
            *state.acts.entry(proposer.term).or_default() += 1;
        }
    }

    fn ask_all(&self, state: &mut State, from: usize, message: &Message) {
        for voter in 0..INSTANCES {
            self.ask(state, from, voter, message.clone());
        }
    }
}

fn prepare(proposer: &Proposer) -> Message {
    Message::Prepare {
        lease: LEASE,
        ballot: proposer.ballot,
        interval: INTERVAL,
        pre_vote: false,
    }
}

impl Model for World {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let long_ago = Clocks {
            monotonic: 0,
            wall: 0,
        };
        vec![State {
            step: 0,
            acceptors: vec![Acceptor::new(long_ago, 0); INSTANCES],
            proposers: vec![Proposer::new(); INSTANCES],
            incarnations: vec![1; INSTANCES],
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
            // Two of them propose, all three vote: a third proposer adds only names.
            let may = i < 2 && state.prepares < self.prepares;
            // Also after a proposal that met a rejection: the same term may be proposed again then.
            if may && state.proposers[i].phase != Phase::Holding {
                actions.push(Action::Prepare(i));
            }
            if state.proposers[i].phase == Phase::Holding && state.proposals < self.proposals {
                actions.push(Action::Propose(i));
            }
            // The two proposers are alike: it is one of them, or the third acceptor.
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
                let (from, to, message) = state.net.remove(n);
                self.take(&mut state, from, to, &message, true);
            }
            Action::Unheard(n) => {
                let (from, to, message) = state.net.remove(n);
                self.take(&mut state, from, to, &message, false);
            }
            Action::Prepare(i) => {
                state.prepares += 1;
                let incarnation = state.incarnations[i];
                state.proposers[i].start_prepare(now.monotonic, i as u64, incarnation);
                let ask = prepare(&state.proposers[i]);
                self.ask_all(&mut state, i, &ask);
            }
            Action::Propose(i) => {
                state.proposals += 1;
                state.proposers[i].propose_term(now.monotonic);
                let ask = Message::Accept {
                    lease: LEASE,
                    ballot: state.proposers[i].ballot,
                    term: state.proposers[i].term,
                    interval: INTERVAL,
                };
                self.ask_all(&mut state, i, &ask);
            }
            Action::Restart(i) => {
                state.died = true;
                let mut born = now;
                if self.forgetful {
                    born.monotonic = 0;
                }
                state.acceptors[i] = Acceptor::new(born, 0);
                state.proposers[i] = Proposer::new();
                state.incarnations[i] += 1;
            }
            Action::Pass => state.step += 1,
        }
        // The time of asking plays no part here.
        state
            .proposers
            .iter_mut()
            .for_each(|proposer| proposer.started_at = 0);
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most one act a term", |_, state: &State| {
                state.acts.values().all(|acts| *acts <= 1)
            }),
            Property::sometimes("an act", |_, state: &State| !state.acts.is_empty()),
            Property::sometimes("two terms", |world: &World, state: &State| {
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
fn at_most_one_act_a_term_with_a_restart() {
    check(World {
        prepares: 2,
        proposals: 2,
        steps: 1,
        restarts: true,
        forgetful: false,
    });
}

#[test]
fn at_most_one_act_a_term_with_a_term_proposed_again() {
    check(World {
        prepares: 3,
        proposals: 3,
        steps: 0,
        restarts: false,
        forgetful: false,
    });
}

#[test]
fn an_acceptor_that_forgets_and_votes_at_once_is_caught() {
    let world = World {
        prepares: 2,
        proposals: 2,
        steps: 1,
        restarts: true,
        forgetful: true,
    };
    let checker = world.checker().threads(4).spawn_bfs().join();
    let found = checker.discovery("at most one act a term");
    println!(
        "{:?}",
        found.as_ref().map(|path| path.clone().into_actions())
    );
    assert!(found.is_some(), "{} states", checker.unique_state_count());
}
