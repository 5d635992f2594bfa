//! Brings what is known of runners before the policy, and books its choice.

use crate::{
    clock::boot_ms,
    forward::CallerCall,
    kept::{is_retired, prefix_key, ScopedPrompt},
    lags::{StoreWait, WaitId},
    peers::LoadShare,
    reclaim::may_fetch,
    roster::RunnerHandle,
    state::GatewayState,
};
use berylmount_adapter::request_headers::CacheOrder;
use berylmount_fleet::{EngineTraits, PromptShape, RouteTable, ServiceKind, ServingCustomer};
use berylmount_policy::{
    admission::{free_places, has_room, placed_part, starts_soon, AdmissionNeed},
    engine_pace::FirstEvent,
    kept_parts::{fetch_limit_ms, PromptTraits, TransferPlan},
    placing::{choose, draw_runner, estimate, sample_runners, PlacingNeed, RunnerView},
    prefix_homes::{expect_cached, rank_homes, CachedPrompt},
    prompt_pools::{part_runners, PromptLength},
};
use rand::rng;
use std::{rc::Rc, time::Duration};
use tokio::{task::spawn_local, time::sleep};

/// One way to a runner in another data centre, in milliseconds.
const REMOTE_MS: f64 = 4.0;
/// Cost of a runner on older weights than named, in milliseconds.
const OLD_WEIGHTS_MS: f64 = 400.0;
/// Time from placing a request until a busy runner begins it, in milliseconds.
const BEGIN_MS: u64 = 2000;
/// Time in which a runner drops the fetch of a request that was given up.
const GIVEN_UP: Duration = Duration::from_millis(1000);
/// How many times longer a copy takes between data centres.
const REMOTE_COPY: f64 = 2.0;
/// Part of failed requests from which on nothing is copied from a runner.
const BAD_SOURCE: f64 = 0.3;
/// Requests tell the pace of engines if this times the tokens that wait ahead are
/// fewer than their own.
const CROWD_PART: u64 = 2;
/// Least slowness that is believed.
const LEAST_SLOWNESS: f64 = 0.5;
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
    pub(crate) cache: Option<CacheOrder>,
    /// Keys of the stores that parts are fetched from.
    stores: Vec<u64>,
    /// Tokens of the prompt that the runner must read.
    pub(crate) unread_tokens: u64,
    /// Tokens of the prompt that it fetches.
    pub(crate) fetched_tokens: u64,
    memory_tokens: u64,
    /// Whether the prompt is short or long.
    pub(crate) length: PromptLength,
    /// What its first event tells of the engines' pace, if anything.
    pace: Option<PaceProbe>,
}

/// What must be known of a request to learn from its first event.
#[derive(Clone, Copy, Debug)]
struct PaceProbe {
    read_tokens: u64,
    /// The way to the runner and back, in milliseconds.
    way_ms: f64,
    slowness: f64,
}

/// A request's part of a runner's load, until it is dropped.
pub(crate) struct LoadBooking {
    state: Rc<GatewayState>,
    runner: Rc<RunnerHandle>,
    /// Model and version of a fetch that is under way.
    fetch: Option<(String, u64)>,
    /// Its wait for the first event, while that has not come.
    wait: Option<WaitId>,
    unread_tokens: u64,
    memory_tokens: u64,
    pace: Option<PaceProbe>,
    begun_ms: u64,
}

