//! Other instances are asked at the start, before the first table is in force.
//!
//! In a large fleet they spare the store a burst of listings. In any, a process that
//! starts while the store is back from an older copy would serve by an older table
//! than its neighbours, until the operator has written again.

use crate::{
    clock::boot_ms,
    peer_link::{peer_addresses, pull_replica},
    replica::{ReplicaChange, ReplicaDelta},
    state::GatewayState,
    store_watch::{apply_changes, is_watcher, WatchedKind},
};
use berylmount_adapter::store_client::EraRevision;
use rand::{rng, seq::SliceRandom};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    sync::mpsc::unbounded_channel,
    task::spawn_local,
    time::{sleep, timeout},
};

/// Instances that are asked: one that lives and knows is enough.
const NEIGHBOURS: usize = 3;
/// Of these, at most so many of the same data centre.
const NEAR_NEIGHBOURS: usize = 2;
/// Listed instances up to which each one lists kinds itself.
pub(crate) const LARGE_FLEET_ENTRIES: usize = 12;
/// Time for those that list a kind to pass it on, in milliseconds: a listing, a heartbeat, a copy.
const FIRST_COPY_MS: u64 = 1000;
/// Longest wait for the list of instances, in milliseconds: more than twice what
/// instances that start together need to register.
const LIST_MS: u64 = 1500;
/// Time between two looks at the list.
const LIST_INTERVAL: Duration = Duration::from_millis(10);
/// Time for a first copy: some round trips within a data centre, two between data
/// centres some milliseconds apart. A neighbour without power does not answer.
const COPY_TIME: Duration = Duration::from_millis(25);
/// Time for all answers: some round trips within a region.
const ANSWER_TIME: Duration = Duration::from_millis(120);

/// Takes what other instances know of the table beyond the own copy, if the store
/// has ever come back from an older one.
pub(crate) async fn pull_newer_table(state: &GatewayState) -> Vec<ReplicaChange> {
    if state.store.era() == 0 {
        return Vec::new();
    }
    let kind = WatchedKind::Table;
    let begun_ms = boot_ms();
    let addresses = neighbours(state);
    let asked = addresses.len();
    let questions = addresses
        .into_iter()
        .map(|address| spawn_local(ask(address, kind)));
    let questions: Vec<_> = questions.collect();
    let mut changes = Vec::new();
    for question in questions {
        // One that panicked has left its own record.
        if let Some(delta) = question.await.ok().flatten() {
            changes.extend(state.replicas.borrow_mut()[kind as usize].apply_delta(&delta));
        }
    }
    let took_ms = boot_ms().saturating_sub(begun_ms);
    log::info!(
        target: "follow",
        kind:%, asked, changes = changes.len(), took_ms;
        "other instances asked at the start"
    );
    changes
}

/// Takes a copy of a kind from the first other instance that has one.
async fn take_copy(state: &GatewayState, kind: WatchedKind) {
    let (told, mut deltas) = unbounded_channel();
    for address in neighbours(state) {
        let told = told.clone();
        spawn_local(async move {
            if let Some(delta) = ask(address, kind).await {
                // The others are not waited for once one has answered.
                let _ = told.send(delta);
            }
        });
    }
    drop(told);
    let first_copy = async {
        while let Some(delta) = deltas.recv().await {
            let changes = state.replicas.borrow_mut()[kind as usize].apply_delta(&delta);
            apply_changes(state, kind, &changes);
            if state.replicas.borrow()[kind as usize].is_synced() {
                return;
            }
        }
    };
    // Without an answer the store is asked.
    let _ = timeout(COPY_TIME, first_copy).await;
}

/// Takes a kind from other instances in place of the store, if the list names many:
/// when a large fleet starts, its listings would be a burst of calls.
///
/// If none of them knows it yet, as after all processes were killed, a process that
/// takes the place of an earlier one lists it at once, because callers wait. When a
/// fleet starts for the first time, a few list it and give the others time to take
/// it from them. Returns whether this process is to list the kind in any case.
pub(crate) async fn bootstrap_from_peers(state: &GatewayState, kind: WatchedKind) -> bool {
    await_list(state).await;
    if state.instances.borrow().entries().len() <= LARGE_FLEET_ENTRIES {
        return false;
    }
    take_copy(state, kind).await;
    let is_known = || state.replicas.borrow()[kind as usize].is_synced();
    if kind == WatchedKind::Table && is_known() {
        // Another one may know a higher version.
        let changes = pull_newer_table(state).await;
        apply_changes(state, kind, &changes);
    }
    if state.instances.borrow().has_predecessor() {
        return !is_known();
    }
    let end_ms = boot_ms() + FIRST_COPY_MS;
    while !is_known() && !is_watcher(state, kind) && boot_ms() < end_ms {
        sleep(LIST_INTERVAL).await;
    }
    false
}

/// Waits until the list of instances shows how large the fleet is.
async fn await_list(state: &GatewayState) {
    let end_ms = boot_ms() + LIST_MS;
    while !state.instances.borrow().is_settled() && boot_ms() < end_ms {
        sleep(LIST_INTERVAL).await;
    }
}

/// Some other instances: most of the same data centre, because what they pass on
/// is large, and some of any.
fn neighbours(state: &GatewayState) -> Vec<SocketAddr> {
    let mut addresses = peer_addresses(state);
    addresses.shuffle(&mut rng());
    let own = state.settings().data_centre.clone();
    let instances = state.instances.borrow();
    let is_near = |address: &SocketAddr| {
        let mut entries = instances.entries().iter().map(|(_, entry)| entry);
        entries.any(|entry| entry.peers == *address && entry.data_centre == own)
    };
    let (near, far): (Vec<_>, Vec<_>) = addresses.into_iter().partition(is_near);
    let near = near.into_iter().take(NEAR_NEIGHBOURS);
    near.chain(far).take(NEIGHBOURS).collect()
}

async fn ask(address: SocketAddr, kind: WatchedKind) -> Option<ReplicaDelta> {
    let pulled = pull_replica(address, kind, EraRevision::default());
    match timeout(ANSWER_TIME, pulled).await {
        Ok(Ok(delta)) => Some(delta),
        Ok(Err(fault)) => {
            log::debug!(target: "follow", peer:% = address, fault:% ; "no copy from a neighbour");
            None
        }
        Err(_) => {
            log::debug!(target: "follow", peer:% = address; "a neighbour did not answer in time");
            None
        }
    }
}
