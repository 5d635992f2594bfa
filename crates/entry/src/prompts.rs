//! Callers' prompts: checks, streams and whole answers.

use crate::{
    http::{bad_request, call_text, json_answer, query_value, refusal_answer, LineWriter},
    relay::{PromptRelay, RelayFailure, RelayPart},
    resume::AnswerResume,
    shared::EntryShared,
};
use berylmount_http::HttpCall;
use berylmount_model::{
    AttemptId, CallRefusal, CustomerName, CustomerRow, InstanceName, PieceScope, RefusalReason,
    RequestId, WorkClass, WorkName, WorkRow,
};
use berylmount_table::TableView;
use berylmount_telemetry::{next_traceparent, CounterMetric, HistogramMetric, Span};
use berylmount_wire::{PromptCall, StartedRun};
use serde::{Deserialize, Serialize};
use std::{io, sync::Arc};

/// A caller's prompt.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PromptBody {
    /// The kind of work.
    work: WorkName,
    /// The prompt.
    prompt: String,
    /// The longest answer, in tokens; the row's limit if it is left out.
    max_tokens: Option<u32>,
    /// Whether the answer comes token by token.
    #[serde(default)]
    stream: bool,
}

/// One line of a streamed answer.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum AnswerLine<'a> {
    /// A run started; it replaces every token before it.
    Started {
        request: RequestId,
        attempt: u32,
        runner: &'a InstanceName,
        prompt_tokens: u64,
        cached_tokens: u64,
        fetched_tokens: u64,
        recomputed_tokens: u64,
    },
    /// The next token.
    Token { offset: u64, text: &'a str },
    /// The answer is whole.
    End { count: u64, digest: &'a str },
    /// The request is given up on.
    Refused(&'a CallRefusal),
}

impl<'a> From<&RelayPart<'a>> for AnswerLine<'a> {
    fn from(part: &RelayPart<'a>) -> Self {
        match *part {
            RelayPart::Started(run) => Self::Started {
                request: run.attempt.request,
                attempt: run.attempt.attempt,
                runner: &run.runner,
                prompt_tokens: run.prompt_tokens,
                cached_tokens: run.cached_tokens,
                fetched_tokens: run.fetched_tokens,
                recomputed_tokens: run.prompt_tokens.saturating_sub(run.cached_tokens),
            },
            RelayPart::Token { offset, text } => Self::Token { offset, text },
            RelayPart::End { count, digest } => Self::End { count, digest },
        }
    }
}

/// A whole answer.
#[derive(Debug, Default, Serialize)]
struct WholeAnswer {
    request: Option<RequestId>,
    attempt: u32,
    prompt_tokens: u64,
    cached_tokens: u64,
    fetched_tokens: u64,
    recomputed_tokens: u64,
    text: String,
    count: u64,
    digest: String,
}

impl WholeAnswer {
    /// Takes the next part in.
    fn add(&mut self, part: &RelayPart<'_>) {
        match *part {
            RelayPart::Started(run) => *self = Self::started(run),
            RelayPart::Token { text, .. } => self.text.push_str(text),
            RelayPart::End { count, digest } => {
                self.count = count;
                self.digest = digest.to_owned();
            }
        }
    }

    /// An answer without tokens yet.
    fn started(run: &StartedRun) -> Self {
        Self {
            request: Some(run.attempt.request),
            attempt: run.attempt.attempt,
            prompt_tokens: run.prompt_tokens,
            cached_tokens: run.cached_tokens,
            fetched_tokens: run.fetched_tokens,
            recomputed_tokens: run.prompt_tokens.saturating_sub(run.cached_tokens),
            ..Self::default()
        }
    }
}

/// The row of a kind of work that `customer` may use on a pool of engines.
///
/// # Errors
///
/// Refuses work that no row names.
pub(crate) fn find_work<'a>(
    view: &'a TableView,
    name: &WorkName,
) -> Result<&'a WorkRow, CallRefusal> {
    view.work(name).ok_or_else(|| {
        let detail = format!("no row names the kind of work {name}");
        CallRefusal::not_run(RefusalReason::UnknownWork, &detail, 0)
    })
}

