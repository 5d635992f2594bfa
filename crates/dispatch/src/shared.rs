//! What the threads of a dispatch process share.

use crate::{kept::KeepWish, AnswerBook, KeptDesk, RunnerGroup, TargetRoster};
use berylmount_ledger::{LedgerConfig, OrderLedger};
use berylmount_model::{
    CallRefusal, InstanceName, InstanceRecord, InstanceRole, InstanceState, MonotonicClock,
    RefusalReason,
};
use berylmount_objects::ObjectStore;
use berylmount_policy::{assignment, RetryBudget, RunnerSettings, TargetGroup};
use berylmount_settings::ProcessSettings;
use berylmount_table::TableReplica;
use berylmount_targets::TargetTimeouts;
use berylmount_telemetry::{GaugeMetric, MetricSet, WorkTracker};
use rand_pcg::Pcg64Mcg;
use std::{
    io,
    sync::{mpsc::Receiver, Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// When to come back to a process that is stopping, in milliseconds.
const DRAINING_RETRY_MS: u64 = 100;

/// When to come back to a process with too many calls, in milliseconds.
const FULL_RETRY_MS: u64 = 500;

/// What decides on retries.
#[derive(Debug)]
pub(crate) struct RetryState {
    /// The process's budget.
    pub(crate) budget: RetryBudget,
    /// Spreads retries.
    pub(crate) rng: Pcg64Mcg,
}

/// What a dispatch process is made of.
pub struct DispatchParts {
    /// The checked settings.
    pub settings: ProcessSettings,
    /// The platform's object API.
    pub store: Arc<dyn ObjectStore>,
    /// The operators' table.
    pub table: Arc<TableReplica>,
    /// Metrics.
    pub metrics: Arc<MetricSet>,
    /// The process's clock; the table's replica runs on it too.
    pub clock: MonotonicClock,
    /// Differs between incarnations; seeds what is random.
    pub seed: u64,
}

/// What the threads of a dispatch process share.
pub struct DispatchShared {
    /// The checked settings.
    pub settings: ProcessSettings,
    /// The process's clock.
    pub clock: MonotonicClock,
    /// Differs between incarnations of this process.
    pub origin: u64,
    /// Metrics.
    pub metrics: Arc<MetricSet>,
    /// The platform's object API.
    pub store: Arc<dyn ObjectStore>,
    /// Live dispatch processes by the platform's list, sorted.
    dispatches: Mutex<Vec<InstanceName>>,
    /// The targets known.
    pub roster: TargetRoster,
    /// The operators' table.
    pub table: Arc<TableReplica>,
    /// Kept cache.
    pub kept: KeptDesk,
    /// Records of orders.
    pub ledger: OrderLedger,
    /// Answers held.
    pub answers: AnswerBook,
    /// Open runner groups, sorted by group.
    groups: Mutex<Vec<(TargetGroup, Arc<RunnerGroup>)>>,
    /// Decides on retries.
    retries: Mutex<RetryState>,
    /// Counts calls, and lets the process drain.
    pub tracker: Arc<WorkTracker>,
}

impl DispatchShared {
    /// The state of a process that has just started.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the ledger's threads can't be had.
    pub fn new(parts: DispatchParts) -> io::Result<(Self, Receiver<KeepWish>)> {
        let DispatchParts {
            settings,
            store,
            table,
            metrics,
            clock,
            seed,
        } = parts;
        let dispatch = &settings.dispatch;
        let ledger = OrderLedger::new(Arc::clone(&store), LedgerConfig::for_process(seed))?;
        let timeouts = target_timeouts(&settings);
        let (kept, wishes) = KeptDesk::new(seed, timeouts);
        let shared = Self {
            clock,
            origin: seed,
            metrics,
            store,
            dispatches: Mutex::default(),
            table,
            kept,
            roster: TargetRoster::default(),
            ledger,
            answers: AnswerBook::new(dispatch.answer_hold_bytes, dispatch.answer_hold_time),
            groups: Mutex::default(),
            retries: Mutex::new(RetryState {
                budget: RetryBudget::default(),
                rng: Pcg64Mcg::new(seed.into()),
            }),
            tracker: Arc::default(),
            settings,
        };
        Ok((shared, wishes))
    }

    /// The process's time, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// This process's name in the platform's list.
    pub fn name(&self) -> InstanceName {
        self.settings.process_name(InstanceRole::Dispatch)
    }

    /// Live dispatch processes by the platform's list, sorted.
    pub fn dispatches(&self) -> Vec<InstanceName> {
        let names = self.dispatches.lock();
        names.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Takes in the platform's list of instances.
    pub fn apply_list(&self, records: &[InstanceRecord]) {
        let live = records.iter().filter(|record| {
            record.role == InstanceRole::Dispatch && record.state == InstanceState::Live
        });
        let mut names: Vec<_> = live.map(|record| record.name.clone()).collect();
        names.sort();
        *self
            .dispatches
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = names;
        self.roster.apply_list(records);
        for state in [InstanceState::Live, InstanceState::Leaving] {
            let targets = records.iter().filter(|record| {
                let ours = matches!(record.role, InstanceRole::Entry | InstanceRole::Dispatch);
                !ours && record.state == state
            });
            let count = targets.count() as i64;
            self.metrics.set(GaugeMetric::Targets, state.into(), count);
        }
        for (name, group) in self.groups() {
            group.apply_runners(&self.group_records(&name), self.now_ms());
        }
    }

    /// Time limits of calls to targets.
    pub fn target_timeouts(&self) -> TargetTimeouts {
        target_timeouts(&self.settings)
    }

    /// Locks what decides on retries.
    pub(crate) fn retries(&self) -> MutexGuard<'_, RetryState> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The runner group `group`, opened if need be.
    pub fn group(&self, group: &TargetGroup) -> Arc<RunnerGroup> {
        let mut groups = self.lock_groups();
        match groups.binary_search_by(|(known, _)| known.cmp(group)) {
            Ok(slot) => Arc::clone(&groups[slot].1),
            Err(slot) => {
                let seed = u128::from(self.now_ms()) ^ slot as u128;
                let opened = Arc::new(RunnerGroup::new(RunnerSettings::default(), seed));
                opened.apply_runners(&self.group_records(group), self.now_ms());
                groups.insert(slot, (group.clone(), Arc::clone(&opened)));
                opened
            }
        }
    }

    /// Every open runner group.
    pub fn groups(&self) -> Vec<(TargetGroup, Arc<RunnerGroup>)> {
        self.lock_groups().clone()
    }

    /// Locks the groups; a panic elsewhere leaves the list whole.
    fn lock_groups(&self) -> MutexGuard<'_, Vec<(TargetGroup, Arc<RunnerGroup>)>> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The runners of `group` with whether each takes new work.
    pub fn group_records(&self, group: &TargetGroup) -> Vec<(InstanceRecord, bool)> {
        let mut records = self.roster.pool(&group.pool, self.now_ms());
        records.retain(|(record, _)| {
            record.role == InstanceRole::Runner && record.data_centre == group.data_centre
        });
        let names: Vec<_> = records.iter().map(|(r, _)| r.name.clone()).collect();
        let mut indexes = assignment::split_groups(&names).into_iter();
        records.retain(|_| indexes.next() == Some(group.index));
        records
    }

    /// Refuses new work while the process is stopping or full.
    ///
    /// # Errors
    ///
    /// Returns the refusal.
    pub fn check_room(&self) -> Result<(), CallRefusal> {
        if self.tracker.is_draining() {
            return Err(CallRefusal::not_run(
                RefusalReason::Redirected,
                "the dispatch process is stopping",
                DRAINING_RETRY_MS,
            ));
        }
        if self.tracker.in_flight() > self.settings.dispatch.max_in_flight {
            return Err(CallRefusal::not_run(
                RefusalReason::Overloaded,
                "the dispatch process has too many calls",
                FULL_RETRY_MS,
            ));
        }
        Ok(())
    }
}

/// Time limits of calls to targets.
fn target_timeouts(settings: &ProcessSettings) -> TargetTimeouts {
    TargetTimeouts {
        connect: settings.timeouts.connect,
        gap: settings.timeouts.silent_gap,
        ..TargetTimeouts::default()
    }
}

/// How long a thread waits at most before it looks at the process's state.
pub(crate) const LOOK_INTERVAL: Duration = Duration::from_millis(50);
