//! The lease that makes one instance at a time responsible for rolling out weights.

use crate::{
    clock::boot_ms,
    process::MIN_DRAIN_TIME,
    reclaim::retirable_weights,
    state::{DesiredWeights, GatewayState, GRACE_FRACTION},
    store_watch::WatchedKind,
};
use berylmount_adapter::{
    objects::{decode_object, LEASE_KIND},
    store_client::{StoreFault, StoredObject, WriteOutcome},
};
use berylmount_policy::duty_lease::{
    DutyLease, LeaseAction, LeaseRecord, LeaseRole, LeaseTimes, LeaseWrite, OrderWaits,
};
use serde_json::Value;
use std::{cell::RefCell, future::ready, rc::Rc, time::Duration};
use tokio::time::sleep;

/// Name of the lease. In later eras of the store, the name of the lease object
/// also contains the era.
const LEASE_NAME: &str = "weights";
/// Time between two checks of the lease.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which planned orders are gathered before the lease records them.
const PLAN_BATCH_TIME: Duration = Duration::from_millis(10);
/// Number of instances that compete for the lease. The others do not read it.
const MAX_CANDIDATES: usize = 3;
/// Fraction of the exclusion time for which the holder may act after it sent a renewal.
/// The exclusion time is the minimum time between actions of two holders.
const VALID_FRACTION: f64 = 0.5;

/// Time before the earliest end of a draining process at which it releases the lease at the
/// latest.
const RELEASE_TIME: Duration = Duration::from_millis(500);

/// This instance's view of the lease, shared between tasks.
pub(crate) type SharedLease = Rc<RefCell<DutyLease>>;

/// Creates the view of the lease at the start of a process.
pub(crate) fn new_lease(state: &GatewayState) -> SharedLease {
    let settings = state.settings();
    let exclusion = settings.bounds.lease;
    let times = LeaseTimes {
        valid_ms: exclusion.mul_f64(VALID_FRACTION).as_millis() as u64,
        exclusion_ms: exclusion.as_millis() as u64,
    };
    let lease = DutyLease::new(&settings.name, state.started_ms, times);
    Rc::new(RefCell::new(lease))
}

/// Renews the lease while this instance holds it, and acquires it while nobody does. When the
/// process drains, it hands the lease over as soon as another instance can take it.
pub(crate) async fn run_lease(state: Rc<GatewayState>, lease: SharedLease) {
    let mut was_held = false;
    let mut is_urgent = false;
    loop {
        // The request time of new weights is lost with all processes until it is stored. One
        // candidate hurries, since the others would only lose the race.
        let is_first = state.staying_rank(LEASE_NAME, boot_ms()) == 0;
        tokio::select! {
            () = sleep(POLL_INTERVAL), if !is_urgent => {}
            () = ready(()), if is_urgent => {}
            () = state.weights_requested.notified(), if is_first => {}
            // One write records the orders that are planned at about the same time.
            () = state.order_planned.notified() => sleep(PLAN_BATCH_TIME).await,
        }
        is_urgent = false;
        if state.is_draining() && !keeps_lease(&state, &lease) {
            release(&state, &lease).await;
            return;
        }
        lease.borrow_mut().note_era(state.store.era(), boot_ms());
        let action = {
            let reaches_runners = reaches_runners(&state);
            let role = LeaseRole {
                is_candidate: reaches_runners && is_candidate(&state),
                has_work: reaches_runners && has_work(&state),
            };
            lease.borrow_mut().next(boot_ms(), role)
        };
        match action {
            LeaseAction::Wait => {}
            LeaseAction::Read => {
                let is_read = read(&state, &lease).await;
                is_urgent = is_read && is_first && has_work(&state);
            }
            LeaseAction::Create(record) => write(&state, &lease, None, &record).await,
            LeaseAction::Replace(revision, record) => {
                write(&state, &lease, Some(revision), &record).await;
            }
            LeaseAction::Release(revision, record) => {
                let era = lease.borrow().era();
                write_release(&state, era, revision, &record).await;
            }
        }
        let is_held = lease.borrow().is_held(boot_ms());
        if is_held != was_held {
            log_change(&lease.borrow(), boot_ms());
            was_held = is_held;
        }
    }
}

/// Logs that the lease was acquired, and for how long orders must wait, or that it was lost.
fn log_change(lease: &DutyLease, now_ms: u64) {
    match lease.order_waits(now_ms) {
        Some(waits) => {
            let OrderWaits {
                term,
                source,
                unlisted_ms,
                listed_ms,
                listed,
            } = waits;
            log::info!(
                target: "duty",
                lease = LEASE_NAME, term, source:%, unlisted_ms, listed_ms, listed;
                "lease acquired"
            );
        }
        None => log::info!(target: "duty", lease = LEASE_NAME; "lease lost"),
    }
}

