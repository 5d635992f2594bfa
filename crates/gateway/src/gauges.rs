//! Gauges of what the process believes.

use crate::{clock::boot_ms, follow::FollowedKind, state::GatewayState};
use berylmount_telemetry::{CounterMetric, GaugeMetric};
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

/// Time between two readings.
const INTERVAL: Duration = Duration::from_secs(1);

/// Keeps the gauges and the counts of store calls up to date.
pub(crate) async fn keep_gauges(state: Rc<GatewayState>) {
    let mut counted = (0, 0);
    loop {
        sleep(INTERVAL).await;
        let metrics = &state.metrics;
        let (calls, failures) = state.store.counts();
        metrics.add(CounterMetric::PlatformCallsTotal, "all", calls - counted.0);
        metrics.add(
            CounterMetric::PlatformFaultsTotal,
            "all",
            failures - counted.1,
        );
        counted = (calls, failures);
        let version = state.table().map_or(0, |table| table.version);
        metrics.set(GaugeMetric::TableVersion, "", version as i64);
        let era = state.store.era();
        metrics.set(GaugeMetric::StoreEra, "", era as i64);
        metrics.set(GaugeMetric::InFlight, "", state.in_flight.get() as i64);
        let held = state.duty_notice.borrow().is_some();
        metrics.set(GaugeMetric::DutyHeld, "", i64::from(held));
        let held_bytes = state.held_bytes.get() as i64;
        metrics.set(GaugeMetric::HeldBytes, "", held_bytes);
        let now_ms = boot_ms();
        let lost_ms = state.contacts[FollowedKind::Table as usize].lost_ms(now_ms);
        metrics.set(GaugeMetric::TableAgeMs, "", lost_ms as i64);
        if let Some(left) = state.retries_left(now_ms) {
            metrics.set(GaugeMetric::RetriesLeft, "", left as i64);
        }
        let lagging = state.stores.borrow().lagging_count() as i64;
        metrics.set(GaugeMetric::LaggingStores, "", lagging);
        let live = state.peers.borrow().live_count(now_ms);
        metrics.set(GaugeMetric::Members, "live", live as i64);
        let runners = state.runners.borrow();
        let open: u32 = runners.all().iter().map(|runner| runner.open()).sum();
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
