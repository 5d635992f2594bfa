//! Startup, signal handling and graceful shutdown of the process.

use crate::{
    cache_stores::watch_stores,
    callers::serve_callers,
    clock::boot_ms,
    crash_parts::{exchange_evidence, stored::store_blamed_parts},
    explain::{answer_questions, explain_channel, ExplainQuestions, RequestExplainer},
    gauges::update_gauges,
    instances::{serve_locate, sync_instance_list},
    peer_link::{exchange_heartbeats, serve_pulls},
    reachability::watch_paths,
    reclaim::reclaim_parts,
    rollout_lease::{new_lease, run_lease},
    state::{GatewayState, GRACE_FRACTION},
    store_lag::update_store_lags,
    store_watch::{expire_runners, pull_from_peers, watch_kind, WatchedKind},
    stream_versions::{
        follow_versions, inquiry::ask_instances, stored::store_streams, used::store_used,
    },
    weights::roll_out_weights,
};
use berylmount_adapter::settings_file::{load_settings, SettingsFault};
use berylmount_fleet::ProcessSettings;
use berylmount_telemetry::MetricSet;
use socket2::{Domain, Socket, Type};
use std::{
    io,
    net::{SocketAddr, TcpListener as StdListener, UdpSocket as StdSocket},
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use strum::IntoEnumIterator;
use tokio::{
    net::{TcpListener, UdpSocket},
    runtime::Builder,
    signal::unix::{signal, Signal, SignalKind},
    task::{spawn_local, LocalSet},
    time::sleep,
};

/// Listen backlog, sized for a burst of callers that connect at once.
const BACKLOG: i32 = 1024;
/// Time for the last responses to be written to their callers.
const FLUSH_TIME: Duration = Duration::from_millis(100);
/// Minimum time for which a draining process keeps serving. Most callers cache the
/// list of addresses for this long and still connect to this instance.
pub(crate) const MIN_DRAIN_TIME: Duration = Duration::from_millis(5500);

/// Why the process could not start.
#[derive(Debug, thiserror::Error)]
pub enum GatewayFault {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsFault),
    /// Listening on an address failed.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error from the operating system.
        source: io::Error,
    },
    /// Setting up the runtime or a signal handler failed.
    #[error("can't start: {0}")]
    Runtime(#[from] io::Error),
}

/// A gateway that listens on its addresses but does not serve yet.
#[derive(Debug)]
pub struct Gateway {
    settings: ProcessSettings,
    callers: StdListener,
    ready: StdListener,
    locate: Option<StdListener>,
    pulls: StdListener,
    heartbeats: StdSocket,
    metrics: Arc<MetricSet>,
    first_contact: Option<SocketAddr>,
    log_served: u32,
    explainer: RequestExplainer,
    questions: ExplainQuestions,
}

impl Gateway {
    /// Listens on the addresses of `settings`. Port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns a [`GatewayFault`] that names the address that could not be used.
    pub fn bind(
        mut settings: ProcessSettings,
        metrics: Arc<MetricSet>,
    ) -> Result<Self, GatewayFault> {
        let callers = listen_on(&mut settings.listen.callers)?;
        let ready = listen_on(&mut settings.listen.ready)?;
        let locate = settings.listen.locate.as_mut().map(listen_on).transpose()?;
        let mut peers = settings.peer_address();
        let pulls = listen_on(&mut peers)?;
        let heartbeats = StdSocket::bind(peers).and_then(|socket| {
            socket.set_nonblocking(true)?;
            Ok(socket)
        });
        let heartbeats = heartbeats.map_err(|source| GatewayFault::Listen {
            address: peers,
            source,
        })?;
        let last = (*settings.peer_ports.end()).max(peers.port());
        settings.peer_ports = peers.port()..=last;
        let (explainer, questions) = explain_channel();
        Ok(Self {
            explainer,
            questions,
            settings,
            callers,
            ready,
            locate,
            pulls,
            heartbeats,
            metrics,
            first_contact: None,
            log_served: 0,
        })
    }

    /// Returns the settings, with the actual ports.
    pub fn settings(&self) -> &ProcessSettings {
        &self.settings
    }

    /// Sets an instance to contact first, in addition to the addresses in the
    /// settings.
    pub fn set_first_contact(&mut self, address: SocketAddr) {
        self.first_contact = Some(address);
    }

    /// Logs one in `every` successful requests at the info level; 0 logs none. All
    /// instances sample the same requests.
    pub fn set_log_served(&mut self, every: u32) {
        self.log_served = every;
    }

    /// Returns the handle by which other threads ask where a request would go.
    pub fn explainer(&self) -> RequestExplainer {
        self.explainer.clone()
    }

