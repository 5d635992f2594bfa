//! Simulates short and long prompts at engines that several instances share. Each
//! instance learns the load of the others with a delay. Counts the short prompts that
//! miss their target latency.

#![allow(clippy::unwrap_used)]

use berylmount_policy::{
    prompt_pools::{split_runners, PromptLength, PromptMix},
    runner_placement::{choose, PlacementDemand, RunnerView},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const INSTANCES: usize = 8;
const ENGINES: usize = 12;
/// Prefill rate, in tokens per millisecond.
const PREFILL_PER_MS: f64 = 51.0;
/// Short prompts: length in tokens, and prompts per second over all instances.
const SHORT: (u32, f64) = (380, 190.0);
/// Long prompts: length in tokens, and prompts per second over all instances.
const LONG: (u32, f64) = (17_000, 13.0);
/// Interval at which instances learn each other's load, in milliseconds.
const HEARTBEAT_MS: u64 = 100;
/// Target latency of short prompts, in milliseconds.
const TARGET_MS: u64 = 400;
/// Simulated time, in milliseconds.
const SIMULATED_MS: u64 = 30_000;

/// Counts of short prompts from the simulation.
#[derive(Debug, Default)]
struct LateCount {
    short: u32,
    late: u32,
}

/// Prompts that wait at an engine: sending instance, tokens and time of sending.
type EngineQueue = Vec<(usize, u32, u64)>;

/// Simulates the load. Each engine prefills its prompts one after another.
fn simulate(is_split: bool, seed: u64) -> LateCount {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut queues: Vec<EngineQueue> = vec![Vec::new(); ENGINES];
    let mut free_ms = [0u64; ENGINES];
    let mut reported = [0u64; ENGINES];
    let mut mixes = [PromptMix::default(); INSTANCES];
    let keys: Vec<u64> = (0..ENGINES as u64).map(|n| n * 7919 + 1).collect();
    let mut count = LateCount::default();
    for now_ms in 0..SIMULATED_MS {
        for (queue, free_ms) in queues.iter_mut().zip(&mut free_ms) {
            while *free_ms <= now_ms && !queue.is_empty() {
                let (_, tokens, sent_ms) = queue.remove(0);
                *free_ms = now_ms + (f64::from(tokens) / PREFILL_PER_MS) as u64;
                if tokens == SHORT.0 {
                    count.short += 1;
                    count.late += u32::from(*free_ms - sent_ms > TARGET_MS);
                }
            }
        }
        let pending_tokens =
            |queue: &EngineQueue| queue.iter().map(|(_, t, _)| u64::from(*t)).sum::<u64>();
        if now_ms % HEARTBEAT_MS == 0 {
            for (reported, (queue, free_ms)) in reported.iter_mut().zip(queues.iter().zip(&free_ms))
            {
                let prefill_ms = free_ms.saturating_sub(now_ms);
                *reported = pending_tokens(queue) + (prefill_ms as f64 * PREFILL_PER_MS) as u64;
            }
        }
        for (tokens, per_s) in [SHORT, LONG] {
            if !rng.random_bool(per_s / 1000.0) {
                continue;
            }
            let instance = rng.random_range(0..INSTANCES);
            let length = PromptLength::of(tokens, PREFILL_PER_MS);
            let mix = &mut mixes[instance];
            let pools = split_runners(&keys, mix.long_share()).filter(|_| is_split);
            let view = |index: usize| {
                let own = queues[index].iter().filter(|(by, _, _)| *by == instance);
                let own: u64 = own.map(|(_, t, _)| u64::from(*t)).sum();
                let is_other = pools.as_ref().is_some_and(|pools| pools[index] != length);
                RunnerView {
                    unread_tokens: reported[index].max(own),
                    slowness: 1.0,
                    is_connected: true,
                    penalty_ms: if is_other {
                        mix.interference_ms(PREFILL_PER_MS)
                    } else {
                        0.0
                    },
                    ..RunnerView::default()
                }
            };
            let views: Vec<RunnerView> = (0..ENGINES).map(view).collect();
            let demand = PlacementDemand {
                prompt_tokens: tokens,
                prefill_per_ms: PREFILL_PER_MS,
                ..PlacementDemand::default()
            };
            let chosen = choose(&views, &demand).unwrap().0;
            queues[chosen].push((instance, tokens, now_ms));
            mix.note(length, u64::from(tokens), now_ms);
        }
    }
    count
}

/// At least 95 of 100 short prompts meet their target with separate pools, and with a
/// shared set of runners at least three times as many are late.
#[test]
fn short_prompts_do_not_wait_behind_long_ones() {
    for seed in 1..=3 {
        let late_fraction = |count: &LateCount| f64::from(count.late) / f64::from(count.short);
        let (shared, split) = (simulate(false, seed), simulate(true, seed));
        assert!(late_fraction(&split) <= 0.05, "{split:?} split");
        assert!(
            late_fraction(&split) * 3.0 <= late_fraction(&shared),
            "{shared:?} shared, {split:?} split"
        );
    }
}

#[test]
fn similar_ratios_split_most_runners_alike() {
    let runners: Vec<u64> = (0..40).map(|n| n * 31).collect();
    let few = split_runners(&runners, 0.4).unwrap();
    let more = split_runners(&runners, 0.5).unwrap();
    let differ = few.iter().zip(&more).filter(|(a, b)| a != b).count();
    assert_eq!(differ, 4);
    // Runners aren't split if there are too few, or if there is only one kind of prompt.
    assert_eq!(split_runners(&runners, 1.0), None);
    assert_eq!(split_runners(&runners[..3], 0.5), None);
}

#[test]
fn the_mix_follows_recent_prompts() {
    let mut mix = PromptMix::default();
    assert_eq!(mix.long_share(), 0.0);
    for now_ms in 0..1000 {
        mix.note(PromptLength::Short, 100, now_ms);
        mix.note(PromptLength::Long, 300, now_ms);
    }
    assert!((mix.long_share() - 0.75).abs() < 0.01);
    // A minute of only short prompts, which is several half-lives of the mix.
    for tick in 1..600 {
        mix.note(PromptLength::Short, 100, 1000 + tick * 100);
    }
    assert!(mix.long_share() < 0.2, "{mix:?}");
}
