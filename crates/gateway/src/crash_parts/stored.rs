//! Blamed parts, and the evidence against suspects, in the object store.
//!
//! They outlive a restart of all processes there. Only analysts write, and only when parts
//! are blamed, crash a further runner, or are forgotten.

use super::{adopt, blame_name};
use crate::{clock::boot_ms, state::GatewayState};
use berylmount_adapter::{
    objects::{decode_object, BLAMED_PART_KIND},
    store_client::{StoreFault, StoredObject, WriteOutcome},
};
use berylmount_model::unix_ms;
use berylmount_policy::{
    blamed_parts::{BlameReport, BLAME_MS, PROBATION_MS},
    part_evidence::EVIDENCE_MS,
    part_verdicts::{CrashRecord, SuspectRecord},
};
use serde::{Deserialize, Serialize};
use std::{num::ParseIntError, ops::RangeInclusive, rc::Rc, time::Duration};
use tokio::time::{sleep, timeout};

/// Time between two attempts to read the objects.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two checks whether objects are to be written. Evidence of the last one is lost
/// if all processes end.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// Shortest and longest time limit of a write. It grows after each write without a response, so
/// that a slow store is written to and a call that was lost in an outage delays the next one
/// little.
const WRITE_LIMIT: RangeInclusive<Duration> =
    Duration::from_millis(300)..=Duration::from_millis(1500);

/// Blamed parts as they are stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct BlameRecord {
    /// Keys of the parts in hexadecimal digits.
    parts: Vec<String>,
    /// Whether they are blamed for good, not provisionally.
    is_certain: bool,
    /// When they were blamed, in Unix milliseconds.
    blamed_ms: u64,
}

/// A runner that crashed, as it is stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct StoredCrash {
    /// Key of the runner and its start, in hexadecimal digits.
    runner: String,
    /// When it crashed, in Unix milliseconds.
    at_ms: u64,
    /// Time from sending the request until then, in milliseconds.
    ran_ms: u64,
}

/// Evidence against a part as it is stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct EvidenceRecord {
    /// Key of the part in hexadecimal digits.
    suspect: String,
    /// Key of the service in hexadecimal digits.
    service: String,
    crashes: Vec<StoredCrash>,
}

/// The content of an object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(untagged)]
pub(crate) enum PartRecord {
    Blame(BlameRecord),
    Evidence(EvidenceRecord),
}

/// What an object states, with keys as numbers.
enum DecodedRecord {
    Blame(BlameReport),
    Suspect(SuspectRecord),
}

/// A record in the store, as far as this process knows.
#[derive(Clone, Debug)]
struct StoredRecord {
    name: String,
    record: PartRecord,
    revision: u64,
}

impl BlameRecord {
    fn of(report: &BlameReport) -> Self {
        Self {
            parts: report.parts.iter().map(|part| hex_key(*part)).collect(),
            is_certain: report.is_certain,
            blamed_ms: unix_ms().saturating_sub(report.age_ms),
        }
    }

    fn age_ms(&self) -> u64 {
        unix_ms().saturating_sub(self.blamed_ms)
    }
}

impl EvidenceRecord {
    fn of(record: &SuspectRecord) -> Self {
        let now_ms = unix_ms();
        let crashes = record.crashes.iter().map(|crash| StoredCrash {
            runner: hex_key(crash.runner),
            at_ms: now_ms.saturating_sub(crash.age_ms),
            ran_ms: crash.ran_ms,
        });
        Self {
            suspect: hex_key(record.part),
            service: hex_key(record.service),
            crashes: crashes.collect(),
        }
    }
}

impl PartRecord {
    /// Whether the content no longer counts.
    fn is_forgotten(&self) -> bool {
        match self {
            Self::Blame(record) if record.is_certain => record.age_ms() >= BLAME_MS,
            Self::Blame(record) => record.age_ms() >= PROBATION_MS,
            Self::Evidence(record) => {
                let last_ms = record.crashes.iter().map(|crash| crash.at_ms).max();
                let age_ms = unix_ms().saturating_sub(last_ms.unwrap_or_default());
                age_ms >= EVIDENCE_MS
            }
        }
    }

    /// Whether `self` says at least as much as a newer record of the same object.
    fn covers(&self, newer: &Self) -> bool {
        match (self, newer) {
            (Self::Blame(known), Self::Blame(newer)) => known.is_certain || !newer.is_certain,
            (Self::Evidence(known), Self::Evidence(newer)) => {
                known.crashes.len() >= newer.crashes.len()
            }
            _ => false,
        }
    }

    fn decode(&self) -> Result<DecodedRecord, ParseIntError> {
        match self {
            Self::Blame(record) => {
                let parts = record.parts.iter().map(|part| parse_key(part));
                let mut parts = parts.collect::<Result<Vec<u64>, _>>()?;
                parts.sort_unstable();
                Ok(DecodedRecord::Blame(BlameReport {
                    parts,
                    is_certain: record.is_certain,
                    age_ms: record.age_ms(),
                }))
            }
            Self::Evidence(record) => {
                let now_ms = unix_ms();
                let crashes = record.crashes.iter().map(|crash| {
                    Ok(CrashRecord {
                        runner: parse_key(&crash.runner)?,
                        age_ms: now_ms.saturating_sub(crash.at_ms),
                        ran_ms: crash.ran_ms,
                    })
                });
                Ok(DecodedRecord::Suspect(SuspectRecord {
                    part: parse_key(&record.suspect)?,
                    service: parse_key(&record.service)?,
                    crashes: crashes.collect::<Result<Vec<_>, _>>()?,
                }))
            }
        }
    }
}