/// Whether this instance, which is draining, keeps the lease because no other instance can
/// take it yet.
fn keeps_lease(state: &GatewayState, lease: &SharedLease) -> bool {
    let now_ms = boot_ms();
    let grace = state.settings().bounds.grace.mul_f64(GRACE_FRACTION);
    let elapsed = Duration::from_millis(state.drain_elapsed_ms());
    let is_ending = elapsed + RELEASE_TIME >= MIN_DRAIN_TIME.min(grace);
    lease.borrow().is_held(now_ms) && !is_ending && !state.peers.borrow().has_ready(now_ms)
}

/// Whether this instance competes for the lease. It must know the requested
/// weights first, because the lease record states when they were requested.
fn is_candidate(state: &GatewayState) -> bool {
    let weights = WatchedKind::Weights as usize;
    let knows_weights = state.replicas.borrow()[weights].is_synced();
    knows_weights
        && !state.is_draining()
        && state.staying_rank(LEASE_NAME, boot_ms()) < MAX_CANDIDATES
}

/// Whether this instance has a path to the runners that load weights. Orders are not sent
/// through other instances, because a runner takes each instance for a holder of its own.
fn reaches_runners(state: &GatewayState) -> bool {
    let closed = state.service_paths.closed();
    let ordered = state.ordered_services();
    !ordered
        .iter()
        .any(|service| closed.binary_search(service).is_ok())
}

/// Whether the lease holder has work: runners with outdated weights, or cached parts
/// that can be retired.
fn has_work(state: &GatewayState) -> bool {
    let desired_weights = state.desired_weights.borrow();
    let runners = state.runners.borrow();
    let has_outdated_runner = |desired: &DesiredWeights| {
        let goal = &desired.goal;
        let mut versions = runners.all().iter().map(|r| r.weights_of(&goal.model));
        versions.any(|version| version.is_some_and(|version| version < goal.version))
    };
    desired_weights.iter().any(has_outdated_runner) || has_retired_parts(state)
}

/// Whether stores hold cached parts of weights that can be retired.
fn has_retired_parts(state: &GatewayState) -> bool {
    let retirable_weights = retirable_weights(state);
    let stores = state.stores.borrow();
    !stores
        .retired_parts(&retirable_weights, 1, boot_ms())
        .is_empty()
}

/// Reads the lease; returns whether that succeeded.
async fn read(state: &GatewayState, lease: &SharedLease) -> bool {
    // Lease objects from earlier eras of the store still record when weights were
    // requested.
    match state.store.list(LEASE_KIND, true).await {
        Ok(listing) => {
            let now_ms = boot_ms();
            lease.borrow_mut().note_era(listing.revision.era, now_ms);
            let current_name = object_name(lease.borrow().era());
            let mut found = None;
            for object in listing.objects {
                let is_current = object.name == current_name;
                let record = decode_record(object);
                if let Some((_, record)) = &record {
                    state.apply_request_times(&record.named);
                }
                if is_current {
                    found = record;
                }
            }
            lease.borrow_mut().note_read(found, now_ms);
            true
        }
        Err(fault) => {
            log::debug!(target: "duty", fault:% ; "could not read the lease");
            false
        }
    }
}

/// Returns the name of the lease object in an era of the store.
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
            log::error!(target: "duty", fault:% ; "could not decode the lease record");
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
        // The era changed during the write, so the record belongs to the earlier era.
        lease.borrow_mut().note_era(state.store.era(), boot_ms());
        return;
    }
    let outcome = match outcome {
        Ok(WriteOutcome::Stored(revision)) => LeaseWrite::Stored(revision.revision),
        Ok(WriteOutcome::Conflict(found)) => {
            lease
                .borrow_mut()
                .note_write(LeaseWrite::Conflict, sent_ms, boot_ms());
            // More recent than a list response, which may be stale.
            if let Some(found) = found.and_then(decode_record) {
                lease.borrow_mut().note_read(Some(found), boot_ms());
            }
            return;
        }
        Ok(WriteOutcome::Missing) => LeaseWrite::Conflict,
        // Nothing was written, so the next iteration retries the same write.
        Err(StoreFault::Refused(_)) => return,
        Err(fault) => {
            log::warn!(target: "duty", fault:% ; "outcome of the lease write is unknown");
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
        named: state.request_times(),
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
        write_release(state, era, revision, &record).await;
    }
}

/// Writes that the lease is released. If the write fails, the lease expires.
async fn write_release(state: &GatewayState, era: u64, revision: u64, record: &LeaseRecord) {
    match store_record(state, era, Some(revision), record).await {
        Ok(_) => log::info!(target: "duty", lease = LEASE_NAME; "lease released"),
        Err(fault) => {
            log::warn!(target: "duty", fault:% ; "could not release the lease, it will expire")
        }
    }
}
