//! Cells to typed rows and back.
//!
//! An absent or empty cell takes its column's default. Every cell is checked,
//! so that an operator sees all that is wrong with a row at once.

use crate::{ColumnName, RowCells, RowError};
use berylmount_model::{
    CustomerName, CustomerRow, LimitRow, ModelRow, NameError, PoolRow, RowKey, RowKind, TableRow,
    WorkName, WorkRow,
};
use std::{fmt::Display, ops::RangeInclusive, str::FromStr};
use strum::IntoEnumIterator;

/// Shares of a contended resource.
const WEIGHTS: RangeInclusive<u32> = 1..=1_000;
/// Requests at once or in flight.
const REQUESTS: RangeInclusive<u32> = 1..=1_000_000;
/// Time limits, in milliseconds; the longest is a day.
const LIMIT_MS: RangeInclusive<u64> = 1..=86_400_000;
/// Lengths in tokens.
const TOKENS: RangeInclusive<u32> = 1..=10_000_000;
/// Runners that may load weights at once.
const LOADS: RangeInclusive<u32> = 1..=1_000;
/// Bytes a second of a link.
const LINK_BYTES_PER_S: RangeInclusive<u64> = 0..=1_000_000_000_000;
/// Requests a second.
const RATES_PER_S: RangeInclusive<f64> = 0.001..=1_000_000.0;
/// What a name may be.
const NAME_RULE: &str = "1 to 96 ASCII letters, digits, '.', '_', '-' and '/'";
/// What a hash of a key may be.
const HASH_RULE: &str = "64 hexadecimal digits: the SHA-256 of the key";

/// The row of `kind` named `name` with `cells`.
///
/// # Errors
///
/// One [`RowError`] for each wrong cell.
///
/// ```
/// use berylmount_model::RowKind;
/// use berylmount_table::{parse_row, ColumnName, RowCells};
///
/// let mut cells = RowCells::default();
/// cells.set(ColumnName::Version, "v1");
/// assert!(parse_row(RowKind::Model, "blaze", &cells).is_ok());
/// cells.set(ColumnName::Weight, "2");
/// let errors = parse_row(RowKind::Model, "blaze", &cells).unwrap_err();
/// assert_eq!(errors[0].column, "weight");
/// ```
pub fn parse_row(kind: RowKind, name: &str, cells: &RowCells) -> Result<TableRow, Vec<RowError>> {
    let mut reader = CellReader::new(kind, name, cells);
    let row = match kind {
        RowKind::Customer => reader.customer().map(TableRow::Customer),
        RowKind::Work => reader.work().map(TableRow::Work),
        RowKind::Limit => reader.limit().map(TableRow::Limit),
        RowKind::Model => reader.model().map(TableRow::Model),
        RowKind::Pool => reader.pool().map(TableRow::Pool),
    };
    reader.refuse_unread();
    match row {
        Some(row) if reader.errors.is_empty() => Ok(row),
        _ => Err(reader.errors),
    }
}

/// The cells of a row, all of its columns.
pub fn row_cells(row: &TableRow) -> RowCells {
    let mut cells = RowCells::default();
    let mut set = |column, text: &dyn Display| cells.set(column, &text.to_string());
    match row {
        TableRow::Customer(row) => {
            set(ColumnName::KeyHash, &row.key_hash);
            set(ColumnName::Weight, &row.weight);
            set(ColumnName::RatePerS, &row.rate_per_s);
            set(ColumnName::Burst, &row.burst);
            set(ColumnName::InFlight, &row.in_flight);
            set(ColumnName::Version, &optional(row.version.as_ref()));
            set(ColumnName::CacheScope, &row.cache_scope);
        }
        TableRow::Work(row) => {
            set(ColumnName::Class, &row.class);
            set(ColumnName::Pool, &row.pool);
            set(ColumnName::Model, &optional(row.model.as_ref()));
            set(ColumnName::Adapter, &row.adapter);
            set(ColumnName::Idempotent, &flag_text(row.idempotent));
            set(ColumnName::FirstTokenMs, &row.first_token_ms);
            set(ColumnName::TotalMs, &row.total_ms);
            set(ColumnName::MaxTokens, &row.max_tokens);
            set(ColumnName::MaxPromptTokens, &row.max_prompt_tokens);
            set(ColumnName::Weight, &row.weight);
        }
        TableRow::Limit(row) => {
            set(ColumnName::RatePerS, &row.rate_per_s);
            set(ColumnName::Burst, &row.burst);
        }
        TableRow::Model(row) => set(ColumnName::Version, &row.version),
        TableRow::Pool(row) => {
            set(ColumnName::Role, &row.role);
            set(ColumnName::ChecksFencing, &flag_text(row.checks_fencing));
            set(ColumnName::ParallelLoads, &row.parallel_loads);
            set(ColumnName::LinkBytesPerS, &row.link_bytes_per_s);
        }
    }
    cells
}

