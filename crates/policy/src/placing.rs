//! Which runner a request goes to, by the time until its first event there.
//!
//! Load: long prompts, each a tenth of a second of prefill, among many short
//! ones that are due in less than half a second. A runner reads prompts one
//! after another between the tokens of what it runs, so the prompt tokens that
//! are still unread ahead of a request decide when it starts; counts of
//! requests do not.

use rand::{
    distr::{weighted::WeightedIndex, Distribution},
    seq::SliceRandom,
    Rng,
};

/// What each running request adds to a first event, in milliseconds: its part
/// of a batch step, over the few steps until the event.
const RUNNING_MS: f64 = 0.5;
/// Time to open a connection to a runner beyond the way there and back, in
/// milliseconds: the runner's work for it.
const CONNECT_MS: f64 = 5.0;
/// Extra cost of a runner whose memory would be overbooked, in milliseconds:
/// the prompt waits for another to end, or preempts one.
const MEMORY_MS: f64 = 1500.0;
/// Part of that cost for the least overbooking.
const MEMORY_LEAST_PART: f64 = 0.2;
/// Cost of a runner whose slots are taken, in milliseconds.
const SLOTS_MS: f64 = 1000.0;
/// Cost of a failure that is certain, in milliseconds. A runner's recent share
/// of failures scales it.
const FAILURE_MS: f64 = 4000.0;
/// Part of a runner's memory that is booked at most.
const MEMORY_PART: f64 = 0.9;

/// Most runners among which an instance of a large fleet chooses.
const MOST_SAMPLED: usize = 4;

/// The runners, among the `open` ones, that an instance of a large fleet
/// chooses among.
///
/// The loads that it knows are some hundred milliseconds old; if all instances
/// took the best runner of all, they would meet there. The homes of the prompt's
/// prefix are always among them; prefixes spread over all runners.
///
/// ```
/// use berylmount_policy::placing::{sample_runners, RunnerView};
///
/// let views = [RunnerView::default(); 90];
/// let sample = sample_runners(&views, (0..90).collect(), &mut rand::rng());
/// assert_eq!(sample.len(), 4);
/// ```
pub fn sample_runners(
    views: &[RunnerView],
    mut open: Vec<usize>,
    rng: &mut impl Rng,
) -> Vec<usize> {
    open.shuffle(rng);
    let count = (open.len() / 2).clamp(2, MOST_SAMPLED).min(open.len());
    // The last one is any other, so that load can move away from those in use.
    let other = open.split_off(open.len().saturating_sub(1));
    open.sort_by_key(|index| {
        let view = &views[*index];
        let home = view.home_rank.unwrap_or(usize::MAX);
        (home, !view.is_connected, view.distance_ms > 0.0)
    });
    open.truncate(count.saturating_sub(1));
    open.extend(other);
    open
}

/// Draws one of several runners by the places that each has free.
///
/// While all but a few are full, this spreads what many instances send at a time
/// better than the best estimate, which is the same at all of them.
///
/// ```
/// use berylmount_policy::placing::draw_runner;
///
/// assert_eq!(draw_runner(&[0.0, 3.0], &mut rand::rng()), Some(1));
/// assert_eq!(draw_runner(&[0.0], &mut rand::rng()), None);
/// ```
pub fn draw_runner(places: &[f64], rng: &mut impl Rng) -> Option<usize> {
    let weighted = WeightedIndex::new(places).ok()?;
    Some(weighted.sample(rng))
}

/// What is known of a runner when a request is placed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunnerView {
    /// Prompt tokens sent there whose first event has not come.
    pub unread_tokens: u64,
    /// Requests sent there that have not ended.
    pub running: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Tokens of memory that its requests need.
    pub booked_tokens: u64,
    /// Tokens that its memory holds; 0 if it has no such bound.
    pub memory_tokens: u64,
    /// How long work takes there; 1 is usual.
    pub slowness: f64,
    /// Part of its recent requests that failed, 0 to 1.
    pub failure_rate: f64,
    /// Cost of a choice that the other figures don't tell, in milliseconds.
    pub penalty_ms: f64,
    /// One way to it, in milliseconds.
    pub distance_ms: f64,
    /// Whether an open connection to it can be used.
    pub is_connected: bool,
    /// Whether it loads other weights, or is about to; it refuses requests then.
    pub is_switching: bool,
    /// Its rank among the homes of the prompt's prefix.
    pub home_rank: Option<usize>,
    /// Tokens of this prompt that it need not read.
    pub cached_tokens: u32,
    /// Time to fetch what it need not read, in milliseconds.
    pub fetch_ms: f64,
}

