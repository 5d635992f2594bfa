//! Runners that have just started and bear few requests for some seconds.
//!
//! The route table states how many requests per second the cold runners of a service bear, and
//! the settings how far that may be exceeded, over all instances. Each request to such a runner
//! needs a permit of the instance that also coordinates named limits of that runner. Without a
//! reply no request is sent.
//!
//! A runner counts as cold while its entry says so, while its start is recent, after a
//! connection to it has failed, because it may be restarting under the same entry, and after an
//! evacuation of its data centre has ended.

use crate::{
    clock::boot_ms,
    peer_extensions::{send_frame, ExtensionKind, PeerExtension},
    peers::{heartbeat_interval_ms, ColdPermitReply, ColdPermitRequest},
    permits::{
        coordinator_of, permit_duty, permit_role, PermitRole, NO_REPLY_DELAY_MS, REDIRECT_DELAY_MS,
        REPLY_TIMEOUT,
    },
    runner_registry::RunnerHandle,
    state::{duty_member, GatewayState},
};
use berylmount_fleet::ColdStart;
use berylmount_model::unix_ms;
use berylmount_policy::{
    runner_limits::{
        ColdDecision, ColdReport, FleetView, PermitDecision, COLD_PERMIT_MS, MAX_COLD_HOLD_MS,
    },
    service_path::PathState,
};
use berylmount_telemetry::CounterMetric;
use rand::{rng, RngExt};
use std::{cell::RefCell, net::SocketAddr, time::Duration};
use tokio::{
    sync::oneshot,
    time::{sleep, timeout},
};

/// Time from a change of the fleet until all instances know of it, in heartbeat intervals.
const SETTLE_INTERVALS: u64 = 3;

/// A permit for one request to a runner; not needed if the runner is not cold.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct ColdPermit {
    /// Boot time at which it lapses, in milliseconds; `None` if it is not needed.
    lapses_ms: Option<u64>,
}

impl ColdPermit {
    /// Whether the runner has become cold after the permit was found unnecessary.
    pub(crate) fn is_missing(self, state: &GatewayState, runner: &RunnerHandle) -> bool {
        self.lapses_ms.is_none() && cold_report(state, runner, boot_ms()).is_some()
    }

    /// Whether the request may no longer be sent.
    pub(crate) fn has_lapsed(self) -> bool {
        self.lapses_ms.is_some_and(|at_ms| boot_ms() >= at_ms)
    }
}

/// Open requests of this instance for permits, by number, with the receiver of the reply.
#[derive(Debug, Default)]
pub(crate) struct ColdReplies(RefCell<Vec<(u64, oneshot::Sender<ColdDecision>)>>);

/// Whether the build of the instance at `address` knows requests for such permits.
fn knows_requests(state: &GatewayState, address: SocketAddr) -> bool {
    let (kind, now_ms) = (ExtensionKind::ColdRequest, boot_ms());
    let peers = state.peers.borrow();
    !peers.knowing_kind(&[address], kind, now_ms).is_empty()
}

/// Passes the reply of a coordinator to the request that waits for it.
pub(crate) fn deliver_reply(state: &GatewayState, reply: ColdPermitReply) {
    let mut replies = state.cold_replies.0.borrow_mut();
    if let Some(index) = replies
        .iter()
        .position(|(number, _)| *number == reply.number)
    {
        let (_, sender) = replies.swap_remove(index);
        // The receiver is gone if its time limit has just passed.
        let _ = sender.send(reply.decision);
    }
}

/// A request of this instance for a permit that is open until it is dropped.
struct OpenRequest<'a> {
    state: &'a GatewayState,
    request: ColdPermitRequest,
    decision: ColdDecision,
}

