//! Counts of calls to the platform, by kind.

use std::sync::atomic::{AtomicU64, Ordering};
use strum::{Display, EnumCount, EnumIter, EnumString, IntoEnumIterator, IntoStaticStr};

/// The kinds of call that the platform counts.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, Display, EnumCount, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum CallKind {
    /// A read of one object.
    Get,
    /// A conditional write.
    Put,
    /// A conditional deletion.
    Delete,
    /// A waiting read.
    Watch,
    /// A listing of objects.
    List,
    /// A listing of instances.
    Instances,
}

/// Counts calls and failures by kind since the start.
#[derive(Debug, Default)]
pub struct CallCounts {
    calls: [AtomicU64; CallKind::COUNT],
    failures: [AtomicU64; CallKind::COUNT],
}

impl CallCounts {
    /// Counts one call.
    pub fn add_call(&self, kind: CallKind) {
        self.calls[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts one call that got no usable answer.
    pub fn add_failure(&self, kind: CallKind) {
        self.failures[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// The calls of one kind.
    ///
    /// ```
    /// use berylmount_objects::{CallCounts, CallKind};
    ///
    /// let counts = CallCounts::default();
    /// counts.add_call(CallKind::Get);
    /// assert_eq!(counts.calls(CallKind::Get), 1);
    /// assert_eq!(counts.total(), 1);
    /// ```
    pub fn calls(&self, kind: CallKind) -> u64 {
        self.calls[kind as usize].load(Ordering::Relaxed)
    }

    /// The calls of one kind that got no usable answer.
    pub fn failures(&self, kind: CallKind) -> u64 {
        self.failures[kind as usize].load(Ordering::Relaxed)
    }

    /// The calls of all kinds.
    pub fn total(&self) -> u64 {
        CallKind::iter().map(|kind| self.calls(kind)).sum()
    }
}
