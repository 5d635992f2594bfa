//! The engine stand-in's prefix cache and the content of its pieces.
//!
//! A piece's bytes begin with a stamp that says what they were computed from,
//! and the rest follows from the stamp. So every use can be checked: another
//! scope or version is mixed use, and bytes that do not follow from their
//! stamp, or belong to another prefix, are a bad read.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// What a run's pieces belong to.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct PieceStamp {
    /// The customer's cache scope.
    pub(crate) scope: String,
    /// The model.
    pub(crate) model: String,
    /// The weight version.
    pub(crate) version: String,
    /// The adapter.
    pub(crate) adapter: String,
    /// SHA-256 of the tokens up to the piece's end.
    pub(crate) prefix: String,
}

/// The bytes of a piece: the stamp as a line, then filler that follows from it.
pub(crate) fn piece_bytes(stamp: &PieceStamp, length: usize) -> Vec<u8> {
    let mut bytes = serde_json::to_vec(stamp).unwrap_or_default();
    bytes.push(b'\n');
    let seed = Sha256::digest(&bytes);
    while bytes.len() < length {
        bytes.extend_from_slice(&seed);
    }
    bytes.truncate(length.max(1));
    bytes
}

/// The stamp of `bytes`, if they are a whole and unmixed piece.
pub(crate) fn read_stamp(bytes: &[u8]) -> Option<PieceStamp> {
    let end = bytes.iter().position(|&b| b == b'\n')?;
    let stamp = serde_json::from_slice(&bytes[..end]).ok()?;
    let expected = piece_bytes(&stamp, bytes.len());
    (expected == bytes).then_some(stamp)
}

/// SHA-256 over the prompt's tokens at the end of each whole piece.
pub(crate) fn prefix_digests(prompt: &str, piece_tokens: usize) -> Vec<String> {
    let mut hash = Sha256::new();
    let mut digests = Vec::new();
    for (i, token) in prompt.split_whitespace().enumerate() {
        hash.update(token.as_bytes());
        hash.update([0]);
        if (i + 1) % piece_tokens == 0 {
            digests.push(hex::encode(hash.clone().finalize()));
        }
    }
    digests
}

/// A piece in the engine's memory.
#[derive(Clone, Debug)]
struct CachedPiece {
    bytes: Vec<u8>,
    used: u64,
}

/// The engine's prefix cache, evicting the least recently used piece.
#[derive(Debug, Default)]
pub(crate) struct PieceCache {
    pieces: BTreeMap<String, CachedPiece>,
    room: usize,
    clock: u64,
}

impl PieceCache {
    /// A cache with room for `room` pieces.
    pub(crate) fn new(room: usize) -> Self {
        Self {
            room,
            ..Self::default()
        }
    }

    /// The bytes under `key`, marked as used.
    pub(crate) fn touch(&mut self, key: &str) -> Option<&[u8]> {
        self.clock += 1;
        let piece = self.pieces.get_mut(key)?;
        piece.used = self.clock;
        Some(&piece.bytes)
    }

    /// Adds a piece and returns the keys that it pushed out.
    pub(crate) fn insert(&mut self, key: &str, bytes: Vec<u8>) -> Vec<String> {
        self.clock += 1;
        let used = self.clock;
        self.pieces
            .insert(key.to_owned(), CachedPiece { bytes, used });
        let mut evicted = Vec::new();
        while self.pieces.len() > self.room {
            let oldest = self.pieces.iter().min_by_key(|(_, piece)| piece.used);
            let Some(key) = oldest.map(|(key, _)| key.clone()) else {
                break;
            };
            self.pieces.remove(&key);
            evicted.push(key);
        }
        evicted
    }

    /// Drops every piece and returns their keys.
    pub(crate) fn clear(&mut self) -> Vec<String> {
        std::mem::take(&mut self.pieces).into_keys().collect()
    }
}
