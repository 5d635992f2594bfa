//! Which parts of requests crash runners, judged by the evidence of all instances.
//!
//! A part that crashes each runner is in a request that broke at every runner that crashed
//! by it, and in hardly any answer. Parts that happen to be beside it, or at runners
//! that crash for other reasons, are in answers as well, or in crashes of few runners.
//!
//! A few instances, the analysts, collect the evidence of all. They ask for the answers of
//! each part that broke at two runners, and blame a part if its crashes are too many for
//! chance, given how often other requests of the service break. If several parts cannot be
//! told apart, they are blamed together: only requests with all of them are refused, so that
//! sound requests with some of them show which one is at fault.
//!
//! Invariants:
//!
//! - A broken request counts for a part only with the answers of the same process, so
//!   that restarts of instances take no answers away from the evidence.
//! - A part is blamed only for crashes at several moments, so that the loss of a rack blames
//!   nothing. A crash under a request that was sent after the crash before is another moment.
//! - Evidence against a part without answers can be handed to later processes, so that a
//!   restart of all instances does not acquit it.
//! - A runner that breaks many connections counts once for each of its starts.
//! - Memory is bounded.

use crate::{
    blamed_parts::{is_subset, MAX_BLAMED},
    part_evidence::{is_whole, BreakReport, EvidenceReport, OutcomeCount, EVIDENCE_MS},
};
use std::cmp::Reverse;

/// Time between two crashes from which they count as separate, in milliseconds.
const MOMENT_MS: u64 = 150;
/// Crashes of different runners at which the answers of a part are asked for.
const MIN_SUSPECT_CRASHES: usize = 2;
/// Crashes of different runners from which a part can be blamed.
const MIN_CRASHES: usize = 3;
/// Crashes of different runners at separate moments from which a part of a prompt can be
/// blamed.
const MIN_MOMENTS: usize = 3;
/// The same for a request as a whole, which few requests at a time are.
const MIN_WHOLE_MOMENTS: usize = 2;
/// Fraction of the requests with a blamed part that crash their runner, at least.
const MIN_CRASH_FRACTION: f64 = 1.0 / 3.0;
/// Evidence from which a part is blamed: the negative logarithm of the probability that
/// chance explains it. It allows for thousands of parts.
const MIN_EVIDENCE_NATS: f64 = 12.0;
/// Lowest assumed fraction of other requests that break.
const MIN_BREAK_FRACTION: f64 = 0.01;
/// Time for all instances to report the answers of a part, in milliseconds.
const ASK_MS: u64 = 400;
/// Maximum number of processes whose counts an analyst keeps.
const MAX_PROCESSES: usize = 2048;
/// Maximum number of broken requests that an analyst keeps.
const MAX_BREAKS: usize = 2048;
/// Maximum number of parts that are asked for at a time.
const MAX_SUSPECTS: usize = 128;
/// Maximum number of parts whose evidence is kept for later processes.
pub const MAX_RECORDS: usize = 16;

/// A set of parts that crashes runners.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PartVerdict {
    /// Keys of the parts, sorted. If there are several, the evidence does not tell them
    /// apart.
    pub parts: Vec<u64>,
    /// Whether chance cannot explain the crashes. Otherwise, the parts were in several
    /// crashes and in no answer.
    pub is_certain: bool,
    /// Runners that crashed under requests with them.
    pub crashes: usize,
    /// Requests with them that broke.
    pub breaks: usize,
    /// Requests with them that got an answer.
    pub answers: u32,
}

/// A runner that crashed under a request with a certain part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashRecord {
    /// Key of the runner and its start.
    pub runner: u64,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
    /// Time from sending the request until the crash, in milliseconds.
    pub ran_ms: u64,
}

/// Evidence against a part without answers, for processes that start after all others ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SuspectRecord {
    /// Key of the part.
    pub part: u64,
    /// Key of the service.
    pub service: u64,
    /// One crash of each runner.
    pub crashes: Vec<CrashRecord>,
}

#[derive(Clone, Debug)]
struct KnownBreak {
    report: BreakReport,
    at_ms: u64,
    /// The process that reported it.
    process: u64,
}

/// The counts of one process.
#[derive(Clone, Debug)]
struct KnownCounts {
    process: u64,
    /// When it reported last.
    at_ms: u64,
    answers: Vec<(u64, u32)>,
    outcomes: Vec<(u64, OutcomeCount)>,
}

/// A part that other instances were asked about.
#[derive(Clone, Copy, Debug)]
struct SuspectPart {
    part: u64,
    asked_ms: u64,
}

/// A part with its evidence.
#[derive(Clone, Copy, Debug)]
struct PartRecord {
    part: u64,
    /// Crashes of different runners.
    crashes: usize,
    /// Crashes of different runners at separate moments.
    moments: usize,
    /// Requests that broke.
    breaks: usize,
    /// Answers.
    answers: u32,
}

