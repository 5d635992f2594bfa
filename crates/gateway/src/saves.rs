//! Orders to save parts to stores of kept cache, and what the instances tell each other about them.

use crate::{
    clock::boot_ms,
    peers::name_hash,
    state::{duty_member, GatewayState},
    upstream::AttemptOutcome,
};
use berylmount_policy::save_orders::{
    OrderId, SaveOrders, SaveReport, SavedPart, MAX_REPORTED_PARTS, MAX_START_MS, UNTOLD_ORDER_MS,
};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

/// Time for which a request may outlast its deadline at a runner, in milliseconds.
const DEADLINE_TOLERANCE_MS: u64 = 1000;

/// Age of a plan above which the request is sent without its order, in milliseconds. The process
/// may have stood still meanwhile, and other instances count its orders as begun.
const MAX_PLAN_AGE_MS: u64 = 1000;

/// Name of the duty to collect the reports of a large fleet, and number of instances that do. Two,
/// so that one may be lost.
const COLLECTOR_DUTY: &str = "saves";
const COLLECTORS: usize = 2;

/// An order to save parts, from the plan of a request until the runner has begun to save them.
pub(crate) struct SaveGuard {
    orders: Rc<RefCell<SaveOrders>>,
    id: OrderId,
    planned_ms: u64,
    is_sent: Cell<bool>,
}

impl SaveGuard {
    /// Records an order that is about to be sent with a request that has this much time left;
    /// `None` if no part is to be saved.
    pub(crate) fn begin(state: &GatewayState, parts: Vec<SavedPart>, left_ms: u64) -> Option<Self> {
        if parts.is_empty() {
            return None;
        }
        let (orders, planned_ms) = (state.save_orders.clone(), boot_ms());
        let latest_ms = planned_ms + left_ms + DEADLINE_TOLERANCE_MS;
        let id = orders.borrow_mut().begin(parts, latest_ms);
        Some(Self {
            orders,
            id,
            planned_ms,
            is_sent: Cell::new(false),
        })
    }

    /// Notes that the order is being sent. Returns false if it is too old and must not be sent.
    pub(crate) fn note_sent(&self) -> bool {
        let age_ms = boot_ms().saturating_sub(self.planned_ms);
        self.is_sent.set(age_ms <= MAX_PLAN_AGE_MS);
        self.is_sent.get()
    }

    /// Notes the first event of the request. Runners read a prompt, and reserve the space of the
    /// parts to save, before it.
    pub(crate) fn note_first_event(&self) {
        let now_ms = boot_ms();
        let waited_ms = now_ms.saturating_sub(self.planned_ms);
        if self.orders.borrow_mut().end(self.id, now_ms) && waited_ms > MAX_START_MS {
            log::warn!(target: "kept", waited_ms; "an order to save parts began later than other instances assume if they do not hear of it");
        }
    }

    /// Notes how the attempt to run the request ended.
    pub(crate) fn note_outcome(&self, outcome: &AttemptOutcome) {
        match outcome {
            AttemptOutcome::NotSent(_)
            | AttemptOutcome::NotRun(_)
            | AttemptOutcome::TimedOut(false) => {
                self.orders.borrow_mut().withdraw(self.id);
            }
            AttemptOutcome::Complete(_) | AttemptOutcome::Streamed => self.note_first_event(),
            // The runner may still run the request.
            AttemptOutcome::MayHaveRun(_)
            | AttemptOutcome::Disconnected(_)
            | AttemptOutcome::StreamFailed(_)
            | AttemptOutcome::CallerGone
            | AttemptOutcome::TimedOut(true) => {}
        }
    }
}

impl Drop for SaveGuard {
    fn drop(&mut self) {
        let mut orders = self.orders.borrow_mut();
        match self.is_sent.get() {
            true => orders.abandon(self.id),
            false => orders.withdraw(self.id),
        }
    }
}

