//! When versions of a model's weights were requested, as far as a process can tell.
//!
//! The store does not say when an object was written, so no process knows the time of a
//! request. It knows a bound: a version that was not in the store when a call was sent
//! was requested later than that. A process that starts after the request has no such
//! bound, and neither has anybody after a loss of all processes, unless one is stored.
//!
//! Invariants:
//!
//! - A bound is never later than the request, apart from the delay of the messages that
//!   carried it.
//! - Without a bound, a version counts as requested as long ago as possible.
//! - A bound is never later than the moment at which this process learned of the version.
//!
//! Times are signed, because a request may be older than the clock of a machine that has
//! started since.

/// Maximum number of versions of a model that are remembered.
const MAX_VERSIONS: usize = 16;
/// Maximum number of processes whose bounds of a version are remembered.
const MAX_REPORTERS: usize = 8;

/// What is known about when one version was requested.
#[derive(Clone, Debug, Eq, PartialEq)]
struct RequestTime {
    version: u64,
    /// When this process learned of the version.
    learned_ms: i64,
    /// The latest bound that this process has from the store; `None` without one.
    own_ms: Option<i64>,
    /// The bounds that other processes have reported, sorted by the key of the process.
    reported: Vec<(u64, i64)>,
}

impl RequestTime {
    /// Returns the latest bound.
    fn earliest_ms(&self) -> Option<i64> {
        let reported = self.reported.iter().map(|(_, at_ms)| *at_ms);
        let latest_ms = reported.chain(self.own_ms).max()?;
        Some(latest_ms.min(self.learned_ms))
    }
}

/// When the versions of one model's weights were requested at the earliest.
///
/// ```
/// use berylmount_policy::request_times::RequestTimes;
///
/// let mut times = RequestTimes::default();
/// times.learn(2, None, 20_000);
/// assert!(times.is_due(2, 20_000, 15_000));
/// // Another process saw the store without it at 18,000.
/// times.note_report(7, 2, Some(18_000), 20_000);
/// assert!(!times.is_due(2, 32_000, 15_000));
/// assert!(times.is_due(2, 33_000, 15_000));
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestTimes {
    /// Sorted by version.
    times: Vec<RequestTime>,
}

impl RequestTimes {
    /// Returns the entry of a version; `None` if it is older than all that are remembered.
    fn entry(&mut self, version: u64, now_ms: u64) -> Option<&mut RequestTime> {
        let index = match self.times.binary_search_by_key(&version, |t| t.version) {
            Ok(index) => index,
            Err(0) if self.times.len() >= MAX_VERSIONS => return None,
            Err(mut index) => {
                if self.times.len() >= MAX_VERSIONS {
                    self.times.remove(0);
                    index -= 1;
                }
                let time = RequestTime {
                    version,
                    learned_ms: now_ms as i64,
                    own_ms: None,
                    reported: Vec::new(),
                };
                self.times.insert(index, time);
                index
            }
        };
        self.times.get_mut(index)
    }

    /// Records a version that this process has found in the store or received from
    /// another process. `absent_ms` is when a call was sent to the store whose response
    /// did not contain it; `None` if there was none.
    pub fn learn(&mut self, version: u64, absent_ms: Option<u64>, now_ms: u64) {
        let absent_ms = absent_ms.map(|at_ms| at_ms as i64);
        self.note_stored(version, absent_ms, now_ms);
    }

    /// Records a bound that is stored, which the caller has corrected for the difference of
    /// clocks; `None` if a version is stored without one.
    pub fn note_stored(&mut self, version: u64, at_ms: Option<i64>, now_ms: u64) {
        if let Some(time) = self.entry(version, now_ms) {
            time.own_ms = time.own_ms.max(at_ms);
        }
    }

    /// Records the bound that another process has reported; `None` if it has none. A
    /// message that is delayed shows too late a bound, so the earliest report of a process
    /// counts.
    pub fn note_report(&mut self, process: u64, version: u64, at_ms: Option<i64>, now_ms: u64) {
        let (Some(time), Some(at_ms)) = (self.entry(version, now_ms), at_ms) else {
            return;
        };
        match time
            .reported
            .binary_search_by_key(&process, |(key, _)| *key)
        {
            Ok(index) => {
                let known_ms = &mut time.reported[index].1;
                *known_ms = at_ms.min(*known_ms);
            }
            Err(index) if time.reported.len() < MAX_REPORTERS => {
                time.reported.insert(index, (process, at_ms));
            }
            Err(_) => {}
        }
    }

    /// Returns the versions, oldest first, with the earliest time at which each can have
    /// been requested; `None` if there is no bound.
    pub fn bounds(&self) -> impl DoubleEndedIterator<Item = (u64, Option<i64>)> + '_ {
        let times = self.times.iter();
        times.map(|time| (time.version, time.earliest_ms()))
    }

    /// Returns the earliest time at which a version can have been requested; `None` if there is
    /// no bound.
    ///
    /// ```
    /// use berylmount_policy::request_times::RequestTimes;
    ///
    /// let mut times = RequestTimes::default();
    /// times.learn(2, Some(18_000), 20_000);
    /// assert_eq!((times.bound_ms(2), times.bound_ms(3)), (Some(18_000), None));
    /// ```
    pub fn bound_ms(&self, version: u64) -> Option<i64> {
        let mut bounds = self.bounds();
        bounds.find(|(known, _)| *known == version)?.1
    }

    /// Whether `apply_ms` may have passed since a version was requested.
    pub fn is_due(&self, version: u64, now_ms: u64, apply_ms: u64) -> bool {
        let mut bounds = self.bounds();
        let found = bounds.find(|(known, _)| *known == version);
        found.is_some_and(|(_, at_ms)| remaining_ms(at_ms, now_ms, apply_ms) == 0)
    }

    /// Returns the newest version for which `apply_ms` may have passed since its request.
    pub fn newest_due(&self, now_ms: u64, apply_ms: u64) -> Option<u64> {
        let versions = self.times.iter().rev().map(|time| time.version);
        let mut due = versions.filter(|version| self.is_due(*version, now_ms, apply_ms));
        due.next()
    }

    /// Returns how much of `apply_ms` is surely left since a version newer than `version`
    /// was first requested; `None` if there is no newer one.
    ///
    /// ```
    /// use berylmount_policy::request_times::RequestTimes;
    ///
    /// let mut times = RequestTimes::default();
    /// times.learn(2, Some(18_000), 20_000);
    /// assert_eq!(times.left_ms(1, 21_000, 15_000), Some(12_000));
    /// times.learn(3, None, 20_000);
    /// assert_eq!(times.left_ms(1, 21_000, 15_000), Some(0));
    /// assert_eq!(times.left_ms(3, 21_000, 15_000), None);
    /// ```
    pub fn left_ms(&self, version: u64, now_ms: u64, apply_ms: u64) -> Option<u64> {
        let newer = self.bounds().filter(|(requested, _)| *requested > version);
        let left = newer.map(|(_, at_ms)| remaining_ms(at_ms, now_ms, apply_ms));
        left.min()
    }
}

/// Returns how much of `apply_ms` is surely left after a request at `at_ms` or later.
fn remaining_ms(at_ms: Option<i64>, now_ms: u64, apply_ms: u64) -> u64 {
    at_ms.map_or(0, |at_ms| {
        let left_ms = at_ms + apply_ms as i64 - now_ms as i64;
        left_ms.max(0) as u64
    })
}
