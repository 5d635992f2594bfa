//! Rolls out the requested weights to runners while this instance holds the lease.
//!
//! An order tells a runner to load a version of weights. It contains the runner, the
//! version and the number of orders that the runner must have accepted before it, so that
//! a delayed order cannot revert a newer one.

use crate::{
    clock::boot_ms,
    peers::{switch_key, HolderNotice},
    permits::note_limit,
    places::note_brittle,
    rollout_lease::SharedLease,
    runner_registry::RunnerHandle,
    state::{DesiredWeights, GatewayState},
};
use berylmount_adapter::runner_calls::{
    CallFault, OrderOutcome, RunnerClient, SwitchMode, WeightsOrder,
};
use berylmount_fleet::DesiredVersion;
use berylmount_policy::{
    sent_orders::{SentOrder, SentOrders},
    weights_rollout::{next_orders, RolloutPace, RolloutProgress, RolloutView},
};
use std::{rc::Rc, time::Duration};
use tokio::{task::spawn_local, time::sleep};

/// Time between two checks of the runners.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Number of consecutive loads for which the time limit of a rollout must suffice. Five
/// are needed if a fifth of the runners loads at a time, and draining their requests in
/// flight takes about as long.
const LOADS_PER_ROLLOUT: u64 = 9;

/// Time within which the lease must record a planned order, in milliseconds. Otherwise the order
/// is planned again.
const RECORD_LIMIT_MS: u64 = 1000;
/// Time between two checks whether the lease has recorded a planned order.
const RECORD_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time for which the notice of a draining holder remains after it released the lease. The
/// next holder repeats it.
const NOTICE_MS: u64 = 2000;

/// Minimum time between two log lines about the progress of a rollout, in milliseconds.
const PROGRESS_INTERVAL_MS: u64 = 500;

/// What was last logged about the progress of the rollouts of each model.
#[derive(Default)]
struct ProgressLog {
    /// Sorted by model; with the time of the log line.
    logged: Vec<(String, u64, RolloutProgress)>,
}

impl ProgressLog {
    /// Logs the progress of a rollout if it has changed.
    fn note(
        &mut self,
        goal: &DesiredVersion,
        progress: RolloutProgress,
        left_ms: u64,
        now_ms: u64,
    ) {
        let (model, version) = (goal.model.as_str(), goal.version);
        let found = self
            .logged
            .binary_search_by(|(known, ..)| known.as_str().cmp(model));
        match found {
            Ok(index) => {
                let (_, at_ms, logged) = &mut self.logged[index];
                if progress == *logged || now_ms < *at_ms + PROGRESS_INTERVAL_MS {
                    return;
                }
                (*at_ms, *logged) = (now_ms, progress);
            }
            Err(_) if progress == RolloutProgress::default() => return,
            Err(index) => self
                .logged
                .insert(index, (model.to_owned(), now_ms, progress)),
        }
        let RolloutProgress {
            due,
            excluded,
            switching,
            unready,
        } = progress;
        log::info!(
            target: "weights",
            model, version, left_ms, due, excluded, switching, unready;
            "rollout progress"
        );
    }
}

/// Whether an order for another model than `model` is in progress at a runner. A runner
/// carries out one order at a time.
fn has_other_order(orders: &SentOrders, runner: &RunnerHandle, model: &str, now_ms: u64) -> bool {
    let record = runner.record();
    let mut of_runner = orders.of_runner(&record.id);
    of_runner.any(|(name, order)| {
        let view = RolloutView {
            version: runner.weights_of(name),
            ordered: order.version,
            ordered_at_ms: order.at_ms,
            is_ready: true,
            ..RolloutView::default()
        };
        name != model && view.is_switching(now_ms)
    })
}

/// Sends orders for weights while this instance holds the lease.
pub(crate) async fn roll_out_weights(state: Rc<GatewayState>, lease: SharedLease) {
    let mut acted_at_ms = 0;
    let mut progress_log = ProgressLog::default();
    loop {
        sleep(POLL_INTERVAL).await;
        let now_ms = boot_ms();
        let term = lease.borrow().ordering_term(now_ms);
        let Some(term) = term else {
            if !state.is_draining() || now_ms > acted_at_ms + NOTICE_MS {
                *state.holder_notice.borrow_mut() = None;
            }
            continue;
        };
        acted_at_ms = now_ms;
        let mut notice = HolderNotice {
            term,
            retired: state.retired.borrow().clone(),
            ..HolderNotice::default()
        };
        // The model with the least time left goes first, since loads share bandwidth.
        let desired_weights: Vec<DesiredWeights> = state.desired_weights.borrow().clone();
        let mut rollouts: Vec<(u64, DesiredWeights)> = desired_weights
            .into_iter()
            .map(|desired| (time_left_ms(&state, &desired), desired))
            .collect();
        rollouts.sort_by_key(|(left_ms, _)| *left_ms);
        for (left_ms, desired) in rollouts {
            send_due_orders(
                &state,
                &lease,
                &desired,
                left_ms,
                &mut notice,
                &mut progress_log,
            );
        }
        notice.switching.sort_unstable();
        *state.holder_notice.borrow_mut() = Some(notice);
    }
}

