//! Runners, their connections and load.
//!
//! Invariants:
//!
//! - Two starts of a runner under one id are two entries; nothing known of the
//!   first holds for the second.
//! - A kept connection is used again only if it is open and silent.
//! - A start of a runner that has said that it leaves gets no new request again,
//!   whatever its entry says later.

use crate::peers::{spoken_key, LoadShare};
use berylmount_adapter::{request_headers::RunnerNotice, store_client::EraRevision};
use berylmount_fleet::{RunnerLoad, RunnerRecord, RunnerState};
use berylmount_h1::H1Stream;
use berylmount_policy::runner_health::RunnerHealth;
use rand::{rng, RngExt};
use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    net::SocketAddr,
    ops::Range,
    rc::Rc,
    time::Duration,
};

/// Time after which a reported load says nothing, in milliseconds.
const LOAD_AGE_MS: u64 = 400;
/// Idle time of a kept connection without a stated bound.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Part of a runner's stated idle time that is used; the rest covers the way.
const IDLE_PART: f64 = 0.7;
/// Time that an entry may be missing after the store was away, in milliseconds:
/// live runners are back in the list within about two seconds, and one that left
/// must get nothing after that.
const MISSING_MS: u64 = 1700;
/// Time for which the entry of a runner that was gone is not believed after the
/// store has come back from an older copy, in milliseconds: entries of runners
/// that don't live lapse within it, after three heartbeats of some 1.2 s.
const OLD_COPY_MS: u64 = 5000;
/// Spread of the time for which a runner is left alone, so that not all come back
/// to it at once. Never less than it asked for.
const REST_SPREAD: Range<f64> = 1.0..1.2;
/// Departed runners that are remembered: several times a large fleet.
const MOST_DEPARTED: usize = 1024;

/// A connection to a runner; counted while it is open.
#[derive(Debug)]
pub(crate) struct RunnerStream {
    /// The connection.
    pub(crate) stream: H1Stream,
    _open: OpenGuard,
}

impl RunnerStream {
    /// A connection that was opened with its reservation.
    pub(crate) fn new(stream: H1Stream, open: OpenGuard) -> Self {
        Self {
            stream,
            _open: open,
        }
    }
}

