//! Clocks. A process reads them and passes the times into its components.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Monotonic clock that counts milliseconds since the process started.
///
/// ```
/// use berylmount_model::MonotonicClock;
///
/// let clock = MonotonicClock::start();
/// let earlier = clock.now_ms();
/// assert!(clock.now_ms() >= earlier);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    /// Start of the clock.
    origin: Instant,
}

impl MonotonicClock {
    /// Starts the clock at 1 ms, so that zero can mean "never".
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the milliseconds since the start, plus one.
    pub fn now_ms(&self) -> u64 {
        let passed = self.origin.elapsed().as_millis();
        u64::try_from(passed).unwrap_or(u64::MAX).saturating_add(1)
    }
}

/// Returns the Unix time in milliseconds. Use it only for dates; it may jump.
pub fn unix_ms() -> u64 {
    let passed = SystemTime::now().duration_since(UNIX_EPOCH);
    passed.map_or(0, |passed| {
        u64::try_from(passed.as_millis()).unwrap_or(u64::MAX)
    })
}
