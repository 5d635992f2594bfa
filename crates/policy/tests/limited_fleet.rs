//! Simulates fleets whose runners name request limits, and counts what the runners receive.
//!
//! The limits are named, raised, lowered and withdrawn on all runners during a load peak.
//! Refused callers return, instances are restarted, frozen and cut off, and messages are
//! delayed and lost. The rule that is checked is that of the platform.

#![allow(clippy::unwrap_used)]

use berylmount_policy::{
    runner_limits::{LimitReport, PermitDecision, RunnerLimits, STANDBY_SHARE},
    shared_duties::{first_among, DutyMember},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::{cmp::Reverse, collections::BinaryHeap, env, ops::Range};

/// Last seed, unless the environment sets `BERYLMOUNT_LIMITED_SEEDS`.
const LAST_SEED: u64 = 2;
const SIMULATED_MS: u64 = 40_000;
/// When the limits are named first.
const NAMED_MS: u64 = 4000;
/// When the limits are withdrawn.
const WITHDRAWN_MS: u64 = 34_000;
/// The load peak, and how many times as many requests it has.
const PEAK_MS: Range<u64> = 8000..20_000;
const PEAK_FACTOR: f64 = 5.0;
/// One-way latency between instances and to runners, in milliseconds.
const LATENCY_MS: Range<u64> = 1..9;
/// Time that a runner takes for a request, in milliseconds.
const RUN_MS: Range<u64> = 20..900;
const LOSS: f64 = 0.01;
/// Time after which a permit request counts as unanswered, and the delay after that.
const REPLY_TIMEOUT_MS: u64 = 150;
const NO_REPLY_DELAY_MS: u64 = 200;
/// Consecutive requests without a reply after which the standby is asked, and the time
/// for which it is, in milliseconds.
const SILENT_MISSES: u32 = 2;
const SILENT_MS: u64 = 1500;
/// Silence after which an instance is forgotten.
const FORGET_MS: u64 = 15_000;
/// Interval of checks whether a changed limit is to be reported.
const TICK_MS: u64 = 50;
/// Delay after which a refused caller returns, in milliseconds.
const RETURN_MS: u64 = 800;
/// Permits that one request may be denied.
const MAX_DENIALS: u32 = 2;
/// The platform's rule: length of a window, time after the first naming from which it
/// holds, time for which a disruption excuses a machine, and the age from which a
/// machine's knowledge of a limit counts.
const WINDOW_MS: u64 = 4000;
const CONTACT_MS: u64 = 3000;
const KNOWN_MS: u64 = 500;

/// A fleet and its load.
#[derive(Clone, Copy)]
struct FleetShape {
    instances: usize,
    runners: usize,
    /// Requests per second of one instance before the peak.
    per_s: f64,
    /// Lowest and highest first limit, in requests per second.
    limits: (f64, f64),
    /// Disruptions of instances over the simulated time.
    disruptions: usize,
}

enum SimEvent {
    /// A caller's request arrives at an instance; whether it has been refused before.
    Call(usize, bool),
    /// Instance, runner, permits denied so far, and whether it has been refused before.
    Place(usize, usize, u32, bool),
    PermitRequest(usize, PermitAsk, LimitReport),
    PermitReply(usize, PermitAsk, PermitDecision),
    PermitTimeout(usize, PermitAsk),
    /// A request from an instance reaches a runner; when it was sent.
    Arrive(usize, usize, u64),
    /// A response: instance, runner, limit, when the request was sent.
    Response(usize, usize, Option<f64>, u64),
    Reports(usize, Vec<LimitReport>),
    /// A disruption of an instance begins or ends.
    Disrupt(usize),
}

/// A permit request of one life of an instance.
#[derive(Clone, Copy)]
struct PermitAsk {
    instance: usize,
    asked: usize,
    is_standby: bool,
    life: u32,
    number: u64,
    runner: usize,
    denials: u32,
    has_returned: bool,
}

struct SimInstance {
    name: String,
    limits: RunnerLimits,
    life: u32,
    /// Since when it is up; `None` while it is down.
    up_since_ms: Option<u64>,
    /// When it was last heard by the others.
    heard_ms: u64,
    /// Since when it is cut off from the other instances.
    cut_since_ms: Option<u64>,
    is_frozen: bool,
    /// Until when disruptions excuse it.
    excused_until_ms: u64,
    is_report_due: bool,
    open: Vec<u64>,
    /// Coordinators that did not reply last, with the number of such requests and the time
    /// of the last one.
    silent: Vec<(usize, u32, u64)>,
}

struct SimRunner {
    limit: Option<f64>,
    /// Limits with the time from which they hold.
    history: Vec<(u64, Option<f64>)>,
    /// Times of all requests.
    arrivals: Vec<u64>,
    /// Times of requests from machines without an excuse.
    counted: Vec<u64>,
}

#[derive(Debug, Default)]
struct FleetCount {
    calls: u64,
    served: u64,
    refused: u64,
    permit_requests: u64,
    /// Largest number of requests in a window, as a fraction of those allowed.
    worst: f64,
    /// Smallest fraction of a runner's limit that was used.
    least_used: f64,
    /// Fraction of all limits that was used.
    used: f64,
}

struct FleetSim {
    shape: FleetShape,
    rng: Pcg64,
    now_ms: u64,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<SimEvent>>,
    instances: Vec<SimInstance>,
    runners: Vec<SimRunner>,
    count: FleetCount,
    asks: u64,
}

impl FleetSim {
    fn new(shape: FleetShape, seed: u64) -> Self {
        let instance = |number: usize| SimInstance {
            name: format!("i{number}"),
            limits: RunnerLimits::default(),
            life: 0,
            up_since_ms: Some(0),
            heard_ms: 0,
            cut_since_ms: None,
            is_frozen: false,
            excused_until_ms: 0,
            is_report_due: false,
            open: Vec::new(),
            silent: Vec::new(),
        };
        let runner = |_| SimRunner {
            limit: None,
            history: vec![(0, None)],
            arrivals: Vec::new(),
            counted: Vec::new(),
        };
        Self {
            shape,
            rng: Pcg64::seed_from_u64(seed),
            now_ms: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            instances: (0..shape.instances).map(instance).collect(),
            runners: (0..shape.runners).map(runner).collect(),
            count: FleetCount::default(),
            asks: 0,
        }
    }

    fn schedule(&mut self, delay_ms: u64, event: SimEvent) {
        let index = self.events.len();
        self.events.push(Some(event));
        let at_ms = self.now_ms + delay_ms;
        self.queue.push(Reverse((at_ms, index as u64, index)));
    }

    fn latency_ms(&mut self) -> u64 {
        self.rng.random_range(LATENCY_MS)
    }

    /// Time of silence after which an instance counts as dead.
    fn silence_ms(&self) -> u64 {
        (6 * self.heartbeat_ms()).max(1200)
    }

    fn heartbeat_ms(&self) -> u64 {
        (3 * self.shape.instances as u64).clamp(100, 1000)
    }

    /// Whether `from` can reach `to`, which may be down.
    fn connects(&self, from: usize, to: usize) -> bool {
        let is_cut = |index: usize| self.instances[index].cut_since_ms.is_some();
        from == to || !(is_cut(from) || is_cut(to))
    }

    /// Returns the coordinator of a runner and its standby as `own` sees them, and the
    /// fraction of the instances heard lately that it still hears.
    fn coordinators(&self, own: usize, runner: usize) -> (usize, Option<usize>, f64) {
        let silence_ms = self.silence_ms();
        let cut_since_ms = self.instances[own].cut_since_ms;
        let silent_ms = |index: usize| {
            let heard_ms = self.instances[index].heard_ms;
            let heard_ms = cut_since_ms.map_or(heard_ms, |since_ms| heard_ms.min(since_ms));
            let is_own = index == own;
            if is_own {
                0
            } else {
                self.now_ms - heard_ms
            }
        };
        let all = 0..self.instances.len();
        let known = all.clone().filter(|index| silent_ms(*index) <= FORGET_MS);
        let known = known.count();
        let seen = all.filter(|index| silent_ms(*index) <= silence_ms);
        let mut seen: Vec<usize> = seen.collect();
        let share = seen.len() as f64 / known as f64;
        let first = self.first_of(&seen, runner).unwrap();
        seen.retain(|index| *index != first);
        (first, self.first_of(&seen, runner), share)
    }

    fn first_of(&self, seen: &[usize], runner: usize) -> Option<usize> {
        let member = |index: &usize| DutyMember {
            name: &self.instances[*index].name,
            strength: 250,
        };
        let members: Vec<DutyMember<'_>> = seen.iter().map(member).collect();
        let first = first_among(&format!("limit {runner:x}"), &members);
        first.map(|first| seen[first])
    }

    fn run(mut self) -> FleetCount {
        self.plan_disruptions();
        while self.now_ms < SIMULATED_MS {
            self.change_limits();
            self.tick();
            while self
                .queue
                .peek()
                .is_some_and(|Reverse((at_ms, ..))| *at_ms <= self.now_ms)
            {
                let Reverse((.., index)) = self.queue.pop().unwrap();
                let event = self.events[index].take().unwrap();
                self.handle(event);
            }
            self.now_ms += 1;
        }
        self.judge();
        self.count
    }

    fn plan_disruptions(&mut self) {
        for _ in 0..self.shape.disruptions {
            let instance = self.rng.random_range(0..self.shape.instances);
            let at_ms = self.rng.random_range(NAMED_MS..WITHDRAWN_MS);
            self.schedule(at_ms, SimEvent::Disrupt(instance));
        }
    }

    fn change_limits(&mut self) {
        let factor = match self.now_ms {
            NAMED_MS => 1.0,
            12_000 => 4.0,
            20_000 => 0.5,
            WITHDRAWN_MS => 0.0,
            _ => return,
        };
        for index in 0..self.runners.len() {
            let (min, max) = self.shape.limits;
            let first = min + (max - min) * (index as f64 / self.shape.runners as f64);
            let runner = &mut self.runners[index];
            runner.limit = (factor > 0.0).then_some(first * factor);
            runner.history.push((self.now_ms, runner.limit));
        }
    }

    /// Lets callers send requests and instances send their reports.
    fn tick(&mut self) {
        let now_ms = self.now_ms;
        let in_peak = PEAK_MS.contains(&now_ms);
        let per_s = self.shape.per_s * if in_peak { PEAK_FACTOR } else { 1.0 };
        let reports_ms = (4 * self.heartbeat_ms()).max(1000);
        for index in 0..self.instances.len() {
            let instance = &mut self.instances[index];
            if instance.up_since_ms.is_none() || instance.is_frozen {
                continue;
            }
            if instance.cut_since_ms.is_none() {
                instance.heard_ms = now_ms;
            }
            let is_due = instance.is_report_due && now_ms.is_multiple_of(TICK_MS);
            let is_regular = (now_ms + index as u64 * 37).is_multiple_of(reports_ms);
            if self.rng.random_bool(per_s / 1000.0) {
                self.count.calls += 1;
                self.schedule(0, SimEvent::Call(index, false));
            }
            if is_due || is_regular {
                self.send_reports(index);
            }
        }
    }

    fn send_reports(&mut self, from: usize) {
        let instance = &mut self.instances[from];
        instance.is_report_due = false;
        let reports = instance.limits.reports(self.now_ms, &mut self.rng);
        if reports.is_empty() {
            return;
        }
        for to in 0..self.instances.len() {
            if to != from && self.connects(from, to) && !self.rng.random_bool(LOSS) {
                let delay_ms = self.latency_ms();
                self.schedule(delay_ms, SimEvent::Reports(to, reports.clone()));
            }
        }
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Call(instance, has_returned) => self.place(instance, 0, has_returned),
            SimEvent::Place(instance, runner, denials, has_returned) => {
                self.request_permit(instance, runner, denials, has_returned);
            }
            SimEvent::PermitRequest(to, ask, report) => self.decide(to, ask, report),
            SimEvent::PermitReply(to, ask, decision) => {
                let silent = &mut self.instances[to].silent;
                silent.retain(|(known, ..)| *known != ask.asked);
                self.end_ask(to, ask, decision);
            }
            SimEvent::PermitTimeout(to, ask) => {
                let instance = &mut self.instances[to];
                if !ask.is_standby && instance.open.contains(&ask.number) {
                    let known = instance
                        .silent
                        .iter()
                        .find(|(known, ..)| *known == ask.asked);
                    let misses = known.map_or(0, |(_, misses, _)| *misses) + 1;
                    instance.silent.retain(|(known, ..)| *known != ask.asked);
                    instance.silent.push((ask.asked, misses, self.now_ms));
                }
                self.end_ask(to, ask, PermitDecision::Denied(NO_REPLY_DELAY_MS));
            }
            SimEvent::Arrive(from, runner, sent_ms) => self.arrive(from, runner, sent_ms),
            SimEvent::Response(to, runner, limit, sent_ms) => {
                let (now_ms, instance) = (self.now_ms, &mut self.instances[to]);
                let key = runner as u64;
                instance.is_report_due |= instance.limits.note(key, limit, sent_ms, now_ms);
            }
            SimEvent::Reports(to, reports) => {
                let instance = &mut self.instances[to];
                if instance.up_since_ms.is_some() && !instance.is_frozen {
                    for report in &reports {
                        instance.limits.merge(report, self.now_ms);
                    }
                }
            }
            SimEvent::Disrupt(index) => self.disrupt(index),
        }
    }

    /// Starts or ends a disruption of an instance.
    fn disrupt(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let kind = self.rng.random_range(0..3);
        let lasts_ms = self.rng.random_range(500..5000);
        let instance = &mut self.instances[index];
        if instance.cut_since_ms.is_some() || instance.is_frozen || instance.up_since_ms.is_none() {
            // The disruption ends. A process that was killed has lost its state.
            instance.cut_since_ms = None;
            instance.is_frozen = false;
            if instance.up_since_ms.is_none() {
                instance.up_since_ms = Some(now_ms);
                instance.limits = RunnerLimits::default();
                instance.life += 1;
                instance.open.clear();
                instance.silent.clear();
            }
            instance.excused_until_ms = now_ms + CONTACT_MS;
            return;
        }
        match kind {
            0 => instance.up_since_ms = None,
            1 => instance.is_frozen = true,
            _ => instance.cut_since_ms = Some(now_ms),
        }
        instance.excused_until_ms = now_ms + lasts_ms + CONTACT_MS;
        self.schedule(lasts_ms, SimEvent::Disrupt(index));
    }

    /// Chooses a runner at random among those that are not delayed.
    fn place(&mut self, index: usize, denials: u32, has_returned: bool) {
        let instance = &self.instances[index];
        if instance.up_since_ms.is_none() || instance.is_frozen {
            return;
        }
        let is_open = |runner: &usize| {
            let key = *runner as u64;
            let is_limited = instance.limits.limit_of(key).is_some();
            let is_avoided = denials >= MAX_DENIALS && is_limited;
            !is_avoided && instance.limits.delay_ms(key, self.now_ms).is_none()
        };
        let open: Vec<usize> = (0..self.runners.len()).filter(is_open).collect();
        if open.is_empty() {
            self.count.refused += 1;
            if !has_returned {
                self.schedule(RETURN_MS, SimEvent::Call(index, true));
            }
            return;
        }
        let runner = open[self.rng.random_range(0..open.len())];
        self.schedule(0, SimEvent::Place(index, runner, denials, has_returned));
    }

    fn request_permit(&mut self, index: usize, runner: usize, denials: u32, has_returned: bool) {
        let (key, now_ms) = (runner as u64, self.now_ms);
        if self.instances[index].limits.limit_of(key).is_none() {
            return self.send(index, runner);
        }
        self.asks += 1;
        let number = self.asks;
        let instance = &mut self.instances[index];
        instance.limits.begin_request(key);
        instance.open.push(number);
        let mut ask = PermitAsk {
            instance: index,
            asked: index,
            is_standby: false,
            life: instance.life,
            number,
            runner,
            denials,
            has_returned,
        };
        let report = instance.limits.report_of(key, now_ms).unwrap();
        let (coordinator, standby, share) = self.coordinators(index, runner);
        let silent = &self.instances[index].silent;
        let is_silent = |(known, misses, at_ms): &(usize, u32, u64)| {
            *known == coordinator && *misses >= SILENT_MISSES && now_ms < *at_ms + SILENT_MS
        };
        ask.is_standby = silent.iter().any(is_silent);
        let (asked, share) = match standby {
            Some(standby) if ask.is_standby => (standby, share * STANDBY_SHARE),
            _ => (coordinator, share),
        };
        ask.asked = asked;
        if asked == index {
            let decision = self.instances[index].limits.issue(key, share, now_ms);
            return self.end_ask(index, ask, decision);
        }
        self.count.permit_requests += 1;
        self.schedule(REPLY_TIMEOUT_MS, SimEvent::PermitTimeout(index, ask));
        if self.connects(index, asked) && !self.rng.random_bool(LOSS) {
            let delay_ms = self.latency_ms();
            self.schedule(delay_ms, SimEvent::PermitRequest(asked, ask, report));
        }
    }

    fn decide(&mut self, to: usize, ask: PermitAsk, report: LimitReport) {
        let now_ms = self.now_ms;
        if self.instances[to].up_since_ms.is_none() || self.instances[to].is_frozen {
            return;
        }
        self.instances[to].limits.merge(&report, now_ms);
        let (coordinator, standby, share) = self.coordinators(to, ask.runner);
        let limits = &mut self.instances[to].limits;
        let key = ask.runner as u64;
        let decision = match (coordinator == to, standby == Some(to) && ask.is_standby) {
            (true, _) => limits.issue(key, share, now_ms),
            (false, true) => limits.issue(key, share * STANDBY_SHARE, now_ms),
            (false, false) => PermitDecision::Denied(200),
        };
        if self.connects(to, ask.instance) && !self.rng.random_bool(LOSS) {
            let delay_ms = self.latency_ms();
            self.schedule(delay_ms, SimEvent::PermitReply(ask.instance, ask, decision));
        }
    }

    /// Ends a permit request unless it has ended already.
    fn end_ask(&mut self, index: usize, ask: PermitAsk, decision: PermitDecision) {
        let (key, now_ms) = (ask.runner as u64, self.now_ms);
        let instance = &mut self.instances[index];
        let open = instance.open.iter().position(|open| *open == ask.number);
        let Some(position) = open.filter(|_| instance.life == ask.life && !instance.is_frozen)
        else {
            return;
        };
        instance.open.swap_remove(position);
        let limits = &mut instance.limits;
        limits.end_request(key, Some(decision), now_ms, &mut self.rng);
        match decision {
            PermitDecision::Granted => self.send(index, ask.runner),
            PermitDecision::Denied(_) => self.place(index, ask.denials + 1, ask.has_returned),
        }
    }

    fn send(&mut self, index: usize, runner: usize) {
        self.count.served += 1;
        let delay_ms = self.latency_ms();
        self.schedule(delay_ms, SimEvent::Arrive(index, runner, self.now_ms));
    }

    fn arrive(&mut self, from: usize, index: usize, sent_ms: u64) {
        let is_excused = self.instances[from].excused_until_ms > self.now_ms;
        let runner = &mut self.runners[index];
        runner.arrivals.push(self.now_ms);
        if !is_excused {
            runner.counted.push(self.now_ms);
        }
        let limit = runner.limit;
        let delay_ms = self.rng.random_range(RUN_MS);
        self.schedule(delay_ms, SimEvent::Response(from, index, limit, sent_ms));
    }

    /// Compares what each runner got with what its limit allowed.
    fn judge(&mut self) {
        let (mut usable, mut used) = (0.0, 0.0);
        self.count.least_used = f64::MAX;
        for runner in &self.runners {
            let rates = runner.rates();
            let allowed_until = prefix_sums(&rates);
            let bound: Range<u64> = NAMED_MS + CONTACT_MS..WITHDRAWN_MS;
            let in_bound = |times: &[u64]| -> Vec<u64> {
                let times = times.iter().copied();
                times.filter(|at_ms| bound.contains(at_ms)).collect()
            };
            let counted = in_bound(if std::env::var("ALL").is_ok() {
                &runner.arrivals
            } else {
                &runner.counted
            });
            for (first, start_ms) in counted.iter().enumerate() {
                let end_ms = (start_ms + WINDOW_MS).min(WITHDRAWN_MS);
                let got = counted[first..].partition_point(|at_ms| *at_ms < end_ms);
                let rated = allowed_until[end_ms as usize] - allowed_until[*start_ms as usize];
                let fraction = got as f64 / (1.5 * rated + 5.0);
                self.count.worst = self.count.worst.max(fraction);
            }
            let arrivals = in_bound(&runner.arrivals);
            let rated = allowed_until[bound.end as usize] - allowed_until[bound.start as usize];
            let fraction = arrivals.len() as f64 / rated;
            self.count.least_used = self.count.least_used.min(fraction);
            usable += rated;
            used += arrivals.len() as f64;
        }
        self.count.used = used / usable;
    }
}

