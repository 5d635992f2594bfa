//! A process's copy of the table.
//!
//! One thread calls [`TableReplica::run`]; any thread takes views, which is a
//! clone of one pointer. Shards and the head only rise, whoever brings them.

use crate::{
    shard_key, verify_rows, ForceReport, FreshnessClock, FreshnessState, HeadObject, PeerReport,
    RowError, ShardDelta, ShardError, ShardRows, TableEditor, TableHead, TableView, HEAD_KEY,
    SHARD_COUNT,
};
use berylmount_model::InstanceName;
use berylmount_objects::{ObjectStore, StoreError, StoredObject};
use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
    },
    thread,
    time::Duration,
};

/// How long one watch of the head waits.
///
/// A watch confirms the table as of when it was sent, so it is well below
/// [`FRESHNESS_MS`](crate::FRESHNESS_MS).
pub const WATCH_WAIT: Duration = Duration::from_secs(1);
/// The pause after a first failed call; it doubles up to [`LONGEST_PAUSE`].
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The longest pause between failed calls.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// How often a process looks for shards that the head does not name, in milliseconds.
const AUDIT_PERIOD_MS: u64 = 60_000;

/// Why a replica could not follow the table.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ReplicaError {
    /// The platform failed or went back to an older state.
    #[error("{key}: {error}")]
    Store {
        /// The object's key.
        key: String,
        /// What the platform said.
        error: StoreError,
    },
    /// An object is damaged; the copy stays as it is.
    #[error("{key} is damaged: {error}")]
    Damaged {
        /// The object's key.
        key: String,
        /// What is wrong with it.
        error: ShardError,
    },
    /// The platform answered with an older shard than its head names.
    #[error("{key} is at version {found}, the head names {named}")]
    Stale {
        /// The object's key.
        key: String,
        /// The version that was read.
        found: u64,
        /// The version that the head names.
        named: u64,
    },
    /// A peer sent a shard that does not exist.
    #[error("a peer sent shard {0}")]
    Index(usize),
}

/// What a replica knows about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaReport {
    /// The head that is applied.
    pub applied: u64,
    /// The newest head that is known.
    pub known: u64,
    /// By what it may serve.
    pub state: FreshnessState,
    /// How long ago the platform confirmed the table, in milliseconds.
    pub confirmed_age_ms: Option<u64>,
    /// Who has applied the head that is known.
    pub force: ForceReport,
    /// Why the last try to follow the table failed, if it did.
    pub problem: Option<ReplicaError>,
}

#[derive(Debug)]
struct ReplicaState {
    head: TableHead,
    applied: u64,
    clock: FreshnessClock,
    problem: Option<ReplicaError>,
}

/// A process's copy of the table.
///
/// ```
/// use berylmount_objects::ObjectStore;
/// use berylmount_standins::MemoryStore;
/// use berylmount_table::TableReplica;
/// use std::time::Duration;
///
/// let store = MemoryStore::default();
/// let replica = TableReplica::new(0);
/// assert!(!replica.may_serve(0));
/// replica.poll(&store, 0, Duration::ZERO).unwrap();
/// assert!(replica.may_serve(0));
/// ```
#[derive(Debug)]
pub struct TableReplica {
    state: Mutex<ReplicaState>,
    view: RwLock<Arc<TableView>>,
}

