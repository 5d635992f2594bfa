//! The operators' table: shards, edits, watches and read-back.
//!
//! Rows hash into [`SHARD_COUNT`] table shards. Each shard is one object of the
//! platform with one version, and a small head object names each shard's
//! version. A process watches the head alone. Small edits travel in the head;
//! of the other shards that the head says are newer, a process loads the whole.
//!
//! Invariants:
//!
//! - A process replaces a shard only by a higher version of the whole shard, so
//!   a deletion needs no mark and nothing reverts ([`TableReplica`]).
//! - An edit changes a row only at the row version that its author read, and
//!   takes effect at most once however often it is repeated ([`TableEditor`]).
//! - An edit is accepted once it is stored and more than half of the processes
//!   have applied it; from then on a process that cannot know of it refuses new
//!   requests within [`FRESHNESS_MS`] ([`FreshnessClock`]).
//!
//! Cells are checked when they become typed rows ([`parse_row`]); the rules
//! that span rows are checked apart from that ([`verify_rows`]).

mod cells;
mod columns;
mod editor;
mod fresh;
mod head;
mod problem;
mod replica;
mod shard;
mod sheet;
mod verify;
mod view;

pub use crate::{
    cells::{parse_row, row_cells},
    columns::{ColumnName, RowCell, RowCells},
    editor::{EditError, EditReceipt, TableEditor},
    fresh::{ForceReport, FreshnessClock, FreshnessState, PeerReport, FRESHNESS_MS},
    head::{DeltaRow, HeadObject, ShardDelta, TableHead, HEAD_KEY, SHARD_COUNT, SHARD_PREFIX},
    problem::{RowConflict, RowError, ShardError},
    replica::{ReplicaError, ReplicaReport, TableReplica, WATCH_WAIT},
    shard::{
        shard_index, shard_key, CellChange, HistoryEntry, RowChange, ShardDocument, StoredRow,
        TableEdit,
    },
    sheet::{diff_rows, read_sheet, write_sheet, DiffKind, RowDiff},
    verify::{changed_errors, verify_rows},
    view::{ShardRows, TableView},
};
