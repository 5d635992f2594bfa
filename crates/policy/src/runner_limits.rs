//! Request limits of runners, shared by all instances.
//!
//! A runner in need names the requests per second that it accepts from all instances
//! together, and withdraws the limit by a response without one. A runner that has just
//! started is cold: for some seconds it bears only so many requests in any second, and all
//! instances see an idle runner at the same moment. A limit may be far below
//! one request per instance, so instances cannot divide it among themselves. Instead, one
//! instance coordinates each limited runner: every request to the runner needs a permit
//! from it. Permits under a named limit come from a token bucket, and those for a cold runner
//! are spaced evenly. Different runners have different coordinators.
//!
//! Invariants:
//!
//! - A permit for a cold runner lapses, so that the requests of two windows do not arrive in
//!   one. The standby issues none, because the coordinator may issue all of them meanwhile.
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

/// Length of the window in which the requests to a cold runner are bounded, in milliseconds.
const COLD_WINDOW_MS: f64 = 1000.0;
/// Time after which a permit for a cold runner lapses, in milliseconds.
pub const COLD_PERMIT_MS: u64 = 40;
/// Time that a request takes from the instance to the runner, in milliseconds.
const COLD_TRANSIT_MS: f64 = 10.0;
/// Longest time in which the permits were issued whose requests arrive in one window, in
/// milliseconds.
const FULL_SPREAD_MS: f64 = COLD_WINDOW_MS + COLD_PERMIT_MS as f64 + COLD_TRANSIT_MS;
/// Longest delay of an instance whose coordinator has no share to issue, in milliseconds.
const MAX_UNSHARED_DELAY_MS: u64 = 500;
/// Growth of the time between permits from which a coordinator counts as new.
const MAX_SPACING_GROWTH: f64 = 1.15;
/// Permits of a window that are not issued while two instances may issue them.
const SHARED_RESERVE: f64 = 3.0;
/// Longest time by which a permit for a cold runner is issued in advance, in milliseconds. The
/// requests that wait for it keep the bound used; the reply is due within 150 ms.
pub const MAX_COLD_HOLD_MS: u64 = 100;

/// That a runner is cold, for the instance that issues its permits.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ColdReport {
    /// Key of the runner and its start.
    pub runner: u64,
    /// Requests that it bears in any second from all instances together.
    pub per_window: f64,
    /// For how much longer it is cold, in milliseconds.
    pub left_ms: u64,
}

/// Whether and when a request may be sent to a cold runner.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ColdDecision {
    /// One request may be sent this many milliseconds after the decision, and for
    /// [`COLD_PERMIT_MS`] from then on.
    Granted(u64),
    /// No request may be sent; ask again after this many milliseconds.
    Denied(u64),
}

/// What a coordinator knows of the other instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetView {
    /// Fraction of the known instances that it reaches, as for [`RunnerLimits::issue`].
    pub share: f64,
    /// Time since another instance was or may have been the coordinator, in milliseconds, until
    /// all others know of the change. Meanwhile two instances may take themselves for it.
    pub unsettled_ms: Option<u64>,
}

/// The bound of a cold runner.
#[derive(Clone, Copy, Debug)]
struct ColdLimit {
    per_window: f64,
    until_ms: u64,
    /// From when the next permit of this instance as the coordinator counts.
    free_ms: f64,
    /// Time between its last two permits, in milliseconds.
    spacing_ms: f64,
}

