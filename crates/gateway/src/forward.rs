//! One request, from its head to its final answer.

use crate::{
    answers::{encode_whole, AnswerReason, OwnAnswer},
    call_log::{class_of, note_end, CallEnd, TryLog},
    clock::boot_ms,
    placement::{place, PlacedRunner, PlacingCall, PlacingResult},
    roster::RunnerHandle,
    state::GatewayState,
    upstream::{most_answer_bytes, most_idle, RunnerTry, TryEnd, WholeAnswer},
};
use berylmount_adapter::request_headers::ForwardContext;
use berylmount_fleet::{CallerRequest, RouteKind, RouteRule, RouteTable, ServingCustomer};
use berylmount_h1::{H1Stream, RequestHead};
use berylmount_policy::{
    admission::{without_room, AdmissionNeed, NoRoom},
    runner_health::is_request_at_fault,
};
use berylmount_telemetry::{CounterMetric, HistogramMetric};
use bytes::Bytes;
use http::{header::HOST, StatusCode};
use rand::{rng, RngExt};
use std::{ops::Range, rc::Rc, time::Duration};
use tokio::time::{sleep, Instant};

/// Shortest and longest time after which a refused caller comes back; spread so
/// that refused callers don't return together.
const RETRY_AFTER_MS: (u64, u64) = (150, 500);
/// Least time that must be left for another try.
const LEAST_TRY: Duration = Duration::from_millis(30);
/// Tries to connect for one request, beyond those that reach a runner.
const MOST_UNSENT: u32 = 3;
/// Time between two looks for room: a few steps of an engine's batch.
const ROOM_INTERVAL: Duration = Duration::from_millis(10);
/// Spread of the time to come back, so that refused callers don't return together.
const RETURN_SPREAD: Range<f64> = 0.8..1.3;
/// Spread of the time to come back to runners that rest. Never less than they
/// asked for.
const REST_RETURN_SPREAD: Range<f64> = 1.0..1.3;
/// Part of a route's time limit that a caller on its first attempt still has.
const FRESH_PART: f64 = 0.8;
/// Ranks of routes that are told apart within a customer's rank.
const ROUTE_RANKS: u8 = 3;
/// Time after which a leaving instance refuses long streams, in milliseconds:
/// a stream that starts later might not end before the kill.
const LEAVING_STREAM_MS: u64 = 3000;

/// A request that was read whole.
pub(crate) struct CallerCall {
    pub(crate) head: RequestHead,
    pub(crate) body: Bytes,
    pub(crate) request: CallerRequest,
    /// When its head had been read.
    pub(crate) arrived_ms: u64,
}

/// The way back to the caller.
pub(crate) struct CallerSink<'a> {
    pub(crate) stream: &'a mut H1Stream,
    /// Whether the head of a stream has been sent.
    pub(crate) is_started: bool,
    /// Whether the connection ends after the answer.
    pub(crate) closes: bool,
    /// The id of the last event that was sent.
    pub(crate) last_event: Option<u64>,
    /// When the first event went to the caller; 0 before.
    pub(crate) first_event_ms: u64,
    /// When the last event went to the caller.
    pub(crate) sent_at_ms: u64,
    /// The longest time between two events.
    pub(crate) longest_pause_ms: u64,
    /// Blocks of events that were sent.
    pub(crate) events: u32,
}

/// Answers a request; returns whether the connection can carry another.
pub(crate) async fn answer_call(
    state: &Rc<GatewayState>,
    stream: &mut H1Stream,
    call: CallerCall,
) -> bool {
    let closes = call.head.wants_close() || state.is_leaving();
    let mut sink = CallerSink {
        stream,
        is_started: false,
        closes,
        last_event: None,
        first_event_ms: 0,
        sent_at_ms: 0,
        longest_pause_ms: 0,
        events: 0,
    };
    let mut tries = TryLog::default();
    let end = match routed(state, &call) {
        Ok(routed) => {
            let end = tokio::select! {
                end = routed.forward(state, &call, &mut sink, &mut tries) => Some(end),
                () = state.until_grace_over() => None,
            };
            end.unwrap_or_else(|| routed.timed_out(&tries, &sink))
        }
        Err(reason) => CallEnd::Own(refusal(reason)),
    };
    note_end(state, &call, &sink, &end, &tries);
    match end {
        CallEnd::Own(answer) => {
            let bytes = answer.encode(&call.request.id, closes);
            sink.stream.write(&bytes).await.is_ok() && !closes
        }
        CallEnd::Answered(_) | CallEnd::Streamed => !closes,
        CallEnd::CallerGone | CallEnd::Cut(_) => false,
    }
}

