//! Data centres that the operator evacuates.
//!
//! Each object of its kind in the store names a data centre whose runners must get nothing more
//! until the object is deleted. The objects are watched and copied between instances as the
//! route table is. Requests that are at a runner already run to their end.
//!
//! Invariants:
//!
//! - Any object of the kind evacuates the data centre of its name, whatever its content.
//! - Nothing is sent before the objects have been read, for at most [`MAX_UNREAD_MS`] from the
//!   first request on.

use crate::{
    clock::boot_ms,
    cold_runners::note_returned,
    peers::EvacuationReport,
    runner_registry::RunnerHandle,
    state::GatewayState,
    store_watch::{is_connected_watcher, WatchedKind},
};
use berylmount_telemetry::GaugeMetric;
use std::cell::{Cell, RefCell};

/// Time from its first request for which a process waits for the objects, in milliseconds. A
/// process that reaches neither the store nor another instance serves without them then.
const MAX_UNREAD_MS: u64 = 1500;

/// Time for which an instance that does not watch the store reports a change to the others, in
/// milliseconds. The watchers report it with each heartbeat.
const REPORTED_MS: u64 = 15_000;

/// The evacuated data centres.
#[derive(Debug, Default)]
pub(crate) struct EvacuatedCentres {
    /// Sorted.
    names: RefCell<Vec<String>>,
    /// When they changed last, by the boot clock; 0 if never.
    changed_ms: Cell<u64>,
    /// When the first request asked for them, by the boot clock; 0 before.
    asked_ms: Cell<u64>,
}

impl EvacuatedCentres {
    /// Whether a data centre is evacuated.
    pub(crate) fn contains(&self, data_centre: &str) -> bool {
        let names = self.names.borrow();
        let found = names.binary_search_by(|name| name.as_str().cmp(data_centre));
        found.is_ok()
    }
}

/// Whether data centres are evacuated in this deployment.
pub(crate) fn is_enabled(state: &GatewayState) -> bool {
    state.settings().bounds.evacuate.is_some()
}

/// Whether a runner must get nothing because its data centre is evacuated.
pub(crate) fn is_evacuated(state: &GatewayState, runner: &RunnerHandle) -> bool {
    let centres = &state.evacuated;
    !centres.names.borrow().is_empty() && centres.contains(&runner.record().data_centre)
}

/// Whether this process does not know yet which data centres are evacuated.
pub(crate) fn is_unread(state: &GatewayState) -> bool {
    let kind = WatchedKind::Evacuations as usize;
    if !is_enabled(state) || state.replicas.borrow()[kind].is_synced() {
        return false;
    }
    let (asked_ms, now_ms) = (&state.evacuated.asked_ms, boot_ms());
    if asked_ms.get() == 0 {
        asked_ms.set(now_ms);
    }
    now_ms < asked_ms.get() + MAX_UNREAD_MS
}

/// Applies that the evacuation of a data centre was requested.
pub(crate) fn begin(state: &GatewayState, data_centre: &str) {
    let mut names = state.evacuated.names.borrow_mut();
    let found = names.binary_search_by(|name| name.as_str().cmp(data_centre));
    if let Err(index) = found {
        names.insert(index, data_centre.to_owned());
        state.evacuated.changed_ms.set(boot_ms());
        state
            .metrics
            .set(GaugeMetric::EvacuatedCentres, "", names.len() as i64);
        log::info!(target: "follow", data_centre; "data centre is evacuated");
    }
}

/// Applies that the evacuation of a data centre was withdrawn.
pub(crate) fn end(state: &GatewayState, data_centre: &str) {
    let mut names = state.evacuated.names.borrow_mut();
    let found = names.binary_search_by(|name| name.as_str().cmp(data_centre));
    if let Ok(index) = found {
        names.remove(index);
        state.evacuated.changed_ms.set(boot_ms());
        state
            .metrics
            .set(GaugeMetric::EvacuatedCentres, "", names.len() as i64);
        drop(names);
        log::info!(target: "follow", data_centre; "evacuation of the data centre has ended");
        note_returned(state, data_centre);
    }
}

/// Returns what this instance tells the others with a heartbeat, if anything.
pub(crate) fn own_report(state: &GatewayState) -> Option<EvacuationReport> {
    let kind = WatchedKind::Evacuations;
    if !is_enabled(state) {
        return None;
    }
    let is_connected_watcher = is_connected_watcher(state, kind);
    let changed_ms = state.evacuated.changed_ms.get();
    let is_recent = changed_ms > 0 && boot_ms() < changed_ms + REPORTED_MS;
    (is_connected_watcher || is_recent).then(|| EvacuationReport {
        name: state.settings().name.clone(),
        changed_at: state.replicas.borrow()[kind as usize].changed_at(),
        is_connected_watcher,
    })
}
