//! Calls to plain services.

use crate::{
    orders::{run_order, OrderTargets},
    shared::DispatchShared,
};
use berylmount_model::{CallRefusal, InstanceRole, PoolName, RefusalReason};
use berylmount_targets::{FaultKind, RejectReason, ServiceClient, TargetFault};
use berylmount_telemetry::{next_traceparent, root_span, CounterMetric};
use berylmount_wire::{AnswerBody, OrderCall, ReadCall, WorkReply};
use std::{net::SocketAddr, time::Duration};

/// Instances tried for one read.
const MAX_READ_TRIES: usize = 2;

/// When to come back after a failed read, in milliseconds.
const READ_RETRY_MS: u64 = 500;

/// Reads from a plain service; a read may be repeated.
pub(crate) fn serve_read(shared: &DispatchShared, read: &ReadCall) -> WorkReply {
    if let Err(refusal) = shared.check_room() {
        return WorkReply::Refused(refusal);
    }
    let span = root_span("dispatch", Some(&read.traceparent), 0.0);
    let traceparent = next_traceparent(&span).unwrap_or_default();
    let limit = Duration::from_millis(read.total_ms);
    let addresses = live_services(shared, &read.pool);
    let mut refusal = CallRefusal::not_run(
        RefusalReason::NoTarget,
        "no instance of the service is live",
        READ_RETRY_MS,
    );
    for address in addresses.into_iter().take(MAX_READ_TRIES) {
        let client = ServiceClient::new(address, shared.target_timeouts());
        let client = client.with_traceparent(&traceparent);
        match client.read(&read.path, limit) {
            Ok(value) => {
                return WorkReply::Answer(AnswerBody {
                    request: read.request,
                    body: value.to_string(),
                    recorded: false,
                });
            }
            Err(fault) => {
                note_leaving(shared, address, &fault);
                refusal = read_refusal(&fault);
            }
        }
    }
    WorkReply::Refused(refusal)
}

/// The refusal that a failed read ends in.
fn read_refusal(fault: &TargetFault) -> CallRefusal {
    let (reason, retry_ms) = match fault.kind {
        FaultKind::BadRequest => (RefusalReason::BadRequest, 0),
        FaultKind::Rejected(RejectReason::Unknown) => (RefusalReason::NotFound, 0),
        _ => (RefusalReason::TargetFailed, READ_RETRY_MS),
    };
    CallRefusal {
        verdict: fault.verdict,
        ..CallRefusal::not_run(reason, &fault.to_string(), retry_ms)
    }
}

/// Notes that a service instance said that it is leaving.
fn note_leaving(shared: &DispatchShared, address: SocketAddr, fault: &TargetFault) {
    if fault.kind == FaultKind::Rejected(RejectReason::Leaving) {
        shared.roster.note_leaving(address, shared.now_ms());
    }
}

/// Live instances of a plain service, those of this data centre first.
pub(crate) fn live_services(shared: &DispatchShared, pool: &PoolName) -> Vec<SocketAddr> {
    let mut records = shared.roster.pool(pool, shared.now_ms());
    records.retain(|(record, live)| *live && record.role == InstanceRole::Service);
    records.sort_by_key(|(record, _)| record.data_centre != shared.settings.data_centre);
    records.iter().map(|(record, _)| record.address).collect()
}

/// Runs an order at most once.
pub(crate) fn serve_order(shared: &DispatchShared, order: &OrderCall) -> WorkReply {
    if let Err(refusal) = shared.check_room() {
        return WorkReply::Refused(refusal);
    }
    let addresses = live_services(shared, &order.pool);
    let targets = OrderTargets {
        addresses: &addresses,
        timeouts: shared.target_timeouts(),
        on_fault: &|address, fault| note_leaving(shared, address, fault),
    };
    let span = root_span("dispatch", Some(&order.traceparent), 0.0);
    let order = OrderCall {
        traceparent: next_traceparent(&span).unwrap_or_default(),
        ..order.clone()
    };
    let outcome = run_order(&shared.ledger, &targets, &shared.clock, &order);
    let label = match &outcome {
        Ok(answer) if answer.recorded => "recorded",
        Ok(_) => "ran",
        Err(refusal) => refusal.verdict.into(),
    };
    shared.metrics.add(CounterMetric::OrdersTotal, label, 1);
    match outcome {
        Ok(answer) => WorkReply::Answer(answer),
        Err(refusal) => WorkReply::Refused(refusal),
    }
}
