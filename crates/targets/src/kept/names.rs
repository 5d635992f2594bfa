//! Names and seals of stored pieces.

use berylmount_model::PieceKey;
use serde::{Deserialize, Serialize};

/// Names one writing of a piece in a store; never used for another.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct StoredName {
    /// What the piece holds.
    pub key: PieceKey,
    /// Drawn by the process that reserved the name.
    pub nonce: u64,
    /// Counted by the store; starts again after a restart.
    pub generation: u64,
}

/// What a piece's bytes were when somebody had them in hand.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PieceSeal {
    /// Length in bytes.
    pub length: u64,
    /// SHA-256 in hexadecimal.
    pub checksum: String,
}

/// A piece whose writer and store agreed on its bytes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SealedPiece {
    /// Its name.
    pub name: StoredName,
    /// Its bytes' length and checksum.
    pub seal: PieceSeal,
}
