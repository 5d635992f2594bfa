//! Watches the object store for the route table, the runners and the weights.
//!
//! Each kind is listed once and then watched from the revision of the listing. If the
//! store no longer has the history since that revision, the kind is listed again. A
//! watch that was interrupted resumes from its revision. While the store is unreachable
//! or rejects the calls of this instance, changes are pulled from other instances.
//!
//! A store that was restored from an older backup starts a new era. Revisions are
//! ordered by era first. The table and the weights in force stay in force until a newer
//! version is received. Runners that are missing in the backup get the same time to
//! register again as after an outage.

use crate::{
    clock::boot_ms,
    cold_runners::{note_start, note_starts},
    evacuations,
    peer_bootstrap::{bootstrap_from_peers, pull_newer_table, LARGE_FLEET_ENTRIES},
    peer_link::{pull_replica, PullFault},
    replica::{KindReplica, ReplicaChange, ReplicaRule},
    runner_registry::RunnerChange,
    state::GatewayState,
};
use berylmount_adapter::{
    objects::{
        decode_runner, decode_table, decode_weights, EVACUATION_KIND, RUNNER_KIND, TABLE_KIND,
        WEIGHTS_KIND,
    },
    store_client::{EraRevision, StoreFault, StoredObject, WatchOutcome},
};
use berylmount_policy::shared_duties::duty_score;
use berylmount_telemetry::CounterMetric;
use rand::{rng, RngExt};
use serde::{Deserialize, Serialize};
use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};
use strum::{Display, EnumCount, EnumIter};
use tokio::time::sleep;

/// Longest wait of one watch. A connection that has gone silent is detected only when this
/// wait and the time limit for the response end, together 2.7 s. The platform excuses an
/// instance for 3 s.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1200);
/// Longest wait of one watch in a large fleet, where the other instances learn of changes
/// from the watchers afterwards.
const LARGE_WATCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of watches within the time limit for evacuations, so that one on a connection that has
/// gone silent is followed by another.
const EVACUATE_WATCHES: u32 = 4;
/// Time between two watches of kinds that change often, so that changes arrive in
/// batches. While a fleet starts, an instance does not know yet that the fleet is large,
/// and a hundred runners register within seconds.
const BATCH_INTERVAL: Duration = Duration::from_millis(150);
/// Time between two watches of runners in a large fleet. This is a small part of the
/// time after which a draining runner must get no new requests.
const LARGE_BATCH_INTERVAL: Duration = Duration::from_millis(300);
/// Number of instances in a large fleet that are elected to watch a kind.
const ELECTED_WATCHERS: usize = 4;
/// Number of watchers that reach the store below which other instances try to watch
/// as well.
const MIN_CONNECTED_WATCHERS: usize = 2;
/// Expected number of instances, over the whole fleet, that try to watch as substitutes
/// at a time. It bounds the rate of calls while the store is unreachable.
const EXPECTED_SUBSTITUTES: f64 = 4.0;
/// Expected number of instances that watch a kind during discovery, before they have
/// received each other's heartbeats.
const EXPECTED_FIRST_WATCHERS: f64 = 6.0;
/// How long a substitute continues to watch after a response from the store, in
/// milliseconds.
const SUBSTITUTE_MS: u64 = 3000;
/// Duration of discovery: the time after its start within which a process receives
/// heartbeats from all other instances, in milliseconds.
const DISCOVERY_MS: u64 = 2500;
/// Time between two checks whether an instance that does not watch should.
const NON_WATCHER_INTERVAL: Duration = Duration::from_millis(300);
/// Longest wait of one watch while the store is unavailable.
const RECONNECT_WATCH_TIMEOUT: Duration = Duration::from_millis(200);
/// Backoff after the first failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Longest backoff after failed calls. New tables must be in force within two seconds.
const MAX_BACKOFF: Duration = Duration::from_millis(600);
/// Time after an outage of the store, in milliseconds. An entry that is deleted within
/// it may have expired only because of the outage.
const OUTAGE_GRACE_MS: u64 = 3000;
/// Time between two checks for runners and connections that have expired.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two checks whether another instance has newer objects.
const PULL_INTERVAL: Duration = Duration::from_millis(100);

