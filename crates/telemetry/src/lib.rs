//! Logs, metrics and traces of a berylmount process.
//!
//! Logs go to standard error, or to standard output with [`start_bounded_logging`],
//! one line per record, each with the fixed prefix of the component that wrote it.
//! Metrics are served over HTTP. A trace has one span per hop. Finished spans are
//! logged under the prefix `trace`, because an instance has neither a disk nor a trace
//! collector.

mod bounded;
mod health;
mod limiter;
mod logging;
mod metrics;
mod server;
mod traces;
mod tracker;

pub use crate::{
    bounded::{start_bounded_logging, BoundedLogs, DroppedRecords},
    health::{HealthState, SharedHealth},
    limiter::RecordLimiter,
    logging::{start_logging, LogFault, LogGuard},
    metrics::{metrics_table, CounterMetric, GaugeMetric, HistogramMetric, MetricSet},
    server::{serve_metrics, serve_questions, AnswerFn, MetricsServer},
    traces::{flush_traces, next_traceparent, root_span, start_traces, Span},
    tracker::{WorkGuard, WorkTracker},
};
