//! Callers' connections.

use crate::{
    accept::accept_next,
    answers::{AnswerReason, OwnAnswer},
    clock::boot_ms,
    forward::{answer_call, CallerCall},
    state::GatewayState,
};
use berylmount_adapter::request_headers::decode_request;
use berylmount_fleet::CallerLimits;
use berylmount_h1::{
    read_counted_body, BodyFraming, BodyReader, H1Fault, H1Stream, HeadLimits, RequestHead,
};
use bytes::Bytes;
use http::header::EXPECT;
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::{net::TcpListener, task::spawn_local, time::timeout};

/// Limits until a route table is known.
const FIRST_LIMITS: CallerLimits = CallerLimits {
    head_bytes: 16 * 1024,
    body_bytes: 4 << 20,
    head_time: Duration::from_secs(3),
    idle_time: Duration::from_secs(15),
};
/// Time to send a body; a caller within a region needs milliseconds.
const BODY_TIME: Duration = Duration::from_secs(5);
/// Descriptors that are not for callers: runners, store, instances, files.
const OTHER_DESCRIPTORS: u64 = 1200;
/// Part of the memory that callers' bodies may take.
const BODY_MEMORY_PART: u64 = 4;
/// Time after which a leaving instance closes idle connections, in milliseconds:
/// by then most callers use a newer list of addresses.
const LEAVING_IDLE_MS: u64 = 4000;
/// Time for which a caller may go on sending after the end of its connection: a
/// body on its way, some round trips long.
pub(crate) const LINGER: Duration = Duration::from_millis(500);
/// How often an idle connection looks whether the instance is leaving.
const IDLE_CHECK: Duration = Duration::from_millis(500);

/// Takes callers' connections.
pub(crate) async fn serve_callers(state: Rc<GatewayState>, listener: TcpListener) {
    let open: Rc<Cell<u64>> = Rc::default();
    loop {
        let socket = accept_next(&listener, "callers").await;
        let most = state
            .settings()
            .machine
            .descriptors
            .saturating_sub(OTHER_DESCRIPTORS);
        if open.get() >= most.max(64) {
            log::warn!(target: "callers", open = open.get(); "connection closed: too many");
            continue;
        }
        open.set(open.get() + 1);
        let (state, open) = (state.clone(), open.clone());
        spawn_local(async move {
            let mut stream = H1Stream::new(socket);
            serve_connection(&state, &mut stream).await;
            stream.shutdown(LINGER).await;
            open.set(open.get() - 1);
        });
    }
}

/// Serves one connection until it ends.
async fn serve_connection(state: &Rc<GatewayState>, stream: &mut H1Stream) {
    loop {
        let limits = state.table().map_or(FIRST_LIMITS, |table| table.limits);
        if !wait_for_bytes(state, stream, limits.idle_time).await {
            return;
        }
        let bytes = limits.head_bytes;
        let head = stream.read_request(HeadLimits { bytes });
        let head = match timeout(limits.head_time, head).await {
            Ok(Ok(head)) => head,
            Ok(Err(fault)) => return refuse_head(stream, &fault).await,
            Err(_) => return send_refusal(stream, AnswerReason::RequestTimeout).await,
        };
        if !serve_request(state, stream, head, limits).await {
            return;
        }
    }
}

/// Waits for the first byte of a request; `false` if the connection is to end.
async fn wait_for_bytes(state: &GatewayState, stream: &mut H1Stream, idle: Duration) -> bool {
    let mut waited = Duration::ZERO;
    while stream.is_buffer_empty() {
        match timeout(IDLE_CHECK, stream.fill()).await {
            Ok(Ok(0)) | Ok(Err(_)) => return false,
            Ok(Ok(_)) => return true,
            Err(_) => waited += IDLE_CHECK,
        }
        if waited >= idle || state.leaving_ms() >= LEAVING_IDLE_MS {
            return false;
        }
    }
    true
}

