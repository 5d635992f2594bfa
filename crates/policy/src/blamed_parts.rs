//! Parts of requests that are blamed for crashes of runners, and what becomes of requests with
//! them.
//!
//! While runners crash one after the other, most requests break for no fault of their own,
//! and little can be told about any part. A part that was in several crashes and in no whole
//! answer is therefore blamed provisionally: requests with it are refused for a short time, in
//! which the other requests recover. Then it is on probation: about one request with it a
//! second is sent over all instances, and the next crash blames it for good. An answer clears
//! it. A part whose crashes chance cannot explain is blamed for good at once.
//!
//! Invariants:
//!
//! - Every blamed part is forgotten after a fixed time.
//! - A set of parts is blamed only as a whole: requests with some of them are sent.
//! - Memory is bounded.

use serde::{Deserialize, Serialize};

/// Time after which parts that are blamed for good are forgotten, in milliseconds.
pub const BLAME_MS: u64 = 300_000;
/// Time for which prompts with provisionally blamed parts are refused, in milliseconds.
/// Runners are back some seconds after a crash.
pub const PROVISIONAL_MS: u64 = 10_000;
/// Time after which provisionally blamed parts are forgotten, in milliseconds.
pub const PROBATION_MS: u64 = 90_000;
/// Maximum number of blamed sets of parts.
pub const MAX_BLAMED: usize = 64;
/// Time for which parts that an answer has cleared are not blamed provisionally again, in
/// milliseconds.
const CLEARED_MS: u64 = 30_000;
/// Time between two prompts with parts on probation over all instances, in milliseconds.
const PROBE_MS: u64 = 1000;

/// Parts that crash runners if they are together in a prompt, for other instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BlameReport {
    /// Keys of the parts, sorted.
    pub parts: Vec<u64>,
    /// Whether they are blamed for good, not provisionally.
    pub is_certain: bool,
    /// Time since they were blamed, in milliseconds.
    pub age_ms: u64,
}

/// What happens to a prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PromptDecision {
    /// It is sent. The sets of parts on probation are announced to the other instances.
    Send(Vec<Vec<u64>>),
    /// It is refused; a part crashes runners, and is forgotten in this many milliseconds.
    Refuse(u64),
    /// It is refused; a part is on probation, and another prompt with it can be sent in this
    /// many milliseconds.
    Wait(u64),
}

#[derive(Clone, Debug)]
struct BlamedEntry {
    parts: Vec<u64>,
    is_certain: bool,
    /// Time until which prompts are refused, and at which the parts are forgotten.
    refused_until_ms: u64,
    forgotten_at_ms: u64,
    /// When the next prompt with parts on probation may be sent.
    next_probe_ms: u64,
}

impl BlameReport {
    /// Time after which the parts are forgotten, from when they were blamed, in milliseconds.
    pub fn kept_ms(&self) -> u64 {
        match self.is_certain {
            true => BLAME_MS,
            false => PROBATION_MS,
        }
    }
}

impl BlamedEntry {
    fn new(report: &BlameReport, now_ms: u64) -> Self {
        let refused_ms = match report.is_certain {
            true => BLAME_MS,
            false => PROVISIONAL_MS,
        };
        let kept_ms = report.kept_ms();
        let refused_until_ms = now_ms + refused_ms.saturating_sub(report.age_ms);
        Self {
            parts: report.parts.clone(),
            is_certain: report.is_certain,
            refused_until_ms,
            forgotten_at_ms: now_ms + kept_ms.saturating_sub(report.age_ms),
            next_probe_ms: refused_until_ms,
        }
    }
}

/// The parts that are blamed, as far as this instance knows.
#[derive(Clone, Debug, Default)]
pub struct BlamedParts {
    entries: Vec<BlamedEntry>,
    /// Sets of parts that an answer has cleared, with the time until which that counts.
    cleared: Vec<(Vec<u64>, u64)>,
}

