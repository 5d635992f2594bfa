//! Chooses the runner for a request, by the earliest expected first token.
//!
//! The load of a runner is mainly this process's own requests in flight, which are
//! known exactly. A load report is always late, and only adds the load that other
//! processes had at its time. A runner's slowness is the ratio of its observed to its
//! expected time to first token. Overdue requests count as observations, so a straggler
//! gets no new requests even before it responds.
//!
//! Invariants: a leaving runner is never chosen, and no count is negative.

use crate::{
    capacity::{QueueCapacity, QueueRoom},
    prefix_index::PrefixIndex,
    queue::{CLASSES, LONG_FRACTION, LONG_PREFILL_MS},
    runner_query::{RunnerChoice, RunnerId, RunnerQuery, RunnerSettings},
    runner_state::{RunnerState, SentWork},
};
use berylmount_model::{WorkClass, PIECE_TOKENS};
use rand::{Rng, RngExt};
use strum::IntoEnumIterator;

/// Ratio to the best runner's slowness above which a runner counts as a straggler.
pub(crate) const STRAGGLER_RATIO: f64 = 2.0;
/// Interval between probes of one straggler, in milliseconds.
pub(crate) const PROBE_INTERVAL_MS: u64 = 2_000;
/// Penalty on the score of a group's last idle runner, which is reserved for critical
/// requests, in milliseconds.
const RESERVE_PENALTY_MS: f64 = 100.0;
/// Scores within this fraction of the best count as ties, which are broken at random.
const TIE_FRACTION: f64 = 0.05;

/// Values that are common to all runners during one choice.
struct BalancerContext<'a> {
    /// Runners that hold a prefix of the prompt, with its number of pieces, sorted.
    held: &'a [(RunnerId, usize)],
    /// Whether one more runner may start a long prefill.
    allows_long: bool,
    /// Slowness above which a runner counts as a straggler.
    straggler_limit: f64,
}

/// The state of one group's runners, as tracked by one dispatch process.
///
/// ```
/// use berylmount_model::WorkClass;
/// use berylmount_policy::{RunnerBalancer, RunnerQuery, RunnerSettings, WorkTicket};
/// use rand::SeedableRng;
///
/// let mut rng = rand_pcg::Pcg32::seed_from_u64(1);
/// let mut balancer = RunnerBalancer::new(RunnerSettings::default());
/// let (first, second) = (balancer.join(), balancer.join());
/// let query = RunnerQuery::new(2_000, WorkClass::Interactive);
/// balancer.set_leaving(first, true);
/// let choice = balancer.choose(&query, 0, &mut rng).unwrap();
/// assert_eq!(choice.runner, second);
/// balancer.start(WorkTicket(1), &choice, &query, 0);
/// balancer.first_token(second, WorkTicket(1), 210);
/// balancer.finish(second, WorkTicket(1), 900);
/// ```
#[derive(Clone, Debug)]
pub struct RunnerBalancer {
    pub(crate) settings: RunnerSettings,
    pub(crate) runners: Vec<RunnerState>,
    pub(crate) prefixes: PrefixIndex,
    /// Buffer that is reused for each choice.
    pub(crate) held: Vec<(RunnerId, usize)>,
}

impl RunnerBalancer {
    /// Creates a balancer without runners.
    ///
    /// ```
    /// use berylmount_policy::{RunnerBalancer, RunnerSettings};
    ///
    /// let mut balancer = RunnerBalancer::new(RunnerSettings::default());
    /// let runner = balancer.join();
    /// assert!(balancer.is_live(runner));
    /// ```
    pub fn new(settings: RunnerSettings) -> Self {
        Self {
            settings,
            runners: Vec::new(),
            prefixes: PrefixIndex::new(settings.cache_pieces),
            held: Vec::new(),
        }
    }

