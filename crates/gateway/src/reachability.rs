//! Network paths from this instance to the runners of each service.
//!
//! While a path is closed, requests reach runners through another instance (`tunnels`). If no
//! other instance has a path either, only connections that are still open are used.

use crate::{
    clock::boot_ms,
    peers::name_hash,
    runner_registry::{RunnerConnection, RunnerHandle},
    state::GatewayState,
    upstream::CONNECT_TIMEOUT,
};
use berylmount_fleet::HomeRegions;
use berylmount_h1::H1Stream;
use berylmount_policy::service_path::{PathState, ServicePath, SILENCE_MS};
use berylmount_telemetry::CounterMetric;
use rand::{rng, seq::IteratorRandom};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::{sync::Notify, task::spawn_local, time::sleep};

/// Time between two checks of the paths.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which an instance that could not open a tunnel is not asked again, in milliseconds.
const RELAY_PAUSE_MS: u64 = 1000;

/// The path to the runners of one service.
#[derive(Debug, Default)]
pub(crate) struct MonitoredPath {
    path: RefCell<ServicePath>,
    /// Wakes requests in flight when the path is closed.
    closed: Notify,
}

impl MonitoredPath {
    /// Returns whether new connections can be opened.
    pub(crate) fn state(&self) -> PathState {
        self.path.borrow().state()
    }

    /// Records whether a connection to a runner could be opened.
    pub(crate) fn note_connection(&self, runner: &RunnerHandle, is_open: bool) {
        let now_ms = boot_ms();
        self.path
            .borrow_mut()
            .note_connection(runner.key(), is_open, now_ms);
    }

    /// Makes the path suspect, after a rare call failed to connect.
    pub(crate) fn note_doubt(&self) {
        self.path.borrow_mut().note_doubt();
    }

    /// Completes when the path is closed while `runner` has sent nothing for some time.
    pub(crate) async fn lost(&self, runner: &RunnerHandle) {
        loop {
            self.closed.notified().await;
            let heard_ms = runner.heard_ms.get();
            if boot_ms().saturating_sub(heard_ms) >= SILENCE_MS {
                return;
            }
        }
    }
}

/// Counts one request in flight over the path, until it is dropped.
#[derive(Debug)]
pub(crate) struct PathUse {
    path: Rc<MonitoredPath>,
    runner: Rc<RunnerHandle>,
}

impl PathUse {
    /// Begins to count a request that is sent now.
    pub(crate) fn begin(path: &Rc<MonitoredPath>, runner: &Rc<RunnerHandle>) -> Self {
        path.path.borrow_mut().note_sent(boot_ms());
        Self {
            path: path.clone(),
            runner: runner.clone(),
        }
    }

    /// Records that the runner sent something.
    pub(crate) fn note_received(&self) {
        let now_ms = boot_ms();
        self.runner.heard_ms.set(now_ms);
        self.path.path.borrow_mut().note_received(now_ms);
    }
}

impl Drop for PathUse {
    fn drop(&mut self) {
        self.path.path.borrow_mut().note_ended();
    }
}

/// All paths of this instance, and the instances that could not relay.
#[derive(Debug, Default)]
pub(crate) struct ServicePaths {
    /// Sorted by service.
    paths: RefCell<Vec<(String, Rc<MonitoredPath>)>>,
    /// Whether a tunnel may be idle.
    has_tunnels: Cell<bool>,
    /// Instances that are not asked for a tunnel, with the end of that time by the boot clock,
    /// sorted by address.
    paused_relays: RefCell<Vec<(SocketAddr, u64)>>,
}

impl ServicePaths {
    /// Returns the path to a service.
    pub(crate) fn of(&self, service: &str) -> Rc<MonitoredPath> {
        let mut paths = self.paths.borrow_mut();
        let found = paths.binary_search_by(|(name, _)| name.as_str().cmp(service));
        let index = found.unwrap_or_else(|index| {
            paths.insert(index, (service.to_owned(), Rc::default()));
            index
        });
        paths[index].1.clone()
    }

    /// Returns the keys of the services whose path is closed, sorted.
    pub(crate) fn closed(&self) -> Vec<u64> {
        let paths = self.paths.borrow();
        let closed = paths
            .iter()
            .filter(|(_, path)| path.state() == PathState::Closed);
        let mut closed: Vec<u64> = closed.map(|(service, _)| name_hash(service)).collect();
        closed.sort_unstable();
        closed
    }

    /// Records that a tunnel was opened.
    pub(crate) fn note_tunnel(&self) {
        self.has_tunnels.set(true);
    }

    /// Records that an instance could not open a tunnel.
    pub(crate) fn pause_relay(&self, relay: SocketAddr) {
        let until_ms = boot_ms() + RELAY_PAUSE_MS;
        let mut paused = self.paused_relays.borrow_mut();
        match paused.binary_search_by_key(&relay, |(address, _)| *address) {
            Ok(index) => paused[index].1 = until_ms,
            Err(index) => paused.insert(index, (relay, until_ms)),
        }
    }

    /// Whether an instance may be asked for a tunnel.
    fn may_ask(&self, relay: SocketAddr, now_ms: u64) -> bool {
        let paused = self.paused_relays.borrow();
        let found = paused.binary_search_by_key(&relay, |(address, _)| *address);
        found.is_err() || found.is_ok_and(|index| paused[index].1 <= now_ms)
    }
}

