//! Definitions of all metrics.
//!
//! A metric has at most one label, and label values come from a closed set. Customers
//! and requests are never labels, which bounds the number of time series.

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

/// Upper bounds of the histogram buckets, in seconds.
const BUCKETS_SECONDS: &[f64] = &[
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.07, 0.1, 0.25, 0.5, 0.84, 1.5, 3.0, 10.0, 30.0,
    120.0,
];

/// Prefix of all metric names.
const NAMESPACE: &str = "berylmount";

/// A metric that only increases.
#[derive(Clone, Copy, Debug, EnumIter, EnumMessage, EnumProperty, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum CounterMetric {
    /// Completed requests, by verdict.
    #[strum(props(label = "verdict"))]
    RequestsTotal,
    /// Refused or failed requests, by reason.
    #[strum(props(label = "reason"))]
    RefusalsTotal,
    /// Callers' connections closed because memory or descriptors were short, by what they waited
    /// for: `idle`, `receiving`, `ahead`, `delivering`.
    #[strum(props(label = "phase"))]
    EvictedCallersTotal,
    /// Tokens sent to callers.
    TokensTotal,
    /// Prompt tokens, by source: `recomputed`, `runner`, `store`. A gateway counts them as
    /// planned when it sends the request.
    #[strum(props(label = "source"))]
    PromptTokensTotal,
    /// Bytes of KV cache transfers requested over links, by direction: `fetch`, `export`.
    #[strum(props(label = "direction"))]
    LinkBytesTotal,
    /// Retries, by kind: `retry`, `hedge`, `resume`, `adopt` (taken over by another process).
    #[strum(props(label = "kind"))]
    RetriesTotal,
    /// Frames dropped because they belonged to another attempt.
    StaleFramesTotal,
    /// Orders with an idempotency key, by outcome: `ran`, `recorded`, `not_run`, `may_have_run`.
    #[strum(props(label = "outcome"))]
    OrdersTotal,
    /// Conditional writes of the ledger, by outcome: `stored`, `conflict`, `unknown`.
    #[strum(props(label = "outcome"))]
    LedgerWritesTotal,
    /// Calls to the platform, by kind: `get`, `put`, `list`, `watch`.
    #[strum(props(label = "call"))]
    PlatformCallsTotal,
    /// Failed calls to the platform, by kind of call.
    #[strum(props(label = "call"))]
    PlatformFaultsTotal,
    /// Number of times that the store was restored from an older copy.
    StoreErasTotal,
    /// Orders to runners to load weights, by outcome: `done`, `fenced`, `failed`.
    #[strum(props(label = "outcome"))]
    TargetOrdersTotal,
    /// Membership probes, by outcome: `answered`, `indirect`, `failed`.
    #[strum(props(label = "outcome"))]
    PeerProbesTotal,
    /// Attempts of requests at runners, by result.
    #[strum(props(label = "end"))]
    TriesTotal,
    /// Attempts sent to runners that had named a request limit, by kind: `first`, `retry`.
    #[strum(props(label = "kind"))]
    LimitedTriesTotal,
    /// Requests for permits to use runners with a request limit, by outcome: `granted`,
    /// `denied`, `no_reply`.
    #[strum(props(label = "outcome"))]
    PermitsTotal,
    /// Requests for permits to use cold runners, by outcome: `granted`, `denied`, `no_reply`.
    #[strum(props(label = "outcome"))]
    ColdPermitsTotal,
    /// Connections opened to judge the network path to a service, by outcome: `open`, `failed`.
    #[strum(props(label = "outcome"))]
    PathProbesTotal,
    /// Tunnels to runners through other instances, by outcome: `open`, `refused`, `failed`; and
    /// `served` for those of other instances.
    #[strum(props(label = "outcome"))]
    TunnelsTotal,
    /// Requests for engines that were refused because there was no room, by cause: `level` (the
    /// fleet admits no more of their class), `too_late` (others wait, and their turn would come
    /// too late), `full` (too many wait), `wait_over` (no room within the longest wait).
    #[strum(props(label = "cause"))]
    WaitRefusalsTotal,
    /// Requests for places at brittle runners, by outcome: `granted`, `denied`, `no_reply`.
    #[strum(props(label = "outcome"))]
    PlacesTotal,
    /// Requests that brittle runners rejected although they had a place.
    BrittleRejectionsTotal,
    /// Runners excluded because another server has their address, by how this instance
    /// learned of it: `own` or `reported`.
    #[strum(props(label = "source"))]
    ExclusionsTotal,
    /// Sets of parts of requests that were blamed for crashes of runners, by how this instance
    /// learned of them: `own`, `reported`, `store`.
    #[strum(props(label = "source"))]
    BlamedPartsTotal,
    /// Messages of other instances that were skipped, by reason: `unknown_kind`,
    /// `other_format`, `malformed`.
    #[strum(props(label = "reason"))]
    SkippedPeerMessagesTotal,
    /// Log records dropped because the queue was full.
    LogRecordsDroppedTotal,
    /// Bytes of encoded membership messages, by direction: `sent`, `received`.
    #[strum(props(label = "direction"))]
    PeerBytesTotal,
}