/// A broken request with a part.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct PartBreak {
    part: u64,
    at_ms: u64,
    sent_ms: u64,
    /// The runner and its start.
    runner: u64,
}

/// The broken requests with a part.
#[derive(Clone, Copy, Debug)]
struct CrashCount {
    part: u64,
    /// Crashes of different runners.
    crashes: usize,
    /// Crashes of different runners at separate moments.
    moments: usize,
    breaks: usize,
}

/// Collects the evidence of all instances.
#[derive(Clone, Debug, Default)]
pub struct PartAnalyst {
    /// Broken requests, sorted by id.
    breaks: Vec<KnownBreak>,
    /// Sorted by process.
    counts: Vec<KnownCounts>,
    /// Sorted by part.
    suspects: Vec<SuspectPart>,
}

impl PartAnalyst {
    /// Applies the evidence of a process. A restarted instance is another process.
    pub fn merge(&mut self, process: u64, report: EvidenceReport, now_ms: u64) {
        for report in report.breaks {
            let at_ms = now_ms.saturating_sub(report.age_ms);
            let found = self
                .breaks
                .binary_search_by_key(&report.id, |known| known.report.id);
            if let Err(index) = found {
                let known = KnownBreak {
                    report,
                    at_ms,
                    process,
                };
                self.breaks.insert(index, known);
            }
        }
        let counts = KnownCounts {
            process,
            at_ms: now_ms,
            answers: report.answers,
            outcomes: report.outcomes,
        };
        let found = self
            .counts
            .binary_search_by_key(&process, |known| known.process);
        match found {
            Ok(index) => self.counts[index] = counts,
            Err(index) if self.counts.len() < MAX_PROCESSES => self.counts.insert(index, counts),
            Err(_) => {}
        }
        self.expire(now_ms);
        if self.breaks.len() > MAX_BREAKS {
            self.breaks
                .sort_unstable_by_key(|known| Reverse(known.at_ms));
            self.breaks.truncate(MAX_BREAKS);
            self.breaks.sort_unstable_by_key(|known| known.report.id);
        }
    }

    /// Returns the evidence against parts that no instance has seen an answer of, for later
    /// processes.
    pub fn suspect_records(&mut self, now_ms: u64) -> Vec<SuspectRecord> {
        self.expire(now_ms);
        let breaks: Vec<&KnownBreak> = self.breaks.iter().collect();
        let counted = crash_counts(&breaks, |process, part| self.has_answers(process, part));
        let is_kept = |count: &&CrashCount| {
            let asked_ms = self.asked_ms(count.part);
            let is_answered = asked_ms.is_none_or(|asked_ms| now_ms < asked_ms + ASK_MS)
                || self.is_answered(count.part);
            count.moments >= MIN_SUSPECT_CRASHES && !is_answered
        };
        let mut kept: Vec<&CrashCount> = counted.iter().filter(is_kept).collect();
        kept.sort_unstable_by_key(|count| (Reverse(count.crashes), count.part));
        kept.truncate(MAX_RECORDS);
        kept.into_iter()
            .filter_map(|count| suspect_record(&breaks, count.part, now_ms))
            .collect()
    }

    /// Applies evidence of earlier processes.
    ///
    /// ```
    /// use berylmount_policy::part_verdicts::{CrashRecord, PartAnalyst, SuspectRecord};
    ///
    /// let crash = |runner, age_ms| CrashRecord { runner, age_ms, ran_ms: 20 };
    /// let crashes = vec![crash(1, 4000), crash(2, 2000)];
    /// let mut analyst = PartAnalyst::default();
    /// analyst.restore(&SuspectRecord { part: 7, service: 1, crashes }, 9000);
    /// assert_eq!(analyst.suspects(9000), vec![7]);
    /// ```
    pub fn restore(&mut self, record: &SuspectRecord, now_ms: u64) {
        let breaks = record.crashes.iter().map(|crash| BreakReport {
            id: record.part ^ crash.runner,
            service: record.service,
            runner: crash.runner,
            age_ms: crash.age_ms,
            ran_ms: crash.ran_ms,
            parts: vec![record.part],
        });
        let report = EvidenceReport {
            breaks: breaks.collect(),
            answers: vec![(record.part, 0)],
            outcomes: Vec::new(),
        };
        // Each part has a process of its own, because a process reports all of its answers
        // at a time.
        self.merge(record.part, report, now_ms);
    }

    /// Whether there is evidence to judge.
    pub fn has_evidence(&mut self, now_ms: u64) -> bool {
        self.expire(now_ms);
        !self.breaks.is_empty()
    }

