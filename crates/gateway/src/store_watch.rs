//! Follows the object store: route table, runners, weights.
//!
//! Each kind is listed once, then watched from the listing's revision. A watch
//! whose history is gone leads to a new listing; one that was cut goes on from
//! its revision. What the store does not tell, because it is away or refuses
//! this instance, other instances pass on.
//!
//! A store that comes back from an older copy begins a new era. What is in force
//! stays in force until a newer version is told; runners that the copy lacks
//! have as long to register again as after an outage.

use crate::{
    clock::boot_ms,
    peer_bootstrap::{bootstrap_from_peers, pull_newer_table, LARGE_FLEET_ENTRIES},
    peer_link::pull_replica,
    peers::PeerHeartbeat,
    replica::{KindReplica, ReplicaChange, ReplicaRule},
    runner_registry::RunnerChange,
    state::GatewayState,
};
use berylmount_adapter::{
    objects::{decode_runner, decode_table, decode_weights, RUNNER_KIND, TABLE_KIND, WEIGHTS_KIND},
    store_client::{EraRevision, StoreFault, StoredObject, WatchOutcome},
};
use berylmount_policy::shared_duties::lot_of;
use berylmount_telemetry::CounterMetric;
use rand::{rng, RngExt};
use serde::{Deserialize, Serialize};
use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};
use strum::{Display, EnumCount, EnumIter, IntoEnumIterator};
use tokio::time::sleep;

/// Longest wait of one watch. A store that keeps the connection and says nothing
/// shows only when it ends.
const WATCH_WAIT: Duration = Duration::from_secs(5);
/// Time between two watches of what changes often, so that changes come in
/// batches: while a fleet starts, an instance does not know yet that it is large,
/// and a hundred runners register within seconds.
const BATCH_INTERVAL: Duration = Duration::from_millis(150);
/// Time between two watches of runners in a large fleet: a small part of the time
/// after which a leaving runner gets no new request.
const LARGE_BATCH_INTERVAL: Duration = Duration::from_millis(300);
/// Instances of a large fleet that watch a kind.
const WATCHERS: usize = 4;
/// Watching instances with contact below which others try as well.
const LEAST_WATCHERS: usize = 2;
/// How many of the others try at a time, on the mean over the whole fleet: while
/// the store is away all of them together must not call it more often.
const SUBSTITUTES: f64 = 4.0;
/// Instances that watch a kind while they have not heard each other yet, on the mean.
const FIRST_WATCHERS: f64 = 6.0;
/// How long one of the others goes on watching once the store has answered it, in
/// milliseconds.
const SUBSTITUTE_MS: u64 = 3000;
/// Time from its start until a process has heard the others, in milliseconds.
const SETTLE_MS: u64 = 2500;
/// How often the others look whether they should watch.
const OTHERS_INTERVAL: Duration = Duration::from_millis(300);
/// Wait of the first watch after contact was lost.
const FIRST_WAIT: Duration = Duration::from_millis(200);
/// First wait after a failed call.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// Longest wait after failed calls: new tables must be in force within two seconds.
const MOST_BACKOFF: Duration = Duration::from_millis(600);
/// Time after the store was away in which a deletion may be a lapsed entry, in
/// milliseconds.
const AFTER_OUTAGE_MS: u64 = 3000;
/// Time between two looks at the runners.
const TEND_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two looks whether another instance knows more.
const PULL_INTERVAL: Duration = Duration::from_millis(100);

/// A kind of object that is followed.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, EnumCount, EnumIter, Eq, PartialEq, Serialize,
)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum WatchedKind {
    /// The route table.
    Table,
    /// Runners' entries.
    Runners,
    /// Named weights.
    Weights,
}

impl WatchedKind {
    /// All kinds, in the order of their index.
    pub(crate) const ALL: [Self; Self::COUNT] = [Self::Table, Self::Runners, Self::Weights];

