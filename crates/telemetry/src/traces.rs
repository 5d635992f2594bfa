//! Tracing with one span per hop, linked by the W3C `traceparent` header.
//!
//! A malformed header from a caller starts a new trace and never fails a request.
//!
//! This module does not use a span library that calibrates a processor clock before
//! `main`: on a fraction of a core, that adds seconds to each start.

use std::{
    fmt::Write,
    sync::atomic::{AtomicBool, Ordering},
    time::{Instant, SystemTime, UNIX_EPOCH},
};

/// Length of a version 00 `traceparent`, in bytes.
const TRACEPARENT_BYTES: usize = 55;

/// Whether finished spans are logged.
static IS_STARTED: AtomicBool = AtomicBool::new(false);

/// Identifies a span within a trace.
#[derive(Clone, Copy, Debug)]
struct SpanContext {
    trace_id: u128,
    span_id: u64,
    is_sampled: bool,
}

/// A span of a trace. It ends when it is dropped, and is then logged if its trace is
/// sampled.
#[derive(Debug)]
pub struct Span {
    name: &'static str,
    context: SpanContext,
    parent_id: u64,
    properties: Vec<(&'static str, String)>,
    begin: Instant,
    begin_unix_us: u128,
}

impl Span {
    /// Adds a property; `property` is called only if the trace is sampled.
    pub fn add_property<V: Into<String>>(&mut self, property: impl FnOnce() -> (&'static str, V)) {
        if self.context.is_sampled {
            let (key, value) = property();
            self.properties.push((key, value.into()));
        }
    }

    /// Adds a property and returns the span; `property` is called only if the trace is
    /// sampled.
    pub fn with_property<V: Into<String>>(
        mut self,
        property: impl FnOnce() -> (&'static str, V),
    ) -> Self {
        self.add_property(property);
        self
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        if self.context.is_sampled && IS_STARTED.load(Ordering::Relaxed) {
            self.log();
        }
    }
}

impl Span {
    /// Logs the span, with the current time as its end.
    fn log(&self) {
        let mut fields = String::new();
        for (key, value) in &self.properties {
            // Writing to a String cannot fail.
            let _ = write!(fields, " {key}={value:?}");
        }
        log::info!(
            target: "trace",
            trace:% = format_args!("{:032x}", self.context.trace_id),
            span:% = format_args!("{:016x}", self.context.span_id),
            parent:% = format_args!("{:016x}", self.parent_id),
            begin_us = self.begin_unix_us as u64,
            duration_us = self.begin.elapsed().as_micros() as u64;
            "{}{fields}", self.name
        );
    }
}

/// Enables the logging of finished spans.
pub fn start_traces() {
    IS_STARTED.store(true, Ordering::Relaxed);
}

/// Flushes the logged spans; call it before the process exits.
pub fn flush_traces() {
    log::logger().flush();
}

/// Starts the root span of this hop.
///
/// A valid `traceparent` continues the caller's trace with its sampling decision.
/// Otherwise a new trace is started, sampled with probability `sample`.
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
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Span {
        name,
        context: match parent {
            Some(parent) => SpanContext {
                span_id: rand::random(),
                ..parent
            },
            None => new_context(sample),
        },
        parent_id: parent.map_or(0, |parent| parent.span_id),
        properties: Vec::new(),
        begin: Instant::now(),
        begin_unix_us: since_epoch.map_or(0, |passed| passed.as_micros()),
    }
}

/// Returns the `traceparent` header for the next hop.
pub fn next_traceparent(span: &Span) -> Option<String> {
    let SpanContext {
        trace_id,
        span_id,
        is_sampled,
    } = span.context;
    let flags = u8::from(is_sampled);
    Some(format!("00-{trace_id:032x}-{span_id:016x}-{flags:02x}"))
}

/// Parses a `traceparent` of version 00, or of a later version that starts with the same
/// fields.
fn parse_traceparent(text: &str) -> Option<SpanContext> {
    let text = text.trim();
    let (start, rest) = (
        text.get(..TRACEPARENT_BYTES)?,
        text.get(TRACEPARENT_BYTES..)?,
    );
    let (version, _) = start.split_at_checked(2)?;
    let is_complete = match version {
        "00" => rest.is_empty(),
        "ff" => false,
        _ => rest.is_empty() || rest.starts_with('-'),
    };
    let is_allowed = |c: char| matches!(c, '0'..='9' | 'a'..='f' | '-');
    if !is_complete || !start.chars().all(is_allowed) {
        return None;
    }
    let dashes: Vec<_> = start.match_indices('-').map(|(index, _)| index).collect();
    if dashes != [2, 35, 52] {
        return None;
    }
    let trace_id = u128::from_str_radix(&start[3..35], 16).ok()?;
    let span_id = u64::from_str_radix(&start[36..52], 16).ok()?;
    let flags = u8::from_str_radix(&start[53..], 16).ok()?;
    let is_valid = trace_id != 0 && span_id != 0;
    is_valid.then_some(SpanContext {
        trace_id,
        span_id,
        is_sampled: flags & 1 == 1,
    })
}

/// Creates the context of a new trace, sampled with probability `sample`.
///
/// The sampling decision is derived from the random trace id.
fn new_context(sample: f64) -> SpanContext {
    let trace_id: u128 = rand::random();
    SpanContext {
        trace_id,
        span_id: rand::random(),
        is_sampled: (trace_id as f64 / u128::MAX as f64) < sample,
    }
}
