//! Orders to save parts to stores of kept cache, and when none is left for a part.
//!
//! Until a store reports a part, each instance that needs it may order a save of it. Such an order
//! waits at a runner with its request. If the store restarts meanwhile, the runner writes the part
//! into the next epoch, and the store cannot refuse that. A request that fetches the part on what
//! was known of the ended epoch would read it while it is written.
//!
//! An instance that knows a part orders no save of it. So once every instance knows the part and
//! its earlier orders have begun, no save is left that could write it again: the part is
//! *settled*, and may be fetched. Instances tell each other in a [`SaveReport`] which events of
//! each store they have applied, and which parts have orders that have not begun.
//!
//! In a large fleet only a few *collectors* get the reports of all instances. They settle parts, and
//! tell the others which ones.
//!
//! Invariants:
//!
//! - A settled part stays settled for as long as its store holds it. Therefore a report may be
//!   lost, delayed or overtaken.
//! - An order ends when its request has its first event, or provably never runs. If neither is
//!   known, it lasts until the deadline of the request, at which the runner stops.
//! - An order may have begun in a later epoch than the one that is known. So it is reported until
//!   the store has made a response after its end.
//! - The orders that an instance has told of count until the deadlines of their requests, also if it
//!   is not heard from any more or its process was replaced.
//! - An instance that is not heard from settles nothing. Orders that it may have given without
//!   telling of them count as begun after [`MAX_START_MS`].

use crate::prefix_cache::{PartKey, UnsettledPart, TRUSTED_MS};
use serde::{Deserialize, Serialize};

/// Maximum number of parts in one report.
pub const MAX_REPORTED_PARTS: usize = 256;
/// Number of reports with a change, because datagrams are lost.
const CHANGE_REPEATS: u32 = 3;
/// Number of reports after which one has all stores again, for instances that have just started.
const FULL_REPORT_INTERVAL: u64 = 10;
/// Assumed longest time until a request with an order starts at its runner, in milliseconds. Nothing
/// enforces it, but runners that report longer queues get no orders.
pub const MAX_START_MS: u64 = 4000;
/// Time after which orders that no instance tells of count as begun, in milliseconds:
/// [`MAX_START_MS`], and a tolerance for clocks and network latency.
pub const UNTOLD_ORDER_MS: u64 = MAX_START_MS + 1000;
/// Tolerance for when a store made a response, in milliseconds.
const RESPONSE_TOLERANCE_MS: u64 = 50;

/// Identifies an order of this instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderId(u64);

/// A part to save, and the key of the store to save it to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SavedPart {
    /// Key of the part.
    pub key: PartKey,
    /// Key of the store.
    pub store: u64,
}

/// An order to save parts that may not have begun, or may have begun in an epoch that is not known.
#[derive(Clone, Debug)]
struct SaveOrder {
    id: OrderId,
    parts: Vec<SavedPart>,
    /// When the runner stops its work on the request at the latest.
    latest_ms: u64,
    /// When it has ended at the latest, once its request has begun or its outcome is not known.
    ended_ms: Option<u64>,
}

/// The orders of this instance that may not have begun.
///
/// ```
/// use berylmount_policy::{prefix_cache::PartKey, save_orders::{SaveOrders, SavedPart}};
///
/// let mut orders = SaveOrders::default();
/// let order = orders.begin(vec![SavedPart { key: PartKey(7), store: 1 }], 9000);
/// assert_eq!(orders.longest_ms(500), 8500);
/// orders.end(order, 1000);
/// // The last response of the store may have been made before the restart of the store.
/// assert_eq!(orders.pending(|_store| 900), [PartKey(7)]);
/// assert_eq!(orders.pending(|_store| 1100), []);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SaveOrders {
    next_id: u64,
    orders: Vec<SaveOrder>,
}

impl SaveOrders {
    /// Records an order before it is sent, with a request that ends at `latest_ms`.
    pub fn begin(&mut self, parts: Vec<SavedPart>, latest_ms: u64) -> OrderId {
        let id = OrderId(self.next_id);
        self.next_id += 1;
        self.orders.push(SaveOrder {
            id,
            parts,
            latest_ms,
            ended_ms: None,
        });
        id
    }

    /// Records that an order was never carried out, and never will be.
    pub fn withdraw(&mut self, id: OrderId) {
        self.orders.retain(|order| order.id != id);
    }

