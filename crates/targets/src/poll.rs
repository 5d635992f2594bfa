//! Reads the load reports of a pool's runners, some of which may be silent.
//!
//! A round of reports ends within its budget. Runners that answered last time
//! are asked first, each kind in the order in which they were asked last, so
//! silent runners hold up neither the others nor the caller.

use crate::{EngineClient, RunnerView, TargetTimeouts};
use berylmount_model::InstanceName;
use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Mutex, PoisonError,
    },
    thread,
    time::{Duration, Instant},
};

/// Runners that are asked at once.
const ASKED_AT_ONCE: usize = 8;

/// A runner and how it was asked last.
#[derive(Clone, Debug)]
struct PolledRunner {
    instance: InstanceName,
    address: SocketAddr,
    answered: bool,
    /// The round in which it was asked last, zero for never.
    round: u64,
}

/// The newest reports of a pool's runners.
///
/// ```
/// use berylmount_targets::{ReportPoll, TargetTimeouts};
/// use std::time::Duration;
///
/// let mut poll = ReportPoll::default();
/// let views = poll.poll(&[], TargetTimeouts::default(), &|| 0, Duration::from_secs(1));
/// assert!(views.is_empty());
/// ```
#[derive(Debug, Default)]
pub struct ReportPoll {
    round: u64,
    runners: Vec<PolledRunner>,
    /// Sorted by runner.
    views: Vec<RunnerView>,
}

impl ReportPoll {
    /// Asks as many of `runners` as `budget` allows and returns the newest
    /// report of each that ever answered, sorted by runner.
    ///
    /// Some are asked whatever the budget, and a call that is under way when it
    /// ends goes on to its own limit.
    pub fn poll(
        &mut self,
        runners: &[(InstanceName, SocketAddr)],
        timeouts: TargetTimeouts,
        clock_ms: &(impl Fn() -> u64 + Sync),
        budget: Duration,
    ) -> &[RunnerView] {
        self.round += 1;
        self.update_runners(runners);
        let started = Instant::now();
        let next = AtomicUsize::new(0);
        let answers = Mutex::new(Vec::new());
        thread::scope(|scope| {
            for _ in 0..ASKED_AT_ONCE.min(self.runners.len()) {
                scope.spawn(|| {
                    // Each thread asks one at least, so every round makes progress.
                    loop {
                        let place = next.fetch_add(1, Ordering::Relaxed);
                        let Some(runner) = self.runners.get(place) else {
                            break;
                        };
                        let report = EngineClient::new(runner.address, timeouts).load();
                        let mut answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
                        answers.push((place, report.ok(), clock_ms()));
                        if started.elapsed() >= budget {
                            break;
                        }
                    }
                });
            }
        });
        for (place, report, received_ms) in answers.into_inner().unwrap_or_default() {
            let runner = &mut self.runners[place];
            (runner.round, runner.answered) = (self.round, report.is_some());
            let instance = runner.instance.clone();
            if let Some(report) = report {
                self.set_view(RunnerView {
                    instance,
                    received_ms,
                    report,
                });
            }
        }
        &self.views
    }

    /// Takes over the list of runners, in the order in which to ask them.
    fn update_runners(&mut self, runners: &[(InstanceName, SocketAddr)]) {
        let old = std::mem::take(&mut self.runners);
        let new = runners.iter().map(|(instance, address)| {
            let same = |old: &&PolledRunner| old.instance == *instance && old.address == *address;
            let known = old.iter().find(same).cloned();
            known.unwrap_or_else(|| PolledRunner {
                instance: instance.clone(),
                address: *address,
                answered: true,
                round: 0,
            })
        });
        self.runners = new.collect();
        self.runners
            .sort_by_key(|runner| (!runner.answered, runner.round));
        let listed = |view: &RunnerView| runners.iter().any(|(name, _)| *name == view.instance);
        self.views.retain(listed);
    }

    /// Replaces a runner's report.
    fn set_view(&mut self, view: RunnerView) {
        let place = self
            .views
            .binary_search_by(|old| old.instance.cmp(&view.instance));
        match place {
            Ok(place) => self.views[place] = view,
            Err(place) => self.views.insert(place, view),
        }
    }
}
