//! Registry of runners, with their connections and load.
//!
//! Invariants:
//!
//! - Each start of a runner under the same id is a separate entry. No state of an
//!   earlier start applies to a later one.
//! - An idle connection is reused only if it is open and has no unread bytes. It becomes
//!   idle only when its request was sent and its response was read completely.
//! - A start of a runner that has announced that it drains gets no new requests again,
//!   even if its entry says ready later. Entries without a start time are excepted.
//! - A tunnel is a connection like any other, and counts as one of this instance.

use crate::{
    peers::{name_hash, LoadShare},
    reachability::PathUse,
};
use berylmount_adapter::{request_headers::RunnerNotice, store_client::EraRevision};
use berylmount_fleet::{RunnerLoad, RunnerRecord, RunnerState};
use berylmount_h1::{H1Stream, RequestExchange};
use berylmount_policy::{runner_health::RunnerHealth, runner_rooms::RunnerKey};
use bytes::Bytes;
use rand::{rng, RngExt};
use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    net::SocketAddr,
    ops::Range,
    rc::Rc,
    time::Duration,
};

/// Time for which a runner is avoided after a failed connection, in milliseconds.
const UNREACHABLE_MS: u64 = 1000;
/// Age at which a reported load is too old to be used, in milliseconds.
const MAX_LOAD_AGE_MS: u64 = 400;
/// Idle timeout of a connection whose runner announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Fraction of the idle timeout of a runner after which a connection is not reused. The
/// remainder covers the network latency.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;
/// Time for which an entry may be missing after an outage of the store, in
/// milliseconds. Live runners are listed again within about two seconds, and a runner
/// that left must get no requests after that.
const MISSING_GRACE_MS: u64 = 1700;
/// Time for which the entry of a departed runner is suspect after the store was restored
/// from an older backup, in milliseconds. Entries of dead runners expire within it,
/// after three heartbeats of some 1.2 s.
const SUSPECT_MS: u64 = 5000;
/// Maximum number of models whose weights are observed at one runner. Callers name the models.
const MAX_OBSERVED_MODELS: usize = 64;
/// Jitter factor of the backoff that a runner requests, so that the instances do not
/// all return to it at once. The backoff is never shorter than requested.
const BACKOFF_JITTER: Range<f64> = 1.0..1.2;
/// Number of departed runners that are remembered. This is several times the runners of
/// a large fleet.
const MAX_DEPARTED_RUNNERS: usize = 1024;

/// A connection to a runner that is counted while it is open.
#[derive(Debug)]
pub(crate) struct RunnerConnection {
    stream: H1Stream,
    /// Whether it has carried an earlier request.
    is_reused: bool,
    /// Address of the instance that relays, if the connection is a tunnel.
    relay: Option<SocketAddr>,
    slot: ConnectionSlot,
}

impl RunnerConnection {
    /// Returns the address of the instance that relays, if the connection is a tunnel.
    pub(crate) fn relay(&self) -> Option<SocketAddr> {
        self.relay
    }

    /// Creates the connection from an open stream and the slot reserved for it.
    pub(crate) fn new(stream: H1Stream, slot: ConnectionSlot) -> Self {
        Self {
            stream,
            is_reused: false,
            relay: None,
            slot,
        }
    }

    /// Creates the connection from a tunnel through the instance at `relay`.
    pub(crate) fn tunnelled(stream: H1Stream, relay: SocketAddr, slot: ConnectionSlot) -> Self {
        Self {
            relay: Some(relay),
            ..Self::new(stream, slot)
        }
    }

    /// Whether the connection is a tunnel.
    pub(crate) fn is_tunnel(&self) -> bool {
        self.relay.is_some()
    }

    /// Starts to send a request, in two parts, on the connection.
    pub(crate) fn start(self, request: [Bytes; 2]) -> RunnerExchange {
        RunnerExchange {
            http: RequestExchange::new(self.stream, request),
            is_reused: self.is_reused,
            relay: self.relay,
            path_use: None,
            slot: self.slot,
        }
    }
}

/// A request in progress on a connection to a runner.
#[derive(Debug)]
pub(crate) struct RunnerExchange {
    pub(crate) http: RequestExchange,
    /// Whether the connection has carried an earlier request.
    pub(crate) is_reused: bool,
    /// Address of the instance that relays, if the connection is a tunnel.
    pub(crate) relay: Option<SocketAddr>,
    /// Counts the request on the path to the service, if the connection is no tunnel.
    pub(crate) path_use: Option<PathUse>,
    slot: ConnectionSlot,
}

