//! Runners that fall over when they reject too many requests, and places at them.
//!
//! A brittle runner lets few requests wait, and falls over if it has to reject more than a
//! few requests a second, counted over all instances. So no request may be sent that would
//! wait there. Loads that instances report to each other are too old for that, so one
//! instance coordinates each brittle runner: every request needs a place there, which the
//! coordinator grants while fewer requests are in flight than the runner has slots, and
//! which is given back when the request ends. Different runners have different
//! coordinators.
//!
//! Invariants:
//!
//! - Requests in flight are never counted too low because a message was lost: a place
//!   counts until it is given back, or its holder reports that it has fewer requests there.
//! - What a runner of a service states holds for its other runners too, until they state
//!   otherwise, because a runner that has just started has stated nothing.
//! - Statements of a runner are ordered by time, because its responses may overtake each
//!   other. That it is brittle counts from when the response arrived, that it is not from
//!   when the request was sent.

use crate::{admission::ArrivalRate, runner_limits::PermitDecision};
use rand::{seq::IteratorRandom, Rng, RngExt};
use serde::{Deserialize, Serialize};
use std::ops::Range;

/// Time from the first statement of a service's runners until places are needed, in
/// milliseconds. By then all instances know of it, and the platform allows a runner to
/// let fewer requests wait only later.
pub const NOTICE_MS: u64 = 1200;
/// Time after which a statement that no response has repeated is forgotten, in
/// milliseconds. Until then only places are needed, which costs a round trip.
const FORGET_MS: u64 = 600_000;
/// Time after which the end of the statements is forgotten, in milliseconds. By then all
/// live instances have learned of it.
const FORGET_WITHDRAWN_MS: u64 = 30_000;
/// Longest time for which a place counts that is neither given back nor reported, in
/// milliseconds.
const MAX_PLACE_MS: u64 = 5000;
/// Time for which the place of an abandoned request still counts, in milliseconds. The
/// runner may notice late that the request was abandoned.
const ABANDONED_MS: u64 = 400;
/// Time from the grant of a place until its holder's reports include it, in milliseconds.
const REPORT_SLACK_MS: u64 = 300;
/// Time for which a runner is closed after a rejection, in milliseconds. Rejections count
/// for a second.
const CLOSED_MS: u64 = 1000;
/// Random factor on that time and on delays, so that instances do not return together.
const DELAY_JITTER: Range<f64> = 1.0..1.5;
/// Time for which a rejection lowers the places at its runner, in milliseconds.
const CAUTION_MS: u64 = 10_000;
/// Fraction of the slots that a rejection takes away meanwhile, at least one slot.
const CAUTION_FRACTION: f64 = 0.1;
/// Recent rejections of a service that lower its places as one of a runner does.
const COMMON_REJECTIONS: usize = 4;
/// Maximum number of recent rejections of a service that lower its places.
const MAX_CAUTION: usize = 2;
/// Maximum number of rejections that are remembered for a runner.
const MAX_REJECTIONS: usize = 4;
/// Rejections that are reported within this time are the same one, in milliseconds.
const SAME_REJECTION_MS: u64 = 100;
/// Age up to which the load that a runner stated itself is used, in milliseconds.
const OBSERVED_MS: u64 = 400;
/// Longest time from the start of a request's way to the runner until the place is given
/// back at the coordinator, beyond the time that the runner works on it, in milliseconds.
const TRANSIT_MS: u64 = 100;
/// Time for which the return of a place is remembered, in milliseconds. By then its holder
/// has sent a report without the request, also in a large fleet.
const RETURNED_MS: u64 = 2500;
/// Fraction of the slots that an instance grants which has just become the coordinator,
/// because it does not know yet which places the one before it granted.
const SETTLING_FRACTION: f64 = 0.5;
/// Time without a request for a place after which an instance counts as a new
/// coordinator, in milliseconds.
const IDLE_MS: u64 = 1000;
/// Requests for a place per place that the delays of denied instances aim at.
const REQUESTS_PER_PLACE: f64 = 8.0;
/// Shortest and longest delay of an instance that was denied a place, in milliseconds.
const DELAY_BOUNDS_MS: Range<f64> = 15.0..1000.0;
/// Maximum number of place requests of one instance that are open for a runner.
const MAX_OPEN_REQUESTS: u32 = 16;
/// Time for which a changed statement is in each message to other instances, in
/// milliseconds.
const RECENT_MS: u64 = 5000;
/// Maximum number of recently changed statements in a message to other instances.
const MAX_RECENT_REPORTS: usize = 64;
/// Number of other statements in a message to other instances, drawn at random.
const OTHER_REPORTS: usize = 8;
/// Maximum number of services in a heartbeat.
const MAX_SERVICE_REPORTS: usize = 8;
/// Minimum lead of another instance's statement over an equal one, in milliseconds. Below
/// it, the difference may be the latency of messages between instances.
const MIN_LEAD_MS: u64 = 500;

