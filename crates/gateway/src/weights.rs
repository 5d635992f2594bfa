//! Brings runners to the weights that are named, while holding the duty.
//!
//! Every order names the runner, the version and the count of orders that the
//! runner must have accepted before, so that one which is carried out late can
//! not undo a newer one.

use crate::{
    clock::boot_ms,
    duty::SharedLease,
    peers::DutyNotice,
    roster::RunnerHandle,
    state::{GatewayState, NamedWeights},
};
use berylmount_adapter::runner_calls::{
    CallFault, OrderOutcome, RunnerClient, SwitchMode, WeightsOrder,
};
use berylmount_fleet::DesiredVersion;
use berylmount_policy::weights_rollout::{next_orders, RolloutPace, RolloutView};
use std::{cell::RefCell, rc::Rc, time::Duration};
use tokio::{task::spawn_local, time::sleep};

/// Time between two looks at the runners.
const STEP: Duration = Duration::from_millis(100);

/// Loads, one after another, for which the bound on a rollout leaves time: what
/// a fifth of the runners at a time need, and as much again for their runs to end.
const LOADS_IN_BOUND: u64 = 9;

/// Orders of this process, by runner key.
#[derive(Debug, Default)]
struct OrderBook {
    orders: Vec<(u64, GivenOrder)>,
}

/// The last order that a runner was given.
#[derive(Clone, Copy, Debug, Default)]
struct GivenOrder {
    version: u64,
    at_ms: u64,
}

impl OrderBook {
    fn get(&self, key: u64) -> GivenOrder {
        let found = self.orders.binary_search_by_key(&key, |(known, _)| *known);
        found.map_or_else(|_| GivenOrder::default(), |index| self.orders[index].1)
    }

    fn set(&mut self, key: u64, order: GivenOrder) {
        match self.orders.binary_search_by_key(&key, |(known, _)| *known) {
            Ok(index) => self.orders[index].1 = order,
            Err(index) => self.orders.insert(index, (key, order)),
        }
    }
}

/// Orders weights while this instance holds the duty.
pub(crate) async fn roll_out_weights(state: Rc<GatewayState>, lease: SharedLease) {
    let book: Rc<RefCell<OrderBook>> = Rc::default();
    loop {
        sleep(STEP).await;
        let term = lease.borrow().acting_term(boot_ms());
        let Some(term) = term else {
            *state.duty_notice.borrow_mut() = None;
            continue;
        };
        let mut notice = DutyNotice {
            term,
            retired: state.retired.borrow().clone(),
            ..DutyNotice::default()
        };
        let goals: Vec<NamedWeights> = state.goals.borrow().clone();
        for named in goals {
            step_goal(&state, &lease, &book, &named, &mut notice);
        }
        notice.switching.sort_unstable();
        *state.duty_notice.borrow_mut() = Some(notice);
    }
}

/// Gives the orders that are due for one model.
fn step_goal(
    state: &Rc<GatewayState>,
    lease: &SharedLease,
    book: &Rc<RefCell<OrderBook>>,
    named: &NamedWeights,
    notice: &mut DutyNotice,
) {
    let goal = &named.goal;
    let now_ms = boot_ms();
    let runners: Vec<Rc<RunnerHandle>> = state.runners.borrow().all().to_vec();
    let others = state.peers.borrow().loads(now_ms);
    let view = |runner: &Rc<RunnerHandle>| {
        let key = runner.key();
        let order = book.borrow().get(key);
        RolloutView {
            version: runner.weights_of(&goal.model),
            ordered: order.version,
            ordered_at_ms: order.at_ms,
            running: runner.running.get() + others.on(key).running,
            is_ready: runner.takes_requests() && runner.rest_left(now_ms).is_none(),
        }
    };
    let views: Vec<RolloutView> = runners.iter().map(view).collect();
    let apply_ms = state.settings().bounds.weights_apply.as_millis() as u64;
    let oldest = views
        .iter()
        .filter(|view| view.is_ready)
        .filter_map(|view| view.version)
        .min();
    let outdated_ms = oldest
        .and_then(|oldest| named.outdated_at(oldest))
        .unwrap_or(now_ms);
    let pace = RolloutPace {
        left_ms: (outdated_ms + apply_ms).saturating_sub(now_ms),
        load_ms: apply_ms / LOADS_IN_BOUND,
    };
    for index in next_orders(&views, goal.version, pace, now_ms) {
        let runner = runners[index].clone();
        let order = GivenOrder {
            version: goal.version,
            at_ms: now_ms,
        };
        book.borrow_mut().set(runner.key(), order);
        notice.switching.push(runner.key());
        let (state, lease, book) = (state.clone(), lease.clone(), book.clone());
        let goal = goal.clone();
        spawn_local(async move { give_order(&state, &lease, &book, &runner, &goal).await });
    }
    let switching = views.iter().enumerate();
    let switching = switching.filter(|(_, view)| view.is_switching(goal.version, now_ms));
    notice
        .switching
        .extend(switching.map(|(index, _)| runners[index].key()));
}

/// Orders one runner to load a version.
async fn give_order(
    state: &GatewayState,
    lease: &SharedLease,
    book: &RefCell<OrderBook>,
    runner: &RunnerHandle,
    goal: &DesiredVersion,
) {
    let record = runner.record();
    let mut client = RunnerClient::new(record.address);
    let outcome = order_runner(state, lease, &mut client, &record.id, goal).await;
    runner.note_notice(client.notice(), boot_ms());
    let (runner_id, version) = (record.id.as_str(), goal.version);
    match outcome {
        Ok(Some(OrderOutcome::Started)) => {
            log::info!(target: "weights", runner = runner_id, version; "order taken");
            return;
        }
        Ok(Some(OrderOutcome::AlreadyHolds)) => {
            runner.note_weights(version);
            log::info!(target: "weights", runner = runner_id, version; "order already holds");
        }
        Ok(Some(outcome)) => {
            log::warn!(target: "weights", runner = runner_id, version, outcome:? ; "order refused");
        }
        Ok(None) => log::info!(target: "weights", runner = runner_id; "order not sent: no lease"),
        Err(fault) => {
            log::warn!(target: "weights", runner = runner_id, version, fault:% ; "order unclear");
            // It may be carried out seconds later; the usual time of an order covers that.
            if !matches!(fault, CallFault::NotSent(_)) {
                return;
            }
        }
    }
    // The order is due again.
    sleep(Duration::from_millis(300)).await;
    book.borrow_mut().set(runner.key(), GivenOrder::default());
}

/// Reads the runner's count of orders and sends the order; `None` if the lease is gone.
async fn order_runner(
    state: &GatewayState,
    lease: &SharedLease,
    client: &mut RunnerClient,
    runner: &str,
    goal: &DesiredVersion,
) -> Result<Option<OrderOutcome>, CallFault> {
    let found = client.order_state(&goal.model).await?;
    if found.version.is_some_and(|version| version >= goal.version) {
        return Ok(Some(OrderOutcome::AlreadyHolds));
    }
    if found.is_busy {
        return Ok(Some(OrderOutcome::Busy));
    }
    // Time has passed since the order was due.
    let term = lease.borrow().acting_term(boot_ms());
    let Some(fencing_token) = term else {
        return Ok(None);
    };
    let order = WeightsOrder {
        runner,
        model: &goal.model,
        version: goal.version,
        mode: SwitchMode::Wait,
        holder: &state.settings().name,
        fencing_token,
        expected_orders: Some(found.orders),
    };
    client.order_weights(&order).await.map(Some)
}
