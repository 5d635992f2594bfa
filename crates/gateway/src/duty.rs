//! The duty that one instance at a time does: it orders weights.

use crate::{
    clock::boot_ms,
    follow::FollowedKind,
    reclaim::retirable,
    state::{GatewayState, NamedWeights},
};
use berylmount_adapter::{
    objects::{decode_object, LEASE_KIND},
    store_client::{StoreFault, StoredObject, WriteOutcome},
};
use berylmount_policy::duty_lease::{
    DutyLease, LeaseAction, LeaseRecord, LeaseRole, LeaseTimes, LeaseWrite,
};
use serde_json::Value;
use std::{cell::RefCell, rc::Rc, time::Duration};
use tokio::time::sleep;

/// The name of the lease; in a later era of the store its object's name tells that.
const LEASE_NAME: &str = "weights";
/// Time between two looks at the lease.
const STEP: Duration = Duration::from_millis(100);
/// Instances that would take the lease; the others don't read it.
const CANDIDATES: usize = 3;
/// Part of the exclusion time for which a renewal is valid.
const VALID_PART: f64 = 0.5;

/// The lease as this instance sees it.
pub(crate) type SharedLease = Rc<RefCell<DutyLease>>;

/// The view of the lease at the start of a process.
pub(crate) fn new_lease(state: &GatewayState) -> SharedLease {
    let settings = state.settings();
    let exclusion = settings.bounds.lease;
    let times = LeaseTimes {
        valid_ms: exclusion.mul_f64(VALID_PART).as_millis() as u64,
        exclusion_ms: exclusion.as_millis() as u64,
    };
    let lease = DutyLease::new(&settings.name, state.started_ms, times);
    Rc::new(RefCell::new(lease))
}

/// Keeps the lease if this instance holds it, or takes it if nobody does.
pub(crate) async fn keep_lease(state: Rc<GatewayState>, lease: SharedLease) {
    let mut was_held = false;
    loop {
        sleep(STEP).await;
        if state.is_leaving() {
            release(&state, &lease).await;
            return;
        }
        lease.borrow_mut().note_era(state.store.era(), boot_ms());
        let action = {
            let role = LeaseRole {
                is_candidate: is_candidate(&state),
                has_work: has_work(&state),
            };
            lease.borrow_mut().next(boot_ms(), role)
        };
        match action {
            LeaseAction::Wait => {}
            LeaseAction::Read => read(&state, &lease).await,
            LeaseAction::Create(record) => write(&state, &lease, None, &record).await,
            LeaseAction::Replace(revision, record) => {
                write(&state, &lease, Some(revision), &record).await;
            }
            LeaseAction::Release(revision, record) => {
                let era = lease.borrow().era();
                give_up(&state, era, revision, &record).await;
            }
        }
        let is_held = lease.borrow().is_held(boot_ms());
        if is_held != was_held {
            let change = if is_held { "lease got" } else { "lease lost" };
            log::info!(target: "duty", lease = LEASE_NAME, change; "lease changed");
            was_held = is_held;
        }
    }
}

/// Whether this instance is among the few that would take the lease. It must
/// know the named weights first: the lease tells since when they are.
fn is_candidate(state: &GatewayState) -> bool {
    let weights = FollowedKind::Weights as usize;
    let knows_weights = state.replicas.borrow()[weights].is_known();
    knows_weights && state.duty_rank(LEASE_NAME, boot_ms()) < CANDIDATES
}

/// Whether the holder has anything to do.
fn has_work(state: &GatewayState) -> bool {
    let goals = state.goals.borrow();
    let runners = state.runners.borrow();
    let is_behind = |named: &NamedWeights| {
        let goal = &named.goal;
        let mut versions = runners.all().iter().map(|r| r.weights_of(&goal.model));
        versions.any(|version| version.is_some_and(|version| version < goal.version))
    };
    goals.iter().any(is_behind) || has_retired_parts(state)
}

/// Whether stores hold parts of weights that can be retired.
fn has_retired_parts(state: &GatewayState) -> bool {
    let retirable = retirable(state);
    let stores = state.stores.borrow();
    !stores.retired_parts(&retirable, 1, boot_ms()).is_empty()
}