impl RunnerExchange {
    /// Records that the runner sent something.
    pub(crate) fn note_received(&self) {
        if let Some(path_use) = &self.path_use {
            path_use.note_received();
        }
    }

    /// Ends the exchange; returns the connection if it can carry another request.
    pub(crate) fn finish(self) -> Option<RunnerConnection> {
        let stream = self.http.finish()?;
        Some(RunnerConnection {
            stream,
            is_reused: true,
            relay: self.relay,
            slot: self.slot,
        })
    }
}

/// Reserves one connection that is open or being opened, until it is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionSlot(Rc<Cell<u32>>);

impl ConnectionSlot {
    /// Adds one to the number of connections in `count`.
    pub(crate) fn take(count: &Rc<Cell<u32>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// An idle connection to a runner.
#[derive(Debug)]
struct IdleConnection {
    connection: RunnerConnection,
    /// When the last response on it ended, by the boot clock.
    idle_since_ms: u64,
    /// Idle time after which the runner may close it.
    idle_timeout: Duration,
}

impl IdleConnection {
    /// Whether the connection is fresh and its socket is open without unread bytes.
    fn is_usable(&self, age: Duration) -> bool {
        self.is_fresh(age) && self.connection.stream.is_idle()
    }

    /// Whether the connection is within the idle timeout of the runner.
    fn is_fresh(&self, age: Duration) -> bool {
        age < self.idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION)
    }

    fn age(&self, now_ms: u64) -> Duration {
        Duration::from_millis(now_ms.saturating_sub(self.idle_since_ms))
    }
}

/// The state of a runner as this instance knows it. Times are of the boot clock, and 0
/// means unset.
#[derive(Debug)]
pub(crate) struct RunnerHandle {
    key: u64,
    /// Identifies this start of the runner in the table of request limits.
    limit_key: u64,
    /// Identifies its service there.
    service_key: u64,
    record: RefCell<Rc<RunnerRecord>>,
    /// When its entry was first missing after an outage; 0 if it is not missing.
    missing_since_ms: Cell<u64>,
    /// Whether the runner was removed from the registry or has started again.
    is_removed: Cell<bool>,
    idle: RefCell<Vec<IdleConnection>>,
    /// Number of connections of this instance, including idle ones and those that are
    /// being opened.
    open_count: Rc<Cell<u32>>,
    /// Requests of this instance in flight at the runner.
    pub(crate) running: Cell<u32>,
    /// Prompt tokens of those requests that have had no first event yet, so that they may
    /// not be prefilled.
    pub(crate) unread_tokens: Cell<u64>,
    /// KV cache memory that those requests need, in tokens.
    pub(crate) reserved_tokens: Cell<u64>,
    health: RefCell<RunnerHealth>,
    /// Its reported load, and when it was reported.
    load: Cell<(RunnerLoad, u64)>,
    /// Highest versions of weights reported in its responses, sorted by model. They may be
    /// newer than those in its entry.
    observed_weights: RefCell<Vec<(String, u64)>>,
    /// Revision of its entry.
    entry_revision: Cell<EraRevision>,
    /// Whether the runner has announced that it drains, in its entry or in a response.
    is_draining: Cell<bool>,
    /// Since when its entry is suspect because it may come from a restored backup; 0 if
    /// it is not.
    suspect_since_ms: Cell<u64>,
    /// Until when this instance must send no requests to it; 0 if there is no backoff.
    backoff_until_ms: Cell<u64>,
    /// When it sent the last byte over a connection that is no tunnel.
    pub(crate) heard_ms: Cell<u64>,
    /// Until when it is avoided because no connection could be opened.
    unreachable_until_ms: Cell<u64>,
    /// Until when it is or may be cold.
    cold_until_ms: Cell<u64>,
}

impl RunnerHandle {
    fn new(record: RunnerRecord, revision: EraRevision) -> Self {
        Self {
            entry_revision: Cell::new(revision),
            is_draining: Cell::new(record.state == RunnerState::Draining),
            suspect_since_ms: Cell::new(0),
            backoff_until_ms: Cell::new(0),
            heard_ms: Cell::new(0),
            unreachable_until_ms: Cell::new(0),
            cold_until_ms: Cell::new(0),
            key: name_hash(&record.id),
            service_key: name_hash(&record.service),
            limit_key: name_hash(&format!("{}@{}", record.id, record.started_ms)),
            record: RefCell::new(Rc::new(record)),
            missing_since_ms: Cell::new(0),
            is_removed: Cell::new(false),
            idle: RefCell::default(),
            open_count: Rc::default(),
            running: Cell::new(0),
            unread_tokens: Cell::new(0),
            reserved_tokens: Cell::new(0),
            health: RefCell::default(),
            load: Cell::default(),
            observed_weights: RefCell::default(),
        }
    }

