//! Keeps store catalogues current by polling the stores, or by gossip from the
//! instances that poll them.

use super::part_key;
use crate::{
    clock::boot_ms,
    peer_link::pull_store,
    peers::{name_hash, CacheChange, CacheGossip},
    state::GatewayState,
};
use berylmount_adapter::runner_calls::{CacheChanges, CacheEvent, CallFault, RunnerClient};
use berylmount_policy::prefix_cache::{KeptPart, PartEvent, PartKey};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::{task::spawn_local, time::sleep};

/// Long-poll time of one call for changes; the maximum that stores allow.
const LONG_POLL_TIME: Duration = Duration::from_millis(1000);
/// Delay between two calls, so that changes arrive in batches.
const POLL_INTERVAL: Duration = Duration::from_millis(120);
/// Delay between two calls to a store that does not respond.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Interval at which the route table is checked for changed stores.
const TABLE_POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Shortest time between two listings because of events that were lost, in milliseconds. A listing
/// stalls the store.
const LOST_LISTING_INTERVAL_MS: u64 = 5000;
/// Number of instances in a large fleet that poll one store.
const WATCHERS_PER_STORE: usize = 2;

/// Catalogue of a store, for an instance that does not poll it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct StoreSnapshot {
    /// Epoch of the store, which changes when the store restarts.
    pub(super) epoch: u64,
    /// Number of the next event.
    pub(super) next: u64,
    /// Key, event number and tokens of each part.
    pub(super) parts: Vec<(u64, u64, u32)>,
}

/// Applies gossip about a store from the peer that polls it. If earlier changes are
/// missing, a snapshot is requested from the peer.
pub(crate) fn apply_gossip(state: &Rc<GatewayState>, peer: &str, gossip: &CacheGossip) {
    let name = {
        let mut registry = state.stores.borrow_mut();
        let Some(entry) = registry
            .stores
            .iter_mut()
            .find(|entry| entry.key == gossip.store)
        else {
            return;
        };
        if entry.is_watched {
            return;
        }
        let catalogue = &mut entry.catalogue;
        if catalogue.has_ended(gossip.epoch) {
            return;
        }
        let is_contiguous =
            catalogue.epoch() == Some(gossip.epoch) && catalogue.next() >= gossip.since;
        if is_contiguous {
            if gossip.next >= catalogue.next() {
                let events = gossip.changes.iter().map(gossip_event).collect();
                let now_ms = boot_ms();
                catalogue.apply(gossip.epoch, gossip.next, false, events, now_ms);
                catalogue.note_response_time(0, state.runner_clock.get().at(now_ms));
            }
            return;
        }
        if catalogue.epoch() != Some(gossip.epoch) {
            catalogue.note_unreachable();
        }
        if entry.is_snapshot_pending {
            return;
        }
        entry.is_snapshot_pending = true;
        entry.name.clone()
    };
    let address = state.peers.borrow().address_of(peer);
    let (state, store) = (state.clone(), gossip.store);
    spawn_local(async move { fetch_snapshot(&state, &name, store, address).await });
}

/// Requests a snapshot of a store's catalogue from a peer and applies it.
async fn fetch_snapshot(state: &GatewayState, name: &str, store: u64, address: Option<SocketAddr>) {
    let snapshot = match address {
        Some(address) => pull_store(address, store).await,
        None => Ok(None),
    };
    let mut registry = state.stores.borrow_mut();
    let Some(index) = registry.find(name) else {
        return;
    };
    let entry = &mut registry.stores[index];
    entry.is_snapshot_pending = false;
    match snapshot {
        Ok(Some(snapshot)) if !entry.is_watched && !entry.catalogue.has_ended(snapshot.epoch) => {
            let changes = snapshot.parts.iter();
            let changes = changes.map(|(key, number, tokens)| (*key, *number, *tokens, true));
            let events = changes.map(|change| gossip_event(&change)).collect();
            entry.catalogue = entry.catalogue.cleared();
            let (epoch, next) = (snapshot.epoch, snapshot.next);
            entry.catalogue.apply(epoch, next, false, events, boot_ms());
            // A snapshot doesn't say when the store responded; the next gossip does.
            entry.catalogue.note_unreachable();
        }
        Ok(_) => {}
        Err(fault) => {
            log::warn!(target: "kept", store = name, fault:% ; "failed to get a snapshot of the store from a peer")
        }
    }
}

