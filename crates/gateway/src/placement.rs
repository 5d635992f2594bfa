//! Selects a runner for a request from what is known about the runners.

use crate::{
    cache_stores::PlannedTransfers,
    clock::boot_ms,
    cold_runners::{enforce_cold, ColdPermit},
    evacuations::is_evacuated,
    exclusions::is_excluded,
    explain::{PlacementTrace, RunnerExclusion},
    forward::InboundCall,
    peers::switch_key,
    reachability::{reach_of, ServiceReach},
    reclaim::may_fetch,
    reservation::{prefill_sample, PrefillSample},
    responses::LocalReason,
    runner_registry::{RunnerHandle, RunnerRegistry},
    saves::{may_order, SaveGuard},
    state::{DesiredWeights, GatewayState},
    stream_versions::SoftwareRule,
    transfers::{cached_prompt, copy_missing, fetch_limit, PromptHomes, TransferPlanner},
};
use berylmount_adapter::request_headers::CacheTransfers;
use berylmount_fleet::{
    CustomerRecord, EngineSpec, HomeRegions, PromptShape, RouteTable, RunnerRecord, ServiceKind,
};
use berylmount_policy::{
    ablation::PolicyMechanism,
    admission::{admitted_fraction, free_slots, has_room, starts_soon, AdmissionRequest},
    admission_level::{level_decision, slot_cost, AdmissionClass, LevelDecision, SharedRoom},
    prefix_cache::{earlier_of, PromptCosts},
    prompt_pools::{split_runners, PromptLength},
    runner_placement::{choose, draw_runner, sample_runners, PlacementDemand, RunnerView},
    save_orders::MAX_START_MS,
};
use rand::rng;
use std::{rc::Rc, time::Duration};

/// One-way latency to a runner in another data centre, in milliseconds.
const REMOTE_LATENCY_MS: f64 = 4.0;
/// Penalty for a runner whose weights are older than the desired version, in milliseconds.
const OLD_WEIGHTS_PENALTY_MS: f64 = 400.0;
/// Time from placement until a busy runner without a queue starts the request, in milliseconds. A
/// queue that is as long as the batch of the runner takes about as long once more.
const START_DELAY_MS: u64 = 2000;
/// Length of a runner's queue above which it counts no further, in batches.
const MAX_QUEUED_BATCHES: f64 = 2.0;
/// Cost of a permit or a place at a runner, in milliseconds: a round trip to the instance
/// that issues it.
const PERMIT_COST_MS: f64 = 2.0 * REMOTE_LATENCY_MS;
/// Expected output length as a fraction of the requested maximum.
const OUTPUT_LENGTH_SHARE: f64 = 0.5;

/// A runner selected for a request, with the estimates behind the choice.
pub(crate) struct PlacedRunner {
    pub(crate) runner: Rc<RunnerHandle>,
    /// Its entry when it was selected. A later one may be of another software version.
    pub(crate) record: Rc<RunnerRecord>,
    /// Estimated time to the first event, in milliseconds.
    pub(crate) first_ms: f64,
    /// Inputs of the estimate, for the log.
    pub(crate) estimate_text: String,
    /// Version of the weights that the request expects at the runner.
    pub(crate) weights: Option<u64>,
    /// Cache transfers that the runner is told to do.
    pub(crate) cache: Option<CacheTransfers>,
    /// The order to save parts, if there is one.
    pub(crate) saves: Option<SaveGuard>,
    /// Keys of the stores and runners that parts are fetched from.
    pub(crate) stores: Vec<u64>,
    /// Time after which the runner abandons the fetch, in milliseconds; `None` if it does
    /// not.
    pub(crate) fetch_limit_ms: Option<f64>,
    /// KV cache capacity of the runner in tokens; 0 if unbounded.
    pub(crate) capacity_tokens: u64,
    /// Permit for the request if the runner is cold.
    pub(crate) permit: ColdPermit,
    /// Prompt tokens that the runner must prefill.
    pub(crate) unread_tokens: u64,
    /// Prompt tokens that the runner has cached or fetches.
    pub(crate) fetched_tokens: u64,
    /// KV cache tokens for the prompt and the expected output.
    pub(crate) memory_tokens: u64,
    /// Whether the prompt is short or long.
    pub(crate) length: PromptLength,
    /// Inputs for a sample of the prefill rate, if the request can give one.
    pub(crate) sample: Option<PrefillSample>,
}

