//! Splits a stream of server-sent events at event boundaries.
//!
//! A runner may fail in the middle of an event. Only complete events are relayed
//! to the caller, so that another runner can resume the stream after the last one.

use bytes::{Bytes, BytesMut};

/// Maximum size of one event in bytes. A longer event fails the stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Complete events that became available together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EventBlock {
    /// The unmodified bytes of the events.
    pub bytes: Bytes,
    /// The id of the last event that has one.
    pub last_id: Option<u64>,
}

/// Incremental splitter that buffers an incomplete event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
}

impl EventSplitter {
    /// Appends bytes and returns the events that are complete now, if any.
    ///
    /// ```
    /// use berylmount_gateway::EventSplitter;
    ///
    /// let mut splitter = EventSplitter::default();
    /// assert!(splitter.push(b"id: 7\ndata: a").is_none());
    /// let block = splitter.push(b"b\n\nid: 8\n").unwrap();
    /// assert_eq!((&block.bytes[..], block.last_id), (&b"id: 7\ndata: ab\n\n"[..], Some(7)));
    /// assert!(!splitter.is_empty());
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Option<EventBlock> {
        // The end of an event may be split between two calls.
        let start = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let end = start + last_event_end(&self.pending[start..])?;
        let bytes = self.pending.split_to(end).freeze();
        let last_id = last_id(&bytes);
        Some(EventBlock { bytes, last_id })
    }

    /// Returns the size of the incomplete event in bytes.
    pub fn pending_len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether no incomplete event is buffered.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns whether the incomplete event exceeds the maximum size.
    pub fn is_overlong(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }
}

/// Returns the offset after the last empty line, which ends an event.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let ends = |end: &usize| {
        let head = &bytes[..*end];
        head.ends_with(b"\n\n") || head.ends_with(b"\n\r\n")
    };
    (1..=bytes.len()).rev().find(ends)
}

/// Returns the id of the last event that has one.
fn last_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|byte| *byte == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    id.trim().parse().ok()
}