    /// Returns its entry.
    pub(crate) fn record(&self) -> Rc<RunnerRecord> {
        self.record.borrow().clone()
    }

    /// Records whether a connection could be opened.
    pub(crate) fn note_connection(&self, is_open: bool, now_ms: u64) {
        let until_ms = if is_open { 0 } else { now_ms + UNREACHABLE_MS };
        self.unreachable_until_ms.set(until_ms);
    }

    /// Whether no connection could be opened a short time ago.
    pub(crate) fn is_unreachable(&self, now_ms: u64) -> bool {
        now_ms < self.unreachable_until_ms.get()
    }

    /// Records that it is or may be cold for this long.
    pub(crate) fn note_cold(&self, left: Duration, now_ms: u64) {
        let until_ms = now_ms.saturating_add(left.as_millis() as u64);
        self.cold_until_ms
            .set(self.cold_until_ms.get().max(until_ms));
    }

    /// Returns for how much longer it is or may be cold, in milliseconds; 0 if it is not.
    pub(crate) fn cold_left_ms(&self, now_ms: u64) -> u64 {
        self.cold_until_ms.get().saturating_sub(now_ms)
    }

    /// Returns the key that identifies it in messages between instances.
    pub(crate) fn key(&self) -> u64 {
        self.key
    }

    /// Returns the key of this start of the runner in the table of request limits.
    pub(crate) fn limit_key(&self) -> u64 {
        self.limit_key
    }

    /// Returns the key of this start of the runner in the table of brittle runners.
    pub(crate) fn room_key(&self) -> RunnerKey {
        RunnerKey {
            start: self.limit_key,
            service: self.service_key,
        }
    }

    /// Returns the load from this instance.
    pub(crate) fn local_load(&self) -> LoadShare {
        LoadShare {
            running: self.running.get(),
            unread_tokens: self.unread_tokens.get(),
            reserved_tokens: self.reserved_tokens.get(),
        }
    }

    /// Whether it may get new requests, apart from a backoff.
    pub(crate) fn takes_requests(&self) -> bool {
        let is_ready = self.record.borrow().state == RunnerState::Ready;
        let is_excluded = self.is_draining.get() || self.suspect_since_ms.get() > 0;
        !self.is_removed.get() && is_ready && !is_excluded
    }

    /// Whether it may get a request for which it was selected by this entry: it still takes
    /// requests, for the same service and with the same software version.
    pub(crate) fn serves_as(&self, selected: &RunnerRecord) -> bool {
        let record = self.record.borrow();
        let is_same = record.service == selected.service && record.software == selected.software;
        is_same && self.takes_requests()
    }

    /// Records that a response announced the drain. Returns whether that is new.
    fn note_draining(&self) -> bool {
        self.idle.borrow_mut().clear();
        !self.is_draining.replace(true)
    }

    /// Applies the notice in a response of the runner.
    pub(crate) fn note_notice(&self, notice: RunnerNotice, now_ms: u64) {
        let record = self.record();
        let runner = record.id.as_str();
        if notice.is_draining && self.note_draining() {
            log::info!(target: "roster", runner; "runner announced that it drains");
        }
        if let Some(backoff) = notice.retry_after {
            let backoff = backoff.mul_f64(rng().random_range(BACKOFF_JITTER));
            // The adapter limits it to an hour.
            let backoff_ms = backoff.as_millis() as u64;
            let until_ms = self.backoff_until_ms.get().max(now_ms + backoff_ms);
            self.backoff_until_ms.set(until_ms);
            log::info!(target: "roster", runner, rest_ms = backoff_ms; "runner requested a backoff");
        }
    }

    /// Returns the remaining backoff; `None` if there is none.
    pub(crate) fn backoff_left(&self, now_ms: u64) -> Option<Duration> {
        let left_ms = self.backoff_until_ms.get().checked_sub(now_ms)?;
        (left_ms > 0).then_some(Duration::from_millis(left_ms))
    }

