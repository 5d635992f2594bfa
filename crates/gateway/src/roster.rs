//! Runners, their connections and load.
//!
//! Invariants:
//!
//! - Two starts of a runner under one id are two entries; nothing known of the
//!   first holds for the second.
//! - A kept connection is used again only if it is open and silent.

use crate::peers::{spoken_key, LoadShare};
use berylmount_fleet::{RunnerLoad, RunnerRecord, RunnerState};
use berylmount_h1::H1Stream;
use berylmount_policy::runner_health::RunnerHealth;
use std::{
    cell::{Cell, RefCell},
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
}

impl RunnerHandle {
    fn new(record: RunnerRecord) -> Self {
        Self {
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

    /// Whether it may get new requests.
    pub(crate) fn takes_requests(&self) -> bool {
        !self.is_gone.get() && self.record.borrow().state == RunnerState::Ready
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

/// All known runners, by id.
#[derive(Debug, Default)]
pub(crate) struct RunnerRoster {
    runners: Vec<Rc<RunnerHandle>>,
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

    /// Takes a runner's entry.
    pub(crate) fn upsert(&mut self, record: RunnerRecord) -> Option<RosterChange> {
        match self.find(&record.id) {
            Err(index) => {
                self.runners
                    .insert(index, Rc::new(RunnerHandle::new(record)));
                Some(RosterChange::Joined)
            }
            Ok(index) => {
                let known = &self.runners[index];
                let (started, address, state) = {
                    let record = known.record.borrow();
                    (record.started_ms, record.address, record.state)
                };
                if started != record.started_ms || address != record.address {
                    known.is_gone.set(true);
                    known.idle.borrow_mut().clear();
                    self.runners[index] = Rc::new(RunnerHandle::new(record));
                    return Some(RosterChange::Joined);
                }
                known.missing_since_ms.set(0);
                let changed = state != record.state;
                *known.record.borrow_mut() = Rc::new(record);
                changed.then_some(RosterChange::StateChanged)
            }
        }
    }

    /// Takes a runner out that has left.
    pub(crate) fn remove(&mut self, id: &str) -> Option<RosterChange> {
        let index = self.find(id).ok()?;
        let runner = self.runners.remove(index);
        runner.is_gone.set(true);
        runner.idle.borrow_mut().clear();
        Some(RosterChange::Left)
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
