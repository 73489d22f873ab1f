//! Model checking by stateright: every order of events in a small cluster with three instances, one lease and two
//! terms. One process may crash and restart. A process may be suspended at any point, also between checking its grant
//! and acting.
//!
//! The model runs the real acceptors and proposers. Requests may be lost, delayed and reordered, and responses may be
//! lost. Delayed responses are not modelled: while a response is delayed, the proposer does nothing that it could not
//! also do later, and its requests to the other acceptors may be delayed themselves.

use spanspur_leases::acceptor::Acceptor;
use spanspur_leases::proposer::{Phase, Progress, Proposer};
use spanspur_leases::{Clocks, LeaseId, Message, RejectReason};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

const LEASE: LeaseId = LeaseId(1);
const INTERVAL: u64 = 1000;
/// Milliseconds per time step: long enough for the next term, and for a restarted acceptor to vote again.
const STEP_MS: u64 = 1300;
const INSTANCES: usize = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    step: u64,
    acceptors: Vec<Acceptor>,
    proposers: Vec<Proposer>,
    incarnations: Vec<u64>,
    /// Requests in flight as (sender, recipient, message), sorted so that equal states compare equal. Each request is
    /// delivered once or never.
    network: Vec<(usize, usize, Message)>,
    /// How often the task was carried out in each term. A proposer acts as soon as it wins a term, because the time of
    /// the action does not matter to the count. The proposer does not check the grant, as if the process had been
    /// suspended right after the check.
    executions: BTreeMap<u64, u32>,
    prepares: u32,
    proposals: u32,
    has_restarted: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    /// Delivers the request and its response.
    Deliver(usize),
    /// Delivers the request and loses its response.
    DeliverAndLoseResponse(usize),
    Prepare(usize),
    Propose(usize),
    Restart(usize),
    AdvanceTime,
}

/// The bounds and the options of the model.
struct LeaseModel {
    max_prepares: u32,
    max_proposals: u32,
    max_steps: u64,
    /// Whether one process may crash and restart.
    allow_restart: bool,
    /// Simulates a faulty acceptor, which the model has to detect: it votes at once after a restart, and the Unix time
    /// does not stand for forgotten terms.
    faulty_acceptor: bool,
}

impl LeaseModel {
    fn now(&self, state: &State) -> Clocks {
        // The initial acceptors have run long enough not to abstain.
        let monotonic = 100_000 + state.step * STEP_MS;
        let wall = if self.faulty_acceptor { 7 } else { monotonic };
        Clocks { monotonic, wall }
    }

    fn send_request(&self, state: &mut State, from: usize, to: usize, message: Message) {
        if from == to {
            return self.deliver(state, from, to, &message, true);
        }
        let delivery = (from, to, message);
        if !state.network.contains(&delivery) {
            state.network.push(delivery);
            state.network.sort_unstable();
        }
    }

    /// Lets the acceptor handle a request, and the proposer handle the response unless the response is lost.
    fn deliver(
        &self,
        state: &mut State,
        from: usize,
        to: usize,
        message: &Message,
        response_arrives: bool,
    ) {
        let now = self.now(state);
        // No instance is believed to be alive, which leaves the acceptor the fewest reasons to reject.
        let response = state.acceptors[to].handle_message(now, message, &BTreeSet::new());
        let Some(response) = response.filter(|_| response_arrives) else {
            return;
        };
        let proposer = &mut state.proposers[from];
        if let Message::Rejected { reason, ballot, .. } = &response
            && *reason == RejectReason::NoPromise
            && *ballot == proposer.ballot
        {
            let request = prepare_request(proposer);
            return self.send_request(state, from, to, request);
        }
        if proposer.handle_response(to as u64, &response, INSTANCES) == Progress::TermWon {
            *state.executions.entry(proposer.term).or_default() += 1;
        }
    }

    fn send_to_all(&self, state: &mut State, from: usize, message: &Message) {
        for voter in 0..INSTANCES {
            self.send_request(state, from, voter, message.clone());
        }
    }
}

fn prepare_request(proposer: &Proposer) -> Message {
    Message::Prepare {
        lease: LEASE,
        ballot: proposer.ballot,
        interval: INTERVAL,
        pre_vote: false,
    }
}

