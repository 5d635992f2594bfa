//! Brings what is known of runners before the policy.

use crate::{
    booking::{pace_probe, PaceProbe},
    clock::boot_ms,
    forward::CallerCall,
    reclaim::may_fetch,
    roster::RunnerHandle,
    state::GatewayState,
    transfers::{cached_prompt, copy_missing, fetch_limit, PromptHomes, TransferCache},
};
use berylmount_adapter::request_headers::CacheTransfers;
use berylmount_fleet::{EngineSpec, RouteTable, ServiceKind, ServingCustomer};
use berylmount_policy::{
    ablation::PolicyMechanism,
    admission::{free_places, has_room, placed_part, starts_soon, AdmissionNeed},
    placing::{choose, draw_runner, sample_runners, PlacingNeed, RunnerView},
    prefix_cache::PromptTraits,
    prompt_pools::{part_runners, PromptLength},
};
use rand::rng;
use std::{rc::Rc, time::Duration};

/// One way to a runner in another data centre, in milliseconds.
const REMOTE_MS: f64 = 4.0;
/// Cost of a runner on older weights than named, in milliseconds.
const OLD_WEIGHTS_MS: f64 = 400.0;
/// Time from placing a request until a busy runner begins it, in milliseconds.
const BEGIN_MS: u64 = 2000;
/// Part of the answer's bound that answers usually reach.
const ANSWER_PART: f64 = 0.5;

/// A runner that was chosen for a request.
pub(crate) struct PlacedRunner {
    pub(crate) runner: Rc<RunnerHandle>,
    /// Estimated time to the first event, in milliseconds.
    pub(crate) first_ms: f64,
    /// What the estimate rests on, for the log.
    pub(crate) basis: String,
    /// The version of the weights that the request expects there.
    pub(crate) weights: Option<u64>,
    /// Transfers of cached parts that go with the request.
    pub(crate) cache: Option<CacheTransfers>,
    /// Keys of the stores that parts are fetched from.
    pub(crate) stores: Vec<u64>,
    /// Tokens of the prompt that the runner must read.
    pub(crate) unread_tokens: u64,
    /// Tokens of the prompt that it fetches.
    pub(crate) fetched_tokens: u64,
    pub(crate) memory_tokens: u64,
    /// Whether the prompt is short or long.
    pub(crate) length: PromptLength,
    /// What its first event tells of the engines' pace, if anything.
    pub(crate) pace: Option<PaceProbe>,
}

/// What a request asks for, as far as placing it goes.
pub(crate) struct PlacingCall<'a> {
    pub(crate) table: &'a RouteTable,
    pub(crate) service: &'a str,
    pub(crate) call: &'a CallerCall,
    pub(crate) customer: Option<&'a ServingCustomer>,
    pub(crate) need: AdmissionNeed,
    /// Its draw, 0 to 1, where not all requests can be placed.
    pub(crate) draw: f64,
    /// How long a connection that carries it may have been idle.
    pub(crate) most_idle: Duration,
}

/// What placing a request found.
pub(crate) enum PlacingResult {
    /// A runner with room.
    Placed(Box<PlacedRunner>),
    /// Runners, but none with room.
    NoRoom,
    /// Runners, but all want to be left alone, the first of them for this long.
    Resting(Duration),
    /// No runner that may take it.
    NoRunner,
}

