//! Immutable snapshots of the table.

use crate::{shard_index, ShardDelta, ShardDocument, ShardError, StoredRow, SHARD_COUNT};
use berylmount_model::{
    CustomerName, CustomerRow, LimitRow, ModelName, ModelRow, PoolName, PoolRow, RowKey, RowKind,
    TableRow, WorkName, WorkRow,
};
use std::sync::Arc;

/// One shard's rows at one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardRows {
    version: u64,
    edit_count: u64,
    rows: Vec<StoredRow>,
}

impl ShardRows {
    /// The rows of shard `index` at `version` with the value `bytes`.
    ///
    /// # Errors
    ///
    /// The bytes are not that shard's document.
    pub fn decode(index: usize, version: u64, bytes: &[u8]) -> Result<Self, ShardError> {
        let (mut rows, edit_count) = ShardDocument::decode(index, bytes)?.into_rows();
        rows.shrink_to_fit();
        Ok(Self {
            version,
            edit_count,
            rows,
        })
    }

    /// The rows after an edit, if this is the version that the edit changed.
    pub(crate) fn after(&self, delta: &ShardDelta) -> Option<Self> {
        if self.version != delta.from {
            return None;
        }
        let mut rows = self.clone();
        rows.version = delta.to;
        for row in &delta.rows {
            let found = rows
                .rows
                .binary_search_by(|stored| stored.cmp_key(&row.key));
            match (found, row.stored.clone()) {
                (Ok(at), Some(stored)) => rows.rows[at] = stored,
                (Ok(at), None) => drop(rows.rows.remove(at)),
                (Err(at), Some(stored)) => rows.rows.insert(at, stored),
                (Err(_), None) => {}
            }
            let version = row.stored.as_ref().map_or(0, |stored| stored.version);
            rows.edit_count = rows.edit_count.max(version);
        }
        Some(rows)
    }

    /// The rows as a document without history, for a peer.
    pub fn encode(&self, index: usize) -> Vec<u8> {
        ShardDocument::from_rows(index, self.edit_count, self.rows.clone()).encode()
    }

    /// The shard object's version.
    pub fn version(&self) -> u64 {
        self.version
    }

    fn row(&self, key: &RowKey) -> Option<&StoredRow> {
        let found = self.rows.binary_search_by(|stored| stored.cmp_key(key));
        found.ok().map(|at| &self.rows[at])
    }
}

/// The whole table at one moment; it never changes.
///
/// ```
/// use berylmount_model::CustomerName;
/// use berylmount_table::TableView;
///
/// let view = TableView::default();
/// assert!(view.customer(&CustomerName::new("crew").unwrap()).is_none());
/// ```
#[derive(Clone, Debug)]
pub struct TableView {
    shards: Vec<Arc<ShardRows>>,
    pools: Vec<PoolRow>,
}

impl Default for TableView {
    fn default() -> Self {
        Self {
            shards: vec![Arc::default(); SHARD_COUNT],
            pools: Vec::new(),
        }
    }
}

impl TableView {
    /// A view with some shards replaced by higher versions; lower ones are ignored.
    pub(crate) fn with_shards(&self, shards: Vec<(usize, ShardRows)>) -> Self {
        let mut view = self.clone();
        for (index, rows) in shards {
            match view.shards.get_mut(index) {
                Some(current) if current.version < rows.version => *current = Arc::new(rows),
                _ => {}
            }
        }
        view.pools = view.sorted_pools();
        view
    }

    fn sorted_pools(&self) -> Vec<PoolRow> {
        let pools = self.rows().filter_map(|stored| match &stored.row {
            TableRow::Pool(row) => Some(row.clone()),
            _ => None,
        });
        let mut pools: Vec<_> = pools.collect();
        pools.sort_by(|a, b| a.name.cmp(&b.name));
        pools
    }

    /// One shard's rows, or `None` for an index out of bounds.
    pub fn shard(&self, index: usize) -> Option<&ShardRows> {
        self.shards.get(index).map(Arc::as_ref)
    }

    /// The version of each shard.
    pub fn shard_versions(&self) -> impl Iterator<Item = u64> + '_ {
        self.shards.iter().map(|rows| rows.version)
    }

    /// All rows, shard by shard.
    pub fn rows(&self) -> impl Iterator<Item = &StoredRow> {
        self.shards.iter().flat_map(|rows| &rows.rows)
    }

    /// The row `key`.
    pub fn row(&self, key: &RowKey) -> Option<&StoredRow> {
        self.shards[shard_index(key)].row(key)
    }

    fn named(&self, kind: RowKind, name: &str) -> Option<&TableRow> {
        let name = name.to_owned();
        self.row(&RowKey { kind, name }).map(|stored| &stored.row)
    }

    /// A customer's row.
    pub fn customer(&self, name: &CustomerName) -> Option<&CustomerRow> {
        match self.named(RowKind::Customer, name.as_str()) {
            Some(TableRow::Customer(row)) => Some(row),
            _ => None,
        }
    }

    /// The row of a kind of work.
    pub fn work(&self, name: &WorkName) -> Option<&WorkRow> {
        match self.named(RowKind::Work, name.as_str()) {
            Some(TableRow::Work(row)) => Some(row),
            _ => None,
        }
    }

    /// The limit of a customer on a kind of work, if there is one.
    pub fn limit(&self, customer: &CustomerName, work: &WorkName) -> Option<&LimitRow> {
        match self.named(RowKind::Limit, &format!("{customer}/{work}")) {
            Some(TableRow::Limit(row)) => Some(row),
            _ => None,
        }
    }

    /// A model's row.
    pub fn model(&self, name: &ModelName) -> Option<&ModelRow> {
        match self.named(RowKind::Model, name.as_str()) {
            Some(TableRow::Model(row)) => Some(row),
            _ => None,
        }
    }

    /// A pool's row.
    pub fn pool(&self, name: &PoolName) -> Option<&PoolRow> {
        let found = self.pools.binary_search_by(|row| row.name.cmp(name));
        found.ok().map(|at| &self.pools[at])
    }

    /// All pools, sorted by name.
    pub fn pools(&self) -> &[PoolRow] {
        &self.pools
    }
}
