//! When versions of a model's weights were requested, as far as a process can tell.
//!
//! The store does not say when an object was written, so no process knows the time of a
//! request. It knows a bound: a version that was not in the store when a call was sent
//! was requested later than that. A process that starts after the request has no such
//! bound, and neither has anybody after a loss of all processes, unless one is stored.
//!
//! Other processes may know a later bound. What a message tells unasked is only a hint: it may
//! have waited anywhere on its way, so the age of a request in it may be too low. The reply to a
//! query was made after the query was sent. Its age, counted back from the time of the query, gives
//! a bound that is too early by no more than the delay, and never too late, so it can be passed on.
//!
//! Invariants:
//!
//! - A bound is never later than the request, apart from differences in the rates of clocks.
//! - A hint counts for [`HINT_VALIDITY_MS`] after this process learned of the version, and is
//!   never passed on.
//! - Without a bound, a version counts as requested as long ago as possible.
//! - A bound is never later than the moment at which this process learned of the version.
//!
//! Times are signed, because a request may be older than the clock of a machine that has
//! started since.

/// Maximum number of versions of a model that are remembered.
const MAX_VERSIONS: usize = 16;
/// Time for which a hint counts after a process learned of a version, in milliseconds. It is enough
/// for some queries, of which some may be lost.
pub const HINT_VALIDITY_MS: u64 = 1000;
/// Smallest difference between a hint and the known bound for which it is worth asking, in
/// milliseconds. It exceeds the usual delay of messages.
pub const HINT_TOLERANCE_MS: u64 = 200;

/// What is known about when one version was requested.
#[derive(Clone, Debug, Eq, PartialEq)]
struct RequestTime {
    version: u64,
    /// When this process learned of the version.
    learned_ms: i64,
    /// The latest bound from the store, the lease or a reply; `None` without one.
    bound_ms: Option<i64>,
    /// The latest hint; `None` without one.
    hint_ms: Option<i64>,
}

impl RequestTime {
    /// Returns the latest bound.
    fn earliest_ms(&self) -> Option<i64> {
        let bound_ms = self.bound_ms?;
        Some(bound_ms.min(self.learned_ms))
    }

    /// Whether hints count.
    fn accepts_hints(&self, now_ms: u64) -> bool {
        (now_ms as i64) < self.learned_ms + HINT_VALIDITY_MS as i64
    }

    /// Returns the latest bound or, for a short time, the latest hint.
    fn assumed_ms(&self, now_ms: u64) -> Option<i64> {
        let hint_ms = self.hint_ms.filter(|_| self.accepts_hints(now_ms));
        let latest_ms = self.bound_ms.max(hint_ms)?;
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
/// // Another process replies to a query of 20,010 that the request is at most 2 s old.
/// times.note_reply(2, Some(2000), 20_010, 20_030);
/// assert!(!times.is_due(2, 33_000, 15_000));
/// assert!(times.is_due(2, 33_010, 15_000));
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
                // Who has learned of a newer version knows that this one was requested before.
                let newer = self.times.get(index);
                let learned_ms = newer.map_or(now_ms as i64, |newer| newer.learned_ms);
                if self.times.len() >= MAX_VERSIONS {
                    self.times.remove(0);
                    index -= 1;
                }
                let time = RequestTime {
                    version,
                    learned_ms,
                    bound_ms: None,
                    hint_ms: None,
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
            time.bound_ms = time.bound_ms.max(at_ms);
        }
    }

    /// Records an entry of [`Self::ages`] in the reply of another process to a query that was
    /// sent at `sent_ms`.
    pub fn note_reply(&mut self, version: u64, age_ms: Option<u64>, sent_ms: u64, now_ms: u64) {
        let at_ms = age_ms.map(|age_ms| sent_ms as i64 - age_ms as i64);
        self.note_stored(version, at_ms, now_ms);
    }

    /// Records a hint. Returns whether it is worth asking the process that gave it.
    ///
    /// ```
    /// use berylmount_policy::request_times::RequestTimes;
    ///
    /// let mut times = RequestTimes::default();
    /// times.learn(2, None, 20_000);
    /// assert!(times.note_hint(2, 19_000, 20_000));
    /// assert!(!times.is_due(2, 20_999, 15_000));
    /// assert!(times.is_due(2, 21_000, 15_000));
    /// times.note_reply(2, Some(1000), 20_000, 20_010);
    /// assert!(!times.note_hint(2, 19_010, 21_000));
    /// ```
    pub fn note_hint(&mut self, version: u64, at_ms: i64, now_ms: u64) -> bool {
        let Some(time) = self.entry(version, now_ms) else {
            return false;
        };
        if time.accepts_hints(now_ms) {
            time.hint_ms = time.hint_ms.max(Some(at_ms));
        }
        let hint_ms = at_ms.min(time.learned_ms);
        let known_ms = time.earliest_ms();
        known_ms.is_none_or(|known_ms| hint_ms > known_ms + HINT_TOLERANCE_MS as i64)
    }

    /// Returns the versions, oldest first, with the earliest time at which each can have
    /// been requested; `None` if there is no bound.
    pub fn bounds(&self) -> impl DoubleEndedIterator<Item = (u64, Option<i64>)> + '_ {
        let times = self.times.iter();
        times.map(|time| (time.version, time.earliest_ms()))
    }

    /// Returns the versions, oldest first, with an age in milliseconds that their requests
    /// surely do not exceed; `None` if there is no bound.
    ///
    /// ```
    /// use berylmount_policy::request_times::RequestTimes;
    ///
    /// let mut times = RequestTimes::default();
    /// times.learn(2, Some(18_000), 20_000);
    /// // A clock may be almost a millisecond ahead of its reading.
    /// assert_eq!(times.ages(20_000).collect::<Vec<_>>(), [(2, Some(2001))]);
    /// ```
    pub fn ages(&self, now_ms: u64) -> impl Iterator<Item = (u64, Option<u64>)> + '_ {
        self.bounds().map(move |(version, at_ms)| {
            let age_ms = at_ms.map(|at_ms| (now_ms as i64 - at_ms).max(0) as u64 + 1);
            (version, age_ms)
        })
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
        let found = self.times.binary_search_by_key(&version, |t| t.version);
        found.is_ok_and(|index| {
            let at_ms = self.times[index].assumed_ms(now_ms);
            remaining_ms(at_ms, now_ms, apply_ms) == 0
        })
    }

    /// Returns the newest version for which `apply_ms` may have passed since its request.
    /// `now_ms` must be the present, because hints count for a limited time.
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
        let newer = self.times.iter().filter(|time| time.version > version);
        let left = newer.map(|time| remaining_ms(time.assumed_ms(now_ms), now_ms, apply_ms));
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