    fn open_order(&mut self, id: OrderId) -> Option<&mut SaveOrder> {
        let mut orders = self.orders.iter_mut();
        orders.find(|order| order.id == id && order.ended_ms.is_none())
    }

    /// Records that an order has begun. Returns whether it had not ended before.
    pub fn end(&mut self, id: OrderId, now_ms: u64) -> bool {
        let order = self.open_order(id);
        order.map(|order| order.ended_ms = Some(now_ms)).is_some()
    }

    /// Records that the outcome of an order will not be known, unless it has ended.
    pub fn abandon(&mut self, id: OrderId) {
        if let Some(order) = self.open_order(id) {
            order.ended_ms = Some(order.latest_ms);
        }
    }

    /// Returns the longest time until an order has ended, in milliseconds.
    pub fn longest_ms(&self, now_ms: u64) -> u64 {
        let latest = self.orders.iter().map(|order| order.latest_ms).max();
        latest.unwrap_or(0).saturating_sub(now_ms)
    }

    /// Returns the number of parts in all orders.
    pub fn part_count(&self) -> usize {
        self.orders.iter().map(|order| order.parts.len()).sum()
    }

    /// Returns the parts of the orders that may not have begun, sorted, and forgets the others.
    ///
    /// `responded_ms` is when a store made its last response.
    pub fn pending(&mut self, responded_ms: impl Fn(u64) -> u64) -> Vec<PartKey> {
        for order in &mut self.orders {
            let Some(ended_ms) = order.ended_ms else {
                continue;
            };
            let confirmed_ms = ended_ms + RESPONSE_TOLERANCE_MS;
            let is_open = |part: &SavedPart| responded_ms(part.store) < confirmed_ms;
            order.parts.retain(is_open);
        }
        self.orders.retain(|order| !order.parts.is_empty());
        let parts = self.orders.iter().flat_map(|order| &order.parts);
        let mut keys: Vec<PartKey> = parts.map(|part| part.key).collect();
        keys.sort_unstable();
        keys.dedup();
        keys
    }
}

/// What an instance knows of one store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreProgress {
    /// Key of the store.
    pub store: u64,
    /// Epoch of its contents.
    pub epoch: u64,
    /// Number of the last event that the instance has applied, together with all before it; 0 if
    /// none.
    pub known: u64,
    /// Number of the last event up to which all parts are settled but for those in
    /// [`SaveReport::unsettled`].
    pub settled: u64,
    /// Whether orders of an earlier process of the instance may not have begun.
    pub has_forgotten: bool,
}

/// What an instance tells the others about its orders. The default settles nothing.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SaveReport {
    /// Key of the instance.
    pub instance: u64,
    /// Distinguishes the processes of the instance.
    pub process: u64,
    /// Rises with each report of the process.
    pub number: u64,
    /// The stores whose progress is told, sorted by key. For others, earlier reports hold.
    pub stores: Vec<StoreProgress>,
    /// All parts with orders that may not have begun, sorted; `None` if they are too many.
    pub pending: Option<Vec<PartKey>>,
    /// Time until all these orders have ended at the latest, in milliseconds.
    pub longest_ms: u64,
    /// Parts of the told stores that are not settled though their events are counted as such,
    /// sorted.
    pub unsettled: Vec<PartKey>,
}

impl SaveReport {
    /// Returns the number of the last event of a store that the instance knows in an epoch; 0 if
    /// it knows none, or has too many orders to tell.
    fn known(&self, store: u64, epoch: u64) -> u64 {
        let progress = self.progress(store, epoch);
        let progress = progress.filter(|_| self.pending.is_some());
        progress.map_or(0, |progress| progress.known)
    }

    fn progress(&self, store: u64, epoch: u64) -> Option<&StoreProgress> {
        let found = self.stores.binary_search_by_key(&store, |p| p.store);
        let progress = &self.stores[found.ok()?];
        (progress.epoch == epoch).then_some(progress)
    }
}

