//! Threads that keep the process's view of its targets current.

use crate::{
    shared::{DispatchShared, LOOK_INTERVAL},
    RunnerGroup,
};
use berylmount_model::{InstanceName, InstanceRecord};
use berylmount_policy::{RunnerReport, TargetGroup};
use berylmount_targets::{EngineClient, TargetTimeouts};
use berylmount_telemetry::GaugeMetric;
use std::{sync::Arc, thread, time::Duration};

/// Time between two load reports of a runner.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Time limit of one load report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// How late a load report is taken to be, in milliseconds.
const REPORT_LAG_MS: u64 = 500;

/// Reads the platform's list once.
pub(crate) fn read_list(shared: &DispatchShared) {
    match shared.store.instances() {
        Ok(records) => shared.apply_list(&records),
        Err(fault) => {
            log::warn!(target: "dispatch", "reading the list of instances failed: {fault}");
        }
    }
}

/// Opens a watching thread for each new group, until the process ends.
pub(crate) fn watch_groups(shared: &Arc<DispatchShared>) {
    let mut watched: Vec<TargetGroup> = Vec::new();
    loop {
        for (name, group) in shared.groups() {
            if let Err(slot) = watched.binary_search(&name) {
                watched.insert(slot, name.clone());
                let shared = Arc::clone(shared);
                let builder = thread::Builder::new().name("loads".to_owned());
                let spawned = builder.spawn(move || watch_loads(&shared, &name, &group));
                if let Err(e) = spawned {
                    log::error!(target: "dispatch", "no thread for a group's loads: {e}");
                }
            }
        }
        shared.kept.free_due();
        shared.answers.drop_expired(shared.now_ms());
        let held = i64::try_from(shared.answers.bytes()).unwrap_or(i64::MAX);
        shared.metrics.set(GaugeMetric::HeldBytes, "", held);
        let queued: usize = shared.groups().iter().map(|(_, g)| g.queued()).sum();
        shared.metrics.set(GaugeMetric::Queued, "", queued as i64);
        thread::sleep(LOOK_INTERVAL);
    }
}

/// Reads the load reports and cache events of a group's runners.
fn watch_loads(shared: &DispatchShared, name: &TargetGroup, group: &RunnerGroup) {
    let timeouts = TargetTimeouts {
        gap: REPORT_TIMEOUT,
        call: REPORT_TIMEOUT,
        ..shared.target_timeouts()
    };
    loop {
        for (record, _) in shared.group_records(name) {
            let client = EngineClient::new(record.address, timeouts);
            read_load(shared, group, &client, &record);
            read_events(group, &client, &record.name);
        }
        group.tick(shared.now_ms());
        thread::sleep(REPORT_INTERVAL);
    }
}

/// Reads one runner's load report.
fn read_load(
    shared: &DispatchShared,
    group: &RunnerGroup,
    client: &EngineClient,
    record: &InstanceRecord,
) {
    let asked_ms = shared.now_ms();
    let load = match client.load() {
        Ok(load) => load,
        Err(fault) => {
            log::debug!(target: "dispatch", runner:% = record.name; "no load report: {fault}");
            return;
        }
    };
    let report = RunnerReport {
        at_ms: asked_ms.saturating_sub(REPORT_LAG_MS),
        waiting_tokens: load.prefill_tokens,
        running: u32::try_from(load.running + load.queued).unwrap_or(u32::MAX),
    };
    group.apply_report(&record.name, &report, &load.version, shared.now_ms());
    if load.leaving {
        shared.roster.note_leaving(record.address, shared.now_ms());
        group.set_leaving(&record.name, true);
    }
}

/// Reads one runner's cache events.
///
/// A runner that does not answer leaves the hints as they are.
pub(crate) fn read_events(group: &RunnerGroup, client: &EngineClient, runner: &InstanceName) {
    if let Ok(events) = client.events(group.last_event(runner)) {
        group.apply_events(runner, &events);
    }
}
