//! Edits of the table at the platform.
//!
//! Each shard that an edit touches is read, changed and written back under the
//! condition that it is still at the version read. A lost race is tried again
//! on what is there by then; the rows' own versions decide whether the edit
//! still fits. A lost answer is settled by reading back: the shard remembers
//! the ids of recent edits. A write that is still on its way cannot surprise
//! later, as it is bound to a version that the settling write has replaced.
//!
//! After the shards the head is raised, which is what processes watch.

use crate::{
    head::{DeltaRow, ShardDelta},
    shard::ShardOutcome,
    shard_index, shard_key, HeadObject, RowChange, RowConflict, ShardDocument, ShardError,
    TableEdit, HEAD_KEY, SHARD_PREFIX,
};
use berylmount_model::RowKey;
use berylmount_objects::{ObjectStore, StoreError, MAX_VALUE_BYTES};
use std::time::{Duration, Instant};

/// The most rows of an edit that travels in the head.
const MAX_DELTA_ROWS: usize = 8;
/// Tries at one object before an edit gives up against others' writes.
const MAX_TRIES: usize = 32;
/// Time after which no further try at one object begins.
const TRY_TIME: Duration = Duration::from_secs(5);

/// An edit that is stored.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EditReceipt {
    /// A process whose applied head is at least this version has applied the edit.
    pub head_version: u64,
    /// Whether all of it had been stored by an earlier try.
    pub repeated: bool,
    /// The changed rows with their versions; zero for a deleted row.
    pub rows: Vec<(RowKey, u64)>,
}

/// Why an edit is not stored, or not known to be.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum EditError {
    /// Rows were changed since the author read them; nothing was stored.
    #[error("changed since it was read: {}", conflict_list(.0))]
    Conflicts(Vec<RowConflict>),
    /// Another edit with the same id is stored; nothing of this one was.
    #[error("another edit with the id {0} is stored")]
    IdReused(String),
    /// The platform does not answer; this try stored nothing, and never will.
    #[error("the platform is unavailable; this try stored nothing")]
    Unavailable,
    /// All or a part may have been stored; a repeat with the same id settles it.
    #[error("the edit may have been stored, in whole or in part; repeat it with the same id")]
    Unclear,
    /// Others keep changing the same shards; nothing was stored.
    #[error("too many others edit the table at this moment; nothing was stored")]
    Busy,
    /// A shard would not fit into one object; nothing of it was stored.
    #[error("table shard {0} is full")]
    Full(usize),
    /// What is stored is no table; nothing was overwritten.
    #[error("the stored table is damaged at {key}: {error}")]
    Damaged {
        /// The object's key.
        key: String,
        /// What is wrong with it.
        error: ShardError,
    },
}

/// The tries at one object, bounded in number and time.
fn tries() -> impl Iterator<Item = usize> {
    let end = Instant::now() + TRY_TIME;
    (0..MAX_TRIES).take_while(move |_| Instant::now() < end)
}

/// Names the rows of conflicts.
fn conflict_list(conflicts: &[RowConflict]) -> String {
    let rows: Vec<_> = conflicts
        .iter()
        .map(|conflict| conflict.row.to_string())
        .collect();
    rows.join(", ")
}

/// Reads and edits the table at the platform.
#[derive(Clone, Copy)]
pub struct TableEditor<'a> {
    store: &'a dyn ObjectStore,
}

/// A shard as it was read, with its object's version.
struct ReadShard {
    version: u64,
    document: ShardDocument,
}

/// A shard that holds an edit.
struct EditedShard {
    version: u64,
    /// The version that the edit changed, if this try stored it.
    from: Option<u64>,
    document: ShardDocument,
}

impl<'a> TableEditor<'a> {
    /// An editor of the table in `store`.
    ///
    /// ```
    /// use berylmount_model::{RowKey, RowKind};
    /// use berylmount_standins::MemoryStore;
    /// use berylmount_table::TableEditor;
    ///
    /// let store = MemoryStore::default();
    /// let key = RowKey { kind: RowKind::Model, name: "blaze".to_owned() };
    /// let document = TableEditor::new(&store).read(&key).unwrap();
    /// assert!(document.row(&key).is_none());
    /// ```
    pub fn new(store: &'a dyn ObjectStore) -> Self {
        Self { store }
    }