/// Fraction of the slots that the standby grants while some instances cannot reach the
/// coordinator.
pub const STANDBY_FRACTION: f64 = 0.3;

/// A runner, in the messages between instances.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunnerKey {
    /// Key of the runner and its start.
    pub start: u64,
    /// Key of its service.
    pub service: u64,
}

/// What is known about one runner, for other instances.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BrittleReport {
    /// The runner.
    pub runner: RunnerKey,
    /// Rejections per second that it bears; `None` if it is not brittle.
    pub rejection_limit: Option<f64>,
    /// Time since its latest statement, in milliseconds.
    pub age_ms: u64,
    /// Time since the service's runners first stated that they are brittle, in milliseconds.
    pub brittle_for_ms: u64,
    /// Times since its recent rejections, in milliseconds.
    pub rejection_ages_ms: Vec<u64>,
}

/// A request for a place at a brittle runner.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlaceRequest {
    /// The runner.
    pub runner: RunnerKey,
    /// Number of the place, drawn at random.
    pub number: u64,
    /// Key of the instance that asks.
    pub holder: u64,
    /// Requests that the runner runs concurrently.
    pub slots: u32,
    /// KV cache capacity of the runner in tokens; 0 if unbounded.
    pub memory_tokens: u64,
    /// KV cache tokens that the request needs.
    pub needed_tokens: u64,
    /// Fraction of the slots and the memory that a request of its rank may fill.
    pub fraction: f64,
    /// Time after which the runner stops the request at the latest, in milliseconds.
    pub lifetime_ms: u64,
    /// Requests that were at the runner by its own latest statement, and the age of that
    /// in milliseconds.
    pub observed: Option<(u32, u64)>,
}

/// How a request that had a place ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PlaceEnd {
    /// The runner is no longer at work on it, or never was.
    Ended,
    /// It was abandoned, and the runner may still be at work on it.
    Abandoned,
    /// The runner rejected it for want of room.
    Rejected,
}

/// The load that an instance reports of its requests at a runner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HolderLoad {
    /// Key of the instance.
    pub holder: u64,
    /// Its requests in flight.
    pub running: u32,
    /// KV cache tokens that they need.
    pub needed_tokens: u64,
    /// When the report arrived.
    pub at_ms: u64,
}

/// A place that this instance granted as the coordinator.
#[derive(Clone, Copy, Debug)]
struct GrantedPlace {
    number: u64,
    /// Key of the instance that has it; `None` once its request was abandoned.
    holder: Option<u64>,
    needed_tokens: u64,
    granted_ms: u64,
    until_ms: u64,
}

/// What is known about one runner.
#[derive(Clone, Debug)]
struct RoomEntry {
    runner: RunnerKey,
    /// Rejections per second that it bears; `None` if it stated that it is not brittle.
    rejection_limit: Option<f64>,
    /// Time from which the statement counts.
    at_ms: u64,
    /// When the statement changed, as far as this instance knows.
    changed_ms: u64,
    /// Since when it is brittle.
    brittle_since_ms: u64,
    /// Times of its recent rejections.
    rejections: Vec<u64>,
    /// Places that this instance granted as the coordinator.
    places: Vec<GrantedPlace>,
    /// Recently given back places: the holder, and when.
    returned: Vec<(u64, u64)>,
    /// Requests at the runner that no instance accounts for, and until when they count.
    unknown: (u32, u64),
    /// Since when this instance coordinates, and the last request for a place.
    coordinator_since_ms: u64,
    last_request_ms: u64,
    requests: ArrivalRate,
    grants: ArrivalRate,
    /// Until when this instance requests no place.
    delayed_until_ms: u64,
    /// Open place requests of this instance.
    open_requests: u32,
}

