//! Every metric of the product, in one place.
//!
//! A metric has one label at most, and a label's values come from a closed set:
//! customers and requests are never labels, so the page stays short.

use crate::DroppedRecords;
use prometheus::{
    core::Collector, Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts,
    Registry, TextEncoder,
};
use std::{
    fmt::Write,
    sync::{Mutex, PoisonError},
};
use strum::{EnumIter, EnumMessage, EnumProperty, IntoEnumIterator, IntoStaticStr};

/// Upper bounds of the histograms' buckets, in seconds.
const BUCKETS_SECONDS: &[f64] = &[
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.07, 0.1, 0.25, 0.5, 0.84, 1.5, 3.0, 10.0, 30.0,
    120.0,
];

/// Prefix of every metric's name.
const NAMESPACE: &str = "berylmount";

/// What only grows.
#[derive(Clone, Copy, Debug, EnumIter, EnumMessage, EnumProperty, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum CounterMetric {
    /// Requests that ended, by verdict.
    #[strum(props(label = "verdict"))]
    RequestsTotal,
    /// Requests refused or failed, by reason.
    #[strum(props(label = "reason"))]
    RefusalsTotal,
    /// Tokens passed to callers.
    TokensTotal,
    /// Prompt tokens by source: `recomputed`, `runner`, `store`; at a gateway as
    /// planned when the request was sent.
    #[strum(props(label = "source"))]
    PromptTokensTotal,
    /// Bytes of kept cache ordered over links, by direction: `fetch`, `export`.
    #[strum(props(label = "direction"))]
    LinkBytesTotal,
    /// Retries, by kind: `retry`, `hedge`, `resume`, `adopt`.
    #[strum(props(label = "kind"))]
    RetriesTotal,
    /// Frames dropped because they belong to another attempt.
    StaleFramesTotal,
    /// Orders by outcome: `ran`, `recorded`, `not_run`, `may_have_run`.
    #[strum(props(label = "outcome"))]
    OrdersTotal,
    /// Conditional writes of the ledger, by outcome: `stored`, `conflict`, `unknown`.
    #[strum(props(label = "outcome"))]
    LedgerWritesTotal,
    /// Calls of the platform, by kind: `get`, `put`, `list`, `watch`.
    #[strum(props(label = "call"))]
    PlatformCallsTotal,
    /// Calls of the platform that failed, by kind of call.
    #[strum(props(label = "call"))]
    PlatformFaultsTotal,
    /// Times that the store came back from an older copy.
    StoreErasTotal,
    /// Orders to targets, by outcome: `done`, `fenced`, `failed`.
    #[strum(props(label = "outcome"))]
    TargetOrdersTotal,
    /// Membership probes by outcome: `answered`, `indirect`, `failed`.
    #[strum(props(label = "outcome"))]
    PeerProbesTotal,
    /// Tries of requests at runners, by how they ended.
    #[strum(props(label = "end"))]
    TriesTotal,
    /// Log records that were dropped because too many waited.
    LogRecordsDroppedTotal,
    /// Encoded bytes of membership messages, by direction: `sent`, `received`.
    #[strum(props(label = "direction"))]
    PeerBytesTotal,
}

/// What goes up and down.
#[derive(Clone, Copy, Debug, EnumIter, EnumMessage, EnumProperty, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum GaugeMetric {
    /// Requests in flight.
    InFlight,
    /// Requests that wait for a runner.
    Queued,
    /// Bytes of answers held until they are acknowledged; at a gateway of callers'
    /// bodies.
    HeldBytes,
    /// Version of the table head that is in force here.
    TableVersion,
    /// The store's era: how often it has come back from an older copy.
    StoreEra,
    /// Whether this process holds the duty of ordering weights: 0 or 1.
    DutyHeld,
    /// Milliseconds since the table was last confirmed; at a gateway for how
    /// long the store has not answered its watch of the table.
    TableAgeMs,
    /// Open connections, by peer: `runners`.
    #[strum(props(label = "peer"))]
    Connections,
    /// Stores of kept cache that lag.
    LaggingStores,
    /// Retries that this process may still make in the window, for the
    /// service that has the fewest.
    RetriesLeft,
    /// Known processes of the system, by state.
    #[strum(props(label = "state"))]
    Members,
    /// Known instances of targets, by state.
    #[strum(props(label = "state"))]
    Targets,
}

/// Distributions of durations in seconds.
#[derive(Clone, Copy, Debug, EnumIter, EnumMessage, EnumProperty, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum HistogramMetric {
    /// Time to the first token, by class of work.
    #[strum(props(label = "class"))]
    FirstTokenSeconds,
    /// Time between two tokens.
    TokenGapSeconds,
    /// Time to the whole answer, by class of work.
    #[strum(props(label = "class"))]
    AnswerSeconds,
    /// Wait for a target, by class of work.
    #[strum(props(label = "class"))]
    QueueSeconds,
    /// Round trip of a membership probe.
    ProbeSeconds,
}

/// The metrics of one process.
///
/// Metrics without a label take the label value `""`.
///
/// ```
/// use berylmount_telemetry::{CounterMetric, GaugeMetric, HistogramMetric, MetricSet};
///
/// let metrics = MetricSet::new().unwrap();
/// metrics.add(CounterMetric::RefusalsTotal, "over_limit", 1);
/// metrics.set(GaugeMetric::InFlight, "", 7);
/// metrics.observe(HistogramMetric::FirstTokenSeconds, "interactive", 0.2);
/// assert!(metrics.page().contains("berylmount_refusals_total{reason=\"over_limit\"} 1"));
/// ```
#[derive(Debug)]
pub struct MetricSet {
    registry: Registry,
    // Indexed by the enums' discriminants.
    counters: Vec<IntCounterVec>,
    gauges: Vec<IntGaugeVec>,
    histograms: Vec<HistogramVec>,
    dropped: Mutex<Option<DroppedRecords>>,
}

