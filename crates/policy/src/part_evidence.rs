//! What one instance observes about parts of requests and crashes of runners.
//!
//! The parts of a request are the shared parts of its prompt, and the request as a whole.
//!
//! A request whose connection breaks before its first event may have crashed its runner, or
//! may have been one of many at a runner that crashed for another reason. Which of its parts
//! is at fault shows only over many requests, most of which other instances have. Each
//! instance therefore keeps its broken requests, and counts by part the requests that were
//! answered: those whose first event arrived, which a part that crashes runners prevents.
//!
//! Invariants:
//!
//! - The last part of a prompt belongs to one request or session and is not among `parts`.
//!   The request as a whole is.
//! - Memory is bounded whatever parts callers send.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Time for which broken requests count as evidence, in milliseconds. Answers count
/// for a little longer, so that they never weigh less.
pub const EVIDENCE_MS: u64 = 30_000;
/// Time whose answers are counted together, in milliseconds.
const SPAN_MS: u64 = 10_000;
/// Number of such spans that are kept, with the current one.
const SPANS: usize = 4;
/// Set in the keys of whole requests, and in no other key.
const WHOLE_BIT: u64 = 1 << 63;
/// Maximum number of prompt parts of one request that are kept.
pub const MAX_PARTS: usize = 16;
/// Maximum number of broken requests that an instance keeps.
const MAX_BREAKS: usize = 32;
/// Maximum number of parts with counted answers in each span.
const MAX_COUNTED_PARTS: usize = 4096;

/// Returns the key of a request as a whole.
///
/// ```
/// use berylmount_policy::part_evidence::{is_whole, prompt_part_key, whole_request_key};
///
/// assert!(is_whole(whole_request_key(7)));
/// assert!(!is_whole(prompt_part_key(u64::MAX)));
/// ```
pub fn whole_request_key(hash: u64) -> u64 {
    hash | WHOLE_BIT
}

/// Returns the key of a part of a prompt.
pub fn prompt_part_key(hash: u64) -> u64 {
    hash & !WHOLE_BIT
}

/// Whether a key is that of a request as a whole.
pub fn is_whole(key: u64) -> bool {
    key & WHOLE_BIT != 0
}

/// A request whose connection broke before its first event.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BreakReport {
    /// Random number that tells reports of the same request from others.
    pub id: u64,
    /// Key of the service.
    pub service: u64,
    /// Key of the runner and its start.
    pub runner: u64,
    /// Time since the connection broke, in milliseconds.
    pub age_ms: u64,
    /// Time from sending the request until then, in milliseconds.
    pub ran_ms: u64,
    /// Keys of the parts, sorted.
    pub parts: Vec<u64>,
}

/// Requests of a service that ended.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OutcomeCount {
    /// Requests whose connection broke before their first event.
    pub broken: u32,
    /// Requests that got an answer.
    pub answered: u32,
}

/// The evidence of one instance.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvidenceReport {
    /// Requests that broke.
    pub breaks: Vec<BreakReport>,
    /// Answers of the parts that were asked for, sorted by part.
    pub answers: Vec<(u64, u32)>,
    /// Outcomes by service, sorted.
    pub outcomes: Vec<(u64, OutcomeCount)>,
}

/// Counts of one span, sorted by key.
#[derive(Clone, Debug, Default)]
struct SpanCounts {
    since_ms: u64,
    answers: Vec<(u64, u32)>,
    outcomes: Vec<(u64, OutcomeCount)>,
}

#[derive(Clone, Debug)]
struct BrokenRequest {
    report: BreakReport,
    at_ms: u64,
}

/// The evidence that one instance has collected.
#[derive(Clone, Debug, Default)]
pub struct PartEvidence {
    breaks: VecDeque<BrokenRequest>,
    /// The current span and earlier ones.
    spans: VecDeque<SpanCounts>,
}

impl PartEvidence {
    /// Counts an answer to a request.
    pub fn note_answer(&mut self, service: u64, parts: &[u64], now_ms: u64) {
        let span = self.current_span(now_ms);
        count(&mut span.outcomes, service, |n| n.answered += 1);
        for part in parts {
            count(&mut span.answers, *part, |n| *n += 1);
        }
    }

