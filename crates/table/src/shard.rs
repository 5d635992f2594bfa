//! Table shards: their document, and how an edit changes it.

use crate::{row_cells, ColumnName, RowCells, RowConflict, ShardError, SHARD_COUNT, SHARD_PREFIX};
use berylmount_model::{RowKey, RowKind, TableRow};
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The format that this program writes.
const FORMAT: u32 = 1;
/// The seed of the hash from rows to shards; it is part of the stored format.
const SHARD_SEED: u64 = 0x6265_7279_6c31;
/// Entries of history kept for one row.
const ROW_HISTORY: usize = 10;
/// Entries of history kept in one shard.
const SHARD_HISTORY: usize = 400;
/// Edits that one shard remembers, so that a repeat is recognised.
const RECENT_EDITS: usize = 256;

/// The shard that holds the row `key`.
pub fn shard_index(key: &RowKey) -> usize {
    let hash = xxh3_64_with_seed(key.to_string().as_bytes(), SHARD_SEED);
    (hash % SHARD_COUNT as u64) as usize
}

/// A shard's key at the platform.
///
/// ```
/// assert_eq!(berylmount_table::shard_key(7), "table/shard/007");
/// ```
pub fn shard_key(index: usize) -> String {
    format!("{SHARD_PREFIX}{index:03}")
}

/// A row with its version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredRow {
    /// The shard's count of edits when the row was changed last.
    pub version: u64,
    /// The row.
    pub row: TableRow,
}

impl StoredRow {
    /// The row's key.
    pub fn key(&self) -> RowKey {
        self.row.key()
    }

    /// Compares the row's key with `key`, without making one.
    pub(crate) fn cmp_key(&self, key: &RowKey) -> Ordering {
        let (kind, name, rest) = match &self.row {
            TableRow::Customer(row) => (RowKind::Customer, row.name.as_str(), None),
            TableRow::Work(row) => (RowKind::Work, row.name.as_str(), None),
            TableRow::Limit(row) => {
                let work = row.work.as_str();
                (RowKind::Limit, row.customer.as_str(), Some(work))
            }
            TableRow::Model(row) => (RowKind::Model, row.name.as_str(), None),
            TableRow::Pool(row) => (RowKind::Pool, row.name.as_str(), None),
        };
        let rest = rest
            .into_iter()
            .flat_map(|rest| b"/".iter().chain(rest.as_bytes()));
        let name = name.as_bytes().iter().chain(rest);
        kind.cmp(&key.kind)
            .then_with(|| name.cmp(key.name.as_bytes()))
    }
}

/// One changed cell.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CellChange {
    /// The column.
    pub column: ColumnName,
    /// The text before, empty if there was none.
    pub before: String,
    /// The text after, empty if there is none.
    pub after: String,
}

/// One change of one row.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The row.
    pub key: RowKey,
    /// The row's version after the change.
    pub version: u64,
    /// The operator.
    pub who: String,
    /// When, in milliseconds since 1970 by the entry's clock.
    pub at_ms: u64,
    /// The edit's id.
    pub edit: String,
    /// Whether the row was deleted.
    pub deleted: bool,
    /// The cells that changed.
    pub changes: Vec<CellChange>,
}

/// One row's part of an edit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RowChange {
    /// The row.
    pub key: RowKey,
    /// The row version that the author read; zero for no row.
    pub expected: u64,
    /// The new row; `None` deletes it.
    pub row: Option<TableRow>,
}

/// An edit of one or more rows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableEdit {
    /// The edit's id; a repeat carries the same.
    pub id: String,
    /// The operator.
    pub who: String,
    /// When, in milliseconds since 1970.
    pub at_ms: u64,
    /// Tells a repeat from another edit with the same id: a hash of what was asked.
    pub digest: u64,
    /// The rows' changes.
    pub changes: Vec<RowChange>,
}

impl TableEdit {
    /// The hash of what an operator asked for, for [`TableEdit::digest`].
    ///
    /// It must not depend on the row versions read, as a repeat reads newer ones.
    pub fn digest(asked: &[u8]) -> u64 {
        xxh3_64_with_seed(asked, SHARD_SEED)
    }
}

