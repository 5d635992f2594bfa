//! One request, from its head to its final answer.

use crate::{
    call_log::{record_outcome, request_class, AttemptLog, CallOutcome},
    clock::boot_ms,
    placement::{place, PlacedRunner, PlacementQuery, PlacementResult},
    responses::{encode_response, LocalReason, LocalResponse},
    roster::RunnerHandle,
    state::GatewayState,
    upstream::{max_idle, max_response_bytes, AttemptOutcome, BufferedResponse, RunnerAttempt},
};
use berylmount_adapter::request_headers::RunnerOrder;
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
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(30);
/// Tries to connect for one request, beyond those that reach a runner.
const MAX_UNSENT_ATTEMPTS: u32 = 3;
/// Time between two looks for room: a few steps of an engine's batch.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Spread of the time to come back, so that refused callers don't return together.
const OVERLOAD_JITTER: Range<f64> = 0.8..1.3;
/// Spread of the time to come back to runners that rest. Never less than they
/// asked for.
const BACKOFF_JITTER: Range<f64> = 1.0..1.3;
/// Part of a route's time limit that a caller on its first attempt still has.
const FIRST_ATTEMPT_SHARE: f64 = 0.8;
/// Ranks of routes that are told apart within a customer's rank.
const ROUTE_PRIORITIES: u8 = 3;
/// Time after which a leaving instance refuses long streams, in milliseconds:
/// a stream that starts later might not end before the kill.
const DRAIN_STREAM_CUTOFF_MS: u64 = 3000;

/// A request that was read whole.
pub(crate) struct InboundCall {
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
    call: InboundCall,
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
    let mut attempts = AttemptLog::default();
    let end = match routed(state, &call) {
        Ok(routed) => {
            let end = tokio::select! {
                end = routed.forward(state, &call, &mut sink, &mut attempts) => Some(end),
                () = state.until_grace_over() => None,
            };
            end.unwrap_or_else(|| routed.timed_out(&attempts, &sink))
        }
        Err(reason) => CallOutcome::Local(refusal(reason)),
    };
    record_outcome(state, &call, &sink, &end, &attempts);
    match end {
        CallOutcome::Local(response) => {
            let bytes = response.encode(&call.request.id, closes);
            sink.stream.write(&bytes).await.is_ok() && !closes
        }
        CallOutcome::Answered(_) | CallOutcome::Streamed => !closes,
        CallOutcome::CallerGone | CallOutcome::Cut(_) => false,
    }
}