/// Reads a request's body and answers it; returns whether to go on.
async fn serve_request(
    state: &Rc<GatewayState>,
    stream: &mut H1Stream,
    head: RequestHead,
    limits: CallerLimits,
) -> bool {
    let arrived_ms = boot_ms();
    let request = decode_request(&head.headers);
    let mut held = HeldBytes::new(state);
    let body = match read_request_body(&mut held, stream, &head, limits).await {
        Ok(body) => body,
        Err(Some(reason)) => {
            log::warn!(target: "callers", request = request.id, reason:% ; "request not read");
            let answer = OwnAnswer::new(reason).encode(&request.id, true);
            // The caller may have left; the connection ends in any case.
            let _ = stream.write(&answer).await;
            return false;
        }
        Err(None) => return false,
    };
    state.in_flight.set(state.in_flight.get() + 1);
    let call = CallerCall {
        head,
        body,
        request,
        arrived_ms,
    };
    let keeps = answer_call(state, stream, call).await;
    state.in_flight.set(state.in_flight.get() - 1);
    keeps
}

/// Bytes of one body that are held; those that have come while it is read count.
struct HeldBytes<'a> {
    state: &'a GatewayState,
    bytes: u64,
}

impl<'a> HeldBytes<'a> {
    fn new(state: &'a GatewayState) -> Self {
        Self { state, bytes: 0 }
    }

    /// Counts further bytes; `false` if all bodies together hold too many.
    fn add(&mut self, bytes: usize) -> bool {
        let held = &self.state.held_bytes;
        self.bytes += bytes as u64;
        held.set(held.get() + bytes as u64);
        held.get() <= self.state.settings().machine.memory_bytes / BODY_MEMORY_PART
    }
}

impl Drop for HeldBytes<'_> {
    fn drop(&mut self) {
        let held = &self.state.held_bytes;
        held.set(held.get().saturating_sub(self.bytes));
    }
}

/// Reads a body whole; `Err(None)` if the caller left.
async fn read_request_body(
    held: &mut HeldBytes<'_>,
    stream: &mut H1Stream,
    head: &RequestHead,
    limits: CallerLimits,
) -> Result<Bytes, Option<AnswerReason>> {
    let framing = head.framing().map_err(|_| Some(AnswerReason::Malformed))?;
    if matches!(framing, BodyFraming::Length(length) if length > limits.body_bytes as u64) {
        return Err(Some(AnswerReason::BodyTooLong));
    }
    let reader = BodyReader::new(framing);
    if reader.is_done() {
        return Ok(Bytes::new());
    }
    if !held.add(0) {
        return Err(Some(AnswerReason::Overloaded));
    }
    let expects = head.headers.get(EXPECT);
    if expects.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue")) {
        let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
        stream.write(interim).await.map_err(|_| None)?;
    }
    let body = read_counted_body(stream, reader, limits.body_bytes, |bytes| held.add(bytes));
    match timeout(BODY_TIME, body).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(H1Fault::BodyTooLong)) => Err(Some(AnswerReason::BodyTooLong)),
        Ok(Err(H1Fault::MemoryLimit)) => Err(Some(AnswerReason::Overloaded)),
        Ok(Err(H1Fault::Malformed(_))) => Err(Some(AnswerReason::Malformed)),
        Ok(Err(_)) => Err(None),
        Err(_) => Err(Some(AnswerReason::RequestTimeout)),
    }
}

/// Answers a head that can't be read.
async fn refuse_head(stream: &mut H1Stream, fault: &H1Fault) {
    let reason = match fault {
        H1Fault::HeadTooLong => AnswerReason::HeadTooLong,
        H1Fault::Malformed(_) => AnswerReason::Malformed,
        _ => return,
    };
    log::warn!(target: "callers", fault:% ; "head not read");
    send_refusal(stream, reason).await;
}

async fn send_refusal(stream: &mut H1Stream, reason: AnswerReason) {
    let answer = OwnAnswer::new(reason).encode("", true);
    // The caller may have left; the connection ends in any case.
    let _ = stream.write(&answer).await;
}
