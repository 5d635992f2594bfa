//! Chooses the runners that load newly requested weights next (rolling update).
//!
//! New weights may be requested while all runners are busy. Each load takes a runner
//! out of service for seconds, and concurrent loads slow each other down if more than a
//! fifth of the runners load. At most that many are out of service at once, unless the
//! deadline requires more, because capacity during a load peak is worth more than an
//! early update. Runners with the oldest weights go first, and among these the least
//! busy.

/// Fraction of the runners that can load concurrently without slowing each other down.
const LOADING_FRACTION: f64 = 0.2;
/// Time within which a runner's running requests usually end, in milliseconds.
const DRAIN_MS: f64 = 2500.0;
/// Largest factor by which a close deadline raises the number of runners that switch
/// concurrently.
const MAX_PRESSURE: f64 = 4.0;
/// Time within which an order to load weights should take effect, in milliseconds. It
/// covers the drain of some running requests and a load that shares bandwidth with
/// others.
const ORDER_TIMEOUT_MS: u64 = 7000;

/// The state of a runner in the rollout of one model's weights.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RolloutView {
    /// Version that it serves; `None` if it doesn't serve the model.
    pub version: Option<u64>,
    /// Version that it was last ordered to load (by an order message); 0 if none.
    pub ordered: u64,
    /// When that order was sent.
    pub ordered_at_ms: u64,
    /// Number of requests that it is running.
    pub running: u32,
    /// Whether it accepts requests and orders.
    pub is_ready: bool,
    /// Whether an order of an earlier lease holder still excludes orders to it.
    pub is_excluded: bool,
    /// Time until requests may no longer start on its weights, in milliseconds.
    pub left_ms: u64,
}

impl RolloutView {
    /// Whether an order to load a version is in progress. The runner accepts no other order
    /// meanwhile.
    pub fn is_switching(&self, now_ms: u64) -> bool {
        let is_older = self.version.is_some_and(|version| version < self.ordered);
        let is_fresh = now_ms.saturating_sub(self.ordered_at_ms) < ORDER_TIMEOUT_MS;
        self.is_ready && is_older && is_fresh
    }
}

/// How fast runners load weights, and what else uses the bandwidth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutPace {
    /// Duration of one load when concurrent loads don't slow each other down, in
    /// milliseconds.
    pub load_ms: u64,
    /// Number of runners that load weights of other models and share the bandwidth.
    pub loading_others: usize,
}

impl RolloutPace {
    /// The factor by which the number of runners that switch concurrently must exceed
    /// `loading` so that `due` runners finish within `left_ms`.
    fn pressure(&self, due: usize, loading: f64, left_ms: u64) -> f64 {
        let needed_ms = due as f64 / loading * self.load_ms as f64 + DRAIN_MS;
        (needed_ms / left_ms.max(1) as f64).clamp(1.0, MAX_PRESSURE)
    }
}

/// How far the rollout of one version is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RolloutProgress {
    /// Number of runners with older weights that accept orders and have none in progress.
    pub due: usize,
    /// Number of those that an order of an earlier lease holder still excludes.
    pub excluded: usize,
    /// Number of runners with an order in progress.
    pub switching: usize,
    /// Number of runners with older weights that don't accept orders now.
    pub unready: usize,
}

impl RolloutProgress {
    /// Counts the runners of a rollout to version `goal`.
    ///
    /// ```
    /// use berylmount_policy::weights_rollout::{RolloutProgress, RolloutView};
    ///
    /// let old = RolloutView { version: Some(1), is_ready: true, ..RolloutView::default() };
    /// let ordered = RolloutView { ordered: 2, ordered_at_ms: 900, ..old };
    /// let progress = RolloutProgress::of(&[old, ordered], 2, 1000);
    /// assert_eq!((progress.due, progress.switching), (1, 1));
    /// ```
    pub fn of(runners: &[RolloutView], goal: u64, now_ms: u64) -> Self {
        let mut progress = Self::default();
        let older = runners
            .iter()
            .filter(|runner| runner.version.is_some_and(|version| version < goal));
        for runner in older {
            match (runner.is_ready, runner.is_switching(now_ms)) {
                (false, _) => progress.unready += 1,
                (true, true) => progress.switching += 1,
                (true, false) => {
                    progress.due += 1;
                    progress.excluded += usize::from(runner.is_excluded);
                }
            }
        }
        progress
    }
}

/// Returns the indexes of the runners to order now, sorted by oldest weights and then
/// by fewest running requests. Only runners that must finish as soon as others, or sooner, are
/// ordered to make these others finish in time.
///
/// ```
/// use berylmount_policy::weights_rollout::{next_orders, RolloutPace, RolloutView};
///
/// let old = RolloutView {
///     version: Some(1),
///     is_ready: true,
///     left_ms: 15_000,
///     ..RolloutView::default()
/// };
/// let runners: Vec<_> = (0..10).map(|n| RolloutView { running: 10 - n, ..old }).collect();
/// let pace = RolloutPace { load_ms: 1500, loading_others: 0 };
/// assert_eq!(next_orders(&runners, 2, pace, 1000), [9, 8]);
/// let shared = RolloutPace { loading_others: 1, ..pace };
/// assert_eq!(next_orders(&runners, 2, shared, 1000), [9]);
/// let late: Vec<_> = runners.iter().map(|r| RolloutView { left_ms: 5000, ..*r }).collect();
/// assert_eq!(next_orders(&late, 2, pace, 1000).len(), 4);
/// ```
pub fn next_orders(
    runners: &[RolloutView],
    goal: u64,
    pace: RolloutPace,
    now_ms: u64,
) -> Vec<usize> {
    let serving = runners
        .iter()
        .filter(|runner| runner.is_ready && runner.version.is_some());
    let loading = (serving.count() as f64 * LOADING_FRACTION).floor().max(1.0);
    let switching = runners.iter().filter(|r| r.is_switching(now_ms)).count();
    let is_due = |runner: &RolloutView| {
        let is_older = runner.version.is_some_and(|version| version < goal);
        let is_free = !runner.is_excluded && !runner.is_switching(now_ms);
        runner.is_ready && is_older && is_free
    };
    let mut due: Vec<usize> = (0..runners.len())
        .filter(|i| is_due(&runners[*i]))
        .collect();
    due.sort_by_key(|index| (runners[*index].version, runners[*index].running, *index));
    // The limit for a runner is the highest one that it or a later runner needs.
    let mut limits: Vec<usize> = Vec::with_capacity(due.len());
    let mut pressure: f64 = 1.0;
    for (position, index) in due.iter().enumerate().rev() {
        let needed = pace.pressure(position + 1, loading, runners[*index].left_ms);
        pressure = pressure.max(needed);
        limits.push((loading * pressure).floor() as usize);
    }
    limits.reverse();
    let busy = switching + pace.loading_others;
    let ordered = limits.iter().enumerate();
    let ordered = ordered.take_while(|(position, limit)| busy + position < **limit);
    due.truncate(ordered.count());
    due
}
