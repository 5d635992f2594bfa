//! A span for each hop, joined by W3C `traceparent`.
//!
//! A caller's malformed header starts a new trace and never fails a request.

use fastrace::{
    collector::{Config, Reporter, SpanContext, SpanRecord},
    Span,
};
use std::fmt::Write;

/// Length of a version 00 `traceparent`, in bytes.
const TRACEPARENT_BYTES: usize = 55;

/// Writes finished spans as log records.
struct LogReporter;

impl Reporter for LogReporter {
    fn report(&mut self, spans: Vec<SpanRecord>) {
        spans.iter().for_each(log_span);
    }
}

/// Logs one finished span.
fn log_span(span: &SpanRecord) {
    let mut fields = String::new();
    for (key, value) in &span.properties {
        // Writing to a String can't fail.
        let _ = write!(fields, " {key}={value:?}");
    }
    log::info!(
        target: "trace",
        trace:% = format_args!("{:032x}", span.trace_id.0),
        span:% = format_args!("{:016x}", span.span_id.0),
        parent:% = format_args!("{:016x}", span.parent_id.0),
        begin_us = span.begin_time_unix_ns / 1_000,
        duration_us = span.duration_ns / 1_000;
        "{}{fields}", span.name
    );
}

/// Starts to log finished spans.
pub fn start_traces() {
    fastrace::set_reporter(LogReporter, Config::default());
}

/// Logs every span that has finished; call it before the process exits.
pub fn flush_traces() {
    fastrace::flush();
}

/// Starts the span of this hop.
///
/// A well-formed `traceparent` continues the caller's trace and its sampling
/// decision; any other starts a new trace, sampled with probability `sample`.
///
/// ```
/// use berylmount_telemetry::{next_traceparent, root_span};
///
/// let caller = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
/// let span = root_span("entry", Some(caller), 0.0);
/// assert!(next_traceparent(&span).unwrap().starts_with("00-0af7651916cd43dd8448eb211c80319c-"));
/// ```
pub fn root_span(name: &'static str, traceparent: Option<&str>, sample: f64) -> Span {
    let parent = traceparent.and_then(parse_traceparent);
    let context = parent.unwrap_or_else(|| new_context(sample));
    Span::root(name, context)
}

/// The `traceparent` that this hop sends on.
pub fn next_traceparent(span: &Span) -> Option<String> {
    let context = SpanContext::from_span(span)?;
    Some(context.encode_w3c_traceparent())
}

/// Reads a header of version 00, or of a later version with the same start.
fn parse_traceparent(text: &str) -> Option<SpanContext> {
    let text = text.trim();
    let (start, rest) = (
        text.get(..TRACEPARENT_BYTES)?,
        text.get(TRACEPARENT_BYTES..)?,
    );
    let (version, fields) = start.split_at_checked(2)?;
    let ended = match version {
        "00" => rest.is_empty(),
        "ff" => false,
        _ => rest.is_empty() || rest.starts_with('-'),
    };
    let hexadecimal = |c: char| matches!(c, '0'..='9' | 'a'..='f' | '-');
    if !ended || !start.chars().all(hexadecimal) {
        return None;
    }
    let dashes: Vec<_> = start.match_indices('-').map(|(index, _)| index).collect();
    if dashes != [2, 35, 52] {
        return None;
    }
    SpanContext::decode_w3c_traceparent(&format!("00{fields}"))
}

/// Starts a trace, sampled with probability `sample`.
///
/// The decision comes from the random trace identifier.
fn new_context(sample: f64) -> SpanContext {
    let context = SpanContext::random();
    let fraction = context.trace_id.0 as f64 / u128::MAX as f64;
    context.sampled(fraction < sample)
}
