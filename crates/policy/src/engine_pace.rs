//! Estimates the prefill rate and base latency of a service's engines from the
//! observed time to first event.
//!
//! Engines differ widely: they prefill 50 to 160 prompt tokens per millisecond. An
//! estimate with one fixed rate is wrong by half for slow engines. Long prompts are
//! then sent to runners that are still busy, and short prompts queue behind them.
//!
//! The time to a request's first event is the sum of the engine's base latency, the
//! prefill time of the prompt and any waiting time. Waiting only adds time, so the
//! estimate follows a quantile on the fast side of the observations. Each
//! observation moves it by a bounded step, so that a single outlier has little
//! effect.

use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;

/// Prefill rate assumed before any observation, in tokens per millisecond. The
/// engines in use reach 50 to 160.
const DEFAULT_PREFILL_PER_MS: f64 = 110.0;
/// Base latency assumed before any observation, in milliseconds.
const DEFAULT_BASE_MS: f64 = 40.0;
/// Plausible prefill rates, in tokens per millisecond.
const PREFILL_RANGE: RangeInclusive<f64> = 20.0..=400.0;
/// Plausible base latencies, in milliseconds.
const BASE_RANGE: RangeInclusive<f64> = 10.0..=150.0;
/// A request with at most this many prefilled tokens is used to estimate the base
/// latency.
const SHORT_TOKENS: u64 = 600;
/// A request with at least this many prefilled tokens is used to estimate the prefill
/// rate.
const LONG_TOKENS: u64 = 1500;
/// Fraction of requests assumed to be delayed by other requests.
const DELAYED_FRACTION: f64 = 0.75;
/// Largest and smallest relative step of one observation. The step shrinks with the
/// number of observations.
const STEP_RANGE: (f64, f64) = (0.4, 0.05);
/// Number of observations after which the step no longer shrinks.
const SETTLED_COUNT: f64 = 12.0;

/// One observed time to first event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstEvent {
    /// Prompt tokens that the engine had to prefill.
    pub prefilled_tokens: u64,
    /// Time at the engine until the first event, in milliseconds, normalised to the
    /// usual speed of its machine.
    pub took_ms: f64,
}

/// The estimated prefill rate and base latency of a service's engines.
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
    /// Prefill rate of an engine, in prompt tokens per millisecond.
    pub fn prefill_per_ms(&self) -> f64 {
        self.prefill_per_ms
    }

    /// Base latency: the time to first event of an empty prompt on an idle engine, in
    /// milliseconds.
    pub fn base_ms(&self) -> f64 {
        self.base_ms
    }

    /// Returns this estimate once it rests on enough requests, otherwise the median
    /// of the estimates `reported` by other instances.
    ///
    /// Without this, a process that restarts during a load peak places its first
    /// seconds of requests by a prefill rate that is wrong by half.
    ///
    /// ```
    /// use berylmount_policy::engine_pace::{EnginePace, FirstEvent};
    ///
    /// let mut other = EnginePace::default();
    /// for _ in 0..60 {
    ///     other.note(FirstEvent { prefilled_tokens: 5000, took_ms: 140.0 });
    /// }
    /// let own = EnginePace::default();
    /// assert_eq!(own.or_peer_median([other, own, other].into_iter()), other);
    /// assert_eq!(other.or_peer_median([own].into_iter()), other);
    /// ```
    pub fn or_peer_median(self, reported: impl Iterator<Item = Self>) -> Self {
        if self.is_settled() {
            return self;
        }
        let is_plausible = |pace: &Self| {
            pace.is_settled()
                && PREFILL_RANGE.contains(&pace.prefill_per_ms)
                && BASE_RANGE.contains(&pace.base_ms)
        };
        let mut reported: Vec<Self> = reported.filter(is_plausible).collect();
        reported.sort_by(|a, b| a.prefill_per_ms.total_cmp(&b.prefill_per_ms));
        reported.get(reported.len() / 2).copied().unwrap_or(self)
    }

    fn is_settled(&self) -> bool {
        f64::from(self.long_seen) >= SETTLED_COUNT
    }

    /// Updates the estimate with one observation.
    ///
    /// ```
    /// use berylmount_policy::engine_pace::{EnginePace, FirstEvent};
    ///
    /// let mut pace = EnginePace::default();
    /// for _ in 0..60 {
    ///     pace.note(FirstEvent { prefilled_tokens: 5000, took_ms: 140.0 });
    /// }
    /// assert!((pace.prefill_per_ms() - 50.0).abs() < 5.0);
    /// ```
    pub fn note(&mut self, event: FirstEvent) {
        let tokens = event.prefilled_tokens as f64;
        if event.prefilled_tokens <= SHORT_TOKENS {
            let base = event.took_ms - tokens / self.prefill_per_ms;
            // Delayed requests show a longer time, so follow a low quantile.
            let step = step(&mut self.short_seen);
            let moved = track_quantile(self.base_ms, base, 1.0 - DELAYED_FRACTION, step);
            self.base_ms = moved.clamp(*BASE_RANGE.start(), *BASE_RANGE.end());
        } else if event.prefilled_tokens >= LONG_TOKENS {
            let rate = tokens / (event.took_ms - self.base_ms).max(1.0);
            // Delayed requests show a lower rate, so follow a high quantile.
            let step = step(&mut self.long_seen);
            let moved = track_quantile(self.prefill_per_ms, rate, DELAYED_FRACTION, step);
            self.prefill_per_ms = moved.clamp(*PREFILL_RANGE.start(), *PREFILL_RANGE.end());
        }
    }
}

/// Counts an observation and returns the step size for it.
fn step(seen: &mut u32) -> f64 {
    *seen = seen.saturating_add(1);
    let (largest, smallest) = STEP_RANGE;
    smallest + (largest - smallest) * (1.0 - f64::from(*seen) / SETTLED_COUNT).max(0.0)
}

/// Moves `estimate` towards the `quantile` of the samples by a relative step.
fn track_quantile(estimate: f64, sample: f64, quantile: f64, step: f64) -> f64 {
    match sample > estimate {
        true => estimate * (1.0 + step * quantile),
        false => estimate * (1.0 - step * (1.0 - quantile)),
    }
}
