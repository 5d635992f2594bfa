//! Fuzzes the orders to targets: fencing, and loads at once in a rollout.

#![allow(clippy::unwrap_used)]

mod common;

use berylmount_model::{InstanceName, ModelName, VersionName};
use berylmount_targets::{
    EngineRole, FenceCheck, FenceRefusal, LeaseGrant, LoadReport, OrderFence, RolloutPlanner,
    RolloutSettings, RunnerView, TargetOrder, WantedVersion,
};
use common::fuzz_config;
use proptest::prelude::*;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};

const LEASE_MS: u64 = 100;
const FLIGHT_MS: u64 = 20;
const LAG_MS: u64 = 20;
const LOAD_MS: u64 = 50;
const RUNNERS: usize = 6;
const AT_ONCE: usize = 2;

// Fencing: holders take, renew and lose a lease, and answers of the platform
// come late or never. The oracle: no order is applied after one of a later holder.

#[derive(Clone, Debug)]
enum FenceStep {
    /// A process takes the lease, whether or not it has run out.
    Take(usize),
    /// The holder renews, and the answer comes at once.
    Renew(usize),
    /// The holder asks for a renewal.
    Ask(usize),
    /// The platform takes the renewal, if the asker still holds the lease.
    Apply(usize),
    /// The answer comes; otherwise it is lost with the next ask.
    Answer(usize),
    Send(usize, bool),
    Deliver(usize),
    Wait(u64),
}

struct FencePlan;

impl ReferenceStateMachine for FencePlan {
    type State = ();
    type Transition = FenceStep;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<FenceStep> {
        let process = 0..2_usize;
        prop_oneof![
            1 => process.clone().prop_map(FenceStep::Take),
            4 => process.clone().prop_map(FenceStep::Renew),
            2 => process.clone().prop_map(FenceStep::Ask),
            2 => process.clone().prop_map(FenceStep::Apply),
            2 => process.clone().prop_map(FenceStep::Answer),
            6 => (process, any::<bool>()).prop_map(|(p, checks)| FenceStep::Send(p, checks)),
            4 => (0..4_usize).prop_map(FenceStep::Deliver),
            4 => (1..40_u64).prop_map(FenceStep::Wait),
            4 => (LEASE_MS - 3..LEASE_MS + 3).prop_map(FenceStep::Wait),
        ]
        .boxed()
    }

    fn apply((): (), _: &FenceStep) {}
}

#[derive(Default)]
struct Holder {
    fence: Option<OrderFence>,
    number: u64,
    asked_ms: Option<u64>,
    applied_ms: Option<u64>,
}

struct Flight {
    number: u64,
    checks: bool,
    until_ms: u64,
}

#[derive(Default)]
struct FenceWorld {
    now_ms: u64,
    number: u64,
    holders: [Holder; 2],
    flights: Vec<Flight>,
    /// The highest number applied by the target that checks and the one that does not.
    applied: [u64; 2],
}

impl FenceWorld {
    fn deliver(&mut self, i: usize) {
        let flight = self.flights.remove(i);
        let applied = &mut self.applied[usize::from(flight.checks)];
        if flight.checks && flight.number < *applied {
            return;
        }
        assert!(flight.number >= *applied, "an old order was applied");
        *applied = flight.number;
    }

    fn wait(&mut self, ms: u64) {
        self.now_ms += ms;
        while let Some(i) = self.flights.iter().position(|f| f.until_ms < self.now_ms) {
            self.deliver(i);
        }
    }

    fn step(&mut self, step: &FenceStep) {
        let now_ms = self.now_ms;
        match *step {
            FenceStep::Take(p) => {
                self.number += 1;
                let grant = LeaseGrant {
                    fence: self.number,
                    asked_ms: now_ms,
                    granted_ms: now_ms,
                    length_ms: LEASE_MS,
                };
                self.holders[p] = Holder {
                    fence: Some(OrderFence::new(grant, FLIGHT_MS)),
                    number: self.number,
                    ..Holder::default()
                };
            }
            FenceStep::Renew(p) => {
                let steps = [FenceStep::Ask(p), FenceStep::Apply(p), FenceStep::Answer(p)];
                steps.iter().for_each(|step| self.step(step));
            }
            FenceStep::Ask(p) => {
                self.holders[p].asked_ms = Some(now_ms);
                self.holders[p].applied_ms = None;
            }
            FenceStep::Apply(p) if self.holders[p].number == self.number => {
                self.holders[p].applied_ms = self.holders[p].asked_ms;
            }
            FenceStep::Apply(_) => {}
            FenceStep::Answer(p) => {
                let asked_ms = self.holders[p].applied_ms.take();
                if let (Some(asked_ms), Some(fence)) = (asked_ms, &mut self.holders[p].fence) {
                    fence.renew(asked_ms);
                }
            }
            FenceStep::Send(p, checks) => {
                let check = match checks {
                    true => FenceCheck::Checked,
                    false => FenceCheck::Unchecked,
                };
                let fence = self.holders[p].fence;
                let allowed = fence.map(|fence| fence.may_send(now_ms, check));
                if let Some(Ok(number)) = allowed {
                    self.flights.push(Flight {
                        number,
                        checks,
                        until_ms: now_ms + FLIGHT_MS,
                    });
                }
            }
            FenceStep::Deliver(i) if i < self.flights.len() => self.deliver(i),
            FenceStep::Deliver(_) => {}
            FenceStep::Wait(ms) => self.wait(ms),
        }
    }
}

