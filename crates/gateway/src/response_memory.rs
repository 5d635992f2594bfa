//! Memory of responses that are being collected or delivered.

use berylmount_policy::response_memory::ResponsePool;
use std::{cell::Cell, rc::Rc};

/// Responses may use the machine's memory divided by this. The buffers of responses grow by
/// doubling, so they may take up to twice as much.
const MEMORY_DIVISOR: u64 = 8;

/// The pool of a process, shared by its responses.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedPool(Rc<Cell<ResponsePool>>);

impl SharedPool {
    /// Returns the memory of a new response on a machine with `machine_bytes` of memory.
    pub(crate) fn begin(&self, machine_bytes: u64) -> ResponseMemory {
        let size = machine_bytes / MEMORY_DIVISOR;
        self.0.set(ResponsePool {
            size,
            ..self.0.get()
        });
        ResponseMemory {
            pool: self.clone(),
            bytes: 0,
        }
    }

    /// Returns the bytes that all responses hold.
    pub(crate) fn held(&self) -> u64 {
        self.0.get().held
    }
}

/// The memory that one response holds, until it is dropped.
#[derive(Debug)]
pub(crate) struct ResponseMemory {
    pool: SharedPool,
    bytes: u64,
}

impl ResponseMemory {
    /// Sets the size of the response in bytes. Returns `false` without a change if there is
    /// not enough memory for it to grow.
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        let (bytes, pool) = (bytes as u64, self.pool.0.get());
        if bytes > self.bytes && !pool.may_grow(self.bytes, bytes - self.bytes) {
            return false;
        }
        let held = pool.held.saturating_sub(self.bytes) + bytes;
        self.pool.0.set(ResponsePool { held, ..pool });
        self.bytes = bytes;
        true
    }
}

impl Drop for ResponseMemory {
    fn drop(&mut self) {
        self.resize(0);
    }
}
