//! Which runner takes a request.
//!
//! Own work in flight counts first; a report, which is always late, adds only
//! what others had waiting at its time. A runner's slowness is its observed
//! over its expected time to the first token; overdue work counts as
//! observed, so a straggler loses new work before it answers at all.
//! Invariants: a leaving runner is never chosen, and no count is negative.

use crate::{
    prefixes::PrefixIndex,
    queue::{QueueCapacity, QueueRoom, WorkTicket, CLASSES, LONG_PART, LONG_PREFILL_MS},
};
use berylmount_model::{PieceKey, WorkClass, PIECE_TOKENS};
use rand::{Rng, RngExt};
use strum::IntoEnumIterator;

/// Added to both sides of an observed ratio, in milliseconds, against noise.
const GRACE_MS: f64 = 10.0;
/// Expected time at which an observation counts half, in milliseconds.
const HALF_COUNT_MS: f64 = 40.0;
/// Part of a new observation that counts if it is slower than before.
const SLOWER_PART: f64 = 0.5;
/// Part of a new observation that counts if it is faster than before.
const FASTER_PART: f64 = 0.25;
/// Part of a probe's observation that counts.
const PROBE_PART: f64 = 0.7;
/// Slowness over the best runner's from which a runner counts as a straggler.
const STRAGGLER_RATIO: f64 = 2.0;
/// Time between probes of one straggler, in milliseconds.
const PROBE_GAP_MS: u64 = 2_000;
/// Prefill time that a lower class delays a higher one on a runner: one piece.
const LOWER_CLASS_MS: f64 = 100.0;
/// Age from which a report says nothing, in milliseconds.
const REPORT_LIFE_MS: u64 = 10_000;
/// Times the usual room that a runner may be sent for the sake of its cache.
const CACHE_ROOM: f64 = 4.0;
/// Added to the score of a group's last clear runner, which is kept for
/// critical work, in milliseconds.
const RESERVE_MS: f64 = 100.0;
/// Scores within this part of the best are drawn evenly.
const TIE_PART: f64 = 0.05;

/// A runner's dense id, given by [`RunnerBoard::join`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RunnerId(pub u32);

/// What a board expects of healthy runners.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunnerSettings {
    /// Prompt tokens that a healthy runner prefills a second.
    pub prefill_tokens_per_s: f64,
    /// Requests that a runner batches at most.
    pub slots: u32,
    /// Prefill time that a runner is sent ahead, in milliseconds.
    pub room_ms: f64,
    /// Pieces that a runner's own cache holds.
    pub cache_pieces: usize,
}

impl Default for RunnerSettings {
    fn default() -> Self {
        Self {
            prefill_tokens_per_s: 10_000.0,
            slots: 64,
            room_ms: 250.0,
            cache_pieces: 256,
        }
    }
}

impl RunnerSettings {
    /// Expected prefill time of `tokens` on a healthy runner, in milliseconds.
    ///
    /// ```
    /// let settings = berylmount_policy::RunnerSettings::default();
    /// assert_eq!(settings.prefill_ms(1_000), 100.0);
    /// ```
    pub fn prefill_ms(&self, tokens: u32) -> f64 {
        f64::from(tokens) * 1000.0 / self.prefill_tokens_per_s.max(1.0)
    }
}

/// A runner's load report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunnerReport {
    /// When the runner made it: the time of arrival less its stated age.
    pub at_ms: u64,
    /// Prompt tokens that waited for prefill.
    pub waiting_tokens: u64,
    /// Requests that ran.
    pub running: u32,
}

/// A request that needs a runner.
#[derive(Clone, Copy, Debug)]
pub struct RunnerQuery<'a> {
    /// The prompt's piece keys in order.
    pub pieces: &'a [PieceKey],
    /// The prompt's length in tokens.
    pub prompt_tokens: u32,
    /// The class of work.
    pub class: WorkClass,
    /// Whether a straggler may be probed with it.
    pub may_probe: bool,
    /// Runners that failed it before.
    pub avoid: &'a [RunnerId],
}

