//! Fuzz tests: blamed parts against an oracle, and verdicts on arbitrary evidence.

use crate::config;
use berylmount_policy::{
    blamed_parts::{BlameReport, BlamedParts, PromptDecision, BLAME_MS, MAX_BLAMED, PROBATION_MS},
    part_evidence::{BreakReport, EvidenceReport, OutcomeCount, PartEvidence},
    part_verdicts::PartAnalyst,
};
use proptest::{collection::vec, prelude::*};

const PARTS: std::ops::Range<u64> = 0..6;

#[derive(Clone, Debug)]
enum BlameStep {
    Adopt(BlameReport),
    /// A request with these parts broke so long ago.
    Break(Vec<u64>, u64),
    Prompt(Vec<u64>),
    /// Another instance learns what this one knows.
    Share,
    Pass(u64),
}

fn parts() -> impl Strategy<Value = Vec<u64>> {
    vec(PARTS, 1..4).prop_map(|mut parts| {
        parts.sort_unstable();
        parts.dedup();
        parts
    })
}

fn blame_step() -> impl Strategy<Value = BlameStep> {
    let report =
        (parts(), any::<bool>(), 0..BLAME_MS * 2).prop_map(|(parts, is_certain, age_ms)| {
            BlameStep::Adopt(BlameReport {
                parts,
                is_certain,
                age_ms,
            })
        });
    prop_oneof![
        2 => report,
        2 => (parts(), 0u64..2000).prop_map(|(p, a)| BlameStep::Break(p, a)),
        4 => parts().prop_map(BlameStep::Prompt),
        1 => Just(BlameStep::Share),
        3 => (0u64..30_000).prop_map(BlameStep::Pass),
    ]
}

fn is_subset(small: &[u64], large: &[u64]) -> bool {
    small.iter().all(|part| large.contains(part))
}

fn evidence_report() -> impl Strategy<Value = EvidenceReport> {
    let broken = (any::<u64>(), 0u64..6, 0u64..40_000, 0u64..9000, parts());
    let breaks = vec(broken, 0..40).prop_map(|breaks| {
        let breaks = breaks
            .into_iter()
            .map(|(id, runner, age_ms, ran_ms, parts)| BreakReport {
                id,
                service: 1,
                runner,
                age_ms,
                ran_ms,
                parts,
            });
        breaks.collect::<Vec<_>>()
    });
    let counts = (vec(0u32..20, 6), 0u32..100, 0u32..100);
    (breaks, counts).prop_map(|(breaks, (answers, broken, answered))| EvidenceReport {
        breaks,
        answers: PARTS.zip(answers).collect(),
        outcomes: vec![(1, OutcomeCount { broken, answered })],
    })
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn prompts_are_refused_only_for_parts_that_were_blamed(steps in vec(blame_step(), 1..120)) {
        let mut blamed = BlamedParts::default();
        let mut now_ms = 1_000_000u64;
        // All sets that were ever blamed, with the time at which they are forgotten.
        let mut known: Vec<(Vec<u64>, u64)> = Vec::new();
        for step in steps {
            match step {
                BlameStep::Adopt(report) => {
                    let kept_ms = if report.is_certain { BLAME_MS } else { PROBATION_MS };
                    let left_ms = kept_ms.saturating_sub(report.age_ms);
                    blamed.adopt(&report, now_ms);
                    if report.is_certain && left_ms > 0 {
                        let decision = blamed.preview(&report.parts, now_ms);
                        prop_assert!(matches!(decision, PromptDecision::Refuse(_)));
                    }
                    known.push((report.parts, now_ms + left_ms));
                }
                BlameStep::Break(parts, age_ms) => {
                    if blamed.convict(&parts, now_ms - age_ms, now_ms) {
                        let decision = blamed.preview(&parts, now_ms);
                        prop_assert!(matches!(decision, PromptDecision::Refuse(_)));
                        let convicted = known.iter().filter(|(set, _)| is_subset(set, &parts));
                        let convicted: Vec<_> = convicted
                            .map(|(set, _)| (set.clone(), now_ms + BLAME_MS))
                            .collect();
                        known.extend(convicted);
                    }
                }
                BlameStep::Prompt(parts) => {
                    let is_free = !known
                        .iter()
                        .any(|(set, until_ms)| now_ms < *until_ms && is_subset(set, &parts));
                    match blamed.decide(&parts, now_ms) {
                        PromptDecision::Send(probed) => {
                            prop_assert!(probed.iter().all(|set| is_subset(set, &parts)));
                            prop_assert!(!is_free || probed.is_empty());
                        }
                        PromptDecision::Refuse(left_ms) => {
                            prop_assert!(!is_free && left_ms <= BLAME_MS);
                        }
                        PromptDecision::Wait(left_ms) => {
                            prop_assert!(!is_free && left_ms <= 1000);
                        }
                    }
                }
                BlameStep::Share => {
                    let reports = blamed.reports(now_ms);
                    prop_assert!(reports.len() <= MAX_BLAMED);
                    let mut other = BlamedParts::default();
                    for report in &reports {
                        other.adopt(report, now_ms);
                    }
                    for report in &reports {
                        let is_refused = |blamed: &BlamedParts| {
                            let decision = blamed.preview(&report.parts, now_ms);
                            matches!(decision, PromptDecision::Refuse(_))
                        };
                        prop_assert_eq!(is_refused(&blamed), is_refused(&other));
                    }
                }
                BlameStep::Pass(span_ms) => now_ms += span_ms,
            }
        }
    }

    #[test]
    fn verdicts_name_parts_of_broken_requests_only(
        reports in vec((0u64..5, evidence_report()), 1..12),
    ) {
        let mut analyst = PartAnalyst::default();
        let mut now_ms = 1_000_000u64;
        let mut broken: Vec<Vec<u64>> = Vec::new();
        for (process, report) in reports {
            broken.extend(report.breaks.iter().map(|known| known.parts.clone()));
            analyst.merge(process, report, now_ms);
            analyst.suspects(now_ms);
            now_ms += 500;
            let verdicts = analyst.verdicts(now_ms);
            prop_assert!(verdicts.len() <= MAX_BLAMED);
            for verdict in verdicts {
                prop_assert!(!verdict.parts.is_empty());
                let is_from = |parts: &Vec<u64>| is_subset(&verdict.parts, parts);
                prop_assert!(broken.iter().any(is_from));
            }
        }
    }

    #[test]
    fn evidence_is_bounded(requests in vec((any::<u64>(), any::<bool>(), 0u64..50), 1..3000)) {
        let mut evidence = PartEvidence::default();
        let mut now_ms = 1_000_000u64;
        let (mut answered, mut broken) = (0u32, 0u32);
        for (part, is_answered, pause_ms) in requests {
            now_ms += pause_ms.min(3);
            let parts = [part, part.wrapping_add(1)];
            if is_answered {
                answered += 1;
                evidence.note_answer(1, &parts, now_ms);
            } else {
                broken += 1;
                let report = BreakReport {
                    id: part,
                    service: 1,
                    runner: 1,
                    age_ms: 0,
                    ran_ms: 0,
                    parts: parts.to_vec(),
                };
                evidence.note_break(report, now_ms);
            }
        }
        let report = evidence.report(&[1, 2, 3], now_ms);
        prop_assert!(report.breaks.len() <= 32 && report.answers.len() == 3);
        // All requests are recent, so that none is left out.
        prop_assert_eq!(report.outcomes, vec![(1, OutcomeCount { broken, answered })]);
    }
}
