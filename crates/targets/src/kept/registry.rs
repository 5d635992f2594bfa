//! The decisions on imports and frees, without I/O.
//!
//! Several processes may use one store, each with its own registry. Nothing
//! here depends on knowing of the others: an import is judged by what the
//! engine read and the store confirmed, and a free waits for the longest
//! transfer that anybody may have under way.

use crate::kept::{PieceSeal, SealedPiece, StoredName};
use berylmount_model::PieceKey;
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
};
use strum::{Display, IntoStaticStr};

/// Names that may wait to be freed; above it, new ones are left to the store.
const MAX_RETIRED: usize = 65_536;

/// Why a piece is computed again instead of imported.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RecomputeReason {
    /// The engine did not read it.
    NotRead,
    /// The engine read other bytes than were sealed.
    ReadDiffers,
    /// The name is gone or its seal changed.
    Gone,
    /// The store was restarted in between.
    Restarted,
}

/// What a store says of names after an import.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize)]
pub struct StoreConfirmation {
    /// Rises with every restart of the store.
    pub incarnation: u64,
    /// The asked names that are still sealed there.
    pub pieces: Vec<SealedPiece>,
}

/// An import under way.
///
/// It ends by [`PieceRegistry::finish_import`]. A dropped ticket keeps its
/// names from being freed by this process until the transfer limit is over.
#[derive(Debug)]
pub struct ImportTicket {
    id: u64,
    incarnation: u64,
    pieces: Vec<SealedPiece>,
}

impl ImportTicket {
    /// The pieces to import, in order.
    pub fn pieces(&self) -> &[SealedPiece] {
        &self.pieces
    }

    /// The import's number within this process.
    pub fn id(&self) -> u64 {
        self.id
    }
}

/// A name that an import may be reading.
#[derive(Clone, Copy, Debug)]
struct NamePin {
    name: StoredName,
    import: u64,
    until_ms: u64,
}

/// A name that waits to be freed.
#[derive(Clone, Copy, Debug)]
struct RetiredName {
    name: StoredName,
    store: SocketAddr,
    free_after_ms: u64,
}

/// Names in use and names to free, as this process knows them.
///
/// ```
/// use berylmount_targets::kept::PieceRegistry;
///
/// let mut registry = PieceRegistry::new(7, 30_000);
/// assert_ne!(registry.next_nonce(), registry.next_nonce());
/// assert!(registry.free_due(30_000).is_empty());
/// ```
#[derive(Debug)]
pub struct PieceRegistry {
    origin: u64,
    transfer_limit_ms: u64,
    count: u64,
    pins: Vec<NamePin>,
    /// Sorted by name; bounded by [`MAX_RETIRED`].
    retired: Vec<RetiredName>,
}

impl PieceRegistry {
    /// An empty registry of the process incarnation `origin`.
    ///
    /// No transfer between an engine and a store may go on for longer than
    /// `transfer_limit_ms`; engines give up after that time.
    pub fn new(origin: u64, transfer_limit_ms: u64) -> Self {
        Self {
            origin,
            transfer_limit_ms,
            count: 0,
            pins: Vec::new(),
            retired: Vec::new(),
        }
    }

    /// A nonce that no name has had.
    pub fn next_nonce(&mut self) -> u64 {
        self.count += 1;
        let mut hasher = DefaultHasher::new();
        (self.origin, self.count).hash(&mut hasher);
        hasher.finish()
    }

    /// Whether a written piece may be sealed: both sides have the same bytes.
    pub fn seals_agree(engine: &PieceSeal, store: &PieceSeal) -> bool {
        engine == store && engine.length > 0
    }

    /// Begins an import of `found`, without the names that are retired here.
    ///
    /// `incarnation` is the store's at the time of the look-up.
    pub fn begin_import(
        &mut self,
        found: &[SealedPiece],
        incarnation: u64,
        now_ms: u64,
    ) -> ImportTicket {
        self.pins.retain(|pin| pin.until_ms > now_ms);
        self.count += 1;
        let pieces = found.iter().filter(|piece| !self.is_retired(&piece.name));
        let pieces: Vec<_> = pieces.cloned().collect();
        let pins = pieces.iter().map(|piece| NamePin {
            name: piece.name,
            import: self.count,
            until_ms: now_ms.saturating_add(self.transfer_limit_ms),
        });
        self.pins.extend(pins);
        ImportTicket {
            id: self.count,
            incarnation,
            pieces,
        }
    }

    /// Judges each piece of an import by what was read and then confirmed.
    ///
    /// `confirmation` must have been asked for after the engine said what it
    /// read. Only pieces judged `Ok` may be committed.
    pub fn finish_import(
        &mut self,
        ticket: ImportTicket,
        read: &[(PieceKey, PieceSeal)],
        confirmation: &StoreConfirmation,
    ) -> Vec<(PieceKey, Result<(), RecomputeReason>)> {
        self.pins.retain(|pin| pin.import != ticket.id);
        let restarted = confirmation.incarnation != ticket.incarnation;
        let judge = |piece: &SealedPiece| {
            let read = read.iter().find(|(key, _)| *key == piece.name.key);
            match read {
                _ if restarted => Err(RecomputeReason::Restarted),
                None => Err(RecomputeReason::NotRead),
                Some((_, seal)) if *seal != piece.seal => Err(RecomputeReason::ReadDiffers),
                _ if !confirmation.pieces.contains(piece) => Err(RecomputeReason::Gone),
                _ => Ok(()),
            }
        };
        let pieces = ticket.pieces.iter();
        pieces.map(|piece| (piece.name.key, judge(piece))).collect()
    }

    /// Notes that `name` is retired at `store`; it is freed later.
    ///
    /// Use it also for a name whose writing failed, because the engine may
    /// still be writing. Beyond a bound, a name is left to the store's own
    /// eviction.
    pub fn retire(&mut self, store: SocketAddr, name: StoredName, now_ms: u64) {
        let place = self.retired.binary_search_by_key(&name, |r| r.name);
        if let (Err(place), true) = (place, self.retired.len() < MAX_RETIRED) {
            let retired = RetiredName {
                name,
                store,
                free_after_ms: now_ms.saturating_add(self.transfer_limit_ms),
            };
            self.retired.insert(place, retired);
        }
    }

    /// The names that may be freed now, with their stores in order.
    ///
    /// Each is listed until [`PieceRegistry::freed`] is told; freeing by
    /// nonce and generation may be repeated.
    pub fn free_due(&self, now_ms: u64) -> Vec<(SocketAddr, StoredName)> {
        let pinned = |name| {
            let mut pins = self.pins.iter();
            pins.any(|pin| pin.name == name && pin.until_ms > now_ms)
        };
        let due = self.retired.iter();
        let due = due.filter(|r| r.free_after_ms <= now_ms && !pinned(r.name));
        let mut due: Vec<_> = due.map(|r| (r.store, r.name)).collect();
        due.sort_unstable();
        due
    }

    /// Forgets a name that its store has freed.
    pub fn freed(&mut self, name: &StoredName) {
        if let Ok(place) = self.retired.binary_search_by_key(name, |r| r.name) {
            self.retired.remove(place);
        }
    }

    /// Whether this process has retired `name`.
    fn is_retired(&self, name: &StoredName) -> bool {
        let place = self.retired.binary_search_by_key(name, |r| r.name);
        place.is_ok()
    }
}