/// A metric that increases and decreases.
#[derive(Clone, Copy, Debug, EnumIter, EnumMessage, EnumProperty, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum GaugeMetric {
    /// Requests in flight.
    InFlight,
    /// Requests waiting for a runner.
    Queued,
    /// Bytes of responses retained until acknowledged; at a gateway, bytes of buffered
    /// request bodies and responses.
    HeldBytes,
    /// Version of the table in effect in this process.
    TableVersion,
    /// Era of the store: how often it was restored from an older copy.
    StoreEra,
    /// Whether this process holds the lease for ordering weights: 0 or 1.
    DutyHeld,
    /// Milliseconds since the table was last confirmed; at a gateway, since the store
    /// stopped responding to the watch of the table.
    TableAgeMs,
    /// Open connections, by peer: `runners`.
    #[strum(props(label = "peer"))]
    Connections,
    /// KV cache stores that respond late to fetches.
    LaggingStores,
    /// Parts in KV cache stores that are not fetched, because a save that was ordered before may
    /// still write them again.
    UnsettledParts,
    /// Parts that this process has ordered to be saved and whose saves may not have begun.
    PendingSaves,
    /// Retries left in this process's retry budget for the current window, for the
    /// service with the fewest left.
    RetriesLeft,
    /// Runners that have named a request limit, as far as this process knows.
    LimitedRunners,
    /// Runners that count as cold, so that requests to them need permits.
    ColdRunners,
    /// Data centres that the operator evacuates.
    EvacuatedCentres,
    /// Services to whose runners this instance has no network path.
    ClosedPaths,
    /// Classes of requests for engines that are admitted, in thousandths; 8000 while all are.
    AdmissionLevel,
    /// Open tunnels of other instances through this one.
    Tunnels,
    /// Runners that state that they are brittle, as far as this process knows.
    BrittleRunners,
    /// Known member processes of the system, by state.
    #[strum(props(label = "state"))]
    Members,
    /// Known target instances, by state.
    #[strum(props(label = "state"))]
    Targets,
}

/// A distribution of durations in seconds.
#[derive(Clone, Copy, Debug, EnumIter, EnumMessage, EnumProperty, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum HistogramMetric {
    /// Time to first token, by class of work.
    #[strum(props(label = "class"))]
    FirstTokenSeconds,
    /// Time between consecutive tokens.
    TokenGapSeconds,
    /// Time to the complete response, by class of work.
    #[strum(props(label = "class"))]
    AnswerSeconds,
    /// Time spent waiting for a target, by class of work.
    #[strum(props(label = "class"))]
    QueueSeconds,
    /// Round-trip time of a membership probe.
    ProbeSeconds,
}

/// The metrics of one process.
///
/// For metrics without a label, pass `""` as the label value.
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
    // The vectors are indexed by the discriminants of the metric enums.
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
    /// Returns the error of the registry for an invalid or duplicate name.
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

    /// Records a duration in seconds.
    pub fn observe(&self, metric: HistogramMetric, label: &str, seconds: f64) {
        if let Some(histogram) = self.histograms.get(metric as usize) {
            histogram
                .with_label_values(labels(metric, &label))
                .observe(seconds);
        }
    }

    /// Connects the counter of dropped log records to the metrics.
    pub fn watch_dropped(&self, dropped: &DroppedRecords) {
        let mut watched = self.dropped.lock().unwrap_or_else(PoisonError::into_inner);
        *watched = Some(dropped.clone());
    }

    /// Updates the metric of dropped log records.
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

    /// Encodes all metrics in the Prometheus text format, for `/metrics`.
    pub fn page(&self) -> String {
        self.count_dropped();
        let mut page = Vec::new();
        // Writing to a Vec cannot fail, and all metric families have valid names.
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

/// Returns the options (name and help) and the label names of a metric.
fn describe<M>(metric: M) -> (Opts, Vec<&'static str>)
where
    M: EnumMessage + EnumProperty + Into<&'static str> + Copy,
{
    let help = metric.get_documentation().unwrap_or_default();
    let options = Opts::new(metric.into(), help).namespace(NAMESPACE);
    (options, metric.get_str("label").into_iter().collect())
}

/// Returns the label values of a metric: one, or none for a metric without a label.
fn labels<'a, 'b, M: EnumProperty>(metric: M, label: &'a &'b str) -> &'a [&'b str] {
    match metric.get_str("label") {
        Some(_) => std::slice::from_ref(label),
        None => &[],
    }
}

/// Returns a Markdown table of all metrics with their type, label and meaning.
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
    // Writing to a String cannot fail.
    let _ = writeln!(table, "| `{name}` | {kind} | {label} | {help} |");
}
