//! Orders weights: makes runners serve the versions that the table names.
//!
//! One dispatch process at a time orders a pool's weights, under a lease on the
//! platform with a fencing number. Two processes are candidates, so that the
//! loss of one delays a rollout by one lease. What the runners report is
//! compared with what they should serve again and again.

use crate::{
    shared::DispatchShared,
    versions::{version_shares, wanted_versions},
};
use berylmount_model::{InstanceName, InstanceRecord, InstanceRole, PoolName, PoolRole, PoolRow};
use berylmount_objects::{HeldLease, PlatformLease};
use berylmount_policy::assignment::{self, MemberWeight};
use berylmount_table::TableView;
use berylmount_targets::{
    send_order, EngineClient, FenceCheck, LeaseGrant, OrderFault, OrderFence, PlannedOrder,
    ReportPoll, RolloutPlanner, RolloutSettings, TargetTimeouts,
};
use berylmount_telemetry::CounterMetric;
use std::{thread, time::Duration};

/// Time between two looks at the pools.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// How long a pool's lease lasts, in milliseconds.
const LEASE_MS: u64 = 4_000;

/// Longest time that an order is in flight, in milliseconds.
const FLIGHT_MS: u64 = 1_000;

/// Longest time of a load, in milliseconds.
const LOAD_LIMIT_MS: u64 = 30_000;

/// Greatest age of a load report when it comes, in milliseconds.
const REPORT_LAG_MS: u64 = 500;

/// Time between two polls of a pool for each of its runners, in milliseconds.
///
/// One holder asks every runner, so a large pool is asked less often.
const POLL_MS_PER_RUNNER: u64 = 10;

/// A runner silent for this long gets no order, in milliseconds.
const SILENT_MS: u64 = 3_000;

/// Time for the reports of one look, well below the lease.
const REPORTS_BUDGET: Duration = Duration::from_millis(500);

/// Processes that may take a pool's lease.
const CANDIDATES: usize = 2;

/// What the holder of a pool's lease works with.
#[derive(Debug)]
struct PoolHolder {
    fence: OrderFence,
    number: u64,
    planner: RolloutPlanner,
    poll: ReportPoll,
    /// When the runners are asked again.
    next_poll_ms: u64,
}

/// One pool, as a candidate for its lease.
#[derive(Debug)]
struct PoolDesk {
    pool: PoolName,
    lease: PlatformLease,
    holder: Option<PoolHolder>,
}

/// Orders weights until the process ends.
pub(crate) fn watch_weights(shared: &DispatchShared) {
    let mut desks: Vec<PoolDesk> = Vec::new();
    loop {
        let view = shared.table.view();
        let pools = view.pools().iter();
        let engines: Vec<&PoolRow> = pools.filter(|row| row.role == PoolRole::Engine).collect();
        desks.retain(|desk| engines.iter().any(|row| row.name == desk.pool));
        for row in engines {
            if !shared.tracker.is_draining() && is_candidate(shared, &row.name) {
                let desk = find_desk(shared, &mut desks, &row.name);
                serve_pool(shared, desk, row, &view);
            }
        }
        thread::sleep(LOOK_INTERVAL);
    }
}

/// Whether this process may take the lease of `pool`.
fn is_candidate(shared: &DispatchShared, pool: &PoolName) -> bool {
    let names = shared.dispatches();
    let members: Vec<_> = names
        .iter()
        .map(|name| MemberWeight::equal(name.as_str()))
        .collect();
    let ranked = assignment::rank_members(pool.as_str().as_bytes(), &members, CANDIDATES);
    let own = shared.name();
    ranked.iter().any(|&place| names[place] == own)
}

/// The desk of `pool`, opened if need be.
fn find_desk<'a>(
    shared: &DispatchShared,
    desks: &'a mut Vec<PoolDesk>,
    pool: &PoolName,
) -> &'a mut PoolDesk {
    let slot = match desks.binary_search_by(|desk| desk.pool.cmp(pool)) {
        Ok(slot) => slot,
        Err(slot) => {
            let key = format!("lease/weights/{pool}");
            let desk = PoolDesk {
                pool: pool.clone(),
                lease: PlatformLease::new(&key, &shared.name(), shared.origin, LEASE_MS),
                holder: None,
            };
            desks.insert(slot, desk);
            slot
        }
    };
    &mut desks[slot]
}

