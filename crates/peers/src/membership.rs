//! Runs the state machine over calls between processes.
//!
//! One thread begins the rounds, a few send probes, and the caller's threads
//! answer those of others. A channel of bounded length joins them: when it is
//! full a probe isn't sent, and nobody is accused for it.

use crate::{
    board::PeerBoard,
    config::BoardConfig,
    message::{PeerAnswer, PeerProbe, PeerReply, PeerRequest, ProbeId, ProbeRequest},
    record::{MemberState, PeerRecord, ProcessReport},
    view::MemberView,
};
use berylmount_model::{InstanceRecord, MonotonicClock};
use berylmount_telemetry::{CounterMetric, GaugeMetric, HistogramMetric, MetricSet};
use berylmount_wire::{
    encode_frame, PeerCall, PeerClient, PeerService, WireConfig, WireFault, WireRuntime,
};
use std::{
    io,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        mpsc::{sync_channel, Receiver, SyncSender},
        Arc, Mutex, MutexGuard, PoisonError,
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};
use strum::IntoEnumIterator;

/// Threads that send probes.
const PROBE_THREADS: usize = 6;

/// Probes that wait for a thread.
const PROBES_WAITING: usize = 32;

/// Stack of a thread of membership, in bytes.
const STACK_BYTES: usize = 128 * 1024;

/// Idle time after which a connection for probes ends.
///
/// Next members are probed again sooner, random ones later.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// What membership is started with.
pub struct MembershipParts {
    /// This process's record.
    pub record: PeerRecord,
    /// Addresses to try before anybody is known.
    pub seeds: Vec<SocketAddr>,
    /// Intervals and counts.
    pub config: BoardConfig,
    /// Seed of the choice of members.
    pub seed: u64,
    /// Runs the connections.
    pub runtime: Arc<WireRuntime>,
    /// Counts probes and bytes.
    pub metrics: Arc<MetricSet>,
    /// Tells the time; the view's times are of this clock.
    pub clock: MonotonicClock,
    /// Tells what to say of this process's table and load at a time.
    pub report: Box<dyn Fn(u64) -> ProcessReport + Send + Sync>,
    /// Takes each round's view, on the thread of the rounds.
    pub observe: Box<dyn Fn(&MemberView) + Send + Sync>,
}

struct MembershipShared {
    board: Mutex<PeerBoard>,
    view: Mutex<Arc<MemberView>>,
    client: PeerClient,
    config: BoardConfig,
    metrics: Arc<MetricSet>,
    clock: MonotonicClock,
    report: Box<dyn Fn(u64) -> ProcessReport + Send + Sync>,
    observe: Box<dyn Fn(&MemberView) + Send + Sync>,
    stopping: AtomicBool,
}

/// Membership of a running process.
pub struct PeerMembership {
    shared: Arc<MembershipShared>,
    rounds: Mutex<Option<JoinHandle<()>>>,
}

impl PeerMembership {
    /// Starts the threads.
    ///
    /// # Errors
    ///
    /// Returns the system's error if a thread can't be started.
    pub fn start(parts: MembershipParts) -> io::Result<Self> {
        let MembershipParts {
            record,
            seeds,
            config,
            seed,
            runtime,
            metrics,
            clock,
            report,
            observe,
        } = parts;
        let wire = WireConfig {
            connect_timeout: Duration::from_millis(config.probe_ms),
            idle_timeout: IDLE_TIMEOUT,
            ping_idle: false,
            ..WireConfig::default()
        };
        let board = PeerBoard::new(record, seeds, config, seed, clock.now_ms());
        let shared = Arc::new(MembershipShared {
            view: Mutex::new(Arc::new(board.view(clock.now_ms()))),
            board: Mutex::new(board),
            client: PeerClient::new(runtime, wire),
            config,
            metrics,
            clock,
            report,
            observe,
            stopping: AtomicBool::new(false),
        });
        let (queue, probes) = sync_channel(PROBES_WAITING);
        let probes = Arc::new(Mutex::new(probes));
        for _ in 0..PROBE_THREADS {
            let (shared, queue) = (Arc::clone(&shared), queue.clone());
            let probes = Arc::clone(&probes);
            spawn("probe", move || shared.send_probes(&probes, &queue))?;
        }
        let running = Arc::clone(&shared);
        let rounds = spawn("rounds", move || running.run_rounds(&queue))?;
        let rounds = Mutex::new(Some(rounds));
        Ok(Self { shared, rounds })
    }