/// Chooses what the reports of this instance contain.
///
/// ```
/// use berylmount_policy::save_orders::{ReportWriter, SaveReport, StoreProgress};
///
/// let report = |known| SaveReport {
///     stores: vec![StoreProgress {
///         store: 1, epoch: 1, known, settled: 0, has_forgotten: false,
///     }],
///     pending: Some(Vec::new()),
///     ..SaveReport::default()
/// };
/// let mut writer = ReportWriter::default();
/// let told = [5, 5, 6, 6, 6, 6].map(|known| writer.next(&report(known)));
/// let told = told.map(|report| report.map(|report| report.stores.len()));
/// assert_eq!(told, [Some(1), Some(1), Some(1), Some(1), Some(1), None]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReportWriter {
    number: u64,
    /// The progress of each store as last told, sorted by key, and how often a change is still to
    /// be told.
    stores: Vec<(StoreProgress, u32)>,
    /// The same of pending parts.
    pending: (Option<Vec<PartKey>>, u32),
    /// How often it is still to be told that there are no exceptions any more.
    exceptions_left: u32,
}

impl ReportWriter {
    /// Returns the next report, given one with all that is known now; `None` if the others know it
    /// all.
    pub fn next(&mut self, report: &SaveReport) -> Option<SaveReport> {
        // The exceptions hold together with the progress of all stores.
        self.exceptions_left = match report.unsettled.is_empty() {
            true => self.exceptions_left.saturating_sub(1),
            false => CHANGE_REPEATS + 1,
        };
        let has_exceptions = self.exceptions_left > 0;
        let is_full = has_exceptions || self.number.is_multiple_of(FULL_REPORT_INTERVAL);
        self.number += 1;
        let repeats_left = |is_same: bool, left: u32| match is_same {
            true => left.saturating_sub(1),
            false => CHANGE_REPEATS,
        };
        let known = std::mem::take(&mut self.stores);
        let stores = report.stores.iter().map(|progress| {
            let found = known.binary_search_by_key(&progress.store, |(known, _)| known.store);
            let last = found.ok().map(|index| known[index]);
            let left = last.map_or(CHANGE_REPEATS, |(last, left)| {
                repeats_left(last == *progress, left)
            });
            (*progress, left)
        });
        self.stores = stores.collect();
        let is_same = self.pending.0 == report.pending;
        self.pending.1 = repeats_left(is_same, self.pending.1);
        if !is_same {
            self.pending.0.clone_from(&report.pending);
        }
        let told = self.stores.iter().filter(|(_, left)| is_full || *left > 0);
        let next = SaveReport {
            number: self.number,
            stores: told.map(|(progress, _)| *progress).collect(),
            ..report.clone()
        };
        let is_due = is_full || !next.stores.is_empty() || self.pending.1 > 0;
        is_due.then_some(next)
    }
}

/// The reports of another instance.
#[derive(Clone, Debug)]
struct InstanceSaves {
    instance: u64,
    heard_ms: u64,
    report: Option<SaveReport>,
    /// When the orders of the report have ended at the latest.
    told_until_ms: u64,
    /// What its earlier processes knew.
    earlier: Option<SaveReport>,
    /// Parts that they had ordered to be saved, and when the orders have ended at the latest.
    left_over: Vec<(PartKey, u64)>,
}

impl InstanceSaves {
    fn new(instance: u64, heard_ms: u64) -> Self {
        Self {
            instance,
            heard_ms,
            report: None,
            told_until_ms: 0,
            earlier: None,
            left_over: Vec::new(),
        }
    }

    /// Returns what all processes of the instance knew that may still have orders.
    fn all_processes(&self) -> SaveReport {
        let mut all = self.report.clone().unwrap_or_default();
        if all.stores.iter().all(|progress| !progress.has_forgotten) {
            return all;
        }
        let earlier = self.earlier.clone().unwrap_or_default();
        let forgetful = all.stores.iter_mut().filter(|p| p.has_forgotten);
        for progress in forgetful {
            let known = earlier.known(progress.store, progress.epoch);
            progress.known = progress.known.min(known);
        }
        all
    }