/// Converts a gossiped change into a catalogue event. Gossip carries no scope or
/// id, because only instances that poll a store free its parts.
fn gossip_event(change: &CacheChange) -> PartEvent {
    let (key, number, tokens, is_added) = *change;
    let key = PartKey(key);
    match is_added {
        true => PartEvent::Added(KeptPart {
            key,
            number,
            tokens,
            scope: String::new(),
            id: String::new(),
        }),
        false => PartEvent::Removed(key),
    }
}

/// Returns whether this instance polls a store itself. In a large fleet only
/// [`WATCHERS_PER_STORE`] instances do, and the leader, which frees parts. The others
/// learn from gossip.
fn is_watcher(state: &GatewayState, name: &str) -> bool {
    let now_ms = boot_ms();
    let peers = state.peers.borrow();
    if !peers.is_large(now_ms) || state.holder_notice.borrow().is_some() {
        return true;
    }
    state.election_rank(name, now_ms) < WATCHERS_PER_STORE
}

/// Watches the stores of the route table in force.
pub(crate) async fn watch_stores(state: Rc<GatewayState>) {
    let mut version = None;
    loop {
        if let Some(table) = state.table().filter(|table| Some(table.version) != version) {
            version = Some(table.version);
            let added = state.stores.borrow_mut().apply_table(&table);
            for name in added {
                spawn_local(watch_store(state.clone(), name));
            }
        }
        sleep(TABLE_POLL_INTERVAL).await;
    }
}

