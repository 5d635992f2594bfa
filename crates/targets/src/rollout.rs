//! Which runner loads which weights next.
//!
//! The planner compares what each runner reports with what it should serve and
//! orders the difference, so it mends lost orders, restarted runners and orders
//! of an old holder alike. At most a pool's bound of runners load at once.
//!
//! A report describes the past. What it says against an order counts only when
//! it was taken after the order, which is sure once it came later than the
//! order by the reports' lag.

use crate::engine::{LoadReport, TargetOrder};
use berylmount_model::{InstanceName, ModelName, VersionName};

/// Bounds of a pool's rollout.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RolloutSettings {
    /// Runners that may load at once; zero stops the rollout.
    pub parallel_loads: usize,
    /// Longest time of a load, in milliseconds; after it the order is repeated.
    pub load_limit_ms: u64,
    /// Greatest age of a report when it comes, in milliseconds.
    pub report_lag_ms: u64,
    /// Longest time that an order is in flight, in milliseconds.
    pub flight_ms: u64,
    /// A runner whose last report is older than this gets no order.
    pub silent_ms: u64,
}

/// What one runner should serve.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WantedVersion {
    /// The runner.
    pub instance: InstanceName,
    /// The model.
    pub model: ModelName,
    /// The weight version.
    pub version: VersionName,
}

/// The last report of one runner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunnerView {
    /// The runner.
    pub instance: InstanceName,
    /// When the report came, in monotonic milliseconds.
    pub received_ms: u64,
    /// The report.
    pub report: LoadReport,
}

/// An order that is to be sent now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedOrder {
    /// The runner.
    pub instance: InstanceName,
    /// The order.
    pub order: TargetOrder,
}

/// An order whose effect has not been seen yet.
#[derive(Clone, Debug)]
struct OpenOrder {
    instance: InstanceName,
    ordered_ms: u64,
}

/// Plans the orders of one pool for the holder of its lease.
///
/// ```
/// use berylmount_targets::{RolloutPlanner, RolloutSettings};
///
/// let settings = RolloutSettings {
///     parallel_loads: 2,
///     load_limit_ms: 10_000,
///     report_lag_ms: 500,
///     flight_ms: 500,
///     silent_ms: 3_000,
/// };
/// let mut planner = RolloutPlanner::new(settings, 0);
/// assert!(planner.plan(&[], &[], 1_000).is_empty());
/// ```
#[derive(Debug)]
pub struct RolloutPlanner {
    settings: RolloutSettings,
    /// Before this, reports may miss what the last holder ordered.
    first_plan_ms: u64,
    open: Vec<OpenOrder>,
    /// When each runner was last ordered, sorted by runner.
    tried: Vec<(InstanceName, u64)>,
}

impl RolloutPlanner {
    /// A planner of a holder that took the lease at `now_ms`.
    pub fn new(settings: RolloutSettings, now_ms: u64) -> Self {
        let settle_ms = settings.report_lag_ms.saturating_add(settings.flight_ms);
        Self {
            settings,
            first_plan_ms: now_ms.saturating_add(settle_ms),
            open: Vec::new(),
            tried: Vec::new(),
        }
    }

    /// The orders to send at `now_ms`; each counts as sent from then on.
    ///
    /// `views` holds the newest report of each runner. A runner without one, or
    /// that is leaving, gets no order.
    pub fn plan(
        &mut self,
        wanted: &[WantedVersion],
        views: &[RunnerView],
        now_ms: u64,
    ) -> Vec<PlannedOrder> {
        if now_ms < self.first_plan_ms {
            return Vec::new();
        }
        self.close_orders(views, now_ms);
        let busy = self.busy_runners(wanted, views, now_ms);
        let room = self.settings.parallel_loads.saturating_sub(busy.len());
        let fresh_ms = now_ms.saturating_sub(self.settings.silent_ms);
        let fresh_ms = fresh_ms.max(self.first_plan_ms);
        let mut due: Vec<_> = wanted
            .iter()
            .filter(|wanted| busy.binary_search(&wanted.instance).is_err())
            .filter(|wanted| {
                let mut views = views.iter();
                let view = views.find(|view| view.instance == wanted.instance);
                view.is_some_and(|view| {
                    view.received_ms >= fresh_ms && differs(wanted, &view.report)
                })
            })
            .collect();
        // A runner that keeps failing must not keep the others waiting.
        due.sort_by_key(|wanted| self.last_tried(&wanted.instance));
        due.truncate(room);
        let orders = due.into_iter().map(load_order).collect::<Vec<_>>();
        for order in &orders {
            self.note_order(&order.instance, now_ms);
        }
        orders
    }

