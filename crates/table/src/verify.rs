//! Rules that span rows, checked apart from the parser.
//!
//! The verifier trusts nothing that the parser promised. Its errors are data:
//! an edit is refused for the errors that it would add, and `status` shows
//! those that two racing edits of different shards left behind.

use crate::RowError;
use berylmount_model::{
    CustomerRow, LimitRow, ModelRow, PoolRole, PoolRow, RowKey, TableRow, WorkRow,
};

/// The rows by kind, each sorted by name.
#[derive(Default)]
struct RowSets<'a> {
    customers: Vec<&'a CustomerRow>,
    works: Vec<&'a WorkRow>,
    limits: Vec<&'a LimitRow>,
    models: Vec<&'a ModelRow>,
    pools: Vec<&'a PoolRow>,
}

impl<'a> RowSets<'a> {
    fn new(rows: impl IntoIterator<Item = &'a TableRow>) -> Self {
        let mut sets = Self::default();
        for row in rows {
            match row {
                TableRow::Customer(row) => sets.customers.push(row),
                TableRow::Work(row) => sets.works.push(row),
                TableRow::Limit(row) => sets.limits.push(row),
                TableRow::Model(row) => sets.models.push(row),
                TableRow::Pool(row) => sets.pools.push(row),
            }
        }
        sets.customers.sort_by(|a, b| a.name.cmp(&b.name));
        sets.works.sort_by(|a, b| a.name.cmp(&b.name));
        sets.models.sort_by(|a, b| a.name.cmp(&b.name));
        sets.pools.sort_by(|a, b| a.name.cmp(&b.name));
        sets
    }

    fn has_customer(&self, name: &str) -> bool {
        let found = self
            .customers
            .binary_search_by(|row| row.name.as_str().cmp(name));
        found.is_ok()
    }

    fn pool(&self, work: &WorkRow) -> Option<&'a PoolRow> {
        let found = self.pools.binary_search_by(|row| row.name.cmp(&work.pool));
        found.ok().map(|at| self.pools[at])
    }
}

/// Everything that is wrong between `rows`, in order.
///
/// ```
/// use berylmount_model::RowKind;
/// use berylmount_table::{parse_row, verify_rows, ColumnName, RowCells};
///
/// let mut cells = RowCells::default();
/// cells.set(ColumnName::Pool, "blaze-models");
/// let row = parse_row(RowKind::Work, "report", &cells).unwrap();
/// assert_eq!(verify_rows([&row])[0].column, "pool");
/// ```
pub fn verify_rows<'a>(rows: impl IntoIterator<Item = &'a TableRow>) -> Vec<RowError> {
    let sets = RowSets::new(rows);
    let mut errors = Vec::new();
    verify_customers(&sets, &mut errors);
    for row in &sets.works {
        verify_work(&sets, row, &mut errors);
    }
    for row in &sets.limits {
        verify_limit(&sets, row, &mut errors);
    }
    for row in &sets.pools {
        if row.parallel_loads == 0 {
            let key = TableRow::Pool((*row).clone()).key();
            errors.push(RowError::new(&key, "parallel_loads", "0", "at least 1"));
        }
    }
    errors.sort();
    errors
}

/// The errors that are in `after` and not in `before`; both are sorted.
pub fn changed_errors(before: &[RowError], after: Vec<RowError>) -> Vec<RowError> {
    let mut errors = after;
    errors.retain(|error| before.binary_search(error).is_err());
    errors
}

fn verify_customers(sets: &RowSets<'_>, errors: &mut Vec<RowError>) {
    let mut by_hash = sets.customers.clone();
    by_hash.sort_by(|a, b| (&a.key_hash, &a.name).cmp(&(&b.key_hash, &b.name)));
    for pair in by_hash.windows(2) {
        if pair[0].key_hash == pair[1].key_hash {
            let allowed = format!("a key of its own: {} has the same", pair[0].name);
            errors.push(RowError::new(
                &customer_key(pair[1]),
                "key_hash",
                "a used key",
                &allowed,
            ));
        }
    }
    for row in &sets.customers {
        let key = customer_key(row);
        verify_weight(&key, row.weight, errors);
        verify_rate(&key, row.rate_per_s, row.burst, errors);
        if row.in_flight == 0 {
            errors.push(RowError::new(&key, "in_flight", "0", "at least 1"));
        }
        if row.cache_scope != row.name.as_str() && sets.has_customer(&row.cache_scope) {
            let allowed = "the customer's own name, or a shared scope that is no customer's name";
            errors.push(RowError::new(
                &key,
                "cache_scope",
                &row.cache_scope,
                allowed,
            ));
        }
    }
}

fn verify_work(sets: &RowSets<'_>, row: &WorkRow, errors: &mut Vec<RowError>) {
    let key = TableRow::Work(row.clone()).key();
    verify_weight(&key, row.weight, errors);
    if row.first_token_ms > row.total_ms {
        let found = row.first_token_ms.to_string();
        let allowed = format!("at most total_ms, which is {}", row.total_ms);
        errors.push(RowError::new(&key, "first_token_ms", &found, &allowed));
    }
    let Some(pool) = sets.pool(row) else {
        let allowed = "the name of a pool row";
        return errors.push(RowError::new(&key, "pool", row.pool.as_str(), allowed));
    };
    let model = row.model.as_ref();
    match (pool.role, model) {
        (PoolRole::Store, _) => {
            let allowed = "a pool of engines or of a plain service";
            errors.push(RowError::new(&key, "pool", row.pool.as_str(), allowed));
        }
        (PoolRole::Engine, None) => {
            errors.push(RowError::new(&key, "model", "", "the name of a model row"));
        }
        (PoolRole::Service, Some(model)) => {
            let allowed = "nothing: the pool is a plain service";
            errors.push(RowError::new(&key, "model", model.as_str(), allowed));
        }
        (PoolRole::Engine, Some(model)) => {
            if sets
                .models
                .binary_search_by(|row| row.name.cmp(model))
                .is_err()
            {
                let allowed = "the name of a model row";
                errors.push(RowError::new(&key, "model", model.as_str(), allowed));
            }
        }
        (PoolRole::Service, None) => {}
    }
}

fn verify_limit(sets: &RowSets<'_>, row: &LimitRow, errors: &mut Vec<RowError>) {
    let key = TableRow::Limit(row.clone()).key();
    verify_rate(&key, row.rate_per_s, row.burst, errors);
    if !sets.has_customer(row.customer.as_str()) {
        let allowed = "the name of a customer row before the '/'";
        errors.push(RowError::new(&key, "name", row.customer.as_str(), allowed));
    }
    if sets
        .works
        .binary_search_by(|work| work.name.cmp(&row.work))
        .is_err()
    {
        let allowed = "the name of a work row after the '/'";
        errors.push(RowError::new(&key, "name", row.work.as_str(), allowed));
    }
}

fn customer_key(row: &CustomerRow) -> RowKey {
    TableRow::Customer(row.clone()).key()
}

fn verify_weight(key: &RowKey, weight: u32, errors: &mut Vec<RowError>) {
    if weight == 0 {
        errors.push(RowError::new(key, "weight", "0", "at least 1"));
    }
}

fn verify_rate(key: &RowKey, rate_per_s: f64, burst: u32, errors: &mut Vec<RowError>) {
    if !rate_per_s.is_finite() || rate_per_s <= 0.0 {
        let found = rate_per_s.to_string();
        errors.push(RowError::new(key, "rate_per_s", &found, "a number above 0"));
    }
    if burst == 0 {
        errors.push(RowError::new(key, "burst", "0", "at least 1"));
    }
}