impl StateMachineTest for FenceWorld {
    type SystemUnderTest = FenceWorld;
    type Reference = FencePlan;

    fn init_test((): &()) -> FenceWorld {
        FenceWorld::default()
    }

    fn apply(mut world: FenceWorld, (): &(), step: FenceStep) -> FenceWorld {
        world.step(&step);
        world
    }
}

// Rollout: runners load, restart, fail and fall silent, reports lag, orders get
// lost, and the holder changes. The oracle: never more than the bound load at
// once, and after the faults every runner serves what is wanted.

#[derive(Clone, Debug)]
enum RolloutStep {
    Wait(u64),
    Report(usize, u64),
    Plan,
    Want(u8),
    TakeOver,
    Restart(usize),
    Break(usize),
    LoseOrder,
}

struct RolloutPlan;

impl ReferenceStateMachine for RolloutPlan {
    type State = ();
    type Transition = RolloutStep;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<RolloutStep> {
        let runner = 0..RUNNERS;
        prop_oneof![
            8 => (1..20_u64).prop_map(RolloutStep::Wait),
            16 => (runner.clone(), 0..=LAG_MS).prop_map(|(i, age)| RolloutStep::Report(i, age)),
            8 => Just(RolloutStep::Plan),
            1 => (0..3_u8).prop_map(RolloutStep::Want),
            1 => Just(RolloutStep::TakeOver),
            1 => runner.clone().prop_map(RolloutStep::Restart),
            1 => runner.prop_map(RolloutStep::Break),
            1 => Just(RolloutStep::LoseOrder),
        ]
        .boxed()
    }

    fn apply((): (), _: &RolloutStep) {}
}

/// A runner's version and the load under way, at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct RunnerState {
    version: u8,
    loading: Option<(u8, u64)>,
}

#[derive(Default)]
struct Runner {
    state: RunnerState,
    fence: u64,
    broken: bool,
    /// The state at each of the last milliseconds, oldest first.
    past: Vec<RunnerState>,
}

struct RolloutWorld {
    now_ms: u64,
    fence: u64,
    planner: RolloutPlanner,
    wanted: u8,
    runners: Vec<Runner>,
    views: Vec<RunnerView>,
    /// Delivery time, fencing number, runner and version.
    flights: Vec<(u64, u64, usize, u8)>,
    lose_next: bool,
}

fn instance(i: usize) -> InstanceName {
    InstanceName::new(&format!("runner-{i}")).unwrap()
}

fn version(number: u8) -> VersionName {
    VersionName::new(&format!("v{number}")).unwrap()
}

fn model() -> ModelName {
    ModelName::new("blaze").unwrap()
}

fn planner(now_ms: u64) -> RolloutPlanner {
    let settings = RolloutSettings {
        parallel_loads: AT_ONCE,
        load_limit_ms: LOAD_MS,
        report_lag_ms: LAG_MS,
        flight_ms: FLIGHT_MS,
        silent_ms: 200,
    };
    RolloutPlanner::new(settings, now_ms)
}

impl RolloutWorld {
    fn wait(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now_ms += 1;
            self.deliver();
            for runner in &mut self.runners {
                let due = |(_, done_ms): &mut (u8, u64)| *done_ms <= self.now_ms;
                if let Some((version, _)) = runner.state.loading.take_if(due) {
                    if !runner.broken {
                        runner.state.version = version;
                    }
                }
                runner.past.push(runner.state);
                if runner.past.len() > LAG_MS as usize + 1 {
                    runner.past.remove(0);
                }
            }
            let loading = self.runners.iter().filter(|r| r.state.loading.is_some());
            assert!(loading.count() <= AT_ONCE, "too many runners load at once");
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        for (_, fence, i, version) in self.flights.extract_if(.., |f| f.0 <= now_ms) {
            let runner = &mut self.runners[i];
            if fence >= runner.fence {
                runner.fence = fence;
                runner.state.loading = Some((version, now_ms + LOAD_MS - 1));
            }
        }
    }

