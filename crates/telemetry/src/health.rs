//! What `/healthz` answers.

use std::sync::atomic::{AtomicU8, Ordering};
use strum::{Display, FromRepr, IntoStaticStr};

/// Whether a process takes new work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Display, FromRepr, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum HealthState {
    /// It has no table yet.
    #[default]
    Starting,
    /// It takes work.
    Ready,
    /// It finishes what it has.
    Leaving,
}

/// Health of a process, shared between its threads.
///
/// ```
/// use berylmount_telemetry::{HealthFlag, HealthState};
///
/// let flag = HealthFlag::default();
/// flag.set(HealthState::Ready);
/// assert_eq!(flag.get(), HealthState::Ready);
/// ```
#[derive(Debug, Default)]
pub struct HealthFlag(AtomicU8);

impl HealthFlag {
    /// Changes the state.
    pub fn set(&self, state: HealthState) {
        self.0.store(state as u8, Ordering::Relaxed);
    }

    /// The state.
    pub fn get(&self) -> HealthState {
        HealthState::from_repr(self.0.load(Ordering::Relaxed)).unwrap_or_default()
    }
}
