//! Reads requests from callers' connections.

use crate::{
    accept::accept_next,
    caller_memory::CallerAccount,
    clock::boot_ms,
    forward::{rejection, serve_call, InboundCall},
    responses::LocalReason,
    state::GatewayState,
};
use berylmount_adapter::request_headers::decode_request;
use berylmount_fleet::CallerLimits;
use berylmount_h1::{
    read_counted_body, BodyFraming, BodyReader, H1Fault, H1Stream, HeadLimits, PeerRole,
    RequestHead,
};
use berylmount_policy::caller_memory::{CallerPhase, EvictionCause};
use berylmount_telemetry::CounterMetric;
use bytes::Bytes;
use http::{header::EXPECT, Method};
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::timeout,
};

/// Limits in force until a route table is known.
pub(crate) const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    head_bytes: 16 * 1024,
    body_bytes: 4 << 20,
    head_time: Duration::from_secs(3),
    idle_time: Duration::from_secs(15),
};
/// Time limit for receiving a body; callers in the same region need milliseconds.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// File descriptors reserved for runners, the store, other instances and files.
const RESERVED_DESCRIPTORS: u64 = 1200;
/// Time after the start of a drain at which idle connections are closed, in
/// milliseconds. By then most callers have fetched a newer list of addresses.
const DRAIN_IDLE_CLOSE_MS: u64 = 4000;
/// Time for which input is still read after a connection is shut down. A body in
/// flight may take some round trips.
pub(crate) const LINGER_TIME: Duration = Duration::from_millis(500);
/// Connections over the limit that receive a refusal at the same time. Others are closed with
/// their requests unread.
const MAX_REFUSED_CONNECTIONS: u64 = 64;
/// Connections over the limit that are accepted in place of others that are being closed.
const MAX_CLOSING_CONNECTIONS: u64 = 64;
/// Time limit for receiving the head of a request on a connection over the limit.
const REFUSAL_READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which an idle connection checks whether the instance is draining.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Accepts callers' connections and serves each in a task of its own.
pub(crate) async fn serve_callers(state: Rc<GatewayState>, listener: TcpListener) {
    let open: Rc<Cell<u64>> = Rc::default();
    let refused: Rc<Cell<u64>> = Rc::default();
    loop {
        let socket = accept_next(&listener, "callers").await;
        let max_open = state
            .settings()
            .machine
            .descriptors
            .saturating_sub(RESERVED_DESCRIPTORS);
        state.callers.relieve();
        // At least 64 connections are allowed, even with few descriptors.
        let over = (open.get() + 1).saturating_sub(max_open.max(64));
        let has_room = over == 0
            || over <= MAX_CLOSING_CONNECTIONS && state.callers.evict(EvictionCause::Descriptor);
        if !has_room {
            log::warn!(target: "callers", open = open.get(); "connection refused: too many open connections");
            if refused.get() < MAX_REFUSED_CONNECTIONS {
                refused.set(refused.get() + 1);
                let (state, refused) = (state.clone(), refused.clone());
                spawn_local(async move {
                    refuse_connection(&state, socket).await;
                    refused.set(refused.get() - 1);
                });
            }
            continue;
        }
        open.set(open.get() + 1);
        let (state, open) = (state.clone(), open.clone());
        spawn_local(async move {
            let mut stream = H1Stream::new(socket, PeerRole::Client);
            let machine_bytes = state.settings().machine.memory_bytes;
            let account = state.callers.open(&stream, machine_bytes);
            let mode = serve_connection(&state, &mut stream, &account).await;
            drop(account);
            match mode {
                CloseMode::Linger => stream.shutdown(LINGER_TIME).await,
                CloseMode::AtOnce => drop(stream),
            }
            open.set(open.get() - 1);
        });
    }
}

/// Refuses the first request of a connection over the limit, and closes it.
async fn refuse_connection(state: &GatewayState, socket: TcpStream) {
    let mut stream = H1Stream::new(socket, PeerRole::Client);
    let bytes = limits_in_force(state).head_bytes;
    let head = stream.read_request(HeadLimits { bytes });
    match timeout(REFUSAL_READ_TIMEOUT, head).await {
        Ok(Ok(head)) => {
            let refusal = rejection(LocalReason::Overloaded);
            let reason = refusal.reason.into();
            state.metrics.add(CounterMetric::RefusalsTotal, reason, 1);
            let id = decode_request(&head.headers).id;
            write_last(&mut stream, &refusal.encode(&head.method, &id, true)).await;
        }
        Ok(Err(fault)) => reject_head(&mut stream, &fault).await,
        Err(_) => send_rejection(&mut stream, LocalReason::RequestTimeout).await,
    }
    stream.shutdown(LINGER_TIME).await;
}

/// How a connection is closed.
enum CloseMode {
    /// Input is read for some time, so that the last response reaches the caller.
    Linger,
    /// Nothing more is read. A request that crosses the close stays unread, and the caller's
    /// side of the connection is reset, which shows that the request has not run.
    AtOnce,
}

