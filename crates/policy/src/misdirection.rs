//! Runners whose addresses belong to other servers.
//!
//! After a runner has ended, its address may be assigned to a server of another service
//! while the list of runners still names the runner, above all while the object store is
//! away. The other server rejects the requests. One such response excludes the runner at
//! all instances, because every further request would only cost a retry at a service whose
//! retry budget it does not belong to.
//!
//! Invariants:
//!
//! - An exclusion ends by itself, and then one request shows whether the runner is back.
//!   Each further rejection doubles the time of the exclusion, up to a limit.
//! - The number of entries is bounded.

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use std::ops::Range;

/// Time of the first exclusion, in milliseconds. The entry of a runner that has ended
/// expires within it while the object store is available.
const FIRST_EXCLUSION_MS: u64 = 5000;
/// Longest exclusion, in milliseconds.
const MAX_EXCLUSION_MS: u64 = 60_000;
/// Random factor on an exclusion, so that the instances do not all try the runner again
/// at once.
const EXCLUSION_JITTER: Range<f64> = 1.0..1.5;
/// Exclusion after a rejection that does not name its sender, in milliseconds.
const UNCLEAR_EXCLUSION_MS: u64 = 300;
/// Rejections in a row that do not name their sender after which the runner counts as
/// replaced. A single one may have another reason.
const MAX_UNCLEAR: u32 = 2;
/// Time after the end of an exclusion at which it is forgotten, in milliseconds.
const FORGET_MS: u64 = 120_000;
/// Maximum number of entries; several times the runners of a large fleet.
const MAX_ENTRIES: usize = 1024;

/// Who rejected a request that was meant for another server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RejectionSender {
    /// Another server, which named itself.
    Other,
    /// The response does not tell.
    Unknown,
}

/// The exclusion of a runner, for other instances.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExclusionReport {
    /// Key of the runner and its start.
    pub runner: u64,
    /// Number of exclusions in a row.
    pub strikes: u32,
    /// Time left of the exclusion, in milliseconds.
    pub left_ms: u64,
}

#[derive(Clone, Debug)]
struct ExclusionEntry {
    runner: u64,
    strikes: u32,
    /// Rejections in a row that do not name their sender.
    unclear: u32,
    until_ms: u64,
}

/// The runners whose addresses belong to other servers, as far as this instance knows.
#[derive(Clone, Debug, Default)]
pub struct MisdirectedRunners {
    /// Sorted by runner.
    entries: Vec<ExclusionEntry>,
}

impl MisdirectedRunners {
    /// Records that a request for a runner was rejected because another server has its
    /// address. Returns whether the other instances should learn of it.
    ///
    /// ```
    /// use berylmount_policy::misdirection::{MisdirectedRunners, RejectionSender};
    ///
    /// let mut runners = MisdirectedRunners::default();
    /// assert!(runners.note(7, RejectionSender::Other, 1000, &mut rand::rng()));
    /// assert!(runners.is_excluded(7, 5900));
    /// assert!(!runners.is_excluded(7, 9000));
    /// ```
    pub fn note(
        &mut self,
        runner: u64,
        sender: RejectionSender,
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> bool {
        let entry = self.entry(runner, now_ms);
        if now_ms < entry.until_ms && entry.strikes > 0 {
            // The request was sent before the exclusion.
            return false;
        }
        if sender == RejectionSender::Unknown {
            entry.unclear += 1;
            if entry.unclear < MAX_UNCLEAR {
                entry.until_ms = now_ms + UNCLEAR_EXCLUSION_MS;
                return false;
            }
        }
        let doublings = entry.strikes.min(u64::BITS - 1);
        let span_ms = FIRST_EXCLUSION_MS.saturating_mul(1 << doublings);
        let span_ms = span_ms.min(MAX_EXCLUSION_MS) as f64 * rng.random_range(EXCLUSION_JITTER);
        entry.strikes += 1;
        entry.until_ms = now_ms + span_ms as u64;
        true
    }

    /// Records that the runner itself has responded to a request.
    pub fn clear(&mut self, runner: u64) {
        if let Ok(index) = self.find(runner) {
            self.entries.remove(index);
        }
    }

    /// Whether a runner gets no requests because another server has its address.
    pub fn is_excluded(&self, runner: u64, now_ms: u64) -> bool {
        let found = self.find(runner);
        found.is_ok_and(|index| now_ms < self.entries[index].until_ms)
    }

    /// Returns the exclusions that other instances should know.
    pub fn reports(&self, now_ms: u64) -> Vec<ExclusionReport> {
        let active = self.entries.iter().filter(|entry| entry.strikes > 0);
        let active = active.filter(|entry| now_ms < entry.until_ms);
        let reports = active.map(|entry| ExclusionReport {
            runner: entry.runner,
            strikes: entry.strikes,
            left_ms: entry.until_ms - now_ms,
        });
        reports.collect()
    }

    /// Applies what another instance knows. Returns whether the runner is newly excluded.
    ///
    /// ```
    /// use berylmount_policy::misdirection::{ExclusionReport, MisdirectedRunners};
    ///
    /// let mut runners = MisdirectedRunners::default();
    /// let report = ExclusionReport { runner: 7, strikes: 1, left_ms: 4000 };
    /// assert!(runners.merge(&report, 1000));
    /// assert!(runners.is_excluded(7, 4900));
    /// assert!(!runners.merge(&report, 1100));
    /// ```
    pub fn merge(&mut self, report: &ExclusionReport, now_ms: u64) -> bool {
        let longest_ms = (MAX_EXCLUSION_MS as f64 * EXCLUSION_JITTER.end) as u64;
        let entry = self.entry(report.runner, now_ms);
        let was_excluded = entry.strikes > 0 && now_ms < entry.until_ms;
        let until_ms = now_ms + report.left_ms.min(longest_ms);
        entry.strikes = entry.strikes.max(report.strikes);
        entry.until_ms = entry.until_ms.max(until_ms);
        !was_excluded && now_ms < entry.until_ms
    }

    /// Returns the entry of a runner, which is created if there is none.
    fn entry(&mut self, runner: u64, now_ms: u64) -> &mut ExclusionEntry {
        let index = match self.find(runner) {
            Ok(index) => index,
            Err(_) => {
                self.make_room(now_ms);
                let index = self.find(runner).unwrap_or_else(|index| index);
                let entry = ExclusionEntry {
                    runner,
                    strikes: 0,
                    unclear: 0,
                    until_ms: 0,
                };
                self.entries.insert(index, entry);
                index
            }
        };
        &mut self.entries[index]
    }

    /// Forgets exclusions that ended long ago and, if there are still too many, the one
    /// that ends first.
    fn make_room(&mut self, now_ms: u64) {
        self.entries
            .retain(|entry| now_ms < entry.until_ms + FORGET_MS);
        if self.entries.len() < MAX_ENTRIES {
            return;
        }
        let first = (0..self.entries.len()).min_by_key(|index| self.entries[*index].until_ms);
        if let Some(first) = first {
            self.entries.remove(first);
        }
    }

    fn find(&self, runner: u64) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&runner, |entry| entry.runner)
    }
}
