//! Tracks the contents of the stores of kept cache, and plans which parts of a
//! prompt to fetch from them or save to them.
//!
//! Prompts of ten thousand tokens recur every few seconds, at runners whose own KV
//! cache is evicted by the requests that they run. Prefilling such a prompt blocks a
//! runner for a tenth of a second. Fetching its cache takes a tenth of that and blocks
//! no other request.
//!
//! Invariants:
//!
//! - A part is fetched only while the store is known to hold it completely, in the
//!   epoch in which the store reported it, and has sent events recently.
//! - A withdrawn part is not fetched until a later event of the store reports it again.
//! - A fetch that relies on a response of the store ends within [`LEASE_MS`] of it. An instance
//!   that finds a new epoch orders saves only after that time, so no fetch that relies on an
//!   earlier epoch reads them while they are written.
//! - A part is fetched only once it is settled ([`save_orders`](crate::save_orders)): no save that
//!   was ordered before can write it in a later epoch.
//! - An instance orders saves to a store only while it knows all that the store has reported.

use crate::assignment::{best_member, MemberWeight};
use serde::{Deserialize, Serialize};

/// Time after a store made its last response for which its catalogue is trusted, in
/// milliseconds: one long poll and its network latency.
pub(crate) const TRUSTED_MS: u64 = 1600;
/// Time after a store made a response within which the fetches that rely on it end, in
/// milliseconds. A fetch that is planned when the trust ends has the
/// difference left.
pub const LEASE_MS: u64 = 2500;
/// Time from the first response of a new epoch until saves are ordered, in milliseconds: the lease
/// of the epoch before, and the time that gossip about it takes.
const SAVE_DELAY_MS: u64 = LEASE_MS + 100;
/// Number of ended epochs that a catalogue remembers.
const MAX_ENDED_EPOCHS: usize = 8;
/// Time within which the store should report a save that was ordered, in
/// milliseconds.
const SAVE_TIMEOUT_MS: u64 = 2500;
/// Fraction of a store's memory that saves may fill, as far as its contents are known.
/// The rest is headroom for saves of other instances that are in progress.
const FILL_FRACTION: f64 = 0.96;
/// Tokens per memory block; a part occupies whole blocks.
const BLOCK_TOKENS: u32 = 16;
/// Factor by which a transfer takes longer between data centres.
const REMOTE_FACTOR: f64 = 2.0;

/// Largest ratio of the fetch time to the prefill time of a part at which a fetch is
/// worthwhile. It exceeds 1 because prefill also delays every other request at the
/// runner.
const MAX_FETCH_RATIO: f64 = 8.0;
/// Fetch time up to which a fetch is always worthwhile, in milliseconds.
const ALWAYS_FETCH_MS: f64 = 15.0;

/// Smallest time limit of fetches before the prompt is prefilled instead, in
/// milliseconds: enough for a few transfers that are queued ahead.
const MIN_FETCH_LIMIT_MS: f64 = 60.0;
/// Factor by which a fetch may always exceed its expected time.
const FETCH_TOLERANCE: f64 = 2.0;
/// Fraction of the spare time that a fetch may use, because estimates are uncertain.
const SPARE_FRACTION: f64 = 0.5;

/// Identifies a part within a scope: a hash of both.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct PartKey(pub u64);

/// A part that a store holds completely.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeptPart {
    /// Its key.
    pub key: PartKey,
    /// Number of the event that reported it.
    pub number: u64,
    /// Its size in tokens.
    pub tokens: u32,
    /// Its scope, as the store spells it.
    pub scope: String,
    /// Its id, as the store spells it.
    pub id: String,
}

/// A part that a store holds completely, and that a save ordered before may still write in a later
/// epoch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnsettledPart {
    /// Its key.
    pub key: PartKey,
    /// Number of the event that reported it, or that of the last event before a listing with it.
    pub number: u64,
    /// Smallest number that the event that reported it can have.
    pub first_number: u64,
    /// When this instance learned of it, in milliseconds.
    pub known_ms: u64,
}

