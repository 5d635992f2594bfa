//! Routes callers' requests.
//!
//! | request | serves |
//! | --- | --- |
//! | `GET /v1/locate` | entries to use, in order, with a time to live |
//! | `POST /v1/prompts` | a prompt, streamed or whole |
//! | `GET /v1/prompts/REQUEST` | the rest of an answer, from an offset |
//! | `DELETE /v1/prompts/REQUEST` | cancels |
//! | `POST /v1/orders/KEY` | work that may not run twice |
//! | `POST /v1/order-keys` | a fresh idempotency key |
//! | `GET /v1/reads/WORK/PATH` | a read from a plain service |

use crate::{
    auth::find_customer,
    http::{bad_request, json_answer, query_value, refusal_answer},
    prompts::{post_prompt, resume_prompt},
    resume::cancel_request,
    services::{get_read, post_order},
    shared::EntryShared,
};
use berylmount_http::{HttpAnswer, HttpCall, Method};
use berylmount_model::{unix_ms, CallRefusal, CustomerRow, RefusalReason, RequestId};
use berylmount_policy::assignment;
use berylmount_telemetry::root_span;
use serde::Serialize;
use std::{io, net::SocketAddr, sync::Arc};

/// The answer to `GET /v1/locate`.
#[derive(Debug, Serialize)]
struct LocateAnswer {
    /// Entries in the order in which to try them.
    addresses: Vec<SocketAddr>,
    /// How long the answer may be used, in milliseconds.
    ttl_ms: u64,
}

/// Serves one request.
pub(crate) fn serve_request(shared: &Arc<EntryShared>, call: HttpCall) {
    let sample = shared.settings.trace.sample;
    let span = root_span("entry", call.header("traceparent"), sample);
    let outcome = match (call.method(), call.path()) {
        (&Method::GET, "/v1/locate") => {
            let answer = locate(shared, call.query());
            call.respond(answer)
        }
        _ => serve_customer(shared, call, &span),
    };
    if let Err(e) = outcome {
        log::info!(target: "entry", "a caller was lost: {e}");
    }
}

/// Answers with the entries that a customer should use.
fn locate(shared: &EntryShared, query: &str) -> HttpAnswer {
    let customer = query_value(query, "customer").unwrap_or_default();
    let entries = shared.entries_for(customer);
    let view = shared.table.view();
    let row = berylmount_model::CustomerName::new(customer).ok();
    let row = row.and_then(|name| view.customer(&name));
    let own = row.map_or(1, |row| assignment::entry_count(row, entries.len()));
    let count = shared.located_count(own);
    let addresses = entries.iter().filter_map(|entry| entry.caller_address);
    let answer = LocateAnswer {
        addresses: addresses.take(count).collect(),
        ttl_ms: shared.settings.timeouts.locate_ttl.as_millis() as u64,
    };
    json_answer(200, &answer)
}

/// Serves a request that needs a customer.
fn serve_customer(
    shared: &Arc<EntryShared>,
    call: HttpCall,
    span: &berylmount_telemetry::Span,
) -> io::Result<()> {
    let view = shared.table.view();
    let found = shared
        .check_table()
        .and_then(|()| find_customer(&view, call.header("authorization")).cloned());
    let customer = match found {
        Ok(customer) => customer,
        Err(refusal) => {
            shared.note_refusal(&refusal);
            return call.respond(refusal_answer(&refusal));
        }
    };
    let route = call.path().strip_prefix("/v1/").unwrap_or_default();
    let (head, rest) = route.split_once('/').unwrap_or((route, ""));
    let answer = match (call.method(), head, rest) {
        (&Method::POST, "prompts", "") => {
            return post_prompt(shared, &view, &customer, call, span);
        }
        (&Method::GET, "prompts", id) => {
            let id = id.to_owned();
            return resume_prompt(shared, &customer.name, &id, call);
        }
        (&Method::DELETE, "prompts", id) => cancel(shared, &customer, id),
        (&Method::POST, "order-keys", "") => new_order_key(shared),
        (&Method::POST, "orders", key) => post_order(shared, &view, &customer, key, &call, span),
        (&Method::GET, "reads", rest) => {
            get_read(shared, &view, &customer, rest, call.query(), span)
        }
        _ => refusal_answer(&unknown_route()),
    };
    call.respond(answer)
}

/// Gives out an order key, which writes nothing.
fn new_order_key(shared: &EntryShared) -> HttpAnswer {
    match shared.key_mint.next_key(unix_ms()) {
        Some(key) => json_answer(200, &serde_json::json!({ "key": key })),
        None => refusal_answer(&CallRefusal::not_run(
            RefusalReason::Internal,
            "no order key could be made",
            0,
        )),
    }
}

/// Cancels a request.
fn cancel(shared: &EntryShared, customer: &CustomerRow, id: &str) -> HttpAnswer {
    let Ok(id) = id.parse::<RequestId>() else {
        return refusal_answer(&bad_request("a request id has 32 hexadecimal digits"));
    };
    let refusal = cancel_request(shared, &customer.name, id);
    match refusal.reason {
        RefusalReason::Cancelled => json_answer(200, &refusal),
        _ => refusal_answer(&refusal),
    }
}

/// The refusal of a path or method that is not served.
fn unknown_route() -> CallRefusal {
    CallRefusal::not_run(
        RefusalReason::NotFound,
        "no such path or method; the README lists them",
        0,
    )
}