/// An answer of our own, with the time to come back where that helps.
fn refusal(reason: AnswerReason) -> OwnAnswer {
    let mut answer = OwnAnswer::new(reason);
    if answer.reason.status() == StatusCode::SERVICE_UNAVAILABLE {
        let (least, most) = RETRY_AFTER_MS;
        let delay = Duration::from_millis(rng().random_range(least..most));
        answer.retry_after = Some(delay);
    }
    answer
}

/// A request with its route and customer.
struct RoutedCall {
    table: Rc<RouteTable>,
    route: RouteRule,
    customer: Option<ServingCustomer>,
    service: String,
    end: Instant,
    /// Its draw, 0 to 1, where not all requests can be placed.
    draw: f64,
}

/// Finds the route and customer of a request.
fn routed(state: &GatewayState, call: &CallerCall) -> Result<RoutedCall, AnswerReason> {
    let table = state.table().ok_or(AnswerReason::NoTable)?;
    let host = call.head.headers.get(HOST).and_then(|v| v.to_str().ok());
    let host = host.ok_or(AnswerReason::Malformed)?;
    let host = host
        .split(':')
        .next()
        .unwrap_or_default()
        .to_ascii_lowercase();
    let route = table.route(&host, call.head.path());
    let route = route.ok_or(AnswerReason::UnknownRoute)?.clone();
    let customer = match &call.request.key {
        Some(key) if table.needs_keys() => table.customer(key).cloned(),
        _ => None,
    };
    if table.needs_keys() && customer.is_none() && !route.is_public {
        return Err(AnswerReason::UnknownKey);
    }
    let caller_timeout = call.request.caller_timeout.unwrap_or(Duration::MAX);
    let waited = Duration::from_millis(boot_ms().saturating_sub(call.arrived_ms));
    let left = caller_timeout.min(route.timeout).saturating_sub(waited);
    let service = route.service_for(&call.request).to_owned();
    Ok(RoutedCall {
        table,
        route,
        customer,
        service,
        end: Instant::now() + left.min(Duration::from_secs(3600)),
        draw: rng().random(),
    })
}

impl RoutedCall {
    /// Brings the request to a runner, and to others where that is allowed.
    async fn forward(
        &self,
        state: &Rc<GatewayState>,
        call: &CallerCall,
        sink: &mut CallerSink<'_>,
        log: &mut TryLog,
    ) -> CallEnd {
        let is_stream = self.route.kind == RouteKind::Streaming;
        let is_late = is_stream && state.leaving_ms() >= LEAVING_STREAM_MS;
        if is_late || state.begins_nothing() {
            return CallEnd::Own(refusal(AnswerReason::Leaving));
        }
        state.note_first_try(&self.service, boot_ms());
        if call.request.prompt.is_some() {
            state.note_offered(&self.service, boot_ms());
        }
        let mut tried: Vec<Rc<RunnerHandle>> = Vec::new();
        let mut errors = RunnerErrors::default();
        let mut unsent = 0;
        let mut verdict = CallVerdict::Own(refusal(AnswerReason::NoRunner));
        loop {
            let placed = match self.find_room(state, call, sink, &tried).await {
                FoundRoom::Placed(placed) => placed,
                FoundRoom::CallerGone => return CallEnd::CallerGone,
                FoundRoom::NoRunner => break,
                FoundRoom::Resting(delay) => {
                    verdict.note_rest(delay);
                    break;
                }
                FoundRoom::NoRoom(_) if log.sent > 0 => break,
                FoundRoom::NoRoom(delay) => {
                    let mut answer = refusal(AnswerReason::Overloaded);
                    answer.retry_after = Some(delay.mul_f64(rng().random_range(RETURN_SPREAD)));
                    return CallEnd::Own(answer);
                }
            };
            if log.sent > 0 && !state.take_retry(&self.service, boot_ms()) {
                break;
            }
            self.note_placed(state, call, &placed);
            let started_ms = boot_ms();
            log.begin();
            let end = self.run_at(call, &placed, state, sink).await;
            log.note(state, &placed, &end, started_ms);
            tried.push(placed.runner.clone());
            errors.note(&placed.runner, &end);
            match end {
                TryEnd::Streamed => return CallEnd::Streamed,
                TryEnd::CallerGone => return CallEnd::CallerGone,
                TryEnd::TimedOut(_) => return self.timed_out(log, sink),
                TryEnd::NotSent(_) => unsent += 1,
                _ => {}
            }
            let goes_on = verdict.after(end, log.sent, self.route.is_retryable());
            if !goes_on || unsent >= MOST_UNSENT || !self.may_try_again(log) {
                break;
            }
        }
        verdict.conclude(sink).await
    }