/// An edit that a shard remembers.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct RecentEdit {
    id: String,
    digest: u64,
}

/// What an edit came to in a shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum ShardOutcome {
    /// The document now holds it.
    Changed,
    /// The document held it already.
    Repeated,
    /// Another edit with the same id was stored.
    IdReused,
    /// Rows were changed since the author read them; the document is as before.
    Conflicts(Vec<RowConflict>),
}

/// The value of one shard's object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardDocument {
    format: u32,
    index: usize,
    edit_count: u64,
    rows: Vec<StoredRow>,
    #[serde(default)]
    history: Vec<HistoryEntry>,
    #[serde(default)]
    recent: Vec<RecentEdit>,
}

impl ShardDocument {
    /// A shard without rows.
    pub fn new(index: usize) -> Self {
        Self::from_rows(index, 0, Vec::new())
    }

    /// A shard of `rows`, which are sorted by key, without history.
    pub(crate) fn from_rows(index: usize, edit_count: u64, rows: Vec<StoredRow>) -> Self {
        Self {
            format: FORMAT,
            index,
            edit_count,
            rows,
            history: Vec::new(),
            recent: Vec::new(),
        }
    }

    /// The document of shard `index` with the value `bytes`.
    ///
    /// # Errors
    ///
    /// A [`ShardError`] that says what does not fit; nothing of the bytes is used then.
    ///
    /// ```
    /// use berylmount_table::ShardDocument;
    ///
    /// let document = ShardDocument::new(3);
    /// assert_eq!(ShardDocument::decode(3, &document.encode()).unwrap(), document);
    /// assert!(ShardDocument::decode(4, &document.encode()).is_err());
    /// ```
    pub fn decode(index: usize, bytes: &[u8]) -> Result<Self, ShardError> {
        let document: Self =
            serde_json::from_slice(bytes).map_err(|error| ShardError::Syntax(error.to_string()))?;
        document.check(index)?;
        Ok(document)
    }

    fn check(&self, index: usize) -> Result<(), ShardError> {
        if self.format != FORMAT {
            return Err(ShardError::Format(self.format));
        }
        if self.index != index {
            let (expected, found) = (index, self.index);
            return Err(ShardError::Index { expected, found });
        }
        for stored in &self.rows {
            if shard_index(&stored.key()) != index {
                return Err(ShardError::Misplaced(stored.key()));
            }
            if stored.version > self.edit_count {
                return Err(ShardError::Version(stored.key()));
            }
        }
        let unsorted = self
            .rows
            .windows(2)
            .find(|pair| pair[0].cmp_key(&pair[1].key()).is_ge());
        unsorted.map_or(Ok(()), |pair| Err(ShardError::Misplaced(pair[1].key())))
    }

    /// The value to store.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// The value to store in at most `bound` bytes; the oldest history goes first.
    pub(crate) fn encode_within(&mut self, bound: usize) -> Option<Vec<u8>> {
        loop {
            let bytes = self.encode();
            if bytes.len() <= bound {
                return Some(bytes);
            }
            if self.history.is_empty() {
                return None;
            }
            let dropped = self.history.len().div_ceil(2);
            self.history.drain(..dropped);
        }
    }

    /// The rows, sorted by key.
    pub fn rows(&self) -> &[StoredRow] {
        &self.rows
    }

    /// The rows, sorted by key, and the count of edits.
    pub(crate) fn into_rows(self) -> (Vec<StoredRow>, u64) {
        (self.rows, self.edit_count)
    }

    /// The row `key`, if there is one.
    pub fn row(&self, key: &RowKey) -> Option<&StoredRow> {
        self.find(key).ok().map(|at| &self.rows[at])
    }

    /// The kept history of the row `key`, oldest first.
    pub fn history<'a>(&'a self, key: &'a RowKey) -> impl Iterator<Item = &'a HistoryEntry> {
        self.history.iter().filter(move |entry| entry.key == *key)
    }

    /// Whether the edit `id` is among the recent ones.
    pub fn holds_edit(&self, id: &str) -> bool {
        self.recent.iter().any(|recent| recent.id == id)
    }

    fn find(&self, key: &RowKey) -> Result<usize, usize> {
        self.rows.binary_search_by(|stored| stored.cmp_key(key))
    }