/// One change reported by a store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PartEvent {
    /// A part is complete.
    Added(KeptPart),
    /// A part was removed.
    Removed(PartKey),
}

/// The known contents of one store.
#[derive(Clone, Debug, Default)]
pub struct StoreCatalogue {
    epoch: Option<u64>,
    next: u64,
    /// The epoch heard of last, and when this instance first heard of it.
    first_heard: Option<(u64, u64)>,
    /// The last epochs before it.
    ended_epochs: Vec<u64>,
    /// When the store made its last response; 0 if never or if it is unreachable.
    confirmed_ms: u64,
    /// The same time on the clock of runners and stores, if the store reports it.
    confirmed_clock_ms: Option<u64>,
    /// Whether events are missing that only a full listing shows.
    has_gap: bool,
    /// Number of the last event of the epoch that is known together with all before it.
    known: Option<u64>,
    parts: Vec<KeptPart>,
    /// The parts that are not settled, sorted by key.
    unsettled: Vec<UnsettledPart>,
    /// Memory that the parts occupy, in tokens.
    held_tokens: u64,
    /// Saves ordered by this instance that the store hasn't reported: key, tokens and
    /// expiry time.
    pending_saves: Vec<(PartKey, u32, u64)>,
    /// Parts that must not be fetched: key and number of the event that reported them.
    withdrawn: Vec<(PartKey, u64)>,
}

impl StoreCatalogue {
    /// Number of the next event to request from the store.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Epoch of the store's memory, once the store has reported it.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// All parts sorted by key, including withdrawn ones.
    pub fn parts(&self) -> &[KeptPart] {
        &self.parts
    }

    /// Applies events from the store. A new epoch clears the catalogue first.
    ///
    /// Returns whether events are missing and a full listing of the store is needed: after
    /// `has_gap`, and after a restart of the store, because the call asked for the events after one
    /// of the previous epoch.
    pub fn apply(
        &mut self,
        epoch: u64,
        next: u64,
        has_gap: bool,
        events: Vec<PartEvent>,
        now_ms: u64,
    ) -> bool {
        let is_restart = self.epoch != Some(epoch);
        let lacks_first = is_restart && self.next > 0;
        if is_restart {
            self.begin_epoch(epoch, now_ms);
        }
        for event in events {
            match event {
                PartEvent::Added(part) => self.add(part, now_ms),
                PartEvent::Removed(key) => self.remove(key),
            }
        }
        self.next = next;
        self.confirmed_ms = now_ms;
        self.confirmed_clock_ms = None;
        self.has_gap |= has_gap || lacks_first;
        if !self.has_gap {
            self.known = Some(next);
        }
        self.has_gap
    }

    /// Replaces the contents by a full listing of the store. It doesn't extend the trust, which
    /// counts from the last events; after a listing of a new epoch it begins with the next ones.
    pub fn replace(&mut self, epoch: u64, next: u64, parts: Vec<KeptPart>, now_ms: u64) {
        if self.epoch != Some(epoch) {
            self.begin_epoch(epoch, now_ms);
        }
        let mut parts = parts;
        parts.sort_by_key(|part| part.key);
        parts.dedup_by_key(|part| part.key);
        let is_listed = |key: &PartKey| parts.binary_search_by_key(key, |p| p.key).is_ok();
        self.withdrawn.retain(|(key, _)| is_listed(key));
        self.pending_saves.retain(|(key, _, _)| !is_listed(key));
        self.unsettled.retain(|part| is_listed(&part.key));
        let first_number = self.known.map_or(0, |known| known + 1);
        for part in &mut parts {
            match self.find(part.key) {
                // A part that is already known keeps its event number.
                Ok(index) => part.number = self.parts[index].number,
                Err(_) => self.note_unsettled(UnsettledPart {
                    key: part.key,
                    number: part.number,
                    first_number,
                    known_ms: now_ms,
                }),
            }
        }
        self.held_tokens = parts.iter().map(|part| block_tokens(part.tokens)).sum();
        self.parts = parts;
        self.next = next;
        self.has_gap = false;
        self.known = Some(next);
    }

