//! Kept cache: which pieces an engine may use, and when a slot may be reused.
//!
//! Bytes move between engine and store; this crate sends orders only. A read is
//! safe in the way of a sequence lock:
//!
//! 1. A name (key, nonce, generation) is used for one writing only.
//! 2. A piece counts once it is sealed: the engine that wrote it and the store
//!    agree on length and checksum.
//! 3. An import order names pieces with nonce and generation. The engine stages
//!    what it read and says length and checksum.
//! 4. After that, the store is asked whether the same names are still there,
//!    under the same incarnation. Only pieces that agree in all of this are
//!    committed, and only committed pieces are seen by runs.
//! 5. A name is freed only after it was retired and the longest transfer has
//!    passed, so that neither a slow reader nor a slow writer meets a reused slot.
//!
//! Silence, a mismatch or a restart of the store means that the piece is
//! computed again.
//!
//! # What stays open
//!
//! - An engine that says a checksum other than that of the bytes it staged is
//!   not found out when a slot changes under it after it was freed by the store
//!   itself, unless the name is gone by the time of the confirmation.
//! - A process that ends between retiring and freeing leaves the piece to the
//!   store's own eviction.

mod cache;
mod names;
mod registry;
mod store;
mod transfer;

pub use crate::kept::{
    cache::{FetchOutcome, FetchStop, KeepOutcome, KeptCache, KeptHits},
    names::{PieceSeal, SealedPiece, StoredName},
    registry::{ImportTicket, PieceRegistry, RecomputeReason, StoreConfirmation},
    store::StoreClient,
};
