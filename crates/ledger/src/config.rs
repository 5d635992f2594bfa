//! Bounds of the ledger.

use crate::segment::SEGMENT_ENTRIES;
use std::hash::{BuildHasher, RandomState};

/// Days for which entries are kept, besides today.
pub const RETENTION_DAYS: u32 = 14;

/// Bounds of the ledger, checked and set once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LedgerConfig {
    /// The process incarnation, random, so that no two processes share a nonce.
    pub origin: u64,
    /// Days for which keys are served, besides today and tomorrow.
    pub retention_days: u32,
    /// Entries in a segment before it is sealed.
    pub segment_entries: usize,
    /// Entries that a lane remembers, counting sixteen of a sealed segment as one.
    pub cached_entries: usize,
    /// Outcomes that may wait for the platform before new orders are refused.
    pub max_owed: usize,
    /// Pause between probes of a platform that does not answer, in milliseconds.
    pub probe_ms: u64,
    /// Longest wait of a caller for its intent to be written, in milliseconds.
    pub begin_wait_ms: u64,
    /// Time from the begin within which the service may be called, in milliseconds.
    pub send_within_ms: u64,
    /// Age below which an operator cannot settle an order as not run, in milliseconds.
    pub settle_min_age_ms: u64,
    /// Lanes, each with a thread.
    pub lanes: usize,
    /// Changes that may wait for a lane's thread.
    pub lane_queue: usize,
}

impl LedgerConfig {
    /// The usual bounds for a process that has just started.
    ///
    /// The origin mixes `seed` with randomness of the operating system.
    pub fn for_process(seed: u64) -> Self {
        Self::new(RandomState::new().hash_one(seed))
    }

    /// The usual bounds for the process incarnation `origin`.
    ///
    /// ```
    /// use berylmount_ledger::LedgerConfig;
    ///
    /// let config = LedgerConfig::new(7);
    /// assert!(config.settle_min_age_ms > config.send_within_ms);
    /// ```
    pub fn new(origin: u64) -> Self {
        Self {
            origin,
            retention_days: RETENTION_DAYS,
            segment_entries: SEGMENT_ENTRIES,
            cached_entries: 2_048,
            max_owed: 4_096,
            probe_ms: 1_000,
            begin_wait_ms: 2_000,
            send_within_ms: 10_000,
            settle_min_age_ms: 600_000,
            lanes: 4,
            lane_queue: 1_024,
        }
    }
}