/// Counts one open connection, or one that is being opened.
#[derive(Debug)]
pub(crate) struct OpenGuard(Rc<Cell<u32>>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// A kept connection to a runner.
#[derive(Debug)]
struct KeptStream {
    stream: RunnerStream,
    /// When its last answer ended.
    idle_since_ms: u64,
    /// When the runner may close it.
    idle_limit: Duration,
}

impl KeptStream {
    /// Whether the runner has it open, as far as can be seen.
    fn is_usable(&self, age: Duration) -> bool {
        self.is_fresh(age) && self.stream.stream.is_idle()
    }

    /// Whether its runner should still have it open.
    fn is_fresh(&self, age: Duration) -> bool {
        age < self.idle_limit.mul_f64(IDLE_PART)
    }

    fn age(&self, now_ms: u64) -> Duration {
        Duration::from_millis(now_ms.saturating_sub(self.idle_since_ms))
    }
}

/// A runner as this instance knows it.
#[derive(Debug)]
pub(crate) struct RunnerHandle {
    key: u64,
    record: RefCell<Rc<RunnerRecord>>,
    /// When its entry was first missing after an outage; 0 if it is not.
    missing_since_ms: Cell<u64>,
    /// Whether it has left.
    is_gone: Cell<bool>,
    idle: RefCell<Vec<KeptStream>>,
    /// Open connections of this instance, idle ones and those that are being
    /// opened included.
    open: Rc<Cell<u32>>,
    /// Requests of this instance that have not ended there.
    pub(crate) running: Cell<u32>,
    /// Their prompt tokens whose first event has not come.
    pub(crate) unread_tokens: Cell<u64>,
    /// Tokens of memory that they need.
    pub(crate) booked_tokens: Cell<u64>,
    health: RefCell<RunnerHealth>,
    load: Cell<(RunnerLoad, u64)>,
    /// A version of the weights that it refused or answered with, newer than its entry.
    observed_weights: Cell<Option<u64>>,
    /// The revision of its entry.
    entry_revision: Cell<EraRevision>,
    /// Whether it has said that it leaves, in its entry or in an answer.
    is_leaving: Cell<bool>,
    /// Since when its entry is not believed, because it may come from an older
    /// copy; 0 if it is.
    held_back_ms: Cell<u64>,
    /// Until when it wants no request from this instance; 0 if it takes them.
    rest_until_ms: Cell<u64>,
}

impl RunnerHandle {
    fn new(record: RunnerRecord, revision: EraRevision) -> Self {
        Self {
            entry_revision: Cell::new(revision),
            is_leaving: Cell::new(record.state == RunnerState::Draining),
            held_back_ms: Cell::new(0),
            rest_until_ms: Cell::new(0),
            key: spoken_key(&record.id),
            record: RefCell::new(Rc::new(record)),
            missing_since_ms: Cell::new(0),
            is_gone: Cell::new(false),
            idle: RefCell::default(),
            open: Rc::default(),
            running: Cell::new(0),
            unread_tokens: Cell::new(0),
            booked_tokens: Cell::new(0),
            health: RefCell::default(),
            load: Cell::default(),
            observed_weights: Cell::new(None),
        }
    }

    /// Its entry.
    pub(crate) fn record(&self) -> Rc<RunnerRecord> {
        self.record.borrow().clone()
    }

    /// The key under which instances speak of it.
    pub(crate) fn key(&self) -> u64 {
        self.key
    }

    /// The load that this instance puts on it.
    pub(crate) fn own_load(&self) -> LoadShare {
        LoadShare {
            running: self.running.get(),
            unread_tokens: self.unread_tokens.get(),
            booked_tokens: self.booked_tokens.get(),
        }
    }

    /// Whether it may get new requests, unless it rests.
    pub(crate) fn takes_requests(&self) -> bool {
        let is_ready = self.record.borrow().state == RunnerState::Ready;
        let is_doubtful = self.is_leaving.get() || self.held_back_ms.get() > 0;
        !self.is_gone.get() && is_ready && !is_doubtful
    }

    /// Notes that an answer said that it leaves; returns whether that is new.
    fn note_leaving(&self) -> bool {
        self.idle.borrow_mut().clear();
        !self.is_leaving.replace(true)
    }

    /// Takes what an answer said of it.
    pub(crate) fn note_notice(&self, notice: RunnerNotice, now_ms: u64) {
        let record = self.record();
        let runner = record.id.as_str();
        if notice.is_leaving && self.note_leaving() {
            log::info!(target: "roster", runner; "runner says that it leaves");
        }
        if let Some(rest) = notice.retry_after {
            let rest = rest.mul_f64(rng().random_range(REST_SPREAD));
            // The adapter bounds it to an hour.
            let rest_ms = rest.as_millis() as u64;
            let until_ms = self.rest_until_ms.get().max(now_ms + rest_ms);
            self.rest_until_ms.set(until_ms);
            log::info!(target: "roster", runner, rest_ms; "runner wants rest");
        }
    }

    /// For how long it still wants no request; `None` if it takes them.
    pub(crate) fn rest_left(&self, now_ms: u64) -> Option<Duration> {
        let left_ms = self.rest_until_ms.get().checked_sub(now_ms)?;
        (left_ms > 0).then_some(Duration::from_millis(left_ms))
    }

    /// The version of a model's weights that it has, as far as known.
    pub(crate) fn weights_of(&self, model: &str) -> Option<u64> {
        let listed = self.record.borrow().version_of(model);
        listed.max(self.observed_weights.get())
    }

    /// Notes the version that an answer named.
    pub(crate) fn note_weights(&self, version: u64) {
        if self
            .observed_weights
            .get()
            .is_none_or(|known| known < version)
        {
            self.observed_weights.set(Some(version));
        }
    }

    /// Its reported load, unless that is old.
    pub(crate) fn load(&self, now_ms: u64) -> Option<RunnerLoad> {
        let (load, at_ms) = self.load.get();
        (at_ms > 0 && now_ms.saturating_sub(at_ms) < LOAD_AGE_MS).then_some(load)
    }

    /// Notes its load as an answer reported it.
    pub(crate) fn note_load(&self, load: RunnerLoad, now_ms: u64) {
        self.load.set((load, now_ms));
    }

    /// Counts how a request ended there.
    pub(crate) fn note_end(&self, is_good: bool, now_ms: u64) {
        self.health.borrow_mut().note_end(is_good, now_ms);
    }

    /// Part of its recent requests that failed.
    pub(crate) fn failures(&self, now_ms: u64) -> f64 {
        self.health.borrow().failures(now_ms)
    }

    /// Whether a connection is kept that should be open and has been idle for
    /// `most_idle` at most. It is not looked at, as this is asked of every runner.
    pub(crate) fn has_kept(&self, now_ms: u64, most_idle: Duration) -> bool {
        let idle = self.idle.borrow();
        let is_good = |kept: &KeptStream| {
            let age = kept.age(now_ms);
            age <= most_idle && kept.is_fresh(age)
        };
        idle.last().is_some_and(is_good)
    }

    /// Takes a kept connection that has been idle for `most_idle` at most.
    pub(crate) fn take_kept(&self, now_ms: u64, most_idle: Duration) -> Option<RunnerStream> {
        let mut idle = self.idle.borrow_mut();
        while let Some(kept) = idle.pop() {
            let age = kept.age(now_ms);
            if !kept.is_usable(age) {
                continue;
            }
            if age <= most_idle {
                return Some(kept.stream);
            }
            // Those below were idle for longer still.
            idle.push(kept);
            return None;
        }
        None
    }

    /// Keeps a connection for later requests.
    pub(crate) fn keep(&self, stream: RunnerStream, idle_limit: Option<Duration>, now_ms: u64) {
        if self.is_gone.get() {
            return;
        }
        self.idle.borrow_mut().push(KeptStream {
            stream,
            idle_since_ms: now_ms,
            idle_limit: idle_limit.unwrap_or(DEFAULT_IDLE),
        });
    }

    /// Drops the idle connections that are too old to be used.
    pub(crate) fn drop_old(&self, now_ms: u64) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|kept| kept.is_usable(kept.age(now_ms)));
    }

    /// Open connections of this instance.
    pub(crate) fn open(&self) -> u32 {
        self.open.get()
    }

    /// Takes one of `most` connections, before it is opened: others may be opened
    /// meanwhile.
    pub(crate) fn reserve(&self, most: u32) -> Option<OpenGuard> {
        if self.open.get() >= most {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(OpenGuard(self.open.clone()))
    }
}

