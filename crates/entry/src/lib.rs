//! The entry role: callers and operators.
//!
//! An entry process tells callers which entry to use, authenticates the
//! customer, judges each request by the operators' table, applies the
//! customer's limits, and brings the answer from a dispatch process to the
//! caller. It owns no target.

mod assembly;
mod auth;
mod callers;
mod http;
mod members;
mod operator_messages;
mod operator_status;
mod operators;
mod order_keys;
mod order_status;
mod process;
mod prompts;
mod refusals;
mod relay;
mod resume;
mod routes;
mod services;
mod shared;

pub use crate::{
    assembly::{AnswerAssembly, AssemblyStep},
    auth::key_matches,
    members::{origin_of, GroupEntry, MemberEntry, MemberList, SeenInstances},
    operator_messages::{
        ChangedRow, EditAnswer, EditRequest, EditState, ExportAnswer, ImportAnswer, ImportRequest,
        OperatorReason, OperatorRefusal, RowAnswer, RowHistory, RowList, RowSource, StatusAnswer,
        StatusLevel, StatusLine, TableStatus, TypedCell,
    },
    operators::{OperatorRoutes, StatusPart},
    order_keys::{order_route, KeyMint},
    order_status::order_part,
    process::EntryProcess,
    routes::{RouteQuery, RouteTable, WorkRoute},
    shared::{EntryParts, EntryShared},
};
