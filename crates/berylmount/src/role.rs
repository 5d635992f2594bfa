//! Runs the entry or dispatch role, from startup to graceful shutdown.
//!
//! Once it listens, the process prints its addresses as one line of JSON.
//! SIGTERM and SIGINT start the graceful shutdown.

use crate::{
    exit_codes::{EXIT_FAULTY, EXIT_NOT_STARTED, EXIT_UNREADABLE},
    membership::{join_peers, JoinParts, JoinedProcess, PeerListener, RoleObserver},
};
use berylmount_dispatch::{DispatchParts, DispatchProcess};
use berylmount_entry::{EntryParts, EntryProcess};
use berylmount_model::{InstanceRole, MonotonicClock};
use berylmount_objects::{CallCounts, ObjectStore, PlatformClient};
use berylmount_settings::{ProcessSettings, SettingsError};
use berylmount_table::TableReplica;
use berylmount_telemetry::{
    flush_traces, serve_metrics, start_logging, start_traces, HealthState, LogFault, LogGuard,
    MetricSet, MetricsServer, SharedHealth,
};
use berylmount_wire::{PeerClient, WireConfig, WireRuntime};
use serde::Serialize;
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use std::{
    io::{self, Write},
    net::{SocketAddr, TcpListener},
    path::Path,
    sync::{atomic::AtomicBool, mpsc::sync_channel, Arc},
    thread,
    time::{SystemTime, UNIX_EPOCH},
};

/// Exit code for a shutdown that had to abort requests.
const EXIT_ABORTED: u8 = 4;

/// Capacity of the queue of calls for work, in calls.
const MAX_QUEUED_CALLS: usize = 256;

/// A role of the binary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ProcessRole {
    /// Serves callers and operators.
    Entry,
    /// Serves targets.
    Dispatch,
}

/// Why a process could not start.
#[derive(Debug, thiserror::Error)]
enum StartFault {
    /// The log could not be started.
    #[error("starting the log failed: {0}")]
    Log(#[from] LogFault),
    /// An address could not be bound or a thread could not be started.
    #[error("starting the process failed: {0}")]
    Io(#[from] io::Error),
    /// A metric could not be registered.
    #[error("registering the metrics failed: {0}")]
    Metrics(String),
}

/// The line of addresses that a process prints once it listens.
#[derive(Debug, Serialize)]
struct ListenLine {
    callers: Option<SocketAddr>,
    operators: Option<SocketAddr>,
    peers: SocketAddr,
    metrics: SocketAddr,
}

/// The parts that both roles share.
struct ProcessBase {
    settings: ProcessSettings,
    metrics: Arc<MetricSet>,
    health: Arc<SharedHealth>,
    store: Arc<dyn ObjectStore>,
    calls: Arc<CallCounts>,
    seed: u64,
    server: MetricsServer,
    _log: LogGuard,
}

/// Runs `role` with the settings file at `path` until it is told to stop.
///
/// Returns the exit code.
pub(crate) fn run_role(role: ProcessRole, path: &Path) -> u8 {
    let settings = match ProcessSettings::read(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return match error {
                SettingsError::Faulty(_) => EXIT_FAULTY,
                SettingsError::Unreadable(_) => EXIT_UNREADABLE,
            };
        }
    };
    let outcome = start_base(role, settings).and_then(|base| match role {
        ProcessRole::Entry => run_entry(base),
        ProcessRole::Dispatch => run_dispatch(base),
    });
    match outcome {
        Ok(true) => 0,
        Ok(false) => EXIT_ABORTED,
        Err(fault) => {
            eprintln!("{fault}");
            EXIT_NOT_STARTED
        }
    }
}

/// Starts the parts that both roles share.
fn start_base(role: ProcessRole, settings: ProcessSettings) -> Result<ProcessBase, StartFault> {
    let log = start_logging(&settings.log)?;
    start_traces();
    let metrics = MetricSet::new().map_err(|e| StartFault::Metrics(e.to_string()))?;
    let metrics = Arc::new(metrics);
    let health = Arc::new(SharedHealth::default());
    let address = match role {
        ProcessRole::Entry => settings.entry.metrics_listen,
        ProcessRole::Dispatch => settings.dispatch.metrics_listen,
    };
    let listener = TcpListener::bind(address)?;
    let server = serve_metrics(listener, Arc::clone(&metrics), Arc::clone(&health))?;
    let store = Arc::new(PlatformClient::new(settings.platform.address));
    let calls = Arc::clone(store.counts());
    Ok(ProcessBase {
        settings,
        metrics,
        health,
        store,
        calls,
        seed: process_seed(),
        server,
        _log: log,
    })
}

/// Returns a seed that differs between processes and their restarts.
fn process_seed() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let nanos = since_epoch.map_or(0, |since_epoch| since_epoch.as_nanos() as u64);
    nanos ^ (u64::from(std::process::id()) << 40)
}

/// Follows the operators' table on a thread of its own.
fn start_table(
    store: &Arc<dyn ObjectStore>,
    clock: MonotonicClock,
) -> io::Result<Arc<TableReplica>> {
    let replica = Arc::new(TableReplica::new(clock.now_ms()));
    let (table, store) = (Arc::clone(&replica), Arc::clone(store));
    let builder = thread::Builder::new().name("table".to_owned());
    builder.spawn(move || {
        let never = AtomicBool::new(false);
        table.run(&*store, &|| clock.now_ms(), &never);
    })?;
    Ok(replica)
}

