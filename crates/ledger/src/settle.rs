//! Single changes by operators and sweeps, without a lane's thread.

use crate::{
    calls::make_call, ChangeReply, ChangeRequest, KeyPlace, LedgerChange, LedgerConfig, LedgerDay,
    LedgerLane, OrderEntry, OrderOutcome, OrderState, OutcomeSource, ReadError, SegmentBody,
    SegmentName,
};
use berylmount_objects::{ObjectStore, StoreError};

/// Calls that one settlement may take.
const MAX_CALLS: usize = 64;
/// Days beyond the retention before a day's entries are deleted.
const EXPIRY_GRACE_DAYS: u32 = 2;

/// Makes one change by conditional update and waits for what comes of it.
///
/// An unclear write is read back; `Unavailable` says that the platform failed
/// before the change was seen to stand, and that repeating it is safe.
pub fn change_once(
    store: &dyn ObjectStore,
    config: LedgerConfig,
    request: ChangeRequest,
) -> ChangeReply {
    let mut lane = LedgerLane::new(config);
    lane.submit(1, request);
    for _ in 0..MAX_CALLS {
        let Some(call) = lane.next_call(0) else {
            break;
        };
        let reply = make_call(store, &call);
        lane.take_reply(reply, 0);
        if let Some((_, reply)) = lane.take_replies().pop() {
            return reply;
        }
    }
    let last = lane.take_replies().pop();
    last.map_or(ChangeReply::Unavailable, |(_, reply)| reply)
}

/// Settles the attempt that `entry` shows, by conditional update.
///
/// "Not run" is refused for an attempt younger than
/// [`LedgerConfig::settle_min_age_ms`], because its writer may still send.
///
/// # Errors
///
/// [`ReadError::Key`] if the entry's key has no date.
pub fn settle_entry(
    store: &dyn ObjectStore,
    config: LedgerConfig,
    entry: &OrderEntry,
    outcome: OrderOutcome,
    source: OutcomeSource,
    unix_ms: u64,
) -> Result<ChangeReply, ReadError> {
    let min_age_ms = match outcome {
        OrderOutcome::Ran(_) => 0,
        OrderOutcome::NotRun => config.settle_min_age_ms,
    };
    let request = ChangeRequest {
        place: KeyPlace::of(&entry.customer, &entry.key)?,
        customer: entry.customer.clone(),
        key: entry.key.clone(),
        nonce: entry.nonce,
        unix_ms,
        change: LedgerChange::Settle {
            outcome,
            source,
            min_age_ms,
        },
    };
    Ok(change_once(store, config, request))
}

/// What an expiry did.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DayExpiry {
    /// The day is too young.
    Kept,
    /// The day has orders without outcome, which an operator must settle first.
    Unsettled(usize),
    /// The day's entries are gone; this many objects were deleted.
    Expired(usize),
}

/// Deletes the entries of a day that is past the retention.
///
/// Top segments stay as marks without entries, so that a process whose clock
/// lags cannot start an order of that day again.
///
/// # Errors
///
/// [`ReadError`] if the platform fails; calling again goes on.
pub fn expire_day(
    store: &dyn ObjectStore,
    config: LedgerConfig,
    day: LedgerDay,
    today: LedgerDay,
) -> Result<DayExpiry, ReadError> {
    if day >= today.minus(config.retention_days + EXPIRY_GRACE_DAYS) {
        return Ok(DayExpiry::Kept);
    }
    let mut unsettled = 0;
    crate::visit_day(store, day, &mut |_, body| {
        let waits = |entry: &&OrderEntry| entry.state == OrderState::Intent;
        unsettled += body.entries.iter().filter(waits).count();
    })?;
    if unsettled > 0 {
        return Ok(DayExpiry::Unsettled(unsettled));
    }
    for name in SegmentName::roots(day) {
        mark_expired(store, name)?;
    }
    delete_children(store, day).map(DayExpiry::Expired)
}

/// Replaces a top segment by a mark without entries.
fn mark_expired(store: &dyn ObjectStore, name: SegmentName) -> Result<(), ReadError> {
    let key = name.to_string();
    let version = store.get(&key)?.map_or(0, |object| object.version);
    let mark = SegmentBody {
        sealed: true,
        expired: true,
        entries: Vec::new(),
    };
    let bytes = serde_json::to_vec(&mark).map_err(|_| StoreError::Malformed)?;
    store.put(&key, version, &bytes)?;
    Ok(())
}

/// Deletes the day's segments below the top ones.
fn delete_children(store: &dyn ObjectStore, day: LedgerDay) -> Result<usize, ReadError> {
    let roots: Vec<String> = SegmentName::roots(day).map(|n| n.to_string()).collect();
    let mut deleted = 0;
    for root in &roots {
        let heads = store.list(root)?;
        for head in heads.iter().filter(|head| head.key != *root) {
            store.delete(&head.key, head.version)?;
            deleted += 1;
        }
    }
    Ok(deleted)
}
