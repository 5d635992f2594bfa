//! Permits for requests to runners that have named a request limit.
//!
//! One instance coordinates each limited runner: the first in rendezvous order among the
//! live instances that accept requests. The others ask it by a datagram. A lost datagram
//! or a dead coordinator means that no request is sent, so the limit holds in any case.
//! An instance issues permits only while it is the coordinator by its own view, too.

use crate::{
    clock::boot_ms, peer_link::send_message, peers::PeerMessage, runner_registry::RunnerHandle,
    state::GatewayState,
};
use berylmount_policy::runner_limits::{LimitReport, PermitDecision};
use berylmount_telemetry::CounterMetric;
use rand::{rng, RngExt};
use std::{net::SocketAddr, time::Duration};
use tokio::{sync::oneshot, time::timeout};

/// Time limit for the reply to a permit request; several round trips within a region.
const REPLY_TIMEOUT: Duration = Duration::from_millis(150);
/// Delay until the next permit request after one without a reply, in milliseconds.
const NO_REPLY_DELAY_MS: u64 = 300;
/// Delay for an instance that asked one that is not the coordinator, in milliseconds. The
/// views of the two agree again after a few heartbeats.
const REDIRECT_DELAY_MS: u64 = 200;

/// A permit request of this instance that is open until it is dropped.
struct OpenRequest<'a> {
    state: &'a GatewayState,
    runner: u64,
    nonce: u64,
    decision: Option<PermitDecision>,
}

impl<'a> OpenRequest<'a> {
    fn begin(state: &'a GatewayState, runner: u64) -> Self {
        state.runner_limits.borrow_mut().begin_request(runner);
        Self {
            state,
            runner,
            nonce: rng().random(),
            decision: None,
        }
    }

    /// Asks the coordinator at `address`; `None` if there was no reply.
    async fn ask(&self, address: SocketAddr) -> Option<PermitDecision> {
        let (state, nonce) = (self.state, self.nonce);
        let report = state
            .runner_limits
            .borrow()
            .report_of(self.runner, boot_ms())?;
        let socket = state.peer_socket.get()?.clone();
        let (sender, receiver) = oneshot::channel();
        state.permit_replies.borrow_mut().push((nonce, sender));
        let message = PeerMessage::PermitRequest(nonce, report);
        send_message(&socket, &[address], &message).await;
        timeout(REPLY_TIMEOUT, receiver).await.ok()?.ok()
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        let mut replies = self.state.permit_replies.borrow_mut();
        replies.retain(|(nonce, _)| *nonce != self.nonce);
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
    let reply = match state.permit_coordinator(key) {
        Some(address) => request.ask(address).await,
        None => Some(state.runner_limits.borrow_mut().issue(key, boot_ms())),
    };
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
pub(crate) fn decide_permit(state: &GatewayState, report: &LimitReport) -> PermitDecision {
    state.merge_limit(report);
    match state.permit_coordinator(report.runner) {
        Some(_) => PermitDecision::Denied(REDIRECT_DELAY_MS),
        None => state
            .runner_limits
            .borrow_mut()
            .issue(report.runner, boot_ms()),
    }
}

/// Passes the reply of a coordinator to the request that waits for it.
pub(crate) fn deliver_reply(state: &GatewayState, nonce: u64, decision: PermitDecision) {
    let mut replies = state.permit_replies.borrow_mut();
    if let Some(index) = replies.iter().position(|(known, _)| *known == nonce) {
        let (_, sender) = replies.swap_remove(index);
        // The receiver is gone if its time limit has just passed.
        let _ = sender.send(decision);
    }
}
