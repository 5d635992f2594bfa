//! Runners that have stated that they are brittle, and places for requests at them.
//!
//! The coordinator of a brittle runner is the instance that also issues permits for it. It
//! grants a place for each request and gets it back when the request has ended. Without a
//! reply no request is sent.

use crate::{
    clock::boot_ms,
    peer_link::send_message,
    peers::{heartbeat_interval_ms, name_hash, PeerMessage, PlaceMessage},
    permits::{
        coordinator_of, is_silent, note_miss, note_reply, permit_role, PermitRole,
        NO_REPLY_DELAY_MS, REDIRECT_DELAY_MS, REPLY_TIMEOUT,
    },
    placement::PlacedRunner,
    runner_registry::RunnerHandle,
    state::GatewayState,
    upstream::AttemptOutcome,
};
use berylmount_adapter::request_headers::BrittleNotice;
use berylmount_policy::{
    runner_limits::PermitDecision,
    runner_rooms::{
        BrittleReport, HolderLoad, PlaceEnd, PlaceRequest, RunnerKey, STANDBY_FRACTION,
    },
};
use berylmount_telemetry::CounterMetric;
use http::StatusCode;
use rand::{rng, RngExt};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    sync::oneshot,
    task::spawn_local,
    time::{sleep, timeout},
};

/// Time after which the end of a request is reported once more, because a place whose
/// return is lost stays taken until the next heartbeats.
const REPEAT_DELAY: Duration = Duration::from_millis(50);

/// Time after which a reply no longer counts, in milliseconds; a little above the time limit.
const MAX_REPLY_MS: u64 = 2 * REPLY_TIMEOUT.as_millis() as u64;
/// Time from the start of a process until it grants places, in heartbeat intervals. By then
/// it has heard of the requests of all others.
const LISTENING_INTERVALS: u64 = 3;

/// Applies what the response to a request that was sent at `sent_ms` states about the
/// rejections that its runner bears.
pub(crate) fn note_brittle(
    state: &GatewayState,
    runner: &RunnerHandle,
    notice: BrittleNotice,
    sent_ms: u64,
) {
    let rejection_limit = match notice {
        BrittleNotice::Unknown => return,
        BrittleNotice::Robust => None,
        BrittleNotice::RejectionLimit(per_s) => Some(per_s),
    };
    let mut brittle_runners = state.brittle_runners.borrow_mut();
    if rejection_limit.is_none() && brittle_runners.is_empty() {
        return;
    }
    if !brittle_runners.note(runner.room_key(), rejection_limit, sent_ms, boot_ms()) {
        return;
    }
    state.is_brittle_report_due.set(true);
    let record = runner.record();
    let runner = record.id.as_str();
    match rejection_limit {
        Some(per_s) => log::info!(target: "roster", runner, per_s; "runner is brittle"),
        None => log::info!(target: "roster", runner; "runner is no longer brittle"),
    }
}

/// Applies what another instance knows about a brittle runner.
pub(crate) fn merge_brittle(state: &GatewayState, report: &BrittleReport) {
    let mut brittle_runners = state.brittle_runners.borrow_mut();
    if brittle_runners.merge(report, boot_ms()) {
        let runner = known_runner(state, report.runner);
        let runner = runner.map_or_else(String::new, |runner| runner.record().id.clone());
        log::info!(target: "roster", runner, per_s:? = report.rejection_limit; "another instance reported whether a runner is brittle");
    }
}

/// Returns the runner with this key, if it is known.
fn known_runner(state: &GatewayState, key: RunnerKey) -> Option<Rc<RunnerHandle>> {
    let runners = state.runners.borrow();
    let mut runners = runners.all().iter();
    let runner = runners.find(|runner| runner.limit_key() == key.start)?;
    Some(runner.clone())
}

/// A place for one request at a brittle runner. It is given back when this is dropped.
pub(crate) struct RunnerPlace {
    state: Rc<GatewayState>,
    runner: RunnerKey,
    number: u64,
    /// The instance that granted it; `None` if it is this one.
    coordinator: Option<SocketAddr>,
    end: PlaceEnd,
    /// Whether the coordinator may have granted it.
    is_held: bool,
}

impl RunnerPlace {
    /// Records the outcome of the request; returns whether the runner rejected it.
    pub(crate) fn note_outcome(&mut self, runner: &RunnerHandle, outcome: &AttemptOutcome) -> bool {
        self.end = match outcome {
            AttemptOutcome::NotRun(status) if is_rejection(*status) => PlaceEnd::Rejected,
            AttemptOutcome::NotRun(_)
            | AttemptOutcome::NotSent(_)
            | AttemptOutcome::TimedOut(false)
            | AttemptOutcome::Complete(_)
            | AttemptOutcome::Streamed => PlaceEnd::Ended,
            AttemptOutcome::MayHaveRun(_)
            | AttemptOutcome::Disconnected(_)
            | AttemptOutcome::StreamFailed(_)
            | AttemptOutcome::CallerGone
            | AttemptOutcome::TimedOut(true) => PlaceEnd::Abandoned,
        };
        let is_rejected = self.end == PlaceEnd::Rejected;
        if is_rejected {
            note_rejection(&self.state, runner);
        }
        is_rejected
    }
}

