//! Goes on with an engine stream that another dispatch process started.
//!
//! The engine keeps the stream; this process reads it from its first token, so
//! that it holds the whole answer and can check count and digest.

use crate::{
    run::{cancelled_refusal, is_resumable, FAILED_RETRY_MS, MAX_RESUMES},
    shared::DispatchShared,
    AnswerEnd, HeldAnswer,
};
use berylmount_model::{CallRefusal, RefusalReason, RequestVerdict};
use berylmount_targets::{
    EngineClient, EngineStream, FaultKind, RejectReason, StreamEvent, TargetFault,
};
use berylmount_wire::{AdoptCall, StartedRun};

/// An engine stream that is followed for another process.
pub(crate) struct AdoptedRun<'a> {
    shared: &'a DispatchShared,
    call: &'a AdoptCall,
    answer: &'a HeldAnswer,
    client: EngineClient,
    ends_ms: u64,
}

impl<'a> AdoptedRun<'a> {
    /// Prepares to follow the stream of `call` into `answer`.
    pub(crate) fn new(
        shared: &'a DispatchShared,
        call: &'a AdoptCall,
        answer: &'a HeldAnswer,
    ) -> Self {
        Self {
            client: EngineClient::new(call.address, shared.target_timeouts()),
            ends_ms: shared.now_ms().saturating_add(call.total_ms),
            shared,
            call,
            answer,
        }
    }

    /// Follows the stream to its end.
    pub(crate) fn run(&self) {
        let mut tries = 0;
        let end = loop {
            tries += 1;
            let before = self.answer.count();
            let offset = u32::try_from(before).unwrap_or(u32::MAX);
            let stream = self.client.resume(self.call.attempt, offset);
            let fault = match stream.and_then(|stream| self.follow(stream)) {
                Ok(end) => break end,
                Err(fault) => fault,
            };
            if self.answer.count() > before {
                tries = 0;
            }
            if !is_resumable(&fault) || tries == MAX_RESUMES || self.is_over() {
                break AnswerEnd::Refused(self.refusal(&fault));
            }
        };
        self.answer.end(end, self.shared.now_ms());
    }

    /// Whether the time limit has passed or the caller cancelled the request.
    fn is_over(&self) -> bool {
        self.answer.is_cancelled() || self.shared.now_ms() >= self.ends_ms
    }

    /// The answer to a stream that could not be followed to its end.
    fn refusal(&self, fault: &TargetFault) -> CallRefusal {
        if self.answer.is_cancelled() {
            return cancelled_refusal(RequestVerdict::MayHaveRun);
        }
        let (reason, detail) = match self.is_over() {
            true => (
                RefusalReason::TimedOut,
                "the answer was not whole within the time limit".to_owned(),
            ),
            false => (
                RefusalReason::TargetFailed,
                format!("the engine stream could not be resumed: {fault}"),
            ),
        };
        CallRefusal::may_have_run(reason, &detail, FAILED_RETRY_MS)
    }

    /// The start of the run as far as it is known here.
    fn started(&self, prompt_tokens: u32, cached_tokens: u32) -> StartedRun {
        StartedRun {
            attempt: self.call.attempt,
            runner: self.call.runner.clone(),
            address: self.call.address,
            prompt_tokens: prompt_tokens.into(),
            cached_tokens: cached_tokens.into(),
            fetched_tokens: 0,
            group_waits_ms: [0; 4],
        }
    }

    /// Passes a stream's events into the answer.
    fn follow(&self, mut stream: EngineStream) -> Result<AnswerEnd, TargetFault> {
        self.answer.start(&self.started(0, 0));
        while let Some(event) = stream.next_event()? {
            match event {
                StreamEvent::Admitted {
                    cached_tokens,
                    prompt_tokens,
                    ..
                } => self
                    .answer
                    .start(&self.started(prompt_tokens, cached_tokens)),
                StreamEvent::Waiting => {}
                StreamEvent::Token { text, .. } => self.answer.add_token(&text),
                StreamEvent::End { count, digest } => {
                    return Ok(AnswerEnd::Whole {
                        count: count.into(),
                        digest,
                    });
                }
            }
            if self.is_over() {
                // The engine need not compute what nobody waits for.
                let _ = self.client.cancel(self.call.attempt);
                break;
            }
        }
        Err(TargetFault {
            verdict: RequestVerdict::MayHaveRun,
            kind: FaultKind::Rejected(RejectReason::Cancelled),
            detail: "the run was given up".to_owned(),
        })
    }
}