/// A kind of object that is watched.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, EnumCount, EnumIter, Eq, PartialEq, Serialize,
)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum WatchedKind {
    /// The route table.
    Table,
    /// Runners' entries.
    Runners,
    /// Requested versions of weights.
    Weights,
    /// Data centres to evacuate. Only where the settings allow evacuations.
    Evacuations,
}

impl WatchedKind {
    /// All kinds, ordered by index.
    pub(crate) const ALL: [Self; Self::COUNT] =
        [Self::Table, Self::Runners, Self::Weights, Self::Evacuations];

    /// Returns the rule by which objects of this kind are merged.
    pub(crate) fn rule(self) -> ReplicaRule {
        match self {
            Self::Table | Self::Weights => ReplicaRule::HighestVersion,
            Self::Runners | Self::Evacuations => ReplicaRule::Latest,
        }
    }

    fn store_kind(self) -> &'static str {
        match self {
            Self::Table => TABLE_KIND,
            Self::Runners => RUNNER_KIND,
            Self::Weights => WEIGHTS_KIND,
            Self::Evacuations => EVACUATION_KIND,
        }
    }

    /// Whether the kind exists in this deployment.
    fn is_enabled(self, state: &GatewayState) -> bool {
        match self {
            Self::Table | Self::Runners | Self::Weights => true,
            Self::Evacuations => evacuations::is_enabled(state),
        }
    }
}

/// Availability of the store as seen by the calls for one kind. Times are of the boot
/// clock, in milliseconds.
#[derive(Debug, Default)]
pub(crate) struct StoreAvailability {
    /// When the store became unavailable; 0 while it is available.
    unavailable_since_ms: Cell<u64>,
    /// When the store last became available again.
    recovered_at_ms: Cell<u64>,
    /// Until when the replica surely contains everything, by the boot clock; 0 before the
    /// first response.
    synced_at_ms: Cell<u64>,
    /// Until when this instance watches as a substitute for the elected watchers.
    substitute_until_ms: Cell<u64>,
}

impl StoreAvailability {
    /// Returns how long the store has been unavailable, in milliseconds.
    pub(crate) fn outage_ms(&self, now_ms: u64) -> u64 {
        match self.unavailable_since_ms.get() {
            0 => 0,
            unavailable_since_ms => now_ms.saturating_sub(unavailable_since_ms),
        }
    }

    /// Returns a time at which the store surely held nothing newer than the replica; `None`
    /// if there is none.
    fn synced_at_ms(&self) -> Option<u64> {
        let at_ms = self.synced_at_ms.get();
        (at_ms > 0).then_some(at_ms)
    }

    /// Whether a missing entry may have expired only because of an outage of the store.
    fn may_have_expired(&self, now_ms: u64) -> bool {
        let recovered_at_ms = self.recovered_at_ms.get();
        let is_in_grace =
            recovered_at_ms > 0 && now_ms.saturating_sub(recovered_at_ms) < OUTAGE_GRACE_MS;
        self.unavailable_since_ms.get() > 0 || is_in_grace
    }
}

/// Watches one kind until the process ends.
pub(crate) async fn watch_kind(state: Rc<GatewayState>, kind: WatchedKind) {
    let mut watcher = KindWatcher {
        state,
        kind,
        needs_listing: false,
        listed_moves: 0,
        backoff: INITIAL_BACKOFF,
    };
    // The settings may be reloaded.
    while !kind.is_enabled(&watcher.state) {
        sleep(NON_WATCHER_INTERVAL).await;
    }
    let mut must_list = bootstrap_from_peers(&watcher.state, kind).await;
    loop {
        if !must_list && !is_watcher(&watcher.state, kind) && !watcher.tries_as_substitute() {
            sleep(NON_WATCHER_INTERVAL).await;
            continue;
        }
        let moves = watcher.state.store.source().moves;
        match watcher.step().await {
            Ok(()) => {
                must_list = false;
                watcher.note_available();
                watcher.extend_substitution();
            }
            // The call ended because the address of the store changed.
            Err(_) if watcher.state.store.source().moves != moves => {}
            Err(fault) => watcher.note_fault(&fault).await,
        }
    }
}

