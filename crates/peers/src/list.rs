//! The members that a process knows, sorted by name.

use crate::{
    message::{SyncCursor, MAX_PAGE, SEGMENTS},
    record::{place_of, LoadLevel, PeerHealth, PeerNote, PeerRecord, ProcessReport},
};
use berylmount_model::InstanceName;
use xxhash_rust::xxh3::Xxh3;

/// What was last heard of a member's table head.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct HeadEvidence {
    /// Version that the member applied.
    pub(crate) head: u64,
    /// How busy it was.
    pub(crate) load: LoadLevel,
    /// A time at or before which both held, none if never heard.
    pub(crate) at_ms: Option<u64>,
}

impl HeadEvidence {
    /// Evidence of a report made at or after `at_ms`; none without a vote.
    pub(crate) fn of(report: &ProcessReport, at_ms: u64) -> Self {
        Self {
            head: report.head,
            load: report.load,
            at_ms: report.voting.then_some(at_ms),
        }
    }
}

/// A known member other than the process itself.
#[derive(Clone, Debug)]
pub(crate) struct PeerEntry {
    pub(crate) record: PeerRecord,
    /// When its health last changed here.
    pub(crate) since_ms: u64,
    /// When it last answered a probe, or probed, without a relay.
    pub(crate) heard_ms: Option<u64>,
    /// Whether it knows this process, because it answered a whole note.
    pub(crate) introduced: bool,
    /// Whether the last probe needed a relay.
    pub(crate) relayed: bool,
    pub(crate) evidence: HeadEvidence,
    pub(crate) segment: u8,
    /// Place in the order in which members probe each other.
    pub(crate) place: u64,
}

impl PeerEntry {
    pub(crate) fn new(record: PeerRecord, now_ms: u64) -> Self {
        let segment = segment_of(&record.name);
        let place = place_of(&record.name);
        Self {
            place,
            record,
            since_ms: now_ms,
            heard_ms: None,
            introduced: false,
            relayed: false,
            evidence: HeadEvidence::default(),
            segment,
        }
    }

    pub(crate) fn is_dead(&self) -> bool {
        self.record.health == PeerHealth::Dead
    }

    /// Takes newer evidence of the member's head.
    pub(crate) fn add_evidence(&mut self, evidence: HeadEvidence) {
        if evidence.at_ms > self.evidence.at_ms {
            self.evidence = evidence;
        }
    }
}

/// The segment of a name.
pub(crate) fn segment_of(name: &InstanceName) -> u8 {
    (place_of(name) % u64::from(SEGMENTS)) as u8
}

/// Entries sorted by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerList(Vec<PeerEntry>);

impl PeerList {
    pub(crate) fn entries(&self) -> &[PeerEntry] {
        &self.0
    }

    pub(crate) fn entries_mut(&mut self) -> &mut [PeerEntry] {
        &mut self.0
    }

    pub(crate) fn find(&self, name: &InstanceName) -> Option<&PeerEntry> {
        let index = self.slot(name).ok()?;
        self.0.get(index)
    }

    pub(crate) fn find_mut(&mut self, name: &InstanceName) -> Option<&mut PeerEntry> {
        let index = self.slot(name).ok()?;
        self.0.get_mut(index)
    }

    /// The record that `note` stands for, none if it is of nobody known.
    pub(crate) fn resolve(&self, own: &PeerRecord, note: &PeerNote) -> Option<PeerRecord> {
        let (place, incarnation, refutation, health, leaving) = match note {
            PeerNote::Whole(record) => return Some(record.clone()),
            PeerNote::Short {
                place,
                incarnation,
                refutation,
                health,
                leaving,
            } => (*place, *incarnation, *refutation, *health, *leaving),
        };
        let entry = self.0.iter().find(|entry| entry.place == place);
        let own = (place == place_of(&own.name)).then_some(own);
        let known = own.or(entry.map(|entry| &entry.record))?;
        Some(PeerRecord {
            incarnation,
            refutation,
            health,
            leaving,
            ..known.clone()
        })
    }

    pub(crate) fn insert(&mut self, entry: PeerEntry) {
        match self.slot(&entry.record.name) {
            Ok(index) => self.0[index] = entry,
            Err(index) => self.0.insert(index, entry),
        }
    }

    pub(crate) fn retain(&mut self, keep: impl Fn(&PeerEntry) -> bool) {
        self.0.retain(keep);
    }

    fn slot(&self, name: &InstanceName) -> Result<usize, usize> {
        self.0.binary_search_by(|entry| entry.record.name.cmp(name))
    }

    /// The `count` members that are not dead and follow `name` in order of place.
    pub(crate) fn next_members(&self, name: &InstanceName, count: usize) -> Vec<&PeerEntry> {
        let own = place_of(name);
        let mut next: Vec<&PeerEntry> = Vec::with_capacity(count + 1);
        for entry in self.0.iter().filter(|entry| !entry.is_dead()) {
            let distance = entry.place.wrapping_sub(own);
            let slot = next.partition_point(|other| other.place.wrapping_sub(own) < distance);
            next.insert(slot, entry);
            next.truncate(count);
        }
        next
    }

    /// A page of a segment's records that are not dead, `own` among them.
    pub(crate) fn page(&self, own: &PeerRecord, cursor: &SyncCursor) -> Vec<PeerRecord> {
        let known = self
            .0
            .iter()
            .filter(|entry| !entry.is_dead())
            .map(|entry| &entry.record);
        let (before, behind): (Vec<_>, Vec<_>) = known.partition(|record| record.name < own.name);
        let all = before.into_iter().chain([own]).chain(behind);
        let wanted = all.filter(|record| {
            let in_segment = cursor
                .segment
                .is_none_or(|segment| segment_of(&record.name) == segment);
            in_segment
                && cursor
                    .after
                    .as_ref()
                    .is_none_or(|after| record.name > *after)
        });
        wanted.take(MAX_PAGE).cloned().collect()
    }

    /// Hash over every record that is not dead, `own` among them.
    ///
    /// Records are hashed apart and added, so that their order doesn't matter.
    pub(crate) fn digest(&self, own: &PeerRecord) -> u32 {
        let known = self
            .0
            .iter()
            .filter(|entry| !entry.is_dead())
            .map(|entry| &entry.record);
        let hashes = known.chain([own]).map(hash_record);
        hashes.fold(0, u64::wrapping_add) as u32
    }
}

/// Hash over what changes of a record.
fn hash_record(record: &PeerRecord) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(record.name.as_str().as_bytes());
    hash.update(&record.incarnation.to_le_bytes());
    hash.update(&record.refutation.to_le_bytes());
    hash.update(&[record.health as u8, u8::from(record.leaving)]);
    hash.digest()
}