/// A chosen runner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunnerChoice {
    /// The runner.
    pub runner: RunnerId,
    /// Prompt tokens that its cache probably holds.
    pub cached_tokens: u32,
    /// Prefill time of the rest on a healthy runner, in milliseconds.
    pub prefill_ms: f64,
    /// Expected time to the first token were it healthy, in milliseconds.
    pub healthy_ms: f64,
    /// Expected time to the first token, in milliseconds.
    pub expected_ms: f64,
    /// Whether it is a probe of a straggler.
    pub probe: bool,
}

/// One request sent to a runner.
#[derive(Clone, Copy, Debug)]
struct SentWork {
    ticket: WorkTicket,
    class: WorkClass,
    prefill_ms: f64,
    healthy_ms: f64,
    sent_ms: u64,
    first_ms: Option<u64>,
    probe: bool,
}

impl SentWork {
    fn waits(&self) -> bool {
        self.first_ms.is_none()
    }

    fn is_long(&self) -> bool {
        self.waits() && self.prefill_ms >= LONG_PREFILL_MS
    }

    /// Observed over expected time to the first token, so far.
    fn ratio(&self, now_ms: u64) -> f64 {
        let seen = self.first_ms.unwrap_or(now_ms).saturating_sub(self.sent_ms);
        (seen as f64 + GRACE_MS) / (self.healthy_ms + GRACE_MS)
    }
}

/// One runner.
#[derive(Clone, Debug)]
struct RunnerState {
    joined: bool,
    leaving: bool,
    works: Vec<SentWork>,
    /// When the prefill at the head began, as far as known.
    head_ms: u64,
    slowness: f64,
    probe_ms: u64,
    foreign_ms: f64,
    foreign_running: u32,
    report_ms: u64,
}

impl RunnerState {
    fn new() -> Self {
        Self {
            joined: true,
            leaving: false,
            works: Vec::new(),
            head_ms: 0,
            slowness: 1.0,
            probe_ms: 0,
            foreign_ms: 0.0,
            foreign_running: 0,
            report_ms: 0,
        }
    }

    fn is_live(&self) -> bool {
        self.joined && !self.leaving
    }

    /// Slowness with overdue work counted as observed.
    fn slowness(&self, now_ms: u64) -> f64 {
        let waiting = self.works.iter().filter(|work| work.waits());
        let overdue = waiting.map(|work| work.ratio(now_ms)).fold(0.0, f64::max);
        self.slowness.max(overdue)
    }

    /// Prefill time ahead of new work of `class`, on a healthy runner.
    fn ahead_ms(&self, class: WorkClass, slowness: f64, now_ms: u64) -> f64 {
        let waiting = self.works.iter().filter(|work| work.waits());
        let (mut same, mut lower) = (0.0, 0.0);
        for work in waiting {
            if work.class <= class {
                same += work.prefill_ms;
            } else {
                lower += work.prefill_ms;
            }
        }
        let done = now_ms.saturating_sub(self.head_ms) as f64 / slowness;
        let own = (same - done).max(0.0) + f64::min(lower, LOWER_CLASS_MS);
        own + self.foreign_ms(slowness, now_ms)
    }

    /// Prefill time of others' work, as far as the last report still tells.
    fn foreign_ms(&self, slowness: f64, now_ms: u64) -> f64 {
        let age = now_ms.saturating_sub(self.report_ms);
        if age > REPORT_LIFE_MS {
            return 0.0;
        }
        (self.foreign_ms - age as f64 / slowness).max(0.0)
    }

    fn running(&self) -> u32 {
        self.works.len() as u32 + self.foreign_running
    }

    fn has_long(&self) -> bool {
        self.works.iter().any(SentWork::is_long)
    }

    fn may_probe(&self, now_ms: u64) -> bool {
        now_ms >= self.probe_ms && !self.works.iter().any(SentWork::waits)
    }
}

/// What holds for all runners during one choice.
struct BoardView<'a> {
    /// Runners that hold a prefix of the prompt, with its pieces; sorted.
    held: &'a [(RunnerId, usize)],
    /// Whether another runner may take a long prefill.
    long_open: bool,
    /// Slowness from which a runner counts as a straggler.
    straggling: f64,
}

