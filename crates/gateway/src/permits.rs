//! Request limits that runners have named, and permits for requests to such runners.
//!
//! One instance coordinates each limited runner: the first in rendezvous order among the
//! live instances that accept requests. The others ask it by a datagram. While it does
//! not reply, they ask the second one, the standby, which issues a fraction of the limit.
//! An instance issues permits only in a role that it has by its own view, too. Without a
//! reply no request is sent, so the limit holds in any case.

use crate::{
    clock::boot_ms,
    peer_link::send_message,
    peers::{PeerMessage, PermitRequest},
    runner_registry::RunnerHandle,
    state::GatewayState,
};
use berylmount_adapter::request_headers::LimitNotice;
use berylmount_policy::{
    runner_limits::{LimitReport, PermitDecision, STANDBY_SHARE},
    shared_duties::DutyMember,
};
use berylmount_telemetry::CounterMetric;
use rand::{rng, RngExt};
use std::{net::SocketAddr, time::Duration};
use tokio::{sync::oneshot, time::timeout};

/// Time limit for the reply to a permit request; several round trips within a region.
pub(crate) const REPLY_TIMEOUT: Duration = Duration::from_millis(150);
/// Delay until the next permit request after one without a reply, in milliseconds.
pub(crate) const NO_REPLY_DELAY_MS: u64 = 200;
/// Consecutive permit requests without a reply after which the standby is asked. A single
/// lost datagram is no evidence.
const SILENT_MISSES: u32 = 2;
/// Time after such a request for which the standby is asked, in milliseconds.
const SILENT_MS: u64 = 1500;
/// Delay for an instance that asked one that is neither coordinator nor standby, in
/// milliseconds. The views of the two agree again after a few heartbeats.
pub(crate) const REDIRECT_DELAY_MS: u64 = 200;

/// A coordinator that left the last permit requests of this instance without a reply.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SilentCoordinator {
    address: SocketAddr,
    /// Consecutive requests without a reply.
    misses: u32,
    /// When the last of them timed out, by the boot clock.
    last_ms: u64,
}

/// The part of an instance in issuing the permits for a runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PermitRole {
    /// Issues the permits.
    Coordinator,
    /// Issues a fraction of the permits to instances that cannot reach the coordinator.
    Standby,
    /// Issues none.
    Other,
}

/// Applies what the response to a request that was sent at `sent_ms` states about the
/// runner's request limit.
pub(crate) fn note_limit(
    state: &GatewayState,
    runner: &RunnerHandle,
    notice: LimitNotice,
    sent_ms: u64,
) {
    let (key, now_ms) = (runner.limit_key(), boot_ms());
    let record = runner.record();
    let runner = record.id.as_str();
    let per_s = match notice {
        LimitNotice::PerSecond(per_s) => Some(per_s),
        LimitNotice::Unlimited => None,
        LimitNotice::Unreadable => {
            log::debug!(target: "roster", runner; "ignored a request limit that is not a number");
            return;
        }
        LimitNotice::Unknown => return,
    };
    let mut limits = state.runner_limits.borrow_mut();
    if !limits.note(key, per_s, sent_ms, now_ms) {
        return;
    }
    state.is_limit_report_due.set(true);
    match per_s {
        Some(per_s) => log::info!(target: "roster", runner, per_s; "runner named a request limit"),
        None => log::info!(target: "roster", runner; "runner withdrew its request limit"),
    }
}

/// Applies what another instance knows about the request limit of a runner.
pub(crate) fn merge_limit(state: &GatewayState, report: &LimitReport) {
    let mut limits = state.runner_limits.borrow_mut();
    if !limits.merge(report, boot_ms()) {
        return;
    }
    let runners = state.runners.borrow();
    let mut runners = runners.all().iter();
    let runner = runners.find(|runner| runner.limit_key() == report.runner);
    let runner = runner.map_or_else(String::new, |runner| runner.record().id.clone());
    log::info!(target: "roster", runner, per_s:? = report.per_s; "another instance reported a changed request limit");
}

/// Returns the name of the shared duty to issue permits for a runner.
pub(crate) fn permit_duty(runner: u64) -> String {
    format!("limit {runner:x}")
}

/// Returns the address of the instance that issues permits for a runner, or would if the
/// one at `excluded` were gone; `None` if this instance does.
pub(crate) fn coordinator_of(
    state: &GatewayState,
    runner: u64,
    excluded: Option<SocketAddr>,
) -> Option<SocketAddr> {
    let settings = state.settings();
    let own = DutyMember {
        name: &settings.name,
        strength: settings.machine.capacity_millicores(),
    };
    let is_member = !state.is_draining() && state.table().is_some();
    let own = is_member.then_some(own);
    let duty = permit_duty(runner);
    let peers = state.peers.borrow();
    peers.first_other(own, &duty, excluded, boot_ms())
}

/// Returns the role of this instance for a runner.
pub(crate) fn permit_role(state: &GatewayState, runner: u64) -> PermitRole {
    let Some(coordinator) = coordinator_of(state, runner, None) else {
        return PermitRole::Coordinator;
    };
    match coordinator_of(state, runner, Some(coordinator)) {
        None => PermitRole::Standby,
        Some(_) => PermitRole::Other,
    }
}

/// A permit request of this instance that is open until it is dropped.
struct OpenRequest<'a> {
    state: &'a GatewayState,
    runner: u64,
    number: u64,
    decision: Option<PermitDecision>,
}

impl<'a> OpenRequest<'a> {
    fn begin(state: &'a GatewayState, runner: u64) -> Self {
        state.runner_limits.borrow_mut().begin_request(runner);
        Self {
            state,
            runner,
            number: rng().random(),
            decision: None,
        }
    }

