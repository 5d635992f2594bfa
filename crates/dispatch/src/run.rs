//! Runs one prompt on runners until its answer is whole or given up on.
//!
//! One thread runs one prompt. It may use several attempts, each with its own
//! runner and engine stream; only the tokens of the last attempt count. A
//! stream that falls silent or is cut is resumed at its offset first, on a new
//! connection, because the engine goes on with it.

use crate::{
    kept::FetchOrder,
    shared::{DispatchShared, LOOK_INTERVAL},
    watch::read_events,
    AnswerEnd, HeldAnswer, RunGrant, RunnerGroup, WorkOffer,
};
use berylmount_model::{
    piece_chain, AttemptId, CallRefusal, InstanceName, PieceKey, RefusalReason, RequestVerdict,
    PIECE_TOKENS,
};
use berylmount_policy::{
    assignment, retries::FailedAttempt, RetryDecision, RunnerSettings, TargetGroup,
};
use berylmount_targets::{
    EngineClient, EngineStream, FaultKind, RejectReason, StreamEvent, StreamOrder, TargetFault,
};
use berylmount_telemetry::{next_traceparent, root_span, CounterMetric, HistogramMetric, Span};
use berylmount_wire::{PromptCall, StartedRun};
use std::{
    net::SocketAddr,
    sync::{mpsc::RecvTimeoutError, Arc},
    thread,
    time::Duration,
};

/// Times that one engine stream is resumed without a new token.
pub(crate) const MAX_RESUMES: u32 = 3;

/// When a caller may try again after a failure, in milliseconds.
pub(crate) const FAILED_RETRY_MS: u64 = 500;

/// An attempt that failed.
#[derive(Debug)]
struct FailedRun {
    /// The answer, if nothing else can be tried.
    refusal: CallRefusal,
    /// The runner that failed, if it came to that.
    runner: Option<InstanceName>,
    /// Whether another attempt makes sense.
    may_retry: bool,
    /// Whether it costs nothing, because the runner only was not the one for it.
    is_free: bool,
}

impl FailedRun {
    /// A failure that ends the request.
    fn last(refusal: CallRefusal) -> Self {
        Self {
            refusal,
            runner: None,
            may_retry: false,
            is_free: false,
        }
    }
}

/// One prompt while it runs.
pub(crate) struct PromptRun {
    /// The hop's span; it ends with the run.
    span: Span,
    shared: Arc<DispatchShared>,
    group: Arc<RunnerGroup>,
    call: PromptCall,
    answer: Arc<HeldAnswer>,
    pieces: Vec<PieceKey>,
    prompt_tokens: u32,
    avoid: Vec<InstanceName>,
    arrived_ms: u64,
    seen_first: bool,
    fetched_tokens: u64,
}

impl PromptRun {
    /// Prepares the run of `call` into `answer`.
    pub(crate) fn new(
        shared: &Arc<DispatchShared>,
        call: &PromptCall,
        answer: &Arc<HeldAnswer>,
    ) -> Self {
        let group = shared.group(&TargetGroup {
            pool: call.pool.clone(),
            data_centre: call.data_centre.clone(),
            index: call.group,
        });
        let words = call.prompt.split_whitespace().count();
        let span = root_span("dispatch", Some(&call.traceparent), 0.0);
        let mut call = call.clone();
        call.traceparent = next_traceparent(&span).unwrap_or_default();
        Self {
            span,
            group,
            pieces: piece_chain(&call.scope, &call.prompt),
            prompt_tokens: u32::try_from(words).unwrap_or(u32::MAX),
            avoid: Vec::new(),
            arrived_ms: shared.now_ms(),
            seen_first: false,
            fetched_tokens: 0,
            shared: Arc::clone(shared),
            call,
            answer: Arc::clone(answer),
        }
    }

    /// Runs the prompt to its end.
    pub(crate) fn run(mut self) {
        self.shared.retries().budget.earn();
        let end = loop {
            match self.run_attempt() {
                Ok(end) => break end,
                Err(failed) => {
                    if let Some(refusal) = self.retry_or_refuse(failed) {
                        break AnswerEnd::Refused(refusal);
                    }
                }
            }
        };
        self.span
            .add_property(|| ("attempts", (self.call.attempt.attempt + 1).to_string()));
        self.answer.end(end, self.shared.now_ms());
    }