/// Serves requests on one connection until it ends.
async fn serve_connection(
    state: &Rc<GatewayState>,
    stream: &mut H1Stream,
    account: &CallerAccount,
) -> CloseMode {
    loop {
        let has_bytes = tokio::select! {
            biased;
            () = account.evicted() => false,
            has_bytes = wait_for_bytes(state, stream) => has_bytes,
        };
        if !has_bytes {
            return CloseMode::AtOnce;
        }
        account.enter(CallerPhase::Receiving);
        let limits = limits_in_force(state);
        let bytes = limits.head_bytes;
        let head =
            stream.read_counted_request(HeadLimits { bytes }, |held| account.hold_head(held));
        let head = tokio::select! {
            biased;
            () = account.evicted() => Ok(Err(H1Fault::MemoryLimit)),
            head = timeout(limits.head_time, head) => head,
        };
        if account.is_ahead() && matches!(head, Ok(Err(H1Fault::MemoryLimit))) {
            account.cut_off(stream);
            return CloseMode::AtOnce;
        }
        let head = match head {
            Ok(Ok(head)) => head,
            Ok(Err(fault)) => {
                reject_head(stream, &fault).await;
                return CloseMode::Linger;
            }
            Err(_) => {
                send_rejection(stream, LocalReason::RequestTimeout).await;
                return CloseMode::Linger;
            }
        };
        if !serve_request(state, stream, account, head, limits).await {
            return match account.is_cut_off() {
                true => CloseMode::AtOnce,
                false => CloseMode::Linger,
            };
        }
        account.end_response(stream);
    }
}

/// Returns the limits of the route table in force.
fn limits_in_force(state: &GatewayState) -> CallerLimits {
    state.table().map_or(DEFAULT_LIMITS, |table| table.limits)
}

/// Waits for the first byte of a request; returns `false` if the connection should
/// be closed.
async fn wait_for_bytes(state: &GatewayState, stream: &mut H1Stream) -> bool {
    let (mut waited, mut limit) = (Duration::ZERO, Duration::ZERO);
    while stream.is_buffer_empty() {
        match timeout(IDLE_CHECK_INTERVAL, stream.fill()).await {
            Ok(Ok(0)) | Ok(Err(_)) => return false,
            Ok(Ok(_)) => return true,
            Err(_) => waited += IDLE_CHECK_INTERVAL,
        }
        let close_after_ms = state.idle_limits.borrow().close_after_ms(boot_ms());
        limit = limit.max(Duration::from_millis(close_after_ms));
        let is_due = waited >= limit || state.drain_elapsed_ms() >= DRAIN_IDLE_CLOSE_MS;
        if is_due && !stream.has_input() {
            return false;
        }
    }
    true
}

/// Reads a request's body and serves the request; returns whether the connection
/// stays open.
async fn serve_request(
    state: &Rc<GatewayState>,
    stream: &mut H1Stream,
    account: &CallerAccount,
    head: RequestHead,
    limits: CallerLimits,
) -> bool {
    let arrived_ms = boot_ms();
    let request = decode_request(&head.headers);
    let body = tokio::select! {
        biased;
        () = account.evicted() => Err(Some(LocalReason::Overloaded)),
        body = read_request_body(account, stream, &head, limits) => body,
    };
    let body = match body {
        Ok(body) => body,
        Err(Some(reason)) => {
            log::warn!(target: "callers", request = request.id, reason:% ; "failed to read the request body");
            let response = rejection(reason).encode(&head.method, &request.id, true);
            write_last(stream, &response).await;
            return false;
        }
        Err(None) => return false,
    };
    account.end_request(stream, body.len());
    state.in_flight.set(state.in_flight.get() + 1);
    let call = InboundCall {
        head,
        body,
        request,
        arrived_ms,
    };
    let keeps_open = serve_call(state, stream, account, call).await;
    state.in_flight.set(state.in_flight.get() - 1);
    keeps_open
}

/// Reads a complete body; fails with `Err(None)` if the caller disconnected.
async fn read_request_body(
    account: &CallerAccount,
    stream: &mut H1Stream,
    head: &RequestHead,
    limits: CallerLimits,
) -> Result<Bytes, Option<LocalReason>> {
    let framing = head.framing().map_err(|_| Some(LocalReason::Malformed))?;
    if matches!(framing, BodyFraming::Length(length) if length > limits.body_bytes as u64) {
        return Err(Some(LocalReason::BodyTooLong));
    }
    let reader = BodyReader::new(framing);
    if reader.is_done() {
        return Ok(Bytes::new());
    }
    // Checks the limit before the caller is told to send the body.
    if !account.grow(0) {
        return Err(Some(LocalReason::Overloaded));
    }
    let expects = head.headers.get(EXPECT);
    if expects.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue")) {
        let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
        stream.write(interim).await.map_err(|_| None)?;
    }
    let grow = |stream: &H1Stream, bytes| account.grow_body(stream, bytes);
    let body = read_counted_body(stream, reader, limits.body_bytes, grow);
    match timeout(BODY_TIMEOUT, body).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(H1Fault::BodyTooLong)) => Err(Some(LocalReason::BodyTooLong)),
        Ok(Err(H1Fault::MemoryLimit)) => Err(Some(LocalReason::Overloaded)),
        Ok(Err(H1Fault::Malformed(_))) => Err(Some(LocalReason::Malformed)),
        Ok(Err(_)) => Err(None),
        Err(_) => Err(Some(LocalReason::RequestTimeout)),
    }
}

/// Responds to a head that could not be read.
async fn reject_head(stream: &mut H1Stream, fault: &H1Fault) {
    let reason = match fault {
        H1Fault::HeadTooLong => LocalReason::HeadTooLong,
        H1Fault::Malformed(_) => LocalReason::Malformed,
        H1Fault::MemoryLimit => LocalReason::Overloaded,
        _ => return,
    };
    log::warn!(target: "callers", fault:% ; "failed to read a request head");
    send_rejection(stream, reason).await;
}

async fn send_rejection(stream: &mut H1Stream, reason: LocalReason) {
    let response = rejection(reason).encode(&Method::GET, "", true);
    write_last(stream, &response).await;
}

/// Writes the last response on a connection.
async fn write_last(stream: &mut H1Stream, response: &[u8]) {
    // The caller may have disconnected or read nothing; the connection is closed in any case.
    let _ = timeout(LINGER_TIME, stream.write(response)).await;
}
