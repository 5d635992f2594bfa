//! When a refused caller should come back.
//!
//! Callers refused in one wave must not return in one wave. Each gets a slot,
//! handed out at the rate at which work can be taken, with jitter.

use rand::{Rng, RngExt};

/// The longest time that a caller is asked to wait, in milliseconds.
pub const MAX_RETRY_AFTER_MS: u64 = 30_000;
/// The shortest time that a caller is asked to wait, in milliseconds.
pub const MIN_RETRY_AFTER_MS: u64 = 20;
/// Part of the wait that jitter may add.
const JITTER_FRACTION: f64 = 0.25;

/// Hands out return times that are spread over the rate of service.
#[derive(Clone, Debug, Default)]
pub struct RetryPacer {
    next_slot_ms: f64,
}

impl RetryPacer {
    /// How long a caller should stay away, in milliseconds.
    ///
    /// `wait_ms` is the honest estimate until work can be taken, and
    /// `rate_per_s` how much is then taken a second. The result is never zero.
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
            // All slots are given out: any place in the later half will do.
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

/// A delay drawn evenly between half of `delay_ms` and the whole.
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