impl PlacedRunner {
    /// Books the request at its runner.
    pub(crate) fn book(&self, state: &Rc<GatewayState>, model: Option<&str>) -> LoadBooking {
        let is_fetching = self.cache.as_ref().is_some_and(CacheOrder::has_fetch);
        let fetch = model.zip(self.weights).filter(|_| is_fetching);
        let fetch = fetch.map(|(model, version)| (model.to_owned(), version));
        if let Some((model, version)) = &fetch {
            state.fetches.borrow_mut().begin(model, *version);
        }
        let runner = self.runner.clone();
        runner.running.set(runner.running.get() + 1);
        let unread = runner.unread_tokens.get() + self.unread_tokens;
        runner.unread_tokens.set(unread);
        let booked = runner.booked_tokens.get() + self.memory_tokens;
        runner.booked_tokens.set(booked);
        if self.length == PromptLength::Long {
            let share = LoadShare {
                running: 1,
                unread_tokens: self.unread_tokens,
                booked_tokens: self.memory_tokens,
            };
            state.tell_placed(runner.key(), share);
        }
        let wait = is_fetching.then(|| {
            let mut waits = state.waits.borrow_mut();
            waits.begin(self.stores.clone(), self.first_ms, boot_ms())
        });
        LoadBooking {
            state: state.clone(),
            fetch,
            wait,
            runner,
            unread_tokens: self.unread_tokens,
            memory_tokens: self.memory_tokens,
            pace: self.pace,
            begun_ms: boot_ms(),
        }
    }
}

impl LoadBooking {
    /// Notes that the prompt has been read.
    pub(crate) fn note_started(&mut self) {
        if let Some(wait) = self.end_wait() {
            wait.judge(&self.state);
        }
        if let Some(probe) = self.pace.take() {
            let took_ms = boot_ms().saturating_sub(self.begun_ms) as f64 - probe.way_ms;
            let event = FirstEvent {
                read_tokens: probe.read_tokens,
                took_ms: took_ms / probe.slowness,
            };
            let service = &self.runner.record().service;
            self.state.note_first_event(service, event);
        }
        self.release_unread();
    }

    fn end_wait(&mut self) -> Option<StoreWait> {
        let wait = self.wait.take()?;
        self.state.waits.borrow_mut().end(wait)
    }

    fn release_unread(&mut self) {
        let left = self
            .runner
            .unread_tokens
            .get()
            .saturating_sub(self.unread_tokens);
        self.runner.unread_tokens.set(left);
        self.unread_tokens = 0;
        if let Some((model, version)) = self.fetch.take() {
            self.state.fetches.borrow_mut().end(&model, version);
        }
    }
}

impl Drop for LoadBooking {
    fn drop(&mut self) {
        if let Some(wait) = self.end_wait() {
            // One that was given up early says nothing of its stores.
            wait.judge_late(&self.state);
        }
        if let Some((model, version)) = self.fetch.take() {
            // The runner may notice a moment later that the request was given up.
            let state = self.state.clone();
            spawn_local(async move {
                sleep(GIVEN_UP).await;
                state.fetches.borrow_mut().end(&model, version);
            });
        }
        self.release_unread();
        let runner = &self.runner;
        // Only engines need memory for a request.
        if self.memory_tokens > 0 {
            let service = &runner.record().service;
            self.state.note_ended(service, boot_ms());
        }
        runner.running.set(runner.running.get().saturating_sub(1));
        let booked = runner
            .booked_tokens
            .get()
            .saturating_sub(self.memory_tokens);
        runner.booked_tokens.set(booked);
    }
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
    /// No runner that may take it.
    NoRunner,
}

/// Transfers of one prompt at runners of each data centre, worked out once.
struct TransferCache<'a> {
    state: &'a GatewayState,
    placing: &'a PlacingCall<'a>,
    traits: PromptTraits,
    now_ms: u64,
    may_fetch: bool,
    /// Prompts by version of the weights.
    prompts: Vec<(u64, Rc<ScopedPrompt>)>,
    /// Plans by version of the weights and data centre.
    plans: Vec<(u64, String, Rc<TransferPlan>)>,
    /// What runners that are no homes need not read, by version and data centre.
    elsewhere: Vec<(u64, String, CachedPrompt)>,
}

