//! Callers' orders and reads to plain services.

use crate::{
    http::{bad_request, call_text, refusal_answer},
    members::MemberEntry,
    order_keys::order_route,
    prompts::find_work,
    shared::EntryShared,
};
use berylmount_http::{HttpAnswer, HttpCall};
use berylmount_model::{
    CallRefusal, CustomerRow, OrderKey, RefusalReason, RequestId, WorkName, WorkRow,
};
use berylmount_policy::assignment::{self, MemberWeight};
use berylmount_table::TableView;
use berylmount_telemetry::{next_traceparent, CounterMetric, Span};
use berylmount_wire::{
    AnswerBody, OrderCall, PeerService, ReadCall, WireFault, WorkReply, WorkRequest,
};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::{sync::Arc, time::Duration};

/// Dispatch processes asked before a call is refused.
const MAX_MEMBERS: usize = 3;

/// Time beyond the call's own limit that an entry waits for dispatch.
const GRACE: Duration = Duration::from_millis(500);

/// When to come back after a failure, in milliseconds.
const FAILED_RETRY_MS: u64 = 500;

/// A caller's order.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct OrderBody {
    /// The kind of work.
    work: WorkName,
    /// What the service is sent.
    body: Box<RawValue>,
}

/// Dispatch processes for a service call, the one that usually serves `key` first.
fn ranked_members(shared: &EntryShared, key: &str) -> Vec<MemberEntry> {
    let list = shared.list();
    let names: Vec<_> = list
        .dispatches
        .iter()
        .map(|member| MemberWeight::equal(member.name.as_str()))
        .collect();
    let ranked = assignment::rank_members(key.as_bytes(), &names, MAX_MEMBERS);
    ranked
        .into_iter()
        .map(|place| list.dispatches[place].clone())
        .collect()
}

/// Asks dispatch processes in turn, as long as nothing may have run.
fn ask_members(
    shared: &EntryShared,
    members: &[MemberEntry],
    message: &WorkRequest,
    total_ms: u64,
) -> Result<AnswerBody, CallRefusal> {
    let mut refusal = CallRefusal::not_run(
        RefusalReason::NoTarget,
        "no dispatch process can be reached",
        FAILED_RETRY_MS,
    );
    let wait = Duration::from_millis(total_ms) + GRACE;
    for member in members {
        let reply = shared
            .client
            .open(member.address, PeerService::Work, message)
            .and_then(|call| call.receive::<WorkReply>(wait));
        refusal = match reply {
            Ok(WorkReply::Answer(answer)) => return Ok(answer),
            Ok(WorkReply::Refused(refusal)) => refusal,
            Ok(_) => lost(&WireFault::Malformed("no service's answer".to_owned())),
            Err(fault) => lost(&fault),
        };
        let elsewhere = matches!(
            refusal.reason,
            RefusalReason::Redirected | RefusalReason::TargetFailed
        );
        if !elsewhere || !refusal.verdict.allows_retry(false) {
            break;
        }
    }
    Err(refusal)
}

/// The refusal that a lost call ends in.
fn lost(fault: &WireFault) -> CallRefusal {
    CallRefusal {
        verdict: fault.verdict(),
        ..CallRefusal::not_run(
            RefusalReason::TargetFailed,
            &format!("the call to dispatch failed: {fault}"),
            FAILED_RETRY_MS,
        )
    }
}

/// The response to a service call, counted.
fn respond(shared: &EntryShared, outcome: Result<AnswerBody, CallRefusal>) -> HttpAnswer {
    match outcome {
        Ok(answer) => {
            shared.metrics.add(CounterMetric::RequestsTotal, "ran", 1);
            let recorded = if answer.recorded { "true" } else { "false" };
            HttpAnswer::json(200, answer.body.into_bytes())
                .with_header("berylmount-recorded", recorded)
        }
        Err(refusal) => {
            shared.note_refusal(&refusal);
            refusal_answer(&refusal)
        }
    }
}

/// Serves `POST /v1/orders/KEY`.
pub(crate) fn post_order(
    shared: &Arc<EntryShared>,
    view: &TableView,
    customer: &CustomerRow,
    key: &str,
    call: &HttpCall,
    span: &Span,
) -> HttpAnswer {
    let outcome = order(shared, view, customer, key, call, span);
    respond(shared, outcome)
}

/// Checks an order and has it run.
fn order(
    shared: &Arc<EntryShared>,
    view: &TableView,
    customer: &CustomerRow,
    key: &str,
    call: &HttpCall,
    span: &Span,
) -> Result<AnswerBody, CallRefusal> {
    let key = OrderKey::new(key).map_err(|e| bad_request(&e.to_string()))?;
    let body: OrderBody =
        serde_json::from_str(call_text(call)?).map_err(|e| bad_request(&e.to_string()))?;
    let work = find_service_work(view, &body.work)?;
    let limit = view.limit(&customer.name, &work.name);
    let _guard = shared.admit(customer, &work.name, limit)?;
    let route = order_route(&customer.name, &key).unwrap_or_default();
    let message = WorkRequest::Order(OrderCall {
        request: RequestId::new(0, shared.draw_count()),
        customer: customer.name.clone(),
        work: work.name.clone(),
        pool: work.pool.clone(),
        key,
        body: body.body.get().to_owned(),
        total_ms: work.total_ms,
        traceparent: next_traceparent(span).unwrap_or_default(),
    });
    // Orders of one ledger segment reach one process, which groups their writes.
    let members = ranked_members(shared, &route);
    ask_members(shared, &members, &message, work.total_ms)
}

/// The row of a kind of work on a plain service.
fn find_service_work<'a>(view: &'a TableView, name: &WorkName) -> Result<&'a WorkRow, CallRefusal> {
    let work = find_work(view, name)?;
    if work.model.is_some() {
        let detail = format!("{name} is work for a model; send it to /v1/prompts");
        return Err(bad_request(&detail));
    }
    Ok(work)
}

/// Serves `GET /v1/reads/WORK/PATH`.
pub(crate) fn get_read(
    shared: &Arc<EntryShared>,
    view: &TableView,
    customer: &CustomerRow,
    rest: &str,
    query: &str,
    span: &Span,
) -> HttpAnswer {
    let outcome = read(shared, view, customer, rest, query, span);
    respond(shared, outcome)
}

/// Checks a read and has it run.
fn read(
    shared: &Arc<EntryShared>,
    view: &TableView,
    customer: &CustomerRow,
    rest: &str,
    query: &str,
    span: &Span,
) -> Result<AnswerBody, CallRefusal> {
    let (work, path) = rest
        .split_once('/')
        .ok_or_else(|| bad_request("a read is /v1/reads/WORK/PATH"))?;
    let name = WorkName::new(work).map_err(|e| bad_request(&e.to_string()))?;
    let work = find_service_work(view, &name)?;
    if !work.idempotent {
        let detail = format!("{name} may not run twice; send it to /v1/orders/KEY");
        return Err(bad_request(&detail));
    }
    let limit = view.limit(&customer.name, &work.name);
    let _guard = shared.admit(customer, &work.name, limit)?;
    let path = match query {
        "" => path.to_owned(),
        query => format!("{path}?{query}"),
    };
    let message = WorkRequest::Read(ReadCall {
        request: RequestId::new(0, shared.draw_count()),
        customer: customer.name.clone(),
        pool: work.pool.clone(),
        path,
        total_ms: work.total_ms,
        traceparent: next_traceparent(span).unwrap_or_default(),
    });
    let members = ranked_members(shared, work.pool.as_str());
    ask_members(shared, &members, &message, work.total_ms)
}
