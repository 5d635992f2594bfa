//! What stores of kept cache hold, and which parts of a prompt to fetch or save.
//!
//! Load: prompts of ten thousand tokens that return every few seconds, at
//! runners whose own memory is washed out by what they run. Reading such a
//! prompt blocks a runner for a tenth of a second; fetching it takes a tenth of
//! that and blocks nobody.
//!
//! Invariants:
//!
//! - A part is fetched only while the store is known to hold it whole, under
//!   the epoch in which it was told, and has told something lately.
//! - A part that was withdrawn is not fetched again, unless the store has told
//!   of it anew.

use crate::assignment::{best_member, MemberWeight};

/// Time after its last answer for which a store's catalogue is trusted, in
/// milliseconds: one waiting call and its way.
const TRUST_MS: u64 = 1600;
/// Time in which a save that was ordered should be told, in milliseconds.
const SAVE_MS: u64 = 2500;
/// Part of a store's memory that saves may fill, by what is known of it. The
/// rest covers saves of other instances that are under way.
const FILL_PART: f64 = 0.96;
/// Tokens of a memory block; a part takes whole blocks.
const BLOCK_TOKENS: u32 = 16;
/// How many times longer a transfer takes between data centres.
const REMOTE_FACTOR: f64 = 2.0;

/// How many times longer than prefilling a part a fetch may take: prefilling
/// takes the time of every other request at the runner as well.
const WORTH_FACTOR: f64 = 8.0;
/// Fetches of less than this time are always worth it, in milliseconds.
const LEAST_WORTH_MS: f64 = 15.0;

/// Least time that fetches may take before the prompt is read instead, in
/// milliseconds: some transfers that were ordered before.
const LEAST_FETCH_MS: f64 = 60.0;
/// How many times longer than expected a fetch may take in any case.
const FETCH_SPREAD: f64 = 2.0;
/// Part of the spare time that a fetch may use; estimates are not that sure.
const SPARE_PART: f64 = 0.5;

/// Names a part within a scope: a hash of both.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PartKey(pub u64);

/// A part that a store holds whole.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeptPart {
    /// Its key.
    pub key: PartKey,
    /// The number of the event that told of it.
    pub number: u64,
    /// Its tokens.
    pub tokens: u32,
    /// The scope, as the store spells it.
    pub scope: String,
    /// The id, as the store spells it.
    pub id: String,
}

/// One change that a store told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PartEvent {
    /// A part is whole.
    Added(KeptPart),
    /// A part is gone.
    Removed(PartKey),
}

/// What one store holds, as far as known.
#[derive(Clone, Debug, Default)]
pub struct StoreCatalogue {
    epoch: Option<u64>,
    next: u64,
    confirmed_ms: u64,
    parts: Vec<KeptPart>,
    /// Tokens of memory that the parts take.
    held_tokens: u64,
    /// Saves that were ordered here and not told: key, tokens, when forgotten.
    saving: Vec<(PartKey, u32, u64)>,
    /// Parts that must not be fetched: key and number of their event.
    withdrawn: Vec<(PartKey, u64)>,
}

impl StoreCatalogue {
    /// The number from which the store should tell further.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// The epoch of the store's memory, once it has told.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// All parts by key, those that are withdrawn included.
    pub fn parts(&self) -> &[KeptPart] {
        &self.parts
    }

    /// Takes what the store told. A new epoch empties the catalogue first.
    ///
    /// Returns whether the store should list all that it holds, because it
    /// restarted or events are missing.
    pub fn apply(
        &mut self,
        epoch: u64,
        next: u64,
        has_gap: bool,
        events: Vec<PartEvent>,
        now_ms: u64,
    ) -> bool {
        let is_new = self.epoch != Some(epoch);
        if is_new {
            *self = Self {
                epoch: Some(epoch),
                ..Self::default()
            };
        }
        for event in events {
            match event {
                PartEvent::Added(part) => self.add(part),
                PartEvent::Removed(key) => self.remove(key),
            }
        }
        self.next = next;
        self.confirmed_ms = now_ms;
        has_gap
    }

    /// Takes a full listing of the store.
    pub fn replace(&mut self, epoch: u64, next: u64, parts: Vec<KeptPart>, now_ms: u64) {
        if self.epoch != Some(epoch) {
            *self = Self {
                epoch: Some(epoch),
                ..Self::default()
            };
        }
        let mut parts = parts;
        parts.sort_by_key(|part| part.key);
        parts.dedup_by_key(|part| part.key);
        let is_listed = |key: &PartKey| parts.binary_search_by_key(key, |p| p.key).is_ok();
        self.withdrawn.retain(|(key, _)| is_listed(key));
        self.saving.retain(|(key, _, _)| !is_listed(key));
        for part in &mut parts {
            // A known part keeps the number of its own event.
            if let Ok(index) = self.find(part.key) {
                part.number = self.parts[index].number;
            }
        }
        self.held_tokens = parts.iter().map(|part| block_tokens(part.tokens)).sum();
        self.parts = parts;
        self.next = next;
        self.confirmed_ms = now_ms;
    }