/// Chooses a runner of a service for a request, other than those `tried`.
pub(crate) fn place(
    state: &GatewayState,
    placing: &PlacingCall<'_>,
    tried: &[Rc<RunnerHandle>],
) -> PlacingResult {
    let now_ms = boot_ms();
    let engine = match placing.table.service(placing.service).map(|s| &s.kind) {
        Some(ServiceKind::Engines(engine)) => Some(*engine),
        Some(ServiceKind::Plain) => None,
        Some(ServiceKind::Store(_)) | None => return PlacingResult::NoRunner,
    };
    let prompt = placing.call.request.prompt.as_ref();
    let need = placing_need(state, placing, now_ms);
    let mut transfers = TransferCache {
        state,
        placing,
        traits: PromptTraits {
            token_bytes: engine.map_or(0, |engine| engine.token_bytes),
            prefill_per_ms: need.prefill_per_ms,
        },
        now_ms,
        may_fetch: may_fetch(state, now_ms),
        prompts: Vec::new(),
        plans: Vec::new(),
        elsewhere: Vec::new(),
    };
    let is_new = |runner: &&Rc<RunnerHandle>| !tried.iter().any(|t| Rc::ptr_eq(t, runner));
    let runners = state.runners.borrow();
    let is_awake = |runner: &&Rc<RunnerHandle>| runner.rest_left(now_ms).is_none();
    let candidates = runners.ready_of(placing.service).filter(is_awake);
    let candidates = candidates.filter(is_new);
    let least = least_weights(state, placing, now_ms);
    let has_weights = |runner: &&Rc<RunnerHandle>| {
        least.is_none_or(|least| weights_at(placing, runner).is_none_or(|has| has >= least))
    };
    let candidates = candidates.filter(has_weights);
    let candidates: Vec<&Rc<RunnerHandle>> = candidates.collect();
    let length = PromptLength::of(need.prompt_tokens, need.prefill_per_ms);
    let mix = state.prompt_mix(placing.service);
    let keys: Vec<u64> = candidates.iter().map(|runner| runner.key()).collect();
    let parts = part_runners(&keys, mix.long_share());
    let homes = PromptHomes::new(placing, &candidates, parts.as_deref(), length);
    let mut views = runner_views(state, placing, engine, &candidates, &homes, &mut transfers);
    if let Some(parts) = parts.filter(|_| engine.is_some()) {
        let others = views
            .iter_mut()
            .zip(parts)
            .filter(|(_, part)| *part != length);
        others.for_each(|(view, _)| view.penalty_ms += mix.meeting_ms(need.prefill_per_ms));
    }
    if views.is_empty() {
        let resting = runners.ready_of(placing.service);
        let rests = resting.filter_map(|runner| runner.rest_left(now_ms));
        return rests
            .min()
            .map_or(PlacingResult::NoRunner, PlacingResult::Resting);
    }
    let open = open_runners(state, placing, &views, &need, engine.is_some());
    let open_views: Vec<RunnerView> = open.iter().map(|index| views[*index]).collect();
    let Some((chosen, estimate)) = choose(&open_views, &need) else {
        return PlacingResult::NoRoom;
    };
    let index = open[chosen];
    let runner = candidates[index].clone();
    let weights = weights_at(placing, &runner);
    let (cache, stores) = cache_order(&mut transfers, &homes, &runner, &views[index], &need);
    let unread_tokens = need.prompt_tokens.saturating_sub(views[index].known_tokens);
    PlacingResult::Placed(Box::new(PlacedRunner {
        runner,
        first_ms: estimate.first_ms,
        basis: basis(&views[index], &need),
        length,
        pace: pace_probe(&views[index], &need, prompt),
        weights,
        cache,
        stores,
        unread_tokens: u64::from(unread_tokens),
        fetched_tokens: u64::from(views[index].known_tokens),
        memory_tokens: need.memory_tokens,
    }))
}

/// What the request asks of a runner.
fn placing_need(state: &GatewayState, placing: &PlacingCall<'_>, now_ms: u64) -> PlacingNeed {
    let prompt = placing.call.request.prompt.as_ref();
    let prompt_tokens = prompt.map_or(0, |p| p.prompt_tokens);
    let answer_tokens = prompt.map_or(0.0, |p| f64::from(p.max_output_tokens) * ANSWER_PART);
    let pace = state.engine_pace(placing.service, now_ms);
    PlacingNeed {
        prompt_tokens,
        memory_tokens: u64::from(prompt_tokens) + answer_tokens as u64,
        prefill_per_ms: pace.prefill_per_ms(),
        base_ms: pace.base_ms(),
    }
}

/// The runners to choose among, by index.
fn open_runners(
    state: &GatewayState,
    placing: &PlacingCall<'_>,
    views: &[RunnerView],
    need: &PlacingNeed,
    is_engine: bool,
) -> Vec<usize> {
    let now_ms = boot_ms();
    // A plain service sheds by itself what it has no room for.
    let is_open = |view: &RunnerView| {
        let admission = &placing.need;
        !is_engine || (has_room(view, admission) && starts_soon(view, need, admission))
    };
    let mut open: Vec<usize> = (0..views.len()).filter(|i| is_open(&views[*i])).collect();
    if is_engine {
        open = share_room(state, placing, views, open, now_ms);
    }
    if state.peers.borrow().is_large(now_ms) && PolicyMechanism::RunnerSample.is_on() {
        open = sample_runners(views, open, &mut rng());
    }
    open
}

/// The transfers of the prompt at the chosen runner, with their time limit, and
/// the keys of the stores and the runner that they come from.
fn cache_order(
    transfers: &mut TransferCache<'_>,
    homes: &PromptHomes<'_>,
    runner: &Rc<RunnerHandle>,
    view: &RunnerView,
    need: &PlacingNeed,
) -> (Option<CacheTransfers>, Vec<u64>) {
    let (placing, now_ms) = (transfers.placing, transfers.now_ms);
    let weights = weights_at(placing, runner);
    let data_centre = runner.record().data_centre.clone();
    let order = weights.and_then(|version| transfers.order(version, &data_centre));
    let Some((mut order, mut sources)) = order else {
        return (None, Vec::new());
    };
    if let Some(source) = homes.source(placing, runner, now_ms) {
        copy_missing(&mut order, transfers, weights, source);
        sources.push(source.key());
    }
    let clock_ms = transfers.state.runner_clock.get().at(now_ms);
    let clock_ms = clock_ms.filter(|_| PolicyMechanism::FetchLimit.is_on());
    let limit_ms = fetch_limit(view, need, &placing.need) as u64;
    order.fetch_until_ms = clock_ms.map(|clock_ms| clock_ms + limit_ms);
    (Some(order), sources)
}

