//! Handles one request from its head to its final response.

use crate::{
    call_log::{record_outcome, request_class, AttemptLog, CallOutcome},
    caller_memory::CallerAccount,
    clock::boot_ms,
    cold_runners::{acquire_cold_permit, ColdPermit},
    crash_parts::{
        decide_request, is_informed, may_repeat, note_answer, note_attempt, refusal_of, PartKeys,
    },
    evacuations::is_unread,
    peers::name_hash,
    permits::acquire_permit,
    placement::{cost_of, place, PlacedRunner, PlacementQuery, PlacementResult},
    places::{acquire_place, PlaceResult, RunnerPlace},
    reachability::{reach_of, ServiceReach},
    responses::{encode_parts, LocalReason, LocalResponse},
    runner_registry::RunnerHandle,
    state::GatewayState,
    stream_versions::{
        has_runner_of, note_begun, software_key, version_of_stream, wait_for_admission,
        SoftwareRule,
    },
    upstream::{is_refusal, max_idle, AttemptOutcome, BufferedResponse, RunnerAttempt},
    waiting::{class_position, note_refused, WaitRefusal, WaitTurn},
};
use berylmount_adapter::request_headers::ForwardContext;
use berylmount_fleet::{
    CallerRequest, CustomerRecord, HomeRegions, RouteKind, RouteRule, RouteTable,
};
use berylmount_h1::{H1Stream, RequestHead, WatchEnd};
use berylmount_policy::{
    admission::{max_wait_ms, refusal_delay_ms, usable_fraction, AdmissionRequest},
    admission_level::{is_returning, AdmissionClass, RefusedCaller},
    admission_queue::WaitingRequest,
    runner_health::is_request_at_fault,
};
use berylmount_telemetry::{CounterMetric, HistogramMetric};
use bytes::Bytes;
use http::{header::HOST, Method, StatusCode};
use rand::{rng, RngExt};
use std::{borrow::Cow, future::ready, io, ops::Range, pin::pin, rc::Rc, time::Duration};
use tokio::time::Instant;

/// Shortest and longest retry delay for a rejected caller, in milliseconds. The
/// delay is randomised so that rejected callers don't return together.
const RETRY_AFTER_MS: (u64, u64) = (150, 500);
/// Retry delay while no instance has a path to the runners, in milliseconds. A path that
/// heals is found within it.
const ISOLATED_RETRY_MS: Range<u64> = 500..1000;
/// Minimum time that must remain for another attempt.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(30);
/// Maximum attempts of one request that fail before anything is sent.
const MAX_UNSENT_ATTEMPTS: u32 = 3;
/// Permits that one request may be denied before it avoids runners with request limits.
const MAX_PERMIT_DENIALS: u32 = 2;
/// Places that one request may be denied before it avoids brittle runners. Each is denied
/// within a round trip, and one of several full runners may have just got room.
const MAX_PLACE_DENIALS: u32 = 4;
/// Random factor on the retry delay during overload, so that rejected callers don't
/// return together.
const OVERLOAD_JITTER: Range<f64> = 0.8..1.3;
/// Random factor on the retry delay while all runners are in backoff. Never below
/// 1, because the runners asked for that delay.
const BACKOFF_JITTER: Range<f64> = 1.0..1.3;
/// Number of distinct route priorities within one customer priority.
const ROUTE_PRIORITIES: u8 = 3;

/// A request that was read completely.
pub(crate) struct InboundCall {
    pub(crate) head: RequestHead,
    pub(crate) body: Bytes,
    pub(crate) request: CallerRequest,
    /// Boot time at which the head was received, in milliseconds.
    pub(crate) arrived_ms: u64,
}

/// The response side of a caller's connection.
pub(crate) struct CallerSink<'a> {
    pub(crate) stream: &'a mut H1Stream,
    /// Accounts for what is held for the connection.
    pub(crate) account: &'a CallerAccount,
    /// Whether a runner's response has been started; nothing else may follow its bytes.
    pub(crate) is_started: bool,
    /// Whether the connection is closed after the response.
    pub(crate) closes: bool,
    /// The id of the last event that was sent.
    pub(crate) last_event: Option<u64>,
    /// Key of the service and software version of the runner that was tried last, or that the
    /// events come from.
    pub(crate) software: u64,
    /// Boot time at which the first event was sent, in milliseconds; 0 before.
    pub(crate) first_event_ms: u64,
    /// Boot time at which the last event was sent, in milliseconds.
    pub(crate) sent_at_ms: u64,
    /// Longest time between two events, in milliseconds.
    pub(crate) longest_pause_ms: u64,
    /// Number of event blocks that were sent.
    pub(crate) events: u32,
}

