//! The event loop: arrivals, targets and faults around one policy.

use crate::{
    ours::OurPolicy,
    plain::{PlainChoice, PlainPolicy},
    scenarios::{Arrival, Fault, Scenario},
    targets::{LinkModel, PrefillJob, RunnerModel, StoreModel, PIECE_BYTES, TOKEN_US},
};
use berylmount_model::{PieceKey, PIECE_TOKENS};
use berylmount_policy::RunnerReport;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap},
};
use strum::{Display, EnumIter, EnumString};

/// Data centres of each of today's users.
pub(crate) const DATA_CENTRES: usize = 3;
/// Data centres with a store.
pub(crate) const STORE_CENTRES: [usize; 2] = [0, 2];
/// Entry instances.
pub(crate) const ENTRIES: usize = 6;
/// Delay of a message between data centres.
const FAR_US: u64 = 4_000;
/// Delay of a message within one.
const NEAR_US: u64 = 500;
/// Delay until a lost message is sent again.
const RESEND_US: u64 = 200_000;
/// Time between two load reports of a runner.
const REPORT_US: u64 = 1_000_000;
/// Time until a dead instance's work has moved.
pub(crate) const TAKEOVER_US: u64 = 1_000_000;
/// Times that a refused caller comes back.
const MOST_RETURNS: u32 = 3;
/// Delay of reading from a store's disk.
pub(crate) const DISK_US: u64 = 15_000;

/// The policies that are compared.
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum PolicyName {
    Ours,
    RoundRobin,
    LeastLoad,
    PrefixAffinity,
    /// Round robin that passes the class to the engine as a priority.
    RoundRobinClasses,
    /// Prefix affinity that passes the class to the engine as a priority.
    AffinityClasses,
}

/// What happens next.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Event {
    Arrive(usize),
    AtGroup {
        arrival: usize,
        group: usize,
    },
    Refused {
        arrival: usize,
        group: usize,
        may_have_run: bool,
        retry_ms: u64,
    },
    Submit(usize),
    Fetched(usize),
    ChunkEnd(usize),
    Done(usize),
    Exported {
        ticket: u64,
    },
    ReportMade(usize),
    ReportSeen {
        runner: usize,
        at_us: u64,
        tokens: u64,
        running: u32,
    },
    GroupTick(usize),
    GroupReport {
        group: usize,
    },
    Fault(usize),
}

/// One try on a runner.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) arrival: usize,
    pub(crate) group: usize,
    pub(crate) runner: usize,
    pub(crate) rank: u8,
    pub(crate) sent_us: u64,
    pub(crate) expected_ms: f64,
    pub(crate) fetched: usize,
    pub(crate) first: bool,
    pub(crate) ended: bool,
    pub(crate) hedged: bool,
    /// The first token is not seen before, such as after a takeover.
    pub(crate) held_until_us: u64,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) first_us: Option<u64>,
    pub(crate) refused_us: Option<u64>,
    pub(crate) retry_ms: u64,
    /// Tries, and the first ones among them.
    pub(crate) tries: u32,
    pub(crate) firsts: u32,
    /// When it was last asked.
    pub(crate) asked_us: u64,
    /// How often it came back when told, and how often that was in time.
    pub(crate) returns: u32,
    pub(crate) good_returns: u32,
}

/// Tokens counted over a run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TokenCounts {
    pub(crate) prompt: u64,
    pub(crate) prefilled: u64,
    pub(crate) recomputed: u64,
}

/// Everything outside the policy.
pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) scenario: Scenario,
    pub(crate) runners: Vec<RunnerModel>,
    pub(crate) links: Vec<LinkModel>,
    pub(crate) stores: Vec<StoreModel>,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) outcomes: Vec<Outcome>,
    pub(crate) counts: TokenCounts,
    pub(crate) rng: Pcg64,
    seen: BTreeSet<PieceKey>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
}

/// One policy under test.
enum PolicyState {
    Ours(Box<OurPolicy>),
    Plain(PlainPolicy),
}

