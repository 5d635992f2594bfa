//! Fuzz tests: permits stay within the request limits that runners name.

use crate::config;
use berylmount_policy::runner_limits::{LimitReport, PermitDecision, RunnerLimits};
use proptest::{collection::vec, prelude::*};
use rand::SeedableRng;
use rand_pcg::Pcg32;

const RUNNERS: u64 = 3;
/// Lowest rate at which permits are issued, in requests per second.
const MIN_RATE_PER_S: f64 = 0.2;

#[derive(Clone, Debug)]
enum LimitStep {
    /// A response: its limit, and how long ago its request was sent.
    Response(u64, Option<f64>, u64),
    /// A report of another instance.
    Report(u64, Option<f64>, u64),
    /// A permit request to this instance as the coordinator.
    Issue(u64, f64),
    /// A permit request of this instance and the decision that it gets.
    Ask(u64, Option<PermitDecision>),
    /// Reports to other instances.
    Send,
    Pass(u64),
}

fn limit_step() -> impl Strategy<Value = LimitStep> {
    let runner = 0..RUNNERS;
    let limit = || prop::option::weighted(0.8, prop_oneof![0.0..2.0f64, 0.0..40.0f64]);
    let age_ms = || 0u64..2000;
    let decision = prop_oneof![
        Just(PermitDecision::Granted),
        (0u64..6000).prop_map(PermitDecision::Denied),
    ];
    prop_oneof![
        2 => (runner.clone(), limit(), age_ms()).prop_map(|(r, l, a)| LimitStep::Response(r, l, a)),
        1 => (runner.clone(), limit(), age_ms()).prop_map(|(r, l, a)| LimitStep::Report(r, l, a)),
        6 => (runner.clone(), 0.0..1.0f64).prop_map(|(r, s)| LimitStep::Issue(r, s)),
        2 => (runner, prop::option::of(decision)).prop_map(|(r, d)| LimitStep::Ask(r, d)),
        1 => Just(LimitStep::Send),
        4 => (0u64..800).prop_map(LimitStep::Pass),
    ]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn permits_stay_within_the_highest_limit(steps in vec(limit_step(), 1..400)) {
        let mut rng = Pcg32::seed_from_u64(1);
        let mut limits = RunnerLimits::default();
        let mut now_ms = 10_000u64;
        // Times of permits, and the highest limit, of the current stretch with a limit.
        let mut stretches = vec![(Vec::<u64>::new(), MIN_RATE_PER_S); RUNNERS as usize];
        for step in steps {
            match step {
                LimitStep::Response(runner, per_s, age_ms) => {
                    let known = limits.limit_of(runner);
                    limits.note(runner, per_s, now_ms - age_ms, now_ms);
                    if let (Some(known), Some(per_s)) = (known, per_s) {
                        // A stricter limit takes effect at once.
                        prop_assert!(per_s >= known || limits.limit_of(runner) == Some(per_s));
                    }
                }
                LimitStep::Report(runner, per_s, age_ms) => {
                    limits.merge(&LimitReport { runner, per_s, age_ms }, now_ms);
                }
                LimitStep::Issue(runner, share) => {
                    let decision = limits.issue(runner, share, now_ms);
                    match (limits.limit_of(runner), decision) {
                        (None, decision) => prop_assert_eq!(decision, PermitDecision::Granted),
                        (Some(_), PermitDecision::Granted) => {
                            stretches[runner as usize].0.push(now_ms);
                        }
                        (Some(_), PermitDecision::Denied(delay_ms)) => {
                            prop_assert!(delay_ms <= 5000);
                        }
                    }
                }
                LimitStep::Ask(runner, decision) => {
                    limits.begin_request(runner);
                    limits.end_request(runner, decision, now_ms, &mut rng);
                    if limits.limit_of(runner).is_none() {
                        prop_assert_eq!(limits.delay_ms(runner, now_ms), None);
                    }
                }
                LimitStep::Send => {
                    let reports = limits.reports(now_ms, &mut rng);
                    prop_assert!(reports.len() <= RUNNERS as usize);
                    for report in reports {
                        prop_assert_eq!(limits.limit_of(report.runner), report.per_s);
                    }
                }
                LimitStep::Pass(span_ms) => now_ms += span_ms,
            }
            for (runner, (permits, highest)) in stretches.iter_mut().enumerate() {
                match limits.limit_of(runner as u64) {
                    Some(per_s) => *highest = highest.max(per_s),
                    None => permits.clear(),
                }
                let burst = 1.0 + *highest / 4.0;
                for (index, first_ms) in permits.iter().enumerate() {
                    let span_s = (permits[permits.len() - 1] - first_ms) as f64 / 1000.0;
                    let count = (permits.len() - index) as f64;
                    prop_assert!(count <= burst + *highest * span_s + 1e-6);
                }
            }
        }
    }
}
