//! Blamed prompt parts in the object store.
//!
//! They outlive a restart of all processes there. Only analysts write, and only when parts
//! are blamed or forgotten.

use super::{adopt, blame_name};
use crate::{clock::boot_ms, state::GatewayState};
use berylmount_adapter::{
    objects::{decode_object, BLAMED_PART_KIND},
    store_client::{StoreFault, StoredObject, WriteOutcome},
};
use berylmount_model::unix_ms;
use berylmount_policy::blamed_parts::{BlameReport, BLAME_MS, PROBATION_MS};
use serde::{Deserialize, Serialize};
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

/// Time between two attempts to read or write blamed parts.
const STORE_INTERVAL: Duration = Duration::from_millis(500);

/// Blamed parts as they are stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct BlameRecord {
    /// Keys of the parts in hexadecimal digits.
    parts: Vec<String>,
    /// Whether they are blamed for good, not provisionally.
    is_certain: bool,
    /// When they were blamed, in Unix milliseconds.
    blamed_ms: u64,
}

/// A record in the store, as far as this process knows.
#[derive(Clone, Debug)]
struct StoredRecord {
    name: String,
    record: BlameRecord,
    revision: u64,
}

impl BlameRecord {
    fn of(report: &BlameReport) -> Self {
        let parts = report.parts.iter().map(|part| format!("{part:x}"));
        Self {
            parts: parts.collect(),
            is_certain: report.is_certain,
            blamed_ms: unix_ms().saturating_sub(report.age_ms),
        }
    }

    fn age_ms(&self) -> u64 {
        unix_ms().saturating_sub(self.blamed_ms)
    }

    fn is_forgotten(&self) -> bool {
        let kept_ms = if self.is_certain {
            BLAME_MS
        } else {
            PROBATION_MS
        };
        self.age_ms() >= kept_ms
    }
}

/// Reads the blamed parts at the start of the process. Afterwards stores those that are
/// blamed, if this instance is an analyst.
pub(crate) async fn store_blamed_parts(state: Rc<GatewayState>) {
    let mut stored = loop {
        match load(&state).await {
            Ok(stored) => break stored,
            Err(fault) => {
                log::warn!(target: "parts", fault:% ; "could not read the blamed parts");
                sleep(STORE_INTERVAL).await;
            }
        }
    };
    state.crash_parts.is_informed.set(true);
    let mut era = state.store.era();
    loop {
        sleep(STORE_INTERVAL).await;
        if state.store.era() != era {
            // The backup may lack some of them.
            era = state.store.era();
            stored.clear();
        }
        if state.crash_parts.is_analyst.get() {
            let reports = state.crash_parts.blamed.borrow_mut().reports(boot_ms());
            for report in &reports {
                write(&state, report, &mut stored).await;
            }
            delete_forgotten(&state, &mut stored).await;
        }
    }
}

async fn load(state: &GatewayState) -> Result<Vec<StoredRecord>, StoreFault> {
    let listing = state.store.list(BLAMED_PART_KIND, false).await?;
    let mut stored = Vec::new();
    for object in &listing.objects {
        let Some((record, parts)) = decode_record(object) else {
            continue;
        };
        let report = BlameReport {
            parts,
            is_certain: record.is_certain,
            age_ms: record.age_ms(),
        };
        adopt(state, &report, "store");
        stored.push(StoredRecord {
            name: object.name.clone(),
            record,
            revision: object.revision.revision,
        });
    }
    Ok(stored)
}

fn decode_record(object: &StoredObject) -> Option<(BlameRecord, Vec<u64>)> {
    let decoded = decode_object::<BlameRecord>(&object.spec).map_err(|fault| fault.to_string());
    let decoded = decoded.and_then(|record| {
        let parts = record
            .parts
            .iter()
            .map(|part| u64::from_str_radix(part, 16));
        let parts = parts.collect::<Result<Vec<u64>, _>>();
        let mut parts = parts.map_err(|fault| fault.to_string())?;
        parts.sort_unstable();
        Ok((record, parts))
    });
    match decoded {
        Ok(decoded) => Some(decoded),
        Err(fault) => {
            log::warn!(target: "parts", name = object.name, fault; "ignored blamed parts that do not decode");
            None
        }
    }
}

/// Stores blamed parts unless the store has them.
async fn write(state: &GatewayState, report: &BlameReport, stored: &mut Vec<StoredRecord>) {
    let (name, record) = (blame_name(&report.parts), BlameRecord::of(report));
    let known = stored.iter().position(|known| known.name == name);
    let known = known.map(|index| stored.remove(index));
    if let Some(known) = &known {
        let is_stored = known.record.is_certain || !record.is_certain;
        if is_stored && !known.record.is_forgotten() {
            return stored.extend([known.clone()]);
        }
    }
    let spec = match serde_json::to_value(&record) {
        Ok(spec) => spec,
        Err(fault) => {
            return log::error!(target: "parts", fault:% ; "could not encode blamed parts");
        }
    };
    let outcome = match &known {
        None => state.store.create(BLAMED_PART_KIND, &name, &spec).await,
        Some(known) => {
            let written = state
                .store
                .replace(BLAMED_PART_KIND, &name, known.revision, &spec);
            written.await
        }
    };
    match outcome {
        Ok(WriteOutcome::Stored(revision)) => stored.push(StoredRecord {
            name,
            record,
            revision: revision.revision,
        }),
        // Another analyst has written them; the next round compares.
        Ok(WriteOutcome::Conflict(Some(found))) => {
            if let Some((record, _)) = decode_record(&found) {
                stored.push(StoredRecord {
                    name,
                    record,
                    revision: found.revision.revision,
                });
            }
        }
        Ok(WriteOutcome::Conflict(None) | WriteOutcome::Missing) => {}
        Err(fault) => {
            log::warn!(target: "parts", fault:% ; "could not store blamed parts");
            stored.extend(known);
        }
    }
}

async fn delete_forgotten(state: &GatewayState, stored: &mut Vec<StoredRecord>) {
    let forgotten = stored.extract_if(.., |known| known.record.is_forgotten());
    for known in forgotten.collect::<Vec<_>>() {
        let deleted = state
            .store
            .delete(BLAMED_PART_KIND, &known.name, known.revision);
        // What is left in the store is ignored because of its age.
        if let Err(fault) = deleted.await {
            log::warn!(target: "parts", fault:% ; "could not delete forgotten parts");
        }
    }
}
