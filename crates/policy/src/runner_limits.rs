//! Request limits that runners name in their responses, shared by all instances.
//!
//! A runner in need names the requests per second that it accepts from all instances
//! together, and withdraws the limit by a response without one. A limit may be far below
//! one request per instance, so instances cannot divide it among themselves. Instead, one
//! instance coordinates each limited runner: every request to the runner needs a permit
//! from it, which it issues from one token bucket. Different runners have different
//! coordinators.
//!
//! Invariants:
//!
//! - Statements of a runner are ordered by time, because its responses may overtake each
//!   other. A stricter limit counts from when its response arrived, any other statement
//!   only from when the request was sent, so that the limit in force is not exceeded.
//! - A bucket starts with one permit, so a new coordinator adds no burst to that of the
//!   previous one.

use crate::{
    admission::ArrivalRate,
    buckets::{BucketConfig, TokenBucket},
};
use rand::{seq::IteratorRandom, Rng, RngExt};
use serde::{Deserialize, Serialize};
use std::ops::Range;

/// Time after which a limit that no response has repeated is forgotten, in
/// milliseconds. It only bounds the table, because runners come and go.
const FORGET_MS: u64 = 3_600_000;
/// Time after which the withdrawal of a limit is forgotten, in milliseconds. By then all
/// live instances have learned of it.
const FORGET_WITHDRAWN_MS: u64 = 30_000;
/// Rate at which requests are sent to a runner whose limit is lower, in requests per
/// second. Only a response can show that the limit has been raised or withdrawn.
const MIN_RATE_PER_S: f64 = 0.2;
/// Time whose unused permits may be issued at once, in seconds, in addition to one.
const BURST_S: f64 = 0.25;
/// Permit requests per permit that the delays of denied instances aim at. More of them
/// use a limit more fully, and cost more messages.
const REQUESTS_PER_PERMIT: f64 = 8.0;
/// Longest delay of an instance that was denied a permit, in milliseconds.
const MAX_DELAY_MS: f64 = 5000.0;
/// Random factor on that delay, so that denied instances do not ask again together.
const DELAY_JITTER: Range<f64> = 1.0..1.5;
/// Maximum number of permit requests of one instance that are open for a runner.
const MAX_OPEN_REQUESTS: u32 = 16;
/// Time for which a changed limit is in each message to other instances, in milliseconds.
const RECENT_MS: u64 = 5000;
/// Maximum number of recently changed limits in a message to other instances.
const MAX_RECENT_REPORTS: usize = 64;
/// Number of other limits in a message to other instances, drawn at random. New instances
/// learn of all limits by them, because many instances send such messages.
const OTHER_REPORTS: usize = 8;
/// Minimum lead of another instance's statement over an equal one, in milliseconds. Below
/// it, the difference may be the latency of messages between instances.
const MIN_LEAD_MS: u64 = 500;

/// Fraction of a limit that the standby issues while some instances cannot reach the
/// coordinator. The coordinator may still issue the whole limit to others; together they
/// stay well below one and a half times the limit.
pub const STANDBY_SHARE: f64 = 0.3;

/// The latest statement of a runner, for other instances.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitReport {
    /// Key of the runner and its start.
    pub runner: u64,
    /// Requests per second; `None` if the limit was withdrawn.
    pub per_s: Option<f64>,
    /// Time since the statement, in milliseconds.
    pub age_ms: u64,
}

/// Whether a request may be sent to a limited runner.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PermitDecision {
    /// One request may be sent now.
    Granted,
    /// No request may be sent; ask again after this many milliseconds.
    Denied(u64),
}

/// What is known about the limit of one runner.
#[derive(Clone, Debug)]
struct LimitEntry {
    runner: u64,
    /// Requests per second; `None` if the limit was withdrawn.
    per_s: Option<f64>,
    /// Time from which the statement counts.
    at_ms: u64,
    /// When the limit changed, as far as this instance knows.
    changed_ms: u64,
    /// Permits that this instance may issue as the coordinator.
    bucket: TokenBucket,
    /// Permit requests that this instance gets as the coordinator.
    requests: ArrivalRate,
    /// Until when this instance requests no permit.
    delayed_until_ms: u64,
    /// Open permit requests of this instance.
    open_requests: u32,
}

/// The request limits of all runners, as far as this instance knows.
#[derive(Clone, Debug, Default)]
pub struct RunnerLimits {
    /// Sorted by runner. Runners that never named a limit have no entry.
    entries: Vec<LimitEntry>,
}

