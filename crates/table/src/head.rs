//! The head object: the newest version of each shard.

use crate::ShardError;
use serde::{Deserialize, Serialize};

/// The number of table shards; it is part of the stored format.
pub const SHARD_COUNT: usize = 128;
/// The head's key at the platform.
pub const HEAD_KEY: &str = "table/head";
/// What the shards' keys at the platform begin with.
pub const SHARD_PREFIX: &str = "table/shard/";

/// The head as it was read: its version and each shard's.
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

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct HeadDocument {
    shards: Vec<u64>,
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
    /// The head at `version` with the value `bytes`.
    ///
    /// # Errors
    ///
    /// The bytes are no head, or name another number of shards.
    ///
    /// ```
    /// use berylmount_table::TableHead;
    ///
    /// let head = TableHead::default();
    /// assert_eq!(TableHead::decode(0, &head.encode()).unwrap(), head);
    /// assert!(TableHead::decode(1, b"{").is_err());
    /// ```
    pub fn decode(version: u64, bytes: &[u8]) -> Result<Self, ShardError> {
        let document: HeadDocument =
            serde_json::from_slice(bytes).map_err(|error| ShardError::Syntax(error.to_string()))?;
        let shards = document.shards;
        if shards.len() != SHARD_COUNT {
            return Err(ShardError::Count(shards.len()));
        }
        Ok(Self { version, shards })
    }

    /// The value to store.
    pub fn encode(&self) -> Vec<u8> {
        let document = HeadDocument {
            shards: self.shards.clone(),
        };
        serde_json::to_vec(&document).unwrap_or_default()
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
