//! Fuzz test: a draining runner gets no work, the counts of requests in flight match
//! those sent, and the slowness estimates recover.

use crate::{config, CLASSES};
use berylmount_model::WorkClass;
use berylmount_policy::{
    RunnerBalancer, RunnerChoice, RunnerId, RunnerQuery, RunnerReport, RunnerSettings, WorkTicket,
};
use proptest::{prelude::*, sample::select};
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};
use rand::SeedableRng;
use rand_pcg::Pcg32;
use std::collections::BTreeMap;

/// An event at a runner balancer.
#[derive(Clone, Debug)]
enum BalancerStep {
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
struct BalancerModel;

impl ReferenceStateMachine for BalancerModel {
    type State = Self;
    type Transition = BalancerStep;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<BalancerStep> {
        let indexes = 0usize..12;
        let send = (0u32..20_000, select(CLASSES.to_vec()), 0u32..6);
        prop_oneof![
            2 => Just(BalancerStep::Join),
            1 => indexes.clone().prop_map(BalancerStep::Remove),
            2 => (indexes.clone(), any::<bool>()).prop_map(|(n, on)| BalancerStep::Leaving(n, on)),
            12 => send.prop_map(|(tokens, class, avoid)| BalancerStep::Send { tokens, class, avoid }),
            6 => indexes.clone().prop_map(BalancerStep::First),
            4 => indexes.clone().prop_map(BalancerStep::Finish),
            1 => indexes.prop_map(BalancerStep::Fail),
            3 => (0u32..6, 0u64..5_000, 0u64..90_000, 0u32..9).prop_map(
                |(runner, age_ms, tokens, running)| BalancerStep::Report { runner, age_ms, tokens, running }
            ),
            4 => (0u64..2_000).prop_map(BalancerStep::Advance),
        ]
        .boxed()
    }

    fn apply(model: Self, _: &BalancerStep) -> Self {
        model
    }
}

struct BalancerFuzz {
    balancer: RunnerBalancer,
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

impl BalancerFuzz {
    fn nth(&self, index: usize) -> Option<RunnerId> {
        self.live.keys().nth(index).copied()
    }

    fn send(&mut self, tokens: u32, class: WorkClass, avoid: &[RunnerId]) -> Option<RunnerChoice> {
        let query = query(tokens, class, avoid);
        let choice = self.balancer.choose(&query, self.now_ms, &mut self.rng)?;
        self.count += 1;
        self.balancer
            .start(WorkTicket(self.count), &choice, &query, self.now_ms);
        self.sent.push((choice.runner, WorkTicket(self.count)));
        Some(choice)
    }
}

impl StateMachineTest for BalancerFuzz {
    type SystemUnderTest = Self;
    type Reference = BalancerModel;

    fn init_test(_: &BalancerModel) -> Self {
        Self {
            balancer: RunnerBalancer::new(RunnerSettings::default()),
            live: BTreeMap::new(),
            sent: Vec::new(),
            count: 0,
            now_ms: 0,
            rng: Pcg32::seed_from_u64(1),
        }
    }

    fn apply(mut test: Self, _: &BalancerModel, step: BalancerStep) -> Self {
        let now_ms = test.now_ms;
        match step {
            BalancerStep::Join => {
                let runner = test.balancer.join();
                assert_eq!(test.live.insert(runner, false), None);
            }
            BalancerStep::Remove(index) => {
                if let Some(runner) = test.nth(index) {
                    test.balancer.remove(runner);
                    test.live.remove(&runner);
                    test.sent.retain(|&(r, _)| r != runner);
                }
            }
            BalancerStep::Leaving(index, leaving) => {
                if let Some(runner) = test.nth(index) {
                    test.balancer.set_leaving(runner, leaving);
                    test.live.insert(runner, leaving);
                }
            }
            BalancerStep::Send {
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
            BalancerStep::First(index) => {
                if let Some(&(runner, ticket)) = test.sent.get(index) {
                    test.balancer.first_token(runner, ticket, now_ms);
                }
            }
            BalancerStep::Finish(index) if index < test.sent.len() => {
                let (runner, ticket) = test.sent.remove(index);
                test.balancer.finish(runner, ticket, now_ms);
            }
            BalancerStep::Fail(index) if index < test.sent.len() => {
                let (runner, ticket) = test.sent.remove(index);
                test.balancer.fail(runner, ticket, now_ms);
            }
            BalancerStep::Report {
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
                test.balancer.report(RunnerId(runner), &report);
            }
            BalancerStep::Advance(ms) => test.now_ms += ms,
            BalancerStep::Finish(_) | BalancerStep::Fail(_) => {}
        }
        test
    }

    fn check_invariants(test: &Self, _: &BalancerModel) {
        for &runner in test.live.keys() {
            let sent = test.sent.iter().filter(|(r, _)| *r == runner).count();
            assert_eq!(test.balancer.in_flight(runner), sent);
        }
        let capacity = test.balancer.capacity(test.now_ms);
        let open = test.live.values().any(|&leaving| !leaving);
        assert_eq!(capacity.runners > 0.0, open);
        assert!(capacity
            .in_flight_ms
            .iter()
            .all(|ms| ms.is_finite() && *ms >= 0.0));
    }

    /// Checks that every runner is used again once all work has ended and the runners
    /// answer as expected.
    fn teardown(mut test: Self, _: BalancerModel) {
        for (runner, ticket) in std::mem::take(&mut test.sent) {
            test.balancer.finish(runner, ticket, test.now_ms);
        }
        test.now_ms += 200_000;
        for _ in 0..60 {
            for _ in 0..test.live.len() {
                test.send(1_000, WorkClass::Standard, &[]);
            }
            test.now_ms += 100;
            for (runner, ticket) in std::mem::take(&mut test.sent) {
                test.balancer.first_token(runner, ticket, test.now_ms);
                test.balancer.finish(runner, ticket, test.now_ms);
            }
            test.now_ms += 2_000;
        }
        for (&runner, &leaving) in &test.live {
            assert!(leaving || test.balancer.slowness(runner, test.now_ms) < 2.0);
        }
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn leaving_runners_get_nothing_and_the_balancer_recovers(sequential 1..120 => BalancerFuzz);
}
