//! Passes the operators' table on between processes.
//!
//! The platform is where a table comes from. When a process stays behind what
//! others have applied, because the platform does not answer it, it asks one of
//! them for the head and the shards that it lacks. Versions only rise, so a
//! peer that is behind does no harm.

use berylmount_table::{ReplicaError, TableHead, TableReplica};
use berylmount_wire::{PeerCall, PeerClient, PeerService, WireFault};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// Time limit of one message, in either direction.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Asks a process for a part of its table.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum TableRequest {
    /// The newest head that it knows.
    Head,
    /// One shard.
    Shard(u32),
}

/// A part of a process's table.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum TableReply {
    /// The head.
    Head(TableHead),
    /// The shard asked for, as the platform holds it.
    Object {
        /// Its version.
        version: u64,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// The process does not have it.
    Absent,
}

/// Why a table could not be taken from a peer.
#[derive(Debug, thiserror::Error)]
pub enum PullFault {
    /// The call failed.
    #[error("asking a peer for its table failed: {0}")]
    Wire(#[from] WireFault),
    /// What came is damaged.
    #[error("a peer's table is not usable: {0}")]
    Table(#[from] ReplicaError),
}

/// Answers one call of [`PeerService::Table`] from `table`.
///
/// # Errors
///
/// Returns the call's fault; the asking process tries again elsewhere.
pub fn serve_table(table: &TableReplica, call: PeerCall) -> Result<(), WireFault> {
    loop {
        let request = match call.receive(MESSAGE_TIMEOUT) {
            Ok(request) => request,
            Err(WireFault::Ended) => break,
            Err(fault) => return Err(fault),
        };
        call.send(&answer(table, request), MESSAGE_TIMEOUT)?;
    }
    call.finish();
    Ok(())
}

/// The reply to one request.
fn answer(table: &TableReplica, request: TableRequest) -> TableReply {
    let object = match request {
        TableRequest::Head => {
            let head = table.offer();
            return match head.version {
                0 => TableReply::Absent,
                _ => TableReply::Head(head),
            };
        }
        TableRequest::Shard(index) => table.export_shard(index as usize),
    };
    match object {
        Some((version, bytes)) => TableReply::Object { version, bytes },
        None => TableReply::Absent,
    }
}

/// Takes what `table` lacks from the process at `address`.
///
/// # Errors
///
/// Returns a [`PullFault`]; whatever came before it is applied.
pub fn pull_table(
    client: &PeerClient,
    address: SocketAddr,
    table: &TableReplica,
) -> Result<(), PullFault> {
    let call = client.open(address, PeerService::Table, &TableRequest::Head)?;
    let TableReply::Head(head) = call.receive(MESSAGE_TIMEOUT)? else {
        return Ok(());
    };
    let missing = table.accept_head(&head)?;
    for index in missing {
        call.send(&TableRequest::Shard(index as u32), MESSAGE_TIMEOUT)?;
        if let TableReply::Object { version, bytes } = call.receive(MESSAGE_TIMEOUT)? {
            table.accept_shard(index, version, &bytes)?;
        }
    }
    call.finish();
    Ok(())
}