/// Whether this instance watches a kind itself. In a large fleet only a few instances
/// do, as long as enough of them reach the store.
pub(crate) fn is_watcher(state: &GatewayState, kind: WatchedKind) -> bool {
    let now_ms = boot_ms();
    let peers = state.peers.borrow();
    let listed = state.instances.borrow().entries().len();
    let is_discovering = now_ms < state.started_boot_ms + DISCOVERY_MS;
    let is_large = peers.is_large(now_ms) || (is_discovering && listed > LARGE_FLEET_ENTRIES);
    if !is_large {
        return true;
    }
    if is_discovering {
        return is_first_watcher(state, kind);
    }
    let is_substitute = now_ms
        < state.store_availability[kind as usize]
            .substitute_until_ms
            .get();
    is_substitute || state.election_rank(kind.store_kind(), now_ms) < ELECTED_WATCHERS
}

/// Whether this instance watches a kind during discovery. The result is always the same
/// for an instance, a kind and a fleet size.
fn is_first_watcher(state: &GatewayState, kind: WatchedKind) -> bool {
    let score = duty_score(&state.settings().name, kind.store_kind());
    score * state.instance_count() as f64 <= EXPECTED_FIRST_WATCHERS
}

/// Whether too few live instances watch a kind and reach the store.
fn lacks_watchers(state: &GatewayState, kind: WatchedKind, now_ms: u64) -> bool {
    state.peers.borrow().connected_watchers(kind, now_ms) < MIN_CONNECTED_WATCHERS
}

/// Whether this instance watches a kind and the store is available to it.
pub(crate) fn is_connected_watcher(state: &GatewayState, kind: WatchedKind) -> bool {
    let is_synced = state.replicas.borrow()[kind as usize].is_synced();
    let is_unavailable = state.store_availability[kind as usize]
        .unavailable_since_ms
        .get()
        > 0;
    is_synced && !is_unavailable && is_watcher(state, kind)
}

/// Lists and watches one kind.
struct KindWatcher {
    state: Rc<GatewayState>,
    kind: WatchedKind,
    /// Whether the next call must list the kind because a watch cannot resume.
    needs_listing: bool,
    /// Number of times that the address of the store had changed before the last listing.
    listed_moves: u64,
    backoff: Duration,
}

impl KindWatcher {
    /// Makes one list or watch call and applies its result.
    async fn step(&mut self) -> Result<(), StoreFault> {
        let kind = self.kind.store_kind();
        let sent_ms = boot_ms();
        let moves = self.state.store.source().moves;
        let is_moved = moves != self.listed_moves;
        if self.needs_listing || is_moved || !self.replica(|replica| replica.is_synced()) {
            let before = self.replica(|replica| replica.revision());
            let listing = self.state.store.list(kind, false).await?;
            self.needs_listing = false;
            self.listed_moves = moves;
            let known = self.replica(|replica| replica.revision());
            // The replica may also have the revision of an instance that uses another address.
            let is_behind =
                moves > 0 && listing.revision.era == before.era && listing.revision < before;
            let mut changes = self.replica(|replica| match is_moved || is_behind {
                true => replica.apply_moved_listing(&listing),
                false => replica.apply_listing(&listing),
            });
            self.note_available();
            if is_moved {
                log::info!(target: "follow", kind:% = self.kind, before:%, revision:% = listing.revision, changes = changes.len(); "listed from the new address of the store");
            }
            if is_behind {
                self.note_behind();
            }
            note_era(&self.state, self.kind, known, listing.revision);
            if self.kind == WatchedKind::Table && known == EraRevision::default() {
                changes.extend(pull_newer_table(&self.state).await);
            }
            apply_changes(&self.state, self.kind, &changes);
            self.note_synced(sent_ms);
            return Ok(());
        }
        let revision = self.replica(|replica| replica.revision());
        let availability = &self.state.store_availability[self.kind as usize];
        let is_large = self.state.peers.borrow().is_large(boot_ms());
        let wait = match availability.unavailable_since_ms.get() {
            0 if is_large => self.large_watch_timeout(),
            0 => WATCH_TIMEOUT,
            // An available store responds at the end of the wait at the latest, so a short
            // wait detects sooner that it is available again.
            _ => RECONNECT_WATCH_TIMEOUT,
        };
        match self.state.store.watch(kind, revision, wait).await? {
            WatchOutcome::Changes(events, revision) => {
                // Must precede `apply_changes`, which handles deletions by the time since the
                // store became available again.
                self.note_available();
                let known = self.replica(|replica| replica.revision());
                self.needs_listing = moves > 0 && revision < known && revision.era == known.era;
                let changes = self.replica(|replica| replica.apply_watch(&events, revision));
                apply_changes(&self.state, self.kind, &changes);
                // The store sends a response without changes only at the end of the wait.
                let wait_ms = wait.as_millis() as u64;
                let has_waited = events.is_empty() && boot_ms() >= sent_ms + wait_ms;
                self.note_synced(sent_ms + if has_waited { wait_ms } else { 0 });
                match (self.kind, is_large) {
                    _ if changes.is_empty() => {}
                    (WatchedKind::Runners, true) => sleep(LARGE_BATCH_INTERVAL).await,
                    (WatchedKind::Runners, false) | (_, true) => sleep(BATCH_INTERVAL).await,
                    (_, false) => {}
                }
            }
            WatchOutcome::HistoryGone => {
                log::info!(target: "follow", kind:% = self.kind, revision:%; "the store no longer has the history, listing again");
                self.needs_listing = true;
                // Jitter, because the watches of all instances fail at the same moment when the
                // store discards its history.
                sleep(INITIAL_BACKOFF.mul_f64(rng().random_range(0.0..1.0))).await;
            }
        }
        Ok(())
    }

