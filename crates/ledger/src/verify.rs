//! Checks a segment that was read, apart from the code that changes segments.

use crate::{segment::SEGMENT_ENTRIES, KeyError, KeyPlace, SegmentBody, SegmentName};

/// What is wrong with a segment.
#[derive(Debug, thiserror::Error)]
pub enum SegmentFault {
    /// The value is no segment.
    #[error("not a segment: {0}")]
    Syntax(#[from] serde_json::Error),
    /// An entry's key has no date.
    #[error("entry {index}: {fault}")]
    Key {
        /// The entry.
        index: usize,
        /// What is wrong with its key.
        fault: KeyError,
    },
    /// An entry belongs to another segment.
    #[error("entry {index} belongs to another segment")]
    Misplaced {
        /// The entry.
        index: usize,
    },
    /// Entries are out of order, or a key stands twice.
    #[error("entry {index} is out of order or doubled")]
    Unsorted {
        /// The later entry.
        index: usize,
    },
    /// There are more entries than a segment holds, or any in an expired one.
    #[error("{count} entries are too many")]
    TooMany {
        /// How many there are.
        count: usize,
    },
}

/// Decodes and checks a segment.
///
/// ```
/// use berylmount_ledger::{decode_segment, LedgerDay, SegmentName};
///
/// let day = LedgerDay::parse("20261204").unwrap();
/// let name = SegmentName::roots(day).next().unwrap();
/// let body = br#"{"sealed":false,"expired":false,"entries":[]}"#;
/// assert!(decode_segment(name, body).is_ok());
/// assert!(decode_segment(name, b"[]").is_err());
/// ```
///
/// # Errors
///
/// The first [`SegmentFault`] found.
pub fn decode_segment(name: SegmentName, bytes: &[u8]) -> Result<SegmentBody, SegmentFault> {
    let body: SegmentBody = serde_json::from_slice(bytes)?;
    verify_segment(name, &body)?;
    Ok(body)
}

/// Checks the invariants of a segment.
///
/// # Errors
///
/// The first [`SegmentFault`] found.
pub fn verify_segment(name: SegmentName, body: &SegmentBody) -> Result<(), SegmentFault> {
    let count = body.entries.len();
    let bound = if body.expired { 0 } else { SEGMENT_ENTRIES };
    if count > bound {
        return Err(SegmentFault::TooMany { count });
    }
    for (index, entry) in body.entries.iter().enumerate() {
        let place = KeyPlace::of(&entry.customer, &entry.key)
            .map_err(|fault| SegmentFault::Key { index, fault })?;
        if !name.covers(&place) {
            return Err(SegmentFault::Misplaced { index });
        }
    }
    let pairs = body.entries.windows(2).enumerate();
    let rises = |pair: &[crate::OrderEntry]| {
        (&pair[0].customer, &pair[0].key) < (&pair[1].customer, &pair[1].key)
    };
    for (index, pair) in pairs {
        if !rises(pair) {
            return Err(SegmentFault::Unsorted { index: index + 1 });
        }
    }
    Ok(())
}
