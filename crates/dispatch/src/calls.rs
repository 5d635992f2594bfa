//! Serves the calls of entry processes.
//!
//! One thread takes calls from the wire; each call is served on a thread of
//! its own, and their number is bounded. A call that is not served is refused
//! as not run.

use crate::{
    adopt::AdoptedRun,
    run::{cancel_stream, PromptRun},
    services,
    shared::{DispatchShared, LOOK_INTERVAL},
    AnswerEnd, AnswerPart, AnswerReader, HeldAnswer,
};
use berylmount_model::{AttemptId, CallRefusal, CustomerName, RefusalReason, RequestId};
use berylmount_wire::{
    AdoptCall, InboundCall, PeerCall, PromptCall, ResumeCall, WireFault, WorkReply, WorkRequest,
};
use std::{
    io,
    sync::{mpsc::Receiver, Arc},
    thread,
    time::Duration,
};

/// Wait for a call's first message.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Wait for room to send one reply.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Stack of a thread that serves one call, in bytes.
const CALL_STACK_BYTES: usize = 256 * 1024;

/// Serves calls until the channel closes.
pub(crate) fn serve_calls(shared: &Arc<DispatchShared>, calls: &Receiver<InboundCall>) {
    for InboundCall { call, .. } in calls {
        let served = Arc::clone(shared);
        let guard = shared.tracker.enter();
        let spawned = spawn_call("call", move || {
            let _guard = guard;
            serve_call(&served, call);
        });
        if let Err(e) = spawned {
            log::error!(target: "dispatch", "no thread for a call: {e}");
        }
    }
}

/// Starts a thread for one call.
fn spawn_call(name: &str, serve: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let builder = thread::Builder::new()
        .name(name.to_owned())
        .stack_size(CALL_STACK_BYTES);
    builder.spawn(serve).map(drop)
}

/// Serves one call.
fn serve_call(shared: &Arc<DispatchShared>, call: PeerCall) {
    let request = match call.receive::<WorkRequest>(FIRST_MESSAGE_TIMEOUT) {
        Ok(request) => request,
        Err(fault) => {
            log::info!(target: "dispatch", "a call brought no request: {fault}");
            return;
        }
    };
    let outcome = match request {
        WorkRequest::Prompt(prompt) => serve_prompt(shared, &call, &prompt),
        WorkRequest::Resume(resume) => serve_resume(shared, &call, &resume),
        WorkRequest::Adopt(adopt) => serve_adopt(shared, &call, &adopt),
        WorkRequest::Cancel { request, customer } => {
            let reply = cancel_request(shared, request, &customer);
            call.send(&WorkReply::Refused(reply), SEND_TIMEOUT)
        }
        WorkRequest::Order(order) => {
            let reply = services::serve_order(shared, &order);
            call.send(&reply, SEND_TIMEOUT)
        }
        WorkRequest::Read(read) => {
            let reply = services::serve_read(shared, &read);
            call.send(&reply, SEND_TIMEOUT)
        }
    };
    match outcome {
        Ok(()) => call.finish(),
        Err(fault) => log::info!(target: "dispatch", "an entry was lost: {fault}"),
    }
}

/// Runs a prompt and passes its answer on.
fn serve_prompt(
    shared: &Arc<DispatchShared>,
    call: &PeerCall,
    prompt: &PromptCall,
) -> Result<(), WireFault> {
    if let Err(refusal) = shared.check_room() {
        return call.send(&WorkReply::Refused(refusal), SEND_TIMEOUT);
    }
    let opened = shared.answers.open(prompt.attempt, &prompt.customer);
    let (answer, is_new) = match opened {
        Some((answer, _)) if !answer.belongs_to(&prompt.customer) => {
            return call.send(&WorkReply::Refused(not_found()), SEND_TIMEOUT);
        }
        Some(opened) => opened,
        None => {
            let detail = "too many answers are held";
            let refusal = CallRefusal::not_run(RefusalReason::Overloaded, detail, 1_000);
            return call.send(&WorkReply::Refused(refusal), SEND_TIMEOUT);
        }
    };
    if is_new {
        let run = PromptRun::new(shared, prompt, &answer);
        let guard = shared.tracker.enter();
        let spawned = spawn_call("run", move || {
            let _guard = guard;
            run.run();
        });
        if let Err(e) = spawned {
            end_unstarted(shared, &answer, &e);
        }
    }
    pass_answer(call, &answer, AnswerReader::new(prompt.attempt, 0))
}

