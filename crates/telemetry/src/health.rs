//! The health state that `/healthz` reports.

use std::sync::atomic::{AtomicU8, Ordering};
use strum::{Display, FromRepr, IntoStaticStr};

/// Whether a process accepts new work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Display, FromRepr, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum HealthState {
    /// The process has no table yet.
    #[default]
    Starting,
    /// The process accepts work.
    Ready,
    /// The process is draining: it finishes its work and accepts no more.
    Leaving,
}

/// Health state of a process, shared between its threads.
///
/// ```
/// use berylmount_telemetry::{HealthState, SharedHealth};
///
/// let health = SharedHealth::default();
/// health.set(HealthState::Ready);
/// assert_eq!(health.get(), HealthState::Ready);
/// ```
#[derive(Debug, Default)]
pub struct SharedHealth(AtomicU8);

impl SharedHealth {
    /// Sets the state.
    pub fn set(&self, state: HealthState) {
        self.0.store(state as u8, Ordering::Relaxed);
    }

    /// Returns the state.
    pub fn get(&self) -> HealthState {
        HealthState::from_repr(self.0.load(Ordering::Relaxed)).unwrap_or_default()
    }
}