/// Watches one store until the route table no longer lists it at this address.
async fn watch_store(state: Rc<GatewayState>, name: String) {
    let address = |state: &GatewayState| {
        let registry = state.stores.borrow();
        registry
            .find(&name)
            .map(|index| registry.stores[index].store.address)
    };
    let Some(watched_address) = address(&state) else {
        return;
    };
    let mut poller = StorePoller {
        client: RunnerClient::new(watched_address),
        lost_ms: None,
    };
    let mut is_unreachable = false;
    let mut was_watcher = false;
    while address(&state) == Some(watched_address) {
        let is_watcher = is_watcher(&state, &name);
        state
            .stores
            .borrow_mut()
            .set_watched(&name, is_watcher, was_watcher);
        was_watcher = is_watcher;
        if !is_watcher {
            sleep(TABLE_POLL_INTERVAL).await;
            continue;
        }
        match poll_store(&state, &name, &mut poller).await {
            Ok(()) => {
                if is_unreachable {
                    log::info!(target: "kept", store = name; "store responds again");
                }
                is_unreachable = false;
                sleep(POLL_INTERVAL).await;
            }
            Err(fault) => {
                if !is_unreachable {
                    log::warn!(target: "kept", store = name, fault:% ; "store does not respond");
                }
                is_unreachable = true;
                if let Some(catalogue) = state.stores.borrow_mut().catalogue(&name) {
                    catalogue.note_unreachable();
                }
                sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// The calls to one store.
struct StorePoller {
    client: RunnerClient,
    /// When events were last found lost, by the boot clock; `None` if never.
    lost_ms: Option<u64>,
}

impl StorePoller {
    /// Whether a response to a call for the events after `since` lacks some that the store does not
    /// say are missing. Their numbers are consecutive. Returns false soon after such a response.
    fn finds_loss(&mut self, since: u64, changes: &CacheChanges, now_ms: u64) -> bool {
        let is_whole = changes.next.saturating_sub(since) <= changes.events.len() as u64;
        let is_recent = |lost_ms| now_ms.saturating_sub(lost_ms) < LOST_LISTING_INTERVAL_MS;
        if is_whole || self.lost_ms.is_some_and(is_recent) {
            return false;
        }
        self.lost_ms = Some(now_ms);
        true
    }
}

/// Polls a store once and applies the changes to its catalogue.
async fn poll_store(
    state: &GatewayState,
    name: &str,
    poller: &mut StorePoller,
) -> Result<(), CallFault> {
    let since = state
        .stores
        .borrow_mut()
        .catalogue(name)
        .map_or(0, |c| c.next());
    let sent_ms = boot_ms();
    let changes = poller.client.cache_events(since, LONG_POLL_TIME).await?;
    if let Some(clock_ms) = changes.clock_ms {
        state.note_runner_clock(clock_ms, boot_ms());
    }
    let needs_listing = {
        let mut registry = state.stores.borrow_mut();
        let Some(catalogue) = registry.catalogue(name) else {
            return Ok(());
        };
        let is_new = catalogue.epoch() != Some(changes.epoch);
        let (epoch, next, clock_ms) = (changes.epoch, changes.next, changes.clock_ms);
        let now_ms = boot_ms();
        let has_lost = !is_new && poller.finds_loss(since, &changes, now_ms);
        if has_lost {
            log::info!(target: "kept", store = name, since, next; "events of the store were lost; listing its parts");
        }
        let has_gap = changes.has_gap || has_lost;
        let events = part_events(changes);
        let gossip_changes = gossip_changes(&events);
        let gap = catalogue.apply(epoch, next, has_gap, events, now_ms);
        let age_ms = response_age_ms(state, clock_ms, sent_ms, now_ms);
        catalogue.note_response_time(age_ms, clock_ms);
        let store = name_hash(name);
        let gossip = CacheGossip {
            store,
            epoch,
            // Others cannot apply changes with a gap before them.
            since: if is_new || gap { next } else { since },
            next,
            changes: gossip_changes,
        };
        if state.peers.borrow().is_large(boot_ms()) {
            state.gossip.borrow_mut().push(gossip);
        }
        if is_new {
            log::info!(target: "kept", store = name, epoch, next; "store has a new epoch");
        }
        gap
    };
    if needs_listing {
        let listed = poller.client.list_cache().await?;
        let (epoch, next) = (listed.epoch, listed.next);
        let parts = listed.events.into_iter().map(kept_part).collect();
        if let Some(catalogue) = state.stores.borrow_mut().catalogue(name) {
            catalogue.replace(epoch, next, parts, boot_ms());
        }
    }
    Ok(())
}

/// Returns how long ago a store made a response that was read at `now_ms`, in milliseconds. It may
/// have waited while this process stood still. Without the store's clock, the response counts as
/// old as the call.
fn response_age_ms(state: &GatewayState, clock_ms: Option<u64>, sent_ms: u64, now_ms: u64) -> u64 {
    let call_ms = now_ms.saturating_sub(sent_ms);
    let made = clock_ms.zip(state.runner_clock.get().at(now_ms));
    let age_ms = made.map(|(made_ms, clock_ms)| clock_ms.saturating_sub(made_ms));
    age_ms.map_or(call_ms, |age_ms| age_ms.min(call_ms))
}

fn gossip_changes(events: &[PartEvent]) -> Vec<CacheChange> {
    let change = |event: &PartEvent| match event {
        PartEvent::Added(part) => (part.key.0, part.number, part.tokens, true),
        PartEvent::Removed(key) => (key.0, 0, 0, false),
    };
    events.iter().map(change).collect()
}

fn part_events(changes: CacheChanges) -> Vec<PartEvent> {
    let events = changes
        .events
        .into_iter()
        .map(|event| match event.is_added {
            true => PartEvent::Added(kept_part(event)),
            false => PartEvent::Removed(part_key(&event.scope, &event.part)),
        });
    events.collect()
}

fn kept_part(event: CacheEvent) -> KeptPart {
    KeptPart {
        key: part_key(&event.scope, &event.part),
        number: event.number,
        tokens: event.tokens,
        scope: event.scope,
        id: event.part,
    }
}
