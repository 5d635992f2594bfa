//! The last order to each runner for each model, by this process or by an earlier holder of
//! the lease that listed its orders.
//!
//! The holder lists its orders in the lease, so that its successor can go on at once at all
//! other runners and doesn't repeat an order that is in progress. An order that was chosen but
//! never sent excludes nobody, so it isn't listed.

use serde::{Deserialize, Serialize};
use std::ops::Not;

/// An order that was sent to a runner, or may be sent before the lease is written again, as
/// stored in the lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderRecord {
    /// Id of the runner.
    pub runner: String,
    /// Name of the model.
    pub model: String,
    /// Version that the runner was ordered to load.
    pub version: u64,
    /// Time since the order was sent, in milliseconds.
    pub age_ms: u64,
    /// Whether the order may still be sent while this record is in force.
    #[serde(default, skip_serializing_if = "Not::not")]
    pub is_planned: bool,
}

/// The last order that was sent to a runner for a model; version 0 if none is in progress.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SentOrder {
    /// Version that the runner was ordered to load.
    pub version: u64,
    /// When it was chosen or sent, by the clock of this process.
    pub at_ms: u64,
}

/// An order with its runner and model.
#[derive(Clone, Debug)]
struct OrderEntry {
    runner: String,
    model: String,
    order: SentOrder,
    /// When an order for the model was last sent to the runner; `None` if never.
    sent_ms: Option<u64>,
}

/// The last order to each runner for each model.
///
/// ```
/// use berylmount_policy::sent_orders::{SentOrder, SentOrders};
///
/// let mut orders = SentOrders::default();
/// orders.set("r1", "m", SentOrder { version: 2, at_ms: 1000 });
/// assert!(orders.records(1000, 5000).is_empty());
/// orders.note_sent("r1", "m", 1000);
/// let records = orders.records(1500, 5000);
/// assert_eq!(records[0].age_ms, 500);
///
/// let mut successor = SentOrders::default();
/// successor.inherit(&records, 9000);
/// assert_eq!(successor.get("r1", "m"), SentOrder { version: 2, at_ms: 8500 });
/// ```
#[derive(Clone, Debug, Default)]
pub struct SentOrders {
    /// Sorted by runner and model.
    entries: Vec<OrderEntry>,
}

impl SentOrders {
    fn find(&self, runner: &str, model: &str) -> Result<usize, usize> {
        let key = (runner, model);
        self.entries
            .binary_search_by(|entry| (entry.runner.as_str(), entry.model.as_str()).cmp(&key))
    }

    fn entry(&mut self, runner: &str, model: &str) -> &mut OrderEntry {
        let index = self.find(runner, model).unwrap_or_else(|index| {
            let entry = OrderEntry {
                runner: runner.to_owned(),
                model: model.to_owned(),
                order: SentOrder::default(),
                sent_ms: None,
            };
            self.entries.insert(index, entry);
            index
        });
        &mut self.entries[index]
    }

    /// Returns the last order to a runner for a model.
    pub fn get(&self, runner: &str, model: &str) -> SentOrder {
        let found = self.find(runner, model);
        found.map_or_else(|_| SentOrder::default(), |index| self.entries[index].order)
    }

    /// Replaces the last order to a runner for a model by one that was chosen but isn't sent yet.
    pub fn set(&mut self, runner: &str, model: &str, order: SentOrder) {
        self.entry(runner, model).order = order;
    }

    /// Notes that the order is being sent.
    pub fn note_sent(&mut self, runner: &str, model: &str, now_ms: u64) {
        self.entry(runner, model).sent_ms = Some(now_ms);
    }

    /// Notes that the order of a version is not in progress, if it is the last one to a runner
    /// for a model. The runner may have received it all the same.
    pub fn withdraw(&mut self, runner: &str, model: &str, version: u64) {
        if let Ok(index) = self.find(runner, model) {
            let order = &mut self.entries[index].order;
            if order.version == version {
                order.version = 0;
            }
        }
    }

    /// Returns the last order to a runner for each model.
    pub fn of_runner<'a>(&'a self, runner: &'a str) -> impl Iterator<Item = (&'a str, SentOrder)> {
        let start = self
            .entries
            .partition_point(|entry| entry.runner.as_str() < runner);
        let of_runner = self.entries[start..].iter();
        let of_runner = of_runner.take_while(move |entry| entry.runner == runner);
        of_runner.map(|entry| (entry.model.as_str(), entry.order))
    }

    /// Returns the orders that were sent at most `max_age_ms` ago, or that an earlier holder may
    /// still send.
    pub fn records(&self, now_ms: u64, max_age_ms: u64) -> Vec<OrderRecord> {
        let records = self.entries.iter().filter_map(|entry| {
            let sent_ms = entry.sent_ms?;
            let age_ms = now_ms.saturating_sub(sent_ms);
            (age_ms <= max_age_ms).then(|| OrderRecord {
                runner: entry.runner.clone(),
                model: entry.model.clone(),
                version: entry.order.version,
                age_ms,
                is_planned: sent_ms > now_ms,
            })
        });
        records.collect()
    }

    /// Adds the orders of an earlier holder, which were read at `now_ms`.
    pub fn inherit(&mut self, records: &[OrderRecord], now_ms: u64) {
        for record in records {
            let at_ms = now_ms.saturating_sub(record.age_ms);
            let entry = self.entry(&record.runner, &record.model);
            if entry.sent_ms.is_some_and(|sent_ms| at_ms < sent_ms) {
                continue;
            }
            entry.sent_ms = Some(at_ms);
            // An order that may never have been sent replaces none that is in progress.
            if !record.is_planned {
                entry.order = SentOrder {
                    version: record.version,
                    at_ms,
                };
            }
        }
    }
}
