//! Limits how often records of one kind are logged.

/// Admits one record per interval, and counts those that it left out.
#[derive(Clone, Debug)]
pub struct RecordLimiter {
    interval_ms: u64,
    admitted_ms: Option<u64>,
    left_out: u64,
}

impl RecordLimiter {
    /// Creates a limiter that has admitted nothing yet.
    ///
    /// ```
    /// use berylmount_telemetry::RecordLimiter;
    ///
    /// assert_eq!(RecordLimiter::new(1000).admit(0), Some(0));
    /// ```
    pub const fn new(interval_ms: u64) -> Self {
        Self {
            interval_ms,
            admitted_ms: None,
            left_out: 0,
        }
    }

    /// Returns the number of records that were left out since the last admitted one, if a record
    /// may be logged now.
    ///
    /// ```
    /// use berylmount_telemetry::RecordLimiter;
    ///
    /// let mut limiter = RecordLimiter::new(1000);
    /// assert_eq!(limiter.admit(0), Some(0));
    /// assert_eq!(limiter.admit(1), None);
    /// assert_eq!(limiter.admit(1000), Some(1));
    /// ```
    pub fn admit(&mut self, now_ms: u64) -> Option<u64> {
        let admitted_ms = self.admitted_ms;
        if admitted_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < self.interval_ms) {
            self.left_out += 1;
            return None;
        }
        self.admitted_ms = Some(now_ms);
        Some(std::mem::take(&mut self.left_out))
    }
}
