//! For how long a stream may be taken up after its first event.
//!
//! That follows from the time limits of the routes in force. A table may shorten them while
//! streams run that began before.
//!
//! Invariants:
//!
//! - A time counts for as long as a stream can be taken up that began while it was in force.

use serde::{Deserialize, Serialize};

/// The time in force, and the longest that was replaced, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeptTime {
    current_ms: u64,
    replaced_ms: u64,
    /// Until when the replaced time counts.
    until_ms: u64,
}

impl KeptTime {
    /// Puts a time in force. A longer one before it counts until it has passed.
    ///
    /// ```
    /// use berylmount_policy::kept_time::KeptTime;
    ///
    /// let mut kept = KeptTime::default();
    /// kept.replace(30_000, 0);
    /// kept.replace(5000, 1000);
    /// assert_eq!(kept.longest_ms(30_999), 30_000);
    /// assert_eq!(kept.longest_ms(31_000), 5000);
    /// ```
    pub fn replace(&mut self, kept_ms: u64, now_ms: u64) {
        if kept_ms < self.current_ms {
            self.replaced_ms = self.longest_ms(now_ms);
            self.until_ms = self.until_ms.max(now_ms.saturating_add(self.current_ms));
        }
        self.current_ms = kept_ms;
    }

    /// Puts a time in force if it is shorter than the one in force, or longer than all that
    /// count. Several processes that learn of a change at different times thus cause two
    /// changes at most.
    pub fn adopt(&mut self, kept_ms: u64, now_ms: u64) {
        if kept_ms < self.current_ms || kept_ms > self.longest_ms(now_ms) {
            self.replace(kept_ms, now_ms);
        }
    }

    /// Returns the longest time that counts.
    pub fn longest_ms(&self, now_ms: u64) -> u64 {
        match now_ms < self.until_ms {
            true => self.current_ms.max(self.replaced_ms),
            false => self.current_ms,
        }
    }
}