impl OpenRequest<'_> {
    /// Returns the decision of the coordinator; `None` if there was no reply.
    async fn decide(&self) -> Option<ColdDecision> {
        let state = self.state;
        match coordinator_of(state, self.request.cold.runner, None) {
            Some(coordinator) => self.ask(coordinator).await,
            None => Some(issue_permit(state, self.request.cold.runner)),
        }
    }

    /// Asks the instance at `address`; `None` if there was no reply.
    async fn ask(&self, address: SocketAddr) -> Option<ColdDecision> {
        if !knows_requests(self.state, address) {
            return None;
        }
        let socket = self.state.peer_socket.get()?.clone();
        let (sender, receiver) = oneshot::channel();
        let number = self.request.number;
        self.state
            .cold_replies
            .0
            .borrow_mut()
            .push((number, sender));
        let extension = PeerExtension::ColdRequest(self.request);
        send_frame(&socket, &[address], &extension).await;
        timeout(REPLY_TIMEOUT, receiver).await.ok()?.ok()
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        let number = self.request.number;
        let mut replies = self.state.cold_replies.0.borrow_mut();
        replies.retain(|(known, _)| *known != number);
        let decision = match self.decision {
            ColdDecision::Granted(_) => PermitDecision::Granted,
            ColdDecision::Denied(delay_ms) => PermitDecision::Denied(delay_ms),
        };
        let (runner, now_ms) = (self.request.cold.runner, boot_ms());
        let mut limits = self.state.runner_limits.borrow_mut();
        limits.end_request(runner, Some(decision), now_ms, &mut rng());
    }
}

/// Acquires a permit for one request to a runner, at once if it is not cold, and waits for its
/// time. Returns `None` if there is none.
pub(crate) async fn acquire_cold_permit(
    state: &GatewayState,
    runner: &RunnerHandle,
) -> Option<ColdPermit> {
    let (key, asked_ms) = (runner.limit_key(), boot_ms());
    // It may have become cold since it was chosen.
    enforce_cold(state, runner, asked_ms);
    let cold = {
        let mut limits = state.runner_limits.borrow_mut();
        let Some(cold) = limits.cold_report_of(key, asked_ms) else {
            return Some(ColdPermit::default());
        };
        limits.begin_request(key);
        cold
    };
    let mut open = OpenRequest {
        state,
        request: ColdPermitRequest {
            number: rng().random(),
            cold,
        },
        decision: ColdDecision::Denied(NO_REPLY_DELAY_MS),
    };
    let reply = open.decide().await;
    let outcome = match reply {
        Some(ColdDecision::Granted(_)) => "granted",
        Some(ColdDecision::Denied(_)) => "denied",
        None => "no_reply",
    };
    state
        .metrics
        .add(CounterMetric::ColdPermitsTotal, outcome, 1);
    open.decision = reply?;
    let ColdDecision::Granted(hold_ms) = open.decision else {
        return None;
    };
    if hold_ms > MAX_COLD_HOLD_MS {
        log::warn!(target: "peers", hold_ms; "ignored a permit for a cold runner that is held for too long");
        return None;
    }
    drop(open);
    sleep(Duration::from_millis(hold_ms)).await;
    // The decision is not older than the request for it.
    let permit = ColdPermit {
        lapses_ms: Some(asked_ms + hold_ms + COLD_PERMIT_MS),
    };
    (!permit.has_lapsed()).then_some(permit)
}

/// Decides on the request of another instance for a permit.
pub(crate) fn reply_to_request(
    state: &GatewayState,
    request: &ColdPermitRequest,
) -> ColdPermitReply {
    let (cold, now_ms) = (&request.cold, boot_ms());
    state.runner_limits.borrow_mut().note_cold(cold, now_ms);
    let decision = match permit_role(state, cold.runner) {
        PermitRole::Coordinator => issue_permit(state, cold.runner),
        PermitRole::Standby | PermitRole::Other => ColdDecision::Denied(REDIRECT_DELAY_MS),
    };
    ColdPermitReply {
        number: request.number,
        decision,
    }
}

