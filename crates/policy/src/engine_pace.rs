//! How fast a service's engines read prompts, learned from first events.
//!
//! Load: engines of very different sizes, from 50 to 160 prompt tokens in a
//! millisecond. An estimate with one fixed rate is wrong by half at the slow
//! ones; long prompts are then sent to runners that are still busy with others,
//! and short ones behind them.
//!
//! A request's time to its first event is the engine's fixed part, its prompt
//! and what else it waited for. Waits only add, so the pace follows the faster
//! requests. It moves by a bounded step with each one, so that no single answer
//! can bring it far off.

use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;

/// Prompt tokens in a millisecond until observed; engines of the sizes at hand
/// read 50 to 160.
const DEFAULT_PREFILL_PER_MS: f64 = 110.0;
/// Fixed part of a first event until observed, in milliseconds.
const DEFAULT_BASE_MS: f64 = 40.0;
/// Rates that are believed, in tokens a millisecond.
const PREFILL_RANGE: RangeInclusive<f64> = 20.0..=400.0;
/// Fixed parts that are believed, in milliseconds.
const BASE_RANGE: RangeInclusive<f64> = 10.0..=150.0;
/// Unread tokens up to which a request tells the fixed part.
const SHORT_TOKENS: u64 = 600;
/// Unread tokens from which on a request tells the rate.
const LONG_TOKENS: u64 = 1500;
/// Part of the requests that are taken to be slowed down by others.
const SLOWED_PART: f64 = 0.75;
/// Largest and smallest step of one observation, as a part of the figure. The
/// steps shrink with the number of observations.
const STEPS: (f64, f64) = (0.4, 0.05);
/// Observations after which the steps no longer shrink.
const SETTLED: f64 = 12.0;

/// What one request showed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstEvent {
    /// Prompt tokens that the engine had to read for it.
    pub read_tokens: u64,
    /// Time at the engine until its first event, in milliseconds, as it would
    /// have been at the usual speed of its machine.
    pub took_ms: f64,
}

/// The pace of a service's engines.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct EnginePace {
    prefill_per_ms: f64,
    base_ms: f64,
    long_seen: u32,
    short_seen: u32,
}

impl Default for EnginePace {
    fn default() -> Self {
        Self {
            prefill_per_ms: DEFAULT_PREFILL_PER_MS,
            base_ms: DEFAULT_BASE_MS,
            long_seen: 0,
            short_seen: 0,
        }
    }
}

impl EnginePace {
    /// Prompt tokens that an engine reads in a millisecond.
    pub fn prefill_per_ms(&self) -> f64 {
        self.prefill_per_ms
    }

    /// Time to the first event of an empty prompt at an idle engine, in milliseconds.
    pub fn base_ms(&self) -> f64 {
        self.base_ms
    }

    /// The pace to go by: the own one once it rests on enough requests, else the
    /// median of those that others tell.
    ///
    /// Load: a process starts anew in the middle of a crest, and its first
    /// seconds would be placed by a pace that is wrong by half.
    ///
    /// ```
    /// use berylmount_policy::engine_pace::{EnginePace, FirstEvent};
    ///
    /// let mut other = EnginePace::default();
    /// for _ in 0..60 {
    ///     other.note(FirstEvent { read_tokens: 5000, took_ms: 140.0 });
    /// }
    /// let own = EnginePace::default();
    /// assert_eq!(own.or_peer_median([other, own, other].into_iter()), other);
    /// assert_eq!(other.or_peer_median([own].into_iter()), other);
    /// ```
    pub fn or_peer_median(self, told: impl Iterator<Item = Self>) -> Self {
        if self.is_settled() {
            return self;
        }
        let is_sound = |pace: &Self| {
            pace.is_settled()
                && PREFILL_RANGE.contains(&pace.prefill_per_ms)
                && BASE_RANGE.contains(&pace.base_ms)
        };
        let mut told: Vec<Self> = told.filter(is_sound).collect();
        told.sort_by(|a, b| a.prefill_per_ms.total_cmp(&b.prefill_per_ms));
        told.get(told.len() / 2).copied().unwrap_or(self)
    }

    fn is_settled(&self) -> bool {
        f64::from(self.long_seen) >= SETTLED
    }

    /// Takes what a request showed.
    ///
    /// ```
    /// use berylmount_policy::engine_pace::{EnginePace, FirstEvent};
    ///
    /// let mut pace = EnginePace::default();
    /// for _ in 0..60 {
    ///     pace.note(FirstEvent { read_tokens: 5000, took_ms: 140.0 });
    /// }
    /// assert!((pace.prefill_per_ms() - 50.0).abs() < 5.0);
    /// ```
    pub fn note(&mut self, event: FirstEvent) {
        let tokens = event.read_tokens as f64;
        if event.read_tokens <= SHORT_TOKENS {
            let base = event.took_ms - tokens / self.prefill_per_ms;
            // Slow requests show a longer time, so the low ones count.
            let step = step(&mut self.short_seen);
            let moved = follow(self.base_ms, base, 1.0 - SLOWED_PART, step);
            self.base_ms = moved.clamp(*BASE_RANGE.start(), *BASE_RANGE.end());
        } else if event.read_tokens >= LONG_TOKENS {
            let rate = tokens / (event.took_ms - self.base_ms).max(1.0);
            // Slow requests show a lower rate, so the high ones count.
            let step = step(&mut self.long_seen);
            let moved = follow(self.prefill_per_ms, rate, SLOWED_PART, step);
            self.prefill_per_ms = moved.clamp(*PREFILL_RANGE.start(), *PREFILL_RANGE.end());
        }
    }
}

/// The step of the next observation.
fn step(seen: &mut u32) -> f64 {
    *seen = seen.saturating_add(1);
    let (largest, smallest) = STEPS;
    smallest + (largest - smallest) * (1.0 - f64::from(*seen) / SETTLED).max(0.0)
}

/// Moves `known` towards the value below which `part` of the samples lie.
fn follow(known: f64, sample: f64, part: f64, step: f64) -> f64 {
    match sample > known {
        true => known * (1.0 + step * part),
        false => known * (1.0 - step * (1.0 - part)),
    }
}
