//! Messages of other instances that this one skips.
//!
//! During an upgrade, instances of two builds exchange messages for minutes. What one of them
//! does not understand is counted, but logged only now and then.

use crate::{clock::boot_ms, state::GatewayState};
use berylmount_telemetry::{CounterMetric, RecordLimiter};
use std::{cell::RefCell, fmt::Display};
use strum::{Display, EnumCount, IntoStaticStr};

/// Minimum time between two log records of one reason, in milliseconds.
const LOG_INTERVAL_MS: u64 = 5000;

/// Why a message is skipped.
#[derive(Clone, Copy, Debug, Display, EnumCount, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum SkipReason {
    /// Its kind is unknown.
    UnknownKind,
    /// It is a heartbeat of another format.
    OtherFormat,
    /// It does not decode.
    Malformed,
}

/// Limits the log records of skipped messages, by reason.
#[derive(Debug)]
pub(crate) struct SkippedMessages(RefCell<[RecordLimiter; SkipReason::COUNT]>);

impl Default for SkippedMessages {
    fn default() -> Self {
        let limiters = [const { RecordLimiter::new(LOG_INTERVAL_MS) }; SkipReason::COUNT];
        Self(RefCell::new(limiters))
    }
}

/// Counts a skipped message of `sender`, and logs it unless that happened just before.
pub(crate) fn note_skipped(
    state: &GatewayState,
    reason: SkipReason,
    sender: impl Display,
    detail: &str,
) {
    state
        .metrics
        .add(CounterMetric::SkippedPeerMessagesTotal, reason.into(), 1);
    let limiter = &mut state.skipped_messages.0.borrow_mut()[reason as usize];
    if let Some(left_out) = limiter.admit(boot_ms()) {
        log::warn!(
            target: "peers",
            reason:%, sender:%, detail, left_out;
            "skipped a message of another instance"
        );
    }
}