/// Properties of a request that determine its placement.
pub(crate) struct PlacementQuery<'a> {
    pub(crate) table: &'a RouteTable,
    pub(crate) service: &'a str,
    pub(crate) call: &'a InboundCall,
    pub(crate) customer: Option<&'a CustomerRecord>,
    /// The regions that the request is bound to.
    pub(crate) homes: &'a HomeRegions,
    pub(crate) admission: AdmissionRequest,
    /// Position from 0 to 1 among the requests of its class.
    pub(crate) position: f64,
    /// Longest idle time of a pooled connection that may carry the request.
    pub(crate) max_idle: Duration,
    /// Whether runners with a request limit are left out.
    pub(crate) avoids_limited: bool,
    /// Whether brittle runners are left out.
    pub(crate) avoids_brittle: bool,
    /// The software versions that may run the request.
    pub(crate) software: SoftwareRule,
    /// Notes what the placement sees, for an explanation.
    pub(crate) trace: Option<&'a PlacementTrace>,
}

impl PlacementQuery<'_> {
    fn note_exclusion(&self, runner: &RunnerHandle, exclusion: RunnerExclusion) {
        if let Some(trace) = self.trace {
            trace.exclude(runner, exclusion);
        }
    }
}

/// Result of placing a request.
pub(crate) enum PlacementResult {
    /// A runner with free capacity.
    Placed(Box<PlacedRunner>),
    /// Runners exist, but none has free capacity.
    NoCapacity,
    /// The request is close below the admission level.
    BelowLevel,
    /// Runners may have capacity, but the fleet admits no more requests of this class.
    NotAdmitted,
    /// Runners exist, but all are in backoff; the first backoff ends after this time.
    Backoff(Duration),
    /// Runners exist, but those that are not in backoff are at their request limits, or
    /// brittle and full. The first may have a permit or a place after this time.
    AtLimit(LocalReason, Duration),
    /// No runner can serve the request.
    NoRunner,
}