/// What holds for one start of a runner beyond its entry.
#[derive(Debug)]
struct DepartedRunner {
    id: String,
    started_ms: u64,
    address: SocketAddr,
    /// Whether it had said that it leaves.
    is_leaving: bool,
    rest_until_ms: u64,
    /// The era of the store in which its entry went.
    era: u64,
}

impl DepartedRunner {
    fn of(runner: &RunnerHandle, era: u64) -> Self {
        let record = runner.record();
        Self {
            id: record.id.clone(),
            started_ms: record.started_ms,
            address: record.address,
            is_leaving: runner.is_leaving.get(),
            rest_until_ms: runner.rest_until_ms.get(),
            era,
        }
    }

    /// Whether an entry is of the same start. Starts without a time can't be told
    /// apart.
    fn is_same(&self, record: &RunnerRecord) -> bool {
        let is_known = record.started_ms > 0;
        is_known
            && self.started_ms == record.started_ms
            && self.id == record.id
            && self.address == record.address
    }
}

/// All known runners, by id.
#[derive(Debug, Default)]
pub(crate) struct RunnerRoster {
    runners: Vec<Rc<RunnerHandle>>,
    /// Runners whose entries are gone, oldest first.
    departed: VecDeque<DepartedRunner>,
    /// The era of the store that the entries are of.
    era: u64,
}

/// What a change of the list did to a runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum RosterChange {
    /// It is new, or has started again.
    Joined,
    /// Its state changed.
    StateChanged,
    /// It has left.
    Left,
    /// Its entry is missing after the store was away.
    Missing,
}

impl RunnerRoster {
    /// All runners, by id.
    pub(crate) fn all(&self) -> &[Rc<RunnerHandle>] {
        &self.runners
    }

    /// Those of a service that take new requests.
    pub(crate) fn ready_of<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a Rc<RunnerHandle>> {
        let of_service = move |runner: &&Rc<RunnerHandle>| {
            runner.takes_requests() && runner.record.borrow().service == service
        };
        self.runners.iter().filter(of_service)
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        let runners = &self.runners;
        runners.binary_search_by(|r| r.record.borrow().id.as_str().cmp(id))
    }

    /// Notes that entries are told in an era of the store.
    pub(crate) fn note_era(&mut self, era: u64) {
        self.era = self.era.max(era);
    }

