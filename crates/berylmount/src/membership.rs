//! Connects a role to the other processes of the system.
//!
//! One listener accepts all calls from peers. Probes and requests for the table
//! or the list of instances are answered here; calls for work are passed to the
//! role. Membership has two consumers: the role, which chooses among processes,
//! and the table's freshness clock, which counts which processes have applied
//! which version.

use crate::{instance_list::InstanceList, table_follower::TableFollower};
use berylmount_model::{InstanceName, InstanceRecord, InstanceRole, MonotonicClock};
use berylmount_objects::{CallCounts, CallKind, ObjectStore};
use berylmount_peers::{
    feed_table, process_report, serve_table, BoardConfig, LoadLevel, MemberView, MembershipParts,
    PeerHealth, PeerMembership, PeerRecord, ProcessReport,
};
use berylmount_settings::ProcessSettings;
use berylmount_table::TableReplica;
use berylmount_telemetry::{CounterMetric, GaugeMetric, MetricSet};
use berylmount_wire::{InboundCall, PeerClient, PeerServer, PeerService, WireConfig, WireRuntime};
use signal_hook::{consts::SIGTERM, low_level::raise};
use std::{
    io,
    net::SocketAddr,
    sync::{
        mpsc::{sync_channel, Receiver, SyncSender},
        Arc, Mutex, PoisonError,
    },
    thread,
    time::Duration,
};
use strum::IntoEnumIterator;

/// Capacity of each queue of calls from peers, in calls.
const MAX_QUEUED_CALLS: usize = 256;

/// Number of threads that answer probes and requests for the table or the list.
const ANSWER_THREADS: usize = 2;

/// Shortest time between two reads of the platform's list, in milliseconds.
const MIN_LIST_INTERVAL_MS: u64 = 1_000;

/// Longest time between two reads of the platform's list, in milliseconds.
const MAX_LIST_INTERVAL_MS: u64 = 5_000;

/// Time between reads of the list for each instance in it, in milliseconds.
///
/// Every process asks for the list, so a larger fleet asks less often.
const LIST_INTERVAL_PER_INSTANCE_MS: u64 = 5;

/// Time between two updates of the gauges.
const GAUGE_INTERVAL: Duration = Duration::from_millis(100);

/// Callback that receives the platform's list of instances.
pub(crate) type ListSink = Box<dyn Fn(&[InstanceRecord]) + Send + Sync>;

/// Callbacks through which a role learns of processes and targets.
pub(crate) struct RoleObserver {
    /// Receives the platform's list of instances.
    pub(crate) list: ListSink,
    /// Receives the snapshot of the members.
    pub(crate) view: Box<dyn Fn(&MemberView) + Send + Sync>,
    /// Returns the number of requests in flight.
    pub(crate) in_flight: Box<dyn Fn() -> usize + Send + Sync>,
}

/// The parts with which a process joins its peers.
pub(crate) struct JoinParts {
    pub(crate) role: InstanceRole,
    pub(crate) settings: ProcessSettings,
    pub(crate) store: Arc<dyn ObjectStore>,
    pub(crate) calls: Arc<CallCounts>,
    pub(crate) table: Arc<TableReplica>,
    pub(crate) metrics: Arc<MetricSet>,
    pub(crate) clock: MonotonicClock,
    pub(crate) runtime: Arc<WireRuntime>,
    pub(crate) seed: u64,
}

/// A bound listener for peers whose calls are queued but not answered yet.
pub(crate) struct PeerListener {
    server: PeerServer,
    calls: Receiver<InboundCall>,
}

impl PeerListener {
    /// Listens at `address`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the address can't be bound.
    pub(crate) fn bind(runtime: &Arc<WireRuntime>, address: SocketAddr) -> io::Result<Self> {
        let (sender, calls) = sync_channel(MAX_QUEUED_CALLS);
        let runtime = Arc::clone(runtime);
        let server = PeerServer::bind(runtime, WireConfig::default(), address, sender)?;
        Ok(Self { server, calls })
    }

    /// Returns the address on which it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

/// A process that has joined its peers.
pub(crate) struct JoinedProcess {
    membership: Arc<PeerMembership>,
    _server: PeerServer,
}

impl JoinedProcess {
    /// Tells the peers that this process accepts no new work.
    pub(crate) fn leave(&self) {
        self.membership.leave();
    }