/// Returns the time that is surely left until requests may no longer start on the oldest
/// weights of a model that a runner has, in milliseconds.
fn time_left_ms(state: &GatewayState, desired: &DesiredWeights) -> u64 {
    let apply_ms = state.settings().bounds.weights_apply.as_millis() as u64;
    let now_ms = boot_ms();
    let runners = state.runners.borrow();
    let ready = runners.all().iter().filter(|r| takes_orders(r, now_ms));
    let oldest = ready
        .filter_map(|r| r.weights_of(&desired.goal.model))
        .min();
    let left_ms = oldest.and_then(|oldest| desired.times.left_ms(oldest, now_ms, apply_ms));
    left_ms.unwrap_or(apply_ms)
}

/// Whether a runner accepts orders.
fn takes_orders(runner: &RunnerHandle, now_ms: u64) -> bool {
    runner.takes_requests() && runner.backoff_left(now_ms).is_none()
}

/// Sends the orders that are due for one model.
fn send_due_orders(
    state: &Rc<GatewayState>,
    lease: &SharedLease,
    desired: &DesiredWeights,
    left_ms: u64,
    notice: &mut HolderNotice,
    progress_log: &mut ProgressLog,
) {
    let goal = &desired.goal;
    let now_ms = boot_ms();
    let runners: Vec<Rc<RunnerHandle>> = state.runners.borrow().all().to_vec();
    let others = state.peers.borrow().loads(now_ms);
    let has_other = |runner: &Rc<RunnerHandle>| {
        let lease = lease.borrow();
        has_other_order(lease.orders(), runner, &goal.model, now_ms)
    };
    let loading_others = runners.iter().filter(|runner| has_other(runner)).count();
    let apply_ms = state.settings().bounds.weights_apply.as_millis() as u64;
    let left_ms_of = |runner: &Rc<RunnerHandle>| {
        let version = runner.weights_of(&goal.model);
        let left_ms = version.and_then(|version| desired.times.left_ms(version, now_ms, apply_ms));
        left_ms.unwrap_or(apply_ms)
    };
    let view = |runner: &Rc<RunnerHandle>| {
        let record = runner.record();
        let lease = lease.borrow();
        let order = lease.orders().get(&record.id, &goal.model);
        RolloutView {
            version: runner.weights_of(&goal.model),
            ordered: order.version,
            ordered_at_ms: order.at_ms,
            running: runner.running.get() + others.on(runner.key()).running,
            is_ready: takes_orders(runner, now_ms) && !has_other(runner),
            is_excluded: lease.excludes_orders(&record.id, now_ms),
            left_ms: left_ms_of(runner),
        }
    };
    let views: Vec<RolloutView> = runners.iter().map(view).collect();
    let pace = RolloutPace {
        load_ms: apply_ms / LOADS_PER_ROLLOUT,
        loading_others,
    };
    let progress = RolloutProgress::of(&views, goal.version, now_ms);
    progress_log.note(goal, progress, left_ms, now_ms);
    for index in next_orders(&views, goal.version, pace, now_ms) {
        let runner = runners[index].clone();
        let order = SentOrder {
            version: goal.version,
            at_ms: now_ms,
        };
        let runner_id = runner.record().id.clone();
        let mut sent = lease.borrow_mut();
        sent.orders_mut().set(&runner_id, &goal.model, order);
        drop(sent);
        let key = switch_key(runner.key(), &goal.model);
        notice.switching.push(key);
        let (state, lease, goal) = (state.clone(), lease.clone(), goal.clone());
        spawn_local(async move { send_order(&state, &lease, &runner, &goal).await });
    }
    let switching = views.iter().enumerate();
    let switching = switching.filter(|(_, view)| view.is_switching(now_ms));
    notice
        .switching
        .extend(switching.map(|(index, _)| switch_key(runners[index].key(), &goal.model)));
}