impl TransferCache<'_> {
    fn prompt(&mut self, version: u64) -> Option<Rc<ScopedPrompt>> {
        if let Some((_, known)) = self.prompts.iter().find(|(known, _)| *known == version) {
            return Some(known.clone());
        }
        let shape = self.placing.call.request.prompt.as_ref()?;
        let scoped = Rc::new(ScopedPrompt::new(shape, version, self.placing.customer));
        self.prompts.push((version, scoped.clone()));
        Some(scoped)
    }

    fn plan(&mut self, version: u64, data_centre: &str) -> Option<Rc<TransferPlan>> {
        let model = &self.placing.call.request.prompt.as_ref()?.model;
        if !self.may_fetch || is_retired(&self.state.retired.borrow(), model, version) {
            return None;
        }
        let is_same =
            |plan: &&(u64, String, Rc<TransferPlan>)| plan.0 == version && plan.1 == data_centre;
        if let Some((_, _, known)) = self.plans.iter().find(is_same) {
            return Some(known.clone());
        }
        let prompt = self.prompt(version)?;
        let plan = Rc::new(prompt.plan(self.state, data_centre, self.traits, self.now_ms));
        self.plans
            .push((version, data_centre.to_owned(), plan.clone()));
        Some(plan)
    }

    /// The order for a runner, with its saves noted, and the keys of the stores
    /// to fetch from. Without transfers it only keeps the parts apart from those
    /// of other weights and customers.
    fn order(&mut self, version: u64, data_centre: &str) -> Option<(CacheOrder, Vec<u64>)> {
        let prompt = self.prompt(version)?;
        let Some(plan) = self.plan(version, data_centre) else {
            return Some((prompt.order_without_transfers(), Vec::new()));
        };
        let mut book = self.state.stores.borrow_mut();
        Some(prompt.order(&mut book, &plan, self.now_ms))
    }
}

/// The runners that a prompt's prefix returns to, first home first.
struct PromptHomes<'a> {
    homes: Vec<&'a Rc<RunnerHandle>>,
}

impl<'a> PromptHomes<'a> {
    /// The homes among those `candidates` that take prompts of this length first.
    fn new(
        placing: &PlacingCall<'_>,
        candidates: &[&'a Rc<RunnerHandle>],
        parts: Option<&[PromptLength]>,
        length: PromptLength,
    ) -> Self {
        let prompt = placing.call.request.prompt.as_ref();
        let Some(prefix) = prompt.and_then(prefix_key) else {
            return Self { homes: Vec::new() };
        };
        let takes = |index: &usize| parts.is_none_or(|parts| parts[*index] == length);
        let takers: Vec<usize> = (0..candidates.len()).filter(takes).collect();
        let keys: Vec<u64> = takers.iter().map(|i| candidates[*i].key()).collect();
        let ranked = rank_homes(prefix, &keys).into_iter();
        let homes = ranked.map(|index| candidates[takers[index]]).collect();
        Self { homes }
    }

    /// The rank of a runner among them.
    fn rank(&self, runner: &Rc<RunnerHandle>) -> Option<usize> {
        self.homes.iter().position(|home| Rc::ptr_eq(home, runner))
    }

    /// The first other home with the same weights that can be copied from.
    fn source(
        &self,
        placing: &PlacingCall<'_>,
        runner: &Rc<RunnerHandle>,
        now_ms: u64,
    ) -> Option<&'a Rc<RunnerHandle>> {
        let weights = weights_at(placing, runner);
        let is_source = |home: &&Rc<RunnerHandle>| {
            !Rc::ptr_eq(home, runner)
                && weights_at(placing, home) == weights
                && home.failures(now_ms) < BAD_SOURCE
        };
        self.homes.iter().copied().find(is_source)
    }
}