    /// Records a request whose connection broke before its first event; `report.age_ms` is
    /// ignored.
    ///
    /// ```
    /// use berylmount_policy::part_evidence::{BreakReport, PartEvidence};
    ///
    /// let mut evidence = PartEvidence::default();
    /// evidence.note_answer(1, &[7, 8], 1000);
    /// let broken = BreakReport { id: 5, service: 1, runner: 3, age_ms: 0, ran_ms: 9, parts: vec![7, 9] };
    /// evidence.note_break(broken, 1200);
    /// let report = evidence.report(&[7, 9], 1500);
    /// assert_eq!((report.breaks[0].age_ms, report.answers), (300, vec![(7, 1), (9, 0)]));
    /// ```
    pub fn note_break(&mut self, report: BreakReport, now_ms: u64) {
        let span = self.current_span(now_ms);
        count(&mut span.outcomes, report.service, |n| n.broken += 1);
        if self.breaks.len() >= MAX_BREAKS {
            self.breaks.pop_front();
        }
        let at_ms = now_ms;
        self.breaks.push_back(BrokenRequest { report, at_ms });
    }

    /// Returns how many of the broken requests that are kept have a part.
    ///
    /// ```
    /// use berylmount_policy::part_evidence::{BreakReport, PartEvidence};
    ///
    /// let mut evidence = PartEvidence::default();
    /// let parts = vec![7, 9];
    /// let broken = BreakReport { id: 5, service: 1, runner: 3, age_ms: 0, ran_ms: 2, parts };
    /// evidence.note_break(broken, 1200);
    /// assert_eq!((evidence.breaks_of(9), evidence.breaks_of(8)), (1, 0));
    /// ```
    pub fn breaks_of(&self, part: u64) -> usize {
        let breaks = self.breaks.iter();
        let with_part = breaks.filter(|broken| broken.report.parts.binary_search(&part).is_ok());
        with_part.count()
    }

    /// Whether any request broke recently.
    pub fn has_breaks(&mut self, now_ms: u64) -> bool {
        self.expire(now_ms);
        !self.breaks.is_empty()
    }

    /// Returns the evidence, with the answers of the parts in `asked`.
    pub fn report(&mut self, asked: &[u64], now_ms: u64) -> EvidenceReport {
        self.expire(now_ms);
        let breaks = self.breaks.iter().map(|broken| BreakReport {
            age_ms: now_ms.saturating_sub(broken.at_ms),
            ..broken.report.clone()
        });
        let answers = asked.iter().map(|part| {
            let spans = self.spans.iter();
            let counts = spans.filter_map(|span| value_of(&span.answers, *part));
            (*part, counts.sum())
        });
        let mut answers: Vec<(u64, u32)> = answers.collect();
        answers.sort_unstable();
        let mut outcomes = Vec::new();
        for (service, of_span) in self.spans.iter().flat_map(|span| &span.outcomes) {
            count(&mut outcomes, *service, |total: &mut OutcomeCount| {
                total.broken += of_span.broken;
                total.answered += of_span.answered;
            });
        }
        EvidenceReport {
            breaks: breaks.collect(),
            answers,
            outcomes,
        }
    }

    /// Returns the counts of the current span.
    fn current_span(&mut self, now_ms: u64) -> &mut SpanCounts {
        self.expire(now_ms);
        let is_current = |span: &SpanCounts| {
            let is_recent = now_ms.saturating_sub(span.since_ms) < SPAN_MS;
            is_recent && span.answers.len() < MAX_COUNTED_PARTS
        };
        if !self.spans.front().is_some_and(is_current) {
            self.spans.push_front(SpanCounts {
                since_ms: now_ms,
                ..SpanCounts::default()
            });
            self.spans.truncate(SPANS);
        }
        &mut self.spans[0]
    }

    /// Drops what is too old.
    fn expire(&mut self, now_ms: u64) {
        let is_old = |broken: &BrokenRequest| now_ms.saturating_sub(broken.at_ms) >= EVIDENCE_MS;
        while self.breaks.front().is_some_and(is_old) {
            self.breaks.pop_front();
        }
        let kept_ms = EVIDENCE_MS + SPAN_MS;
        self.spans
            .retain(|span| now_ms.saturating_sub(span.since_ms) < kept_ms);
    }
}

/// Updates the count of a key in a list that is sorted by key.
fn count<T: Default>(counts: &mut Vec<(u64, T)>, key: u64, update: impl FnOnce(&mut T)) {
    let index = match counts.binary_search_by_key(&key, |(known, _)| *known) {
        Ok(index) => index,
        Err(index) => {
            counts.insert(index, (key, T::default()));
            index
        }
    };
    update(&mut counts[index].1);
}

fn value_of(counts: &[(u64, u32)], key: u64) -> Option<u32> {
    let index = counts.binary_search_by_key(&key, |(known, _)| *known);
    Some(counts[index.ok()?].1)
}