/// Selects a runner of the service, other than those in `tried`.
pub(crate) fn place(
    state: &GatewayState,
    query: &PlacementQuery<'_>,
    tried: &[Rc<RunnerHandle>],
) -> PlacementResult {
    let now_ms = boot_ms();
    let engine = match query.table.service(query.service).map(|s| &s.kind) {
        Some(ServiceKind::Engines(engine)) => Some(*engine),
        Some(ServiceKind::Plain) => None,
        Some(ServiceKind::Store(_)) | None => return PlacementResult::NoRunner,
    };
    let prompt = query.call.request.prompt.as_ref();
    let demand = placement_demand(state, query, now_ms);
    let mut planner = TransferPlanner {
        state,
        query,
        costs: PromptCosts {
            token_bytes: engine.map_or(0, |engine| engine.token_bytes),
            prefill_per_ms: demand.prefill_per_ms,
            link_bits_per_ms: engine.map_or(0.0, |engine| engine.link_bits_per_ms),
        },
        now_ms,
        may_fetch: may_fetch(state, now_ms),
        prompts: Vec::new(),
        plans: Vec::new(),
        non_home_cached: Vec::new(),
    };
    let is_untried = |runner: &&Rc<RunnerHandle>| !tried.iter().any(|t| Rc::ptr_eq(t, runner));
    let runners = state.runners.borrow();
    let requested = requested_weights(state, query);
    let may_serve = |runner: &&Rc<RunnerHandle>| {
        let exclusion = exclusion_of(state, query, runner, requested.as_ref(), now_ms);
        if let Some(exclusion) = exclusion {
            query.note_exclusion(runner, exclusion);
        }
        exclusion.is_none()
    };
    let candidates = runners.ready_of(query.service).filter(is_untried);
    let mut candidates: Vec<&Rc<RunnerHandle>> = candidates.filter(may_serve).collect();
    // The entry of a runner that has crashed is removed late.
    if candidates
        .iter()
        .any(|runner| !runner.is_unreachable(now_ms))
    {
        candidates.retain(|runner| {
            let is_reachable = !runner.is_unreachable(now_ms);
            if !is_reachable {
                query.note_exclusion(runner, RunnerExclusion::Unreachable);
            }
            is_reachable
        });
    }
    if reach_of(state, query.service, query.homes) == ServiceReach::Isolated {
        candidates.retain(|runner| {
            let is_connected = runner.has_idle_connection(now_ms, query.max_idle);
            if !is_connected {
                query.note_exclusion(runner, RunnerExclusion::NoPath);
            }
            is_connected
        });
    }
    let length = PromptLength::of(demand.prompt_tokens, demand.prefill_per_ms);
    let mix = state.prompt_mix(query.service);
    let keys: Vec<u64> = candidates.iter().map(|runner| runner.key()).collect();
    let pools = split_runners(&keys, mix.long_share());
    let homes = PromptHomes::new(query, &candidates, pools.as_deref(), length);
    let mut views = runner_views(state, query, engine, &candidates, &homes, &mut planner);
    if let Some(pools) = pools.filter(|_| engine.is_some()) {
        let other_pool = views
            .iter_mut()
            .zip(pools)
            .filter(|(_, pool)| *pool != length);
        other_pool
            .for_each(|(view, _)| view.penalty_ms += mix.interference_ms(demand.prefill_per_ms));
    }
    if views.is_empty() {
        return no_candidate(state, query, &runners, now_ms);
    }
    let admissible = admissible_runners(state, query, &views, &demand, engine.is_some());
    let mut admissible = match admissible {
        Ok(admissible) => admissible,
        Err(limit) => return limit.into(),
    };
    if let Some(trace) = query.trace {
        for (index, (runner, view)) in candidates.iter().zip(&views).enumerate() {
            let inputs = estimate_text(view, &demand);
            trace.estimate(runner, view, &demand, admissible.contains(&index), inputs);
        }
    }
    if state.peers.borrow().is_large(now_ms) && PolicyMechanism::RunnerSample.is_enabled() {
        admissible = sample_runners(&views, admissible, &mut rng());
    }
    let admissible_views: Vec<RunnerView> = admissible.iter().map(|index| views[*index]).collect();
    let Some((chosen, estimate)) = choose(&admissible_views, &demand) else {
        return PlacementResult::NoCapacity;
    };
    let index = admissible[chosen];
    let runner = candidates[index].clone();
    let weights = weights_version_at(query, &runner);
    // Planning transfers records the saves as ordered.
    let planned = match query.trace {
        Some(_) => None,
        None => cache_transfers(&mut planner, &homes, &runner, &views[index], &demand),
    };
    let (planned, fetch_limit_ms) = planned.unzip();
    let left_ms = query.admission.left_ms as u64;
    let (cache, stores, saves) = match planned {
        Some(planned) => (
            Some(planned.transfers),
            planned.sources,
            SaveGuard::begin(state, planned.saved, left_ms),
        ),
        None => (None, Vec::new(), None),
    };
    let unread_tokens = demand
        .prompt_tokens
        .saturating_sub(views[index].cached_tokens);
    PlacementResult::Placed(Box::new(PlacedRunner {
        record: runner.record(),
        runner,
        first_ms: estimate.first_ms,
        estimate_text: estimate_text(&views[index], &demand),
        length,
        sample: prefill_sample(&views[index], &demand, prompt),
        weights,
        cache,
        saves,
        stores,
        fetch_limit_ms: fetch_limit_ms.flatten(),
        unread_tokens: u64::from(unread_tokens),
        fetched_tokens: u64::from(views[index].cached_tokens),
        memory_tokens: demand.memory_tokens,
        capacity_tokens: views[index].memory_tokens,
        permit: ColdPermit::default(),
    }))
}

