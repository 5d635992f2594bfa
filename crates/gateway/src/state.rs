//! What all tasks of the process share.

use crate::{
    clock::boot_ms,
    follow::{FollowedKind, StoreContact},
    instances::InstanceList,
    kept::StoreBook,
    lags::WaitBook,
    peers::{spoken_key, DutyNotice, KeptGossip, LoadShare, PeerBook},
    reclaim::OpenFetches,
    replica::KindReplica,
    roster::RunnerRoster,
};
use berylmount_adapter::store_client::StoreClient;
use berylmount_fleet::{DesiredVersion, ProcessSettings, RouteTable};
use berylmount_model::unix_ms;
use berylmount_policy::{
    ablation::PolicyMechanism,
    admission::{OfferRate, OthersPace},
    duty_lease::NamedRecord,
    engine_pace::{EnginePace, FirstEvent},
    lateness::LagBook,
    prompt_pools::{PromptLength, PromptMix},
    retry_share::{RetryBounds, RetryShare},
    runner_clock::RunnerClock,
    shared_duties::DutyMember,
};
use berylmount_telemetry::MetricSet;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use strum::EnumCount;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

/// Part of the grace period after which a leaving process begins no request: the
/// rest, up to its end, is as long as plain requests may take.
const LAST_BEGIN_PART: f64 = 0.7;
/// Versions of one model whose time of naming is kept.
const MOST_NAMED: usize = 4;
/// By how much clocks of instances may differ, in milliseconds: a step of two
/// seconds and some more.
const CLOCK_ERROR_MS: u64 = 2500;

/// Weights that runners should have.
#[derive(Clone, Debug)]
pub(crate) struct NamedWeights {
    pub(crate) goal: DesiredVersion,
    /// Every version that was named, with the time, as far as known here.
    pub(crate) named_at: Vec<(u64, u64)>,
}

impl NamedWeights {
    /// When a version newer than `version` was first named.
    pub(crate) fn outdated_at(&self, version: u64) -> Option<u64> {
        let newer = self.named_at.iter().filter(|(named, _)| *named > version);
        newer.map(|(_, at_ms)| *at_ms).min()
    }

    /// The newest version that was named before `at_ms`.
    pub(crate) fn named_before(&self, at_ms: u64) -> Option<u64> {
        let earlier = self
            .named_at
            .iter()
            .filter(|(_, named_ms)| *named_ms <= at_ms);
        earlier.map(|(version, _)| *version).max()
    }
}

/// State of the process.
#[derive(Debug)]
pub(crate) struct GatewayState {
    /// Settings in force.
    pub(crate) settings: RefCell<Rc<ProcessSettings>>,
    /// The client of the object store.
    pub(crate) store: StoreClient,
    /// The route table in force; `None` until one is known.
    table: RefCell<Option<Rc<RouteTable>>>,
    /// Counters and histograms.
    pub(crate) metrics: Arc<MetricSet>,
    /// An instance to ask first, beside those of the settings.
    pub(crate) first_contact: Option<SocketAddr>,
    /// When the process started, in Unix milliseconds.
    pub(crate) started_ms: u64,
    /// When the process started, by the clock that counts suspended time.
    pub(crate) begun_ms: u64,
    /// Weights, by model, below which no cached part is fetched; only rises.
    pub(crate) retired: RefCell<Vec<(String, u64)>>,
    /// Fetches of cached parts that are under way.
    pub(crate) fetches: RefCell<OpenFetches>,
    /// Requests for services of engines and their ends, by the service's key.
    paces: RefCell<Vec<(u64, ServicePace)>>,
    /// Waits of requests that fetch from stores.
    pub(crate) waits: RefCell<WaitBook>,
    /// Lags of stores as this instance has seen them.
    pub(crate) lags: RefCell<LagBook>,
    /// Copies of what is followed in the store, by kind.
    pub(crate) replicas: RefCell<[KindReplica; FollowedKind::COUNT]>,
    /// Contact with the store, by kind.
    pub(crate) contacts: [StoreContact; FollowedKind::COUNT],
    /// Whether the next heartbeat should not wait for its interval.
    pub(crate) is_heartbeat_due: Cell<bool>,
    /// What stores keep, to be passed on with the next heartbeat.
    pub(crate) gossip: RefCell<Vec<KeptGossip>>,
    /// The clock of runners and stores.
    pub(crate) runner_clock: Cell<RunnerClock>,
    /// Long prompts just sent to runners, of which the others should know: the
    /// runner's key and the load.
    pub(crate) placed: RefCell<Vec<(u64, LoadShare)>>,
    /// Wakes the task that tells of them.
    pub(crate) placed_soon: Notify,
    /// Other instances that were heard.
    pub(crate) peers: RefCell<PeerBook>,
    /// What this instance tells the others while it holds the duty.
    pub(crate) duty_notice: RefCell<Option<DutyNotice>>,
    /// Known runners.
    pub(crate) runners: RefCell<RunnerRoster>,
    /// Weights that runners should have, by model.
    pub(crate) goals: RefCell<Vec<NamedWeights>>,
    /// Stores of kept cache.
    pub(crate) stores: RefCell<StoreBook>,
    /// Known instances.
    pub(crate) instances: RefCell<InstanceList>,
    /// Retries by service.
    retry_shares: RefCell<Vec<(String, RetryShare)>>,
    /// Of how many served requests one is logged; 0 for none.
    log_served: u32,
    /// When the planned stop began; 0 before.
    pub(crate) leaving_since_ms: Cell<u64>,
    /// Whether the time for the planned stop is over.
    pub(crate) is_grace_over: Cell<bool>,
    /// Wakes the requests that are under way then.
    pub(crate) grace_over: Notify,
    /// Requests that have been read and not answered.
    pub(crate) in_flight: Cell<usize>,
    /// Bytes of requests' bodies that are held.
    pub(crate) held_bytes: Cell<u64>,
}