impl ColdLimit {
    /// Returns the time between two permits of this instance, in milliseconds; `None` if it
    /// issues none.
    ///
    /// A permit is used up to its lifetime and a transit after its time, so the requests of a
    /// longer time than the window arrive in one. Permits are never saved up. While a network
    /// partition lasts or the instances do not agree on the coordinator, two of them share the
    /// permits, and each rounds up.
    fn next_spacing_ms(&self, view: FleetView) -> Option<f64> {
        let bound = self.per_window.floor();
        let usable = match (view.unsettled_ms, view.share >= 1.0) {
            (None, true) => bound,
            (None, false) => (bound - SHARED_RESERVE) * view.share,
            (Some(_), _) => (bound - SHARED_RESERVE) * view.share / 2.0,
        };
        (usable > 0.0).then(|| FULL_SPREAD_MS / usable)
    }
}

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
    /// Whether the runner has ever named a limit.
    is_named: bool,
    /// The bound while it is cold; may be over.
    cold: Option<ColdLimit>,
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
    /// Sorted by runner. Runners that were never limited have no entry.
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
        let named = self.entries.iter().filter(|entry| entry.is_named);
        let (recent, others): (Vec<&LimitEntry>, Vec<&LimitEntry>) =
            named.partition(|entry| now_ms.saturating_sub(entry.changed_ms) < RECENT_MS);
        let mut chosen = recent.into_iter().sample(rng, MAX_RECENT_REPORTS);
        chosen.extend(others.into_iter().sample(rng, OTHER_REPORTS));
        let reports = chosen.into_iter().map(|entry| entry.report(now_ms));
        reports.collect()
    }

    /// Returns what is known about one runner; `None` if it never named a limit.
    pub fn report_of(&self, runner: u64, now_ms: u64) -> Option<LimitReport> {
        let entry = &self.entries[self.find(runner).ok()?];
        entry.is_named.then(|| entry.report(now_ms))
    }

    /// Records that a runner is cold, or is for longer than known. Returns whether it was not
    /// known to be.
    ///
    /// ```
    /// use berylmount_policy::runner_limits::{ColdReport, RunnerLimits};
    ///
    /// let mut limits = RunnerLimits::default();
    /// let report = ColdReport { runner: 7, per_window: 18.8, left_ms: 3000 };
    /// assert!(limits.note_cold(&report, 1000));
    /// assert!(limits.needs_permit(7, 3999) && !limits.needs_permit(7, 4000));
    /// ```
    pub fn note_cold(&mut self, report: &ColdReport, now_ms: u64) -> bool {
        let index = match self.find(report.runner) {
            Ok(index) => index,
            Err(index) => {
                self.insert(report.runner, None, now_ms, now_ms);
                index
            }
        };
        let entry = &mut self.entries[index];
        let known = entry.cold.filter(|cold| now_ms < cold.until_ms);
        let until_ms = now_ms.saturating_add(report.left_ms);
        entry.cold = Some(ColdLimit {
            // The stricter of two tables, one of which another instance may not have yet.
            per_window: known.map_or(report.per_window, |cold| {
                cold.per_window.min(report.per_window)
            }),
            until_ms: known.map_or(until_ms, |cold| cold.until_ms.max(until_ms)),
            free_ms: entry.cold.map_or(now_ms as f64, |cold| cold.free_ms),
            spacing_ms: known.map_or(FULL_SPREAD_MS / report.per_window, |cold| cold.spacing_ms),
        });
        known.is_none()
    }

    /// Returns what the coordinator of a cold runner has to know; `None` if it is not cold.
    pub fn cold_report_of(&self, runner: u64, now_ms: u64) -> Option<ColdReport> {
        let cold = self.entries[self.find(runner).ok()?].cold?;
        let left_ms = cold.until_ms.saturating_sub(now_ms);
        (left_ms > 0).then_some(ColdReport {
            runner,
            per_window: cold.per_window,
            left_ms,
        })
    }

    /// Whether a request to a runner needs a permit.
    pub fn needs_permit(&self, runner: u64, now_ms: u64) -> bool {
        let found = self.find(runner);
        found.is_ok_and(|index| self.entries[index].is_limited(now_ms))
    }

    /// Returns the number of cold runners.
    pub fn cold_count(&self, now_ms: u64) -> usize {
        let cold = self.entries.iter().filter_map(|entry| entry.cold);
        cold.filter(|cold| now_ms < cold.until_ms).count()
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
        let delay_ms = wait_ms + entry.crowd_ms(1000.0 / rate_per_s, now_ms);
        PermitDecision::Denied(delay_ms.min(MAX_DELAY_MS) as u64)
    }

    /// Decides as the coordinator of a cold runner whether and when a request may be sent to
    /// it.
    ///
    /// ```
    /// use berylmount_policy::runner_limits::{
    ///     ColdDecision, ColdReport, FleetView, RunnerLimits,
    /// };
    ///
    /// let mut limits = RunnerLimits::default();
    /// limits.note_cold(&ColdReport { runner: 7, per_window: 18.8, left_ms: 3000 }, 0);
    /// let view = FleetView { share: 1.0, unsettled_ms: None };
    /// assert_eq!(limits.issue_cold(7, view, 0), ColdDecision::Granted(0));
    /// assert_eq!(limits.issue_cold(7, view, 10), ColdDecision::Granted(49));
    /// assert!(matches!(limits.issue_cold(7, view, 15), ColdDecision::Denied(_)));
    /// ```
    pub fn issue_cold(&mut self, runner: u64, view: FleetView, now_ms: u64) -> ColdDecision {
        let Ok(index) = self.find(runner) else {
            return ColdDecision::Granted(0);
        };
        let entry = &mut self.entries[index];
        let Some(mut cold) = entry.cold.filter(|cold| now_ms < cold.until_ms) else {
            return ColdDecision::Granted(0);
        };
        let Some(spacing_ms) = cold.next_spacing_ms(view) else {
            return ColdDecision::Denied((cold.until_ms - now_ms).min(MAX_UNSHARED_DELAY_MS));
        };
        entry.requests.note(now_ms);
        let now = now_ms as f64;
        // A coordinator that is new or reaches fewer instances than before issues nothing in
        // advance of its share, because many of them may begin at once.
        if spacing_ms > cold.spacing_ms * MAX_SPACING_GROWTH {
            cold.free_ms = cold.free_ms.max(now + spacing_ms);
        }
        cold.spacing_ms = spacing_ms;
        entry.cold = Some(cold);
        let at_ms = cold.free_ms.max(now);
        let hold_ms = at_ms - now;
        let max_hold_ms = MAX_COLD_HOLD_MS as f64;
        if hold_ms > max_hold_ms {
            let delay_ms = hold_ms - max_hold_ms + entry.crowd_ms(spacing_ms, now_ms);
            return ColdDecision::Denied(delay_ms.ceil() as u64);
        }
        cold.free_ms = at_ms + spacing_ms;
        entry.cold = Some(cold);
        ColdDecision::Granted(hold_ms.ceil() as u64)
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
        if !entry.is_limited(now_ms) {
            return None;
        }
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
        if !entry.is_named {
            entry.at_ms = 0;
        }
        entry.is_named |= per_s.is_some();
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
            is_named: per_s.is_some(),
            cold: None,
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
            let is_cold = entry.cold.is_some_and(|cold| now_ms < cold.until_ms);
            is_cold || now_ms.saturating_sub(entry.at_ms) < lifetime_ms
        });
    }

    fn find(&self, runner: u64) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&runner, |entry| entry.runner)
    }
}

impl LimitEntry {
    /// Returns the delay of an instance that was denied a permit beyond the time to the next
    /// one, in milliseconds. It grows with the requests, which bounds their rate for any number
    /// of instances.
    fn crowd_ms(&self, spacing_ms: f64, now_ms: u64) -> f64 {
        let permits_per_s = 1000.0 / spacing_ms;
        let crowd = self.requests.per_s(now_ms) / (REQUESTS_PER_PERMIT * permits_per_s);
        crowd * spacing_ms
    }

    /// Whether a request to the runner needs a permit.
    fn is_limited(&self, now_ms: u64) -> bool {
        self.per_s.is_some() || self.cold.is_some_and(|cold| now_ms < cold.until_ms)
    }

    fn report(&self, now_ms: u64) -> LimitReport {
        LimitReport {
            runner: self.runner,
            per_s: self.per_s,
            age_ms: now_ms.saturating_sub(self.at_ms),
        }
    }
}