    /// Prepares another attempt, or returns the refusal that ends the request.
    fn retry_or_refuse(&mut self, failed: FailedRun) -> Option<CallRefusal> {
        if !failed.may_retry {
            return Some(failed.refusal);
        }
        self.avoid.extend(failed.runner.clone());
        let delay_ms = match self.decide_retry(&failed) {
            RetryDecision::GiveUp => return Some(failed.refusal),
            RetryDecision::RetryAfter(delay_ms) => delay_ms,
        };
        thread::sleep(Duration::from_millis(delay_ms));
        self.call.attempt.attempt += 1;
        self.answer.restart(self.call.attempt);
        self.shared
            .metrics
            .add(CounterMetric::RetriesTotal, "retry", 1);
        None
    }

    /// Asks the policy whether to try again.
    fn decide_retry(&self, failed: &FailedRun) -> RetryDecision {
        if failed.is_free && self.avoid.len() < assignment::GROUP_RUNNERS {
            return RetryDecision::RetryAfter(0);
        }
        let attempt = FailedAttempt {
            verdict: failed.refusal.verdict,
            idempotent: self.call.idempotent,
            attempts: self.call.attempt.attempt + 1,
            left_ms: self.total_left_ms(),
            expected_ms: self.expected_wait_ms(),
        };
        let mut retries = self.shared.retries();
        let state = &mut *retries;
        state.budget.decide(&attempt, &mut state.rng)
    }

    /// Expected wait for a runner, in milliseconds.
    fn expected_wait_ms(&self) -> u64 {
        let waits = self.group.waits_ms(self.shared.now_ms());
        waits[self.call.class as usize].into()
    }

    /// Time left to the whole answer, in milliseconds.
    fn total_left_ms(&self) -> u64 {
        let end_ms = self.arrived_ms + self.call.total_ms;
        end_ms.saturating_sub(self.shared.now_ms())
    }

    /// Waits for a runner and runs the prompt on it once.
    fn run_attempt(&mut self) -> Result<AnswerEnd, FailedRun> {
        let grant = self.wait_for_runner()?;
        let now_ms = self.shared.now_ms();
        // The mark is checked at the moment of sending, not only at queueing.
        if !self.shared.roster.is_live(grant.address, now_ms) {
            self.group.finish(&grant, &[], now_ms);
            return Err(FailedRun {
                refusal: leaving_refusal(),
                runner: Some(grant.runner),
                may_retry: true,
                is_free: true,
            });
        }
        let class: &str = self.call.class.into();
        let waited = (now_ms - self.arrived_ms) as f64 / 1e3;
        self.shared
            .metrics
            .observe(HistogramMetric::QueueSeconds, class, waited);
        let client = EngineClient::new(grant.address, self.shared.target_timeouts());
        let outcome = self.run_on(&client, &grant);
        let now_ms = self.shared.now_ms();
        match &outcome {
            Ok(_) => {
                self.group.finish(&grant, &self.pieces, now_ms);
                let kept = &self.shared.kept;
                kept.wish_to_keep(grant.address, &self.pieces);
            }
            Err(failed) if failed.is_free => self.group.finish(&grant, &[], now_ms),
            Err(failed) if !failed.may_retry => self.group.finish(&grant, &[], now_ms),
            Err(_) => self.group.fail(&grant, now_ms),
        }
        outcome
    }

    /// Queues the attempt and waits for its runner.
    fn wait_for_runner(&self) -> Result<RunGrant, FailedRun> {
        let offer = WorkOffer {
            customer: assignment::pair_hash(self.call.customer.as_str().as_bytes(), ""),
            weight: self.call.customer_weight,
            class: self.call.class,
            prompt_tokens: self.prompt_tokens,
            pieces: &self.pieces,
            version: &self.call.scope.version,
            avoid: &self.avoid,
            may_probe: self.call.idempotent && self.avoid.is_empty(),
            due_ms: self.arrived_ms + self.call.first_token_ms,
        };
        let grant = self.group.offer(&offer, self.shared.now_ms());
        loop {
            match grant.recv_timeout(LOOK_INTERVAL) {
                Ok(Ok(grant)) => return Ok(grant),
                Ok(Err(refusal)) => return Err(FailedRun::last(refusal)),
                Err(RecvTimeoutError::Timeout) => {
                    if self.answer.is_cancelled() {
                        return Err(FailedRun::last(cancelled_refusal(RequestVerdict::NotRun)));
                    }
                    self.group.tick(self.shared.now_ms());
                }
                Err(RecvTimeoutError::Disconnected) => {
                    let reason = RefusalReason::Internal;
                    let refusal = CallRefusal::not_run(reason, "the queue dropped the work", 100);
                    return Err(FailedRun::last(refusal));
                }
            }
        }
    }