/// How requests of this instance reach the runners of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ServiceReach {
    /// Over connections of this instance.
    Direct,
    /// Through another instance.
    Relayed,
    /// Only over connections that are still open.
    Isolated,
}

/// Returns how requests reach the runners of a service.
pub(crate) fn reach_of(state: &GatewayState, service: &str, homes: &HomeRegions) -> ServiceReach {
    match state.service_paths.of(service).state() {
        PathState::Open | PathState::Suspect => ServiceReach::Direct,
        PathState::Closed if choose_relay(state, service, homes).is_some() => ServiceReach::Relayed,
        PathState::Closed => ServiceReach::Isolated,
    }
}

/// Chooses an instance with a path to a service at random, if there is one. Those in the own
/// data centre are preferred, because they add the least latency. Bound requests pass only through
/// their regions.
pub(crate) fn choose_relay(
    state: &GatewayState,
    service: &str,
    homes: &HomeRegions,
) -> Option<SocketAddr> {
    let now_ms = boot_ms();
    let settings = state.settings();
    let own_data_centre = &settings.data_centre;
    let peers = state.peers.borrow();
    let relays = peers.relays(name_hash(service), now_ms);
    let usable = relays
        .filter(|entry| homes.allows_data_centre(&settings.regions, &entry.data_centre))
        .filter(|entry| state.service_paths.may_ask(entry.peers, now_ms));
    let (near, far): (Vec<_>, Vec<_>) =
        usable.partition(|entry| entry.data_centre == *own_data_centre);
    let chosen = near.iter().choose(&mut rng());
    let chosen = chosen.or_else(|| far.iter().choose(&mut rng()));
    chosen.map(|entry| entry.peers)
}

/// Probes paths that are suspect or closed, and closes idle tunnels that are of no use.
pub(crate) async fn watch_paths(state: Rc<GatewayState>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let paths = state.service_paths.paths.borrow().clone();
        for (service, path) in &paths {
            start_probes(&state, service, path);
        }
        close_idle_tunnels(&state);
    }
}

/// Sends the probes that are due.
pub(crate) fn start_probes(state: &Rc<GatewayState>, service: &str, path: &Rc<MonitoredPath>) {
    if path.path.borrow().is_calm(boot_ms()) {
        return;
    }
    let runners = state.runners.borrow();
    let ready: Vec<&Rc<RunnerHandle>> = runners.ready_of(service).collect();
    let due = path.path.borrow_mut().probes_due(ready.len(), boot_ms());
    for runner in ready.iter().sample(&mut rng(), due) {
        let (state, path, runner) = (state.clone(), path.clone(), Rc::clone(runner));
        let runners = ready.len();
        spawn_local(async move { probe(&state, &path, &runner, runners).await });
    }
}

/// Opens a connection to a runner, one of `runners`, to judge the path.
async fn probe(
    state: &GatewayState,
    path: &MonitoredPath,
    runner: &Rc<RunnerHandle>,
    runners: usize,
) {
    let record = runner.record();
    let slot = runner.reserve_connection(u32::MAX);
    let opened = H1Stream::connect(record.address, CONNECT_TIMEOUT).await;
    let is_open = opened.is_ok();
    let outcome = if is_open { "open" } else { "failed" };
    state
        .metrics
        .add(CounterMetric::PathProbesTotal, outcome, 1);
    let now_ms = boot_ms();
    if let (Ok(stream), Some(slot)) = (opened, slot) {
        runner.note_connection(true, now_ms);
        runner.return_connection(RunnerConnection::new(stream, slot), None, now_ms);
    }
    let changed = path.path.borrow_mut().note_probe(is_open, runners, now_ms);
    if let Some(changed) = changed {
        apply_change(state, &record.service, path, changed);
    }
}

/// Applies that a path was opened or closed.
fn apply_change(state: &GatewayState, service: &str, path: &MonitoredPath, changed: PathState) {
    let is_closed = changed == PathState::Closed;
    let is_live = path.path.borrow().is_live(boot_ms());
    match is_closed {
        true => {
            log::warn!(target: "paths", service, is_live; "path to the runners closed");
        }
        false => log::info!(target: "paths", service; "path to the runners open"),
    }
    state.is_heartbeat_due.set(true);
    let has_relay = choose_relay(state, service, &HomeRegions::default()).is_some();
    for runner in state.runners.borrow().ready_of(service) {
        // What is known of single runners was the path's fault.
        runner.note_connection(true, boot_ms());
        // Requests on connections of a lost path would wait for their deadline.
        if is_closed && (!is_live || has_relay) {
            runner.close_idle_connections();
        }
    }
    if is_closed {
        path.closed.notify_waiters();
    }
}

/// Closes idle tunnels through instances that are gone or drain, and to services that this
/// instance reaches itself.
fn close_idle_tunnels(state: &GatewayState) {
    let paths = &state.service_paths;
    if !paths.has_tunnels.get() {
        return;
    }
    let now_ms = boot_ms();
    let closed = paths.closed();
    // While a path is closed, more tunnels may be returned to the pool.
    paths.has_tunnels.set(!closed.is_empty());
    let peers = state.peers.borrow();
    for runner in state.runners.borrow().all() {
        if !runner.has_idle_tunnel() {
            continue;
        }
        paths.has_tunnels.set(true);
        let service = name_hash(&runner.record().service);
        let is_used = closed.binary_search(&service).is_ok();
        runner.retain_idle_tunnels(|relay| {
            is_used
                && peers
                    .relays(service, now_ms)
                    .any(|entry| entry.peers == relay)
        });
    }
}