/// The brittle runners, as far as this instance knows.
#[derive(Clone, Debug, Default)]
pub struct BrittleRunners {
    /// Sorted by the runner's start. Empty unless a runner stated that it is brittle.
    entries: Vec<RoomEntry>,
}

impl BrittleRunners {
    /// Records what the response to a request that was sent at `sent_ms` states: how many
    /// rejections a second its runner bears, or `None` if it is not brittle. Returns
    /// whether the other instances should learn of it.
    ///
    /// ```
    /// use berylmount_policy::runner_rooms::{BrittleRunners, RunnerKey};
    ///
    /// let (first, other) = (RunnerKey { start: 7, service: 1 }, RunnerKey { start: 8, service: 1 });
    /// let mut runners = BrittleRunners::default();
    /// assert!(runners.note(first, Some(2.0), 900, 1000));
    /// // Places are needed once all instances know of it, at all runners of the service.
    /// assert!(!runners.needs_place(first, 1100));
    /// assert!(runners.needs_place(first, 2200) && runners.needs_place(other, 2200));
    /// assert!(runners.note(other, None, 2100, 2200));
    /// assert!(runners.needs_place(first, 2200) && !runners.needs_place(other, 2200));
    /// ```
    pub fn note(
        &mut self,
        runner: RunnerKey,
        rejection_limit: Option<f64>,
        sent_ms: u64,
        now_ms: u64,
    ) -> bool {
        let is_known = self.find(runner).is_ok();
        if rejection_limit.is_none() && !is_known && !self.is_service_brittle(runner.service) {
            return false;
        }
        let at_ms = match rejection_limit {
            Some(_) => now_ms,
            None => sent_ms,
        };
        self.apply(runner, rejection_limit, at_ms, now_ms, now_ms)
    }

    /// Applies what another instance knows. Returns whether that is new.
    ///
    /// ```
    /// use berylmount_policy::runner_rooms::{BrittleReport, BrittleRunners, RunnerKey};
    ///
    /// let runner = RunnerKey { start: 7, service: 1 };
    /// let report = BrittleReport {
    ///     runner,
    ///     rejection_limit: Some(1.0),
    ///     age_ms: 100,
    ///     brittle_for_ms: 5000,
    ///     rejection_ages_ms: Vec::new(),
    /// };
    /// let mut runners = BrittleRunners::default();
    /// assert!(runners.merge(&report, 10_000));
    /// assert!(runners.needs_place(runner, 10_000));
    /// assert!(!runners.merge(&report, 10_000));
    /// ```
    pub fn merge(&mut self, report: &BrittleReport, now_ms: u64) -> bool {
        let at_ms = now_ms.saturating_sub(report.age_ms);
        let since_ms = now_ms.saturating_sub(report.brittle_for_ms);
        let known = self.find(report.runner).ok();
        let is_repeated = known.is_some_and(|index| {
            let known = &self.entries[index];
            let is_equal = known.rejection_limit == report.rejection_limit;
            is_equal && at_ms < known.at_ms + MIN_LEAD_MS
        });
        let is_new = !is_repeated
            && self.apply(
                report.runner,
                report.rejection_limit,
                at_ms,
                since_ms,
                now_ms,
            );
        for age_ms in &report.rejection_ages_ms {
            self.add_rejection(report.runner, now_ms.saturating_sub(*age_ms));
        }
        is_new
    }