    /// Returns the longest wait of one watch in a large fleet.
    fn large_watch_timeout(&self) -> Duration {
        let evacuate = self.state.settings().bounds.evacuate;
        match (self.kind, evacuate) {
            (WatchedKind::Evacuations, Some(evacuate)) => {
                (evacuate / EVACUATE_WATCHES).clamp(LARGE_WATCH_TIMEOUT, WATCH_TIMEOUT)
            }
            _ => LARGE_WATCH_TIMEOUT,
        }
    }

    /// Records that the replica contains everything up to a time.
    fn note_synced(&self, at_ms: u64) {
        let availability = &self.state.store_availability[self.kind as usize];
        availability.synced_at_ms.set(at_ms);
    }

    /// Records that the store at the new address is behind the replica, so it may lack entries
    /// that are written again, and requests may be older than the replica shows.
    fn note_behind(&self) {
        let availability = &self.state.store_availability[self.kind as usize];
        availability.recovered_at_ms.set(boot_ms());
        availability.synced_at_ms.set(0);
    }

    /// Decides at random whether this instance, which is not elected, tries to watch now
    /// because too few watchers reach the store.
    fn tries_as_substitute(&self) -> bool {
        let now_ms = boot_ms();
        let live = self.state.peers.borrow().live_count(now_ms).max(1);
        let chance = (EXPECTED_SUBSTITUTES / live as f64).min(1.0);
        lacks_watchers(&self.state, self.kind, now_ms) && rng().random_bool(chance)
    }

    /// Continues to watch as a substitute while too few watchers reach the store.
    fn extend_substitution(&self) {
        let now_ms = boot_ms();
        let is_elected =
            self.state.election_rank(self.kind.store_kind(), now_ms) < ELECTED_WATCHERS;
        if !is_elected && lacks_watchers(&self.state, self.kind, now_ms) {
            let availability = &self.state.store_availability[self.kind as usize];
            availability.substitute_until_ms.set(now_ms + SUBSTITUTE_MS);
        }
    }

    fn replica<R>(&self, act: impl FnOnce(&mut KindReplica) -> R) -> R {
        act(&mut self.state.replicas.borrow_mut()[self.kind as usize])
    }

