//! Which stores of kept cache answer late, by the first events of the requests
//! that fetch from them.
//!
//! Load: a quarter of the stores take several times as long for seconds. Their
//! links fill up, and every prompt with a part there stands for a second or
//! two, while reading that part again would take a tenth of a second. Nothing
//! tells which store is slow, and a prompt has parts at several.
//!
//! Invariants:
//!
//! - A store that has lately served a request in time is not blamed, and one
//!   that serves most requests in time is not told of. At a crest many requests
//!   are late, at all stores alike.
//! - A fleet believes only what a good part of its instances tell.

use crate::decay::decayed;

/// Least excess over the expected time at which a request is late, in
/// milliseconds: more than the waits of a usual crest.
const LATE_MS: f64 = 350.0;
/// Excess up to which a request is in time, in milliseconds.
const IN_TIME_MS: f64 = 150.0;
/// Time for which a request in time clears its stores, in milliseconds.
const CLEARED_MS: u64 = 600;
/// Weight of the last request in the part of late ones.
const STORE_EWMA_WEIGHT: f64 = 0.45;
/// Part of late requests from which on a store lags: two late ones in a row.
const LAGGING_FRACTION: f64 = 0.6;
/// By how much that part must exceed the one of all requests. A crest makes
/// requests late at all stores.
const MIN_EXCESS_FRACTION: f64 = 0.25;
/// Weight of the last request in the part of all requests.
const OVERALL_EWMA_WEIGHT: f64 = 0.1;
/// Time in which what is known of a lag loses half of its weight, in
/// milliseconds: a store is tried again after a second or two.
const HALF_LIFE_MS: f64 = 1500.0;
/// Least lag that is worth telling, in milliseconds.
const MIN_LAG_MS: f64 = 50.0;
/// Instances for each witness that is needed. Weak instances see too few
/// requests to tell.
const INSTANCES_PER_WITNESS: usize = 5;
/// Least number of witnesses, if there are as many instances.
const MIN_WITNESSES: usize = 2;

/// How a request's wait for its first event compares with what was expected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WaitClass {
    /// It took about as long as expected.
    InTime,
    /// It took longer, as happens on a usual crest.
    Slow,
    /// It took far longer, by this many milliseconds.
    Late(f64),
}

/// Judges a wait.
///
/// ```
/// use berylmount_policy::lateness::{classify_wait, WaitClass};
///
/// assert_eq!(classify_wait(160.0, 100.0), WaitClass::InTime);
/// assert_eq!(classify_wait(400.0, 100.0), WaitClass::Slow);
/// assert_eq!(classify_wait(1100.0, 100.0), WaitClass::Late(1000.0));
/// ```
pub fn classify_wait(waited_ms: f64, expected_ms: f64) -> WaitClass {
    let excess_ms = waited_ms - expected_ms;
    match excess_ms {
        excess if excess <= IN_TIME_MS => WaitClass::InTime,
        excess if excess < LATE_MS.max(expected_ms) => WaitClass::Slow,
        excess => WaitClass::Late(excess),
    }
}

/// What is known of one store.
#[derive(Clone, Copy, Debug, Default)]
struct StoreLag {
    store: u64,
    lag_ms: f64,
    noted_at_ms: u64,
    /// Part of its last requests that were late.
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

/// Lags of stores as one instance has seen them, by the store's key.
#[derive(Clone, Debug, Default)]
pub struct LagTracker {
    stores: Vec<StoreLag>,
    /// Part of the last requests to any stores that were late.
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

    /// Takes how long a request waited that fetched from `stores`.
    ///
    /// ```
    /// use berylmount_policy::lateness::{LagTracker, WaitClass};
    ///
    /// let mut book = LagTracker::default();
    /// book.note_wait(&[1, 3, 4], WaitClass::InTime, 1000);
    /// for _ in 0..3 {
    ///     book.note_wait(&[1, 2], WaitClass::Late(800.0), 1200);
    /// }
    /// assert_eq!(book.lags(1200), [(2, 800)]);
    /// ```
    pub fn note_wait(&mut self, stores: &[u64], verdict: WaitClass, now_ms: u64) {
        let was_late = f64::from(u8::from(matches!(verdict, WaitClass::Late(_))));
        self.late_fraction += (was_late - self.late_fraction) * OVERALL_EWMA_WEIGHT;
        for store in stores {
            let lag = self.entry(*store);
            match verdict {
                WaitClass::InTime => lag.note_in_time(now_ms),
                WaitClass::Slow => {}
                WaitClass::Late(excess_ms) if !lag.is_cleared(now_ms) => {
                    lag.note_late(excess_ms, now_ms);
                }
                WaitClass::Late(_) => {}
            }
        }
    }

    /// The lags worth telling: key of the store and milliseconds, by key.
    pub fn lags(&self, now_ms: u64) -> Vec<(u64, u32)> {
        let is_lagging = |lag: &&StoreLag| lag.is_lagging(self.late_fraction, now_ms);
        let lagging = self.stores.iter().filter(is_lagging);
        let reported = lagging.map(|lag| (lag.store, lag.lag_ms(now_ms) as u32));
        reported.collect()
    }
}

/// The lags to reckon with, of what each instance has told: the longest of those
/// that enough of them tell, and in a fleet of one the own ones.
///
/// The longest counts, so that one instance that tries a store again and meets
/// it as slow as before spares the others the same.
///
/// ```
/// use berylmount_policy::lateness::quorum_lags;
///
/// let told: [&[(u64, u32)]; 3] = [&[(1, 900), (2, 700)], &[(2, 500)], &[]];
/// assert_eq!(quorum_lags(&told), [(2, 700)]);
/// assert_eq!(quorum_lags(&told[..1]), [(1, 900), (2, 700)]);
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
