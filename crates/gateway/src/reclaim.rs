//! Frees cached parts of weights that nobody uses any more.
//!
//! A part must not be freed while a runner may still read it. So the holder of
//! the duty first retires the weights: it tells the others in its heartbeats that
//! parts made under older ones are not to be fetched. Each instance confirms in
//! its own heartbeats once its last such fetch has ended (epoch-based reclamation).
//! Parts are freed when every instance that is known has confirmed.
//!
//! An instance that has heard nobody for a while fetches nothing, because it
//! may have missed what was retired; the holder waits for longer than that
//! before it goes on without a silent instance.

use crate::{
    cache_stores::{is_retired, RetiredParts},
    clock::boot_ms,
    duty::SharedLease,
    state::{GatewayState, NamedWeights},
};
use berylmount_adapter::runner_calls::RunnerClient;
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

/// Time between two looks for parts to free.
const RECLAIM_INTERVAL: Duration = Duration::from_millis(200);
/// Parts that one call frees at most, so that a call stays small.
const MAX_PARTS_PER_CALL: usize = 64;
/// Time from its start until an instance fetches, in milliseconds: by then the
/// holder has heard of it.
const STARTUP_DELAY_MS: u64 = 1000;
/// Time without a word from others after which an instance fetches nothing, in
/// milliseconds. Shorter than the time for which the holder waits.
const ISOLATION_MS: u64 = 8000;

/// Fetches under way, by model and version of the weights.
#[derive(Debug, Default)]
pub(crate) struct ActiveFetches {
    open: Vec<(String, u64)>,
}

impl ActiveFetches {
    /// Notes a fetch that begins.
    pub(crate) fn begin(&mut self, model: &str, version: u64) {
        self.open.push((model.to_owned(), version));
    }

    /// Notes a fetch that has ended.
    pub(crate) fn end(&mut self, model: &str, version: u64) {
        let mut open = self.open.iter();
        if let Some(index) = open.position(|(m, v)| m == model && *v == version) {
            self.open.swap_remove(index);
        }
    }

    /// The retired weights of which no fetch is under way.
    pub(crate) fn confirmed(&self, retired: &[(String, u64)]) -> Vec<(String, u64)> {
        let is_fetched = |weights: &(String, u64)| {
            let weights = std::slice::from_ref(weights);
            self.open
                .iter()
                .any(|(model, version)| is_retired(weights, model, *version))
        };
        retired
            .iter()
            .filter(|weights| !is_fetched(weights))
            .cloned()
            .collect()
    }
}

/// Whether this instance may fetch: it would have heard what is retired.
pub(crate) fn may_fetch(state: &GatewayState, now_ms: u64) -> bool {
    let is_new = now_ms.saturating_sub(state.begun_ms) < STARTUP_DELAY_MS;
    let is_alone = state.instance_count() > 1
        && !state.peers.borrow().was_heard_within(ISOLATION_MS, now_ms)
        && now_ms.saturating_sub(state.begun_ms) > ISOLATION_MS;
    !is_new && !is_alone
}

/// The weights that can be retired: half of the runners have newer ones.
pub(crate) fn retirable_weights(state: &GatewayState) -> Vec<(String, u64)> {
    let runners = state.runners.borrow();
    let retire = |named: &NamedWeights| {
        let goal = &named.goal;
        let versions = runners
            .all()
            .iter()
            .filter_map(|r| r.weights_of(&goal.model));
        let versions: Vec<u64> = versions.collect();
        let newest = versions
            .iter()
            .filter(|version| **version >= goal.version)
            .count();
        let is_due = newest * 2 >= versions.len() && newest > 0;
        is_due.then(|| (goal.model.clone(), goal.version))
    };
    state.goals.borrow().iter().filter_map(retire).collect()
}

/// Frees retired parts while this instance holds the duty.
pub(crate) async fn reclaim_parts(state: Rc<GatewayState>, lease: SharedLease) {
    loop {
        sleep(RECLAIM_INTERVAL).await;
        if lease.borrow().acting_term(boot_ms()).is_none() {
            continue;
        }
        state.retire(&retirable_weights(&state));
        for retired in reclaimable_parts(&state) {
            if lease.borrow().acting_term(boot_ms()).is_some() {
                free_parts_at(&state, &retired).await;
            }
        }
    }
}

/// Parts of weights that every known instance has confirmed as retired.
fn reclaimable_parts(state: &GatewayState) -> Vec<RetiredParts> {
    let own = state.fetches.borrow().confirmed(&state.retired.borrow());
    let peers = state.peers.borrow();
    let instances = state.instances.borrow();
    let is_confirmed = |weights: &&(String, u64)| {
        let own_name = &state.settings().name;
        let listed = instances.entries().iter().map(|(name, _)| name);
        let mut others = listed.filter(|name| *name != own_name);
        others.all(|name| peers.has_confirmed(name, weights)) && peers.all_confirmed(weights)
    };
    let confirmed: Vec<(String, u64)> = own.iter().filter(is_confirmed).cloned().collect();
    state
        .stores
        .borrow()
        .retired_parts(&confirmed, MAX_PARTS_PER_CALL, boot_ms())
}

/// Frees parts at one store.
async fn free_parts_at(state: &GatewayState, retired: &RetiredParts) {
    let mut client = RunnerClient::new(retired.address);
    let (store, count) = (retired.name.as_str(), retired.parts.len());
    match client.free_parts(&retired.parts, retired.epoch).await {
        Ok(is_freed) => {
            log::info!(target: "kept", store, count, taken = is_freed; "retired parts freed");
            if is_freed {
                state.stores.borrow_mut().forget(retired);
            }
        }
        Err(fault) => log::warn!(target: "kept", store, count, fault:% ; "parts perhaps freed"),
    }
}
