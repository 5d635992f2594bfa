//! Load that a request reserves at its runner until it ends.

use crate::{
    clock::boot_ms,
    peers::LoadShare,
    placement::PlacedRunner,
    runner_registry::RunnerHandle,
    state::GatewayState,
    store_lag::{StoreWait, WaitId},
};
use berylmount_adapter::request_headers::CacheTransfers;
use berylmount_fleet::PromptShape;
use berylmount_policy::{
    admission_level::slot_cost,
    engine_pace::FirstEvent,
    prompt_pools::PromptLength,
    runner_placement::{PlacementDemand, RunnerView},
    store_lags::FetchWait,
};
use std::{rc::Rc, time::Duration};
use tokio::{task::spawn_local, time::sleep};

/// Time within which a runner notices a cancelled request and stops its fetch. Until
/// then the fetch counts as in progress.
const CANCEL_NOTICE_TIME: Duration = Duration::from_millis(1000);
/// A request is a sample of the prefill rate only if the prefill tokens queued
/// ahead of it do not exceed its own divided by this.
const QUEUE_DIVISOR: u64 = 2;
/// Lower bound for a reported slowness factor.
const MIN_SLOWNESS: f64 = 0.5;

/// Inputs for estimating the prefill rate from the first event of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefillSample {
    /// Prompt tokens that the runner must prefill.
    prefill_tokens: u64,
    /// Network round trip to the runner, in milliseconds.
    round_trip_ms: f64,
    /// Slowness factor that the runner reported; 1 is the normal speed.
    slowness: f64,
}

/// Load that one request reserves at a runner; released on drop.
pub(crate) struct LoadReservation {
    state: Rc<GatewayState>,
    runner: Rc<RunnerHandle>,
    /// Model and weights version of a fetch in progress.
    fetch: Option<(String, u64)>,
    /// The open wait for the first event of a request that fetches from stores.
    wait: Option<WaitId>,
    /// Prompt tokens that the runner must still prefill; 0 after the first event.
    unread_tokens: u64,
    /// KV cache tokens reserved at an engine until the request ends.
    memory_tokens: u64,
    /// Its cost in slots.
    cost: f64,
    sample: Option<PrefillSample>,
    /// Boot time at which the load was reserved, in milliseconds.
    started_ms: u64,
}

impl PlacedRunner {
    /// Reserves the load of the request at its runner.
    pub(crate) fn reserve_load(
        &self,
        state: &Rc<GatewayState>,
        model: Option<&str>,
    ) -> LoadReservation {
        let is_fetching = self.cache.as_ref().is_some_and(CacheTransfers::has_fetch);
        let fetch = model.zip(self.weights).filter(|_| is_fetching);
        let fetch = fetch.map(|(model, version)| (model.to_owned(), version));
        if let Some((model, version)) = &fetch {
            state.fetches.borrow_mut().begin(model, *version);
        }
        let runner = self.runner.clone();
        runner.running.set(runner.running.get() + 1);
        let unread = runner.unread_tokens.get() + self.unread_tokens;
        runner.unread_tokens.set(unread);
        let reserved_tokens = runner.reserved_tokens.get() + self.memory_tokens;
        runner.reserved_tokens.set(reserved_tokens);
        if self.length == PromptLength::Long {
            let share = LoadShare {
                running: 1,
                unread_tokens: self.unread_tokens,
                reserved_tokens: self.memory_tokens,
            };
            state.announce_placement(runner.key(), share);
        }
        let wait = is_fetching.then(|| {
            let mut waits = state.waits.borrow_mut();
            let expected = FetchWait {
                expected_ms: self.first_ms,
                limit_ms: self.fetch_limit_ms,
            };
            waits.begin(self.stores.clone(), expected, boot_ms())
        });
        let runner_slots = runner.record().slots;
        LoadReservation {
            state: state.clone(),
            fetch,
            wait,
            runner,
            unread_tokens: self.unread_tokens,
            memory_tokens: self.memory_tokens,
            cost: slot_cost(self.memory_tokens, runner_slots, self.capacity_tokens),
            sample: self.sample,
            started_ms: boot_ms(),
        }
    }
}

impl LoadReservation {
    /// Records the first event, which shows that prefill has ended.
    pub(crate) fn record_first_event(&mut self) {
        if let Some(wait) = self.end_wait() {
            wait.record_first_event(&self.state);
        }
        if let Some(sample) = self.sample.take() {
            let took_ms = boot_ms().saturating_sub(self.started_ms) as f64 - sample.round_trip_ms;
            let event = FirstEvent {
                prefilled_tokens: sample.prefill_tokens,
                took_ms: took_ms / sample.slowness,
            };
            let service = &self.runner.record().service;
            self.state.note_first_event(service, event);
        }
        self.release_prefill();
    }

    fn end_wait(&mut self) -> Option<StoreWait> {
        let wait = self.wait.take()?;
        self.state.waits.borrow_mut().end(wait)
    }

    /// Releases the load that ends with prefill: the queued tokens and the fetch.
    fn release_prefill(&mut self) {
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

impl Drop for LoadReservation {
    fn drop(&mut self) {
        if let Some(wait) = self.end_wait() {
            // A request that was cancelled early is no evidence that its stores lag.
            wait.record_if_late(&self.state);
        }
        if let Some((model, version)) = self.fetch.take() {
            // The runner may notice the cancellation with a delay.
            let state = self.state.clone();
            spawn_local(async move {
                sleep(CANCEL_NOTICE_TIME).await;
                state.fetches.borrow_mut().end(&model, version);
            });
        }
        self.release_prefill();
        let runner = &self.runner;
        // Only engines reserve KV cache memory for a request.
        if self.memory_tokens > 0 {
            let service = &runner.record().service;
            self.state.note_ended(service, boot_ms());
        }
        runner.running.set(runner.running.get().saturating_sub(1));
        let reserved_tokens = runner
            .reserved_tokens
            .get()
            .saturating_sub(self.memory_tokens);
        runner.reserved_tokens.set(reserved_tokens);
        if self.memory_tokens > 0 {
            let service = &runner.record().service;
            self.state.waiting.note_ended(service, self.cost);
        }
    }
}

/// Returns the inputs for a sample of the prefill rate. Returns `None` if the number of
/// tokens to prefill is not known, because a shared part of the prompt may not be
/// cached, or if much other prefill work is queued at the runner.
pub(crate) fn prefill_sample(
    view: &RunnerView,
    demand: &PlacementDemand,
    prompt: Option<&PromptShape>,
) -> Option<PrefillSample> {
    let shared = prompt?.parts.split_last().map_or(&[][..], |(_, s)| s);
    let shared: u32 = shared.iter().map(|part| part.tokens).sum();
    let is_prefix_cached = view.cached_tokens >= shared;
    let prefill_tokens = u64::from(demand.prompt_tokens.saturating_sub(view.cached_tokens));
    let is_queue_short = view.unread_tokens <= prefill_tokens / QUEUE_DIVISOR;
    (is_prefix_cached && is_queue_short).then_some(PrefillSample {
        prefill_tokens,
        round_trip_ms: 2.0 * view.distance_ms,
        slowness: view.slowness.max(MIN_SLOWNESS),
    })
}
