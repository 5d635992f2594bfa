//! What this process holds for each caller's connection, and connections that are closed when
//! memory or descriptors are short.
//!
//! [`CallerMemory`] decides. A connection has an account here from its acceptance to its end, and
//! learns through it that it was chosen to be closed.

use crate::{accept::note_option, clock::boot_ms};
use berylmount_fleet::MachineLimits;
use berylmount_h1::H1Stream;
use berylmount_policy::caller_memory::{CallerMemory, CallerPhase, EvictionCause, PATIENCE_MS};
use berylmount_telemetry::{CounterMetric, MetricSet};
use std::{
    cell::{Cell, RefCell},
    future::Future,
    pin::pin,
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::{sync::Notify, time::sleep};

/// Callers' connections may use the machine's memory divided by this for requests, and for
/// responses that are not read.
const MEMORY_DIVISOR: u64 = 4;
/// Size of a connection's receive buffer in the kernel in bytes, unless a long body is received.
/// The kernel begins with it. A smaller one would drop what is on its way.
const RECEIVE_BYTES: usize = 64 * 1024;
/// Size of the receive buffer for a further long body on a connection, in bytes: what a path of
/// 7 ms there and back needs for some 300 Mbit/s.
const BODY_RECEIVE_BYTES: usize = 256 * 1024;
/// Length in bytes from which on the kernel may have enlarged the receive buffer for a body.
const LONG_BODY_BYTES: u64 = 64 * 1024;
/// Size of a connection's send buffer in the kernel in bytes.
pub(crate) const SEND_BYTES: usize = 64 * 1024;
/// Bytes that the kernel may hold for a connection whose caller sends requests ahead or does not
/// read. It allows twice the size of the send buffer.
const KERNEL_BYTES: u64 = (RECEIVE_BYTES + 2 * SEND_BYTES) as u64;
/// Connections of each listener other than that for requests may use the descriptors of the machine
/// divided by this.
const DESCRIPTOR_DIVISOR: u64 = 8;
/// Minimum number of connections of each such listener that are allowed.
const MIN_CONNECTIONS: u64 = 64;

/// Time for which a caller may keep this process waiting when memory is short.
const PATIENCE: Duration = Duration::from_millis(PATIENCE_MS);

/// The accounts of all callers' connections.
#[derive(Debug)]
pub(crate) struct CallerAccounts {
    memory: RefCell<CallerMemory>,
    /// Wakes the task of each open connection if it is to be closed, sorted by id.
    evictions: RefCell<Vec<(u64, Rc<Notify>)>>,
    last_id: Cell<u64>,
    metrics: Arc<MetricSet>,
}

impl CallerAccounts {
    /// Creates the accounts without any connection.
    pub(crate) fn new(metrics: Arc<MetricSet>) -> Self {
        Self {
            memory: RefCell::default(),
            evictions: RefCell::default(),
            last_id: Cell::new(0),
            metrics,
        }
    }

    /// Opens the account of a connection on a machine with `machine_bytes` of memory, and limits
    /// its send buffer.
    pub(crate) fn open(self: &Rc<Self>, stream: &H1Stream, machine_bytes: u64) -> CallerAccount {
        note_option(stream.limit_send_buffer(SEND_BYTES), "send buffer");
        self.open_account(machine_bytes)
    }

    /// Opens the account of a connection of another listener, if a part of the machine's
    /// descriptors has room for it or another connection can be spared.
    pub(crate) fn admit(
        self: &Rc<Self>,
        machine: &MachineLimits,
        log_target: &'static str,
    ) -> Option<CallerAccount> {
        let max_open = (machine.descriptors / DESCRIPTOR_DIVISOR).max(MIN_CONNECTIONS);
        // A connection that is chosen ends as soon as its task runs.
        if self.open_count() >= max_open && !self.evict(EvictionCause::Descriptor) {
            log::warn!(target: log_target, open = max_open; "connection closed: too many open connections");
            return None;
        }
        Some(self.open_account(machine.memory_bytes))
    }

    fn open_account(self: &Rc<Self>, machine_bytes: u64) -> CallerAccount {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let eviction = Rc::new(Notify::new());
        self.evictions.borrow_mut().push((id, eviction.clone()));
        let mut memory = self.memory.borrow_mut();
        memory.set_size(machine_bytes / MEMORY_DIVISOR);
        memory.open(id, boot_ms());
        CallerAccount {
            accounts: self.clone(),
            id,
            eviction,
            request_bytes: Cell::new(0),
            is_ahead: Cell::new(false),
            is_cut_off: Cell::new(false),
            has_limited_buffer: Cell::new(false),
        }
    }

    /// Returns the number of connections that are open and were not chosen to be closed.
    pub(crate) fn open_count(&self) -> u64 {
        self.memory.borrow().count() as u64
    }

    /// Returns the bytes that all connections hold.
    pub(crate) fn held(&self) -> u64 {
        self.memory.borrow().held()
    }

    /// Closes connections whose callers keep this process waiting, while memory is short.
    pub(crate) fn relieve(&self) {
        while self.memory.borrow().is_short() && self.evict(EvictionCause::Memory) {}
    }

    /// Closes the connection that can be spared most. Returns whether there was one.
    pub(crate) fn evict(&self, cause: EvictionCause) -> bool {
        let evicted = self.memory.borrow_mut().evict(boot_ms(), cause);
        let Some((id, phase)) = evicted else {
            return false;
        };
        let (cause, phase): (&'static str, &'static str) = (cause.into(), phase.into());
        self.metrics
            .add(CounterMetric::EvictedCallersTotal, phase, 1);
        log::warn!(target: "callers", connection = id, cause, phase; "closing a connection whose caller keeps it waiting");
        let evictions = self.evictions.borrow();
        if let Ok(index) = evictions.binary_search_by_key(&id, |(known, _)| *known) {
            evictions[index].1.notify_one();
        }
        true
    }

    fn close(&self, id: u64) {
        self.memory.borrow_mut().close(id);
        let mut evictions = self.evictions.borrow_mut();
        if let Ok(index) = evictions.binary_search_by_key(&id, |(known, _)| *known) {
            evictions.remove(index);
        }
    }
}

/// The account of one connection, until it is dropped.
#[derive(Debug)]
pub(crate) struct CallerAccount {
    accounts: Rc<CallerAccounts>,
    id: u64,
    eviction: Rc<Notify>,
    /// Bytes held for the request in progress.
    request_bytes: Cell<u64>,
    /// Whether the caller has sent more than the request that is being served.
    is_ahead: Cell<bool>,
    /// Whether the connection is closed with what its caller has not read.
    is_cut_off: Cell<bool>,
    /// Whether the kernel no longer chooses the size of the receive buffer.
    has_limited_buffer: Cell<bool>,
}

impl CallerAccount {
    /// Notes what the connection waits for. A caller that has sent requests ahead stays so until
    /// all of them were served.
    pub(crate) fn enter(&self, phase: CallerPhase) {
        if self.is_ahead.get() {
            return;
        }
        let mut memory = self.accounts.memory.borrow_mut();
        memory.enter(self.id, phase, boot_ms());
    }

    /// Sets the bytes of a head that is not complete. Returns `false` if there is not enough
    /// memory for them.
    pub(crate) fn hold_head(&self, bytes: usize) -> bool {
        let held = self.request_bytes.get();
        (bytes as u64) <= held || self.grow(bytes as u64 - held)
    }

    /// Adds bytes to the request in progress. Returns `false` if there is not enough memory for
    /// them.
    pub(crate) fn grow(&self, bytes: u64) -> bool {
        self.accounts.relieve();
        let has_grown = self.accounts.memory.borrow_mut().grow(self.id, bytes);
        if has_grown {
            self.request_bytes.set(self.request_bytes.get() + bytes);
        }
        has_grown
    }

    /// Adds bytes of a body. A receive buffer that was limited grows as the body becomes long, if
    /// there is memory for that.
    pub(crate) fn grow_body(&self, stream: &H1Stream, bytes: usize) -> bool {
        let before = self.request_bytes.get();
        if !self.grow(bytes as u64) {
            return false;
        }
        let is_long = before <= LONG_BODY_BYTES && before + bytes as u64 > LONG_BODY_BYTES;
        if is_long && self.has_limited_buffer.get() && self.grow(BODY_RECEIVE_BYTES as u64) {
            note_option(
                stream.limit_receive_buffer(BODY_RECEIVE_BYTES),
                "receive buffer",
            );
        }
        true
    }

    /// Notes that the request was received completely, with a body of `bytes`. Further requests on
    /// the connection do not fill a buffer that has grown with a long body.
    pub(crate) fn end_request(&self, stream: &H1Stream, bytes: usize) {
        if self.request_bytes.get() > LONG_BODY_BYTES {
            note_option(stream.limit_receive_buffer(RECEIVE_BYTES), "receive buffer");
            self.has_limited_buffer.set(true);
        }
        self.request_bytes.set(bytes as u64);
        self.set_held(bytes as u64);
        self.enter(CallerPhase::Serving);
    }

    /// Notes that the connection waits for its next request and holds nothing else.
    pub(crate) fn end_response(&self, stream: &H1Stream) {
        self.request_bytes.set(0);
        if stream.is_buffer_empty() {
            self.is_ahead.set(false);
        }
        self.set_held(0);
        self.enter(CallerPhase::Idle);
    }

    /// Whether the caller has sent more than the request that is being served.
    pub(crate) fn is_ahead(&self) -> bool {
        self.is_ahead.get()
    }

    /// Notes that the caller does not take `bytes` of a response at once, and waits for `written`
    /// or until the connection is to be closed; `None` in that case.
    pub(crate) async fn deliver<T>(
        &self,
        bytes: usize,
        written: impl Future<Output = T>,
    ) -> Option<T> {
        self.enter(CallerPhase::Delivering);
        let held = self.request_bytes.get() + bytes as u64;
        match self.is_ahead.get() {
            true => self.set_held(held),
            // The caller may have sent further requests all the same.
            false => self.set_held(held + KERNEL_BYTES),
        }
        self.accounts.relieve();
        let mut written = pin!(written);
        let written = loop {
            tokio::select! {
                biased;
                written = written.as_mut() => break Some(written),
                () = self.evicted() => break None,
                () = sleep(PATIENCE) => self.accounts.relieve(),
            }
        };
        self.set_held(self.request_bytes.get());
        self.enter(CallerPhase::Serving);
        written
    }

    /// Notes that the caller has sent requests ahead, and completes when the connection is to be
    /// closed.
    pub(crate) async fn wait_ahead(&self) {
        if !self.is_ahead.get() {
            self.enter(CallerPhase::Ahead);
            self.is_ahead.set(true);
            self.set_held(self.request_bytes.get());
        }
        loop {
            self.accounts.relieve();
            tokio::select! {
                biased;
                () = self.evicted() => return,
                () = sleep(PATIENCE) => {}
            }
        }
    }

    /// Notes that the connection is closed at once, with what its caller has not read.
    pub(crate) fn cut_off(&self, stream: &H1Stream) {
        note_option(stream.reset_on_drop(), "linger");
        self.is_cut_off.set(true);
    }

    /// Whether the connection is closed at once.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.is_cut_off.get()
    }

    /// Completes when the connection is to be closed.
    pub(crate) async fn evicted(&self) {
        self.eviction.notified().await;
    }

    /// Sets the bytes that are held, besides those in the kernel for a caller that is ahead.
    fn set_held(&self, bytes: u64) {
        let in_kernel = if self.is_ahead.get() { KERNEL_BYTES } else { 0 };
        let mut memory = self.accounts.memory.borrow_mut();
        memory.set_held(self.id, bytes + in_kernel);
    }
}

impl Drop for CallerAccount {
    fn drop(&mut self) {
        self.accounts.close(self.id);
    }
}
