//! Customer limits, divided between the entries that serve the customer.
//!
//! A limiter keeps buckets only for customers with recent requests. Every call
//! passes the customer's row, so a changed row takes effect at once.
//!
//! Invariants:
//!
//! - The shares of one limit over all entries sum to the limit.
//! - A share that is new to this entry starts almost empty, so a change of owner
//!   or a restart gives no second burst.

use crate::buckets::{new_bucket, LimitBucket, MAX_REFILL_MS};
use berylmount_model::{CustomerName, CustomerRow, LimitRow, WorkName};
use xxhash_rust::xxh3::xxh3_64;

/// Largest number of customers that a limiter tracks.
pub const MAX_CUSTOMERS: usize = 65_536;
/// Retry delay at the limit of requests in flight, in milliseconds.
const IN_FLIGHT_RETRY_MS: u64 = 250;

/// This entry's share of a customer's limits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitShare {
    /// This entry's index among the customer's entries, from zero.
    pub rank: u32,
    /// The number of entries that serve the customer; at least one.
    pub entries: u32,
}

impl LimitShare {
    /// The share of an entry that serves a customer alone.
    pub const WHOLE: Self = Self {
        rank: 0,
        entries: 1,
    };

    /// Returns this entry's share of a rate.
    pub(crate) fn of_rate(self, rate_per_s: f64) -> f64 {
        rate_per_s.max(0.0) / f64::from(self.entries.max(1))
    }

    /// Returns this entry's share of a count; the shares of all ranks sum to the count.
    ///
    /// ```
    /// use berylmount_policy::LimitShare;
    ///
    /// let total: u32 = (0..3).map(|rank| LimitShare { rank, entries: 3 }.of_count(10)).sum();
    /// assert_eq!(total, 10);
    /// ```
    pub fn of_count(self, count: u32) -> u32 {
        let entries = self.entries.max(1);
        count / entries + u32::from(self.rank < count % entries)
    }
}

/// Why a request may not start now.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum LimitRefusal {
    /// The customer's request rate is exceeded.
    #[error("the customer's request rate is exceeded; retry in {0} ms")]
    CustomerRate(u64),
    /// The customer's request rate for this kind of work is exceeded.
    #[error("the customer's request rate for this kind of work is exceeded; retry in {0} ms")]
    WorkRate(u64),
    /// The customer has too many requests in flight.
    #[error("the customer has too many requests in flight; retry in {0} ms")]
    InFlight(u64),
    /// This entry tracks too many customers.
    #[error("this entry tracks too many customers; retry in {0} ms")]
    TooManyCustomers(u64),
}

impl LimitRefusal {
    /// Returns the retry delay, in milliseconds.
    ///
    /// ```
    /// assert_eq!(berylmount_policy::LimitRefusal::InFlight(9).retry_after_ms(), 9);
    /// ```
    pub fn retry_after_ms(self) -> u64 {
        match self {
            Self::CustomerRate(ms) | Self::WorkRate(ms) => ms,
            Self::InFlight(ms) | Self::TooManyCustomers(ms) => ms,
        }
    }
}

/// The state of one tracked customer.
#[derive(Clone, Debug)]
struct CustomerState {
    name: CustomerName,
    share: LimitShare,
    total: LimitBucket,
    /// Sorted by kind of work.
    work_buckets: Vec<(WorkName, LimitBucket)>,
    in_flight: u32,
    /// Whether another entry serves the customer now; its buckets restart if it returns.
    moved: bool,
}

impl CustomerState {
    fn buckets(&self) -> impl Iterator<Item = &LimitBucket> {
        std::iter::once(&self.total).chain(self.work_buckets.iter().map(|(_, bucket)| bucket))
    }

    fn buckets_mut(&mut self) -> impl Iterator<Item = &mut LimitBucket> {
        let work_buckets = self.work_buckets.iter_mut().map(|(_, bucket)| bucket);
        std::iter::once(&mut self.total).chain(work_buckets)
    }

    /// Changes the share of the limits from `now_ms` on; `None` if the customer has moved.
    fn change_share(&mut self, share: Option<LimitShare>, now_ms: u64) {
        let (old, moved) = (self.share, self.moved);
        let Some(new) = share else {
            self.moved = true;
            return;
        };
        for bucket in self.buckets_mut() {
            if moved {
                bucket.restart(new, now_ms);
            } else {
                bucket.fill(old, now_ms);
                bucket.fill(new, now_ms);
            }
        }
        (self.share, self.moved) = (new, false);
    }

