//! Clock that includes the time for which the machine is suspended.
//!
//! `CLOCK_MONOTONIC` stops during a suspend, so a lease holder that resumes would
//! assume that its lease is still valid.

use rustix::time::{clock_gettime, ClockId};

/// Returns the milliseconds since the machine booted, including suspended time.
pub(crate) fn boot_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(now.tv_nsec).unwrap_or_default();
    seconds * 1000 + nanos / 1_000_000
}