/// Steps the lease of a pool and, while it is held, the pool's rollout.
fn serve_pool(shared: &DispatchShared, desk: &mut PoolDesk, row: &PoolRow, view: &TableView) {
    let clock = || shared.now_ms();
    let held = match desk.lease.step(&*shared.store, &clock) {
        Ok(held) => held,
        Err(error) => {
            log::info!(target: "weights", pool:% = desk.pool; "no lease: {error}");
            // The last one may still hold; every send checks its own clock.
            desk.lease.held(shared.now_ms())
        }
    };
    match held {
        None => desk.holder = None,
        Some(held) => {
            let holder = desk.hold(&held, row, shared.now_ms());
            order_versions(shared, holder, row, view);
        }
    }
}

impl PoolDesk {
    /// The holder's tools, made anew for each fencing number.
    fn hold(&mut self, held: &HeldLease, row: &PoolRow, now_ms: u64) -> &mut PoolHolder {
        let known = self.holder.take().filter(|h| h.number == held.fence);
        let mut holder = known.unwrap_or_else(|| {
            log::info!(target: "weights", pool:% = self.pool, fence = held.fence; "took the lease");
            PoolHolder {
                fence: OrderFence::new(
                    LeaseGrant {
                        fence: held.fence,
                        asked_ms: held.asked_ms,
                        granted_ms: held.granted_ms,
                        length_ms: LEASE_MS,
                    },
                    FLIGHT_MS,
                ),
                number: held.fence,
                planner: RolloutPlanner::new(rollout_settings(row), now_ms),
                poll: ReportPoll::default(),
                next_poll_ms: 0,
            }
        });
        holder.fence.renew(held.asked_ms);
        self.holder.insert(holder)
    }
}

/// The bounds of a pool's rollout.
fn rollout_settings(row: &PoolRow) -> RolloutSettings {
    RolloutSettings {
        parallel_loads: row.parallel_loads as usize,
        load_limit_ms: LOAD_LIMIT_MS,
        report_lag_ms: REPORT_LAG_MS,
        flight_ms: FLIGHT_MS,
        silent_ms: SILENT_MS,
    }
}

/// Orders what differs from the table on a pool's runners.
fn order_versions(
    shared: &DispatchShared,
    holder: &mut PoolHolder,
    row: &PoolRow,
    view: &TableView,
) {
    let clock = || shared.now_ms();
    if clock() < holder.next_poll_ms {
        return;
    }
    let records: Vec<InstanceRecord> = shared
        .roster
        .pool(&row.name, shared.now_ms())
        .into_iter()
        .filter(|(record, live)| *live && record.role == InstanceRole::Runner)
        .map(|(record, _)| record)
        .collect();
    let names: Vec<InstanceName> = records.iter().map(|record| record.name.clone()).collect();
    let wanted = wanted_versions(&version_shares(view, &row.name), &names);
    let runners = records.iter();
    let runners: Vec<_> = runners.map(|r| (r.name.clone(), r.address)).collect();
    holder.next_poll_ms = clock() + POLL_MS_PER_RUNNER * runners.len() as u64;
    let timeouts = order_timeouts(shared);
    let views = holder.poll.poll(&runners, timeouts, &clock, REPORTS_BUDGET);
    for order in holder.planner.plan(&wanted, views, shared.now_ms()) {
        let record = records.iter().find(|record| record.name == order.instance);
        if let Some(record) = record {
            send_planned(shared, holder, row, record, &order);
        }
    }
}

/// Time limits of reports and orders: an order is given up within its flight.
fn order_timeouts(shared: &DispatchShared) -> TargetTimeouts {
    let limit = Duration::from_millis(FLIGHT_MS / 2);
    TargetTimeouts {
        gap: limit,
        call: limit,
        ..shared.target_timeouts()
    }
}

/// Sends one order, if the fence allows it.
fn send_planned(
    shared: &DispatchShared,
    holder: &mut PoolHolder,
    row: &PoolRow,
    record: &InstanceRecord,
    order: &PlannedOrder,
) {
    let check = match row.checks_fencing {
        true => FenceCheck::Checked,
        false => FenceCheck::Unchecked,
    };
    let engine = EngineClient::new(record.address, order_timeouts(shared));
    let clock = || shared.now_ms();
    let sent = send_order(&engine, &holder.fence, check, &clock, &order.order);
    let outcome = match &sent {
        Ok(()) => "done",
        Err(OrderFault::Fenced(_)) => "fenced",
        Err(OrderFault::Target(_) | OrderFault::Late(_)) => "failed",
    };
    shared
        .metrics
        .add(CounterMetric::TargetOrdersTotal, outcome, 1);
    match sent {
        Ok(()) => {
            log::info!(target: "weights", runner:% = record.name; "ordered {:?}", order.order)
        }
        Err(fault) => {
            log::info!(target: "weights", runner:% = record.name; "{fault}");
            if fault.is_not_run() {
                holder.planner.not_run(&order.instance);
            }
        }
    }
}
