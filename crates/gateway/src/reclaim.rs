//! Frees cached prompt parts of weights that are no longer in use.
//!
//! A part must not be freed while a runner may still read it, so this is a form of
//! epoch-based reclamation. The leader first retires the weights: its heartbeats
//! tell the other instances not to fetch parts computed under older weights. Each
//! instance confirms in its own heartbeats once its last such fetch has ended. Parts
//! are freed when every known instance has confirmed.
//!
//! An instance that has received no heartbeat for a while starts no fetch, because it
//! may have missed a retirement. The leader waits longer than that before it
//! continues without a silent instance.

use crate::{
    cache_stores::{is_retired, RetiredParts},
    clock::boot_ms,
    rollout_lease::SharedLease,
    state::{DesiredWeights, GatewayState},
};
use berylmount_adapter::runner_calls::RunnerClient;
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

/// Interval at which the leader looks for parts to free.
const RECLAIM_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum parts freed by one call, which bounds the size of the call.
const MAX_PARTS_PER_CALL: usize = 64;
/// Time after startup until an instance may fetch, in milliseconds. By then the
/// leader has received its heartbeats.
const STARTUP_DELAY_MS: u64 = 1000;
/// Time without heartbeats from others after which an instance starts no fetch, in
/// milliseconds. Must be shorter than the leader's wait for a silent instance.
const ISOLATION_MS: u64 = 8000;

/// Fetches in progress, by model and weights version.
#[derive(Debug, Default)]
pub(crate) struct ActiveFetches {
    open: Vec<(String, u64)>,
}

impl ActiveFetches {
    /// Records the start of a fetch.
    pub(crate) fn begin(&mut self, model: &str, version: u64) {
        self.open.push((model.to_owned(), version));
    }

    /// Records the end of a fetch.
    pub(crate) fn end(&mut self, model: &str, version: u64) {
        let mut open = self.open.iter();
        if let Some(index) = open.position(|(m, v)| m == model && *v == version) {
            self.open.swap_remove(index);
        }
    }

    /// Returns the retired weights that no fetch in progress uses.
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

/// Returns whether this instance may start a fetch, because it would have received
/// any retirement.
pub(crate) fn may_fetch(state: &GatewayState, now_ms: u64) -> bool {
    let is_new = now_ms.saturating_sub(state.started_boot_ms) < STARTUP_DELAY_MS;
    let is_isolated = state.instance_count() > 1
        && !state.peers.borrow().received_within(ISOLATION_MS, now_ms)
        && now_ms.saturating_sub(state.started_boot_ms) > ISOLATION_MS;
    !is_new && !is_isolated
}

/// Returns the weights that can be retired because at least half of the runners with
/// the model have the desired version or a newer one.
pub(crate) fn retirable_weights(state: &GatewayState) -> Vec<(String, u64)> {
    let runners = state.runners.borrow();
    let retire = |desired: &DesiredWeights| {
        let goal = &desired.goal;
        let versions = runners
            .all()
            .iter()
            .filter_map(|r| r.weights_of(&goal.model));
        let versions: Vec<u64> = versions.collect();
        let updated_count = versions
            .iter()
            .filter(|version| **version >= goal.version)
            .count();
        let is_due = updated_count * 2 >= versions.len() && updated_count > 0;
        is_due.then(|| (goal.model.clone(), goal.version))
    };
    state
        .desired_weights
        .borrow()
        .iter()
        .filter_map(retire)
        .collect()
}

/// Frees retired parts while this instance is the leader.
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

/// Returns the parts of weights whose retirement every known instance has confirmed.
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

/// Frees parts at one store and removes them from its catalogue.
async fn free_parts_at(state: &GatewayState, retired: &RetiredParts) {
    let mut client = RunnerClient::new(retired.address);
    let (store, count) = (retired.name.as_str(), retired.parts.len());
    match client.free_parts(&retired.parts, retired.epoch).await {
        Ok(is_freed) => {
            log::info!(target: "kept", store, count, taken = is_freed; "asked the store to free retired parts");
            if is_freed {
                state.stores.borrow_mut().forget(retired);
            }
        }
        Err(fault) => {
            log::warn!(target: "kept", store, count, fault:% ; "call to free retired parts failed; the store may have freed them")
        }
    }
}