    /// What a later revision of an object of this kind may do.
    pub(crate) fn rule(self) -> ReplicaRule {
        match self {
            Self::Table | Self::Weights => ReplicaRule::HighestVersion,
            Self::Runners => ReplicaRule::Latest,
        }
    }

    fn store_kind(self) -> &'static str {
        match self {
            Self::Table => TABLE_KIND,
            Self::Runners => RUNNER_KIND,
            Self::Weights => WEIGHTS_KIND,
        }
    }
}

/// Contact with the store, for one kind.
#[derive(Debug, Default)]
pub(crate) struct StoreContact {
    /// When contact was lost; 0 while there is contact.
    lost_at_ms: Cell<u64>,
    /// When contact was last regained.
    back_at_ms: Cell<u64>,
    /// Until when this instance watches in place of those that should.
    substitute_until_ms: Cell<u64>,
}

impl StoreContact {
    /// For how long the store has not answered, in milliseconds.
    pub(crate) fn outage_ms(&self, now_ms: u64) -> u64 {
        match self.lost_at_ms.get() {
            0 => 0,
            lost_at_ms => now_ms.saturating_sub(lost_at_ms),
        }
    }

    /// Whether a missing entry may have lapsed only because the store was away.
    fn may_have_lapsed(&self, now_ms: u64) -> bool {
        let back_at_ms = self.back_at_ms.get();
        let is_fresh = back_at_ms > 0 && now_ms.saturating_sub(back_at_ms) < AFTER_OUTAGE_MS;
        self.lost_at_ms.get() > 0 || is_fresh
    }
}

/// Follows one kind until the process ends.
pub(crate) async fn watch_kind(state: Rc<GatewayState>, kind: WatchedKind) {
    let mut follower = KindFollower {
        state,
        kind,
        needs_listing: false,
        backoff: FIRST_BACKOFF,
    };
    let mut must_list = bootstrap_from_peers(&follower.state, kind).await;
    loop {
        if !must_list && !is_watcher(&follower.state, kind) && !follower.draws_lot() {
            sleep(OTHERS_INTERVAL).await;
            continue;
        }
        match follower.step().await {
            Ok(()) => {
                must_list = false;
                follower.note_contact();
                follower.stay_substitute();
            }
            Err(fault) => follower.note_fault(&fault).await,
        }
    }
}

/// Whether this instance watches a kind itself. In a large fleet a few do, as
/// long as enough of them have contact with the store.
pub(crate) fn is_watcher(state: &GatewayState, kind: WatchedKind) -> bool {
    let now_ms = boot_ms();
    let peers = state.peers.borrow();
    let listed = state.instances.borrow().entries().len();
    let is_young = now_ms < state.started_boot_ms + SETTLE_MS;
    let is_large = peers.is_large(now_ms) || (is_young && listed > LARGE_FLEET_ENTRIES);
    if !is_large {
        return true;
    }
    if is_young {
        return is_first_watcher(state, kind);
    }
    let is_substitute = now_ms < state.contacts[kind as usize].substitute_until_ms.get();
    is_substitute || state.election_rank(kind.store_kind(), now_ms) < WATCHERS
}

/// Whether an instance that has not heard the others yet watches a kind, by a lot
/// that is always the same for it.
fn is_first_watcher(state: &GatewayState, kind: WatchedKind) -> bool {
    let lot = lot_of(&state.settings().name, kind.store_kind());
    lot * state.instance_count() as f64 <= FIRST_WATCHERS
}

/// Whether too few of those that should watch a kind have contact with the store.
fn lacks_watchers(state: &GatewayState, kind: WatchedKind, now_ms: u64) -> bool {
    state.peers.borrow().in_contact(kind, now_ms) < LEAST_WATCHERS
}

/// Whether this instance watches a kind and the store answers.
pub(crate) fn has_contact(state: &GatewayState, kind: WatchedKind) -> bool {
    let is_known = state.replicas.borrow()[kind as usize].is_synced();
    let is_lost = state.contacts[kind as usize].lost_at_ms.get() > 0;
    is_known && !is_lost && is_watcher(state, kind)
}

