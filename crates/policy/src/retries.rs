//! Whether to retry, hedge or give up.
//!
//! Retries and hedges share one budget that only first attempts refill, so they
//! cannot amplify an overload. The verdict of a failed attempt says whether
//! another one is safe.

use crate::pacing::jittered;
use berylmount_model::RequestVerdict;
use rand::Rng;

/// Retries that each first attempt adds to the budget.
const RETRIES_PER_FIRST_ATTEMPT: f64 = 0.09;
/// Retries in a new budget.
const INITIAL_RETRIES: f64 = 2.0;
/// Largest number of retries in a budget.
const MAX_RETRIES: f64 = 20.0;
/// Largest number of attempts at one request, including the first.
pub const MAX_ATTEMPTS: u32 = 3;
/// Delay before the first retry, in milliseconds.
const FIRST_BACKOFF_MS: u64 = 20;

/// A budget of retries and hedges, in proportion to first attempts.
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
    /// Records a first attempt.
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
        self.retries = (self.retries + RETRIES_PER_FIRST_ATTEMPT).min(MAX_RETRIES);
    }

    /// Takes one retry or hedge from the budget, if there is one.
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
    /// Whether the work may have run.
    pub verdict: RequestVerdict,
    /// Whether the work may run twice.
    pub idempotent: bool,
    /// Attempts so far, including this one.
    pub attempts: u32,
    /// Time left until the request's deadline, in milliseconds.
    pub left_ms: u64,
    /// Expected duration of another attempt, in milliseconds.
    pub expected_ms: u64,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Try another target after this many milliseconds.
    RetryAfter(u64),
    /// Answer now with the combined verdict of all attempts.
    GiveUp,
}

impl RetryBudget {
    /// Decides whether to retry and takes the retry from the budget.
    ///
    /// The first retry of work that did not run is sent at once. Other retries
    /// follow after an exponential backoff with jitter.
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

    /// Decides whether to hedge an attempt that has no first token yet and takes
    /// the hedge from the budget.
    ///
    /// Only idempotent work is hedged, at most once, and only after twice the
    /// expected time to the first token.
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

/// Returns the delay before the next attempt, in milliseconds.
fn backoff_ms(failed: &FailedAttempt, rng: &mut impl Rng) -> u64 {
    if failed.attempts <= 1 && failed.verdict == RequestVerdict::NotRun {
        return 0;
    }
    let doublings = failed.attempts.saturating_sub(1).min(6);
    jittered(FIRST_BACKOFF_MS << doublings, rng)
}