/// Ends an answer for whose run there was no thread.
fn end_unstarted(shared: &DispatchShared, answer: &HeldAnswer, error: &io::Error) {
    let detail = format!("no thread for the run: {error}");
    let refusal = CallRefusal::not_run(RefusalReason::Overloaded, &detail, 1_000);
    answer.end(AnswerEnd::Refused(refusal), shared.now_ms());
}

/// Goes on with an answer that is held here.
fn serve_resume(
    shared: &DispatchShared,
    call: &PeerCall,
    resume: &ResumeCall,
) -> Result<(), WireFault> {
    let answer = shared
        .answers
        .find(resume.attempt.request, &resume.customer);
    match answer {
        Some(answer) => {
            let reader = AnswerReader::new(resume.attempt, resume.offset);
            pass_answer(call, &answer, reader)
        }
        None => call.send(&WorkReply::Refused(not_found()), SEND_TIMEOUT),
    }
}

/// Goes on with an engine's stream that another dispatch process started.
fn serve_adopt(
    shared: &Arc<DispatchShared>,
    call: &PeerCall,
    adopt: &AdoptCall,
) -> Result<(), WireFault> {
    // Adopting is allowed while stopping too: the request is under way already.
    if !shared.roster.is_runner(adopt.address) {
        return call.send(&WorkReply::Refused(not_found()), SEND_TIMEOUT);
    }
    let opened = shared.answers.open(adopt.attempt, &adopt.customer);
    let Some((answer, is_new)) = opened.filter(|(answer, _)| answer.belongs_to(&adopt.customer))
    else {
        return call.send(&WorkReply::Refused(not_found()), SEND_TIMEOUT);
    };
    if is_new {
        let guard = shared.tracker.enter();
        let (shared, answer, adopt) = (Arc::clone(shared), Arc::clone(&answer), adopt.clone());
        let spawned = spawn_call("adopt", move || {
            let _guard = guard;
            AdoptedRun::new(&shared, &adopt, &answer).run();
        });
        if let Err(e) = spawned {
            log::error!(target: "dispatch", "no thread for an adopted stream: {e}");
        }
    }
    pass_answer(
        call,
        &answer,
        AnswerReader::new(adopt.attempt, adopt.offset),
    )
}

/// Cancels a request and says so.
fn cancel_request(
    shared: &DispatchShared,
    request: RequestId,
    customer: &CustomerName,
) -> CallRefusal {
    let Some(answer) = shared.answers.find(request, customer) else {
        return not_found();
    };
    answer.cancel();
    if let Some(run) = answer.started() {
        cancel_stream(shared, run.attempt, run.address);
    }
    CallRefusal::may_have_run(RefusalReason::Cancelled, "the request is cancelled", 0)
}

/// Passes an answer on from the reader's place to its end.
fn pass_answer(
    call: &PeerCall,
    answer: &HeldAnswer,
    mut reader: AnswerReader,
) -> Result<(), WireFault> {
    loop {
        let Some(part) = answer.next_part(&mut reader, LOOK_INTERVAL) else {
            if call.is_closed() {
                return Err(WireFault::Lost("the entry dropped the call".to_owned()));
            }
            continue;
        };
        match part {
            AnswerPart::Started(run) => call.send(&WorkReply::Started(run), SEND_TIMEOUT)?,
            AnswerPart::Tokens {
                attempt,
                offset,
                texts,
            } => pass_tokens(call, attempt, offset, texts)?,
            AnswerPart::End(attempt, end) => {
                return call.send(&end_reply(attempt, end), SEND_TIMEOUT)
            }
        }
    }
}

/// Passes tokens on, one frame each.
fn pass_tokens(
    call: &PeerCall,
    attempt: AttemptId,
    offset: u64,
    texts: Vec<String>,
) -> Result<(), WireFault> {
    for (offset, text) in (offset..).zip(texts) {
        let token = WorkReply::Token {
            attempt,
            offset,
            text,
        };
        call.send(&token, SEND_TIMEOUT)?;
    }
    Ok(())
}

/// The last reply of an answer.
fn end_reply(attempt: AttemptId, end: AnswerEnd) -> WorkReply {
    match end {
        AnswerEnd::Whole { count, digest } => WorkReply::End {
            attempt,
            count,
            digest,
        },
        AnswerEnd::Refused(refusal) => WorkReply::Refused(refusal),
    }
}

/// The refusal of a request that is not held here for this customer.
fn not_found() -> CallRefusal {
    let detail = "no such answer is held here";
    CallRefusal::may_have_run(RefusalReason::NotFound, detail, 0)
}