/// Returns why a runner that takes requests is no candidate for this one; `None` if it is.
fn exclusion_of(
    state: &GatewayState,
    query: &PlacementQuery<'_>,
    runner: &RunnerHandle,
    requested: Option<&DesiredWeights>,
    now_ms: u64,
) -> Option<RunnerExclusion> {
    let has_weights = || {
        let min_version = requested.and_then(|requested| {
            let apply_ms = state.settings().bounds.weights_apply.as_millis() as u64;
            let placed_ms = apply_ms.saturating_sub(start_delay_ms(runner, now_ms));
            requested.times.newest_due(now_ms, placed_ms)
        });
        min_version.is_none_or(|min_version| {
            weights_version_at(query, runner).is_none_or(|version| version >= min_version)
        })
    };
    if runner.backoff_left(now_ms).is_some() {
        Some(RunnerExclusion::Backoff)
    } else if limit_delay(state, query, runner, now_ms).is_some() {
        Some(RunnerExclusion::AtLimit)
    } else if place_delay(state, query, runner, now_ms).is_some() {
        Some(RunnerExclusion::Full)
    } else if is_excluded(state, runner, now_ms) {
        Some(RunnerExclusion::Misdirected)
    } else if is_evacuated(state, runner) {
        Some(RunnerExclusion::Evacuated)
    } else if !is_home(state, query, runner) {
        Some(RunnerExclusion::OtherRegion)
    } else if !query
        .software
        .allows(&runner.record(), &state.stream_versions)
    {
        Some(RunnerExclusion::OtherSoftware)
    } else if !has_weights() {
        Some(RunnerExclusion::OldWeights)
    } else {
        None
    }
}

/// Whether a runner is in a region to which the request is bound, if it is.
fn is_home(state: &GatewayState, query: &PlacementQuery<'_>, runner: &RunnerHandle) -> bool {
    let settings = state.settings();
    let homes = query.homes;
    homes.allows_data_centre(&settings.regions, &runner.record().data_centre)
}

/// Returns for how long the request limit of a runner excludes it; `None` if it does not.
fn limit_delay(
    state: &GatewayState,
    query: &PlacementQuery<'_>,
    runner: &RunnerHandle,
    now_ms: u64,
) -> Option<Duration> {
    enforce_cold(state, runner, now_ms);
    let limits = state.runner_limits.borrow();
    let key = runner.limit_key();
    let is_avoided = query.avoids_limited && limits.needs_permit(key, now_ms);
    let delay_ms = limits.delay_ms(key, now_ms);
    delay_ms
        .or(is_avoided.then_some(0))
        .map(Duration::from_millis)
}

/// Returns for how long a runner is excluded because it is brittle and full; `None` if it
/// is not.
fn place_delay(
    state: &GatewayState,
    query: &PlacementQuery<'_>,
    runner: &RunnerHandle,
    now_ms: u64,
) -> Option<Duration> {
    let brittle_runners = state.brittle_runners.borrow();
    let key = runner.room_key();
    let is_avoided = query.avoids_brittle && brittle_runners.needs_place(key, now_ms);
    let delay_ms = brittle_runners.delay_ms(key, now_ms);
    delay_ms
        .or(is_avoided.then_some(0))
        .map(Duration::from_millis)
}

