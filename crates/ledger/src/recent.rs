//! Keys that this process has seen in the ledger.
//!
//! While the platform is down, the ledger cannot be asked whether an order is
//! new. A key that was seen before is then refused as "may have run", so that
//! the refusal is true of the key and not of the last call only. A key that
//! another process saw is not known here.

use crate::KeyPlace;
use std::sync::atomic::{AtomicU64, Ordering};

/// Keys remembered at most; a newer key may take the place of an older one.
const SLOTS: usize = 1 << 14;

/// A bounded memory of keys, one slot for each value of a hash's low bits.
#[derive(Debug)]
pub(crate) struct RecentKeys {
    slots: Vec<AtomicU64>,
}

impl RecentKeys {
    /// A memory without keys.
    pub(crate) fn new() -> Self {
        Self {
            slots: (0..SLOTS).map(|_| AtomicU64::new(0)).collect(),
        }
    }

    /// The slot of a place.
    fn slot(&self, place: &KeyPlace) -> &AtomicU64 {
        &self.slots[place.hash as usize % SLOTS]
    }

    /// Remembers a key.
    pub(crate) fn insert(&self, place: &KeyPlace) {
        self.slot(place).store(place.hash, Ordering::Relaxed);
    }

    /// Whether a key is remembered.
    pub(crate) fn contains(&self, place: &KeyPlace) -> bool {
        self.slot(place).load(Ordering::Relaxed) == place.hash
    }
}
