//! Settings, load reports, queries and choices of a runner balancer.

use berylmount_model::{PieceKey, WorkClass};

/// A runner's dense id, assigned by [`crate::RunnerBalancer::join`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RunnerId(pub u32);

/// The performance that a balancer expects of healthy runners.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunnerSettings {
    /// Prefill rate of a healthy runner, in prompt tokens per second.
    pub prefill_tokens_per_s: f64,
    /// Maximum batch size of a runner, in requests.
    pub slots: u32,
    /// Pending prefill up to which a runner is sent more work, in milliseconds.
    pub room_ms: f64,
    /// Capacity of a runner's own cache, in pieces.
    pub cache_pieces: usize,
}

impl Default for RunnerSettings {
    fn default() -> Self {
        Self {
            prefill_tokens_per_s: 10_000.0,
            slots: 64,
            room_ms: 250.0,
            cache_pieces: 256,
        }
    }
}

impl RunnerSettings {
    /// Expected prefill time of `tokens` on a healthy runner, in milliseconds.
    ///
    /// ```
    /// let settings = berylmount_policy::RunnerSettings::default();
    /// assert_eq!(settings.prefill_ms(1_000), 100.0);
    /// ```
    pub fn prefill_ms(&self, tokens: u32) -> f64 {
        f64::from(tokens) * 1000.0 / self.prefill_tokens_per_s.max(1.0)
    }
}

/// A runner's load report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunnerReport {
    /// When the runner made the report: the time of arrival less its stated age.
    pub at_ms: u64,
    /// Prompt tokens that were waiting for prefill.
    pub waiting_tokens: u64,
    /// Requests that were running.
    pub running: u32,
}

/// A request that needs a runner.
#[derive(Clone, Copy, Debug)]
pub struct RunnerQuery<'a> {
    /// Keys of the prompt's pieces, in order.
    pub pieces: &'a [PieceKey],
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Class of the request.
    pub class: WorkClass,
    /// Whether this request may probe a straggler.
    pub may_probe: bool,
    /// Runners on which this request has failed.
    pub avoid: &'a [RunnerId],
}

impl<'a> RunnerQuery<'a> {
    /// Creates a query for a request without cached pieces that may go to any runner but
    /// may not probe a straggler.
    ///
    /// ```
    /// use berylmount_model::WorkClass;
    /// use berylmount_policy::RunnerQuery;
    ///
    /// assert!(RunnerQuery::new(2_000, WorkClass::Standard).avoid.is_empty());
    /// ```
    pub fn new(prompt_tokens: u32, class: WorkClass) -> Self {
        Self {
            pieces: &[],
            prompt_tokens,
            class,
            may_probe: false,
            avoid: &[],
        }
    }
}

/// A chosen runner and its expected latency.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunnerChoice {
    /// The chosen runner.
    pub runner: RunnerId,
    /// Prompt tokens that its cache probably holds.
    pub cached_tokens: u32,
    /// Prefill time of the remaining tokens on a healthy runner, in milliseconds.
    pub prefill_ms: f64,
    /// Expected time to first token if the runner is healthy, in milliseconds.
    pub healthy_ms: f64,
    /// Expected time to first token with the runner's slowness, in milliseconds.
    pub expected_ms: f64,
    /// Whether the request probes a straggler.
    pub probe: bool,
}

impl RunnerChoice {
    /// Returns the choice with a cache fetch in place of all prefill but `rest_ms`.
    ///
    /// The fetch is expected to take `fetch_ms`, and overlaps with the work ahead at the
    /// runner. Start the request with the returned choice. Otherwise the prefill that the
    /// fetch saves makes the runner look faster than it is.
    ///
    /// ```
    /// use berylmount_policy::{RunnerChoice, RunnerId};
    ///
    /// let choice = RunnerChoice {
    ///     runner: RunnerId(0),
    ///     cached_tokens: 0,
    ///     prefill_ms: 900.0,
    ///     healthy_ms: 1_000.0,
    ///     expected_ms: 2_000.0,
    ///     probe: false,
    /// };
    /// assert_eq!(choice.with_fetch(300.0, 20.0).healthy_ms, 320.0);
    /// ```
    pub fn with_fetch(self, fetch_ms: f64, rest_ms: f64) -> Self {
        let ahead = (self.healthy_ms - self.prefill_ms).max(0.0);
        let slowness = self.expected_ms / self.healthy_ms.max(1.0);
        let prefill = rest_ms.max(1.0);
        let healthy = ahead.max(fetch_ms) + prefill;
        Self {
            prefill_ms: prefill,
            healthy_ms: healthy,
            expected_ms: healthy * slowness,
            ..self
        }
    }
}