/// What a request asks of a runner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlacingNeed {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of memory that it needs until its end.
    pub memory_tokens: u64,
    /// Tokens that an engine prefills in a millisecond.
    pub prefill_per_ms: f64,
    /// Time to the first event of an empty prompt at an idle engine, in milliseconds.
    pub base_ms: f64,
}

/// Estimated time to the first event at a runner, and the cost that decides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacingEstimate {
    /// Time to the first event, in milliseconds.
    pub first_ms: f64,
    /// That time with the costs of what may go wrong.
    pub cost_ms: f64,
}

/// Estimates a request's first event at a runner.
///
/// ```
/// use berylmount_policy::placing::{estimate, PlacingNeed, RunnerView};
///
/// let idle = RunnerView { slots: 8, slowness: 1.0, ..RunnerView::default() };
/// let busy = RunnerView { unread_tokens: 20_000, ..idle };
/// let need = PlacingNeed { prompt_tokens: 500, prefill_per_ms: 100.0, ..PlacingNeed::default() };
/// assert!(estimate(&busy, &need).first_ms > estimate(&idle, &need).first_ms + 199.0);
/// ```
pub fn estimate(runner: &RunnerView, need: &PlacingNeed) -> PlacingEstimate {
    let own_tokens = need.prompt_tokens.saturating_sub(runner.cached_tokens);
    let ahead_ms = runner.unread_tokens as f64 / need.prefill_per_ms;
    let own_ms = f64::from(own_tokens) / need.prefill_per_ms + runner.fetch_ms;
    let batch_ms = f64::from(runner.running) * RUNNING_MS;
    let work_ms = (need.base_ms + ahead_ms + own_ms + batch_ms) * runner.slowness.max(0.5);
    let trips = if runner.is_connected { 2.0 } else { 4.0 };
    let connect_ms = if runner.is_connected { 0.0 } else { CONNECT_MS };
    let mut first_ms = work_ms + trips * runner.distance_ms + connect_ms;
    if runner.slots > 0 && runner.running >= runner.slots {
        let over = f64::from(runner.running - runner.slots + 1) / f64::from(runner.slots);
        first_ms += SLOTS_MS * (0.2 + over);
    }
    let room = runner.memory_tokens as f64 * MEMORY_PART;
    let booked = (runner.booked_tokens + need.memory_tokens) as f64;
    if runner.memory_tokens > 0 && booked > room {
        first_ms += MEMORY_MS * (MEMORY_LEAST_PART + (booked - room) / room);
    }
    let cost_ms = first_ms + FAILURE_MS * runner.failure_rate + runner.penalty_ms;
    PlacingEstimate { first_ms, cost_ms }
}

/// The runner with the least cost; of equals the first.
///
/// ```
/// use berylmount_policy::placing::{choose, PlacingNeed, RunnerView};
///
/// let near = RunnerView { slots: 8, slowness: 1.0, ..RunnerView::default() };
/// let far = RunnerView { distance_ms: 4.0, ..near };
/// let need = PlacingNeed { prefill_per_ms: 100.0, ..PlacingNeed::default() };
/// assert_eq!(choose(&[far, near], &need).unwrap().0, 1);
/// ```
pub fn choose(runners: &[RunnerView], need: &PlacingNeed) -> Option<(usize, PlacingEstimate)> {
    let estimates = runners.iter().map(|runner| estimate(runner, need));
    let by_cost = |a: &(usize, PlacingEstimate), b: &(usize, PlacingEstimate)| {
        a.1.cost_ms.total_cmp(&b.1.cost_ms)
    };
    estimates.enumerate().min_by(by_cost)
}