    /// Returns what this instance tells the others: the statements that changed recently,
    /// and some others.
    pub fn reports(&mut self, now_ms: u64, rng: &mut impl Rng) -> Vec<BrittleReport> {
        self.forget(now_ms);
        let is_recent = |entry: &&RoomEntry| {
            let rejected_ms = entry.rejections.last().copied().unwrap_or(0);
            now_ms.saturating_sub(entry.changed_ms.max(rejected_ms)) < RECENT_MS
        };
        let (recent, others): (Vec<&RoomEntry>, Vec<&RoomEntry>) =
            self.entries.iter().partition(is_recent);
        let mut chosen = recent.into_iter().sample(rng, MAX_RECENT_REPORTS);
        chosen.extend(others.into_iter().sample(rng, OTHER_REPORTS));
        chosen
            .into_iter()
            .map(|entry| entry.report(now_ms))
            .collect()
    }

    /// Returns one statement for each brittle service, for the heartbeats. A process that has
    /// just started learns of them before it sends requests.
    ///
    /// ```
    /// use berylmount_policy::runner_rooms::{BrittleRunners, RunnerKey};
    ///
    /// let mut runners = BrittleRunners::default();
    /// assert!(runners.service_reports(0).is_empty());
    /// for start in 0..9 {
    ///     runners.note(RunnerKey { start, service: start % 2 }, Some(2.0), 900, 1000);
    /// }
    /// assert_eq!(runners.service_reports(1000).len(), 2);
    /// ```
    pub fn service_reports(&self, now_ms: u64) -> Vec<BrittleReport> {
        let brittle = self.entries.iter().filter(|entry| entry.is_brittle());
        let mut services: Vec<u64> = brittle.map(|entry| entry.runner.service).collect();
        services.sort_unstable();
        services.dedup();
        services.truncate(MAX_SERVICE_REPORTS);
        let latest = |service: &u64| {
            let brittle = self.entries.iter().filter(|entry| entry.is_brittle());
            let of_service = brittle.filter(|entry| entry.runner.service == *service);
            of_service.max_by_key(|entry| entry.at_ms)
        };
        let reports = services.iter().filter_map(latest);
        reports.map(|entry| entry.report(now_ms)).collect()
    }

    /// Returns what is known about a runner, or else about its service; `None` if neither
    /// stated that it is brittle.
    pub fn report_of(&self, runner: RunnerKey, now_ms: u64) -> Option<BrittleReport> {
        let entry = self.statement(runner)?;
        let report = entry.report(now_ms);
        Some(BrittleReport { runner, ..report })
    }

    /// Whether a request to a runner needs a place.
    pub fn needs_place(&self, runner: RunnerKey, now_ms: u64) -> bool {
        self.statement(runner)
            .is_some_and(|entry| now_ms >= entry.brittle_since_ms + NOTICE_MS)
    }

    /// Whether no runner has stated lately that it is brittle.
    ///
    /// ```
    /// assert!(berylmount_policy::runner_rooms::BrittleRunners::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of runners that state that they are brittle.
    pub fn brittle_count(&self) -> usize {
        let brittle = self.entries.iter().filter(|entry| entry.is_brittle());
        brittle.count()
    }

    /// Records that a brittle runner rejected a request. Returns whether that is new.
    pub fn note_rejection(&mut self, runner: RunnerKey, now_ms: u64) -> bool {
        self.add_rejection(runner, now_ms)
    }

