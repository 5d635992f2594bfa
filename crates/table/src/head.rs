//! The head object: the newest version of each shard, and the last small edits.
//!
//! Every process watches the head. A process that has the shard version before
//! a small edit takes the edit from the head, and need not read the whole shard.

use crate::{shard_index, ShardError, StoredRow};
use berylmount_model::RowKey;
use serde::{Deserialize, Serialize};

/// The number of table shards; it is part of the stored format.
pub const SHARD_COUNT: usize = 128;
/// The head's key at the platform.
pub const HEAD_KEY: &str = "table/head";
/// What the shards' keys at the platform begin with.
pub const SHARD_PREFIX: &str = "table/shard/";

/// The bound of the edits in the head, in bytes.
const DELTA_BYTES: usize = 4_096;

/// One row of an edit in the head.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeltaRow {
    /// The row's key.
    pub key: RowKey,
    /// The row after the edit; `None` if it was deleted.
    pub stored: Option<StoredRow>,
}

/// What turned one version of a shard into the next.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardDelta {
    /// The shard.
    pub shard: usize,
    /// The shard object's version before.
    pub from: u64,
    /// The shard object's version after.
    pub to: u64,
    /// The rows that changed.
    pub rows: Vec<DeltaRow>,
}

impl ShardDelta {
    /// Whether every row is one of the shard's, under its own key.
    fn is_sound(&self) -> bool {
        let sound = |row: &DeltaRow| {
            let stored = row.stored.as_ref();
            let keyed = |stored: &StoredRow| stored.key() == row.key;
            shard_index(&row.key) == self.shard && stored.is_none_or(keyed)
        };
        self.from < self.to && self.rows.iter().all(sound)
    }
}

/// The newest version of each shard.
///
/// Heads of one table are ordered by version, and with the head's version no
/// shard's version ever falls.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TableHead {
    /// The head object's version at the platform; zero before the first edit.
    pub version: u64,
    /// Each shard's version; zero for a shard without an object.
    pub shards: Vec<u64>,
}

/// The head object as it was read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeadObject {
    /// The versions.
    pub head: TableHead,
    /// The last small edits, oldest first.
    pub deltas: Vec<ShardDelta>,
}

/// The value of the head object.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct HeadDocument {
    shards: Vec<u64>,
    #[serde(default)]
    deltas: Vec<ShardDelta>,
}

impl Default for TableHead {
    fn default() -> Self {
        Self {
            version: 0,
            shards: vec![0; SHARD_COUNT],
        }
    }
}

impl TableHead {
    /// The versions in a head object at `version` with the value `bytes`.
    ///
    /// # Errors
    ///
    /// As for [`HeadObject::decode`].
    pub fn decode(version: u64, bytes: &[u8]) -> Result<Self, ShardError> {
        HeadObject::decode(version, bytes).map(|object| object.head)
    }

    /// The value of a head object with these versions and no edits.
    ///
    /// ```
    /// use berylmount_table::TableHead;
    ///
    /// let head = TableHead::default();
    /// assert_eq!(TableHead::decode(0, &head.encode()).unwrap(), head);
    /// ```
    pub fn encode(&self) -> Vec<u8> {
        let object = HeadObject {
            head: self.clone(),
            deltas: Vec::new(),
        };
        object.encode()
    }

    /// Raises shards to `versions`, and says whether any was lower.
    pub fn raise(&mut self, versions: &[(usize, u64)]) -> bool {
        let mut raised = false;
        for &(index, version) in versions {
            if let Some(current) = self.shards.get_mut(index) {
                raised |= *current < version;
                *current = version.max(*current);
            }
        }
        raised
    }
}

impl HeadObject {
    /// The head object at `version` with the value `bytes`.
    ///
    /// # Errors
    ///
    /// The bytes are no head, name another number of shards, or carry an edit
    /// that does not fit its shard.
    ///
    /// ```
    /// use berylmount_table::HeadObject;
    ///
    /// let object = HeadObject::default();
    /// assert_eq!(HeadObject::decode(0, &object.encode()).unwrap(), object);
    /// assert!(HeadObject::decode(1, b"{").is_err());
    /// ```
    pub fn decode(version: u64, bytes: &[u8]) -> Result<Self, ShardError> {
        let document: HeadDocument =
            serde_json::from_slice(bytes).map_err(|error| ShardError::Syntax(error.to_string()))?;
        let HeadDocument { shards, deltas } = document;
        if shards.len() != SHARD_COUNT {
            return Err(ShardError::Count(shards.len()));
        }
        if let Some(delta) = deltas.iter().find(|delta| !delta.is_sound()) {
            return Err(ShardError::Delta(delta.shard));
        }
        let head = TableHead { version, shards };
        Ok(Self { head, deltas })
    }

    /// The value to store.
    pub fn encode(&self) -> Vec<u8> {
        let document = HeadDocument {
            shards: self.head.shards.clone(),
            deltas: self.deltas.clone(),
        };
        serde_json::to_vec(&document).unwrap_or_default()
    }

    /// Adds edits, and drops the oldest over the bound.
    pub(crate) fn add_deltas(&mut self, deltas: &[ShardDelta]) {
        self.deltas.extend_from_slice(deltas);
        let mut left = DELTA_BYTES;
        let mut kept = 0;
        for delta in self.deltas.iter().rev() {
            let bytes = serde_json::to_vec(delta).map_or(usize::MAX, |bytes| bytes.len());
            let Some(rest) = left.checked_sub(bytes) else {
                break;
            };
            left = rest;
            kept += 1;
        }
        let dropped = self.deltas.len() - kept;
        self.deltas.drain(..dropped);
    }
}
