//! Estimates the clock that runners and stores share.
//!
//! Each response carries the time at which it was made, so a sample lags by its network
//! latency. The sample with the smallest lag is used. Its value is reduced over time,
//! so that newer samples replace it, because clocks drift and may be adjusted.

/// Age at which a sample is reduced by one millisecond, in milliseconds. Clocks drift
/// by less than that.
const DRIFT_MS: u64 = 1000;
/// Time without a sample after which the clock counts as unknown, in milliseconds.
const SAMPLE_LIFE_MS: u64 = 10_000;

/// An estimate of the shared clock.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RunnerClock {
    /// The sample with the smallest lag: the shared clock's reading and the time of its
    /// arrival by this process's clock, in milliseconds.
    best: Option<(u64, u64)>,
    /// When the last sample arrived, by this process's clock.
    last_sample_ms: u64,
}

impl RunnerClock {
    /// Records a sample that arrived at `now_ms` of this process's clock.
    ///
    /// ```
    /// use berylmount_policy::runner_clock::RunnerClock;
    ///
    /// let mut clock = RunnerClock::default();
    /// assert_eq!(clock.at(100), None);
    /// clock.note(5000, 100);
    /// // A sample with a longer latency changes nothing.
    /// clock.note(5020, 150);
    /// assert_eq!(clock.at(150), Some(5050));
    /// ```
    pub fn note(&mut self, clock_ms: u64, now_ms: u64) {
        let expected = self.best.map(|best| extrapolate(best, now_ms));
        if expected.is_none_or(|expected| clock_ms > expected) || !self.is_known(now_ms) {
            self.best = Some((clock_ms, now_ms));
        }
        self.last_sample_ms = now_ms;
    }

    /// The shared clock at `now_ms` of this process's clock, if it is known.
    pub fn at(&self, now_ms: u64) -> Option<u64> {
        let best = self.best.filter(|_| self.is_known(now_ms))?;
        Some(extrapolate(best, now_ms))
    }

    fn is_known(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.last_sample_ms) <= SAMPLE_LIFE_MS
    }
}

/// Extrapolates a sample to `now_ms`, less the drift that the clocks may have had.
fn extrapolate((clock_ms, at_ms): (u64, u64), now_ms: u64) -> u64 {
    let age_ms = now_ms.saturating_sub(at_ms);
    (clock_ms + age_ms).saturating_sub(age_ms / DRIFT_MS)
}
