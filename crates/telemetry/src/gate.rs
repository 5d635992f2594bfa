//! Counts the work of a process, and lets it drain.

use std::{
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

/// Time between two looks at the work that is left.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// The work in flight of a process, and whether the process is stopping.
///
/// ```
/// use berylmount_telemetry::WorkGate;
/// use std::{sync::Arc, time::Instant};
///
/// let gate = Arc::new(WorkGate::default());
/// let guard = gate.enter();
/// gate.drain();
/// assert!(gate.is_draining());
/// assert!(!gate.wait_idle(Instant::now()));
/// drop(guard);
/// assert!(gate.wait_idle(Instant::now()));
/// ```
#[derive(Debug, Default)]
pub struct WorkGate {
    in_flight: AtomicUsize,
    draining: AtomicBool,
}

impl WorkGate {
    /// Counts one piece of work in until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> WorkGuard {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        WorkGuard(Arc::clone(self))
    }

    /// Pieces of work in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Notes that the process is stopping.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Whether the process is stopping.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Waits until no work is left; returns whether that came before `end`.
    pub fn wait_idle(&self, end: Instant) -> bool {
        while self.in_flight() > 0 {
            if Instant::now() >= end {
                return false;
            }
            thread::sleep(LOOK_INTERVAL);
        }
        true
    }
}

/// Counts one piece of work for as long as it lives.
#[derive(Debug)]
pub struct WorkGuard(Arc<WorkGate>);

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