struct KindFollower {
    state: Rc<GatewayState>,
    kind: WatchedKind,
    needs_listing: bool,
    backoff: Duration,
}

impl KindFollower {
    async fn step(&mut self) -> Result<(), StoreFault> {
        let kind = self.kind.store_kind();
        if self.needs_listing || !self.replica(|replica| replica.is_synced()) {
            let listing = self.state.store.list(kind, false).await?;
            self.needs_listing = false;
            let known = self.replica(|replica| replica.revision());
            let mut changes = self.replica(|replica| replica.apply_listing(&listing));
            self.note_contact();
            note_era(&self.state, self.kind, known, listing.revision);
            if self.kind == WatchedKind::Table && known == EraRevision::default() {
                changes.extend(pull_newer_table(&self.state).await);
            }
            apply_changes(&self.state, self.kind, &changes);
            return Ok(());
        }
        let revision = self.replica(|replica| replica.revision());
        let wait = match self.state.contacts[self.kind as usize].lost_at_ms.get() {
            0 => WATCH_WAIT,
            // An answer soon shows that the store is back; a long wait would hide it.
            _ => FIRST_WAIT,
        };
        match self.state.store.watch(kind, revision, wait).await? {
            WatchOutcome::Changes(told, revision) => {
                // Contact regained by this answer counts as just regained.
                self.note_contact();
                let changes = self.replica(|replica| replica.apply_watch(&told, revision));
                apply_changes(&self.state, self.kind, &changes);
                let is_large = self.state.peers.borrow().is_large(boot_ms());
                match (self.kind, is_large) {
                    (WatchedKind::Runners, true) => sleep(LARGE_BATCH_INTERVAL).await,
                    (WatchedKind::Runners, false) | (_, true) => sleep(BATCH_INTERVAL).await,
                    (_, false) => {}
                }
            }
            WatchOutcome::HistoryGone => {
                log::info!(target: "follow", kind:% = self.kind, revision:%; "history gone, listing");
                self.needs_listing = true;
                // All instances lose their history at the same moment.
                sleep(FIRST_BACKOFF.mul_f64(rng().random_range(0.0..1.0))).await;
            }
        }
        Ok(())
    }

    /// Whether this instance, which need not watch, tries in place of others now.
    fn draws_lot(&self) -> bool {
        let now_ms = boot_ms();
        let live = self.state.peers.borrow().live_count(now_ms).max(1);
        let chance = (SUBSTITUTES / live as f64).min(1.0);
        lacks_watchers(&self.state, self.kind, now_ms) && rng().random_bool(chance)
    }

    /// Goes on watching in place of others while they lack contact.
    fn stay_substitute(&self) {
        let now_ms = boot_ms();
        let is_chosen = self.state.election_rank(self.kind.store_kind(), now_ms) < WATCHERS;
        if !is_chosen && lacks_watchers(&self.state, self.kind, now_ms) {
            let contact = &self.state.contacts[self.kind as usize];
            contact.substitute_until_ms.set(now_ms + SUBSTITUTE_MS);
        }
    }

    fn replica<R>(&self, act: impl FnOnce(&mut KindReplica) -> R) -> R {
        act(&mut self.state.replicas.borrow_mut()[self.kind as usize])
    }

    fn note_contact(&mut self) {
        self.backoff = FIRST_BACKOFF;
        let contact = &self.state.contacts[self.kind as usize];
        let lost_at_ms = contact.lost_at_ms.replace(0);
        if lost_at_ms > 0 {
            let now_ms = boot_ms();
            contact.back_at_ms.set(now_ms);
            let away_ms = now_ms.saturating_sub(lost_at_ms);
            log::info!(target: "follow", kind:% = self.kind, away_ms; "store is back");
        }
    }

