//! One attempt of a request at a runner.

use crate::{
    accept::note_option,
    clock::boot_ms,
    cold_runners::{note_unreachable, ColdPermit},
    evacuations::is_evacuated,
    exclusions::{is_excluded, note_rejection, note_response},
    forward::{CallerSink, InboundCall},
    home_regions::may_pass,
    peers::name_hash,
    permits::note_limit,
    places::note_brittle,
    reachability::{reach_of, start_probes, MonitoredPath, PathUse, ServiceReach},
    relay::relay_events,
    response_memory::ResponseMemory,
    responses::MAX_COPIED_BYTES,
    runner_registry::{ConnectionSlot, RunnerConnection, RunnerExchange, RunnerHandle},
    state::GatewayState,
    tunnels::{open_tunnel, pass_notice, TunnelFault},
};
use berylmount_adapter::request_headers::{
    decode_notice, decode_reply, set_runner_headers, ForwardContext, RunnerReply,
};
use berylmount_fleet::{HomeRegions, RouteKind, RouteRule, RunnerRecord};
use berylmount_h1::{
    grown_capacity, push_headers, strip_hop_headers, H1Fault, H1Stream, HeadLimits, ResponseHead,
};
use berylmount_policy::service_path::PathState;
use bytes::{BufMut, Bytes, BytesMut};
use http::{
    header::{CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, EXPECT},
    HeaderMap, HeaderValue, StatusCode,
};
use std::{
    future::{pending, Future},
    io::ErrorKind,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::Duration,
};
use strum::IntoStaticStr;
use tokio::time::{timeout, timeout_at, Instant};

/// Time limit for connecting to a runner; some round trips within a region.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Why an attempt ends that has no path to its runner.
pub(crate) const PATH_LOST: &str = "no path to the runner";
/// Why an attempt ends whose tunnel was lost.
const TUNNEL_LOST: &str = "the tunnel to the runner broke";
/// Size of a connection's receive buffer in the kernel in bytes. A response that its caller reads
/// slowly waits there.
const RECEIVE_BYTES: usize = 64 * 1024;
/// Maximum size in bytes of a response that is discarded while it is read.
const MAX_DISCARDED_BYTES: usize = 8 << 20;
/// Time limit for reading the rest of an unneeded response, so that its connection
/// can be reused.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum responses to other requests that are discarded during one attempt.
const MAX_FOREIGN_RESPONSES: usize = 2;
/// Longest idle time of a connection reused for a request that is not idempotent.
/// The request would be lost if the runner had already closed the connection.
const MAX_NON_IDEMPOTENT_IDLE: Duration = Duration::from_millis(800);

/// A response that was read completely.
#[derive(Debug)]
pub(crate) struct BufferedResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The memory of the body.
    pub(crate) memory: ResponseMemory,
}