/// Rates of this instance's requests at one service.
#[derive(Debug, Default)]
struct ServicePace {
    offered: OfferRate,
    ended: OfferRate,
    engines: EnginePace,
    mix: PromptMix,
}

impl GatewayState {
    /// State at the start of a process.
    pub(crate) fn new(
        settings: ProcessSettings,
        metrics: Arc<MetricSet>,
        first_contact: Option<SocketAddr>,
        log_served: u32,
    ) -> Self {
        Self {
            metrics,
            first_contact,
            log_served,
            started_ms: unix_ms(),
            begun_ms: boot_ms(),
            retired: RefCell::default(),
            fetches: RefCell::default(),
            paces: RefCell::default(),
            waits: RefCell::default(),
            lags: RefCell::default(),
            replicas: RefCell::new(FollowedKind::ALL.map(|kind| KindReplica::new(kind.rule()))),
            contacts: Default::default(),
            is_heartbeat_due: Cell::new(false),
            gossip: RefCell::default(),
            placed: RefCell::default(),
            placed_soon: Notify::new(),
            peers: RefCell::default(),
            runner_clock: Cell::default(),
            duty_notice: RefCell::default(),
            store: StoreClient::new(settings.store.address),
            settings: RefCell::new(Rc::new(settings)),
            table: RefCell::default(),
            runners: RefCell::default(),
            goals: RefCell::default(),
            stores: RefCell::default(),
            instances: RefCell::default(),
            retry_shares: RefCell::default(),
            leaving_since_ms: Cell::new(0),
            is_grace_over: Cell::new(false),
            grace_over: Notify::new(),
            in_flight: Cell::new(0),
            held_bytes: Cell::new(0),
        }
    }

    /// The settings in force.
    pub(crate) fn settings(&self) -> Rc<ProcessSettings> {
        self.settings.borrow().clone()
    }

    /// The route table in force.
    pub(crate) fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Puts a newer route table in force; returns whether it is newer.
    pub(crate) fn apply_table(&self, table: RouteTable) -> bool {
        let mut current = self.table.borrow_mut();
        let is_newer = current.as_ref().is_none_or(|c| c.version < table.version);
        if is_newer {
            *current = Some(Rc::new(table));
        }
        is_newer
    }

    /// The newest weights that are named for a model.
    pub(crate) fn goal_of(&self, model: &str) -> Option<NamedWeights> {
        let goals = self.goals.borrow();
        let found = goals.binary_search_by(|known| known.goal.model.as_str().cmp(model));
        found.ok().map(|index| goals[index].clone())
    }

    /// Notes the weights that are named for a model; returns whether they are newer.
    pub(crate) fn apply_goal(&self, goal: DesiredVersion) -> bool {
        let mut goals = self.goals.borrow_mut();
        let named = (goal.version, boot_ms());
        match goals.binary_search_by(|known| known.goal.model.cmp(&goal.model)) {
            Ok(index) if goals[index].goal.version >= goal.version => false,
            Ok(index) => {
                goals[index].goal = goal;
                goals[index].named_at.push(named);
                true
            }
            Err(index) => {
                let named_at = vec![named];
                goals.insert(index, NamedWeights { goal, named_at });
                true
            }
        }
    }

    /// Takes from another instance how long ago weights were named.
    pub(crate) fn apply_goal_age(&self, model: &str, version: u64, age_ms: u64) {
        let since_ms = boot_ms().saturating_sub(age_ms);
        let mut goals = self.goals.borrow_mut();
        let Some(known) = goals.iter_mut().find(|known| known.goal.model == model) else {
            return;
        };
        match known
            .named_at
            .iter_mut()
            .find(|(named, _)| *named == version)
        {
            Some((_, at_ms)) => *at_ms = (*at_ms).min(since_ms),
            None if version < known.goal.version => known.named_at.push((version, since_ms)),
            None => {}
        }
    }

