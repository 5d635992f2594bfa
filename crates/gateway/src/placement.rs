//! Brings what is known of runners before the policy, and books its choice.

use crate::{
    clock::boot_ms,
    forward::CallerCall,
    kept::{is_retired, ScopedPrompt},
    lags::{StoreWait, WaitId},
    reclaim::may_fetch,
    roster::RunnerHandle,
    state::GatewayState,
};
use berylmount_adapter::request_headers::CacheOrder;
use berylmount_fleet::{EngineTraits, RouteTable, ServiceKind, ServingCustomer};
use berylmount_policy::{
    admission::{free_places, has_room, placed_part, starts_soon, AdmissionNeed},
    kept_parts::{PromptTraits, TransferPlan},
    placing::{
        choose, draw_runner, sample_runners, PlacingNeed, RunnerView, DEFAULT_PREFILL_PER_MS,
    },
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
        }
    }
}

impl LoadBooking {
    /// Notes that the prompt has been read.
    pub(crate) fn note_started(&mut self) {
        if let Some(wait) = self.end_wait() {
            wait.judge(&self.state);
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
    token_bytes: u64,
    now_ms: u64,
    may_fetch: bool,
    /// Prompts by version of the weights.
    prompts: Vec<(u64, Rc<ScopedPrompt>)>,
    /// Plans by version of the weights and data centre.
    plans: Vec<(u64, String, Rc<TransferPlan>)>,
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
        let traits = PromptTraits {
            token_bytes: self.token_bytes,
            prefill_per_ms: DEFAULT_PREFILL_PER_MS,
        };
        let plan = Rc::new(prompt.plan(self.state, data_centre, traits, self.now_ms));
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
    let need = PlacingNeed {
        prompt_tokens,
        memory_tokens: u64::from(prompt_tokens) + answer_tokens as u64,
        prefill_per_ms: DEFAULT_PREFILL_PER_MS,
    };
    let mut transfers = TransferCache {
        state,
        placing,
        token_bytes: engine.map_or(0, |engine| engine.token_bytes),
        now_ms,
        may_fetch: may_fetch(state, now_ms),
        prompts: Vec::new(),
        plans: Vec::new(),
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
    let views = runner_views(state, placing, engine, &candidates, &mut transfers);
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
    let (cache, stores) = order.unzip();
    let unread_tokens = prompt_tokens.saturating_sub(views[index].known_tokens);
    PlacingResult::Placed(Box::new(PlacedRunner {
        runner,
        first_ms: estimate.first_ms,
        basis: basis(&views[index]),
        weights,
        cache,
        stores: stores.unwrap_or_default(),
        unread_tokens: u64::from(unread_tokens),
        fetched_tokens: u64::from(views[index].known_tokens),
        memory_tokens: need.memory_tokens,
    }))
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

/// The figures of a choice, for the log.
fn basis(view: &RunnerView) -> String {
    format!(
        "unread {} running {}/{} booked {} known {} fetch {:.0} slow {:.2} failures {:.2} penalty {:.0}",
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

/// What is known of each candidate.
fn runner_views(
    state: &GatewayState,
    placing: &PlacingCall<'_>,
    engine: Option<EngineTraits>,
    candidates: &[&Rc<RunnerHandle>],
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
        let plan = weights.and_then(|version| transfers.plan(version, &record.data_centre));
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
            known_tokens: plan.as_ref().map_or(0, |plan| plan.fetched_tokens),
            fetch_ms: plan.as_ref().map_or(0.0, |plan| plan.fetch_ms),
            penalty_ms: old_ms,
            is_switching: is_switching(runner.key()),
        }
    };
    candidates.iter().map(view).collect()
}
