//! Whether to try again, hedge or give up.
//!
//! Retries and hedges come from one budget that only first tries fill, so they
//! cannot multiply an overload. The verdict says whether another attempt is
//! safe at all.

use crate::pacing::jittered;
use berylmount_model::RequestVerdict;
use rand::Rng;

/// Part of a retry that each first try earns.
const RETRIES_PER_FIRST_TRY: f64 = 0.09;
/// Retries that a new budget holds.
const INITIAL_RETRIES: f64 = 2.0;
/// Retries that a budget holds at most.
const MAX_RETRIES: f64 = 20.0;
/// Attempts at one request at most, the first included.
pub const MAX_ATTEMPTS: u32 = 3;
/// Delay before the first retry, in milliseconds.
const FIRST_BACKOFF_MS: u64 = 20;

/// Retries and hedges allowed, as a part of the first tries seen.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    retries: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            retries: INITIAL_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Counts a first try.
    ///
    /// ```
    /// use berylmount_policy::RetryBudget;
    ///
    /// let mut budget = RetryBudget::default();
    /// assert!(budget.take() && budget.take() && !budget.take());
    /// for _ in 0..12 {
    ///     budget.earn();
    /// }
    /// assert!(budget.take());
    /// ```
    pub fn earn(&mut self) {
        self.retries = (self.retries + RETRIES_PER_FIRST_TRY).min(MAX_RETRIES);
    }

    /// Takes one retry or hedge, if there is one.
    ///
    /// ```
    /// assert!(berylmount_policy::RetryBudget::default().take());
    /// ```
    pub fn take(&mut self) -> bool {
        let enough = self.retries >= 1.0;
        if enough {
            self.retries -= 1.0;
        }
        enough
    }
}

/// One failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// Whether it may have run.
    pub verdict: RequestVerdict,
    /// Whether the work may run twice.
    pub idempotent: bool,
    /// Attempts so far, this one included.
    pub attempts: u32,
    /// Time left until the request's limit, in milliseconds.
    pub left_ms: u64,
    /// Expected time of another attempt, in milliseconds.
    pub expected_ms: u64,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Try another target after a delay in milliseconds.
    RetryAfter(u64),
    /// Answer now with the verdict of the attempts joined.
    GiveUp,
}

impl RetryBudget {
    /// Decides on another attempt and takes it from the budget.
    ///
    /// The first retry of work that did not run is sent at once, later ones
    /// after an exponential delay with jitter.
    ///
    /// ```
    /// use berylmount_model::RequestVerdict;
    /// use berylmount_policy::{retries::FailedAttempt, RetryBudget, RetryDecision};
    /// use rand::SeedableRng;
    ///
    /// let mut rng = rand_pcg::Pcg32::seed_from_u64(1);
    /// let failed = FailedAttempt {
    ///     verdict: RequestVerdict::MayHaveRun,
    ///     idempotent: false,
    ///     attempts: 1,
    ///     left_ms: 1000,
    ///     expected_ms: 100,
    /// };
    /// let mut budget = RetryBudget::default();
    /// assert_eq!(budget.decide(&failed, &mut rng), RetryDecision::GiveUp);
    /// let failed = FailedAttempt { verdict: RequestVerdict::NotRun, ..failed };
    /// assert_eq!(budget.decide(&failed, &mut rng), RetryDecision::RetryAfter(0));
    /// ```
    pub fn decide(&mut self, failed: &FailedAttempt, rng: &mut impl Rng) -> RetryDecision {
        let safe = failed.verdict.allows_retry(failed.idempotent);
        let delay = backoff_ms(failed, rng);
        let in_time = delay + failed.expected_ms <= failed.left_ms;
        if safe && in_time && failed.attempts < MAX_ATTEMPTS && self.take() {
            RetryDecision::RetryAfter(delay)
        } else {
            RetryDecision::GiveUp
        }
    }

    /// Decides on a hedge for an attempt without a first token, and takes it.
    ///
    /// Only idempotent work is hedged, once, and only after twice the expected
    /// time to the first token.
    ///
    /// ```
    /// use berylmount_policy::RetryBudget;
    ///
    /// let mut budget = RetryBudget::default();
    /// assert!(!budget.hedge(false, 1, 900, 100));
    /// assert!(!budget.hedge(true, 1, 150, 100));
    /// assert!(budget.hedge(true, 1, 250, 100));
    /// ```
    pub fn hedge(
        &mut self,
        idempotent: bool,
        attempts: u32,
        waited_ms: u64,
        expected_ms: u64,
    ) -> bool {
        idempotent && attempts == 1 && waited_ms >= 2 * expected_ms && self.take()
    }
}

/// The delay before the next attempt, in milliseconds.
fn backoff_ms(failed: &FailedAttempt, rng: &mut impl Rng) -> u64 {
    if failed.attempts <= 1 && failed.verdict == RequestVerdict::NotRun {
        return 0;
    }
    let doublings = failed.attempts.saturating_sub(1).min(6);
    jittered(FIRST_BACKOFF_MS << doublings, rng)
}
