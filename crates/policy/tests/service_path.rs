//! Simulates the path of an instance to the runners of a service.

use berylmount_policy::service_path::{PathState, ServicePath};
use proptest::{prelude::*, test_runner::Config};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Step of the simulation, in milliseconds.
const STEP_MS: u64 = 50;
/// Time until a connection that hangs counts as failed, in milliseconds.
const HANG_MS: u64 = 300;
/// Time of the simulation, in milliseconds.
const LENGTH_MS: u64 = 20_000;

/// What happens to the runners of the service.
#[derive(Clone, Debug)]
struct PathCase {
    runners: usize,
    /// Number of runners that have crashed from the beginning.
    crashed: usize,
    /// Interval between requests, in milliseconds.
    interval_ms: u64,
    /// Whether connections that fail do so late.
    hangs: bool,
    /// Whether a path is cut, from and until when, in milliseconds.
    cut: Option<(u64, u64)>,
    seed: u64,
}

/// What a simulation shows.
#[derive(Debug, Default)]
struct PathTrace {
    /// When the path was closed and opened.
    changes: Vec<(u64, PathState)>,
    probes: usize,
}

fn simulate(case: &PathCase) -> PathTrace {
    let mut rng = Pcg64::seed_from_u64(case.seed);
    let mut path = ServicePath::default();
    let mut trace = PathTrace::default();
    // Connections and probes under way: time of the outcome, runner, whether it opens and is a
    // probe.
    let mut pending: Vec<(u64, u64, bool, bool)> = Vec::new();
    let is_cut = |now_ms| {
        let cut = case.cut;
        cut.is_some_and(|(from_ms, until_ms)| now_ms >= from_ms && now_ms < until_ms)
    };
    for now_ms in (0..LENGTH_MS).step_by(STEP_MS as usize) {
        let opens = |runner: u64| runner >= case.crashed as u64 && !is_cut(now_ms);
        let delay_ms = |opens: bool| if opens || !case.hangs { 0 } else { HANG_MS };
        if now_ms % case.interval_ms < STEP_MS {
            let runner = rng.random_range(0..case.runners as u64);
            let opens = opens(runner);
            pending.push((now_ms + delay_ms(opens), runner, opens, false));
        }
        let due = path.probes_due(case.runners, now_ms);
        trace.probes += due;
        let first = rng.random_range(0..case.runners as u64);
        for number in 0..due as u64 {
            let runner = (first + number) % case.runners as u64;
            let opens = opens(runner);
            pending.push((now_ms + delay_ms(opens), runner, opens, true));
        }
        let done: Vec<_> = pending
            .extract_if(.., |(at_ms, ..)| *at_ms <= now_ms)
            .collect();
        for (_, runner, opens, is_probe) in done {
            if !is_probe {
                path.note_connection(runner, opens, now_ms);
            } else if let Some(state) = path.note_probe(opens, case.runners, now_ms) {
                trace.changes.push((now_ms, state));
            }
        }
    }
    trace
}

fn cases() -> impl Strategy<Value = PathCase> {
    let numbers = (1usize..200, 10u64..1000, any::<bool>(), any::<u64>());
    (numbers, 2000u64..6000, 3000u64..8000).prop_map(|(numbers, from_ms, length_ms)| {
        let (runners, interval_ms, hangs, seed) = numbers;
        PathCase {
            runners,
            crashed: 0,
            interval_ms,
            hangs,
            cut: Some((from_ms, from_ms + length_ms)),
            seed,
        }
    })
}

proptest! {
    #![proptest_config(Config::with_cases(200))]

    #[test]
    fn a_cut_closes_the_path_until_it_heals(case in cases()) {
        let trace = simulate(&case);
        let states: Vec<PathState> = trace.changes.iter().map(|(_, state)| *state).collect();
        prop_assert_eq!(&states[..], &[PathState::Closed, PathState::Open], "{:?}", trace);
        let (from_ms, until_ms) = case.cut.unwrap_or_default();
        prop_assert!(trace.changes[0].0 >= from_ms && trace.changes[1].0 >= until_ms);
        // Two requests fail to connect, and the probes.
        let detected_ms = from_ms + 3 * case.interval_ms + 3 * HANG_MS;
        prop_assert!(trace.changes[0].0 <= detected_ms, "{:?}", trace);
    }

    #[test]
    fn without_a_cut_nothing_is_probed_and_the_path_stays_open(mut case in cases()) {
        case.cut = None;
        let trace = simulate(&case);
        prop_assert_eq!((trace.changes.len(), trace.probes), (0, 0));
    }
}

#[test]
fn a_failed_rack_rarely_closes_the_path_and_never_for_long() {
    let mut closed = 0;
    for seed in 0..200 {
        let case = PathCase {
            runners: 20,
            crashed: 4,
            interval_ms: 50,
            hangs: true,
            cut: None,
            seed,
        };
        let trace = simulate(&case);
        for pair in trace.changes.chunks(2) {
            closed += 1;
            let opened_ms = pair.get(1).map_or(LENGTH_MS, |(at_ms, _)| *at_ms);
            assert!(opened_ms - pair[0].0 <= 3000, "{trace:?}");
        }
    }
    assert!(closed <= 20, "closed {closed} times in 200 runs");
}

#[test]
fn silence_alone_never_closes_a_path() {
    let mut path = ServicePath::default();
    path.note_sent(0);
    let mut probes = 0;
    for now_ms in (0..10_000).step_by(50) {
        for _ in 0..path.probes_due(12, now_ms) {
            probes += 1;
            assert_eq!(path.note_probe(true, 12, now_ms), None);
        }
    }
    assert_eq!(path.state(), PathState::Open);
    // A suspicion is cleared by the first probe that opens, and the next one comes a second later.
    assert!((1..=30).contains(&probes), "{probes} probes");
}
