//! When objects of all instances may be listed, so that those of a large fleet do not list at
//! once.

use crate::{clock::boot_ms, state::GatewayState};
use rand::{rng, RngExt};
use std::{cell::Cell, time::Duration};
use tokio::time::sleep;

/// Bytes of a kind of objects that all instances together list in a millisecond, about a fifth
/// of the store's link.
const LISTED_BYTES_PER_MS: u64 = 25_000;
/// Minimum size of a listing, in bytes.
const MIN_LISTING_BYTES: u64 = 50_000;
/// Longest wait until objects may be listed again, in milliseconds. If it were longer, the last
/// listing is used.
const MAX_LIST_WAIT_MS: u64 = 300;

/// When this instance may list the objects of a kind again.
#[derive(Debug, Default)]
pub(super) struct ListTurn {
    /// By the boot clock; 0 before the first listing.
    next_ms: Cell<u64>,
}

impl ListTurn {
    /// Waits until this instance may list, unless that takes long. Returns whether it may.
    pub(super) async fn wait(&self, state: &GatewayState) -> bool {
        if self.next_ms.get() == 0 {
            // The processes of a fleet that starts do not list at once.
            let interval_ms = list_interval_ms(state, 0);
            let delay_ms = rng().random_range(0..=interval_ms);
            self.next_ms.set(boot_ms() + delay_ms);
        }
        let wait_ms = self.next_ms.get().saturating_sub(boot_ms());
        if wait_ms > MAX_LIST_WAIT_MS {
            return false;
        }
        sleep(Duration::from_millis(wait_ms)).await;
        true
    }

    /// Records a listing of this size.
    pub(super) fn note_listed(&self, state: &GatewayState, bytes: u64) {
        self.next_ms.set(boot_ms() + list_interval_ms(state, bytes));
    }
}

/// Returns the time between two listings of one instance, in milliseconds.
fn list_interval_ms(state: &GatewayState, bytes: u64) -> u64 {
    let instances = state.instance_count() as u64;
    instances * bytes.max(MIN_LISTING_BYTES) / LISTED_BYTES_PER_MS
}