    /// Serves until a stop signal, then drains and returns.
    ///
    /// # Errors
    ///
    /// Returns a [`GatewayFault`] if serving could not start.
    pub fn run(self) -> Result<(), GatewayFault> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        LocalSet::new().block_on(&runtime, self.serve())
    }

    async fn serve(self) -> Result<(), GatewayFault> {
        let mut signals = StopSignals::new()?;
        let callers = TcpListener::from_std(self.callers)?;
        let ready = TcpListener::from_std(self.ready)?;
        let locate = self.locate.map(TcpListener::from_std).transpose()?;
        let pulls = TcpListener::from_std(self.pulls)?;
        let heartbeats = UdpSocket::from_std(self.heartbeats)?;
        let settings = self.settings;
        log::info!(
            target: "process",
            name = settings.name, data_centre = settings.data_centre,
            callers:% = settings.listen.callers, ready:% = settings.listen.ready;
            "serving"
        );
        let state = Rc::new(GatewayState::new(
            settings,
            self.metrics,
            self.first_contact,
            self.log_served,
        ));
        spawn_background_tasks(&state);
        spawn_local(answer_questions(state.clone(), self.questions));
        spawn_local(exchange_heartbeats(state.clone(), heartbeats));
        spawn_local(serve_pulls(state.clone(), pulls));
        spawn_local(serve_callers(state.clone(), callers));
        spawn_local(serve_locate(state.clone(), ready));
        if let Some(locate) = locate {
            spawn_local(serve_locate(state.clone(), locate));
        }
        signals.wait_for_stop(&state).await;
        state.drain_started_ms.set(boot_ms());
        log::info!(target: "process", in_flight = state.in_flight.get(); "leaving");
        drain_requests(&state).await;
        log::info!(target: "process", in_flight = state.in_flight.get(); "stopped");
        Ok(())
    }
}

/// Spawns the tasks that watch the store, the runners and the other instances, and
/// those of the leader.
fn spawn_background_tasks(state: &Rc<GatewayState>) {
    for kind in WatchedKind::iter() {
        spawn_local(watch_kind(state.clone(), kind));
        spawn_local(pull_from_peers(state.clone(), kind));
    }
    spawn_local(exchange_evidence(state.clone()));
    spawn_local(store_blamed_parts(state.clone()));
    spawn_local(follow_versions(state.clone()));
    spawn_local(store_streams(state.clone()));
    spawn_local(store_used(state.clone()));
    spawn_local(ask_instances(state.clone()));
    spawn_local(expire_runners(state.clone()));
    spawn_local(update_gauges(state.clone()));
    spawn_local(watch_paths(state.clone()));
    spawn_local(watch_stores(state.clone()));
    spawn_local(update_store_lags(state.clone()));
    spawn_local(sync_instance_list(state.clone()));
    let lease = new_lease(state);
    spawn_local(run_lease(state.clone(), lease.clone()));
    spawn_local(roll_out_weights(state.clone(), lease.clone()));
    spawn_local(reclaim_parts(state.clone(), lease));
}

/// Waits until the minimum drain time has passed and all requests have ended, or the
/// grace period is over.
async fn drain_requests(state: &GatewayState) {
    let grace = state.settings().bounds.grace.mul_f64(GRACE_FRACTION);
    loop {
        sleep(Duration::from_millis(50)).await;
        let passed = Duration::from_millis(state.drain_elapsed_ms());
        let has_work = state.in_flight.get() > 0 || state.tunnels.get() > 0;
        let is_idle = !has_work && passed >= MIN_DRAIN_TIME;
        if is_idle {
            return;
        }
        if passed >= grace {
            let in_flight = state.in_flight.get();
            log::warn!(target: "process", in_flight; "grace period over; aborting the remaining requests");
            state.is_grace_over.set(true);
            state.grace_over.notify_waiters();
            sleep(FLUSH_TIME).await;
            return;
        }
    }
}

/// Listens on `address` and stores the actual port in it.
fn listen_on(address: &mut SocketAddr) -> Result<StdListener, GatewayFault> {
    let listen = |address: SocketAddr| {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        let listener = StdListener::from(socket);
        let actual = listener.local_addr()?;
        Ok((listener, actual))
    };
    let (listener, actual) = listen(*address).map_err(|source| GatewayFault::Listen {
        address: *address,
        source,
    })?;
    *address = actual;
    Ok(listener)
}

/// Handlers of the signals that stop the process or reload its settings.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl StopSignals {
    fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for a stop signal; reloads the settings on SIGHUP.
    async fn wait_for_stop(&mut self, state: &GatewayState) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.reload.recv() => reload(state),
            }
        }
    }
}

/// Reloads the settings. The addresses and ports on which the process listens stay as they are.
/// If the store has another address, it is used from now on.
fn reload(state: &GatewayState) {
    match load_settings() {
        Ok(mut settings) => {
            let before = state.settings();
            settings.listen = before.listen;
            settings.peer_ports = before.peer_ports.clone();
            let store = settings.store.address;
            *state.settings.borrow_mut() = Rc::new(settings);
            let is_moved = state.store.move_to(store);
            log::info!(
                target: "process",
                name = state.settings().name, store:%, is_moved;
                "settings reloaded"
            );
        }
        Err(fault) => log::error!(target: "process", fault:% ; "settings not reloaded"),
    }
}