    /// Notes that the store can't be reached; nothing is fetched until it tells again.
    pub fn note_unreachable(&mut self) {
        self.confirmed_ms = 0;
    }

    /// Whether the catalogue may be used.
    pub fn is_trusted(&self, now_ms: u64) -> bool {
        self.confirmed_ms > 0 && now_ms.saturating_sub(self.confirmed_ms) <= TRUST_MS
    }

    /// The part of a key, if it may be fetched.
    pub fn fetchable(&self, key: PartKey) -> Option<&KeptPart> {
        let part = &self.parts[self.find(key).ok()?];
        (!self.is_withdrawn(key, part.number)).then_some(part)
    }

    /// Whether a part is held or on its way.
    pub fn is_held_or_saving(&self, key: PartKey, now_ms: u64) -> bool {
        let saving = self.saving.iter();
        let mut saving = saving.filter(|(_, _, until_ms)| *until_ms > now_ms);
        self.find(key).is_ok() || saving.any(|(saved, _, _)| *saved == key)
    }

    /// Notes that a save was ordered.
    pub fn note_saving(&mut self, key: PartKey, tokens: u32, now_ms: u64) {
        self.saving.retain(|(_, _, until_ms)| *until_ms > now_ms);
        self.saving.push((key, tokens, now_ms + SAVE_MS));
    }

    /// Tokens of memory that are taken or about to be.
    pub fn used_tokens(&self, now_ms: u64) -> u64 {
        let saving = self.saving.iter();
        let saving = saving.filter(|(_, _, until_ms)| *until_ms > now_ms);
        self.held_tokens
            + saving
                .map(|(_, tokens, _)| block_tokens(*tokens))
                .sum::<u64>()
    }

    /// Withdraws a part: it is not fetched any more.
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

    fn add(&mut self, part: KeptPart) {
        self.saving.retain(|(key, _, _)| *key != part.key);
        self.held_tokens += block_tokens(part.tokens);
        match self.find(part.key) {
            Ok(index) => {
                self.held_tokens -= block_tokens(self.parts[index].tokens);
                self.parts[index] = part;
            }
            Err(index) => self.parts.insert(index, part),
        }
    }

    /// Takes a part out that is gone or about to be.
    pub fn remove(&mut self, key: PartKey) {
        if let Ok(index) = self.find(key) {
            let part = self.parts.remove(index);
            self.held_tokens -= block_tokens(part.tokens);
        }
        self.withdrawn.retain(|(withdrawn, _)| *withdrawn != key);
    }
}

/// Tokens of memory that a part takes.
pub fn block_tokens(tokens: u32) -> u64 {
    u64::from(tokens.div_ceil(BLOCK_TOKENS) * BLOCK_TOKENS)
}

/// A store as a plan sees it.
#[derive(Clone, Copy, Debug)]
pub struct StoreView<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its data centre.
    pub data_centre: &'a str,
    /// Tokens that it holds.
    pub memory_tokens: u64,
    /// Bits that its link carries in a millisecond.
    pub link_bits_per_ms: f64,
    /// Extra wait of each transfer, in milliseconds.
    pub first_ms: f64,
    /// What it holds.
    pub catalogue: &'a StoreCatalogue,
}

/// A part of a prompt with its key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PartNeed {
    /// Its key.
    pub key: PartKey,
    /// Its tokens.
    pub tokens: u32,
}

/// What prompts cost at a service's runners.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PromptCosts {
    /// Bytes of one token's cache.
    pub token_bytes: u64,
    /// Tokens that a runner prefills in a millisecond.
    pub prefill_per_ms: f64,
}

/// Transfers for one prompt; stores by index.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TransferPlan {
    /// For each part, the store to fetch it from.
    pub fetch: Vec<Option<usize>>,
    /// For each part, the store to save it to.
    pub save: Vec<Option<usize>>,
    /// Tokens that are fetched.
    pub fetched_tokens: u32,
    /// Estimated time of the fetches, in milliseconds.
    pub fetch_ms: f64,
}