    /// Reads the shard that holds the row `key`.
    ///
    /// # Errors
    ///
    /// `Unavailable` or `Damaged`.
    pub fn read(&self, key: &RowKey) -> Result<ShardDocument, EditError> {
        self.read_shard(shard_index(key)).map(|read| read.document)
    }

    /// Reads all shards that exist.
    ///
    /// # Errors
    ///
    /// `Unavailable` or `Damaged`.
    pub fn read_all(&self) -> Result<Vec<ShardDocument>, EditError> {
        let heads = self.store.list(SHARD_PREFIX).map_err(read_failure)?;
        let indexes = heads.iter().filter_map(|head| listed_index(&head.key));
        let read = indexes.map(|index| self.read_shard(index).map(|read| read.document));
        read.collect()
    }

    /// Stores an edit and raises the head.
    ///
    /// All rows are checked against the platform before the first is stored.
    ///
    /// # Errors
    ///
    /// An [`EditError`]; only after `Unclear` can any of it have been stored.
    pub fn apply(&self, edit: &TableEdit) -> Result<EditReceipt, EditError> {
        let parts = split_edit(edit);
        self.check_conflicts(&parts)?;
        let mut stored = StoredParts::default();
        for (index, part) in &parts {
            let edited = self.edit_shard(*index, part).map_err(|error| {
                if stored.versions.is_empty() {
                    return error;
                }
                log::warn!(target: "table", shard = *index, error:% = error; "edit is stored in part");
                EditError::Unclear
            })?;
            stored.add(*index, part, edited);
        }
        let head_version = self.raise_head(&stored.versions, &stored.deltas);
        let head_version = head_version.map_err(|_| EditError::Unclear)?;
        Ok(EditReceipt {
            head_version,
            repeated: stored.written == 0,
            rows: stored.rows,
        })
    }

    /// Raises the head to the shards' versions, where an editor died before it did.
    ///
    /// # Errors
    ///
    /// `Unavailable`, `Unclear`, `Busy` or `Damaged`.
    pub fn repair_head(&self) -> Result<u64, EditError> {
        let heads = self.store.list(SHARD_PREFIX).map_err(read_failure)?;
        let versions = heads
            .iter()
            .filter_map(|head| Some((listed_index(&head.key)?, head.version)));
        self.raise_head(&versions.collect::<Vec<_>>(), &[])
    }

    fn read_shard(&self, index: usize) -> Result<ReadShard, EditError> {
        let key = shard_key(index);
        match self.store.get(&key).map_err(read_failure)? {
            None => Ok(ReadShard {
                version: 0,
                document: ShardDocument::new(index),
            }),
            Some(object) => match ShardDocument::decode(index, &object.value) {
                Ok(document) => Ok(ReadShard {
                    version: object.version,
                    document,
                }),
                Err(error) => Err(EditError::Damaged { key, error }),
            },
        }
    }

    fn check_conflicts(&self, parts: &[(usize, TableEdit)]) -> Result<(), EditError> {
        if parts.len() == 1 {
            return Ok(());
        }
        let mut conflicts = Vec::new();
        for (index, part) in parts {
            match self.read_shard(*index)?.document.apply(part) {
                ShardOutcome::Conflicts(found) => conflicts.extend(found),
                ShardOutcome::IdReused => return Err(EditError::IdReused(part.id.clone())),
                ShardOutcome::Changed | ShardOutcome::Repeated => {}
            }
        }
        if conflicts.is_empty() {
            Ok(())
        } else {
            Err(EditError::Conflicts(conflicts))
        }
    }

    /// Brings the edit into one shard, or finds it there.
    fn edit_shard(&self, index: usize, edit: &TableEdit) -> Result<EditedShard, EditError> {
        let key = shard_key(index);
        let mut unclear = false;
        for _ in tries() {
            let read = self
                .read_shard(index)
                .map_err(|error| settle(error, unclear))?;
            let ReadShard {
                version,
                mut document,
            } = read;
            match document.apply(edit) {
                ShardOutcome::Repeated => {
                    return Ok(EditedShard {
                        version,
                        from: None,
                        document,
                    });
                }
                ShardOutcome::IdReused => return Err(EditError::IdReused(edit.id.clone())),
                ShardOutcome::Conflicts(conflicts) => return Err(EditError::Conflicts(conflicts)),
                ShardOutcome::Changed => {}
            }
            let bytes = document.encode_within(MAX_VALUE_BYTES);
            let bytes = bytes.ok_or(settle(EditError::Full(index), unclear))?;
            match self.store.put(&key, version, &bytes) {
                Ok(new_version) => {
                    return Ok(EditedShard {
                        version: new_version,
                        from: Some(version),
                        document,
                    });
                }
                Err(StoreError::Conflict { .. }) => {
                    log::info!(target: "table", shard = index; "lost a race; edit is tried again");
                }
                Err(StoreError::Unavailable) => {
                    return Err(settle(EditError::Unavailable, unclear))
                }
                Err(StoreError::TooLarge) => return Err(settle(EditError::Full(index), unclear)),
                Err(_) => {
                    log::warn!(target: "table", shard = index; "answer to an edit was lost; reading back");
                    unclear = true;
                }
            }
        }
        Err(settle(EditError::Busy, unclear))
    }