    /// Applies the part of `edit` that falls into this shard: all of it or nothing.
    pub(crate) fn apply(&mut self, edit: &TableEdit) -> ShardOutcome {
        let own = |change: &&RowChange| shard_index(&change.key) == self.index;
        let changes: Vec<_> = edit.changes.iter().filter(own).collect();
        if let Some(recent) = self.recent.iter().find(|recent| recent.id == edit.id) {
            return match recent.digest == edit.digest {
                true => ShardOutcome::Repeated,
                false => ShardOutcome::IdReused,
            };
        }
        let conflicts: Vec<_> = changes
            .iter()
            .filter_map(|change| self.conflict(change))
            .collect();
        if !conflicts.is_empty() {
            return ShardOutcome::Conflicts(conflicts);
        }
        self.edit_count += 1;
        for change in changes {
            self.apply_change(edit, change);
        }
        self.recent.push(RecentEdit {
            id: edit.id.clone(),
            digest: edit.digest,
        });
        drop_oldest(&mut self.recent, RECENT_EDITS);
        drop_oldest(&mut self.history, SHARD_HISTORY);
        ShardOutcome::Changed
    }

    fn conflict(&self, change: &RowChange) -> Option<RowConflict> {
        let stored = self.row(&change.key);
        let current = stored.map_or(0, |stored| stored.version);
        if current == change.expected {
            return None;
        }
        let last = self.history(&change.key).last();
        Some(RowConflict {
            row: change.key.clone(),
            expected: change.expected,
            current,
            yours: change.row.as_ref().map(row_cells),
            theirs: stored.map(|stored| row_cells(&stored.row)),
            changed_by: last.map(|entry| entry.who.clone()),
            changed_at_ms: last.map(|entry| entry.at_ms),
        })
    }

    fn apply_change(&mut self, edit: &TableEdit, change: &RowChange) {
        let found = self.find(&change.key);
        let before = found.ok().map(|at| &self.rows[at].row);
        if before == change.row.as_ref() {
            return;
        }
        let entry = HistoryEntry {
            key: change.key.clone(),
            version: self.edit_count,
            who: edit.who.clone(),
            at_ms: edit.at_ms,
            edit: edit.id.clone(),
            deleted: change.row.is_none(),
            changes: cell_changes(before, change.row.as_ref()),
        };
        let stored = change.row.clone().map(|row| StoredRow {
            version: self.edit_count,
            row,
        });
        match (found, stored) {
            (Ok(at), Some(stored)) => self.rows[at] = stored,
            (Ok(at), None) => drop(self.rows.remove(at)),
            (Err(at), Some(stored)) => self.rows.insert(at, stored),
            (Err(_), None) => {}
        }
        self.add_history(entry);
    }

    fn add_history(&mut self, entry: HistoryEntry) {
        let of_row = self.history.iter().filter(|old| old.key == entry.key);
        if of_row.count() >= ROW_HISTORY {
            if let Some(oldest) = self.history.iter().position(|old| old.key == entry.key) {
                self.history.remove(oldest);
            }
        }
        self.history.push(entry);
    }
}

fn drop_oldest<T>(list: &mut Vec<T>, bound: usize) {
    let dropped = list.len().saturating_sub(bound);
    list.drain(..dropped);
}

fn cell_changes(before: Option<&TableRow>, after: Option<&TableRow>) -> Vec<CellChange> {
    let before = before.map(row_cells).unwrap_or_default();
    let after = after.map(row_cells).unwrap_or_default();
    changed_cells(&before, &after)
}

/// The cells that differ, by column.
pub(crate) fn changed_cells(before: &RowCells, after: &RowCells) -> Vec<CellChange> {
    let mut columns: Vec<_> = before
        .iter()
        .chain(after.iter())
        .map(|cell| cell.0)
        .collect();
    columns.sort();
    columns.dedup();
    let change = |column| CellChange {
        column,
        before: before.get(column).unwrap_or_default().to_owned(),
        after: after.get(column).unwrap_or_default().to_owned(),
    };
    let changes = columns.into_iter().map(change);
    changes
        .filter(|change| change.before != change.after)
        .collect()
}
