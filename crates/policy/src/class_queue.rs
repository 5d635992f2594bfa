//! The waiting work of one class, shared fairly between its customers.

use crate::queue::WorkItem;
use std::collections::VecDeque;

/// Room for one class.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LaneRoom {
    pub(crate) short: bool,
    pub(crate) long: bool,
}

/// The waiting work of one customer in one class.
#[derive(Clone, Debug)]
pub(crate) struct CustomerQueue {
    pub(crate) customer: u64,
    pub(crate) weight: f64,
    pub(crate) pass: f64,
    pub(crate) backlog_ms: f64,
    pub(crate) short: VecDeque<WorkItem>,
    pub(crate) long: VecDeque<WorkItem>,
}

impl CustomerQueue {
    pub(crate) fn is_empty(&self) -> bool {
        self.short.is_empty() && self.long.is_empty()
    }

    pub(crate) fn serves(&self, room: LaneRoom) -> bool {
        (room.short && !self.short.is_empty()) || (room.long && !self.long.is_empty())
    }

    /// The next item that fits, short work first unless the long one is older.
    pub(crate) fn take(&mut self, room: LaneRoom) -> Option<WorkItem> {
        let item = self.pop(room)?;
        self.backlog_ms -= item.prefill_ms;
        Some(item)
    }

    pub(crate) fn pop(&mut self, room: LaneRoom) -> Option<WorkItem> {
        let short = self.short.front().filter(|_| room.short);
        let long = self.long.front().filter(|_| room.long);
        match (short, long) {
            (Some(s), Some(l)) if l.due_ms < s.due_ms => self.long.pop_front(),
            (Some(_), _) => self.short.pop_front(),
            (None, Some(_)) => self.long.pop_front(),
            (None, None) => None,
        }
    }
}

/// All waiting work of one class.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassQueue {
    /// Sorted by customer.
    pub(crate) lines: Vec<CustomerQueue>,
    /// Virtual time within the class.
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
            .lines
            .binary_search_by_key(&item.customer, |l| l.customer);
        let place = match found {
            Ok(place) => place,
            Err(place) => {
                let line = CustomerQueue {
                    customer: item.customer,
                    weight,
                    pass: self.clock,
                    backlog_ms: 0.0,
                    short: VecDeque::new(),
                    long: VecDeque::new(),
                };
                self.lines.insert(place, line);
                place
            }
        };
        let line = &mut self.lines[place];
        line.weight = weight;
        if line.is_empty() {
            line.pass = line.pass.max(self.clock);
        }
        let lane = if item.is_long() {
            &mut line.long
        } else {
            &mut line.short
        };
        lane.push_back(item);
        line.backlog_ms += item.prefill_ms;
        self.items += 1;
        self.backlog_ms += item.prefill_ms;
    }

    pub(crate) fn take(&mut self, room: LaneRoom) -> Option<WorkItem> {
        let ready = self.lines.iter_mut().filter(|line| line.serves(room));
        let line = ready.min_by(|a, b| a.pass.total_cmp(&b.pass))?;
        let item = line.take(room)?;
        self.clock = self.clock.max(line.pass);
        line.pass += item.prefill_ms.max(1.0) / line.weight;
        let done = line.is_empty();
        self.forget(&item);
        if done {
            self.drop_done();
        }
        Some(item)
    }

    pub(crate) fn forget(&mut self, item: &WorkItem) {
        self.items -= 1;
        self.backlog_ms = if self.items == 0 {
            0.0
        } else {
            self.backlog_ms - item.prefill_ms
        };
    }

    /// Drops lines that are empty and have no service to their debit.
    pub(crate) fn drop_done(&mut self) {
        let (clock, idle) = (self.clock, self.items == 0);
        self.lines
            .retain(|line| !line.is_empty() || (line.pass > clock && !idle));
    }

    /// Takes out every item that `gone` picks.
    pub(crate) fn sweep(&mut self, gone: impl Fn(&WorkItem) -> bool, out: &mut Vec<WorkItem>) {
        let from = out.len();
        for line in &mut self.lines {
            for lane in [&mut line.short, &mut line.long] {
                if lane.iter().any(&gone) {
                    out.extend(lane.iter().filter(|item| gone(item)));
                    lane.retain(|item| !gone(item));
                }
            }
            let left = line.short.iter().chain(&line.long);
            line.backlog_ms = left.map(|item| item.prefill_ms).sum();
        }
        for item in &out[from..] {
            self.forget(item);
        }
        if out.len() > from {
            self.drop_done();
        }
    }

    /// Prefill time of this class served before a new item of `customer`.
    pub(crate) fn ahead_ms(&self, customer: u64, weight: f64, cost_ms: f64) -> f64 {
        let found = self.lines.binary_search_by_key(&customer, |l| l.customer);
        let own = found.map_or(0.0, |place| self.lines[place].backlog_ms);
        let others = self.lines.iter().filter(|line| line.customer != customer);
        let fair = |line: &CustomerQueue| (own + cost_ms) * line.weight / weight;
        let shared: f64 = others.map(|line| line.backlog_ms.min(fair(line))).sum();
        own + shared
    }
}