    /// The runners that load or may load, sorted.
    ///
    /// A runner that has not reported since the lease was taken may load what
    /// the last holder ordered, until such a load is over.
    fn busy_runners(
        &self,
        wanted: &[WantedVersion],
        views: &[RunnerView],
        now_ms: u64,
    ) -> Vec<InstanceName> {
        let limit_ms = self.settings.load_limit_ms;
        let known = |instance: &InstanceName| {
            let mut views = views.iter();
            views.any(|v| v.instance == *instance && v.received_ms >= self.first_plan_ms)
        };
        let old_loads = now_ms < self.first_plan_ms.saturating_add(limit_ms);
        let unknown = wanted.iter().map(|wanted| &wanted.instance);
        let unknown = unknown.filter(|instance| old_loads && !known(instance));
        let loading = views.iter().filter(|view| {
            let over_ms = view.received_ms.saturating_add(limit_ms);
            view.report.loading.is_some() && now_ms < over_ms
        });
        let open = self.open.iter().map(|open| &open.instance);
        let busy = open
            .chain(loading.map(|view| &view.instance))
            .chain(unknown);
        let mut busy: Vec<_> = busy.cloned().collect();
        busy.sort_unstable();
        busy.dedup();
        busy
    }

    /// When a runner was last ordered; none sorts first.
    fn last_tried(&self, instance: &InstanceName) -> Option<u64> {
        let place = self.tried.binary_search_by(|(name, _)| name.cmp(instance));
        place.ok().map(|place| self.tried[place].1)
    }

    /// Notes an order to a runner.
    fn note_order(&mut self, instance: &InstanceName, now_ms: u64) {
        self.open.push(OpenOrder {
            instance: instance.clone(),
            ordered_ms: now_ms,
        });
        let place = self.tried.binary_search_by(|(name, _)| name.cmp(instance));
        match place {
            Ok(place) => self.tried[place].1 = now_ms,
            Err(place) => self.tried.insert(place, (instance.clone(), now_ms)),
        }
    }

    /// Notes that the order to `instance` was not run, so its place is free.
    pub fn not_run(&mut self, instance: &InstanceName) {
        self.open.retain(|open| open.instance != *instance);
    }

    /// Forgets orders whose load is over.
    fn close_orders(&mut self, views: &[RunnerView], now_ms: u64) {
        let settings = self.settings;
        self.open.retain(|open| {
            let limit_ms = settings.load_limit_ms.saturating_add(settings.flight_ms);
            if now_ms >= open.ordered_ms.saturating_add(limit_ms) {
                return false;
            }
            let seen_ms = settings.report_lag_ms.saturating_add(settings.flight_ms);
            let seen_ms = open.ordered_ms.saturating_add(seen_ms);
            let view = views.iter().find(|view| view.instance == open.instance);
            let over =
                |view: &RunnerView| view.received_ms >= seen_ms && view.report.loading.is_none();
            !view.is_some_and(over)
        });
    }
}

/// Whether a runner that takes orders serves something else than wanted.
fn differs(wanted: &WantedVersion, report: &LoadReport) -> bool {
    let same = report.model == wanted.model && report.version == wanted.version;
    !same && !report.leaving
}

/// The order that makes a runner serve what is wanted.
fn load_order(wanted: &WantedVersion) -> PlannedOrder {
    PlannedOrder {
        instance: wanted.instance.clone(),
        order: TargetOrder::Load {
            model: wanted.model.clone(),
            version: wanted.version.clone(),
        },
    }
}
