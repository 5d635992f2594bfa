//! Which runners a shared prompt prefix returns to.
//!
//! Load: hundreds of shared prompts of ten thousand tokens, each asked for every
//! few seconds, at runners whose memory holds four or five of them. Sent to any
//! runner, a prompt is read again almost every time and evicts another one.
//! Sent to the same runner, it is often still in memory there, and a runner
//! that takes it over can copy it from there.
//!
//! Every instance works out the same homes from the list of runners by
//! rendezvous hashing. Nothing has to be told, and a runner that leaves moves
//! only its own prefixes.

use crate::prefix_cache::{PartNeed, TransferPlan};
use xxhash_rust::xxh3::xxh3_64;

/// Homes of one prefix: one that usually takes it, and one for its overflow.
pub const HOME_COUNT: usize = 2;
/// Part of a prefix that its homes are expected to hold, by rank. Homes evict
/// the least recently used prefixes, and the second one sees overflow only.
const HELD_PARTS: [f64; HOME_COUNT] = [0.7, 0.3];
/// Part of a prefix that another runner is expected to get from the first home.
const COPIED_PART: f64 = 0.4;

/// The part of a prompt that decides its homes: the largest shared one, so that
/// prompts which share most of their tokens meet. `None` if it shares nothing.
///
/// ```
/// use berylmount_policy::{prefix_cache::{PartKey, PartNeed}, prefix_homes::home_part};
///
/// let needs = [(1, 500), (2, 9000), (3, 2000)];
/// let needs = needs.map(|(key, tokens)| PartNeed { key: PartKey(key), tokens });
/// assert_eq!(home_part(&needs), Some(1));
/// assert_eq!(home_part(&needs[..1]), None);
/// ```
pub fn home_part(needs: &[PartNeed]) -> Option<usize> {
    let shared = needs.split_last()?.1;
    let largest = shared
        .iter()
        .enumerate()
        .max_by_key(|(_, need)| need.tokens);
    largest.map(|(index, _)| index)
}

/// The indexes of the runners that are homes of a prefix, first home first.
///
/// ```
/// use berylmount_policy::prefix_homes::rank_homes;
///
/// let homes = rank_homes(7, &[11, 12, 13]);
/// assert_eq!(homes.len(), 2);
/// // Another runner that leaves changes nothing.
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
        let mut rival = Some((xxh3_64(&pair), index));
        for place in &mut best {
            if rival > *place {
                std::mem::swap(place, &mut rival);
            }
        }
    }
    let ranked = best.into_iter().flatten();
    ranked.map(|(_, index)| index).collect()
}

/// What a runner need not read of a prompt, as far as can be expected.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CachedPrompt {
    /// Tokens that it holds or fetches.
    pub cached_tokens: u32,
    /// Time of the fetches, in milliseconds.
    pub fetch_ms: f64,
}

/// What is expected of a runner that is a home of the given rank, or none.
///
/// `plan` is what it would fetch from stores; `copy_ms` the time to copy the
/// rest of the prefix from a home, `None` if that is not possible.
///
/// ```
/// use berylmount_policy::{
///     prefix_cache::{PartKey, PartNeed, TransferPlan}, prefix_homes::estimate_cached,
/// };
///
/// let needs = [(1, 10_000), (2, 1000)];
/// let needs = needs.map(|(key, tokens)| PartNeed { key: PartKey(key), tokens });
/// let plan = TransferPlan::default();
/// let home = estimate_cached(&needs, &plan, Some(0), None);
/// let other = estimate_cached(&needs, &plan, None, None);
/// assert!(home.cached_tokens > 5000 && other.cached_tokens == 0);
/// ```
pub fn estimate_cached(
    needs: &[PartNeed],
    plan: &TransferPlan,
    rank: Option<usize>,
    copy_ms: Option<f64>,
) -> CachedPrompt {
    let shared = needs.split_last().map_or(&[][..], |(_, shared)| shared);
    let shared: u32 = shared.iter().map(|need| need.tokens).sum();
    let rest = f64::from(shared.saturating_sub(plan.fetched_tokens));
    let held = rank.and_then(|rank| HELD_PARTS.get(rank)).copied();
    let held = held.unwrap_or_default();
    let (copied, copy_ms) = copy_ms.map_or((0.0, 0.0), |ms| (COPIED_PART.max(held), ms));
    let part = held.max(copied);
    CachedPrompt {
        cached_tokens: plan.fetched_tokens + (rest * part) as u32,
        fetch_ms: (plan.fetch_ms + copy_ms * part) * (1.0 - held),
    }
}
