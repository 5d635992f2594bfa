//! Selects the work that runs next in a runner group and refuses work that would
//! be late.
//!
//! Classes share the group by weight, so none starves. Within a class, customers
//! share it by their weights. Short and long work of a customer are queued
//! separately, so a long prefill at the head never blocks a runner that has room
//! for short work.
//!
//! Invariant: every item leaves the queue exactly once, through
//! [`WorkQueue::take`], [`WorkQueue::expire`] or [`WorkQueue::remove`].

use crate::{
    capacity::{QueueCapacity, QueueRoom},
    class_queue::ClassQueue,
};
use berylmount_model::WorkClass;
use strum::IntoEnumIterator;

/// Shortest prefill time of long work, in milliseconds.
pub const LONG_PREFILL_MS: f64 = 600.0;
/// Largest number of items in a queue.
pub const MAX_ITEMS: usize = 4096;
/// Fraction of a group's runners that long prefills may use.
pub const LONG_FRACTION: f64 = 0.75;
/// Typical prefill time of short work, in milliseconds.
const TYPICAL_PREFILL_MS: f64 = 100.0;
/// Shortest retry delay when the queue is full, in milliseconds.
const FULL_RETRY_MS: u64 = 1_000;
/// Number of work classes; arrays by class are indexed by `class as usize`.
pub const CLASSES: usize = 4;

/// Returns the relative share of `class` while all classes have queued work.
fn class_weight(class: WorkClass) -> f64 {
    match class {
        WorkClass::Critical => 64.0,
        WorkClass::Interactive => 16.0,
        WorkClass::Standard => 4.0,
        WorkClass::Bulk => 1.0,
    }
}

/// Identifies one item of a queue; the caller chooses it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WorkTicket(pub u64);

/// Work that waits for a runner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkItem {
    /// Identifies the item.
    pub ticket: WorkTicket,
    /// Identifies the customer, for example by a hash; only fairness depends on it.
    pub customer: u64,
    /// The customer's weight.
    pub weight: u32,
    /// The class of work.
    pub class: WorkClass,
    /// Expected prefill time on a healthy runner, in milliseconds.
    pub prefill_ms: f64,
    /// Deadline of the first token, in monotonic milliseconds.
    pub due_ms: u64,
}

impl WorkItem {
    /// Returns whether it takes a long prefill.
    ///
    /// ```
    /// use berylmount_model::WorkClass;
    /// use berylmount_policy::{WorkItem, WorkTicket};
    ///
    /// let item = WorkItem {
    ///     ticket: WorkTicket(1),
    ///     customer: 7,
    ///     weight: 1,
    ///     class: WorkClass::Interactive,
    ///     prefill_ms: 100.0,
    ///     due_ms: 800,
    /// };
    /// assert!(!item.is_long());
    /// ```
    pub fn is_long(&self) -> bool {
        self.prefill_ms >= LONG_PREFILL_MS
    }
}

/// A refusal of work that could not be served in time or for which the queue is full.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the first token is expected in {expected_ms} ms; retry in {retry_after_ms} ms")]
pub struct QueueRefusal {
    /// The estimated time to the first token, in milliseconds.
    pub expected_ms: u64,
    /// The delay after which the caller should retry, in milliseconds.
    pub retry_after_ms: u64,
}

/// The queued work of one runner group.
///
/// ```
/// use berylmount_model::WorkClass;
/// use berylmount_policy::{QueueCapacity, QueueRoom, WorkItem, WorkQueue, WorkTicket};
///
/// let mut queue = WorkQueue::default();
/// let capacity = QueueCapacity::idle(1.0);
/// let item = WorkItem {
///     ticket: WorkTicket(1),
///     customer: 7,
///     weight: 1,
///     class: WorkClass::Interactive,
///     prefill_ms: 100.0,
///     due_ms: 800,
/// };
/// queue.offer(item, &capacity, 0).unwrap();
/// let slow = WorkItem { ticket: WorkTicket(2), due_ms: 150, ..item };
/// assert_eq!(queue.offer(slow, &capacity, 0).unwrap_err().expected_ms, 200);
/// let room = QueueRoom::same(true, false);
/// assert_eq!(queue.take(room).map(|item| item.ticket), Some(WorkTicket(1)));
/// ```
#[derive(Clone, Debug)]
pub struct WorkQueue {
    classes: [ClassQueue; CLASSES],
    /// Virtual time of the classes.
    clock: f64,
    /// Time from which a queued item may have expired; 0 if not set.
    next_expiry_ms: u64,
    /// The capacity when work was last offered.
    capacity: QueueCapacity,
}