    /// Whether the catalogue contains all that the store has reported, so that a copy of it is of
    /// use to others.
    pub fn is_complete(&self) -> bool {
        !self.has_gap
    }

    /// When the store made the last response that was applied, in milliseconds; 0 if never or if it
    /// is unreachable.
    pub fn responded_ms(&self) -> u64 {
        self.confirmed_ms
    }

    /// What this instance knows of the store: the epoch, the last event that it knows together with
    /// all before it, and the last event up to which all parts are settled; 0 if it knows none.
    ///
    /// ```
    /// use berylmount_policy::prefix_cache::{KeptPart, PartEvent, PartKey, StoreCatalogue};
    ///
    /// let mut catalogue = StoreCatalogue::default();
    /// let part = KeptPart {
    ///     key: PartKey(7), number: 3, tokens: 1000, scope: "s".into(), id: "a".into(),
    /// };
    /// catalogue.apply(5, 2, false, Vec::new(), 100);
    /// catalogue.apply(5, 4, false, vec![PartEvent::Added(part)], 200);
    /// assert_eq!(catalogue.progress(), Some((5, 4, 2)));
    /// catalogue.settle(|part| part.number <= 3);
    /// assert_eq!(catalogue.progress(), Some((5, 4, 4)));
    /// // Without the missing events it knows no more.
    /// assert!(catalogue.apply(5, 90, true, Vec::new(), 300));
    /// assert_eq!(catalogue.progress(), Some((5, 4, 4)));
    /// ```
    pub fn progress(&self) -> Option<(u64, u64, u64)> {
        let (epoch, known) = (self.epoch?, self.known.unwrap_or(0));
        let unsettled = self.unsettled.iter().map(|part| part.first_number);
        let settled = unsettled.min().map(|first| first.saturating_sub(1));
        Some((epoch, known, settled.unwrap_or(known).min(known)))
    }

    /// The parts that are not settled, sorted by key.
    pub fn unsettled(&self) -> &[UnsettledPart] {
        &self.unsettled
    }

    /// Records which parts are settled now.
    pub fn settle(&mut self, is_settled: impl Fn(&UnsettledPart) -> bool) {
        self.unsettled.retain(|part| !is_settled(part));
    }

    fn find_unsettled(&self, key: PartKey) -> Result<usize, usize> {
        self.unsettled.binary_search_by_key(&key, |part| part.key)
    }

    fn note_unsettled(&mut self, part: UnsettledPart) {
        match self.find_unsettled(part.key) {
            Ok(index) => self.unsettled[index] = part,
            Err(index) => self.unsettled.insert(index, part),
        }
    }

    fn begin_epoch(&mut self, epoch: u64, now_ms: u64) {
        let mut ended_epochs = std::mem::take(&mut self.ended_epochs);
        let first_heard = match self.first_heard {
            Some(known) if known.0 == epoch => known,
            previous => {
                ended_epochs.extend(previous.map(|(ended, _)| ended));
                (epoch, now_ms)
            }
        };
        let surplus = ended_epochs.len().saturating_sub(MAX_ENDED_EPOCHS);
        ended_epochs.drain(..surplus);
        *self = Self {
            epoch: Some(epoch),
            first_heard: Some(first_heard),
            ended_epochs,
            ..Self::default()
        };
    }

    /// Returns a catalogue without contents that still knows when the epoch was first heard
    /// of.
    ///
    /// ```
    /// use berylmount_policy::prefix_cache::StoreCatalogue;
    ///
    /// let mut catalogue = StoreCatalogue::default();
    /// catalogue.apply(1, 0, false, Vec::new(), 100);
    /// let mut cleared = catalogue.cleared();
    /// assert!(!cleared.is_trusted(3000));
    /// cleared.apply(1, 0, false, Vec::new(), 3000);
    /// assert!(cleared.may_save(3000));
    /// ```
    pub fn cleared(&self) -> Self {
        Self {
            first_heard: self.first_heard,
            ended_epochs: self.ended_epochs.clone(),
            ..Self::default()
        }
    }