/// Runs the entry role; returns whether it stopped without aborting requests.
fn run_entry(base: ProcessBase) -> Result<bool, StartFault> {
    let clock = MonotonicClock::start();
    let runtime = Arc::new(WireRuntime::start()?);
    let listener = PeerListener::bind(&runtime, base.settings.entry.peer_listen)?;
    let peers = listener.address();
    let table = start_table(&base.store, clock)?;
    let entry = EntryProcess::start(EntryParts {
        settings: base.settings.clone(),
        metrics: Arc::clone(&base.metrics),
        store: Arc::clone(&base.store),
        table: Arc::clone(&table),
        client: PeerClient::new(Arc::clone(&runtime), WireConfig::default()),
        clock,
        seed: base.seed,
    })?;
    let shared = || Arc::clone(entry.shared());
    let (listing, viewing, counting) = (shared(), shared(), shared());
    let observer = RoleObserver {
        list: Box::new(move |records| listing.apply_records(records)),
        view: Box::new(move |view| viewing.apply_view(view)),
        in_flight: Box::new(move || counting.tracker.in_flight()),
    };
    let parts = base.join_parts(InstanceRole::Entry, &table, clock, &runtime);
    let joined = join_peers(parts, listener, Some(entry.address()), observer, None)?;
    let line = ListenLine {
        callers: Some(entry.address()),
        operators: Some(entry.operators_address()),
        peers,
        metrics: base.server.address(),
    };
    serve_until_stop(&base, &joined, &line, || entry.stop())
}

/// Runs the dispatch role; returns whether it stopped without aborting requests.
fn run_dispatch(base: ProcessBase) -> Result<bool, StartFault> {
    let clock = MonotonicClock::start();
    let runtime = Arc::new(WireRuntime::start()?);
    let listener = PeerListener::bind(&runtime, base.settings.dispatch.peer_listen)?;
    let peers = listener.address();
    let table = start_table(&base.store, clock)?;
    let (work, calls) = sync_channel(MAX_QUEUED_CALLS);
    let parts = DispatchParts {
        settings: base.settings.clone(),
        store: Arc::clone(&base.store),
        table: Arc::clone(&table),
        metrics: Arc::clone(&base.metrics),
        clock,
        seed: base.seed,
    };
    let dispatch = DispatchProcess::start(parts, calls, peers)?;
    let (listing, counting) = (Arc::clone(dispatch.shared()), Arc::clone(dispatch.shared()));
    let observer = RoleObserver {
        list: Box::new(move |records| listing.apply_list(records)),
        view: Box::new(|_| {}),
        in_flight: Box::new(move || counting.tracker.in_flight()),
    };
    let parts = base.join_parts(InstanceRole::Dispatch, &table, clock, &runtime);
    let joined = join_peers(parts, listener, None, observer, Some(work))?;
    let line = ListenLine {
        callers: None,
        operators: None,
        peers,
        metrics: base.server.address(),
    };
    serve_until_stop(&base, &joined, &line, || dispatch.stop())
}

/// Serves until the graceful shutdown; returns whether no request was aborted.
fn serve_until_stop(
    base: &ProcessBase,
    joined: &JoinedProcess,
    line: &ListenLine,
    stop: impl FnOnce() -> bool,
) -> Result<bool, StartFault> {
    print_listen_line(line)?;
    base.health.set(HealthState::Ready);
    wait_for_stop_signal()?;
    base.health.set(HealthState::Leaving);
    joined.leave();
    let clean = stop();
    joined.stop();
    Ok(log_stop(clean))
}

impl ProcessBase {
    /// Builds the parts with which the process joins its peers.
    fn join_parts(
        &self,
        role: InstanceRole,
        table: &Arc<TableReplica>,
        clock: MonotonicClock,
        runtime: &Arc<WireRuntime>,
    ) -> JoinParts {
        JoinParts {
            role,
            settings: self.settings.clone(),
            store: Arc::clone(&self.store),
            calls: Arc::clone(&self.calls),
            table: Arc::clone(table),
            metrics: Arc::clone(&self.metrics),
            clock,
            runtime: Arc::clone(runtime),
            seed: self.seed,
        }
    }
}

/// Prints the addresses on which the process listens.
fn print_listen_line(line: &ListenLine) -> io::Result<()> {
    let text = serde_json::to_string(line).map_err(io::Error::other)?;
    let mut output = io::stdout().lock();
    writeln!(output, "{text}")?;
    output.flush()
}

/// Waits for the signal that starts the graceful shutdown.
fn wait_for_stop_signal() -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    signals.forever().next();
    Ok(())
}

/// Logs the end of the process and flushes the traces; returns `clean` unchanged.
fn log_stop(clean: bool) -> bool {
    match clean {
        true => log::info!(target: "process", "stopped"),
        false => {
            log::warn!(target: "process", "the drain timeout has passed; aborting the remaining requests")
        }
    }
    flush_traces();
    clean
}
