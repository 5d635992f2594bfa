//! Brings an answer that is under way to a caller who lost its connection.
//!
//! The request's identifier names the dispatch process that holds the answer,
//! so any entry finds it without an index.

use crate::{
    members::MemberEntry,
    relay::{PartSink, RelayFailure, RelayPart},
    shared::EntryShared,
};
use berylmount_model::{AttemptId, CallRefusal, CustomerName, RefusalReason, RequestId};
use berylmount_telemetry::CounterMetric;
use berylmount_wire::{
    PeerCall, PeerService, ResumeCall, StartedRun, WireFault, WorkReply, WorkRequest,
};
use std::time::Duration;

/// Wait for the next reply of a resumed answer.
const REPLY_TIMEOUT: Duration = Duration::from_secs(60);

/// Wait for the answer to a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(3);

/// Times that one dispatch process is asked for an answer.
const MAX_TRIES: usize = 3;

/// When to come back to an answer that was lost on its way, in milliseconds.
const LOST_RETRY_MS: u64 = 200;

/// How one call for an answer ended.
enum ResumeEnd {
    /// The answer is whole and passed on.
    Done,
    /// The process does not hold it.
    NotHere(CallRefusal),
    /// The call was lost.
    Lost(WireFault),
}

/// An answer that its caller goes on with.
pub(crate) struct AnswerResume<'a> {
    /// What the process shares.
    pub(crate) shared: &'a EntryShared,
    /// Who asks.
    pub(crate) customer: &'a CustomerName,
    /// The attempt whose tokens the caller has.
    pub(crate) attempt: AttemptId,
    /// The next token wanted.
    pub(crate) offset: u64,
}

impl AnswerResume<'_> {
    /// Passes the rest of the answer on.
    ///
    /// # Errors
    ///
    /// Says whether the caller is gone or no process holds the answer.
    pub(crate) fn run(mut self, sink: PartSink<'_>) -> Result<(), RelayFailure> {
        let list = self.shared.list();
        let mut refusal =
            CallRefusal::may_have_run(RefusalReason::NotFound, "no process holds this answer", 0);
        for member in list.holders(self.attempt.request, &[]) {
            for _ in 0..MAX_TRIES {
                match self.ask(member, sink)? {
                    ResumeEnd::Done => return Ok(()),
                    ResumeEnd::Lost(WireFault::NotSent(_)) => break,
                    ResumeEnd::NotHere(next) => {
                        if next.reason != RefusalReason::NotFound {
                            refusal = next;
                        }
                        break;
                    }
                    ResumeEnd::Lost(fault) => {
                        let detail = format!("the answer was lost on its way: {fault}");
                        let reason = RefusalReason::TargetFailed;
                        refusal = CallRefusal::may_have_run(reason, &detail, LOST_RETRY_MS);
                    }
                }
            }
        }
        Err(RelayFailure::Refused(refusal))
    }

    /// Asks one process for the rest of the answer.
    fn ask(&mut self, member: &MemberEntry, sink: PartSink<'_>) -> Result<ResumeEnd, RelayFailure> {
        self.shared
            .metrics
            .add(CounterMetric::RetriesTotal, "resume", 1);
        let request = WorkRequest::Resume(ResumeCall {
            attempt: self.attempt,
            customer: self.customer.clone(),
            offset: self.offset,
        });
        let client = &self.shared.client;
        match client.open(member.address, PeerService::Work, &request) {
            Ok(call) => self.receive_all(&call, sink),
            Err(fault) => Ok(ResumeEnd::Lost(fault)),
        }
    }

    /// Passes replies on until the call ends.
    fn receive_all(
        &mut self,
        call: &PeerCall,
        sink: PartSink<'_>,
    ) -> Result<ResumeEnd, RelayFailure> {
        loop {
            let part = match call.receive::<WorkReply>(REPLY_TIMEOUT) {
                Ok(WorkReply::Started(run)) => {
                    self.take_start(&run);
                    sink(RelayPart::Started(&run))
                }
                Ok(WorkReply::Token {
                    attempt,
                    offset,
                    text,
                }) if (attempt, offset) == (self.attempt, self.offset) => {
                    self.offset += 1;
                    let text = &text;
                    sink(RelayPart::Token { offset, text })
                }
                Ok(WorkReply::End {
                    attempt,
                    count,
                    digest,
                }) if (attempt, count) == (self.attempt, self.offset) => {
                    let digest = &digest;
                    sink(RelayPart::End { count, digest }).map_err(|_| RelayFailure::CallerGone)?;
                    return Ok(ResumeEnd::Done);
                }
                Ok(WorkReply::Refused(refusal)) => return Ok(ResumeEnd::NotHere(refusal)),
                Ok(_) => {
                    let fault = WireFault::Malformed("a frame out of order".to_owned());
                    return Ok(ResumeEnd::Lost(fault));
                }
                Err(fault) => return Ok(ResumeEnd::Lost(fault)),
            };
            part.map_err(|_| RelayFailure::CallerGone)?;
        }
    }

    /// Takes in the start of a run; another attempt starts from token zero.
    fn take_start(&mut self, run: &StartedRun) {
        if run.attempt != self.attempt {
            self.attempt = run.attempt;
            self.offset = 0;
        }
    }
}

/// Cancels a request wherever its answer is held.
pub(crate) fn cancel_request(
    shared: &EntryShared,
    customer: &CustomerName,
    request: RequestId,
) -> CallRefusal {
    let list = shared.list();
    let message = WorkRequest::Cancel {
        request,
        customer: customer.clone(),
    };
    for member in list.holders(request, &[]) {
        let opened = shared
            .client
            .open(member.address, PeerService::Work, &message);
        let reply = opened.and_then(|call| call.receive::<WorkReply>(CANCEL_TIMEOUT));
        match reply {
            Ok(WorkReply::Refused(refusal)) if refusal.reason == RefusalReason::Cancelled => {
                return refusal;
            }
            Ok(_) | Err(_) => {}
        }
    }
    CallRefusal::may_have_run(RefusalReason::NotFound, "no process holds this answer", 0)
}