/// The runners of one group, as one dispatch process sees them.
///
/// ```
/// use berylmount_model::WorkClass;
/// use berylmount_policy::{RunnerBoard, RunnerQuery, RunnerSettings, WorkTicket};
/// use rand::SeedableRng;
///
/// let mut rng = rand_pcg::Pcg32::seed_from_u64(1);
/// let mut board = RunnerBoard::new(RunnerSettings::default());
/// let (first, second) = (board.join(), board.join());
/// let query = RunnerQuery {
///     pieces: &[],
///     prompt_tokens: 2_000,
///     class: WorkClass::Interactive,
///     may_probe: true,
///     avoid: &[],
/// };
/// board.set_leaving(first, true);
/// let choice = board.choose(&query, 0, &mut rng).unwrap();
/// assert_eq!(choice.runner, second);
/// board.start(WorkTicket(1), &choice, &query, 0);
/// board.first_token(second, WorkTicket(1), 210);
/// board.finish(second, WorkTicket(1), 900);
/// ```
#[derive(Clone, Debug)]
pub struct RunnerBoard {
    settings: RunnerSettings,
    runners: Vec<RunnerState>,
    prefixes: PrefixIndex,
    /// Reused on each choice.
    held: Vec<(RunnerId, usize)>,
}

impl RunnerBoard {
    /// A board without runners.
    pub fn new(settings: RunnerSettings) -> Self {
        Self {
            settings,
            runners: Vec::new(),
            prefixes: PrefixIndex::new(settings.cache_pieces),
            held: Vec::new(),
        }
    }

    /// Adds a runner; ids of removed runners are given out again.
    pub fn join(&mut self) -> RunnerId {
        let free = self.runners.iter().position(|runner| !runner.joined);
        let place = free.unwrap_or(self.runners.len());
        if place == self.runners.len() {
            self.runners.push(RunnerState::new());
        } else {
            self.runners[place] = RunnerState::new();
        }
        RunnerId(place as u32)
    }

    /// Removes a runner with all that was sent to it.
    pub fn remove(&mut self, runner: RunnerId) {
        if let Some(state) = self.runners.get_mut(runner.0 as usize) {
            state.joined = false;
            state.works.clear();
            self.prefixes.forget_runner(runner);
        }
    }

    /// Marks a runner as leaving, or as live again.
    pub fn set_leaving(&mut self, runner: RunnerId, leaving: bool) {
        if let Some(state) = self.runners.get_mut(runner.0 as usize) {
            state.leaving = leaving;
        }
    }

    /// Whether `runner` may be sent new work; ask again right before sending.
    pub fn is_live(&self, runner: RunnerId) -> bool {
        let state = self.runners.get(runner.0 as usize);
        state.is_some_and(RunnerState::is_live)
    }

    /// Hints of which runner holds which pieces.
    pub fn prefixes_mut(&mut self) -> &mut PrefixIndex {
        &mut self.prefixes
    }

    /// Requests of ours that `runner` has.
    pub fn in_flight(&self, runner: RunnerId) -> usize {
        let state = self.runners.get(runner.0 as usize);
        state.map_or(0, |state| state.works.len())
    }

    /// Observed over expected time to the first token of `runner`.
    pub fn slowness(&self, runner: RunnerId, now_ms: u64) -> f64 {
        let state = self.runners.get(runner.0 as usize);
        state.map_or(1.0, |state| state.slowness(now_ms))
    }

    /// Takes in a report; one older than the last is dropped.
    pub fn report(&mut self, runner: RunnerId, report: &RunnerReport) {
        let settings = self.settings;
        let Some(state) = self.runners.get_mut(runner.0 as usize) else {
            return;
        };
        if report.at_ms < state.report_ms {
            return;
        }
        let then = |work: &&SentWork| work.sent_ms <= report.at_ms;
        let waited = |work: &&SentWork| work.first_ms.is_none_or(|first| first > report.at_ms);
        let own_then = state.works.iter().filter(then);
        let own_waiting: f64 = own_then.clone().filter(waited).map(|w| w.prefill_ms).sum();
        let tokens = report.waiting_tokens.min(u64::from(u32::MAX)) as u32;
        state.foreign_ms = (settings.prefill_ms(tokens) - own_waiting).max(0.0);
        state.foreign_running = report.running.saturating_sub(own_then.count() as u32);
        state.report_ms = report.at_ms;
    }