    /// Takes a runner's entry, as of a revision of the store.
    pub(crate) fn upsert(
        &mut self,
        record: RunnerRecord,
        revision: EraRevision,
        now_ms: u64,
    ) -> Option<RosterChange> {
        self.note_era(revision.era);
        let index = match self.find(&record.id) {
            Ok(index) => index,
            Err(index) => {
                let runner = self.joined(record, revision, now_ms);
                self.runners.insert(index, runner);
                return Some(RosterChange::Joined);
            }
        };
        let known = self.runners[index].clone();
        let (started, address, state) = {
            let record = known.record.borrow();
            (record.started_ms, record.address, record.state)
        };
        if started != record.started_ms || address != record.address {
            known.is_gone.set(true);
            known.idle.borrow_mut().clear();
            self.runners[index] = self.joined(record, revision, now_ms);
            return Some(RosterChange::Joined);
        }
        known.missing_since_ms.set(0);
        let before = known.entry_revision.replace(revision);
        if revision.era == before.era && revision > before {
            // The runner itself has written it since.
            known.held_back_ms.set(0);
        }
        if record.state == RunnerState::Draining {
            known.is_leaving.set(true);
        } else if record.started_ms == 0 && revision.era == before.era {
            known.is_leaving.set(false);
        }
        let changed = state != record.state;
        *known.record.borrow_mut() = Rc::new(record);
        changed.then_some(RosterChange::StateChanged)
    }

    /// A runner whose entry is new, with what is remembered of the same start.
    fn joined(
        &mut self,
        record: RunnerRecord,
        revision: EraRevision,
        now_ms: u64,
    ) -> Rc<RunnerHandle> {
        let position = self.departed.iter().position(|d| d.is_same(&record));
        let departed = position.and_then(|index| self.departed.remove(index));
        let runner = RunnerHandle::new(record, revision);
        if let Some(departed) = departed {
            runner.rest_until_ms.set(departed.rest_until_ms);
            if departed.is_leaving {
                runner.is_leaving.set(true);
            } else if revision.era > departed.era {
                // An older copy holds it again; it may not live any more.
                runner.held_back_ms.set(now_ms);
            }
        }
        Rc::new(runner)
    }

    /// Takes a runner out that has left.
    pub(crate) fn remove(&mut self, id: &str) -> Option<RosterChange> {
        let index = self.find(id).ok()?;
        let runner = self.runners.remove(index);
        runner.is_gone.set(true);
        runner.idle.borrow_mut().clear();
        if self.departed.len() >= MOST_DEPARTED {
            self.departed.pop_front();
        }
        self.departed
            .push_back(DepartedRunner::of(&runner, self.era));
        Some(RosterChange::Left)
    }

    /// Believes entries that have stayed since the store came back from an older
    /// copy; returns the ids of their runners.
    pub(crate) fn release_held_back(&self, now_ms: u64) -> Vec<String> {
        let is_due = |runner: &&Rc<RunnerHandle>| {
            let since_ms = runner.held_back_ms.get();
            since_ms > 0 && now_ms.saturating_sub(since_ms) >= OLD_COPY_MS
        };
        let due = self.runners.iter().filter(is_due);
        let released = due.map(|runner| {
            runner.held_back_ms.set(0);
            runner.record().id.clone()
        });
        released.collect()
    }

    /// Notes that a runner's entry is missing after the store was away.
    pub(crate) fn note_missing(&mut self, id: &str, now_ms: u64) -> Option<RosterChange> {
        let runner = &self.runners[self.find(id).ok()?];
        if runner.missing_since_ms.get() > 0 {
            return None;
        }
        runner.missing_since_ms.set(now_ms);
        Some(RosterChange::Missing)
    }

    /// Takes out the runners that stayed missing for too long; returns their ids.
    pub(crate) fn expire_missing(&mut self, now_ms: u64) -> Vec<String> {
        let is_lost = |runner: &Rc<RunnerHandle>| {
            let since = runner.missing_since_ms.get();
            since > 0 && now_ms.saturating_sub(since) >= MISSING_MS
        };
        let lost = self.runners.iter().filter(|runner| is_lost(runner));
        let lost: Vec<String> = lost.map(|r| r.record.borrow().id.clone()).collect();
        for id in &lost {
            self.remove(id);
        }
        lost
    }
}
