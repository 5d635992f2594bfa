//! Fuzz tests: exclusions of runners that have lost their addresses end, and are shared.

use crate::config;
use berylmount_policy::misdirection::{ExclusionReport, MisdirectedRunners, RejectionSender};
use proptest::{collection::vec, prelude::*};
use rand::SeedableRng;
use rand_pcg::Pcg32;

const RUNNERS: u64 = 4;
/// Time for which a rejection excludes a runner at least, and at most, in milliseconds.
const EXCLUSION_MS: (u64, u64) = (5000, 90_000);

#[derive(Clone, Debug)]
enum ExclusionStep {
    Rejection(u64, RejectionSender),
    Response(u64),
    Report(u64, u32, u64),
    /// The first instance tells the second one what it knows.
    Send,
    Pass(u64),
}

fn exclusion_step() -> impl Strategy<Value = ExclusionStep> {
    let runner = 0..RUNNERS;
    let sender = prop_oneof![Just(RejectionSender::Other), Just(RejectionSender::Unknown)];
    prop_oneof![
        4 => (runner.clone(), sender).prop_map(|(r, s)| ExclusionStep::Rejection(r, s)),
        2 => runner.clone().prop_map(ExclusionStep::Response),
        1 => (runner, any::<u32>(), any::<u64>())
            .prop_map(|(r, s, l)| ExclusionStep::Report(r, s, l)),
        2 => Just(ExclusionStep::Send),
        4 => (0u64..20_000).prop_map(ExclusionStep::Pass),
    ]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn exclusions_begin_are_shared_and_end(steps in vec(exclusion_step(), 1..200)) {
        let mut rng = Pcg32::seed_from_u64(1);
        let (mut first, mut second) = (MisdirectedRunners::default(), MisdirectedRunners::default());
        let mut now_ms = 10_000u64;
        // When a runner was last rejected or reported, and rejected by a named server.
        let mut touched = [None::<u64>; RUNNERS as usize];
        let mut rejected = [None::<u64>; RUNNERS as usize];
        for step in steps {
            match step {
                ExclusionStep::Rejection(runner, sender) => {
                    let was_excluded = first.is_excluded(runner, now_ms);
                    first.note(runner, sender, now_ms, &mut rng);
                    touched[runner as usize] = Some(now_ms);
                    if sender == RejectionSender::Other && !was_excluded {
                        rejected[runner as usize] = Some(now_ms);
                    }
                }
                ExclusionStep::Response(runner) => {
                    first.clear(runner);
                    prop_assert!(!first.is_excluded(runner, now_ms));
                    rejected[runner as usize] = None;
                }
                ExclusionStep::Report(runner, strikes, left_ms) => {
                    first.merge(&ExclusionReport { runner, strikes, left_ms }, now_ms);
                    touched[runner as usize] = Some(now_ms);
                }
                ExclusionStep::Send => {
                    let reports = first.reports(now_ms);
                    for report in &reports {
                        second.merge(report, now_ms);
                        prop_assert!(second.is_excluded(report.runner, now_ms));
                    }
                    prop_assert!(reports.len() <= RUNNERS as usize);
                }
                ExclusionStep::Pass(span_ms) => now_ms += span_ms,
            }
            for runner in 0..RUNNERS {
                let is_excluded = first.is_excluded(runner, now_ms);
                let index = runner as usize;
                let must = rejected[index].is_some_and(|at_ms| now_ms < at_ms + EXCLUSION_MS.0);
                let may = touched[index].is_some_and(|at_ms| now_ms < at_ms + EXCLUSION_MS.1);
                prop_assert!(is_excluded || !must, "runner {runner} at {now_ms}");
                prop_assert!(!is_excluded || may, "runner {runner} at {now_ms}");
            }
        }
    }
}
