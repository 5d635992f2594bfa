//! Passes the newest table on between processes.
//!
//! A process that can't reach the platform, or that has just started during an
//! outage, gets newer shards from a peer. The replica takes only whole shards
//! of a higher version, so a peer that is behind changes nothing.

use berylmount_model::{InstanceName, MonotonicClock};
use berylmount_peers::{MemberState, MemberView};
use berylmount_table::{ReplicaError, TableHead, TableReplica};
use berylmount_wire::{PeerCall, PeerClient, PeerService, WireConfig, WireFault, WireRuntime};
use serde::{Deserialize, Serialize};
use std::{
    io,
    net::SocketAddr,
    sync::{
        mpsc::{sync_channel, Receiver, SyncSender},
        Arc,
    },
    thread,
    time::Duration,
};

/// Wait for one message of a peer.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// How old the platform's confirmation must be before a peer is asked for its
/// table, in milliseconds. Until then the platform itself is the quicker way.
const PLATFORM_SILENT_MS: u64 = 1_500;

/// A question about a peer's table.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
enum TableQuestion {
    /// Its head.
    Head,
    /// One shard.
    Shard(u32),
}

/// The answer to a question.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum TableReply {
    /// The head's version and the version of each shard.
    Head(u64, Vec<u64>),
    /// A shard's version and bytes; none if the peer has no such shard.
    Shard(Option<(u64, Vec<u8>)>),
}

/// Why a peer's table could not be taken.
#[derive(Debug, thiserror::Error)]
enum ShareFault {
    /// The call failed.
    #[error("{0}")]
    Wire(#[from] WireFault),
    /// What came is no table.
    #[error("{0}")]
    Table(#[from] ReplicaError),
    /// The peer answered another question.
    #[error("the peer answered another question")]
    OtherAnswer,
}

/// Answers one peer's questions until it ends the call.
///
/// # Errors
///
/// Returns the fault of the call.
pub(crate) fn answer_table(table: &TableReplica, call: PeerCall) -> Result<(), WireFault> {
    loop {
        let reply = match call.receive::<TableQuestion>(MESSAGE_TIMEOUT) {
            Ok(TableQuestion::Head) => {
                let head = table.offer();
                TableReply::Head(head.version, head.shards)
            }
            Ok(TableQuestion::Shard(index)) => {
                TableReply::Shard(table.export_shard(index as usize))
            }
            Err(WireFault::Ended) => {
                call.finish();
                return Ok(());
            }
            Err(fault) => return Err(fault),
        };
        call.send(&reply, MESSAGE_TIMEOUT)?;
    }
}

/// Asks peers for their table while the platform is silent.
pub(crate) struct TableFollower {
    table: Arc<TableReplica>,
    clock: MonotonicClock,
    sources: SyncSender<SocketAddr>,
}

impl TableFollower {
    /// Starts the thread that asks.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the thread can't be had.
    pub(crate) fn new(
        runtime: &Arc<WireRuntime>,
        table: &Arc<TableReplica>,
        clock: MonotonicClock,
    ) -> io::Result<Self> {
        let (sources, asked) = sync_channel(1);
        let client = PeerClient::new(Arc::clone(runtime), WireConfig::default());
        let following = Arc::clone(table);
        let builder = thread::Builder::new().name("table-peers".to_owned());
        builder.spawn(move || follow_peers(&client, &following, &asked))?;
        Ok(Self {
            table: Arc::clone(table),
            clock,
            sources,
        })
    }

    /// Has a member with a newer table asked, if the platform is silent.
    pub(crate) fn note_view(&self, view: &MemberView, own: &InstanceName) {
        let report = self.table.report(self.clock.now_ms());
        let silent = report
            .confirmed_age_ms
            .is_none_or(|age_ms| age_ms >= PLATFORM_SILENT_MS);
        if !silent {
            return;
        }
        let newer = view.members.iter().filter(|member| {
            let ahead = member.applied_head > report.applied;
            ahead && member.name != *own && member.state != MemberState::Dead
        });
        if let Some(member) = newer.max_by_key(|member| member.applied_head) {
            // A full channel means that a peer is being asked already.
            let _ = self.sources.try_send(member.peer_address);
        }
    }
}

/// Takes the tables of the peers that are named, one after another.
fn follow_peers(client: &PeerClient, table: &TableReplica, asked: &Receiver<SocketAddr>) {
    for address in asked {
        match take_table(client, table, address) {
            Ok(count) => {
                log::info!(target: "table", peer:% = address, shards = count; "took a peer's table");
            }
            Err(fault) => {
                log::info!(target: "table", peer:% = address; "a peer's table did not come: {fault}");
            }
        }
    }
}

/// Takes the head and the newer shards of one peer; returns how many.
fn take_table(
    client: &PeerClient,
    table: &TableReplica,
    address: SocketAddr,
) -> Result<usize, ShareFault> {
    let call = client.open(address, PeerService::Table, &TableQuestion::Head)?;
    let TableReply::Head(version, shards) = call.receive(MESSAGE_TIMEOUT)? else {
        return Err(ShareFault::OtherAnswer);
    };
    let mut count = 0;
    for index in table.accept_head(&TableHead { version, shards })? {
        let question = TableQuestion::Shard(index as u32);
        call.send(&question, MESSAGE_TIMEOUT)?;
        let TableReply::Shard(shard) = call.receive(MESSAGE_TIMEOUT)? else {
            return Err(ShareFault::OtherAnswer);
        };
        if let Some((version, bytes)) = shard {
            table.accept_shard(index, version, &bytes)?;
            count += 1;
        }
    }
    call.finish();
    Ok(count)
}
