//! Clocks that processes read and pass in.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Monotonic milliseconds since a process started.
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
    /// Zero of this clock.
    origin: Instant,
}

impl MonotonicClock {
    /// Starts at one, so that zero can stand for "never".
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        let passed = self.origin.elapsed().as_millis();
        u64::try_from(passed).unwrap_or(u64::MAX).saturating_add(1)
    }
}

/// Milliseconds of the system's clock since 1970, for dates only.
pub fn unix_ms() -> u64 {
    let passed = SystemTime::now().duration_since(UNIX_EPOCH);
    passed.map_or(0, |passed| {
        u64::try_from(passed.as_millis()).unwrap_or(u64::MAX)
    })
}