    /// When weights were named, by the time of day.
    pub(crate) fn named_records(&self) -> Vec<NamedRecord> {
        let (now_ms, unix_ms) = (boot_ms(), unix_ms());
        let goals = self.goals.borrow();
        let records = goals.iter().flat_map(|known| {
            let newest = known.named_at.iter().rev().take(MOST_NAMED);
            newest.map(|(version, at_ms)| NamedRecord {
                model: known.goal.model.clone(),
                version: *version,
                at_unix_ms: unix_ms.saturating_sub(now_ms.saturating_sub(*at_ms)),
            })
        });
        records.collect()
    }

    /// Takes when weights were named from the lease, where that is much earlier
    /// than this process knows: it was not there, and perhaps nobody else.
    pub(crate) fn apply_named(&self, records: &[NamedRecord]) {
        let (now_ms, unix_ms) = (boot_ms(), unix_ms());
        for record in records {
            let age_ms = unix_ms.saturating_sub(record.at_unix_ms);
            let known_ms = self.goal_of(&record.model).and_then(|known| {
                let mut named_at = known.named_at.into_iter();
                named_at.find(|(version, _)| *version == record.version)
            });
            let known_age_ms = known_ms.map_or(0, |(_, at_ms)| now_ms.saturating_sub(at_ms));
            if age_ms > known_age_ms + CLOCK_ERROR_MS {
                self.apply_goal_age(&record.model, record.version, age_ms);
            }
        }
    }

    /// Retires weights: parts made under older ones are not fetched any more.
    pub(crate) fn retire(&self, weights: &[(String, u64)]) {
        let mut retired = self.retired.borrow_mut();
        for (model, version) in weights {
            match retired.iter_mut().find(|(known, _)| known == model) {
                Some((_, least)) => *least = (*least).max(*version),
                None => retired.push((model.clone(), *version)),
            }
        }
    }

    /// Takes what the clock of runners and stores showed a moment ago.
    pub(crate) fn note_runner_clock(&self, clock_ms: u64, now_ms: u64) {
        let mut clock = self.runner_clock.get();
        clock.note(clock_ms, now_ms);
        self.runner_clock.set(clock);
    }

