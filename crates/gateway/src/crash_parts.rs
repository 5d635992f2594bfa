//! Parts of requests that crash runners: evidence, verdicts and their exchange.
//!
//! The parts of a request are the shared parts of its prompt, and the request as a whole, which
//! is the narrowest part that evidence can blame: the same path, customer and body.
//!
//! Each instance sends its evidence to a few analysts, which are the same for all instances
//! with the same view of the fleet. An analyst asks all instances for the answers of suspect
//! parts and tells them which parts are blamed. Nothing is sent while no request breaks.
//!
//! Blamed parts are also written to the object store, so that they outlive a restart of all
//! processes. A process that starts reads them before it serves requests.

use crate::{
    clock::boot_ms,
    forward::InboundCall,
    peer_link::{peer_addresses, send_message},
    peers::{name_hash, PeerMessage},
    responses::LocalReason,
    runner_registry::RunnerHandle,
    state::GatewayState,
    upstream::AttemptOutcome,
};
use berylmount_policy::{
    blamed_parts::{BlameReport, BlamedParts, PromptDecision},
    part_evidence::{
        prompt_part_key, whole_request_key, BreakReport, EvidenceReport, PartEvidence, MAX_PARTS,
    },
    part_verdicts::PartAnalyst,
    shared_duties::DutyMember,
};
use berylmount_telemetry::CounterMetric;
use http::header::HOST;
use rand::{rng, RngExt};
use serde::{Deserialize, Serialize};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::{net::UdpSocket, time::sleep};
use xxhash_rust::xxh3::Xxh3;

pub(crate) mod stored;

/// The duty by which analysts are selected.
const ANALYST_DUTY: &str = "crash parts";
/// Number of analysts. One suffices; the others take over without a loss of evidence.
const ANALYSTS: usize = 3;
/// Time between two checks whether messages are due or parts are at fault.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two reports while there is evidence, and at least, in milliseconds.
const REPORT_MS: u64 = 500;
const MIN_REPORT_MS: u64 = 100;
/// Time between two judgements of the evidence, in milliseconds.
const JUDGE_MS: u64 = 150;
/// Time between two selections of the analysts, in milliseconds.
const SELECT_MS: u64 = 500;
/// Minimum time between two changed lists of suspects, in milliseconds.
const SUSPECT_MS: u64 = 200;
/// Time between two notices without a change, in milliseconds.
const NOTICE_MS: u64 = 1000;
/// Time from which a process serves requests even if it could not learn which parts are
/// blamed, in milliseconds.
const MAX_START_MS: u64 = 1500;

/// Broken attempts of a request from which it is not repeated.
const MIN_REPEATED_BREAKS: usize = 2;

/// What analysts tell all instances.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct AnalystNotice {
    /// Parts whose answers all instances should report, sorted.
    suspects: Vec<u64>,
    blamed: Vec<BlameReport>,
}

/// What this instance knows about parts that crash runners.
#[derive(Debug, Default)]
pub(crate) struct CrashParts {
    evidence: RefCell<PartEvidence>,
    analyst: RefCell<PartAnalyst>,
    blamed: RefCell<BlamedParts>,
    /// Sets of parts that an answer has cleared, to be announced.
    cleared: RefCell<Vec<Vec<u64>>>,
    /// The last list of suspects from an analyst.
    suspects: RefCell<Vec<u64>>,
    /// Whether evidence is sent without waiting for the interval.
    is_evidence_due: Cell<bool>,
    /// Whether the blamed parts have changed since the last notice.
    is_notice_due: Cell<bool>,
    /// Whether this process has learned which parts are blamed.
    is_informed: Cell<bool>,
    /// Whether this instance was an analyst when the analysts were last selected.
    is_analyst: Cell<bool>,
}

/// The keys of the parts of a request.
#[derive(Clone, Debug)]
pub(crate) struct PartKeys {
    /// Key of the request as a whole.
    pub(crate) whole: u64,
    /// Keys of all parts, sorted: those of the prompt that other prompts may share, and the
    /// whole.
    pub(crate) all: Vec<u64>,
}

impl PartKeys {
    /// Computes the keys of a request of `customer`.
    pub(crate) fn of(call: &InboundCall, customer: Option<&str>) -> Self {
        let parts = call.request.prompt.as_ref();
        let parts = parts.map_or(&[][..], |prompt| &prompt.parts);
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        let keys = shared
            .iter()
            .map(|part| prompt_part_key(name_hash(&part.id)));
        let whole = whole_key(call, customer);
        let mut all: Vec<u64> = keys.take(MAX_PARTS).chain([whole]).collect();
        all.sort_unstable();
        all.dedup();
        Self { whole, all }
    }
}