impl World {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let near = |from: usize, store: usize| from == STORE_CENTRES[store];
        let link = |n: usize| {
            let local = near(n / STORE_CENTRES.len(), n % STORE_CENTRES.len());
            let rate = if local { 1e9 } else { scenario.far_bytes_per_s };
            let mut link = LinkModel::new(rate, if local { NEAR_US } else { FAR_US });
            if !local {
                link.spells = scenario.spells.clone();
            }
            link
        };
        let links = (0..DATA_CENTRES * STORE_CENTRES.len()).map(link).collect();
        let centre = |runner| runner * DATA_CENTRES / scenario.runners;
        Self {
            now: 0,
            runners: (0..scenario.runners)
                .map(|r| RunnerModel::new(centre(r)))
                .collect(),
            links,
            stores: STORE_CENTRES
                .iter()
                .map(|_| StoreModel::default())
                .collect(),
            attempts: Vec::new(),
            outcomes: vec![Outcome::default(); scenario.arrivals.len()],
            counts: TokenCounts::default(),
            rng: Pcg64::seed_from_u64(seed ^ 0x5eed),
            seen: BTreeSet::new(),
            events: BinaryHeap::new(),
            order: 0,
            scenario,
        }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.now / 1000
    }

    pub(crate) fn arrival(&self, arrival: usize) -> &Arrival {
        &self.scenario.arrivals[arrival]
    }

    /// Schedules `event` after `delay_us`.
    pub(crate) fn after(&mut self, delay_us: u64, event: Event) {
        self.order += 1;
        let entry = (self.now + delay_us, self.order, event);
        self.events.push(Reverse(entry));
    }

    /// The delay of one message between two data centres.
    pub(crate) fn hop_us(&mut self, from: usize, to: usize) -> u64 {
        if from == to {
            return NEAR_US;
        }
        let lost = self.rng.random::<f64>() < self.scenario.loss;
        FAR_US + self.rng.random_range(0..500) + if lost { RESEND_US } else { 0 }
    }

    /// The link between a data centre and a store.
    pub(crate) fn link(&mut self, centre: usize, store: usize) -> &mut LinkModel {
        &mut self.links[centre * STORE_CENTRES.len() + store]
    }

    /// The entry that takes a customer's requests, and its data centre.
    pub(crate) fn entry_of(&self, arrival: usize) -> (usize, usize) {
        let entry = self.arrival(arrival).customer % ENTRIES;
        (entry, entry % DATA_CENTRES)
    }

    /// Adds a try and counts it.
    pub(crate) fn add_attempt(&mut self, attempt: Attempt) -> usize {
        self.outcomes[attempt.arrival].tries += 1;
        self.attempts.push(attempt);
        self.attempts.len() - 1
    }

    fn submit(&mut self, attempt: usize) {
        let state = &self.attempts[attempt];
        if state.ended {
            return;
        }
        let arrival = &self.scenario.arrivals[state.arrival];
        let place = state.runner;
        let runner = &mut self.runners[place];
        if state.fetched > 0 {
            runner.cache.insert(&arrival.pieces[..state.fetched]);
        }
        runner.submit(PrefillJob {
            attempt,
            rank: state.rank,
            age: attempt as u64,
            pieces: arrival.pieces.clone(),
            prompt_tokens: arrival.prompt_tokens,
            left_tokens: None,
            computed_tokens: 0.0,
        });
        self.run_chunk(place);
    }

    fn run_chunk(&mut self, runner: usize) {
        if self.runners[runner].is_idle() {
            if let Some(time) = self.runners[runner].begin_chunk() {
                self.after(time, Event::ChunkEnd(runner));
            }
        }
    }

    /// Ends a chunk; returns the attempt whose prefill is done.
    fn chunk_end(&mut self, runner: usize) -> Option<usize> {
        let done = self.runners[runner].end_chunk();
        self.run_chunk(runner);
        let job = done?;
        self.count_prefill(&job);
        let attempt = &self.attempts[job.attempt];
        if attempt.ended {
            return None;
        }
        let tokens = f64::from(self.scenario.arrivals[attempt.arrival].answer_tokens);
        let state = &mut self.runners[runner];
        state.decoding += 1;
        let time = tokens * TOKEN_US / state.speed;
        self.after(time as u64, Event::Done(job.attempt));
        Some(job.attempt)
    }

    fn count_prefill(&mut self, job: &PrefillJob) {
        let whole = f64::from(job.prompt_tokens);
        let pieces = job.pieces.len() * PIECE_TOKENS;
        let uncached = job.computed_tokens;
        let from = ((whole - uncached).max(0.0) as usize / PIECE_TOKENS).min(job.pieces.len());
        let again = job.pieces[from..]
            .iter()
            .filter(|key| self.seen.contains(key));
        self.counts.recomputed += (again.count() * PIECE_TOKENS) as u64;
        self.counts.prompt += pieces as u64;
        self.counts.prefilled += uncached as u64;
        self.seen.extend(job.pieces.iter().copied());
    }

    /// Ends an attempt that lost, wherever it is.
    pub(crate) fn cancel(&mut self, attempt: usize) {
        let state = &mut self.attempts[attempt];
        state.ended = true;
        let runner = state.runner;
        self.runners[runner].cancel(attempt);
    }

    /// Notes the first token at the caller's entry.
    pub(crate) fn note_first(&mut self, attempt: usize) {
        let state = &self.attempts[attempt];
        let (arrival, centre) = (state.arrival, self.runners[state.runner].data_centre);
        let seen = self.now.max(state.held_until_us);
        let entry = self.entry_of(arrival).1;
        let hop = self.hop_us(centre, entry);
        let limit_us = 1000 * self.arrival(arrival).limit_ms;
        let outcome = &mut self.outcomes[arrival];
        if outcome.first_us.is_none() && outcome.returns > 0 {
            let waited = seen + hop - outcome.asked_us;
            outcome.good_returns += u32::from(waited <= limit_us);
        }
        outcome.first_us = outcome.first_us.or(Some(seen + hop));
    }

    /// Refuses a request; its caller comes back when told, a few times.
    pub(crate) fn refuse(&mut self, arrival: usize, retry_ms: u64) {
        let outcome = &mut self.outcomes[arrival];
        outcome.refused_us = outcome.refused_us.or(Some(self.now));
        outcome.retry_ms = retry_ms;
        if retry_ms > 0 && outcome.returns < MOST_RETURNS {
            outcome.returns += 1;
            self.after(1000 * retry_ms, Event::Arrive(arrival));
        }
    }

    /// Notes that a caller asks.
    pub(crate) fn note_asked(&mut self, arrival: usize) {
        self.outcomes[arrival].asked_us = self.now;
    }

    /// When the first token of a request is due, in milliseconds.
    pub(crate) fn due_ms(&self, arrival: usize) -> u64 {
        self.outcomes[arrival].asked_us / 1000 + self.arrival(arrival).limit_ms
    }

    /// Whether an order cannot be recorded now.
    pub(crate) fn orders_blocked(&self) -> bool {
        (self.scenario.outage_us.0..self.scenario.outage_us.1).contains(&self.now)
    }

    fn make_report(&mut self, runner: usize) {
        let state = &self.runners[runner];
        let (tokens, running) = (state.waiting_tokens(), state.running());
        let lag = self.rng.random_range(1_000_000..2_000_000);
        let at_us = self.now;
        self.after(
            lag,
            Event::ReportSeen {
                runner,
                at_us,
                tokens,
                running,
            },
        );
        self.after(REPORT_US, Event::ReportMade(runner));
    }
}

