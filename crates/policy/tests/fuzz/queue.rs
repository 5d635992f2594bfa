//! Fuzz tests: every item leaves a queue once, and no work starves.

use crate::{config, CLASSES};
use berylmount_policy::{QueueCapacity, QueueRoom, WorkItem, WorkQueue, WorkTicket};
use proptest::{prelude::*, sample::select};
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};
use std::collections::BTreeMap;

/// An operation on a queue.
#[derive(Clone, Debug)]
enum QueueStep {
    Offer(WorkItem),
    Take { short: bool, long: bool },
    Expire(u64),
    Remove(u64),
    Restore,
}

/// The next ticket and the current time.
#[derive(Clone, Debug, Default)]
struct QueueModel {
    next: u64,
    now_ms: u64,
}

impl ReferenceStateMachine for QueueModel {
    type State = Self;
    type Transition = QueueStep;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(model: &Self) -> BoxedStrategy<QueueStep> {
        let (ticket, now_ms) = (model.next, model.now_ms);
        let cost = select(vec![0.0, 20.0, 300.0, 2_500.0]);
        let item = (
            select(CLASSES.to_vec()),
            0u64..5,
            1u32..4,
            cost,
            1u64..20_000,
        );
        let offer =
            item.prop_map(
                move |(class, customer, weight, prefill_ms, limit_ms)| WorkItem {
                    ticket: WorkTicket(ticket),
                    customer,
                    weight,
                    class,
                    prefill_ms,
                    due_ms: now_ms + limit_ms,
                },
            );
        prop_oneof![
            8 => offer.prop_map(QueueStep::Offer),
            4 => any::<(bool, bool)>().prop_map(|(short, long)| QueueStep::Take { short, long }),
            2 => (0u64..3_000).prop_map(QueueStep::Expire),
            1 => (0..ticket.max(1)).prop_map(QueueStep::Remove),
            1 => Just(QueueStep::Restore),
        ]
        .boxed()
    }

    fn apply(mut model: Self, step: &QueueStep) -> Self {
        match step {
            QueueStep::Offer(_) => model.next += 1,
            QueueStep::Expire(ms) => model.now_ms += ms,
            _ => {}
        }
        model
    }
}

#[derive(Default)]
struct QueueFuzz {
    queue: WorkQueue,
    waiting: BTreeMap<WorkTicket, WorkItem>,
    taken: Option<WorkItem>,
}

impl StateMachineTest for QueueFuzz {
    type SystemUnderTest = Self;
    type Reference = QueueModel;

    fn init_test(_: &QueueModel) -> Self {
        Self::default()
    }

    fn apply(mut test: Self, model: &QueueModel, step: QueueStep) -> Self {
        match step {
            QueueStep::Offer(item) => {
                let left = item.due_ms - model.now_ms;
                match test
                    .queue
                    .offer(item, &QueueCapacity::idle(4.0), model.now_ms)
                {
                    Ok(()) => drop(test.waiting.insert(item.ticket, item)),
                    Err(refusal) => {
                        assert!(refusal.expected_ms > left && refusal.retry_after_ms > 0)
                    }
                }
            }
            QueueStep::Take { short, long } => {
                let fits = |item: &WorkItem| if item.is_long() { long } else { short };
                test.taken = test.queue.take(QueueRoom::same(short, long));
                match test.taken {
                    Some(item) => {
                        assert!(fits(&item));
                        assert_eq!(test.waiting.remove(&item.ticket), Some(item));
                    }
                    None => assert!(!test.waiting.values().any(fits)),
                }
            }
            QueueStep::Expire(_) => {
                let mut out = Vec::new();
                test.queue.expire(model.now_ms, &mut out);
                for item in out {
                    assert_eq!(test.waiting.remove(&item.ticket), Some(item));
                }
                assert!(test.waiting.values().all(|item| item.due_ms > model.now_ms));
            }
            QueueStep::Remove(ticket) => {
                let ticket = WorkTicket(ticket);
                assert_eq!(test.queue.remove(ticket), test.waiting.remove(&ticket));
            }
            QueueStep::Restore => {
                if let Some(item) = test.taken.take() {
                    test.queue.restore(item);
                    test.waiting.insert(item.ticket, item);
                }
            }
        }
        test
    }

    fn check_invariants(test: &Self, _: &QueueModel) {
        assert_eq!(test.queue.len(), test.waiting.len());
        let backlog: f64 = test.waiting.values().map(|item| item.prefill_ms).sum();
        assert!((test.queue.backlog_ms() - backlog).abs() < 1e-3);
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn every_item_leaves_the_queue_once(sequential 1..120 => QueueFuzz);
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_class_and_no_customer_starves(flood in select(CLASSES.to_vec()), class in select(CLASSES.to_vec())) {
        let mut queue = WorkQueue::default();
        let item = |ticket, customer, class| WorkItem {
            ticket: WorkTicket(ticket), customer, weight: 1, class, prefill_ms: 50.0, due_ms: 90_000,
        };
        for ticket in 1..100 {
            queue.restore(item(ticket, 1, flood));
        }
        queue.restore(item(0, 2, class));
        for ticket in 100.. {
            queue.restore(item(ticket, 1, flood));
            let taken = queue.take(QueueRoom::same(true, false)).unwrap();
            if taken.ticket == WorkTicket(0) {
                break;
            }
            prop_assert!(ticket < 200);
        }
    }
}