    /// Returns the parts with orders that may not have begun, and until when.
    fn pending(&self, is_counted: bool, now_ms: u64) -> impl Iterator<Item = (PartKey, u64)> + '_ {
        let until_ms = match is_counted {
            true => u64::MAX,
            false => self.told_until_ms,
        };
        let told = self
            .report
            .iter()
            .flat_map(|report| &report.pending)
            .flatten();
        let told = told.map(move |key| (*key, until_ms));
        let parts = told.chain(self.left_over.iter().copied());
        // The response that shows the end of an order may be somewhat older.
        parts.filter(move |(_, until_ms)| until_ms.saturating_add(TRUSTED_MS) > now_ms)
    }

    /// Begins the reports of another process.
    fn replace_process(&mut self, now_ms: u64) {
        self.left_over = self.pending(false, now_ms).collect();
        self.earlier = Some(self.all_processes());
        self.report = None;
    }

    /// Applies a report of the same process as the last one.
    fn update(&mut self, mut report: SaveReport, now_ms: u64) {
        let known = self.report.take();
        if let Some(known) = known.as_ref().filter(|known| known.number >= report.number) {
            self.report = Some(known.clone());
            return;
        }
        self.told_until_ms = now_ms + report.longest_ms + RESPONSE_TOLERANCE_MS;
        for mut progress in known.into_iter().flat_map(|known| known.stores) {
            // What was settled holds together with the exceptions of its report.
            progress.settled = 0;
            let found = report
                .stores
                .binary_search_by_key(&progress.store, |p| p.store);
            if let Err(index) = found {
                report.stores.insert(index, progress);
            }
        }
        self.report = Some(report);
    }
}

/// The reports of all other instances.
#[derive(Clone, Debug, Default)]
pub struct FleetSaves {
    /// Sorted by key.
    instances: Vec<InstanceSaves>,
}

impl FleetSaves {
    fn entry(&mut self, instance: u64, now_ms: u64) -> &mut InstanceSaves {
        let found = self
            .instances
            .binary_search_by_key(&instance, |known| known.instance);
        let index = found.unwrap_or_else(|index| {
            let entry = InstanceSaves::new(instance, now_ms);
            self.instances.insert(index, entry);
            index
        });
        &mut self.instances[index]
    }

    /// Records that an instance was heard from.
    pub fn note_heard(&mut self, instance: u64, now_ms: u64) {
        self.entry(instance, now_ms).heard_ms = now_ms;
    }

    /// Records the instances that are listed, sorted, and forgets others that have been silent for
    /// `silence_ms`. A listed instance that was never heard from may still order saves.
    pub fn note_listed(&mut self, listed: &[u64], silence_ms: u64, now_ms: u64) {
        for instance in listed {
            self.entry(*instance, now_ms);
        }
        self.instances.retain(|known| {
            let is_listed = listed.binary_search(&known.instance).is_ok();
            let is_heard = now_ms.saturating_sub(known.heard_ms) < silence_ms;
            is_listed || is_heard || known.pending(false, now_ms).next().is_some()
        });
    }

    /// Whether an instance that was heard within `silence_ms` has an order to save a part.
    ///
    /// ```
    /// use berylmount_policy::{prefix_cache::PartKey, save_orders::*};
    ///
    /// let pending = Some(vec![PartKey(7)]);
    /// let report = SaveReport { instance: 2, pending, ..SaveReport::default() };
    /// let mut fleet = FleetSaves::default();
    /// fleet.note_report(report, 1000);
    /// assert!(fleet.has_order(PartKey(7), 500, 1400));
    /// assert!(!fleet.has_order(PartKey(8), 500, 1400));
    /// assert!(!fleet.has_order(PartKey(7), 500, 1500));
    /// ```
    pub fn has_order(&self, key: PartKey, silence_ms: u64, now_ms: u64) -> bool {
        let mut heard = self
            .instances
            .iter()
            .filter(|known| now_ms.saturating_sub(known.heard_ms) < silence_ms);
        heard.any(|known| {
            let pending = known.report.iter().flat_map(|report| &report.pending);
            pending
                .into_iter()
                .any(|keys| keys.binary_search(&key).is_ok())
        })
    }

    /// Records the report of an instance.
    pub fn note_report(&mut self, report: SaveReport, now_ms: u64) {
        let entry = self.entry(report.instance, now_ms);
        entry.heard_ms = now_ms;
        let known = entry.report.as_ref();
        if known.is_some_and(|known| known.process != report.process) {
            entry.replace_process(now_ms);
        }
        entry.update(report, now_ms);
    }