/// Returns the key of a request as a whole. Ids and headers differ between the attempts of a
/// caller.
fn whole_key(call: &InboundCall, customer: Option<&str>) -> u64 {
    let head = &call.head;
    let host = head
        .headers
        .get(HOST)
        .map_or(&[][..], |host| host.as_bytes());
    let fields = [
        head.method.as_str().as_bytes(),
        host,
        head.target.as_bytes(),
        customer.unwrap_or_default().as_bytes(),
        &call.body,
    ];
    let mut hash = Xxh3::new();
    for field in fields {
        // The length separates a field from the next one.
        hash.update(&(field.len() as u64).to_le_bytes());
        hash.update(field);
    }
    whole_request_key(hash.digest())
}

/// Whether a request that broke may be sent to another runner. One that has broken before may
/// crash each of them.
pub(crate) fn may_repeat(state: &GatewayState, keys: &PartKeys) -> bool {
    let crash_parts = &state.crash_parts;
    let is_suspect = crash_parts
        .suspects
        .borrow()
        .binary_search(&keys.whole)
        .is_ok();
    let breaks = crash_parts.evidence.borrow().breaks_of(keys.whole);
    !is_suspect && breaks < MIN_REPEATED_BREAKS
}

/// Whether this process has learned which parts are blamed, or could not.
pub(crate) fn is_informed(state: &GatewayState) -> bool {
    state.crash_parts.is_informed.get() || boot_ms() >= state.started_boot_ms + MAX_START_MS
}

/// Returns why a request with these parts is refused, and when the caller should retry; `None`
/// if it is not.
pub(crate) fn refusal_of(state: &GatewayState, parts: &[u64]) -> Option<(LocalReason, Duration)> {
    let blamed = state.crash_parts.blamed.borrow();
    refusal(&blamed.preview(parts, boot_ms()))
}

/// Decides whether a request with these parts is sent now. If so, it is announced to the other
/// instances where parts are on probation. Otherwise returns the refusal.
pub(crate) async fn decide_request(
    state: &GatewayState,
    parts: &[u64],
) -> Option<(LocalReason, Duration)> {
    let decision = {
        let mut blamed = state.crash_parts.blamed.borrow_mut();
        blamed.decide(parts, boot_ms())
    };
    let PromptDecision::Send(probed) = decision else {
        return refusal(&decision);
    };
    if let (false, Some(socket)) = (probed.is_empty(), state.peer_socket.get().cloned()) {
        let message = PeerMessage::PartProbe(probed);
        send_message(&socket, &peer_addresses(state), &message).await;
    }
    None
}

fn refusal(decision: &PromptDecision) -> Option<(LocalReason, Duration)> {
    let (reason, left_ms) = match decision {
        PromptDecision::Send(_) => return None,
        PromptDecision::Refuse(left_ms) => (LocalReason::CrashingPart, left_ms),
        PromptDecision::Wait(left_ms) => (LocalReason::SuspectPart, left_ms),
    };
    Some((reason, Duration::from_millis(*left_ms)))
}

/// Records that another instance has sent a request with these sets of parts on probation.
pub(crate) fn note_probe(state: &GatewayState, probed: &[Vec<u64>]) {
    let mut blamed = state.crash_parts.blamed.borrow_mut();
    blamed.note_sent(probed, boot_ms());
}

/// Records that a runner has begun to answer a request.
pub(crate) fn note_answer(state: &GatewayState, service: &str, parts: &[u64]) {
    let (crash_parts, now_ms) = (&state.crash_parts, boot_ms());
    let mut evidence = crash_parts.evidence.borrow_mut();
    evidence.note_answer(name_hash(service), parts, now_ms);
    let cleared = crash_parts.blamed.borrow_mut().answered(parts, now_ms);
    if !cleared.is_empty() {
        crash_parts.cleared.borrow_mut().extend(cleared);
    }
}

/// Clears sets of parts of which another instance has seen an answer.
pub(crate) fn clear_parts(state: &GatewayState, sets: &[Vec<u64>]) {
    let mut blamed = state.crash_parts.blamed.borrow_mut();
    blamed.clear(sets, boot_ms());
}