    /// Adds a runner. Ids of removed runners are reused.
    ///
    /// ```
    /// use berylmount_policy::{RunnerBalancer, RunnerSettings};
    ///
    /// let mut balancer = RunnerBalancer::new(RunnerSettings::default());
    /// let runner = balancer.join();
    /// assert_ne!(balancer.join(), runner);
    /// ```
    pub fn join(&mut self) -> RunnerId {
        let free = self.runners.iter().position(|runner| !runner.joined);
        let index = free.unwrap_or(self.runners.len());
        if index == self.runners.len() {
            self.runners.push(RunnerState::new());
        } else {
            self.runners[index] = RunnerState::new();
        }
        RunnerId(index as u32)
    }

    /// Removes a runner and all its requests in flight.
    ///
    /// ```
    /// use berylmount_policy::{RunnerBalancer, RunnerSettings};
    ///
    /// let mut balancer = RunnerBalancer::new(RunnerSettings::default());
    /// let runner = balancer.join();
    /// balancer.remove(runner);
    /// assert!(!balancer.is_live(runner));
    /// ```
    pub fn remove(&mut self, runner: RunnerId) {
        if let Some(state) = self.runners.get_mut(runner.0 as usize) {
            state.joined = false;
            state.in_flight.clear();
            self.prefixes.forget_runner(runner);
        }
    }

    /// Marks a runner as leaving (draining), or as live again.
    ///
    /// ```
    /// use berylmount_policy::{RunnerBalancer, RunnerSettings};
    ///
    /// let mut balancer = RunnerBalancer::new(RunnerSettings::default());
    /// let runner = balancer.join();
    /// balancer.set_leaving(runner, true);
    /// assert!(!balancer.is_live(runner));
    /// ```
    pub fn set_leaving(&mut self, runner: RunnerId, leaving: bool) {
        if let Some(state) = self.runners.get_mut(runner.0 as usize) {
            state.leaving = leaving;
        }
    }

    /// Whether `runner` may be sent new requests. Check again right before sending.
    ///
    /// ```
    /// use berylmount_policy::{RunnerBalancer, RunnerSettings};
    ///
    /// let mut balancer = RunnerBalancer::new(RunnerSettings::default());
    /// let runner = balancer.join();
    /// assert!(balancer.is_live(runner));
    /// ```
    pub fn is_live(&self, runner: RunnerId) -> bool {
        let state = self.runners.get(runner.0 as usize);
        state.is_some_and(RunnerState::is_live)
    }

    /// The index of the pieces that each runner probably holds.
    ///
    /// ```
    /// use berylmount_policy::{RunnerBalancer, RunnerSettings};
    ///
    /// let mut balancer = RunnerBalancer::new(RunnerSettings::default());
    /// let runner = balancer.join();
    /// balancer.prefixes_mut().forget_runner(runner);
    /// ```
    pub fn prefixes_mut(&mut self) -> &mut PrefixIndex {
        &mut self.prefixes
    }

    /// Number of this process's requests in flight at `runner`.
    ///
    /// ```
    /// use berylmount_model::WorkClass;
    /// use berylmount_policy::{RunnerBalancer, RunnerQuery, RunnerSettings, WorkTicket};
    /// use rand::SeedableRng;
    ///
    /// let mut rng = rand_pcg::Pcg32::seed_from_u64(1);
    /// let mut balancer = RunnerBalancer::new(RunnerSettings::default());
    /// let runner = balancer.join();
    /// let query = RunnerQuery::new(2_000, WorkClass::Interactive);
    /// let choice = balancer.choose(&query, 0, &mut rng).unwrap();
    /// balancer.start(WorkTicket(1), &choice, &query, 0);
    /// assert_eq!(balancer.in_flight(runner), 1);
    /// ```
    pub fn in_flight(&self, runner: RunnerId) -> usize {
        let state = self.runners.get(runner.0 as usize);
        state.map_or(0, |state| state.in_flight.len())
    }

    /// Ratio of the observed to the expected time to first token of `runner`.
    ///
    /// ```
    /// use berylmount_policy::{RunnerBalancer, RunnerSettings};
    ///
    /// let mut balancer = RunnerBalancer::new(RunnerSettings::default());
    /// let runner = balancer.join();
    /// assert_eq!(balancer.slowness(runner, 0), 1.0);
    /// ```
    pub fn slowness(&self, runner: RunnerId, now_ms: u64) -> f64 {
        let state = self.runners.get(runner.0 as usize);
        state.map_or(1.0, |state| state.slowness(now_ms))
    }

