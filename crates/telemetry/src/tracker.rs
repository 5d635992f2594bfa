//! Tracking of the work in flight in a process, for draining.

use std::{
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

/// Interval for polling the number of pieces of work in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Tracks the work in flight in a process, and whether the process is draining.
///
/// ```
/// use berylmount_telemetry::WorkTracker;
/// use std::{sync::Arc, time::Instant};
///
/// let tracker = Arc::new(WorkTracker::default());
/// let guard = tracker.enter();
/// tracker.drain();
/// assert!(tracker.is_draining());
/// assert!(!tracker.wait_idle(Instant::now()));
/// drop(guard);
/// assert!(tracker.wait_idle(Instant::now()));
/// ```
#[derive(Debug, Default)]
pub struct WorkTracker {
    in_flight: AtomicUsize,
    draining: AtomicBool,
}

impl WorkTracker {
    /// Registers one piece of work until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> WorkGuard {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        WorkGuard(Arc::clone(self))
    }

    /// Returns the number of pieces of work in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Marks the process as draining. New work is still counted.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Returns whether the process is draining.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Waits until no work is in flight; returns false if `end` is reached first.
    pub fn wait_idle(&self, end: Instant) -> bool {
        while self.in_flight() > 0 {
            if Instant::now() >= end {
                return false;
            }
            thread::sleep(POLL_INTERVAL);
        }
        true
    }
}

/// Registration of one piece of work; dropping it ends the registration.
#[derive(Debug)]
pub struct WorkGuard(Arc<WorkTracker>);

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