async fn read(state: &GatewayState, lease: &SharedLease) {
    // The objects of earlier eras are read for the times of naming that they keep.
    match state.store.list(LEASE_KIND, true).await {
        Ok(listing) => {
            let now_ms = boot_ms();
            lease.borrow_mut().note_era(listing.revision.era, now_ms);
            let own_name = object_name(lease.borrow().era());
            let mut found = None;
            for object in listing.objects {
                let is_own = object.name == own_name;
                let record = decode_record(object);
                if let Some((_, record)) = &record {
                    state.apply_named(&record.named);
                }
                if is_own {
                    found = record;
                }
            }
            lease.borrow_mut().note_read(found, now_ms);
        }
        Err(fault) => log::debug!(target: "duty", fault:% ; "lease not read"),
    }
}

/// The name of the lease's object in an era of the store.
fn object_name(era: u64) -> String {
    match era {
        0 => LEASE_NAME.to_owned(),
        _ => format!("{LEASE_NAME}-{era}"),
    }
}

fn decode_record(object: StoredObject) -> Option<(u64, LeaseRecord)> {
    match decode_object::<LeaseRecord>(&object.spec) {
        Ok(record) => Some((object.revision.revision, record)),
        Err(fault) => {
            log::error!(target: "duty", fault:% ; "lease not usable");
            None
        }
    }
}

async fn write(
    state: &GatewayState,
    lease: &SharedLease,
    revision: Option<u64>,
    record: &LeaseRecord,
) {
    let sent_ms = boot_ms();
    let era = lease.borrow().era();
    let outcome = store_record(state, era, revision, record).await;
    if state.store.era() != era {
        // The write crossed the change; what it wrote is of the earlier era.
        lease.borrow_mut().note_era(state.store.era(), boot_ms());
        return;
    }
    let outcome = match outcome {
        Ok(WriteOutcome::Stored(revision)) => LeaseWrite::Stored(revision.revision),
        Ok(WriteOutcome::Conflict(found)) => {
            lease
                .borrow_mut()
                .note_write(LeaseWrite::Conflict, sent_ms, boot_ms());
            // Fresher than a reading that may lag.
            if let Some(found) = found.and_then(decode_record) {
                lease.borrow_mut().note_read(Some(found), boot_ms());
            }
            return;
        }
        Ok(WriteOutcome::Missing) => LeaseWrite::Conflict,
        // Nothing was done, so the next step tries the same write again.
        Err(StoreFault::Refused(_)) => return,
        Err(fault) => {
            log::warn!(target: "duty", fault:% ; "lease perhaps written");
            LeaseWrite::Unclear
        }
    };
    lease.borrow_mut().note_write(outcome, sent_ms, boot_ms());
}

async fn store_record(
    state: &GatewayState,
    era: u64,
    revision: Option<u64>,
    record: &LeaseRecord,
) -> Result<WriteOutcome, StoreFault> {
    let record = LeaseRecord {
        named: state.named_records(),
        ..record.clone()
    };
    let spec: Value = serde_json::to_value(&record).unwrap_or_default();
    let (store, name) = (&state.store, object_name(era));
    match revision {
        None => store.create(LEASE_KIND, &name, &spec).await,
        Some(revision) => store.replace(LEASE_KIND, &name, revision, &spec).await,
    }
}

async fn release(state: &GatewayState, lease: &SharedLease) {
    let era = lease.borrow().era();
    let released = lease.borrow_mut().release(boot_ms());
    if let Some((revision, record)) = released {
        give_up(state, era, revision, &record).await;
    }
}

/// Writes that the lease is given up; without the write it lapses.
async fn give_up(state: &GatewayState, era: u64, revision: u64, record: &LeaseRecord) {
    match store_record(state, era, Some(revision), record).await {
        Ok(_) => log::info!(target: "duty", lease = LEASE_NAME; "lease released"),
        Err(fault) => log::warn!(target: "duty", fault:% ; "lease not released, it lapses"),
    }
}
