//! The queued work of one class, shared between its customers by weighted fair queueing.

use crate::queue::WorkItem;
use std::collections::VecDeque;

/// The room for short and for long work of one class.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LaneRoom {
    pub(crate) short: bool,
    pub(crate) long: bool,
}

/// The queued work of one customer in one class.
#[derive(Clone, Debug)]
pub(crate) struct CustomerQueue {
    pub(crate) customer: u64,
    pub(crate) weight: f64,
    /// Virtual time of the customer among the customers of the class.
    pub(crate) pass: f64,
    pub(crate) backlog_ms: f64,
    pub(crate) short: VecDeque<WorkItem>,
    pub(crate) long: VecDeque<WorkItem>,
}

impl CustomerQueue {
    pub(crate) fn is_empty(&self) -> bool {
        self.short.is_empty() && self.long.is_empty()
    }

    pub(crate) fn has_work_for(&self, room: LaneRoom) -> bool {
        (room.short && !self.short.is_empty()) || (room.long && !self.long.is_empty())
    }

    /// Takes the next item that fits.
    ///
    /// Short work comes first unless the long item is due earlier.
    pub(crate) fn take(&mut self, room: LaneRoom) -> Option<WorkItem> {
        let item = self.pop(room)?;
        self.backlog_ms -= item.prefill_ms;
        Some(item)
    }

    pub(crate) fn pop(&mut self, room: LaneRoom) -> Option<WorkItem> {
        let short = self.short.front().filter(|_| room.short);
        let long = self.long.front().filter(|_| room.long);
        match (short, long) {
            (Some(short), Some(long)) if long.due_ms < short.due_ms => self.long.pop_front(),
            (Some(_), _) => self.short.pop_front(),
            (None, Some(_)) => self.long.pop_front(),
            (None, None) => None,
        }
    }
}

/// The queued work of one class.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassQueue {
    /// Sorted by customer.
    pub(crate) customers: Vec<CustomerQueue>,
    /// Virtual time of the customers within the class.
    pub(crate) clock: f64,
    /// Virtual time of the class among the classes.
    pub(crate) pass: f64,
    pub(crate) items: usize,
    pub(crate) backlog_ms: f64,
}

impl ClassQueue {
    pub(crate) fn push(&mut self, item: WorkItem) {
        let weight = f64::from(item.weight.max(1));
        let found = self
            .customers
            .binary_search_by_key(&item.customer, |queue| queue.customer);
        let position = match found {
            Ok(position) => position,
            Err(position) => {
                let queue = CustomerQueue {
                    customer: item.customer,
                    weight,
                    pass: self.clock,
                    backlog_ms: 0.0,
                    short: VecDeque::new(),
                    long: VecDeque::new(),
                };
                self.customers.insert(position, queue);
                position
            }
        };
        let queue = &mut self.customers[position];
        queue.weight = weight;
        if queue.is_empty() {
            queue.pass = queue.pass.max(self.clock);
        }
        let lane = if item.is_long() {
            &mut queue.long
        } else {
            &mut queue.short
        };
        lane.push_back(item);
        queue.backlog_ms += item.prefill_ms;
        self.items += 1;
        self.backlog_ms += item.prefill_ms;
    }

    pub(crate) fn take(&mut self, room: LaneRoom) -> Option<WorkItem> {
        let ready = self
            .customers
            .iter_mut()
            .filter(|queue| queue.has_work_for(room));
        let queue = ready.min_by(|a, b| a.pass.total_cmp(&b.pass))?;
        let item = queue.take(room)?;
        self.clock = self.clock.max(queue.pass);
        queue.pass += item.prefill_ms.max(1.0) / queue.weight;
        let done = queue.is_empty();
        self.subtract(&item);
        if done {
            self.drop_idle();
        }
        Some(item)
    }

    pub(crate) fn subtract(&mut self, item: &WorkItem) {
        self.items -= 1;
        self.backlog_ms = if self.items == 0 {
            0.0
        } else {
            self.backlog_ms - item.prefill_ms
        };
    }

    /// Drops the queues of customers that are empty and not ahead of their fair share.
    pub(crate) fn drop_idle(&mut self) {
        let (clock, idle) = (self.clock, self.items == 0);
        self.customers
            .retain(|queue| !queue.is_empty() || (queue.pass > clock && !idle));
    }

    /// Moves every item for which `is_selected` holds to `out`.
    pub(crate) fn extract(
        &mut self,
        is_selected: impl Fn(&WorkItem) -> bool,
        out: &mut Vec<WorkItem>,
    ) {
        let from = out.len();
        for queue in &mut self.customers {
            for lane in [&mut queue.short, &mut queue.long] {
                if lane.iter().any(&is_selected) {
                    out.extend(lane.iter().filter(|item| is_selected(item)));
                    lane.retain(|item| !is_selected(item));
                }
            }
            let left = queue.short.iter().chain(&queue.long);
            queue.backlog_ms = left.map(|item| item.prefill_ms).sum();
        }
        for item in &out[from..] {
            self.subtract(item);
        }
        if out.len() > from {
            self.drop_idle();
        }
    }

    /// Returns the prefill time of this class that runs before a new item of
    /// `customer`, in milliseconds.
    pub(crate) fn ahead_ms(&self, customer: u64, weight: f64, cost_ms: f64) -> f64 {
        let found = self
            .customers
            .binary_search_by_key(&customer, |queue| queue.customer);
        let own = found.map_or(0.0, |position| self.customers[position].backlog_ms);
        let others = self
            .customers
            .iter()
            .filter(|queue| queue.customer != customer);
        let fair = |queue: &CustomerQueue| (own + cost_ms) * queue.weight / weight;
        let shared: f64 = others.map(|queue| queue.backlog_ms.min(fair(queue))).sum();
        own + shared
    }
}
