//! Whether to fetch kept cache from a store or to recompute it.
//!
//! A fetch pays when the bytes already promised on the link and its own arrive
//! sooner than the prefill that they save would be done. The link's speed is
//! learned from the fetches that end.

/// A link to a store, by dense id.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LinkId(pub u32);

/// Part of the prefill time saved that a fetch may take.
const MAX_FETCH_FRACTION: f64 = 0.9;
/// Fetches in flight on one link at most.
pub const MAX_FETCHES: usize = 16;
/// Transfers in flight from which no export begins.
const MAX_EXPORT_TRANSFERS: usize = 6;
/// Longest expected time of an export, in milliseconds.
const MAX_EXPORT_MS: f64 = 6_000.0;
/// Part of a new observation of the link's speed that counts.
const SPEED_EWMA_WEIGHT: f64 = 0.3;
/// Time to open a fetch, in milliseconds.
const FETCH_SETUP_MS: f64 = 5.0;
/// Lowest speed that is believed, as a part of the nominal one.
const MIN_SPEED_FRACTION: f64 = 0.02;

/// What to do about pieces that a store probably holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FetchPlan {
    /// Fetch them; they are expected after so many milliseconds.
    Fetch {
        /// The expected time, in milliseconds.
        expected_ms: f64,
    },
    /// Compute them again.
    Recompute(RecomputeCause),
}

/// Why pieces are computed again.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RecomputeCause {
    /// Nothing would be saved.
    NothingSaved,
    /// The link has as many fetches in flight as it may.
    LinkFull,
    /// The fetch would take longer than the prefill.
    LinkSlow,
}

/// One fetch in flight.
#[derive(Clone, Copy, Debug)]
struct FetchState {
    ticket: u64,
    expected_ms: f64,
    begun_ms: u64,
}

/// One link.
#[derive(Clone, Debug)]
struct LinkState {
    nominal_bytes_per_ms: f64,
    bytes_per_ms: f64,
    /// Bytes promised and not yet arrived, at `updated_ms`.
    pending_bytes: f64,
    updated_ms: u64,
    fetches: Vec<FetchState>,
}

impl LinkState {
    fn pending_bytes_at(&self, now_ms: u64) -> f64 {
        let passed = now_ms.saturating_sub(self.updated_ms) as f64;
        (self.pending_bytes - passed * self.bytes_per_ms).max(0.0)
    }

    fn transfer_ms(&self, bytes: u64, now_ms: u64) -> f64 {
        let overdue_factor = self
            .fetches
            .iter()
            .map(|fetch| fetch.overdue_factor(now_ms));
        let slowed = overdue_factor.fold(1.0, f64::max);
        FETCH_SETUP_MS + slowed * (self.pending_bytes_at(now_ms) + bytes as f64) / self.bytes_per_ms
    }

    fn update_speed(&mut self, ratio: f64) {
        let seen = self.bytes_per_ms * ratio.clamp(0.1, 2.0);
        let slowest = MIN_SPEED_FRACTION * self.nominal_bytes_per_ms;
        let mixed = self.bytes_per_ms + SPEED_EWMA_WEIGHT * (seen - self.bytes_per_ms);
        self.bytes_per_ms = mixed.clamp(slowest, self.nominal_bytes_per_ms);
    }
}

impl FetchState {
    /// How many times its expected time it has taken so far.
    fn overdue_factor(&self, now_ms: u64) -> f64 {
        now_ms.saturating_sub(self.begun_ms) as f64 / self.expected_ms.max(1.0)
    }
}

/// The links from one dispatch process to the stores.
///
/// ```
/// use berylmount_policy::{FetchPlan, LinkTracker};
///
/// let mut book = LinkTracker::default();
/// let link = book.add_link(1_000_000);
/// let plan = book.plan(link, 100_000, 400.0, 0);
/// assert_eq!(plan, FetchPlan::Fetch { expected_ms: 105.0 });
/// book.begin(link, 1, 300_000, 0);
/// assert!(matches!(book.plan(link, 100_000, 400.0, 0), FetchPlan::Recompute(_)));
/// book.finish(link, 1, true, 300);
/// ```
#[derive(Clone, Debug, Default)]
pub struct LinkTracker {
    links: Vec<LinkState>,
}

impl LinkTracker {
    /// Adds a link of `bytes_per_s`; zero says that it has no bound.
    ///
    /// ```
    /// use berylmount_policy::{LinkTracker};
    ///
    /// let mut book = LinkTracker::default();
    /// let link = book.add_link(1_000_000);
    /// assert_eq!(book.in_flight(link), 0);
    /// ```
    pub fn add_link(&mut self, bytes_per_s: u64) -> LinkId {
        let unbounded = bytes_per_s == 0;
        let rate = if unbounded {
            1e9
        } else {
            bytes_per_s as f64 / 1000.0
        };
        self.links.push(LinkState {
            nominal_bytes_per_ms: rate,
            bytes_per_ms: rate,
            pending_bytes: 0.0,
            updated_ms: 0,
            fetches: Vec::new(),
        });
        LinkId(self.links.len() as u32 - 1)
    }