fn optional<T: Display>(value: Option<&T>) -> String {
    value.map(T::to_string).unwrap_or_default()
}

fn flag_text(flag: bool) -> &'static str {
    if flag {
        "yes"
    } else {
        "no"
    }
}

/// Reads cells by their rules and collects what is wrong.
struct CellReader<'a> {
    key: RowKey,
    cells: &'a RowCells,
    read: Vec<ColumnName>,
    errors: Vec<RowError>,
}

impl<'a> CellReader<'a> {
    fn new(kind: RowKind, name: &str, cells: &'a RowCells) -> Self {
        let name = name.to_owned();
        Self {
            key: RowKey { kind, name },
            cells,
            read: Vec::new(),
            errors: Vec::new(),
        }
    }

    fn customer(&mut self) -> Option<CustomerRow> {
        let name = self.customer_name(&self.key.name.clone());
        let key_hash = self.key_hash();
        let weight = self.whole(ColumnName::Weight, "1", &WEIGHTS);
        let rate_per_s = self.rate("10");
        let burst = self.whole(ColumnName::Burst, "20", &REQUESTS);
        let in_flight = self.whole(ColumnName::InFlight, "8", &REQUESTS);
        let version = self.optional_name(ColumnName::Version);
        let own_scope = self.key.name.clone();
        let cache_scope: Option<CustomerName> = self.name(ColumnName::CacheScope, &own_scope);
        Some(CustomerRow {
            name: name?,
            key_hash: key_hash?,
            weight: weight?,
            rate_per_s: rate_per_s?,
            burst: burst?,
            in_flight: in_flight?,
            version: version?,
            cache_scope: cache_scope?.to_string(),
        })
    }

    fn work(&mut self) -> Option<WorkRow> {
        let name = self.own_name();
        let class = self.choice(ColumnName::Class, "standard");
        let pool = self.name(ColumnName::Pool, "");
        let model = self.optional_name(ColumnName::Model);
        let adapter: Option<Option<WorkName>> = self.optional_name(ColumnName::Adapter);
        let idempotent = self.flag(ColumnName::Idempotent);
        let first_token_ms = self.whole(ColumnName::FirstTokenMs, "840", &LIMIT_MS);
        let total_ms = self.whole(ColumnName::TotalMs, "60000", &LIMIT_MS);
        let max_tokens = self.whole(ColumnName::MaxTokens, "1024", &TOKENS);
        let max_prompt_tokens = self.whole(ColumnName::MaxPromptTokens, "131072", &TOKENS);
        let weight = self.whole(ColumnName::Weight, "1", &WEIGHTS);
        Some(WorkRow {
            name: name?,
            class: class?,
            pool: pool?,
            model: model?,
            adapter: optional(adapter?.as_ref()),
            idempotent: idempotent?,
            first_token_ms: first_token_ms?,
            total_ms: total_ms?,
            max_tokens: max_tokens?,
            max_prompt_tokens: max_prompt_tokens?,
            weight: weight?,
        })
    }

    fn limit(&mut self) -> Option<LimitRow> {
        let name = self.key.name.clone();
        let (customer, work) = name.split_once('/').unwrap_or((&name, ""));
        let customer = self.customer_name(customer);
        let work = WorkName::new(work)
            .map_err(|_| self.refuse_name("customer/work"))
            .ok();
        let rate_per_s = self.rate("");
        let burst = self.whole(ColumnName::Burst, "", &REQUESTS);
        Some(LimitRow {
            customer: customer?,
            work: work?,
            rate_per_s: rate_per_s?,
            burst: burst?,
        })
    }

    fn model(&mut self) -> Option<ModelRow> {
        let name = self.own_name();
        let version = self.name(ColumnName::Version, "");
        Some(ModelRow {
            name: name?,
            version: version?,
        })
    }

    fn pool(&mut self) -> Option<PoolRow> {
        let name = self.own_name();
        let role = self.choice(ColumnName::Role, "");
        let checks_fencing = self.flag(ColumnName::ChecksFencing);
        let parallel_loads = self.whole(ColumnName::ParallelLoads, "1", &LOADS);
        let link_bytes_per_s = self.whole(ColumnName::LinkBytesPerS, "0", &LINK_BYTES_PER_S);
        Some(PoolRow {
            name: name?,
            role: role?,
            checks_fencing: checks_fencing?,
            parallel_loads: parallel_loads?,
            link_bytes_per_s: link_bytes_per_s?,
        })
    }

