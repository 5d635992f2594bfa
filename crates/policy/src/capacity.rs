//! The capacity of a runner group and the room it has for new work.

use crate::{
    class_queue::LaneRoom,
    queue::{WorkItem, CLASSES},
};
use berylmount_model::WorkClass;

/// Longest start delay that is deducted from the deadline of queued work, in
/// milliseconds.
const MAX_START_WAIT_MS: f64 = 500.0;

/// The capacity of a runner group, as queue estimates use it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueCapacity {
    /// Number of healthy runners; a slow one counts for less than one.
    pub runners: f64,
    /// Prefill time in flight that runs before new work, by class, in milliseconds.
    pub in_flight_ms: [f64; CLASSES],
    /// Mean slowdown factor of the runners; a healthy one has 1.
    pub slowness: f64,
    /// Time until the first of them could start new work, by class, in milliseconds.
    pub earliest_start_ms: [f64; CLASSES],
}

impl QueueCapacity {
    /// Returns the capacity of idle healthy runners.
    ///
    /// ```
    /// assert_eq!(berylmount_policy::QueueCapacity::idle(4.0).runners, 4.0);
    /// ```
    pub fn idle(runners: f64) -> Self {
        Self {
            runners,
            slowness: 1.0,
            in_flight_ms: [0.0; CLASSES],
            earliest_start_ms: [0.0; CLASSES],
        }
    }

    /// Returns when `item` must leave the queue for its first token to be in time.
    pub(crate) fn latest_start_ms(&self, item: &WorkItem) -> u64 {
        let soonest = self.earliest_start_ms[item.class as usize].min(MAX_START_WAIT_MS);
        let taken = soonest + item.prefill_ms * self.slowness;
        item.due_ms.saturating_sub(taken as u64)
    }

    /// Returns the wait, in milliseconds, of work with `ahead_ms` of prefill before it.
    ///
    /// The work may use `fraction` of the runners.
    pub(crate) fn wait_ms(&self, class: WorkClass, ahead_ms: f64, fraction: f64) -> f64 {
        let soonest = self.earliest_start_ms[class as usize];
        if ahead_ms <= 0.0 {
            return soonest;
        }
        let runners = self.runners.max(0.01);
        let in_flight = self.in_flight_ms[class as usize] / runners;
        soonest.max(in_flight + ahead_ms / (runners * fraction))
    }
}

/// The kinds of work that a runner group has room for, by class.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct QueueRoom {
    /// Whether some runner can take short work.
    pub short: [bool; CLASSES],
    /// Whether some runner can take a long prefill.
    pub long: [bool; CLASSES],
}

impl QueueRoom {
    /// Returns the same room for every class.
    ///
    /// ```
    /// use berylmount_policy::QueueRoom;
    ///
    /// assert!(QueueRoom::same(true, false).short.iter().all(|&open| open));
    /// ```
    pub fn same(short: bool, long: bool) -> Self {
        Self {
            short: [short; CLASSES],
            long: [long; CLASSES],
        }
    }

    /// Returns the room for short and for long work of `class`.
    pub(crate) fn of_class(self, class: usize) -> LaneRoom {
        LaneRoom {
            short: self.short[class],
            long: self.long[class],
        }
    }
}
