//! Chooses the runner for a request by its estimated time to first event.
//!
//! A typical load mixes long prompts, each with a tenth of a second of prefill, and
//! many short ones that are due in less than half a second. A runner prefills prompts
//! one after another, interleaved with decode steps of its running batch. The time at
//! which a request starts therefore depends on the pending prefill tokens ahead of it.
//! The number of running requests has little effect.

use rand::{
    distr::{weighted::WeightedIndex, Distribution},
    seq::SliceRandom,
    Rng,
};

/// Delay that each running request adds to a first event, in milliseconds: its
/// share of a batch step, over the few steps until the event.
const RUNNING_MS: f64 = 0.5;
/// Time to open a connection to a runner beyond the network round trip, in
/// milliseconds: the runner's work for it.
const CONNECT_MS: f64 = 5.0;
/// Extra cost of a runner whose memory would be overcommitted, in milliseconds: the
/// prompt waits for another request to end, or preempts one.
const MEMORY_PENALTY_MS: f64 = 1500.0;
/// Fraction of that cost that the slightest overcommitment incurs.
const MIN_MEMORY_FRACTION: f64 = 0.2;
/// Cost of a runner whose slots are all in use, in milliseconds.
const SLOTS_PENALTY_MS: f64 = 1000.0;
/// Cost of a certain failure, in milliseconds, scaled by the runner's recent
/// failure rate.
const FAILURE_PENALTY_MS: f64 = 4000.0;
/// Largest fraction of a runner's memory that is reserved without extra cost.
const RESERVABLE_FRACTION: f64 = 0.9;

/// Largest sample of runners that an instance of a large fleet chooses among.
const MAX_SAMPLED: usize = 4;

/// Samples the `open` runners that an instance of a large fleet chooses among.
///
/// The load information is some hundred milliseconds old. If all instances chose the
/// best runner of the whole fleet, they would overload it (herding). The homes of the
/// prompt's prefix take precedence in the sample; this doesn't cause herding, because
/// prefixes are spread over all runners.
///
/// ```
/// use berylmount_policy::runner_placement::{sample_runners, RunnerView};
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
    let count = (open.len() / 2).clamp(2, MAX_SAMPLED).min(open.len());
    // One runner is taken at random, so that load can move away from the connected
    // runners that the sort prefers.
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

/// Draws a runner at random, weighted by the free slots of each.
///
/// While most runners are full, this spreads concurrent requests of many instances
/// better than the lowest estimated cost, which is the same runner at all instances.
/// Returns `None` if no runner has a free slot.
///
/// ```
/// use berylmount_policy::runner_placement::draw_runner;
///
/// assert_eq!(draw_runner(&[0.0, 3.0], &mut rand::rng()), Some(1));
/// assert_eq!(draw_runner(&[0.0], &mut rand::rng()), None);
/// ```
pub fn draw_runner(free_slots: &[f64], rng: &mut impl Rng) -> Option<usize> {
    let weighted = WeightedIndex::new(free_slots).ok()?;
    Some(weighted.sample(rng))
}

/// The state of a runner as seen when a request is placed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunnerView {
    /// Pending prefill: prompt tokens sent there whose first event hasn't arrived.
    pub unread_tokens: u64,
    /// Requests in flight there.
    pub running: u32,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// KV cache tokens reserved for its requests.
    pub reserved_tokens: u64,
    /// KV cache capacity in tokens; 0 if unbounded.
    pub memory_tokens: u64,
    /// Slowdown factor relative to a typical runner; 1 is normal.
    pub slowness: f64,
    /// Fraction of its recent requests that failed, 0 to 1.
    pub failure_rate: f64,
    /// Additional cost that the other fields don't cover, in milliseconds.
    pub penalty_ms: f64,
    /// One-way network latency to it, in milliseconds.
    pub distance_ms: f64,
    /// Whether an open connection to it can be reused.
    pub is_connected: bool,
    /// Whether it is loading other weights or about to, and so refuses requests.
    pub is_switching: bool,
    /// Its rank among the homes of the prompt's prefix, if it is one.
    pub home_rank: Option<usize>,
    /// Tokens of this prompt that it need not prefill.
    pub cached_tokens: u32,
    /// Time to fetch the tokens that it need not prefill, in milliseconds.
    pub fetch_ms: f64,
}

