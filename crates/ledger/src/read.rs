//! Reads entries straight from the platform, for operators and sweeps.

use crate::{
    decode_segment, KeyPlace, LedgerDay, OrderEntry, OrderState, SegmentBody, SegmentName,
};
use berylmount_model::{CustomerName, OrderKey};
use berylmount_objects::{ObjectStore, StoreError};

/// Why entries could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The platform failed.
    #[error("the platform failed: {0}")]
    Store(#[from] StoreError),
    /// A segment is malformed.
    #[error("segment {name}: {fault}")]
    Segment {
        /// The segment.
        name: SegmentName,
        /// What is wrong with it.
        fault: crate::SegmentFault,
    },
    /// The key has no date.
    #[error(transparent)]
    Key(#[from] crate::KeyError),
}

/// Reads one segment; a missing one is empty.
fn read_segment(store: &dyn ObjectStore, name: SegmentName) -> Result<SegmentBody, ReadError> {
    match store.get(&name.to_string())? {
        None => Ok(SegmentBody::default()),
        Some(object) => {
            decode_segment(name, &object.value).map_err(|fault| ReadError::Segment { name, fault })
        }
    }
}

/// Reads the entry of a customer's key.
///
/// ```
/// use berylmount_ledger::read_entry;
/// use berylmount_model::{CustomerName, OrderKey};
/// use berylmount_standins::MemoryStore;
///
/// let customer = CustomerName::new("north-crew").unwrap();
/// let key = OrderKey::new("20261204-7").unwrap();
/// let entry = read_entry(&MemoryStore::default(), &customer, &key);
/// assert!(entry.unwrap().is_none());
/// ```
///
/// # Errors
///
/// [`ReadError`] if the platform fails or the key has no date.
pub fn read_entry(
    store: &dyn ObjectStore,
    customer: &CustomerName,
    key: &OrderKey,
) -> Result<Option<OrderEntry>, ReadError> {
    let place = KeyPlace::of(customer, key)?;
    let mut next = Some(place.root());
    while let Some(name) = next {
        let body = read_segment(store, name)?;
        if let Some(entry) = body.entry(customer, key) {
            return Ok(Some(entry.clone()));
        }
        next = body.sealed.then(|| name.child(&place)).flatten();
    }
    Ok(None)
}

/// Visits every segment of a day, top nodes first.
///
/// # Errors
///
/// The first [`ReadError`]; the visits stop there.
pub fn visit_day(
    store: &dyn ObjectStore,
    day: LedgerDay,
    visit: &mut dyn FnMut(SegmentName, &SegmentBody),
) -> Result<(), ReadError> {
    SegmentName::roots(day).try_for_each(|root| visit_below(store, root, visit))
}

/// Visits a segment and every segment below it.
fn visit_below(
    store: &dyn ObjectStore,
    root: SegmentName,
    visit: &mut dyn FnMut(SegmentName, &SegmentBody),
) -> Result<(), ReadError> {
    let mut open = vec![root];
    while let Some(name) = open.pop() {
        let body = read_segment(store, name)?;
        visit(name, &body);
        if body.sealed && !body.expired {
            open.extend(name.children());
        }
    }
    Ok(())
}

/// The orders of a day without outcome that were begun before `before_unix_ms`.
///
/// Sorted by customer and key.
///
/// # Errors
///
/// [`ReadError`] if a segment cannot be read.
pub fn unsettled_orders(
    store: &dyn ObjectStore,
    day: LedgerDay,
    before_unix_ms: u64,
) -> Result<Vec<OrderEntry>, ReadError> {
    let mut found = Vec::new();
    for root in SegmentName::roots(day) {
        found.extend(unsettled_below(store, root, before_unix_ms)?);
    }
    found.sort_by(|a, b| (&a.customer, &a.key).cmp(&(&b.customer, &b.key)));
    Ok(found)
}

/// As [`unsettled_orders`], for a segment and those below it; not sorted.
///
/// # Errors
///
/// [`ReadError`] if a segment cannot be read.
pub fn unsettled_below(
    store: &dyn ObjectStore,
    root: SegmentName,
    before_unix_ms: u64,
) -> Result<Vec<OrderEntry>, ReadError> {
    let mut found = Vec::new();
    let waits = |entry: &&OrderEntry| {
        entry.state == OrderState::Intent && entry.since_unix_ms < before_unix_ms
    };
    visit_below(store, root, &mut |_, body| {
        found.extend(body.entries.iter().filter(waits).cloned());
    })?;
    Ok(found)
}
