//! Other instances are asked at the start, before the first table is in force.
//!
//! In a large fleet they spare the store a burst of listings. In any, a process that
//! starts while the store is back from an older copy would serve by an older table
//! than its neighbours, until the operator has written again.

use crate::{
    clock::boot_ms,
    follow::{apply_changes, FollowedKind},
    peer_link::{peer_addresses, pull_replica},
    replica::{ReplicaChange, ReplicaDelta},
    state::GatewayState,
};
use berylmount_adapter::store_client::EraRevision;
use rand::{rng, seq::SliceRandom, RngExt};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

/// Instances that are asked: one that lives and knows is enough.
const NEIGHBOURS: usize = 5;
/// Of these, at most so many of the same data centre.
const NEAR_NEIGHBOURS: usize = 3;
/// Listed instances up to which each one lists kinds itself.
const LARGE_LIST: usize = 12;
/// How many instances list a kind themselves that no neighbour knows, on the mean.
const FIRST_LISTERS: f64 = 6.0;
/// Time for those to pass it on, in milliseconds: a listing, a heartbeat, a copy.
const FIRST_COPY_MS: u64 = 1000;
/// Longest wait for the list of instances, in milliseconds: some calls of the store.
const LIST_MS: u64 = 200;
/// Time between two looks at the list.
const LIST_INTERVAL: Duration = Duration::from_millis(10);
/// Time for all answers: some round trips within a region.
const ANSWER_TIME: Duration = Duration::from_millis(300);

/// Takes what other instances know of a kind beyond the own copy.
pub(crate) async fn ask_neighbours(state: &GatewayState, kind: FollowedKind) -> Vec<ReplicaChange> {
    let begun_ms = boot_ms();
    await_list(state).await;
    let addresses = neighbours(state);
    let asked = addresses.len();
    let questions = addresses
        .into_iter()
        .map(|address| spawn_local(ask(address, kind)));
    let questions: Vec<_> = questions.collect();
    let mut deltas: Vec<ReplicaDelta> = Vec::new();
    for question in questions {
        // One that panicked has left its own record.
        deltas.extend(question.await.ok().flatten());
    }
    let answered = deltas.len();
    let mut replicas = state.replicas.borrow_mut();
    let replica = &mut replicas[kind as usize];
    let changes = deltas.iter().flat_map(|delta| replica.apply_delta(delta));
    let changes: Vec<ReplicaChange> = changes.collect();
    let took_ms = boot_ms().saturating_sub(begun_ms);
    log::info!(
        target: "follow",
        kind:%, asked, answered, changes = changes.len(), took_ms;
        "other instances asked at the start"
    );
    changes
}

/// Takes a kind from other instances in place of the store, if the list names many:
/// when a large fleet starts, its listings would be a burst of calls. Returns
/// whether the kind is known now.
///
/// If none of them knows it yet, a few list it at once; the others give them time
/// to pass it on.
pub(crate) async fn starts_from_neighbours(state: &GatewayState, kind: FollowedKind) -> bool {
    await_list(state).await;
    let is_known = || state.replicas.borrow()[kind as usize].is_known();
    if state.instances.borrow().entries().len() <= LARGE_LIST {
        return false;
    }
    let changes = ask_neighbours(state, kind).await;
    apply_changes(state, kind, &changes);
    let chance = (FIRST_LISTERS / state.instance_count() as f64).min(1.0);
    if is_known() || rng().random_bool(chance) {
        return is_known();
    }
    let end_ms = boot_ms() + FIRST_COPY_MS;
    while !is_known() && boot_ms() < end_ms {
        sleep(LIST_INTERVAL).await;
    }
    is_known()
}

/// Waits a moment for the list of instances.
async fn await_list(state: &GatewayState) {
    let end_ms = boot_ms() + LIST_MS;
    while state.instances.borrow().entries().is_empty() && boot_ms() < end_ms {
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

async fn ask(address: SocketAddr, kind: FollowedKind) -> Option<ReplicaDelta> {
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
