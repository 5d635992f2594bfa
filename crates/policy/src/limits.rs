//! Customers' limits, held in parts by the entries that serve them.
//!
//! A book keeps buckets only for customers seen lately. It is given the row on
//! every call, so a changed row counts at once. Invariants: the parts of one
//! limit over all entries sum to the limit, and a part that is new to this
//! entry starts almost empty, so a moved owner or a restart gives no second
//! burst.

use crate::buckets::{new_bucket, LimitBucket, MAX_REFILL_MS};
use berylmount_model::{CustomerName, CustomerRow, LimitRow, WorkName};
use xxhash_rust::xxh3::xxh3_64;

/// Customers that a book tracks at most.
pub const MAX_CUSTOMERS: usize = 65_536;
/// When to come back to a limit of requests in flight, in milliseconds.
const IN_FLIGHT_RETRY_MS: u64 = 250;

/// Which part of a customer's limits this entry holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitShare {
    /// This entry's place among the customer's entries, from zero.
    pub rank: u32,
    /// How many entries serve the customer; at least one.
    pub entries: u32,
}

impl LimitShare {
    /// The whole of the limits.
    pub const WHOLE: Self = Self {
        rank: 0,
        entries: 1,
    };

    /// This entry's part of a rate.
    pub(crate) fn of_rate(self, rate_per_s: f64) -> f64 {
        rate_per_s.max(0.0) / f64::from(self.entries.max(1))
    }

    /// This entry's part of a count; the parts of all ranks sum to the count.
    ///
    /// ```
    /// use berylmount_policy::LimitShare;
    ///
    /// let parts: u32 = (0..3).map(|rank| LimitShare { rank, entries: 3 }.of_count(10)).sum();
    /// assert_eq!(parts, 10);
    /// ```
    pub fn of_count(self, count: u32) -> u32 {
        let entries = self.entries.max(1);
        count / entries + u32::from(self.rank < count % entries)
    }
}

/// Why a request may not start now.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum LimitRefusal {
    /// The customer's rate is used up.
    #[error("the customer's rate is used up; come back in {0} ms")]
    CustomerRate(u64),
    /// The customer's rate for this kind of work is used up.
    #[error("the rate for this kind of work is used up; come back in {0} ms")]
    WorkRate(u64),
    /// The customer has too many requests in flight.
    #[error("too many requests in flight; come back in {0} ms")]
    InFlight(u64),
    /// This entry tracks too many customers.
    #[error("this entry serves too many customers; come back in {0} ms")]
    BookFull(u64),
}

impl LimitRefusal {
    /// When to come back, in milliseconds from now.
    ///
    /// ```
    /// assert_eq!(berylmount_policy::LimitRefusal::InFlight(9).retry_after_ms(), 9);
    /// ```
    pub fn retry_after_ms(self) -> u64 {
        match self {
            Self::CustomerRate(ms) | Self::WorkRate(ms) => ms,
            Self::InFlight(ms) | Self::BookFull(ms) => ms,
        }
    }
}

/// One tracked customer.
#[derive(Clone, Debug)]
struct CustomerState {
    name: CustomerName,
    share: LimitShare,
    total: LimitBucket,
    /// Sorted by kind of work.
    work_buckets: Vec<(WorkName, LimitBucket)>,
    in_flight: u32,
    /// Another entry serves the customer; the buckets start anew.
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

    /// Takes another part of the limits, from `now_ms` on.
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

    /// Whether a state made afresh would allow just as much.
    fn is_idle(&self, since_ms: u64, now_ms: u64) -> bool {
        let share = self.share;
        let mut buckets = self.buckets();
        let same = |bucket: &LimitBucket| {
            bucket.is_full(share, now_ms) && bucket.is_full_after_restart(share, since_ms, now_ms)
        };
        self.in_flight == 0 && (self.moved || buckets.all(same))
    }
}

/// The limits of the customers that this entry serves.
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
/// let mut book = CustomerLimiter::new(0);
/// assert_eq!(book.admit(&row, &work, None, LimitShare::WHOLE, 0), Ok(()));
/// let refused = book.admit(&row, &work, None, LimitShare::WHOLE, 0);
/// assert_eq!(refused, Err(LimitRefusal::CustomerRate(500)));
/// ```
#[derive(Clone, Debug)]
pub struct CustomerLimiter {
    /// Name hashes with places in `states`, sorted.
    index: Vec<(u64, u32)>,
    states: Vec<CustomerState>,
    /// Untracked customers count as untouched since then.
    since_ms: u64,
}

impl CustomerLimiter {
    /// An empty book of an entry that begins to serve at `now_ms`.
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

    /// Notes that the members changed, so that customers may have moved.
    ///
    /// `share_of` gives this entry's new part of a customer's limits, or nothing
    /// for a customer that it no longer serves. Such a customer has to start
    /// from a cautious part again, and so has one that is not tracked.
    ///
    /// ```
    /// use berylmount_policy::{CustomerLimiter, LimitShare};
    ///
    /// let mut book = CustomerLimiter::new(0);
    /// book.members_changed(5_000, |_| Some(LimitShare::WHOLE));
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

    /// Customers tracked now.
    ///
    /// ```
    /// assert_eq!(berylmount_policy::CustomerLimiter::new(0).tracked(), 0);
    /// ```
    pub fn tracked(&self) -> usize {
        self.states.len()
    }

    /// Lets one request start, or says when to come back.
    ///
    /// Each `Ok` needs one [`CustomerLimiter::finish`] at the request's end. `limit`
    /// is the row for this customer and kind of work, if there is one.
    ///
    /// # Errors
    ///
    /// Nothing is taken from any bucket if one of them refuses.
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

    /// Counts the end of a request that was admitted.
    ///
    /// ```
    /// let mut book = berylmount_policy::CustomerLimiter::new(0);
    /// book.finish(&berylmount_model::CustomerName::new("crew").unwrap());
    /// ```
    pub fn finish(&mut self, customer: &CustomerName) {
        if let Ok(position) = self.find(customer) {
            let state = &mut self.states[self.index[position].1 as usize];
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Drops customers whose buckets are full and who have nothing in flight.
    ///
    /// They lose nothing by it: an untracked customer counts as untouched.
    /// Returns how many were dropped.
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

    /// The place in the index of `customer`, or where it belongs.
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
                return Err(LimitRefusal::BookFull(MAX_REFILL_MS));
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

/// The bucket of one kind of work, made if it is new.
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