impl Model for LeaseModel {
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
            network: Vec::new(),
            executions: BTreeMap::new(),
            prepares: 0,
            proposals: 0,
            has_restarted: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        actions.extend((0..state.network.len()).map(Action::Deliver));
        actions.extend((0..state.network.len()).map(Action::DeliverAndLoseResponse));
        for i in 0..INSTANCES {
            // Two instances propose and all three vote. A third proposer would only add symmetric states.
            let may_prepare = i < 2 && state.prepares < self.max_prepares;
            // A proposer may also prepare after its proposal was rejected, to propose the same term again.
            if may_prepare && state.proposers[i].phase != Phase::Holding {
                actions.push(Action::Prepare(i));
            }
            if state.proposers[i].phase == Phase::Holding && state.proposals < self.max_proposals {
                actions.push(Action::Propose(i));
            }
            // The two proposers are symmetric, so it is enough to restart one of them or the third acceptor.
            if self.allow_restart && !state.has_restarted && i != 1 {
                actions.push(Action::Restart(i));
            }
        }
        if state.step < self.max_steps {
            actions.push(Action::AdvanceTime);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let now = self.now(&state);
        match action {
            Action::Deliver(index) => {
                let (from, to, message) = state.network.remove(index);
                self.deliver(&mut state, from, to, &message, true);
            }
            Action::DeliverAndLoseResponse(index) => {
                let (from, to, message) = state.network.remove(index);
                self.deliver(&mut state, from, to, &message, false);
            }
            Action::Prepare(i) => {
                state.prepares += 1;
                let incarnation = state.incarnations[i];
                state.proposers[i].start_prepare(now.monotonic, i as u64, incarnation);
                let request = prepare_request(&state.proposers[i]);
                self.send_to_all(&mut state, i, &request);
            }
            Action::Propose(i) => {
                state.proposals += 1;
                state.proposers[i].propose_term(now.monotonic);
                let request = Message::Accept {
                    lease: LEASE,
                    ballot: state.proposers[i].ballot,
                    term: state.proposers[i].term,
                    interval: INTERVAL,
                };
                self.send_to_all(&mut state, i, &request);
            }
            Action::Restart(i) => {
                state.has_restarted = true;
                let mut started_at = now;
                if self.faulty_acceptor {
                    started_at.monotonic = 0;
                }
                state.acceptors[i] = Acceptor::new(started_at, 0);
                state.proposers[i] = Proposer::new();
                state.incarnations[i] += 1;
            }
            Action::AdvanceTime => state.step += 1,
        }
        // The start of an attempt does not influence the model; clearing it merges equivalent states.
        state
            .proposers
            .iter_mut()
            .for_each(|proposer| proposer.started_at = 0);
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("a task runs at most once per term", |_, state: &State| {
                state.executions.values().all(|count| *count <= 1)
            }),
            Property::sometimes("a term is won", |_, state: &State| {
                !state.executions.is_empty()
            }),
            Property::sometimes("two terms are won", |model: &LeaseModel, state: &State| {
                state.executions.len() > 1 || model.max_steps == 0
            }),
        ]
    }
}

fn check(model: LeaseModel) {
    let checker = model.checker().threads(4).spawn_bfs().join();
    println!("{} unique states", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn a_task_runs_at_most_once_per_term_across_a_restart() {
    check(LeaseModel {
        max_prepares: 2,
        max_proposals: 2,
        max_steps: 1,
        allow_restart: true,
        faulty_acceptor: false,
    });
}

#[test]
fn a_task_runs_at_most_once_per_term_when_a_term_is_proposed_again() {
    check(LeaseModel {
        max_prepares: 3,
        max_proposals: 3,
        max_steps: 0,
        allow_restart: false,
        faulty_acceptor: false,
    });
}

/// Checks the model itself: it has to find a violation if an acceptor votes with forgotten state.
#[test]
fn the_model_detects_an_acceptor_that_forgets_its_votes_and_does_not_abstain() {
    let model = LeaseModel {
        max_prepares: 2,
        max_proposals: 2,
        max_steps: 1,
        allow_restart: true,
        faulty_acceptor: true,
    };
    let checker = model.checker().threads(4).spawn_bfs().join();
    let found = checker.discovery("a task runs at most once per term");
    println!(
        "{:?}",
        found.as_ref().map(|path| path.clone().into_actions())
    );
    assert!(found.is_some(), "{} states", checker.unique_state_count());
}