/// The resources that a request needs from a runner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlacementDemand {
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// KV cache tokens that it needs until it ends.
    pub memory_tokens: u64,
    /// Prefill rate of an engine, in tokens per millisecond.
    pub prefill_per_ms: f64,
    /// Time to first event of an empty prompt on an idle engine, in milliseconds.
    pub base_ms: f64,
}

/// Estimated time to first event at a runner, and the cost used for comparison.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementEstimate {
    /// Time to first event, in milliseconds.
    pub first_ms: f64,
    /// That time plus the expected cost of failures and the penalty, in
    /// milliseconds.
    pub cost_ms: f64,
}

/// Estimates a request's time to first event at a runner.
///
/// ```
/// use berylmount_policy::runner_placement::{estimate, PlacementDemand, RunnerView};
///
/// let idle = RunnerView { slots: 8, slowness: 1.0, ..RunnerView::default() };
/// let busy = RunnerView { unread_tokens: 20_000, ..idle };
/// let demand = PlacementDemand { prompt_tokens: 500, prefill_per_ms: 100.0, ..PlacementDemand::default() };
/// assert!(estimate(&busy, &demand).first_ms > estimate(&idle, &demand).first_ms + 199.0);
/// ```
pub fn estimate(runner: &RunnerView, demand: &PlacementDemand) -> PlacementEstimate {
    let uncached_tokens = demand.prompt_tokens.saturating_sub(runner.cached_tokens);
    let ahead_ms = runner.unread_tokens as f64 / demand.prefill_per_ms;
    let own_ms = f64::from(uncached_tokens) / demand.prefill_per_ms + runner.fetch_ms;
    let batch_ms = f64::from(runner.running) * RUNNING_MS;
    let work_ms = (demand.base_ms + ahead_ms + own_ms + batch_ms) * runner.slowness.max(0.5);
    let one_way_trips = if runner.is_connected { 2.0 } else { 4.0 };
    let connect_ms = if runner.is_connected { 0.0 } else { CONNECT_MS };
    let mut first_ms = work_ms + one_way_trips * runner.distance_ms + connect_ms;
    if runner.slots > 0 && runner.running >= runner.slots {
        let over = f64::from(runner.running - runner.slots + 1) / f64::from(runner.slots);
        first_ms += SLOTS_PENALTY_MS * (0.2 + over);
    }
    let capacity = runner.memory_tokens as f64 * RESERVABLE_FRACTION;
    let reserved = (runner.reserved_tokens + demand.memory_tokens) as f64;
    if runner.memory_tokens > 0 && reserved > capacity {
        first_ms += MEMORY_PENALTY_MS * (MIN_MEMORY_FRACTION + (reserved - capacity) / capacity);
    }
    let cost_ms = first_ms + FAILURE_PENALTY_MS * runner.failure_rate + runner.penalty_ms;
    PlacementEstimate { first_ms, cost_ms }
}

/// Chooses the runner with the lowest cost, the first one in a tie.
///
/// ```
/// use berylmount_policy::runner_placement::{choose, PlacementDemand, RunnerView};
///
/// let near = RunnerView { slots: 8, slowness: 1.0, ..RunnerView::default() };
/// let far = RunnerView { distance_ms: 4.0, ..near };
/// let demand = PlacementDemand { prefill_per_ms: 100.0, ..PlacementDemand::default() };
/// assert_eq!(choose(&[far, near], &demand).unwrap().0, 1);
/// ```
pub fn choose(
    runners: &[RunnerView],
    demand: &PlacementDemand,
) -> Option<(usize, PlacementEstimate)> {
    let estimates = runners.iter().map(|runner| estimate(runner, demand));
    let by_cost = |a: &(usize, PlacementEstimate), b: &(usize, PlacementEstimate)| {
        a.1.cost_ms.total_cmp(&b.1.cost_ms)
    };
    estimates.enumerate().min_by(by_cost)
}
