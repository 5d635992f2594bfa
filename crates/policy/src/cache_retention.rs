//! Which KV cache to keep when a run ends, and in which store and tier.
//!
//! The planner predicts when each prompt is used again from the gaps between its
//! uses so far. A full tier evicts the prompts that are long overdue and those
//! with the latest predicted use. A prompt that is predicted to return later than
//! all prompts kept is not exported.

use crate::assignment::{rank_members, MemberWeight};
use std::collections::{BTreeMap, BTreeSet};

/// Gap assumed before any prompt was used again, in milliseconds.
const INITIAL_GAP_MS: f64 = 3_600_000.0;
/// Weight of a new gap in the moving average.
const GAP_EWMA_WEIGHT: f64 = 0.3;
/// Multiple of its gap after which a prompt is no longer expected to return.
const MAX_OVERDUE_GAPS: f64 = 3.0;
/// Gap assumed for a prompt that has not returned yet, as a multiple of the
/// usual gap.
const NEW_PROMPT_GAPS: f64 = 4.0;

/// The index of a store in the planner.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StoreId(pub u32);

/// The tier of a store.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, strum::Display, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum StoreTier {
    /// Memory.
    Memory,
    /// Disk.
    Disk,
}

/// The bytes of one store that this process may use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreQuota {
    /// The store's name.
    pub name: String,
    /// Bytes of memory.
    pub memory_bytes: u64,
    /// Bytes of disk.
    pub disk_bytes: u64,
}

impl StoreQuota {
    /// Returns its weight among the stores, in units of 16 MiB.
    fn weight(&self) -> u32 {
        let units = self.memory_bytes.saturating_add(self.disk_bytes) >> 24;
        u32::try_from(units).unwrap_or(u32::MAX).max(1)
    }

    fn bytes(&self, tier: StoreTier) -> u64 {
        match tier {
            StoreTier::Memory => self.memory_bytes,
            StoreTier::Disk => self.disk_bytes,
        }
    }
}

/// The store and tier of a prompt's cache.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CachePlace {
    /// The store.
    pub store: StoreId,
    /// The tier.
    pub tier: StoreTier,
}

/// A prompt evicted from a tier, either to the lower tier or from the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EvictionMove {
    /// The prompt.
    pub prompt: u64,
    /// Where it was.
    pub from: CachePlace,
    /// The tier it moves to; `None` if its space is freed.
    pub to: Option<StoreTier>,
}

/// What to do with a prompt's cache when its run ends.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RetentionPlan {
    /// Where to keep it; `None` if it is not kept.
    pub place: Option<CachePlace>,
    /// The store to use if the one of `place` fails.
    pub fallback: Option<StoreId>,
    /// Whether the store holds the cache already.
    pub present: bool,
    /// The evictions that make room for it.
    pub moves: Vec<EvictionMove>,
}

/// The recorded uses of one prompt and the place of its cache.
#[derive(Clone, Copy, Debug)]
struct PromptState {
    last_ms: u64,
    gap_ms: f64,
    returns: u32,
    bytes: u64,
    place: Option<CachePlace>,
    /// Predicted next use, by which its tier is ordered.
    due_ms: u64,
}

/// The contents of one tier of one store.
#[derive(Clone, Debug, Default)]
struct TierState {
    /// Predicted next use and prompt, in that order.
    order: BTreeSet<(u64, u64)>,
    used_bytes: u64,
}