/// Time to copy a prompt's shared parts between two runners, in milliseconds.
fn copy_ms(engine: &EngineTraits, prompt: &ScopedPrompt, is_remote: bool, lag_ms: f64) -> f64 {
    let shared = prompt.needs().split_last().map_or(&[][..], |(_, s)| s);
    let tokens: u32 = shared.iter().map(|need| need.tokens).sum();
    let bits = f64::from(tokens) * engine.token_bytes as f64 * 8.0;
    let factor = if is_remote { REMOTE_COPY } else { 1.0 };
    factor * bits / engine.link_bits_per_ms.max(1.0) + lag_ms
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
    let prompt_tokens = prompt.map_or(0, |p| p.prompt_tokens);
    let answer_tokens = prompt.map_or(0.0, |p| f64::from(p.answer_tokens) * ANSWER_PART);
    let pace = state.engine_pace(placing.service, now_ms);
    let need = PlacingNeed {
        prompt_tokens,
        memory_tokens: u64::from(prompt_tokens) + answer_tokens as u64,
        prefill_per_ms: pace.prefill_per_ms(),
        base_ms: pace.base_ms(),
    };
    let mut transfers = TransferCache {
        state,
        placing,
        traits: PromptTraits {
            token_bytes: engine.map_or(0, |engine| engine.token_bytes),
            prefill_per_ms: pace.prefill_per_ms(),
        },
        now_ms,
        may_fetch: may_fetch(state, now_ms),
        prompts: Vec::new(),
        plans: Vec::new(),
        elsewhere: Vec::new(),
    };
    let is_new = |runner: &&Rc<RunnerHandle>| !tried.iter().any(|t| Rc::ptr_eq(t, runner));
    let runners = state.runners.borrow();
    let candidates = runners.ready_of(placing.service).filter(is_new);
    let least = least_weights(state, placing, now_ms);
    let has_weights = |runner: &&Rc<RunnerHandle>| {
        least.is_none_or(|least| weights_at(placing, runner).is_none_or(|has| has >= least))
    };
    let candidates = candidates.filter(has_weights);
    let candidates: Vec<&Rc<RunnerHandle>> = candidates.collect();
    let length = PromptLength::of(prompt_tokens, need.prefill_per_ms);
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
        return PlacingResult::NoRunner;
    }
    // A plain service sheds by itself what it has no room for.
    let is_open = |view: &RunnerView| {
        let admission = &placing.need;
        engine.is_none() || (has_room(view, admission) && starts_soon(view, &need, admission))
    };
    let mut open: Vec<usize> = (0..views.len()).filter(|i| is_open(&views[*i])).collect();
    if engine.is_some() {
        open = share_room(state, placing, &views, open, now_ms);
    }
    if state.peers.borrow().is_large(now_ms) {
        open = sample_runners(&views, open, &mut rng());
    }
    let open_views: Vec<RunnerView> = open.iter().map(|index| views[*index]).collect();
    let Some((chosen, estimate)) = choose(&open_views, &need) else {
        return PlacingResult::NoRoom;
    };
    let index = open[chosen];
    let runner = candidates[index].clone();
    let weights = weights_at(placing, &runner);
    let data_centre = runner.record().data_centre.clone();
    let order = weights.and_then(|version| transfers.order(version, &data_centre));
    let (mut cache, mut stores) = order.unzip();
    let source = homes.source(placing, &runner, now_ms);
    if let (Some(order), Some(source)) = (&mut cache, source) {
        copy_missing(order, &transfers, weights, source);
        stores.get_or_insert_default().push(source.key());
    }
    if let Some(order) = &mut cache {
        let until = state.runner_clock.get().at(now_ms);
        let limit_ms = fetch_limit(&views[index], &need, &placing.need);
        order.fetch_until_ms = until.map(|clock_ms| clock_ms + limit_ms as u64);
    }
    let unread_tokens = prompt_tokens.saturating_sub(views[index].known_tokens);
    PlacingResult::Placed(Box::new(PlacedRunner {
        runner,
        first_ms: estimate.first_ms,
        basis: basis(&views[index], &need),
        length,
        pace: pace_probe(&views[index], &need, prompt),
        weights,
        cache,
        stores: stores.unwrap_or_default(),
        unread_tokens: u64::from(unread_tokens),
        fetched_tokens: u64::from(views[index].known_tokens),
        memory_tokens: need.memory_tokens,
    }))
}