    /// Records when the store made the response that was applied last: how long before it
    /// arrived, and at which time on the clock of runners and stores.
    ///
    /// ```
    /// use berylmount_policy::prefix_cache::{StoreCatalogue, LEASE_MS};
    ///
    /// let mut catalogue = StoreCatalogue::default();
    /// // The response waited for four seconds at a process that stood still.
    /// catalogue.apply(1, 0, false, Vec::new(), 5000);
    /// catalogue.note_response_time(4000, Some(71_000));
    /// assert!(!catalogue.is_trusted(5000));
    /// assert_eq!(catalogue.lease_end_ms(), Some(71_000 + LEASE_MS));
    /// ```
    pub fn note_response_time(&mut self, age_ms: u64, clock_ms: Option<u64>) {
        self.confirmed_ms = self.confirmed_ms.saturating_sub(age_ms);
        self.confirmed_clock_ms = clock_ms;
    }

    /// The time by which fetches that rely on the catalogue must end, on the clock of runners and
    /// stores; `None` if the store doesn't report that clock.
    pub fn lease_end_ms(&self) -> Option<u64> {
        self.confirmed_clock_ms.map(|clock_ms| clock_ms + LEASE_MS)
    }

    /// Whether the epoch is one before the present one.
    ///
    /// ```
    /// use berylmount_policy::prefix_cache::StoreCatalogue;
    ///
    /// let mut catalogue = StoreCatalogue::default();
    /// catalogue.apply(1, 0, false, Vec::new(), 100);
    /// catalogue.apply(2, 0, false, Vec::new(), 200);
    /// assert!(catalogue.has_ended(1) && !catalogue.has_ended(2));
    /// ```
    pub fn has_ended(&self, epoch: u64) -> bool {
        self.ended_epochs.contains(&epoch)
    }

    /// Whether saves may be ordered: no fetch can rely on the epoch before any longer, and no
    /// reported part is missing here.
    ///
    /// ```
    /// use berylmount_policy::prefix_cache::{StoreCatalogue, LEASE_MS};
    ///
    /// let mut catalogue = StoreCatalogue::default();
    /// catalogue.apply(1, 0, false, Vec::new(), 100);
    /// assert!(!catalogue.may_save(100));
    /// let later_ms = 200 + LEASE_MS;
    /// catalogue.apply(1, 0, false, Vec::new(), later_ms);
    /// assert!(catalogue.may_save(later_ms));
    /// ```
    pub fn may_save(&self, now_ms: u64) -> bool {
        let is_due = |(_, heard_ms): (u64, u64)| now_ms.saturating_sub(heard_ms) >= SAVE_DELAY_MS;
        self.is_trusted(now_ms) && self.is_complete() && self.first_heard.is_some_and(is_due)
    }

    /// Records that the store is unreachable. Nothing is fetched from it until it sends
    /// events again.
    pub fn note_unreachable(&mut self) {
        self.confirmed_ms = 0;
    }

    /// Whether the catalogue is recent enough to be used.
    pub fn is_trusted(&self, now_ms: u64) -> bool {
        self.confirmed_ms > 0 && now_ms.saturating_sub(self.confirmed_ms) <= TRUSTED_MS
    }

    /// The part with this key, if the store holds it and it may be fetched.
    pub fn fetchable(&self, key: PartKey) -> Option<&KeptPart> {
        let part = &self.parts[self.find(key).ok()?];
        let is_settled = self.find_unsettled(key).is_err();
        (is_settled && !self.is_withdrawn(key, part.number)).then_some(part)
    }

    /// Whether the store holds a part or a save of it is pending.
    pub fn is_held_or_saving(&self, key: PartKey, now_ms: u64) -> bool {
        let pending_saves = self.pending_saves.iter();
        let mut pending_saves = pending_saves.filter(|(_, _, until_ms)| *until_ms > now_ms);
        self.find(key).is_ok() || pending_saves.any(|(saved, _, _)| *saved == key)
    }

