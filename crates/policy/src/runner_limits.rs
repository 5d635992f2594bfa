//! Request limits that runners name in their responses.
//!
//! A runner in need names the requests per second that it accepts from all instances
//! together, and withdraws the limit by a response without one. Responses of one runner
//! may overtake each other, so statements are ordered by time: a limit counts from when
//! its response arrived, and its absence only from when the request was sent.

/// Time after which a limit that no response has repeated is forgotten, in
/// milliseconds. It only bounds the table, because runners come and go.
const FORGET_MS: u64 = 3_600_000;

/// The latest statement of one runner.
#[derive(Clone, Copy, Debug, PartialEq)]
struct LimitEntry {
    /// Key of the runner and its start.
    runner: u64,
    /// Requests per second; `None` if the limit was withdrawn.
    per_s: Option<f64>,
    /// Time from which the statement counts.
    at_ms: u64,
}

/// The request limits of all runners, as far as this instance knows.
#[derive(Clone, Debug, Default)]
pub struct RunnerLimits {
    /// Sorted by runner. Runners that never named a limit have no entry.
    entries: Vec<LimitEntry>,
}

impl RunnerLimits {
    /// Records that a response named a limit. Returns whether the limit changed.
    ///
    /// ```
    /// use berylmount_policy::runner_limits::RunnerLimits;
    ///
    /// let mut limits = RunnerLimits::default();
    /// assert!(limits.note_limit(7, 2.8, 1000));
    /// assert!(!limits.note_limit(7, 2.8, 1500));
    /// assert_eq!(limits.limit_of(7), Some(2.8));
    /// ```
    pub fn note_limit(&mut self, runner: u64, per_s: f64, now_ms: u64) -> bool {
        self.apply(runner, Some(per_s), now_ms)
    }

    /// Records that a response named no limit. Returns whether that ends a limit.
    ///
    /// ```
    /// use berylmount_policy::runner_limits::RunnerLimits;
    ///
    /// let mut limits = RunnerLimits::default();
    /// limits.note_limit(7, 2.8, 1000);
    /// // The response to an earlier request may have been made before the limit was named.
    /// assert!(!limits.note_no_limit(7, 900));
    /// assert!(limits.note_no_limit(7, 1100));
    /// assert_eq!(limits.limit_of(7), None);
    /// ```
    pub fn note_no_limit(&mut self, runner: u64, sent_ms: u64) -> bool {
        self.find(runner).is_ok() && self.apply(runner, None, sent_ms)
    }

    /// Returns the limit of a runner in requests per second.
    pub fn limit_of(&self, runner: u64) -> Option<f64> {
        let index = self.find(runner).ok()?;
        self.entries[index].per_s
    }

    /// Returns the number of runners with a limit.
    pub fn len(&self) -> usize {
        let limited = self.entries.iter().filter(|entry| entry.per_s.is_some());
        limited.count()
    }

    /// Whether no runner has a limit.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Applies a statement unless a later one is known. Returns whether the limit changed.
    fn apply(&mut self, runner: u64, per_s: Option<f64>, at_ms: u64) -> bool {
        let index = match self.find(runner) {
            Ok(index) => index,
            Err(_) => {
                self.entries
                    .retain(|entry| at_ms.saturating_sub(entry.at_ms) < FORGET_MS);
                let index = self.find(runner).unwrap_or_else(|index| index);
                let entry = LimitEntry {
                    runner,
                    per_s,
                    at_ms,
                };
                self.entries.insert(index, entry);
                return per_s.is_some();
            }
        };
        let entry = &mut self.entries[index];
        if at_ms < entry.at_ms {
            return false;
        }
        entry.at_ms = at_ms;
        let changed = entry.per_s != per_s;
        entry.per_s = per_s;
        changed
    }

    fn find(&self, runner: u64) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&runner, |entry| entry.runner)
    }
}