    /// Returns the parts whose answers all instances should report, sorted.
    pub fn suspects(&mut self, now_ms: u64) -> Vec<u64> {
        self.expire(now_ms);
        let breaks: Vec<&KnownBreak> = self.breaks.iter().collect();
        let counted = crash_counts(&breaks, |_, _| true).into_iter();
        let suspected = counted.filter(|count| count.moments >= MIN_SUSPECT_CRASHES);
        let mut crashes: Vec<(usize, u64)> =
            suspected.map(|count| (count.crashes, count.part)).collect();
        crashes.sort_unstable_by(|a, b| b.cmp(a));
        crashes.truncate(MAX_SUSPECTS);
        let mut parts: Vec<u64> = crashes.into_iter().map(|(_, part)| part).collect();
        parts.sort_unstable();
        let suspects = parts.iter().map(|part| SuspectPart {
            part: *part,
            asked_ms: self.asked_ms(*part).unwrap_or(now_ms),
        });
        self.suspects = suspects.collect();
        parts
    }

    /// Returns the sets of parts that crash runners.
    pub fn verdicts(&mut self, now_ms: u64) -> Vec<PartVerdict> {
        self.expire(now_ms);
        let mut breaks: Vec<&KnownBreak> = self.breaks.iter().collect();
        let mut verdicts = Vec::new();
        while let Some((worst, is_certain)) = self.worst_part(&breaks, now_ms) {
            let with_part = breaks.iter().filter(|b| has_part(b, worst.part));
            let first = with_part.clone().next();
            let mut parts: Vec<u64> = first.map_or_else(Vec::new, |b| b.report.parts.clone());
            // Parts that are in all these requests, and in no more answers, may be at fault
            // as well.
            parts.retain(|part| {
                with_part.clone().all(|b| has_part(b, *part))
                    && self.answers_of(*part) <= worst.answers
            });
            breaks.retain(|b| !is_subset(&parts, &b.report.parts));
            verdicts.push(PartVerdict {
                parts,
                is_certain,
                crashes: worst.crashes,
                breaks: worst.breaks,
                answers: worst.answers,
            });
            if verdicts.len() >= MAX_BLAMED {
                break;
            }
        }
        verdicts
    }

    /// Returns the part that is at fault by the most crashes and the fewest answers, and
    /// whether chance cannot explain them; `None` if no part is at fault.
    fn worst_part(&self, breaks: &[&KnownBreak], now_ms: u64) -> Option<(PartRecord, bool)> {
        let counted = crash_counts(breaks, |process, part| self.has_answers(process, part));
        let records = counted.into_iter().filter_map(|count| {
            let asked_ms = self.asked_ms(count.part)?;
            let record = PartRecord {
                part: count.part,
                crashes: count.crashes,
                moments: count.moments,
                breaks: count.breaks,
                answers: self.answers_of(count.part),
            };
            let min_moments = match is_whole(record.part) {
                true => MIN_WHOLE_MOMENTS,
                false => MIN_MOMENTS,
            };
            let is_known = record.crashes >= MIN_CRASHES && record.moments >= min_moments;
            if !is_known || now_ms < asked_ms + ASK_MS {
                return None;
            }
            let is_certain = self.is_certain(&record, breaks);
            (is_certain || record.answers == 0).then_some((record, is_certain))
        });
        records.max_by_key(|(record, is_certain)| {
            (*is_certain, record.crashes, u32::MAX - record.answers)
        })
    }

    /// Whether chance cannot explain the crashes under requests with a part.
    fn is_certain(&self, record: &PartRecord, breaks: &[&KnownBreak]) -> bool {
        let crashes = record.crashes as f64;
        let requests = crashes + f64::from(record.answers);
        if crashes < MIN_CRASH_FRACTION * requests {
            return false;
        }
        let Some(first) = breaks.iter().find(|b| has_part(b, record.part)) else {
            return false;
        };
        let outcomes = self.outcomes_of(first.report.service);
        let broken = f64::from(outcomes.broken) - record.breaks as f64;
        let answered = f64::from(outcomes.answered) - f64::from(record.answers);
        let (broken, answered) = (broken.max(0.0), answered.max(0.0));
        let expected = (broken / (broken + answered).max(1.0)).max(MIN_BREAK_FRACTION);
        requests * relative_entropy(crashes / requests, expected) >= MIN_EVIDENCE_NATS
    }

    /// Whether any instance has seen an answer of a part.
    pub fn is_answered(&self, part: u64) -> bool {
        self.answers_of(part) > 0
    }

    /// Returns the answers of a part at all instances.
    fn answers_of(&self, part: u64) -> u32 {
        let reported = self.counts.iter().filter_map(|counts| {
            let index = counts.answers.binary_search_by_key(&part, |(key, _)| *key);
            Some(counts.answers[index.ok()?].1)
        });
        reported.sum()
    }

