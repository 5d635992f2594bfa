//! Asks peers for their table while the platform is silent.
//!
//! A process that can't reach the platform, or that has just started during an
//! outage, still gets the newest table that any of its peers has applied.

use berylmount_model::MonotonicClock;
use berylmount_peers::{newer_member, pull_table, MemberView};
use berylmount_table::TableReplica;
use berylmount_wire::{PeerClient, WireConfig, WireRuntime};
use std::{
    io,
    net::SocketAddr,
    sync::{
        atomic::{AtomicUsize, Ordering},
        mpsc::{sync_channel, Receiver, SyncSender},
        Arc,
    },
    thread,
};

/// How old the platform's confirmation must be before a peer is asked for its
/// table, in milliseconds. Until then the platform itself is the quicker way.
const PLATFORM_STALE_MS: u64 = 1_500;

/// Asks peers for their table while the platform is silent.
pub(crate) struct TableFollower {
    table: Arc<TableReplica>,
    clock: MonotonicClock,
    sources: SyncSender<SocketAddr>,
    /// Counts the questions, so that each goes to another peer.
    turn: AtomicUsize,
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
            turn: AtomicUsize::new(0),
        })
    }

    /// Has a member with a newer table asked, if the platform is silent.
    pub(crate) fn note_view(&self, view: &MemberView) {
        let report = self.table.report(self.clock.now_ms());
        let silent = report
            .confirmed_age_ms
            .is_none_or(|age_ms| age_ms >= PLATFORM_STALE_MS);
        if !silent {
            return;
        }
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        if let Some(member) = newer_member(view, report.applied, turn) {
            // A full channel means that a peer is being asked already.
            let _ = self.sources.try_send(member.peer_address);
        }
    }
}

/// Takes the tables of the peers that are named, one after another.
fn follow_peers(client: &PeerClient, table: &TableReplica, asked: &Receiver<SocketAddr>) {
    for address in asked {
        match pull_table(client, address, table) {
            Ok(()) => log::info!(target: "table", peer:% = address; "took a peer's table"),
            Err(fault) => log::info!(target: "table", peer:% = address; "{fault}"),
        }
    }
}
