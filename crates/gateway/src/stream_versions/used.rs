//! The versions that instances may have used, in the object store.
//!
//! An instance begins streams at a later version of a service only after it has stored that it
//! uses it, which is one write per instance and release. So the streams of which a lost instance
//! has not told can have begun only at the versions that it had stored, and the first one.

use super::{kept_ms, list_turn::ListTurn, COMPARE_INTERVAL};
use crate::{clock::boot_ms, state::GatewayState};
use berylmount_adapter::{
    objects::{decode_object, USED_SOFTWARE_KIND},
    store_client::{StoreFault, StoredObject, WriteOutcome},
};
use berylmount_model::unix_ms;
use berylmount_policy::software_versions::{
    AskedProcess, OriginSearch, UsedVersions, VersionHistory,
};
use rand::{rng, RngExt};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};
use tokio::{sync::Notify, time::sleep};

/// Fraction of the store's writes that all instances together use after a release.
const WRITE_FRACTION: f64 = 0.15;
/// Encoded size of what an instance stores, in bytes.
const USED_BYTES: u64 = 400;
/// Time between two attempts to write.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum number of objects of removed instances that a listing deletes.
const MAX_DELETED: usize = 4;

/// What instances have stored about the versions that they may use.
#[derive(Debug, Default)]
pub(crate) struct UsedRecords {
    /// What this instance has stored.
    own: RefCell<UsedVersions>,
    /// Revision of the object; 0 if there is none, `None` if that is not known.
    revision: Cell<Option<u64>>,
    /// Wakes the task that stores it, if no stream can begin before.
    wanted: Notify,
    /// When the versions of all instances may be listed again.
    turn: ListTurn,
    /// The last listing.
    listing: RefCell<Option<UsedListing>>,
}

/// What all instances have stored.
#[derive(Debug)]
struct UsedListing {
    /// Number of the read in which it was listed.
    read: u64,
    era: u64,
    records: Vec<ListedRecord>,
}

/// What an instance has stored.
#[derive(Debug)]
struct ListedRecord {
    /// Name of the instance.
    name: String,
    revision: u64,
    /// `None` if it does not decode.
    used: Option<UsedVersions>,
}

impl UsedListing {
    /// Whether an object is here and belongs to a removed instance all of whose versions have
    /// left. A record that was listed before the history was read lacks no version of it.
    fn is_over(&self, state: &GatewayState, object: &StoredObject) -> bool {
        let known = self.records.iter().find(|known| known.name == object.name);
        let known = known.filter(|known| known.revision == object.revision.revision);
        let used = known.and_then(|known| known.used.as_ref());
        let Some((used, history)) = used.zip(state.stream_versions.history()) else {
            return false;
        };
        !state.instances.borrow().contains(&object.name) && !used.names_version_of(&history)
    }
}

impl UsedRecords {
    /// Whether this instance has stored that it uses a version.
    pub(super) fn contains(&self, service: &str, version: &str) -> bool {
        self.own.borrow().contains(service, version)
    }

    /// Stores the versions in service without the wait that spreads the writes of a fleet.
    pub(super) fn store_now(&self) {
        self.wanted.notify_one();
    }

    /// Whether the listing was made in a read with this number or a later one, or is not needed
    /// because the number is 0.
    pub(super) fn is_listed_since(&self, read: u64) -> bool {
        let listing = self.listing.borrow();
        read == 0 || listing.as_ref().is_some_and(|listing| listing.read >= read)
    }

    /// Returns the only version at which a stream can have begun that none of the processes
    /// that were asked knows.
    pub(super) fn only_origin(
        &self,
        state: &GatewayState,
        history: &VersionHistory,
        service: &str,
        asked: &[(String, AskedProcess)],
    ) -> Option<String> {
        let (now_ms, kept_ms) = (unix_ms(), kept_ms(state));
        let listing = self.listing.borrow();
        let listing = listing.as_ref()?;
        let mut search = OriginSearch::new(history, service, listing.era, now_ms, kept_ms);
        let process_of = |name: &str| {
            let found = asked.iter().find(|(asked, _)| asked == name);
            found.map(|(_, process)| *process)
        };
        for record in &listing.records {
            match &record.used {
                Some(used) => search.add_instance(Some(used), process_of(&record.name)),
                None => search.add_unknown(),
            }
        }
        let instances = state.instances.borrow();
        if !instances.all_record(now_ms.saturating_sub(kept_ms)) {
            search.add_unknown();
        }
        search.version().map(str::to_owned)
    }
}