    /// Chooses the runner with the earliest expected first token, if any may take the
    /// request. A due probe of a straggler takes precedence.
    ///
    /// ```
    /// use berylmount_model::WorkClass;
    /// use berylmount_policy::{RunnerBalancer, RunnerQuery, RunnerSettings, WorkTicket};
    /// use rand::SeedableRng;
    ///
    /// let mut rng = rand_pcg::Pcg32::seed_from_u64(1);
    /// let mut balancer = RunnerBalancer::new(RunnerSettings::default());
    /// let runner = balancer.join();
    /// let query = RunnerQuery::new(2_000, WorkClass::Interactive);
    /// let choice = balancer.choose(&query, 0, &mut rng).unwrap();
    /// assert_eq!((choice.runner, choice.expected_ms), (runner, 200.0));
    /// ```
    pub fn choose(
        &mut self,
        query: &RunnerQuery,
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> Option<RunnerChoice> {
        let mut held = std::mem::take(&mut self.held);
        self.prefixes.held_pieces(query.pieces, &mut held);
        let choice = self.choose_among(query, &held, now_ms, rng);
        self.held = held;
        choice
    }

    fn choose_among(
        &mut self,
        query: &RunnerQuery,
        held: &[(RunnerId, usize)],
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> Option<RunnerChoice> {
        let mut best: Option<(f64, RunnerChoice)> = None;
        let mut ties = 0;
        let straggler_limit = STRAGGLER_RATIO * self.best_slowness().max(1.0);
        let last_idle = self.last_idle(query.class, straggler_limit);
        let context = BalancerContext {
            held,
            allows_long: self.allows_long(),
            straggler_limit,
        };
        for index in 0..self.runners.len() {
            let runner = RunnerId(index as u32);
            if query.avoid.contains(&runner) {
                continue;
            }
            let Some(choice) = self.evaluate(runner, query, &context, now_ms) else {
                continue;
            };
            if choice.probe {
                self.runners[index].next_probe_ms = now_ms + PROBE_INTERVAL_MS;
                return Some(choice);
            }
            let penalty_ms = if last_idle == Some(runner) {
                RESERVE_PENALTY_MS
            } else {
                0.0
            };
            let score = choice.expected_ms + penalty_ms;
            let best_score = best.map_or(f64::INFINITY, |(score, _)| score);
            if score < best_score * (1.0 - TIE_FRACTION) {
                (best, ties) = (Some((score, choice)), 1);
            } else if score <= best_score * (1.0 + TIE_FRACTION) {
                ties += 1;
                if rng.random_range(0..ties) == 0 {
                    best = Some((score, choice));
                }
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// The last idle runner: the only live runner that is no straggler and has no request
    /// waiting for its first token. `None` for critical requests, for which it is reserved.
    fn last_idle(&self, class: WorkClass, straggler_limit: f64) -> Option<RunnerId> {
        if class == WorkClass::Critical {
            return None;
        }
        let is_idle = |state: &RunnerState| {
            state.is_live()
                && state.slowness < straggler_limit
                && !state.in_flight.iter().any(SentWork::awaits_first_token)
        };
        let mut indexes = (0..self.runners.len()).filter(|&index| is_idle(&self.runners[index]));
        let first = indexes.next()?;
        indexes.next().is_none().then_some(RunnerId(first as u32))
    }

    /// Evaluates `runner` for the request; `None` if it may not take it.
    fn evaluate(
        &self,
        runner: RunnerId,
        query: &RunnerQuery,
        context: &BalancerContext,
        now_ms: u64,
    ) -> Option<RunnerChoice> {
        let state = &self.runners[runner.0 as usize];
        if !state.is_live() || state.running() >= self.settings.slots {
            return None;
        }
        let found = context.held.binary_search_by_key(&runner, |&(r, _)| r);
        let pieces = found.map_or(0, |index| context.held[index].1);
        let cached = ((pieces * PIECE_TOKENS) as u32).min(query.prompt_tokens);
        let prefill = self
            .settings
            .prefill_ms(query.prompt_tokens - cached)
            .max(1.0);
        if prefill >= LONG_PREFILL_MS && (!context.allows_long || state.has_long()) {
            return None;
        }
        let slowness = state.slowness(now_ms);
        let ahead = state.ahead_ms(query.class, slowness, now_ms);
        let room = self.settings.room_ms + self.settings.prefill_ms(cached);
        if state.load_ms(query.class, slowness, now_ms) > room {
            return None;
        }
        let straggler = slowness > context.straggler_limit;
        let short = prefill < LONG_PREFILL_MS;
        let probe = straggler && query.may_probe && short && state.may_probe(query.class, now_ms);
        Some(RunnerChoice {
            runner,
            cached_tokens: cached,
            prefill_ms: prefill,
            healthy_ms: ahead + prefill,
            expected_ms: (ahead + prefill) * slowness,
            probe,
        })
    }

    fn best_slowness(&self) -> f64 {
        let live = self.runners.iter().filter(|runner| runner.is_live());
        live.map(|runner| runner.slowness)
            .fold(f64::INFINITY, f64::min)
    }

    /// Whether one more runner may start a long prefill. Stragglers count as a fraction of
    /// a runner.
    fn allows_long(&self) -> bool {
        let live = self.runners.iter().filter(|runner| runner.is_live());
        let (live, long) = live.fold((0.0, 0), |(live, long), runner| {
            let fraction = 1.0 / runner.slowness.max(1.0);
            (live + fraction, long + usize::from(runner.has_long()))
        });
        let max_long = (live * LONG_FRACTION).round().max(1.0) as usize;
        long < max_long
    }

    /// The kinds of requests for which some runner has room.
    ///
    /// ```
    /// use berylmount_policy::{RunnerBalancer, RunnerSettings};
    ///
    /// let mut balancer = RunnerBalancer::new(RunnerSettings::default());
    /// let runner = balancer.join();
    /// balancer.set_leaving(runner, true);
    /// assert!(!balancer.room(0).short[0]);
    /// ```
    pub fn room(&self, now_ms: u64) -> QueueRoom {
        let allows_long = self.allows_long();
        let mut room = QueueRoom::default();
        for state in self.runners.iter().filter(|runner| runner.is_live()) {
            if state.running() >= self.settings.slots {
                continue;
            }
            let slowness = state.slowness(now_ms);
            let long = allows_long && !state.has_long();
            for class in WorkClass::iter() {
                let load = state.load_ms(class, slowness, now_ms);
                let open = load <= self.settings.room_ms;
                room.short[class as usize] |= open;
                room.long[class as usize] |= open && long;
            }
        }
        room
    }

    /// The capacity of the runners, for the queue's estimates.
    ///
    /// ```
    /// use berylmount_policy::{RunnerBalancer, RunnerSettings};
    ///
    /// let mut balancer = RunnerBalancer::new(RunnerSettings::default());
    /// let runner = balancer.join();
    /// assert!(balancer.is_live(runner));
    /// assert_eq!(balancer.capacity(0).runners, 1.0);
    /// ```
    pub fn capacity(&self, now_ms: u64) -> QueueCapacity {
        let mut capacity = QueueCapacity {
            runners: 0.0,
            slowness: 1.0,
            in_flight_ms: [0.0; CLASSES],
            earliest_start_ms: [f64::INFINITY; CLASSES],
        };
        let mut live = 0.0;
        for state in self.runners.iter().filter(|runner| runner.is_live()) {
            let slowness = state.slowness(now_ms);
            live += 1.0;
            capacity.runners += 1.0 / slowness.max(1.0);
            for class in WorkClass::iter() {
                let ahead = state.ahead_ms(class, slowness, now_ms);
                let soonest = &mut capacity.earliest_start_ms[class as usize];
                *soonest = soonest.min(ahead * slowness);
                capacity.in_flight_ms[class as usize] += ahead;
            }
        }
        if live > 0.0 {
            capacity.slowness = live / capacity.runners;
        }
        capacity
    }
}
