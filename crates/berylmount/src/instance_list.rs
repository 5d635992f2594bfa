//! The platform's list of instances, and its exchange between processes.
//!
//! A process that starts during a platform outage has no list and so no
//! targets. It asks its peers for the list that they read last. Once the
//! platform answers, the process uses the platform's list.

use berylmount_model::InstanceRecord;
use berylmount_objects::{ObjectStore, StoreError};
use berylmount_peers::{MemberState, MemberView};
use berylmount_wire::{PeerCall, PeerClient, PeerService, WireFault};
use std::{
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex, PoisonError,
    },
    time::Duration,
};

/// Timeout for sending a message to a peer or receiving one from it.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of peers asked in one round.
const PEERS_ASKED: usize = 3;

/// The last known list of instances, shared by the threads of the process.
#[derive(Debug, Default)]
pub(crate) struct InstanceList {
    records: Mutex<Option<Arc<Vec<InstanceRecord>>>>,
    /// Version of the list that the platform returned last.
    version: AtomicU64,
}

impl InstanceList {
    /// Returns the list that was read last, or `None` if there was none yet.
    pub(crate) fn records(&self) -> Option<Arc<Vec<InstanceRecord>>> {
        let records = self.records.lock();
        records.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the list with a newer one.
    fn set(&self, records: Vec<InstanceRecord>) -> Arc<Vec<InstanceRecord>> {
        let records = Arc::new(records);
        let mut kept = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        *kept = Some(Arc::clone(&records));
        records
    }

    /// Reads the platform's list; the platform does not resend an unchanged list.
    ///
    /// # Errors
    ///
    /// Returns the platform's error; the previous list is kept.
    pub(crate) fn read(
        &self,
        store: &dyn ObjectStore,
    ) -> Result<Arc<Vec<InstanceRecord>>, StoreError> {
        let known = self.version.load(Ordering::Relaxed);
        let Some(listing) = store.instances_after(known)? else {
            return Ok(self.records().unwrap_or_default());
        };
        self.version.store(listing.version, Ordering::Relaxed);
        Ok(self.set(listing.records))
    }

    /// Asks live members for their list, if this process has none yet.
    pub(crate) fn fetch_from_peers(
        &self,
        client: &PeerClient,
        view: &MemberView,
    ) -> Option<Arc<Vec<InstanceRecord>>> {
        if self.records().is_some() {
            return None;
        }
        let live = view
            .members
            .iter()
            .filter(|member| member.state == MemberState::Live && member.heard_ms.is_some());
        let records = live.take(PEERS_ASKED).find_map(|member| {
            let call = client
                .open(member.peer_address, PeerService::Instances, &())
                .ok()?;
            let records = call.receive::<Option<Vec<InstanceRecord>>>(MESSAGE_TIMEOUT);
            call.finish();
            records.ok().flatten()
        })?;
        log::info!(target: "peers", instances = records.len(); "using the list of instances from a peer");
        Some(self.set(records))
    }

    /// Sends the list to a peer that asks for it.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    pub(crate) fn serve(&self, call: PeerCall) -> Result<(), WireFault> {
        let () = call.receive(MESSAGE_TIMEOUT)?;
        let records = self.records();
        call.send(&records.as_deref(), MESSAGE_TIMEOUT)?;
        call.finish();
        Ok(())
    }
}
