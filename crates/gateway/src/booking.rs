//! What a request that was sent adds to its runner's load, until it ends.

use crate::{
    clock::boot_ms,
    lags::{StoreWait, WaitId},
    peers::LoadShare,
    placement::PlacedRunner,
    roster::RunnerHandle,
    state::GatewayState,
};
use berylmount_adapter::request_headers::CacheTransfers;
use berylmount_fleet::PromptShape;
use berylmount_policy::{
    engine_pace::FirstEvent,
    placing::{PlacingNeed, RunnerView},
    prompt_pools::PromptLength,
};
use std::{rc::Rc, time::Duration};
use tokio::{task::spawn_local, time::sleep};

/// Time in which a runner drops the fetch of a request that was given up.
const GIVEN_UP: Duration = Duration::from_millis(1000);
/// Requests tell the pace of engines if this times the tokens that wait ahead are
/// fewer than their own.
const CROWD_PART: u64 = 2;
/// Least slowness that is believed.
const LEAST_SLOWNESS: f64 = 0.5;

/// What must be known of a request to learn from its first event.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PaceProbe {
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

/// What the first event will tell of the engines' pace. Nothing if it is not
/// known what the runner must read, or much else waits there.
pub(crate) fn pace_probe(
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
