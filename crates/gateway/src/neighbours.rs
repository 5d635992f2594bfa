//! Other instances are asked before the first table is in force.
//!
//! A process that starts while the store is back from an older copy would serve
//! by an older table than its neighbours, until the operator has written again.

use crate::{
    clock::boot_ms,
    follow::FollowedKind,
    peer_link::{peer_addresses, pull_replica},
    replica::{ReplicaChange, ReplicaDelta},
    state::GatewayState,
};
use berylmount_adapter::store_client::EraRevision;
use rand::{rng, seq::SliceRandom};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

/// Instances that are asked: one that lives and knows is enough.
const NEIGHBOURS: usize = 5;
/// Longest wait for the list of instances, in milliseconds: some calls of the store.
const LIST_MS: u64 = 200;
/// Time between two looks at the list.
const LIST_INTERVAL: Duration = Duration::from_millis(10);
/// Time for all answers: some round trips within a region.
const ANSWER_TIME: Duration = Duration::from_millis(300);

/// Takes what other instances know of a kind beyond the own copy.
pub(crate) async fn ask_neighbours(state: &GatewayState, kind: FollowedKind) -> Vec<ReplicaChange> {
    let begun_ms = boot_ms();
    let is_listed = || !state.instances.borrow().entries().is_empty();
    while !is_listed() && boot_ms().saturating_sub(begun_ms) < LIST_MS {
        sleep(LIST_INTERVAL).await;
    }
    let mut addresses = peer_addresses(state);
    addresses.shuffle(&mut rng());
    addresses.truncate(NEIGHBOURS);
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
        kind:%, asked, answered, higher = changes.len(), took_ms;
        "other instances asked before the start"
    );
    changes
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