/// Plans the transfers for a prompt at a runner in `data_centre`.
///
/// Parts count only without a gap from the first one on. The last part belongs
/// to the request alone and is not saved.
///
/// ```
/// use berylmount_policy::prefix_cache::*;
///
/// let mut catalogue = StoreCatalogue::default();
/// let part = KeptPart {
///     key: PartKey(7), number: 1, tokens: 1000, scope: "s".into(), id: "a".into(),
/// };
/// catalogue.apply(1, 2, false, vec![PartEvent::Added(part)], 100);
/// let store = StoreView {
///     name: "keep", data_centre: "north", memory_tokens: 10_000, link_bits_per_ms: 1e8,
///     first_ms: 0.5, catalogue: &catalogue,
/// };
/// let needs = [PartNeed { key: PartKey(7), tokens: 1000 }, PartNeed { key: PartKey(8), tokens: 50 }];
/// let costs = PromptCosts { token_bytes: 18_432, prefill_per_ms: 110.0 };
/// let plan = plan_transfers(&needs, &[store], "north", costs, 200);
/// assert_eq!((plan.fetch, plan.save), (vec![Some(0), None], vec![None, None]));
/// assert_eq!(plan.fetched_tokens, 1000);
/// ```
pub fn plan_transfers(
    needs: &[PartNeed],
    stores: &[StoreView<'_>],
    data_centre: &str,
    costs: PromptCosts,
    now_ms: u64,
) -> TransferPlan {
    let mut plan = TransferPlan {
        fetch: vec![None; needs.len()],
        save: vec![None; needs.len()],
        ..TransferPlan::default()
    };
    let trusted: Vec<bool> = stores
        .iter()
        .map(|s| s.catalogue.is_trusted(now_ms))
        .collect();
    for (index, need) in needs.iter().enumerate() {
        let holders = (0..stores.len()).filter(|store| {
            let held = stores[*store].catalogue.fetchable(need.key);
            trusted[*store] && held.is_some_and(|part| part.tokens >= need.tokens)
        });
        let timed = holders.map(|store| {
            let took_ms = fetch_ms(&stores[store], need, data_centre, costs.token_bytes);
            (store, took_ms)
        });
        let Some((store, took_ms)) = timed.min_by(|a, b| a.1.total_cmp(&b.1)) else {
            break;
        };
        let prefill_ms = f64::from(need.tokens) / costs.prefill_per_ms;
        if took_ms > LEAST_WORTH_MS.max(prefill_ms * WORTH_FACTOR) {
            break;
        }
        plan.fetch[index] = Some(store);
        plan.fetched_tokens += need.tokens;
        plan.fetch_ms += took_ms;
    }
    let shared = needs.len().saturating_sub(1);
    for (index, need) in needs.iter().enumerate().take(shared) {
        if plan.fetch[index].is_none() {
            plan.save[index] = save_store(need, stores, &trusted, now_ms);
        }
    }
    plan
}

/// Time after which a fetch should be given up and the prompt be read instead,
/// in milliseconds.
///
/// Load: a link that turns slow, behind which transfers of ten thousand tokens
/// queue up. A prompt of a few hundred tokens waits there for two seconds,
/// though reading it takes a few milliseconds.
///
/// `spare_ms` is what is left of the target latency once the prompt has been
/// read without the fetch, `read_ms` the time that reading takes of the runner.
///
/// ```
/// use berylmount_policy::prefix_cache::fetch_limit_ms;
///
/// assert_eq!(fetch_limit_ms(300.0, 10.0, 5.0), 150.0);
/// assert_eq!(fetch_limit_ms(-100.0, 10.0, 5.0), 80.0);
/// // Reading holds up the others at the runner, so a fetch may take as long.
/// assert_eq!(fetch_limit_ms(-100.0, 10.0, 250.0), 250.0);
/// ```
pub fn fetch_limit_ms(spare_ms: f64, expected_ms: f64, read_ms: f64) -> f64 {
    let least = expected_ms * FETCH_SPREAD + LEAST_FETCH_MS;
    (spare_ms * SPARE_PART).max(least).max(read_ms)
}

/// Time to fetch a part from a store, in milliseconds.
fn fetch_ms(store: &StoreView<'_>, need: &PartNeed, data_centre: &str, token_bytes: u64) -> f64 {
    let bits = f64::from(need.tokens) * token_bytes as f64 * 8.0;
    let factor = if store.data_centre == data_centre {
        1.0
    } else {
        REMOTE_FACTOR
    };
    store.first_ms + factor * bits / store.link_bits_per_ms.max(1.0)
}

/// The store that a part is saved to: the same one at every instance, unless
/// one holds it already or has no room.
fn save_store(
    need: &PartNeed,
    stores: &[StoreView<'_>],
    trusted: &[bool],
    now_ms: u64,
) -> Option<usize> {
    let is_held_or_saving =
        |index: &usize| stores[*index].catalogue.is_held_or_saving(need.key, now_ms);
    let mut usable = (0..stores.len()).filter(|index| trusted[*index]);
    if usable.any(|index| is_held_or_saving(&index)) {
        return None;
    }
    let has_room = |index: &usize| {
        let store = &stores[*index];
        let used = store.catalogue.used_tokens(now_ms) + block_tokens(need.tokens);
        trusted[*index] && used as f64 <= store.memory_tokens as f64 * FILL_PART
    };
    let open: Vec<usize> = (0..stores.len()).filter(has_room).collect();
    let weigh = |index: &usize| MemberWeight {
        name: stores[*index].name,
        // What a store holds is what its link must carry later, in Mbit/s.
        weight: (stores[*index].link_bits_per_ms / 1000.0) as u32,
    };
    let members: Vec<MemberWeight<'_>> = open.iter().map(weigh).collect();
    best_member(&need.key.0.to_le_bytes(), &members).map(|chosen| open[chosen])
}
