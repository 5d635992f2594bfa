//! Keeps short prompts apart from long ones.
//!
//! Load: two hundred short prompts a second, each read in a few milliseconds and
//! due in less than half a second, beside a dozen long ones that each take a
//! third of a second to read. A short prompt that meets a long one at its runner
//! waits for it, and no instance knows of the long one that another instance has
//! just sent. On a shared set of runners one short prompt in ten is late for it
//! while most runners are idle.
//!
//! So the runners of a service are parted, in the ratio of the prompt tokens
//! that each kind brings. Every instance works out the same order of runners;
//! where instances see another ratio, only the runners in between differ. The
//! other part remains open at a cost, so that a crest of one kind spreads.

use crate::{ablation::PolicyMechanism, decay::decayed};
use xxhash_rust::xxh3::xxh3_64;

/// Time to read a prompt from which on it is long, in milliseconds: a sixth of
/// the tightest target latencies at hand.
const LONG_READ_MS: f64 = 50.0;
/// Least part of the tokens that either kind must bring to get runners.
const LEAST_SHARE: f64 = 0.03;
/// Fewest runners that are parted.
const LEAST_RUNNERS: usize = 4;
/// Time in which counted tokens lose half of their weight, in milliseconds:
/// longer than crests of one kind, so that homes of prefixes stay.
const HALF_LIFE_MS: f64 = 8000.0;
/// Part of the mean time to read a long prompt that meeting one costs.
const MEETING_PART: f64 = 0.5;

/// The kinds of prompts that are kept apart.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum PromptLength {
    /// Read in a few steps of an engine's batch.
    Short,
    /// Keeps an engine busy for a good part of a target latency.
    Long,
}

impl PromptLength {
    /// The kind of a prompt of so many tokens.
    ///
    /// ```
    /// use berylmount_policy::prompt_pools::PromptLength;
    ///
    /// assert_eq!(PromptLength::of(400, 50.0), PromptLength::Short);
    /// assert_eq!(PromptLength::of(17_000, 50.0), PromptLength::Long);
    /// ```
    pub fn of(prompt_tokens: u32, prefill_per_ms: f64) -> Self {
        match f64::from(prompt_tokens) / prefill_per_ms >= LONG_READ_MS {
            true => Self::Long,
            false => Self::Short,
        }
    }
}

/// Prompt tokens of each kind that were placed lately.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PromptMix {
    short: f64,
    long: f64,
    /// Long prompts, with the same weights.
    long_count: f64,
    at_ms: u64,
}

impl PromptMix {
    /// Counts a prompt of which a runner reads `tokens`.
    pub fn note(&mut self, length: PromptLength, tokens: u64, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(self.at_ms);
        for sum in [&mut self.short, &mut self.long, &mut self.long_count] {
            *sum = decayed(*sum, age_ms, HALF_LIFE_MS);
        }
        self.at_ms = now_ms;
        match length {
            PromptLength::Short => self.short += tokens as f64,
            PromptLength::Long => {
                self.long += tokens as f64;
                self.long_count += 1.0;
            }
        }
    }

    /// The part of all tokens that long prompts bring.
    pub fn long_share(&self) -> f64 {
        self.long / (self.long + self.short).max(1.0)
    }

    /// Cost of a runner of the other part, in milliseconds.
    pub fn interference_ms(&self, prefill_per_ms: f64) -> f64 {
        let mean = self.long / self.long_count.max(1.0);
        MEETING_PART * mean / prefill_per_ms
    }
}

/// For each runner, the kind of prompts that it takes first; `None` if they are
/// not parted.
///
/// ```
/// use berylmount_policy::prompt_pools::{split_runners, PromptLength};
///
/// let runners: Vec<u64> = (0..12).collect();
/// let parts = split_runners(&runners, 0.75).unwrap();
/// let long = parts.iter().filter(|part| **part == PromptLength::Long).count();
/// assert_eq!(long, 9);
/// assert_eq!(split_runners(&runners, 0.0), None);
/// ```
pub fn split_runners(runners: &[u64], long_share: f64) -> Option<Vec<PromptLength>> {
    let is_enabled = PolicyMechanism::PromptPools.is_enabled();
    let is_mixed = is_enabled && (LEAST_SHARE..=1.0 - LEAST_SHARE).contains(&long_share);
    if !is_mixed || runners.len() < LEAST_RUNNERS {
        return None;
    }
    let count = (runners.len() as f64 * long_share).round() as usize;
    let count = count.clamp(1, runners.len() - 1);
    let mut order: Vec<usize> = (0..runners.len()).collect();
    order.sort_unstable_by_key(|index| xxh3_64(&runners[*index].to_le_bytes()));
    let mut parts = vec![PromptLength::Short; runners.len()];
    for index in order.into_iter().take(count) {
        parts[index] = PromptLength::Long;
    }
    Some(parts)
}
