//! Follows stores: asks them itself, or hears from the instances that do.

use super::part_key;
use crate::{
    clock::boot_ms,
    peer_link::pull_store,
    peers::{spoken_key, KeptChange, KeptGossip},
    state::GatewayState,
};
use berylmount_adapter::runner_calls::{CacheChanges, CacheEvent, CallFault, RunnerClient};
use berylmount_policy::prefix_cache::{KeptPart, PartEvent, PartKey, StoreCatalogue};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::{task::spawn_local, time::sleep};

/// Longest wait of one call for changes; the most that stores allow.
const WAIT: Duration = Duration::from_millis(1000);
/// Time between two calls, so that changes come in batches.
const PACE: Duration = Duration::from_millis(120);
/// Time between two tries at a store that does not answer.
const RETRY: Duration = Duration::from_millis(300);
/// How often the stores of a new table are looked up.
const TABLE_CHECK: Duration = Duration::from_millis(300);
/// Instances of a large fleet that ask one store.
const FOLLOWERS: usize = 2;

/// What one instance knows of a store, for another that does not follow it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct StoreSnapshot {
    pub(super) epoch: u64,
    pub(super) next: u64,
    /// Key of the part, number of its event, tokens.
    pub(super) parts: Vec<(u64, u64, u32)>,
}

/// Takes what a follower of a store passes on. Without the changes before, the
/// follower is asked for all.
pub(crate) fn hear_gossip(state: &Rc<GatewayState>, peer: &str, told: &KeptGossip) {
    let name = {
        let mut book = state.stores.borrow_mut();
        let Some(known) = book.stores.iter_mut().find(|known| known.key == told.store) else {
            return;
        };
        if known.is_followed {
            return;
        }
        let catalogue = &mut known.catalogue;
        let has_before = catalogue.epoch() == Some(told.epoch) && catalogue.next() >= told.since;
        if has_before {
            if told.next >= catalogue.next() {
                let events = told.changes.iter().map(gossip_event).collect();
                catalogue.apply(told.epoch, told.next, false, events, boot_ms());
            }
            return;
        }
        if known.is_pulling {
            return;
        }
        known.is_pulling = true;
        known.name.clone()
    };
    let address = state.peers.borrow().address_of(peer);
    let (state, store) = (state.clone(), told.store);
    spawn_local(async move { take_snapshot(&state, &name, store, address).await });
}

/// Asks a follower for all that a store keeps.
async fn take_snapshot(state: &GatewayState, name: &str, store: u64, address: Option<SocketAddr>) {
    let snapshot = match address {
        Some(address) => pull_store(address, store).await,
        None => Ok(None),
    };
    let mut book = state.stores.borrow_mut();
    let Some(index) = book.find(name) else { return };
    let known = &mut book.stores[index];
    known.is_pulling = false;
    match snapshot {
        Ok(Some(snapshot)) if !known.is_followed => {
            let changes = snapshot.parts.iter();
            let changes = changes.map(|(key, number, tokens)| (*key, *number, *tokens, true));
            let events = changes.map(|change| gossip_event(&change)).collect();
            known.catalogue = StoreCatalogue::default();
            let (epoch, next) = (snapshot.epoch, snapshot.next);
            known.catalogue.apply(epoch, next, false, events, boot_ms());
        }
        Ok(_) => {}
        Err(fault) => log::warn!(target: "kept", store = name, fault:% ; "no snapshot from peer"),
    }
}

/// A change as a catalogue takes it. Only followers know scope and id as the
/// store spells them, which is enough: only followers free parts.
fn gossip_event(change: &KeptChange) -> PartEvent {
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

/// Whether this instance asks a store itself. In a large fleet two do, and the
/// holder of the duty, which frees parts; they tell the others.
fn is_follower(state: &GatewayState, name: &str) -> bool {
    let now_ms = boot_ms();
    let peers = state.peers.borrow();
    if !peers.is_large(now_ms) || state.duty_notice.borrow().is_some() {
        return true;
    }
    state.duty_rank(name, now_ms) < FOLLOWERS
}

/// Follows the stores of the route table in force.
pub(crate) async fn follow_stores(state: Rc<GatewayState>) {
    let mut version = None;
    loop {
        if let Some(table) = state.table().filter(|table| Some(table.version) != version) {
            version = Some(table.version);
            let added = state.stores.borrow_mut().take_table(&table);
            for name in added {
                spawn_local(follow_store(state.clone(), name));
            }
        }
        sleep(TABLE_CHECK).await;
    }
}

/// Follows one store until no table names it at this address.
async fn follow_store(state: Rc<GatewayState>, name: String) {
    let address = |state: &GatewayState| {
        let book = state.stores.borrow();
        book.find(&name)
            .map(|index| book.stores[index].store.address)
    };
    let Some(first) = address(&state) else { return };
    let mut client = RunnerClient::new(first);
    let mut was_lost = false;
    let mut was_follower = false;
    while address(&state) == Some(first) {
        let is_follower = is_follower(&state, &name);
        state
            .stores
            .borrow_mut()
            .set_followed(&name, is_follower, was_follower);
        was_follower = is_follower;
        if !is_follower {
            sleep(TABLE_CHECK).await;
            continue;
        }
        match step_store(&state, &name, &mut client).await {
            Ok(()) => {
                if was_lost {
                    log::info!(target: "kept", store = name; "store is back");
                }
                was_lost = false;
                sleep(PACE).await;
            }
            Err(fault) => {
                if !was_lost {
                    log::warn!(target: "kept", store = name, fault:% ; "store lost");
                }
                was_lost = true;
                if let Some(catalogue) = state.stores.borrow_mut().catalogue(&name) {
                    catalogue.note_lost();
                }
                sleep(RETRY).await;
            }
        }
    }
}

/// Brings one answer of a store into its catalogue.
async fn step_store(
    state: &GatewayState,
    name: &str,
    client: &mut RunnerClient,
) -> Result<(), CallFault> {
    let since = state
        .stores
        .borrow_mut()
        .catalogue(name)
        .map_or(0, |c| c.next());
    let changes = client.cache_events(since, WAIT).await?;
    if let Some(clock_ms) = changes.clock_ms {
        state.note_runner_clock(clock_ms, boot_ms());
    }
    let needs_list = {
        let mut book = state.stores.borrow_mut();
        let Some(catalogue) = book.catalogue(name) else {
            return Ok(());
        };
        let is_new = catalogue.epoch() != Some(changes.epoch);
        let (epoch, next, has_gap) = (changes.epoch, changes.next, changes.has_gap);
        let events = part_events(changes);
        let told = gossip_changes(&events);
        let gap = catalogue.apply(epoch, next, has_gap, events, boot_ms());
        let store = spoken_key(name);
        let gossip = KeptGossip {
            store,
            epoch,
            since: if is_new { next } else { since },
            next,
            changes: told,
        };
        if state.peers.borrow().is_large(boot_ms()) {
            state.gossip.borrow_mut().push(gossip);
        }
        if is_new {
            log::info!(target: "kept", store = name, epoch, next; "store's memory is new");
        }
        // Events from before a restart were asked for, so the new ones may be missing.
        gap || (is_new && since > 0)
    };
    if needs_list {
        let listed = client.list_cache().await?;
        let (epoch, next) = (listed.epoch, listed.next);
        let parts = listed.events.into_iter().map(kept_part).collect();
        if let Some(catalogue) = state.stores.borrow_mut().catalogue(name) {
            catalogue.replace(epoch, next, parts, boot_ms());
        }
    }
    Ok(())
}

fn gossip_changes(events: &[PartEvent]) -> Vec<KeptChange> {
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
