//! What a runner board is asked, told and set to, and what it answers.

use berylmount_model::{PieceKey, WorkClass};

/// A runner's dense id, given by [`crate::RunnerBoard::join`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RunnerId(pub u32);

/// What a board expects of healthy runners.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunnerSettings {
    /// Prompt tokens that a healthy runner prefills a second.
    pub prefill_tokens_per_s: f64,
    /// Requests that a runner batches at most.
    pub slots: u32,
    /// Prefill time that a runner is sent ahead, in milliseconds.
    pub room_ms: f64,
    /// Pieces that a runner's own cache holds.
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
    /// When the runner made it: the time of arrival less its stated age.
    pub at_ms: u64,
    /// Prompt tokens that waited for prefill.
    pub waiting_tokens: u64,
    /// Requests that ran.
    pub running: u32,
}

/// A request that needs a runner.
#[derive(Clone, Copy, Debug)]
pub struct RunnerQuery<'a> {
    /// The prompt's piece keys in order.
    pub pieces: &'a [PieceKey],
    /// The prompt's length in tokens.
    pub prompt_tokens: u32,
    /// The class of work.
    pub class: WorkClass,
    /// Whether a straggler may be probed with it.
    pub may_probe: bool,
    /// Runners that failed it before.
    pub avoid: &'a [RunnerId],
}

impl<'a> RunnerQuery<'a> {
    /// A request without cached pieces that may go to any runner but for probes.
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

/// A chosen runner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunnerChoice {
    /// The runner.
    pub runner: RunnerId,
    /// Prompt tokens that its cache probably holds.
    pub cached_tokens: u32,
    /// Prefill time of the rest on a healthy runner, in milliseconds.
    pub prefill_ms: f64,
    /// Expected time to the first token were it healthy, in milliseconds.
    pub healthy_ms: f64,
    /// Expected time to the first token, in milliseconds.
    pub expected_ms: f64,
    /// Whether it is a probe of a straggler.
    pub probe: bool,
}

impl RunnerChoice {
    /// The choice if a fetch takes the place of all prefill but `rest_ms`.
    ///
    /// The fetch is expected after `fetch_ms`, while the runner still does what
    /// is ahead. Start the work with the result, or else the runner is thought
    /// faster than it is.
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