    /// The newest view.
    pub fn view(&self) -> Arc<MemberView> {
        Arc::clone(&lock(&self.shared.view))
    }

    /// Takes the platform's list.
    pub fn set_listed(&self, records: &[InstanceRecord]) {
        lock(&self.shared.board).set_listed(records);
    }

    /// Says from now on that this process takes nothing new.
    pub fn leave(&self) {
        lock(&self.shared.board).leave();
    }

    /// Answers one call of [`PeerService::Probe`]; blocks for a second at most.
    ///
    /// # Errors
    ///
    /// Returns the call's fault if no request came or no reply could be sent.
    pub fn serve(&self, call: PeerCall) -> Result<(), WireFault> {
        let timeout = Duration::from_millis(self.shared.config.probe_ms);
        let request: PeerRequest = call.receive(timeout)?;
        let reply = self.shared.answer(&request)?;
        call.send(&reply, timeout)?;
        call.finish();
        Ok(())
    }

    /// Tells others that this process stops, and ends the threads.
    pub fn stop(&self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
        // A panic of the thread was already written by the runtime.
        if let Some(rounds) = lock(&self.rounds).take() {
            let _ = rounds.join();
        }
    }
}

impl MembershipShared {
    /// Begins rounds until the process stops.
    fn run_rounds(&self, queue: &SyncSender<PeerProbe>) {
        let interval = Duration::from_millis(self.config.interval_ms);
        while !self.stopping.load(Ordering::Relaxed) {
            let probes = self.with_board(PeerBoard::tick);
            self.queue_probes(queue, probes);
            self.publish_view();
            thread::sleep(interval);
        }
        for probe in self.with_board(PeerBoard::stop) {
            // Nobody waits for the outcome of a farewell.
            let _ = self.exchange(&probe);
        }
    }

    /// Runs `step` on the board with the current report and time.
    fn with_board<T>(&self, step: impl FnOnce(&mut PeerBoard, u64) -> T) -> T {
        let report = (self.report)(self.clock.now_ms());
        let mut board = lock(&self.board);
        board.set_report(report);
        // Read under the lock, so that the board's time never goes back.
        step(&mut board, self.clock.now_ms())
    }

    /// Hands probes to the probing threads.
    fn queue_probes(&self, queue: &SyncSender<PeerProbe>, probes: Vec<PeerProbe>) {
        for probe in probes {
            let id = probe.id;
            if queue.try_send(probe).is_err() {
                log::warn!(target: "peers", "too many probes wait; one is not sent");
                lock(&self.board).withdraw(id);
            }
        }
    }

    /// Sends probes from the queue until the process ends.
    fn send_probes(&self, probes: &Mutex<Receiver<PeerProbe>>, queue: &SyncSender<PeerProbe>) {
        while !self.stopping.load(Ordering::Relaxed) {
            let interval = Duration::from_millis(self.config.interval_ms);
            let Ok(probe) = lock(probes).recv_timeout(interval) else {
                continue;
            };
            let started = Instant::now();
            let reply = self.exchange(&probe);
            match &reply {
                Ok(_) => self.metrics.observe(
                    HistogramMetric::ProbeSeconds,
                    "",
                    started.elapsed().as_secs_f64(),
                ),
                Err(fault) => {
                    log::debug!(target: "peers", address:% = probe.address, fault:% = fault; "probe failed")
                }
            }
            let outcome = match (&reply, &probe.request) {
                (Ok(PeerReply::Probe(_)), PeerRequest::Probe(_)) => "answered",
                (Ok(PeerReply::Probe(_)), PeerRequest::Relay { .. }) => "indirect",
                _ => "failed",
            };
            self.metrics.add(CounterMetric::PeerProbesTotal, outcome, 1);
            let now_ms = self.clock.now_ms();
            let more = lock(&self.board).finish(probe.id, reply.ok(), now_ms);
            self.queue_probes(queue, more);
        }
    }

