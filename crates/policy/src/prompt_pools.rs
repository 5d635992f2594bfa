//! Separate runner pools for short and long prompts, against head-of-line blocking.
//!
//! A typical load has two hundred short prompts per second, each prefilled in a few
//! milliseconds and due in less than half a second, and a dozen long ones that each
//! take a third of a second to prefill. A short prompt that shares a runner with a long
//! one waits for it, and no instance knows of the long prompt that another instance has
//! just sent. With a shared set of runners, one short prompt in ten is late for this
//! reason while most runners are idle.
//!
//! The runners of a service are therefore split in the ratio of the prompt tokens of
//! each kind. Every instance computes the same order of runners. Where instances
//! observe different ratios, they disagree only on the runners between the two split
//! points. The other pool remains available at a cost, so that a burst of one kind can
//! spill over.

use crate::{ablation::PolicyMechanism, decay::decayed};
use xxhash_rust::xxh3::xxh3_64;

/// Prefill time from which a prompt counts as long, in milliseconds: a sixth of the
/// tightest target latencies in use.
const LONG_PROMPT_MS: f64 = 50.0;
/// Smallest share of the prompt tokens that each kind must have for a split.
const MIN_SHARE: f64 = 0.03;
/// Smallest number of runners that are split.
const MIN_RUNNERS: usize = 4;
/// Half-life of the counted tokens, in milliseconds. It is longer than bursts of one
/// kind, so that the homes of prefixes stay in place.
const HALF_LIFE_MS: f64 = 8000.0;
/// Expected cost of sharing a runner with a long prompt, as a fraction of the mean
/// prefill time of long prompts.
const INTERFERENCE_FRACTION: f64 = 0.5;

/// The classes of prompts that use separate pools.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum PromptLength {
    /// Prefilled in a few batch steps of an engine.
    Short,
    /// Occupies an engine for a large part of a target latency.
    Long,
}

impl PromptLength {
    /// Classifies a prompt by its length in tokens and the engine's prefill rate.
    ///
    /// ```
    /// use berylmount_policy::prompt_pools::PromptLength;
    ///
    /// assert_eq!(PromptLength::of(400, 50.0), PromptLength::Short);
    /// assert_eq!(PromptLength::of(17_000, 50.0), PromptLength::Long);
    /// ```
    pub fn of(prompt_tokens: u32, prefill_per_ms: f64) -> Self {
        match f64::from(prompt_tokens) / prefill_per_ms >= LONG_PROMPT_MS {
            true => Self::Long,
            false => Self::Short,
        }
    }
}

/// Recently placed prompt tokens of each kind, with exponential decay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PromptMix {
    short: f64,
    long: f64,
    /// Number of long prompts, with the same decay.
    long_count: f64,
    at_ms: u64,
}

impl PromptMix {
    /// Counts a prompt of which a runner prefills `tokens`.
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

    /// Share of the tokens that belongs to long prompts, 0 to 1.
    pub fn long_share(&self) -> f64 {
        self.long / (self.long + self.short).max(1.0)
    }

    /// Cost of choosing a runner of the other pool, in milliseconds.
    pub fn interference_ms(&self, prefill_per_ms: f64) -> f64 {
        let mean = self.long / self.long_count.max(1.0);
        INTERFERENCE_FRACTION * mean / prefill_per_ms
    }
}

/// Splits the runners into two pools.
///
/// Returns for each runner the kind of prompts that it prefers, or `None` if the
/// runners aren't split.
///
/// ```
/// use berylmount_policy::prompt_pools::{split_runners, PromptLength};
///
/// let runners: Vec<u64> = (0..12).collect();
/// let pools = split_runners(&runners, 0.75).unwrap();
/// let long = pools.iter().filter(|pool| **pool == PromptLength::Long).count();
/// assert_eq!(long, 9);
/// assert_eq!(split_runners(&runners, 0.0), None);
/// ```
pub fn split_runners(runners: &[u64], long_share: f64) -> Option<Vec<PromptLength>> {
    let is_enabled = PolicyMechanism::PromptPools.is_enabled();
    let is_mixed = is_enabled && (MIN_SHARE..=1.0 - MIN_SHARE).contains(&long_share);
    if !is_mixed || runners.len() < MIN_RUNNERS {
        return None;
    }
    let count = (runners.len() as f64 * long_share).round() as usize;
    let count = count.clamp(1, runners.len() - 1);
    let mut order: Vec<usize> = (0..runners.len()).collect();
    order.sort_unstable_by_key(|index| xxh3_64(&runners[*index].to_le_bytes()));
    let mut pools = vec![PromptLength::Short; runners.len()];
    for index in order.into_iter().take(count) {
        pools[index] = PromptLength::Long;
    }
    Some(pools)
}