    /// Tells the peers that this process exits now.
    pub(crate) fn stop(&self) {
        self.membership.stop();
    }
}

/// Joins the other processes; calls for work are sent to `work`.
///
/// # Errors
///
/// Returns the operating system's error if a thread can't be started.
pub(crate) fn join_peers(
    parts: JoinParts,
    listener: PeerListener,
    caller_address: Option<SocketAddr>,
    observer: RoleObserver,
    work: Option<SyncSender<InboundCall>>,
) -> io::Result<JoinedProcess> {
    let observer = Arc::new(observer);
    let list = Arc::new(InstanceList::default());
    let follower = TableFollower::new(&parts.runtime, &parts.table, parts.clock)?;
    let membership = Arc::new(PeerMembership::start(MembershipParts {
        record: own_record(&parts, &listener, caller_address),
        seeds: parts.settings.seeds.clone(),
        config: BoardConfig {
            refute_ms: parts.settings.timeouts.peer_dead.as_millis() as u64,
            ..BoardConfig::default()
        },
        seed: parts.seed,
        runtime: Arc::clone(&parts.runtime),
        metrics: Arc::clone(&parts.metrics),
        clock: parts.clock,
        report: report_source(&parts, &observer),
        observe: view_sink(&parts, &observer, &list, follower),
    })?);
    let PeerListener { server, calls } = listener;
    route_calls(calls, &membership, &parts.table, &list, work)?;
    let listing = Arc::clone(&membership);
    let (store, list_observer) = (Arc::clone(&parts.store), Arc::clone(&observer));
    let client = PeerClient::new(Arc::clone(&parts.runtime), WireConfig::default());
    spawn("list", move || {
        watch_list(&*store, &client, &listing, &list_observer, &list);
    })?;
    spawn("gauges", move || set_gauges(&parts, &observer))?;
    Ok(JoinedProcess {
        membership,
        _server: server,
    })
}

/// Starts a named thread.
fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let builder = thread::Builder::new().name(name.to_owned());
    builder.spawn(body).map(drop)
}

/// Builds the membership record of this process.
fn own_record(
    parts: &JoinParts,
    listener: &PeerListener,
    caller_address: Option<SocketAddr>,
) -> PeerRecord {
    let advertised = match parts.role {
        InstanceRole::Entry => parts.settings.entry.peer_advertised,
        _ => parts.settings.dispatch.peer_advertised,
    };
    PeerRecord {
        name: parts.settings.process_name(parts.role),
        // The start time orders the processes that had the same name.
        incarnation: berylmount_model::unix_ms(),
        refutation: 0,
        health: PeerHealth::Live,
        leaving: false,
        role: parts.role,
        data_centre: parts.settings.data_centre.clone(),
        peer_address: advertised.unwrap_or(listener.address()),
        caller_address,
    }
}

/// Returns the source of the table and load report that probes carry.
fn report_source(
    parts: &JoinParts,
    observer: &Arc<RoleObserver>,
) -> Box<dyn Fn(u64) -> ProcessReport + Send + Sync> {
    let (table, observer) = (Arc::clone(&parts.table), Arc::clone(observer));
    let bound = match parts.role {
        InstanceRole::Entry => parts.settings.entry.max_in_flight,
        _ => parts.settings.dispatch.max_in_flight,
    };
    Box::new(move |now_ms| {
        let load = LoadLevel::of((observer.in_flight)(), bound);
        process_report(&table, load, now_ms)
    })
}

/// Returns the callback that passes member snapshots to the table's clock and the role.
fn view_sink(
    parts: &JoinParts,
    observer: &Arc<RoleObserver>,
    list: &Arc<InstanceList>,
    follower: TableFollower,
) -> Box<dyn Fn(&MemberView) + Send + Sync> {
    let own = parts.settings.process_name(parts.role);
    let table = Arc::clone(&parts.table);
    let (observer, list) = (Arc::clone(observer), Arc::clone(list));
    Box::new(move |view| {
        if view.superseded {
            log::error!(target: "peers", "another process has the same name; stopping");
            let _ = raise(SIGTERM);
        }
        let listed = list.records().map(|records| process_names(&records));
        feed_table(&table, view, &own, listed.as_deref());
        follower.note_view(view);
        (observer.view)(view);
    })
}