    /// Returns the highest known version of the weights of a model that it has.
    pub(crate) fn weights_of(&self, model: &str) -> Option<u64> {
        let listed = self.record.borrow().version_of(model);
        let observed_weights = self.observed_weights.borrow();
        let found = observed_weights.binary_search_by(|(known, _)| known.as_str().cmp(model));
        listed.max(found.ok().map(|index| observed_weights[index].1))
    }

    /// Records the version of a model's weights reported in a response.
    pub(crate) fn note_weights(&self, model: &str, version: u64) {
        let mut observed_weights = self.observed_weights.borrow_mut();
        match observed_weights.binary_search_by(|(known, _)| known.as_str().cmp(model)) {
            Ok(index) => {
                let known = &mut observed_weights[index].1;
                *known = version.max(*known);
            }
            Err(_) if observed_weights.len() >= MAX_OBSERVED_MODELS => {}
            Err(index) => observed_weights.insert(index, (model.to_owned(), version)),
        }
    }

    /// Returns its reported load, unless the report is too old.
    pub(crate) fn load(&self, now_ms: u64) -> Option<RunnerLoad> {
        let (load, at_ms) = self.load.get();
        (at_ms > 0 && now_ms.saturating_sub(at_ms) < MAX_LOAD_AGE_MS).then_some(load)
    }

    /// Returns the age of the report that [`Self::load`] returns.
    pub(crate) fn load_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.load(now_ms)?;
        Some(now_ms.saturating_sub(self.load.get().1))
    }

    /// Returns how many requests it runs concurrently, by its entry and its latest report.
    pub(crate) fn slots(&self, now_ms: u64) -> u32 {
        let listed = self.record.borrow().slots;
        let reported = self.load(now_ms).map_or(listed, |load| load.slots);
        match (listed, reported) {
            (0, known) | (known, 0) => known,
            (listed, reported) => listed.min(reported),
        }
    }

    /// Returns its requests by its latest report, and the age of that in milliseconds;
    /// `None` if the report is too old.
    pub(crate) fn reported_requests(&self, now_ms: u64) -> Option<(u32, u64)> {
        let load = self.load(now_ms)?;
        let (_, at_ms) = self.load.get();
        let count = load.running.saturating_add(load.waiting);
        Some((count, now_ms.saturating_sub(at_ms)))
    }

    /// Records its load as reported in a response.
    pub(crate) fn note_load(&self, load: RunnerLoad, now_ms: u64) {
        self.load.set((load, now_ms));
    }

    /// Records the outcome of a request that has ended.
    pub(crate) fn note_end(&self, is_success: bool, now_ms: u64) {
        self.health.borrow_mut().note_end(is_success, now_ms);
    }

    /// Returns the fraction of its recent requests that failed.
    pub(crate) fn failure_rate(&self, now_ms: u64) -> f64 {
        self.health.borrow().failure_rate(now_ms)
    }

    /// Whether there is an idle connection that should be open and has been idle for at
    /// most `max_idle`. The socket is not checked, because this is called for every runner.
    pub(crate) fn has_idle_connection(&self, now_ms: u64, max_idle: Duration) -> bool {
        let idle = self.idle.borrow();
        let is_recent = |connection: &IdleConnection| {
            let age = connection.age(now_ms);
            age <= max_idle && connection.is_fresh(age)
        };
        idle.last().is_some_and(is_recent)
    }