/// Whether a status with which a runner states that it has not run a request means that it
/// has no room.
fn is_rejection(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    )
}

/// Records that a brittle runner rejected a request of this instance.
fn note_rejection(state: &GatewayState, runner: &RunnerHandle) {
    let metrics = &state.metrics;
    metrics.add(CounterMetric::BrittleRejectionsTotal, "", 1);
    let mut brittle_runners = state.brittle_runners.borrow_mut();
    if brittle_runners.note_rejection(runner.room_key(), boot_ms()) {
        state.is_brittle_report_due.set(true);
        let record = runner.record();
        let runner = record.id.as_str();
        log::warn!(target: "roster", runner; "brittle runner rejected a request that had a place");
    }
}

impl Drop for RunnerPlace {
    fn drop(&mut self) {
        if !self.is_held {
            return;
        }
        let (runner, number, end) = (self.runner, self.number, self.end);
        let Some(address) = self.coordinator else {
            end_place(&self.state, runner, number, end);
            return;
        };
        let Some(socket) = self.state.peer_socket.get().cloned() else {
            return;
        };
        spawn_local(async move {
            let message = PeerMessage::PlaceEnded(runner, number, end);
            send_message(&socket, &[address], &message).await;
            sleep(REPEAT_DELAY).await;
            send_message(&socket, &[address], &message).await;
        });
    }
}

/// Result of a request for a place.
pub(crate) enum PlaceResult {
    /// The runner is not brittle.
    NotNeeded,
    Granted(RunnerPlace),
    Denied,
}

/// A place request of this instance that is open until it is dropped.
struct OpenRequest<'a> {
    state: &'a Rc<GatewayState>,
    message: PlaceMessage,
    decision: PermitDecision,
}

impl OpenRequest<'_> {
    /// Asks the coordinator or, if that is silent, the standby; `None` if there was no reply.
    async fn decide(&mut self) -> Option<PlaceResult> {
        let (state, key) = (self.state, self.message.request.runner);
        let Some(coordinator) = coordinator_of(state, key.start, None) else {
            return Some(self.grant(PermitRole::Coordinator));
        };
        if !is_silent(state, coordinator) {
            let reply = self.ask(coordinator).await;
            match reply {
                Some(_) => note_reply(state, coordinator),
                None => note_miss(state, coordinator),
            }
            return reply;
        }
        match coordinator_of(state, key.start, Some(coordinator)) {
            Some(standby) => {
                self.message.is_standby = true;
                self.ask(standby).await
            }
            None => Some(self.grant(PermitRole::Standby)),
        }
    }

    /// Decides in a role of this instance.
    fn grant(&mut self, role: PermitRole) -> PlaceResult {
        self.decision = grant_place(self.state, &self.message, role);
        match self.decision {
            PermitDecision::Granted => PlaceResult::Granted(self.place(None)),
            PermitDecision::Denied(_) => {
                // Delays only bound the messages.
                self.decision = PermitDecision::Denied(0);
                PlaceResult::Denied
            }
        }
    }

    fn place(&self, coordinator: Option<SocketAddr>) -> RunnerPlace {
        let request = &self.message.request;
        RunnerPlace {
            state: self.state.clone(),
            runner: request.runner,
            number: request.number,
            coordinator,
            end: PlaceEnd::Ended,
            is_held: true,
        }
    }

    /// Asks the instance at `address`; `None` if there was no reply.
    async fn ask(&mut self, address: SocketAddr) -> Option<PlaceResult> {
        let (state, number) = (self.state, self.message.request.number);
        let socket = state.peer_socket.get()?.clone();
        let (sender, receiver) = oneshot::channel();
        state.permit_replies.borrow_mut().push((number, sender));
        // Given back if this is cancelled or there is no reply, because the place may have
        // been granted.
        let mut place = self.place(Some(address));
        let asked_ms = boot_ms();
        let message = PeerMessage::PlaceRequest(Box::new(self.message.clone()));
        send_message(&socket, &[address], &message).await;
        let decision = timeout(REPLY_TIMEOUT, receiver).await.ok()?.ok()?;
        // A process that stood still may get the reply when the place no longer counts.
        if boot_ms().saturating_sub(asked_ms) > MAX_REPLY_MS {
            return None;
        }
        self.decision = decision;
        Some(match self.decision {
            PermitDecision::Granted => PlaceResult::Granted(place),
            PermitDecision::Denied(_) => {
                place.is_held = false;
                PlaceResult::Denied
            }
        })
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        let request = &self.message.request;
        let mut replies = self.state.permit_replies.borrow_mut();
        replies.retain(|(number, _)| *number != request.number);
        let mut brittle_runners = self.state.brittle_runners.borrow_mut();
        brittle_runners.end_request(request.runner, self.decision, boot_ms(), &mut rng());
    }
}

