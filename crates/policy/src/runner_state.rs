//! What a board knows of one runner: the work sent to it, its slowness and what
//! others had waiting.

use crate::queue::{WorkTicket, LONG_PREFILL_MS};
use berylmount_model::WorkClass;
use std::collections::VecDeque;

/// Added to both sides of an observed ratio, in milliseconds, against noise.
const GRACE_MS: f64 = 10.0;
/// Part of a new observation that counts if it is slower than before.
const SLOWER_PART: f64 = 0.5;
/// Part of a new observation that counts if it is faster than before.
const FASTER_PART: f64 = 0.25;
/// Part of a probe's observation that counts.
const PROBE_PART: f64 = 0.7;
/// Prefill time that a lower class delays a higher one on a runner: one piece.
const LOWER_CLASS_MS: f64 = 100.0;
/// Time that interactive work leaves a probe to other classes, in milliseconds.
const INTERACTIVE_PROBE_MS: u64 = 4_000;
/// Ended work that is remembered for late reports.
const MOST_ENDED: usize = 256;
/// Age from which a report says nothing, in milliseconds.
const REPORT_LIFE_MS: u64 = 10_000;

/// One request sent to a runner.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentWork {
    pub(crate) ticket: WorkTicket,
    pub(crate) class: WorkClass,
    pub(crate) prompt_tokens: u32,
    pub(crate) prefill_ms: f64,
    pub(crate) healthy_ms: f64,
    pub(crate) sent_ms: u64,
    pub(crate) first_ms: Option<u64>,
    pub(crate) probe: bool,
}

impl SentWork {
    pub(crate) fn awaits_first_token(&self) -> bool {
        self.first_ms.is_none()
    }

    pub(crate) fn is_long(&self) -> bool {
        self.awaits_first_token() && self.prefill_ms >= LONG_PREFILL_MS
    }

    /// Observed over expected time to the first token, so far.
    pub(crate) fn ratio(&self, now_ms: u64) -> f64 {
        let seen = self.first_ms.unwrap_or(now_ms).saturating_sub(self.sent_ms);
        (seen as f64 + GRACE_MS) / (self.healthy_ms + GRACE_MS)
    }
}

/// One runner.
#[derive(Clone, Debug)]
pub(crate) struct RunnerState {
    pub(crate) joined: bool,
    pub(crate) leaving: bool,
    pub(crate) in_flight: Vec<SentWork>,
    /// Work that ended lately, with the time, oldest first.
    pub(crate) ended: VecDeque<(SentWork, u64)>,
    /// When the prefill at the head began, as far as known.
    pub(crate) head_since_ms: u64,
    pub(crate) slowness: f64,
    pub(crate) next_probe_ms: u64,
    pub(crate) foreign_ms: f64,
    pub(crate) foreign_running: u32,
    pub(crate) report_ms: u64,
}

impl RunnerState {
    pub(crate) fn new() -> Self {
        Self {
            joined: true,
            leaving: false,
            in_flight: Vec::new(),
            ended: VecDeque::new(),
            head_since_ms: 0,
            slowness: 1.0,
            next_probe_ms: 0,
            foreign_ms: 0.0,
            foreign_running: 0,
            report_ms: 0,
        }
    }

    pub(crate) fn is_live(&self) -> bool {
        self.joined && !self.leaving
    }

    /// Slowness with overdue work counted as observed.
    pub(crate) fn slowness(&self, now_ms: u64) -> f64 {
        let waiting = self
            .in_flight
            .iter()
            .filter(|work| work.awaits_first_token());
        let overdue = waiting.map(|work| work.ratio(now_ms)).fold(0.0, f64::max);
        self.slowness.max(overdue)
    }