/// Returns why no runner of the service is a candidate.
fn no_candidate(
    state: &GatewayState,
    query: &PlacementQuery<'_>,
    runners: &RunnerRegistry,
    now_ms: u64,
) -> PlacementResult {
    let (mut first_backoff, mut first_delay) = (None::<Duration>, None::<Duration>);
    let mut reason = LocalReason::RunnersAtLimit;
    let ready = runners.ready_of(query.service);
    let may_serve =
        |runner: &&Rc<RunnerHandle>| !is_evacuated(state, runner) && is_home(state, query, runner);
    for runner in ready.filter(may_serve) {
        if let Some(left) = runner.backoff_left(now_ms) {
            first_backoff = Some(first_backoff.map_or(left, |first| first.min(left)));
        } else if let Some(delay) = limit_delay(state, query, runner, now_ms) {
            first_delay = Some(first_delay.map_or(delay, |first| first.min(delay)));
        } else if let Some(delay) = place_delay(state, query, runner, now_ms) {
            first_delay = Some(first_delay.map_or(delay, |first| first.min(delay)));
            reason = LocalReason::RunnersFull;
        }
    }
    let backoff = first_backoff.map_or(PlacementResult::NoRunner, PlacementResult::Backoff);
    let at_limit = |delay| PlacementResult::AtLimit(reason, delay);
    first_delay.map_or(backoff, at_limit)
}

/// Returns the KV cache tokens that a prompt and its expected output need.
fn memory_tokens_of(prompt: &PromptShape) -> u64 {
    let output_tokens = f64::from(prompt.max_output_tokens) * OUTPUT_LENGTH_SHARE;
    u64::from(prompt.prompt_tokens) + output_tokens as u64
}

/// Returns the cost in slots of a request to a service; `None` if that is no service of engines.
pub(crate) fn cost_of(
    state: &GatewayState,
    table: &RouteTable,
    service: &str,
    prompt: Option<&PromptShape>,
) -> Option<f64> {
    let ServiceKind::Engines(engine) = table.service(service)?.kind else {
        return None;
    };
    let runners = state.runners.borrow();
    let slots = runners
        .ready_of(service)
        .next()
        .map_or(0, |runner| runner.record().slots);
    let memory_tokens = prompt.map_or(0, memory_tokens_of);
    Some(slot_cost(memory_tokens, slots, engine.memory_tokens))
}

/// Returns the demand of the request on a runner.
fn placement_demand(
    state: &GatewayState,
    query: &PlacementQuery<'_>,
    now_ms: u64,
) -> PlacementDemand {
    let prompt = query.call.request.prompt.as_ref();
    let prompt_tokens = prompt.map_or(0, |p| p.prompt_tokens);
    let pace = state.engine_pace(query.service, now_ms);
    PlacementDemand {
        prompt_tokens,
        memory_tokens: prompt.map_or(0, memory_tokens_of),
        prefill_per_ms: pace.prefill_per_ms(),
        base_ms: pace.base_ms(),
    }
}

/// How the admission level limits a request.
enum LevelLimit {
    /// It waits.
    Waits,
    /// It is refused.
    Refused,
}

impl From<LevelLimit> for PlacementResult {
    fn from(limit: LevelLimit) -> Self {
        match limit {
            LevelLimit::Waits => Self::BelowLevel,
            LevelLimit::Refused => Self::NotAdmitted,
        }
    }
}

/// Returns the indices of the runners that can admit the request, unless the admission level
/// limits it.
fn admissible_runners(
    state: &GatewayState,
    query: &PlacementQuery<'_>,
    views: &[RunnerView],
    demand: &PlacementDemand,
    is_engine: bool,
) -> Result<Vec<usize>, LevelLimit> {
    let now_ms = boot_ms();
    // A plain service does its own load shedding.
    let is_admissible = |view: &RunnerView| {
        let admission = &query.admission;
        !is_engine || (has_room(view, admission) && starts_soon(view, demand, admission))
    };
    let mut admissible: Vec<usize> = (0..views.len())
        .filter(|i| is_admissible(&views[*i]))
        .collect();
    if is_engine {
        admissible = share_capacity(state, query, views, admissible, now_ms)?;
    }
    Ok(admissible)
}

