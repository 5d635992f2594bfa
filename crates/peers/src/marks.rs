//! Table heads and loads of many members in one byte each.
//!
//! A mark holds the age of the evidence (4 bits), which of the message's heads
//! it is for (2 bits) and the load (2 bits). Ages are rounded up, and a
//! receiver counts them from the moment it sent its probe, so evidence is never
//! taken for younger than it is, whatever was delayed or paused on the way.
//!
//! Both ends must list the same names in the same order: each segment carries a
//! hash over its names, and marks of a segment with another hash are dropped.

use crate::{
    list::{segment_of, HeadEvidence, PeerList},
    message::{HeadSummary, SegmentMarks, MAX_HEADS, SEGMENTS},
    record::{LoadLevel, PeerRecord, ProcessReport},
};
use berylmount_model::InstanceName;
use xxhash_rust::xxh3::Xxh3;

/// One step of a mark's age, in milliseconds.
const AGE_STEP_MS: u64 = 250;

/// The age that says that there is no young evidence.
const AGE_UNKNOWN: u64 = 15;

/// The head index that says "older than all listed".
const OLDER_HEAD: usize = MAX_HEADS;

/// A member with its evidence, in the order of marks.
struct MarkRow<'a> {
    name: &'a InstanceName,
    segment: u8,
    evidence: HeadEvidence,
}

/// Every member that is not dead, the process itself among them, by name.
fn mark_rows<'a>(
    list: &'a PeerList,
    own: &'a PeerRecord,
    report: &ProcessReport,
    now_ms: u64,
) -> Vec<MarkRow<'a>> {
    let known = list.entries().iter().filter(|entry| !entry.is_dead());
    let mut rows: Vec<_> = known
        .map(|entry| MarkRow {
            name: &entry.record.name,
            segment: entry.segment,
            evidence: entry.evidence,
        })
        .collect();
    let name = &own.name;
    let slot = rows.partition_point(|row| row.name < name);
    let evidence = HeadEvidence::of(report, now_ms);
    rows.insert(
        slot,
        MarkRow {
            name,
            segment: segment_of(name),
            evidence,
        },
    );
    rows
}

/// Hash over the names of one segment.
fn order_hash(rows: &[MarkRow<'_>], segment: u8) -> u32 {
    let mut hash = Xxh3::new();
    for row in rows.iter().filter(|row| row.segment == segment) {
        hash.update(row.name.as_str().as_bytes());
        // No name holds this byte.
        hash.update(b"\n");
    }
    hash.digest() as u32
}

/// The newest distinct heads, newest first.
fn newest_heads(rows: &[MarkRow<'_>]) -> Vec<u64> {
    let heard = rows.iter().filter(|row| row.evidence.at_ms.is_some());
    let mut heads: Vec<_> = heard.map(|row| row.evidence.head).collect();
    heads.sort_unstable_by(|a, b| b.cmp(a));
    heads.dedup();
    heads.truncate(MAX_HEADS);
    heads
}

/// Summarises what `list` knows in at most `room` marks, from segment `start` on.
pub(crate) fn summarise(
    list: &PeerList,
    own: &PeerRecord,
    report: &ProcessReport,
    now_ms: u64,
    start: u8,
    mut room: usize,
) -> HeadSummary {
    let rows = mark_rows(list, own, report, now_ms);
    let heads = newest_heads(&rows);
    let mut segments = Vec::new();
    for step in 0..SEGMENTS {
        if room == 0 {
            break;
        }
        let segment = (start % SEGMENTS + step) % SEGMENTS;
        let in_segment = rows.iter().filter(|row| row.segment == segment);
        let marks: Vec<_> = in_segment
            .map(|row| mark(&row.evidence, &heads, now_ms))
            .take(room)
            .collect();
        room -= marks.len();
        segments.push(SegmentMarks {
            segment,
            order: order_hash(&rows, segment),
            marks,
        });
    }
    let digest = list.digest(own);
    HeadSummary {
        digest,
        heads,
        segments,
    }
}

/// Packs evidence into a byte.
fn mark(evidence: &HeadEvidence, heads: &[u64], now_ms: u64) -> u8 {
    let age = evidence.at_ms.map_or(AGE_UNKNOWN, |at_ms| {
        now_ms
            .saturating_sub(at_ms)
            .div_ceil(AGE_STEP_MS)
            .min(AGE_UNKNOWN)
    });
    let head = heads
        .iter()
        .position(|head| *head == evidence.head)
        .unwrap_or(OLDER_HEAD);
    ((age as u8) << 4) | ((head as u8) << 2) | evidence.load as u8
}

/// Takes the marks of the segments whose names agree.
///
/// Ages count from `sent_ms`, when the probe was sent. Returns the segments
/// whose names don't agree, with the number of marks that they had.
pub(crate) fn take_marks(
    list: &mut PeerList,
    own: &PeerRecord,
    report: &ProcessReport,
    summary: &HeadSummary,
    sent_ms: u64,
) -> Vec<(u8, usize)> {
    let mut unlike = Vec::new();
    let mut taken = Vec::new();
    let rows = mark_rows(list, own, report, sent_ms);
    for segment in &summary.segments {
        if segment.order != order_hash(&rows, segment.segment) {
            unlike.push((segment.segment, segment.marks.len()));
            continue;
        }
        let names = rows.iter().filter(|row| row.segment == segment.segment);
        for (row, &mark) in names.zip(&segment.marks) {
            if let Some(evidence) = unmark(mark, &summary.heads, sent_ms) {
                taken.push((row.name.clone(), evidence));
            }
        }
    }
    for (name, evidence) in taken {
        if let Some(entry) = list.find_mut(&name) {
            entry.add_evidence(evidence);
        }
    }
    unlike
}

/// Unpacks a byte.
fn unmark(mark: u8, heads: &[u64], sent_ms: u64) -> Option<HeadEvidence> {
    let age = u64::from(mark >> 4);
    if age == AGE_UNKNOWN {
        return None;
    }
    let at_ms = sent_ms.checked_sub(age * AGE_STEP_MS)?;
    // Zero for older than every listed head. A head known from before can't
    // stand in: a process that restarts may go back.
    let head = heads
        .get(usize::from((mark >> 2) & 3))
        .copied()
        .unwrap_or_default();
    let load = LoadLevel::from_repr(mark & 3).unwrap_or_default();
    Some(HeadEvidence {
        head,
        load,
        at_ms: Some(at_ms),
    })
}
