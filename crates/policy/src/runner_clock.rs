//! The clock that runners and stores share, as far as this process knows it.
//!
//! Answers name the time at which they were made, so a sample is behind by its
//! way. The sample that is least behind counts; it is given up slowly, because
//! clocks drift and may be set.

/// Time after which a sample loses a millisecond, in milliseconds: clocks drift
/// by less than that.
const DRIFT_MS: u64 = 1000;
/// Time after which nothing is known without a sample, in milliseconds.
const TRUST_MS: u64 = 10_000;

/// What is known of the clock.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RunnerClock {
    /// The least late sample: that clock, and this process's clock.
    best: Option<(u64, u64)>,
    /// When the last sample came.
    heard_ms: u64,
}

impl RunnerClock {
    /// Takes a sample that came at `now_ms` of this process's clock.
    ///
    /// ```
    /// use berylmount_policy::runner_clock::RunnerClock;
    ///
    /// let mut clock = RunnerClock::default();
    /// assert_eq!(clock.at(100), None);
    /// clock.note(5000, 100);
    /// // One that took longer on its way changes nothing.
    /// clock.note(5020, 150);
    /// assert_eq!(clock.at(150), Some(5050));
    /// ```
    pub fn note(&mut self, clock_ms: u64, now_ms: u64) {
        let expected = self.best.map(|best| aged(best, now_ms));
        if expected.is_none_or(|expected| clock_ms > expected) || !self.is_known(now_ms) {
            self.best = Some((clock_ms, now_ms));
        }
        self.heard_ms = now_ms;
    }

    /// That clock at `now_ms` of this process's clock, if it is known.
    pub fn at(&self, now_ms: u64) -> Option<u64> {
        let best = self.best.filter(|_| self.is_known(now_ms))?;
        Some(aged(best, now_ms))
    }

    fn is_known(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.heard_ms) <= TRUST_MS
    }
}

/// What a sample says at `now_ms`, less what clocks may have drifted.
fn aged((clock_ms, at_ms): (u64, u64), now_ms: u64) -> u64 {
    let age_ms = now_ms.saturating_sub(at_ms);
    (clock_ms + age_ms).saturating_sub(age_ms / DRIFT_MS)
}
