//! One simple call each to find, fetch and keep pieces.

use crate::{
    engine::EngineClient,
    fault::TargetFault,
    http::TargetTimeouts,
    kept::{
        ImportTicket, PieceRegistry, RecomputeReason, SealedPiece, StoreClient, StoreConfirmation,
        StoredName,
    },
};
use berylmount_model::PieceKey;
use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

/// Pieces in one import; what came before a stop can then be used.
const IMPORT_PIECES: usize = 8;

/// Leading pieces of a prompt that stores have.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KeptHits {
    /// Runs of pieces in prompt order, each from one store and one import long.
    runs: Vec<StoreRun>,
}

/// Consecutive pieces in one store.
#[derive(Clone, Debug, Eq, PartialEq)]
struct StoreRun {
    store: SocketAddr,
    found: StoreConfirmation,
}

impl KeptHits {
    /// How many pieces were found.
    pub fn count(&self) -> usize {
        self.runs.iter().map(|run| run.found.pieces.len()).sum()
    }

    /// Their length, in bytes.
    pub fn bytes(&self) -> u64 {
        let pieces = self.runs.iter().flat_map(|run| &run.found.pieces);
        pieces.map(|piece| piece.seal.length).sum()
    }

    /// The names, each with its store.
    pub fn names(&self) -> Vec<(SocketAddr, StoredName)> {
        let runs = self.runs.iter();
        runs.flat_map(|run| run.found.pieces.iter().map(|p| (run.store, p.name)))
            .collect()
    }

    /// Adds a piece after the others.
    fn push(&mut self, store: SocketAddr, incarnation: u64, piece: SealedPiece) {
        if let Some(run) = self.runs.last_mut() {
            if run.store == store && run.found.pieces.len() < IMPORT_PIECES {
                run.found.pieces.push(piece);
                return;
            }
        }
        let pieces = vec![piece];
        let found = StoreConfirmation {
            incarnation,
            pieces,
        };
        self.runs.push(StoreRun { store, found });
    }
}

/// Why a fetch stopped before its last piece.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum FetchStop {
    /// The time was over.
    #[error("the time limit passed")]
    Deadline,
    /// The engine or the store failed.
    #[error("a target failed: {0}")]
    Fault(TargetFault),
    /// A piece did not pass its checks.
    #[error("a piece is computed again: {0}")]
    Recompute(RecomputeReason),
}

/// What a fetch did.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FetchOutcome {
    /// Leading pieces that the engine's runs may use now.
    pub pieces: usize,
    /// Their length, in bytes.
    pub bytes: u64,
    /// Time that it took.
    pub took: Duration,
    /// Why it stopped early; none when all pieces came.
    pub stop: Option<FetchStop>,
}

/// What a keep did.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KeepOutcome {
    /// Pieces that are sealed now by this call.
    pub sealed: Vec<StoredName>,
    /// Pieces that the store had already.
    pub present: usize,
    /// Bytes that were sealed.
    pub bytes: u64,
    /// The first fault, after which nothing more was tried.
    pub fault: Option<TargetFault>,
}

/// Finds, fetches and keeps pieces for a dispatch process.
///
/// It may be shared by threads; no lock is held while a target is asked.
///
/// ```
/// use berylmount_targets::{kept::KeptCache, TargetTimeouts};
/// use std::time::Duration;
///
/// let cache = KeptCache::new(7, TargetTimeouts::default());
/// let hits = cache.find(&[], &[], Duration::from_millis(100));
/// assert_eq!(hits.count(), 0);
/// ```
#[derive(Debug)]
pub struct KeptCache {
    registry: Mutex<PieceRegistry>,
    origin: u64,
    timeouts: TargetTimeouts,
    started: Instant,
}

impl KeptCache {
    /// A cache of the process incarnation `origin`, which must be new.
    pub fn new(origin: u64, timeouts: TargetTimeouts) -> Self {
        let limit_ms = u64::try_from(timeouts.transfer.as_millis()).unwrap_or(u64::MAX);
        Self {
            registry: Mutex::new(PieceRegistry::new(origin, limit_ms)),
            origin,
            timeouts,
            started: Instant::now(),
        }
    }