impl Default for WorkQueue {
    fn default() -> Self {
        Self {
            classes: Default::default(),
            clock: 0.0,
            next_expiry_ms: 0,
            capacity: QueueCapacity::idle(1.0),
        }
    }
}

impl WorkQueue {
    /// Returns the number of queued items.
    ///
    /// ```
    /// use berylmount_model::WorkClass;
    /// use berylmount_policy::{WorkItem, WorkQueue, WorkTicket};
    ///
    /// let item = WorkItem {
    ///     ticket: WorkTicket(1),
    ///     customer: 7,
    ///     weight: 1,
    ///     class: WorkClass::Interactive,
    ///     prefill_ms: 100.0,
    ///     due_ms: 800,
    /// };
    /// let mut queue = WorkQueue::default();
    /// queue.restore(item);
    /// assert_eq!(queue.len(), 1);
    /// ```
    pub fn len(&self) -> usize {
        self.classes.iter().map(|class| class.items).sum()
    }

    /// Returns whether no item is queued.
    ///
    /// ```
    /// assert!(berylmount_policy::WorkQueue::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the prefill time of all queued items, in milliseconds.
    ///
    /// ```
    /// use berylmount_model::WorkClass;
    /// use berylmount_policy::{WorkItem, WorkQueue, WorkTicket};
    ///
    /// let item = WorkItem {
    ///     ticket: WorkTicket(1),
    ///     customer: 7,
    ///     weight: 1,
    ///     class: WorkClass::Interactive,
    ///     prefill_ms: 100.0,
    ///     due_ms: 800,
    /// };
    /// let mut queue = WorkQueue::default();
    /// queue.restore(item);
    /// assert_eq!(queue.backlog_ms(), 100.0);
    /// ```
    pub fn backlog_ms(&self) -> f64 {
        self.classes.iter().map(|class| class.backlog_ms).sum()
    }

    /// Returns the estimated time to the first token of `item`, in milliseconds.
    ///
    /// ```
    /// use berylmount_model::WorkClass;
    /// use berylmount_policy::{QueueCapacity, WorkItem, WorkQueue, WorkTicket};
    ///
    /// let item = WorkItem {
    ///     ticket: WorkTicket(1),
    ///     customer: 7,
    ///     weight: 1,
    ///     class: WorkClass::Interactive,
    ///     prefill_ms: 100.0,
    ///     due_ms: 800,
    /// };
    /// let mut queue = WorkQueue::default();
    /// queue.restore(item);
    /// assert_eq!(queue.estimate_ms(&item, &QueueCapacity::idle(2.0)), 150.0);
    /// ```
    pub fn estimate_ms(&self, item: &WorkItem, capacity: &QueueCapacity) -> f64 {
        let weight = f64::from(item.weight.max(1));
        let own = &self.classes[item.class as usize];
        let ahead = own.ahead_ms(item.customer, weight, item.prefill_ms);
        let scale = (ahead + item.prefill_ms) / class_weight(item.class);
        let others = WorkClass::iter().filter(|&class| class != item.class);
        let share = |class: WorkClass| {
            let backlog = self.classes[class as usize].backlog_ms;
            backlog.min(scale * class_weight(class))
        };
        let shared: f64 = others.map(share).sum();
        let fraction = if item.is_long() { LONG_FRACTION } else { 1.0 };
        capacity.wait_ms(item.class, ahead + shared, fraction) + item.prefill_ms * capacity.slowness
    }

