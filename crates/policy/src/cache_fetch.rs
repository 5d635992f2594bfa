//! Whether to fetch KV cache from a store or to recompute it.
//!
//! A fetch pays off if the bytes pending on the link and its own bytes arrive
//! sooner than the prefill that it saves would take. The speed of a link is
//! estimated from the transfers that end.

/// A dense id of a link to a store.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LinkId(pub u32);

/// Longest fetch, as a fraction of the prefill time that it saves.
const MAX_FETCH_FRACTION: f64 = 0.9;
/// Number of transfers in flight on one link at which no further fetch is planned.
pub const MAX_FETCHES: usize = 16;
/// Number of transfers in flight on one link at which no further export begins.
const MAX_EXPORT_TRANSFERS: usize = 6;
/// Longest expected time of an export, in milliseconds.
const MAX_EXPORT_MS: f64 = 6_000.0;
/// Weight of a new observation in the moving average of a link's speed.
const SPEED_EWMA_WEIGHT: f64 = 0.3;
/// Setup time of a fetch, in milliseconds.
const FETCH_SETUP_MS: f64 = 5.0;
/// Lower bound of the estimated speed, as a fraction of the nominal one.
const MIN_SPEED_FRACTION: f64 = 0.02;

/// What to do with cache pieces that a store probably holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FetchPlan {
    /// Fetch them.
    Fetch {
        /// The expected time of the fetch, in milliseconds.
        expected_ms: f64,
    },
    /// Compute them in the prefill.
    Recompute(RecomputeCause),
}

/// Why pieces are recomputed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RecomputeCause {
    /// The fetch would save no prefill time.
    NothingSaved,
    /// The link has reached its limit of transfers in flight.
    LinkFull,
    /// The fetch would take too long compared with the prefill.
    LinkSlow,
}

/// One transfer in flight, which is a fetch or an export.
#[derive(Clone, Copy, Debug)]
struct TransferState {
    ticket: u64,
    expected_ms: f64,
    begun_ms: u64,
}

/// The state of one link.
#[derive(Clone, Debug)]
struct LinkState {
    nominal_bytes_per_ms: f64,
    bytes_per_ms: f64,
    /// Bytes of fetches and exports that were not yet transferred at `updated_ms`.
    pending_bytes: f64,
    updated_ms: u64,
    transfers: Vec<TransferState>,
}

impl LinkState {
    fn pending_bytes_at(&self, now_ms: u64) -> f64 {
        let passed = now_ms.saturating_sub(self.updated_ms) as f64;
        (self.pending_bytes - passed * self.bytes_per_ms).max(0.0)
    }

    fn transfer_ms(&self, bytes: u64, now_ms: u64) -> f64 {
        let overdue_factors = self
            .transfers
            .iter()
            .map(|transfer| transfer.overdue_factor(now_ms));
        let slowdown = overdue_factors.fold(1.0, f64::max);
        FETCH_SETUP_MS
            + slowdown * (self.pending_bytes_at(now_ms) + bytes as f64) / self.bytes_per_ms
    }

    fn update_speed(&mut self, ratio: f64) {
        let observed = self.bytes_per_ms * ratio.clamp(0.1, 2.0);
        let slowest = MIN_SPEED_FRACTION * self.nominal_bytes_per_ms;
        let average = self.bytes_per_ms + SPEED_EWMA_WEIGHT * (observed - self.bytes_per_ms);
        self.bytes_per_ms = average.clamp(slowest, self.nominal_bytes_per_ms);
    }
}

impl TransferState {
    /// Returns the time taken so far as a multiple of the expected time.
    fn overdue_factor(&self, now_ms: u64) -> f64 {
        now_ms.saturating_sub(self.begun_ms) as f64 / self.expected_ms.max(1.0)
    }
}

/// The links from one dispatch process to the stores.
///
/// ```
/// use berylmount_policy::{FetchPlan, LinkTracker};
///
/// let mut links = LinkTracker::default();
/// let link = links.add_link(1_000_000);
/// let plan = links.plan(link, 100_000, 400.0, 0);
/// assert_eq!(plan, FetchPlan::Fetch { expected_ms: 105.0 });
/// links.begin(link, 1, 300_000, 0);
/// assert!(matches!(links.plan(link, 100_000, 400.0, 0), FetchPlan::Recompute(_)));
/// links.finish(link, 1, true, 300);
/// ```
#[derive(Clone, Debug, Default)]
pub struct LinkTracker {
    links: Vec<LinkState>,
}