impl RunnerLimits {
    /// Records the limit in the response to a request that was sent at `sent_ms`, or that
    /// it named none. Returns whether the limit changed.
    ///
    /// ```
    /// use berylmount_policy::runner_limits::RunnerLimits;
    ///
    /// let mut limits = RunnerLimits::default();
    /// assert!(limits.note(7, Some(2.8), 900, 1000));
    /// assert_eq!(limits.limit_of(7), Some(2.8));
    /// // This response may have been made before the limit was named.
    /// assert!(!limits.note(7, None, 950, 1200));
    /// assert!(limits.note(7, None, 1100, 1300));
    /// assert_eq!(limits.limit_of(7), None);
    /// ```
    pub fn note(&mut self, runner: u64, per_s: Option<f64>, sent_ms: u64, now_ms: u64) -> bool {
        let known = self.find(runner).ok();
        let known = known.and_then(|index| self.entries[index].per_s);
        let is_stricter = match (known, per_s) {
            (Some(known), Some(per_s)) => per_s < known,
            (None, Some(_)) => true,
            (_, None) => false,
        };
        let at_ms = if is_stricter { now_ms } else { sent_ms };
        self.apply(runner, per_s, at_ms, now_ms)
    }

    /// Applies what another instance knows. Returns whether the limit changed.
    ///
    /// ```
    /// use berylmount_policy::runner_limits::{LimitReport, RunnerLimits};
    ///
    /// let mut limits = RunnerLimits::default();
    /// let report = LimitReport { runner: 7, per_s: Some(2.8), age_ms: 100 };
    /// assert!(limits.merge(&report, 1000));
    /// assert_eq!(limits.limit_of(7), Some(2.8));
    /// let earlier = LimitReport { per_s: None, age_ms: 200, ..report };
    /// assert!(!limits.merge(&earlier, 1000));
    /// ```
    pub fn merge(&mut self, report: &LimitReport, now_ms: u64) -> bool {
        let at_ms = now_ms.saturating_sub(report.age_ms);
        if let Ok(index) = self.find(report.runner) {
            let known = &self.entries[index];
            if known.per_s == report.per_s && at_ms < known.at_ms + MIN_LEAD_MS {
                return false;
            }
        }
        self.apply(report.runner, report.per_s, at_ms, now_ms)
    }

    /// Returns what this instance tells the others: the limits that changed recently, and
    /// some others.
    pub fn reports(&mut self, now_ms: u64, rng: &mut impl Rng) -> Vec<LimitReport> {
        self.forget(now_ms);
        let (recent, others): (Vec<&LimitEntry>, Vec<&LimitEntry>) = self
            .entries
            .iter()
            .partition(|entry| now_ms.saturating_sub(entry.changed_ms) < RECENT_MS);
        let mut chosen = recent.into_iter().sample(rng, MAX_RECENT_REPORTS);
        chosen.extend(others.into_iter().sample(rng, OTHER_REPORTS));
        let reports = chosen.into_iter().map(|entry| entry.report(now_ms));
        reports.collect()
    }

    /// Returns what is known about one runner; `None` if it never named a limit.
    pub fn report_of(&self, runner: u64, now_ms: u64) -> Option<LimitReport> {
        let index = self.find(runner).ok()?;
        Some(self.entries[index].report(now_ms))
    }

    /// Returns the limit of a runner in requests per second.
    pub fn limit_of(&self, runner: u64) -> Option<f64> {
        let index = self.find(runner).ok()?;
        self.entries[index].per_s
    }

    /// Returns the number of runners with a limit.
    pub fn limited_count(&self) -> usize {
        let limited = self.entries.iter().filter(|entry| entry.per_s.is_some());
        limited.count()
    }

    /// Decides as the coordinator of a runner whether a request may be sent to it.
    ///
    /// `share` is the fraction of the known instances that this instance can reach. After
    /// a network partition each side has its own coordinator, and their shares add up to
    /// at most one. It is multiplied by [`STANDBY_SHARE`] if this instance stands in for
    /// the coordinator.
    ///
    /// ```
    /// use berylmount_policy::runner_limits::{PermitDecision, RunnerLimits};
    ///
    /// let mut limits = RunnerLimits::default();
    /// limits.note(7, Some(2.0), 0, 0);
    /// assert_eq!(limits.issue(7, 1.0, 0), PermitDecision::Granted);
    /// assert!(matches!(limits.issue(7, 1.0, 0), PermitDecision::Denied(ms) if ms >= 500));
    /// ```
    pub fn issue(&mut self, runner: u64, share: f64, now_ms: u64) -> PermitDecision {
        let Ok(index) = self.find(runner) else {
            return PermitDecision::Granted;
        };
        let entry = &mut self.entries[index];
        let Some(per_s) = entry.per_s else {
            return PermitDecision::Granted;
        };
        let rate_per_s = (per_s * share).max(MIN_RATE_PER_S);
        let config = BucketConfig {
            rate_per_s,
            size: 1.0 + rate_per_s * BURST_S,
        };
        entry.requests.note(now_ms);
        entry.bucket.fill(config, now_ms);
        if entry.bucket.tokens >= 1.0 {
            entry.bucket.tokens -= 1.0;
            return PermitDecision::Granted;
        }
        let wait_ms = entry.bucket.wait_ms(config) as f64;
        // The delay grows with the requests, which bounds their rate for any number of
        // instances.
        let crowd = entry.requests.per_s(now_ms) / (REQUESTS_PER_PERMIT * rate_per_s);
        let delay_ms = wait_ms + 1000.0 * crowd / rate_per_s;
        PermitDecision::Denied(delay_ms.min(MAX_DELAY_MS) as u64)
    }