    /// The runner with the earliest expected first token, if one may take it.
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
        let straggling = STRAGGLER_RATIO * self.best_slowness();
        let last_clear = self.last_clear(query.class, straggling);
        let view = BoardView {
            held,
            long_open: self.long_open(),
            straggling,
        };
        for place in 0..self.runners.len() {
            let runner = RunnerId(place as u32);
            if query.avoid.contains(&runner) {
                continue;
            }
            let Some(choice) = self.weigh(runner, query, &view, now_ms) else {
                continue;
            };
            if choice.probe {
                self.runners[place].probe_ms = now_ms + PROBE_GAP_MS;
                return Some(choice);
            }
            let reserved = if last_clear == Some(runner) {
                RESERVE_MS
            } else {
                0.0
            };
            let score = choice.expected_ms + reserved;
            let limit = best.map_or(f64::INFINITY, |(score, _)| score);
            if score < limit * (1.0 - TIE_PART) {
                (best, ties) = (Some((score, choice)), 1);
            } else if score <= limit * (1.0 + TIE_PART) {
                ties += 1;
                if rng.random_range(0..ties) == 0 {
                    best = Some((score, choice));
                }
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// The only live runner without waiting work, for work that is not critical.
    fn last_clear(&self, class: WorkClass, straggling: f64) -> Option<RunnerId> {
        if class == WorkClass::Critical {
            return None;
        }
        let clear = |state: &RunnerState| {
            state.is_live()
                && state.slowness < straggling
                && !state.works.iter().any(SentWork::waits)
        };
        let mut places = (0..self.runners.len()).filter(|&place| clear(&self.runners[place]));
        let first = places.next()?;
        places.next().is_none().then_some(RunnerId(first as u32))
    }

    /// The choice of `runner`, unless it may not take the request.
    fn weigh(
        &self,
        runner: RunnerId,
        query: &RunnerQuery,
        view: &BoardView,
        now_ms: u64,
    ) -> Option<RunnerChoice> {
        let state = &self.runners[runner.0 as usize];
        if !state.is_live() || state.running() >= self.settings.slots {
            return None;
        }
        let found = view.held.binary_search_by_key(&runner, |&(r, _)| r);
        let pieces = found.map_or(0, |place| view.held[place].1);
        let cached = ((pieces * PIECE_TOKENS) as u32).min(query.prompt_tokens);
        let prefill = self
            .settings
            .prefill_ms(query.prompt_tokens - cached)
            .max(1.0);
        if prefill >= LONG_PREFILL_MS && (!view.long_open || state.has_long()) {
            return None;
        }
        let slowness = state.slowness(now_ms);
        let ahead = state.ahead_ms(query.class, slowness, now_ms);
        let room = if pieces > 0 { CACHE_ROOM } else { 1.0 } * self.settings.room_ms;
        if ahead > room {
            return None;
        }
        let straggler = slowness > view.straggling;
        let short = prefill < LONG_PREFILL_MS && query.class > WorkClass::Critical;
        let probe = straggler && query.may_probe && short && state.may_probe(now_ms);
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

    /// Whether another runner may take a long prefill; stragglers count for less.
    fn long_open(&self) -> bool {
        let live = self.runners.iter().filter(|runner| runner.is_live());
        let (live, long) = live.fold((0.0, 0), |(live, long), runner| {
            let part = 1.0 / runner.slowness.max(1.0);
            (live + part, long + usize::from(runner.has_long()))
        });
        let most = (live * LONG_PART).round().max(1.0) as usize;
        long < most
    }

    /// For what the runners have room.
    pub fn room(&self, now_ms: u64) -> QueueRoom {
        let long_open = self.long_open();
        let mut room = QueueRoom::default();
        for state in self.runners.iter().filter(|runner| runner.is_live()) {
            if state.running() >= self.settings.slots {
                continue;
            }
            let slowness = state.slowness(now_ms);
            let long = long_open && !state.has_long();
            for class in WorkClass::iter() {
                let ahead = state.ahead_ms(class, slowness, now_ms);
                let open = ahead <= self.settings.room_ms;
                room.short[class as usize] |= open;
                room.long[class as usize] |= open && long;
            }
        }
        room
    }

    /// What the runners can serve, for the queue's estimates.
    pub fn capacity(&self, now_ms: u64) -> QueueCapacity {
        let mut capacity = QueueCapacity {
            runners: 0.0,
            in_flight_ms: [0.0; CLASSES],
            soonest_ms: [f64::INFINITY; CLASSES],
        };
        for state in self.runners.iter().filter(|runner| runner.is_live()) {
            let slowness = state.slowness(now_ms);
            capacity.runners += 1.0 / slowness.max(1.0);
            for class in WorkClass::iter() {
                let ahead = state.ahead_ms(class, slowness, now_ms);
                let soonest = &mut capacity.soonest_ms[class as usize];
                *soonest = soonest.min(ahead * slowness);
                capacity.in_flight_ms[class as usize] += ahead;
            }
        }
        capacity
    }

    /// Counts work that was sent as `choice` says.
    ///
    /// The runner counts as holding the prompt's pieces from now on, so that
    /// the same prompt waits for that prefill rather than being computed twice.
    pub fn start(
        &mut self,
        ticket: WorkTicket,
        choice: &RunnerChoice,
        query: &RunnerQuery,
        now_ms: u64,
    ) {
        let class = query.class;
        self.prefixes.note_kept(choice.runner, query.pieces);
        let Some(state) = self.runners.get_mut(choice.runner.0 as usize) else {
            return;
        };
        if !state.works.iter().any(SentWork::waits) {
            state.head_ms = now_ms;
        }
        for work in state
            .works
            .iter_mut()
            .filter(|work| work.waits() && work.class > class)
        {
            work.healthy_ms += choice.prefill_ms;
        }
        state.works.push(SentWork {
            ticket,
            class,
            prefill_ms: choice.prefill_ms,
            healthy_ms: choice.healthy_ms,
            sent_ms: now_ms,
            first_ms: None,
            probe: choice.probe,
        });
    }

    /// Notes the first token of `ticket`, and learns from its time.
    pub fn first_token(&mut self, runner: RunnerId, ticket: WorkTicket, now_ms: u64) {
        let Some(state) = self.runners.get_mut(runner.0 as usize) else {
            return;
        };
        let Some(work) = state
            .works
            .iter_mut()
            .find(|w| w.ticket == ticket && w.waits())
        else {
            return;
        };
        work.first_ms = Some(now_ms);
        let (ratio, probe, healthy) = (work.ratio(now_ms), work.probe, work.healthy_ms);
        state.head_ms = now_ms;
        state.learn(ratio, probe, healthy / (healthy + HALF_COUNT_MS));
    }

    /// Counts the end of `ticket`, whether it was served or not.
    pub fn finish(&mut self, runner: RunnerId, ticket: WorkTicket, now_ms: u64) {
        let Some(state) = self.runners.get_mut(runner.0 as usize) else {
            return;
        };
        let Some(place) = state.works.iter().position(|work| work.ticket == ticket) else {
            return;
        };
        let work = state.works.swap_remove(place);
        if work.waits() {
            state.head_ms = now_ms;
        }
    }

    /// Notes that `ticket` failed or fell silent on `runner`.
    pub fn fail(&mut self, runner: RunnerId, ticket: WorkTicket, now_ms: u64) {
        self.finish(runner, ticket, now_ms);
        if let Some(state) = self.runners.get_mut(runner.0 as usize) {
            state.learn(2.0 * STRAGGLER_RATIO, false, 1.0);
            state.probe_ms = now_ms + PROBE_GAP_MS;
        }
    }
}

impl RunnerState {
    /// Takes in an observed `ratio` that counts for the part `trust`.
    fn learn(&mut self, ratio: f64, probe: bool, trust: f64) {
        let part = match (probe, ratio > self.slowness) {
            (true, _) => PROBE_PART,
            (false, true) => SLOWER_PART,
            (false, false) => FASTER_PART,
        };
        self.slowness = (self.slowness + trust * part * (ratio - self.slowness)).clamp(0.5, 50.0);
    }
}