impl CallerSink<'_> {
    /// Waits until the caller has disconnected, or is closed because it sends requests ahead while
    /// memory is short.
    pub(crate) async fn gone(&mut self) {
        match self.stream.watch().await {
            WatchEnd::Closed => {}
            WatchEnd::Full => tokio::select! {
                biased;
                () = self.account.wait_ahead() => self.account.cut_off(self.stream),
                // An error means that the runtime ends, and the connection with it.
                _ = self.stream.peer_closed() => {}
            },
        }
    }

    /// Writes `bytes` to the caller. Fails if the caller has disconnected, or is closed because it
    /// does not read while memory is short.
    pub(crate) async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let written = {
            let mut writing = pin!(self.stream.write(bytes));
            let at_once = tokio::select! {
                biased;
                written = writing.as_mut() => Some(written),
                () = ready(()) => None,
            };
            match at_once {
                Some(written) => Some(written),
                None => self.account.deliver(bytes.len(), writing).await,
            }
        };
        written.unwrap_or_else(|| {
            self.account.cut_off(self.stream);
            Err(io::ErrorKind::ConnectionAborted.into())
        })
    }
}

/// Serves a request; returns whether the connection can carry another one.
pub(crate) async fn serve_call(
    state: &Rc<GatewayState>,
    stream: &mut H1Stream,
    account: &CallerAccount,
    call: InboundCall,
) -> bool {
    let mut sink = CallerSink {
        stream,
        account,
        is_started: false,
        closes: call.head.wants_close(),
        last_event: None,
        software: 0,
        first_event_ms: 0,
        sent_at_ms: 0,
        longest_pause_ms: 0,
        events: 0,
    };
    let mut attempts = AttemptLog::default();
    let outcome = match resolve_route(state, &call) {
        Ok(routed) => {
            let outcome = tokio::select! {
                outcome = routed.forward(state, &call, &mut sink, &mut attempts) => Some(outcome),
                () = state.wait_for_grace_end() => None,
            };
            outcome.unwrap_or_else(|| routed.timed_out(&attempts, &sink))
        }
        Err(reason) => CallOutcome::Local(rejection(reason)),
    };
    record_outcome(state, &call, &sink, &outcome, &attempts);
    match outcome {
        CallOutcome::Local(response) => {
            let closes = sink.closes || state.is_draining();
            let bytes = response.encode(&call.head.method, &call.request.id, closes);
            sink.write(&bytes).await.is_ok() && !closes
        }
        CallOutcome::Answered(_) | CallOutcome::Streamed => !sink.closes,
        CallOutcome::CallerGone | CallOutcome::Aborted(_) => false,
    }
}

/// Builds a rejection, with a randomised `Retry-After` if the status is 503.
pub(crate) fn rejection(reason: LocalReason) -> LocalResponse {
    let mut response = LocalResponse::new(reason);
    if response.reason.status() == StatusCode::SERVICE_UNAVAILABLE {
        let (min_ms, max_ms) = RETRY_AFTER_MS;
        let delay = Duration::from_millis(rng().random_range(min_ms..max_ms));
        response.retry_after = Some(delay);
    }
    response
}

/// A request resolved to its route, customer and service.
pub(crate) struct RoutedCall {
    table: Rc<RouteTable>,
    route: RouteRule,
    customer: Option<CustomerRecord>,
    service: String,
    /// The regions that the request is bound to.
    homes: HomeRegions,
    deadline: Instant,
    /// Its cost in slots; `None` if the service is none of engines.
    cost: Option<f64>,
}