    fn raise_head(
        &self,
        versions: &[(usize, u64)],
        deltas: &[ShardDelta],
    ) -> Result<u64, EditError> {
        for _ in tries() {
            let mut object = self.read_head()?;
            let version = object.head.version;
            if !object.head.raise(versions) {
                return Ok(version);
            }
            object.add_deltas(deltas);
            match self.store.put(HEAD_KEY, version, &object.encode()) {
                Ok(version) => return Ok(version),
                Err(StoreError::Conflict { .. } | StoreError::Unclear) => {}
                Err(error) => return Err(read_failure(error)),
            }
        }
        Err(EditError::Busy)
    }

    fn read_head(&self) -> Result<HeadObject, EditError> {
        let object = self.store.get(HEAD_KEY).map_err(read_failure)?;
        let Some(object) = object else {
            return Ok(HeadObject::default());
        };
        HeadObject::decode(object.version, &object.value).map_err(|error| EditError::Damaged {
            key: HEAD_KEY.to_owned(),
            error,
        })
    }
}

/// The index in a listed key, if it is a shard's.
fn listed_index(key: &str) -> Option<usize> {
    let index = key.strip_prefix(SHARD_PREFIX)?.parse().ok()?;
    (shard_key(index) == key).then_some(index)
}

/// The parts of an edit that are stored so far.
#[derive(Default)]
struct StoredParts {
    versions: Vec<(usize, u64)>,
    deltas: Vec<ShardDelta>,
    rows: Vec<(RowKey, u64)>,
    written: usize,
}

impl StoredParts {
    /// Adds the part in shard `index`.
    fn add(&mut self, index: usize, part: &TableEdit, edited: EditedShard) {
        let EditedShard {
            version,
            from,
            document,
        } = edited;
        self.versions.push((index, version));
        let rows = part.changes.iter().map(|change| DeltaRow {
            key: change.key.clone(),
            stored: document.row(&change.key).cloned(),
        });
        let rows: Vec<_> = rows.collect();
        let row_version = |row: &DeltaRow| row.stored.as_ref().map_or(0, |stored| stored.version);
        let versions = rows.iter().map(|row| (row.key.clone(), row_version(row)));
        self.rows.extend(versions);
        let Some(from) = from else {
            return;
        };
        self.written += 1;
        if rows.len() <= MAX_DELTA_ROWS {
            self.deltas.push(ShardDelta {
                shard: index,
                from,
                to: version,
                rows,
            });
        }
    }
}

/// The parts of an edit by shard, in order.
fn split_edit(edit: &TableEdit) -> Vec<(usize, TableEdit)> {
    let changes = edit.changes.iter();
    let mut changes: Vec<_> = changes
        .map(|change| (shard_index(&change.key), change))
        .collect();
    changes.sort_by_key(|(index, _)| *index);
    let parts = changes.chunk_by(|a, b| a.0 == b.0);
    let part = |part: &[(usize, &RowChange)]| {
        let changes = part.iter().map(|(_, change)| (*change).clone()).collect();
        let part_edit = TableEdit {
            id: edit.id.clone(),
            who: edit.who.clone(),
            changes,
            ..*edit
        };
        (part[0].0, part_edit)
    };
    parts.map(part).collect()
}

/// What a failed read says about the edit.
fn read_failure(error: StoreError) -> EditError {
    log::warn!(target: "table", error:% = error; "platform did not answer the editor");
    EditError::Unavailable
}

/// An error after which `unclear` says whether a write may have been stored.
fn settle(error: EditError, unclear: bool) -> EditError {
    if unclear {
        EditError::Unclear
    } else {
        error
    }
}
