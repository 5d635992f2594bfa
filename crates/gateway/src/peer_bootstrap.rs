//! Initial synchronisation from other instances, before the first table is in force.
//!
//! In a large fleet this avoids a burst of list calls at the store. In a fleet of any
//! size, it keeps a process that starts after the store was restored from an older
//! backup from serving with an older table than its peers until the operator writes
//! the table again.

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

/// Maximum number of instances that are asked for a copy. One that is live and
/// synchronised is enough.
const MAX_PEERS_ASKED: usize = 3;
/// Maximum number of asked instances in the data centre of this instance.
const MAX_NEAR_PEERS_ASKED: usize = 2;
/// Number of listed instances above which an instance copies kinds from others
/// before it lists them itself.
pub(crate) const LARGE_FLEET_ENTRIES: usize = 12;
/// Longest wait for a copy from the instances that list a kind, in milliseconds. It
/// covers a list call, a heartbeat and a copy.
const FIRST_COPY_WAIT_MS: u64 = 1000;
/// Longest wait for the list of instances, in milliseconds. This is more than twice
/// the time that instances which start together need to register.
const LIST_TIMEOUT_MS: u64 = 1500;
/// Longest wait for that list while no read of it has succeeded, in milliseconds. It covers two
/// calls without a response; nothing is known of the size of the fleet before.
const UNREAD_LIST_TIMEOUT_MS: u64 = 4000;
/// Longest wait for that list after a restore of the store, in milliseconds. It covers several
/// calls without a response; an older table must not be served.
const RESTORED_LIST_TIMEOUT_MS: u64 = 6000;
/// Time between two checks of the local state while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time limit for the first copy. It allows several round trips within a data centre,
/// or two between data centres that are some milliseconds apart. It is short because a
/// peer that has lost power never responds.
const FIRST_COPY_TIMEOUT: Duration = Duration::from_millis(25);
/// Time limit for the response of each peer. It allows several round trips within a region.
const PULL_TIMEOUT: Duration = Duration::from_millis(120);

/// Pulls newer versions of the table from other instances if the store has ever been
/// restored from an older backup.
pub(crate) async fn pull_newer_table(state: &GatewayState) -> Vec<ReplicaChange> {
    if state.store.era() == 0 {
        return Vec::new();
    }
    let kind = WatchedKind::Table;
    let started_ms = boot_ms();
    wait_for_instance_list(state, RESTORED_LIST_TIMEOUT_MS).await;
    let addresses = choose_peers(state);
    let asked = addresses.len();
    let pulls = addresses
        .into_iter()
        .map(|address| spawn_local(pull_full_copy(address, kind)));
    let pulls: Vec<_> = pulls.collect();
    let mut changes = Vec::new();
    for pull in pulls {
        // A task that panicked has already logged the panic.
        if let Some(delta) = pull.await.ok().flatten() {
            changes.extend(state.replicas.borrow_mut()[kind as usize].apply_delta(&delta));
        }
    }
    let took_ms = boot_ms().saturating_sub(started_ms);
    log::info!(
        target: "follow",
        kind:%, asked, changes = changes.len(), took_ms;
        "asked other instances for a newer table"
    );
    changes
}

/// Copies a kind from the first instance that responds with a synchronised copy.
async fn pull_first_copy(state: &GatewayState, kind: WatchedKind) {
    let (sender, mut deltas) = unbounded_channel();
    for address in choose_peers(state) {
        let sender = sender.clone();
        spawn_local(async move {
            if let Some(delta) = pull_full_copy(address, kind).await {
                // The receiver is dropped once another instance has sent a copy.
                let _ = sender.send(delta);
            }
        });
    }
    drop(sender);
    let first_copy = async {
        while let Some(delta) = deltas.recv().await {
            let changes = state.replicas.borrow_mut()[kind as usize].apply_delta(&delta);
            apply_changes(state, kind, &changes);
            if state.replicas.borrow()[kind as usize].is_synced() {
                return;
            }
        }
    };
    // If no copy arrives in time, the caller lists the kind from the store.
    let _ = timeout(FIRST_COPY_TIMEOUT, first_copy).await;
}

/// Copies a kind from other instances instead of the store if the fleet is large,
/// because the list calls of a large fleet that starts would be a burst of load.
///
/// No instance may be synchronised yet, for example after all processes were killed.
/// Then a process that replaces an earlier one lists the kind at once, because callers
/// are waiting. When a fleet starts for the first time, a few instances list the kind
/// and the others wait for a time to copy it from them. Returns whether this process
/// must list the kind from the store even if it is not one of the watchers.
pub(crate) async fn bootstrap_from_peers(state: &GatewayState, kind: WatchedKind) -> bool {
    wait_for_instance_list(state, LIST_TIMEOUT_MS).await;
    if state.instances.borrow().entries().len() <= LARGE_FLEET_ENTRIES {
        return false;
    }
    pull_first_copy(state, kind).await;
    let is_synced = || state.replicas.borrow()[kind as usize].is_synced();
    if kind == WatchedKind::Table && is_synced() {
        // Another instance may have a higher version.
        let changes = pull_newer_table(state).await;
        apply_changes(state, kind, &changes);
    }
    if state.instances.borrow().has_predecessor() {
        return !is_synced();
    }
    let end_ms = boot_ms() + FIRST_COPY_WAIT_MS;
    while !is_synced() && !is_watcher(state, kind) && boot_ms() < end_ms {
        sleep(POLL_INTERVAL).await;
    }
    false
}

/// Waits until the list of instances shows the size of the fleet, for `max_ms` at most once it
/// has been read.
async fn wait_for_instance_list(state: &GatewayState, max_ms: u64) {
    let started_ms = boot_ms();
    let must_wait = || {
        let instances = state.instances.borrow();
        let max_ms = match instances.is_read() {
            true => max_ms,
            false => max_ms.max(UNREAD_LIST_TIMEOUT_MS),
        };
        !instances.is_settled() && boot_ms() < started_ms + max_ms
    };
    while must_wait() {
        sleep(POLL_INTERVAL).await;
    }
}

/// Chooses the instances to ask at random. Prefers the data centre of this instance,
/// because the copies are large, but takes at most [`MAX_NEAR_PEERS_ASKED`] from there.
fn choose_peers(state: &GatewayState) -> Vec<SocketAddr> {
    let mut addresses = peer_addresses(state);
    addresses.shuffle(&mut rng());
    let own = state.settings().data_centre.clone();
    let instances = state.instances.borrow();
    let is_near = |address: &SocketAddr| {
        let mut entries = instances.entries().iter().map(|(_, entry)| entry);
        entries.any(|entry| entry.peers == *address && entry.data_centre == own)
    };
    let (near, far): (Vec<_>, Vec<_>) = addresses.into_iter().partition(is_near);
    let near = near.into_iter().take(MAX_NEAR_PEERS_ASKED);
    near.chain(far).take(MAX_PEERS_ASKED).collect()
}

async fn pull_full_copy(address: SocketAddr, kind: WatchedKind) -> Option<ReplicaDelta> {
    let pulled = pull_replica(address, kind, EraRevision::default());
    match timeout(PULL_TIMEOUT, pulled).await {
        Ok(Ok(delta)) => Some(delta),
        Ok(Err(fault)) => {
            log::debug!(target: "follow", peer:% = address, fault:% ; "could not pull a copy from the peer");
            None
        }
        Err(_) => {
            log::debug!(target: "follow", peer:% = address; "peer did not respond in time");
            None
        }
    }
}