/// Resolves the route and the customer of a request.
pub(crate) fn resolve_route(
    state: &GatewayState,
    call: &InboundCall,
) -> Result<RoutedCall, LocalReason> {
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
    let caller_timeout = call.request.caller_timeout.unwrap_or(Duration::MAX);
    let waited = Duration::from_millis(boot_ms().saturating_sub(call.arrived_ms));
    let left = caller_timeout.min(route.timeout).saturating_sub(waited);
    let service = route.service_for(&call.request).to_owned();
    let cost = cost_of(state, &table, &service, call.request.prompt.as_ref());
    let customer_regions = customer.as_ref().map(|customer| &customer.home_regions[..]);
    let homes = HomeRegions::of(&route.home_regions, customer_regions.unwrap_or_default());
    Ok(RoutedCall {
        table,
        route,
        customer,
        service,
        homes,
        deadline: Instant::now() + left.min(Duration::from_secs(3600)),
        cost,
    })
}

impl RoutedCall {
    /// Sends the request to a runner, and retries at others where that is allowed.
    async fn forward(
        &self,
        state: &Rc<GatewayState>,
        call: &InboundCall,
        sink: &mut CallerSink<'_>,
        attempts: &mut AttemptLog,
    ) -> CallOutcome {
        if state.refuses_work(self.time_left()) {
            return CallOutcome::Local(rejection(LocalReason::Draining));
        }
        state.note_first_attempt(&self.service, boot_ms());
        let customer = self.customer.as_ref().map(|c| c.name.as_str());
        let parts = PartKeys::of(call, customer);
        if let Some(refusal) = self.refuse_parts(state, call, &parts, attempts) {
            return CallOutcome::Local(refusal);
        }
        if call.request.prompt.is_some() {
            state.note_offered(&self.service, boot_ms());
        }
        if let Some(cost) = self.cost {
            let timeout = call.request.caller_timeout.unwrap_or(self.route.timeout);
            let is_returning = is_returning(millis(timeout), millis(self.route.timeout));
            let class = AdmissionClass::new(self.route.priority, is_returning);
            state.waiting.note_offered(&self.service, class, cost);
        }
        let position = class_position(parts.whole);
        let software = match self.software_rule(state, call, sink).await {
            Ok(software) => software,
            Err(reason) => return CallOutcome::Local(rejection(reason)),
        };
        let mut tried: Vec<Rc<RunnerHandle>> = Vec::new();
        let mut errors = RunnerErrors::default();
        let mut unsent_attempts = 0;
        let mut fallback = FallbackOutcome::Local(rejection(LocalReason::NoRunner));
        loop {
            let software = match sink.is_started && self.route.is_resumable {
                true => SoftwareRule::Only(sink.software),
                false => software,
            };
            let placing = Placing {
                tried: &tried,
                software,
                position,
            };
            let capacity = self.wait_for_capacity(state, call, sink, placing, attempts);
            let (placed, mut runner_place) = match capacity.await {
                CapacityWait::Placed(placed, runner_place) => (placed, runner_place),
                CapacityWait::CallerGone => return CallOutcome::CallerGone,
                CapacityWait::NoRunner if attempts.sent == 0 && self.is_isolated(state) => {
                    let delay = Duration::from_millis(rng().random_range(ISOLATED_RETRY_MS));
                    return CallOutcome::Local(refused_for(LocalReason::NoPath, delay));
                }
                CapacityWait::NoRunner => break,
                CapacityWait::Backoff(delay) => {
                    fallback.note_backoff(delay);
                    break;
                }
                CapacityWait::NoCapacity(..) if attempts.sent > 0 => break,
                CapacityWait::NoCapacity(reason, delay) => {
                    return CallOutcome::Local(refused_for(reason, delay));
                }
            };
            // A request may have waited unread for longer than its caller.
            if sink.stream.is_closed() {
                return CallOutcome::CallerGone;
            }
            if state.refuses_work(self.time_left()) {
                if attempts.sent == 0 {
                    return CallOutcome::Local(rejection(LocalReason::Draining));
                }
                break;
            }
            if attempts.sent > 0 && !state.take_retry(&self.service, boot_ms()) {
                break;
            }
            if let Some((reason, delay)) = decide_request(state, &parts.all).await {
                attempts.record_blamed(&parts, call.request.prompt.as_ref());
                if attempts.sent == 0 {
                    return CallOutcome::Local(refused_for(reason, delay));
                }
                break;
            }
            self.note_placed(state, call, &placed);
            note_limited(state, &placed.runner, attempts.sent > 0);
            let started_ms = boot_ms();
            attempts.begin();
            let outcome = self.run_attempt(call, &placed, state, &parts, sink).await;
            attempts.record(state, &placed, &outcome, started_ms);
            if let Some(runner_place) = &mut runner_place {
                attempts.avoids_brittle |= runner_place.note_outcome(&placed.runner, &outcome);
            }
            drop(runner_place);
            note_attempt(
                state,
                &self.service,
                &placed.runner,
                &parts,
                &outcome,
                started_ms,
            );
            tried.push(placed.runner.clone());
            errors.note(&placed.runner, &outcome);
            match outcome {
                AttemptOutcome::Streamed => return CallOutcome::Streamed,
                AttemptOutcome::CallerGone => return CallOutcome::CallerGone,
                AttemptOutcome::TimedOut(_) => return self.timed_out(attempts, sink),
                AttemptOutcome::NotSent(_) => unsent_attempts += 1,
                _ => {}
            }
            let has_broken = matches!(outcome, AttemptOutcome::Disconnected(_));
            let may_continue = fallback.update(outcome, attempts.sent, self.route.is_retryable())
                && (!has_broken || may_repeat(state, &parts));
            if !may_continue || unsent_attempts >= MAX_UNSENT_ATTEMPTS || !self.may_retry(attempts)
            {
                break;
            }
        }
        sink.closes |= state.is_draining();
        fallback.deliver_to(sink, &call.head.method).await
    }