/// Time after which the runner should read the prompt in place of a fetch, in
/// milliseconds.
fn fetch_limit(runner: &RunnerView, asks: &PlacingNeed, need: &AdmissionNeed) -> f64 {
    let alone = RunnerView {
        known_tokens: 0,
        fetch_ms: 0.0,
        ..*runner
    };
    let first_ms = estimate(&alone, asks).first_ms;
    let spare_ms = need.target_ms - need.waited_ms - first_ms;
    let read_ms = f64::from(runner.known_tokens) / asks.prefill_per_ms;
    fetch_limit_ms(spare_ms, runner.fetch_ms, read_ms)
}

/// Copies the shared parts that no store holds from another runner.
fn copy_missing(
    order: &mut CacheOrder,
    transfers: &TransferCache<'_>,
    weights: Option<u64>,
    source: &RunnerHandle,
) {
    let known = transfers.prompts.iter();
    let mut known = known.filter(|(version, _)| Some(*version) == weights);
    let Some((_, prompt)) = known.next() else {
        return;
    };
    order.fetch.resize(prompt.needs().len(), None);
    let shared = prompt.needs().len().saturating_sub(1);
    for fetch in order.fetch.iter_mut().take(shared) {
        fetch.get_or_insert(source.record().address);
    }
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
    if part >= 1.0 {
        return open;
    }
    if placing.draw > part {
        return Vec::new();
    }
    let drawn = draw_runner(&places, &mut rng());
    drawn.map(|index| open[index]).into_iter().collect()
}

/// What the first event will tell of the engines' pace. Nothing if it is not
/// known what the runner must read, or much else waits there.
fn pace_probe(
    view: &RunnerView,
    need: &PlacingNeed,
    prompt: Option<&PromptShape>,
) -> Option<PaceProbe> {
    let shared = prompt?.parts.split_last().map_or(&[][..], |(_, s)| s);
    let shared: u32 = shared.iter().map(|part| part.tokens).sum();
    let is_known = view.known_tokens >= shared;
    let read_tokens = u64::from(need.prompt_tokens.saturating_sub(view.known_tokens));
    let is_alone = view.unread_tokens <= read_tokens / CROWD_PART;
    (is_known && is_alone).then_some(PaceProbe {
        read_tokens,
        way_ms: 2.0 * view.distance_ms,
        slowness: view.slowness.max(LEAST_SLOWNESS),
    })
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
fn weights_at(placing: &PlacingCall<'_>, runner: &RunnerHandle) -> Option<u64> {
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

/// What a runner need not read of the prompt.
fn cached_prompt(
    placing: &PlacingCall<'_>,
    engine: Option<EngineTraits>,
    runner: &Rc<RunnerHandle>,
    homes: &PromptHomes<'_>,
    transfers: &mut TransferCache<'_>,
) -> CachedPrompt {
    let (Some(engine), Some(version)) = (engine, weights_at(placing, runner)) else {
        return CachedPrompt::default();
    };
    let record = runner.record();
    let rank = homes.rank(runner);
    // Only homes differ from the other runners of their data centre.
    let known = transfers.elsewhere.iter();
    let mut known = known.filter(|known| known.0 == version && known.1 == record.data_centre);
    if let Some((_, _, cached)) = known.next().filter(|_| rank.is_none()) {
        return *cached;
    }
    let plan = transfers.plan(version, &record.data_centre);
    let Some(prompt) = transfers.prompt(version) else {
        return CachedPrompt::default();
    };
    let source = homes.source(placing, runner, transfers.now_ms);
    let copy_ms = source.map(|source| {
        let is_remote = source.record().data_centre != record.data_centre;
        let lag_ms = transfers.state.stores.borrow().lag_ms(source.key());
        copy_ms(&engine, &prompt, is_remote, lag_ms)
    });
    let plan = plan.as_deref().cloned().unwrap_or_default();
    let cached = expect_cached(prompt.needs(), &plan, rank, copy_ms);
    if rank.is_none() {
        let place = (version, record.data_centre.clone(), cached);
        transfers.elsewhere.push(place);
    }
    cached
}

/// What is known of each candidate.
fn runner_views(
    state: &GatewayState,
    placing: &PlacingCall<'_>,
    engine: Option<EngineTraits>,
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
            failures: runner.failures(now_ms),
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
