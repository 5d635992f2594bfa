//! Simulates shared prompts that recur every few seconds at engines whose cache holds a
//! few of them, and counts the prefix tokens that are prefilled again.

#![allow(clippy::unwrap_used)]

use berylmount_policy::{
    prefix_cache::{KeyedPart, PartKey, TransferPlan},
    prefix_homes::{estimate_cached, rank_homes},
    runner_placement::{choose, sample_runners, PlacementDemand, RunnerView},
};
use proptest::prelude::*;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Cache capacity of one engine, in tokens.
const CACHE_TOKENS: u64 = 73_000;
/// Length of a shared prefix, in tokens.
const PREFIX_TOKENS: u32 = 12_800;
/// Length of the part that is specific to a request, in tokens.
const OWN_TOKENS: u32 = 4200;
/// Prefill rate, in tokens per millisecond.
const PREFILL_PER_MS: f64 = 51.0;
/// Number of requests in one simulation.
const REQUESTS: u64 = 4000;
/// Requests per second at 12 engines.
const PER_S: u64 = 13;

/// An engine's LRU cache: parts with their tokens, the most recently used last.
#[derive(Default)]
struct EngineCache {
    parts: Vec<(u64, u32)>,
    busy_until_ms: u64,
}

impl EngineCache {
    /// Uses a part, and returns whether it was cached.
    fn touch(&mut self, part: u64, tokens: u32) -> bool {
        let found = self.parts.iter().position(|(known, _)| *known == part);
        if let Some(index) = found {
            self.parts.remove(index);
        }
        self.parts.push((part, tokens));
        while self.parts.iter().map(|(_, t)| u64::from(*t)).sum::<u64>() > CACHE_TOKENS {
            self.parts.remove(0);
        }
        found.is_some()
    }
}

/// How a runner is chosen.
#[derive(Clone, Copy, PartialEq)]
enum Choice {
    /// By load alone.
    Load,
    /// By load and the homes of the prefix.
    Homes,
}

/// Counts the prefix tokens that are prefilled although an engine had prefilled them
/// before.
fn repeated_prefill(
    engines: usize,
    prefixes: u64,
    is_large: bool,
    choice: Choice,
    seed: u64,
) -> u64 {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut caches: Vec<EngineCache> = (0..engines).map(|_| EngineCache::default()).collect();
    let keys: Vec<u64> = (0..engines as u64).map(|n| n * 7919 + 1).collect();
    let mut seen = vec![false; prefixes as usize];
    let mut repeated = 0;
    let gap_ms = 1000 / (PER_S * engines as u64 / 12).max(1);
    for number in 0..REQUESTS {
        let now_ms = number * gap_ms;
        let prefix = rng.random_range(0..prefixes);
        let parts = [(prefix, PREFIX_TOKENS), (1 << 40 | number, OWN_TOKENS)];
        let parts = parts.map(|(key, tokens)| KeyedPart {
            key: PartKey(key),
            tokens,
        });
        let homes = match choice {
            Choice::Load => Vec::new(),
            Choice::Homes => rank_homes(prefix, &keys),
        };
        let view = |index: usize| {
            let rank = homes.iter().position(|home| *home == index);
            let wait_ms = caches[index].busy_until_ms.saturating_sub(now_ms);
            RunnerView {
                unread_tokens: (wait_ms as f64 * PREFILL_PER_MS) as u64,
                slowness: 1.0,
                is_connected: true,
                cached_tokens: estimate_cached(&parts, &TransferPlan::default(), rank, None)
                    .cached_tokens,
                home_rank: rank,
                ..RunnerView::default()
            }
        };
        let views: Vec<RunnerView> = (0..engines).map(view).collect();
        let chosen = place(&views, is_large, &mut rng);
        let engine = &mut caches[chosen];
        let is_cached = engine.touch(prefix, PREFIX_TOKENS);
        engine.touch(1 << 40 | number, OWN_TOKENS);
        if !is_cached && std::mem::replace(&mut seen[prefix as usize], true) {
            repeated += u64::from(PREFIX_TOKENS);
        }
        let prefilled = if is_cached {
            OWN_TOKENS
        } else {
            OWN_TOKENS + PREFIX_TOKENS
        };
        engine.busy_until_ms =
            engine.busy_until_ms.max(now_ms) + (f64::from(prefilled) / PREFILL_PER_MS) as u64;
    }
    repeated
}

fn place(views: &[RunnerView], is_large: bool, rng: &mut impl Rng) -> usize {
    let mut open: Vec<usize> = (0..views.len()).collect();
    if is_large {
        open = sample_runners(views, open, rng);
    }
    let open_views: Vec<RunnerView> = open.iter().map(|index| views[*index]).collect();
    let demand = PlacementDemand {
        prompt_tokens: PREFIX_TOKENS + OWN_TOKENS,
        prefill_per_ms: PREFILL_PER_MS,
        ..PlacementDemand::default()
    };
    open[choose(&open_views, &demand).unwrap().0]
}

/// With homes, at least a third fewer tokens are prefilled again, both in a fleet that
/// chooses among all runners and in one that chooses among a sample.
#[test]
fn homes_reduce_repeated_prefill() {
    for (engines, prefixes, is_large) in [(12, 45, false), (60, 225, true), (160, 600, true)] {
        for seed in 1..=3 {
            let simulate = |choice| repeated_prefill(engines, prefixes, is_large, choice, seed);
            let (by_load, by_homes) = (simulate(Choice::Load), simulate(Choice::Homes));
            assert!(
                by_homes * 3 <= by_load * 2,
                "{engines} engines: {by_homes} with homes, {by_load} without"
            );
        }
    }
}

proptest! {
    /// A runner that leaves or joins moves only its own prefixes.
    #[test]
    fn a_runner_that_leaves_moves_only_its_own_prefixes(
        runners in proptest::collection::btree_set(any::<u64>(), 3..40),
        prefix in any::<u64>(),
        gone in any::<proptest::sample::Index>(),
    ) {
        let runners: Vec<u64> = runners.into_iter().collect();
        let homes: Vec<u64> = rank_homes(prefix, &runners).iter().map(|i| runners[*i]).collect();
        let gone = runners[gone.index(runners.len())];
        let left: Vec<u64> = runners.iter().copied().filter(|r| *r != gone).collect();
        let moved: Vec<u64> = rank_homes(prefix, &left).iter().map(|i| left[*i]).collect();
        match homes.iter().position(|home| *home == gone) {
            None => prop_assert_eq!(moved, homes),
            Some(0) => prop_assert_eq!(moved[0], homes[1]),
            Some(_) => prop_assert_eq!(moved[0], homes[0]),
        }
    }
}