    /// Returns for how long this instance requests no permit for a runner, in
    /// milliseconds; `None` if it may request one now, or needs none.
    ///
    /// ```
    /// use berylmount_policy::runner_limits::{PermitDecision, RunnerLimits};
    ///
    /// let mut limits = RunnerLimits::default();
    /// limits.note(7, Some(2.0), 0, 0);
    /// limits.begin_request(7);
    /// limits.end_request(7, Some(PermitDecision::Denied(400)), 1000, &mut rand::rng());
    /// assert!(limits.delay_ms(7, 1100).is_some_and(|ms| ms >= 300));
    /// assert_eq!(limits.delay_ms(7, 1600), None);
    /// ```
    pub fn delay_ms(&self, runner: u64, now_ms: u64) -> Option<u64> {
        let entry = &self.entries[self.find(runner).ok()?];
        entry.per_s?;
        if now_ms < entry.delayed_until_ms {
            return Some(entry.delayed_until_ms - now_ms);
        }
        (entry.open_requests >= MAX_OPEN_REQUESTS).then_some(0)
    }

    /// Records that this instance requests a permit.
    pub fn begin_request(&mut self, runner: u64) {
        if let Ok(index) = self.find(runner) {
            self.entries[index].open_requests += 1;
        }
    }

    /// Records the end of a permit request, with the coordinator's decision if there was
    /// one.
    pub fn end_request(
        &mut self,
        runner: u64,
        decision: Option<PermitDecision>,
        now_ms: u64,
        rng: &mut impl Rng,
    ) {
        let Ok(index) = self.find(runner) else {
            return;
        };
        let entry = &mut self.entries[index];
        entry.open_requests = entry.open_requests.saturating_sub(1);
        if let Some(PermitDecision::Denied(delay_ms)) = decision {
            let delay_ms = delay_ms as f64 * rng.random_range(DELAY_JITTER);
            let until_ms = now_ms + delay_ms as u64;
            entry.delayed_until_ms = entry.delayed_until_ms.max(until_ms);
        }
    }

    /// Applies a statement unless a later one is known. Returns whether the limit changed.
    fn apply(&mut self, runner: u64, per_s: Option<f64>, at_ms: u64, now_ms: u64) -> bool {
        let Ok(index) = self.find(runner) else {
            let is_limit = per_s.is_some();
            if is_limit {
                self.insert(runner, per_s, at_ms, now_ms);
            }
            return is_limit;
        };
        let entry = &mut self.entries[index];
        if at_ms < entry.at_ms {
            return false;
        }
        entry.at_ms = at_ms;
        if entry.per_s == per_s {
            return false;
        }
        entry.per_s = per_s;
        entry.changed_ms = now_ms;
        entry.delayed_until_ms = 0;
        true
    }

    fn insert(&mut self, runner: u64, per_s: Option<f64>, at_ms: u64, now_ms: u64) {
        let entry = LimitEntry {
            runner,
            per_s,
            at_ms,
            changed_ms: now_ms,
            bucket: TokenBucket {
                tokens: 1.0,
                filled_ms: now_ms,
            },
            requests: ArrivalRate::default(),
            delayed_until_ms: 0,
            open_requests: 0,
        };
        let index = self.find(runner).unwrap_or_else(|index| index);
        self.entries.insert(index, entry);
    }

    /// Forgets limits that nothing has confirmed for long.
    fn forget(&mut self, now_ms: u64) {
        self.entries.retain(|entry| {
            let lifetime_ms = match entry.per_s {
                Some(_) => FORGET_MS,
                None => FORGET_WITHDRAWN_MS,
            };
            now_ms.saturating_sub(entry.at_ms) < lifetime_ms
        });
    }

    fn find(&self, runner: u64) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&runner, |entry| entry.runner)
    }
}

impl LimitEntry {
    fn report(&self, now_ms: u64) -> LimitReport {
        LimitReport {
            runner: self.runner,
            per_s: self.per_s,
            age_ms: now_ms.saturating_sub(self.at_ms),
        }
    }
}
