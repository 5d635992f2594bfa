//! Fuzz test: a draining runner gets no work, the counts stay right, and the health
//! estimates recover.

use crate::{config, CLASSES};
use berylmount_model::WorkClass;
use berylmount_policy::{
    RunnerBoard, RunnerChoice, RunnerId, RunnerQuery, RunnerReport, RunnerSettings, WorkTicket,
};
use proptest::{prelude::*, sample::select};
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};
use rand::SeedableRng;
use rand_pcg::Pcg32;
use std::collections::BTreeMap;

/// An event at a runner board.
#[derive(Clone, Debug)]
enum BoardStep {
    Join,
    Remove(usize),
    Leaving(usize, bool),
    Send {
        tokens: u32,
        class: WorkClass,
        avoid: u32,
    },
    First(usize),
    Finish(usize),
    Fail(usize),
    Report {
        runner: u32,
        age_ms: u64,
        tokens: u64,
        running: u32,
    },
    Advance(u64),
}

#[derive(Clone, Debug)]
struct BoardModel;

impl ReferenceStateMachine for BoardModel {
    type State = Self;
    type Transition = BoardStep;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<BoardStep> {
        let place = 0usize..12;
        let send = (0u32..20_000, select(CLASSES.to_vec()), 0u32..6);
        prop_oneof![
            2 => Just(BoardStep::Join),
            1 => place.clone().prop_map(BoardStep::Remove),
            2 => (place.clone(), any::<bool>()).prop_map(|(n, on)| BoardStep::Leaving(n, on)),
            12 => send.prop_map(|(tokens, class, avoid)| BoardStep::Send { tokens, class, avoid }),
            6 => place.clone().prop_map(BoardStep::First),
            4 => place.clone().prop_map(BoardStep::Finish),
            1 => place.prop_map(BoardStep::Fail),
            3 => (0u32..6, 0u64..5_000, 0u64..90_000, 0u32..9).prop_map(
                |(runner, age_ms, tokens, running)| BoardStep::Report { runner, age_ms, tokens, running }
            ),
            4 => (0u64..2_000).prop_map(BoardStep::Advance),
        ]
        .boxed()
    }

    fn apply(model: Self, _: &BoardStep) -> Self {
        model
    }
}

struct BoardFuzz {
    board: RunnerBoard,
    /// The runners, and whether each is draining.
    live: BTreeMap<RunnerId, bool>,
    sent: Vec<(RunnerId, WorkTicket)>,
    count: u64,
    now_ms: u64,
    rng: Pcg32,
}

fn query(prompt_tokens: u32, class: WorkClass, avoid: &[RunnerId]) -> RunnerQuery<'_> {
    RunnerQuery {
        pieces: &[],
        prompt_tokens,
        class,
        may_probe: true,
        avoid,
    }
}

impl BoardFuzz {
    fn nth(&self, place: usize) -> Option<RunnerId> {
        self.live.keys().nth(place).copied()
    }

    fn send(&mut self, tokens: u32, class: WorkClass, avoid: &[RunnerId]) -> Option<RunnerChoice> {
        let query = query(tokens, class, avoid);
        let choice = self.board.choose(&query, self.now_ms, &mut self.rng)?;
        self.count += 1;
        self.board
            .start(WorkTicket(self.count), &choice, &query, self.now_ms);
        self.sent.push((choice.runner, WorkTicket(self.count)));
        Some(choice)
    }
}

impl StateMachineTest for BoardFuzz {
    type SystemUnderTest = Self;
    type Reference = BoardModel;

    fn init_test(_: &BoardModel) -> Self {
        Self {
            board: RunnerBoard::new(RunnerSettings::default()),
            live: BTreeMap::new(),
            sent: Vec::new(),
            count: 0,
            now_ms: 0,
            rng: Pcg32::seed_from_u64(1),
        }
    }

    fn apply(mut test: Self, _: &BoardModel, step: BoardStep) -> Self {
        let now_ms = test.now_ms;
        match step {
            BoardStep::Join => {
                let runner = test.board.join();
                assert_eq!(test.live.insert(runner, false), None);
            }
            BoardStep::Remove(place) => {
                if let Some(runner) = test.nth(place) {
                    test.board.remove(runner);
                    test.live.remove(&runner);
                    test.sent.retain(|&(r, _)| r != runner);
                }
            }
            BoardStep::Leaving(place, leaving) => {
                if let Some(runner) = test.nth(place) {
                    test.board.set_leaving(runner, leaving);
                    test.live.insert(runner, leaving);
                }
            }
            BoardStep::Send {
                tokens,
                class,
                avoid,
            } => {
                let avoid = RunnerId(avoid);
                if let Some(choice) = test.send(tokens, class, &[avoid]) {
                    assert_eq!(test.live.get(&choice.runner), Some(&false));
                    assert!(choice.runner != avoid && choice.expected_ms > 0.0);
                }
            }
            BoardStep::First(place) => {
                if let Some(&(runner, ticket)) = test.sent.get(place) {
                    test.board.first_token(runner, ticket, now_ms);
                }
            }
            BoardStep::Finish(place) if place < test.sent.len() => {
                let (runner, ticket) = test.sent.remove(place);
                test.board.finish(runner, ticket, now_ms);
            }
            BoardStep::Fail(place) if place < test.sent.len() => {
                let (runner, ticket) = test.sent.remove(place);
                test.board.fail(runner, ticket, now_ms);
            }
            BoardStep::Report {
                runner,
                age_ms,
                tokens,
                running,
            } => {
                let report = RunnerReport {
                    at_ms: now_ms.saturating_sub(age_ms),
                    waiting_tokens: tokens,
                    running,
                };
                test.board.report(RunnerId(runner), &report);
            }
            BoardStep::Advance(ms) => test.now_ms += ms,
            BoardStep::Finish(_) | BoardStep::Fail(_) => {}
        }
        test
    }

    fn check_invariants(test: &Self, _: &BoardModel) {
        for &runner in test.live.keys() {
            let sent = test.sent.iter().filter(|(r, _)| *r == runner).count();
            assert_eq!(test.board.in_flight(runner), sent);
        }
        let capacity = test.board.capacity(test.now_ms);
        let open = test.live.values().any(|&leaving| !leaving);
        assert_eq!(capacity.runners > 0.0, open);
        assert!(capacity
            .in_flight_ms
            .iter()
            .all(|ms| ms.is_finite() && *ms >= 0.0));
    }

    /// Checks that every runner is used again once all work has ended and the runners
    /// answer as expected.
    fn teardown(mut test: Self, _: BoardModel) {
        for (runner, ticket) in std::mem::take(&mut test.sent) {
            test.board.finish(runner, ticket, test.now_ms);
        }
        test.now_ms += 200_000;
        for _ in 0..60 {
            for _ in 0..test.live.len() {
                test.send(1_000, WorkClass::Standard, &[]);
            }
            test.now_ms += 100;
            for (runner, ticket) in std::mem::take(&mut test.sent) {
                test.board.first_token(runner, ticket, test.now_ms);
                test.board.finish(runner, ticket, test.now_ms);
            }
            test.now_ms += 2_000;
        }
        for (&runner, &leaving) in &test.live {
            assert!(leaving || test.board.slowness(runner, test.now_ms) < 2.0);
        }
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn leaving_runners_get_nothing_and_the_board_converges(sequential 1..120 => BoardFuzz);
}