    /// Returns the expected wait of new short work by class, in milliseconds.
    ///
    /// ```
    /// use berylmount_model::WorkClass;
    /// use berylmount_policy::{QueueCapacity, WorkItem, WorkQueue, WorkTicket};
    ///
    /// let item = WorkItem {
    ///     ticket: WorkTicket(1),
    ///     customer: 7,
    ///     weight: 1,
    ///     class: WorkClass::Interactive,
    ///     prefill_ms: 100.0,
    ///     due_ms: 800,
    /// };
    /// let mut queue = WorkQueue::default();
    /// queue.restore(item);
    /// let waits = queue.waits_ms(&QueueCapacity::idle(1.0));
    /// assert_eq!(waits[WorkClass::Interactive as usize], 100.0);
    /// ```
    pub fn waits_ms(&self, capacity: &QueueCapacity) -> [f64; CLASSES] {
        let mut waits = [0.0; CLASSES];
        for class in WorkClass::iter() {
            let item = WorkItem {
                ticket: WorkTicket(0),
                customer: u64::MAX,
                weight: 1,
                class,
                prefill_ms: TYPICAL_PREFILL_MS,
                due_ms: 0,
            };
            waits[class as usize] =
                self.estimate_ms(&item, capacity) - TYPICAL_PREFILL_MS * capacity.slowness;
        }
        waits
    }

    /// Queues `item`, or refuses it if it could not be served in time or the queue
    /// is full.
    ///
    /// # Errors
    ///
    /// Returns the expected time and a retry delay. A refused item is not queued.
    ///
    /// ```
    /// use berylmount_model::WorkClass;
    /// use berylmount_policy::{QueueCapacity, WorkItem, WorkQueue, WorkTicket};
    ///
    /// let item = WorkItem {
    ///     ticket: WorkTicket(1),
    ///     customer: 7,
    ///     weight: 1,
    ///     class: WorkClass::Interactive,
    ///     prefill_ms: 100.0,
    ///     due_ms: 800,
    /// };
    /// let mut queue = WorkQueue::default();
    /// assert!(queue.offer(item, &QueueCapacity::idle(1.0), 750).is_err());
    /// assert!(queue.offer(item, &QueueCapacity::idle(1.0), 0).is_ok());
    /// ```
    pub fn offer(
        &mut self,
        item: WorkItem,
        capacity: &QueueCapacity,
        now_ms: u64,
    ) -> Result<(), QueueRefusal> {
        self.capacity = *capacity;
        let expected = self.estimate_ms(&item, capacity).min(1e12) as u64;
        let left = item.due_ms.saturating_sub(now_ms);
        if self.len() >= MAX_ITEMS {
            return Err(QueueRefusal {
                expected_ms: expected,
                retry_after_ms: expected.saturating_sub(left).max(FULL_RETRY_MS),
            });
        }
        if expected > left {
            return Err(QueueRefusal {
                expected_ms: expected,
                retry_after_ms: (expected - left).max(1),
            });
        }
        self.restore(item);
        Ok(())
    }

    /// Queues `item` without an estimate, for example after it failed to start.
    ///
    /// ```
    /// use berylmount_model::WorkClass;
    /// use berylmount_policy::{WorkItem, WorkQueue, WorkTicket};
    ///
    /// let item = WorkItem {
    ///     ticket: WorkTicket(1),
    ///     customer: 7,
    ///     weight: 1,
    ///     class: WorkClass::Interactive,
    ///     prefill_ms: 100.0,
    ///     due_ms: 800,
    /// };
    /// let mut queue = WorkQueue::default();
    /// queue.restore(item);
    /// assert_eq!(queue.len(), 1);
    /// ```
    pub fn restore(&mut self, item: WorkItem) {
        let class = &mut self.classes[item.class as usize];
        if class.items == 0 {
            class.pass = class.pass.max(self.clock);
        }
        class.push(item);
        let latest = self.capacity.latest_start_ms(&item);
        let is_unset = self.next_expiry_ms == 0;
        self.next_expiry_ms = if is_unset {
            latest
        } else {
            self.next_expiry_ms.min(latest)
        };
    }