    /// Returns the refusal of a request whose parts crash runners, or of any request as long
    /// as this process does not know which do.
    fn refuse_parts(
        &self,
        state: &GatewayState,
        call: &InboundCall,
        parts: &PartKeys,
        attempts: &mut AttemptLog,
    ) -> Option<LocalResponse> {
        if !is_informed(state) || is_unread(state) {
            return Some(rejection(LocalReason::Starting));
        }
        let (reason, delay) = refusal_of(state, &parts.all)?;
        attempts.record_blamed(parts, call.request.prompt.as_ref());
        Some(refused_for(reason, delay))
    }

    /// Returns at which software versions a request may run, or why it may run at none.
    async fn software_rule(
        &self,
        state: &GatewayState,
        call: &InboundCall,
        sink: &mut CallerSink<'_>,
    ) -> Result<SoftwareRule, LocalReason> {
        if self.route.kind != RouteKind::Streaming || !self.route.is_resumable {
            return Ok(SoftwareRule::Any);
        }
        if call.request.last_event.is_none() {
            tokio::select! {
                () = wait_for_admission(state, &self.service) => {}
                () = sink.gone() => {}
            }
            return Ok(SoftwareRule::Admitted);
        }
        let version = tokio::select! {
            version = version_of_stream(state, &self.service, &call.request) => version,
            () = sink.gone() => None,
        };
        let version = version.ok_or(LocalReason::UnknownStream)?;
        match has_runner_of(state, &self.service, version) {
            true => Ok(SoftwareRule::Only(version)),
            false => Err(LocalReason::VersionGone),
        }
    }

    /// Updates the metrics of a request that is sent to a runner.
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