    /// Takes an idle connection that has been idle for at most `max_idle`.
    pub(crate) fn take_idle_connection(
        &self,
        now_ms: u64,
        max_idle: Duration,
    ) -> Option<RunnerConnection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(idle_connection) = idle.pop() {
            let age = idle_connection.age(now_ms);
            if !idle_connection.is_usable(age) {
                continue;
            }
            if age <= max_idle {
                return Some(idle_connection.connection);
            }
            // Connections further down the stack have been idle for longer.
            idle.push(idle_connection);
            return None;
        }
        None
    }

    /// Returns a connection to the idle pool.
    pub(crate) fn return_connection(
        &self,
        connection: RunnerConnection,
        idle_timeout: Option<Duration>,
        now_ms: u64,
    ) {
        if self.is_removed.get() {
            return;
        }
        self.idle.borrow_mut().push(IdleConnection {
            connection,
            idle_since_ms: now_ms,
            idle_timeout: idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT),
        });
    }

    /// Closes all idle connections.
    pub(crate) fn close_idle_connections(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Whether any idle connection is a tunnel.
    pub(crate) fn has_idle_tunnel(&self) -> bool {
        let idle = self.idle.borrow();
        idle.iter().any(|idle| idle.connection.relay.is_some())
    }

    /// Closes idle tunnels, except those for whose instance `is_used` returns true.
    pub(crate) fn retain_idle_tunnels(&self, is_used: impl Fn(SocketAddr) -> bool) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|idle| idle.connection.relay.is_none_or(&is_used));
    }

    /// Closes idle connections that can no longer be reused.
    pub(crate) fn close_stale_connections(&self, now_ms: u64) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| connection.is_usable(connection.age(now_ms)));
    }

    /// Returns the number of open connections of this instance.
    pub(crate) fn open_connections(&self) -> u32 {
        self.open_count.get()
    }

    /// Reserves a connection if fewer than `max_open` exist. It must be reserved before it
    /// is opened, because others may be opened concurrently.
    pub(crate) fn reserve_connection(&self, max_open: u32) -> Option<ConnectionSlot> {
        if self.open_count.get() >= max_open {
            return None;
        }
        Some(ConnectionSlot::take(&self.open_count))
    }
}

/// What is remembered of one start of a runner after its entry is gone.
#[derive(Debug)]
struct DepartedRunner {
    id: String,
    started_ms: u64,
    address: SocketAddr,
    /// Whether it had announced that it drains.
    is_draining: bool,
    backoff_until_ms: u64,
    /// Era of the store in which its entry disappeared.
    era: u64,
}

impl DepartedRunner {
    fn of(runner: &RunnerHandle, era: u64) -> Self {
        let record = runner.record();
        Self {
            id: record.id.clone(),
            started_ms: record.started_ms,
            address: record.address,
            is_draining: runner.is_draining.get(),
            backoff_until_ms: runner.backoff_until_ms.get(),
            era,
        }
    }

    /// Whether an entry belongs to the same start. Entries without a start time never
    /// match, because their starts cannot be distinguished.
    fn is_same_start(&self, record: &RunnerRecord) -> bool {
        let is_known = record.started_ms > 0;
        is_known
            && self.started_ms == record.started_ms
            && self.id == record.id
            && self.address == record.address
    }
}

/// All known runners, sorted by id.
#[derive(Debug, Default)]
pub(crate) struct RunnerRegistry {
    runners: Vec<Rc<RunnerHandle>>,
    /// Runners whose entries are gone, in order of departure.
    departed: VecDeque<DepartedRunner>,
    /// Latest era of the store that entries were received from.
    era: u64,
}

/// The effect of a changed or deleted entry on a runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum RunnerChange {
    /// The runner is new or has started again.
    Joined,
    /// The state in its entry changed.
    StateChanged,
    /// The runner was removed.
    Left,
    /// Its entry is missing after an outage of the store.
    Missing,
}

impl RunnerRegistry {
    /// Returns all runners, sorted by id.
    pub(crate) fn all(&self) -> &[Rc<RunnerHandle>] {
        &self.runners
    }

    /// Returns the runners of a service that may get new requests.
    pub(crate) fn ready_of<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a Rc<RunnerHandle>> {
        let of_service = move |runner: &&Rc<RunnerHandle>| {
            runner.takes_requests() && runner.record.borrow().service == service
        };
        self.runners.iter().filter(of_service)
    }

    /// Returns the runner with this id.
    pub(crate) fn find_id(&self, id: &str) -> Option<&Rc<RunnerHandle>> {
        Some(&self.runners[self.find(id).ok()?])
    }

    /// Returns the runner with this key of its start.
    pub(crate) fn find_start(&self, limit_key: u64) -> Option<Rc<RunnerHandle>> {
        let found = self.runners.iter().find(|r| r.limit_key == limit_key);
        found.cloned()
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        let runners = &self.runners;
        runners.binary_search_by(|r| r.record.borrow().id.as_str().cmp(id))
    }

    /// Records the era of the store from which entries are received.
    pub(crate) fn note_era(&mut self, era: u64) {
        self.era = self.era.max(era);
    }

