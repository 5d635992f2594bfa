//! Plays short prompts beside long ones at engines that several instances share,
//! each of which learns late what the others send, and counts late short ones.

#![allow(clippy::unwrap_used)]

use berylmount_policy::{
    placing::{choose, PlacingNeed, RunnerView},
    prompt_pools::{split_runners, PromptLength, PromptMix},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const INSTANCES: usize = 8;
const ENGINES: usize = 12;
const PREFILL: f64 = 51.0;
/// Tokens of a prompt, and prompts a second over all instances.
const SHORT: (u32, f64) = (380, 190.0);
const LONG: (u32, f64) = (17_000, 13.0);
/// How late instances learn of each other's load, in milliseconds.
const HEARTBEAT_MS: u64 = 100;
/// Target latency of short prompts, in milliseconds.
const TARGET_MS: u64 = 400;
const PLAYED_MS: u64 = 30_000;

/// What the play found.
#[derive(Debug, Default)]
struct LateCount {
    short: u32,
    late: u32,
}

/// Prompts that wait at an engine: whose, tokens, when sent.
type EngineLine = Vec<(usize, u32, u64)>;

/// Plays the load; each engine reads its prompts one after another.
fn play(is_parted: bool, seed: u64) -> LateCount {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut lines: Vec<EngineLine> = vec![Vec::new(); ENGINES];
    let mut free_ms = [0u64; ENGINES];
    let mut told = [0u64; ENGINES];
    let mut mixes = [PromptMix::default(); INSTANCES];
    let keys: Vec<u64> = (0..ENGINES as u64).map(|n| n * 7919 + 1).collect();
    let mut count = LateCount::default();
    for now_ms in 0..PLAYED_MS {
        for (line, free_ms) in lines.iter_mut().zip(&mut free_ms) {
            while *free_ms <= now_ms && !line.is_empty() {
                let (_, tokens, sent_ms) = line.remove(0);
                *free_ms = now_ms + (f64::from(tokens) / PREFILL) as u64;
                if tokens == SHORT.0 {
                    count.short += 1;
                    count.late += u32::from(*free_ms - sent_ms > TARGET_MS);
                }
            }
        }
        let unread = |line: &EngineLine| line.iter().map(|(_, t, _)| u64::from(*t)).sum::<u64>();
        if now_ms % HEARTBEAT_MS == 0 {
            for (told, (line, free_ms)) in told.iter_mut().zip(lines.iter().zip(&free_ms)) {
                let reading_ms = free_ms.saturating_sub(now_ms);
                *told = unread(line) + (reading_ms as f64 * PREFILL) as u64;
            }
        }
        for (tokens, per_s) in [SHORT, LONG] {
            if !rng.random_bool(per_s / 1000.0) {
                continue;
            }
            let instance = rng.random_range(0..INSTANCES);
            let length = PromptLength::of(tokens, PREFILL);
            let mix = &mut mixes[instance];
            let parts = split_runners(&keys, mix.long_share()).filter(|_| is_parted);
            let view = |index: usize| {
                let own = lines[index].iter().filter(|(by, _, _)| *by == instance);
                let own: u64 = own.map(|(_, t, _)| u64::from(*t)).sum();
                let is_other = parts.as_ref().is_some_and(|parts| parts[index] != length);
                RunnerView {
                    unread_tokens: told[index].max(own),
                    slowness: 1.0,
                    is_connected: true,
                    penalty_ms: if is_other {
                        mix.interference_ms(PREFILL)
                    } else {
                        0.0
                    },
                    ..RunnerView::default()
                }
            };
            let views: Vec<RunnerView> = (0..ENGINES).map(view).collect();
            let need = PlacingNeed {
                prompt_tokens: tokens,
                prefill_per_ms: PREFILL,
                ..PlacingNeed::default()
            };
            let chosen = choose(&views, &need).unwrap().0;
            lines[chosen].push((instance, tokens, now_ms));
            mix.note(length, u64::from(tokens), now_ms);
        }
    }
    count
}

/// 95 of 100 short prompts are in time beside long ones, and on a shared set of
/// runners three times as many are late.
#[test]
fn short_prompts_do_not_wait_behind_long_ones() {
    for seed in 1..=3 {
        let late_part = |count: &LateCount| f64::from(count.late) / f64::from(count.short);
        let (shared, parted) = (play(false, seed), play(true, seed));
        assert!(late_part(&parted) <= 0.05, "{parted:?} parted");
        assert!(
            late_part(&parted) * 3.0 <= late_part(&shared),
            "{shared:?} shared, {parted:?} parted"
        );
    }
}

#[test]
fn runners_are_parted_alike_but_for_those_between_two_ratios() {
    let runners: Vec<u64> = (0..40).map(|n| n * 31).collect();
    let few = split_runners(&runners, 0.4).unwrap();
    let more = split_runners(&runners, 0.5).unwrap();
    let differ = few.iter().zip(&more).filter(|(a, b)| a != b).count();
    assert_eq!(differ, 4);
    // One kind alone, or too few runners, are not parted.
    assert_eq!(split_runners(&runners, 1.0), None);
    assert_eq!(split_runners(&runners[..3], 0.5), None);
}

#[test]
fn the_mix_follows_what_comes() {
    let mut mix = PromptMix::default();
    assert_eq!(mix.long_share(), 0.0);
    for now_ms in 0..1000 {
        mix.note(PromptLength::Short, 100, now_ms);
        mix.note(PromptLength::Long, 300, now_ms);
    }
    assert!((mix.long_share() - 0.75).abs() < 0.01);
    // A minute of short prompts alone: some half-lives of the long ones.
    for tick in 1..600 {
        mix.note(PromptLength::Short, 100, 1000 + tick * 100);
    }
    assert!(mix.long_share() < 0.2, "{mix:?}");
}
