//! Simulates fleets whose runners fail while instances are restarted, and counts the
//! retries of the whole fleet against the platform's rule.

#![allow(clippy::unwrap_used)]

use berylmount_policy::{
    retry_share::{RetryBounds, RetryOwner, RetryShare},
    shared_duties::duty_score,
};
use rand::{seq::SliceRandom, RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::env;

/// Last seed, unless the environment sets `BERYLMOUNT_RETRY_SEEDS`.
const LAST_SEED: u64 = 5;
const SIMULATED_MS: u64 = 60_000;
/// When restarts begin and end. Before and after, the fleet is calm.
const RESTARTS_MS: (u64, u64) = (20_000, 40_000);
const BOUNDS: RetryBounds = RetryBounds {
    ratio: 0.2,
    extra: 54.0,
    window_ms: 10_000,
};

/// A fleet and its load.
#[derive(Clone, Copy)]
struct FleetShape {
    instances: usize,
    /// Requests per second of the whole fleet.
    per_s: f64,
    /// Time between two waves of restarts.
    wave_ms: u64,
    /// Fraction of the instances that a wave restarts.
    share: f64,
}

struct SimInstance {
    name: String,
    share: RetryShare,
    /// Until when the process knows no list of instances.
    unsettled_until_ms: u64,
}

impl SimInstance {
    fn start(name: String, now_ms: u64, settles_ms: u64) -> Self {
        let owner = RetryOwner {
            started_ms: now_ms,
            rounding: duty_score(&name, "svc"),
        };
        Self {
            name,
            share: RetryShare::new(BOUNDS, owner),
            unsettled_until_ms: now_ms + settles_ms,
        }
    }
}

/// Plays a fleet all of whose attempts fail; returns the times of requests and retries.
fn play(shape: FleetShape, seed: u64) -> (Vec<u64>, Vec<u64>) {
    let mut rng = Pcg64::seed_from_u64(seed);
    let start = |number| SimInstance::start(format!("i{number}"), 0, 700);
    let mut instances: Vec<SimInstance> = (0..shape.instances).map(start).collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    let mut next_wave_ms = RESTARTS_MS.0;
    let mut at_ms = 10_000.0;
    while at_ms < SIMULATED_MS as f64 {
        at_ms += rng.random_range(0.0..2000.0 / shape.per_s);
        let now_ms = at_ms as u64;
        while next_wave_ms <= now_ms && next_wave_ms < RESTARTS_MS.1 {
            let mut order: Vec<usize> = (0..shape.instances).collect();
            order.shuffle(&mut rng);
            let count = (shape.instances as f64 * shape.share).ceil() as usize;
            for index in &order[..count] {
                // The store may be away, so that the list stays unknown for long.
                let settles_ms = rng.random_range(100..15_000);
                let name = instances[*index].name.clone();
                instances[*index] = SimInstance::start(name, next_wave_ms, settles_ms);
            }
            next_wave_ms += shape.wave_ms;
        }
        let index = rng.random_range(0..shape.instances);
        let instance = &mut instances[index];
        instance.share.note_first(now_ms);
        requests.push(now_ms);
        let is_settled = now_ms >= instance.unsettled_until_ms;
        // A stale list lacks some instances.
        let listed = rng.random_range(shape.instances * 9 / 10..=shape.instances);
        if instance.share.take(now_ms, is_settled.then_some(listed)) {
            retries.push(now_ms);
        }
    }
    (requests, retries)
}

/// Returns how many of the sorted times are in the window that ends at `end_ms`.
fn in_window(times: &[u64], end_ms: u64) -> f64 {
    let from = times.partition_point(|at_ms| at_ms + BOUNDS.window_ms <= end_ms);
    let to = times.partition_point(|at_ms| *at_ms <= end_ms);
    to.saturating_sub(from) as f64
}

/// Returns the largest fraction of the allowed retries in any window, and the smallest
/// fraction in the windows of calm times.
fn usage(requests: &[u64], retries: &[u64]) -> (f64, f64) {
    let fraction = |end_ms: u64| {
        let earlier = [end_ms, end_ms - 5000, end_ms - 10_000];
        let windows = earlier.map(|end_ms| in_window(requests, end_ms));
        let requested = windows.into_iter().fold(0.0, f64::max);
        in_window(retries, end_ms) / (BOUNDS.ratio * requested + BOUNDS.extra)
    };
    let largest = retries.iter().map(|end_ms| fraction(*end_ms));
    let calm_ms = [RESTARTS_MS.0 - 1, SIMULATED_MS - 1];
    let smallest = calm_ms.into_iter().map(fraction);
    (largest.fold(0.0, f64::max), smallest.fold(1.0, f64::min))
}

/// Plays the seeds; checks the rule, and that calm fleets use most of what is allowed.
fn check(shape: FleetShape) {
    let last = env::var("BERYLMOUNT_RETRY_SEEDS");
    let last = last.map_or(LAST_SEED, |text| text.parse().unwrap());
    for seed in 1..=last {
        let (requests, retries) = play(shape, seed);
        let (largest, smallest) = usage(&requests, &retries);
        println!(
            "{} instances, seed {seed}: {largest:.2}, calm {smallest:.2}",
            shape.instances
        );
        assert!(
            largest <= 1.0,
            "seed {seed}: {largest:.2} of the allowed retries"
        );
        assert!(smallest > 0.5, "seed {seed}: {smallest:.2} used while calm");
    }
}

#[test]
fn restarts_of_seven_instances_keep_the_retry_budget() {
    for (per_s, share) in [(30.0, 1.0), (200.0, 1.0), (200.0, 0.5)] {
        check(FleetShape {
            instances: 7,
            per_s,
            wave_ms: 1500,
            share,
        });
    }
}

#[test]
fn restarts_of_76_instances_keep_the_retry_budget() {
    for (per_s, share) in [(30.0, 1.0), (600.0, 0.5)] {
        check(FleetShape {
            instances: 76,
            per_s,
            wave_ms: 1500,
            share,
        });
    }
}

#[test]
fn restarts_of_295_instances_keep_the_retry_budget() {
    for (per_s, share) in [(30.0, 1.0), (2000.0, 0.5)] {
        check(FleetShape {
            instances: 295,
            per_s,
            wave_ms: 2500,
            share,
        });
    }
}
