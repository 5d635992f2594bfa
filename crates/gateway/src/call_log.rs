//! Metrics and the log line of a finished request.

use crate::{
    clock::boot_ms,
    crash_parts::PartKeys,
    forward::{CallerSink, InboundCall},
    placement::PlacedRunner,
    responses::LocalResponse,
    runner_registry::RunnerHandle,
    state::GatewayState,
    upstream::AttemptOutcome,
};
use berylmount_fleet::PromptShape;
use berylmount_telemetry::{CounterMetric, HistogramMetric};
use http::StatusCode;

/// How a request ended.
pub(crate) enum CallOutcome {
    /// A runner's response was sent to the caller.
    Answered(StatusCode),
    /// A stream was relayed to its end.
    Streamed,
    /// The gateway generated the response.
    Local(LocalResponse),
    /// The caller disconnected.
    CallerGone,
    /// A stream failed after its start; the connection is closed without a final
    /// chunk.
    Aborted(&'static str),
}

/// Attempts of one request, for the log.
#[derive(Default)]
pub(crate) struct AttemptLog {
    text: String,
    /// Attempts that reached a runner.
    pub(crate) sent: u32,
    /// Whether an attempt is in progress.
    is_attempt_open: bool,
    /// Whether a brittle runner rejected the request, which is then not sent to another one.
    pub(crate) avoids_brittle: bool,
}

impl AttemptLog {
    /// Records the start of an attempt.
    pub(crate) fn begin(&mut self) {
        self.is_attempt_open = true;
    }

    /// Returns whether a runner may have run the request. Any attempt that reached a
    /// runner counts, even if the runner rejected the request.
    pub(crate) fn may_have_run(&self) -> bool {
        self.sent > 0 || self.is_attempt_open
    }

    /// Records that no permit was available for a runner with a request limit.
    pub(crate) fn record_denial(&mut self, runner: &RunnerHandle) {
        let separator = if self.text.is_empty() { "" } else { "; " };
        let runner = &runner.record().id;
        self.text += &format!("{separator}{runner} at its request limit");
    }

    /// Records that a brittle runner had no place for the request.
    pub(crate) fn record_full(&mut self, runner: &RunnerHandle) {
        let separator = if self.text.is_empty() { "" } else { "; " };
        let runner = &runner.record().id;
        self.text += &format!("{separator}{runner} has no place");
    }

    /// Records that the request is not sent because parts of it crash runners.
    pub(crate) fn record_blamed(&mut self, keys: &PartKeys, prompt: Option<&PromptShape>) {
        let parts = prompt.map_or(&[][..], |prompt| &prompt.parts);
        let ids: Vec<&str> = parts.iter().map(|part| part.id.as_str()).collect();
        let separator = if self.text.is_empty() { "" } else { "; " };
        let (whole, ids) = (keys.whole, ids.join(","));
        self.text += &format!("{separator}not sent, request {whole:016x}, parts [{ids}]");
    }