/// Checks a prompt against its row and makes the call for dispatch.
///
/// # Errors
///
/// Refuses what the row does not allow.
fn make_call(
    shared: &EntryShared,
    view: &TableView,
    customer: &CustomerRow,
    body: PromptBody,
    span: &Span,
) -> Result<PromptCall, CallRefusal> {
    let work = find_work(view, &body.work)?;
    let scope = piece_scope(shared, view, customer, work)?;
    let tokens = body.prompt.split_whitespace().count();
    if tokens == 0 {
        return Err(bad_request("the prompt is empty"));
    }
    if tokens > work.max_prompt_tokens as usize {
        let most = work.max_prompt_tokens;
        let detail = format!(
            "a prompt of {} has at most {most} tokens, found {tokens}",
            work.name
        );
        return Err(bad_request(&detail));
    }
    let max_tokens = body.max_tokens.unwrap_or(work.max_tokens);
    if max_tokens == 0 || max_tokens > work.max_tokens {
        let detail = format!(
            "max_tokens is from 1 to {}, found {max_tokens}",
            work.max_tokens
        );
        return Err(bad_request(&detail));
    }
    Ok(PromptCall {
        attempt: AttemptId {
            request: RequestId::new(0, 0),
            attempt: 0,
        },
        customer: customer.name.clone(),
        customer_weight: customer.weight,
        work: work.name.clone(),
        class: work.class,
        idempotent: work.idempotent,
        pool: work.pool.clone(),
        data_centre: shared.settings.data_centre.clone(),
        group: 0,
        scope,
        prompt: body.prompt,
        max_tokens,
        first_token_ms: work.first_token_ms,
        total_ms: work.total_ms,
        traceparent: next_traceparent(span).unwrap_or_default(),
    })
}

/// The scope of kept cache for a customer's work, with its weight version.
fn piece_scope(
    shared: &EntryShared,
    view: &TableView,
    customer: &CustomerRow,
    work: &WorkRow,
) -> Result<PieceScope, CallRefusal> {
    let model = work.model.as_ref().and_then(|name| view.model(name));
    let Some(model) = model else {
        let detail = format!("{} is no work for a model", work.name);
        return Err(CallRefusal::not_run(RefusalReason::UnknownWork, &detail, 0));
    };
    Ok(PieceScope {
        deployment: shared.settings.deployment.to_string(),
        customer_scope: customer.cache_scope.clone(),
        model: model.name.clone(),
        version: customer.version.as_ref().unwrap_or(&model.version).clone(),
        adapter: work.adapter.clone(),
    })
}

/// Serves `POST /v1/prompts`.
pub(crate) fn post_prompt(
    shared: &Arc<EntryShared>,
    view: &TableView,
    customer: &CustomerRow,
    call: HttpCall,
    span: &Span,
) -> io::Result<()> {
    let prepared = call_text(&call)
        .and_then(|text| {
            serde_json::from_str::<PromptBody>(text).map_err(|e| bad_request(&e.to_string()))
        })
        .and_then(|body| {
            let stream = body.stream;
            let prompt = make_call(shared, view, customer, body, span)?;
            let limit = view.limit(&customer.name, &prompt.work);
            let guard = shared.admit(customer, &prompt.work, limit)?;
            Ok((prompt, stream, guard))
        });
    let (prompt, stream, _guard) = match prepared {
        Ok(prepared) => prepared,
        Err(refusal) => {
            shared.note_refusal(&refusal);
            return call.respond(refusal_answer(&refusal));
        }
    };
    let class = prompt.class;
    let began_ms = shared.now_ms();
    let mut relay = PromptRelay::new(shared, prompt);
    let mut answer = AnswerSink::new(call, stream);
    let outcome = relay.run(&mut |part| answer.take(&part));
    let seconds = (shared.now_ms() - began_ms) as f64 / 1e3;
    note_outcome(shared, class, &outcome, seconds);
    answer.close(outcome)
}

