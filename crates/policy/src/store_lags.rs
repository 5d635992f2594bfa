//! Detects stores of kept cache that answer late, from the time to first event
//! of the requests that fetch from them.
//!
//! It guards against the following failure. A quarter of the stores become several
//! times slower for some seconds. Their links fill up, and every prompt with a part
//! there waits a second or two, although prefilling that part again would take a tenth
//! of a second. Nothing shows directly which store is slow, and a prompt has parts at
//! several.
//!
//! Invariants:
//!
//! - A late request does not count against a store that has just served another
//!   one in time, and a store that serves most requests in time is not reported.
//!   At a load peak many requests are late, at all stores alike.
//! - A fetch that was abandoned at its time limit counts as late. The request itself
//!   may be in time, because the runner prefilled the prompt instead.
//! - A lag takes effect only if enough instances report it.

use crate::decay::decayed;

/// Smallest excess over the expected time at which a request is late, in
/// milliseconds. It exceeds the waits at a usual load peak. The excess must also be at
/// least the expected time.
const LATE_MS: f64 = 350.0;
/// Largest excess at which a request is in time, in milliseconds.
const IN_TIME_MS: f64 = 150.0;
/// Share of the expected time to first event that passes at least after the end of a
/// fetch. Runners send a first event some tens of milliseconds after it.
const AFTER_FETCH_SHARE: f64 = 0.5;
/// Time after a request in time during which late requests do not count against
/// its stores, in milliseconds.
const CLEARED_MS: u64 = 600;
/// Weight of the last request in a store's fraction of late requests.
const STORE_EWMA_WEIGHT: f64 = 0.45;
/// Smallest fraction of late requests at which a store counts as lagging. Two late
/// requests in a row reach it.
const LAGGING_FRACTION: f64 = 0.6;
/// Smallest excess of a lagging store's fraction over the fraction of late requests
/// at all stores, because a load peak makes requests late at all of them.
const MIN_EXCESS_FRACTION: f64 = 0.25;
/// Weight of the last request in the fraction of late requests over all stores.
const OVERALL_EWMA_WEIGHT: f64 = 0.1;
/// Half-life of a lag, in milliseconds. A store is tried again after a second or
/// two.
const HALF_LIFE_MS: f64 = 1500.0;
/// Smallest lag that is reported, in milliseconds.
const MIN_LAG_MS: f64 = 50.0;
/// Number of instances for each witness that a lag needs. A witness is an instance that
/// reports the lag. Instances with little load see too few requests to be witnesses.
const INSTANCES_PER_WITNESS: usize = 5;
/// Smallest number of witnesses, if there are as many instances.
const MIN_WITNESSES: usize = 2;

/// How a request's wait for its first event compares with the expected one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WaitClass {
    /// It took about as long as expected.
    InTime,
    /// It took longer, as happens at a usual load peak.
    Slow,
    /// It took far longer, or its fetch was abandoned, by this many milliseconds.
    Late(f64),
}

/// What is expected of a request that fetches.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FetchWait {
    /// Expected time to first event, in milliseconds.
    pub expected_ms: f64,
    /// Time after which the runner abandons the fetch, in milliseconds; `None` if it
    /// does not.
    pub limit_ms: Option<f64>,
}

impl FetchWait {
    /// Returns whether the fetch was probably abandoned at its limit.
    fn is_abandoned(&self, waited_ms: f64) -> bool {
        let after_ms = self.expected_ms * AFTER_FETCH_SHARE;
        self.limit_ms
            .is_some_and(|limit_ms| waited_ms >= limit_ms + after_ms)
    }
}

/// Classifies the wait of a request for its first event.
///
/// A late request takes at least twice as long as expected, or so long that its fetch
/// was abandoned.
///
/// ```
/// use berylmount_policy::store_lags::{classify_wait, FetchWait, WaitClass};
///
/// let wait = FetchWait { expected_ms: 100.0, limit_ms: None };
/// assert_eq!(classify_wait(160.0, wait), WaitClass::InTime);
/// assert_eq!(classify_wait(400.0, wait), WaitClass::Slow);
/// assert_eq!(classify_wait(1100.0, wait), WaitClass::Late(1000.0));
/// let limited = FetchWait { limit_ms: Some(80.0), ..wait };
/// assert_eq!(classify_wait(160.0, limited), WaitClass::Late(60.0));
/// ```
pub fn classify_wait(waited_ms: f64, wait: FetchWait) -> WaitClass {
    let excess_ms = waited_ms - wait.expected_ms;
    if wait.is_abandoned(waited_ms) && excess_ms > 0.0 {
        return WaitClass::Late(excess_ms);
    }
    match excess_ms {
        excess if excess <= IN_TIME_MS => WaitClass::InTime,
        excess if excess < LATE_MS.max(wait.expected_ms) => WaitClass::Slow,
        excess => WaitClass::Late(excess),
    }
}