/// Takes this request's part of the room that all instances see: the runners to
/// choose among, none if the others need it all.
fn share_room(
    state: &GatewayState,
    placing: &PlacingCall<'_>,
    views: &[RunnerView],
    open: Vec<usize>,
    now_ms: u64,
) -> Vec<usize> {
    let places = open.iter().map(|i| free_places(&views[*i], &placing.need));
    let places: Vec<f64> = places.collect();
    let mut pace = state.others_pace(placing.service, now_ms);
    pace.ended_per_s *= open.len() as f64 / views.len() as f64;
    let part = placed_part(places.iter().sum(), &pace);
    if part >= 1.0 || !PolicyMechanism::PlacedByDraw.is_on() {
        return open;
    }
    if placing.draw > part {
        return Vec::new();
    }
    let drawn = draw_runner(&places, &mut rng());
    drawn.map(|index| open[index]).into_iter().collect()
}

/// The figures of a choice, for the log.
fn basis(view: &RunnerView, need: &PlacingNeed) -> String {
    format!(
        "asks {} at {:.0}/ms unread {} running {}/{} booked {} known {} fetch {:.0} slow {:.2} failures {:.2} penalty {:.0}",
        need.prompt_tokens,
        need.prefill_per_ms,
        view.unread_tokens,
        view.running,
        view.slots,
        view.booked_tokens,
        view.known_tokens,
        view.fetch_ms,
        view.slowness,
        view.failures,
        view.penalty_ms
    )
}

/// The version of the weights that a runner would serve the request with.
pub(crate) fn weights_at(placing: &PlacingCall<'_>, runner: &RunnerHandle) -> Option<u64> {
    let prompt = placing.call.request.prompt.as_ref()?;
    runner.weights_of(&prompt.model)
}

/// The oldest weights that the request may begin on, once the time to bring
/// newer ones is about to end.
fn least_weights(state: &GatewayState, placing: &PlacingCall<'_>, now_ms: u64) -> Option<u64> {
    let prompt = placing.call.request.prompt.as_ref()?;
    let named = state.goal_of(&prompt.model)?;
    let apply_ms = state.settings().bounds.weights_apply.as_millis() as u64;
    // Requests that are placed now begin a little later.
    named.named_before((now_ms + BEGIN_MS).checked_sub(apply_ms)?)
}

/// What is known of each candidate.
fn runner_views(
    state: &GatewayState,
    placing: &PlacingCall<'_>,
    engine: Option<EngineSpec>,
    candidates: &[&Rc<RunnerHandle>],
    homes: &PromptHomes<'_>,
    transfers: &mut TransferCache<'_>,
) -> Vec<RunnerView> {
    let now_ms = transfers.now_ms;
    let prompt = placing.call.request.prompt.as_ref();
    let goal = prompt.and_then(|p| state.goal_of(&p.model));
    let goal = goal.map(|named| named.goal.version);
    let own_data_centre = state.settings().data_centre.clone();
    let peers = state.peers.borrow();
    let others = peers.loads(now_ms);
    let own_notice = state.duty_notice.borrow();
    let notice = own_notice.as_ref().or_else(|| peers.duty(now_ms));
    let is_switching =
        |key: u64| notice.is_some_and(|notice| notice.switching.binary_search(&key).is_ok());
    let view = |runner: &&Rc<RunnerHandle>| {
        let record = runner.record();
        let weights = weights_at(placing, runner);
        let is_old = goal.is_some_and(|goal| weights.is_some_and(|has| has < goal));
        let load = runner.load(now_ms);
        let reported = load.map_or(0, |load| load.running + load.waiting);
        let mut sent = others.on(runner.key());
        sent.add(&runner.own_load());
        let old_ms = if is_old { OLD_WEIGHTS_MS } else { 0.0 };
        let rank = homes.rank(runner);
        let cached = cached_prompt(placing, engine, runner, homes, transfers);
        RunnerView {
            unread_tokens: sent.unread_tokens,
            running: reported.max(sent.running),
            slots: record.slots,
            booked_tokens: sent.booked_tokens,
            memory_tokens: engine.map_or(0, |engine| engine.memory_tokens),
            slowness: load.map_or(1.0, |load| f64::from(load.slowness_percent) / 100.0),
            failures: if PolicyMechanism::RunnerHealth.is_on() {
                runner.failures(now_ms)
            } else {
                0.0
            },
            distance_ms: if record.data_centre == own_data_centre {
                0.0
            } else {
                REMOTE_MS
            },
            is_connected: runner.has_kept(now_ms, placing.most_idle),
            known_tokens: cached.known_tokens,
            fetch_ms: cached.fetch_ms,
            penalty_ms: old_ms,
            is_switching: is_switching(runner.key()),
            home_rank: rank,
        }
    };
    candidates.iter().map(view).collect()
}