    fn registry(&self) -> MutexGuard<'_, PieceRegistry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Asks `stores` at once which leading `keys` they have.
    ///
    /// An earlier store is preferred. A store that does not answer within
    /// `limit` has nothing.
    pub fn find(&self, stores: &[SocketAddr], keys: &[PieceKey], limit: Duration) -> KeptHits {
        if keys.is_empty() {
            return KeptHits::default();
        }
        let ask = |store: SocketAddr| {
            let client = StoreClient::new(store, self.timeouts);
            client.find(keys, limit)
        };
        let answers: Vec<_> = thread::scope(|scope| {
            let threads: Vec<_> = stores
                .iter()
                .map(|&store| (store, scope.spawn(move || ask(store))))
                .collect();
            let answers = threads.into_iter();
            answers
                .map(|(store, thread)| (store, thread.join()))
                .collect()
        });
        let mut hits = KeptHits::default();
        for key in keys {
            let found = answers.iter().find_map(|(store, answer)| {
                let found = answer.as_ref().ok()?.as_ref().ok()?;
                let mut pieces = found.pieces.iter();
                let piece = pieces.find(|piece| piece.name.key == *key)?;
                Some((*store, found.incarnation, piece.clone()))
            });
            let Some((store, incarnation, piece)) = found else {
                break;
            };
            hits.push(store, incarnation, piece);
        }
        hits
    }

    /// Has `engine` import `hits`, within `limit`.
    ///
    /// Pieces that were committed before a stop count; everything else is to
    /// be computed again.
    pub fn fetch(&self, engine: &EngineClient, hits: &KeptHits, limit: Duration) -> FetchOutcome {
        let started = Instant::now();
        let mut outcome = FetchOutcome {
            pieces: 0,
            bytes: 0,
            took: Duration::ZERO,
            stop: None,
        };
        for run in &hits.runs {
            let left = limit.saturating_sub(started.elapsed());
            if let Err(stop) = self.fetch_run(engine, run, left, &mut outcome) {
                log::info!(target: "kept", store:% = run.store; "fetch stopped; {stop}");
                outcome.stop = Some(stop);
                break;
            }
        }
        outcome.took = started.elapsed();
        outcome
    }

    /// Imports, confirms and commits the pieces of one store.
    fn fetch_run(
        &self,
        engine: &EngineClient,
        run: &StoreRun,
        limit: Duration,
        outcome: &mut FetchOutcome,
    ) -> Result<(), FetchStop> {
        let started = Instant::now();
        let left = || time_left(started, limit);
        let now_ms = self.now_ms();
        let found = &run.found;
        let ticket = self
            .registry()
            .begin_import(&found.pieces, found.incarnation, now_ms);
        let name = format!("{:016x}-{}", self.origin, ticket.id());
        let names = names_of(&ticket);
        let read = engine.import(&name, run.store, &names, left()?);
        let read = read.map_err(FetchStop::Fault)?;
        let store = StoreClient::new(run.store, self.timeouts);
        let confirmation = store.confirm(&names, left()?).map_err(FetchStop::Fault)?;
        let judged = self.registry().finish_import(ticket, &read, &confirmation);
        let stop = judged.iter().find_map(|(_, verdict)| verdict.err());
        let usable = judged.iter().take_while(|(_, verdict)| verdict.is_ok());
        let keys: Vec<_> = usable.map(|(key, _)| *key).collect();
        // An empty commit drops what is staged.
        let done = engine.commit(&name, &keys, left()?);
        let done = done.map_err(FetchStop::Fault)?;
        let committed = keys.iter().take_while(|key| done.contains(key)).count();
        let pieces = found.pieces.iter().take(committed);
        outcome.bytes += pieces.map(|piece| piece.seal.length).sum::<u64>();
        outcome.pieces += committed;
        match stop {
            Some(reason) => Err(FetchStop::Recompute(reason)),
            None if committed < found.pieces.len() => {
                Err(FetchStop::Recompute(RecomputeReason::NotRead))
            }
            None => Ok(()),
        }
    }

