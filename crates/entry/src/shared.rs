//! What the threads of an entry process share.

use crate::{
    members::{MemberEntry, MemberList, SeenInstances},
    order_keys::KeyMint,
    refusals::RefusalLog,
    routes::RouteTable,
};
use berylmount_model::{
    CallRefusal, CustomerName, CustomerRow, InstanceRecord, LimitRow, MonotonicClock,
    RefusalReason, WorkName,
};
use berylmount_objects::ObjectStore;
use berylmount_peers::MemberView;
use berylmount_policy::{
    assignment::{self, MemberWeight},
    CustomerLimiter, LimitShare, RetryBudget,
};
use berylmount_settings::ProcessSettings;
use berylmount_table::TableReplica;
use berylmount_telemetry::{CounterMetric, MetricSet, WorkTracker};
use berylmount_wire::PeerClient;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::{
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock},
    time::Duration,
};

/// Entries that a caller is told of.
const LOCATED_ENTRIES: usize = 3;

/// Wait for another entry to accept a connection.
const REACH_TIMEOUT: Duration = Duration::from_millis(200);

/// When to come back to another entry, in milliseconds.
const REDIRECT_RETRY_MS: u64 = 20;

/// When to come back to an entry that can't confirm its table, in milliseconds.
const UNCONFIRMED_RETRY_MS: u64 = 1_000;

/// What decides on retries between dispatch processes.
#[derive(Debug)]
pub(crate) struct RetryState {
    /// The process's budget.
    pub(crate) budget: RetryBudget,
    /// Draws request numbers.
    pub(crate) rng: Pcg64Mcg,
}

/// What the threads of an entry process share.
pub struct EntryShared {
    /// The checked settings.
    pub settings: ProcessSettings,
    /// Gives out order keys.
    pub key_mint: KeyMint,
    /// The process's clock.
    pub clock: MonotonicClock,
    /// Metrics.
    pub metrics: Arc<MetricSet>,
    /// The platform's object API.
    pub store: Arc<dyn ObjectStore>,
    /// The operators' table.
    pub table: Arc<TableReplica>,
    /// Calls other processes.
    pub client: PeerClient,
    /// Where callers reach this entry.
    pub caller_address: SocketAddr,
    /// What was last seen of processes and targets.
    seen: Mutex<SeenInstances>,
    /// Processes and groups.
    list: RwLock<Arc<MemberList>>,
    /// Chooses groups.
    routes: Mutex<RouteTable>,
    /// Customers' limits.
    limits: Mutex<CustomerLimiter>,
    /// Decides on retries.
    retries: Mutex<RetryState>,
    /// Recent refusals.
    pub(crate) refusals: RefusalLog,
    /// Counts requests, and lets the process drain.
    pub tracker: Arc<WorkTracker>,
}

/// What an entry process is made of.
pub struct EntryParts {
    /// The checked settings.
    pub settings: ProcessSettings,
    /// Metrics.
    pub metrics: Arc<MetricSet>,
    /// The platform's object API.
    pub store: Arc<dyn ObjectStore>,
    /// The operators' table.
    pub table: Arc<TableReplica>,
    /// Calls other processes.
    pub client: PeerClient,
    /// The process's clock; the table's replica runs on it too.
    pub clock: MonotonicClock,
    /// Seeds what is random.
    pub seed: u64,
}

impl EntryShared {
    /// The state of a process that has just started.
    pub(crate) fn new(parts: EntryParts, listening: SocketAddr) -> Self {
        let EntryParts {
            settings,
            metrics,
            store,
            table,
            client,
            clock,
            seed,
        } = parts;
        let caller_address = settings.entry.callers_advertised.unwrap_or(listening);
        Self {
            key_mint: KeyMint::new(seed),
            routes: Mutex::new(RouteTable::new(&settings.data_centre, seed)),
            limits: Mutex::new(CustomerLimiter::new(clock.now_ms())),
            retries: Mutex::new(RetryState {
                budget: RetryBudget::default(),
                rng: Pcg64Mcg::new(u128::from(seed) << 1 | 1),
            }),
            settings,
            clock,
            metrics,
            store,
            table,
            client,
            caller_address,
            seen: Mutex::default(),
            list: RwLock::default(),
            refusals: RefusalLog::default(),
            tracker: Arc::default(),
        }
    }