    /// Whether a process has reported the answers of a part.
    fn has_answers(&self, process: u64, part: u64) -> bool {
        let found = self
            .counts
            .binary_search_by_key(&process, |known| known.process);
        found.is_ok_and(|index| {
            let answers = &self.counts[index].answers;
            answers.binary_search_by_key(&part, |(key, _)| *key).is_ok()
        })
    }

    fn outcomes_of(&self, service: u64) -> OutcomeCount {
        let all = self.counts.iter().flat_map(|counts| &counts.outcomes);
        let of_service = all.filter(|(key, _)| *key == service);
        of_service.fold(OutcomeCount::default(), |sum, (_, count)| OutcomeCount {
            broken: sum.broken + count.broken,
            answered: sum.answered + count.answered,
        })
    }

    fn asked_ms(&self, part: u64) -> Option<u64> {
        let index = self.suspects.binary_search_by_key(&part, |s| s.part).ok()?;
        Some(self.suspects[index].asked_ms)
    }

    fn expire(&mut self, now_ms: u64) {
        self.breaks
            .retain(|known| now_ms.saturating_sub(known.at_ms) < EVIDENCE_MS);
        self.counts
            .retain(|known| now_ms.saturating_sub(known.at_ms) < EVIDENCE_MS);
    }
}

/// Returns the evidence against a part: the first crash of each runner.
fn suspect_record(breaks: &[&KnownBreak], part: u64, now_ms: u64) -> Option<SuspectRecord> {
    let mut with_part: Vec<&&KnownBreak> = breaks.iter().filter(|b| has_part(b, part)).collect();
    with_part.sort_unstable_by_key(|known| (known.report.runner, known.at_ms));
    with_part.dedup_by_key(|known| known.report.runner);
    let service = with_part.first()?.report.service;
    let crashes = with_part.iter().map(|known| CrashRecord {
        runner: known.report.runner,
        age_ms: now_ms.saturating_sub(known.at_ms),
        ran_ms: known.report.ran_ms,
    });
    Some(SuspectRecord {
        part,
        service,
        crashes: crashes.collect(),
    })
}

fn has_part(known: &KnownBreak, part: u64) -> bool {
    known.report.parts.binary_search(&part).is_ok()
}

/// Counts the broken requests by part. `counts` tells whether those of a process count for a
/// part.
fn crash_counts(breaks: &[&KnownBreak], counts: impl Fn(u64, u64) -> bool) -> Vec<CrashCount> {
    let counts = &counts;
    let broken = breaks.iter().flat_map(|known| {
        let parts = known.report.parts.iter();
        let counted = parts.filter(move |part| counts(known.process, **part));
        counted.map(|part| PartBreak {
            part: *part,
            at_ms: known.at_ms,
            sent_ms: known.at_ms.saturating_sub(known.report.ran_ms),
            runner: known.report.runner,
        })
    });
    let mut broken: Vec<PartBreak> = broken.collect();
    broken.sort_unstable();
    let of_part = broken.chunk_by(|a, b| a.part == b.part);
    let counts = of_part.map(|broken| {
        let mut runners: Vec<u64> = broken.iter().map(|known| known.runner).collect();
        runners.sort_unstable();
        runners.dedup();
        CrashCount {
            part: broken[0].part,
            crashes: runners.len(),
            moments: separate_moments(broken),
            breaks: broken.len(),
        }
    });
    counts.collect()
}

/// Returns how many runners crashed at separate moments, by the broken requests with one part
/// in order of time.
fn separate_moments(broken: &[PartBreak]) -> usize {
    let mut runners: Vec<u64> = Vec::new();
    let mut last_ms = None;
    for known in broken {
        let is_separate = last_ms
            .is_none_or(|last_ms| known.at_ms >= last_ms + MOMENT_MS || known.sent_ms >= last_ms);
        if let (true, Err(index)) = (is_separate, runners.binary_search(&known.runner)) {
            runners.insert(index, known.runner);
            last_ms = Some(known.at_ms);
        }
    }
    runners.len()
}

/// The relative entropy of an observed and an expected fraction, in nats; 0 if the observed
/// one is not higher. Times the number of observations, it bounds the negative logarithm of
/// the probability that chance explains them (Chernoff).
fn relative_entropy(observed: f64, expected: f64) -> f64 {
    if observed <= expected || expected >= 1.0 {
        return 0.0;
    }
    let term = |p: f64, q: f64| if p > 0.0 { p * (p / q).ln() } else { 0.0 };
    term(observed, expected) + term(1.0 - observed, 1.0 - expected)
}