/// Orders one runner to load a version.
async fn send_order(
    state: &GatewayState,
    lease: &SharedLease,
    runner: &RunnerHandle,
    goal: &DesiredVersion,
) {
    let record = runner.record();
    let mut client = RunnerClient::new(record.address);
    let sent_ms = boot_ms();
    let outcome = order_runner(state, lease, &mut client, &record.id, goal).await;
    lease.borrow_mut().drop_plan(&record.id);
    if matches!(outcome, Err(OrderFault::Unsent(CallFault::NotSent(_)))) {
        state.service_paths.of(&record.service).note_doubt();
    }
    runner.note_notice(client.notice(), boot_ms());
    note_limit(state, runner, client.notice().limit, sent_ms);
    note_brittle(state, runner, client.notice().brittle, sent_ms);
    let (runner_id, version) = (record.id.as_str(), goal.version);
    match outcome {
        Ok(Some(OrderOutcome::Started)) => {
            log::info!(target: "weights", runner = runner_id, version; "runner accepted the order");
            return;
        }
        Ok(Some(OrderOutcome::AlreadyLoaded)) => {
            runner.note_weights(&goal.model, version);
            log::info!(target: "weights", runner = runner_id, version; "runner already has the ordered version");
        }
        Ok(Some(outcome)) => {
            log::warn!(target: "weights", runner = runner_id, version, outcome:? ; "runner refused the order");
        }
        Ok(None) => {
            log::info!(target: "weights", runner = runner_id; "order not sent because the lease was lost")
        }
        Err(OrderFault::Unsent(fault)) => {
            log::warn!(target: "weights", runner = runner_id, version, fault:% ; "could not send the order");
        }
        Err(OrderFault::Unclear(fault)) => {
            log::warn!(target: "weights", runner = runner_id, version, fault:% ; "could not confirm the order, its outcome is unknown");
            // The runner may still execute it seconds later, so its record stays as if it had
            // been accepted.
            return;
        }
    }
    // The order failed or was not needed, so the record is removed after a pause and the
    // order may be sent again.
    sleep(Duration::from_millis(300)).await;
    let mut lease = lease.borrow_mut();
    lease.orders_mut().withdraw(runner_id, &goal.model, version);
}

/// Why an order has no outcome.
enum OrderFault {
    /// It was not sent.
    Unsent(CallFault),
    /// It was sent, and the runner may execute it.
    Unclear(CallFault),
}

/// Plans an order, and waits until the lease has recorded the plan. Returns the fencing token, or
/// `None` if the lease was lost or could not be written.
async fn wait_for_record(
    state: &GatewayState,
    lease: &SharedLease,
    runner: &str,
    goal: &DesiredVersion,
) -> Option<u64> {
    let until_ms = boot_ms() + RECORD_LIMIT_MS;
    lease
        .borrow_mut()
        .plan_order(runner, &goal.model, goal.version);
    state.order_planned.notify_one();
    loop {
        let now_ms = boot_ms();
        let term = lease.borrow().order_term(runner, now_ms);
        let is_over = now_ms >= until_ms || !lease.borrow().is_held(now_ms);
        if term.is_some() || is_over {
            return term;
        }
        sleep(RECORD_POLL_INTERVAL).await;
    }
}

/// Reads how many orders the runner has accepted and sends the order. Returns `None` if
/// the lease was lost.
async fn order_runner(
    state: &GatewayState,
    lease: &SharedLease,
    client: &mut RunnerClient,
    runner: &str,
    goal: &DesiredVersion,
) -> Result<Option<OrderOutcome>, OrderFault> {
    let found = client.order_state(&goal.model).await;
    let found = found.map_err(OrderFault::Unsent)?;
    if found.version.is_some_and(|version| version >= goal.version) {
        return Ok(Some(OrderOutcome::AlreadyLoaded));
    }
    if found.is_busy {
        return Ok(Some(OrderOutcome::Busy));
    }
    let Some(fencing_token) = wait_for_record(state, lease, runner, goal).await else {
        return Ok(None);
    };
    let note_sent = || {
        let mut lease = lease.borrow_mut();
        lease.orders_mut().note_sent(runner, &goal.model, boot_ms());
    };
    note_sent();
    let order = WeightsOrder {
        runner,
        model: &goal.model,
        version: goal.version,
        mode: SwitchMode::Wait,
        holder: &state.settings().name,
        fencing_token,
        expected_orders: Some(found.orders),
    };
    match client.order_weights(&order).await {
        Ok(outcome) => Ok(Some(outcome)),
        Err(fault @ CallFault::NotSent(_)) => Err(OrderFault::Unsent(fault)),
        Err(fault) => {
            // What the kernel has not delivered yet may still arrive.
            note_sent();
            Err(OrderFault::Unclear(fault))
        }
    }
}