/// Decides on a request for a permit as the coordinator of a runner.
fn issue_permit(state: &GatewayState, runner: u64) -> ColdDecision {
    let (view, now_ms) = (fleet_view(state, runner), boot_ms());
    let mut limits = state.runner_limits.borrow_mut();
    limits.issue_cold(runner, view, now_ms)
}

/// Returns what this instance, as the coordinator of a runner, knows of the others.
fn fleet_view(state: &GatewayState, runner: u64) -> FleetView {
    let (settings, peers, now_ms) = (state.settings(), state.peers.borrow(), boot_ms());
    let duty = permit_duty(runner);
    let preceding_ms = peers.preceding_change_ms(duty_member(&settings), &duty, now_ms);
    let changed_ms = preceding_ms.max(peers.majority_since_ms());
    let unsettled_ms = now_ms.saturating_sub(changed_ms.max(state.started_boot_ms));
    let settle_ms = SETTLE_INTERVALS * heartbeat_interval_ms(state.instance_count());
    FleetView {
        share: peers.live_share(now_ms),
        unsettled_ms: (unsettled_ms < settle_ms).then_some(unsettled_ms),
    }
}

/// Returns what the runners of a service bear while they are cold; `None` if that is not bounded.
fn cold_start(state: &GatewayState, service: &str) -> Option<ColdStart> {
    state.settings().bounds.cold?;
    state.table()?.service(service)?.cold_start
}

/// Returns the bound on the requests to a runner if it is cold.
pub(crate) fn cold_report(
    state: &GatewayState,
    runner: &RunnerHandle,
    now_ms: u64,
) -> Option<ColdReport> {
    let left_ms = runner.cold_left_ms(now_ms);
    if left_ms == 0 {
        return None;
    }
    let tolerance = state.settings().bounds.cold?;
    let start = cold_start(state, &runner.record().service)?;
    Some(ColdReport {
        runner: runner.limit_key(),
        per_window: start.per_s * tolerance.factor + tolerance.extra,
        left_ms,
    })
}

/// Puts the bound of a runner in force if it is cold.
pub(crate) fn enforce_cold(state: &GatewayState, runner: &RunnerHandle, now_ms: u64) {
    let Some(report) = cold_report(state, runner, now_ms) else {
        return;
    };
    if state.runner_limits.borrow_mut().note_cold(&report, now_ms) {
        let record = runner.record();
        let runner = record.id.as_str();
        log::info!(target: "roster", runner, per_s = report.per_window, left_ms = report.left_ms; "runner is cold");
    }
}

/// Records the starts of all runners by a table that may be the first one.
pub(crate) fn note_starts(state: &GatewayState) {
    for runner in state.runners.borrow().all() {
        note_start(state, runner);
    }
}

/// Records the start of a runner, which its entry may not call cold yet.
pub(crate) fn note_start(state: &GatewayState, runner: &RunnerHandle) {
    let record = runner.record();
    let Some(start) = cold_start(state, &record.service) else {
        return;
    };
    if record.started_ms == 0 {
        return;
    }
    let age = Duration::from_millis(unix_ms().saturating_sub(record.started_ms));
    runner.note_cold(start.duration.saturating_sub(age), boot_ms());
}

/// Records that no connection to a runner could be opened although others of its service are
/// reached: it may be starting again.
pub(crate) fn note_unreachable(state: &GatewayState, runner: &RunnerHandle) {
    let service = &runner.record().service;
    if state.service_paths.of(service).state() != PathState::Open {
        return;
    }
    if let Some(start) = cold_start(state, service) {
        runner.note_cold(start.duration, boot_ms());
    }
}

/// Records that the evacuation of a data centre has ended. Its runners have been idle, and may
/// have started again meanwhile.
pub(crate) fn note_returned(state: &GatewayState, data_centre: &str) {
    let runners = state.runners.borrow();
    for runner in runners.all() {
        let record = runner.record();
        if record.data_centre != data_centre {
            continue;
        }
        if let Some(start) = cold_start(state, &record.service) {
            runner.note_cold(start.duration, boot_ms());
        }
    }
}
