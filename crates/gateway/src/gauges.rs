//! Gauges of the state of this process.

use crate::{clock::boot_ms, state::GatewayState, store_watch::WatchedKind};
use berylmount_telemetry::{CounterMetric, GaugeMetric};
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

/// Time between two updates.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Units of the admission level for each class of requests.
const LEVEL_UNITS: f64 = 1000.0;

/// Keeps the gauges and the counts of store calls up to date.
pub(crate) async fn update_gauges(state: Rc<GatewayState>) {
    let mut reported = (0, 0);
    loop {
        sleep(UPDATE_INTERVAL).await;
        let metrics = &state.metrics;
        let (calls, failures) = state.store.counts();
        metrics.add(CounterMetric::PlatformCallsTotal, "all", calls - reported.0);
        metrics.add(
            CounterMetric::PlatformFaultsTotal,
            "all",
            failures - reported.1,
        );
        reported = (calls, failures);
        let version = state.table().map_or(0, |table| table.version);
        metrics.set(GaugeMetric::TableVersion, "", version as i64);
        let era = state.store.era();
        metrics.set(GaugeMetric::StoreEra, "", era as i64);
        metrics.set(GaugeMetric::InFlight, "", state.in_flight.get() as i64);
        let holds_lease = state.holder_notice.borrow().is_some();
        metrics.set(GaugeMetric::DutyHeld, "", i64::from(holds_lease));
        let held_bytes = state.callers.held() + state.response_pool.held();
        metrics.set(GaugeMetric::HeldBytes, "", held_bytes as i64);
        let now_ms = boot_ms();
        // While the store is available, the table is current and its age is 0.
        let outage_ms = state.store_availability[WatchedKind::Table as usize].outage_ms(now_ms);
        metrics.set(GaugeMetric::TableAgeMs, "", outage_ms as i64);
        if let Some(left) = state.retries_left(now_ms) {
            metrics.set(GaugeMetric::RetriesLeft, "", left as i64);
        }
        let lagging = state.stores.borrow().lagging_count() as i64;
        metrics.set(GaugeMetric::LaggingStores, "", lagging);
        let unsettled = state.stores.borrow().unsettled_count() as i64;
        metrics.set(GaugeMetric::UnsettledParts, "", unsettled);
        let pending = state.save_orders.borrow().part_count() as i64;
        metrics.set(GaugeMetric::PendingSaves, "", pending);
        let limited = state.runner_limits.borrow().limited_count() as i64;
        metrics.set(GaugeMetric::LimitedRunners, "", limited);
        let cold = state.runner_limits.borrow().cold_count(now_ms) as i64;
        metrics.set(GaugeMetric::ColdRunners, "", cold);
        let closed = state.service_paths.closed().len() as i64;
        metrics.set(GaugeMetric::ClosedPaths, "", closed);
        let tunnels = i64::from(state.tunnels.get());
        metrics.set(GaugeMetric::Tunnels, "", tunnels);
        let brittle = state.brittle_runners.borrow().brittle_count() as i64;
        metrics.set(GaugeMetric::BrittleRunners, "", brittle);
        let waiting = state.waiting.waiting_count() as i64;
        metrics.set(GaugeMetric::Queued, "", waiting);
        let level = (state.waiting.level() * LEVEL_UNITS).round() as i64;
        metrics.set(GaugeMetric::AdmissionLevel, "", level);
        let live = state.peers.borrow().live_count(now_ms);
        metrics.set(GaugeMetric::Members, "live", live as i64);
        let runners = state.runners.borrow();
        let open: u32 = runners
            .all()
            .iter()
            .map(|runner| runner.open_connections())
            .sum();
        metrics.set(GaugeMetric::Connections, "runners", i64::from(open));
        let ready = runners.all().iter().filter(|r| r.takes_requests()).count();
        metrics.set(GaugeMetric::Targets, "ready", ready as i64);
        metrics.set(
            GaugeMetric::Targets,
            "leaving",
            (runners.all().len() - ready) as i64,
        );
    }
}
