//! Which runners load named weights next.
//!
//! Load: new weights are named while all runners are busy. Every load takes a
//! runner out for seconds, and loads slow each other down beyond a fifth of the
//! runners. No more than that are out at once unless time runs short: at a crest
//! the capacity is worth more than early weights. Those with the oldest weights
//! go first, and of these the least busy.

/// Part of the runners that load at once without slowing each other down.
const LOADING_PART: f64 = 0.2;
/// Time in which the runs of a runner usually end, in milliseconds.
const DRAIN_MS: f64 = 2500.0;
/// Most by which a short time left raises the runners that switch at once.
const MOST_PRESSURE: f64 = 4.0;
/// Time in which an order that was told should show its effect, in milliseconds:
/// some runs, and a load among others.
const ORDER_MS: u64 = 7000;

/// What is known of a runner for the rollout of one model's weights.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RolloutView {
    /// The version that it has; `None` if it does not serve the model.
    pub version: Option<u64>,
    /// The version that it was last ordered to load; 0 if none.
    pub ordered: u64,
    /// When it was ordered.
    pub ordered_at_ms: u64,
    /// Requests that it runs.
    pub running: u32,
    /// Whether it takes requests and orders.
    pub is_ready: bool,
}

impl RolloutView {
    /// Whether an order to load `goal` is under way.
    pub fn is_switching(&self, goal: u64, now_ms: u64) -> bool {
        let is_older = self.version.is_some_and(|version| version < goal);
        let is_fresh = now_ms.saturating_sub(self.ordered_at_ms) < ORDER_MS;
        self.is_ready && is_older && self.ordered >= goal && is_fresh
    }
}

/// The time that a rollout has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutTimes {
    /// Time until no request may begin on older weights, in milliseconds.
    pub left_ms: u64,
    /// Time of one load among as many as don't slow each other down, in milliseconds.
    pub load_ms: u64,
}

impl RolloutTimes {
    /// How many times more runners than usual must switch at once, so that
    /// `due` of them are done in time.
    fn pressure(&self, due: usize, loading: f64) -> f64 {
        let needed_ms = due as f64 / loading * self.load_ms as f64 + DRAIN_MS;
        (needed_ms / self.left_ms.max(1) as f64).clamp(1.0, MOST_PRESSURE)
    }
}

/// The runners, by index, to order now: the oldest weights, then the least busy, first.
///
/// ```
/// use berylmount_policy::weights_rollout::{next_orders, RolloutTimes, RolloutView};
///
/// let old = RolloutView { version: Some(1), is_ready: true, ..RolloutView::default() };
/// let runners: Vec<_> = (0..10).map(|n| RolloutView { running: 10 - n, ..old }).collect();
/// let times = RolloutTimes { left_ms: 15_000, load_ms: 1500 };
/// assert_eq!(next_orders(&runners, 2, times, 1000), [9, 8]);
/// let late = RolloutTimes { left_ms: 5000, ..times };
/// assert_eq!(next_orders(&runners, 2, late, 1000).len(), 4);
/// ```
pub fn next_orders(
    runners: &[RolloutView],
    goal: u64,
    times: RolloutTimes,
    now_ms: u64,
) -> Vec<usize> {
    let serving = runners
        .iter()
        .filter(|runner| runner.is_ready && runner.version.is_some());
    let loading = (serving.count() as f64 * LOADING_PART).floor().max(1.0);
    let switching = runners
        .iter()
        .filter(|r| r.is_switching(goal, now_ms))
        .count();
    let is_due = |runner: &RolloutView| {
        let is_older = runner.version.is_some_and(|version| version < goal);
        runner.is_ready && is_older && !runner.is_switching(goal, now_ms)
    };
    let mut due: Vec<usize> = (0..runners.len())
        .filter(|i| is_due(&runners[*i]))
        .collect();
    let pressure = times.pressure(due.len(), loading);
    let most = (loading * pressure).floor() as usize;
    due.sort_by_key(|index| (runners[*index].version, runners[*index].running, *index));
    due.truncate(most.saturating_sub(switching));
    due
}