    /// Decides as the coordinator of a runner whether a request may be sent to it.
    ///
    /// `share` is the fraction of the slots that this instance may grant. `loads` are the
    /// latest reports of all instances with requests at the runner, this one included.
    /// `settle_ms` is the longest time between two reports of an instance.
    ///
    /// ```
    /// use berylmount_policy::{
    ///     runner_limits::PermitDecision,
    ///     runner_rooms::{BrittleRunners, PlaceEnd, PlaceRequest, RunnerKey},
    /// };
    ///
    /// let runner = RunnerKey { start: 7, service: 1 };
    /// let mut runners = BrittleRunners::default();
    /// runners.note(runner, Some(1.0), 0, 0);
    /// let request = PlaceRequest {
    ///     runner,
    ///     number: 1,
    ///     holder: 5,
    ///     slots: 1,
    ///     memory_tokens: 0,
    ///     needed_tokens: 0,
    ///     fraction: 1.0,
    ///     lifetime_ms: 1000,
    ///     observed: None,
    /// };
    /// assert_eq!(runners.grant(&request, 1.0, &[], 100, 5000), PermitDecision::Granted);
    /// let next = PlaceRequest { number: 2, ..request };
    /// assert!(matches!(runners.grant(&next, 1.0, &[], 100, 5010), PermitDecision::Denied(_)));
    /// runners.give_back(runner, 1, PlaceEnd::Ended, 5020);
    /// assert_eq!(runners.grant(&next, 1.0, &[], 100, 5030), PermitDecision::Granted);
    /// ```
    pub fn grant(
        &mut self,
        request: &PlaceRequest,
        share: f64,
        loads: &[HolderLoad],
        settle_ms: u64,
        now_ms: u64,
    ) -> PermitDecision {
        let caution = self.caution(request.runner, now_ms);
        let Some(entry) = self.coordinated_entry(request.runner, now_ms) else {
            return PermitDecision::Granted;
        };
        if now_ms.saturating_sub(entry.last_request_ms) > IDLE_MS {
            entry.coordinator_since_ms = now_ms;
        }
        entry.last_request_ms = now_ms;
        entry.requests.note(now_ms);
        entry.drop_ended(loads, now_ms);
        if entry
            .places
            .iter()
            .any(|place| place.number == request.number)
        {
            return PermitDecision::Granted;
        }
        if let Some(left_ms) = entry.closed_ms(now_ms) {
            return PermitDecision::Denied(left_ms);
        }
        let (in_flight, tokens) = entry.in_flight(loads);
        entry.note_observed(request.observed, in_flight, now_ms);
        let in_flight = in_flight + entry.unknown_count(now_ms);
        let is_settling = now_ms < entry.coordinator_since_ms + settle_ms + TRANSIT_MS;
        let settling = if is_settling { SETTLING_FRACTION } else { 1.0 };
        let slots = f64::from(request.slots);
        let taken = (slots * CAUTION_FRACTION).max(1.0) * f64::from(caution);
        let usable = ((slots * share).round() - taken.ceil()).max(1.0) * settling;
        let has_slot = f64::from(in_flight) < (usable.max(1.0) * request.fraction).ceil();
        let memory = request.memory_tokens as f64 * request.fraction;
        let has_memory = request.memory_tokens == 0
            || (tokens + request.needed_tokens) as f64 <= memory * share * settling
            || (in_flight == 0 && request.needed_tokens <= request.memory_tokens);
        if !has_slot || !has_memory {
            return PermitDecision::Denied(entry.delay_ms(now_ms));
        }
        entry.grants.note(now_ms);
        entry.places.push(GrantedPlace {
            number: request.number,
            holder: Some(request.holder),
            needed_tokens: request.needed_tokens,
            granted_ms: now_ms,
            until_ms: now_ms + request.lifetime_ms.min(MAX_PLACE_MS) + TRANSIT_MS,
        });
        PermitDecision::Granted
    }

    /// Records as the coordinator of a runner that a request with a place has ended.
    /// Returns whether the other instances should learn of a rejection.
    pub fn give_back(
        &mut self,
        runner: RunnerKey,
        number: u64,
        end: PlaceEnd,
        now_ms: u64,
    ) -> bool {
        let Ok(index) = self.find(runner) else {
            return false;
        };
        let entry = &mut self.entries[index];
        let found = entry.places.iter().position(|place| place.number == number);
        if let Some(found) = found {
            match end {
                PlaceEnd::Abandoned => {
                    let place = &mut entry.places[found];
                    place.until_ms = place.until_ms.min(now_ms + ABANDONED_MS);
                    place.holder = None;
                }
                PlaceEnd::Ended | PlaceEnd::Rejected => {
                    let place = entry.places.remove(found);
                    let holder = place.holder.map(|holder| (holder, now_ms));
                    entry.returned.extend(holder);
                }
            }
        }
        end == PlaceEnd::Rejected && found.is_some() && self.add_rejection(runner, now_ms)
    }