    /// Places the request and acquires a permit if the runner has a request limit, and a
    /// place if it is brittle. Waits for its turn if no runner has capacity.
    async fn wait_for_capacity(
        &self,
        state: &Rc<GatewayState>,
        call: &InboundCall,
        sink: &mut CallerSink<'_>,
        placing: Placing<'_>,
        attempts: &mut AttemptLog,
    ) -> CapacityWait {
        let Placing {
            tried,
            software,
            position,
        } = placing;
        let (mut denials, mut place_denials) = (0, 0);
        let mut turn = self.turn(state, call, &placing);
        let mut has_turn = turn.as_ref().is_none_or(WaitTurn::is_first);
        loop {
            let mut query = self.query(call, software, position);
            query.avoids_limited = denials >= MAX_PERMIT_DENIALS;
            query.avoids_brittle = attempts.avoids_brittle || place_denials >= MAX_PLACE_DENIALS;
            let placement = match has_turn {
                true => place(state, &query, tried),
                false => PlacementResult::NoCapacity,
            };
            let found = match placement {
                PlacementResult::Placed(mut placed) => {
                    let fraction = usable_fraction(&query.admission);
                    let runner_place = tokio::select! {
                        found = acquire_place(state, &placed, fraction, self.time_left()) => found,
                        () = sink.gone() => return CapacityWait::CallerGone,
                    };
                    let runner_place = match runner_place {
                        PlaceResult::NotNeeded => None,
                        PlaceResult::Granted(runner_place) => Some(runner_place),
                        PlaceResult::Denied => {
                            place_denials += 1;
                            attempts.record_full(&placed.runner);
                            continue;
                        }
                    };
                    let permit = tokio::select! {
                        permit = acquire_permits(state, &placed.runner) => permit,
                        () = sink.gone() => return CapacityWait::CallerGone,
                    };
                    if let Some(permit) = permit {
                        placed.permit = permit;
                        if let Some(turn) = turn {
                            turn.end_placed();
                        }
                        return CapacityWait::Placed(placed, runner_place);
                    }
                    denials += 1;
                    attempts.record_denial(&placed.runner);
                    continue;
                }
                PlacementResult::AtLimit(reason, delay) => {
                    let refusal_ms = refusal_delay_ms(&query.admission);
                    let delay = delay.max(Duration::from_secs_f64(refusal_ms / 1000.0));
                    let delay = delay.mul_f64(rng().random_range(OVERLOAD_JITTER));
                    return CapacityWait::NoCapacity(reason, delay);
                }
                PlacementResult::NoRunner => return CapacityWait::NoRunner,
                PlacementResult::Backoff(delay) => return CapacityWait::Backoff(delay),
                PlacementResult::NotAdmitted => Some(WaitRefusal::Level),
                PlacementResult::NoCapacity | PlacementResult::BelowLevel => None,
            };
            let refusal = match (found, &mut turn) {
                (Some(refusal), _) => refusal,
                (None, None) => WaitRefusal::WaitOver,
                (None, Some(turn)) => tokio::select! {
                    waited = turn.wait() => match waited {
                        Ok(()) => {
                            has_turn = true;
                            continue;
                        }
                        Err(refusal) => refusal,
                    },
                    () = sink.gone() => return CapacityWait::CallerGone,
                },
            };
            note_refused(state, refusal);
            let caller = RefusedCaller {
                left_ms: query.admission.left_ms,
                limit_ms: millis(self.route.timeout),
                cost: self.cost.unwrap_or(1.0),
            };
            let delay = state.waiting.return_delay(&self.service, &caller);
            return CapacityWait::NoCapacity(LocalReason::Overloaded, delay);
        }
    }

    /// Returns the turn of a request to engines among those that wait.
    fn turn(
        &self,
        state: &Rc<GatewayState>,
        call: &InboundCall,
        placing: &Placing<'_>,
    ) -> Option<WaitTurn> {
        let query = self.query(call, placing.software, placing.position);
        let is_bound = !placing.tried.is_empty() || query.admission.is_resumed;
        let request = self.waiting_request(&query, is_bound)?;
        Some(WaitTurn::new(state, &self.service, request))
    }

    /// Returns how a request to engines waits. `is_bound` tells whether only certain runners may
    /// run it.
    pub(crate) fn waiting_request(
        &self,
        query: &PlacementQuery<'_>,
        is_bound: bool,
    ) -> Option<WaitingRequest> {
        let (call, admission) = (query.call, &query.admission);
        let customer = self.customer.as_ref().map_or(0, |c| name_hash(&c.name));
        let parts = call.request.prompt.as_ref().map(|prompt| &prompt.parts[..]);
        let shared = parts.and_then(|parts| parts.split_last()?.1.last());
        Some(WaitingRequest {
            class: AdmissionClass::new(admission.rank, admission.is_returning),
            customer,
            subject: customer ^ shared.map_or(0, |part| name_hash(&part.id)),
            cost: self.cost?,
            until_ms: call.arrived_ms + max_wait_ms(admission) as u64,
            is_bound,
        })
    }

