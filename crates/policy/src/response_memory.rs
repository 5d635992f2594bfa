//! How much memory each response may use while it is collected.
//!
//! All responses share a pool. A fixed limit for each would either refuse large responses
//! or let many of them exhaust the machine; a limit on the sum alone would fail small ones
//! once endless ones have filled it. A response may therefore hold a fraction of what is
//! free (dynamic thresholds for shared buffers): one alone may be large, and with many large
//! ones the threshold falls below them, so that they fail as soon as they grow, and what
//! they held is free again.
//!
//! Invariants:
//!
//! - Apart from [`FREE_BYTES`] of each, all responses together hold at most the pool.
//! - A response within [`FREE_BYTES`] never fails for lack of memory.

/// A response may hold the free memory of the pool divided by this.
const FREE_DIVISOR: u64 = 8;
/// Size in bytes up to which a response is never refused memory.
pub const FREE_BYTES: u64 = 16 * 1024;

/// Memory that all responses of a process share.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ResponsePool {
    /// Size of the pool in bytes.
    pub size: u64,
    /// Bytes that responses hold.
    pub held: u64,
}

impl ResponsePool {
    /// Whether a response that holds `own` bytes may hold `more` as well.
    ///
    /// ```
    /// use berylmount_policy::response_memory::ResponsePool;
    ///
    /// let idle = ResponsePool { size: 32 << 20, held: 0 };
    /// assert!(idle.may_grow(0, 4 << 20));
    /// assert!(!idle.may_grow(0, 5 << 20));
    /// let busy = ResponsePool { held: 30 << 20, ..idle };
    /// assert!(!busy.may_grow(3 << 20, 64));
    /// assert!(busy.may_grow(800, 800));
    /// ```
    pub fn may_grow(&self, own: u64, more: u64) -> bool {
        let free = self.size.saturating_sub(self.held);
        own + more <= FREE_BYTES.max(free / FREE_DIVISOR)
    }
}