    /// Returns for how long this instance requests no place at a runner, in milliseconds;
    /// `None` if it may request one now, or needs none.
    ///
    /// ```
    /// use berylmount_policy::{
    ///     runner_limits::PermitDecision, runner_rooms::{BrittleRunners, RunnerKey},
    /// };
    ///
    /// let runner = RunnerKey { start: 7, service: 1 };
    /// let mut runners = BrittleRunners::default();
    /// runners.note(runner, Some(1.0), 0, 0);
    /// runners.begin_request(runner, 2000);
    /// runners.end_request(runner, PermitDecision::Denied(100), 2000, &mut rand::rng());
    /// assert!(runners.delay_ms(runner, 2010).is_some_and(|ms| ms >= 90));
    /// assert_eq!(runners.delay_ms(runner, 2150), None);
    /// ```
    pub fn delay_ms(&self, runner: RunnerKey, now_ms: u64) -> Option<u64> {
        if !self.needs_place(runner, now_ms) {
            return None;
        }
        let entry = &self.entries[self.find(runner).ok()?];
        let until_ms = match entry.closed_ms(now_ms) {
            Some(left_ms) => entry.delayed_until_ms.max(now_ms + left_ms),
            None => entry.delayed_until_ms,
        };
        if now_ms < until_ms {
            return Some(until_ms - now_ms);
        }
        (entry.open_requests >= MAX_OPEN_REQUESTS).then_some(0)
    }

    /// Records that this instance requests a place.
    pub fn begin_request(&mut self, runner: RunnerKey, now_ms: u64) {
        if let Some(entry) = self.coordinated_entry(runner, now_ms) {
            entry.open_requests += 1;
        }
    }

    /// Records the end of a request for a place, with its decision.
    pub fn end_request(
        &mut self,
        runner: RunnerKey,
        decision: PermitDecision,
        now_ms: u64,
        rng: &mut impl Rng,
    ) {
        let Ok(index) = self.find(runner) else {
            return;
        };
        let entry = &mut self.entries[index];
        entry.open_requests = entry.open_requests.saturating_sub(1);
        if let PermitDecision::Denied(delay_ms) = decision {
            let delay_ms = delay_ms as f64 * rng.random_range(DELAY_JITTER);
            let until_ms = now_ms + delay_ms as u64;
            entry.delayed_until_ms = entry.delayed_until_ms.max(until_ms);
        }
    }

    /// Returns the entry whose statement holds for a runner, if it says brittle: its own,
    /// or else the one of its service that is brittle for the longest time.
    fn statement(&self, runner: RunnerKey) -> Option<&RoomEntry> {
        if let Ok(index) = self.find(runner) {
            return Some(&self.entries[index]).filter(|entry| entry.is_brittle());
        }
        let brittle = self.entries.iter().filter(|entry| entry.is_brittle());
        let of_service = brittle.filter(|entry| entry.runner.service == runner.service);
        of_service.min_by_key(|entry| entry.brittle_since_ms)
    }

    fn is_service_brittle(&self, service: u64) -> bool {
        let mut entries = self.entries.iter();
        entries.any(|entry| entry.runner.service == service && entry.is_brittle())
    }

    /// Returns the entry of a brittle runner. It is created if only its service is known to
    /// be brittle.
    fn coordinated_entry(&mut self, runner: RunnerKey, now_ms: u64) -> Option<&mut RoomEntry> {
        let statement = self.statement(runner)?;
        let (limit, since_ms) = (statement.rejection_limit, statement.brittle_since_ms);
        let index = match self.find(runner) {
            Ok(index) => index,
            Err(index) => {
                // Any statement of the runner itself replaces this one.
                let entry = RoomEntry::new(runner, limit, 0, since_ms, now_ms);
                self.entries.insert(index, entry);
                index
            }
        };
        Some(&mut self.entries[index])
    }

