//! Looks after orders whose outcome nobody recorded.
//!
//! A process that dies, or a caller that does not come back, leaves orders
//! without outcome. Each dispatch process reads its share of the ledger's top
//! segments now and then, asks the services about what it finds, and counts
//! what an operator must settle. Two processes doing the same share do no harm.

use crate::{
    orders::{look_up_key, OrderTargets},
    services::live_services,
    shared::{DispatchShared, LOOK_INTERVAL},
};
use berylmount_ledger::{
    service_key, settle_entry, unsettled_below, ChangeReply, LedgerConfig, LedgerDay, OrderEntry,
    OrderOutcome, OutcomeSource, ReadError, RecordedAnswer, SegmentName,
};
use berylmount_model::{unix_ms, InstanceRole, InstanceState};
use berylmount_policy::{assignment::rank_members, MemberWeight};
use berylmount_telemetry::CounterMetric;
use std::{
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Time between two sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_secs(300);
/// Age below which an order is left to its own process, in milliseconds.
const MIN_AGE_MS: u64 = 30_000;

/// What a sweep found.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SweepReport {
    /// Orders that a look-up settled.
    pub settled: usize,
    /// Orders that wait for an operator.
    pub unsettled: usize,
}

/// Sweeps now and then until the process, a peer at `own`, stops.
pub(crate) fn sweep_orders(shared: &Arc<DispatchShared>, own: SocketAddr) {
    while !shared.tracker.is_draining() {
        let end = Instant::now() + SWEEP_INTERVAL;
        while Instant::now() < end && !shared.tracker.is_draining() {
            thread::sleep(LOOK_INTERVAL);
            count_writes(shared);
        }
        match sweep_share(shared, own) {
            Ok(report) if report == SweepReport::default() => {}
            Ok(report) => {
                log::warn!(
                    target: "orders",
                    settled = report.settled, unsettled = report.unsettled;
                    "orders without outcome; run 'berylmount orders list-unsettled'"
                );
            }
            Err(fault) => log::warn!(target: "orders", "sweep failed: {fault}"),
        }
    }
}

/// Shows the ledger's conditional writes as metrics.
fn count_writes(shared: &DispatchShared) {
    let counts = shared.ledger.take_writes();
    let outcomes = [
        ("stored", counts.stored),
        ("conflict", counts.conflicts),
        ("unknown", counts.unclear),
    ];
    for (outcome, count) in outcomes.into_iter().filter(|(_, count)| *count > 0) {
        let metric = CounterMetric::LedgerWritesTotal;
        shared.metrics.add(metric, outcome, count);
    }
}

/// Sweeps the share of yesterday's, today's and tomorrow's orders that falls to
/// the process whose peer address is `own`.
///
/// # Errors
///
/// [`ReadError`] if the platform fails; the next sweep starts anew.
pub fn sweep_share(shared: &DispatchShared, own: SocketAddr) -> Result<SweepReport, ReadError> {
    let today = LedgerDay::of_unix_ms(unix_ms());
    let mut report = SweepReport::default();
    let addresses = dispatch_addresses(shared)?;
    for day in [today.minus(1), today, today.plus(1)] {
        for root in SegmentName::roots(day) {
            if is_own(own, &addresses, root) {
                sweep_root(shared, root, &mut report)?;
            }
        }
    }
    Ok(report)
}

/// The peer addresses of the live dispatch processes in the platform's list.
fn dispatch_addresses(shared: &DispatchShared) -> Result<Vec<String>, ReadError> {
    let mut records = shared.store.instances()?;
    records.retain(|r| r.role == InstanceRole::Dispatch && r.state == InstanceState::Live);
    Ok(records.iter().map(|r| r.address.to_string()).collect())
}

/// Whether the process at `own` looks after a top segment.
fn is_own(own: SocketAddr, addresses: &[String], root: SegmentName) -> bool {
    let members: Vec<_> = addresses.iter().map(|a| MemberWeight::equal(a)).collect();
    let ranked = rank_members(root.to_string().as_bytes(), &members, 1);
    let owner = ranked.first().map(|&at| addresses[at].as_str());
    owner == Some(own.to_string().as_str())
}

/// Asks about every order without outcome below one top segment.
fn sweep_root(
    shared: &DispatchShared,
    root: SegmentName,
    report: &mut SweepReport,
) -> Result<(), ReadError> {
    let before_unix_ms = unix_ms().saturating_sub(MIN_AGE_MS);
    for entry in unsettled_below(shared.store.as_ref(), root, before_unix_ms)? {
        if settle_by_look_up(shared, &entry)? {
            report.settled += 1;
        } else {
            report.unsettled += 1;
        }
    }
    Ok(())
}

/// Settles an order that the service says it ran; returns whether it did.
fn settle_by_look_up(shared: &DispatchShared, entry: &OrderEntry) -> Result<bool, ReadError> {
    let addresses = live_services(shared, &entry.pool);
    let targets = OrderTargets {
        addresses: &addresses,
        timeouts: shared.target_timeouts(),
        on_fault: &|_, _| {},
    };
    let Some(key) = service_key(&entry.customer, &entry.key) else {
        return Ok(false);
    };
    let Some(answer) = look_up_key(&targets, &key) else {
        return Ok(false);
    };
    let recorded = RecordedAnswer::of(&answer.to_string());
    let reply = settle_entry(
        shared.store.as_ref(),
        LedgerConfig::for_process(unix_ms()),
        entry,
        OrderOutcome::Ran(Some(recorded)),
        OutcomeSource::LookUp,
        unix_ms(),
    )?;
    Ok(reply == ChangeReply::Recorded)
}