/// An answer of our own, with the time to come back where that helps.
fn refusal(reason: LocalReason) -> LocalResponse {
    let mut response = LocalResponse::new(reason);
    if response.reason.status() == StatusCode::SERVICE_UNAVAILABLE {
        let (least, service_max) = RETRY_AFTER_MS;
        let delay = Duration::from_millis(rng().random_range(least..service_max));
        response.retry_after = Some(delay);
    }
    response
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
fn routed(state: &GatewayState, call: &InboundCall) -> Result<RoutedCall, LocalReason> {
    let table = state.table().ok_or(LocalReason::NoTable)?;
    let host = call.head.headers.get(HOST).and_then(|v| v.to_str().ok());
    let host = host.ok_or(LocalReason::Malformed)?;
    let host = host
        .split(':')
        .next()
        .unwrap_or_default()
        .to_ascii_lowercase();
    let route = table.route(&host, call.head.path());
    let route = route.ok_or(LocalReason::UnknownRoute)?.clone();
    let customer = match &call.request.key {
        Some(key) if table.needs_keys() => table.customer(key).cloned(),
        _ => None,
    };
    if table.needs_keys() && customer.is_none() && !route.is_public {
        return Err(LocalReason::UnknownKey);
    }
    let patience = call.request.patience.unwrap_or(Duration::MAX);
    let waited = Duration::from_millis(boot_ms().saturating_sub(call.arrived_ms));
    let left = patience.min(route.timeout).saturating_sub(waited);
    let service = route.service_of(&call.request).to_owned();
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
        call: &InboundCall,
        sink: &mut CallerSink<'_>,
        attempts: &mut AttemptLog,
    ) -> CallOutcome {
        let is_stream = self.route.kind == RouteKind::Streaming;
        let is_late = is_stream && state.leaving_ms() >= DRAIN_STREAM_CUTOFF_MS;
        if is_late || state.begins_nothing() {
            return CallOutcome::Local(refusal(LocalReason::Leaving));
        }
        state.note_first_try(&self.service, boot_ms());
        if call.request.prompt.is_some() {
            state.note_offered(&self.service, boot_ms());
        }
        let mut tried: Vec<Rc<RunnerHandle>> = Vec::new();
        let mut errors = RunnerErrors::default();
        let mut unsent_attempts = 0;
        let mut fallback = FallbackOutcome::Local(refusal(LocalReason::NoRunner));
        loop {
            let placed = match self.wait_for_capacity(state, call, sink, &tried).await {
                CapacityWait::Placed(placed) => placed,
                CapacityWait::CallerGone => return CallOutcome::CallerGone,
                CapacityWait::NoRunner => break,
                CapacityWait::Backoff(delay) => {
                    fallback.note_backoff(delay);
                    break;
                }
                CapacityWait::NoCapacity(_) if attempts.sent > 0 => break,
                CapacityWait::NoCapacity(delay) => {
                    let mut response = refusal(LocalReason::Overloaded);
                    response.retry_after = Some(delay.mul_f64(rng().random_range(OVERLOAD_JITTER)));
                    return CallOutcome::Local(response);
                }
            };
            if attempts.sent > 0 && !state.take_retry(&self.service, boot_ms()) {
                break;
            }
            self.note_placed(state, call, &placed);
            let started_ms = boot_ms();
            attempts.begin();
            let end = self.run_attempt(call, &placed, state, sink).await;
            attempts.record(state, &placed, &end, started_ms);
            tried.push(placed.runner.clone());
            errors.note(&placed.runner, &end);
            match end {
                AttemptOutcome::Streamed => return CallOutcome::Streamed,
                AttemptOutcome::CallerGone => return CallOutcome::CallerGone,
                AttemptOutcome::TimedOut(_) => return self.timed_out(attempts, sink),
                AttemptOutcome::NotSent(_) => unsent_attempts += 1,
                _ => {}
            }
            let may_continue = fallback.after(end, attempts.sent, self.route.is_repeatable());
            if !may_continue || unsent_attempts >= MAX_UNSENT_ATTEMPTS || !self.may_retry(attempts)
            {
                break;
            }
        }
        fallback.deliver_to(sink).await
    }

    /// Counts a request that goes to a runner.
    fn note_placed(&self, state: &GatewayState, call: &InboundCall, placed: &PlacedRunner) {
        let waited_ms = boot_ms().saturating_sub(call.arrived_ms);
        let (class, metrics) = (request_class(call), &state.metrics);
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
    async fn wait_for_capacity(
        &self,
        state: &GatewayState,
        call: &InboundCall,
        sink: &mut CallerSink<'_>,
        tried: &[Rc<RunnerHandle>],
    ) -> CapacityWait {
        loop {
            let query = self.query(call);
            match place(state, &query, tried) {
                PlacementResult::Placed(placed) => return CapacityWait::Placed(placed),
                PlacementResult::NoRunner => return CapacityWait::NoRunner,
                PlacementResult::Backoff(delay) => return CapacityWait::Backoff(delay),
                PlacementResult::NoCapacity => {}
            }
            if let NoRoom::Refuse(delay_ms) = without_room(&query.need) {
                return CapacityWait::NoCapacity(Duration::from_secs_f64(delay_ms / 1000.0));
            }
            tokio::select! {
                () = sleep(CAPACITY_POLL_INTERVAL) => {}
                () = sink.stream.closed() => return CapacityWait::CallerGone,
            }
        }
    }

    fn query<'a>(&'a self, call: &'a InboundCall) -> PlacementQuery<'a> {
        let left = self.end.saturating_duration_since(Instant::now());
        let patience = call.request.patience.unwrap_or(self.route.timeout);
        let need = AdmissionNeed {
            rank: self.route.priority,
            target_ms: millis(self.route.target_latency),
            waited_ms: boot_ms().saturating_sub(call.arrived_ms) as f64,
            left_ms: millis(left),
            is_late: patience < self.route.timeout.mul_f64(FIRST_ATTEMPT_SHARE),
        };
        PlacementQuery {
            table: &self.table,
            service: &self.service,
            call,
            customer: self.customer.as_ref(),
            need,
            draw: self.draw,
            max_idle: max_idle(&self.route),
        }
    }

    /// The final answer when time has run out.
    fn timed_out(&self, attempts: &AttemptLog, sink: &CallerSink<'_>) -> CallOutcome {
        match (sink.is_started, attempts.may_have_run()) {
            (true, _) => CallOutcome::Cut("time ran out"),
            (false, false) => CallOutcome::Local(refusal(LocalReason::TooLate)),
            (false, true) => CallOutcome::Local(LocalResponse::new(LocalReason::MayHaveRunTimeout)),
        }
    }

    /// Whether attempts and time are left.
    fn may_retry(&self, attempts: &AttemptLog) -> bool {
        let left = self.end.saturating_duration_since(Instant::now());
        attempts.sent < self.route.max_attempts && left >= MIN_ATTEMPT_TIME
    }

    /// Runs one try at the placed runner.
    async fn run_attempt(
        &self,
        call: &InboundCall,
        placed: &PlacedRunner,
        state: &Rc<GatewayState>,
        sink: &mut CallerSink<'_>,
    ) -> AttemptOutcome {
        let model = call
            .request
            .prompt
            .as_ref()
            .map(|prompt| prompt.model.as_str());
        let mut reservation = placed.reserve_load(state, model);
        let record = placed.runner.record();
        let customer = self.customer.as_ref();
        let rank = engine_rank(customer.and_then(|c| c.priority), self.route.priority);
        let is_prompt = call.request.prompt.is_some();
        let order = RunnerOrder {
            runner: &record.id,
            patience: Duration::ZERO,
            customer: customer.map(|c| c.name.as_str()),
            hides_key: self.table.needs_keys(),
            weights: placed.weights,
            rank: is_prompt.then_some(rank),
            cache: placed.cache.as_ref(),
            resume_after: sink.last_event,
        };
        let instances = state.instance_count() as u32;
        let service = self.table.service(&self.service);
        let service_max = service.map_or(0, |s| s.max_connections);
        let run = RunnerAttempt {
            call,
            metrics: &state.metrics,
            route: &self.route,
            runner: &placed.runner,
            order,
            end: self.end,
            max_connections_here: (service_max / instances).max(1),
            max_bytes: max_response_bytes(state.settings().machine.memory_bytes),
        };
        run.run(sink, || reservation.note_started()).await
    }
}

/// Rank of a request at an engine: the customer's goes before the route's.
fn engine_rank(customer: Option<u8>, route: u8) -> u8 {
    let route = route.min(ROUTE_PRIORITIES - 1);
    customer.map_or(route, |rank| {
        (rank * ROUTE_PRIORITIES).saturating_add(route)
    })
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
    fn note(&mut self, runner: &Rc<RunnerHandle>, end: &AttemptOutcome) {
        match end {
            AttemptOutcome::Whole(response) if response.status.is_server_error() => {
                self.runners.push(runner.clone());
            }
            AttemptOutcome::Whole(_) | AttemptOutcome::Streamed => self.is_served = true,
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
enum FallbackOutcome {
    /// An answer of our own.
    Local(LocalResponse),
    /// The runner's answer.
    Runner(BufferedResponse),
    /// The stream that has begun is cut.
    Cut(&'static str),
}

impl FallbackOutcome {
    /// Takes how a try ended, of which `sent` reached a runner so far; returns
    /// whether another may follow.
    ///
    /// The verdict promises that the request has not run only as long as no try
    /// may have run it.
    fn after(&mut self, end: AttemptOutcome, sent: u32, is_repeatable: bool) -> bool {
        match end {
            AttemptOutcome::NotSent(_) => {
                if sent == 0 {
                    *self = Self::Local(refusal(LocalReason::NoRunner));
                }
                true
            }
            AttemptOutcome::NotRun(_) => {
                if self.has_not_run() {
                    *self = Self::Local(refusal(LocalReason::Refused));
                }
                true
            }
            AttemptOutcome::MayHaveRun(_) => {
                if !matches!(self, Self::Runner(_)) {
                    *self = Self::Local(LocalResponse::new(LocalReason::MayHaveRun));
                }
                is_repeatable
            }
            AttemptOutcome::Broken(reason) => {
                *self = Self::Cut(reason);
                is_repeatable
            }
            AttemptOutcome::Whole(response) => {
                let is_failure = response.status.is_server_error();
                *self = Self::Runner(response);
                is_failure && is_repeatable
            }
            AttemptOutcome::Streamed | AttemptOutcome::CallerGone | AttemptOutcome::TimedOut(_) => {
                false
            }
        }
    }

    /// Tells the caller to come back when a runner takes requests again, if the
    /// request has not run.
    fn note_backoff(&mut self, delay: Duration) {
        if self.has_not_run() {
            let mut response = LocalResponse::new(LocalReason::RunnersRest);
            response.retry_after = Some(delay.mul_f64(rng().random_range(BACKOFF_JITTER)));
            *self = Self::Local(response);
        }
    }

    fn has_not_run(&self) -> bool {
        let reason = match self {
            Self::Local(response) => response.reason,
            Self::Runner(_) | Self::Cut(_) => return false,
        };
        matches!(reason, LocalReason::NoRunner | LocalReason::Refused)
    }

    /// Brings the verdict to the caller, as far as it is a runner's answer.
    async fn deliver_to(self, sink: &mut CallerSink<'_>) -> CallOutcome {
        match self {
            Self::Local(_) if sink.is_started => CallOutcome::Cut("the stream could not go on"),
            Self::Local(response) => CallOutcome::Local(response),
            Self::Runner(response) => deliver(sink, response).await,
            Self::Cut(reason) => CallOutcome::Cut(reason),
        }
    }
}

/// What looking for a runner with room found.
enum CapacityWait {
    Placed(Box<PlacedRunner>),
    /// No runner has room; the caller should come back after this time.
    NoCapacity(Duration),
    /// All runners want to be left alone, the first of them for this long.
    Backoff(Duration),
    NoRunner,
    CallerGone,
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

/// Sends an answer that was read whole.
async fn deliver(sink: &mut CallerSink<'_>, response: BufferedResponse) -> CallOutcome {
    if sink.is_started {
        return CallOutcome::Cut("the stream could not go on");
    }
    let mut headers = response.headers;
    let bytes = encode_response(response.status, &mut headers, &response.body, sink.closes);
    match sink.stream.write(&bytes).await {
        Ok(()) => CallOutcome::Answered(response.status),
        Err(_) => CallOutcome::CallerGone,
    }
}