    /// Whether the planned stop has begun.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving_since_ms.get() > 0
    }

    /// Time since the planned stop began, in milliseconds; 0 before it.
    pub(crate) fn leaving_ms(&self) -> u64 {
        match self.leaving_since_ms.get() {
            0 => 0,
            since => boot_ms().saturating_sub(since),
        }
    }

    /// Whether the planned stop has come so far that nothing new is begun: what is
    /// begun later might not end before the process does.
    pub(crate) fn begins_nothing(&self) -> bool {
        let last = self.settings.borrow().bounds.grace.mul_f64(LAST_BEGIN_PART);
        self.is_leaving() && Duration::from_millis(self.leaving_ms()) >= last
    }

    /// Waits until the time for the planned stop is over.
    pub(crate) async fn until_grace_over(&self) {
        let notified = self.grace_over.notified();
        if !self.is_grace_over.get() {
            notified.await;
        }
    }

    /// How many live instances come before this one for a duty that few do.
    pub(crate) fn duty_rank(&self, duty: &str, now_ms: u64) -> usize {
        let settings = self.settings();
        let own = DutyMember {
            name: &settings.name,
            strength: settings.machine.capacity_millicores(),
        };
        self.peers.borrow().rank_of(own, duty, now_ms)
    }

    /// Counts a request for a service of engines.
    pub(crate) fn note_offered(&self, service: &str, now_ms: u64) {
        self.with_pace(service, |pace| pace.offered.note(now_ms));
    }

    /// Counts a request that has ended at a runner of such a service.
    pub(crate) fn note_ended(&self, service: &str, now_ms: u64) {
        self.with_pace(service, |pace| pace.ended.note(now_ms));
    }

    /// Takes the first event of a request at a service of engines.
    pub(crate) fn note_first_event(&self, service: &str, event: FirstEvent) {
        self.with_pace(service, |pace| pace.engines.note(event));
    }

    /// Counts a prompt of which a runner reads `tokens`.
    pub(crate) fn note_prompt(&self, service: &str, length: PromptLength, tokens: u64) {
        let now_ms = boot_ms();
        self.with_pace(service, |pace| pace.mix.note(length, tokens, now_ms));
    }

    /// Tells the other instances at once of the load that a long prompt puts on a
    /// runner. In a large fleet their messages would outgrow what they save.
    pub(crate) fn tell_placed(&self, runner: u64, share: LoadShare) {
        let is_small = !self.peers.borrow().is_large(boot_ms());
        if is_small && PolicyMechanism::ToldPlacement.is_on() {
            self.placed.borrow_mut().push((runner, share));
            self.placed_soon.notify_one();
        }
    }

    /// The prompts that were placed lately at a service.
    pub(crate) fn prompt_mix(&self, service: &str) -> PromptMix {
        let paces = self.paces.borrow();
        let found = paces.binary_search_by_key(&spoken_key(service), |(known, _)| *known);
        found.map_or_else(|_| PromptMix::default(), |index| paces[index].1.mix)
    }

    /// How fast a service's engines read prompts, as far as this instance or, if
    /// it has seen too little, others have learned.
    pub(crate) fn engine_pace(&self, service: &str, now_ms: u64) -> EnginePace {
        let key = spoken_key(service);
        let paces = self.paces.borrow();
        let found = paces.binary_search_by_key(&key, |(known, _)| *known);
        let own = found.map_or_else(|_| EnginePace::default(), |index| paces[index].1.engines);
        if !PolicyMechanism::LearnedPace.is_on() {
            return EnginePace::default();
        }
        if !PolicyMechanism::SharedPace.is_on() {
            return own;
        }
        own.or_told(self.peers.borrow().engine_paces(key, now_ms))
    }

    /// What this instance has learned of engines, by the service's key.
    pub(crate) fn own_engine_paces(&self) -> Vec<(u64, EnginePace)> {
        let paces = self.paces.borrow();
        let told = paces.iter().map(|(service, pace)| (*service, pace.engines));
        told.collect()
    }

    /// Own requests a second for each service, and ends, by the service's key.
    pub(crate) fn own_paces(&self, now_ms: u64) -> Vec<(u64, u32, u32)> {
        let paces = self.paces.borrow();
        let told = paces.iter().map(|(service, pace)| {
            let (offered, ended) = (pace.offered.per_s(now_ms), pace.ended.per_s(now_ms));
            (*service, offered.round() as u32, ended.round() as u32)
        });
        told.collect()
    }

    /// What the other instances do at a service, and how late it is known here.
    pub(crate) fn others_pace(&self, service: &str, now_ms: u64) -> OthersPace {
        let peers = self.peers.borrow();
        let (offered_per_s, ended_per_s) = peers.pace_of(spoken_key(service), now_ms);
        OthersPace {
            offered_per_s,
            ended_per_s,
            unseen_ms: peers.interval_ms() as f64,
        }
    }

    fn with_pace(&self, service: &str, act: impl FnOnce(&mut ServicePace)) {
        let mut paces = self.paces.borrow_mut();
        let key = spoken_key(service);
        let found = paces.binary_search_by_key(&key, |(known, _)| *known);
        let index = found.unwrap_or_else(|index| {
            paces.insert(index, (key, ServicePace::default()));
            index
        });
        act(&mut paces[index].1);
    }

    /// How many instances there may be.
    pub(crate) fn instance_count(&self) -> usize {
        self.instances.borrow().most_known()
    }

    /// Whether a request is logged though it was served.
    pub(crate) fn logs_served(&self, request_id: &str) -> bool {
        let every = u64::from(self.log_served);
        every > 0 && xxh3_64(request_id.as_bytes()).is_multiple_of(every)
    }

    /// Counts the first try of a request at a service.
    pub(crate) fn note_first_try(&self, service: &str, now_ms: u64) {
        self.with_share(service, |share| share.note_first(now_ms));
    }

    /// Takes a retry at a service from this instance's share.
    pub(crate) fn take_retry(&self, service: &str, now_ms: u64) -> bool {
        let instances = self.instance_count();
        self.with_share(service, |share| share.take(now_ms, instances))
    }

    /// Retries that are left to this instance, at the service that has the
    /// fewest; `None` before any request.
    pub(crate) fn retries_left(&self, now_ms: u64) -> Option<f64> {
        let instances = self.instance_count();
        let mut shares = self.retry_shares.borrow_mut();
        let left = shares
            .iter_mut()
            .map(|(_, share)| share.left(now_ms, instances));
        left.min_by(f64::total_cmp)
    }

    fn with_share<R>(&self, service: &str, act: impl FnOnce(&mut RetryShare) -> R) -> R {
        let mut shares = self.retry_shares.borrow_mut();
        let index = match shares.binary_search_by(|(name, _)| name.as_str().cmp(service)) {
            Ok(index) => index,
            Err(index) => {
                let bounds = self.settings.borrow().bounds;
                let bounds = RetryBounds {
                    ratio: bounds.retry_ratio,
                    extra: bounds.retry_extra,
                    window_ms: bounds.retry_window.as_millis() as u64,
                };
                shares.insert(index, (service.to_owned(), RetryShare::new(bounds)));
                index
            }
        };
        act(&mut shares[index].1)
    }
}
