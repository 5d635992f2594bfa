//! Orders without outcome, for the operators' status.

use crate::{
    operator_messages::{StatusLevel, StatusLine},
    operators::StatusPart,
};
use berylmount_ledger::{unsettled_below, LedgerDay, OrderEntry, SegmentName, RETENTION_DAYS};
use berylmount_model::unix_ms;
use berylmount_objects::ObjectStore;
use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

/// Age below which an order is taken to be at the service, in milliseconds.
const MIN_AGE_MS: u64 = 60_000;
/// Age from which an operator has to settle an order, in milliseconds.
const ALARM_AGE_MS: u64 = 900_000;
/// How long an answer is given again, since it takes many reads.
const KEPT_TIME: Duration = Duration::from_secs(60);
/// Longest time of reading the ledger for one status.
const READ_TIME: Duration = Duration::from_secs(3);
/// Orders named in the status.
const NAMED_ORDERS: usize = 5;

/// What the last reading found.
struct KeptLines {
    read_at: Instant,
    lines: Vec<StatusLine>,
}

/// The status lines on orders that may have run and have no outcome.
///
/// ```
/// use berylmount_entry::order_part;
/// use berylmount_standins::MemoryStore;
/// use std::sync::Arc;
///
/// let part = order_part(Arc::new(MemoryStore::default()));
/// assert!(part().is_empty());
/// ```
pub fn order_part(store: Arc<dyn ObjectStore>) -> StatusPart {
    let kept: Mutex<Option<KeptLines>> = Mutex::new(None);
    Box::new(move || {
        let mut kept = kept.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(known) = kept.as_ref().filter(|k| k.read_at.elapsed() < KEPT_TIME) {
            return known.lines.clone();
        }
        let lines = order_lines(store.as_ref(), unix_ms());
        *kept = Some(KeptLines {
            read_at: Instant::now(),
            lines: lines.clone(),
        });
        lines
    })
}

/// Reads the ledger, the newest day first, for a bounded time.
fn order_lines(store: &dyn ObjectStore, now_ms: u64) -> Vec<StatusLine> {
    let end = Instant::now() + READ_TIME;
    let last = LedgerDay::of_unix_ms(now_ms).plus(1);
    let days = (0..=RETENTION_DAYS + 1).map(|back| last.minus(back));
    let mut entries = Vec::new();
    let mut unread = None;
    for root in days.flat_map(SegmentName::roots) {
        if Instant::now() >= end {
            unread = Some("it takes too long".to_owned());
            break;
        }
        match unsettled_below(store, root, now_ms.saturating_sub(MIN_AGE_MS)) {
            Ok(found) => entries.extend(found),
            Err(fault) => {
                unread = Some(fault.to_string());
                break;
            }
        }
    }
    let waiting = waiting_line(&entries, now_ms);
    let unread = unread.as_deref().map(unread_line);
    waiting.into_iter().chain(unread).collect()
}

/// The line on orders without outcome, if there are any.
fn waiting_line(entries: &[OrderEntry], now_ms: u64) -> Option<StatusLine> {
    let oldest_ms = entries.iter().map(|entry| entry.since_unix_ms).min()?;
    let named: Vec<_> = entries
        .iter()
        .take(NAMED_ORDERS)
        .map(|entry| format!("{} of {}", entry.key, entry.customer))
        .collect();
    let alarm = now_ms.saturating_sub(oldest_ms) >= ALARM_AGE_MS;
    let (level, action) = match alarm {
        true => (
            StatusLevel::Alarm,
            "run 'berylmount orders list-unsettled', ask the service, then 'orders settle'",
        ),
        false => (
            StatusLevel::Notice,
            "dispatch asks the services that can be asked, every few minutes",
        ),
    };
    Some(StatusLine {
        level,
        part: "orders".to_owned(),
        text: format!(
            "{} orders may have run and have no outcome: {}",
            entries.len(),
            named.join(", ")
        ),
        action: action.to_owned(),
    })
}

/// The line on a ledger that could not be read to its end.
fn unread_line(fault: &str) -> StatusLine {
    StatusLine {
        level: StatusLevel::Notice,
        part: "orders".to_owned(),
        text: format!("not every order was looked at: {fault}"),
        action: "run 'berylmount orders list-unsettled' when the platform answers".to_owned(),
    }
}