/// The observed lag of one store.
#[derive(Clone, Copy, Debug, Default)]
struct StoreLag {
    store: u64,
    lag_ms: f64,
    noted_at_ms: u64,
    /// Moving average of the fraction of its requests that were late.
    late_fraction: f64,
    /// When it last served a request in time; 0 if never.
    cleared_at_ms: u64,
}

impl StoreLag {
    fn lag_ms(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.noted_at_ms);
        decayed(self.lag_ms, age_ms, HALF_LIFE_MS)
    }

    fn note_late(&mut self, excess_ms: f64, now_ms: u64) {
        self.lag_ms = self.lag_ms(now_ms).max(excess_ms);
        self.noted_at_ms = now_ms;
        self.late_fraction += (1.0 - self.late_fraction) * STORE_EWMA_WEIGHT;
    }

    fn note_in_time(&mut self, now_ms: u64) {
        self.late_fraction -= self.late_fraction * STORE_EWMA_WEIGHT;
        self.cleared_at_ms = now_ms;
    }

    fn is_lagging(&self, overall_fraction: f64, now_ms: u64) -> bool {
        let min_fraction = LAGGING_FRACTION.max(overall_fraction + MIN_EXCESS_FRACTION);
        self.late_fraction >= min_fraction && self.lag_ms(now_ms) >= MIN_LAG_MS
    }

    fn is_cleared(&self, now_ms: u64) -> bool {
        self.cleared_at_ms > 0 && now_ms.saturating_sub(self.cleared_at_ms) < CLEARED_MS
    }
}

/// The lags of stores that one instance has observed, sorted by the store's key.
#[derive(Clone, Debug, Default)]
pub struct LagTracker {
    stores: Vec<StoreLag>,
    /// Moving average of the fraction of requests to any store that were late.
    late_fraction: f64,
}

impl LagTracker {
    fn entry(&mut self, store: u64) -> &mut StoreLag {
        let found = self.stores.binary_search_by_key(&store, |lag| lag.store);
        let index = found.unwrap_or_else(|index| {
            let lag = StoreLag {
                store,
                ..StoreLag::default()
            };
            self.stores.insert(index, lag);
            index
        });
        &mut self.stores[index]
    }

    /// Records the wait of a request that fetched from `stores`.
    ///
    /// ```
    /// use berylmount_policy::store_lags::{LagTracker, WaitClass};
    ///
    /// let mut tracker = LagTracker::default();
    /// tracker.note_wait(&[1, 3, 4], WaitClass::InTime, 1000);
    /// for _ in 0..3 {
    ///     tracker.note_wait(&[1, 2], WaitClass::Late(800.0), 1200);
    /// }
    /// assert_eq!(tracker.lags(1200), [(2, 800)]);
    /// ```
    pub fn note_wait(&mut self, stores: &[u64], class: WaitClass, now_ms: u64) {
        let was_late = f64::from(u8::from(matches!(class, WaitClass::Late(_))));
        self.late_fraction += (was_late - self.late_fraction) * OVERALL_EWMA_WEIGHT;
        for store in stores {
            let lag = self.entry(*store);
            match class {
                WaitClass::InTime => lag.note_in_time(now_ms),
                WaitClass::Slow => {}
                WaitClass::Late(excess_ms) if !lag.is_cleared(now_ms) => {
                    lag.note_late(excess_ms, now_ms);
                }
                WaitClass::Late(_) => {}
            }
        }
    }

    /// Returns the lags to report, as store key and milliseconds, sorted by key.
    pub fn lags(&self, now_ms: u64) -> Vec<(u64, u32)> {
        let is_lagging = |lag: &&StoreLag| lag.is_lagging(self.late_fraction, now_ms);
        let lagging = self.stores.iter().filter(is_lagging);
        let reported = lagging.map(|lag| (lag.store, lag.lag_ms(now_ms) as u32));
        reported.collect()
    }
}

/// Returns the lags that enough of the instances report.
///
/// Each item of `reported` holds the lags of one instance. A fleet of one instance
/// uses its own lags. The longest lag of each store counts, so if one instance
/// tries a store again and finds it still slow, the others need not try it.
///
/// ```
/// use berylmount_policy::store_lags::quorum_lags;
///
/// let reported: [&[(u64, u32)]; 3] = [&[(1, 900), (2, 700)], &[(2, 500)], &[]];
/// assert_eq!(quorum_lags(&reported), [(2, 700)]);
/// assert_eq!(quorum_lags(&reported[..1]), [(1, 900), (2, 700)]);
/// ```
pub fn quorum_lags(reported: &[&[(u64, u32)]]) -> Vec<(u64, u32)> {
    let needed = MIN_WITNESSES.max(reported.len() / INSTANCES_PER_WITNESS);
    let needed = needed.min(reported.len());
    let mut all: Vec<(u64, u32)> = reported
        .iter()
        .flat_map(|lags| lags.iter().copied())
        .collect();
    all.sort_unstable();
    let of_store = all.chunk_by(|a, b| a.0 == b.0);
    let quorum = of_store.filter(|lags| lags.len() >= needed);
    quorum.filter_map(|lags| lags.last().copied()).collect()
}