impl SimRunner {
    /// Returns the limit that binds in each millisecond. A lower limit binds once machines
    /// have known it for [`KNOWN_MS`].
    fn rates(&self) -> Vec<f64> {
        let at = |now_ms: u64| {
            let named = self.history.iter().rev().find(|(at, _)| *at <= now_ms);
            named.and_then(|(_, limit)| *limit).unwrap_or(0.0)
        };
        (0..SIMULATED_MS)
            .map(|now_ms| at(now_ms).max(at(now_ms.saturating_sub(KNOWN_MS))))
            .collect()
    }
}

/// Returns the requests that the rates allow until each millisecond.
fn prefix_sums(rates: &[f64]) -> Vec<f64> {
    let mut total = 0.0;
    let sums = rates.iter().map(|per_s| {
        total += per_s / 1000.0;
        total
    });
    std::iter::once(0.0).chain(sums).collect()
}

/// Simulates a fleet with several seeds and checks each. The environment may set the last
/// seed.
fn check(shape: FleetShape) {
    let last = env::var("BERYLMOUNT_LIMITED_SEEDS");
    let last = last.map_or(LAST_SEED, |last| last.parse().unwrap());
    for seed in 1..=last {
        let found = FleetSim::new(shape, seed).run();
        println!("{} instances, seed {seed}: {found:?}", shape.instances);
        assert!(found.worst <= 1.0, "seed {seed}: {found:?}");
        assert!(found.least_used >= 0.5, "seed {seed}: {found:?}");
    }
}

#[test]
fn limits_below_one_per_instance_are_kept_and_used_by_7_instances() {
    check(FleetShape {
        instances: 7,
        runners: 12,
        per_s: 20.0,
        limits: (0.5, 5.5),
        disruptions: 12,
    });
}

#[test]
fn limits_below_one_per_instance_are_kept_and_used_by_76_instances() {
    check(FleetShape {
        instances: 76,
        runners: 20,
        per_s: 6.0,
        limits: (0.5, 20.0),
        disruptions: 60,
    });
}

#[test]
fn limits_below_one_per_instance_are_kept_and_used_by_295_instances() {
    check(FleetShape {
        instances: 295,
        runners: 40,
        per_s: 3.0,
        limits: (0.5, 20.0),
        disruptions: 150,
    });
}