    /// Applies a statement unless a later one is known. Returns whether it is new.
    fn apply(
        &mut self,
        runner: RunnerKey,
        rejection_limit: Option<f64>,
        at_ms: u64,
        since_ms: u64,
        now_ms: u64,
    ) -> bool {
        let of_service = self.entries.iter().filter(|entry| entry.is_brittle());
        let of_service = of_service.filter(|entry| entry.runner.service == runner.service);
        let service_since = of_service.map(|entry| entry.brittle_since_ms).min();
        let since_ms = service_since.map_or(since_ms, |known| known.min(since_ms));
        let index = match self.find(runner) {
            Ok(index) => index,
            Err(index) => {
                let entry = RoomEntry::new(runner, rejection_limit, at_ms, since_ms, now_ms);
                self.entries.insert(index, entry);
                return true;
            }
        };
        let entry = &mut self.entries[index];
        if at_ms < entry.at_ms {
            return false;
        }
        let is_first = entry.at_ms == 0;
        entry.at_ms = at_ms;
        if entry.rejection_limit == rejection_limit {
            return is_first;
        }
        if !entry.is_brittle() {
            entry.brittle_since_ms = since_ms;
        }
        entry.rejection_limit = rejection_limit;
        entry.changed_ms = now_ms;
        entry.delayed_until_ms = 0;
        true
    }

    /// Returns how many recent rejections lower the places at a runner: its own, and a part
    /// of those of its service, which have a common cause if there are many.
    fn caution(&self, runner: RunnerKey, now_ms: u64) -> u32 {
        let is_recent = |at_ms: &&u64| now_ms < **at_ms + CAUTION_MS;
        let recent = |entry: &RoomEntry| entry.rejections.iter().filter(is_recent).count();
        let entries = self.entries.iter();
        let of_service = entries.filter(|entry| entry.runner.service == runner.service);
        let (mut own, mut all) = (0, 0);
        for entry in of_service {
            all += recent(entry);
            own += usize::from(entry.runner == runner) * recent(entry);
        }
        (own + all / COMMON_REJECTIONS).min(MAX_CAUTION) as u32
    }

    /// Adds a rejection unless it is known. Returns whether it is new.
    fn add_rejection(&mut self, runner: RunnerKey, at_ms: u64) -> bool {
        let Some(entry) = self.coordinated_entry(runner, at_ms) else {
            return false;
        };
        let is_same = |known: &u64| known.abs_diff(at_ms) <= SAME_REJECTION_MS;
        if entry.rejections.iter().any(is_same) {
            return false;
        }
        entry.rejections.push(at_ms);
        entry.rejections.sort_unstable();
        if entry.rejections.len() > MAX_REJECTIONS {
            entry.rejections.remove(0);
        }
        entry.rejections.contains(&at_ms)
    }

    /// Forgets statements that nothing has confirmed for long.
    fn forget(&mut self, now_ms: u64) {
        self.entries.retain(|entry| {
            let lifetime_ms = match entry.rejection_limit {
                Some(_) => FORGET_MS,
                None => FORGET_WITHDRAWN_MS,
            };
            let at_ms = entry.at_ms.max(entry.changed_ms);
            now_ms.saturating_sub(at_ms) < lifetime_ms
        });
    }

    fn find(&self, runner: RunnerKey) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&runner.start, |entry| entry.runner.start)
    }
}

impl RoomEntry {
    fn new(
        runner: RunnerKey,
        rejection_limit: Option<f64>,
        at_ms: u64,
        since_ms: u64,
        now_ms: u64,
    ) -> Self {
        Self {
            runner,
            rejection_limit,
            at_ms,
            changed_ms: now_ms,
            brittle_since_ms: since_ms,
            rejections: Vec::new(),
            places: Vec::new(),
            returned: Vec::new(),
            unknown: (0, 0),
            coordinator_since_ms: 0,
            last_request_ms: 0,
            requests: ArrivalRate::default(),
            grants: ArrivalRate::default(),
            delayed_until_ms: 0,
            open_requests: 0,
        }
    }

    fn is_brittle(&self) -> bool {
        self.rejection_limit.is_some()
    }

    fn report(&self, now_ms: u64) -> BrittleReport {
        let recent = self
            .rejections
            .iter()
            .map(|at_ms| now_ms.saturating_sub(*at_ms));
        BrittleReport {
            runner: self.runner,
            rejection_limit: self.rejection_limit,
            age_ms: now_ms.saturating_sub(self.at_ms),
            brittle_for_ms: now_ms.saturating_sub(self.brittle_since_ms),
            rejection_ages_ms: recent.filter(|age_ms| *age_ms < CAUTION_MS).collect(),
        }
    }

