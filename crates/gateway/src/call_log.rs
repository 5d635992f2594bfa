//! What a request leaves behind: its counts and its line in the log.

use crate::{
    answers::OwnAnswer,
    clock::boot_ms,
    forward::{CallerCall, CallerSink},
    placement::PlacedRunner,
    state::GatewayState,
    upstream::TryEnd,
};
use berylmount_telemetry::{CounterMetric, HistogramMetric};
use http::StatusCode;

/// How a request ended, for the log.
pub(crate) enum CallEnd {
    /// A runner's answer went to the caller.
    Answered(StatusCode),
    /// A stream went to the caller whole.
    Streamed,
    /// An answer of our own.
    Own(OwnAnswer),
    /// The caller left.
    CallerGone,
    /// A stream broke after its start; the connection is cut.
    Cut(&'static str),
}

/// Tries of one request, for the log.
#[derive(Default)]
pub(crate) struct TryLog {
    text: String,
    /// Tries that reached a runner.
    pub(crate) sent: u32,
    /// Whether a try has begun that has not ended.
    is_trying: bool,
}

impl TryLog {
    /// Notes that a try begins.
    pub(crate) fn begin(&mut self) {
        self.is_trying = true;
    }

    /// Whether a runner may have run the request by now.
    pub(crate) fn may_have_run(&self) -> bool {
        self.sent > 0 || self.is_trying
    }

    /// Notes one try.
    pub(crate) fn note(
        &mut self,
        state: &GatewayState,
        placed: &PlacedRunner,
        end: &TryEnd,
        started_ms: u64,
    ) {
        state.metrics.add(CounterMetric::TriesTotal, end.into(), 1);
        let was_sent = !matches!(end, TryEnd::NotSent(_) | TryEnd::TimedOut(false));
        self.is_trying = false;
        self.sent += u32::from(was_sent);
        let result = match end {
            TryEnd::NotSent(reason) => format!("not sent ({reason})"),
            TryEnd::NotRun(status) => format!("not run ({})", status.as_u16()),
            TryEnd::MayHaveRun(reason) => format!("may have run ({reason})"),
            TryEnd::Whole(answer) => format!("status {}", answer.status.as_u16()),
            TryEnd::Streamed => "streamed".to_owned(),
            TryEnd::Broken(reason) => format!("broken ({reason})"),
            TryEnd::CallerGone => "caller gone".to_owned(),
            TryEnd::TimedOut(sent) => format!("timed out (sent: {sent})"),
        };
        let took_ms = boot_ms().saturating_sub(started_ms);
        let (runner, expected_ms) = (&placed.runner.record().id, placed.first_ms);
        let sign = if self.text.is_empty() { "" } else { "; " };
        let basis = &placed.basis;
        self.text +=
            &format!("{sign}{runner} {result} {took_ms} ms, expected {expected_ms:.0} by {basis}");
        // What the runner reported last, by now perhaps to a later request.
        if let Some(load) = placed.runner.load(boot_ms()) {
            self.text += &format!(
                " reported {}+{} at {}%",
                load.running, load.waiting, load.slowness_percent
            );
        }
    }
}

/// The class of a request in metrics.
pub(crate) fn class_of(call: &CallerCall) -> &'static str {
    match call.request.prompt {
        Some(_) => "prompt",
        None => "plain",
    }
}

/// Counts and logs how a request ended.
pub(crate) fn note_end(
    state: &GatewayState,
    call: &CallerCall,
    sink: &CallerSink<'_>,
    end: &CallEnd,
    tries: &TryLog,
) {
    let total_ms = boot_ms().saturating_sub(call.arrived_ms);
    let metrics = &state.metrics;
    let verdict = match end {
        CallEnd::Answered(status) if status.is_success() => "answered",
        CallEnd::Answered(_) => "runner_failed",
        CallEnd::Streamed => "streamed",
        CallEnd::Own(_) => "refused",
        CallEnd::CallerGone => "caller_gone",
        CallEnd::Cut(_) => "cut",
    };
    metrics.add(CounterMetric::RequestsTotal, verdict, 1);
    if let CallEnd::Own(answer) = end {
        metrics.add(CounterMetric::RefusalsTotal, answer.reason.into(), 1);
    }
    let class = class_of(call);
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
    let patience_ms = call
        .request
        .caller_timeout
        .map_or(0, |p| p.as_millis() as u64);
    let served = match state.logs_served(&call.request.id) {
        true => log::Level::Info,
        false => log::Level::Debug,
    };
    let (level, outcome) = match end {
        CallEnd::Answered(status) if status.is_server_error() => {
            (log::Level::Info, format!("status {}", status.as_u16()))
        }
        CallEnd::Answered(status) => (served, format!("status {}", status.as_u16())),
        CallEnd::Streamed => (served, "streamed".to_owned()),
        CallEnd::Own(answer) => (log::Level::Info, answer.reason.to_string()),
        CallEnd::CallerGone => (log::Level::Info, "caller gone".to_owned()),
        CallEnd::Cut(reason) => (log::Level::Warn, format!("cut: {reason}")),
    };
    log::log!(
        target: "request", level,
        request = call.request.id, outcome, total_ms, patience_ms,
        path = call.head.path(), events = sink.events,
        first_event_ms = sink.first_event_ms.saturating_sub(call.arrived_ms),
        longest_pause_ms = sink.longest_pause_ms,
        tries = tries.text;
        "request ended"
    );
}