    async fn note_fault(&mut self, fault: &StoreFault) {
        let contact = &self.state.contacts[self.kind as usize];
        if contact.lost_at_ms.get() == 0 {
            contact.lost_at_ms.set(boot_ms());
            log::warn!(target: "follow", kind:% = self.kind, fault:% ; "store lost");
        }
        if matches!(fault, StoreFault::Malformed(_)) {
            log::error!(target: "follow", kind:% = self.kind, fault:% ; "listing again");
            self.needs_listing = true;
        }
        let wait = self.backoff.mul_f64(rng().random_range(0.5..1.0));
        self.backoff = (self.backoff * 2).min(MOST_BACKOFF);
        sleep(wait).await;
    }
}

/// Pulls from other instances what the store did not tell this one.
pub(crate) async fn pull_from_peers(state: Rc<GatewayState>) {
    loop {
        sleep(PULL_INTERVAL).await;
        for kind in WatchedKind::iter() {
            let Some((peer, address, since)) = peer_ahead(&state, kind) else {
                continue;
            };
            match pull_replica(address, kind, since).await {
                Ok(delta) => {
                    let revision = delta.revision;
                    let known = state.replicas.borrow()[kind as usize].revision();
                    let changes = {
                        let mut replicas = state.replicas.borrow_mut();
                        replicas[kind as usize].apply_delta(&delta)
                    };
                    note_era(&state, kind, known, revision);
                    if !changes.is_empty() {
                        let count = changes.len();
                        log::info!(
                            target: "follow",
                            kind:%, peer, since:%, revision:%, count;
                            "changes taken from another instance"
                        );
                    }
                    apply_changes(&state, kind, &changes);
                }
                Err(fault) => {
                    log::warn!(target: "follow", kind:%, peer, fault:% ; "no changes from peer")
                }
            }
        }
    }
}

/// Another instance that knows more of a kind, with its address and the revision
/// from which on to ask it: a later revision, or a higher version than the store
/// has told since it came back from an older copy.
fn peer_ahead(
    state: &GatewayState,
    kind: WatchedKind,
) -> Option<(String, SocketAddr, EraRevision)> {
    let (peers, now_ms) = (state.peers.borrow(), boot_ms());
    let known = state.replicas.borrow()[kind as usize].revision();
    let is_later = |heartbeat: &PeerHeartbeat| heartbeat.changed_at[kind as usize] > known;
    if let Some((name, address)) = peers.choose_peer_ahead(now_ms, is_later) {
        return Some((name, address, known));
    }
    let (name, address) = match kind {
        WatchedKind::Runners => None,
        WatchedKind::Table => {
            let version = state.table().map_or(0, |table| table.version);
            peers.choose_peer_ahead(now_ms, |heartbeat| heartbeat.table_version > version)
        }
        WatchedKind::Weights => {
            let is_higher = |(model, version, _): &(String, u64, u64)| {
                let known = state.goal_of(model);
                known.is_none_or(|known| known.goal.version < *version)
            };
            peers.choose_peer_ahead(now_ms, |heartbeat| heartbeat.goals.iter().any(is_higher))
        }
    }?;
    Some((name, address, EraRevision::default()))
}

/// Notes that a kind is known in a new era of the store.
fn note_era(state: &GatewayState, kind: WatchedKind, known: EraRevision, revision: EraRevision) {
    if revision.era <= known.era || known == EraRevision::default() {
        return;
    }
    state.contacts[kind as usize].back_at_ms.set(boot_ms());
    if kind == WatchedKind::Runners {
        state.runners.borrow_mut().note_era(revision.era);
    }
    if kind == WatchedKind::Table {
        // Once for all kinds.
        state.metrics.add(CounterMetric::StoreErasTotal, "", 1);
    }
    let table = state.table().map_or(0, |table| table.version);
    let runners = state.runners.borrow().all().len();
    log::warn!(
        target: "follow",
        kind:%, before:% = known, revision:%, table, runners;
        "the store came back from an older copy; what is in force stays"
    );
}