/// Stores the versions that this instance is to use, when they change.
pub(crate) async fn store_used(state: Rc<GatewayState>) {
    let used = &state.stream_versions.used;
    let mut due_ms = None;
    let mut moves = state.store.source().moves;
    loop {
        let is_urgent = tokio::select! {
            () = used.wanted.notified() => true,
            () = sleep(COMPARE_INTERVAL) => false,
        };
        let Some(history) = state.stream_versions.history() else {
            continue;
        };
        let is_moved = moves != state.store.source().moves;
        if !is_moved && !used.own.borrow().lacks(&history, state.store.era()) {
            due_ms = None;
            continue;
        }
        let due_at_ms = *due_ms.get_or_insert_with(|| boot_ms() + write_delay_ms(&state));
        if !is_urgent && boot_ms() < due_at_ms {
            continue;
        }
        if is_moved {
            // The store at another address may lack what was stored.
            used.revision.set(None);
            *used.listing.borrow_mut() = None;
        }
        let read_moves = state.store.source().moves;
        match store_own(&state, &history).await {
            Ok(()) => moves = read_moves,
            Err(fault) => {
                log::warn!(target: "software", fault:% ; "could not store the used software versions");
                sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Returns a random delay, so that the writes of a large fleet are spread.
fn write_delay_ms(state: &GatewayState) -> u64 {
    let writes_per_s = state.settings().store.writes_per_s * WRITE_FRACTION;
    let span_s = state.instance_count() as f64 / writes_per_s.max(1.0);
    rng().random_range(0..=(span_s * 1000.0) as u64)
}

/// Stores the versions in service as used by this instance, which may use them from then on.
async fn store_own(state: &GatewayState, history: &VersionHistory) -> Result<(), StoreFault> {
    let used = &state.stream_versions.used;
    let name = &state.settings().name;
    let revision = match used.revision.get() {
        Some(revision) => revision,
        None => {
            let found = state.store.get(USED_SOFTWARE_KIND, name, false).await?;
            let revision = found.as_ref().map_or(0, |object| object.revision.revision);
            let known = found.map(|object| decode_record(&object));
            // What an earlier process has used is not known then.
            let known = known.map(|known| known.unwrap_or_else(|| UsedVersions::all(history)));
            *used.own.borrow_mut() = known.unwrap_or_default();
            used.revision.set(Some(revision));
            revision
        }
    };
    let era = state.store.era();
    if !used.own.borrow().lacks(history, era) {
        return Ok(());
    }
    let next = used.own.borrow().extended(history, state.started_ms, era);
    let spec = match serde_json::to_value(&next) {
        Ok(spec) => spec,
        Err(fault) => {
            log::error!(target: "software", fault:% ; "could not encode the used software versions");
            return Ok(());
        }
    };
    // Whether a write that fails is executed later is not known.
    used.revision.set(None);
    let store = &state.store;
    let outcome = match revision {
        0 => store.create(USED_SOFTWARE_KIND, name, &spec).await?,
        revision => {
            let written = store.replace(USED_SOFTWARE_KIND, name, revision, &spec);
            written.await?
        }
    };
    match outcome {
        WriteOutcome::Stored(revision) => {
            log::info!(target: "software", versions:? = next.versions; "stored the used software versions");
            used.revision.set(Some(revision.revision));
            *used.own.borrow_mut() = next;
        }
        WriteOutcome::Conflict(_) | WriteOutcome::Missing => {
            log::warn!(target: "software", name; "used software versions were changed in the store");
        }
    }
    Ok(())
}

fn decode_record(object: &StoredObject) -> Option<UsedVersions> {
    match decode_object(&object.spec) {
        Ok(record) => Some(record),
        Err(fault) => {
            log::error!(target: "software", name = object.name, fault:% ; "used software versions do not decode");
            None
        }
    }
}

/// Lists what all instances have stored, in the read with this number. Deletes some objects of
/// removed instances whose versions have left by the history that was read since the listing
/// before.
pub(super) async fn list_used(state: &GatewayState, read: u64) -> Result<(), StoreFault> {
    let turn = &state.stream_versions.used.turn;
    if !turn.wait(state).await {
        return Ok(());
    }
    let listing = state.store.list(USED_SOFTWARE_KIND, false).await?;
    turn.note_listed(state, listing.objects.len() as u64 * USED_BYTES);
    let records = listing.objects.iter().map(|object| ListedRecord {
        name: object.name.clone(),
        revision: object.revision.revision,
        used: decode_record(object),
    });
    let next = UsedListing {
        read,
        era: listing.revision.era,
        records: records.collect(),
    };
    let before = state.stream_versions.used.listing.replace(Some(next));
    let before = before.filter(|before| before.era == listing.revision.era);
    let is_over = |object: &&StoredObject| {
        let before = before.as_ref();
        before.is_some_and(|before| before.is_over(state, object))
    };
    let over: Vec<&StoredObject> = listing.objects.iter().filter(is_over).collect();
    for object in over.into_iter().take(MAX_DELETED) {
        let revision = object.revision.revision;
        let deleted = state
            .store
            .delete(USED_SOFTWARE_KIND, &object.name, revision);
        deleted.await?;
    }
    Ok(())
}
