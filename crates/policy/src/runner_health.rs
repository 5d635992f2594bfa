//! Passive health checking of runners, by the outcomes of their requests.
//!
//! A runner may fail half of its requests, or leave them unanswered, while it reports
//! itself healthy. Only the outcomes of requests show this, so each one is counted. A
//! failure takes effect at once and decays slowly, unless successes follow.
//!
//! Some requests fail on every runner. Counted against their runners, they would make
//! healthy runners look faulty, so such failures are attributed to the request instead.

use crate::{ablation::PolicyMechanism, decay::decayed};

/// Weight of a new outcome in the moving average of the failure rate.
const OUTCOME_WEIGHT: f64 = 0.25;
/// Half-life of the failure rate, in milliseconds.
const HALF_LIFE_MS: f64 = 3000.0;

/// Failure rate up to which a runner counts as healthy.
const HEALTHY_FAILURE_RATE: f64 = 0.3;

/// Whether a request to which runners responded with server errors is itself at fault.
///
/// `failure_rates` holds the recent failure rate of each of these runners. The request
/// is at fault if there are at least two and all of them are healthy.
///
/// ```
/// use berylmount_policy::runner_health::is_request_at_fault;
///
/// assert!(is_request_at_fault(&[0.0, 0.1]));
/// assert!(!is_request_at_fault(&[0.0]) && !is_request_at_fault(&[0.0, 0.6]));
/// ```
pub fn is_request_at_fault(failure_rates: &[f64]) -> bool {
    let is_enabled = PolicyMechanism::RequestFaults.is_enabled();
    is_enabled
        && failure_rates.len() > 1
        && failure_rates
            .iter()
            .all(|rate| *rate <= HEALTHY_FAILURE_RATE)
}

/// The recent failure rate of one runner.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunnerHealth {
    rate: f64,
    at_ms: u64,
}

impl RunnerHealth {
    /// The recent failure rate, 0 to 1.
    ///
    /// ```
    /// use berylmount_policy::runner_health::RunnerHealth;
    ///
    /// let mut health = RunnerHealth::default();
    /// health.note_end(false, 1000);
    /// assert!(health.failure_rate(1000) > 0.2 && health.failure_rate(20_000) < 0.01);
    /// ```
    pub fn failure_rate(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms);
        decayed(self.rate, age_ms, HALF_LIFE_MS)
    }

    /// Counts the outcome of a request.
    pub fn note_end(&mut self, is_success: bool, now_ms: u64) {
        let outcome = if is_success { 0.0 } else { 1.0 };
        let rate = self.failure_rate(now_ms);
        self.rate = rate + (outcome - rate) * OUTCOME_WEIGHT;
        self.at_ms = now_ms;
    }
}
