//! How far a runner can be trusted, from how its requests ended.
//!
//! Load: a runner fails half of its requests, or leaves them unanswered, while
//! it reports itself healthy. Only the requests show it, so each end counts;
//! a failure weighs at once and is forgotten slowly, unless successes follow.
//!
//! Some requests fail wherever they run. Counted against their runners they make
//! sound ones look like those above, so such a request is judged in their place.

use crate::{ablation::PolicyMechanism, decay::decayed};

/// Weight of one more end in the share of failures.
const END_WEIGHT: f64 = 0.25;
/// Time in which an old share of failures halves, in milliseconds.
const HALF_LIFE_MS: f64 = 3000.0;

/// Share of failures up to which a runner counts as sound.
const SOUND_FAILURES: f64 = 0.3;

/// Whether a request is at fault that runners answered with errors of their own,
/// given the recent share of failures of each: at least two, all sound.
///
/// ```
/// use berylmount_policy::runner_health::is_request_at_fault;
///
/// assert!(is_request_at_fault(&[0.0, 0.1]));
/// assert!(!is_request_at_fault(&[0.0]) && !is_request_at_fault(&[0.0, 0.6]));
/// ```
pub fn is_request_at_fault(failures: &[f64]) -> bool {
    let is_enabled = PolicyMechanism::RequestFaults.is_enabled();
    is_enabled && failures.len() > 1 && failures.iter().all(|share| *share <= SOUND_FAILURES)
}

/// The recent share of failures of one runner.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunnerHealth {
    share: f64,
    at_ms: u64,
}

impl RunnerHealth {
    /// The recent share of failures, 0 to 1.
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
        decayed(self.share, age_ms, HALF_LIFE_MS)
    }

    /// Counts how a request ended.
    pub fn note_end(&mut self, is_good: bool, now_ms: u64) {
        let end = if is_good { 0.0 } else { 1.0 };
        let share = self.failure_rate(now_ms);
        self.share = share + (end - share) * END_WEIGHT;
        self.at_ms = now_ms;
    }
}
