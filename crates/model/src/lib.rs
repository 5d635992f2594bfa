//! Identifiers, table rows and verdicts shared by every berylmount crate.
//!
//! This crate contains plain data without I/O, and depends on no other crate of the
//! workspace.

mod clock;
mod instance;
mod names;
mod piece;
mod request;
mod rows;
mod verdict;

pub use crate::{
    clock::{unix_ms, MonotonicClock},
    instance::{InstanceRecord, InstanceRole, InstanceState},
    names::{
        CustomerName, DataCentre, InstanceName, ModelName, NameError, OrderKey, PoolName,
        VersionName, WorkName,
    },
    piece::{piece_chain, PieceKey, PieceScope, PIECE_TOKENS},
    request::{AttemptId, DigestChain, IdError, RequestId},
    rows::{
        CustomerRow, LimitRow, ModelRow, PoolRole, PoolRow, RowKey, RowKind, TableRow, WorkClass,
        WorkRow,
    },
    verdict::{CallRefusal, RefusalReason, RequestVerdict},
};
