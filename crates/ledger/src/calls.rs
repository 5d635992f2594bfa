//! Makes the calls that lanes ask for.

use crate::{lane::PROBE_OBJECT, CallReply, LaneCall, SegmentCall};
use berylmount_objects::{ObjectStore, StoreError, StoredObject};

/// Makes one call and translates its result.
///
/// ```
/// use berylmount_ledger::{make_call, CallReply, LaneCall};
/// use berylmount_standins::MemoryStore;
///
/// let store = MemoryStore::default();
/// assert_eq!(make_call(&store, &LaneCall::Probe), CallReply::Missing);
/// store.set_outage(true);
/// assert_eq!(make_call(&store, &LaneCall::Probe), CallReply::Unavailable);
/// ```
pub fn make_call(store: &dyn ObjectStore, call: &LaneCall) -> CallReply {
    match call {
        LaneCall::Probe => read_reply(store.get(PROBE_OBJECT)),
        LaneCall::Segment(name, SegmentCall::Read) => read_reply(store.get(&name.to_string())),
        LaneCall::Segment(name, SegmentCall::Write { body, expected }) => {
            write_reply(store.put(&name.to_string(), *expected, body))
        }
    }
}

/// Translates the result of a read; a read has no effect to be unclear about.
fn read_reply(result: Result<Option<StoredObject>, StoreError>) -> CallReply {
    match result {
        Ok(Some(object)) => CallReply::Found(object.value, object.version),
        Ok(None) | Err(StoreError::NotFound) => CallReply::Missing,
        Err(StoreError::Malformed) => CallReply::Malformed,
        Err(_) => CallReply::Unavailable,
    }
}

/// Translates the result of a write.
fn write_reply(result: Result<u64, StoreError>) -> CallReply {
    match result {
        Ok(version) => CallReply::Written(version),
        Err(StoreError::Conflict { .. } | StoreError::NotFound) => CallReply::Conflict,
        Err(StoreError::Unavailable) => CallReply::Unavailable,
        Err(StoreError::Unclear) => CallReply::Unclear,
        Err(StoreError::TooLarge | StoreError::Malformed) => CallReply::Malformed,
    }
}