    /// Sends one probe and waits for its reply.
    fn exchange(&self, probe: &PeerProbe) -> Result<PeerReply, WireFault> {
        let deadline = Instant::now() + Duration::from_millis(probe.timeout_ms);
        self.count_bytes("sent", &probe.request);
        let call = self
            .client
            .open(probe.address, PeerService::Probe, &probe.request)?;
        let reply: PeerReply = call.receive(deadline.saturating_duration_since(Instant::now()))?;
        call.finish();
        self.count_bytes("received", &reply);
        match reply.is_bounded() {
            true => Ok(reply),
            false => Err(WireFault::Malformed("a reply past its bounds".to_owned())),
        }
    }

    /// Answers a request, asking another process for it if need be.
    fn answer(&self, request: &PeerRequest) -> Result<PeerReply, WireFault> {
        self.count_bytes("received", request);
        if !request.is_bounded() {
            return Err(WireFault::Malformed("a request past its bounds".to_owned()));
        }
        let reply = match self.with_board(|board, now_ms| board.answer(request, now_ms)) {
            PeerAnswer::Reply(reply) => reply,
            PeerAnswer::Forward { address, probe } => self.forward(address, *probe),
        };
        self.count_bytes("sent", &reply);
        Ok(reply)
    }

    /// Passes a probe on to its target.
    fn forward(&self, address: SocketAddr, probe: ProbeRequest) -> PeerReply {
        let id = ProbeId(0);
        let timeout_ms = self.config.probe_ms;
        let request = PeerRequest::Probe(probe);
        let probe = PeerProbe {
            id,
            address,
            timeout_ms,
            request,
        };
        self.exchange(&probe).unwrap_or_else(|fault| {
            log::debug!(target: "peers", address:% = address, fault:% = fault; "relayed probe failed");
            PeerReply::Unreached
        })
    }

    /// Makes the view of this round and passes it on.
    fn publish_view(&self) {
        let view = Arc::new(lock(&self.board).view(self.clock.now_ms()));
        for state in MemberState::iter() {
            let members = view.members.iter().filter(|member| member.state == state);
            self.metrics
                .set(GaugeMetric::Members, state.into(), members.count() as i64);
        }
        self.log_changes(&lock(&self.view), &view);
        *lock(&self.view) = Arc::clone(&view);
        (self.observe)(&view);
    }

    /// Logs members whose state changed.
    fn log_changes(&self, old: &MemberView, new: &MemberView) {
        for member in &new.members {
            let before = old.find(&member.name).map(|member| member.state);
            if before != Some(member.state) {
                log::info!(target: "peers", name:% = member.name, state:% = member.state; "member changed");
            }
        }
        if new.superseded && !old.superseded {
            log::error!(target: "peers", "a later process has this name; this one has to stop");
        }
    }

    fn count_bytes(&self, direction: &str, message: &impl serde::Serialize) {
        let bytes = encode_frame(message).map_or(0, |frame| frame.len() as u64);
        self.metrics
            .add(CounterMetric::PeerBytesTotal, direction, bytes);
    }
}

/// Starts a thread of membership.
fn spawn(name: &str, duty: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    let builder = thread::Builder::new().name(name.to_owned());
    builder.stack_size(STACK_BYTES).spawn(duty)
}

/// Locks `mutex`; a thread that panicked leaves whole values behind.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