    /// Counts a request that goes to a runner.
    fn note_placed(&self, state: &GatewayState, call: &CallerCall, placed: &PlacedRunner) {
        let waited_ms = boot_ms().saturating_sub(call.arrived_ms);
        let (class, metrics) = (class_of(call), &state.metrics);
        let waited_s = waited_ms as f64 / 1000.0;
        metrics.observe(HistogramMetric::QueueSeconds, class, waited_s);
        let tokens = CounterMetric::PromptTokensTotal;
        metrics.add(tokens, "recomputed", placed.unread_tokens);
        metrics.add(tokens, "store", placed.fetched_tokens);
        if call.request.prompt.is_some() {
            state.note_prompt(&self.service, placed.length, placed.unread_tokens);
        }
    }

    /// Places the request, and waits a moment for room if there is none.
    async fn find_room(
        &self,
        state: &GatewayState,
        call: &CallerCall,
        sink: &mut CallerSink<'_>,
        tried: &[Rc<RunnerHandle>],
    ) -> FoundRoom {
        loop {
            let placing = self.placing(call);
            match place(state, &placing, tried) {
                PlacingResult::Placed(placed) => return FoundRoom::Placed(placed),
                PlacingResult::NoRunner => return FoundRoom::NoRunner,
                PlacingResult::Resting(delay) => return FoundRoom::Resting(delay),
                PlacingResult::NoRoom => {}
            }
            if let NoRoom::Refuse(delay_ms) = without_room(&placing.need) {
                return FoundRoom::NoRoom(Duration::from_secs_f64(delay_ms / 1000.0));
            }
            tokio::select! {
                () = sleep(ROOM_INTERVAL) => {}
                () = sink.stream.closed() => return FoundRoom::CallerGone,
            }
        }
    }

    fn placing<'a>(&'a self, call: &'a CallerCall) -> PlacingCall<'a> {
        let left = self.end.saturating_duration_since(Instant::now());
        let caller_timeout = call.request.caller_timeout.unwrap_or(self.route.timeout);
        let need = AdmissionNeed {
            rank: self.route.priority,
            target_ms: millis(self.route.target_latency),
            waited_ms: boot_ms().saturating_sub(call.arrived_ms) as f64,
            left_ms: millis(left),
            is_late: caller_timeout < self.route.timeout.mul_f64(FRESH_PART),
        };
        PlacingCall {
            table: &self.table,
            service: &self.service,
            call,
            customer: self.customer.as_ref(),
            need,
            draw: self.draw,
            most_idle: most_idle(&self.route),
        }
    }

    /// The final answer when time has run out.
    fn timed_out(&self, log: &TryLog, sink: &CallerSink<'_>) -> CallEnd {
        match (sink.is_started, log.may_have_run()) {
            (true, _) => CallEnd::Cut("time ran out"),
            (false, false) => CallEnd::Own(refusal(AnswerReason::TooLate)),
            (false, true) => CallEnd::Own(OwnAnswer::new(AnswerReason::MayHaveRunTimeout)),
        }
    }

    /// Whether attempts and time are left.
    fn may_try_again(&self, log: &TryLog) -> bool {
        let left = self.end.saturating_duration_since(Instant::now());
        log.sent < self.route.max_attempts && left >= LEAST_TRY
    }

    /// Runs one try at the placed runner.
    async fn run_at(
        &self,
        call: &CallerCall,
        placed: &PlacedRunner,
        state: &Rc<GatewayState>,
        sink: &mut CallerSink<'_>,
    ) -> TryEnd {
        let model = call
            .request
            .prompt
            .as_ref()
            .map(|prompt| prompt.model.as_str());
        let mut booking = placed.book(state, model);
        let record = placed.runner.record();
        let customer = self.customer.as_ref();
        let rank = engine_rank(customer.and_then(|c| c.priority), self.route.priority);
        let is_prompt = call.request.prompt.is_some();
        let order = ForwardContext {
            runner: &record.id,
            caller_timeout: Duration::ZERO,
            customer: customer.map(|c| c.name.as_str()),
            strips_key: self.table.needs_keys(),
            weights: placed.weights,
            rank: is_prompt.then_some(rank),
            cache: placed.cache.as_ref(),
            resume_after: sink.last_event,
        };
        let instances = state.instance_count() as u32;
        let service = self.table.service(&self.service);
        let most = service.map_or(0, |s| s.max_connections);
        let run = RunnerTry {
            call,
            metrics: &state.metrics,
            route: &self.route,
            runner: &placed.runner,
            order,
            end: self.end,
            most_connections: (most / instances).max(1),
            most_bytes: most_answer_bytes(state.settings().machine.memory_bytes),
        };
        run.run(sink, || booking.note_started()).await
    }
}

