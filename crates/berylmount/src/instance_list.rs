//! The platform's list of instances, and passing it on between processes.
//!
//! A process that starts while the platform is out would know no target. It
//! asks its peers for the list that they read last; once the platform answers,
//! its own list counts.

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

/// Wait for one message of a peer.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Peers asked in one round.
const PEERS_ASKED: usize = 3;

/// The list as this process knows it; shared by its threads.
#[derive(Debug, Default)]
pub(crate) struct InstanceList {
    records: Mutex<Option<Arc<Vec<InstanceRecord>>>>,
    /// The version of the list that the platform gave last.
    version: AtomicU64,
}

impl InstanceList {
    /// The list that was read last, if one ever was.
    pub(crate) fn records(&self) -> Option<Arc<Vec<InstanceRecord>>> {
        let records = self.records.lock();
        records.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Keeps a newer list.
    fn set(&self, records: Vec<InstanceRecord>) -> Arc<Vec<InstanceRecord>> {
        let records = Arc::new(records);
        let mut kept = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        *kept = Some(Arc::clone(&records));
        records
    }

    /// Reads the platform's list; one that has not changed is not sent again.
    ///
    /// # Errors
    ///
    /// Returns the platform's fault; the list known before stays.
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

    /// Asks live members for their list, if this process never had one.
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
        log::info!(target: "peers", instances = records.len(); "took a peer's list of instances");
        Some(self.set(records))
    }

    /// Answers a peer that asks for the list.
    ///
    /// # Errors
    ///
    /// Returns the fault of the call.
    pub(crate) fn serve(&self, call: PeerCall) -> Result<(), WireFault> {
        let () = call.receive(MESSAGE_TIMEOUT)?;
        let records = self.records();
        call.send(&records.as_deref(), MESSAGE_TIMEOUT)?;
        call.finish();
        Ok(())
    }
}
