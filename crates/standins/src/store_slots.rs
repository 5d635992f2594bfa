//! The slots and names of the store stand-in, without I/O.

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// Names one writing of a piece.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct PieceName {
    pub(crate) key: String,
    pub(crate) nonce: u64,
    pub(crate) generation: u64,
}

/// How far a piece has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PieceState {
    Writing,
    Sealed,
    Retired,
}

/// A named piece in a slot.
#[derive(Debug)]
struct StoredPiece {
    name: PieceName,
    slot: usize,
    state: PieceState,
    length: usize,
    /// What was in the slot when it was sealed.
    seal: Option<Value>,
    used: u64,
}

/// Where a read finds its bytes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotPlace {
    pub(crate) slot: usize,
    pub(crate) length: usize,
    pub(crate) on_disk: bool,
}

/// All slots, memory first, and the names that lie in them.
#[derive(Debug)]
pub(crate) struct SlotStore {
    slots: Vec<Vec<u8>>,
    memory_slots: usize,
    pieces: Vec<StoredPiece>,
    /// The slot and length that a key had last, also when it is freed.
    last_place: BTreeMap<String, (usize, usize)>,
    generation: u64,
    incarnation: u64,
    clock: u64,
    evicts: bool,
}

impl SlotStore {
    /// An empty store.
    pub(crate) fn new(memory_slots: usize, disk_slots: usize, evicts: bool) -> Self {
        Self {
            slots: vec![Vec::new(); memory_slots + disk_slots],
            memory_slots,
            pieces: Vec::new(),
            last_place: BTreeMap::new(),
            generation: 0,
            incarnation: 1,
            clock: 0,
            evicts,
        }
    }

    /// Rises with every restart.
    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Pieces that have a name.
    pub(crate) fn count(&self) -> usize {
        self.pieces.len()
    }

    fn piece(&mut self, name: &PieceName) -> Option<&mut StoredPiece> {
        self.pieces.iter_mut().find(|piece| piece.name == *name)
    }

    fn free_slot(&self, from: usize, to: usize) -> Option<usize> {
        (from..to).find(|slot| self.pieces.iter().all(|piece| piece.slot != *slot))
    }

    /// The least recently used piece in a range of slots.
    fn oldest(&self, from: usize, to: usize) -> Option<usize> {
        let pieces = self.pieces.iter().enumerate();
        let pieces = pieces.filter(|(_, piece)| (from..to).contains(&piece.slot));
        let oldest = pieces.min_by_key(|(_, piece)| piece.used);
        oldest.map(|(i, _)| i)
    }

    /// A free memory slot, made by moving or dropping the oldest piece.
    fn memory_slot(&mut self) -> Option<usize> {
        let (memory, all) = (self.memory_slots, self.slots.len());
        if let Some(slot) = self.free_slot(0, memory) {
            return Some(slot);
        }
        if self.free_slot(memory, all).is_none() && self.evicts {
            let oldest = self
                .oldest(memory, all)
                .or_else(|| self.oldest(0, memory))?;
            self.pieces.remove(oldest);
        }
        if let Some(slot) = self.free_slot(0, memory) {
            return Some(slot);
        }
        let disk = self.free_slot(memory, all)?;
        let oldest = self.oldest(0, memory)?;
        let slot = self.pieces[oldest].slot;
        self.slots[disk] = self.slots[slot].clone();
        self.pieces[oldest].slot = disk;
        let place = (disk, self.pieces[oldest].length);
        let key = self.pieces[oldest].name.key.clone();
        self.last_place.insert(key, place);
        Some(slot)
    }

