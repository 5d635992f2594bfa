//! Brings one prompt's answer from dispatch processes to its caller.
//!
//! The relay survives the loss of a call (it resumes at its offset), of a
//! dispatch process (another adopts the engine's stream), and, for idempotent
//! work, of the engine's stream (the prompt runs again and the answer starts
//! from token zero). It passes a whole answer on as whole only when count and
//! digest of the tokens that it passed on agree with the engine's.

use crate::{
    assembly::{AnswerAssembly, AssemblyStep},
    members::{origin_of, MemberEntry, MemberList},
    routes::{RouteQuery, WorkRoute},
    shared::EntryShared,
};
use berylmount_model::{
    piece_chain, AttemptId, CallRefusal, InstanceName, PieceKey, RefusalReason, RequestId,
    RequestVerdict,
};
use berylmount_policy::TargetGroup;
use berylmount_telemetry::{CounterMetric, HistogramMetric};
use berylmount_wire::{
    AdoptCall, PeerCall, PeerService, PromptCall, ResumeCall, StartedRun, WireFault, WorkReply,
    WorkRequest,
};
use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Dispatch processes asked before a prompt is refused.
const MAX_ROUTES: usize = 3;

/// Times that a lost answer is taken up again without a new token.
const MAX_RECOVERIES: u32 = 4;

/// Wait before a second recovery, times the number of recoveries.
const RECOVERY_DELAY: Duration = Duration::from_millis(50);

/// Attempt numbers between two runs that the entry orders.
const RERUN_STRIDE: u32 = 1_000;

/// When to come back after a failure, in milliseconds.
const FAILED_RETRY_MS: u64 = 500;

/// What the caller is told, piece by piece.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum RelayPart<'a> {
    /// A run started; it replaces every token before it.
    Started(&'a StartedRun),
    /// The next token.
    Token {
        /// Its place in the answer.
        offset: u64,
        /// The token.
        text: &'a str,
    },
    /// The answer is whole.
    End {
        /// Tokens in the answer.
        count: u64,
        /// Digest of all tokens, in hexadecimal.
        digest: &'a str,
    },
}