    fn note_available(&mut self) {
        self.backoff = INITIAL_BACKOFF;
        let availability = &self.state.store_availability[self.kind as usize];
        let unavailable_since_ms = availability.unavailable_since_ms.replace(0);
        if unavailable_since_ms > 0 {
            let now_ms = boot_ms();
            availability.recovered_at_ms.set(now_ms);
            let away_ms = now_ms.saturating_sub(unavailable_since_ms);
            log::info!(target: "follow", kind:% = self.kind, away_ms; "store is available again");
        }
    }

    async fn note_fault(&mut self, fault: &StoreFault) {
        let availability = &self.state.store_availability[self.kind as usize];
        if availability.unavailable_since_ms.get() == 0 {
            availability.unavailable_since_ms.set(boot_ms());
            log::warn!(target: "follow", kind:% = self.kind, fault:% ; "store became unavailable");
        }
        if matches!(fault, StoreFault::Malformed(_)) {
            log::error!(target: "follow", kind:% = self.kind, fault:% ; "could not decode the response of the store, listing again");
            self.needs_listing = true;
        }
        let wait = self.backoff.mul_f64(rng().random_range(0.5..1.0));
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        sleep(wait).await;
    }
}

/// Pulls changes of a kind from other instances that have newer objects than this one.
pub(crate) async fn pull_from_peers(state: Rc<GatewayState>, kind: WatchedKind) {
    loop {
        sleep(PULL_INTERVAL).await;
        let Some((peer, address, since)) = peer_ahead(&state, kind) else {
            continue;
        };
        let delta = match pull_replica(address, kind, since).await {
            Ok(delta) => delta,
            Err(PullFault::Busy) => {
                log::debug!(target: "follow", kind:%, peer; "the peer sends too many copies now");
                continue;
            }
            Err(fault) => {
                log::warn!(target: "follow", kind:%, peer, fault:% ; "could not pull changes from the peer");
                continue;
            }
        };
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
                "pulled changes from the peer"
            );
        }
        apply_changes(&state, kind, &changes);
    }
}

/// Chooses another instance that has newer objects of a kind. Returns its name, its
/// address and the revision to pull from.
///
/// An instance is ahead if it has a later revision or a higher version. The second can
/// occur alone after the store was restored from an older backup. Once the address of the store
/// has changed, an instance that watches itself ignores the revisions of the others, which may
/// use another address.
fn peer_ahead(
    state: &GatewayState,
    kind: WatchedKind,
) -> Option<(String, SocketAddr, EraRevision)> {
    let (peers, now_ms) = (state.peers.borrow(), boot_ms());
    let known = state.replicas.borrow()[kind as usize].revision();
    let has_moved = state.store.source().moves > 0;
    if !has_moved || !is_connected_watcher(state, kind) {
        if let Some((name, address)) = peers.choose_later_peer(kind, known, now_ms) {
            return Some((name, address, known));
        }
    }
    let (name, address) = match kind {
        WatchedKind::Runners | WatchedKind::Evacuations => None,
        WatchedKind::Table => {
            let version = state.table().map_or(0, |table| table.version);
            peers.choose_peer_ahead(now_ms, |heartbeat| heartbeat.table_version > version)
        }
        WatchedKind::Weights => {
            let is_higher = |(model, version, _): &(String, u64, Option<u64>)| {
                let known = state.desired_weights_of(model);
                known.is_none_or(|known| known.goal.version < *version)
            };
            peers.choose_peer_ahead(now_ms, |heartbeat| {
                heartbeat.desired_weights.iter().any(is_higher)
            })
        }
    }?;
    Some((name, address, EraRevision::default()))
}

/// Records that a kind was received in a new era of the store.
fn note_era(state: &GatewayState, kind: WatchedKind, known: EraRevision, revision: EraRevision) {
    if revision.era <= known.era || known == EraRevision::default() {
        return;
    }
    state.store_availability[kind as usize]
        .recovered_at_ms
        .set(boot_ms());
    if kind == WatchedKind::Runners {
        state.runners.borrow_mut().note_era(revision.era);
    }
    if kind == WatchedKind::Table {
        // Counted for one kind only, so that each era counts once.
        state.metrics.add(CounterMetric::StoreErasTotal, "", 1);
    }
    let table = state.table().map_or(0, |table| table.version);
    let runners = state.runners.borrow().all().len();
    log::warn!(
        target: "follow",
        kind:%, before:% = known, revision:%, table, runners;
        "the store was restored from an older backup; the state in force is kept"
    );
}