    /// Gives a new piece a slot and a generation.
    pub(crate) fn reserve(&mut self, key: &str, nonce: u64) -> Result<u64, &'static str> {
        let mut pieces = self.pieces.iter();
        if pieces.any(|p| p.name.key == key && p.state == PieceState::Sealed) {
            return Err("exists");
        }
        let slot = self.memory_slot().ok_or("full")?;
        self.generation += 1;
        self.clock += 1;
        let name = PieceName {
            key: key.to_owned(),
            nonce,
            generation: self.generation,
        };
        self.pieces.push(StoredPiece {
            name,
            slot,
            state: PieceState::Writing,
            length: 0,
            seal: None,
            used: self.clock,
        });
        Ok(self.generation)
    }

    /// The slot of a piece that is being written.
    pub(crate) fn slot_for_write(&mut self, name: &PieceName) -> Option<usize> {
        let piece = self.piece(name)?;
        (piece.state == PieceState::Writing).then_some(piece.slot)
    }

    /// Notes the length that a writer announced.
    pub(crate) fn set_length(&mut self, name: &PieceName, length: usize) {
        if let Some(piece) = self.piece(name) {
            piece.length = length;
            let slot = piece.slot;
            self.last_place.insert(name.key.clone(), (slot, length));
        }
    }

    /// The slot of a name, or the one that its key had last.
    pub(crate) fn slot_for_read(&mut self, name: &PieceName) -> Option<SlotPlace> {
        self.clock += 1;
        let clock = self.clock;
        let known = self.piece(name).map(|piece| {
            piece.used = clock;
            (piece.slot, piece.length)
        });
        let (slot, length) = known.or_else(|| self.last_place.get(&name.key).copied())?;
        let on_disk = slot >= self.memory_slots;
        Some(SlotPlace {
            slot,
            length,
            on_disk,
        })
    }

    /// Writes into a slot, whoever has it now.
    pub(crate) fn write_slot(&mut self, slot: usize, offset: usize, bytes: &[u8]) {
        let end = offset + bytes.len();
        let slot = &mut self.slots[slot];
        if slot.len() < end {
            slot.resize(end, 0);
        }
        slot[offset..end].copy_from_slice(bytes);
    }

    /// Reads from a slot, whoever has it now.
    pub(crate) fn read_slot(&self, slot: usize, offset: usize, count: usize) -> Vec<u8> {
        let slot = &self.slots[slot];
        let part = slot.get(offset..(offset + count).min(slot.len()));
        let mut bytes = part.unwrap_or_default().to_vec();
        bytes.resize(count, 0);
        bytes
    }

    /// Seals a piece when what lies in its slot agrees with the writer's seal.
    pub(crate) fn seal(&mut self, name: &PieceName, seal: &Value) -> Option<Value> {
        let piece = self.piece(name)?;
        let (slot, length) = (piece.slot, piece.length);
        let bytes = self.read_slot(slot, 0, length);
        let checksum = hex::encode(Sha256::digest(&bytes));
        let own = json!({"length": length, "checksum": checksum});
        if own != *seal {
            return None;
        }
        let piece = self.piece(name)?;
        piece.state = PieceState::Sealed;
        piece.seal = Some(own.clone());
        Some(own)
    }

    /// The sealed piece of a key.
    pub(crate) fn find(&self, key: &str) -> Option<Value> {
        let mut pieces = self.pieces.iter();
        let piece = pieces.find(|p| p.name.key == key && p.state == PieceState::Sealed)?;
        describe(piece)
    }

    /// The piece of a name, if it was sealed and is not freed.
    pub(crate) fn confirm(&self, name: &PieceName) -> Option<Value> {
        describe(self.pieces.iter().find(|piece| piece.name == *name)?)
    }

    /// Hides a piece from look-ups.
    pub(crate) fn retire(&mut self, name: &PieceName) -> bool {
        let Some(piece) = self.piece(name) else {
            return false;
        };
        piece.state = PieceState::Retired;
        true
    }

    /// Frees a piece's slot; the bytes stay until the slot is reused.
    pub(crate) fn free(&mut self, name: &PieceName) -> bool {
        let before = self.pieces.len();
        self.pieces.retain(|piece| piece.name != *name);
        self.pieces.len() < before
    }

    /// Frees every piece.
    pub(crate) fn free_all(&mut self) {
        self.pieces.clear();
    }

    /// Loses memory and unsealed pieces, and counts generations from one.
    pub(crate) fn restart(&mut self) {
        let memory = self.memory_slots;
        self.pieces
            .retain(|piece| piece.slot >= memory && piece.state == PieceState::Sealed);
        self.generation = 0;
        self.incarnation += 1;
    }
}

/// Name and seal of a piece that was sealed.
fn describe(piece: &StoredPiece) -> Option<Value> {
    let seal = piece.seal.as_ref()?;
    Some(json!({"name": piece.name, "seal": seal}))
}