    /// Records that a save was ordered.
    pub fn note_saving(&mut self, key: PartKey, tokens: u32, now_ms: u64) {
        self.pending_saves
            .retain(|(_, _, until_ms)| *until_ms > now_ms);
        self.pending_saves
            .push((key, tokens, now_ms + SAVE_TIMEOUT_MS));
    }

    /// Memory that the parts and the pending saves occupy, in tokens.
    pub fn used_tokens(&self, now_ms: u64) -> u64 {
        let pending_saves = self.pending_saves.iter();
        let pending_saves = pending_saves.filter(|(_, _, until_ms)| *until_ms > now_ms);
        self.held_tokens
            + pending_saves
                .map(|(_, tokens, _)| block_tokens(*tokens))
                .sum::<u64>()
    }

    /// Withdraws a part, so that it is no longer fetched.
    ///
    /// The withdrawal covers reports of the part with an event number up to `number`. A
    /// later report makes the part fetchable again.
    pub fn withdraw(&mut self, key: PartKey, number: u64) {
        if !self.is_withdrawn(key, number) {
            self.withdrawn.push((key, number));
        }
    }

    fn is_withdrawn(&self, key: PartKey, number: u64) -> bool {
        let mut withdrawn = self.withdrawn.iter();
        withdrawn.any(|(known, up_to)| *known == key && number <= *up_to)
    }

    fn find(&self, key: PartKey) -> Result<usize, usize> {
        self.parts.binary_search_by_key(&key, |part| part.key)
    }

    fn add(&mut self, part: KeptPart, now_ms: u64) {
        self.pending_saves.retain(|(key, _, _)| *key != part.key);
        self.held_tokens += block_tokens(part.tokens);
        let found = self.find(part.key);
        if found.map_or(true, |index| self.parts[index].number != part.number) {
            // The first contents of an epoch may be a copy of a listing.
            let first_number = self.known.map_or(0, |_| part.number);
            self.note_unsettled(UnsettledPart {
                key: part.key,
                number: part.number,
                first_number,
                known_ms: now_ms,
            });
        }
        match found {
            Ok(index) => {
                self.held_tokens -= block_tokens(self.parts[index].tokens);
                self.parts[index] = part;
            }
            Err(index) => self.parts.insert(index, part),
        }
    }

    /// Removes a part that the store has removed or is about to remove.
    pub fn remove(&mut self, key: PartKey) {
        if let Ok(index) = self.find(key) {
            let part = self.parts.remove(index);
            self.held_tokens -= block_tokens(part.tokens);
        }
        self.withdrawn.retain(|(withdrawn, _)| *withdrawn != key);
        self.unsettled.retain(|part| part.key != key);
    }
}

/// Memory that a part of `tokens` tokens occupies: whole blocks, in tokens.
pub fn block_tokens(tokens: u32) -> u64 {
    u64::from(tokens.div_ceil(BLOCK_TOKENS) * BLOCK_TOKENS)
}

/// The state of a store as used by the planner.
#[derive(Clone, Copy, Debug)]
pub struct StoreView<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its data centre.
    pub data_centre: &'a str,
    /// Its capacity in tokens.
    pub memory_tokens: u64,
    /// Bandwidth of its link, in bits per millisecond.
    pub link_bits_per_ms: f64,
    /// Fixed latency of each transfer, in milliseconds.
    pub latency_ms: f64,
    /// Its known contents.
    pub catalogue: &'a StoreCatalogue,
}

/// A part of a prompt with its key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeyedPart {
    /// Its key.
    pub key: PartKey,
    /// Its size in tokens.
    pub tokens: u32,
}

/// Cost parameters of prompts at a service's runners.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PromptCosts {
    /// Bytes of KV cache per token.
    pub token_bytes: u64,
    /// Prefill rate of a runner, in tokens per millisecond.
    pub prefill_per_ms: f64,
    /// Bandwidth of a runner's link, in bits per millisecond; 0 if unbounded.
    pub link_bits_per_ms: f64,
}

