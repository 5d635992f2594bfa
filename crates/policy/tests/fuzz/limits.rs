//! Fuzz test: no customer exceeds its limit across entries, owner changes and restarts.

use crate::config;
use berylmount_model::{CustomerName, CustomerRow, WorkName};
use berylmount_policy::{assignment::entry_count, CustomerLimiter, LimitShare};
use proptest::{prelude::*, sample::select};
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};

const ENTRIES: usize = 3;

/// An event that affects a customer's limits at three entries.
#[derive(Clone, Debug)]
enum LimitStep {
    Admit { entry: usize, count: u32 },
    Finish(usize),
    Advance(u64),
    Move { first: usize, owners: usize },
    Restart(usize),
    DropIdle(usize),
}

/// The owners of the customer, which are `owners` entries from `first` on.
#[derive(Clone, Debug)]
struct LimitModel {
    row: CustomerRow,
    now_ms: u64,
    first: usize,
    owners: usize,
}

impl LimitModel {
    fn share(&self, entry: usize) -> Option<LimitShare> {
        let rank = (entry + ENTRIES - self.first) % ENTRIES;
        (rank < self.owners).then_some(LimitShare {
            rank: rank as u32,
            entries: self.owners as u32,
        })
    }

    /// Returns the largest burst that a share new to an entry allows.
    fn initial_tokens(&self) -> f64 {
        (f64::from(self.row.burst) / 8.0).max(1.0)
    }
}

impl ReferenceStateMachine for LimitModel {
    type State = Self;
    type Transition = LimitStep;

    fn init_state() -> BoxedStrategy<Self> {
        (1u32..90, 1u32..60, 3u32..90)
            .prop_map(|(rate, burst, in_flight)| Self {
                row: CustomerRow {
                    name: CustomerName::new("crew").unwrap_or_else(|_| unreachable!()),
                    key_hash: String::new(),
                    weight: 1,
                    rate_per_s: f64::from(rate),
                    burst,
                    in_flight,
                    version: None,
                    cache_scope: String::new(),
                },
                now_ms: 0,
                first: 0,
                owners: 1,
            })
            .boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<LimitStep> {
        prop_oneof![
            20 => (0..ENTRIES, select(vec![1u32, 40]))
                .prop_map(|(entry, count)| LimitStep::Admit { entry, count }),
            10 => (0..ENTRIES).prop_map(LimitStep::Finish),
            4 => select(vec![1u64, 50, 1_000, 30_000]).prop_map(LimitStep::Advance),
            2 => (0..ENTRIES, 1..=ENTRIES).prop_map(|(first, owners)| LimitStep::Move { first, owners }),
            1 => (0..ENTRIES).prop_map(LimitStep::Restart),
            2 => (0..ENTRIES).prop_map(LimitStep::DropIdle),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &LimitStep) -> Self {
        match *step {
            LimitStep::Advance(ms) => state.now_ms += ms,
            LimitStep::Move { first, owners } => {
                let owners = entry_count(&state.row, owners);
                (state.first, state.owners) = (first, owners);
            }
            _ => {}
        }
        state
    }
}

/// The limiters of three entries, and one bucket for all of them as the oracle.
struct LimitFuzz {
    limiters: Vec<CustomerLimiter>,
    owned: Vec<bool>,
    in_flight: Vec<u32>,
    /// Tokens of the oracle's bucket; each new share adds its initial tokens.
    tokens: f64,
}

impl LimitFuzz {
    fn add(&mut self, tokens: f64, model: &LimitModel) {
        self.tokens = (self.tokens + tokens).min(f64::from(model.row.burst));
    }

    fn admit(&mut self, model: &LimitModel, entry: usize) {
        let Some(share) = model.share(entry) else {
            return;
        };
        let work = WorkName::new("question").unwrap_or_else(|_| unreachable!());
        match self.limiters[entry].admit(&model.row, &work, None, share, model.now_ms) {
            Ok(()) => {
                self.tokens -= 1.0;
                self.in_flight[entry] += 1;
                assert!(self.in_flight[entry] <= share.of_count(model.row.in_flight));
            }
            Err(refusal) => assert!(refusal.retry_after_ms() > 0),
        }
    }

    fn update_members(&mut self, model: &LimitModel) {
        for entry in 0..ENTRIES {
            let share = model.share(entry);
            let owns = share.is_some();
            self.limiters[entry].members_changed(model.now_ms, |_| share);
            if owns && !self.owned[entry] {
                self.add(model.initial_tokens(), model);
            }
            self.owned[entry] = owns;
        }
    }
}

impl StateMachineTest for LimitFuzz {
    type SystemUnderTest = Self;
    type Reference = LimitModel;

    fn init_test(model: &LimitModel) -> Self {
        Self {
            limiters: vec![CustomerLimiter::new(0); ENTRIES],
            owned: vec![true, false, false],
            in_flight: vec![0; ENTRIES],
            tokens: model.initial_tokens(),
        }
    }

    fn apply(mut test: Self, model: &LimitModel, step: LimitStep) -> Self {
        let now_ms = model.now_ms;
        match step {
            LimitStep::Admit { entry, count } => {
                for _ in 0..count {
                    test.admit(model, entry);
                }
            }
            LimitStep::Finish(entry) if test.in_flight[entry] > 0 => {
                test.in_flight[entry] -= 1;
                test.limiters[entry].finish(&model.row.name);
            }
            LimitStep::Advance(ms) => test.add(model.row.rate_per_s * ms as f64 / 1000.0, model),
            LimitStep::Move { .. } => test.update_members(model),
            LimitStep::Restart(entry) => {
                test.limiters[entry] = CustomerLimiter::new(now_ms);
                test.in_flight[entry] = 0;
                if model.share(entry).is_some() {
                    test.add(model.initial_tokens(), model);
                }
            }
            LimitStep::DropIdle(entry) => drop(test.limiters[entry].drop_idle(now_ms)),
            LimitStep::Finish(_) => {}
        }
        test
    }

    fn check_invariants(test: &Self, _: &LimitModel) {
        assert!(test.tokens >= -1e-6);
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn limits_hold_over_entries_and_moves(sequential 1..120 => LimitFuzz);
}