fn hex_key(key: u64) -> String {
    format!("{key:x}")
}

fn parse_key(text: &str) -> Result<u64, ParseIntError> {
    u64::from_str_radix(text, 16)
}

/// Reads the objects at the start of the process. Afterwards stores the blamed parts and the
/// evidence against suspects, if this instance is an analyst.
pub(crate) async fn store_blamed_parts(state: Rc<GatewayState>) {
    let mut stored = loop {
        match load(&state).await {
            Ok(stored) => break stored,
            Err(fault) => {
                log::warn!(target: "parts", fault:% ; "could not read the blamed parts");
                sleep(READ_INTERVAL).await;
            }
        }
    };
    state.crash_parts.is_informed.set(true);
    let mut source = state.store.source();
    let mut limit = *WRITE_LIMIT.start();
    loop {
        sleep(WRITE_INTERVAL).await;
        if state.store.source() != source {
            // A backup, or the store at another address, may lack some of them.
            source = state.store.source();
            stored.clear();
        }
        if state.crash_parts.is_analyst.get() {
            for (name, record) in known_records(&state) {
                write(&state, name, record, &mut stored, &mut limit).await;
            }
            delete_forgotten(&state, &mut stored).await;
        }
    }
}

/// Returns what this analyst knows, with the names of the objects.
fn known_records(state: &GatewayState) -> Vec<(String, PartRecord)> {
    let now_ms = boot_ms();
    let blamed = state.crash_parts.blamed.borrow_mut().reports(now_ms);
    let suspects = state
        .crash_parts
        .analyst
        .borrow_mut()
        .suspect_records(now_ms);
    let blamed = blamed.iter().map(|report| {
        let record = PartRecord::Blame(BlameRecord::of(report));
        (blame_name(&report.parts), record)
    });
    let suspects = suspects.iter().map(|suspect| {
        let record = PartRecord::Evidence(EvidenceRecord::of(suspect));
        (format!("suspect-{}", blame_name(&[suspect.part])), record)
    });
    blamed.chain(suspects).collect()
}

async fn load(state: &GatewayState) -> Result<Vec<StoredRecord>, StoreFault> {
    let listing = state.store.list(BLAMED_PART_KIND, false).await?;
    let mut stored = Vec::new();
    for object in &listing.objects {
        let Some((record, decoded)) = decode_record(object) else {
            continue;
        };
        match decoded {
            DecodedRecord::Blame(report) => {
                adopt(state, &report, "store");
            }
            DecodedRecord::Suspect(suspect) => {
                let mut analyst = state.crash_parts.analyst.borrow_mut();
                analyst.restore(&suspect, boot_ms());
            }
        }
        stored.push(StoredRecord {
            name: object.name.clone(),
            record,
            revision: object.revision.revision,
        });
    }
    Ok(stored)
}

fn decode_record(object: &StoredObject) -> Option<(PartRecord, DecodedRecord)> {
    let decoded = decode_object::<PartRecord>(&object.spec).map_err(|fault| fault.to_string());
    let decoded = decoded.and_then(|record| {
        let decoded = record.decode().map_err(|fault| fault.to_string())?;
        Ok((record, decoded))
    });
    match decoded {
        Ok(decoded) => Some(decoded),
        Err(fault) => {
            log::warn!(target: "parts", name = object.name, fault; "ignored blamed parts that do not decode");
            None
        }
    }
}

/// Stores a record unless the store has it.
async fn write(
    state: &GatewayState,
    name: String,
    record: PartRecord,
    stored: &mut Vec<StoredRecord>,
    limit: &mut Duration,
) {
    let known = stored.iter().position(|known| known.name == name);
    let known = known.map(|index| stored.remove(index));
    if let Some(known) = &known {
        if known.record.covers(&record) && !known.record.is_forgotten() {
            return stored.extend([known.clone()]);
        }
    }
    let spec = match serde_json::to_value(&record) {
        Ok(spec) => spec,
        Err(fault) => {
            return log::error!(target: "parts", fault:% ; "could not encode blamed parts");
        }
    };
    let (kind, store) = (BLAMED_PART_KIND, &state.store);
    let written = async {
        match &known {
            None => store.create(kind, &name, &spec).await,
            Some(known) => store.replace(kind, &name, known.revision, &spec).await,
        }
    };
    // A write that is executed late says the same as the next one.
    let Ok(outcome) = timeout(*limit, written).await else {
        log::warn!(target: "parts", name, limit:?; "a write of blamed parts got no response");
        *limit = (*limit * 2).min(*WRITE_LIMIT.end());
        return stored.extend(known);
    };
    *limit = *WRITE_LIMIT.start();
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
    let forgotten: Vec<StoredRecord> = {
        let analyst = state.crash_parts.analyst.borrow();
        let is_acquitted = |record: &PartRecord| match record.decode() {
            Ok(DecodedRecord::Suspect(suspect)) => analyst.is_answered(suspect.part),
            _ => false,
        };
        let forgotten = stored.extract_if(.., |known| {
            known.record.is_forgotten() || is_acquitted(&known.record)
        });
        forgotten.collect()
    };
    for known in forgotten {
        let deleted = state
            .store
            .delete(BLAMED_PART_KIND, &known.name, known.revision);
        // What is left in the store is ignored because of its age.
        if let Err(fault) = deleted.await {
            log::warn!(target: "parts", fault:% ; "could not delete forgotten parts");
        }
    }
}