impl TableReplica {
    /// An empty copy in a process that started at `started_ms`.
    pub fn new(started_ms: u64) -> Self {
        let state = ReplicaState {
            head: TableHead::default(),
            applied: 0,
            clock: FreshnessClock::new(started_ms),
            problem: None,
        };
        Self {
            state: Mutex::new(state),
            view: RwLock::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, ReplicaState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The table as it is applied.
    pub fn view(&self) -> Arc<TableView> {
        self.view
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Follows the table until `stop` is set; `now` gives monotonic milliseconds.
    pub fn run(&self, store: &dyn ObjectStore, now: &dyn Fn() -> u64, stop: &AtomicBool) {
        let mut pause = RETRY_PAUSE;
        let mut audited_ms = now();
        while !stop.load(Ordering::Relaxed) {
            let sent_ms = now();
            if let Err(error) = self.poll(store, sent_ms, WATCH_WAIT) {
                log::warn!(target: "table", error:% = error; "could not follow the table");
                thread::sleep(pause);
                pause = LONGEST_PAUSE.min(pause * 2);
                continue;
            }
            pause = RETRY_PAUSE;
            if sent_ms.saturating_sub(audited_ms) >= AUDIT_PERIOD_MS {
                audited_ms = sent_ms;
                audit_head(store);
            }
        }
    }

    /// Watches the head once, and loads what is newer.
    ///
    /// `sent_ms` is the time just before the call.
    ///
    /// # Errors
    ///
    /// Nothing that was applied is lost, and nothing is confirmed. The caller
    /// pauses before it tries again.
    pub fn poll(
        &self,
        store: &dyn ObjectStore,
        sent_ms: u64,
        wait: Duration,
    ) -> Result<(), ReplicaError> {
        let known = self.known_head();
        let wait = if self.missing().is_empty() {
            wait
        } else {
            Duration::ZERO
        };
        let answer = store.watch(HEAD_KEY, known, wait);
        self.take_watch(store, sent_ms, known, answer)
    }

    /// Takes the answer to a watch that was sent at `sent_ms` for heads after
    /// `known`, and loads what is newer.
    ///
    /// # Errors
    ///
    /// As for [`TableReplica::poll`].
    pub fn take_watch(
        &self,
        store: &dyn ObjectStore,
        sent_ms: u64,
        known: u64,
        answer: Result<Option<StoredObject>, StoreError>,
    ) -> Result<(), ReplicaError> {
        let result = self.follow(store, sent_ms, known, answer);
        self.lock().problem = result.as_ref().err().cloned();
        result
    }

    fn follow(
        &self,
        store: &dyn ObjectStore,
        sent_ms: u64,
        known: u64,
        answer: Result<Option<StoredObject>, StoreError>,
    ) -> Result<(), ReplicaError> {
        let answer = answer.map_err(|error| store_error(HEAD_KEY, error))?;
        let head = match answer {
            None => known,
            Some(object) => {
                let object = HeadObject::decode(object.version, &object.value);
                let object = object.map_err(|error| damaged(HEAD_KEY, error))?;
                self.adopt_head(&object.head);
                self.apply_deltas(&object.deltas);
                object.head.version
            }
        };
        let loaded = self.load(store);
        self.lock().clock.confirmed_by_platform(sent_ms, head);
        loaded
    }

    /// The version of the newest head that is known.
    pub fn known_head(&self) -> u64 {
        self.lock().head.version
    }

    /// Loads the shards that the head names and the view lacks.
    ///
    /// Those that could be read are applied, even if another could not.
    fn load(&self, store: &dyn ObjectStore) -> Result<(), ReplicaError> {
        let mut shards = Vec::new();
        let mut result = Ok(());
        for (index, named) in self.missing() {
            match load_shard(store, index, named) {
                Ok(rows) => shards.push((index, rows)),
                Err(error) => result = Err(error),
            }
        }
        self.apply_shards(shards);
        result
    }

    /// Applies the edits that the head carries, where they fit the version here.
    fn apply_deltas(&self, deltas: &[ShardDelta]) {
        for delta in deltas {
            let view = self.view();
            let rows = view.shard(delta.shard).and_then(|rows| rows.after(delta));
            if let Some(rows) = rows {
                self.apply_shards(vec![(delta.shard, rows)]);
            }
        }
    }

    /// Takes a head if it is newer than the known one.
    fn adopt_head(&self, head: &TableHead) {
        let mut state = self.lock();
        if head.version > state.head.version {
            state.head = head.clone();
        }
    }

    /// The shards whose named versions the view has not reached.
    fn missing(&self) -> Vec<(usize, u64)> {
        let state = self.lock();
        let view = self.view();
        let named = state.head.shards.iter().copied().enumerate();
        let pairs = named.zip(view.shard_versions());
        let missing = pairs.filter(|((_, named), current)| named > current);
        missing.map(|(named, _)| named).collect()
    }

    /// Applies shards that are newer, and the head once it has all of its shards.
    fn apply_shards(&self, shards: Vec<(usize, ShardRows)>) {
        let mut state = self.lock();
        let mut view = self.view();
        if !shards.is_empty() {
            view = Arc::new(view.with_shards(shards));
            *self.view.write().unwrap_or_else(PoisonError::into_inner) = view.clone();
        }
        let mut pairs = state.head.shards.iter().zip(view.shard_versions());
        if pairs.all(|(named, current)| *named <= current) {
            state.applied = state.head.version;
            let applied = state.applied;
            state.clock.applied(applied);
        }
    }

    /// By what the process may serve new requests at `now_ms`.
    pub fn freshness(&self, now_ms: u64) -> FreshnessState {
        self.lock().clock.state(now_ms)
    }

    /// Whether the process may serve new requests at `now_ms`.
    pub fn may_serve(&self, now_ms: u64) -> bool {
        self.freshness(now_ms) != FreshnessState::Unconfirmed
    }

    /// Takes the other entry and dispatch processes.
    pub fn set_peers(&self, names: &[InstanceName]) {
        self.lock().clock.set_peers(names);
    }

    /// Takes a peer's answer to a question that was asked at `asked_ms`.
    pub fn peer_report(&self, name: &InstanceName, report: PeerReport, asked_ms: u64) {
        self.lock().clock.peer_report(name, report, asked_ms);
    }

    /// Takes a peer's word that a call of its, sent at or after `sent_ms` by
    /// this process's clock, showed no head newer than `head`.
    pub fn confirmed_by_peer(&self, sent_ms: u64, head: u64) {
        self.lock().clock.confirmed_by_peer(sent_ms, head);
    }

    /// What to tell a peer that asks at `now_ms`.
    pub fn report_to_peer(&self, now_ms: u64) -> PeerReport {
        self.lock().clock.report(now_ms)
    }

    /// Who has applied `head`.
    pub fn force(&self, head: u64) -> ForceReport {
        self.lock().clock.force(head)
    }

    /// What the replica knows about itself at `now_ms`.
    pub fn report(&self, now_ms: u64) -> ReplicaReport {
        let mut state = self.lock();
        let confirmed = state.clock.confirmed_ms();
        ReplicaReport {
            applied: state.applied,
            known: state.head.version,
            state: state.clock.state(now_ms),
            confirmed_age_ms: confirmed.map(|sent_ms| now_ms.saturating_sub(sent_ms)),
            force: state.clock.force(state.head.version),
            problem: state.problem.clone(),
        }
    }

    /// What is wrong between rows, left behind by edits that raced in different shards.
    pub fn rule_errors(&self) -> Vec<RowError> {
        let view = self.view();
        verify_rows(view.rows().map(|stored| &stored.row))
    }

    /// The newest head that is known, for a peer.
    pub fn offer(&self) -> TableHead {
        self.lock().head.clone()
    }

    /// One shard as it is applied, for a peer: version and document.
    pub fn export_shard(&self, index: usize) -> Option<(u64, Vec<u8>)> {
        let view = self.view();
        let rows = view.shard(index).filter(|rows| rows.version() > 0)?;
        Some((rows.version(), rows.encode(index)))
    }

    /// Takes a peer's head, and returns the shards that are lacking for it.
    ///
    /// # Errors
    ///
    /// The head names another number of shards.
    pub fn accept_head(&self, head: &TableHead) -> Result<Vec<usize>, ReplicaError> {
        if head.shards.len() != SHARD_COUNT {
            return Err(damaged(HEAD_KEY, ShardError::Count(head.shards.len())));
        }
        self.adopt_head(head);
        self.apply_shards(Vec::new());
        Ok(self.missing().into_iter().map(|(index, _)| index).collect())
    }

    /// Takes a peer's shard; one that is not newer is ignored.
    ///
    /// # Errors
    ///
    /// The bytes are not that shard's document, or there is no such shard.
    pub fn accept_shard(
        &self,
        index: usize,
        version: u64,
        bytes: &[u8],
    ) -> Result<(), ReplicaError> {
        if index >= SHARD_COUNT {
            return Err(ReplicaError::Index(index));
        }
        let rows = ShardRows::decode(index, version, bytes);
        let rows = rows.map_err(|error| damaged(&shard_key(index), error))?;
        self.apply_shards(vec![(index, rows)]);
        Ok(())
    }
}

/// Raises the head where an editor died between shard and head.
fn audit_head(store: &dyn ObjectStore) {
    if let Err(error) = TableEditor::new(store).repair_head() {
        log::warn!(target: "table", error:% = error; "could not audit the head");
    }
}

fn load_shard(
    store: &dyn ObjectStore,
    index: usize,
    named: u64,
) -> Result<ShardRows, ReplicaError> {
    let key = shard_key(index);
    let object = store.get(&key).map_err(|error| store_error(&key, error))?;
    let object = object.ok_or_else(|| store_error(&key, StoreError::NotFound))?;
    let found = object.version;
    if found < named {
        return Err(ReplicaError::Stale { key, found, named });
    }
    ShardRows::decode(index, found, &object.value).map_err(|error| damaged(&key, error))
}

fn store_error(key: &str, error: StoreError) -> ReplicaError {
    let key = key.to_owned();
    ReplicaError::Store { key, error }
}

fn damaged(key: &str, error: ShardError) -> ReplicaError {
    let key = key.to_owned();
    ReplicaError::Damaged { key, error }
}
