//! What operators' commands and an entry say to each other, as JSON.

use berylmount_model::RowKey;
use berylmount_table::{
    ForceReport, FreshnessState, HistoryEntry, RowCells, RowConflict, RowDiff, RowError,
};
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

/// Where an answer about rows comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize, Display, IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RowSource {
    /// The platform, just now.
    Platform,
    /// This entry's copy, as the platform does not answer.
    Copy,
}

/// A row as it was read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RowAnswer {
    /// The row.
    pub key: RowKey,
    /// Its version, for a later edit.
    pub version: u64,
    /// Its cells.
    pub cells: RowCells,
    /// Where it was read.
    pub source: RowSource,
    /// Whether the processes have it, if that can be told.
    pub force: Option<ForceReport>,
}

/// Rows of the entry's copy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RowList {
    /// The rows, ordered by key.
    pub rows: Vec<RowAnswer>,
}

/// The kept history of one row, oldest first.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RowHistory {
    /// The changes.
    pub entries: Vec<HistoryEntry>,
}

/// One cell as an operator typed it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct TypedCell {
    /// The column; `key` stands for the hash of a customer's key.
    pub column: String,
    /// The text.
    pub text: String,
}

/// Asks to change, add or delete a row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditRequest {
    /// The edit's id; a repeat carries the same.
    pub id: String,
    /// The operator.
    pub who: String,
    /// The row's kind.
    pub kind: String,
    /// The row's name.
    pub name: String,
    /// The row version that was read; zero for no row.
    pub expected: u64,
    /// The cells to change; the others stay.
    #[serde(default)]
    pub cells: Vec<TypedCell>,
    /// Whether to delete the row.
    #[serde(default)]
    pub delete: bool,
}

/// Asks to bring a whole sheet in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ImportRequest {
    /// The edit's id; a repeat carries the same.
    pub id: String,
    /// The operator.
    pub who: String,
    /// The sheet.
    pub csv: String,
    /// Whether only to show the difference.
    #[serde(default)]
    pub dry_run: bool,
    /// Whether to delete the rows that the sheet lacks.
    #[serde(default)]
    pub delete_missing: bool,
}

/// How far an edit has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize, Display, IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EditState {
    /// Stored and applied by more than half of the processes: it holds.
    Accepted,
    /// Stored, and not yet applied by more than half of them.
    Stored,
}

/// A changed row and its version, zero if it was deleted.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ChangedRow {
    /// The row.
    pub key: RowKey,
    /// Its version.
    pub version: u64,
}

/// The outcome of an edit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EditAnswer {
    /// The edit's id.
    pub id: String,
    /// How far it has come.
    pub state: EditState,
    /// Whether an earlier try had stored it.
    pub repeated: bool,
    /// The rows.
    pub rows: Vec<ChangedRow>,
    /// Who has applied it.
    pub force: ForceReport,
}

/// The outcome of an import.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ImportAnswer {
    /// How the sheet differs from the table.
    pub differences: Vec<RowDiff>,
    /// The edit, unless it was a dry run or there was no difference.
    pub edit: Option<EditAnswer>,
}

/// The table as a sheet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExportAnswer {
    /// The sheet.
    pub csv: String,
    /// Where it was read.
    pub source: RowSource,
}

/// Why an operator's request was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize, Display, IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum OperatorReason {
    /// The request makes no sense.
    BadRequest,
    /// There is no such row or route.
    NotFound,
    /// Cells are wrong, or do not fit to other rows.
    WrongRow,
    /// Rows were changed since they were read.
    Conflict,
    /// Another edit has the same id.
    IdReused,
    /// The platform does not answer; nothing was stored.
    PlatformUnavailable,
    /// It may have been stored; a repeat with the same id settles it.
    Unclear,
    /// Too many others edit the table; nothing was stored.
    Busy,
    /// The table has no room for it; nothing was stored.
    Full,
    /// What is stored is damaged; nothing was overwritten.
    Damaged,
}

/// The answer to a refused request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, thiserror::Error)]
#[error("{reason}: {detail}")]
pub struct OperatorRefusal {
    /// The kind of refusal.
    pub reason: OperatorReason,
    /// One sentence for a person.
    pub detail: String,
    /// What is wrong with which cell.
    #[serde(default)]
    pub errors: Vec<RowError>,
    /// Both sides of each race.
    #[serde(default)]
    pub conflicts: Vec<RowConflict>,
}

/// How much a line of the status matters.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
    Display,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum StatusLevel {
    /// All is well.
    Well,
    /// The system deals with it.
    Notice,
    /// An operator has to do something.
    Alarm,
}

/// One line of the status.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StatusLine {
    /// How much it matters.
    pub level: StatusLevel,
    /// The part that it is about.
    pub part: String,
    /// What is the case.
    pub text: String,
    /// What the system does about it, or what the operator has to do.
    pub action: String,
}

/// The table as this entry sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableStatus {
    /// The head version that is applied here.
    pub applied: u64,
    /// The newest head version that is known here.
    pub known: u64,
    /// By what this entry may judge new requests.
    pub freshness: FreshnessState,
    /// How long ago the platform confirmed the table, in milliseconds.
    pub confirmed_age_ms: Option<u64>,
    /// Who has applied the newest head.
    pub force: ForceReport,
}

/// The whole status, for people and scripts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// The lines, the most important first.
    pub lines: Vec<StatusLine>,
    /// The table.
    pub table: TableStatus,
}