/// Returns the prompt's cache transfers for the selected runner, and the time limit of the fetches
/// in milliseconds.
fn cache_transfers(
    planner: &mut TransferPlanner<'_>,
    homes: &PromptHomes<'_>,
    runner: &Rc<RunnerHandle>,
    view: &RunnerView,
    demand: &PlacementDemand,
) -> Option<(PlannedTransfers, Option<f64>)> {
    let (query, now_ms) = (planner.query, planner.now_ms);
    let weights = weights_version_at(query, runner);
    let data_centre = runner.record().data_centre.clone();
    let may_save =
        may_order(planner.state, now_ms) && start_delay_ms(runner, now_ms) <= MAX_START_MS;
    let mut planned = planner.transfers(weights?, &data_centre, may_save)?;
    let transfers = &mut planned.transfers;
    if let Some(source) = homes.source(query, runner, now_ms) {
        copy_missing(transfers, planner, weights, source);
        planned.sources.push(source.key());
    }
    let clock_ms = planner.state.runner_clock.get().at(now_ms);
    let clock_ms = clock_ms.filter(|_| PolicyMechanism::FetchLimit.is_enabled());
    let limit_ms = fetch_limit(view, demand, &query.admission);
    let limit_end_ms = clock_ms.map(|clock_ms| clock_ms + limit_ms as u64);
    transfers.fetch_until_ms = earlier_of(transfers.fetch_until_ms, limit_end_ms);
    Some((planned, clock_ms.map(|_| limit_ms)))
}

/// Limits this instance to its share of the capacity that all instances see. Under
/// contention, returns one runner drawn at random.
fn share_capacity(
    state: &GatewayState,
    query: &PlacementQuery<'_>,
    views: &[RunnerView],
    admissible: Vec<usize>,
    now_ms: u64,
) -> Result<Vec<usize>, LevelLimit> {
    let slots = admissible
        .iter()
        .map(|i| free_slots(&views[*i], &query.admission));
    let slots: Vec<f64> = slots.collect();
    let admission = &query.admission;
    let mut peer_load = state.peer_request_rates(query.service, now_ms);
    let room = SharedRoom {
        free_slots: slots.iter().sum(),
        open_fraction: admissible.len() as f64 / views.len() as f64,
        staleness_ms: peer_load.staleness_ms,
    };
    peer_load.ended_per_s *= room.open_fraction;
    let class = AdmissionClass::new(admission.rank, admission.is_returning);
    let peers = state.peers.borrow().live_count(now_ms);
    let share = state
        .waiting
        .admitted_share(query.service, class, &room, peers);
    // Instances of earlier builds do not report their demand by class.
    let even_share = admitted_fraction(room.free_slots, &peer_load);
    let share = share.unwrap_or(even_share);
    if !PolicyMechanism::RandomPlacement.is_enabled() {
        return Ok(admissible);
    }
    match level_decision(query.position, share) {
        LevelDecision::Open if even_share >= 1.0 => return Ok(admissible),
        LevelDecision::Open | LevelDecision::Admitted => {}
        LevelDecision::Waits => return Err(LevelLimit::Waits),
        LevelDecision::Refused => return Err(LevelLimit::Refused),
    }
    let drawn = draw_runner(&slots, &mut rng());
    Ok(drawn.map(|index| admissible[index]).into_iter().collect())
}

/// Formats the inputs of a placement, for the log.
fn estimate_text(view: &RunnerView, demand: &PlacementDemand) -> String {
    format!(
        "prompt {} at {:.0}/ms queued {} tokens, running {}/{} reserved {} cached {} fetch {:.0} slowness {:.2} failures {:.2} penalty {:.0}",
        demand.prompt_tokens,
        demand.prefill_per_ms,
        view.unread_tokens,
        view.running,
        view.slots,
        view.reserved_tokens,
        view.cached_tokens,
        view.fetch_ms,
        view.slowness,
        view.failure_rate,
        view.penalty_ms
    )
}

/// Returns the version of the weights that a runner would serve the request with.
pub(crate) fn weights_version_at(query: &PlacementQuery<'_>, runner: &RunnerHandle) -> Option<u64> {
    let prompt = query.call.request.prompt.as_ref()?;
    runner.weights_of(&prompt.model)
}

