//! Prefix affinity: maps a shared prompt prefix to its home runners.
//!
//! Hundreds of shared prompts of ten thousand tokens each recur every few seconds,
//! at runners whose KV cache holds four or five of them. Routed to arbitrary runners,
//! a prompt is prefilled again almost every time and evicts another one. Routed to the
//! same runner, it is often still cached there, and a runner that takes over from it
//! can copy the cache.
//!
//! Every instance computes the same homes from the list of runners by rendezvous
//! hashing. This needs no coordination, and a runner that leaves moves only its own
//! prefixes.

use crate::prefix_cache::{KeyedPart, TransferPlan};
use xxhash_rust::xxh3::xxh3_64;

/// Number of homes of a prefix: the primary, and one for its overflow.
pub const HOME_COUNT: usize = 2;
/// Fraction of a prefix that its homes are expected to hold, by rank. Homes evict the
/// least recently used prefixes, and the second home receives only overflow.
const HELD_FRACTIONS: [f64; HOME_COUNT] = [0.7, 0.3];
/// Fraction of a prefix that another runner is expected to get from the first home.
const COPIED_FRACTION: f64 = 0.4;

/// The index of the part that determines a prompt's homes, or `None` if no part is
/// shared. It is the largest shared part, so that prompts which share most of their
/// tokens have the same homes.
///
/// ```
/// use berylmount_policy::{prefix_cache::{PartKey, KeyedPart}, prefix_homes::home_part};
///
/// let parts = [(1, 500), (2, 9000), (3, 2000)];
/// let parts = parts.map(|(key, tokens)| KeyedPart { key: PartKey(key), tokens });
/// assert_eq!(home_part(&parts), Some(1));
/// assert_eq!(home_part(&parts[..1]), None);
/// ```
pub fn home_part(parts: &[KeyedPart]) -> Option<usize> {
    let shared = parts.split_last()?.1;
    let largest = shared
        .iter()
        .enumerate()
        .max_by_key(|(_, part)| part.tokens);
    largest.map(|(index, _)| index)
}

/// The indexes of the runners that are homes of a prefix, in order of rank.
///
/// ```
/// use berylmount_policy::prefix_homes::rank_homes;
///
/// let homes = rank_homes(7, &[11, 12, 13]);
/// assert_eq!(homes.len(), 2);
/// // Removing a runner that isn't a home changes nothing.
/// let left = 3 - homes.iter().sum::<usize>();
/// let mut runners = vec![11, 12, 13];
/// let home = runners[homes[0]];
/// runners.remove(left);
/// assert_eq!(runners[rank_homes(7, &runners)[0]], home);
/// ```
pub fn rank_homes(prefix: u64, runners: &[u64]) -> Vec<usize> {
    let mut best: [Option<(u64, usize)>; HOME_COUNT] = [None; HOME_COUNT];
    for (index, runner) in runners.iter().enumerate() {
        let mut pair = [0; 16];
        pair[..8].copy_from_slice(&prefix.to_le_bytes());
        pair[8..].copy_from_slice(&runner.to_le_bytes());
        let mut candidate = Some((xxh3_64(&pair), index));
        for slot in &mut best {
            if candidate > *slot {
                std::mem::swap(slot, &mut candidate);
            }
        }
    }
    let ranked = best.into_iter().flatten();
    ranked.map(|(_, index)| index).collect()
}

/// The expected cached portion of a prompt at a runner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CachedPrompt {
    /// Tokens that the runner holds or fetches, and so need not prefill.
    pub cached_tokens: u32,
    /// Expected time of the fetches, in milliseconds.
    pub fetch_ms: f64,
}

/// Estimates the cached portion of a prompt at a runner.
///
/// `rank` is the runner's rank among the homes, `None` if it isn't one. `plan` holds
/// what it would fetch from stores. `copy_ms` is the time to copy the rest of the
/// prefix from a home, `None` if that isn't possible.
///
/// ```
/// use berylmount_policy::{
///     prefix_cache::{PartKey, KeyedPart, TransferPlan}, prefix_homes::estimate_cached,
/// };
///
/// let parts = [(1, 10_000), (2, 1000)];
/// let parts = parts.map(|(key, tokens)| KeyedPart { key: PartKey(key), tokens });
/// let plan = TransferPlan::default();
/// let home = estimate_cached(&parts, &plan, Some(0), None);
/// let other = estimate_cached(&parts, &plan, None, None);
/// assert!(home.cached_tokens > 5000 && other.cached_tokens == 0);
/// ```
pub fn estimate_cached(
    parts: &[KeyedPart],
    plan: &TransferPlan,
    rank: Option<usize>,
    copy_ms: Option<f64>,
) -> CachedPrompt {
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let shared: u32 = shared.iter().map(|part| part.tokens).sum();
    let rest = f64::from(shared.saturating_sub(plan.fetched_tokens));
    let held = rank.and_then(|rank| HELD_FRACTIONS.get(rank)).copied();
    let held = held.unwrap_or_default();
    let (copied, copy_ms) = copy_ms.map_or((0.0, 0.0), |ms| (COPIED_FRACTION.max(held), ms));
    let available = held.max(copied);
    CachedPrompt {
        cached_tokens: plan.fetched_tokens + (rest * available) as u32,
        fetch_ms: (plan.fetch_ms + copy_ms * available) * (1.0 - held),
    }
}