    fn query<'a>(
        &'a self,
        call: &'a InboundCall,
        software: SoftwareRule,
        position: f64,
    ) -> PlacementQuery<'a> {
        let left = self.time_left();
        let caller_timeout = call.request.caller_timeout.unwrap_or(self.route.timeout);
        let is_resumed = matches!(software, SoftwareRule::Only(_));
        let admission = AdmissionRequest {
            rank: self.route.priority,
            target_ms: millis(self.route.target_latency),
            waited_ms: boot_ms().saturating_sub(call.arrived_ms) as f64,
            left_ms: millis(left),
            is_resumed,
            is_returning: is_returning(millis(caller_timeout), millis(self.route.timeout)),
        };
        PlacementQuery {
            table: &self.table,
            service: &self.service,
            call,
            customer: self.customer.as_ref(),
            homes: &self.homes,
            admission,
            position: if is_resumed { 0.0 } else { position },
            max_idle: max_idle(&self.route),
            avoids_limited: false,
            avoids_brittle: false,
            software,
            trace: None,
        }
    }

    /// Returns the query of the first placement of a request that takes up no stream.
    pub(crate) fn first_query<'a>(&'a self, call: &'a InboundCall) -> PlacementQuery<'a> {
        let customer = self.customer.as_ref().map(|c| c.name.as_str());
        let position = class_position(PartKeys::of(call, customer).whole);
        let begins_stream = self.route.kind == RouteKind::Streaming && self.route.is_resumable;
        match begins_stream {
            true => self.query(call, SoftwareRule::Admitted, position),
            false => self.query(call, SoftwareRule::Any, position),
        }
    }

    /// Returns the outcome of a request that has reached its time limit.
    fn timed_out(&self, attempts: &AttemptLog, sink: &CallerSink<'_>) -> CallOutcome {
        match (sink.is_started, attempts.may_have_run()) {
            (true, _) => CallOutcome::Aborted("time limit exceeded"),
            (false, false) => CallOutcome::Local(rejection(LocalReason::TooLate)),
            (false, true) => CallOutcome::Local(LocalResponse::new(LocalReason::MayHaveRunTimeout)),
        }
    }

    /// Whether neither this instance nor another one reaches the runners of the service.
    fn is_isolated(&self, state: &GatewayState) -> bool {
        reach_of(state, &self.service, &self.homes) == ServiceReach::Isolated
    }

    /// Returns the time until the request has reached its time limit.
    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns whether the attempt limit and the time limit allow another attempt.
    fn may_retry(&self, attempts: &AttemptLog) -> bool {
        attempts.sent < self.route.max_attempts && self.time_left() >= MIN_ATTEMPT_TIME
    }

    /// Runs one attempt at the selected runner.
    async fn run_attempt(
        &self,
        call: &InboundCall,
        placed: &PlacedRunner,
        state: &Rc<GatewayState>,
        parts: &PartKeys,
        sink: &mut CallerSink<'_>,
    ) -> AttemptOutcome {
        let model = call
            .request
            .prompt
            .as_ref()
            .map(|prompt| prompt.model.as_str());
        let mut reservation = placed.reserve_load(state, model);
        let record = &placed.record;
        let software = software_key(&record.service, &record.software);
        if !sink.is_started {
            sink.software = software;
        }
        let customer = self.customer.as_ref();
        let is_resumed = call.request.last_event.is_some() || sink.is_started;
        let route_priority = if is_resumed { 0 } else { self.route.priority };
        let priority = engine_priority(customer.and_then(|c| c.priority), route_priority);
        let is_prompt = call.request.prompt.is_some();
        let saves = placed.saves.as_ref();
        let may_save = saves.is_none_or(|saves| saves.note_sent());
        let cache = placed.cache.as_ref().map(|cache| match may_save {
            true => Cow::Borrowed(cache),
            false => Cow::Owned(cache.without_saves()),
        });
        let context = ForwardContext {
            runner: &record.id,
            caller_timeout: Duration::ZERO,
            customer: customer.map(|c| c.name.as_str()),
            strips_key: self.table.needs_keys(),
            weights: placed.weights,
            rank: is_prompt.then_some(priority),
            cache: cache.as_deref(),
            resume_after: sink.last_event,
        };
        let instances = state.instance_count() as u32;
        let service = self.table.service(&self.service);
        let max_connections = service.map_or(0, |s| s.max_connections);
        let attempt = RunnerAttempt {
            call,
            state,
            route: &self.route,
            homes: &self.homes,
            runner: &placed.runner,
            record,
            context,
            deadline: self.deadline,
            connection_limit: (max_connections / instances).max(1),
            path: state.service_paths.of(&record.service),
            permit: placed.permit,
        };
        let is_stream = self.route.kind == RouteKind::Streaming;
        let mut has_answered = false;
        // Called with each event.
        let on_first_event = || {
            reservation.record_first_event();
            if let Some(saves) = saves {
                saves.note_first_event();
            }
            if is_stream && !has_answered {
                has_answered = true;
                if self.route.is_resumable {
                    note_begun(state, &call.request, software);
                }
                note_answer(state, &self.service, &parts.all);
            }
        };
        let outcome = attempt.run(sink, on_first_event).await;
        if let Some(saves) = saves {
            saves.note_outcome(&outcome);
        }
        outcome
    }
}