    /// Records the end of an attempt.
    pub(crate) fn record(
        &mut self,
        state: &GatewayState,
        placed: &PlacedRunner,
        outcome: &AttemptOutcome,
        started_ms: u64,
    ) {
        state
            .metrics
            .add(CounterMetric::TriesTotal, outcome.into(), 1);
        let was_sent = !matches!(
            outcome,
            AttemptOutcome::NotSent(_) | AttemptOutcome::TimedOut(false)
        );
        self.is_attempt_open = false;
        self.sent += u32::from(was_sent);
        let result = match outcome {
            AttemptOutcome::NotSent(reason) => format!("not sent ({reason})"),
            AttemptOutcome::NotRun(status) => format!("not run ({})", status.as_u16()),
            AttemptOutcome::MayHaveRun(reason) | AttemptOutcome::Disconnected(reason) => {
                format!("may have run ({reason})")
            }
            AttemptOutcome::Complete(response) => format!("status {}", response.status.as_u16()),
            AttemptOutcome::Streamed => "streamed".to_owned(),
            AttemptOutcome::StreamFailed(reason) => format!("broken ({reason})"),
            AttemptOutcome::CallerGone => "caller gone".to_owned(),
            AttemptOutcome::TimedOut(sent) => format!("timed out (sent: {sent})"),
        };
        let took_ms = boot_ms().saturating_sub(started_ms);
        let (runner, expected_ms) = (&placed.runner.record().id, placed.first_ms);
        let separator = if self.text.is_empty() { "" } else { "; " };
        let estimate_text = &placed.estimate_text;
        self.text +=
            &format!("{separator}{runner} {result} {took_ms} ms, expected {expected_ms:.0} ms from {estimate_text}");
        // The last load that the runner reported, possibly in its response to a later
        // request.
        if let Some(load) = placed.runner.load(boot_ms()) {
            self.text += &format!(
                " reported running {} waiting {} slowness {}%",
                load.running, load.waiting, load.slowness_percent
            );
        }
    }
}

/// Returns the request class used as a metric label.
pub(crate) fn request_class(call: &InboundCall) -> &'static str {
    match call.request.prompt {
        Some(_) => "prompt",
        None => "plain",
    }
}

/// Updates the metrics and logs the end of a request.
pub(crate) fn record_outcome(
    state: &GatewayState,
    call: &InboundCall,
    sink: &CallerSink<'_>,
    outcome: &CallOutcome,
    attempts: &AttemptLog,
) {
    let total_ms = boot_ms().saturating_sub(call.arrived_ms);
    let metrics = &state.metrics;
    let outcome_label = match outcome {
        CallOutcome::Answered(status) if status.is_success() => "answered",
        CallOutcome::Answered(_) => "runner_failed",
        CallOutcome::Streamed => "streamed",
        CallOutcome::Local(_) => "refused",
        CallOutcome::CallerGone => "caller_gone",
        CallOutcome::Aborted(_) => "cut",
    };
    metrics.add(CounterMetric::RequestsTotal, outcome_label, 1);
    if let CallOutcome::Local(response) = outcome {
        metrics.add(CounterMetric::RefusalsTotal, response.reason.into(), 1);
    }
    let class = request_class(call);
    metrics.observe(
        HistogramMetric::AnswerSeconds,
        class,
        total_ms as f64 / 1000.0,
    );
    if sink.first_event_ms > 0 {
        let first_ms = sink.first_event_ms.saturating_sub(call.arrived_ms);
        metrics.observe(
            HistogramMetric::FirstTokenSeconds,
            class,
            first_ms as f64 / 1000.0,
        );
    }
    let caller_timeout_ms = call
        .request
        .caller_timeout
        .map_or(0, |timeout| timeout.as_millis() as u64);
    let served_level = match state.logs_served(&call.request.id) {
        true => log::Level::Info,
        false => log::Level::Debug,
    };
    let (level, outcome) = match outcome {
        CallOutcome::Answered(status) if status.is_server_error() => {
            (log::Level::Info, format!("status {}", status.as_u16()))
        }
        CallOutcome::Answered(status) => (served_level, format!("status {}", status.as_u16())),
        CallOutcome::Streamed => (served_level, "streamed".to_owned()),
        CallOutcome::Local(response) => (log::Level::Info, response.reason.to_string()),
        CallOutcome::CallerGone => (log::Level::Info, "caller gone".to_owned()),
        CallOutcome::Aborted(reason) => (log::Level::Warn, format!("cut: {reason}")),
    };
    log::log!(
        target: "request", level,
        request = call.request.id, outcome, total_ms, patience_ms = caller_timeout_ms,
        path = call.head.path(), events = sink.events,
        first_event_ms = sink.first_event_ms.saturating_sub(call.arrived_ms),
        longest_pause_ms = sink.longest_pause_ms,
        tries = attempts.text, resumes = call.request.resumes.as_deref().unwrap_or_default();
        "request ended"
    );
}
