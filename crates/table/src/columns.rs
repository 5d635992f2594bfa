//! Columns of the operators' table.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// The columns beside `kind` and `name`.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ColumnName {
    /// Customer: SHA-256 of the key, in hexadecimal.
    KeyHash,
    /// Customer, work: share relative to others.
    Weight,
    /// Customer, limit: new requests a second.
    RatePerS,
    /// Customer, limit: requests that may come at once.
    Burst,
    /// Customer: requests that may be in flight.
    InFlight,
    /// Customer, model: version of the weights.
    Version,
    /// Customer: whose kept cache is shared.
    CacheScope,
    /// Work: class in a queue.
    Class,
    /// Work: pool that serves it.
    Pool,
    /// Work: model, for work on engines.
    Model,
    /// Work: adapter.
    Adapter,
    /// Work: whether it may run twice.
    Idempotent,
    /// Work: time limit to the first token, in milliseconds.
    FirstTokenMs,
    /// Work: time limit of the whole answer, in milliseconds.
    TotalMs,
    /// Work: longest answer, in tokens.
    MaxTokens,
    /// Work: longest prompt, in tokens.
    MaxPromptTokens,
    /// Pool: what its instances are.
    Role,
    /// Pool: whether its targets refuse an old fencing number.
    ChecksFencing,
    /// Pool: runners that may load weights at once.
    ParallelLoads,
    /// Pool: bytes a second of the link to it, zero for no bound.
    LinkBytesPerS,
}

/// One cell of a row.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RowCell {
    /// The column.
    pub column: ColumnName,
    /// The cell's text.
    pub text: String,
}

/// The cells of a row, ordered by column.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(from = "Vec<RowCell>", into = "Vec<RowCell>")]
pub struct RowCells(Vec<RowCell>);

impl RowCells {
    /// The text of a cell, if the row has it.
    ///
    /// ```
    /// use berylmount_table::{ColumnName, RowCells};
    ///
    /// let mut cells = RowCells::default();
    /// cells.set(ColumnName::Weight, "2");
    /// assert_eq!(cells.get(ColumnName::Weight), Some("2"));
    /// assert_eq!(cells.get(ColumnName::Burst), None);
    /// ```
    pub fn get(&self, column: ColumnName) -> Option<&str> {
        let found = self.0.binary_search_by_key(&column, |cell| cell.column);
        found.ok().map(|at| self.0[at].text.as_str())
    }

    /// Sets a cell.
    pub fn set(&mut self, column: ColumnName, text: &str) {
        let text = text.to_owned();
        match self.0.binary_search_by_key(&column, |cell| cell.column) {
            Ok(at) => self.0[at].text = text,
            Err(at) => self.0.insert(at, RowCell { column, text }),
        }
    }

    /// The cells in order.
    pub fn iter(&self) -> impl Iterator<Item = (ColumnName, &str)> {
        self.0.iter().map(|cell| (cell.column, cell.text.as_str()))
    }
}

impl From<Vec<RowCell>> for RowCells {
    /// Orders the cells; of two for one column the last counts.
    fn from(list: Vec<RowCell>) -> Self {
        let mut cells = Self::default();
        for cell in list {
            cells.set(cell.column, &cell.text);
        }
        cells
    }
}

impl From<RowCells> for Vec<RowCell> {
    fn from(cells: RowCells) -> Self {
        cells.0
    }
}