/// Answers probes and requests for the table or the list; passes calls for work on.
fn route_calls(
    calls: Receiver<InboundCall>,
    membership: &Arc<PeerMembership>,
    table: &Arc<TableReplica>,
    list: &Arc<InstanceList>,
    work: Option<SyncSender<InboundCall>>,
) -> io::Result<()> {
    let (to_answer, answers) = sync_channel::<InboundCall>(MAX_QUEUED_CALLS);
    let answers = Arc::new(Mutex::new(answers));
    for _ in 0..ANSWER_THREADS {
        let (membership, table) = (Arc::clone(membership), Arc::clone(table));
        let list = Arc::clone(list);
        let answers = Arc::clone(&answers);
        spawn("answer", move || loop {
            let next = answers
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .recv();
            let Ok(InboundCall { service, call }) = next else {
                return;
            };
            let answered = match service {
                PeerService::Probe => membership.serve(call),
                PeerService::Instances => list.serve(call),
                PeerService::Table | PeerService::Work => serve_table(&table, call),
            };
            if let Err(fault) = answered {
                log::debug!(target: "peers", "answering a call from a peer failed: {fault}");
            }
        })?;
    }
    spawn("peers", move || {
        for inbound in calls {
            let queued = match (inbound.service, &work) {
                (PeerService::Work, Some(work)) => work.try_send(inbound),
                // An entry accepts no work; dropping the call resets it.
                (PeerService::Work, None) => Ok(()),
                (_, _) => to_answer.try_send(inbound),
            };
            if queued.is_err() {
                log::warn!(target: "peers", "the queue of calls from peers is full; dropped a call");
            }
        }
    })
}

/// Reads the platform's list of instances until the process ends.
fn watch_list(
    store: &dyn ObjectStore,
    client: &PeerClient,
    membership: &PeerMembership,
    observer: &RoleObserver,
    list: &InstanceList,
) {
    loop {
        let read = match list.read(store) {
            Ok(records) => Some(records),
            Err(fault) => {
                log::warn!(target: "peers", "reading the list of instances failed: {fault}");
                list.fetch_from_peers(client, &membership.view())
            }
        };
        let length = read.as_ref().map_or(0, |records| records.len());
        if let Some(records) = read {
            membership.set_listed(&records);
            (observer.list)(&records);
        }
        let interval_ms = LIST_INTERVAL_PER_INSTANCE_MS * length as u64;
        let interval_ms = interval_ms.clamp(MIN_LIST_INTERVAL_MS, MAX_LIST_INTERVAL_MS);
        thread::sleep(Duration::from_millis(interval_ms));
    }
}

/// Returns the names of the entry and dispatch processes in a list.
fn process_names(records: &[InstanceRecord]) -> Vec<InstanceName> {
    let processes = records.iter().filter(|record| is_process(record.role));
    processes.map(|record| record.name.clone()).collect()
}

/// Exports the platform client's call counts to the metrics.
#[derive(Debug, Default)]
struct PlatformCounter {
    /// Calls and failures exported so far, in the order of the call kinds.
    exported: Vec<(u64, u64)>,
}

impl PlatformCounter {
    /// Adds the calls and failures since the previous export.
    fn add(&mut self, calls: &CallCounts, metrics: &MetricSet) {
        self.exported.resize(CallKind::iter().len(), (0, 0));
        for (kind, exported) in CallKind::iter().zip(&mut self.exported) {
            let now = (calls.calls(kind), calls.failures(kind));
            let label: &str = kind.into();
            let counters = [
                (CounterMetric::PlatformCallsTotal, now.0 - exported.0),
                (CounterMetric::PlatformFaultsTotal, now.1 - exported.1),
            ];
            for (metric, more) in counters {
                if more > 0 {
                    metrics.add(metric, label, more);
                }
            }
            *exported = now;
        }
    }
}

/// Returns whether instances of `role` run an entry or dispatch process.
fn is_process(role: InstanceRole) -> bool {
    match role {
        InstanceRole::Entry | InstanceRole::Dispatch => true,
        InstanceRole::Runner | InstanceRole::Store | InstanceRole::Service => false,
    }
}

/// Updates the platform counters and the gauges of the table and the load until
/// the process ends.
fn set_gauges(parts: &JoinParts, observer: &RoleObserver) {
    let mut counter = PlatformCounter::default();
    loop {
        counter.add(&parts.calls, &parts.metrics);
        let report = parts.table.report(parts.clock.now_ms());
        let metrics = &parts.metrics;
        metrics.set(GaugeMetric::TableVersion, "", report.applied as i64);
        if let Some(age_ms) = report.confirmed_age_ms {
            metrics.set(GaugeMetric::TableAgeMs, "", age_ms as i64);
        }
        let in_flight = (observer.in_flight)();
        metrics.set(GaugeMetric::InFlight, "", in_flight as i64);
        thread::sleep(GAUGE_INTERVAL);
    }
}