    /// Inserts or updates the entry of a runner, as of a revision of the store. Returns the
    /// effect on the runner, if there is one.
    pub(crate) fn upsert(
        &mut self,
        record: RunnerRecord,
        revision: EraRevision,
        now_ms: u64,
    ) -> Option<RunnerChange> {
        self.note_era(revision.era);
        let index = match self.find(&record.id) {
            Ok(index) => index,
            Err(index) => {
                let runner = self.new_handle(record, revision, now_ms);
                self.runners.insert(index, runner);
                return Some(RunnerChange::Joined);
            }
        };
        let known = self.runners[index].clone();
        let (started_ms, address, state) = {
            let record = known.record.borrow();
            (record.started_ms, record.address, record.state)
        };
        if started_ms != record.started_ms || address != record.address {
            known.is_removed.set(true);
            known.idle.borrow_mut().clear();
            self.runners[index] = self.new_handle(record, revision, now_ms);
            return Some(RunnerChange::Joined);
        }
        known.missing_since_ms.set(0);
        let before = known.entry_revision.replace(revision);
        if revision.era == before.era && revision > before {
            // The runner has written its entry since the store was restored, so it is live.
            known.suspect_since_ms.set(0);
        }
        if record.state == RunnerState::Draining {
            known.is_draining.set(true);
        } else if record.started_ms == 0 && revision.era == before.era {
            // Without a start time, a ready entry may be from a new start.
            known.is_draining.set(false);
        }
        let changed = state != record.state;
        known.note_cold(record.cold_left, now_ms);
        *known.record.borrow_mut() = Rc::new(record);
        changed.then_some(RunnerChange::StateChanged)
    }

    /// Creates the handle of a new entry, with what is remembered of the same start.
    fn new_handle(
        &mut self,
        record: RunnerRecord,
        revision: EraRevision,
        now_ms: u64,
    ) -> Rc<RunnerHandle> {
        let position = self.departed.iter().position(|d| d.is_same_start(&record));
        let departed = position.and_then(|index| self.departed.remove(index));
        let cold_left = record.cold_left;
        let runner = RunnerHandle::new(record, revision);
        runner.note_cold(cold_left, now_ms);
        if let Some(departed) = departed {
            runner.backoff_until_ms.set(departed.backoff_until_ms);
            if departed.is_draining {
                runner.is_draining.set(true);
            } else if revision.era > departed.era {
                // The entry was restored from an older backup and may be of a dead runner.
                runner.suspect_since_ms.set(now_ms);
            }
        }
        Rc::new(runner)
    }

    /// Removes a runner and remembers it as departed.
    pub(crate) fn remove(&mut self, id: &str) -> Option<RunnerChange> {
        let index = self.find(id).ok()?;
        let runner = self.runners.remove(index);
        runner.is_removed.set(true);
        runner.idle.borrow_mut().clear();
        if self.departed.len() >= MAX_DEPARTED_RUNNERS {
            self.departed.pop_front();
        }
        self.departed
            .push_back(DepartedRunner::of(&runner, self.era));
        Some(RunnerChange::Left)
    }

    /// Ends the suspect state of entries that have not expired within [`SUSPECT_MS`].
    /// Returns the ids of their runners.
    pub(crate) fn clear_suspects(&self, now_ms: u64) -> Vec<String> {
        let is_due = |runner: &&Rc<RunnerHandle>| {
            let since_ms = runner.suspect_since_ms.get();
            since_ms > 0 && now_ms.saturating_sub(since_ms) >= SUSPECT_MS
        };
        let due = self.runners.iter().filter(is_due);
        let cleared = due.map(|runner| {
            runner.suspect_since_ms.set(0);
            runner.record().id.clone()
        });
        cleared.collect()
    }

    /// Records that the entry of a runner is missing after an outage of the store.
    pub(crate) fn note_missing(&mut self, id: &str, now_ms: u64) -> Option<RunnerChange> {
        let runner = &self.runners[self.find(id).ok()?];
        if runner.missing_since_ms.get() > 0 {
            return None;
        }
        runner.missing_since_ms.set(now_ms);
        Some(RunnerChange::Missing)
    }

    /// Removes the runners that have been missing for too long. Returns their ids.
    pub(crate) fn expire_missing(&mut self, now_ms: u64) -> Vec<String> {
        let is_expired = |runner: &Rc<RunnerHandle>| {
            let since = runner.missing_since_ms.get();
            since > 0 && now_ms.saturating_sub(since) >= MISSING_GRACE_MS
        };
        let expired = self.runners.iter().filter(|runner| is_expired(runner));
        let expired: Vec<String> = expired.map(|r| r.record.borrow().id.clone()).collect();
        for id in &expired {
            self.remove(id);
        }
        expired
    }
}