/// The transfers planned for one prompt, with stores by index.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TransferPlan {
    /// For each part, the store to fetch it from, if any.
    pub fetch: Vec<Option<usize>>,
    /// For each part, the store to save it to, if any.
    pub save: Vec<Option<usize>>,
    /// Total tokens to fetch.
    pub fetched_tokens: u32,
    /// Estimated total time of the fetches, in milliseconds.
    pub fetch_ms: f64,
    /// Time by which the fetches must end, on the clock of runners and stores; `None` if nothing
    /// is fetched or that clock is unknown.
    pub fetch_until_ms: Option<u64>,
}

impl TransferPlan {
    /// Drops the saves to stores that are not allowed.
    ///
    /// ```
    /// use berylmount_policy::prefix_cache::TransferPlan;
    ///
    /// let save = vec![Some(0), Some(1), None];
    /// let mut plan = TransferPlan { save, ..TransferPlan::default() };
    /// plan.retain_saves(|store| store == 1);
    /// assert_eq!(plan.save, [None, Some(1), None]);
    /// ```
    pub fn retain_saves(&mut self, is_allowed: impl Fn(usize) -> bool) {
        for save in &mut self.save {
            *save = save.filter(|store| is_allowed(*store));
        }
    }
}

/// Plans the transfers for a prompt at a runner in `data_centre`.
///
/// Only a contiguous run of parts from the start of the prompt is fetched. The last
/// part is specific to the request and is not saved.
///
/// ```
/// use berylmount_policy::prefix_cache::*;
///
/// let mut catalogue = StoreCatalogue::default();
/// let part = KeptPart {
///     key: PartKey(7), number: 1, tokens: 1000, scope: "s".into(), id: "a".into(),
/// };
/// catalogue.apply(1, 2, false, vec![PartEvent::Added(part)], 100);
/// catalogue.settle(|_| true);
/// let store = StoreView {
///     name: "keep", data_centre: "north", memory_tokens: 10_000, link_bits_per_ms: 1e8,
///     latency_ms: 0.5, catalogue: &catalogue,
/// };
/// let parts = [KeyedPart { key: PartKey(7), tokens: 1000 }, KeyedPart { key: PartKey(8), tokens: 50 }];
/// let costs = PromptCosts { token_bytes: 18_432, prefill_per_ms: 110.0, link_bits_per_ms: 0.0 };
/// let plan = plan_transfers(&parts, &[store], "north", costs, 200);
/// assert_eq!((plan.fetch, plan.save), (vec![Some(0), None], vec![None, None]));
/// assert_eq!(plan.fetched_tokens, 1000);
/// ```
pub fn plan_transfers(
    parts: &[KeyedPart],
    stores: &[StoreView<'_>],
    data_centre: &str,
    costs: PromptCosts,
    now_ms: u64,
) -> TransferPlan {
    let mut plan = TransferPlan {
        fetch: vec![None; parts.len()],
        save: vec![None; parts.len()],
        ..TransferPlan::default()
    };
    let trusted: Vec<bool> = stores
        .iter()
        .map(|s| s.catalogue.is_trusted(now_ms))
        .collect();
    for (index, part) in parts.iter().enumerate() {
        let holders = (0..stores.len()).filter(|store| {
            let held = stores[*store].catalogue.fetchable(part.key);
            trusted[*store] && held.is_some_and(|kept| kept.tokens >= part.tokens)
        });
        let timed = holders.map(|store| {
            let transfer_ms = fetch_ms(&stores[store], part, data_centre, costs);
            (store, transfer_ms)
        });
        let Some((store, transfer_ms)) = timed.min_by(|a, b| a.1.total_cmp(&b.1)) else {
            break;
        };
        let prefill_ms = f64::from(part.tokens) / costs.prefill_per_ms;
        if transfer_ms > ALWAYS_FETCH_MS.max(prefill_ms * MAX_FETCH_RATIO) {
            break;
        }
        plan.fetch[index] = Some(store);
        plan.fetched_tokens += part.tokens;
        plan.fetch_ms += transfer_ms;
        let lease_end_ms = stores[store].catalogue.lease_end_ms();
        plan.fetch_until_ms = earlier_of(plan.fetch_until_ms, lease_end_ms);
    }
    let shared = parts.len().saturating_sub(1);
    for (index, part) in parts.iter().enumerate().take(shared) {
        if plan.fetch[index].is_none() {
            plan.save[index] = save_store(part, stores, &trusted, now_ms);
        }
    }
    plan
}

/// The earlier of two times of which each may be unbounded.
///
/// ```
/// use berylmount_policy::prefix_cache::earlier_of;
///
/// assert_eq!(earlier_of(Some(5), Some(3)), Some(3));
/// assert_eq!(earlier_of(None, Some(3)), Some(3));
/// ```
pub fn earlier_of(first: Option<u64>, second: Option<u64>) -> Option<u64> {
    first.into_iter().chain(second).min()
}

/// Time after which a fetch should be abandoned and the prompt prefilled instead, in
/// milliseconds.
///
/// On a link that becomes slow, transfers of ten thousand tokens queue up. Without a
/// limit, a prompt of a few hundred tokens waits behind them for two seconds, although
/// its prefill takes a few milliseconds.
///
/// `spare_ms` is what remains of the target latency if the prompt is prefilled without
/// the fetch. `prefill_ms` is the runner time that this prefill takes.
///
/// ```
/// use berylmount_policy::prefix_cache::fetch_limit_ms;
///
/// assert_eq!(fetch_limit_ms(300.0, 10.0, 5.0), 150.0);
/// assert_eq!(fetch_limit_ms(-100.0, 10.0, 5.0), 80.0);
/// // Prefill delays the other requests at the runner, so a fetch may take as long.
/// assert_eq!(fetch_limit_ms(-100.0, 10.0, 250.0), 250.0);
/// ```
pub fn fetch_limit_ms(spare_ms: f64, expected_ms: f64, prefill_ms: f64) -> f64 {
    let least = expected_ms * FETCH_TOLERANCE + MIN_FETCH_LIMIT_MS;
    (spare_ms * SPARE_FRACTION).max(least).max(prefill_ms)
}

/// Estimated time to fetch a part from a store, in milliseconds.
fn fetch_ms(store: &StoreView<'_>, part: &KeyedPart, data_centre: &str, costs: PromptCosts) -> f64 {
    let bits = f64::from(part.tokens) * costs.token_bytes as f64 * 8.0;
    let factor = if store.data_centre == data_centre {
        1.0
    } else {
        REMOTE_FACTOR
    };
    // A transfer is as slow as the slower of the two links.
    let link_bits_per_ms = match costs.link_bits_per_ms > 0.0 {
        true => store.link_bits_per_ms.min(costs.link_bits_per_ms),
        false => store.link_bits_per_ms,
    };
    store.latency_ms + factor * bits / link_bits_per_ms.max(1.0)
}

/// Chooses the store to save a part to. Every instance chooses the same store, as
/// long as none holds the part already and the same stores have room.
fn save_store(
    part: &KeyedPart,
    stores: &[StoreView<'_>],
    trusted: &[bool],
    now_ms: u64,
) -> Option<usize> {
    let is_held_or_saving =
        |index: &usize| stores[*index].catalogue.is_held_or_saving(part.key, now_ms);
    let mut usable = (0..stores.len()).filter(|index| trusted[*index]);
    if usable.any(|index| is_held_or_saving(&index)) {
        return None;
    }
    let has_room = |index: &usize| {
        let store = &stores[*index];
        let used = store.catalogue.used_tokens(now_ms) + block_tokens(part.tokens);
        store.catalogue.may_save(now_ms)
            && used as f64 <= store.memory_tokens as f64 * FILL_FRACTION
    };
    let open: Vec<usize> = (0..stores.len()).filter(has_room).collect();
    let member = |index: &usize| MemberWeight {
        name: stores[*index].name,
        // A store's share of parts is proportional to its bandwidth (Mbit/s), because
        // its link must carry these parts on later fetches.
        weight: (stores[*index].link_bits_per_ms / 1000.0) as u32,
    };
    let members: Vec<MemberWeight<'_>> = open.iter().map(member).collect();
    best_member(&part.key.0.to_le_bytes(), &members).map(|chosen| open[chosen])
}