impl LinkTracker {
    /// Adds a link of `bytes_per_s`; zero means that its speed is not limited.
    ///
    /// ```
    /// use berylmount_policy::{LinkTracker};
    ///
    /// let mut links = LinkTracker::default();
    /// let link = links.add_link(1_000_000);
    /// assert_eq!(links.in_flight(link), 0);
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
            transfers: Vec::new(),
        });
        LinkId(self.links.len() as u32 - 1)
    }

    /// Decides whether to fetch `bytes` that save `saved_ms` of prefill.
    ///
    /// While runners are scarce, pass more for `saved_ms` than the prefill time
    /// alone, because a fetch leaves a runner free for other requests.
    ///
    /// ```
    /// use berylmount_policy::{FetchPlan, LinkTracker};
    ///
    /// let mut links = LinkTracker::default();
    /// let link = links.add_link(1_000_000);
    /// assert!(matches!(links.plan(link, 500_000, 400.0, 0), FetchPlan::Recompute(_)));
    /// ```
    pub fn plan(&self, link: LinkId, bytes: u64, saved_ms: f64, now_ms: u64) -> FetchPlan {
        let Some(state) = self.links.get(link.0 as usize) else {
            return FetchPlan::Recompute(RecomputeCause::NothingSaved);
        };
        if bytes == 0 || saved_ms <= 0.0 {
            return FetchPlan::Recompute(RecomputeCause::NothingSaved);
        }
        if state.transfers.len() >= MAX_FETCHES {
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

    /// Returns whether an export of `bytes` may begin now.
    ///
    /// Fetches have priority over exports because a request waits for each of
    /// them. Exports use only some of the transfers allowed in flight, and none
    /// while the link has a backlog.
    ///
    /// ```
    /// let mut links = berylmount_policy::LinkTracker::default();
    /// let link = links.add_link(1_000_000);
    /// assert!(links.may_export(link, 100_000, 0));
    /// assert!(!links.may_export(link, 10_000_000, 0));
    /// ```
    pub fn may_export(&self, link: LinkId, bytes: u64, now_ms: u64) -> bool {
        let state = self.links.get(link.0 as usize);
        state.is_some_and(|state| {
            state.transfers.len() < MAX_EXPORT_TRANSFERS
                && state.transfer_ms(bytes, now_ms) <= MAX_EXPORT_MS
        })
    }

    /// Records the start of a fetch or an export of `bytes`.
    ///
    /// ```
    /// use berylmount_policy::{LinkTracker};
    ///
    /// let mut links = LinkTracker::default();
    /// let link = links.add_link(1_000_000);
    /// links.begin(link, 1, 300_000, 0);
    /// assert_eq!(links.in_flight(link), 1);
    /// ```
    pub fn begin(&mut self, link: LinkId, ticket: u64, bytes: u64, now_ms: u64) {
        let Some(state) = self.links.get_mut(link.0 as usize) else {
            return;
        };
        let expected = state.transfer_ms(bytes, now_ms);
        state.pending_bytes = state.pending_bytes_at(now_ms) + bytes as f64;
        state.updated_ms = now_ms;
        state.transfers.push(TransferState {
            ticket,
            expected_ms: expected,
            begun_ms: now_ms,
        });
    }

    /// Records the end of a fetch or an export and updates the estimated speed.
    ///
    /// A failed transfer counts as one at a tenth of the expected speed.
    ///
    /// ```
    /// use berylmount_policy::{LinkTracker};
    ///
    /// let mut links = LinkTracker::default();
    /// let link = links.add_link(1_000_000);
    /// links.begin(link, 1, 300_000, 0);
    /// links.finish(link, 1, true, 310);
    /// assert_eq!(links.in_flight(link), 0);
    /// ```
    pub fn finish(&mut self, link: LinkId, ticket: u64, succeeded: bool, now_ms: u64) {
        let Some(state) = self.links.get_mut(link.0 as usize) else {
            return;
        };
        let Some(position) = state.transfers.iter().position(|t| t.ticket == ticket) else {
            return;
        };
        let transfer = state.transfers.swap_remove(position);
        let taken = now_ms.saturating_sub(transfer.begun_ms) as f64;
        let ratio = if succeeded {
            transfer.expected_ms / taken.max(1.0)
        } else {
            0.1
        };
        state.pending_bytes = state.pending_bytes_at(now_ms);
        state.updated_ms = now_ms;
        state.update_speed(ratio);
        if state.transfers.is_empty() {
            state.pending_bytes = 0.0;
        }
    }

    /// Returns the number of transfers in flight on `link`.
    ///
    /// ```
    /// use berylmount_policy::{LinkTracker};
    ///
    /// let mut links = LinkTracker::default();
    /// let link = links.add_link(1_000_000);
    /// assert_eq!(links.in_flight(link), 0);
    /// ```
    pub fn in_flight(&self, link: LinkId) -> usize {
        let state = self.links.get(link.0 as usize);
        state.map_or(0, |state| state.transfers.len())
    }
}
