//! Retry delays of refused callers.
//!
//! Callers that are refused together must not retry together. Each gets a time
//! slot with jitter, and slots are assigned at the rate at which work can be taken.

use rand::{Rng, RngExt};

/// Longest retry delay before jitter, in milliseconds.
pub const MAX_RETRY_AFTER_MS: u64 = 30_000;
/// Shortest retry delay, in milliseconds.
pub const MIN_RETRY_AFTER_MS: u64 = 20;
/// Largest jitter, as a fraction of the delay.
const JITTER_FRACTION: f64 = 0.25;

/// Assigns retry delays that are spread according to the service rate.
#[derive(Clone, Debug, Default)]
pub struct RetryPacer {
    next_slot_ms: f64,
}

impl RetryPacer {
    /// Returns the delay after which a caller should retry, in milliseconds.
    ///
    /// `wait_ms` is the estimated time until work can be taken, and `rate_per_s`
    /// the number of items per second that can be taken from then on. The result is
    /// never zero.
    ///
    /// ```
    /// use berylmount_policy::RetryPacer;
    /// use rand::SeedableRng;
    ///
    /// let mut rng = rand_pcg::Pcg32::seed_from_u64(1);
    /// let mut pacer = RetryPacer::default();
    /// let first = pacer.next_retry_after(100, 10.0, 0, &mut rng);
    /// let later = pacer.next_retry_after(100, 10.0, 0, &mut rng);
    /// assert!(first >= 100 && later >= 200);
    /// ```
    pub fn next_retry_after(
        &mut self,
        wait_ms: u64,
        rate_per_s: f64,
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> u64 {
        let now = now_ms as f64;
        let earliest = now + wait_ms.max(MIN_RETRY_AFTER_MS) as f64;
        let horizon = now + MAX_RETRY_AFTER_MS as f64;
        let slot = self.next_slot_ms.max(earliest);
        let gap = 1000.0 / rate_per_s.max(0.001);
        let delay = if slot + gap > horizon {
            // All slots up to the longest delay are taken, so the delay is drawn
            // from the upper half of the range.
            let unit: f64 = rng.random();
            (0.5 + 0.5 * unit) * MAX_RETRY_AFTER_MS as f64
        } else {
            self.next_slot_ms = slot + gap;
            slot - now
        };
        let jitter = 1.0 + JITTER_FRACTION * rng.random::<f64>();
        (delay * jitter).ceil() as u64
    }
}

/// Returns a delay drawn uniformly between half of `delay_ms` and `delay_ms`.
///
/// ```
/// use berylmount_policy::pacing::jittered;
/// use rand::SeedableRng;
///
/// let mut rng = rand_pcg::Pcg32::seed_from_u64(1);
/// let delay = jittered(100, &mut rng);
/// assert!((50..=100).contains(&delay));
/// ```
pub fn jittered(delay_ms: u64, rng: &mut impl Rng) -> u64 {
    rng.random_range(delay_ms / 2..=delay_ms)
}