    /// Returns the decision of the coordinator or, if that is silent, of the standby;
    /// `None` if there was no reply.
    async fn decide(&self) -> Option<PermitDecision> {
        let (state, runner) = (self.state, self.runner);
        let Some(coordinator) = coordinator_of(state, runner, None) else {
            return Some(issue_permit(state, runner, PermitRole::Coordinator));
        };
        if !is_silent(state, coordinator) {
            let reply = self.ask(coordinator, false).await;
            match reply {
                Some(_) => note_reply(state, coordinator),
                None => note_miss(state, coordinator),
            }
            return reply;
        }
        match coordinator_of(state, runner, Some(coordinator)) {
            Some(standby) => self.ask(standby, true).await,
            None => Some(issue_permit(state, runner, PermitRole::Standby)),
        }
    }

    /// Asks the instance at `address`; `None` if there was no reply.
    async fn ask(&self, address: SocketAddr, is_standby: bool) -> Option<PermitDecision> {
        let (state, number) = (self.state, self.number);
        let report = {
            let limits = state.runner_limits.borrow();
            limits.report_of(self.runner, boot_ms())?
        };
        let socket = state.peer_socket.get()?.clone();
        let (sender, receiver) = oneshot::channel();
        state.permit_replies.borrow_mut().push((number, sender));
        let message = PeerMessage::PermitRequest(PermitRequest {
            number,
            report,
            is_standby,
        });
        send_message(&socket, &[address], &message).await;
        timeout(REPLY_TIMEOUT, receiver).await.ok()?.ok()
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        let mut replies = self.state.permit_replies.borrow_mut();
        replies.retain(|(number, _)| *number != self.number);
        let mut limits = self.state.runner_limits.borrow_mut();
        limits.end_request(self.runner, self.decision, boot_ms(), &mut rng());
    }
}

/// Acquires a permit for one request to a runner. Returns false if none is available;
/// true at once if the runner has no limit.
pub(crate) async fn acquire_permit(state: &GatewayState, runner: &RunnerHandle) -> bool {
    let key = runner.limit_key();
    if state.runner_limits.borrow().limit_of(key).is_none() {
        return true;
    }
    let mut request = OpenRequest::begin(state, key);
    let reply = request.decide().await;
    let outcome = match reply {
        Some(PermitDecision::Granted) => "granted",
        Some(PermitDecision::Denied(_)) => "denied",
        None => "no_reply",
    };
    state.metrics.add(CounterMetric::PermitsTotal, outcome, 1);
    let decision = reply.unwrap_or(PermitDecision::Denied(NO_REPLY_DELAY_MS));
    request.decision = Some(decision);
    decision == PermitDecision::Granted
}

/// Decides on the permit request of another instance.
pub(crate) fn decide_permit(state: &GatewayState, request: &PermitRequest) -> PermitDecision {
    let report = &request.report;
    merge_limit(state, report);
    match permit_role(state, report.runner) {
        PermitRole::Standby if request.is_standby => {
            issue_permit(state, report.runner, PermitRole::Standby)
        }
        PermitRole::Coordinator => issue_permit(state, report.runner, PermitRole::Coordinator),
        PermitRole::Standby | PermitRole::Other => PermitDecision::Denied(REDIRECT_DELAY_MS),
    }
}

/// Decides on a permit request in a role that issues permits.
fn issue_permit(state: &GatewayState, runner: u64, role: PermitRole) -> PermitDecision {
    let now_ms = boot_ms();
    let mut share = state.peers.borrow().live_share(now_ms);
    if role == PermitRole::Standby {
        share *= STANDBY_SHARE;
    }
    let mut limits = state.runner_limits.borrow_mut();
    limits.issue(runner, share, now_ms)
}

/// Whether the standby is asked instead of the coordinator at `address`.
pub(crate) fn is_silent(state: &GatewayState, address: SocketAddr) -> bool {
    let silent = state.silent_coordinators.borrow();
    silent.iter().any(|known| {
        let is_recent = boot_ms() < known.last_ms + SILENT_MS;
        known.address == address && known.misses >= SILENT_MISSES && is_recent
    })
}

/// Records that the coordinator at `address` replied.
pub(crate) fn note_reply(state: &GatewayState, address: SocketAddr) {
    let mut silent = state.silent_coordinators.borrow_mut();
    silent.retain(|known| known.address != address);
}

/// Records that the coordinator at `address` did not reply.
pub(crate) fn note_miss(state: &GatewayState, address: SocketAddr) {
    let last_ms = boot_ms();
    let mut silent = state.silent_coordinators.borrow_mut();
    let known = silent.iter_mut().find(|known| known.address == address);
    let Some(known) = known else {
        silent.push(SilentCoordinator {
            address,
            misses: 1,
            last_ms,
        });
        return;
    };
    known.misses += 1;
    known.last_ms = last_ms;
    if known.misses == SILENT_MISSES {
        log::info!(target: "peers", address:% ; "instance does not reply to permit requests; asking the standby");
    }
}

/// Passes the reply of a coordinator to the request that waits for it.
pub(crate) fn deliver_reply(state: &GatewayState, number: u64, decision: PermitDecision) {
    let mut replies = state.permit_replies.borrow_mut();
    if let Some(index) = replies.iter().position(|(known, _)| *known == number) {
        let (_, sender) = replies.swap_remove(index);
        // The receiver is gone if its time limit has just passed.
        let _ = sender.send(decision);
    }
}