/// Brings changes of a copy into force.
pub(crate) fn apply_changes(state: &GatewayState, kind: WatchedKind, changes: &[ReplicaChange]) {
    if !changes.is_empty() && is_watcher(state, kind) {
        // Those that don't watch learn of it by the next heartbeat.
        state.is_heartbeat_due.set(true);
    }
    for change in changes {
        match (kind, change) {
            (WatchedKind::Table, ReplicaChange::Updated(object)) => apply_table(state, object),
            (WatchedKind::Runners, ReplicaChange::Updated(object)) => apply_runner(state, object),
            (WatchedKind::Weights, ReplicaChange::Updated(object)) => apply_goal(state, object),
            (WatchedKind::Runners, ReplicaChange::Deleted(name)) => remove_runner(state, name),
            (_, ReplicaChange::Deleted(name) | ReplicaChange::Retained(name)) => {
                log::warn!(target: "follow", kind:%, name; "a lower version or none was told: the last one holds");
            }
        }
    }
}

fn apply_table(state: &GatewayState, object: &StoredObject) {
    let revision = object.revision.to_string();
    match decode_table(&object.spec) {
        Ok(table) => {
            let version = table.version;
            if state.apply_table(table) {
                log::info!(target: "follow", version, revision; "table in force");
            }
        }
        Err(fault) => log::error!(target: "follow", revision, fault:% ; "table not usable"),
    }
}

fn apply_runner(state: &GatewayState, object: &StoredObject) {
    let (runner, revision) = (object.name.as_str(), object.revision.to_string());
    match decode_runner(runner, &object.spec) {
        Ok(record) => {
            let runner_state = record.state;
            let now_ms = boot_ms();
            let change = state
                .runners
                .borrow_mut()
                .upsert(record, object.revision, now_ms);
            if let Some(change) = change {
                log::info!(
                    target: "follow",
                    runner, revision, change:%, state:% = runner_state;
                    "runner changed"
                );
            }
        }
        Err(fault) => {
            log::warn!(target: "follow", runner, revision, fault:% ; "entry left out");
            // An entry that can't be read names no runner to use.
            state.runners.borrow_mut().remove(runner);
        }
    }
}

fn apply_goal(state: &GatewayState, object: &StoredObject) {
    let (name, revision) = (object.name.as_str(), object.revision.to_string());
    match decode_weights(&object.spec) {
        Ok(goal) => {
            let (model, version) = (goal.model.clone(), goal.version);
            if state.apply_goal(goal) {
                log::info!(target: "follow", model, version, revision; "weights named");
            }
        }
        Err(fault) => log::error!(target: "follow", name, fault:% ; "weights not usable"),
    }
}

fn remove_runner(state: &GatewayState, runner: &str) {
    let now_ms = boot_ms();
    let contact = &state.contacts[WatchedKind::Runners as usize];
    let mut runners = state.runners.borrow_mut();
    let change: Option<RunnerChange> = match contact.may_have_lapsed(now_ms) {
        true => runners.note_missing(runner, now_ms),
        false => runners.remove(runner),
    };
    if let Some(change) = change {
        log::info!(target: "follow", runner, change:% ; "runner's entry is gone");
    }
}

/// Takes out runners that stayed missing, and closes connections that are too old.
pub(crate) async fn expire_runners(state: Rc<GatewayState>) {
    loop {
        sleep(TEND_INTERVAL).await;
        let now_ms = boot_ms();
        let lost = state.runners.borrow_mut().expire_missing(now_ms);
        for runner in lost {
            log::info!(target: "follow", runner; "runner did not come back");
        }
        for runner in state.runners.borrow().clear_suspects(now_ms) {
            log::info!(target: "follow", runner; "runner's entry stays: it is used again");
        }
        for runner in state.runners.borrow().all() {
            runner.close_stale_connections(now_ms);
        }
    }
}
