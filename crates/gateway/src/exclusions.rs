//! Runners that are left out because another server has their address.

use crate::{clock::boot_ms, runner_registry::RunnerHandle, state::GatewayState};
use berylmount_adapter::request_headers::RunnerReply;
use berylmount_policy::misdirection::{ExclusionReport, RejectionSender};
use berylmount_telemetry::CounterMetric;
use rand::rng;

/// Records that a request for `runner` was rejected because the server at its address is
/// not that runner, or has not the expected weights.
pub(crate) fn note_rejection(state: &GatewayState, runner: &RunnerHandle, reply: &RunnerReply) {
    let record = runner.record();
    let sender = match &reply.sender {
        // The runner itself rejects requests that expect other weights.
        Some(id) if *id == record.id => return note_response(state, runner),
        Some(_) => RejectionSender::Other,
        None => RejectionSender::Unknown,
    };
    let (key, now_ms) = (runner.limit_key(), boot_ms());
    let mut misdirected = state.misdirected.borrow_mut();
    if !misdirected.note(key, sender, now_ms, &mut rng()) {
        return;
    }
    state.is_exclusion_report_due.set(true);
    state.metrics.add(CounterMetric::ExclusionsTotal, "own", 1);
    runner.close_idle_connections();
    let (runner, address) = (record.id.as_str(), record.address);
    let sender = reply.sender.as_deref().unwrap_or("unknown");
    log::warn!(target: "roster", runner, address:%, sender; "another server has the address of the runner; runner excluded");
}

/// Records that the runner itself has responded.
pub(crate) fn note_response(state: &GatewayState, runner: &RunnerHandle) {
    state.misdirected.borrow_mut().clear(runner.limit_key());
}

/// Whether a runner is left out because another server has its address.
pub(crate) fn is_excluded(state: &GatewayState, runner: &RunnerHandle, now_ms: u64) -> bool {
    let misdirected = state.misdirected.borrow();
    misdirected.is_excluded(runner.limit_key(), now_ms)
}

/// Applies what another instance knows about such runners.
pub(crate) fn merge_exclusions(state: &GatewayState, reports: &[ExclusionReport]) {
    let now_ms = boot_ms();
    for report in reports {
        if !state.misdirected.borrow_mut().merge(report, now_ms) {
            continue;
        }
        state
            .metrics
            .add(CounterMetric::ExclusionsTotal, "reported", 1);
        let runners = state.runners.borrow();
        let mut runners = runners.all().iter();
        let found = runners.find(|runner| runner.limit_key() == report.runner);
        let Some(found) = found else { continue };
        found.close_idle_connections();
        let runner = found.record().id.clone();
        log::info!(target: "roster", runner, left_ms = report.left_ms; "another instance reported that another server has the address of the runner");
    }
}