    /// Starts the engine's stream and follows it to its end.
    fn run_on(&mut self, client: &EngineClient, grant: &RunGrant) -> Result<AnswerEnd, FailedRun> {
        self.fetched_tokens = self.fetch_kept(client, grant);
        let order = StreamOrder {
            attempt: self.call.attempt,
            prompt: &self.call.prompt,
            scope: &self.call.scope,
            pieces: &self.pieces,
            max_tokens: self.call.max_tokens,
            priority: self.call.class as u32,
            traceparent: &self.call.traceparent,
        };
        let mut fault = match client.start(&order) {
            Ok(stream) => match self.follow(stream, client, grant) {
                Ok(end) => return Ok(end),
                Err(fault) => fault,
            },
            Err(fault) => fault,
        };
        let mut resumes = 0;
        let mut resumed_at = self.answer.count();
        while is_resumable(&fault) && !self.answer.is_cancelled() && self.total_left_ms() > 0 {
            if self.answer.count() > resumed_at {
                (resumes, resumed_at) = (0, self.answer.count());
            }
            if resumes == MAX_RESUMES {
                break;
            }
            resumes += 1;
            log::info!(
                target: "dispatch", attempt:% = self.call.attempt, offset = resumed_at;
                "engine stream broke; resuming it"
            );
            self.shared
                .metrics
                .add(CounterMetric::RetriesTotal, "resume", 1);
            let offset = u32::try_from(self.answer.count()).unwrap_or(u32::MAX);
            fault = match client.resume(self.call.attempt, offset) {
                Ok(stream) => match self.follow(stream, client, grant) {
                    Ok(end) => return Ok(end),
                    Err(fault) => fault,
                },
                Err(fault) => fault,
            };
        }
        Err(self.failed_run(&fault, grant, client))
    }

    /// Has the runner fetch kept cache, if that is faster; returns the tokens.
    fn fetch_kept(&self, client: &EngineClient, grant: &RunGrant) -> u64 {
        if self.pieces.is_empty() {
            return 0;
        }
        // A hint of a piece that was evicted since would cost its recompute.
        read_events(&self.group, client, &grant.runner);
        let now_ms = self.shared.now_ms();
        let due_ms = self.arrived_ms + self.call.first_token_ms;
        let order = FetchOrder {
            pieces: &self.pieces,
            held: self.group.held_pieces(grant, &self.pieces),
            piece_ms: RunnerSettings::default().prefill_ms(PIECE_TOKENS as u32),
            left_ms: due_ms.saturating_sub(now_ms),
        };
        self.shared.kept.fetch(&self.shared, client, &order)
    }

    /// Passes a stream's events into the answer.
    fn follow(
        &mut self,
        mut stream: EngineStream,
        client: &EngineClient,
        grant: &RunGrant,
    ) -> Result<AnswerEnd, TargetFault> {
        while let Some(event) = stream.next_event()? {
            match event {
                StreamEvent::Admitted {
                    cached_tokens,
                    prompt_tokens,
                    ..
                } => self.note_admitted(grant, cached_tokens, prompt_tokens),
                StreamEvent::Waiting => {}
                StreamEvent::Token { text, .. } => {
                    self.note_token(grant);
                    self.answer.add_token(&text);
                }
                StreamEvent::End { count, digest } => {
                    return Ok(AnswerEnd::Whole {
                        count: count.into(),
                        digest,
                    });
                }
            }
            if self.total_left_ms() == 0 || self.answer.is_cancelled() {
                let _ = client.cancel(self.call.attempt);
                break;
            }
        }
        Err(TargetFault {
            verdict: RequestVerdict::MayHaveRun,
            kind: FaultKind::Rejected(RejectReason::Cancelled),
            detail: "the run was cancelled".to_owned(),
        })
    }