/// Acquires the permits for one request to a runner that it needs. Returns `None` if one of them
/// is not available.
async fn acquire_permits(state: &GatewayState, runner: &RunnerHandle) -> Option<ColdPermit> {
    match acquire_permit(state, runner).await {
        true => acquire_cold_permit(state, runner).await,
        false => None,
    }
}

/// Builds a refusal with a retry delay.
fn refused_for(reason: LocalReason, delay: Duration) -> LocalResponse {
    let mut refusal = LocalResponse::new(reason);
    refusal.retry_after = Some(delay);
    refusal
}

/// Combines priorities for the engine; the customer's takes precedence over the
/// route's.
fn engine_priority(customer: Option<u8>, route: u8) -> u8 {
    let route = route.min(ROUTE_PRIORITIES - 1);
    customer.map_or(route, |priority| {
        (priority * ROUTE_PRIORITIES).saturating_add(route)
    })
}

/// Counts an attempt at a runner that has named a request limit.
fn note_limited(state: &GatewayState, runner: &RunnerHandle, is_retry: bool) {
    let limits = state.runner_limits.borrow();
    if limits.limit_of(runner.limit_key()).is_some() {
        let kind = if is_retry { "retry" } else { "first" };
        state.metrics.add(CounterMetric::LimitedTriesTotal, kind, 1);
    }
}

/// Runners that responded to one request with a server error. When the request ends,
/// the failures count against the runners unless the request itself is at fault.
#[derive(Default)]
struct RunnerErrors {
    runners: Vec<Rc<RunnerHandle>>,
    /// Whether another runner served the request.
    is_served: bool,
}

impl RunnerErrors {
    fn note(&mut self, runner: &Rc<RunnerHandle>, outcome: &AttemptOutcome) {
        match outcome {
            AttemptOutcome::Complete(response) if response.status.is_server_error() => {
                self.runners.push(runner.clone());
            }
            AttemptOutcome::Complete(_) | AttemptOutcome::Streamed => self.is_served = true,
            _ => {}
        }
    }
}

impl Drop for RunnerErrors {
    fn drop(&mut self) {
        let now_ms = boot_ms();
        let failures = self
            .runners
            .iter()
            .map(|runner| runner.failure_rate(now_ms));
        let failures: Vec<f64> = failures.collect();
        if !self.is_served && is_request_at_fault(&failures) {
            return;
        }
        for runner in &self.runners {
            runner.note_end(false, now_ms);
        }
    }
}