    /// Returns whether a newly created state would allow as much.
    fn is_idle(&self, since_ms: u64, now_ms: u64) -> bool {
        let share = self.share;
        let mut buckets = self.buckets();
        let same = |bucket: &LimitBucket| {
            bucket.is_full(share, now_ms) && bucket.is_full_after_restart(share, since_ms, now_ms)
        };
        self.in_flight == 0 && (self.moved || buckets.all(same))
    }
}

/// Enforces the limits of the customers that this entry serves.
///
/// ```
/// use berylmount_model::{CustomerName, CustomerRow, WorkName};
/// use berylmount_policy::{CustomerLimiter, LimitRefusal, LimitShare};
///
/// let row = CustomerRow {
///     name: CustomerName::new("crew").unwrap(),
///     key_hash: String::new(),
///     weight: 1,
///     rate_per_s: 2.0,
///     burst: 2,
///     in_flight: 9,
///     version: None,
///     cache_scope: "crew".to_owned(),
/// };
/// let work = WorkName::new("question").unwrap();
/// let mut limiter = CustomerLimiter::new(0);
/// assert_eq!(limiter.admit(&row, &work, None, LimitShare::WHOLE, 0), Ok(()));
/// let refused = limiter.admit(&row, &work, None, LimitShare::WHOLE, 0);
/// assert_eq!(refused, Err(LimitRefusal::CustomerRate(500)));
/// ```
#[derive(Clone, Debug)]
pub struct CustomerLimiter {
    /// Hashes of customer names with indexes into `states`, sorted.
    index: Vec<(u64, u32)>,
    states: Vec<CustomerState>,
    /// Time since which untracked customers count as idle.
    since_ms: u64,
}

impl CustomerLimiter {
    /// Returns an empty limiter for an entry that starts at `now_ms`.
    ///
    /// ```
    /// assert_eq!(berylmount_policy::CustomerLimiter::new(0).tracked(), 0);
    /// ```
    pub fn new(now_ms: u64) -> Self {
        Self {
            index: Vec::new(),
            states: Vec::new(),
            since_ms: now_ms,
        }
    }

    /// Applies a change of the members, which may have moved customers.
    ///
    /// `share_of` returns this entry's new share of a customer's limits, or `None`
    /// if this entry no longer serves the customer. If such a customer returns,
    /// its buckets restart almost empty, and so do those of untracked customers.
    ///
    /// ```
    /// use berylmount_policy::{CustomerLimiter, LimitShare};
    ///
    /// let mut limiter = CustomerLimiter::new(0);
    /// limiter.members_changed(5_000, |_| Some(LimitShare::WHOLE));
    /// ```
    pub fn members_changed(
        &mut self,
        now_ms: u64,
        share_of: impl Fn(&CustomerName) -> Option<LimitShare>,
    ) {
        self.since_ms = self.since_ms.max(now_ms);
        for state in &mut self.states {
            state.change_share(share_of(&state.name), now_ms);
        }
    }

    /// Returns the number of tracked customers.
    ///
    /// ```
    /// assert_eq!(berylmount_policy::CustomerLimiter::new(0).tracked(), 0);
    /// ```
    pub fn tracked(&self) -> usize {
        self.states.len()
    }

    /// Admits one request or refuses it with a retry delay.
    ///
    /// Call [`CustomerLimiter::finish`] once at the end of each admitted request.
    /// `limit` is the row for this customer and kind of work, if there is one.
    ///
    /// # Errors
    ///
    /// Returns the limit that is exceeded. No bucket loses a token then.
    pub fn admit(
        &mut self,
        row: &CustomerRow,
        work: &WorkName,
        limit: Option<&LimitRow>,
        share: LimitShare,
        now_ms: u64,
    ) -> Result<(), LimitRefusal> {
        let since_ms = self.since_ms;
        let state = self.state_mut(row, share, now_ms)?;
        if state.share != share || state.moved {
            state.change_share(Some(share), now_ms);
        }
        (state.total.rate_per_s, state.total.burst) = (row.rate_per_s, row.burst);
        state.total.fill(share, now_ms);
        if state.in_flight >= share.of_count(row.in_flight) {
            return Err(LimitRefusal::InFlight(IN_FLIGHT_RETRY_MS));
        }
        match state.total.bucket.wait_ms(state.total.config(share)) {
            0 => {}
            wait => return Err(LimitRefusal::CustomerRate(wait)),
        }
        if let Some(limit) = limit {
            let work = work_bucket(&mut state.work_buckets, work, limit, share, since_ms);
            work.fill(share, now_ms);
            match work.bucket.wait_ms(work.config(share)) {
                0 => work.bucket.tokens -= 1.0,
                wait => return Err(LimitRefusal::WorkRate(wait)),
            }
        }
        state.total.bucket.tokens -= 1.0;
        state.in_flight += 1;
        Ok(())
    }

