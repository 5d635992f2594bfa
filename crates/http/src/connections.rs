//! The open connections, and which of them may be closed for a new one.

use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::task::AbortHandle;

/// One open connection.
#[derive(Debug)]
struct OpenConnection {
    /// Counts connections; older ones have lower numbers.
    serial: u64,
    /// When it last became idle, as a count of changes; none while it is busy.
    idle_since: Option<u64>,
    /// Closes it, once its task runs.
    abort: Option<AbortHandle>,
}

/// Everything that one lock guards.
#[derive(Debug, Default)]
struct TableState {
    /// Sorted by serial.
    open: Vec<OpenConnection>,
    /// Counts openings and changes, to order them in time.
    changes: u64,
}

/// The open connections of a server.
#[derive(Debug)]
pub(crate) struct ConnectionTable {
    state: Mutex<TableState>,
    most: usize,
}

impl ConnectionTable {
    /// A table for `most` connections.
    pub(crate) fn new(most: usize) -> Self {
        Self {
            state: Mutex::default(),
            most: most.max(1),
        }
    }

    /// Locks the state; a panic elsewhere leaves it whole.
    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes room for a new connection and returns its number.
    ///
    /// Returns nothing if every connection is busy.
    pub(crate) fn open(&self) -> Option<u64> {
        let mut state = self.lock();
        if state.open.len() >= self.most {
            state.close_idlest()?;
        }
        state.changes += 1;
        let serial = state.changes;
        state.open.push(OpenConnection {
            serial,
            idle_since: Some(serial),
            abort: None,
        });
        Some(serial)
    }

    /// Notes what closes the connection `serial`.
    pub(crate) fn set_abort(&self, serial: u64, abort: AbortHandle) {
        if let Some(connection) = self.lock().find(serial) {
            connection.abort = Some(abort);
        }
    }

    /// Notes whether the connection `serial` has a call.
    pub(crate) fn set_busy(&self, serial: u64, busy: bool) {
        let mut state = self.lock();
        state.changes += 1;
        let now = state.changes;
        if let Some(connection) = state.find(serial) {
            connection.idle_since = (!busy).then_some(now);
        }
    }

    /// Forgets the connection `serial`, which has ended.
    pub(crate) fn forget(&self, serial: u64) {
        self.lock().open.retain(|open| open.serial != serial);
    }
}

impl TableState {
    /// The connection `serial`, if it is open.
    fn find(&mut self, serial: u64) -> Option<&mut OpenConnection> {
        let slot = self.open.binary_search_by_key(&serial, |open| open.serial);
        slot.ok().map(|slot| &mut self.open[slot])
    }

    /// Closes the connection that has been idle for longest.
    fn close_idlest(&mut self) -> Option<()> {
        let idle = self.open.iter().enumerate().filter_map(|(slot, open)| {
            open.abort.as_ref()?;
            Some((open.idle_since?, slot))
        });
        let (_, slot) = idle.min()?;
        let closed = self.open.remove(slot);
        closed.abort?.abort();
        Some(())
    }
}