/// Returns the weights that are requested for the model of the request. Only runners with the newest
/// version whose time limit has passed when the request starts may serve it.
fn requested_weights(state: &GatewayState, query: &PlacementQuery<'_>) -> Option<DesiredWeights> {
    let prompt = query.call.request.prompt.as_ref()?;
    state.desired_weights_of(&prompt.model)
}

/// Returns the longest time until a request that is placed at a runner now starts, in milliseconds.
fn start_delay_ms(runner: &RunnerHandle, now_ms: u64) -> u64 {
    let queue = runner.load(now_ms).map_or(0.0, |load| {
        f64::from(load.waiting) / f64::from(load.running.max(1))
    });
    (START_DELAY_MS as f64 * (1.0 + queue.min(MAX_QUEUED_BATCHES))) as u64
}

/// Returns the policy's view of each candidate.
fn runner_views(
    state: &GatewayState,
    query: &PlacementQuery<'_>,
    engine: Option<EngineSpec>,
    candidates: &[&Rc<RunnerHandle>],
    homes: &PromptHomes<'_>,
    planner: &mut TransferPlanner<'_>,
) -> Vec<RunnerView> {
    let now_ms = planner.now_ms;
    let prompt = query.call.request.prompt.as_ref();
    let desired = prompt.and_then(|p| state.desired_weights_of(&p.model));
    let desired_version = desired.map(|desired| desired.goal.version);
    let own_data_centre = state.settings().data_centre.clone();
    let peers = state.peers.borrow();
    let peer_loads = peers.loads(now_ms);
    let limits = state.runner_limits.borrow();
    let brittle_runners = state.brittle_runners.borrow();
    let own_notice = state.holder_notice.borrow();
    let notices = [own_notice.as_ref(), peers.holder_notice(now_ms)];
    let notice = notices.into_iter().flatten().max_by_key(|n| n.term);
    let is_switching = |key: u64| {
        let models = notice.zip(prompt);
        models.is_some_and(|(notice, prompt)| {
            let key = switch_key(key, &prompt.model);
            notice.switching.binary_search(&key).is_ok()
        })
    };
    let view = |runner: &&Rc<RunnerHandle>| {
        let record = runner.record();
        let weights = weights_version_at(query, runner);
        let is_old =
            desired_version.is_some_and(|desired| weights.is_some_and(|version| version < desired));
        let load = runner.load(now_ms);
        let reported = load.map_or(0, |load| load.running + load.waiting);
        let mut sent = peer_loads.on(runner.key());
        sent.add(&runner.local_load());
        let old_weights_ms = if is_old { OLD_WEIGHTS_PENALTY_MS } else { 0.0 };
        let needs_permit = limits.needs_permit(runner.limit_key(), now_ms)
            || brittle_runners.needs_place(runner.room_key(), now_ms);
        let permit_ms = if needs_permit { PERMIT_COST_MS } else { 0.0 };
        let rank = homes.rank(runner);
        let cached = cached_prompt(query, engine, runner, homes, planner);
        RunnerView {
            unread_tokens: sent.unread_tokens,
            running: reported.max(sent.running),
            slots: record.slots,
            reserved_tokens: sent.reserved_tokens,
            memory_tokens: engine.map_or(0, |engine| engine.memory_tokens),
            slowness: load.map_or(1.0, |load| f64::from(load.slowness_percent) / 100.0),
            failure_rate: if PolicyMechanism::RunnerHealth.is_enabled() {
                runner.failure_rate(now_ms)
            } else {
                0.0
            },
            distance_ms: if record.data_centre == own_data_centre {
                0.0
            } else {
                REMOTE_LATENCY_MS
            },
            is_connected: runner.has_idle_connection(now_ms, query.max_idle),
            cached_tokens: cached.cached_tokens,
            fetch_ms: cached.fetch_ms,
            penalty_ms: old_weights_ms + permit_ms,
            is_switching: is_switching(runner.key()),
            home_rank: rank,
        }
    };
    candidates.iter().map(view).collect()
}