    /// Returns for how long the runner is closed after a rejection; `None` if it is not. One
    /// rejection closes it, because what is under way may be rejected as well.
    fn closed_ms(&self, now_ms: u64) -> Option<u64> {
        let last_ms = self.rejections.last()?;
        let left_ms = (last_ms + CLOSED_MS).saturating_sub(now_ms);
        (left_ms > 0).then_some(left_ms)
    }

    /// Drops the places whose requests have ended although their holders could not say so.
    fn drop_ended(&mut self, loads: &[HolderLoad], now_ms: u64) {
        self.places.retain(|place| now_ms < place.until_ms);
        self.returned
            .retain(|(_, at_ms)| now_ms < at_ms + RETURNED_MS);
        for load in loads {
            let is_reported = |place: &GrantedPlace| {
                let is_in_report = place.granted_ms + REPORT_SLACK_MS <= load.at_ms;
                place.holder == Some(load.holder) && is_in_report
            };
            let reported = self.places.iter().filter(|place| is_reported(place));
            let mut ended = reported.count().saturating_sub(load.running as usize);
            // The oldest places come first.
            self.places.retain(|place| {
                let is_ended = ended > 0 && is_reported(place);
                ended -= usize::from(is_ended);
                !is_ended
            });
        }
    }

    /// Returns the number of requests in flight at the runner and the tokens that they need.
    fn in_flight(&self, loads: &[HolderLoad]) -> (u32, u64) {
        let tokens = self.places.iter().map(|place| place.needed_tokens).sum();
        let mut total: (u32, u64) = (self.places.len() as u32, tokens);
        // Requests without a place, above all those from before it was needed.
        for load in loads {
            let places = self.places.iter();
            let places = places.filter(|place| place.holder == Some(load.holder));
            let (count, tokens) = places.fold((0, 0), |(count, tokens), place| {
                (count + 1, tokens + place.needed_tokens)
            });
            let since_ms = load.at_ms.saturating_sub(REPORT_SLACK_MS);
            let is_returned =
                |(holder, at_ms): &&(u64, u64)| *holder == load.holder && *at_ms >= since_ms;
            let returned = self.returned.iter().filter(is_returned).count() as u32;
            let others = load.running.saturating_sub(count + returned);
            if others > 0 {
                total.0 += others;
                total.1 += load.needed_tokens.saturating_sub(tokens);
            }
        }
        total
    }

    /// Applies what the runner itself stated about its load.
    fn note_observed(&mut self, observed: Option<(u32, u64)>, in_flight: u32, now_ms: u64) {
        let Some((count, age_ms)) = observed.filter(|(_, age_ms)| *age_ms < OBSERVED_MS) else {
            return;
        };
        let made_ms = now_ms.saturating_sub(age_ms + TRANSIT_MS);
        let returned = self.returned.iter().filter(|(_, at_ms)| *at_ms >= made_ms);
        let known = in_flight + returned.count() as u32;
        let unknown = count.saturating_sub(known);
        if unknown >= self.unknown_count(now_ms) {
            self.unknown = (unknown, now_ms + OBSERVED_MS - age_ms);
        }
    }

    fn unknown_count(&self, now_ms: u64) -> u32 {
        let (count, until_ms) = self.unknown;
        if now_ms < until_ms {
            count
        } else {
            0
        }
    }

    /// Returns the delay of an instance that is denied a place. It grows with the requests,
    /// which bounds their rate for any number of instances.
    fn delay_ms(&self, now_ms: u64) -> u64 {
        let grants_per_s = self.grants.per_s(now_ms).max(1.0);
        let crowd = self.requests.per_s(now_ms) / (REQUESTS_PER_PLACE * grants_per_s);
        let delay_ms = 1000.0 / grants_per_s * crowd.max(1.0);
        delay_ms.clamp(DELAY_BOUNDS_MS.start, DELAY_BOUNDS_MS.end) as u64
    }
}
