//! State of one runner in a balancer: its requests in flight, its slowness, and the load
//! that other processes put on it.

use crate::queue::{WorkTicket, LONG_PREFILL_MS};
use berylmount_model::WorkClass;
use std::collections::VecDeque;

/// Added to the observed and the expected time of a ratio to dampen noise, in
/// milliseconds.
const DAMPING_MS: f64 = 10.0;
/// Weight of an observation that is slower than the current slowness.
const SLOWER_WEIGHT: f64 = 0.5;
/// Weight of an observation that is faster than the current slowness.
const FASTER_WEIGHT: f64 = 0.25;
/// Weight of the observation of a probe.
const PROBE_WEIGHT: f64 = 0.7;
/// Longest delay that a lower class causes a higher one on a runner, in milliseconds:
/// the prefill time of one piece.
const MAX_LOWER_CLASS_MS: f64 = 100.0;
/// Time for which interactive requests leave a due probe to other classes, in
/// milliseconds.
const INTERACTIVE_PROBE_DELAY_MS: u64 = 4_000;
/// Largest number of ended requests that are kept to interpret late reports.
const MAX_ENDED: usize = 256;
/// Age at which a report expires, in milliseconds.
const REPORT_LIFE_MS: u64 = 10_000;

/// A request that was sent to a runner.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentWork {
    pub(crate) ticket: WorkTicket,
    pub(crate) class: WorkClass,
    pub(crate) prompt_tokens: u32,
    /// Prefill time on a healthy runner, in milliseconds.
    pub(crate) prefill_ms: f64,
    /// Expected time to first token on a healthy runner, in milliseconds.
    pub(crate) healthy_ms: f64,
    pub(crate) sent_ms: u64,
    /// When the first token arrived.
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

    /// Ratio of the observed to the expected time to first token, up to now if the token
    /// hasn't arrived.
    pub(crate) fn ratio(&self, now_ms: u64) -> f64 {
        let seen = self.first_ms.unwrap_or(now_ms).saturating_sub(self.sent_ms);
        (seen as f64 + DAMPING_MS) / (self.healthy_ms + DAMPING_MS)
    }
}

/// The state of one runner.
#[derive(Clone, Debug)]
pub(crate) struct RunnerState {
    /// Whether the runner belongs to the balancer. If not, its id is free.
    pub(crate) joined: bool,
    pub(crate) leaving: bool,
    pub(crate) in_flight: Vec<SentWork>,
    /// Recently ended requests with their end times, oldest first.
    pub(crate) ended: VecDeque<(SentWork, u64)>,
    /// When the prefill at the head of the queue started, as far as known.
    pub(crate) head_since_ms: u64,
    /// Smoothed ratio of the observed to the expected time to first token.
    pub(crate) slowness: f64,
    /// Earliest time of the next probe.
    pub(crate) next_probe_ms: u64,
    /// Pending prefill of other processes' requests by the last report, in milliseconds.
    pub(crate) foreign_ms: f64,
    /// Running requests of other processes by the last report.
    pub(crate) foreign_running: u32,
    /// When the last report was made.
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

    /// The slowness. An overdue request counts as if its first token arrived now.
    pub(crate) fn slowness(&self, now_ms: u64) -> f64 {
        let waiting = self
            .in_flight
            .iter()
            .filter(|work| work.awaits_first_token());
        let overdue = waiting.map(|work| work.ratio(now_ms)).fold(0.0, f64::max);
        self.slowness.max(overdue)
    }

    /// Prefill time queued ahead of a new request of `class`, at a healthy runner's rate,
    /// in milliseconds.
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
        let own = (same - done).max(0.0) + f64::min(lower, MAX_LOWER_CLASS_MS);
        own + self.foreign_ms(slowness, now_ms)
    }

    /// Keeps an ended request for as long as a report may still include it.
    pub(crate) fn note_ended(&mut self, work: SentWork, now_ms: u64) {
        self.ended.push_back((work, now_ms));
        let is_expired = |&(_, ended): &(SentWork, u64)| ended + REPORT_LIFE_MS < now_ms;
        while self.ended.len() > MAX_ENDED || self.ended.front().is_some_and(is_expired) {
            self.ended.pop_front();
        }
    }

    /// Number of this process's requests on the runner at `at_ms`, and their prompt tokens
    /// that were waiting for prefill.
    pub(crate) fn own_at(&self, at_ms: u64) -> (u32, u64) {
        let ended = self.ended.iter().filter(|(_, ended)| *ended > at_ms);
        let requests = self.in_flight.iter().chain(ended.map(|(work, _)| work));
        let sent = requests.filter(|work| work.sent_ms <= at_ms);
        sent.fold((0, 0), |(count, tokens), work| {
            let waited = work.first_ms.is_none_or(|first| first > at_ms);
            let more = if waited { work.prompt_tokens } else { 0 };
            (count + 1, tokens + u64::from(more))
        })
    }

    /// Prefill time that counts against the room (`RunnerSettings::room_ms`) for a new
    /// request of `class`, in milliseconds.
    ///
    /// Interactive and standard requests share the room, whatever their priority in the
    /// engine. Otherwise a stream of higher-class requests would starve lower-class
    /// requests that were sent earlier. For critical requests, only critical ones count.
    pub(crate) fn load_ms(&self, class: WorkClass, slowness: f64, now_ms: u64) -> f64 {
        let shared = match class {
            WorkClass::Critical | WorkClass::Bulk => class,
            WorkClass::Interactive | WorkClass::Standard => WorkClass::Standard,
        };
        self.ahead_ms(shared, slowness, now_ms)
    }

    /// Pending prefill time of other processes' requests, by the last report if it hasn't
    /// expired, in milliseconds.
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

    /// Whether a request of `class` may probe this runner now.
    ///
    /// Interactive requests probe only if no other class has done so for a while.
    pub(crate) fn may_probe(&self, class: WorkClass, now_ms: u64) -> bool {
        let from_ms = match class {
            WorkClass::Critical => return false,
            WorkClass::Interactive => self.next_probe_ms + INTERACTIVE_PROBE_DELAY_MS,
            WorkClass::Standard | WorkClass::Bulk => self.next_probe_ms,
        };
        now_ms >= from_ms && !self.in_flight.iter().any(SentWork::awaits_first_token)
    }

    /// Updates the slowness with an observed `ratio`, weighted by `confidence`.
    pub(crate) fn observe_ratio(&mut self, ratio: f64, probe: bool, confidence: f64) {
        let weight = match (probe, ratio > self.slowness) {
            (true, _) => PROBE_WEIGHT,
            (false, true) => SLOWER_WEIGHT,
            (false, false) => FASTER_WEIGHT,
        };
        self.slowness =
            (self.slowness + confidence * weight * (ratio - self.slowness)).clamp(0.5, 50.0);
    }
}