/// Acquires a place for one request to a runner, of whose slots and memory it may fill
/// `fraction`, and which ends within `lifetime`.
pub(crate) async fn acquire_place(
    state: &Rc<GatewayState>,
    placed: &PlacedRunner,
    fraction: f64,
    lifetime: Duration,
) -> PlaceResult {
    if state.brittle_runners.borrow().is_empty() {
        return PlaceResult::NotNeeded;
    }
    let (runner, now_ms) = (placed.runner.room_key(), boot_ms());
    let report = {
        let mut brittle_runners = state.brittle_runners.borrow_mut();
        if !brittle_runners.needs_place(runner, now_ms) {
            return PlaceResult::NotNeeded;
        }
        let Some(report) = brittle_runners.report_of(runner, now_ms) else {
            return PlaceResult::NotNeeded;
        };
        brittle_runners.begin_request(runner, now_ms);
        report
    };
    let request = PlaceRequest {
        runner,
        number: rng().random(),
        holder: name_hash(&state.settings().name),
        slots: placed.runner.slots(now_ms),
        memory_tokens: placed.capacity_tokens,
        needed_tokens: placed.memory_tokens,
        fraction: fraction.min(1.0),
        lifetime_ms: lifetime.as_millis() as u64,
        observed: placed.runner.reported_requests(now_ms),
    };
    let mut open = OpenRequest {
        state,
        message: PlaceMessage {
            request,
            report,
            load_key: placed.runner.key(),
            is_standby: false,
        },
        decision: PermitDecision::Denied(NO_REPLY_DELAY_MS),
    };
    let reply = open.decide().await;
    let outcome = match reply {
        Some(PlaceResult::Granted(_)) => "granted",
        Some(PlaceResult::Denied | PlaceResult::NotNeeded) => "denied",
        None => "no_reply",
    };
    state.metrics.add(CounterMetric::PlacesTotal, outcome, 1);
    reply.unwrap_or(PlaceResult::Denied)
}

/// Decides on the place request of another instance.
pub(crate) fn decide_place(state: &GatewayState, message: &PlaceMessage) -> PermitDecision {
    merge_brittle(state, &message.report);
    match permit_role(state, message.request.runner.start) {
        PermitRole::Coordinator => grant_place(state, message, PermitRole::Coordinator),
        PermitRole::Standby if message.is_standby => {
            grant_place(state, message, PermitRole::Standby)
        }
        PermitRole::Standby | PermitRole::Other => PermitDecision::Denied(REDIRECT_DELAY_MS),
    }
}

/// Decides on a place request in a role that grants places.
fn grant_place(state: &GatewayState, message: &PlaceMessage, role: PermitRole) -> PermitDecision {
    let (now_ms, request) = (boot_ms(), &message.request);
    let interval_ms = heartbeat_interval_ms(state.instance_count());
    if now_ms < state.started_boot_ms + LISTENING_INTERVALS * interval_ms {
        return PermitDecision::Denied(REDIRECT_DELAY_MS);
    }
    let peers = state.peers.borrow();
    let mut loads = peers.holder_loads(message.load_key, now_ms);
    if let Some(runner) = known_runner(state, request.runner) {
        let load = runner.local_load();
        loads.push(HolderLoad {
            holder: name_hash(&state.settings().name),
            running: load.running,
            needed_tokens: load.reserved_tokens,
            at_ms: now_ms,
        });
    }
    let mut share = peers.live_share(now_ms);
    if role == PermitRole::Standby {
        share *= STANDBY_FRACTION;
    }
    let settle_ms = peers.interval_ms();
    let mut brittle_runners = state.brittle_runners.borrow_mut();
    brittle_runners.grant(request, share, &loads, settle_ms, now_ms)
}

/// Records as the coordinator of a runner that a request with a place has ended.
pub(crate) fn end_place(state: &GatewayState, runner: RunnerKey, number: u64, end: PlaceEnd) {
    let mut brittle_runners = state.brittle_runners.borrow_mut();
    if brittle_runners.give_back(runner, number, end, boot_ms()) {
        state.is_brittle_report_due.set(true);
    }
}