/// Records the end of an attempt to run a request, which began at `started_ms`. The answer of
/// a stream was recorded with its first event.
pub(crate) fn note_attempt(
    state: &GatewayState,
    service: &str,
    runner: &RunnerHandle,
    parts: &PartKeys,
    outcome: &AttemptOutcome,
    started_ms: u64,
) {
    match outcome {
        AttemptOutcome::Complete(response) if response.status.is_success() => {
            note_answer(state, service, &parts.all);
        }
        AttemptOutcome::Disconnected(_) => {
            let (service, now_ms) = (name_hash(service), boot_ms());
            let report = BreakReport {
                id: rng().random(),
                service,
                runner: runner.limit_key(),
                age_ms: 0,
                ran_ms: now_ms.saturating_sub(started_ms),
                parts: parts.all.clone(),
            };
            let mut evidence = state.crash_parts.evidence.borrow_mut();
            evidence.note_break(report, now_ms);
            state.crash_parts.is_evidence_due.set(true);
            convict(state, &parts.all, now_ms);
        }
        _ => {}
    }
}

/// Blames parts on probation for good if a request with them broke.
fn convict(state: &GatewayState, parts: &[u64], broken_ms: u64) {
    let mut blamed = state.crash_parts.blamed.borrow_mut();
    if blamed.convict(parts, broken_ms, boot_ms()) {
        state.crash_parts.is_notice_due.set(true);
        let parts = blame_name(parts);
        log::warn!(target: "parts", parts; "a request with parts on probation crashed its runner");
    }
}

/// Applies the evidence of a process, as an analyst.
pub(crate) fn merge_evidence(state: &GatewayState, process: u64, report: EvidenceReport) {
    let now_ms = boot_ms();
    for broken in &report.breaks {
        convict(state, &broken.parts, now_ms.saturating_sub(broken.age_ms));
    }
    let mut analyst = state.crash_parts.analyst.borrow_mut();
    analyst.merge(process, report, now_ms);
}

/// Applies the notice of an analyst. The next report is sent at once if it is asked for other
/// parts than the last one.
pub(crate) fn apply_notice(state: &GatewayState, notice: AnalystNotice) {
    for report in &notice.blamed {
        adopt(state, report, "reported");
    }
    let crash_parts = &state.crash_parts;
    crash_parts.is_informed.set(true);
    let mut suspects = crash_parts.suspects.borrow_mut();
    if *suspects != notice.suspects {
        *suspects = notice.suspects;
        crash_parts.is_evidence_due.set(true);
    }
}

/// Blames parts, unless they are blamed already. Returns whether they were not.
fn adopt(state: &GatewayState, report: &BlameReport, source: &'static str) -> bool {
    let crash_parts = &state.crash_parts;
    if !crash_parts.blamed.borrow_mut().adopt(report, boot_ms()) {
        return false;
    }
    crash_parts.is_notice_due.set(true);
    let metric = CounterMetric::BlamedPartsTotal;
    state.metrics.add(metric, source, 1);
    let (parts, is_certain) = (blame_name(&report.parts), report.is_certain);
    let forgotten_in_ms = report.kept_ms().saturating_sub(report.age_ms);
    log::warn!(
        target: "parts", parts, is_certain, source, age_ms = report.age_ms, forgotten_in_ms;
        "parts crash runners; requests with them are refused"
    );
    true
}

/// Sends evidence and, as an analyst, judges the evidence of all instances.
pub(crate) async fn exchange_evidence(state: Rc<GatewayState>) {
    let mut schedule = EvidenceSchedule::default();
    loop {
        sleep(TICK_INTERVAL).await;
        let Some(socket) = state.peer_socket.get().cloned() else {
            continue;
        };
        let (crash_parts, now_ms) = (&state.crash_parts, boot_ms());
        let cleared = crash_parts.cleared.take();
        if !cleared.is_empty() {
            let parts: Vec<String> = cleared.iter().map(|parts| blame_name(parts)).collect();
            log::info!(target: "parts", parts:? ; "an answer cleared parts");
            let message = PeerMessage::PartsCleared(cleared);
            send_message(&socket, &peer_addresses(&state), &message).await;
        }
        let has_breaks = crash_parts.evidence.borrow_mut().has_breaks(now_ms);
        let has_evidence = crash_parts.analyst.borrow_mut().has_evidence(now_ms);
        let is_asked = !crash_parts.suspects.borrow().is_empty();
        let has_blamed = !crash_parts.blamed.borrow_mut().reports(now_ms).is_empty();
        if !(has_breaks || has_evidence || is_asked || has_blamed) {
            continue;
        }
        schedule.update_analysts(&state);
        let min_ms = match crash_parts.is_evidence_due.get() {
            true => MIN_REPORT_MS,
            false => REPORT_MS,
        };
        if (has_breaks || is_asked) && now_ms >= schedule.reported_ms + min_ms {
            crash_parts.is_evidence_due.set(false);
            schedule.reported_ms = now_ms;
            schedule.report(&state, &socket).await;
        }
        if !crash_parts.is_analyst.get() {
            crash_parts.is_notice_due.set(false);
            continue;
        }
        if has_evidence && now_ms >= schedule.judged_ms + JUDGE_MS {
            schedule.judged_ms = now_ms;
            judge(&state);
        }
        schedule.notify(&state, &socket).await;
    }
}