    /// Returns which parts are settled, by the reports of the other instances and by `own`.
    ///
    /// Instances that have been silent for `silence_ms` have no orders left that they have not told
    /// of.
    ///
    /// ```
    /// use berylmount_policy::{prefix_cache::{PartKey, UnsettledPart}, save_orders::*};
    ///
    /// let report = |instance, number, pending: &[PartKey]| SaveReport {
    ///     instance,
    ///     number,
    ///     stores: vec![StoreProgress {
    ///         store: 1, epoch: 5, known: 9, settled: 3, has_forgotten: false,
    ///     }],
    ///     pending: Some(pending.to_vec()),
    ///     ..SaveReport::default()
    /// };
    /// let part = UnsettledPart { key: PartKey(7), number: 8, first_number: 8, known_ms: 1000 };
    /// let mut fleet = FleetSaves::default();
    /// fleet.note_report(report(2, 1, &[PartKey(7)]), 1000);
    /// let settled = fleet.settled(&report(1, 1, &[]), 8000, 1100);
    /// assert!(!settled.covers(1, 5, 1100, &part));
    /// // The order of the other instance has begun.
    /// fleet.note_report(report(2, 2, &[]), 1200);
    /// let settled = fleet.settled(&report(1, 1, &[]), 8000, 1200);
    /// assert!(settled.covers(1, 5, 1100, &part) && !settled.covers(1, 6, 1100, &part));
    /// ```
    pub fn settled(&self, own: &SaveReport, silence_ms: u64, now_ms: u64) -> SettledParts {
        let is_counted =
            |known: &&InstanceSaves| now_ms.saturating_sub(known.heard_ms) < silence_ms;
        let counted: Vec<&InstanceSaves> = self.instances.iter().filter(is_counted).collect();
        let mut reports: Vec<SaveReport> = counted.iter().map(|k| k.all_processes()).collect();
        let mut own_report = own.clone();
        let forgetful = own_report.stores.iter_mut().filter(|p| p.has_forgotten);
        forgetful.for_each(|progress| progress.known = 0);
        reports.push(own_report);
        let stores = own.stores.iter().map(|progress| {
            let StoreProgress { store, epoch, .. } = *progress;
            let known = reports.iter().map(|report| report.known(store, epoch));
            let told = counted.iter().filter_map(|known| known.report.as_ref());
            let told = told.filter_map(|report| {
                let settled = report.progress(store, epoch)?.settled;
                (settled > 0).then(|| (settled, report.unsettled.clone()))
            });
            SettledStore {
                store,
                epoch,
                known: known.min().unwrap_or(0),
                told: told.collect(),
            }
        });
        let own_pending = own.pending.iter().flatten().map(|key| (*key, u64::MAX));
        let others = self.instances.iter();
        let pending = others.flat_map(|known| known.pending(is_counted(&known), now_ms));
        let mut settled = SettledParts {
            stores: stores.collect(),
            pending: pending.chain(own_pending).collect(),
            // Instances give orders of a part for as long as they trust what they knew before.
            expiry_ms: TRUSTED_MS + UNTOLD_ORDER_MS,
        };
        settled.pending.sort_unstable();
        settled
    }
}

/// What all instances together know of one store.
#[derive(Clone, Debug)]
struct SettledStore {
    store: u64,
    epoch: u64,
    /// Number of the last event that all of them know.
    known: u64,
    /// Up to which event each of them has told that all parts are settled, and the exceptions.
    told: Vec<(u64, Vec<PartKey>)>,
}

/// Which parts no save is left of.
#[derive(Clone, Debug)]
pub struct SettledParts {
    stores: Vec<SettledStore>,
    /// Parts with orders that may not have begun, and until when, sorted.
    pending: Vec<(PartKey, u64)>,
    /// Time from when a part is known until all orders of it have ended, in milliseconds.
    expiry_ms: u64,
}

impl SettledParts {
    /// Whether a part of a store in an epoch is settled. `responded_ms` is when the store made its
    /// last response in that epoch.
    pub fn covers(&self, store: u64, epoch: u64, responded_ms: u64, part: &UnsettledPart) -> bool {
        let mut stores = self.stores.iter();
        let found = stores.find(|known| (known.store, known.epoch) == (store, epoch));
        let is_told = |(settled, unsettled): &(u64, Vec<PartKey>)| {
            part.number <= *settled && unsettled.binary_search(&part.key).is_err()
        };
        if found.is_some_and(|found| found.told.iter().any(is_told)) {
            return true;
        }
        let start = self.pending.partition_point(|(key, _)| *key < part.key);
        let is_pending = self.pending[start..]
            .iter()
            .take_while(|(key, _)| *key == part.key)
            .any(|(_, until_ms)| *until_ms > responded_ms);
        let is_expired = part.known_ms + self.expiry_ms <= responded_ms;
        let is_known = found.is_some_and(|found| part.number <= found.known);
        !is_pending && (is_known || is_expired)
    }
}