/// Plans what this process keeps in the stores.
///
/// A prompt is identified by a 64-bit hash of the key of its last kept piece.
/// Prompts are spread over the stores in proportion to their bytes, so a process
/// should get a larger share of a store near it.
///
/// ```
/// use berylmount_policy::{cache_retention::StoreQuota, RetentionPlanner, StoreTier};
///
/// let quota = StoreQuota { name: "keep-a".to_owned(), memory_bytes: 100, disk_bytes: 100 };
/// let mut planner = RetentionPlanner::new(vec![quota], 1_000);
/// let plan = planner.plan_retention(1, 60, 0);
/// assert_eq!(plan.place.map(|place| place.tier), Some(StoreTier::Memory));
/// planner.plan_retention(2, 60, 10);
/// assert!(planner.place(1).is_some() && planner.place(2).is_some());
/// ```
#[derive(Clone, Debug)]
pub struct RetentionPlanner {
    stores: Vec<StoreQuota>,
    tiers: Vec<[TierState; 2]>,
    prompts: BTreeMap<u64, PromptState>,
    max_prompts: usize,
    usual_gap_ms: f64,
    has_seen_return: bool,
}

impl RetentionPlanner {
    /// Returns an empty planner that drops old history beyond `max_prompts`.
    ///
    /// ```
    /// use berylmount_policy::RetentionPlanner;
    ///
    /// assert!(RetentionPlanner::new(Vec::new(), 1_000).is_empty());
    /// ```
    pub fn new(stores: Vec<StoreQuota>, max_prompts: usize) -> Self {
        let tiers = stores.iter().map(|_| Default::default()).collect();
        Self {
            stores,
            tiers,
            prompts: BTreeMap::new(),
            max_prompts: max_prompts.max(1),
            usual_gap_ms: INITIAL_GAP_MS,
            has_seen_return: false,
        }
    }

    /// Returns where `prompt` is kept, as far as known.
    ///
    /// ```
    /// use berylmount_policy::{cache_retention::StoreQuota, RetentionPlanner};
    ///
    /// let quota = StoreQuota { name: "keep-a".to_owned(), memory_bytes: 100, disk_bytes: 100 };
    /// let mut planner = RetentionPlanner::new(vec![quota], 1_000);
    /// assert_eq!(planner.place(1), None);
    /// ```
    pub fn place(&self, prompt: u64) -> Option<CachePlace> {
        self.prompts.get(&prompt).and_then(|state| state.place)
    }

    /// Returns the number of prompts tracked.
    ///
    /// ```
    /// use berylmount_policy::{cache_retention::StoreQuota, RetentionPlanner};
    ///
    /// let quota = StoreQuota { name: "keep-a".to_owned(), memory_bytes: 100, disk_bytes: 100 };
    /// let mut planner = RetentionPlanner::new(vec![quota], 1_000);
    /// planner.plan_retention(1, 60, 0);
    /// assert_eq!(planner.len(), 1);
    /// ```
    pub fn len(&self) -> usize {
        self.prompts.len()
    }

