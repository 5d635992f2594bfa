//! What is wrong with rows, edits and shards, as data.

use crate::RowCells;
use berylmount_model::RowKey;
use serde::{Deserialize, Serialize};

/// One thing that is wrong with one row.
#[derive(
    Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize, thiserror::Error,
)]
#[error("row {row}, column {column}: found {found:?}, allowed is {allowed}")]
pub struct RowError {
    /// The row, as `kind:name`, with its line if it comes from a sheet.
    pub row: String,
    /// The column.
    pub column: String,
    /// What was found there.
    pub found: String,
    /// What is allowed there.
    pub allowed: String,
}

impl RowError {
    /// An error in `column` of the row `row`.
    pub(crate) fn new(row: &RowKey, column: &str, found: &str, allowed: &str) -> Self {
        Self {
            row: row.to_string().escape_debug().to_string(),
            column: column.to_owned(),
            found: found.to_owned(),
            allowed: allowed.to_owned(),
        }
    }
}

/// A row that was changed since the author of an edit read it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize, thiserror::Error)]
#[error("row {row} is at version {current}, the edit was made for version {expected}")]
pub struct RowConflict {
    /// The row.
    pub row: RowKey,
    /// The version that the edit was made for; zero for no row.
    pub expected: u64,
    /// The row's version now; zero for no row.
    pub current: u64,
    /// What the edit would have stored; `None` for a deletion.
    pub yours: Option<RowCells>,
    /// What is stored; `None` if the row is gone.
    pub theirs: Option<RowCells>,
    /// Who changed it last, if that is still known.
    pub changed_by: Option<String>,
    /// When it was changed last, in milliseconds since 1970, if still known.
    pub changed_at_ms: Option<u64>,
}

/// Why the bytes of a shard or head are refused.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ShardError {
    /// The bytes are not the document that they should be.
    #[error("not a table document: {0}")]
    Syntax(String),
    /// The document is of a format that this program does not know.
    #[error("table format {0} is not known to this program")]
    Format(u32),
    /// The document is for another shard.
    #[error("the document is for shard {found}, not {expected}")]
    Index {
        /// The shard that was asked for.
        expected: usize,
        /// The shard that the document names.
        found: usize,
    },
    /// The head names another number of shards.
    #[error("the head names {0} shards")]
    Count(usize),
    /// The head carries an edit that does not fit its shard.
    #[error("the head carries an edit that does not fit shard {0}")]
    Delta(usize),
    /// A row is out of order, in the wrong shard, or not the one that its key names.
    #[error("row {0} is misplaced")]
    Misplaced(RowKey),
    /// A row carries a version above the shard's count of edits.
    #[error("row {0} has an impossible version")]
    Version(RowKey),
}
