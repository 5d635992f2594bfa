//! Fetches the table from peers while the platform does not answer.
//!
//! A process that can't reach the platform, or that starts during an outage,
//! still gets the newest table that any of its peers has applied.

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

/// Age of the platform's last confirmation, in milliseconds, from which a peer
/// is asked for its table. Until then, the platform is the faster source.
const PLATFORM_STALE_MS: u64 = 1_500;

/// Fetches the table from peers while the platform does not answer.
pub(crate) struct TableFollower {
    table: Arc<TableReplica>,
    clock: MonotonicClock,
    sources: SyncSender<SocketAddr>,
    /// Counts the requests, so that they rotate among the peers.
    turn: AtomicUsize,
}

impl TableFollower {
    /// Starts the thread that fetches tables from peers.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the thread can't be started.
    pub(crate) fn new(
        runtime: &Arc<WireRuntime>,
        table: &Arc<TableReplica>,
        clock: MonotonicClock,
    ) -> io::Result<Self> {
        let (sources, addresses) = sync_channel(1);
        let client = PeerClient::new(Arc::clone(runtime), WireConfig::default());
        let following = Arc::clone(table);
        let builder = thread::Builder::new().name("table-peers".to_owned());
        builder.spawn(move || follow_peers(&client, &following, &addresses))?;
        Ok(Self {
            table: Arc::clone(table),
            clock,
            sources,
            turn: AtomicUsize::new(0),
        })
    }

    /// Requests the table from a member that has a newer one, if the platform's
    /// last confirmation is too old.
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
            // A full channel means that a request to a peer is already pending.
            let _ = self.sources.try_send(member.peer_address);
        }
    }
}

/// Fetches the tables of the peers at the received addresses, one at a time.
fn follow_peers(client: &PeerClient, table: &TableReplica, addresses: &Receiver<SocketAddr>) {
    for address in addresses {
        match pull_table(client, address, table) {
            Ok(()) => {
                log::info!(target: "table", peer:% = address; "fetched the table from a peer")
            }
            Err(fault) => log::info!(target: "table", peer:% = address; "{fault}"),
        }
    }
}