/// Counts the end of a prompt.
fn note_outcome(
    shared: &EntryShared,
    class: WorkClass,
    outcome: &Result<(), RelayFailure>,
    seconds: f64,
) {
    match outcome {
        Ok(()) => {
            let class: &str = class.into();
            let metrics = &shared.metrics;
            metrics.add(CounterMetric::RequestsTotal, "ran", 1);
            metrics.observe(HistogramMetric::AnswerSeconds, class, seconds);
        }
        Err(RelayFailure::Refused(refusal)) => shared.note_refusal(refusal),
        Err(RelayFailure::CallerGone) => {}
    }
}

/// Serves `GET /v1/prompts/REQUEST?attempt=N&offset=N`.
pub(crate) fn resume_prompt(
    shared: &EntryShared,
    customer: &CustomerName,
    id: &str,
    call: HttpCall,
) -> io::Result<()> {
    let number = |name: &str| match query_value(call.query(), name) {
        None => Ok(0),
        Some(text) => text
            .parse::<u64>()
            .map_err(|_| bad_request(&format!("{name} is a number, found {text:?}"))),
    };
    let parsed = id
        .parse::<RequestId>()
        .map_err(|e| bad_request(&e.to_string()))
        .and_then(|request| Ok((request, number("attempt")?, number("offset")?)));
    let (id, attempt, offset) = match parsed {
        Ok(parsed) => parsed,
        Err(refusal) => return call.respond(refusal_answer(&refusal)),
    };
    let attempt = AttemptId {
        request: id,
        attempt: u32::try_from(attempt).unwrap_or(u32::MAX),
    };
    let resume = AnswerResume {
        shared,
        customer,
        attempt,
        offset,
    };
    let mut answer = AnswerSink::new(call, true);
    let outcome = resume.run(&mut |part| answer.take(&part));
    answer.close(outcome)
}

/// Where an answer goes: to a stream as it comes, or to one body at its end.
enum AnswerSink {
    /// Nothing was written yet; lines will follow.
    Waiting(Option<HttpCall>),
    /// Lines are being written.
    Lines(LineWriter),
    /// The answer is collected.
    Whole(HttpCall, Box<WholeAnswer>),
}

impl AnswerSink {
    /// A sink that answers `call`, token by token or whole.
    fn new(call: HttpCall, stream: bool) -> Self {
        match stream {
            true => Self::Waiting(Some(call)),
            false => Self::Whole(call, Box::default()),
        }
    }

    /// Takes the next part; an error says that the caller is gone.
    fn take(&mut self, part: &RelayPart<'_>) -> io::Result<()> {
        if let Self::Waiting(call) = self {
            let call = call.take();
            let call = call.ok_or_else(|| io::Error::other("the answer has begun"))?;
            *self = Self::Lines(LineWriter::start(call)?);
        }
        match self {
            Self::Lines(writer) => writer.write_line(&AnswerLine::from(part)),
            Self::Whole(_, answer) => {
                answer.add(part);
                Ok(())
            }
            Self::Waiting(_) => Ok(()),
        }
    }

    /// Ends the answer.
    fn close(self, outcome: Result<(), RelayFailure>) -> io::Result<()> {
        let refusal = match outcome {
            Ok(()) => None,
            Err(RelayFailure::Refused(refusal)) => Some(refusal),
            Err(RelayFailure::CallerGone) => return Ok(()),
        };
        match (self, refusal) {
            (Self::Lines(mut writer), Some(refusal)) => {
                writer.write_line(&AnswerLine::Refused(&refusal))?;
                writer.finish()
            }
            (Self::Lines(writer), None) => writer.finish(),
            (Self::Whole(call, answer), None) => call.respond(json_answer(200, &*answer)),
            (Self::Whole(call, _) | Self::Waiting(Some(call)), Some(refusal)) => {
                call.respond(refusal_answer(&refusal))
            }
            (Self::Waiting(_), _) => Ok(()),
        }
    }
}