impl MetricSet {
    /// Registers every metric.
    ///
    /// # Errors
    ///
    /// Returns the registry's error for a name that is invalid or stands twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counters = CounterMetric::iter().map(|metric| {
            let (options, labels) = describe(metric);
            register(&registry, IntCounterVec::new(options, &labels)?)
        });
        let counters = counters.collect::<Result<_, _>>()?;
        let gauges = GaugeMetric::iter().map(|metric| {
            let (options, labels) = describe(metric);
            register(&registry, IntGaugeVec::new(options, &labels)?)
        });
        let gauges = gauges.collect::<Result<_, _>>()?;
        let histograms = HistogramMetric::iter().map(|metric| {
            let (options, labels) = describe(metric);
            let options = HistogramOpts::from(options).buckets(BUCKETS_SECONDS.to_vec());
            register(&registry, HistogramVec::new(options, &labels)?)
        });
        let histograms = histograms.collect::<Result<_, _>>()?;
        Ok(Self {
            registry,
            counters,
            gauges,
            histograms,
            dropped: Mutex::default(),
        })
    }

    /// Adds to a counter.
    pub fn add(&self, metric: CounterMetric, label: &str, amount: u64) {
        if let Some(counter) = self.counters.get(metric as usize) {
            counter
                .with_label_values(labels(metric, &label))
                .inc_by(amount);
        }
    }

    /// Sets a gauge.
    pub fn set(&self, metric: GaugeMetric, label: &str, value: i64) {
        if let Some(gauge) = self.gauges.get(metric as usize) {
            gauge.with_label_values(labels(metric, &label)).set(value);
        }
    }

    /// Adds to a gauge; a negative amount subtracts.
    pub fn adjust(&self, metric: GaugeMetric, label: &str, amount: i64) {
        if let Some(gauge) = self.gauges.get(metric as usize) {
            gauge.with_label_values(labels(metric, &label)).add(amount);
        }
    }

    /// Records one duration in seconds.
    pub fn observe(&self, metric: HistogramMetric, label: &str, seconds: f64) {
        if let Some(histogram) = self.histograms.get(metric as usize) {
            histogram
                .with_label_values(labels(metric, &label))
                .observe(seconds);
        }
    }

    /// Counts the log records that are dropped from now on.
    pub fn watch_dropped(&self, dropped: &DroppedRecords) {
        let mut watched = self.dropped.lock().unwrap_or_else(PoisonError::into_inner);
        *watched = Some(dropped.clone());
    }

    /// Brings the count of dropped log records up to date.
    fn count_dropped(&self) {
        let watched = self.dropped.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(counter) = self
            .counters
            .get(CounterMetric::LogRecordsDroppedTotal as usize)
        else {
            return;
        };
        let counter = counter.with_label_values::<&str>(&[]);
        let total = watched.as_ref().map_or(0, DroppedRecords::count);
        counter.inc_by(total.saturating_sub(counter.get()));
    }

    /// The page that `/metrics` serves.
    pub fn page(&self) -> String {
        self.count_dropped();
        let mut page = Vec::new();
        // Writing to a Vec can't fail, and every family has a valid name.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut page);
        String::from_utf8(page).unwrap_or_default()
    }
}

/// Registers `collector` and returns it.
fn register<C: Collector + Clone + 'static>(
    registry: &Registry,
    collector: C,
) -> Result<C, prometheus::Error> {
    registry.register(Box::new(collector.clone()))?;
    Ok(collector)
}

/// Name, help and labels of a metric.
fn describe<M>(metric: M) -> (Opts, Vec<&'static str>)
where
    M: EnumMessage + EnumProperty + Into<&'static str> + Copy,
{
    let help = metric.get_documentation().unwrap_or_default();
    let options = Opts::new(metric.into(), help).namespace(NAMESPACE);
    (options, metric.get_str("label").into_iter().collect())
}

/// The label values of a metric: one, or none for a metric without a label.
fn labels<'a, 'b, M: EnumProperty>(metric: M, label: &'a &'b str) -> &'a [&'b str] {
    match metric.get_str("label") {
        Some(_) => std::slice::from_ref(label),
        None => &[],
    }
}

/// Markdown table of every metric with its type, label and meaning.
///
/// ```
/// assert!(berylmount_telemetry::metrics_table().contains("`berylmount_in_flight`"));
/// ```
pub fn metrics_table() -> String {
    let mut table =
        String::from("| metric | type | label | meaning |\n| --- | --- | --- | --- |\n");
    CounterMetric::iter().for_each(|metric| push_row(&mut table, "counter", metric));
    GaugeMetric::iter().for_each(|metric| push_row(&mut table, "gauge", metric));
    HistogramMetric::iter().for_each(|metric| push_row(&mut table, "histogram", metric));
    table
}

fn push_row<M>(table: &mut String, kind: &str, metric: M)
where
    M: EnumMessage + EnumProperty + Into<&'static str> + Copy,
{
    let (options, labels) = describe(metric);
    let (name, help) = (options.fq_name(), options.help);
    let label = labels
        .first()
        .map_or(String::new(), |label| format!("`{label}`"));
    // Writing to a String can't fail.
    let _ = writeln!(table, "| `{name}` | {kind} | {label} | {help} |");
}
