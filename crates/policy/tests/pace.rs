//! Checks the estimates of engine pace and of the runners' clock against known values.
//! Also checks the time limit of fetches.

#![allow(clippy::unwrap_used)]

use berylmount_policy::{
    engine_pace::{EnginePace, FirstEvent},
    prefix_cache::fetch_limit_ms,
    runner_clock::RunnerClock,
};
use proptest::{collection::vec, prelude::*};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// The estimate is off by at most a fifth for engines of all sizes in use, although a
/// third of the requests wait for others.
#[test]
fn engine_pace_is_learned_despite_waiting_requests() {
    for (prefill, base) in [(51.0, 62.0), (112.0, 48.0), (157.0, 40.0)] {
        for seed in 1..=5 {
            let mut rng = Pcg64::seed_from_u64(seed);
            let mut pace = EnginePace::default();
            for _ in 0..200 {
                let prefilled_tokens: u32 = match rng.random_bool(0.5) {
                    true => rng.random_range(20..600),
                    false => rng.random_range(3000..17_000),
                };
                let waited_ms = match rng.random_bool(0.33) {
                    true => rng.random_range(0.0..400.0),
                    false => rng.random_range(0.0..4.0),
                };
                let took_ms = base + f64::from(prefilled_tokens) / prefill + waited_ms;
                pace.note(FirstEvent {
                    prefilled_tokens: u64::from(prefilled_tokens),
                    took_ms,
                });
            }
            let off = (pace.prefill_per_ms() / prefill - 1.0).abs();
            assert!(off <= 0.2, "{pace:?} for {prefill}");
            let off = (pace.base_ms() / base - 1.0).abs();
            assert!(off <= 0.2, "{pace:?} for {base}");
        }
    }
}

/// Time from sending to the first event of a short prompt, in milliseconds, at an engine
/// whose link has transfers of `queued_ms` queued ahead.
fn first_event_ms(queued_ms: f64, limit_ms: f64) -> f64 {
    const BASE_MS: f64 = 60.0;
    const PREFILL_MS: f64 = 6.0;
    match queued_ms <= limit_ms {
        true => queued_ms + BASE_MS,
        false => limit_ms + PREFILL_MS + BASE_MS,
    }
}

/// Short prompts meet their target even if the link is slow for seconds, because the
/// fetch is abandoned at its time limit.
#[test]
fn a_short_prompt_does_not_wait_for_a_slow_link() {
    let target_ms = 400.0;
    let limit_ms = fetch_limit_ms(target_ms - 66.0, 3.0, 6.0);
    for queued_ms in [0.0, 50.0, 300.0, 2000.0] {
        assert!(first_event_ms(queued_ms, limit_ms) <= target_ms);
    }
}

proptest! {
    #[test]
    fn one_event_moves_the_pace_by_a_bounded_step(
        events in vec((0u64..60_000, -1e6f64..1e6), 1..80),
    ) {
        let mut pace = EnginePace::default();
        for (prefilled_tokens, took_ms) in events {
            let before = pace;
            pace.note(FirstEvent { prefilled_tokens, took_ms });
            let pairs = [
                (before.prefill_per_ms(), pace.prefill_per_ms()),
                (before.base_ms(), pace.base_ms()),
            ];
            for (old, new) in pairs {
                prop_assert!(new.is_finite() && new > 0.0);
                prop_assert!((new / old - 1.0).abs() <= 0.4);
            }
        }
    }

    /// A sample lags by its network latency. So the estimate is never ahead of the clock,
    /// and lags by at most the smallest latency and the drift. The test bounds the lag
    /// by the largest latency, 200 ms, and the drift.
    #[test]
    fn the_runner_clock_lags_by_at_most_the_smallest_latency(
        offset in 0u64..1 << 40,
        samples in vec((0u64..3000, 0u64..200), 1..60),
    ) {
        let mut clock = RunnerClock::default();
        let (mut now_ms, mut smallest_ms) = (0, u64::MAX);
        for (gap_ms, latency_ms) in samples {
            now_ms += gap_ms;
            clock.note((offset + now_ms).saturating_sub(latency_ms), now_ms);
            smallest_ms = smallest_ms.min(latency_ms);
            let known = clock.at(now_ms).unwrap();
            prop_assert!(known <= offset + now_ms);
            prop_assert!(known + 200 + now_ms / 1000 >= offset + now_ms);
        }
        prop_assert_eq!(clock.at(now_ms + 60_000), None);
    }
}