    /// Whether to fetch `bytes` that save `saved_ms` of prefill.
    ///
    /// While runners are short, pass more for `saved_ms` than the bare prefill
    /// time: a fetch frees a runner for others.
    ///
    /// ```
    /// use berylmount_policy::{FetchPlan, LinkTracker};
    ///
    /// let mut book = LinkTracker::default();
    /// let link = book.add_link(1_000_000);
    /// assert!(matches!(book.plan(link, 500_000, 400.0, 0), FetchPlan::Recompute(_)));
    /// ```
    pub fn plan(&self, link: LinkId, bytes: u64, saved_ms: f64, now_ms: u64) -> FetchPlan {
        let Some(state) = self.links.get(link.0 as usize) else {
            return FetchPlan::Recompute(RecomputeCause::NothingSaved);
        };
        if bytes == 0 || saved_ms <= 0.0 {
            return FetchPlan::Recompute(RecomputeCause::NothingSaved);
        }
        if state.fetches.len() >= MAX_FETCHES {
            return FetchPlan::Recompute(RecomputeCause::LinkFull);
        }
        let expected = state.transfer_ms(bytes, now_ms);
        if expected > MAX_FETCH_FRACTION * saved_ms {
            return FetchPlan::Recompute(RecomputeCause::LinkSlow);
        }
        FetchPlan::Fetch {
            expected_ms: expected,
        }
    }

    /// Whether an export of `bytes` may begin now.
    ///
    /// Exports give way to fetches, for which a request waits: they take only
    /// a part of the places in flight, and none while the link is behind.
    ///
    /// ```
    /// let mut book = berylmount_policy::LinkTracker::default();
    /// let link = book.add_link(1_000_000);
    /// assert!(book.may_export(link, 100_000, 0));
    /// assert!(!book.may_export(link, 10_000_000, 0));
    /// ```
    pub fn may_export(&self, link: LinkId, bytes: u64, now_ms: u64) -> bool {
        let state = self.links.get(link.0 as usize);
        state.is_some_and(|state| {
            state.fetches.len() < MAX_EXPORT_TRANSFERS
                && state.transfer_ms(bytes, now_ms) <= MAX_EXPORT_MS
        })
    }

    /// Counts a fetch, or an export, of `bytes` that begins now.
    ///
    /// ```
    /// use berylmount_policy::{LinkTracker};
    ///
    /// let mut book = LinkTracker::default();
    /// let link = book.add_link(1_000_000);
    /// book.begin(link, 1, 300_000, 0);
    /// assert_eq!(book.in_flight(link), 1);
    /// ```
    pub fn begin(&mut self, link: LinkId, ticket: u64, bytes: u64, now_ms: u64) {
        let Some(state) = self.links.get_mut(link.0 as usize) else {
            return;
        };
        let expected = state.transfer_ms(bytes, now_ms);
        state.pending_bytes = state.pending_bytes_at(now_ms) + bytes as f64;
        state.updated_ms = now_ms;
        state.fetches.push(FetchState {
            ticket,
            expected_ms: expected,
            begun_ms: now_ms,
        });
    }

    /// Counts the end of a fetch and learns from its time.
    ///
    /// A fetch that failed counts as one that was far too slow.
    ///
    /// ```
    /// use berylmount_policy::{LinkTracker};
    ///
    /// let mut book = LinkTracker::default();
    /// let link = book.add_link(1_000_000);
    /// book.begin(link, 1, 300_000, 0);
    /// book.finish(link, 1, true, 310);
    /// assert_eq!(book.in_flight(link), 0);
    /// ```
    pub fn finish(&mut self, link: LinkId, ticket: u64, succeeded: bool, now_ms: u64) {
        let Some(state) = self.links.get_mut(link.0 as usize) else {
            return;
        };
        let Some(position) = state.fetches.iter().position(|f| f.ticket == ticket) else {
            return;
        };
        let fetch = state.fetches.swap_remove(position);
        let taken = now_ms.saturating_sub(fetch.begun_ms) as f64;
        let ratio = if succeeded {
            fetch.expected_ms / taken.max(1.0)
        } else {
            0.1
        };
        state.pending_bytes = state.pending_bytes_at(now_ms);
        state.updated_ms = now_ms;
        state.update_speed(ratio);
        if state.fetches.is_empty() {
            state.pending_bytes = 0.0;
        }
    }

    /// Fetches in flight on `link`.
    ///
    /// ```
    /// use berylmount_policy::{LinkTracker};
    ///
    /// let mut book = LinkTracker::default();
    /// let link = book.add_link(1_000_000);
    /// assert_eq!(book.in_flight(link), 0);
    /// ```
    pub fn in_flight(&self, link: LinkId) -> usize {
        let state = self.links.get(link.0 as usize);
        state.map_or(0, |state| state.fetches.len())
    }
}