/// Whether this instance may order saves: another one hears of its orders, or there is no other.
pub(crate) fn may_order(state: &GatewayState, now_ms: u64) -> bool {
    let peers = state.peers.borrow();
    state.instance_count() <= 1 || peers.received_within(peers.silence_ms(), now_ms)
}

/// Returns the silence after which an instance has no orders left, in milliseconds: it gives none
/// once it is isolated.
fn silence_ms(state: &GatewayState) -> u64 {
    state.peers.borrow().silence_ms() + UNTOLD_ORDER_MS
}

/// Returns all that this instance knows of stores and its orders.
fn own_report(state: &GatewayState) -> SaveReport {
    let stores = state.stores.borrow();
    let mut orders = state.save_orders.borrow_mut();
    let now_ms = boot_ms();
    // A store that the table lists no more may be listed again under another name.
    let pending = orders.pending(|store| stores.responded_ms(store).unwrap_or(now_ms));
    let may_replace = state.instances.borrow().may_have_predecessor();
    // Until then, orders of an earlier process may begin.
    let forgotten_until_ms = match may_replace {
        true => state.started_boot_ms + UNTOLD_ORDER_MS,
        false => 0,
    };
    SaveReport {
        instance: name_hash(&state.settings().name),
        process: state.started_ms,
        number: 0,
        stores: stores.progress(forgotten_until_ms),
        pending: (pending.len() <= MAX_REPORTED_PARTS).then_some(pending),
        longest_ms: orders.longest_ms(now_ms),
        unsettled: Vec::new(),
    }
}

/// Returns the addresses of the instances that collect the reports of a large fleet, and whether
/// this is one of them; `None` in a small fleet, where all get all reports.
fn collectors(state: &GatewayState, now_ms: u64) -> Option<(Vec<SocketAddr>, bool)> {
    let (settings, peers) = (state.settings(), state.peers.borrow());
    let own = duty_member(&settings);
    let is_large = peers.is_large(now_ms);
    is_large.then(|| peers.first_members(own, COLLECTOR_DUTY, COLLECTORS, now_ms))
}

/// Lists the parts that are not settled one by one, so that others learn at once of all others that
/// are.
fn list_unsettled(state: &GatewayState, report: &mut SaveReport) {
    let unsettled = state.stores.borrow().unsettled();
    if unsettled.len() <= MAX_REPORTED_PARTS {
        report.unsettled = unsettled;
        for progress in &mut report.stores {
            progress.settled = progress.known;
        }
    }
}

/// Settles what the reports of all instances allow, and returns what this one tells the others, if
/// anything, and to which ones it goes; `None` stands for all of them.
pub(crate) fn settle_parts(state: &GatewayState) -> Option<(SaveReport, Option<Vec<SocketAddr>>)> {
    if state.stores.borrow().is_empty() {
        return None;
    }
    let mut own = own_report(state);
    if state.stores.borrow().unsettled_count() > 0 {
        let fleet = state.fleet_saves.borrow();
        let settled = fleet.settled(&own, silence_ms(state), boot_ms());
        state.stores.borrow_mut().settle(&settled);
    }
    let recipients = match collectors(state, boot_ms()) {
        Some((_, true)) => {
            list_unsettled(state, &mut own);
            None
        }
        Some((addresses, false)) => Some(addresses),
        None => None,
    };
    let report = state.report_writer.borrow_mut().next(&own)?;
    Some((report, recipients))
}

/// Records the listed instances, which may order saves before they are heard from.
pub(crate) fn note_listed(state: &GatewayState) {
    let own = state.settings().name.clone();
    let instances = state.instances.borrow();
    let names = instances.entries().iter().map(|(name, _)| name);
    let others = names.filter(|name| **name != own);
    let mut listed: Vec<u64> = others.map(|name| name_hash(name)).collect();
    listed.sort_unstable();
    let silence_ms = silence_ms(state);
    let mut fleet = state.fleet_saves.borrow_mut();
    fleet.note_listed(&listed, silence_ms, boot_ms());
}