    /// Prefill time ahead of new work of `class`, on a healthy runner.
    pub(crate) fn ahead_ms(&self, class: WorkClass, slowness: f64, now_ms: u64) -> f64 {
        let waiting = self
            .in_flight
            .iter()
            .filter(|work| work.awaits_first_token());
        let (mut same, mut lower) = (0.0, 0.0);
        for work in waiting {
            if work.class <= class {
                same += work.prefill_ms;
            } else {
                lower += work.prefill_ms;
            }
        }
        let done = now_ms.saturating_sub(self.head_since_ms) as f64 / slowness;
        let own = (same - done).max(0.0) + f64::min(lower, LOWER_CLASS_MS);
        own + self.foreign_ms(slowness, now_ms)
    }

    /// Remembers ended work for as long as a report may still count it.
    pub(crate) fn note_ended(&mut self, work: SentWork, now_ms: u64) {
        self.ended.push_back((work, now_ms));
        let old = |&(_, ended): &(SentWork, u64)| ended + REPORT_LIFE_MS < now_ms;
        while self.ended.len() > MOST_ENDED || self.ended.front().is_some_and(old) {
            self.ended.pop_front();
        }
    }

    /// Own requests on the runner at `at_ms`, and their tokens before prefill.
    pub(crate) fn own_at(&self, at_ms: u64) -> (u32, u64) {
        let over = self.ended.iter().filter(|(_, ended)| *ended > at_ms);
        let works = self.in_flight.iter().chain(over.map(|(work, _)| work));
        let sent = works.filter(|work| work.sent_ms <= at_ms);
        sent.fold((0, 0), |(count, tokens), work| {
            let waited = work.first_ms.is_none_or(|first| first > at_ms);
            let more = if waited { work.prompt_tokens } else { 0 };
            (count + 1, tokens + u64::from(more))
        })
    }

    /// Prefill time that counts against the room for new work of `class`.
    ///
    /// Short work of every class shares the room, whatever its priority in the
    /// engine, or else a stream of higher work would hold back lower work that
    /// was sent before; only critical work counts nothing but its own.
    pub(crate) fn load_ms(&self, class: WorkClass, slowness: f64, now_ms: u64) -> f64 {
        let shared = match class {
            WorkClass::Critical | WorkClass::Bulk => class,
            WorkClass::Interactive | WorkClass::Standard => WorkClass::Standard,
        };
        self.ahead_ms(shared, slowness, now_ms)
    }

    /// Prefill time of others' work, as far as the last report still tells.
    pub(crate) fn foreign_ms(&self, slowness: f64, now_ms: u64) -> f64 {
        let age = now_ms.saturating_sub(self.report_ms);
        if age > REPORT_LIFE_MS {
            return 0.0;
        }
        (self.foreign_ms - age as f64 / slowness).max(0.0)
    }

    pub(crate) fn running(&self) -> u32 {
        self.in_flight.len() as u32 + self.foreign_running
    }

    pub(crate) fn has_long(&self) -> bool {
        self.in_flight.iter().any(SentWork::is_long)
    }

    /// Whether work of `class` may probe it now.
    ///
    /// Work that a person waits for probes only if no other did for a while.
    pub(crate) fn may_probe(&self, class: WorkClass, now_ms: u64) -> bool {
        let from_ms = match class {
            WorkClass::Critical => return false,
            WorkClass::Interactive => self.next_probe_ms + INTERACTIVE_PROBE_MS,
            WorkClass::Standard | WorkClass::Bulk => self.next_probe_ms,
        };
        now_ms >= from_ms && !self.in_flight.iter().any(SentWork::awaits_first_token)
    }

    /// Takes in an observed `ratio` that counts for the part `trust`.
    pub(crate) fn observe_ratio(&mut self, ratio: f64, probe: bool, trust: f64) {
        let part = match (probe, ratio > self.slowness) {
            (true, _) => PROBE_PART,
            (false, true) => SLOWER_PART,
            (false, false) => FASTER_PART,
        };
        self.slowness = (self.slowness + trust * part * (ratio - self.slowness)).clamp(0.5, 50.0);
    }
}