    /// Takes a cell's text, or `default` for an absent or empty one.
    fn take(&mut self, column: ColumnName, default: &str) -> String {
        self.read.push(column);
        let text = self.cells.get(column).map_or("", str::trim);
        if text.is_empty() { default } else { text }.to_owned()
    }

    fn refuse(&mut self, column: ColumnName, found: &str, allowed: &str) {
        let error = RowError::new(&self.key, column.into(), found, allowed);
        self.errors.push(error);
    }

    fn refuse_name(&mut self, allowed: &str) {
        let error = RowError::new(&self.key, "name", &self.key.name, allowed);
        self.errors.push(error);
    }

    /// Refuses cells that the row's kind does not have.
    fn refuse_unread(&mut self) {
        let cells = self.cells;
        for (column, text) in cells.iter() {
            if !self.read.contains(&column) && !text.trim().is_empty() {
                let allowed = format!("nothing: a {} row has no such column", self.key.kind);
                self.refuse(column, text, &allowed);
            }
        }
    }

    fn own_name<T: TryFrom<String, Error = NameError>>(&mut self) -> Option<T> {
        let name = T::try_from(self.key.name.clone());
        name.map_err(|_| self.refuse_name(NAME_RULE)).ok()
    }

    /// A customer's name; without `/`, as a limit is named `customer/work`.
    fn customer_name(&mut self, text: &str) -> Option<CustomerName> {
        match CustomerName::new(text) {
            Ok(name) if !text.contains('/') => Some(name),
            _ => {
                self.refuse_name(
                    "1 to 96 ASCII letters, digits, '.', '_' and '-' for the customer",
                );
                None
            }
        }
    }

    fn name<T>(&mut self, column: ColumnName, default: &str) -> Option<T>
    where
        T: TryFrom<String, Error = NameError>,
    {
        let text = self.take(column, default);
        let name = T::try_from(text.clone());
        name.map_err(|_| self.refuse(column, &text, NAME_RULE)).ok()
    }

    fn optional_name<T>(&mut self, column: ColumnName) -> Option<Option<T>>
    where
        T: TryFrom<String, Error = NameError>,
    {
        if self.take(column, "").is_empty() {
            return Some(None);
        }
        self.name(column, "").map(Some)
    }

    /// The hash of a key; what stands there instead may be the key, so it is not shown.
    fn key_hash(&mut self) -> Option<String> {
        let text = self.take(ColumnName::KeyHash, "");
        if text.len() == 64 && text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Some(text.to_ascii_lowercase());
        }
        let found = format!("{} characters, not shown", text.chars().count());
        self.refuse(ColumnName::KeyHash, &found, HASH_RULE);
        None
    }

    fn flag(&mut self, column: ColumnName) -> Option<bool> {
        let text = self.take(column, "no");
        match text.to_ascii_lowercase().as_str() {
            "yes" | "true" => Some(true),
            "no" | "false" => Some(false),
            _ => {
                self.refuse(column, &text, "yes or no");
                None
            }
        }
    }

    fn whole<T>(
        &mut self,
        column: ColumnName,
        default: &str,
        range: &RangeInclusive<T>,
    ) -> Option<T>
    where
        T: FromStr + PartialOrd + Display,
    {
        let text = self.take(column, default);
        match text.parse() {
            Ok(number) if range.contains(&number) => Some(number),
            _ => {
                let allowed = format!("a whole number from {} to {}", range.start(), range.end());
                self.refuse(column, &text, &allowed);
                None
            }
        }
    }

    fn rate(&mut self, default: &str) -> Option<f64> {
        let text = self.take(ColumnName::RatePerS, default);
        match text.parse() {
            Ok(rate) if RATES_PER_S.contains(&rate) => Some(rate),
            _ => {
                let (low, high) = RATES_PER_S.into_inner();
                let allowed = format!("a number from {low} to {high}, requests a second");
                self.refuse(ColumnName::RatePerS, &text, &allowed);
                None
            }
        }
    }

    fn choice<T>(&mut self, column: ColumnName, default: &str) -> Option<T>
    where
        T: FromStr + IntoEnumIterator + Display,
    {
        let text = self.take(column, default);
        let choice = text.to_ascii_lowercase().parse();
        let refuse = |_| {
            let choices: Vec<_> = T::iter().map(|choice| choice.to_string()).collect();
            self.refuse(column, &text, &format!("one of {}", choices.join(", ")));
        };
        choice.map_err(refuse).ok()
    }
}