/// Takes parts for the caller; an error says that the caller is gone.
pub(crate) type PartSink<'a> = &'a mut dyn FnMut(RelayPart<'_>) -> std::io::Result<()>;

/// Why the relay stopped.
#[derive(Debug)]
pub(crate) enum RelayFailure {
    /// The caller is gone; it can resume elsewhere.
    CallerGone,
    /// The request is given up on.
    Refused(CallRefusal),
}

/// What a received reply leads to.
enum RelayStep {
    /// Go on receiving.
    Continue,
    /// The answer is whole and passed on.
    Done,
}

/// The way that one call ended without a whole answer.
enum CallEnd {
    /// The dispatch process refused.
    Refused(CallRefusal),
    /// The call was lost.
    Lost(WireFault),
    /// The caller is gone.
    CallerGone,
}

/// One prompt on its way.
pub(crate) struct PromptRelay {
    shared: Arc<EntryShared>,
    call: PromptCall,
    first_piece: Option<PieceKey>,
    prompt_tokens: u32,
    ends_ms: u64,
    /// The group and process that serve it.
    route: Option<WorkRoute>,
    /// What of the answer was passed on.
    assembly: AnswerAssembly,
    /// When the last token was passed on.
    last_token: Option<Instant>,
    avoid_groups: Vec<TargetGroup>,
    avoid_members: Vec<InstanceName>,
}

impl PromptRelay {
    /// Prepares to serve `call`; its route and request are chosen later.
    pub(crate) fn new(shared: &Arc<EntryShared>, call: PromptCall) -> Self {
        let words = call.prompt.split_whitespace().count();
        Self {
            shared: Arc::clone(shared),
            first_piece: piece_chain(&call.scope, &call.prompt).first().copied(),
            prompt_tokens: u32::try_from(words).unwrap_or(u32::MAX),
            ends_ms: shared.now_ms() + call.total_ms,
            route: None,
            assembly: AnswerAssembly::new(call.attempt),
            last_token: None,
            avoid_groups: Vec::new(),
            avoid_members: Vec::new(),
            call,
        }
    }

    /// Serves the prompt to its end.
    ///
    /// # Errors
    ///
    /// Says whether the caller is gone or the request was given up on.
    pub(crate) fn run(&mut self, sink: PartSink<'_>) -> Result<(), RelayFailure> {
        self.shared.retries().budget.earn();
        let call = self.open_first()?;
        let mut end = self.receive_all(call, sink);
        let mut recoveries = 0;
        let mut recovered_at = 0;
        loop {
            let fault = match end {
                Ok(()) => return Ok(()),
                Err(CallEnd::CallerGone) => return Err(RelayFailure::CallerGone),
                Err(CallEnd::Refused(refusal)) => match self.reroute(refusal) {
                    Ok(call) => {
                        end = self.receive_all(call, sink);
                        continue;
                    }
                    Err(refusal) => return Err(RelayFailure::Refused(refusal)),
                },
                Err(CallEnd::Lost(fault)) => fault,
            };
            if self.assembly.offset() > recovered_at {
                (recoveries, recovered_at) = (0, self.assembly.offset());
            }
            recoveries += 1;
            if recoveries > MAX_RECOVERIES || self.left_ms() == 0 {
                return Err(RelayFailure::Refused(lost_refusal(&fault)));
            }
            log::warn!(
                target: "entry", attempt:% = self.assembly.attempt(), offset = self.assembly.offset();
                "lost the call to dispatch: {fault}; recovering"
            );
            end = match self.recover(recoveries) {
                Ok(call) => self.receive_all(call, sink),
                Err(CallEnd::Lost(_)) => Err(CallEnd::Lost(fault)),
                Err(other) => Err(other),
            };
        }
    }

    /// Time left to the whole answer, in milliseconds.
    fn left_ms(&self) -> u64 {
        self.ends_ms.saturating_sub(self.shared.now_ms())
    }

    /// Opens the first call, trying several dispatch processes.
    fn open_first(&mut self) -> Result<PeerCall, RelayFailure> {
        for _ in 0..MAX_ROUTES {
            let Some(route) = self.choose_route() else {
                break;
            };
            let request = RequestId::new(origin_of(&route.member.name), self.shared.draw_count());
            self.assembly.restart(AttemptId {
                request,
                attempt: 0,
            });
            match self.open_prompt(&route) {
                Ok(call) => {
                    self.route = Some(route);
                    return Ok(call);
                }
                Err(fault) if fault.verdict() == RequestVerdict::NotRun => {
                    let now_ms = self.shared.now_ms();
                    self.shared.routes().note_failure(&route.group, now_ms);
                    self.avoid_members.push(route.member.name);
                }
                Err(fault) => return Err(RelayFailure::Refused(lost_refusal(&fault))),
            }
        }
        Err(RelayFailure::Refused(CallRefusal::not_run(
            RefusalReason::NoTarget,
            "no dispatch process for this pool can be reached",
            FAILED_RETRY_MS,
        )))
    }

    /// Chooses the group and the dispatch process of an attempt.
    fn choose_route(&self) -> Option<WorkRoute> {
        let list = self.shared.list();
        let query = RouteQuery {
            pool: &self.call.pool,
            first_piece: self.first_piece.as_ref(),
            prompt_tokens: self.prompt_tokens,
            class: self.call.class,
            avoid_groups: &self.avoid_groups,
            avoid_members: &self.avoid_members,
        };
        let now_ms = self.shared.now_ms();
        self.shared.routes().choose(&query, &list, now_ms)
    }

    /// Sends the prompt along `route`.
    fn open_prompt(&mut self, route: &WorkRoute) -> Result<PeerCall, WireFault> {
        self.call.attempt = self.assembly.attempt();
        self.call.data_centre = route.group.data_centre.clone();
        self.call.group = route.group.index;
        self.call.total_ms = self.left_ms();
        let request = WorkRequest::Prompt(self.call.clone());
        self.shared
            .client
            .open(route.member.address, PeerService::Work, &request)
    }

    /// Tries another group or process after a refusal, if that makes sense.
    fn reroute(&mut self, refusal: CallRefusal) -> Result<PeerCall, CallRefusal> {
        let Some(route) = self.route.take() else {
            return Err(refusal);
        };
        let elsewhere = match refusal.reason {
            RefusalReason::Redirected => true,
            RefusalReason::Overloaded | RefusalReason::NoTarget | RefusalReason::TargetFailed => {
                self.shared.retries().budget.take()
            }
            _ => false,
        };
        let may_run_again = refusal.verdict.allows_retry(self.call.idempotent);
        if !elsewhere || !may_run_again || self.avoid_groups.len() >= MAX_ROUTES {
            return Err(refusal);
        }
        match refusal.reason {
            RefusalReason::Redirected => self.avoid_members.push(route.member.name),
            _ => self.avoid_groups.push(route.group),
        }
        self.rerun().ok_or(refusal)
    }

    /// Runs the prompt again from its start, along a new route.
    fn rerun(&mut self) -> Option<PeerCall> {
        let route = self.choose_route()?;
        let mut attempt = self.assembly.attempt();
        if self.assembly.started().is_none() {
            let origin = origin_of(&route.member.name);
            attempt.request = RequestId::new(origin, self.shared.draw_count());
        }
        attempt.attempt = (attempt.attempt / RERUN_STRIDE + 1) * RERUN_STRIDE;
        self.assembly.restart(attempt);
        self.note_retry("retry");
        let call = self.open_prompt(&route).ok()?;
        self.route = Some(route);
        Some(call)
    }

    /// Counts a second try.
    fn note_retry(&self, kind: &str) {
        self.shared
            .metrics
            .add(CounterMetric::RetriesTotal, kind, 1);
    }

    /// Takes up a lost answer: resumes it, adopts it, or runs it again.
    ///
    /// `tries` counts the recoveries without a new token, this one included.
    /// A process that was lost twice may be gone although something before it
    /// still accepts connections, so another is asked then, if there is one.
    fn recover(&mut self, tries: u32) -> Result<PeerCall, CallEnd> {
        let Some(route) = self.route.clone() else {
            let fault = WireFault::Lost("no route".to_owned());
            return Err(CallEnd::Lost(fault));
        };
        if tries > 1 {
            thread::sleep(RECOVERY_DELAY * tries);
            if self.has_other_holder(&route.member) {
                self.avoid_members.push(route.member.name.clone());
            }
        }
        if !self.avoid_members.contains(&route.member.name) {
            match self.resume(&route.member) {
                Ok(call) => return Ok(call),
                Err(WireFault::NotSent(_)) => self.avoid_members.push(route.member.name),
                Err(fault) => return Err(CallEnd::Lost(fault)),
            }
        }
        self.adopt_or_rerun()
    }

    /// Whether another dispatch process than `member` could go on.
    fn has_other_holder(&self, member: &MemberEntry) -> bool {
        let list = self.shared.list();
        let holders = list.holders(self.assembly.attempt().request, &self.avoid_members);
        holders.iter().any(|holder| holder.name != member.name)
    }

    /// Goes on with an answer that the dispatch process `member` holds.
    fn resume(&self, member: &MemberEntry) -> Result<PeerCall, WireFault> {
        self.note_retry("resume");
        let resume = ResumeCall {
            attempt: self.assembly.attempt(),
            customer: self.call.customer.clone(),
            offset: self.assembly.offset(),
        };
        let request = WorkRequest::Resume(resume);
        self.shared
            .client
            .open(member.address, PeerService::Work, &request)
    }

    /// Lets another dispatch process go on with the engine's stream.
    fn adopt_or_rerun(&mut self) -> Result<PeerCall, CallEnd> {
        let list = self.shared.list();
        if let Some(call) = self.adopt(&list) {
            return Ok(call);
        }
        if self.call.idempotent && self.shared.retries().budget.take() {
            if let Some(call) = self.rerun() {
                return Ok(call);
            }
        }
        let fault = WireFault::Lost("no dispatch process could take over".to_owned());
        Err(CallEnd::Refused(lost_refusal(&fault)))
    }

    /// Asks the next holder of the request to adopt the engine's stream.
    fn adopt(&mut self, list: &MemberList) -> Option<PeerCall> {
        let run = self.assembly.started()?;
        let holders = list.holders(self.assembly.attempt().request, &self.avoid_members);
        let member = (*holders.first()?).clone();
        let request = WorkRequest::Adopt(AdoptCall {
            attempt: self.assembly.attempt(),
            customer: self.call.customer.clone(),
            runner: run.runner.clone(),
            address: run.address,
            offset: self.assembly.offset(),
            total_ms: self.left_ms(),
            traceparent: self.call.traceparent.clone(),
        });
        self.note_retry("adopt");
        let opened = self
            .shared
            .client
            .open(member.address, PeerService::Work, &request);
        match opened {
            Ok(call) => {
                if let Some(route) = &mut self.route {
                    route.member = member;
                }
                Some(call)
            }
            Err(_) => {
                self.avoid_members.push(member.name);
                None
            }
        }
    }

    /// Receives replies until the answer is whole or the call ends.
    fn receive_all(&mut self, call: PeerCall, sink: PartSink<'_>) -> Result<(), CallEnd> {
        loop {
            let wait = Duration::from_millis(self.left_ms().max(1));
            let reply = match call.receive::<WorkReply>(wait) {
                Ok(reply) => reply,
                Err(WireFault::TimedOut) => return Err(CallEnd::Refused(timed_out())),
                Err(fault) => return Err(CallEnd::Lost(fault)),
            };
            if let RelayStep::Done = self.take_reply(reply, sink)? {
                call.finish();
                return Ok(());
            }
        }
    }

    /// Takes one reply in.
    fn take_reply(&mut self, reply: WorkReply, sink: PartSink<'_>) -> Result<RelayStep, CallEnd> {
        let part = match self.assembly.take(&reply) {
            AssemblyStep::Started(run) => {
                self.note_waits(run);
                RelayPart::Started(run)
            }
            AssemblyStep::StartedAgain(run) => {
                self.note_waits(run);
                return Ok(RelayStep::Continue);
            }
            AssemblyStep::Token { offset, text } => {
                self.note_token(offset);
                RelayPart::Token { offset, text }
            }
            AssemblyStep::Whole { count, digest } => {
                sink(RelayPart::End { count, digest }).map_err(|_| CallEnd::CallerGone)?;
                return Ok(RelayStep::Done);
            }
            AssemblyStep::Stale => {
                let metrics = &self.shared.metrics;
                metrics.add(CounterMetric::StaleFramesTotal, "", 1);
                return Ok(RelayStep::Continue);
            }
            AssemblyStep::StaleEnd => return Ok(RelayStep::Continue),
            AssemblyStep::Refused(refusal) if refusal.reason == RefusalReason::NotFound => {
                // The process restarted, or never had it.
                return Err(self.not_found(refusal.clone()));
            }
            AssemblyStep::Refused(refusal) => return Err(CallEnd::Refused(refusal.clone())),
            AssemblyStep::Lost(detail) => {
                let fault = WireFault::Malformed(detail.to_owned());
                return Err(CallEnd::Lost(fault));
            }
        };
        sink(part).map_err(|_| CallEnd::CallerGone)?;
        Ok(RelayStep::Continue)
    }

    /// Leaves out the process that does not hold the answer, and recovers.
    fn not_found(&mut self, refusal: CallRefusal) -> CallEnd {
        let Some(route) = &self.route else {
            return CallEnd::Refused(refusal);
        };
        self.avoid_members.push(route.member.name.clone());
        CallEnd::Lost(WireFault::Lost(refusal.detail))
    }

    /// Takes in what a start says about the waits in its group.
    fn note_waits(&self, run: &StartedRun) {
        if let Some(route) = &self.route {
            let now_ms = self.shared.now_ms();
            self.shared
                .routes()
                .note_waits(&route.group, run.group_waits_ms, now_ms);
        }
    }

    /// Counts a token and measures the time since the one before.
    fn note_token(&mut self, offset: u64) {
        let now = Instant::now();
        let metrics = &self.shared.metrics;
        if let Some(last) = self.last_token.filter(|_| offset > 0) {
            let seconds = now.duration_since(last).as_secs_f64();
            metrics.observe(HistogramMetric::TokenGapSeconds, "", seconds);
        }
        metrics.add(CounterMetric::TokensTotal, "", 1);
        self.last_token = Some(now);
    }
}

/// The refusal of a request whose call was lost for good.
fn lost_refusal(fault: &WireFault) -> CallRefusal {
    CallRefusal {
        verdict: fault.verdict(),
        ..CallRefusal::not_run(
            RefusalReason::TargetFailed,
            &format!("the answer was lost: {fault}"),
            FAILED_RETRY_MS,
        )
    }
}

/// The refusal of a request whose time limit has passed.
fn timed_out() -> CallRefusal {
    CallRefusal::may_have_run(
        RefusalReason::TimedOut,
        "the answer was not whole within the time limit",
        FAILED_RETRY_MS,
    )
}