    /// Returns whether no prompt is tracked.
    ///
    /// ```
    /// use berylmount_policy::{cache_retention::StoreQuota, RetentionPlanner};
    ///
    /// let quota = StoreQuota { name: "keep-a".to_owned(), memory_bytes: 100, disk_bytes: 100 };
    /// let mut planner = RetentionPlanner::new(vec![quota], 1_000);
    /// assert!(planner.is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.prompts.is_empty()
    }

    /// Decides where to keep the cache of `prompt`, which takes `bytes`.
    ///
    /// The planner assumes that the plan is carried out. Call
    /// [`RetentionPlanner::note_lost`] if it is not.
    ///
    /// ```
    /// use berylmount_policy::{cache_retention::StoreQuota, RetentionPlanner};
    ///
    /// let quota = StoreQuota { name: "keep-a".to_owned(), memory_bytes: 100, disk_bytes: 100 };
    /// let mut planner = RetentionPlanner::new(vec![quota], 1_000);
    /// assert!(!planner.plan_retention(1, 60, 0).present);
    /// assert!(planner.plan_retention(1, 60, 5_000).present);
    /// ```
    pub fn plan_retention(&mut self, prompt: u64, bytes: u64, now_ms: u64) -> RetentionPlan {
        let before = self.place(prompt);
        self.unlink(prompt);
        self.note_use(prompt, bytes, now_ms);
        let mut ranked = self.rank(prompt);
        if let Some(place) = before {
            ranked.retain(|&store| store != place.store);
            ranked.insert(0, place.store);
        }
        let mut plan = RetentionPlan::default();
        for &store in &ranked {
            plan.place = self.reserve(prompt, store, now_ms, &mut plan.moves);
            if plan.place.is_some() {
                plan.fallback = ranked.iter().copied().find(|&other| other != store);
                break;
            }
        }
        plan.present = before.is_some() && plan.place.map(|p| p.store) == before.map(|p| p.store);
        self.trim_history();
        plan
    }

    /// Records that `prompt` is no longer kept, such as after its store
    /// failed or refused it.
    ///
    /// ```
    /// use berylmount_policy::{cache_retention::StoreQuota, RetentionPlanner};
    ///
    /// let quota = StoreQuota { name: "keep-a".to_owned(), memory_bytes: 100, disk_bytes: 100 };
    /// let mut planner = RetentionPlanner::new(vec![quota], 1_000);
    /// planner.plan_retention(1, 60, 0);
    /// planner.note_lost(1);
    /// assert_eq!(planner.place(1), None);
    /// ```
    pub fn note_lost(&mut self, prompt: u64) {
        self.unlink(prompt);
    }

    /// Records that `store` has lost all its contents.
    ///
    /// ```
    /// use berylmount_policy::{cache_retention::StoreQuota, RetentionPlanner, StoreId};
    ///
    /// let quota = StoreQuota { name: "keep-a".to_owned(), memory_bytes: 100, disk_bytes: 100 };
    /// let mut planner = RetentionPlanner::new(vec![quota], 1_000);
    /// planner.plan_retention(1, 60, 0);
    /// planner.forget_store(StoreId(0));
    /// assert_eq!(planner.place(1), None);
    /// ```
    pub fn forget_store(&mut self, store: StoreId) {
        let held = self.prompts.iter().filter(|(_, state)| {
            let place = state.place;
            place.is_some_and(|place| place.store == store)
        });
        let lost: Vec<u64> = held.map(|(&prompt, _)| prompt).collect();
        lost.into_iter().for_each(|prompt| self.unlink(prompt));
    }

    fn rank(&self, prompt: u64) -> Vec<StoreId> {
        let members = self.stores.iter().map(|store| MemberWeight {
            name: &store.name,
            weight: store.weight(),
        });
        let members: Vec<MemberWeight> = members.collect();
        let ranked = rank_members(&prompt.to_le_bytes(), &members, 2);
        ranked.into_iter().map(|n| StoreId(n as u32)).collect()
    }

    /// Updates the prompt's gap with the time since its last use.
    fn note_use(&mut self, prompt: u64, bytes: u64, now_ms: u64) {
        let usual = self.usual_gap_ms;
        let state = self.prompts.entry(prompt).or_insert(PromptState {
            last_ms: now_ms,
            gap_ms: NEW_PROMPT_GAPS * usual,
            returns: 0,
            bytes,
            place: None,
            due_ms: 0,
        });
        let gap = now_ms.saturating_sub(state.last_ms) as f64;
        if gap > 0.0 {
            let first = state.returns == 0;
            state.gap_ms = if first { gap } else { ewma(state.gap_ms, gap) };
            state.returns += 1;
            self.usual_gap_ms = if self.has_seen_return {
                ewma(usual, gap)
            } else {
                gap
            };
            self.has_seen_return = true;
        }
        state.last_ms = now_ms;
        state.bytes = bytes;
        state.due_ms = now_ms.saturating_add(state.gap_ms as u64);
    }

    /// Makes room for `prompt` in `store`, in memory first.
    fn reserve(
        &mut self,
        prompt: u64,
        store: StoreId,
        now_ms: u64,
        moves: &mut Vec<EvictionMove>,
    ) -> Option<CachePlace> {
        for tier in [StoreTier::Memory, StoreTier::Disk] {
            let place = CachePlace { store, tier };
            let Some(victims) = self.victims(prompt, place, now_ms) else {
                continue;
            };
            for victim in victims {
                self.unlink(victim);
                let lower = tier == StoreTier::Memory;
                let to = lower.then(|| self.demote(victim, store, now_ms, moves));
                moves.push(EvictionMove {
                    prompt: victim,
                    from: place,
                    to: to.flatten(),
                });
            }
            self.link(prompt, place);
            return Some(place);
        }
        None
    }

    /// Moves a prompt from memory to disk if there is room for it.
    fn demote(
        &mut self,
        prompt: u64,
        store: StoreId,
        now_ms: u64,
        moves: &mut Vec<EvictionMove>,
    ) -> Option<StoreTier> {
        let place = CachePlace {
            store,
            tier: StoreTier::Disk,
        };
        let victims = self.victims(prompt, place, now_ms)?;
        for victim in victims {
            self.unlink(victim);
            moves.push(EvictionMove {
                prompt: victim,
                from: place,
                to: None,
            });
        }
        self.link(prompt, place);
        Some(StoreTier::Disk)
    }

    /// Returns the prompts to evict at `place` for `prompt`.
    ///
    /// Returns `None` if `prompt` does not fit there or is used later than the
    /// prompts that it would evict.
    fn victims(&self, prompt: u64, place: CachePlace, now_ms: u64) -> Option<Vec<u64>> {
        let wanted = self.prompts[&prompt];
        let tier = &self.tiers[place.store.0 as usize][place.tier as usize];
        let capacity = self.stores[place.store.0 as usize].bytes(place.tier);
        if wanted.bytes > capacity {
            return None;
        }
        let mut excess = (tier.used_bytes + wanted.bytes).saturating_sub(capacity);
        let overdue = tier
            .order
            .iter()
            .take_while(|(_, p)| self.is_overdue(*p, now_ms));
        let late = tier.order.iter().rev();
        let late = late.take_while(|(due, _)| *due > wanted.due_ms);
        let mut victims = Vec::new();
        for &(_, victim) in overdue.chain(late) {
            if excess == 0 {
                break;
            }
            if !victims.contains(&victim) {
                excess = excess.saturating_sub(self.prompts[&victim].bytes);
                victims.push(victim);
            }
        }
        (excess == 0).then_some(victims)
    }

    fn is_overdue(&self, prompt: u64, now_ms: u64) -> bool {
        let state = &self.prompts[&prompt];
        let unused_ms = now_ms.saturating_sub(state.last_ms) as f64;
        unused_ms > MAX_OVERDUE_GAPS * state.gap_ms
    }

    fn link(&mut self, prompt: u64, place: CachePlace) {
        if let Some(state) = self.prompts.get_mut(&prompt) {
            let tier = &mut self.tiers[place.store.0 as usize][place.tier as usize];
            state.place = Some(place);
            tier.order.insert((state.due_ms, prompt));
            tier.used_bytes += state.bytes;
        }
    }

    fn unlink(&mut self, prompt: u64) {
        let Some(state) = self.prompts.get_mut(&prompt) else {
            return;
        };
        if let Some(place) = state.place.take() {
            let tier = &mut self.tiers[place.store.0 as usize][place.tier as usize];
            tier.order.remove(&(state.due_ms, prompt));
            tier.used_bytes -= state.bytes;
        }
    }

    /// Drops the history of prompts that are not kept while too many are tracked.
    fn trim_history(&mut self) {
        if self.prompts.len() <= self.max_prompts {
            return;
        }
        let absent = self
            .prompts
            .iter()
            .filter(|(_, state)| state.place.is_none());
        let mut ages: Vec<(u64, u64)> = absent.map(|(&p, s)| (s.last_ms, p)).collect();
        ages.sort_unstable();
        let extra = self.prompts.len() - self.max_prompts + self.max_prompts / 8;
        for (_, prompt) in ages.into_iter().take(extra) {
            self.prompts.remove(&prompt);
        }
    }
}

fn ewma(old: f64, new: f64) -> f64 {
    old + GAP_EWMA_WEIGHT * (new - old)
}