/// How one attempt ended.
#[derive(Debug, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum AttemptOutcome {
    /// Nothing was sent.
    NotSent(&'static str),
    /// The runner stated that it has not run the request.
    NotRun(StatusCode),
    /// The runner may have run the request, and no usable response was received.
    MayHaveRun(&'static str),
    /// The connection broke before any part of a response was passed on; the runner may
    /// have run the request.
    Disconnected(&'static str),
    /// The runner sent a complete response, with success or failure. A failure has not
    /// been counted against the runner yet.
    #[strum(serialize = "whole")]
    Complete(BufferedResponse),
    /// A stream was relayed to its end.
    Streamed,
    /// A stream failed after some events were sent to the caller.
    #[strum(serialize = "broken")]
    StreamFailed(&'static str),
    /// The caller disconnected.
    CallerGone,
    /// The deadline passed; the flag tells whether the request was sent.
    TimedOut(bool),
}

/// An attempt to run a caller's request at one runner.
pub(crate) struct RunnerAttempt<'a> {
    pub(crate) call: &'a InboundCall,
    pub(crate) state: &'a Rc<GatewayState>,
    pub(crate) route: &'a RouteRule,
    /// The regions that the request is bound to.
    pub(crate) homes: &'a HomeRegions,
    pub(crate) runner: &'a Rc<RunnerHandle>,
    /// The entry of the runner when it was selected.
    pub(crate) record: &'a RunnerRecord,
    /// Instructions for the runner, sent as request headers.
    pub(crate) context: ForwardContext<'a>,
    /// Deadline of the final response to the caller.
    pub(crate) deadline: Instant,
    /// Maximum connections of this instance to the runner.
    pub(crate) connection_limit: u32,
    /// The path to the runner's service.
    pub(crate) path: Rc<MonitoredPath>,
    /// Permit for the request if the runner is cold.
    pub(crate) permit: ColdPermit,
}

/// Why no response to a request was received.
enum SendFailure {
    /// The connection broke.
    Disconnected(&'static str),
    /// The response cannot be used.
    Unusable(&'static str),
}

impl From<SendFailure> for AttemptOutcome {
    fn from(failure: SendFailure) -> Self {
        match failure {
            SendFailure::Disconnected(reason) => Self::Disconnected(reason),
            SendFailure::Unusable(reason) => Self::MayHaveRun(reason),
        }
    }
}

/// Why waiting for a runner was interrupted.
enum WaitInterrupt {
    CallerGone,
    TimedOut,
    PathLost,
}

/// Runs `work` until it ends, the caller disconnects, the deadline passes or `lost` completes.
async fn run_cancellable<T>(
    sink: &mut CallerSink<'_>,
    deadline: Instant,
    lost: impl Future<Output = ()>,
    work: impl Future<Output = T>,
) -> Result<T, WaitInterrupt> {
    tokio::select! {
        biased;
        result = timeout_at(deadline, work) => result.map_err(|_| WaitInterrupt::TimedOut),
        () = sink.gone() => Err(WaitInterrupt::CallerGone),
        () = lost => Err(WaitInterrupt::PathLost),
    }
}

impl RunnerAttempt<'_> {
    /// Sends the request and relays an event stream to the caller; any other response
    /// is buffered and returned.
    pub(crate) async fn run(
        &self,
        sink: &mut CallerSink<'_>,
        mut on_first_event: impl FnMut(),
    ) -> AttemptOutcome {
        let connecting = self.connect();
        let connected = run_cancellable(sink, self.deadline, pending(), connecting).await;
        let stream = match connected {
            Ok(Ok(stream)) => stream,
            Ok(Err(reason)) => return AttemptOutcome::NotSent(reason),
            Err(WaitInterrupt::PathLost) => return AttemptOutcome::NotSent(PATH_LOST),
            Err(WaitInterrupt::CallerGone) => return AttemptOutcome::CallerGone,
            Err(WaitInterrupt::TimedOut) => return AttemptOutcome::TimedOut(false),
        };
        // The runner may have asked for backoff while the connection was opened.
        if self.runner.backoff_left(boot_ms()).is_some() {
            return AttemptOutcome::NotSent("the runner is in backoff");
        }
        // A permit may have been granted late.
        if !self.runner.serves_as(self.record) {
            return AttemptOutcome::NotSent("the runner has left or was replaced");
        }
        if is_excluded(self.state, self.runner, boot_ms()) {
            return AttemptOutcome::NotSent("another server has the address of the runner");
        }
        if is_evacuated(self.state, self.runner) {
            return AttemptOutcome::NotSent("the data centre of the runner is evacuated");
        }
        if self.permit.is_missing(self.state, self.runner) {
            return AttemptOutcome::NotSent("the runner has become cold");
        }
        if self.permit.has_lapsed() {
            return AttemptOutcome::NotSent("the permit for the cold runner has lapsed");
        }
        let is_tunnel = stream.is_tunnel();
        let outcome = self.exchange(stream, sink, &mut on_first_event).await;
        if let AttemptOutcome::TimedOut(_) | AttemptOutcome::CallerGone = outcome {
            return outcome;
        }
        let is_success = match &outcome {
            // The request itself may be at fault, so the failure is counted later.
            AttemptOutcome::Complete(response) if response.status.is_server_error() => {
                return outcome
            }
            AttemptOutcome::Complete(_) => true,
            AttemptOutcome::Streamed => true,
            _ if !is_tunnel && self.path.state() == PathState::Closed => {
                // A lost path says nothing about the runner.
                return match outcome {
                    AttemptOutcome::Disconnected(reason) => AttemptOutcome::MayHaveRun(reason),
                    outcome => outcome,
                };
            }
            _ => false,
        };
        self.runner.note_end(is_success, boot_ms());
        outcome
    }

    /// Returns a pooled or new connection to the runner.
    async fn connect(&self) -> Result<RunnerConnection, &'static str> {
        let max_idle = max_idle(self.route);
        while let Some(pooled) = self.runner.take_idle_connection(boot_ms(), max_idle) {
            if pooled.relay().is_none_or(|relay| self.may_pass(relay)) {
                return Ok(pooled);
            }
        }
        let reservation = self.runner.reserve_connection(self.connection_limit);
        let slot = reservation.ok_or("connection limit reached")?;
        let record = self.runner.record();
        match reach_of(self.state, &record.service, self.homes) {
            ServiceReach::Direct => {}
            ServiceReach::Relayed => return self.connect_through_relay(slot).await,
            ServiceReach::Isolated => return Err(PATH_LOST),
        }
        let opened = H1Stream::connect(record.address, CONNECT_TIMEOUT).await;
        self.path.note_connection(self.runner, opened.is_ok());
        start_probes(self.state, &record.service, &self.path);
        match opened {
            Ok(stream) => {
                note_option(stream.limit_receive_buffer(RECEIVE_BYTES), "receive buffer");
                self.runner.note_connection(true, boot_ms());
                Ok(RunnerConnection::new(stream, slot))
            }
            Err(_) if self.path.state() != PathState::Open => {
                self.connect_through_relay(slot).await
            }
            Err(_) => {
                self.runner.note_connection(false, boot_ms());
                self.runner.note_end(false, boot_ms());
                note_unreachable(self.state, self.runner);
                Err("connection failed")
            }
        }
    }

    /// Whether the request may pass through another instance.
    fn may_pass(&self, relay: SocketAddr) -> bool {
        let regions = &self.state.settings().regions;
        may_pass(self.homes, regions, &self.state.peers.borrow(), relay)
    }

    /// Opens a tunnel to the runner through another instance.
    async fn connect_through_relay(
        &self,
        slot: ConnectionSlot,
    ) -> Result<RunnerConnection, &'static str> {
        match open_tunnel(self.state, self.runner, self.homes).await {
            Ok((stream, relay)) => Ok(RunnerConnection::tunnelled(stream, relay, slot)),
            Err(TunnelFault::RunnerUnreachable) => {
                self.runner.note_connection(false, boot_ms());
                self.runner.note_end(false, boot_ms());
                Err("connection failed at the other instance")
            }
            Err(TunnelFault::RunnerRefused) => Err("the runner takes no requests by the relay"),
            Err(TunnelFault::NoRelay) => Err(PATH_LOST),
        }
    }

    /// Completes when a request that may be repeated has lost its path. A tunnel has another
    /// path, and a request that may run only once waits for its response.
    async fn lose_path(&self, is_tunnel: bool) {
        match is_tunnel || !self.route.is_retryable() {
            true => pending().await,
            false => self.path.lost(self.runner).await,
        }
    }

    /// Encodes the request for the runner. A long body is a part of its own and not copied.
    fn encode(&self) -> [Bytes; 2] {
        let head = &self.call.head;
        let mut headers = head.headers.clone();
        strip_hop_headers(&mut headers);
        headers.remove(EXPECT);
        let mut context = self.context.clone();
        context.caller_timeout = self.deadline.saturating_duration_since(Instant::now());
        set_runner_headers(&mut headers, &context);
        let body = &self.call.body;
        let declares_body = head.headers.contains_key(CONTENT_LENGTH);
        if declares_body || !body.is_empty() {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
        }
        let (copied, shared) = match body.len() <= MAX_COPIED_BYTES {
            true => (&body[..], Bytes::new()),
            false => (&[][..], body.clone()),
        };
        let mut output = BytesMut::with_capacity(1024 + copied.len());
        output.put_slice(format!("{} {} HTTP/1.1\r\n", head.method, head.target).as_bytes());
        push_headers(&mut output, &headers);
        output.put_slice(b"\r\n");
        output.put_slice(copied);
        [output.freeze(), shared]
    }

    async fn exchange(
        &self,
        connection: RunnerConnection,
        sink: &mut CallerSink<'_>,
        on_first_event: &mut impl FnMut(),
    ) -> AttemptOutcome {
        let mut exchange = connection.start(self.encode());
        if exchange.relay.is_none() {
            exchange.path_use = Some(PathUse::begin(&self.path, self.runner));
        }
        let mut lost = pin!(self.lose_path(exchange.relay.is_some()));
        let sent_ms = boot_ms();
        let sending = self.send(&mut exchange);
        let sent = run_cancellable(sink, self.deadline, lost.as_mut(), sending).await;
        let (head, reply) = match sent {
            Ok(Ok(found)) => found,
            Ok(Err(failure)) => return failure.into(),
            Err(interrupt) => return interrupted(&interrupt),
        };
        let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST && !reply.is_stamped;
        match is_misdirected {
            true => note_rejection(self.state, self.runner, &reply),
            false => note_response(self.state, self.runner),
        }
        // Another server at the address says nothing about this runner.
        let is_from_runner = match &reply.sender {
            Some(id) => id == self.context.runner,
            None => !is_misdirected,
        };
        if is_from_runner {
            self.note_reply(&head, &reply, sent_ms, exchange.relay);
        }
        if reply.is_not_executed || is_misdirected {
            let rest = self.drain_response(exchange, &head);
            // A failure only means that the connection is not reused.
            let _ = timeout(DISCARD_TIMEOUT, rest).await;
            return AttemptOutcome::NotRun(head.status);
        }
        if head.headers.contains_key(CONTENT_ENCODING) {
            return AttemptOutcome::MayHaveRun("the response has a content encoding");
        }
        if head.status.is_success() && !reply.is_stamped {
            return AttemptOutcome::MayHaveRun("the response lacks the runner's stamp");
        }
        let started = exchange.http.start_body(&head, &self.call.head.method);
        if started.is_err() {
            return AttemptOutcome::MayHaveRun("the response framing is ambiguous");
        }
        if self.route.kind == RouteKind::Streaming && is_event_stream(&head) {
            return relay_events(self, exchange, head, sink, lost, on_first_event).await;
        }
        on_first_event();
        let mut memory = self.begin_memory();
        let body = self.read_body(&mut exchange, &mut memory);
        let body = match run_cancellable(sink, self.deadline, lost, body).await {
            Ok(Ok(body)) => body,
            Ok(Err(H1Fault::MemoryLimit)) => {
                return AttemptOutcome::MayHaveRun("the response exceeds its share of the memory")
            }
            Ok(Err(H1Fault::Malformed(_))) => {
                return AttemptOutcome::MayHaveRun("the response body is malformed")
            }
            Ok(Err(fault)) if is_tunnel_lost(&fault) => {
                return AttemptOutcome::MayHaveRun(TUNNEL_LOST)
            }
            Ok(Err(_)) => {
                return AttemptOutcome::Disconnected("the connection broke during the response")
            }
            Err(interrupt) => return interrupted(&interrupt),
        };
        let response = BufferedResponse {
            status: head.status,
            headers: response_headers(&head),
            body,
            memory,
        };
        self.return_connection(exchange, &head);
        AttemptOutcome::Complete(response)
    }

    /// Returns the memory for a response.
    pub(crate) fn begin_memory(&self) -> ResponseMemory {
        let machine_bytes = self.state.settings().machine.memory_bytes;
        self.state.response_pool.begin(machine_bytes)
    }

    /// Reads the body of a response completely.
    async fn read_body(
        &self,
        exchange: &mut RunnerExchange,
        memory: &mut ResponseMemory,
    ) -> Result<Bytes, H1Fault> {
        let mut body = Vec::new();
        let declared = exchange.http.declared_left();
        while let Some(data) = exchange.http.next_data().await? {
            exchange.note_received();
            let length = body.len() + data.len();
            if !memory.resize(length) {
                return Err(H1Fault::MemoryLimit);
            }
            if length > body.capacity() {
                let capacity = grown_capacity(&body, length, declared);
                body.reserve_exact(capacity - body.len());
            }
            body.extend_from_slice(&data);
        }
        body.shrink_to_fit();
        Ok(body.into())
    }

    /// Applies what the runner states about itself in its response.
    fn note_reply(
        &self,
        head: &ResponseHead,
        reply: &RunnerReply,
        sent_ms: u64,
        relay: Option<SocketAddr>,
    ) {
        let notice = decode_notice(head.status, &head.headers);
        if let Some(relay) = relay {
            pass_notice(self.state, relay, self.runner, &notice);
        }
        self.runner.note_notice(notice, boot_ms());
        note_limit(self.state, self.runner, notice.limit, sent_ms);
        note_brittle(self.state, self.runner, notice.brittle, sent_ms);
        if let Some(load) = reply.load {
            self.runner.note_load(load, boot_ms());
            let service = name_hash(&self.runner.record().service);
            self.state.waiting.note_change(service);
        }
        if let (Some(version), Some(prompt)) = (reply.weights, &self.call.request.prompt) {
            self.runner.note_weights(&prompt.model, version);
        }
    }

    /// Sends the request and reads the head of its response. Responses to other requests
    /// are discarded, even if they arrive while the request is being sent.
    async fn send(
        &self,
        exchange: &mut RunnerExchange,
    ) -> Result<(ResponseHead, RunnerReply), SendFailure> {
        for _ in 0..=MAX_FOREIGN_RESPONSES {
            let head = exchange.http.read_head(HeadLimits::default()).await;
            let head = head.map_err(|fault| match fault {
                H1Fault::Malformed(_) | H1Fault::HeadTooLong => {
                    SendFailure::Unusable("the response is malformed")
                }
                fault if is_tunnel_lost(&fault) => SendFailure::Unusable(TUNNEL_LOST),
                _ if !exchange.http.is_sent() => {
                    SendFailure::Disconnected("the connection broke while sending the request")
                }
                _ => SendFailure::Disconnected("the connection broke before the response"),
            })?;
            exchange.note_received();
            let reply = decode_reply(&head.headers);
            if self.is_response_to_call(&head, &reply, exchange.is_reused) {
                return Ok((head, reply));
            }
            let discarded = self.discard_response(exchange, &head).await;
            discarded.map_err(SendFailure::Unusable)?;
        }
        Err(SendFailure::Unusable(
            "received only responses to other requests",
        ))
    }

    /// Returns whether a response belongs to this request.
    fn is_response_to_call(
        &self,
        head: &ResponseHead,
        reply: &RunnerReply,
        is_reused: bool,
    ) -> bool {
        match &reply.request_id {
            Some(id) => *id == self.call.request.id,
            // On a connection that has carried another request, a statement that the
            // request has not run may be a copy of an earlier one.
            None if is_reused && (reply.is_not_executed || is_refusal(head.status)) => false,
            // A successful response without an id may belong to another request. A failure
            // is accepted.
            None => self.call.request.id.is_empty() || !head.status.is_success(),
        }
    }

    /// Reads and discards the body of a response to another request.
    async fn discard_response(
        &self,
        exchange: &mut RunnerExchange,
        head: &ResponseHead,
    ) -> Result<(), &'static str> {
        let started = exchange.http.start_body(head, &self.call.head.method);
        started.map_err(|_| "a response to another request is malformed")?;
        let skipped = exchange.http.skip_body(MAX_DISCARDED_BYTES).await;
        skipped.map_err(|_| "the connection broke during a response to another request")?;
        log::warn!(
            target: "upstream",
            request = self.call.request.id, runner = self.context.runner;
            "discarded a response to another request"
        );
        Ok(())
    }

    /// Reads the rest of a response and returns its connection to the pool.
    async fn drain_response(&self, mut exchange: RunnerExchange, head: &ResponseHead) {
        if !exchange.http.is_sent() {
            return;
        }
        let started = exchange.http.start_body(head, &self.call.head.method);
        if started.is_ok() && exchange.http.skip_body(MAX_DISCARDED_BYTES).await.is_ok() {
            self.return_connection(exchange, head);
        }
    }

    /// Returns the connection of an exchange to the pool if it can carry another request.
    pub(crate) fn return_connection(&self, exchange: RunnerExchange, head: &ResponseHead) {
        if let Some(connection) = exchange.finish() {
            self.runner
                .return_connection(connection, idle_limit(head), boot_ms());
        }
    }
}