    /// Takes the next item for which there is `room`.
    ///
    /// Call [`WorkQueue::expire`] first so that no expired item is served.
    ///
    /// ```
    /// use berylmount_model::WorkClass;
    /// use berylmount_policy::{QueueRoom, WorkItem, WorkQueue, WorkTicket};
    ///
    /// let item = WorkItem {
    ///     ticket: WorkTicket(1),
    ///     customer: 7,
    ///     weight: 1,
    ///     class: WorkClass::Interactive,
    ///     prefill_ms: 100.0,
    ///     due_ms: 800,
    /// };
    /// let mut queue = WorkQueue::default();
    /// queue.restore(item);
    /// assert_eq!(queue.take(QueueRoom::same(false, true)), None);
    /// assert_eq!(queue.take(QueueRoom::same(true, true)), Some(item));
    /// ```
    pub fn take(&mut self, room: QueueRoom) -> Option<WorkItem> {
        let mut order: [usize; CLASSES] = std::array::from_fn(|class| class);
        order.sort_by(|&a, &b| self.classes[a].pass.total_cmp(&self.classes[b].pass));
        for class_index in order {
            let Some(item) = self.classes[class_index].take(room.of_class(class_index)) else {
                continue;
            };
            let class = &mut self.classes[class_index];
            self.clock = self.clock.max(class.pass);
            class.pass += item.prefill_ms.max(1.0) / class_weight(item.class);
            return Some(item);
        }
        None
    }

    /// Moves every item whose first token can no longer be in time to `out`.
    ///
    /// ```
    /// use berylmount_model::WorkClass;
    /// use berylmount_policy::{WorkItem, WorkQueue, WorkTicket};
    ///
    /// let item = WorkItem {
    ///     ticket: WorkTicket(1),
    ///     customer: 7,
    ///     weight: 1,
    ///     class: WorkClass::Interactive,
    ///     prefill_ms: 100.0,
    ///     due_ms: 800,
    /// };
    /// let mut queue = WorkQueue::default();
    /// queue.restore(item);
    /// let mut out = Vec::new();
    /// queue.expire(800, &mut out);
    /// assert_eq!(out, [item]);
    /// ```
    pub fn expire(&mut self, now_ms: u64, out: &mut Vec<WorkItem>) {
        if self.is_empty() || now_ms < self.next_expiry_ms {
            return;
        }
        let capacity = self.capacity;
        for class in &mut self.classes {
            class.extract(|item| capacity.latest_start_ms(item) <= now_ms, out);
        }
        let latest = self.items().map(|item| capacity.latest_start_ms(item));
        self.next_expiry_ms = latest.min().unwrap_or(0);
    }

    /// Removes the item of `ticket`, for example after its caller cancelled it.
    ///
    /// ```
    /// use berylmount_model::WorkClass;
    /// use berylmount_policy::{WorkItem, WorkQueue, WorkTicket};
    ///
    /// let item = WorkItem {
    ///     ticket: WorkTicket(1),
    ///     customer: 7,
    ///     weight: 1,
    ///     class: WorkClass::Interactive,
    ///     prefill_ms: 100.0,
    ///     due_ms: 800,
    /// };
    /// let mut queue = WorkQueue::default();
    /// queue.restore(item);
    /// assert_eq!(queue.remove(WorkTicket(1)), Some(item));
    /// assert_eq!(queue.remove(WorkTicket(1)), None);
    /// ```
    pub fn remove(&mut self, ticket: WorkTicket) -> Option<WorkItem> {
        let mut out = Vec::new();
        for class in &mut self.classes {
            class.extract(|item| item.ticket == ticket, &mut out);
        }
        out.pop()
    }

    fn items(&self) -> impl Iterator<Item = &WorkItem> {
        let customers = self.classes.iter().flat_map(|class| &class.customers);
        customers.flat_map(|queue| queue.short.iter().chain(&queue.long))
    }
}