/// Rank of a request at an engine: the customer's goes before the route's.
fn engine_rank(customer: Option<u8>, route: u8) -> u8 {
    let route = route.min(ROUTE_RANKS - 1);
    customer.map_or(route, |rank| (rank * ROUTE_RANKS).saturating_add(route))
}

/// Runners that answered one request with errors of their own; judged when the
/// request ends.
#[derive(Default)]
struct RunnerErrors {
    runners: Vec<Rc<RunnerHandle>>,
    /// Whether another runner answered it well.
    is_served: bool,
}

impl RunnerErrors {
    fn note(&mut self, runner: &Rc<RunnerHandle>, end: &TryEnd) {
        match end {
            TryEnd::Whole(answer) if answer.status.is_server_error() => {
                self.runners.push(runner.clone());
            }
            TryEnd::Whole(_) | TryEnd::Streamed => self.is_served = true,
            _ => {}
        }
    }
}

impl Drop for RunnerErrors {
    fn drop(&mut self) {
        let now_ms = boot_ms();
        let failures = self.runners.iter().map(|runner| runner.failures(now_ms));
        let failures: Vec<f64> = failures.collect();
        if !self.is_served && is_request_at_fault(&failures) {
            return;
        }
        for runner in &self.runners {
            runner.note_end(false, now_ms);
        }
    }
}

/// What the caller learns if no further try is made.
enum CallVerdict {
    /// An answer of our own.
    Own(OwnAnswer),
    /// The runner's answer.
    Runner(WholeAnswer),
    /// The stream that has begun is cut.
    Cut(&'static str),
}

impl CallVerdict {
    /// Takes how a try ended, of which `sent` reached a runner so far; returns
    /// whether another may follow.
    ///
    /// The verdict promises that the request has not run only as long as no try
    /// may have run it.
    fn after(&mut self, end: TryEnd, sent: u32, is_retryable: bool) -> bool {
        match end {
            TryEnd::NotSent(_) => {
                if sent == 0 {
                    *self = Self::Own(refusal(AnswerReason::NoRunner));
                }
                true
            }
            TryEnd::NotRun(_) => {
                if self.has_not_run() {
                    *self = Self::Own(refusal(AnswerReason::Refused));
                }
                true
            }
            TryEnd::MayHaveRun(_) => {
                if !matches!(self, Self::Runner(_)) {
                    *self = Self::Own(OwnAnswer::new(AnswerReason::MayHaveRun));
                }
                is_retryable
            }
            TryEnd::Broken(reason) => {
                *self = Self::Cut(reason);
                is_retryable
            }
            TryEnd::Whole(answer) => {
                let is_failure = answer.status.is_server_error();
                *self = Self::Runner(answer);
                is_failure && is_retryable
            }
            TryEnd::Streamed | TryEnd::CallerGone | TryEnd::TimedOut(_) => false,
        }
    }

    /// Tells the caller to come back when a runner takes requests again, if the
    /// request has not run.
    fn note_rest(&mut self, delay: Duration) {
        if self.has_not_run() {
            let mut answer = OwnAnswer::new(AnswerReason::RunnersRest);
            answer.retry_after = Some(delay.mul_f64(rng().random_range(REST_RETURN_SPREAD)));
            *self = Self::Own(answer);
        }
    }

    fn has_not_run(&self) -> bool {
        let reason = match self {
            Self::Own(answer) => answer.reason,
            Self::Runner(_) | Self::Cut(_) => return false,
        };
        matches!(reason, AnswerReason::NoRunner | AnswerReason::Refused)
    }

    /// Brings the verdict to the caller, as far as it is a runner's answer.
    async fn conclude(self, sink: &mut CallerSink<'_>) -> CallEnd {
        match self {
            Self::Own(_) if sink.is_started => CallEnd::Cut("the stream could not go on"),
            Self::Own(answer) => CallEnd::Own(answer),
            Self::Runner(answer) => deliver(sink, answer).await,
            Self::Cut(reason) => CallEnd::Cut(reason),
        }
    }
}

/// What looking for a runner with room found.
enum FoundRoom {
    Placed(Box<PlacedRunner>),
    /// No runner has room; the caller should come back after this time.
    NoRoom(Duration),
    /// All runners want to be left alone, the first of them for this long.
    Resting(Duration),
    NoRunner,
    CallerGone,
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

/// Sends an answer that was read whole.
async fn deliver(sink: &mut CallerSink<'_>, answer: WholeAnswer) -> CallEnd {
    if sink.is_started {
        return CallEnd::Cut("the stream could not go on");
    }
    let mut headers = answer.headers;
    let bytes = encode_whole(answer.status, &mut headers, &answer.body, sink.closes);
    match sink.stream.write(&bytes).await {
        Ok(()) => CallEnd::Answered(answer.status),
        Err(_) => CallEnd::CallerGone,
    }
}