/// Whether a tunnel was lost, which says nothing about the runner.
pub(crate) fn is_tunnel_lost(fault: &H1Fault) -> bool {
    matches!(fault, H1Fault::Io(error) if error.kind() == ErrorKind::ConnectionAborted)
}

/// Whether a status tells callers that the request has not run.
pub(crate) fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns the longest idle time of a connection reused for requests of a route.
pub(crate) fn max_idle(route: &RouteRule) -> Duration {
    match route.is_retryable() {
        true => Duration::MAX,
        false => MAX_NON_IDEMPOTENT_IDLE,
    }
}

fn interrupted(interrupt: &WaitInterrupt) -> AttemptOutcome {
    match interrupt {
        WaitInterrupt::CallerGone => AttemptOutcome::CallerGone,
        WaitInterrupt::TimedOut => AttemptOutcome::TimedOut(true),
        WaitInterrupt::PathLost => AttemptOutcome::MayHaveRun(PATH_LOST),
    }
}

/// Returns the headers of a runner's response without hop-by-hop headers.
pub(crate) fn response_headers(head: &ResponseHead) -> HeaderMap {
    let mut headers = head.headers.clone();
    strip_hop_headers(&mut headers);
    headers
}

/// Returns whether the body is an event stream.
fn is_event_stream(head: &ResponseHead) -> bool {
    let content_type = head.headers.get(CONTENT_TYPE);
    let is_events = |v: &HeaderValue| v.as_bytes().starts_with(b"text/event-stream");
    head.status == StatusCode::OK && content_type.is_some_and(is_events)
}

/// Parses how long the runner keeps an idle connection, from `Keep-Alive: timeout=`.
fn idle_limit(head: &ResponseHead) -> Option<Duration> {
    let value = head.headers.get("keep-alive")?.to_str().ok()?;
    let mut fields = value
        .split(',')
        .filter_map(|field| field.trim().split_once('='));
    let (_, seconds) = fields.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
