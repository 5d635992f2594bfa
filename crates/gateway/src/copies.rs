//! Copies of objects that an instance sends to others.
//!
//! When the table changes in a large fleet, all instances pull it from the few that have it
//! already. A large copy is therefore encoded once, and only as many are sent at a time as
//! the link carries within the time that an instance waits. The others are turned away and
//! ask again, by then also the instances that have received a copy.

use crate::{replica::ReplicaDelta, store_watch::WatchedKind};
use berylmount_adapter::store_client::EraRevision;
use bytes::Bytes;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

/// Size from which a copy counts as large, in bytes.
const LARGE_COPY_BYTES: usize = 64 * 1024;
/// Bandwidth of the link for each large copy that is sent at a time, in Mbit/s.
const COPY_MBPS: u32 = 25;
/// Maximum number of large copies that are sent at a time.
const MAX_LARGE_COPIES: u32 = 8;

/// The position of a copy in the history of a kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct CopyVersion {
    /// Revision after which the objects of the copy changed.
    pub(crate) since: EraRevision,
    /// Revision up to which the copy is complete.
    pub(crate) revision: EraRevision,
    /// Version of the table in force.
    pub(crate) table: u64,
}

/// Encoded copies, and those that are being sent.
#[derive(Debug, Default)]
pub(crate) struct CopyServer {
    /// The last large copy of the table.
    table: RefCell<Option<(CopyVersion, Bytes)>>,
    /// Large copies that are being sent.
    sending: Rc<Cell<u32>>,
}

/// A copy that is being sent, until it is dropped. A large one counts.
#[derive(Debug)]
pub(crate) struct CopySlot(Option<Rc<Cell<u32>>>);

impl Drop for CopySlot {
    fn drop(&mut self) {
        if let Some(sending) = &self.0 {
            sending.set(sending.get().saturating_sub(1));
        }
    }
}

impl CopyServer {
    /// Returns the encoded copy of a kind, from the cache if it is there.
    pub(crate) fn encoded<E>(
        &self,
        kind: WatchedKind,
        version: CopyVersion,
        delta: impl FnOnce() -> ReplicaDelta,
        encode: impl FnOnce(ReplicaDelta) -> Result<Bytes, E>,
    ) -> Result<Bytes, E> {
        if let Some((cached, bytes)) = &*self.table.borrow() {
            if kind == WatchedKind::Table && *cached == version {
                return Ok(bytes.clone());
            }
        }
        let bytes = encode(delta())?;
        if kind == WatchedKind::Table && bytes.len() >= LARGE_COPY_BYTES {
            *self.table.borrow_mut() = Some((version, bytes.clone()));
        }
        Ok(bytes)
    }

    /// Takes a slot for sending a copy of `bytes` over a link of `link_mbps`; `None` if no
    /// slot is free. Small copies need none.
    pub(crate) fn take_slot(&self, bytes: usize, link_mbps: u32) -> Option<CopySlot> {
        if bytes < LARGE_COPY_BYTES {
            return Some(CopySlot(None));
        }
        let slots = (link_mbps / COPY_MBPS).clamp(1, MAX_LARGE_COPIES);
        if self.sending.get() >= slots {
            return None;
        }
        self.sending.set(self.sending.get() + 1);
        Some(CopySlot(Some(self.sending.clone())))
    }
}