/// Runs `scenario` under `policy`; returns the world at its end.
pub(crate) fn run(scenario: Scenario, policy: PolicyName, seed: u64) -> World {
    let mut world = World::new(scenario, seed);
    let choice = match policy {
        PolicyName::Ours => None,
        PolicyName::RoundRobin | PolicyName::RoundRobinClasses => Some(PlainChoice::RoundRobin),
        PolicyName::LeastLoad => Some(PlainChoice::LeastLoad),
        PolicyName::PrefixAffinity | PolicyName::AffinityClasses => {
            Some(PlainChoice::PrefixAffinity)
        }
    };
    let classes = matches!(
        policy,
        PolicyName::RoundRobinClasses | PolicyName::AffinityClasses
    );
    let mut state = match choice {
        None => PolicyState::Ours(Box::new(OurPolicy::new(&world))),
        Some(choice) => PolicyState::Plain(PlainPolicy::new(choice, classes, &world)),
    };
    for arrival in 0..world.scenario.arrivals.len() {
        let at = world.arrival(arrival).at_us;
        world.after(at, Event::Arrive(arrival));
    }
    for fault in 0..world.scenario.faults.len() {
        let at = world.scenario.faults[fault].0;
        world.after(at, Event::Fault(fault));
    }
    for runner in 0..world.runners.len() {
        world.after(runner as u64 * 70_000, Event::ReportMade(runner));
    }
    for group in 0..DATA_CENTRES {
        world.after(0, Event::GroupTick(group));
        world.after(0, Event::GroupReport { group });
    }
    let last = world
        .scenario
        .arrivals
        .last()
        .map_or(0, |arrival| arrival.at_us);
    while let Some(Reverse((now, _, event))) = world.events.pop() {
        if now > last + 120_000_000 {
            break;
        }
        world.now = now;
        step(&mut world, &mut state, event);
    }
    world
}

fn step(world: &mut World, state: &mut PolicyState, event: Event) {
    match event {
        Event::Submit(attempt) => world.submit(attempt),
        Event::ChunkEnd(runner) => {
            if let Some(attempt) = world.chunk_end(runner) {
                match state {
                    PolicyState::Ours(ours) => ours.first_token(world, attempt),
                    PolicyState::Plain(_) => {
                        world.attempts[attempt].first = true;
                        world.note_first(attempt);
                    }
                }
            }
        }
        Event::Done(attempt) => {
            let runner = world.attempts[attempt].runner;
            world.runners[runner].decoding -= 1;
            match state {
                PolicyState::Ours(ours) => ours.done(world, attempt),
                PolicyState::Plain(plain) => plain.done(world, attempt),
            }
        }
        Event::ReportMade(runner) => world.make_report(runner),
        Event::Fault(fault) => match world.scenario.faults[fault].1 {
            Fault::Speed { runner, speed } => world.runners[runner].speed = speed,
            Fault::Kill => match state {
                PolicyState::Ours(ours) => ours.kill(world),
                PolicyState::Plain(plain) => plain.kill(world),
            },
        },
        event => match state {
            PolicyState::Ours(ours) => ours.step(world, event),
            PolicyState::Plain(plain) => plain.step(world, event),
        },
    }
}

/// A report as the policy takes it.
pub(crate) fn report(at_us: u64, tokens: u64, running: u32) -> RunnerReport {
    RunnerReport {
        at_ms: at_us / 1000,
        waiting_tokens: tokens,
        running,
    }
}

/// Bytes of the kept cache of `pieces`.
pub(crate) fn piece_bytes(pieces: usize) -> u64 {
    pieces as u64 * PIECE_BYTES
}