    /// Notes that the runner admitted the attempt.
    fn note_admitted(&self, grant: &RunGrant, cached_tokens: u32, prompt_tokens: u32) {
        let recomputed = prompt_tokens - cached_tokens;
        let metrics = &self.shared.metrics;
        let fetched_tokens = self.fetched_tokens.min(cached_tokens.into());
        let sources = [
            ("recomputed", recomputed.into()),
            ("runner", u64::from(cached_tokens) - fetched_tokens),
            ("store", fetched_tokens),
        ];
        for (source, tokens) in sources {
            metrics.add(CounterMetric::PromptTokensTotal, source, tokens);
        }
        self.answer.start(&StartedRun {
            attempt: self.call.attempt,
            runner: grant.runner.clone(),
            address: grant.address,
            prompt_tokens: prompt_tokens.into(),
            cached_tokens: cached_tokens.into(),
            fetched_tokens,
            group_waits_ms: self.group.waits_ms(self.shared.now_ms()),
        });
    }

    /// Notes the first token of the attempt.
    fn note_token(&mut self, grant: &RunGrant) {
        if self.answer.count() > 0 {
            return;
        }
        let now_ms = self.shared.now_ms();
        self.group.first_token(grant, now_ms);
        if !self.seen_first {
            self.seen_first = true;
            let class: &str = self.call.class.into();
            let seconds = (now_ms - self.arrived_ms) as f64 / 1e3;
            self.shared
                .metrics
                .observe(HistogramMetric::FirstTokenSeconds, class, seconds);
        }
    }

    /// What a fault that could not be resumed means for the request.
    fn failed_run(
        &self,
        fault: &TargetFault,
        grant: &RunGrant,
        client: &EngineClient,
    ) -> FailedRun {
        if self.answer.is_cancelled() {
            return FailedRun::last(cancelled_refusal(fault.verdict));
        }
        if self.total_left_ms() == 0 {
            let detail = "the answer was not whole within the time limit";
            return FailedRun::last(CallRefusal::may_have_run(
                RefusalReason::TimedOut,
                detail,
                FAILED_RETRY_MS,
            ));
        }
        let leaving = fault.kind == FaultKind::Rejected(RejectReason::Leaving);
        if leaving {
            self.note_leaving(grant.address, &grant.runner);
        }
        if fault.verdict == RequestVerdict::MayHaveRun {
            // The engine may still run it; its tokens are not wanted any more.
            let _ = client.cancel(self.call.attempt);
        }
        log::warn!(
            target: "dispatch", attempt:% = self.call.attempt, runner:% = grant.runner;
            "attempt failed: {fault}"
        );
        FailedRun {
            refusal: CallRefusal {
                verdict: fault.verdict,
                ..CallRefusal::not_run(
                    RefusalReason::TargetFailed,
                    &format!("the runner failed: {}", fault.kind),
                    FAILED_RETRY_MS,
                )
            },
            runner: Some(grant.runner.clone()),
            may_retry: true,
            is_free: is_unsuited(fault),
        }
    }

    /// Notes that a runner said that it is leaving.
    fn note_leaving(&self, address: SocketAddr, runner: &InstanceName) {
        self.shared
            .roster
            .note_leaving(address, self.shared.now_ms());
        self.group.set_leaving(runner, true);
    }
}

/// Whether the runner is healthy and only not the one for this attempt.
fn is_unsuited(fault: &TargetFault) -> bool {
    let unsuited = matches!(
        fault.kind,
        FaultKind::Rejected(RejectReason::Leaving | RejectReason::WrongVersion)
    );
    unsuited && fault.verdict == RequestVerdict::NotRun
}

/// Whether the engine may go on with the stream after `fault`.
pub(crate) fn is_resumable(fault: &TargetFault) -> bool {
    let kept = matches!(
        fault.kind,
        FaultKind::Silent | FaultKind::Cut | FaultKind::BadAnswer
    );
    kept && fault.verdict == RequestVerdict::MayHaveRun
}

/// The refusal of work whose runner is leaving.
fn leaving_refusal() -> CallRefusal {
    CallRefusal::not_run(
        RefusalReason::NoTarget,
        "the runner is leaving",
        FAILED_RETRY_MS,
    )
}

/// The answer to a cancelled request.
pub(crate) fn cancelled_refusal(verdict: RequestVerdict) -> CallRefusal {
    CallRefusal {
        verdict,
        ..CallRefusal::not_run(RefusalReason::Cancelled, "the caller cancelled it", 0)
    }
}

/// Cancels a request's engine stream, if it has one.
pub(crate) fn cancel_stream(shared: &DispatchShared, attempt: AttemptId, address: SocketAddr) {
    let client = EngineClient::new(address, shared.target_timeouts());
    if let Err(fault) = client.cancel(attempt) {
        log::info!(target: "dispatch", attempt:% = attempt; "cancelling failed: {fault}");
    }
}