    /// The process's time, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Processes and groups as this entry sees them now.
    pub fn list(&self) -> Arc<MemberList> {
        let list = self.list.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&list)
    }

    /// Takes in the platform's list of instances.
    pub fn apply_records(&self, records: &[InstanceRecord]) {
        let mut seen = self.seen();
        seen.records = records.to_vec();
        self.set_list(seen.combine());
    }

    /// Takes in what the members say of each other.
    pub fn apply_view(&self, view: &MemberView) {
        let mut seen = self.seen();
        seen.view = view.clone();
        self.set_list(seen.combine());
    }

    /// Locks what was last seen of processes and targets.
    fn seen(&self) -> MutexGuard<'_, SeenInstances> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in a newer list of processes and groups.
    fn set_list(&self, list: MemberList) {
        if *self.list() == list {
            return;
        }
        let entries_changed = self.list().entries != list.entries;
        self.routes().apply(&list);
        *self.list.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(list);
        if entries_changed {
            let view = self.table.view();
            let share_of = |name: &CustomerName| self.own_share(view.customer(name)?);
            self.limits().members_changed(self.now_ms(), share_of);
        }
    }

    /// Locks what chooses groups.
    pub(crate) fn routes(&self) -> MutexGuard<'_, RouteTable> {
        self.routes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the customers' limits.
    fn limits(&self) -> MutexGuard<'_, CustomerLimiter> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what decides on retries.
    pub(crate) fn retries(&self) -> MutexGuard<'_, RetryState> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Draws the lower half of a request identifier.
    pub(crate) fn draw_count(&self) -> u64 {
        self.retries().rng.random()
    }

    /// Refuses to judge by a table that may be out of date.
    ///
    /// # Errors
    ///
    /// Returns the refusal, with another entry to ask.
    pub(crate) fn check_table(&self) -> Result<(), CallRefusal> {
        if self.table.may_serve(self.now_ms()) {
            return Ok(());
        }
        let list = self.list();
        let others = list.entries.iter().filter_map(|e| e.caller_address);
        let mut refusal = CallRefusal::not_run(
            RefusalReason::TableUnconfirmed,
            "this entry can't confirm that its table is current",
            UNCONFIRMED_RETRY_MS,
        );
        refusal.address = others.into_iter().find(|a| *a != self.caller_address);
        Err(refusal)
    }

    /// Entries for `customer` in order, the customer's own first.
    ///
    /// A stopping entry leaves itself out.
    pub(crate) fn entries_for(&self, customer: &str) -> Vec<MemberEntry> {
        let list = self.list();
        let names: Vec<_> = list
            .entries
            .iter()
            .map(|entry| MemberWeight::equal(entry.name.as_str()))
            .collect();
        let ranked = assignment::rank_members(customer.as_bytes(), &names, names.len());
        let ordered = ranked.into_iter().map(|place| list.entries[place].clone());
        let skipped = self.tracker.is_draining().then_some(self.caller_address);
        ordered
            .filter(|entry| entry.caller_address.is_some() && entry.caller_address != skipped)
            .collect()
    }

    /// The number of entries to tell a caller of, for a customer served by `own`.
    pub(crate) fn located_count(&self, own: usize) -> usize {
        own.max(LOCATED_ENTRIES)
    }

    /// The customer's own entries, in order.
    fn own_entries(&self, row: &CustomerRow) -> Vec<MemberEntry> {
        let mut entries = self.entries_for(row.name.as_str());
        let own = assignment::entry_count(row, entries.len()).max(1);
        entries.truncate(own);
        entries
    }

    /// This entry's share of the limits of a customer whose own entry it is.
    fn own_share(&self, row: &CustomerRow) -> Option<LimitShare> {
        let entries = self.own_entries(row);
        let is_self = |entry: &MemberEntry| entry.caller_address == Some(self.caller_address);
        let place = entries.iter().position(is_self)?;
        Some(LimitShare {
            rank: place as u32,
            entries: entries.len() as u32,
        })
    }

    /// This entry's share of the customer's limits.
    ///
    /// # Errors
    ///
    /// Redirects to one of the customer's own entries if this is none of them
    /// and one can be reached.
    fn limit_share(&self, row: &CustomerRow) -> Result<LimitShare, CallRefusal> {
        if let Some(share) = self.own_share(row) {
            return Ok(share);
        }
        let entries = self.own_entries(row);
        if self.tracker.is_draining() || entries.is_empty() {
            // Callers may use a located address until its time to live is over.
            return Ok(cautious_share(entries.len()));
        }
        let reachable = entries
            .iter()
            .filter_map(|entry| entry.caller_address)
            .find(|address| TcpStream::connect_timeout(address, REACH_TIMEOUT).is_ok());
        match reachable {
            None => Ok(cautious_share(entries.len())),
            Some(address) => {
                let mut refusal = CallRefusal::not_run(
                    RefusalReason::Redirected,
                    "another entry serves this customer",
                    REDIRECT_RETRY_MS,
                );
                refusal.address = Some(address);
                Err(refusal)
            }
        }
    }

    /// Counts a request against the customer's limits until the guard is dropped.
    ///
    /// # Errors
    ///
    /// Returns the refusal with when to come back.
    pub(crate) fn admit(
        self: &Arc<Self>,
        row: &CustomerRow,
        work: &WorkName,
        limit: Option<&LimitRow>,
    ) -> Result<LimitGuard, CallRefusal> {
        let share = self.limit_share(row)?;
        let now_ms = self.now_ms();
        let admitted = self.limits().admit(row, work, limit, share, now_ms);
        admitted.map_err(|refusal| {
            CallRefusal::not_run(
                RefusalReason::OverLimit,
                &refusal.to_string(),
                refusal.retry_after_ms(),
            )
        })?;
        Ok(LimitGuard {
            shared: Arc::clone(self),
            row: row.clone(),
        })
    }

    /// Counts a refusal.
    pub(crate) fn note_refusal(&self, refusal: &CallRefusal) {
        self.refusals.note(refusal, self.now_ms());
        let reason: &str = refusal.reason.into();
        let verdict: &str = refusal.verdict.into();
        self.metrics.add(CounterMetric::RefusalsTotal, reason, 1);
        self.metrics.add(CounterMetric::RequestsTotal, verdict, 1);
    }
}

/// The share of an entry that stands in for one of a customer's `own` entries.
fn cautious_share(own: usize) -> LimitShare {
    let entries = own as u32 + 1;
    LimitShare {
        rank: entries - 1,
        entries,
    }
}

/// Counts one request against a customer's limits for as long as it lives.
pub(crate) struct LimitGuard {
    shared: Arc<EntryShared>,
    row: CustomerRow,
}

impl Drop for LimitGuard {
    fn drop(&mut self) {
        self.shared.limits().finish(&self.row.name);
    }
}