impl BlamedParts {
    /// Blames parts. Returns whether that changes what becomes of prompts. A set that is
    /// blamed for good replaces those that contain it and more.
    ///
    /// ```
    /// use berylmount_policy::blamed_parts::{BlameReport, BlamedParts, PromptDecision};
    ///
    /// let mut blamed = BlamedParts::default();
    /// let report = |parts: &[u64]| BlameReport {
    ///     parts: parts.to_vec(),
    ///     is_certain: true,
    ///     age_ms: 299_000,
    /// };
    /// assert!(blamed.adopt(&report(&[3, 5]), 1000));
    /// assert_eq!(blamed.decide(&[3, 5, 8], 1100), PromptDecision::Refuse(900));
    /// assert_eq!(blamed.decide(&[3, 8], 1100), PromptDecision::Send(vec![]));
    /// assert!(blamed.adopt(&report(&[5]), 1100));
    /// assert!(!blamed.adopt(&report(&[3, 5]), 1200));
    /// assert_eq!(blamed.decide(&[5], 2200), PromptDecision::Send(vec![]));
    /// ```
    pub fn adopt(&mut self, report: &BlameReport, now_ms: u64) -> bool {
        self.expire(now_ms);
        let entry = BlamedEntry::new(report, now_ms);
        if report.parts.is_empty() || entry.forgotten_at_ms <= now_ms {
            return false;
        }
        let is_known = |known: &BlamedEntry| {
            let is_equal = known.parts == entry.parts;
            let is_covered = known.is_certain && is_subset(&known.parts, &entry.parts);
            is_covered || (is_equal && !report.is_certain)
        };
        let is_cleared =
            !report.is_certain && self.cleared.iter().any(|(parts, _)| *parts == entry.parts);
        if is_cleared || self.entries.iter().any(is_known) {
            return false;
        }
        if report.is_certain {
            self.entries
                .retain(|known| !is_subset(&entry.parts, &known.parts));
        }
        if self.entries.len() >= MAX_BLAMED {
            let first = (0..self.entries.len()).min_by_key(|i| self.entries[*i].forgotten_at_ms);
            first.map(|index| self.entries.remove(index));
        }
        self.entries.push(entry);
        true
    }

    /// Applies a request with these parts that broke at `broken_ms`. Blames parts on
    /// probation for good. Returns whether there were any.
    ///
    /// ```
    /// use berylmount_policy::blamed_parts::{BlameReport, BlamedParts, PromptDecision};
    ///
    /// let mut blamed = BlamedParts::default();
    /// let report = BlameReport { parts: vec![5], is_certain: false, age_ms: 9000 };
    /// assert!(blamed.adopt(&report, 1000));
    /// assert_eq!(blamed.decide(&[5], 1500), PromptDecision::Refuse(500));
    /// assert!(!blamed.convict(&[5], 1600, 1600));
    /// assert_eq!(blamed.decide(&[5], 2000), PromptDecision::Send(vec![vec![5]]));
    /// assert_eq!(blamed.decide(&[5], 2400), PromptDecision::Wait(600));
    /// assert!(blamed.convict(&[4, 5], 2500, 2600));
    /// assert_eq!(blamed.decide(&[5], 2600), PromptDecision::Refuse(300_000));
    /// ```
    pub fn convict(&mut self, parts: &[u64], broken_ms: u64, now_ms: u64) -> bool {
        self.expire(now_ms);
        // A request that was sent before the parts were blamed breaks before the end of the
        // refusals.
        let on_probation = self.entries.iter().filter(|entry| {
            let was_sent = !entry.is_certain && broken_ms > entry.refused_until_ms;
            was_sent && is_subset(&entry.parts, parts)
        });
        let convicted: Vec<Vec<u64>> = on_probation.map(|entry| entry.parts.clone()).collect();
        for parts in &convicted {
            let report = BlameReport {
                parts: parts.clone(),
                is_certain: true,
                age_ms: 0,
            };
            self.adopt(&report, now_ms);
        }
        !convicted.is_empty()
    }