    fn report(&mut self, i: usize, age: u64) {
        let past = &self.runners[i].past;
        let place = past.len().saturating_sub(1 + age as usize);
        let state = past.get(place).copied().unwrap_or_default();
        let report = LoadReport {
            running: 0,
            queued: 0,
            prefill_tokens: 0,
            model: model(),
            version: version(state.version),
            loading: state.loading.map(|(number, _)| version(number)),
            adapters: Vec::new(),
            role: EngineRole::Mixed,
            fence: 0,
            leaving: false,
        };
        self.views.retain(|view| view.instance != instance(i));
        self.views.push(RunnerView {
            instance: instance(i),
            received_ms: self.now_ms,
            report,
        });
    }

    fn plan(&mut self) {
        let wanted: Vec<_> = (0..RUNNERS)
            .map(|i| WantedVersion {
                instance: instance(i),
                model: model(),
                version: version(self.wanted),
            })
            .collect();
        for planned in self.planner.plan(&wanted, &self.views, self.now_ms) {
            let TargetOrder::Load { .. } = planned.order else {
                unreachable!("only loads are planned");
            };
            let i = (0..RUNNERS)
                .find(|i| instance(*i) == planned.instance)
                .unwrap();
            let delay_ms = 1 + self.now_ms * 7 % FLIGHT_MS;
            let flight = (self.now_ms + delay_ms, self.fence, i, self.wanted);
            if !std::mem::take(&mut self.lose_next) {
                self.flights.push(flight);
            }
        }
    }

    fn step(&mut self, step: &RolloutStep) {
        match *step {
            RolloutStep::Wait(ms) => self.wait(ms),
            RolloutStep::Report(i, age) => self.report(i, age),
            RolloutStep::Plan => self.plan(),
            RolloutStep::Want(number) => self.wanted = number,
            RolloutStep::TakeOver => {
                self.fence += 1;
                self.planner = planner(self.now_ms);
            }
            RolloutStep::Restart(i) => self.runners[i].state = RunnerState::default(),
            RolloutStep::Break(i) => self.runners[i].broken = !self.runners[i].broken,
            RolloutStep::LoseOrder => self.lose_next = true,
        }
    }

    /// Broken runners stay broken, some of them silent; the others converge.
    fn check_converges(&mut self) {
        self.lose_next = false;
        let silent = |world: &Self, i: usize| world.runners[i].broken && i.is_multiple_of(2);
        for _ in 0..300 {
            self.wait(5);
            for i in 0..RUNNERS {
                if !silent(self, i) {
                    self.report(i, 5);
                }
            }
            self.plan();
        }
        for runner in self.runners.iter().filter(|runner| !runner.broken) {
            assert_eq!(runner.state.version, self.wanted, "it never converged");
        }
    }
}

impl StateMachineTest for RolloutWorld {
    type SystemUnderTest = RolloutWorld;
    type Reference = RolloutPlan;

    fn init_test((): &()) -> RolloutWorld {
        RolloutWorld {
            now_ms: 0,
            fence: 1,
            planner: planner(0),
            wanted: 1,
            runners: (0..RUNNERS).map(|_| Runner::default()).collect(),
            views: Vec::new(),
            flights: Vec::new(),
            lose_next: false,
        }
    }

    fn apply(mut world: RolloutWorld, (): &(), step: RolloutStep) -> RolloutWorld {
        world.step(&step);
        world
    }

    fn teardown(mut world: RolloutWorld, (): ()) {
        world.check_converges();
    }
}

prop_state_machine! {
    #![proptest_config(fuzz_config())]

    #[test]
    fn no_old_order_is_applied_after_a_newer_one(sequential 1..200 => FenceWorld);

    #[test]
    fn loads_are_bounded_and_the_rollout_converges(sequential 1..200 => RolloutWorld);
}

#[test]
fn a_new_holder_waits_and_then_sends() {
    let grant = LeaseGrant {
        fence: 2,
        asked_ms: 0,
        granted_ms: 10,
        length_ms: LEASE_MS,
    };
    let mut fence = OrderFence::new(grant, FLIGHT_MS);
    let refused = fence.may_send(50, FenceCheck::Unchecked);
    assert_eq!(refused, Err(FenceRefusal::OldOrders { wait_ms: 81 }));
    assert_eq!(fence.may_send(98, FenceCheck::Checked), Ok(2));
    assert_eq!(
        fence.may_send(99, FenceCheck::Checked),
        Err(FenceRefusal::LeaseOver)
    );
    fence.renew(90);
    assert_eq!(fence.may_send(131, FenceCheck::Unchecked), Ok(2));
}