    /// Records the end of an admitted request.
    ///
    /// ```
    /// let mut limiter = berylmount_policy::CustomerLimiter::new(0);
    /// limiter.finish(&berylmount_model::CustomerName::new("crew").unwrap());
    /// ```
    pub fn finish(&mut self, customer: &CustomerName) {
        if let Ok(position) = self.find(customer) {
            let state = &mut self.states[self.index[position].1 as usize];
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Drops customers with full buckets and no request in flight.
    ///
    /// This does not change their limits, because an untracked customer counts as
    /// idle. Returns the number of customers dropped.
    ///
    /// ```
    /// assert_eq!(berylmount_policy::CustomerLimiter::new(0).drop_idle(1_000), 0);
    /// ```
    pub fn drop_idle(&mut self, now_ms: u64) -> usize {
        let before = self.states.len();
        let since_ms = self.since_ms;
        self.states.retain(|state| !state.is_idle(since_ms, now_ms));
        if self.states.len() < before {
            self.rebuild_index();
        }
        before - self.states.len()
    }

    fn rebuild_index(&mut self) {
        let hashes = self.states.iter().enumerate();
        self.index = hashes
            .map(|(position, state)| (name_hash(&state.name), position as u32))
            .collect();
        self.index.sort_unstable();
    }

    /// Returns the position of `customer` in the index, or where to insert it.
    fn find(&self, customer: &CustomerName) -> Result<usize, usize> {
        let hash = name_hash(customer);
        let from = self.index.partition_point(|&(h, _)| h < hash);
        let same = self.index[from..].iter().take_while(|&&(h, _)| h == hash);
        let found = same
            .enumerate()
            .find(|(_, &(_, id))| self.states[id as usize].name == *customer);
        found.map(|(at, _)| from + at).ok_or(from)
    }

    fn state_mut(
        &mut self,
        row: &CustomerRow,
        share: LimitShare,
        now_ms: u64,
    ) -> Result<&mut CustomerState, LimitRefusal> {
        let customer = &row.name;
        let mut found = self.find(customer);
        if found.is_err() && self.states.len() >= MAX_CUSTOMERS {
            if self.drop_idle(now_ms) == 0 {
                return Err(LimitRefusal::TooManyCustomers(MAX_REFILL_MS));
            }
            found = self.find(customer);
        }
        let id = match found {
            Ok(position) => self.index[position].1,
            Err(position) => {
                let id = self.states.len() as u32;
                self.index.insert(position, (name_hash(customer), id));
                let total = new_bucket(row.rate_per_s, row.burst, share, self.since_ms);
                self.states.push(CustomerState {
                    name: customer.clone(),
                    share,
                    total,
                    work_buckets: Vec::new(),
                    in_flight: 0,
                    moved: false,
                });
                id
            }
        };
        Ok(&mut self.states[id as usize])
    }
}

fn name_hash(customer: &CustomerName) -> u64 {
    xxh3_64(customer.as_str().as_bytes())
}

/// Returns the bucket of one kind of work and creates it if there is none.
fn work_bucket<'a>(
    work_buckets: &'a mut Vec<(WorkName, LimitBucket)>,
    work: &WorkName,
    limit: &LimitRow,
    share: LimitShare,
    since_ms: u64,
) -> &'a mut LimitBucket {
    let position = match work_buckets.binary_search_by(|(name, _)| name.cmp(work)) {
        Ok(position) => position,
        Err(position) => {
            let bucket = new_bucket(limit.rate_per_s, limit.burst, share, since_ms);
            work_buckets.insert(position, (work.clone(), bucket));
            position
        }
    };
    let bucket = &mut work_buckets[position].1;
    (bucket.rate_per_s, bucket.burst) = (limit.rate_per_s, limit.burst);
    bucket
}