/// The outcome for the caller if no further attempt is made.
enum FallbackOutcome {
    /// A response generated by the gateway.
    Local(LocalResponse),
    /// The runner's response.
    Runner(BufferedResponse),
    /// The stream that has started is aborted.
    Aborted(&'static str),
}

impl FallbackOutcome {
    /// Updates the fallback after an attempt; returns whether another attempt is
    /// allowed. `sent` counts the attempts that have reached a runner.
    ///
    /// The fallback promises that the request has not run only as long as no
    /// attempt may have run it.
    fn update(&mut self, outcome: AttemptOutcome, sent: u32, is_retryable: bool) -> bool {
        match outcome {
            AttemptOutcome::NotSent(_) => {
                if sent == 0 {
                    *self = Self::Local(rejection(LocalReason::NoRunner));
                }
                true
            }
            AttemptOutcome::NotRun(_) => {
                if self.has_not_run() {
                    *self = Self::Local(rejection(LocalReason::Refused));
                }
                true
            }
            AttemptOutcome::MayHaveRun(_) | AttemptOutcome::Disconnected(_) => {
                if !matches!(self, Self::Runner(_)) {
                    *self = Self::Local(LocalResponse::new(LocalReason::MayHaveRun));
                }
                is_retryable
            }
            AttemptOutcome::StreamFailed(reason) => {
                *self = Self::Aborted(reason);
                is_retryable
            }
            AttemptOutcome::Complete(response) if !is_retryable && is_refusal(response.status) => {
                // The runner did not state that it has not run the request, so its status
                // must not promise that to the caller.
                *self = Self::Local(LocalResponse::new(LocalReason::MayHaveRun));
                false
            }
            AttemptOutcome::Complete(response) => {
                let is_failure = response.status.is_server_error();
                *self = Self::Runner(response);
                is_failure && is_retryable
            }
            AttemptOutcome::Streamed | AttemptOutcome::CallerGone | AttemptOutcome::TimedOut(_) => {
                false
            }
        }
    }

    /// Sets the retry delay to the end of the runners' backoff, if the request has
    /// not run.
    fn note_backoff(&mut self, delay: Duration) {
        if self.has_not_run() {
            let mut response = LocalResponse::new(LocalReason::RunnersInBackoff);
            response.retry_after = Some(delay.mul_f64(rng().random_range(BACKOFF_JITTER)));
            *self = Self::Local(response);
        }
    }

    fn has_not_run(&self) -> bool {
        let reason = match self {
            Self::Local(response) => response.reason,
            Self::Runner(_) | Self::Aborted(_) => return false,
        };
        matches!(reason, LocalReason::NoRunner | LocalReason::Refused)
    }

    /// Sends a runner's response to the caller and returns the final outcome. A
    /// response generated by the gateway is only returned; [`serve_call`] sends it.
    async fn deliver_to(self, sink: &mut CallerSink<'_>, method: &Method) -> CallOutcome {
        match self {
            Self::Local(_) if sink.is_started => {
                CallOutcome::Aborted("the stream could not be resumed")
            }
            Self::Local(response) => CallOutcome::Local(response),
            Self::Runner(response) => deliver(sink, method, response).await,
            Self::Aborted(reason) => CallOutcome::Aborted(reason),
        }
    }
}

/// What restricts the runners of one attempt.
struct Placing<'a> {
    /// Runners that were tried before.
    tried: &'a [Rc<RunnerHandle>],
    /// The software versions that may run the request.
    software: SoftwareRule,
    /// Position from 0 to 1 among the requests of its class.
    position: f64,
}

/// Result of waiting for a runner with capacity.
enum CapacityWait {
    /// A runner, with a place there if it is brittle.
    Placed(Box<PlacedRunner>, Option<RunnerPlace>),
    /// No runner has capacity; the reason, and the time after which the caller should
    /// retry.
    NoCapacity(LocalReason, Duration),
    /// All runners are in backoff; the first one accepts requests after this time.
    Backoff(Duration),
    NoRunner,
    CallerGone,
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

/// Sends a buffered response to the caller.
async fn deliver(
    sink: &mut CallerSink<'_>,
    method: &Method,
    response: BufferedResponse,
) -> CallOutcome {
    if sink.is_started {
        return CallOutcome::Aborted("the stream could not be resumed");
    }
    let BufferedResponse {
        status,
        mut headers,
        body,
        memory: _memory,
    } = response;
    sink.is_started = true;
    let (head, body) = encode_parts(method, status, &mut headers, body, sink.closes);
    let mut written = sink.write(&head).await;
    if written.is_ok() && !body.is_empty() {
        written = sink.write(&body).await;
    }
    match written {
        Ok(()) => CallOutcome::Answered(status),
        Err(_) => CallOutcome::CallerGone,
    }
}
