//! How long a caller's connection may stay idle.
//!
//! A caller reuses an idle connection as the limit that it knows allows. It may learn of a
//! new limit later than this process, and a request that it sends as the connection is
//! closed is lost.
//!
//! Invariants:
//!
//! - No connection is closed sooner than a limit allows that was in force within the time
//!   for which replaced limits are retained.

/// Time in milliseconds for which a connection stays open beyond its limit, for requests
/// that were sent within it and are delayed on the way.
const DELAY_MARGIN_MS: u64 = 1000;

/// The limit in force and those that were replaced recently, in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct IdleLimits {
    current_ms: u64,
    /// Replaced limits, each with the time until which it is retained.
    replaced: Vec<(u64, u64)>,
}

impl IdleLimits {
    /// Creates the limits with `current_ms` in force.
    pub fn new(current_ms: u64) -> Self {
        Self {
            current_ms,
            replaced: Vec::new(),
        }
    }

    /// Replaces the limit in force, and retains the one before for `retained_ms`.
    pub fn replace(&mut self, limit_ms: u64, now_ms: u64, retained_ms: u64) {
        if limit_ms == self.current_ms {
            return;
        }
        self.replaced.retain(|(until_ms, _)| now_ms < *until_ms);
        self.replaced.push((now_ms + retained_ms, self.current_ms));
        self.current_ms = limit_ms;
    }

    /// Returns the idle time in milliseconds after which a connection may be closed. The
    /// longest result since the connection became idle counts.
    ///
    /// ```
    /// use berylmount_policy::idle_limits::IdleLimits;
    ///
    /// let mut limits = IdleLimits::new(15_000);
    /// limits.replace(500, 0, 3000);
    /// assert!(limits.close_after_ms(2999) > 15_000);
    /// assert!(limits.close_after_ms(3000) < 2000);
    /// ```
    pub fn close_after_ms(&self, now_ms: u64) -> u64 {
        let retained = self
            .replaced
            .iter()
            .filter(|(until_ms, _)| now_ms < *until_ms);
        let longest_ms = retained.map(|(_, limit_ms)| *limit_ms).max().unwrap_or(0);
        longest_ms.max(self.current_ms) + DELAY_MARGIN_MS
    }
}
