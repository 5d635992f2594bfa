//! State that all tasks of the process share.

use crate::{
    cache_stores::StoreRegistry,
    caller_memory::CallerAccounts,
    callers::DEFAULT_LIMITS,
    clock::boot_ms,
    cold_runners::ColdReplies,
    copies::CopyServer,
    crash_parts::CrashParts,
    evacuations::EvacuatedCentres,
    instances::InstanceList,
    peer_skips::SkippedMessages,
    peers::{
        name_hash, CacheGossip, HolderNotice, LoadShare, PeerTable, RequestHint, RequestTimesReply,
    },
    permits::SilentCoordinator,
    reachability::ServicePaths,
    reclaim::ActiveFetches,
    replica::KindReplica,
    request_queries::{ask_for_times, knows_times_queries, RequestQueries},
    response_memory::SharedPool,
    runner_registry::RunnerRegistry,
    store_lag::OpenWaits,
    store_watch::{StoreAvailability, WatchedKind},
    stream_versions::StreamVersions,
    waiting::WaitingRoom,
};
use berylmount_adapter::store_client::StoreClient;
use berylmount_fleet::{DesiredVersion, ProcessSettings, RouteTable};
use berylmount_model::unix_ms;
use berylmount_policy::{
    ablation::PolicyMechanism,
    admission::{ArrivalRate, PeerLoad},
    duty_lease::RequestedRecord,
    engine_pace::{EnginePace, FirstEvent},
    idle_limits::IdleLimits,
    misdirection::MisdirectedRunners,
    prompt_pools::{PromptLength, PromptMix},
    request_times::RequestTimes,
    retry_share::{RetryBounds, RetryOwner, RetryShare},
    runner_clock::RunnerClock,
    runner_limits::{PermitDecision, RunnerLimits},
    runner_rooms::BrittleRunners,
    save_orders::{FleetSaves, ReportWriter, SaveOrders},
    shared_duties::{duty_score, DutyMember},
    store_lags::LagTracker,
};
use berylmount_telemetry::MetricSet;
use std::{
    cell::{Cell, OnceCell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use strum::EnumCount;
use tokio::{
    net::UdpSocket,
    sync::{oneshot, Notify},
};
use xxhash_rust::xxh3::xxh3_64;

/// Fraction of the grace period for which a draining process starts any request. Callers still
/// come while they use an older list of addresses.
const OPEN_DRAIN_FRACTION: f64 = 0.375;
/// Fraction of the grace period after which the process ends in any case. The rest is a margin
/// for late timers.
pub(crate) const GRACE_FRACTION: f64 = 0.88;
/// Time before that end by which a request must have reached its own time limit.
const DRAIN_MARGIN: Duration = Duration::from_millis(100);
/// Time by which callers may learn of a new table later than all instances have it in force.
const CALLER_LAG: Duration = Duration::from_secs(1);
/// Number of versions per model whose request times are stored in the lease record.
const MAX_RECORDED_VERSIONS: usize = 4;
/// Maximum clock skew between instances, in milliseconds. It allows a clock step of two
/// seconds with some margin.
const MAX_CLOCK_SKEW_MS: u64 = 2500;

/// Smallest change of the earliest time of a request that is logged, in milliseconds.
const LOGGED_CHANGE_MS: i64 = 200;

/// The version of weights that the operator requested for a model.
#[derive(Clone, Debug)]
pub(crate) struct DesiredWeights {
    /// The newest version that was requested.
    pub(crate) goal: DesiredVersion,
    /// When versions were requested at the earliest, by the boot clock.
    pub(crate) times: RequestTimes,
}

impl DesiredWeights {
    /// Records a hint, unless its version is newer than the one that this process has found in
    /// the store. Returns whether it is worth asking the process that gave it.
    fn note_hint(&mut self, hint: &RequestHint, now_ms: u64) -> bool {
        let (version, at_ms) = (hint.version, hint.at_ms);
        version <= self.goal.version && self.times.note_hint(version, at_ms, now_ms)
    }
}

/// The shared state of the process.
#[derive(Debug)]
pub(crate) struct GatewayState {
    /// The settings in force.
    pub(crate) settings: RefCell<Rc<ProcessSettings>>,
    /// The client of the object store.
    pub(crate) store: StoreClient,
    /// The route table in force; `None` until one is known.
    table: RefCell<Option<Rc<RouteTable>>>,
    /// Counters and histograms.
    pub(crate) metrics: Arc<MetricSet>,
    /// An instance to contact first, in addition to those in the settings.
    pub(crate) first_contact: Option<SocketAddr>,
    /// When the process started, in Unix milliseconds.
    pub(crate) started_ms: u64,
    /// When the process started, by the boot clock, which includes suspended time.
    pub(crate) started_boot_ms: u64,
    /// For each model, the lowest version of weights whose cached parts may be fetched.
    /// Never decreases.
    pub(crate) retired: RefCell<Vec<(String, u64)>>,
    /// Fetches of cached parts in flight.
    pub(crate) fetches: RefCell<ActiveFetches>,
    /// Orders to save parts that may not have begun.
    pub(crate) save_orders: Rc<RefCell<SaveOrders>>,
    /// What the other instances have reported about theirs.
    pub(crate) fleet_saves: RefCell<FleetSaves>,
    /// What this instance has told the others about saves.
    pub(crate) report_writer: RefCell<ReportWriter>,
    /// Statistics of services of engines, sorted by the key of the service.
    service_stats: RefCell<Vec<(u64, ServiceStats)>>,
    /// Prompt parts that crash runners.
    pub(crate) crash_parts: CrashParts,
    /// Open requests for permits for cold runners.
    pub(crate) cold_replies: ColdReplies,
    /// Data centres that the operator evacuates.
    pub(crate) evacuated: EvacuatedCentres,
    /// Software versions of runners, and which of them began streams.
    pub(crate) stream_versions: StreamVersions,
    /// Copies of objects for other instances.
    pub(crate) copies: CopyServer,
    /// Requests that fetch from stores and wait for their first event.
    pub(crate) waits: RefCell<OpenWaits>,
    /// Lags of stores as observed by this instance.
    pub(crate) lags: RefCell<LagTracker>,
    /// Replicas of the watched objects of the store, by kind.
    pub(crate) replicas: RefCell<[KindReplica; WatchedKind::COUNT]>,
    /// Availability of the store, by kind.
    pub(crate) store_availability: [StoreAvailability; WatchedKind::COUNT],
    /// Whether the next heartbeat is sent without waiting for the interval.
    pub(crate) is_heartbeat_due: Cell<bool>,
    /// Changes in stores that are sent before the next heartbeat.
    pub(crate) gossip: RefCell<Vec<CacheGossip>>,
    /// Estimated clock of runners and stores.
    pub(crate) runner_clock: Cell<RunnerClock>,
    /// Long prompts that were just sent to runners and not yet announced to the other
    /// instances: key of the runner, and the load.
    pub(crate) pending_placements: RefCell<Vec<(u64, LoadShare)>>,
    /// Wakes the task that announces them.
    pub(crate) placements_ready: Notify,
    /// Messages of other instances that were skipped.
    pub(crate) skipped_messages: SkippedMessages,
    /// Other instances with recent heartbeats.
    pub(crate) peers: RefCell<PeerTable>,
    /// What this instance announces to the others while it holds the lease.
    pub(crate) holder_notice: RefCell<Option<HolderNotice>>,
    /// Network paths to the runners of each service.
    pub(crate) service_paths: ServicePaths,
    /// Tunnels that this instance serves to other instances.
    pub(crate) tunnels: Rc<Cell<u32>>,
    /// Requests that wait for room at engines.
    pub(crate) waiting: Rc<WaitingRoom>,
    /// Known runners.
    pub(crate) runners: RefCell<RunnerRegistry>,
    /// Request limits that runners have named.
    pub(crate) runner_limits: RefCell<RunnerLimits>,
    /// Runners that fall over when they reject too many requests.
    pub(crate) brittle_runners: RefCell<BrittleRunners>,
    /// Whether a change of them is to be reported to the other instances.
    pub(crate) is_brittle_report_due: Cell<bool>,
    /// Runners whose addresses belong to other servers.
    pub(crate) misdirected: RefCell<MisdirectedRunners>,
    /// Whether a change of them is to be reported to the other instances.
    pub(crate) is_exclusion_report_due: Cell<bool>,
    /// Whether a change of the limits is to be reported to the other instances.
    pub(crate) is_limit_report_due: Cell<bool>,
    /// Open permit requests by their number, with the receiver of the reply.
    pub(crate) permit_replies: RefCell<Vec<(u64, oneshot::Sender<PermitDecision>)>>,
    /// Coordinators that did not reply to the last permit requests.
    pub(crate) silent_coordinators: RefCell<Vec<SilentCoordinator>>,
    /// The socket for datagrams to other instances, once the process serves.
    pub(crate) peer_socket: OnceCell<Rc<UdpSocket>>,
    /// Requested weights, sorted by model.
    pub(crate) desired_weights: RefCell<Vec<DesiredWeights>>,
    /// Queries for their request times.
    pub(crate) request_queries: RequestQueries,
    /// Wakes the task that stores the request times of weights.
    pub(crate) weights_requested: Notify,
    /// Notified when an order is planned, which the lease must record before it is sent.
    pub(crate) order_planned: Notify,
    /// The request times of weights in the lease record as last read.
    stored_request_times: RefCell<Vec<RequestedRecord>>,
    /// Stores of kept cache.
    pub(crate) stores: RefCell<StoreRegistry>,
    /// Known instances.
    pub(crate) instances: RefCell<InstanceList>,
    /// The share that this instance has of each retry budget, sorted by service.
    retry_shares: RefCell<Vec<(String, RetryShare)>>,
    /// One of this many served requests is logged; 0 for none.
    log_served: u32,
    /// When the drain started, by the boot clock; 0 before.
    pub(crate) drain_started_ms: Cell<u64>,
    /// Whether the grace period of the drain is over.
    pub(crate) is_grace_over: Cell<bool>,
    /// Wakes requests in flight when the grace period is over.
    pub(crate) grace_over: Notify,
    /// Requests that were read and are not answered yet.
    pub(crate) in_flight: Cell<usize>,
    /// Callers' connections and what is held for them.
    pub(crate) callers: Rc<CallerAccounts>,
    /// Memory of responses.
    pub(crate) response_pool: SharedPool,
    /// How long callers' connections may stay idle.
    pub(crate) idle_limits: RefCell<IdleLimits>,
}

/// Statistics of the requests of this instance for one service.
#[derive(Debug, Default)]
struct ServiceStats {
    /// Requests that arrived.
    offered: ArrivalRate,
    /// Requests that have ended at runners.
    ended: ArrivalRate,
    /// Measured prefill speed.
    engines: EnginePace,
    /// Lengths of the prompts that were placed.
    mix: PromptMix,
}

impl GatewayState {
    /// Creates the state at the start of a process.
    pub(crate) fn new(
        settings: ProcessSettings,
        metrics: Arc<MetricSet>,
        first_contact: Option<SocketAddr>,
        log_served: u32,
    ) -> Self {
        Self {
            callers: Rc::new(CallerAccounts::new(metrics.clone())),
            metrics,
            first_contact,
            log_served,
            started_ms: unix_ms(),
            started_boot_ms: boot_ms(),
            retired: RefCell::default(),
            fetches: RefCell::default(),
            save_orders: Rc::default(),
            fleet_saves: RefCell::default(),
            report_writer: RefCell::default(),
            service_stats: RefCell::default(),
            crash_parts: CrashParts::default(),
            cold_replies: ColdReplies::default(),
            evacuated: EvacuatedCentres::default(),
            stream_versions: StreamVersions::default(),
            copies: CopyServer::default(),
            waits: RefCell::default(),
            lags: RefCell::default(),
            replicas: RefCell::new(WatchedKind::ALL.map(|kind| KindReplica::new(kind.rule()))),
            store_availability: Default::default(),
            is_heartbeat_due: Cell::new(false),
            gossip: RefCell::default(),
            pending_placements: RefCell::default(),
            placements_ready: Notify::new(),
            skipped_messages: SkippedMessages::default(),
            peers: RefCell::default(),
            runner_clock: Cell::default(),
            holder_notice: RefCell::default(),
            store: StoreClient::new(settings.store.address),
            settings: RefCell::new(Rc::new(settings)),
            table: RefCell::default(),
            service_paths: ServicePaths::default(),
            tunnels: Rc::default(),
            waiting: Rc::default(),
            runners: RefCell::default(),
            runner_limits: RefCell::default(),
            brittle_runners: RefCell::default(),
            is_brittle_report_due: Cell::new(false),
            misdirected: RefCell::default(),
            is_exclusion_report_due: Cell::new(false),
            is_limit_report_due: Cell::new(false),
            permit_replies: RefCell::default(),
            silent_coordinators: RefCell::default(),
            peer_socket: OnceCell::new(),
            desired_weights: RefCell::default(),
            request_queries: RequestQueries::default(),
            weights_requested: Notify::new(),
            order_planned: Notify::new(),
            stored_request_times: RefCell::default(),
            stores: RefCell::default(),
            instances: RefCell::default(),
            retry_shares: RefCell::default(),
            drain_started_ms: Cell::new(0),
            is_grace_over: Cell::new(false),
            grace_over: Notify::new(),
            in_flight: Cell::new(0),
            response_pool: SharedPool::default(),
            idle_limits: RefCell::new(IdleLimits::new(DEFAULT_LIMITS.idle_time.as_millis() as u64)),
        }
    }

    /// Returns the settings in force.
    pub(crate) fn settings(&self) -> Rc<ProcessSettings> {
        self.settings.borrow().clone()
    }

    /// Returns the route table in force.
    pub(crate) fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Puts a route table in force if it is newer. Returns whether it is.
    pub(crate) fn apply_table(&self, table: RouteTable) -> bool {
        let mut current = self.table.borrow_mut();
        let is_newer = current.as_ref().is_none_or(|c| c.version < table.version);
        if is_newer {
            let idle_ms = table.limits.idle_time.as_millis() as u64;
            match *current {
                Some(_) => self.replace_idle_limit(idle_ms),
                None => *self.idle_limits.borrow_mut() = IdleLimits::new(idle_ms),
            }
            self.stream_versions.note_table(&table);
            *current = Some(Rc::new(table));
        }
        is_newer
    }

    /// Replaces the idle limit of callers' connections. Callers may know the one before until
    /// the new table has come into force everywhere.
    fn replace_idle_limit(&self, idle_ms: u64) {
        let retained = self.settings.borrow().bounds.table_apply + CALLER_LAG;
        let retained_ms = retained.as_millis() as u64;
        let mut limits = self.idle_limits.borrow_mut();
        limits.replace(idle_ms, boot_ms(), retained_ms);
    }

    /// Returns the newest weights that are requested for a model.
    pub(crate) fn desired_weights_of(&self, model: &str) -> Option<DesiredWeights> {
        let desired_weights = self.desired_weights.borrow();
        let found = desired_weights.binary_search_by(|known| known.goal.model.as_str().cmp(model));
        found.ok().map(|index| desired_weights[index].clone())
    }

    /// Records the weights that are requested for a model. `absent_ms` is when a call was
    /// sent to the store whose response did not contain them, by the boot clock. Returns
    /// whether they are newer.
    pub(crate) fn apply_desired_weights(
        &self,
        goal: DesiredVersion,
        absent_ms: Option<u64>,
    ) -> bool {
        let mut desired_weights = self.desired_weights.borrow_mut();
        let (version, now_ms) = (goal.version, boot_ms());
        let found = desired_weights.binary_search_by(|known| known.goal.model.cmp(&goal.model));
        let desired = match found {
            Ok(index) if desired_weights[index].goal.version >= version => return false,
            Ok(index) => {
                desired_weights[index].goal = goal;
                &mut desired_weights[index]
            }
            Err(index) => {
                let times = RequestTimes::default();
                desired_weights.insert(index, DesiredWeights { goal, times });
                &mut desired_weights[index]
            }
        };
        desired.times.learn(version, absent_ms, now_ms);
        // The others may have told of the version before.
        let model = desired.goal.model.clone();
        let peers = self.peers.borrow();
        let mut worthwhile: Vec<(i64, SocketAddr)> = Vec::new();
        for (address, hint) in peers.request_hints(&model) {
            if desired.note_hint(&hint, now_ms) && hint.version == version {
                worthwhile.push((hint.at_ms, address));
            }
        }
        worthwhile.retain(|(_, address)| knows_times_queries(self, *address));
        if let Some((_, address)) = worthwhile.into_iter().max() {
            ask_for_times(self, address);
        }
        true
    }

    /// Applies what a heartbeat tells about when weights were requested. Returns whether it is
    /// worth asking its sender.
    pub(crate) fn apply_request_hint(&self, model: &str, hint: &RequestHint) -> bool {
        let mut desired_weights = self.desired_weights.borrow_mut();
        let found = desired_weights.binary_search_by(|known| known.goal.model.as_str().cmp(model));
        found.is_ok_and(|index| desired_weights[index].note_hint(hint, boot_ms()))
    }

    /// Returns the requested weights: model, version, and an age in milliseconds that the request
    /// surely does not exceed; `None` if there is none.
    pub(crate) fn request_ages(&self, now_ms: u64) -> Vec<(String, u64, Option<u64>)> {
        let desired_weights = self.desired_weights.borrow();
        let ages = desired_weights.iter().flat_map(|known| {
            let ages = known.times.ages(now_ms);
            ages.map(|(version, age_ms)| (known.goal.model.clone(), version, age_ms))
        });
        ages.collect()
    }

    /// Applies the reply of the instance at `sender` to a query that this one sent at `sent_ms`,
    /// without versions that are newer than those that this process has found in the store.
    pub(crate) fn apply_times_reply(
        &self,
        sender: SocketAddr,
        reply: &RequestTimesReply,
        sent_ms: u64,
    ) {
        let now_ms = boot_ms();
        let mut desired_weights = self.desired_weights.borrow_mut();
        for (model, version, age_ms) in &reply.ages {
            let found = desired_weights.binary_search_by(|known| known.goal.model.cmp(model));
            let Ok(index) = found else { continue };
            let (version, known) = (*version, &mut desired_weights[index]);
            if version > known.goal.version {
                continue;
            }
            let before_ms = known.times.bound_ms(version);
            known.times.note_reply(version, *age_ms, sent_ms, now_ms);
            let bound_ms = known.times.bound_ms(version);
            let change_ms = bound_ms
                .zip(before_ms)
                .map(|(at_ms, before_ms)| at_ms - before_ms);
            let is_small = change_ms.is_some_and(|change_ms| change_ms.abs() < LOGGED_CHANGE_MS);
            if bound_ms != before_ms && !is_small {
                let age_ms = bound_ms.map(|at_ms| now_ms as i64 - at_ms);
                log::info!(target: "weights", model, version, sender:%, age_ms:?, change_ms:?; "changed the earliest time of the request");
            }
        }
    }

    /// Returns when the newest versions of weights were requested at the earliest, in Unix
    /// time, for the lease record.
    pub(crate) fn request_times(&self) -> Vec<RequestedRecord> {
        let (now_ms, unix_ms) = (boot_ms(), unix_ms());
        let desired_weights = self.desired_weights.borrow();
        let stored_times = self.stored_request_times.borrow();
        let records = desired_weights.iter().flat_map(|known| {
            let newest = known.times.bounds().rev().take(MAX_RECORDED_VERSIONS);
            newest.map(|(version, at_ms)| {
                let model = known.goal.model.clone();
                let is_same =
                    |stored: &&RequestedRecord| stored.model == model && stored.version == version;
                let stored_ms = stored_times.iter().find(is_same).and_then(|s| s.at_unix_ms);
                let own_ms = at_ms.map(|at_ms| {
                    let age_ms = (now_ms as i64 - at_ms).max(0) as u64;
                    unix_ms.saturating_sub(age_ms)
                });
                RequestedRecord {
                    model,
                    version,
                    at_unix_ms: stored_ms.max(own_ms),
                }
            })
        });
        records.collect()
    }

    /// Applies the request times of weights from the lease record. This process, and perhaps
    /// every other one, may have started after the request.
    pub(crate) fn apply_request_times(&self, records: &[RequestedRecord]) {
        let (now_ms, unix_ms) = (boot_ms(), unix_ms());
        *self.stored_request_times.borrow_mut() = records.to_vec();
        let mut desired_weights = self.desired_weights.borrow_mut();
        for record in records {
            let known = desired_weights.iter_mut().find(|known| {
                known.goal.model == record.model && record.version <= known.goal.version
            });
            let Some(known) = known else { continue };
            let at_ms = record.at_unix_ms.map(|at_unix_ms| {
                let age_ms = unix_ms.saturating_sub(at_unix_ms) + MAX_CLOCK_SKEW_MS;
                now_ms as i64 - age_ms as i64
            });
            known.times.note_stored(record.version, at_ms, now_ms);
        }
    }

    /// Retires weights. Parts computed with older versions are no longer fetched.
    pub(crate) fn retire(&self, weights: &[(String, u64)]) {
        let mut retired = self.retired.borrow_mut();
        for (model, version) in weights {
            match retired.iter_mut().find(|(known, _)| known == model) {
                Some((_, min_version)) => *min_version = (*min_version).max(*version),
                None => retired.push((model.clone(), *version)),
            }
        }
    }

    /// Records a recent reading of the clock of runners and stores.
    pub(crate) fn note_runner_clock(&self, clock_ms: u64, now_ms: u64) {
        let mut clock = self.runner_clock.get();
        clock.note(clock_ms, now_ms);
        self.runner_clock.set(clock);
    }

    /// Whether the drain for a planned stop has started.
    pub(crate) fn is_draining(&self) -> bool {
        self.drain_started_ms.get() > 0
    }

    /// Returns the time since the drain started, in milliseconds; 0 before.
    pub(crate) fn drain_elapsed_ms(&self) -> u64 {
        match self.drain_started_ms.get() {
            0 => 0,
            since => boot_ms().saturating_sub(since),
        }
    }

    /// Whether a request with a time limit of `left` is not started, because it might not end
    /// before this process does.
    pub(crate) fn refuses_work(&self, left: Duration) -> bool {
        if !self.is_draining() {
            return false;
        }
        let grace = self.settings.borrow().bounds.grace;
        let elapsed = Duration::from_millis(self.drain_elapsed_ms());
        let end = grace.mul_f64(GRACE_FRACTION);
        elapsed >= grace.mul_f64(OPEN_DRAIN_FRACTION) && elapsed + left + DRAIN_MARGIN > end
    }

    /// Waits until the grace period of the drain is over.
    pub(crate) async fn wait_for_grace_end(&self) {
        let notified = self.grace_over.notified();
        if !self.is_grace_over.get() {
            notified.await;
        }
    }

    /// Returns how many other live instances rank before this one for a shared duty.
    pub(crate) fn election_rank(&self, duty: &str, now_ms: u64) -> usize {
        let settings = self.settings();
        let own = duty_member(&settings);
        self.peers.borrow().rank_of(own, duty, now_ms)
    }

    /// Returns how many other live instances rank before this one for a shared duty that an
    /// instance gives up when it leaves or does not reach the runners that load weights.
    pub(crate) fn staying_rank(&self, duty: &str, now_ms: u64) -> usize {
        let settings = self.settings();
        let own = duty_member(&settings);
        let services = self.ordered_services();
        let peers = self.peers.borrow();
        peers.staying_rank_of(own, duty, &services, now_ms)
    }

    /// Returns the keys of the services whose runners load weights, sorted.
    pub(crate) fn ordered_services(&self) -> Vec<u64> {
        let runners = self.runners.borrow();
        let records = runners.all().iter().map(|runner| runner.record());
        let ordered = records.filter(|record| !record.weights.is_empty());
        let mut services: Vec<u64> = ordered.map(|record| name_hash(&record.service)).collect();
        services.sort_unstable();
        services.dedup();
        services
    }

    /// Counts a request for a service of engines.
    pub(crate) fn note_offered(&self, service: &str, now_ms: u64) {
        self.with_stats(service, |stats| stats.offered.note(now_ms));
    }

    /// Counts a request that has ended at a runner of a service of engines.
    pub(crate) fn note_ended(&self, service: &str, now_ms: u64) {
        self.with_stats(service, |stats| stats.ended.note(now_ms));
    }

    /// Records the first event of a request at a service of engines.
    pub(crate) fn note_first_event(&self, service: &str, event: FirstEvent) {
        self.with_stats(service, |stats| stats.engines.note(event));
    }

    /// Counts a prompt that was placed at a service, of which a runner must prefill
    /// `tokens`.
    pub(crate) fn note_prompt(&self, service: &str, length: PromptLength, tokens: u64) {
        let now_ms = boot_ms();
        self.with_stats(service, |stats| stats.mix.note(length, tokens, now_ms));
    }

    /// Announces the load of a long prompt on a runner to the other instances at once. In a
    /// large fleet, the messages would cost more than they save.
    pub(crate) fn announce_placement(&self, runner: u64, share: LoadShare) {
        let is_small = !self.peers.borrow().is_large(boot_ms());
        if is_small && PolicyMechanism::PlacementBroadcast.is_enabled() {
            self.pending_placements.borrow_mut().push((runner, share));
            self.placements_ready.notify_one();
        }
    }

    /// Returns the mix of prompts that were recently placed at a service.
    pub(crate) fn prompt_mix(&self, service: &str) -> PromptMix {
        let service_stats = self.service_stats.borrow();
        let found = service_stats.binary_search_by_key(&name_hash(service), |(known, _)| *known);
        found.map_or_else(|_| PromptMix::default(), |index| service_stats[index].1.mix)
    }

    /// Returns how fast the engines of a service prefill prompts. Uses the measurements of
    /// this instance or, if it has too few, those of the others.
    pub(crate) fn engine_pace(&self, service: &str, now_ms: u64) -> EnginePace {
        let key = name_hash(service);
        let service_stats = self.service_stats.borrow();
        let found = service_stats.binary_search_by_key(&key, |(known, _)| *known);
        let own = found.map_or_else(
            |_| EnginePace::default(),
            |index| service_stats[index].1.engines,
        );
        if !PolicyMechanism::LearnedPace.is_enabled() {
            return EnginePace::default();
        }
        if !PolicyMechanism::SharedPace.is_enabled() {
            return own;
        }
        own.or_peer_median(self.peers.borrow().engine_paces(key, now_ms))
    }

    /// Returns the engine speeds measured by this instance, sorted by the key of the service.
    pub(crate) fn own_engine_paces(&self) -> Vec<(u64, EnginePace)> {
        let service_stats = self.service_stats.borrow();
        let reported = service_stats
            .iter()
            .map(|(service, stats)| (*service, stats.engines));
        reported.collect()
    }

    /// Returns, for each service, its key and the requests per second that arrive at this
    /// instance and that end at runners, sorted by key.
    pub(crate) fn own_request_rates(&self, now_ms: u64) -> Vec<(u64, u32, u32)> {
        let service_stats = self.service_stats.borrow();
        let reported = service_stats.iter().map(|(service, stats)| {
            let (offered, ended) = (stats.offered.per_s(now_ms), stats.ended.per_s(now_ms));
            (*service, offered.round() as u32, ended.round() as u32)
        });
        reported.collect()
    }

    /// Returns the request rates of the other instances at a service, and the maximum age of
    /// these values.
    pub(crate) fn peer_request_rates(&self, service: &str, now_ms: u64) -> PeerLoad {
        let peers = self.peers.borrow();
        let (offered_per_s, ended_per_s) = peers.request_rates_of(name_hash(service), now_ms);
        PeerLoad {
            offered_per_s,
            ended_per_s,
            staleness_ms: peers.interval_ms() as f64,
        }
    }

    fn with_stats(&self, service: &str, update: impl FnOnce(&mut ServiceStats)) {
        let mut service_stats = self.service_stats.borrow_mut();
        let key = name_hash(service);
        let found = service_stats.binary_search_by_key(&key, |(known, _)| *known);
        let index = found.unwrap_or_else(|index| {
            service_stats.insert(index, (key, ServiceStats::default()));
            index
        });
        update(&mut service_stats[index].1);
    }

    /// Returns the maximum number of instances known so far, at least 1. Until the list of
    /// instances shows the size of the fleet, at least the instances in the settings count.
    pub(crate) fn instance_count(&self) -> usize {
        let instances = self.instances.borrow();
        let contacts = match instances.is_settled() {
            true => 1,
            false => self.settings.borrow().seed_peers.len(),
        };
        instances.max_known().max(contacts)
    }

    /// Returns the maximum number of instances known so far; `None` until the list of
    /// instances shows the size of the fleet.
    fn fleet_size(&self) -> Option<usize> {
        let instances = self.instances.borrow();
        instances.is_settled().then(|| instances.max_known())
    }

    /// Whether a request that was served is sampled for the log.
    pub(crate) fn logs_served(&self, request_id: &str) -> bool {
        let every = u64::from(self.log_served);
        every > 0 && xxh3_64(request_id.as_bytes()).is_multiple_of(every)
    }

    /// Counts the first attempt of a request at a service.
    pub(crate) fn note_first_attempt(&self, service: &str, now_ms: u64) {
        self.with_retry_share(service, |share| share.note_first(now_ms));
    }

    /// Takes a retry at a service from the retry budget of this instance. Returns whether
    /// one was left.
    pub(crate) fn take_retry(&self, service: &str, now_ms: u64) -> bool {
        let instances = self.fleet_size();
        self.with_retry_share(service, |share| share.take(now_ms, instances))
    }

    /// Returns the remaining retries of this instance at the service that has the fewest;
    /// `None` before any request.
    pub(crate) fn retries_left(&self, now_ms: u64) -> Option<f64> {
        let instances = self.fleet_size();
        let mut shares = self.retry_shares.borrow_mut();
        let left = shares
            .iter_mut()
            .map(|(_, share)| share.left(now_ms, instances));
        left.min_by(f64::total_cmp)
    }

    fn with_retry_share<R>(&self, service: &str, update: impl FnOnce(&mut RetryShare) -> R) -> R {
        let mut shares = self.retry_shares.borrow_mut();
        let settings = self.settings.borrow();
        // The settings may have been reloaded.
        let bounds = RetryBounds {
            ratio: settings.bounds.retry_ratio,
            extra: settings.bounds.retry_extra,
            window_ms: settings.bounds.retry_window.as_millis() as u64,
        };
        let index = match shares.binary_search_by(|(name, _)| name.as_str().cmp(service)) {
            Ok(index) => index,
            Err(index) => {
                let owner = RetryOwner {
                    started_ms: self.started_boot_ms,
                    rounding: duty_score(&settings.name, service),
                };
                shares.insert(index, (service.to_owned(), RetryShare::new(bounds, owner)));
                index
            }
        };
        let share = &mut shares[index].1;
        share.set_bounds(bounds);
        update(share)
    }
}

/// Returns this instance as a candidate for shared duties.
pub(crate) fn duty_member(settings: &ProcessSettings) -> DutyMember<'_> {
    DutyMember {
        name: &settings.name,
        strength: settings.machine.capacity_millicores(),
    }
}
