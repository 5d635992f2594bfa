//! The versions that began streams, in the object store.
//!
//! While several versions can have begun streams, each instance stores its own in objects of
//! some seconds each, so that any instance can go on with them after all others have ended.
//! Streams of the last interval are lost with their instance, and are refused.

use super::kept_ms;
use crate::{clock::boot_ms, state::GatewayState};
use berylmount_adapter::{
    objects::{decode_object, STREAM_KIND},
    store_client::{StoreFault, WriteOutcome},
};
use berylmount_model::unix_ms;
use berylmount_policy::software_versions::{BegunStream, BegunStreams};
use serde::{Deserialize, Serialize};
use std::{
    mem::{replace, take},
    rc::Rc,
    time::Duration,
};
use tokio::time::sleep;

/// Minimum time between two writes of an instance.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(200);
/// Fraction of the store's writes that all instances together use for streams.
const WRITE_FRACTION: f64 = 0.15;
/// Time whose streams are in one object, in milliseconds.
const SPAN_MS: u64 = 4000;
/// Maximum number of streams in one object.
const MAX_SPAN_STREAMS: usize = 1024;
/// Encoded size of a stream, in bytes.
const STREAM_BYTES: u64 = 60;
/// Maximum number of old objects that a listing deletes.
const MAX_DELETED: usize = 4;

/// Streams as they are stored: keys of the attempt and the version, and the time in Unix
/// milliseconds, in hexadecimal digits.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct StreamRecord {
    streams: Vec<String>,
}

/// The object that this instance writes to.
#[derive(Debug, Default)]
struct StreamSpan {
    name: String,
    /// Revision of the object; 0 before it is created.
    revision: u64,
    /// By the boot clock.
    since_ms: u64,
    record: StreamRecord,
}

fn encode_stream(stream: &BegunStream) -> String {
    format!("{:x}.{:x}.{:x}", stream.id, stream.version, stream.begun_ms)
}

fn decode_stream(text: &str) -> Option<BegunStream> {
    let mut numbers = text.split('.').map(|n| u64::from_str_radix(n, 16).ok());
    Some(BegunStream {
        id: numbers.next()??,
        version: numbers.next()??,
        begun_ms: numbers.next()??,
    })
}

/// Lists the streams that all instances have stored, unless that was done a short time ago.
/// Deletes some objects whose streams can no longer be taken up.
pub(super) async fn list_streams(state: &GatewayState) -> Result<(), StoreFault> {
    let turn = &state.stream_versions.stream_turn;
    if !turn.wait(state).await {
        return Ok(());
    }
    let listing = state.store.list(STREAM_KIND, false).await?;
    let (now_ms, kept_ms) = (unix_ms(), kept_ms(state));
    let mut streams = Vec::new();
    let mut old = Vec::new();
    for object in &listing.objects {
        let record: StreamRecord = match decode_object(&object.spec) {
            Ok(record) => record,
            Err(fault) => {
                log::warn!(target: "software", name = object.name, fault:% ; "ignored streams that do not decode");
                continue;
            }
        };
        let decoded = record.streams.iter().filter_map(|text| decode_stream(text));
        let decoded: Vec<BegunStream> = decoded.collect();
        let last_ms = decoded.iter().map(|stream| stream.begun_ms).max();
        if last_ms.is_none_or(|last_ms| now_ms >= last_ms + 2 * kept_ms) {
            old.push(object);
        }
        streams.extend(decoded);
    }
    turn.note_listed(state, streams.len() as u64 * STREAM_BYTES);
    streams.sort_unstable_by_key(|stream| stream.begun_ms);
    let mut listed = BegunStreams::default();
    streams.into_iter().for_each(|stream| listed.note(stream));
    *state.stream_versions.listed.borrow_mut() = listed;
    for object in old.into_iter().take(MAX_DELETED) {
        let revision = object.revision.revision;
        state
            .store
            .delete(STREAM_KIND, &object.name, revision)
            .await?;
    }
    Ok(())
}

/// Stores the streams that are to be stored, from time to time.
pub(crate) async fn store_streams(state: Rc<GatewayState>) {
    let mut span = StreamSpan::default();
    let mut number = 0;
    let mut written: Vec<StreamSpan> = Vec::new();
    loop {
        sleep(write_interval(&state)).await;
        let unstored = state.stream_versions.unstored.take();
        let now_ms = boot_ms();
        if !unstored.is_empty() {
            let is_full = span.record.streams.len() >= MAX_SPAN_STREAMS;
            if span.name.is_empty() || is_full || now_ms >= span.since_ms + SPAN_MS {
                number += 1;
                let name = format!("{}-{}-{number}", state.settings().name, state.started_ms);
                let next = StreamSpan {
                    name,
                    since_ms: now_ms,
                    ..StreamSpan::default()
                };
                written.push(replace(&mut span, next));
            }
            span.record
                .streams
                .extend(unstored.iter().map(encode_stream));
            let is_stored = write(&state, &mut span).await.unwrap_or_else(|fault| {
                log::warn!(target: "software", fault:% ; "could not store begun streams");
                false
            });
            if !is_stored {
                // The write may be executed later, so the streams go into another object.
                state.stream_versions.unstored.borrow_mut().extend(unstored);
                written.push(take(&mut span));
            }
        }
        delete_old(&state, &mut written, now_ms).await;
    }
}

/// Returns the time between two writes, which is longer in a large fleet.
fn write_interval(state: &GatewayState) -> Duration {
    let instances = state.instance_count() as f64;
    let writes_per_s = state.settings().store.writes_per_s * WRITE_FRACTION;
    let interval = Duration::from_secs_f64(instances / writes_per_s.max(1.0));
    interval.max(MIN_WRITE_INTERVAL)
}

/// Writes an object. Returns whether its streams are stored.
async fn write(state: &GatewayState, span: &mut StreamSpan) -> Result<bool, StoreFault> {
    let spec = match serde_json::to_value(&span.record) {
        Ok(spec) => spec,
        Err(fault) => {
            log::error!(target: "software", fault:% ; "could not encode begun streams");
            return Ok(true);
        }
    };
    let store = &state.store;
    let outcome = match span.revision {
        0 => store.create(STREAM_KIND, &span.name, &spec).await?,
        revision => {
            let written = store.replace(STREAM_KIND, &span.name, revision, &spec);
            written.await?
        }
    };
    match outcome {
        WriteOutcome::Stored(revision) => {
            span.revision = revision.revision;
            Ok(true)
        }
        WriteOutcome::Conflict(_) | WriteOutcome::Missing => {
            log::warn!(target: "software", name = span.name; "begun streams were changed in the store");
            Ok(false)
        }
    }
}

/// Deletes objects of this process whose streams can no longer be taken up.
async fn delete_old(state: &GatewayState, written: &mut Vec<StreamSpan>, now_ms: u64) {
    let kept_ms = kept_ms(state) + SPAN_MS;
    let old = written.extract_if(.., |span| now_ms >= span.since_ms + kept_ms);
    for span in old.collect::<Vec<_>>() {
        if span.revision == 0 {
            continue;
        }
        let deleted = state.store.delete(STREAM_KIND, &span.name, span.revision);
        // What is left in the store is ignored because of its age.
        if let Err(fault) = deleted.await {
            log::warn!(target: "software", fault:% ; "could not delete old streams");
        }
    }
}
