//! The last order that was sent to each runner for each model, by this process or by an
//! earlier holder of the lease that handed it over.
//!
//! A holder that stops lists its orders in the lease, so that its successor can go on at
//! once at all other runners and doesn't repeat an order that is in progress.

use serde::{Deserialize, Serialize};

/// An order that was sent to a runner, as stored in the lease.
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
}

/// The last order that was sent to a runner for a model; version 0 if none is in progress.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SentOrder {
    /// Version that the runner was ordered to load.
    pub version: u64,
    /// When it was sent, by the clock of this process.
    pub at_ms: u64,
}

/// The last order to each runner for each model.
///
/// ```
/// use berylmount_policy::sent_orders::{SentOrder, SentOrders};
///
/// let mut orders = SentOrders::default();
/// orders.set("r1", "m", SentOrder { version: 2, at_ms: 1000 });
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
    orders: Vec<(String, String, SentOrder)>,
}

impl SentOrders {
    fn find(&self, runner: &str, model: &str) -> Result<usize, usize> {
        self.orders
            .binary_search_by(|(id, name, _)| (id.as_str(), name.as_str()).cmp(&(runner, model)))
    }

    /// Returns the last order to a runner for a model.
    pub fn get(&self, runner: &str, model: &str) -> SentOrder {
        let found = self.find(runner, model);
        found.map_or_else(|_| SentOrder::default(), |index| self.orders[index].2)
    }

    /// Replaces the last order to a runner for a model.
    pub fn set(&mut self, runner: &str, model: &str, order: SentOrder) {
        match self.find(runner, model) {
            Ok(index) => self.orders[index].2 = order,
            Err(index) => {
                let (runner, model) = (runner.to_owned(), model.to_owned());
                self.orders.insert(index, (runner, model, order));
            }
        }
    }

    /// Notes that the last order to a runner for a model is not in progress. The runner may
    /// have received it all the same.
    pub fn withdraw(&mut self, runner: &str, model: &str) {
        if let Ok(index) = self.find(runner, model) {
            self.orders[index].2.version = 0;
        }
    }

    /// Returns the last order to a runner for each model.
    pub fn of_runner<'a>(&'a self, runner: &'a str) -> impl Iterator<Item = (&'a str, SentOrder)> {
        let start = self
            .orders
            .partition_point(|(id, _, _)| id.as_str() < runner);
        let of_runner = self.orders[start..].iter();
        let of_runner = of_runner.take_while(move |(id, _, _)| id == runner);
        of_runner.map(|(_, model, order)| (model.as_str(), *order))
    }

    /// Returns the orders that were sent at most `max_age_ms` ago.
    pub fn records(&self, now_ms: u64, max_age_ms: u64) -> Vec<OrderRecord> {
        let records = self
            .orders
            .iter()
            .map(|(runner, model, order)| OrderRecord {
                runner: runner.clone(),
                model: model.clone(),
                version: order.version,
                age_ms: now_ms.saturating_sub(order.at_ms),
            });
        records
            .filter(|record| record.age_ms <= max_age_ms)
            .collect()
    }

    /// Adds the orders of an earlier holder, which were read at `now_ms`.
    pub fn inherit(&mut self, records: &[OrderRecord], now_ms: u64) {
        for record in records {
            let order = SentOrder {
                version: record.version,
                at_ms: now_ms.saturating_sub(record.age_ms),
            };
            if order.at_ms >= self.get(&record.runner, &record.model).at_ms {
                self.set(&record.runner, &record.model, order);
            }
        }
    }
}