/// Applies changes of a replica to the state of the gateway.
pub(crate) fn apply_changes(state: &GatewayState, kind: WatchedKind, changes: &[ReplicaChange]) {
    if !changes.is_empty() && is_watcher(state, kind) {
        // Instances that do not watch learn of the change from the next heartbeat.
        state.is_heartbeat_due.set(true);
    }
    for change in changes {
        match (kind, change) {
            (WatchedKind::Table, ReplicaChange::Updated(object)) => apply_table(state, object),
            (WatchedKind::Runners, ReplicaChange::Updated(object)) => apply_runner(state, object),
            (WatchedKind::Weights, ReplicaChange::Updated(object)) => {
                apply_desired_weights(state, object)
            }
            (WatchedKind::Runners, ReplicaChange::Deleted(name)) => remove_runner(state, name),
            (WatchedKind::Evacuations, ReplicaChange::Updated(object)) => {
                evacuations::begin(state, &object.name)
            }
            (WatchedKind::Evacuations, ReplicaChange::Deleted(name)) => {
                evacuations::end(state, name)
            }
            (_, ReplicaChange::Deleted(name) | ReplicaChange::Retained(name)) => {
                log::warn!(target: "follow", kind:%, name; "received a lower version or a deletion; the highest version stays in force");
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
                note_starts(state);
                log::info!(target: "follow", version, revision; "route table in force");
            }
        }
        Err(fault) => {
            log::error!(target: "follow", revision, fault:% ; "could not decode the route table")
        }
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
            if change == Some(RunnerChange::Joined) {
                if let Some(started) = state.runners.borrow().find_id(runner) {
                    note_start(state, started);
                }
            }
            if let Some(change) = change {
                log::info!(
                    target: "follow",
                    runner, revision, change:%, state:% = runner_state;
                    "runner changed"
                );
            }
        }
        Err(fault) => {
            log::warn!(target: "follow", runner, revision, fault:% ; "could not decode the entry of a runner");
            // A runner whose entry does not decode must not be used.
            state.runners.borrow_mut().remove(runner);
        }
    }
}

fn apply_desired_weights(state: &GatewayState, object: &StoredObject) {
    let (name, revision) = (object.name.as_str(), object.revision.to_string());
    match decode_weights(&object.spec) {
        Ok(goal) => {
            let (model, version) = (goal.model.clone(), goal.version);
            let availability = &state.store_availability[WatchedKind::Weights as usize];
            if state.apply_desired_weights(goal, availability.synced_at_ms()) {
                state.weights_requested.notify_one();
                log::info!(target: "follow", model, version, revision; "new version of weights requested");
            }
        }
        Err(fault) => {
            log::error!(target: "follow", name, fault:% ; "could not decode the requested weights")
        }
    }
}

fn remove_runner(state: &GatewayState, runner: &str) {
    let now_ms = boot_ms();
    let availability = &state.store_availability[WatchedKind::Runners as usize];
    let mut runners = state.runners.borrow_mut();
    let change: Option<RunnerChange> = match availability.may_have_expired(now_ms) {
        true => runners.note_missing(runner, now_ms),
        false => runners.remove(runner),
    };
    if let Some(change) = change {
        log::info!(target: "follow", runner, change:% ; "entry of the runner was deleted from the store");
    }
}

/// Removes runners that did not register again in time, uses suspect runners again whose
/// entries did not expire, and closes stale connections.
pub(crate) async fn expire_runners(state: Rc<GatewayState>) {
    loop {
        sleep(EXPIRE_INTERVAL).await;
        let now_ms = boot_ms();
        let expired = state.runners.borrow_mut().expire_missing(now_ms);
        for runner in expired {
            log::info!(target: "follow", runner; "removed a missing runner that did not register again");
        }
        for runner in state.runners.borrow().clear_suspects(now_ms) {
            log::info!(target: "follow", runner; "the entry of the suspect runner did not expire, so the runner is used again");
        }
        for runner in state.runners.borrow().all() {
            runner.close_stale_connections(now_ms);
        }
    }
}