/// Blames the parts that the evidence of all instances shows to be at fault.
fn judge(state: &GatewayState) {
    let mut analyst = state.crash_parts.analyst.borrow_mut();
    for verdict in analyst.verdicts(boot_ms()) {
        let report = BlameReport {
            parts: verdict.parts,
            is_certain: verdict.is_certain,
            age_ms: 0,
        };
        if adopt(state, &report, "own") {
            let instance = &state.settings().name;
            log::warn!(
                target: "parts", parts = blame_name(&report.parts), instance,
                crashed_runners = verdict.crashes, broken_requests = verdict.breaks,
                answers = verdict.answers;
                "blamed parts on the evidence of all instances"
            );
        }
    }
}

/// When an instance last sent its messages, and to whom. Times are of the boot clock.
#[derive(Debug, Default)]
struct EvidenceSchedule {
    reported_ms: u64,
    judged_ms: u64,
    notified_ms: u64,
    /// The suspects of the last notice.
    suspects: Vec<u64>,
    /// Addresses of the other analysts.
    analysts: Vec<SocketAddr>,
    /// When the analysts were last selected.
    selected_ms: u64,
}

impl EvidenceSchedule {
    /// Selects the analysts among the live instances, from time to time.
    fn update_analysts(&mut self, state: &GatewayState) {
        let now_ms = boot_ms();
        if self.selected_ms > 0 && now_ms < self.selected_ms + SELECT_MS {
            return;
        }
        self.selected_ms = now_ms;
        let settings = state.settings();
        let own = DutyMember {
            name: &settings.name,
            strength: settings.machine.capacity_millicores(),
        };
        let peers = state.peers.borrow();
        let (analysts, is_analyst) = peers.first_members(own, ANALYST_DUTY, ANALYSTS, now_ms);
        self.analysts = analysts;
        state.crash_parts.is_analyst.set(is_analyst);
    }

    /// Sends the evidence of this instance to the analysts.
    async fn report(&self, state: &GatewayState, socket: &UdpSocket) {
        let report = {
            let suspects = state.crash_parts.suspects.borrow();
            let mut evidence = state.crash_parts.evidence.borrow_mut();
            evidence.report(&suspects, boot_ms())
        };
        let settings = state.settings();
        let process = name_hash(&format!("{}@{}", settings.name, state.started_ms));
        if state.crash_parts.is_analyst.get() {
            merge_evidence(state, process, report.clone());
        }
        let message = PeerMessage::PartEvidence(process, report);
        send_message(socket, &self.analysts, &message).await;
    }

    /// Tells all instances the suspects and the blamed parts, if that is due.
    async fn notify(&mut self, state: &GatewayState, socket: &UdpSocket) {
        let (crash_parts, now_ms) = (&state.crash_parts, boot_ms());
        let is_early = now_ms < self.notified_ms + SUSPECT_MS;
        if is_early && !crash_parts.is_notice_due.get() {
            return;
        }
        let suspects = crash_parts.analyst.borrow_mut().suspects(now_ms);
        let blamed = crash_parts.blamed.borrow_mut().reports(now_ms);
        let age_ms = now_ms.saturating_sub(self.notified_ms);
        let has_changed = suspects != self.suspects && age_ms >= SUSPECT_MS;
        let is_repeated = age_ms >= NOTICE_MS && !(suspects.is_empty() && blamed.is_empty());
        if !crash_parts.is_notice_due.replace(false) && !has_changed && !is_repeated {
            return;
        }
        self.notified_ms = now_ms;
        self.suspects.clone_from(&suspects);
        let notice = AnalystNotice { suspects, blamed };
        apply_notice(state, notice.clone());
        let message = PeerMessage::AnalystNotice(notice);
        send_message(socket, &peer_addresses(state), &message).await;
    }
}

/// Returns the name of a set of parts in logs and in the store.
fn blame_name(parts: &[u64]) -> String {
    let names: Vec<String> = parts.iter().map(|part| format!("{part:016x}")).collect();
    names.join("-")
}