    /// Has `engine` write the pieces `keys` to `store`, within `limit`.
    ///
    /// Pieces that the store has already are left alone, and one whose writing
    /// is unclear is retired and freed later.
    pub fn keep(
        &self,
        engine: &EngineClient,
        store: SocketAddr,
        keys: &[PieceKey],
        limit: Duration,
    ) -> KeepOutcome {
        let mut outcome = KeepOutcome::default();
        let started = Instant::now();
        let found = StoreClient::new(store, self.timeouts).find(keys, limit);
        let found = match found {
            Ok(found) => found.pieces,
            Err(fault) => {
                outcome.fault = Some(fault);
                return outcome;
            }
        };
        for &key in keys {
            if found.iter().any(|piece| piece.name.key == key) {
                outcome.present += 1;
                continue;
            }
            match self.keep_piece(engine, store, key, limit.saturating_sub(started.elapsed())) {
                Ok(Some(piece)) => {
                    outcome.bytes += piece.seal.length;
                    outcome.sealed.push(piece.name);
                }
                Ok(None) => outcome.present += 1,
                Err(fault) => {
                    log::info!(target: "kept", store:% = store; "keep stopped; {fault}");
                    outcome.fault = Some(fault);
                    break;
                }
            }
        }
        outcome
    }

    /// Reserves, writes and seals one piece; none when the store has it.
    fn keep_piece(
        &self,
        engine: &EngineClient,
        address: SocketAddr,
        key: PieceKey,
        limit: Duration,
    ) -> Result<Option<SealedPiece>, TargetFault> {
        let started = Instant::now();
        let left = || limit.saturating_sub(started.elapsed());
        let store = StoreClient::new(address, self.timeouts);
        let nonce = self.registry().next_nonce();
        let name = match store.reserve(key, nonce, left()) {
            Ok(name) => name,
            Err(fault) if fault.is_present() => return Ok(None),
            Err(fault) => return Err(fault),
        };
        let sealed = write_piece(engine, &store, name, &left);
        if sealed.is_err() {
            let now_ms = self.now_ms();
            self.registry().retire(address, name, now_ms);
        }
        sealed.map(Some)
    }

    /// Retires `names`: no look-up finds them, and they are freed later.
    ///
    /// # Errors
    ///
    /// Returns a [`TargetFault`] when the store does not confirm; the names
    /// are freed later all the same.
    pub fn retire(
        &self,
        store: SocketAddr,
        names: &[StoredName],
        limit: Duration,
    ) -> Result<(), TargetFault> {
        let now_ms = self.now_ms();
        for name in names {
            self.registry().retire(store, *name, now_ms);
        }
        let client = StoreClient::new(store, self.timeouts);
        client.retire(names, limit).map(drop)
    }

    /// Frees the retired names whose time has come; returns how many.
    ///
    /// Each store is asked once. One that does not answer within `limit` is
    /// asked again by the next call.
    pub fn free_due(&self, limit: Duration) -> usize {
        let due = self.registry().free_due(self.now_ms());
        let mut count = 0;
        for names in due.chunk_by(|(one, _), (other, _)| one == other) {
            let store = StoreClient::new(names[0].0, self.timeouts);
            let names: Vec<_> = names.iter().map(|(_, name)| *name).collect();
            if store.free(&names, limit).is_ok() {
                let mut registry = self.registry();
                names.iter().for_each(|name| registry.freed(name));
                count += names.len();
            }
        }
        count
    }
}

/// Has `engine` write a reserved piece and seals it.
fn write_piece(
    engine: &EngineClient,
    store: &StoreClient,
    name: StoredName,
    left: &impl Fn() -> Duration,
) -> Result<SealedPiece, TargetFault> {
    let written = engine.export(store.address(), &[name], left())?;
    let written = written.into_iter().find(|(key, _)| *key == name.key);
    let Some((_, seal)) = written else {
        return Err(TargetFault::bad_answer("the engine has no such piece"));
    };
    let own = store.seal(&name, &seal, left())?;
    if !PieceRegistry::seals_agree(&seal, &own) {
        return Err(TargetFault::bad_answer("engine and store disagree"));
    }
    Ok(SealedPiece { name, seal })
}

/// The time left of `limit`.
fn time_left(started: Instant, limit: Duration) -> Result<Duration, FetchStop> {
    let left = limit.saturating_sub(started.elapsed());
    if left.is_zero() {
        return Err(FetchStop::Deadline);
    }
    Ok(left)
}

/// The names of an import's pieces.
fn names_of(ticket: &ImportTicket) -> Vec<StoredName> {
    ticket.pieces().iter().map(|piece| piece.name).collect()
}
