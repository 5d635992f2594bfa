//! Takes what others say, and lets time pass over it.

use crate::{
    board::PeerBoard,
    list::PeerEntry,
    message::{CHANGE_ROOM, WHOLE_ROOM},
    record::{PeerHealth, PeerNote, PeerRecord},
};
use berylmount_model::InstanceName;

/// Members up to which a process suspects others though nobody answers it.
///
/// In a larger list that is more likely this process's own fault, and its
/// suspicions would have to be refuted by everybody once it is back.
const SMALL_LIST: usize = 8;

/// The note of a change; who was live before may be new to the receiver.
fn note_of(record: &PeerRecord) -> PeerNote {
    match record.health {
        PeerHealth::Live => PeerNote::Whole(record.clone()),
        PeerHealth::Suspect | PeerHealth::Dead => PeerNote::short(record),
    }
}

impl PeerBoard {
    /// Takes changes; those of nobody known are dropped.
    pub(crate) fn apply_notes(&mut self, notes: &[PeerNote], now_ms: u64) {
        for note in notes {
            if let Some(record) = self.list.resolve(&self.own, note) {
                self.apply(&record, now_ms);
            }
        }
    }

    /// Takes a record of a page, which others know as well.
    pub(crate) fn apply_page(&mut self, record: &PeerRecord, now_ms: u64) {
        let unknown = self.list.find(&record.name).is_none();
        if unknown && record.name != self.own.name {
            self.list.insert(PeerEntry::new(record.clone(), now_ms));
        } else {
            self.apply(record, now_ms);
        }
    }

    /// Takes a record if it takes precedence over the known one, and queues it.
    pub(crate) fn apply(&mut self, record: &PeerRecord, now_ms: u64) {
        if record.name == self.own.name {
            self.apply_own(record);
            return;
        }
        let Some(entry) = self.list.find_mut(&record.name) else {
            if record.health != PeerHealth::Dead {
                self.list.insert(PeerEntry::new(record.clone(), now_ms));
                self.changes.push(&record.name);
            }
            return;
        };
        let (new, old) = (record.precedence(), entry.record.precedence());
        if new > old {
            if entry.record.health != record.health {
                entry.since_ms = now_ms;
            }
            // A later process of the name doesn't know this one.
            entry.introduced &= record.incarnation == entry.record.incarnation;
            entry.record = record.clone();
            self.changes.push(&record.name);
        } else if new < old {
            // The sender is behind, and others may be as well.
            self.changes.push_missing(&record.name);
        }
    }

    /// Answers what others say of this process.
    fn apply_own(&mut self, record: &PeerRecord) {
        let own = &mut self.own;
        if record.incarnation > own.incarnation {
            if self.joined {
                self.superseded = true;
            } else {
                // An earlier process of the name with a clock ahead of ours.
                own.incarnation = record.incarnation.saturating_add(1);
            }
            return;
        }
        let same = record.incarnation == own.incarnation;
        let accused = record.health > own.health && record.refutation >= own.refutation;
        if same && (accused || record.refutation > own.refutation) {
            own.refutation = record.refutation.saturating_add(1);
        }
    }

    /// Records to carry on a message to `receiver`.
    ///
    /// What the receiver has to answer goes first: a record of it that takes
    /// precedence over the one that it sent, or that accuses it.
    pub(crate) fn take_changes(
        &mut self,
        receiver: Option<&InstanceName>,
        sent: Option<&PeerRecord>,
    ) -> Vec<PeerNote> {
        let entry = receiver.and_then(|name| self.list.find(name));
        let known = entry.map(|entry| &entry.record);
        let contested = known.filter(|known| match sent {
            Some(sent) => known.precedence() > sent.precedence(),
            None => known.health != PeerHealth::Live,
        });
        let mut notes: Vec<_> = contested.map(PeerNote::short).into_iter().collect();
        let members = self.list.entries().len() + 1;
        let list = &self.list;
        let health = |name: &InstanceName| list.find(name).map(|entry| entry.record.health);
        let size = |name: &InstanceName| match health(name) {
            Some(PeerHealth::Live) => WHOLE_ROOM,
            _ => 1,
        };
        let names = self.changes.take(CHANGE_ROOM - notes.len(), members, size);
        for name in names.iter().filter(|name| Some(*name) != receiver) {
            notes.extend(self.list.find(name).map(|entry| note_of(&entry.record)));
        }
        notes
    }

    /// Suspects a member that answered neither directly nor through others.
    pub(crate) fn suspect(&mut self, name: &InstanceName, now_ms: u64) {
        let members = self
            .list
            .entries()
            .iter()
            .filter(|entry| !entry.is_dead())
            .count();
        let answered = self
            .answered_ms
            .is_some_and(|at_ms| now_ms < at_ms + self.config.pause_ms());
        if members > SMALL_LIST && !answered {
            return;
        }
        let Some(entry) = self.list.find_mut(name) else {
            return;
        };
        if entry.record.health == PeerHealth::Live {
            entry.record.health = PeerHealth::Suspect;
            entry.since_ms = now_ms;
            self.changes.push(name);
        }
    }

    /// Declares suspected members dead that did not refute in time.
    ///
    /// Somebody must have answered this process since the suspicion began: a
    /// process that is cut off declares nobody dead.
    pub(crate) fn expire_suspects(&mut self, now_ms: u64) {
        let (refute_ms, answered_ms) = (self.config.refute_ms, self.answered_ms);
        for entry in self.list.entries_mut() {
            let late =
                entry.record.health == PeerHealth::Suspect && now_ms >= entry.since_ms + refute_ms;
            if late && answered_ms > Some(entry.since_ms) {
                entry.record.health = PeerHealth::Dead;
                entry.since_ms = now_ms;
                self.changes.push(&entry.record.name);
            }
        }
    }

    /// Forgets members that have been dead for long.
    pub(crate) fn forget_dead(&mut self, now_ms: u64) {
        let remember_ms = self.config.remember_ms;
        self.list
            .retain(|entry| !entry.is_dead() || now_ms < entry.since_ms + remember_ms);
    }

    /// Moves every deadline by the time that this process did not run.
    ///
    /// What was not heard meanwhile is no one's fault but ours.
    pub(crate) fn resume_after(&mut self, paused_ms: u64) {
        self.outstanding.clear();
        for entry in self.list.entries_mut() {
            entry.since_ms += paused_ms;
        }
    }
}