    /// Applies an answer to a prompt with these parts. Returns the provisionally blamed sets
    /// that it clears, which are to be announced to the other instances.
    ///
    /// ```
    /// use berylmount_policy::blamed_parts::{BlameReport, BlamedParts, PromptDecision};
    ///
    /// let mut blamed = BlamedParts::default();
    /// let report = BlameReport { parts: vec![5], is_certain: false, age_ms: 0 };
    /// assert!(blamed.adopt(&report, 1000));
    /// assert_eq!(blamed.answered(&[4, 5], 1500), vec![vec![5]]);
    /// assert_eq!(blamed.decide(&[5], 1500), PromptDecision::Send(vec![]));
    /// assert!(!blamed.adopt(&report, 2000));
    /// ```
    pub fn answered(&mut self, parts: &[u64], now_ms: u64) -> Vec<Vec<u64>> {
        let provisional = self.entries.iter().filter(|entry| !entry.is_certain);
        let cleared = provisional.filter(|entry| is_subset(&entry.parts, parts));
        let cleared: Vec<Vec<u64>> = cleared.map(|entry| entry.parts.clone()).collect();
        self.clear(&cleared, now_ms);
        cleared
    }

    /// Clears provisionally blamed sets of parts.
    pub fn clear(&mut self, sets: &[Vec<u64>], now_ms: u64) {
        self.expire(now_ms);
        for parts in sets {
            self.entries
                .retain(|entry| entry.is_certain || entry.parts != *parts);
            self.cleared.retain(|(known, _)| known != parts);
            if self.cleared.len() >= MAX_BLAMED {
                self.cleared.remove(0);
            }
            self.cleared.push((parts.clone(), now_ms + CLEARED_MS));
        }
    }

    /// Returns what becomes of a prompt with the sorted `parts`. It counts as sent if it is.
    pub fn decide(&mut self, parts: &[u64], now_ms: u64) -> PromptDecision {
        let decision = self.preview(parts, now_ms);
        if let PromptDecision::Send(probed) = &decision {
            self.note_sent(probed, now_ms);
        }
        decision
    }

    /// Returns what would become of a prompt with the sorted `parts` if it were sent now.
    pub fn preview(&self, parts: &[u64], now_ms: u64) -> PromptDecision {
        let (mut refused_ms, mut wait_ms, mut probed) = (0, 0, Vec::new());
        for entry in &self.entries {
            if now_ms >= entry.forgotten_at_ms || !is_subset(&entry.parts, parts) {
                continue;
            }
            refused_ms = refused_ms.max(entry.refused_until_ms.saturating_sub(now_ms));
            if !entry.is_certain {
                wait_ms = wait_ms.max(entry.next_probe_ms.saturating_sub(now_ms));
                probed.push(entry.parts.clone());
            }
        }
        match (refused_ms, wait_ms) {
            (0, 0) => PromptDecision::Send(probed),
            (0, wait_ms) => PromptDecision::Wait(wait_ms),
            (refused_ms, _) => PromptDecision::Refuse(refused_ms),
        }
    }

    /// Records that an instance has sent a prompt with these sets of parts on probation.
    pub fn note_sent(&mut self, probed: &[Vec<u64>], now_ms: u64) {
        for entry in &mut self.entries {
            if probed.contains(&entry.parts) {
                entry.next_probe_ms = entry.next_probe_ms.max(now_ms + PROBE_MS);
            }
        }
    }

    /// Returns what other instances should know.
    pub fn reports(&mut self, now_ms: u64) -> Vec<BlameReport> {
        self.expire(now_ms);
        let reports = self.entries.iter().map(|entry| {
            let kept_ms = match entry.is_certain {
                true => BLAME_MS,
                false => PROBATION_MS,
            };
            BlameReport {
                parts: entry.parts.clone(),
                is_certain: entry.is_certain,
                age_ms: kept_ms.saturating_sub(entry.forgotten_at_ms - now_ms),
            }
        });
        reports.collect()
    }

    fn expire(&mut self, now_ms: u64) {
        self.entries.retain(|entry| now_ms < entry.forgotten_at_ms);
        self.cleared.retain(|(_, until_ms)| now_ms < *until_ms);
    }
}

/// Whether all elements of the sorted `small` are in the sorted `large`.
pub(crate) fn is_subset(small: &[u64], large: &[u64]) -> bool {
    small.iter().all(|part| large.binary_search(part).is_ok())
}
