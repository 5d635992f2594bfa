//! How much memory each caller's connection may hold, and which one is closed when memory is
//! short.
//!
//! Answers the load of callers that send large requests and do not finish them, or do not read
//! their responses. A limit for each would either refuse large requests or let many of them
//! exhaust the machine, and a limit on the sum alone would leave the memory to whoever came
//! first. A connection may therefore hold as much as is still free (dynamic thresholds for shared
//! buffers), so that large requests never take the last of it; and while more than half is in
//! use, connections whose callers keep it waiting are closed. A caller that makes progress
//! passes through these states quickly and is not affected.
//!
//! Invariants:
//!
//! - Memory that is granted never exceeds the size of the pool together with what is held.
//! - A request that is being served is never ended, unless its caller has sent others ahead. Nor
//!   is a connection closed that has been in its phase for less than [`PATIENCE_MS`].
//! - While less than half of the memory is in use, no connection is closed for it.

use strum::IntoStaticStr;

/// Time in milliseconds for which a caller may keep the process waiting when memory is short: many
/// round trips within a region.
pub const PATIENCE_MS: u64 = 300;
/// Bytes that every connection counts for when one is chosen, so that connections that hold
/// nothing are compared by their age.
const BASE_BYTES: u64 = 4 * 1024;
/// Connections are closed only while more than the memory divided by this is in use.
const PRESSURE_DIVISOR: u64 = 2;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum CallerPhase {
    /// For the next request.
    Idle,
    /// For the rest of a request.
    Receiving,
    /// For a runner.
    Serving,
    /// For a runner, while its caller has sent further requests.
    Ahead,
    /// For the caller to read a response.
    Delivering,
}

/// What a connection is closed for.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum EvictionCause {
    /// Memory is short.
    Memory,
    /// Another connection needs its descriptor.
    Descriptor,
}

/// One connection.
#[derive(Clone, Copy, Debug)]
struct CallerAccount {
    id: u64,
    phase: CallerPhase,
    /// Start of the phase, in milliseconds.
    since_ms: u64,
    /// Bytes that are held for it.
    held: u64,
}

impl CallerAccount {
    /// Returns the product of the memory that the connection holds and the time for which its
    /// caller has kept the process waiting; `None` if it must not be closed.
    fn weight(&self, now_ms: u64) -> Option<u128> {
        let waited_ms = now_ms.saturating_sub(self.since_ms);
        let may_close = self.phase != CallerPhase::Serving && waited_ms >= PATIENCE_MS;
        may_close.then(|| u128::from(self.held + BASE_BYTES) * u128::from(waited_ms))
    }
}

/// The memory that callers' connections share.
#[derive(Clone, Debug, Default)]
pub struct CallerMemory {
    /// Size in bytes.
    size: u64,
    /// Bytes that all connections hold.
    held: u64,
    /// Open connections, sorted by id.
    accounts: Vec<CallerAccount>,
}

impl CallerMemory {
    /// Sets the size of the memory in bytes.
    pub fn set_size(&mut self, bytes: u64) {
        self.size = bytes;
    }

    /// Returns the bytes that all connections hold.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.accounts.len()
    }

    /// Adds a connection that holds nothing. Ids increase.
    pub fn open(&mut self, id: u64, now_ms: u64) {
        debug_assert!(self.accounts.last().is_none_or(|last| last.id < id));
        self.accounts.push(CallerAccount {
            id,
            phase: CallerPhase::Idle,
            since_ms: now_ms,
            held: 0,
        });
    }

    /// Removes a connection with all that it holds. Unknown ones are ignored.
    pub fn close(&mut self, id: u64) {
        if let Some(index) = self.find(id) {
            self.held -= self.accounts.remove(index).held;
        }
    }

    /// Notes that a connection has entered a phase. What it holds stays as it is.
    pub fn enter(&mut self, id: u64, phase: CallerPhase, now_ms: u64) {
        if let Some(index) = self.find(id) {
            let account = &mut self.accounts[index];
            (account.phase, account.since_ms) = (phase, now_ms);
        }
    }

    /// Sets what a connection holds, whether or not so much is free.
    pub fn set_held(&mut self, id: u64, bytes: u64) {
        if let Some(index) = self.find(id) {
            let account = &mut self.accounts[index];
            self.held = self.held - account.held + bytes;
            account.held = bytes;
        }
    }

    /// Lets a connection hold `more` bytes. Returns `false` without a change if there is not
    /// enough memory, or if the connection was closed.
    ///
    /// ```
    /// use berylmount_policy::caller_memory::CallerMemory;
    ///
    /// let mut memory = CallerMemory::default();
    /// memory.set_size(8 << 20);
    /// memory.open(1, 0);
    /// memory.open(2, 0);
    /// assert!(memory.grow(1, 4 << 20));
    /// assert!(memory.grow(2, 2 << 20));
    /// // No connection takes what is left once it holds more than that.
    /// assert!(!memory.grow(2, 1 << 20));
    /// ```
    pub fn grow(&mut self, id: u64, more: u64) -> bool {
        let free = self.size.saturating_sub(self.held);
        let Some(index) = self.find(id) else {
            return false;
        };
        let account = &mut self.accounts[index];
        if account.held + more > free {
            return false;
        }
        account.held += more;
        self.held += more;
        true
    }

    /// Whether so much memory is in use that connections are closed.
    pub fn is_short(&self) -> bool {
        self.held > self.size / PRESSURE_DIVISOR
    }

    /// Removes the connection whose caller has cost the most memory and time by keeping the
    /// process waiting. Returns its id and phase; `None` if there is none that may be closed.
    ///
    /// ```
    /// use berylmount_policy::caller_memory::{CallerMemory, CallerPhase, EvictionCause};
    ///
    /// let mut memory = CallerMemory::default();
    /// for id in 1..=3 {
    ///     memory.open(id, 0);
    ///     memory.set_held(id, (4 - id) << 10);
    /// }
    /// memory.enter(1, CallerPhase::Serving, 0);
    /// memory.enter(2, CallerPhase::Receiving, 0);
    /// assert_eq!(memory.evict(100, EvictionCause::Memory), None);
    /// let evicted = memory.evict(1000, EvictionCause::Memory);
    /// assert_eq!(evicted, Some((2, CallerPhase::Receiving)));
    /// ```
    pub fn evict(&mut self, now_ms: u64, cause: EvictionCause) -> Option<(u64, CallerPhase)> {
        let weighed = self.accounts.iter().filter_map(|account| {
            let frees = account.held > 0 || cause == EvictionCause::Descriptor;
            let weight = account.weight(now_ms).filter(|_| frees)?;
            Some((weight, account.id, account.phase))
        });
        let (_, id, phase) = weighed.max_by_key(|(weight, ..)| *weight)?;
        self.close(id);
        Some((id, phase))
    }

    fn find(&self, id: u64) -> Option<usize> {
        let found = self
            .accounts
            .binary_search_by_key(&id, |account| account.id);
        found.ok()
    }
}
